"""Data types shared by several packages."""

from __future__ import annotations

from typing import NamedTuple


class Position(NamedTuple):
    """Position in the log of a database group; only comparable along a term history."""

    #: Term (timeline) in which this part of the log was written.
    term: int
    #: Offset in the log, in bytes.
    offset: int


class TermStart(NamedTuple):
    """Log offset at which a term begins."""

    term: int
    offset: int


#: Term starts of a group in ascending order of term.
TermHistory = tuple[TermStart, ...]


class Promise(NamedTuple):
    """Term that a member has promised, and the proposer to which it was promised."""

    term: int
    proposer: str


class MemberReport(NamedTuple):
    """State of one member of a database group, as reported by the member itself."""

    database: str
    member: str
    #: 'primary' or 'replica'.
    role: str
    position: Position
    promised: Promise
    #: Replication lag: age of the newest data that the member has applied, in ms; 0 on a primary.
    lag_ms: int
    history: TermHistory
    #: Monotonic time at which the receiver of this report sent the status request, in ms.
    requested_ms: int


class MemberSpec(NamedTuple):
    """Member of a database group, as specified in the manifest."""

    name: str
    host: str
    port: int
    failure_domain: str
    #: Whether the member is about to be removed and receives no new work.
    leaving: bool = False


class Seat(NamedTuple):
    """Entry of one instance in the roster."""

    name: str
    #: Random number chosen at process start, which distinguishes restarts of an instance.
    incarnation: int
    host: str
    #: Port for messages from other instances.
    peer_port: int
    operator_port: int
    caller_port: int
    failure_domain: str


class Roster(NamedTuple):
    """Instances that own shares and count towards majorities."""

    seats: tuple[Seat, ...]

    def names(self) -> tuple[str, ...]:
        """Return the names of all instances in the stored order."""
        return tuple(seat.name for seat in self.seats)
