"""State of the members of one group at one instance."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING

from godwitthread.core.position_evidence import PositionEvidence
from godwitthread.core.scheduling.member_state import MemberState, WorkItem
from godwitthread.core.scheduling.service_times import Kind
from godwitthread.core.statements import NOT_RUN, Refusal, Reply, Result, RunRequest
from godwitthread.core.write_authority import Succession
from godwitthread.gateway.groups.member_pool import MemberPool
from godwitthread.gateway.groups.statement_queue import StatementQueue
from godwitthread.gateway.ports import NotConnectedError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Group, Member
    from godwitthread.core.scheduling.dispatch import Assignment
    from godwitthread.gateway.crossings import Crossings
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Connection, Ports, PrimaryLease
    from godwitthread.types import Position

logger = logging.getLogger(__name__)

#: Delay after a member reported that it is busy, in ms; about the service time of a statement.
BUSY_PAUSE_MS = 10
#: Delay after a failed probe of the primary, in ms.
PROBE_PAUSE_MS = 100
#: Time limit of a statement that the gateway itself issues, in ms.
INTERNAL_TIMEOUT_MS = 400
_UNANSWERED = (Refusal.LOST, Refusal.UNREACHABLE)


class MemberGroup(StatementQueue):
    """Track the connections, load, log positions and primary of a group's members."""

    def __init__(
        self, name: str, clock: Clock, ports: Ports, log: Log, lease: PrimaryLease
    ) -> None:
        super().__init__(name, clock, log)
        self.lease = lease
        #: Counts the statements by failure domain, None if they are not counted.
        self.crossings: Crossings | None = None
        self.evidence = PositionEvidence()
        self.pools: dict[str, MemberPool] = {}
        self.members: dict[str, Member] = {}
        #: Organisation of the newest statement, None before the first one.
        self._last_organisation: str | None = None
        #: Members whose failure domain is being evacuated, with the start of the evacuation, in ms.
        self.evacuated: dict[str, int] = {}
        #: Whether work for the primary waits for the end of a failover.
        self.primary_work_paused = False
        #: Last known primary.
        self.last_primary: str | None = None
        #: Number of promotions; an answer to work sent before the last one is not acknowledged.
        self.epoch = 0
        #: Member whose promotion is ordered; meanwhile the former primary proves no position.
        self._successor: str | None = None
        #: Newest promotion that this instance has followed.
        self._followed = Succession()
        self._following = False
        #: Counts a request of an organisation that was sent to a member at a time and ran there.
        self.count_usage: Callable[[str, int], None] | None = None
        self._ports = ports
        self._group: Group | None = None
        self._tx_idle_ms = 0
        self._probing: eventlet.event.Event | None = None
        self._probe_after_ms = 0
        #: Time of the last read with a staleness bound, in ms.
        self._last_bounded_read_ms = 0
        #: Former primaries whose entry in the store still names them as the primary.
        self._invalid_claims: set[str] = set()
        #: Members that accept fewer connections than configured.
        self.limited: set[str] = set()

    def update(
        self,
        group: Group,
        members: dict[str, Member],
        evacuated_domains: set[str],
        tx_idle_ms: int,
    ) -> None:
        """Apply the current configuration and members of the group."""
        self._group, self._tx_idle_ms = group, tx_idle_ms
        now_ms = self._clock.now_ms()
        for member_id, member in members.items():
            known = self.members.get(member_id)
            if known is None or (known.born, known.address) != (member.born, member.address):
                self._add(now_ms, member)
            state = self.dispatcher.members[member_id]
            state.usable = not member.draining and member.failure_domain not in evacuated_domains
            state.failure_domain = member.failure_domain
            state.cold_rate = group.cold_rate
            self.pools[member_id].set_limit(group.connection_limit)
        for member_id in self.members.keys() - members.keys():
            self._drop(member_id)
        self.members = dict(members)
        self.evacuated = {
            each.id: self.evacuated.get(each.id, now_ms)
            for each in members.values()
            if each.failure_domain in evacuated_domains
        }
        self._find_primary(now_ms)
        self.dispatch_waiting()

    @property
    def synchronous(self) -> bool:
        """Return whether a commit is acknowledged only after a replica has received it."""
        return self._group is not None and self._group.synchronous

    def disable_pooling(self) -> None:
        """Close idle connections and keep no new ones, since another instance owns the group."""
        for pool in self.pools.values():
            pool.close_idle()

    def enable_pooling(self) -> None:
        """Keep idle connections open, since this instance owns the group."""
        for pool in self.pools.values():
            pool.allow_idle()

    def any_organisation(self) -> str | None:
        """Return an organisation that uses the group, None if there is none yet."""
        names = (pool.any_organisation() for pool in self.pools.values())
        return next((name for name in names if name), self._last_organisation)

    def fence_primary(self, successor: str) -> None:
        """Acknowledge no work that was sent to the primary until now, before an order."""
        self.epoch += 1
        self._successor = successor

    def end_fence(self) -> None:
        """Use the known primary again after the outcome of an order was announced."""
        self._successor = None
        self._followed = self.lease.succession

    def may_acknowledge(self, epoch: int) -> bool:
        """Return whether the primary was certainly not replaced since work of an epoch was sent."""
        followed = self.lease.succession <= self._followed
        return followed and epoch == self.epoch and self.lease.is_valid()

    def refresh_primary(self) -> None:
        """Give work to the primary only while this instance has the authority to use it."""
        usable = not self.primary_work_paused and self.lease.is_valid() and self._follow_promotion()
        primary = self.last_primary if usable else None
        if primary != self.dispatcher.primary:
            self.dispatcher.primary = primary
            self.dispatch_waiting()

    def set_promoted(self, member_id: str) -> None:
        """Make a member the known primary after it was promoted."""
        self.epoch += 1
        self._successor = None
        self._invalid_claims.discard(member_id)
        for other in self.members.keys() - {member_id}:
            self._invalidate_claim(other)
        self._set_primary(member_id if member_id in self.members else None)

    def confirm_primary(self, member_id: str) -> bool:
        """Probe whether a member is the primary; any answer counts as proof that it is alive."""
        return self._probe(member_id) is None

    def pause_primary_work(self, paused: bool) -> None:
        """Pause or resume the assignment of work to the primary."""
        self.primary_work_paused = paused
        self.refresh_primary()

    def unanswered_ms(self, member_id: str) -> int:
        """Return for how long a member has left requests unanswered, in ms."""
        state = self.dispatcher.members.get(member_id)
        if state is None or not state.unanswered_since_ms:
            return 0
        return self._clock.now_ms() - state.unanswered_since_ms

    def renew_evidence(self) -> None:
        """Probe the primary for its position; concurrent callers share one probe."""
        if self._probing is not None:
            self._probing.wait()
            return
        primary = self.last_primary
        state = self.dispatcher.members.get(primary or '')
        if state is None or primary is None:
            return
        if self._clock.now_ms() < max(state.paused_until_ms, self._probe_after_ms):
            return
        done = self._probing = eventlet.event.Event()
        try:
            failure = self._probe(primary)
            if failure is not None:
                self._probe_after_ms = self._clock.now_ms() + PROBE_PAUSE_MS
                if failure not in _UNANSWERED:
                    self._on_leadership_lost(primary)
        finally:
            self._probing = None
            done.send()

    def dispatch_waiting(self) -> None:
        """Assign waiting work to members with free capacity."""
        if len(self.dispatcher):
            held = (pool.over_share() for pool in self.pools.values())
            self.dispatcher.deferred = set().union(*held)
        super().dispatch_waiting()

    def _probe(self, member_id: str, attempts: int = 2) -> Refusal | None:
        """Begin a transaction as on the primary; return why that failed, None if it did not."""
        pool = self.pools.get(member_id)
        state = self.dispatcher.members.get(member_id)
        organisation = self.any_organisation()
        if pool is None or state is None or organisation is None:
            return Refusal.UNREACHABLE
        sent_ms, epoch = self._clock.now_ms(), self.epoch
        try:
            conn = pool.acquire(organisation, {}, INTERNAL_TIMEOUT_MS)
        except NotConnectedError as exc:
            self._log.failure('evidence_not_renewed', member=member_id, reason=exc.refusal.value)
            self.dispatch_waiting()
            return Refusal.UNREACHABLE
        with self._close_on_error(member_id, conn):
            begun = ended = conn.begin(False, None, INTERNAL_TIMEOUT_MS)
            if begun.refusal is None:
                # An earlier answer in place of that to BEGIN is noticed by the next answer.
                ended = conn.rollback(INTERNAL_TIMEOUT_MS)
        self._release(member_id, conn)
        if begun.refusal is None and ended.refusal is not None:
            return self._probe(member_id, attempts - 1) if attempts > 1 else Refusal.LOST
        if begun.refusal not in _UNANSWERED:
            state.record_contact(self._clock.now_ms())
        if begun.refusal is None:
            self._record_evidence(member_id, sent_ms, epoch, begun)
        return begun.refusal

    def _on_assigned(self, assignment: Assignment) -> None:
        if self.crossings is not None and not (assignment.work.primary or assignment.work.member):
            domain = self.dispatcher.members[assignment.member].failure_domain
            self.crossings.record_choice(domain, assignment.reason)

    def _next_room_ms(self) -> int | None:
        times = (pool.next_room_ms() for pool in self.pools.values())
        return min((each for each in times if each is not None), default=None)

    def _wait_for_member(self, work: WorkItem) -> str | Result:
        self._last_organisation = work.organisation or self._last_organisation
        if work.primary:
            self.refresh_primary()
        return self._wait(work)

    def _connect(self, member_id: str, req: RunRequest) -> Connection | None:
        """Return the connection reserved for a statement; None if it is to wait again."""
        pool = self.pools.get(member_id)
        try:
            if pool is None:
                raise NotConnectedError(Refusal.UNREACHABLE, 'the member was removed')
            return pool.acquire_reserved(req.organisation, dict(req.values))
        except NotConnectedError as exc:
            self._log.failure(
                'connection_refused', member=member_id, reason=exc.refusal.value, detail=str(exc)
            )
            self._report_limit(member_id)
            state = self.dispatcher.members.get(member_id)
            if state is not None and exc.refusal is Refusal.TOO_MANY:
                state.record_not_sent(self._clock.now_ms())
            elif state is not None:
                state.record_failure(self._clock.now_ms())
            self.dispatch_waiting()
            return None

    @contextlib.contextmanager
    def _release_slot_on_error(self, member_id: str) -> Iterator[None]:
        """Free the slot of a statement that an unexpected error ended."""
        try:
            yield
        except BaseException as exc:
            self._abandon(member_id, exc)
            raise

    @contextlib.contextmanager
    def _close_on_error(self, member_id: str, conn: Connection) -> Iterator[None]:
        """Close and release a connection on which an unexpected error ended a statement."""
        try:
            yield
        except BaseException:
            conn.close()
            self._return_to_pool(member_id, conn)
            raise

    def _abandon(self, member_id: str, exc: BaseException) -> None:
        logger.error('statement at %s failed', member_id, exc_info=exc)
        state = self.dispatcher.members.get(member_id)
        if state is not None:
            state.record_failure(self._clock.now_ms())
        self.dispatch_waiting()

    def _finish(
        self,
        member_id: str,
        conn: Connection,
        sent_ms: int,
        reply: Reply,
        kind: Kind = Kind.READ,
    ) -> None:
        self._return_to_pool(member_id, conn)
        self._record_result(member_id, conn.organisation, sent_ms, reply, kind)

    def _record_result(
        self,
        member_id: str,
        organisation: str,
        sent_ms: int,
        reply: Reply,
        kind: Kind,
        timed: bool = True,
    ) -> None:
        state = self.dispatcher.members.get(member_id)
        if state is None:
            return
        now_ms = self._clock.now_ms()
        if reply.refusal in (Refusal.LOST, Refusal.UNREACHABLE):
            state.record_failure(now_ms, sent_ms)
        else:
            ran = timed and (reply.refusal is None or reply.refusal not in NOT_RUN)
            took_ms = now_ms - sent_ms if ran else None
            self.dispatcher.record_answer(
                now_ms, state, organisation, kind, took_ms, reply.position, sent_ms
            )
        self.dispatch_waiting()

    def _release(self, member_id: str, conn: Connection) -> None:
        self._return_to_pool(member_id, conn)
        self.dispatch_waiting()

    def _return_to_pool(self, member_id: str, conn: Connection) -> None:
        pool = self.pools.get(member_id)
        if pool is None:
            conn.close()
        else:
            pool.release(conn)

    def _on_not_run(self, member_id: str, reply: Reply, work: WorkItem | None = None) -> None:
        state = self.dispatcher.members.get(member_id)
        now_ms = self._clock.now_ms()
        if reply.refusal is Refusal.READ_ONLY:
            self._on_leadership_lost(member_id)
        elif reply.refusal is Refusal.BEHIND and state is not None and work is not None:
            state.record_lagging(now_ms, now_ms - work.required_ms)
        elif reply.refusal is Refusal.BUSY and state is not None:
            state.record_shed(now_ms, BUSY_PAUSE_MS)
        elif reply.refusal is Refusal.BEHIND and state is not None:
            state.paused_until_ms = now_ms + BUSY_PAUSE_MS
        self.dispatch_waiting()

    def _record_evidence(self, member_id: str, sent_ms: int, epoch: int, reply: Reply) -> None:
        if self._successor is not None:
            proven = member_id == self._successor and epoch == self.epoch and self.lease.is_valid()
        else:
            # A probe may be answered by a former primary after a promotion became known.
            proven = member_id == self.last_primary and self.may_acknowledge(epoch)
        if proven and reply.position is not None:
            self.evidence.record(sent_ms, reply.position)

    def _required(self, req: RunRequest) -> Position | None:
        """Return the position that a read must see, None without sufficient evidence."""
        now_ms = self._clock.now_ms()
        self._last_bounded_read_ms = now_ms
        bound = self.evidence.position_bound(now_ms, req.max_age_ms)
        if bound is None:
            self.renew_evidence()
            bound = self.evidence.position_bound(self._clock.now_ms(), req.max_age_ms)
        if bound is None:
            return None
        return self.evidence.required_position(bound, req.seen)

    def _find_primary(self, now_ms: int) -> None:
        claims = [
            member.id
            for member in self.members.values()
            if member.primary and member.id not in self._invalid_claims
        ]
        if self._followed.confirmed and self._followed.member in self.members:
            # A former primary that does not know of its replacement renews its claim.
            claims = [each for each in claims if each == self._followed.member]
        for member in self.members.values():
            if not member.primary:
                # The entry names a replica, so a later claim of this member is a new one.
                self._invalid_claims.discard(member.id)
        if claims:
            self._set_primary(max(claims, key=self._rank_claim))
        elif self.last_primary not in self.members:
            self._set_primary(None)

    def _rank_claim(self, member_id: str) -> tuple[int, int]:
        """Rank a claim by the term seen in the member's answers, then by the entry's revision.

        The entry of a crashed primary names it as the primary for a while.
        """
        state = self.dispatcher.members[member_id]
        term = state.position.term if state.position else 0
        return term, self.members[member_id].revision

    def _on_leadership_lost(self, member_id: str) -> None:
        self._invalidate_claim(member_id)
        if member_id == self.last_primary:
            self._set_primary(None)
            self._find_primary(self._clock.now_ms())

    def _invalidate_claim(self, member_id: str) -> None:
        """Ignore the claim in a member's current entry; a later claim counts again."""
        member = self.members.get(member_id)
        if member is not None and member.primary:
            self._invalid_claims.add(member_id)

    def _set_primary(self, member_id: str | None) -> None:
        if member_id == self.last_primary:
            return
        self._log.event('primary_changed', group=self.name, member=member_id or '')
        self.last_primary = member_id
        self.refresh_primary()

    def _follow_promotion(self) -> bool:
        """Return whether the known primary is that of the newest promotion by any instance."""
        newest = self.lease.succession
        if newest <= self._followed:
            return True
        if newest.confirmed:
            self._followed = newest
            self.set_promoted(newest.member)
        elif not self._following and self.any_organisation() is not None:
            self._following = True
            eventlet.spawn_n(self._check_promotion, newest)
        return newest.confirmed

    def _check_promotion(self, newest: Succession) -> None:
        """Find out whether a promotion that another instance ordered has taken effect."""
        state = self.dispatcher.members.get(newest.member)
        answered_ms = state.last_answer_ms if state else 0
        try:
            promoted = self.confirm_primary(newest.member)
        finally:
            self._following = False
        if newest != self.lease.succession:
            return
        self._followed = newest
        if promoted:
            self.set_promoted(newest.member)
        elif state is None or state.last_answer_ms == answered_ms:
            # Another member may be used only after a promotion by this instance.
            self.set_promoted('')
        self.refresh_primary()

    def _add(self, now_ms: int, member: Member) -> None:
        self._drop(member.id)
        state = MemberState(member.id, member.slots)
        state.cold_until_ms = now_ms + member.cold_ms
        self.dispatcher.members[member.id] = state
        limit = self._group.connection_limit if self._group else 1
        pool = MemberPool(
            member, limit, self._clock, self._ports.connect, self._on_connection_opened
        )
        self.pools[member.id] = pool
        state.has_connection, state.has_room = pool.has_idle, pool.has_room
        state.reserve_connection = pool.reserve
        self._invalid_claims.discard(member.id)

    def _drop(self, member_id: str) -> None:
        self.dispatcher.members.pop(member_id, None)
        self.limited.discard(member_id)
        pool = self.pools.pop(member_id, None)
        if pool is not None:
            pool.close_idle()

    def _report_limit(self, member_id: str) -> None:
        pool = self.pools.get(member_id)
        limited = pool is not None and pool.accepted.accepted < pool.accepted.configured
        if pool is None or limited == (member_id in self.limited):
            return
        self.limited ^= {member_id}
        self._log.event(
            'connections_limited' if limited else 'connections_unlimited',
            group=self.name,
            member=member_id,
            accepted=pool.accepted.accepted,
            configured=pool.accepted.configured,
        )

    def _on_connection_opened(self, member_id: str, reply: Reply, took_ms: int) -> None:
        self._report_limit(member_id)
        state = self.dispatcher.members.get(member_id)
        if state is not None:
            state.observe_position(reply.position)
            state.record_setup(took_ms)
        # The member may accept yet another connection, as after a trial.
        self.dispatch_waiting()
