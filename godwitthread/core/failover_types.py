"""Input events and output actions of the failover state machine."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.types import MemberReport, Position, Promise, TermHistory


class Opinion(NamedTuple):
    """Observer's opinion on whether the primary of a database has failed."""

    database: str
    #: Proposer id of the observer, `<instance>/<incarnation>`.
    observer: str
    #: Sequence number, which increases with every opinion of one observer.
    sequence: int
    #: Newest term known to the observer.
    term: int
    suspects: bool


class GroupReport(NamedTuple):
    """Primary and term of a database group, as announced by an observer."""

    database: str
    term: int
    primary: str
    history: TermHistory


class ProbeSucceeded(NamedTuple):
    """A member answered a status request."""

    report: MemberReport


class ProbeFailed(NamedTuple):
    """A status request failed or timed out."""

    member: str


class ErrorReported(NamedTuple):
    """An instance of the serving set received an error from a member."""

    member: str


class OpinionReceived(NamedTuple):
    """An opinion of another observer arrived."""

    opinion: Opinion


class FenceReplied(NamedTuple):
    """A member answered a fence request."""

    member: str
    #: Term that was requested.
    term: int
    granted: bool
    promised: Promise
    position: Position
    history: TermHistory


class PromoteReplied(NamedTuple):
    """A member answered a promotion request."""

    member: str
    #: Term that was requested.
    term: int
    promoted: bool
    history: TermHistory


class HandoverRequested(NamedTuple):
    """Members that must not be primary were named; replaces the previous set."""

    avoid: frozenset[str]


class AssignmentChanged(NamedTuple):
    """The members or the assigned observers, in order of rank, changed."""

    members: tuple[str, ...]
    observers: tuple[str, ...]


class Tick(NamedTuple):
    """Time has passed; sent at least every 100 ms."""


Event = (
    ProbeSucceeded
    | ProbeFailed
    | ErrorReported
    | OpinionReceived
    | FenceReplied
    | PromoteReplied
    | HandoverRequested
    | AssignmentChanged
    | Tick
)


class ProbeMember(NamedTuple):
    """Request the status of a member; the result is ProbeSucceeded or ProbeFailed."""

    member: str
    timeout_ms: int


class SendOpinion(NamedTuple):
    """Send an opinion to another observer."""

    to: str
    opinion: Opinion


class FenceMember(NamedTuple):
    """Call godwit_fence(term, proposer) on a member."""

    member: str
    term: int
    proposer: str


class PromoteMember(NamedTuple):
    """Call godwit_promote(term, proposer) on a member."""

    member: str
    term: int
    proposer: str


class FollowMember(NamedTuple):
    """Call godwit_follow(term, primary) on a member."""

    member: str
    term: int
    primary: str


class AnnounceGroup(NamedTuple):
    """Send a group report to the serving set of the database."""

    report: GroupReport


Action = ProbeMember | SendOpinion | FenceMember | PromoteMember | FollowMember | AnnounceGroup
