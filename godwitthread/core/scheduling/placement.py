"""Choice between a member in this failure domain and one in another.

Answers the load pattern of a failure domain whose members are at times too few: traffic between
domains is slower and costs money, so a statement leaves its domain only if that shortens the
expected time to its answer by more than the price of a crossing.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from godwitthread.core.scheduling.member_state import MemberState, WorkItem

#: Load added to the primary when a member is chosen for a read, as a share of its slots,
#: because writes can run only there. In ms it is this share of a service time.
PRIMARY_READ_PENALTY = 0.5
#: Round trip to another failure domain before the first measurement, in ms.
DEFAULT_ROUND_TRIP_MS = 2.0
#: Length of the two windows over which the shortest round trip is kept, in ms. Longer round trips
#: contain delays of the event loops at both ends.
ROUND_TRIP_WINDOW_MS = 10_000
#: Factor on the shortest service time of the group from which a member counts as slow. Below it,
#: different service times may come from different statements: the primary runs short writes.
SLOW_FACTOR = 2.0
#: Time after which a slow idle member is no longer regarded as slow, in ms. It would otherwise
#: get no statement that could show that it has recovered.
SLOW_EXPIRY_MS = 2_000
#: Time constant with which the share of statements that leave for a small gain follows the
#: figures, in ms: two heartbeats, because figures of other domains are one heartbeat old.
DAMPING_MS = 600
#: Longest time between two decisions that moves the share, in ms.
MAX_DAMPING_STEP_MS = 50
#: Gain beyond the price from which statements leave without damping, in ms, as a minimum; it is
#: the price of a crossing if that is higher.
MIN_BAND_MS = 2.0
#: Time before its deadline at which a statement is kept no longer, in ms, so that it is sent
#: rather than refused.
DEADLINE_MARGIN_MS = 5
#: Spreads consecutive numbers of statements evenly over 0 to 1 (fraction of the golden ratio).
SPREAD = 0.6180339887498949


class Availability(Enum):
    """Whether a member can run a statement."""

    FREE = 'free'
    #: It can run the statement once one of its slots is free.
    FULL = 'full'
    #: It has not applied the position that the statement needs.
    LAGGING = 'lagging'
    DOWN = 'down'


class Reason(Enum):
    """Reasons for which a statement leaves its failure domain."""

    BUSY = 'busy'
    LAGGING = 'lagging'
    DOWN = 'down'
    #: The local member has no idle connection of the organisation.
    NO_CONNECTION = 'no_connection'
    #: The failure domain has no member of the group.
    NO_MEMBER = 'no_member'
    WRITE = 'write'
    TRANSACTION = 'transaction'
    #: The owner of the group is in another failure domain.
    OWNER = 'owner'
    #: A read that only the primary can run.
    PRIMARY_READ = 'primary_read'


class Place(NamedTuple):
    """Figures of a member that may run a statement."""

    member: str
    domain: str
    availability: Availability
    load: int
    slots: int
    service_ms: float
    #: Time to open a connection, 0 if the organisation has an idle one, in ms.
    setup_ms: float = 0.0
    primary: bool = False
    #: Time since the last answer of an idle member, in ms.
    idle_ms: int = 0


class Choice(NamedTuple):
    """Member that runs a statement now, None if the statement waits."""

    member: str | None
    #: Reason of the crossing, None if the member is in this failure domain.
    reason: Reason | None = None


class _Estimate(NamedTuple):
    """Expected time to the answer at one member; the smallest one is chosen."""

    #: Whether the answer is expected too late to have its full value.
    late: bool
    #: Time that depends on the member, and the price of a crossing, in ms.
    total_ms: float
    load_share: float
    member: str
    wait_ms: float
    place: Place


class RoundTrips:
    """Shortest recent round trip from this instance to each failure domain."""

    def __init__(self) -> None:
        self._windows: dict[str, tuple[int, float, float]] = {}

    def record(self, now_ms: int, domain: str, took_ms: float) -> None:
        """Record the duration of a call that waits for nothing at the other end."""
        start_ms, current, former = self._windows.get(domain, (now_ms, math.inf, math.inf))
        if now_ms - start_ms >= ROUND_TRIP_WINDOW_MS:
            start_ms, current, former = now_ms, math.inf, current
        self._windows[domain] = start_ms, min(current, took_ms), former

    def to(self, domain: str) -> float:
        """Return the round trip to another failure domain, in ms."""
        window = self._windows.get(domain)
        return DEFAULT_ROUND_TRIP_MS if window is None else min(window[1:])


class Placement:
    """Decide whether the statements of a group stay in this failure domain or leave it."""

    def __init__(
        self, domain: str, crossing_cost_ms: float, round_trip_ms: Callable[[str], float]
    ) -> None:
        self._domain = domain
        self._cost_ms = crossing_cost_ms
        self._round_trip_ms = round_trip_ms
        #: Statements that wait for a member in the current round of decisions.
        self._ahead: dict[str, int] = {}
        #: Time at which a statement that is kept is sent at the latest, by number.
        self._kept: dict[int, int] = {}
        self._share = 0.0
        self._decided_ms = 0

    def begin_round(self) -> None:
        """Begin a round of decisions in the order in which the statements are to run."""
        self._ahead = {}

    def record_waiting(self, member: str) -> None:
        """Record a statement that waits for a member before those that are decided next."""
        self._ahead[member] = self._ahead.get(member, 0) + 1

    def forget(self, number: int) -> None:
        """Forget a statement that no longer waits."""
        self._kept.pop(number, None)

    def next_change_ms(self, now_ms: int = 0) -> int | None:
        """Return when the next statement that is kept may be sent, None without any.

        One whose time has passed waits for an answer of a member, as all members are full.
        """
        return min((each for each in self._kept.values() if each > now_ms), default=None)

    def choose(self, now_ms: int, work: WorkItem, places: Sequence[Place]) -> Choice:
        """Choose the member with the shortest expected time to the answer, or keep the statement.

        A statement waits for a member of this failure domain only while another domain could run
        it now but gains less than the price.
        """
        estimates = self._estimates(now_ms, work, places)
        free = [each for each in estimates if each.place.availability is Availability.FREE]
        if not free:
            return Choice(None)
        best = min(free)
        if best.place.domain == self._domain:
            self._follow(now_ms, pays=False)
            return Choice(best.member)
        inside = [each for each in estimates if each.place.domain == self._domain]
        if not inside:
            return Choice(best.member, self._reason(places, None, best))
        local = min(inside)
        if not self._leaves(now_ms, work, local, best):
            if local.place.availability is Availability.FREE:
                return Choice(local.member)
            self._keep(now_ms, work, local)
            return Choice(None)
        return Choice(best.member, self._reason(places, local, best))

    def _leaves(self, now_ms: int, work: WorkItem, local: _Estimate, best: _Estimate) -> bool:
        if local.late != best.late:
            return local.late
        if now_ms >= self._kept.get(work.number, now_ms + 1):
            # The local member has not become free for longer than expected.
            return True
        gain_ms = local.total_ms - best.total_ms
        self._follow(now_ms, pays=gain_ms > 0)
        if gain_ms <= 0 or gain_ms >= max(MIN_BAND_MS, self._cost_ms):
            return gain_ms > 0
        return work.number * SPREAD % 1.0 < self._share

    def _follow(self, now_ms: int, *, pays: bool) -> None:
        """Move the share of the statements that leave towards all or none of them."""
        step_ms = min(MAX_DAMPING_STEP_MS, now_ms - self._decided_ms)
        self._decided_ms = now_ms
        self._share += (pays - self._share) * -math.expm1(-step_ms / DAMPING_MS)

    def _keep(self, now_ms: int, work: WorkItem, local: _Estimate) -> None:
        self.record_waiting(local.member)
        until_ms = math.ceil(now_ms + local.wait_ms + self._cost_ms)
        # A statement is assigned at its deadline at the latest, even if the estimate was wrong.
        until_ms = max(now_ms + 1, min(until_ms, work.deadline_ms - DEADLINE_MARGIN_MS))
        self._kept.setdefault(work.number, until_ms)

    def _estimates(self, now_ms: int, work: WorkItem, places: Iterable[Place]) -> list[_Estimate]:
        able = [
            each
            for each in places
            if each.availability is Availability.FREE
            or (each.availability is Availability.FULL and each.domain == self._domain)
        ]
        fastest_ms = min((each.service_ms for each in able), default=0.0)
        return [self._estimate(now_ms, work, each, fastest_ms) for each in able]

    def _estimate(self, now_ms: int, work: WorkItem, place: Place, fastest_ms: float) -> _Estimate:
        crosses = place.domain != self._domain
        queued = place.load + self._ahead.get(place.member, 0) + 1 - place.slots
        wait_ms = max(0, queued) * place.service_ms / place.slots
        slow_ms = max(0.0, place.service_ms - SLOW_FACTOR * fastest_ms)
        slow_ms *= max(0.0, 1 - place.idle_ms / SLOW_EXPIRY_MS)
        answer_ms = wait_ms + place.setup_ms + slow_ms
        answer_ms += self._round_trip_ms(place.domain) if crosses else 0.0
        late = now_ms + answer_ms + fastest_ms > work.objective_ms
        late = late or now_ms + wait_ms >= work.deadline_ms
        total_ms = answer_ms + (self._cost_ms if crosses else 0.0)
        if place.primary:
            total_ms += PRIMARY_READ_PENALTY * place.service_ms
        return _Estimate(late, total_ms, place.load / place.slots, place.member, wait_ms, place)

    def _reason(self, places: Iterable[Place], local: _Estimate | None, best: _Estimate) -> Reason:
        if local is not None:
            connected_ms = local.total_ms - local.place.setup_ms
            opens = local.place.setup_ms and connected_ms <= best.total_ms
            return Reason.NO_CONNECTION if opens else Reason.BUSY
        inside = {each.availability for each in places if each.domain == self._domain}
        if not inside:
            return Reason.NO_MEMBER
        return Reason.LAGGING if Availability.LAGGING in inside else Reason.DOWN


def place(now_ms: int, state: MemberState, work: WorkItem, primary: str | None) -> Place:
    """Return the figures of a member for a statement."""
    is_primary = state.id == primary
    load = state.load(now_ms)
    if state.id in work.avoid:
        availability = Availability.DOWN
    elif not is_primary and not state.has_applied(now_ms, work):
        availability = Availability.LAGGING if state.usable else Availability.DOWN
    elif state.can_accept(now_ms):
        availability = Availability.FREE
    else:
        availability = Availability.FULL if state.is_full(now_ms) else Availability.DOWN
    return Place(
        member=state.id,
        domain=state.failure_domain,
        availability=availability,
        load=load,
        slots=state.slots,
        service_ms=state.service_ms,
        setup_ms=0.0 if state.has_connection(work.organisation) else state.setup_ms,
        primary=is_primary,
        idle_ms=0 if load else now_ms - state.last_answer_ms,
    )
