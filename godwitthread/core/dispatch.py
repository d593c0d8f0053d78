"""Order in which the work of one group reaches its members."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Statements sent to a member beyond its slots, so that the next one is there
#: when a slot falls free. One hides a round trip between failure domains.
AHEAD = 1
#: Age at which a replica is expected to have applied a commit, before any measurement.
FIRST_LAG_MS = 150
#: Bounds of the estimate of a replica's lag, in ms.
LEAST_LAG_MS = 40
MOST_LAG_MS = 8_000
#: A replica that lacked a commit is expected to lack it until this many times its age, so
#: that one which still lags is asked again after a tenth of the age, and not at once.
LAG_GROWTH = 1.1
#: Weight of the newest sample in moving averages.
NEWEST_SHARE = 0.1
#: Service time assumed before the first measurement, in ms.
FIRST_SERVICE_MS = 15.0
#: Time to open a connection assumed before the first measurement, in ms.
FIRST_SETUP_MS = 15.0
#: Load of a free primary in the eyes of a read, as a share of its slots: writes run nowhere
#: else.
PRIMARY_LOAD = 0.5
#: Service times after which a statement counts as unanswered for good, if the member has
#: answered one that was sent later, and the least such time in ms.
OVERDUE_SERVICE_TIMES = 5
LEAST_OVERDUE_MS = 100
#: Time without work for a member after it refused or failed to connect, in ms.
FAULT_PAUSE_MS = 150
#: The pause doubles with each further failure up to this, in ms.
MOST_FAULT_PAUSE_MS = 1_200


class Work(NamedTuple):
    """Statement that waits for a member."""

    number: int
    #: Whether only the primary can run it.
    primary: bool
    #: Position that the member's log must hold, None for any.
    required: Position | None
    #: Time at which the position was reached at the primary, in ms.
    required_ms: int
    #: Time by which an answer is worth its full value, in ms.
    objective_ms: int
    deadline_ms: int
    #: 0 is the highest priority.
    priority: int = 0
    #: Members that have already failed this work.
    avoid: frozenset[str] = frozenset()
    #: Organisation in whose name it runs.
    organisation: str = ''


class MemberState:
    """Keep what decides whether a member can take work."""

    def __init__(self, member_id: str, slots: int) -> None:
        self.id = member_id
        self.slots = slots
        #: Whether new work may go there: not draining, not evacuated, not gone.
        self.usable = True
        #: Times at which the statements without an answer began, in ms; the time to open a
        #: connection is part of it.
        self._began: list[int] = []
        #: Beginning of the newest statement that was answered, in ms.
        self._answered_began_ms = -1
        #: Newest position seen in an answer.
        self.position: Position | None = None
        # Estimated time until a commit is applied here, and when it was raised last, in ms.
        self._lag_ms: float = FIRST_LAG_MS
        self._lagged_ms = 0
        self.service_ms = FIRST_SERVICE_MS
        #: Time to open a connection, in ms, which takes a slot as well.
        self.setup_ms = FIRST_SETUP_MS
        #: Tells whether an open connection of an organisation is idle.
        self.has_connection: Callable[[str], bool] = lambda _: False
        self.paused_until_ms = 0
        #: Failures in a row.
        self.failures = 0
        #: Time of the newest answer, in ms.
        self.answered_ms = 0
        #: Time of the oldest statement sent since the newest answer, 0 without one, in ms.
        self.asked_ms = 0
        #: Statements per second while the member is cold, 0 for no limit.
        self.cold_rate = 0.0
        self.cold_until_ms = 0
        self._cold_next_ms = 0.0

    def free(self, now_ms: int) -> bool:
        """Tell whether the member can take one more statement."""
        if not self.usable or now_ms < self.paused_until_ms:
            return False
        if now_ms < self.cold_until_ms and self.cold_rate > 0 and now_ms < self._cold_next_ms:
            return False
        return self.load(now_ms) < self.slots + AHEAD

    @property
    def running(self) -> int:
        """Return the number of statements without an answer."""
        return len(self._began)

    def load(self, now_ms: int) -> int:
        """Return the number of statements that take a slot.

        A lost answer leaves the member free, although its statement is still waited for.
        """
        return sum(not self._is_overdue(now_ms, began_ms) for began_ms in self._began)

    def cost(self, now_ms: int, organisation: str) -> float:
        """Return the load that the next statement of an organisation meets, in slots."""
        setup = 0.0 if self.has_connection(organisation) else self.setup_ms / self.service_ms
        return (self.load(now_ms) + setup) / self.slots

    def note_setup(self, took_ms: int) -> None:
        """Record how long it took to open a connection."""
        self.setup_ms += (took_ms - self.setup_ms) * NEWEST_SHARE

    def next_overdue_ms(self, now_ms: int) -> int | None:
        """Return when a statement stops taking a slot without an answer."""
        overdue_ms = self._overdue_ms()
        times = [each + overdue_ms for each in self._began if each < self._answered_began_ms]
        return min((math.ceil(each) for each in times if each > now_ms), default=None)

    def begin(self, now_ms: int) -> None:
        """Count a statement that is sent."""
        self._began.append(now_ms)
        self.asked_ms = self.asked_ms or now_ms
        if now_ms < self.cold_until_ms and self.cold_rate > 0:
            self._cold_next_ms = max(self._cold_next_ms, now_ms) + 1000 / self.cold_rate

    def end(
        self,
        now_ms: int,
        service_ms: float | None,
        position: Position | None,
        began_ms: int | None = None,
    ) -> None:
        """Count an answer; no service time means that nothing ran."""
        self._answered_began_ms = max(self._answered_began_ms, self._remove(began_ms))
        self.answer(now_ms)
        self.failures = 0
        self.see(position)
        if service_ms is not None:
            self.service_ms += (service_ms - self.service_ms) * NEWEST_SHARE

    def answer(self, now_ms: int) -> None:
        """Note that the member answered something."""
        self.answered_ms = now_ms
        self.asked_ms = now_ms if self.running else 0

    def see(self, position: Position | None) -> None:
        """Record the position in an answer."""
        if position is not None and (self.position is None or position > self.position):
            self.position = position

    def fail(self, now_ms: int, began_ms: int | None = None) -> None:
        """Count a statement or connection that failed, and pause the member."""
        self._remove(began_ms)
        self.failures += 1
        pause_ms = min(MOST_FAULT_PAUSE_MS, FAULT_PAUSE_MS << min(self.failures - 1, 4))
        self.paused_until_ms = now_ms + pause_ms

    def _is_overdue(self, now_ms: int, began_ms: int) -> bool:
        answered_later = began_ms < self._answered_began_ms
        return answered_later and now_ms - began_ms >= self._overdue_ms()

    def _overdue_ms(self) -> float:
        return max(LEAST_OVERDUE_MS, OVERDUE_SERVICE_TIMES * self.service_ms)

    def _remove(self, sent_ms: int | None) -> int:
        """Forget the statement that began last before it was sent, and return its beginning."""
        if not self._began:
            # The member started again meanwhile, and its load is counted anew.
            return -1
        earlier = [each for each in self._began if sent_ms is None or each <= sent_ms]
        began_ms = max(earlier or self._began[:1])
        self._began.remove(began_ms)
        return began_ms

    def lag_ms(self, now_ms: int) -> float:
        """Return how old a commit must be to be expected here, in ms.

        An estimate that was raised falls back with time: a replica whose lag has ended
        gets no reads that could show it otherwise.
        """
        floor = min(self._lag_ms, FIRST_LAG_MS)
        return max(floor, self._lag_ms - max(0, now_ms - self._lagged_ms))

    def expected_ms(self, now_ms: int, reached_ms: int) -> int:
        """Return when a commit of the given time is expected here."""
        lag_ms = self.lag_ms(now_ms)
        missing_ms = reached_ms + lag_ms - now_ms
        # An estimate that falls meets the age of the commit half way.
        falling = lag_ms > FIRST_LAG_MS
        return math.ceil(now_ms + (missing_ms / 2 if falling else missing_ms))

    def behind(self, now_ms: int, age_ms: int) -> None:
        """Record that a position of the given age was not applied yet.

        It proves a lag of that age and no more, however many statements find it out.
        """
        raised = max(self.lag_ms(now_ms), age_ms * LAG_GROWTH + LEAST_LAG_MS)
        self._lag_ms, self._lagged_ms = min(MOST_LAG_MS, raised), now_ms

    def caught_up(self, now_ms: int, age_ms: int) -> None:
        """Record that a position of the given age was applied."""
        lag_ms = self.lag_ms(now_ms)
        if age_ms < lag_ms:
            self._lag_ms, self._lagged_ms = max(LEAST_LAG_MS, lag_ms * 0.9, age_ms), now_ms

    def holds(self, now_ms: int, work: Work) -> bool:
        """Tell whether the log holds, or very likely holds, what the work must see."""
        if work.required is None:
            return True
        if self.position is not None and self.position >= work.required:
            return True
        return now_ms - work.required_ms >= self.lag_ms(now_ms)


class Refused(NamedTuple):
    """Work that will not be done in time, with a time to come back."""

    work: Work
    retry_after_ms: int


class Assignment(NamedTuple):
    """Work whose turn it is, and the member that takes it."""

    work: Work
    member: str


class Dispatcher:
    """Give the waiting work of a group to its members."""

    def __init__(self) -> None:
        self.members: dict[str, MemberState] = {}
        #: Member that is the primary, None while there is none or a hand-over runs.
        self.primary: str | None = None
        self._waiting: dict[int, Work] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Work]:
        return iter(self._waiting.values())

    def submit(self, now_ms: int, work: Work) -> Refused | None:
        """Queue work, or refuse it when it can't start before its deadline."""
        wait_ms = self.expected_wait_ms(now_ms, work)
        if now_ms + wait_ms >= work.deadline_ms:
            return Refused(work, max(1, int(wait_ms)))
        self._waiting[work.number] = work
        return None

    def withdraw(self, number: int) -> bool:
        """Remove waiting work; return False if it was assigned already."""
        return self._waiting.pop(number, None) is not None

    def expected_wait_ms(self, now_ms: int, work: Work) -> float:
        """Return how long work submitted now is expected to wait."""
        if work.primary:
            member = self.members.get(self.primary or '')
            if member is None:
                return 0.0
            ahead = sum(other.primary for other in self)
            busy = ahead + max(0, member.load(now_ms) - member.slots)
            return busy * member.service_ms / member.slots
        members = [member for member in self.members.values() if member.usable]
        slots = sum(member.slots for member in members)
        if not slots:
            return 0.0
        service_ms = sum(member.service_ms for member in members) / len(members)
        # Work that waits for a primary takes no slot while there is none.
        ahead = sum(self.primary is not None or not other.primary for other in self)
        return ahead * service_ms / slots

    def assign(self, now_ms: int) -> list[Assignment]:
        """Return the work that can start now; the members count it as running."""
        if not self._waiting:
            return []
        free = {member.id: member for member in self.members.values() if member.free(now_ms)}
        assigned: list[Assignment] = []
        for work in sorted(self._waiting.values(), key=lambda work: _urgency(now_ms, work)):
            if not free:
                break
            member = self._choose(now_ms, work, free)
            if member is None:
                continue
            del self._waiting[work.number]
            member.begin(now_ms)
            assigned.append(Assignment(work, member.id))
            if not member.free(now_ms):
                del free[member.id]
        return assigned

    def next_change_ms(self, now_ms: int) -> int | None:
        """Return when waiting work should be looked at again without an answer."""
        if not self._waiting:
            return None
        times = [min(work.deadline_ms for work in self._waiting.values())]
        times += [
            member.paused_until_ms
            for member in self.members.values()
            if member.paused_until_ms > now_ms
        ]
        times += [
            each
            for member in self.members.values()
            if (each := member.next_overdue_ms(now_ms)) is not None
        ]
        times += [
            each
            for work in self._waiting.values()
            if work.required is not None
            for member in self.members.values()
            if (each := member.expected_ms(now_ms, work.required_ms)) > now_ms
        ]
        return max(now_ms + 1, min(times))

    def _choose(self, now_ms: int, work: Work, free: dict[str, MemberState]) -> MemberState | None:
        if work.primary:
            return free.get(self.primary or '')
        able = [
            member
            for member in free.values()
            if member.id not in work.avoid
            and (member.id == self.primary or member.holds(now_ms, work))
        ]
        # The primary alone can run writes, so reads go there last.
        return min(
            able,
            key=lambda member: (
                member.cost(now_ms, work.organisation)
                + (PRIMARY_LOAD if member.id == self.primary else 0.0),
                member.service_ms,
                member.id,
            ),
            default=None,
        )


def _urgency(now_ms: int, work: Work) -> tuple[bool, int, int, int]:
    # Work that can still meet its objective goes before work that is late already.
    return now_ms > work.objective_ms, work.priority, work.objective_ms, work.number
