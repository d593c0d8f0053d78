"""Load, service time, replication lag and failures of a member, and the work that it may get."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.scheduling.service_times import Kind, ServiceTimes
from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Callable

#: Statements sent to a member beyond its slots, so that the next one has arrived when a
#: slot becomes free. One is enough to hide a round trip between failure domains.
EXTRA_IN_FLIGHT = 1
#: Replication lag assumed before the first measurement, in ms.
INITIAL_LAG_MS = 150
#: Bounds of the estimated replication lag, in ms.
MIN_LAG_MS = 40
MAX_LAG_MS = 8_000
#: Factor on the age of a commit that a replica had not applied. The estimated lag is raised
#: to at least the product plus MIN_LAG_MS, so that the replica is not tried again at once: the
#: estimate exceeds the age by a tenth of it plus MIN_LAG_MS.
LAG_GROWTH = 1.1
#: Weight of the newest sample in moving averages.
EWMA_WEIGHT = 0.1
#: Service time assumed before the first measurement, in ms.
INITIAL_SERVICE_MS = 15.0
#: Time to open a connection assumed before the first measurement, in ms.
INITIAL_SETUP_MS = 15.0
#: Number of service times after which the answer of a statement counts as lost, provided
#: that the member has answered a later statement, and the minimum of that time in ms.
OVERDUE_SERVICE_TIMES = 5
MIN_OVERDUE_MS = 100
#: Time for which a member gets no statements after a failure, in ms.
FAILURE_BACKOFF_MS = 150
#: Factor on the number of statements that a member may have at once after it shed load or failed.
#: Half leaves room at a member that other instances use as well; answers raise the number again.
REDUCED_ALLOWANCE = 0.5
#: Upper bound of that time, which doubles with each consecutive failure, in ms.
MAX_FAILURE_BACKOFF_MS = 1_200


class WorkItem(NamedTuple):
    """Statement waiting for a member."""

    number: int
    #: Whether only the primary can run it.
    primary: bool
    #: Position that the member must have applied, None for any.
    required: Position | None
    #: Time at which the primary reached the position, in ms.
    required_ms: int
    #: Time by which the answer is due to meet the latency objective, in ms.
    objective_ms: int
    deadline_ms: int
    #: 0 is the highest priority.
    priority: int = 0
    #: Members on which this statement has already failed.
    avoid: frozenset[str] = frozenset()
    #: Organisation on whose behalf the statement runs.
    organisation: str = ''
    kind: Kind = Kind.READ
    #: Time limit of the answer, in ms; 0 if only `deadline_ms` applies.
    limit_ms: int = 0
    #: Member of the open transaction that the statement belongs to, '' for a new operation.
    member: str = ''


class MemberState:
    """Track the load, replication lag and failures of a member."""

    def __init__(self, member_id: str, slots: int) -> None:
        self.id = member_id
        self.slots = slots
        self.failure_domain = ''
        #: Whether the member accepts new statements: not draining, evacuated or removed.
        self.usable = True
        #: Start times of the unanswered statements in ascending order, in ms; the time to open a
        #: connection counts from the start.
        self._started_ms: list[int] = []
        #: Start time of the newest statement that was answered, in ms.
        self._answered_start_ms = -1
        #: Newest position reported in an answer.
        self.position: Position | None = None
        # Estimated replication lag and the time of its last update, in ms.
        self._lag_ms: float = INITIAL_LAG_MS
        self._lag_updated_ms = 0
        self.service_ms = INITIAL_SERVICE_MS
        self.service_times = ServiceTimes()
        #: Number of statements that the member may have at once, by its measured answers.
        self.allowance = slots + EXTRA_IN_FLIGHT
        self._exact_allowance = float(self.allowance)
        #: Time to open a connection, in ms; opening occupies a slot as well.
        self.setup_ms = INITIAL_SETUP_MS
        #: Returns whether an organisation has an idle open connection.
        self.has_connection: Callable[[str], bool] = lambda _: False
        #: Returns whether a connection can be had now, and reserves one for an organisation.
        self.has_room: Callable[[], bool] = lambda: True
        self.reserve_connection: Callable[[str], None] = lambda _: None
        self.paused_until_ms = 0
        #: End of the pause after a statement was refused as busy, in ms.
        self.busy_until_ms = 0
        #: Number of consecutive failures.
        self.failures = 0
        #: Time of the latest answer, in ms.
        self.last_answer_ms = 0
        #: Time of the oldest statement sent since the latest answer, in ms; 0 if there is none.
        self.unanswered_since_ms = 0
        #: Limit in statements per second while the caches of the member are cold, 0 for none.
        self.cold_rate = 0.0
        self.cold_until_ms = 0
        self._cold_next_send_ms = 0.0

    def can_accept(self, now_ms: int) -> bool:
        """Return whether the member can accept another statement."""
        if not self.usable or now_ms < self.paused_until_ms:
            return False
        if now_ms < self.cold_until_ms and self.cold_rate > 0 and now_ms < self._cold_next_send_ms:
            return False
        return self.load(now_ms) < self.allowance and self.has_room()

    def is_full(self, now_ms: int) -> bool:
        """Return whether the member accepts another statement once one of them has ended."""
        available = self.usable and now_ms >= self.paused_until_ms
        return available and (self.load(now_ms) >= self.allowance or not self.has_room())

    def free_slots(self, now_ms: int) -> int:
        """Return the number of statements that could start, also beyond a reduced allowance."""
        return max(0, max(self.slots, self.allowance) - self.load(now_ms))

    def can_continue(self, now_ms: int) -> bool:
        """Return whether the member can accept a statement of an open transaction.

        Its connection exists, so a drain or a refused new connection does not matter.
        """
        return now_ms >= self.busy_until_ms and self.load(now_ms) < self.slots + EXTRA_IN_FLIGHT

    def slot_ms(self, kind: Kind) -> float:
        """Return the expected time for which a statement holds a slot, in ms."""
        return self.service_times.slot_ms(kind, self.service_ms)

    @property
    def running(self) -> int:
        """Return the number of unanswered statements."""
        return len(self._started_ms)

    def load(self, now_ms: int) -> int:
        """Return the number of statements that occupy a slot.

        A statement whose answer is probably lost occupies none, although it is still awaited.
        """
        started = self._started_ms
        if not started or now_ms - started[0] < MIN_OVERDUE_MS:
            return len(started)
        return sum(not self._is_overdue(now_ms, started_ms) for started_ms in started)

    def cost(self, now_ms: int, organisation: str) -> float:
        """Return the load that the next statement would meet, as a share of the slots."""
        setup = 0.0 if self.has_connection(organisation) else self.setup_ms / self.service_ms
        return (self.load(now_ms) + setup) / self.slots

    def record_setup(self, took_ms: int) -> None:
        """Record the time that opening a connection took."""
        self.setup_ms += (took_ms - self.setup_ms) * EWMA_WEIGHT

    def next_overdue_ms(self, now_ms: int) -> int | None:
        """Return when the next unanswered statement stops occupying a slot, None if none does."""
        if not self._started_ms or self._started_ms[0] >= self._answered_start_ms:
            return None
        overdue_ms = self._overdue_ms()
        times = [each + overdue_ms for each in self._started_ms if each < self._answered_start_ms]
        return min((math.ceil(each) for each in times if each > now_ms), default=None)

    def next_cold_send_ms(self, now_ms: int) -> int | None:
        """Return when the rate of a cold member allows the next statement, None if it does."""
        if now_ms >= self.cold_until_ms or self.cold_rate <= 0 or now_ms >= self._cold_next_send_ms:
            return None
        return min(self.cold_until_ms, math.ceil(self._cold_next_send_ms))

    def record_sent(self, now_ms: int) -> None:
        """Record a statement that is sent."""
        self._started_ms.append(now_ms)
        self.unanswered_since_ms = self.unanswered_since_ms or now_ms
        if now_ms < self.cold_until_ms and self.cold_rate > 0:
            self._cold_next_send_ms = max(self._cold_next_send_ms, now_ms) + 1000 / self.cold_rate

    def record_answer(
        self,
        now_ms: int,
        service_ms: float | None,
        position: Position | None,
        started_ms: int | None = None,
        kind: Kind = Kind.READ,
    ) -> float | None:
        """Record an answer, and return the time for which it held a slot, in ms.

        A service time of None means that nothing ran.
        """
        load = self.running
        self._answered_start_ms = max(self._answered_start_ms, self._remove(started_ms))
        self.record_contact(now_ms)
        self.failures = 0
        self.observe_position(position)
        if service_ms is None:
            return None
        self.service_ms += (service_ms - self.service_ms) * EWMA_WEIGHT
        if self.allowance < self.slots + EXTRA_IN_FLIGHT:
            self._set_allowance(self._exact_allowance + 1 / self._exact_allowance)
        # Beyond its slots, the member's own queue is part of the measured time.
        return self.service_times.record(kind, service_ms, min(1.0, self.slots / max(1, load)))

    def record_shed(self, now_ms: int, pause_ms: int) -> None:
        """Record a statement that the member refused as busy."""
        self.busy_until_ms = self.paused_until_ms = now_ms + pause_ms
        self._set_allowance(min(self.allowance, self.running + 1) * REDUCED_ALLOWANCE)

    def record_contact(self, now_ms: int) -> None:
        """Record that the member sent any answer."""
        self.last_answer_ms = now_ms
        self.unanswered_since_ms = now_ms if self.running else 0

    def observe_position(self, position: Position | None) -> None:
        """Record the position reported in an answer."""
        if position is not None and (self.position is None or position > self.position):
            self.position = position

    def record_not_sent(self, now_ms: int) -> None:
        """Record that the member accepted no connection for a statement, which is no failure."""
        self._remove(None)
        self.record_contact(now_ms)

    def cancel_sent(self) -> None:
        """Take back a statement that was recorded as sent but was not."""
        started_ms = self._remove(None)
        if not self._started_ms and self.unanswered_since_ms == started_ms:
            self.unanswered_since_ms = 0

    def record_failure(self, now_ms: int, started_ms: int | None = None) -> None:
        """Record a failed statement or connection, and back off from the member."""
        self._remove(started_ms)
        self.failures += 1
        self._set_allowance(self.allowance * REDUCED_ALLOWANCE)
        backoff_ms = min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS << min(self.failures - 1, 4))
        self.paused_until_ms = now_ms + backoff_ms

    def _set_allowance(self, number: float) -> None:
        self._exact_allowance = max(1.0, min(number, self.slots + EXTRA_IN_FLIGHT))
        self.allowance = int(self._exact_allowance)

    def _is_overdue(self, now_ms: int, started_ms: int) -> bool:
        later_one_answered = started_ms < self._answered_start_ms
        return later_one_answered and now_ms - started_ms >= self._overdue_ms()

    def _overdue_ms(self) -> float:
        return max(MIN_OVERDUE_MS, OVERDUE_SERVICE_TIMES * self.service_ms)

    def _remove(self, sent_ms: int | None) -> int:
        """Remove the latest statement started by the given time, and return its start time."""
        if not self._started_ms:
            # The member has restarted since, so its load is counted from zero.
            return -1
        earlier = [each for each in self._started_ms if sent_ms is None or each <= sent_ms]
        started_ms = max(earlier or self._started_ms[:1])
        self._started_ms.remove(started_ms)
        return started_ms

    def lag_ms(self, now_ms: int) -> float:
        """Return the estimated replication lag, in ms.

        A raised estimate decays with time, because a replica that has caught up would
        otherwise get no reads that could show it.
        """
        floor = min(self._lag_ms, INITIAL_LAG_MS)
        return max(floor, self._lag_ms - max(0, now_ms - self._lag_updated_ms))

    def expected_applied_ms(self, now_ms: int, reached_ms: int) -> int:
        """Return when a commit made at the given time is expected to be applied."""
        lag_ms = self.lag_ms(now_ms)
        missing_ms = reached_ms + lag_ms - now_ms
        # Above INITIAL_LAG_MS, the estimate decreases by 1 ms per ms while the age of the commit
        # increases by 1 ms per ms, so the two become equal in half the missing time.
        falling = lag_ms > INITIAL_LAG_MS
        return math.ceil(now_ms + (missing_ms / 2 if falling else missing_ms))

    def record_lagging(self, now_ms: int, age_ms: int) -> None:
        """Record that a position of the given age was not applied yet.

        This proves a lag of that age and no more, however many statements observe it.
        """
        estimate_ms = max(self.lag_ms(now_ms), age_ms * LAG_GROWTH + MIN_LAG_MS)
        self._lag_ms, self._lag_updated_ms = min(MAX_LAG_MS, estimate_ms), now_ms

    def record_applied(self, now_ms: int, age_ms: int) -> None:
        """Record that a position of the given age was applied."""
        lag_ms = self.lag_ms(now_ms)
        if age_ms < lag_ms:
            self._lag_ms, self._lag_updated_ms = max(MIN_LAG_MS, lag_ms * 0.9, age_ms), now_ms

    def has_applied(self, now_ms: int, work: WorkItem) -> bool:
        """Return whether the member has, or very likely has, applied the required position."""
        if work.required is None:
            return True
        if self.position is not None and self.position >= work.required:
            return True
        return now_ms - work.required_ms >= self.lag_ms(now_ms)
