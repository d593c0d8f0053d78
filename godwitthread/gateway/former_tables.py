"""Rows of all store tables from before a restore of the store, and their exchange with peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from godwitthread.core.former_rows import FormerRows
from godwitthread.core.store_version import counter_of, era_of
from godwitthread.core.table_freshness import TableContent
from godwitthread.gateway.former_configuration import (
    RELEASED,
    FormerConfiguration,
    is_news_of_release,
)
from godwitthread.gateway.ports import StoredRow, StoredRows, Undecodable
from godwitthread.gateway.store_rows import (
    PEER_TABLE,
    Snapshot,
    decode_peer,
    decode_row,
    digest_of,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.clock import Clock
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Schema

#: End of the name under which the rows of a table are sent to peers.
FORMER_SUFFIX = '@former'
#: Time for which an evacuation holds that a restored store lacks, in ms. The operators write it
#: again unless they have ended it, and nothing tells these two apart.
EVACUATION_HOLD_MS = 60_000
#: Time for which a member holds whose entry a restored store lacks, in ms. Members write their
#: entries again within 2 s.
MEMBER_HOLD_MS = 2_500


class FormerTables:
    """Rows that hold although a restored store does not have them again."""

    def __init__(self, schema: Schema, clock: Clock, log: Log) -> None:
        self._schema = schema
        self._clock = clock
        self._log = log
        self._tables: dict[str, FormerRows[StoredRow]] = {
            schema.operator_table: FormerRows(self._hold_operator_row),
            schema.member_table: FormerRows(self._hold_member),
            PEER_TABLE: FormerRows(_hold_peer),
        }
        self.configuration = FormerConfiguration(schema, clock)
        #: Digests of the copies that the rows are from.
        self._digests: dict[str, int] = {}

    def names(self) -> tuple[str, ...]:
        """Return the names under which peers know the tables."""
        return tuple(map(former_name, self._tables))

    def rows(self, table: str) -> dict[str, StoredRow]:
        """Return the rows of a table that hold until the store has them again."""
        return self._tables[table].rows

    def age_ms(self, table: str) -> int:
        """Return the time since the restore became known, in ms."""
        return self._clock.now_ms() - self._tables[table].since_ms

    def content(self, name: str) -> TableContent:
        """Return what identifies the rows of a table, given the name that peers know."""
        table = name.removesuffix(FORMER_SUFFIX)
        return TableContent(self._tables[table].revision, self._digests.get(table, 0))

    def revisions(self) -> dict[str, int]:
        """Return the versions of the copies that the rows are from, by the names for peers."""
        return {former_name(table): each.revision for table, each in self._tables.items()}

    def newer_than(self, revisions: dict[str, int]) -> tuple[Snapshot, ...]:
        """Return the tables for a peer that names them with older versions."""
        # Older builds name none of them, and do not know them.
        return tuple(
            Snapshot(former_name(table), former.revision, self._rows_for_peers(table))
            for table, former in self._tables.items()
            if former.revision > revisions.get(former_name(table), former.revision)
        )

    def rows_of_copy(self, table: str, rows: dict[str, StoredRow]) -> tuple[StoredRow, ...]:
        """Return the rows of the copy for a peer to which it is one from before a restore."""
        rows = self.over(table, rows)
        if table != self._schema.operator_table:
            return tuple(rows.values())
        rows = self.configuration.with_row_in_force(rows)
        return *rows.values(), *self.configuration.known_rows()

    def read_copy(self, table: str, revision: int) -> None:
        """Process the version of a copy of a whole table."""
        if table == self._schema.operator_table:
            self.configuration.read_copy(revision)

    def keep(
        self,
        table: str,
        rows: Mapping[str, StoredRow],
        revision: int,
        restored: StoredRows,
        source: str,
    ) -> None:
        """Keep the rows of a copy that the content of the restored store lacks."""
        former = self._tables[table]
        current = {row.key: row for row in restored.rows}
        self._digests[table] = digest_of(rows)
        rows = former.over(rows)
        if table == self._schema.operator_table:
            rows = self.configuration.with_row_in_force(rows)
        former.add(self._clock.now_ms(), revision, rows, current)
        self._log.event(
            'store_restored',
            table=table,
            era=era_of(restored.revision),
            revision=counter_of(restored.revision),
            former_era=era_of(revision),
            former_revision=counter_of(revision),
            kept_rows=len(former.rows),
            source=source,
        )

    def adopt(
        self,
        snapshot: Snapshot,
        tables: Mapping[str, Mapping[str, StoredRow]],
        revisions: Mapping[str, int],
    ) -> str | None:
        """Add the rows that a peer has kept; return their table, None if they are not newer."""
        table = snapshot.table.removesuffix(FORMER_SUFFIX)
        if table not in self._tables or table not in tables:
            return None
        if era_of(snapshot.revision) >= era_of(revisions[table]):
            return None
        rows = {row.key: row for row in snapshot.rows}
        former, now_ms = self._tables[table], self._clock.now_ms()
        if snapshot.revision <= former.revision:
            return None
        revision = snapshot.revision
        if table == self._schema.operator_table:
            revision = self._take_operator_rows(rows, revision, revisions[table])
        if revision <= former.revision:
            return None
        if is_news_of_release(revision, former.revision):
            former.revision = revision
        else:
            former.add(now_ms, revision, rows, tables[table])
        self._digests[table] = digest_of(rows)
        if table == self._schema.operator_table and self.configuration.released_rows():
            self._digests[table] = self.configuration.released_digest()
        return table

    def over(self, table: str, rows: dict[str, StoredRow]) -> dict[str, StoredRow]:
        """Return the rows of the store with those that hold in place of them."""
        former = self._tables.get(table)
        return former.over(rows) if former is not None and former.rows else rows

    def end(self, table: str, rows: Mapping[str, StoredRow]) -> bool:
        """Drop the rows that the store has again, or that held for long enough."""
        former = self._tables.get(table)
        if former is None or not former.rows:
            return False
        ended = former.end(self._clock.now_ms(), rows)
        if table == self._schema.operator_table and self.configuration.release(former, rows):
            self._digests[table] = self.configuration.released_digest()
            ended += 1
        if not former.rows:
            self._log.event('restored_table_complete', table=table, after_ms=self.age_ms(table))
        return bool(ended)

    def remove(self, table: str, key: str) -> None:
        """Drop a row that was written and removed since the restore, as the store reports."""
        # The last configuration stays in force.
        if table in self._tables and key != self._schema.configuration_key:
            self._tables[table].drop(key)

    def _take_operator_rows(
        self, rows: dict[str, StoredRow], revision: int, store_revision: int
    ) -> int:
        """Leave only the rows of a peer that count; return the version that is known by them."""
        released = self.configuration.take_peer_rows(rows, store_revision)
        key = self._schema.configuration_key
        held = self._tables[self._schema.operator_table].rows.get(key)
        if self._version(rows.get(key)) < self._version(held):
            # The configuration that holds here stays among the rows until it is released.
            rows.pop(key, None)
        # A build that does not know releases drops the row that tells of one, but not its version.
        return revision - RELEASED if revision & RELEASED and not released else revision

    def _rows_for_peers(self, table: str) -> tuple[StoredRow, ...]:
        rows = tuple(self._tables[table].rows.values())
        if table != self._schema.operator_table:
            return rows
        return *rows, *self.configuration.known_rows(), *self.configuration.released_rows()

    def _hold_operator_row(self, former: StoredRow, current: StoredRow | None) -> float:
        if former.key.startswith(self._schema.evacuation_prefix):
            return EVACUATION_HOLD_MS if current is None else 0
        if former.key != self._schema.configuration_key:
            return 0
        # A withdrawn key must not work again, so that a lower version ends this one only once it is
        # released, and the same version only with a content that was not in force before.
        version, known = self._version(current), self._version(former)
        if version < known:
            return math.inf
        repeats = current is not None and self.configuration.was_in_force(current, former)
        is_other = current is not None and current.value != former.value
        return math.inf if version == known and is_other and repeats else 0

    def _version(self, row: StoredRow | None) -> int:
        """Return the version of a configuration, -1 if there is none."""
        cfg = decode_row(self._schema.configuration, row.value or b'') if row else None
        return -1 if cfg is None or isinstance(cfg, Undecodable) else cfg.version

    def _hold_member(self, former: StoredRow, current: StoredRow | None) -> float:
        if current is None:
            return MEMBER_HOLD_MS
        order = self._schema.member_order(former.value or b'')
        restored = self._schema.member_order(current.value or b'')
        return math.inf if order and restored and order > restored else 0


def is_former_name(name: str) -> bool:
    """Return whether peers know rows from before a restore by this name."""
    return name.endswith(FORMER_SUFFIX)


def former_name(table: str) -> str:
    """Return the name under which peers know the rows of a table from before a restore."""
    return f'{table}{FORMER_SUFFIX}'


def _hold_peer(former: StoredRow, current: StoredRow | None) -> float:
    # An entry must not lapse while its instance may run: a majority is one of all entries.
    return math.inf if _peer_order(former) > _peer_order(current) else 0


def _peer_order(row: StoredRow | None) -> tuple[int, bool]:
    """Return what orders the entries of an instance: its process, and whether that has ended."""
    peer = decode_row(decode_peer, row.key, row.value or b'') if row else None
    if peer is None or isinstance(peer, Undecodable):
        return -1, False
    return peer.incarnation, peer.departed
