"""Configurations that were in force before a restore of the store, and what peers know of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from godwitthread.core.restored_configuration import (
    MAX_KNOWN,
    KnownContent,
    RestoredConfiguration,
)
from godwitthread.core.store_version import ERA_SPAN, era_of
from godwitthread.gateway.ports import StoredRow, Undecodable
from godwitthread.gateway.store_rows import decode_row, digest_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.clock import Clock
    from godwitthread.core.former_rows import FormerRows
    from godwitthread.gateway.ports import Schema

#: End of the key of the row that names the known contents among the rows for peers.
KNOWN_SUFFIX = '@known'
#: Added to the version of former rows when the configuration among them was dropped. Peers then ask
#: for them, also those whose copy from before the restore was newer.
RELEASED = ERA_SPAN // 2

_contents = msgspec.msgpack.Decoder(tuple[KnownContent, ...])


class FormerConfiguration:
    """Release of the configuration from before a restore, and the rows that tell peers of it.

    Builds that do not know these rows drop them, as they drop all rows of unknown keys.
    """

    def __init__(self, schema: Schema, clock: Clock) -> None:
        self._schema = schema
        self._clock = clock
        self._known_key = f'{schema.configuration_key}{KNOWN_SUFFIX}'
        self._decision = RestoredConfiguration()
        #: Row of the configuration in force.
        self._row: StoredRow | None = None
        #: Newest contents of the store since a restore that were lower than the one in force.
        self._waiting: list[KnownContent] = []

    def read_copy(self, revision: int) -> None:
        """Process the version of a copy of the whole table."""
        self._decision.read_copy(revision)

    def in_force(self, row: StoredRow) -> None:
        """Process the row of a configuration that is in force from now on."""
        self._row = row
        # Versions that it follows were confirmed as well, also those that waited in vain.
        followed = [each for each in self._waiting if each.revision < row.revision]
        self._waiting = [each for each in self._waiting if each.revision >= row.revision]
        self._decision.learn([*followed, KnownContent(row.revision, _digest(row))])

    def with_row_in_force(self, rows: Mapping[str, StoredRow]) -> dict[str, StoredRow]:
        """Return rows with the configuration in force; the one in the store may be malformed."""
        return {**rows, self._row.key: self._row} if self._row else dict(rows)

    def was_in_force(self, row: StoredRow, former: StoredRow) -> bool:
        """Return whether the content of a row was in force before its era, given a former row."""
        return self._decision.was_in_force(row.revision, _digest(row), former.revision)

    def is_released(self, row: StoredRow) -> bool:
        """Return whether a row holds although a higher version was in force before the restore."""
        return self._decision.is_released(row.revision)

    def known_rows(self) -> tuple[StoredRow, ...]:
        """Return the row that tells peers which contents were in force."""
        known = self._decision.known
        value = msgspec.msgpack.encode(known)
        return (StoredRow(self._known_key, value, known[-1].revision),) if known else ()

    def released_rows(self) -> tuple[StoredRow, ...]:
        """Return the row that tells peers from which version on the one in the store holds."""
        released = self._decision.released
        return (StoredRow(self._schema.configuration_key, None, released),) if released else ()

    def take_peer_rows(self, rows: dict[str, StoredRow], revision: int) -> bool:
        """Process what a peer tells beside its rows, and leave only these.

        The peer may still have a configuration that this instance has dropped. Return whether it
        told of a release.
        """
        if known := rows.pop(self._known_key, None):
            contents = decode_row(_contents.decode, known.value or b'')
            if not isinstance(contents, Undecodable):
                self._decision.learn(contents)
        row = rows.get(self._schema.configuration_key)
        if row is not None and row.value is None:
            del rows[row.key]
            if era_of(row.revision) == era_of(revision):
                self._decision.peer_released(row.revision)
            return True
        if row is not None and self._decision.decided:
            del rows[row.key]
        return False

    def release(self, former: FormerRows[StoredRow], rows: Mapping[str, StoredRow]) -> bool:
        """Drop the former configuration if that in the store replaces it; return whether it did."""
        key = self._schema.configuration_key
        row = rows.get(key)
        if row is None or key not in former.rows:
            return False
        now_ms = self._clock.now_ms()
        if self._decision.needs_examination(row.revision):
            cfg = decode_row(self._schema.configuration, row.value or b'')
            digest = None if isinstance(cfg, Undecodable) else _digest(row)
            self._decision.examine(now_ms, row.revision, digest, former.rows[key].revision)
            if digest is not None:
                content = KnownContent(row.revision, digest)
                self._waiting = [*self._waiting[1 - MAX_KNOWN :], content]
        if not self._decision.is_due(now_ms):
            return False
        self._decision.release()
        former.drop(key)
        former.revision |= RELEASED
        return True

    def released_digest(self) -> int:
        """Return the digest by which peers see that there is a released configuration."""
        return digest_of({row.key: row for row in self.released_rows()})


def _digest(row: StoredRow) -> int:
    return int(xxhash.xxh64_intdigest(row.value or b''))


def is_news_of_release(revision: int, known: int) -> bool:
    """Return whether former rows differ from known ones only in a released configuration.

    The other rows of the peer may have ended here, unless they are from a newer copy.
    """
    return revision & RELEASED > known & RELEASED and revision - RELEASED <= known
