"""Failure detection, fencing and promotion for the database group of one database."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core import failover_types as ft
from godwitthread.core.failover_attempt import AttemptState, FailoverAttempt, FailoverPlan, majority
from godwitthread.core.group_state import GroupState, followed_term
from godwitthread.core.member_probe_state import MemberProbeState, jittered
from godwitthread.core.opinions import Opinions

if TYPE_CHECKING:
    from random import Random

    from godwitthread.types import MemberReport, TermHistory

PROBE_INTERVAL_MS = 400
PROBE_TIMEOUT_MS = 400
#: Time without an answer after which the primary is suspected to have failed.
SUSPICION_MS = 1_000
#: Consecutive failed probes required for a suspicion, so that one lost probe does not cause it.
MIN_FAILED_PROBES = 2
#: Delay per rank before an observer acts, so that observers do not start attempts together.
RANK_DELAY_MS = 500
#: A longer interval between two steps means that this process was paused.
PAUSE_MS = 500
#: Bounds of the exponential back-off after a failed attempt.
BACKOFF_MIN_MS = 100
BACKOFF_MAX_MS = 2_000
#: Delay before the next planned handover when fencing left no suitable member to promote.
HANDOVER_RETRY_MS = 5_000
#: Time after which a new term is started when a replica has promised a term that never
#: began. Until then the replica does not follow any primary.
UNSTARTED_TERM_TIMEOUT_MS = 5_000
FOLLOW_INTERVAL_MS = 1_000
ANNOUNCE_INTERVAL_MS = 10_000


class FailoverObserver:
    """Monitor the members of a database group and replace its primary when it fails."""

    def __init__(
        self,
        now_ms: int,
        database: str,
        own_id: str,
        members: tuple[str, ...],
        observers: tuple[str, ...],
        rng: Random,
        interval_ms: int = PROBE_INTERVAL_MS,
    ) -> None:
        self._database = database
        #: Proposer id, unique to this incarnation of the instance.
        self._own_id = own_id
        self._rng = rng
        self._interval_ms = interval_ms
        self._probe_states: dict[str, MemberProbeState] = {}
        self._opinions = Opinions(own_id, interval_ms)
        self._avoid: frozenset[str] = frozenset()
        self._attempt: FailoverAttempt | None = None
        self._failed_attempts = 0
        self._attempt_after_ms = now_ms
        self._highest_term = 0
        self._handover_after_ms = now_ms
        self._last_step_ms = now_ms
        self._majority_reached_since_ms: int | None = None
        self._writes_blocked_since_ms: int | None = None
        self._unstarted_term_since_ms: int | None = None
        self._majority_suspects_since_ms: int | None = None
        self._handover_due_since_ms: int | None = None
        self._sequence = 0
        self._sent_opinion: tuple[int, bool] | None = None
        self._opinion_after_ms = now_ms
        self._announce_after_ms = now_ms
        #: Newest known term with its primary and term history.
        self.group = GroupState(now_ms)
        self._assign(now_ms, ft.AssignmentChanged(members, observers))

    def step(self, now_ms: int, event: ft.Event) -> list[ft.Action]:
        """Process an event and return the actions to perform."""
        self._check_pause(now_ms)
        actions = self._handle(now_ms, event)
        self._update_state(now_ms)
        actions += self._advance_attempt(now_ms)
        actions += self._start_attempt(now_ms)
        actions += self._send_opinions(now_ms)
        actions += self._announce(now_ms)
        actions += self._probe(now_ms)
        return actions

    def suspects(self, now_ms: int) -> bool:
        """Return whether this observer suspects that the primary has failed."""
        if self._majority_reached_since_ms is None:
            return False
        if self._writes_blocked_since_ms is not None:
            return now_ms - self._writes_blocked_since_ms >= SUSPICION_MS
        if self.group.primary is None:
            since_ms = max(self.group.since_ms, self._majority_reached_since_ms)
            return now_ms - since_ms >= SUSPICION_MS
        probe_state = self._probe_states[self.group.primary]
        since_ms = max(probe_state.silent_since_ms, self._majority_reached_since_ms)
        return now_ms - since_ms >= SUSPICION_MS and probe_state.failures >= MIN_FAILED_PROBES

    def _handle(self, now_ms: int, event: ft.Event) -> list[ft.Action]:
        match event:
            case ft.ProbeSucceeded(report):
                return self._probe_succeeded(now_ms, report)
            case ft.ProbeFailed(member) if member in self._probe_states:
                self._probe_states[member].failed(now_ms)
            case ft.ErrorReported(member) if member in self._probe_states:
                self._probe_states[member].expedite_probe(now_ms)
            case ft.OpinionReceived(opinion):
                self._opinion_received(now_ms, opinion)
            case ft.HandoverRequested(avoid):
                self._avoid = avoid
            case ft.AssignmentChanged():
                self._assign(now_ms, event)
            case ft.FenceReplied() | ft.PromoteReplied():
                return self._attempt_replied(now_ms, event)
        return []

    def _assign(self, now_ms: int, event: ft.AssignmentChanged) -> None:
        self._opinions.assign(now_ms, event.observers)
        if tuple(self._probe_states) == event.members:
            return
        self._probe_states = {
            name: self._probe_states.get(name)
            or MemberProbeState(now_ms, self._interval_ms, PROBE_TIMEOUT_MS, self._rng)
            for name in event.members
        }
        self._attempt = None
        if self.group.primary not in self._probe_states:
            self.group.adopt_term(now_ms, self.group.term, self.group.history, None)

    def _check_pause(self, now_ms: int) -> None:
        gap_ms, self._last_step_ms = now_ms - self._last_step_ms, now_ms
        if gap_ms <= PAUSE_MS:
            return
        for probe_state in self._probe_states.values():
            probe_state.reset_failures(now_ms)
        self._opinions.reset_suspicions(now_ms)
        self._attempt = None
        self._majority_reached_since_ms = self._writes_blocked_since_ms = (
            self._unstarted_term_since_ms
        ) = None
        self._majority_suspects_since_ms = self._handover_due_since_ms = None
        self.group.since_ms = now_ms

    def _probe_succeeded(self, now_ms: int, report: MemberReport) -> list[ft.Action]:
        probe_state = self._probe_states.get(report.member)
        if probe_state is None or not probe_state.succeeded(now_ms, report):
            return []
        term = followed_term(report)
        if self.group.is_new_primary(report):
            self._learn_primary(now_ms, term, report.member, report.history)
            return []
        if term > self.group.term:
            self.group.adopt_term(now_ms, term, report.history, None)
            self._expedite_probes(now_ms)
        return self._redirect_if_needed(now_ms, probe_state, report)

    def _learn_primary(self, now_ms: int, term: int, member: str, history: TermHistory) -> None:
        self.group.adopt_term(now_ms, term, history, member)
        self._expedite_probes(now_ms)
        self._probe_states[member].reset_failures(now_ms)
        self._writes_blocked_since_ms = self._majority_suspects_since_ms = None
        self._unstarted_term_since_ms = self._handover_due_since_ms = None
        self._failed_attempts = 0
        if self._attempt is not None and self._attempt.plan.term <= term:
            self._attempt = None
        self._announce_after_ms = now_ms

    def _expedite_probes(self, now_ms: int) -> None:
        for probe_state in self._probe_states.values():
            probe_state.expedite_probe(now_ms)

    def _redirect_if_needed(
        self, now_ms: int, probe_state: MemberProbeState, report: MemberReport
    ) -> list[ft.Action]:
        if not self.group.must_be_redirected(report):
            probe_state.misdirected_since_ms = None
            return []
        if probe_state.misdirected_since_ms is None:
            probe_state.misdirected_since_ms = now_ms
        due_ms = probe_state.misdirected_since_ms + self._opinions.rank(now_ms) * RANK_DELAY_MS
        if now_ms < max(due_ms, probe_state.follow_after_ms) or self.group.primary is None:
            return []
        probe_state.follow_after_ms = now_ms + FOLLOW_INTERVAL_MS
        return [ft.FollowMember(report.member, self.group.term, self.group.primary)]

    def _opinion_received(self, now_ms: int, opinion: ft.Opinion) -> None:
        if not self._opinions.receive(now_ms, opinion):
            return
        if opinion.term > self.group.term or opinion.suspects:
            self._expedite_probes(now_ms)

    def _attempt_replied(
        self, now_ms: int, event: ft.FenceReplied | ft.PromoteReplied
    ) -> list[ft.Action]:
        if isinstance(event, ft.FenceReplied):
            self._highest_term = max(self._highest_term, event.promised.term)
        if self._attempt is None:
            return []
        if isinstance(event, ft.FenceReplied):
            return self._attempt.fence_replied(now_ms, event)
        self._attempt.promote_replied(event)
        return []

    def _update_state(self, now_ms: int) -> None:
        quorum = majority(len(self._probe_states))
        reached = {name for name in self._probe_states if self._is_reached(now_ms, name)}
        self._majority_reached_since_ms = _condition_since(
            self._majority_reached_since_ms, len(reached) >= quorum, now_ms
        )
        ahead = {
            name
            for name, probe_state in self._probe_states.items()
            if probe_state.promised_term() > self.group.term
        }
        # Members that have promised a later term do not confirm writes of the current term.
        # Members that do not answer cannot be assumed to confirm them instead.
        is_blocked = self.group.primary is not None and (
            bool(ahead and len(reached - ahead) < quorum)
            or self.group.is_deposed(self._probe_states[self.group.primary].report)
        )
        self._writes_blocked_since_ms = _condition_since(
            self._writes_blocked_since_ms, is_blocked, now_ms
        )
        self._unstarted_term_since_ms = _condition_since(
            self._unstarted_term_since_ms, bool(ahead), now_ms
        )
        majority_suspects = self.suspects(now_ms) and self._opinions.majority_suspects(
            now_ms, self.group.term
        )
        self._majority_suspects_since_ms = _condition_since(
            self._majority_suspects_since_ms, majority_suspects, now_ms
        )
        is_due = self.group.primary in self._avoid or self._has_unstarted_term(now_ms)
        self._handover_due_since_ms = _condition_since(self._handover_due_since_ms, is_due, now_ms)

    def _is_reached(self, now_ms: int, name: str) -> bool:
        window_ms = max(SUSPICION_MS, 5 * self._interval_ms // 2)
        answered_ms = self._probe_states[name].answered_ms
        return answered_ms is not None and now_ms - answered_ms < window_ms

    def _has_unstarted_term(self, now_ms: int) -> bool:
        return (
            self._unstarted_term_since_ms is not None
            and now_ms - self._unstarted_term_since_ms >= UNSTARTED_TERM_TIMEOUT_MS
        )

    def _advance_attempt(self, now_ms: int) -> list[ft.Action]:
        attempt = self._attempt
        if attempt is None:
            return []
        actions = attempt.tick(now_ms) if attempt.state is not AttemptState.DONE else []
        if attempt.state is AttemptState.FAILED:
            self._attempt = None
            self._back_off(now_ms)
        if attempt.state is AttemptState.DONE and attempt.target is not None:
            self._attempt = None
            actions += self._complete_attempt(now_ms, attempt.plan, attempt.target, attempt.history)
        return actions

    def _complete_attempt(
        self, now_ms: int, plan: FailoverPlan, target: str, history: TermHistory
    ) -> list[ft.Action]:
        if target in self._avoid:
            self._handover_after_ms = now_ms + jittered(HANDOVER_RETRY_MS, self._rng)
        if plan.term > self.group.term:
            self._learn_primary(now_ms, plan.term, target, history)
        if plan.term < self.group.term:
            return []
        return [
            ft.FollowMember(name, plan.term, target)
            for name in self._probe_states
            if name != target
        ]

    def _back_off(self, now_ms: int) -> None:
        bound_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS << min(self._failed_attempts, 8))
        self._failed_attempts += 1
        self._attempt_after_ms = now_ms + self._rng.randint(bound_ms // 2, bound_ms)

    def _start_attempt(self, now_ms: int) -> list[ft.Action]:
        if self._attempt is not None or now_ms < self._attempt_after_ms:
            return []
        if self._majority_suspects_since_ms is not None:
            rank = self._opinions.suspecting_observers(now_ms, self.group.term).index(self._own_id)
            if now_ms >= self._majority_suspects_since_ms + rank * RANK_DELAY_MS:
                return self._create_attempt(now_ms, None)
        elif self._handover_due_since_ms is not None and self._may_hand_over(now_ms):
            rank = self._opinions.rank(now_ms)
            if now_ms >= self._handover_due_since_ms + rank * RANK_DELAY_MS:
                return self._create_attempt(now_ms, self.group.primary)
        return []

    def _create_attempt(self, now_ms: int, old_primary: str | None) -> list[ft.Action]:
        promised = [probe_state.promised_term() for probe_state in self._probe_states.values()]
        self._highest_term = max(self._highest_term, self.group.term, *promised) + 1
        plan = FailoverPlan(
            self._highest_term, self._own_id, tuple(self._probe_states), self._avoid, old_primary
        )
        self._attempt = FailoverAttempt(now_ms, plan)
        return self._attempt.start()

    def _may_hand_over(self, now_ms: int) -> bool:
        if self.group.primary is None or self.suspects(now_ms) or now_ms < self._handover_after_ms:
            return False
        # Start a new term even if the primary stays: a member that promised a term that never
        # began follows no primary of a lower term, so it has no primary until a new term begins.
        if self.group.primary not in self._avoid or self._has_unstarted_term(now_ms):
            return True
        return any(
            self.group.is_caught_up(now_ms, probe_state.report)
            for name, probe_state in self._probe_states.items()
            if name not in self._avoid
        )

    def _send_opinions(self, now_ms: int) -> list[ft.Action]:
        opinion = (self.group.term, self.suspects(now_ms))
        if opinion == self._sent_opinion and now_ms < self._opinion_after_ms:
            return []
        self._sent_opinion = opinion
        self._opinion_after_ms = now_ms + jittered(self._interval_ms, self._rng)
        self._sequence += 1
        message = ft.Opinion(self._database, self._own_id, self._sequence, *opinion)
        return [ft.SendOpinion(name, message) for name in self._opinions.others()]

    def _announce(self, now_ms: int) -> list[ft.Action]:
        if self.group.primary is None or now_ms < self._announce_after_ms:
            return []
        self._announce_after_ms = now_ms + jittered(ANNOUNCE_INTERVAL_MS, self._rng)
        report = ft.GroupReport(
            self._database, self.group.term, self.group.primary, self.group.history
        )
        return [ft.AnnounceGroup(report)]

    def _probe(self, now_ms: int) -> list[ft.Action]:
        return [
            ft.ProbeMember(name, PROBE_TIMEOUT_MS)
            for name, probe_state in self._probe_states.items()
            if probe_state.start_if_due(now_ms)
        ]


def _condition_since(since_ms: int | None, holds: bool, now_ms: int) -> int | None:
    if not holds:
        return None
    return now_ms if since_ms is None else since_ms
