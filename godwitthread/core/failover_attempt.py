"""Attempt to fence a database group and promote one of its members in a new term."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.failover_types import FenceMember, PromoteMember
from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.core.failover_types import Action, FenceReplied, PromoteReplied
    from godwitthread.types import TermHistory

#: Time after which an unfinished attempt is abandoned; the next one uses a higher term.
ATTEMPT_TIMEOUT_MS = 1_000
#: Time after which unanswered requests are sent again.
RESEND_MS = 250
#: Time for which a planned handover waits for the members beyond a majority.
HANDOVER_WAIT_MS = 150
#: Time in which the replicas can copy the rest of the log after the primary was fenced
#: for a handover. Without it the target is often behind the other replica.
CATCH_UP_MS = 50


class FailoverPlan(NamedTuple):
    """Parameters of an attempt."""

    term: int
    proposer: str
    members: tuple[str, ...]
    #: Members that should not become primary.
    avoid: frozenset[str]
    #: Primary that a planned handover replaces; None when the primary has failed.
    old_primary: str | None = None


class AttemptState(Enum):
    """Phase of a failover attempt."""

    FENCING = 'fencing'
    PROMOTING = 'promoting'
    DONE = 'done'
    FAILED = 'failed'


class FailoverAttempt:
    """Fence a majority of the members, then promote exactly one of them.

    An attempt uses a single term and sends promotion requests for it to a single member,
    so that duplicated or delayed requests cannot create two primaries in one term.
    """

    def __init__(self, now_ms: int, plan: FailoverPlan) -> None:
        self.plan = plan
        self.state = AttemptState.FENCING
        #: Member that is being promoted.
        self.target: str | None = None
        #: History of the new term, known when the attempt is done.
        self.history: TermHistory = ()
        self._started_ms = now_ms
        self._sent_ms = now_ms
        #: Members that receive fence requests; a planned handover fences the primary first.
        self._fence_targets = plan.members if plan.old_primary is None else (plan.old_primary,)
        self._fence_all_due_ms: int | None = None
        self._fence_all_sent_ms = now_ms
        self._granted: dict[str, FenceReplied] = {}
        self._refused: set[str] = set()

    def start(self) -> list[Action]:
        """Return the initial fence requests."""
        return self._fence(self._fence_targets)

    def fence_replied(self, now_ms: int, event: FenceReplied) -> list[Action]:
        """Process the answer to a fence request."""
        if self.state is not AttemptState.FENCING or event.term != self.plan.term:
            return []
        if event.member not in self.plan.members:
            return []
        if event.granted:
            self._granted[event.member] = event
            if self._fence_targets != self.plan.members and self._fence_all_due_ms is None:
                self._fence_all_due_ms = now_ms + CATCH_UP_MS
            return self._promote_if_ready(now_ms)
        self._refused.add(event.member)
        if len(self.plan.members) - len(self._refused) < majority(len(self.plan.members)):
            self.state = AttemptState.FAILED
        return []

    def promote_replied(self, event: PromoteReplied) -> None:
        """Process the answer to a promotion request."""
        if self.state is not AttemptState.PROMOTING:
            return
        if event.term != self.plan.term or event.member != self.target:
            return
        self.state = AttemptState.DONE if event.promoted else AttemptState.FAILED
        self.history = event.history

    def tick(self, now_ms: int) -> list[Action]:
        """Abandon the attempt after its timeout, otherwise resend unanswered requests."""
        if now_ms - self._started_ms >= ATTEMPT_TIMEOUT_MS:
            self.state = AttemptState.FAILED
            return []
        if self._fence_all_due_ms is not None and now_ms >= self._fence_all_due_ms:
            return self._fence_all(now_ms)
        actions = self._promote_if_ready(now_ms) if self.state is AttemptState.FENCING else []
        if actions or now_ms - self._sent_ms < RESEND_MS:
            return actions
        self._sent_ms = now_ms
        if self.state is AttemptState.PROMOTING:
            return self._promote()
        return self._fence(self._fence_targets)

    def _fence_all(self, now_ms: int) -> list[Action]:
        self._fence_all_due_ms = None
        self._fence_targets = self.plan.members
        self._sent_ms = self._fence_all_sent_ms = now_ms
        return self._fence(self._fence_targets)

    def _promote_if_ready(self, now_ms: int) -> list[Action]:
        if len(self._granted) < majority(len(self.plan.members)):
            return []
        is_planned = self.plan.old_primary is not None
        is_complete = len(self._granted) == len(self.plan.members)
        if is_planned and not is_complete and now_ms - self._fence_all_sent_ms < HANDOVER_WAIT_MS:
            return []
        self.target = choose_target(self._granted, self.plan)
        self.state = AttemptState.PROMOTING
        self._sent_ms = now_ms
        return self._promote()

    def _fence(self, members: tuple[str, ...]) -> list[Action]:
        pending = [name for name in members if name not in self._granted]
        return [FenceMember(name, self.plan.term, self.plan.proposer) for name in pending]

    def _promote(self) -> list[Action]:
        assert self.target is not None
        return [PromoteMember(self.target, self.plan.term, self.plan.proposer)]


def majority(count: int) -> int:
    """Return the smallest majority of a number of members."""
    return count // 2 + 1


def choose_target(granted: Mapping[str, FenceReplied], plan: FailoverPlan) -> str:
    """Return the member to promote among those that granted the fence.

    The member holds every acknowledged write. After a failure it is the one with the
    newest position; among equal positions a member outside `avoid` is preferred. A
    planned handover also accepts a member with an older position that is not in
    `avoid`, provided that it holds every acknowledged write.
    """
    newest_first = sorted(
        granted, key=lambda name: _promotion_key(granted[name], plan), reverse=True
    )
    if plan.old_primary is None:
        return newest_first[0]
    for name in newest_first[: _safe_target_count(newest_first, granted, plan)]:
        if name not in plan.avoid:
            return name
    return newest_first[0]


def log_end(reply: FenceReplied) -> Position:
    """Return the end of a member's log, with the term of its last entry.

    A member that follows a term may not have copied the log up to the start of that
    term yet. Its last entry then has an older term, and another member may hold newer
    entries.
    """
    for start in reversed(reply.history):
        if start.offset < reply.position.offset:
            return Position(start.term, reply.position.offset)
    return reply.position


def _promotion_key(reply: FenceReplied, plan: FailoverPlan) -> tuple[Position, bool, bool, str]:
    # Prefer the old primary, so that a handover that only starts a new term does not move it.
    member = reply.member
    return log_end(reply), member not in plan.avoid, member == plan.old_primary, member


def _safe_target_count(
    newest_first: list[str], granted: Mapping[str, FenceReplied], plan: FailoverPlan
) -> int:
    # A majority of all members holds each acknowledged write, so at least `holders` of the
    # members that granted the fence hold it. Every member that is at least as new as the
    # one at that rank therefore holds it too.
    missing = len(plan.members) - len(granted)
    holders = majority(len(plan.members)) - missing
    limit = log_end(granted[newest_first[holders - 1]])
    return sum(log_end(granted[name]) >= limit for name in newest_first)
