"""Configuration head row and the encoding of the bodies that it references."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from godwitthread.core import configuration
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.types import Roster, Seat

#: Row of the table service that holds the head.
HEAD_ROW = 'configuration/head'


class Head(NamedTuple):
    """Metadata of an accepted configuration version."""

    version: int
    #: Hash of the manifest body; None before the first manifest.
    manifest_sha256: str | None
    #: Hash of the roster body; None before the first roster.
    roster_sha256: str | None
    author: str
    #: Human-readable summary of the change.
    note: str
    #: Version and author of the last change of the manifest itself.
    manifest_version: int
    manifest_author: str
    #: Random identifier of the proposal. Unlike `writer_token`, which the store client
    #: may replace on each write attempt, it also identifies the proposal in the history.
    proposal_token: str
    #: Wall time of the proposing instance, in ms.
    accepted_wall_ms: int
    #: Hash of the record of the previous version; None in version 1.
    previous_sha256: str | None
    #: Versions of the latest roster change and of the roster change before it.
    roster_version: int = 0
    previous_roster_version: int = 0


#: Head before the first version.
EMPTY = Head(0, None, None, '', '', 0, '', '', 0, None)


def to_configuration_head(head: Head) -> configuration.Head:
    """Return the part of the head that instances need to adopt a version."""
    return configuration.Head(
        head.version,
        head.manifest_sha256 or '',
        head.roster_sha256 or '',
        head.roster_version,
        head.previous_roster_version,
    )


def head_from_row(value: dict[str, Any]) -> Head:
    """Return the head of a row or record; raise ProxyError(INTERNAL) on a missing field."""
    try:
        return Head(**{name: value[name] for name in Head._fields})
    except KeyError as exc:
        raise ProxyError(ErrorKind.INTERNAL, f'configuration head without {exc}') from exc


def encode_record(head: Head) -> bytes:
    """Return the encoded history record of a version."""
    return msgspec.json.encode(head._asdict(), order='sorted')


def encode_roster(roster: Roster) -> bytes:
    """Return the canonical encoding of a roster, identical for equal sets of seats."""
    seats = sorted(roster.seats, key=lambda seat: (seat.name, seat.incarnation))
    return msgspec.json.encode({'seats': [seat._asdict() for seat in seats]}, order='sorted')


def decode_roster(body: bytes) -> Roster:
    """Decode a roster; its seats are sorted by name."""
    return Roster(tuple(Seat(**entry) for entry in msgspec.json.decode(body)['seats']))
