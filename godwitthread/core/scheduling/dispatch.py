"""Scheduling of the statements of one group on its members."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.scheduling import admission
from godwitthread.core.scheduling.absence import Absence
from godwitthread.core.scheduling.admission import LASTING_TIME_CONSTANT_MS, Backlog, SlotUse
from godwitthread.core.scheduling.fairness import HoldTimeShares
from godwitthread.core.scheduling.member_state import MemberState, WorkItem
from godwitthread.core.scheduling.order import Lane, QueueLengths, transaction_key
from godwitthread.core.scheduling.placement import (
    PRIMARY_READ_PENALTY,
    Choice,
    Placement,
    Reason,
    place,
)
from godwitthread.core.scheduling.retry_delays import RetryDelays

if TYPE_CHECKING:
    from collections.abc import Iterator

    from godwitthread.core.scheduling.service_times import Kind
    from godwitthread.types import Position

#: Part of its time to the objective that a statement may be expected to wait before organisations
#: share the slots. Below it, the order by objective serves different objectives better.
SHARING_WAIT = 0.5
#: Service times before its latest start at which a late statement precedes statements in time,
#: within the share of slots that late statements get at least.
URGENT_SERVICE_TIMES = 6
#: Shortest retry delay while no member is there, in ms; about the service time of a statement.
MIN_RETRY_MS = 10
#: Retry delay while members have been absent for long, in ms; an order of a promotion that reached
#: nobody is repeated after 300 ms.
MISSING_RETRY_MS = 150
#: Interval at which the organisations that use slots are counted, in ms.
ACTIVE_COUNT_MS = 100
#: Average number of slots from which an organisation counts as using them.
MIN_ACTIVE_SLOTS = 0.005
#: Waiting statements whose required position is considered when the next check is scheduled.
MAX_POSITIONS = 32
#: Interval of checks while more statements than that wait, in ms.
POSITION_CHECK_MS = 10


class Rejection(NamedTuple):
    """Statement that cannot start before its deadline, with a retry delay."""

    work: WorkItem
    retry_after_ms: int


class Assignment(NamedTuple):
    """Statement that can start now, and the member that runs it."""

    work: WorkItem
    member: str
    #: Reason for which the statement leaves this failure domain, None if it does not.
    reason: Reason | None = None


class _Start(NamedTuple):
    """Statement that can start next."""

    lane: Lane
    work: WorkItem
    member: MemberState
    late: bool
    reason: Reason | None


class Dispatcher:
    """Assign the waiting statements of a group to its members."""

    def __init__(self) -> None:
        self.members: dict[str, MemberState] = {}
        #: Primary, None while there is none or a switchover is in progress.
        self.primary: str | None = None
        #: Decides which statements leave this failure domain, None if domains do not matter.
        self.placement: Placement | None = None
        self.shares = HoldTimeShares()
        self.retry_delays = RetryDelays()
        #: Statements that only the primary can run, and reads.
        self._writes, self._reads = Lane(self.shares), Lane(self.shares)
        #: Statements of open transactions by number, and their order.
        self._continuing: dict[int, WorkItem] = {}
        self._continuing_order: list[tuple[bool, int, int, int]] = []
        #: Whether organisations share the slots, because not everything is in time.
        self._sharing = False
        lanes = (self._writes, self._reads)
        self._demand = {id(lane): SlotUse() for lane in lanes}
        #: The same demand, averaged over a longer time.
        self._lasting = {id(lane): SlotUse(LASTING_TIME_CONSTANT_MS) for lane in lanes}
        #: Slots used by each organisation that used any recently, and when they were counted.
        self._use_of: dict[str, SlotUse] = {}
        self._counted_ms = 0
        self._transaction_use = SlotUse()
        self._late_use = SlotUse()
        self._refused: list[Rejection] = []
        #: Time without a member for each lane.
        self._absence = {id(lane): Absence() for lane in lanes}
        #: Organisations that wait behind others, since they hold many of the connections.
        self.deferred: set[str] = set()

    def __len__(self) -> int:
        return len(self._writes) + len(self._reads) + len(self._continuing)

    def __iter__(self) -> Iterator[WorkItem]:
        return itertools.chain(self._continuing.values(), self._writes, self._reads)

    def queue_lengths(self) -> QueueLengths:
        """Return the numbers of waiting statements."""
        due = self._writes.due + self._reads.due
        late = self._writes.late + self._reads.late
        return QueueLengths(due, late, len(self._continuing))

    def submit(self, now_ms: int, work: WorkItem) -> Rejection | None:
        """Queue a statement, or reject it if it is not expected to be answered in time."""
        if work.member:
            self._continuing[work.number] = work
            bisect.insort(self._continuing_order, transaction_key(work))
            return None
        lane = self._lane(work)
        able = [
            member for member in self.members.values() if self._is_eligible(now_ms, work, member)
        ]
        if not able:
            if self._absence[id(lane)].is_long(now_ms):
                return Rejection(work, self.retry_after_ms(now_ms, work, MISSING_RETRY_MS))
            return_ms = self._return_ms(now_ms, work)
            if return_ms is not None and return_ms > max(work.deadline_ms, work.limit_ms):
                return Rejection(work, return_ms - now_ms)
            # The load says nothing about when a member will be there.
            lane.add_due(work, admission.INITIAL_SLOT_MS)
            return None
        self._absence[id(lane)].end_if_answered(able)
        in_time_ms = work.objective_ms - min(member.service_ms for member in able) - now_ms
        free = self._has_free_slot(now_ms, lane, able)
        slot_ms = able[0].slot_ms(work.kind)
        least_slots = admission.MIN_NEW_SHARE * sum([member.slots for member in able])
        short = not self._sharing and lane.due * slot_ms / least_slots < SHARING_WAIT * in_time_ms
        if (free and in_time_ms >= 0) or short:
            # A slot that is free now starts the statement, whatever is expected; and a short queue
            # needs no exact estimate.
            self._add_due(now_ms, lane, work, slot_ms)
            return None
        backlog = self._backlog(now_ms, work, lane, able)
        wait_ms = admission.wait_ms(backlog, self._sharing)
        if not self._sharing and wait_ms > SHARING_WAIT * (work.objective_ms - now_ms):
            self._sharing = True
            wait_ms = admission.wait_ms(backlog, True)
        if admission.WAIT_MARGIN * wait_ms <= in_time_ms:
            self._add_due(now_ms, lane, work, backlog.slot_ms)
            return None
        return self._admit_late(now_ms, work, lane, backlog, free)

    def cancel(self, number: int) -> bool:
        """Remove a waiting statement; return False if it was already assigned or refused."""
        self._forget(number)
        work = self._continuing.pop(number, None)
        if work is not None:
            order = self._continuing_order
            del order[bisect.bisect_left(order, transaction_key(work))]
            return True
        return self._writes.remove(number) or self._reads.remove(number)

    def assign(self, now_ms: int) -> list[Assignment]:
        """Return the statements that can start now; their members count them as running."""
        assigned: list[Assignment] = []
        if self._continuing:
            self._assign_continuing(now_ms, assigned)
        if not self._writes.entries and not self._reads.entries:
            self._sharing = False
            return assigned
        free = {member.id: member for member in self.members.values() if member.can_accept(now_ms)}
        if not free and not self._sharing:
            return assigned
        for lane in (self._writes, self._reads):
            if lane.entries:
                self._sort_out(now_ms, lane)
        if self.placement is not None:
            self.placement.begin_round()
        while free and (self._writes.entries or self._reads.entries):
            start = self._next(now_ms, free)
            if start is None:
                break
            self._account(now_ms, start)
            assigned.append(Assignment(start.work, start.member.id, start.reason))
            if not start.member.can_accept(now_ms):
                del free[start.member.id]
        return assigned

    def record_answer(
        self,
        now_ms: int,
        member: MemberState,
        organisation: str,
        kind: Kind,
        service_ms: float | None,
        position: Position | None,
        started_ms: int | None,
    ) -> None:
        """Record an answer at the member, and the slot time of the organisation."""
        held_ms = member.record_answer(now_ms, service_ms, position, started_ms, kind)
        self._absence[id(self._reads)].end()
        if member.id == self.primary:
            self._absence[id(self._writes)].end()
        if held_ms is not None:
            self.shares.learn(organisation, round(held_ms))

    def take_refused(self) -> list[Rejection]:
        """Return the statements that were refused while they waited."""
        refused, self._refused = self._refused, []
        return refused

    def has_member(self, now_ms: int, work: WorkItem) -> bool:
        """Return whether a member may run a statement once it has a free slot."""
        return any(self._is_eligible(now_ms, work, member) for member in self.members.values())

    def retry_after_ms(self, now_ms: int, work: WorkItem, min_delay_ms: int = MIN_RETRY_MS) -> int:
        """Return a retry delay for a statement whose member is missing."""
        slots = sum(member.slots for member in self.members.values()) or 1
        spacing_ms = admission.INITIAL_SLOT_MS / slots
        left_ms = max(work.limit_ms, work.deadline_ms) - now_ms
        return self.retry_delays.reserve(now_ms, min_delay_ms, spacing_ms, left_ms)

    def next_change_ms(self, now_ms: int) -> int | None:
        """Return when `assign` is to run again if no answer arrives, None if nothing waits."""
        if not (self._writes.entries or self._reads.entries or self._continuing):
            return None
        members = self.members.values()
        times = [now_ms + 1_000]
        for member in members:
            times += [
                each for each in (member.paused_until_ms, member.busy_until_ms) if each > now_ms
            ]
            for change_ms in (member.next_overdue_ms(now_ms), member.next_cold_send_ms(now_ms)):
                if change_ms is not None:
                    times.append(change_ms)
        reads = [work for work in itertools.islice(self._reads, MAX_POSITIONS) if work.required]
        if len(self._reads) > MAX_POSITIONS:
            times.append(now_ms + POSITION_CHECK_MS)
        times += [
            each
            for work in reads
            for member in members
            if (each := member.expected_applied_ms(now_ms, work.required_ms)) > now_ms
        ]
        if self.placement is not None and (kept_ms := self.placement.next_change_ms(now_ms)):
            times.append(kept_ms)
        return max(now_ms + 1, min(times))

    def _add_due(self, now_ms: int, lane: Lane, work: WorkItem, slot_ms: float) -> None:
        lane.add_due(work, slot_ms)
        self._demand[id(lane)].add(now_ms, slot_ms)
        self._lasting[id(lane)].add(now_ms, slot_ms)

    def _lane(self, work: WorkItem) -> Lane:
        return self._writes if work.primary else self._reads

    def _is_eligible(self, now_ms: int, work: WorkItem, member: MemberState) -> bool:
        """Return whether a member may run a statement once it has a free slot."""
        if not member.usable or now_ms < member.paused_until_ms:
            return False
        if work.primary:
            return member.id == self.primary
        if member.id in work.avoid:
            return False
        return member.id == self.primary or member.has_applied(now_ms, work)

    def _return_ms(self, now_ms: int, work: WorkItem) -> int | None:
        """Return when the pause of the last member for a read ends, None if unknown."""
        if work.primary:
            # A primary that pauses after failures may be replaced at any time.
            return None
        members = [each for each in self.members.values() if each.id not in work.avoid]
        if not all(each.usable and each.paused_until_ms > now_ms for each in members):
            return None
        return min((each.paused_until_ms for each in members), default=None)

    def _has_free_slot(self, now_ms: int, lane: Lane, able: list[MemberState]) -> bool:
        """Return whether a free slot is left for a new statement by those that wait."""
        slots = sum([member.free_slots(now_ms) for member in able])
        if len(lane.entries) < slots or not slots:
            return bool(slots)
        free = {member.id: member for member in able if member.free_slots(now_ms)}
        waiting = (work for work in lane if self._eligible(now_ms, work, free))
        return len(list(itertools.islice(waiting, slots))) < slots

    def _backlog(self, now_ms: int, work: WorkItem, lane: Lane, able: list[MemberState]) -> Backlog:
        slots: float = sum(member.slots for member in able)
        slot_ms = sum(member.slot_ms(work.kind) for member in able) / len(able)
        taken = 0.0
        if any(member.id == self.primary for member in able):
            taken = self._transaction_use.slots(now_ms)
            if lane is self._reads:
                taken += self._demand[id(self._writes)].slots(now_ms)
        own_use = self._use_of.get(work.organisation)
        own_slots = own_use.slots(now_ms) if own_use else 0.0
        hold_ms = self.shares.expected_ms(work.organisation, slot_ms)
        own = lane.due_of(work.organisation)
        return Backlog(
            max(admission.MIN_NEW_SHARE * slots, slots - taken),
            slot_ms,
            lane.due,
            own * hold_ms,
            lane.organisations + (not own),
            own_slots,
            max(0.0, self._demand[id(lane)].slots(now_ms) - own_slots),
            max(1, self._active_organisations(now_ms)),
        )

    def _active_organisations(self, now_ms: int) -> int:
        if now_ms >= self._counted_ms + ACTIVE_COUNT_MS:
            self._counted_ms = now_ms
            self._use_of = {
                name: use
                for name, use in self._use_of.items()
                if use.slots(now_ms) > MIN_ACTIVE_SLOTS
            }
        return len(self._use_of)

    def _admit_late(
        self,
        now_ms: int,
        work: WorkItem,
        lane: Lane,
        backlog: Backlog,
        free: bool,
    ) -> Rejection | None:
        """Queue a statement that cannot meet its objective behind the others, or reject it."""
        latest_ms = work.deadline_ms
        slots = admission.late_slots(backlog.slots, self._lasting[id(lane)].slots(now_ms))
        due_ms = lane.due * backlog.slot_ms / backlog.slots
        late_ms = due_ms + (lane.late + 1) * backlog.slot_ms / slots
        own_ms = lane.late_of(work.organisation) * max(1, lane.late_organisations)
        share_ms = due_ms + own_ms * backlog.slot_ms / slots
        if free or now_ms + max(late_ms, share_ms) < latest_ms:
            lane.add_late(work, latest_ms)
            return None
        # Room comes once the statements ahead have run, unless new ones take it.
        spacing_ms = backlog.slot_ms / backlog.slots
        room_ms = max(1.0, (lane.due + lane.late) * spacing_ms)
        delay_ms = self.retry_delays.reserve(now_ms, room_ms, spacing_ms, latest_ms - now_ms)
        return Rejection(work, delay_ms)

    def _sort_out(self, now_ms: int, lane: Lane) -> None:
        """Move statements behind the others once they miss their objective; refuse expired ones."""
        fastest_ms = min((each.service_ms for each in self.members.values()), default=0.0)
        for work in lane.take_turned_late(now_ms + fastest_ms / 2):
            able = [
                member
                for member in self.members.values()
                if self._is_eligible(now_ms, work, member)
            ]
            if not able:
                lane.add_late(work, work.deadline_ms)
                continue
            backlog = self._backlog(now_ms, work, lane, able)
            refused = self._admit_late(now_ms, work, lane, backlog, False)
            if refused is not None:
                self._forget(work.number)
                self._refused.append(refused)
        for work in lane.take_expired(now_ms):
            self._forget(work.number)
            self._refused.append(Rejection(work, self.retry_after_ms(now_ms, work)))

    def _assign_continuing(self, now_ms: int, assigned: list[Assignment]) -> None:
        for key in list(self._continuing_order):
            work = self._continuing[key[3]]
            member = self.members.get(work.member)
            if member is not None:
                if not member.can_continue(now_ms):
                    continue
                member.record_sent(now_ms)
                self._transaction_use.add(now_ms, member.slot_ms(work.kind))
            self.cancel(work.number)
            assigned.append(Assignment(work, work.member))

    def _forget(self, number: int) -> None:
        if self.placement is not None:
            self.placement.forget(number)

    def _next(self, now_ms: int, free: dict[str, MemberState]) -> _Start | None:
        """Return the statement that starts next."""
        late = bool(self._writes.late or self._reads.late)
        urgent = self._first(now_ms, free, late=True, urgent=True) if late else None
        if urgent is not None:
            return urgent
        in_time = self._first(now_ms, free, late=False)
        return in_time or (self._first(now_ms, free, late=True) if late else None)

    def _first(
        self, now_ms: int, free: dict[str, MemberState], *, late: bool, urgent: bool = False
    ) -> _Start | None:
        found: list[_Start] = []
        for lane in (self._writes, self._reads):
            if not (lane.late if late else lane.due):
                continue
            if lane is self._writes and self.primary not in free:
                if self.placement is not None:
                    self.placement.record_waiting(self.primary or '')
                continue
            if urgent and not self._late_may_precede(now_ms, lane):
                continue
            for work in self._undeferred_first(lane, late):
                choice = self._choose_member(now_ms, work, free)
                member = free.get(choice.member or '')
                if member is not None:
                    found.append(_Start(lane, work, member, late, choice.reason))
                    break
                if urgent:
                    break
        if len(found) < 2:
            return found[0] if found else None
        return min(found, key=lambda each: self._rank(each.work, late))

    def _undeferred_first(self, lane: Lane, late: bool) -> Iterator[WorkItem]:
        for deferred in (False, True) if self.deferred else (None,):
            for work in lane.late_in_order() if late else lane.in_order(self._sharing):
                if deferred is None or deferred == (work.organisation in self.deferred):
                    yield work

    def _rank(self, work: WorkItem, late: bool) -> tuple[int, int, int, int]:
        if late:
            return work.priority, work.deadline_ms, 0, work.number
        tag = self.shares.start_tag(work.organisation) if self._sharing else 0
        return work.priority, tag, work.objective_ms, work.number

    def _late_may_precede(self, now_ms: int, lane: Lane) -> bool:
        """Return whether late statements have less than their share, and one must start soon."""
        work = next(lane.late_in_order())
        slowest_ms = max(member.service_ms for member in self.members.values())
        if work.deadline_ms - now_ms > URGENT_SERVICE_TIMES * slowest_ms:
            return False
        slots = sum(member.slots for member in self.members.values() if member.usable)
        return self._late_use.slots(now_ms) < admission.LATE_SHARE * slots

    def _account(self, now_ms: int, start: _Start) -> None:
        _, work, member, late, _ = start
        start.lane.remove(work.number)
        self._forget(work.number)
        member.record_sent(now_ms)
        member.reserve_connection(work.organisation)
        slot_ms = member.slot_ms(work.kind)
        if late:
            self._late_use.add(now_ms, slot_ms)
            return
        hold_ms = self.shares.expected_ms(work.organisation, slot_ms)
        self._use_of.setdefault(work.organisation, SlotUse()).add(now_ms, hold_ms)
        self.shares.charge(work.organisation)

    def _eligible(
        self, now_ms: int, work: WorkItem, free: dict[str, MemberState]
    ) -> list[MemberState]:
        if work.primary:
            return [free[self.primary]] if self.primary in free else []
        return [
            member
            for member in free.values()
            if member.id not in work.avoid
            and (member.id == self.primary or member.has_applied(now_ms, work))
        ]

    def _choose_member(self, now_ms: int, work: WorkItem, free: dict[str, MemberState]) -> Choice:
        if work.primary:
            return Choice(self.primary)
        if self.placement is not None:
            members = self.members.values()
            places = [place(now_ms, member, work, self.primary) for member in members]
            return self.placement.choose(now_ms, work, places)
        # Only the primary can run writes, so reads prefer the replicas.
        best = min(
            self._eligible(now_ms, work, free),
            key=lambda member: (
                member.cost(now_ms, work.organisation)
                + (PRIMARY_READ_PENALTY if member.id == self.primary else 0.0),
                member.service_ms,
                member.id,
            ),
            default=None,
        )
        return Choice(best.id if best else None)
