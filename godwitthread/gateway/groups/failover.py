"""Failover: the owner of a group replaces the group's primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.primary_replacement import (
    PROMOTION_ORDER_INTERVAL_MS,
    Candidate,
    PrimaryHealth,
    is_planned,
    reason_to_replace,
    successor,
)
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.groups.replica_control import ReplicaControl
from godwitthread.gateway.promotion_duty import OrderRequest
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.gateway.groups.group_runner import GroupRunner
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.promotion_duty import OrderAnswer
    from godwitthread.types import Position

#: Time without a known primary before the owner promotes a member, in ms. Members report a
#: change at once, and the change feed of the store delays it by up to 250 ms.
NO_PRIMARY_DELAY_MS = 1_000
#: Time that open transactions have to end before a planned failover, in ms.
DRAIN_TIMEOUT_MS = 600
#: Time that a replica has to catch up with the primary before a planned failover, in ms.
CATCH_UP_TIMEOUT_MS = 1_500
#: Time within which an ordered member must become the primary, in ms; platforms take 0.3 to 1 s.
PROMOTION_TIMEOUT_MS = 2_500
#: Errors after which an order reached neither the holder of the promotion duty nor the platform.
UNDELIVERED_ORDER_KINDS = frozenset(
    {
        ErrorKind.BACKEND_UNAVAILABLE,
        ErrorKind.MOVED,
        ErrorKind.STORE_UNAVAILABLE,
        ErrorKind.STORE_UNKNOWN,
    }
)
#: Delay before an order that certainly reached nobody is repeated, in ms: the store may be back,
#: or another instance may have taken the promotion duty since. It bounds the reads of the store.
UNDELIVERED_RETRY_MS = 300
#: Poll interval of awaited conditions, in ms.
POLL_MS = 20
#: Delay between two planned failovers of the same primary, in ms.
PLANNED_RETRY_MS = 2_000


class Failover:
    """Monitor the primary of one group, and replace it when it fails or must be vacated."""

    def __init__(
        self,
        runner: GroupRunner,
        clock: Clock,
        log: Log,
        order: Callable[[OrderRequest], OrderAnswer],
        may_replace: Callable[[], bool],
    ) -> None:
        self._runner = runner
        self._replicas = ReplicaControl(runner, log)
        self._clock = clock
        self._log = log
        self._order = order
        #: Returns whether instances agree that this one owns the group. Two owners that each do not
        #: reach the other's primary would promote in turn, and bring back commits that were rolled
        #: back.
        self._may_replace = may_replace
        self._next_ms = 0
        self._unknown_since_ms = 0
        self._running = False
        #: Whether an order whose outcome is unknown may still take effect.
        self._order_pending = False

    def begin(self) -> None:
        """Start as the new owner; the previous one may have left replicas paused."""
        if self._runner.synchronous:
            eventlet.spawn_n(self._replicas.resume_orphaned)

    def tick(self) -> None:
        """Check whether the primary must be replaced, and replace it in a separate thread."""
        now_ms = self._clock.now_ms()
        reason = reason_to_replace(self._signs(now_ms))
        if reason is None and self._order_pending and self._runner.synchronous:
            # Replicas stay paused until the outcome of the order is certain.
            reason = 'order_open'
        if reason == 'no_primary':
            self._unknown_since_ms = self._unknown_since_ms or now_ms
            if now_ms - self._unknown_since_ms < NO_PRIMARY_DELAY_MS or not self._runner.members:
                return
        else:
            self._unknown_since_ms = 0
        if reason is None or self._running or now_ms < self._next_ms:
            return
        if not self._order_pending and not self._may_replace():
            return
        self._running = True
        eventlet.spawn_n(self._replace, reason)

    def _signs(self, now_ms: int) -> PrimaryHealth:
        runner = self._runner
        primary = runner.last_primary
        member = runner.members.get(primary or '')
        pool = runner.pools.get(primary or '')
        if primary is None:
            return PrimaryHealth(None, False, False, False, 0, 0, False)
        refused_ms = now_ms - pool.refused_since_ms if pool and pool.refused_since_ms else 0
        others = any(
            now_ms - state.last_answer_ms < PROMOTION_ORDER_INTERVAL_MS
            for state in runner.dispatcher.members.values()
            if state.id != primary
        )
        return PrimaryHealth(
            primary=primary,
            listed=member is not None,
            draining=member is not None and member.draining,
            evacuated=primary in runner.evacuated,
            unanswered_ms=runner.unanswered_ms(primary),
            refused_ms=refused_ms,
            others_answer=others,
        )

    def _replace(self, reason: str) -> None:
        planned = is_planned(reason)
        if reason == 'silent' and not self._confirm_unresponsive():
            self._running = False
            return
        started_ms = self._clock.now_ms()
        fenced = False
        gap_ms = PLANNED_RETRY_MS if planned else PROMOTION_ORDER_INTERVAL_MS
        # No new work may reach a primary that has failed or is about to hand over.
        self._runner.pause_primary_work(True)
        try:
            chosen = self._prepare_planned() if planned else self._select_successor(None)
            if chosen is None:
                self._log.failure(
                    'promotion_failed',
                    group=self._runner.name,
                    reason=reason,
                    detail='no eligible successor',
                )
                return
            self._log.event(
                'primary_suspected' if not planned else 'handover_started',
                group=self._runner.name,
                primary=self._runner.last_primary or '',
                reason=reason,
                successor=chosen.id,
                received=str(chosen.received),
            )
            fenced = self._runner.lease.acquire_exclusive(chosen.id)
            if not fenced:
                raise ProxyError(
                    ErrorKind.BACKEND_UNAVAILABLE, 'another instance may be using the primary'
                )
            self._runner.fence_primary(chosen.id)
            if self._runner.last_primary is not None:
                self._runner.end_transactions(self._runner.last_primary)
            self._order_pending = True
            answer = self._order(OrderRequest(self._runner.name, chosen.id))
            is_primary = answer.done and self._wait_until_primary(chosen.id)
            self._order_pending = not (is_primary or (answer.final and not answer.done))
            took_ms = self._clock.now_ms() - started_ms
            self._log.event(
                'member_promoted' if answer.done else 'promotion_failed',
                group=self._runner.name,
                member=chosen.id,
                took_ms=took_ms,
            )
        except ProxyError as exc:
            undelivered = exc.kind in UNDELIVERED_ORDER_KINDS
            if self._order_pending and undelivered and not planned:
                gap_ms = UNDELIVERED_RETRY_MS
            self._order_pending = self._order_pending and not undelivered
            self._log.failure(
                'promotion_failed', group=self._runner.name, reason=reason, detail=exc.message
            )
        finally:
            if not self._order_pending:
                # While an order is pending, replicas stay paused: its late effect would roll back
                # what they received since.
                self._replicas.resume()
            if fenced:
                former = None if self._order_pending else self._runner.last_primary or ''
                self._runner.lease.end_exclusive(former)
                self._runner.end_fence()
            self._runner.pause_primary_work(False)
            self._next_ms = self._clock.now_ms() + gap_ms
            self._running = False

    def _wait_until_primary(self, member_id: str) -> bool:
        """Wait until the member is the primary, which it becomes some time after the order."""
        end_ms = self._clock.now_ms() + PROMOTION_TIMEOUT_MS
        while self._clock.now_ms() < end_ms:
            if self._runner.confirm_primary(member_id):
                self._runner.set_promoted(member_id)
                return True
            eventlet.sleep(POLL_MS / 1000)
        return False

    def _confirm_unresponsive(self) -> bool:
        """Probe a silent primary again, since a single lost answer must not cause a failover."""
        primary = self._runner.last_primary
        return primary is None or not self._runner.confirm_primary(primary)

    def _prepare_planned(self) -> Candidate | None:
        """Wait for open work to end and for a replica to catch up; return that replica."""
        runner = self._runner
        primary = runner.last_primary
        assert primary is not None
        if self._select_unpaused(None) is None:
            return None
        end_ms = self._clock.now_ms() + DRAIN_TIMEOUT_MS
        state = runner.dispatcher.members.get(primary)
        while self._clock.now_ms() < end_ms and state is not None:
            if not state.running and not runner.open_transactions(primary):
                break
            eventlet.sleep(POLL_MS / 1000)
        runner.end_transactions(primary)
        runner.renew_evidence()
        required = runner.evidence.newest
        end_ms = self._clock.now_ms() + CATCH_UP_TIMEOUT_MS
        while True:
            chosen = self._select_unpaused(required)
            if chosen is not None and self._runner.synchronous:
                chosen = self._select_paused(required)
            if chosen is not None:
                return chosen
            if self._clock.now_ms() >= end_ms:
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'no replica caught up in time')
            eventlet.sleep(POLL_MS / 1000)

    def _select_successor(self, required: Position | None) -> Candidate | None:
        if self._runner.synchronous:
            return self._select_paused(required)
        return self._select_unpaused(required)

    def _select_unpaused(self, required: Position | None) -> Candidate | None:
        """Return the usable member with the newest received position."""
        chosen = successor(self._replicas.query_positions(), self._runner.last_primary)
        return None if _is_behind(chosen, required) else chosen

    def _select_paused(self, required: Position | None) -> Candidate | None:
        """Pause all replicas and return one that holds every acknowledged commit, None if unsure.

        Any replica may be the only one that received a commit, so all of them must answer.
        """
        answers = self._replicas.pause(self._replicas.others())
        newest = max((each.received for each in answers if each.received), default=None)
        if newest is None or any(each.received is None for each in answers):
            return None
        chosen = successor(answers, self._runner.last_primary)
        if _is_behind(chosen, newest):
            # Promoting a draining replica is better than losing a commit.
            able = [each._replace(usable=True) for each in answers]
            chosen = successor(able, self._runner.last_primary)
        return None if _is_behind(chosen, required) else chosen


def _is_behind(chosen: Candidate | None, required: Position | None) -> bool:
    if chosen is None or chosen.received is None:
        return True
    return required is not None and chosen.received < required
