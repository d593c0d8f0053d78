"""Choice between members in this failure domain and in others."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from godwitthread.core.scheduling.dispatch import Dispatcher
from godwitthread.core.scheduling.member_state import EXTRA_IN_FLIGHT, MemberState, WorkItem
from godwitthread.core.scheduling.placement import (
    Availability,
    Choice,
    Place,
    Placement,
    Reason,
    RoundTrips,
)
from godwitthread.types import Position

COST_MS = 10.0
ROUND_TRIP_MS = 1.0
SLOTS = 4
SERVICE_MS = 14
HEARTBEAT_MS = 300


def work(number: int = 1, **changes) -> WorkItem:
    """Build a read that any member can run."""
    return WorkItem(number, False, None, 0, 10_000, 20_000)._replace(**changes)


def seen(domain: str, load: int = 0, **changes) -> Place:
    """Build the figures of the member in a domain."""
    full = load >= SLOTS + EXTRA_IN_FLIGHT
    availability = Availability.FULL if full else Availability.FREE
    place = Place(f'm-{domain}', domain, availability, load, SLOTS, SERVICE_MS)
    return place._replace(**changes)


def decisions(cost_ms: float = COST_MS) -> Placement:
    """Build the decisions of an instance in the domain a."""
    return Placement('a', cost_ms, lambda _: ROUND_TRIP_MS)


def choose(*places: Place, cost_ms: float = COST_MS, **changes) -> Choice:
    """Return the choice for one statement."""
    made = decisions(cost_ms)
    made.begin_round()
    return made.choose(1_000, work(**changes), places)


def test_a_crossing_is_not_taken_for_a_gain_below_its_price():
    """Guard against bytes between domains that buy less than they cost."""
    for load in range(SLOTS + 2):
        assert choose(seen('a', load), seen('b')).member in ('m-a', None)
    gain_ms = SERVICE_MS / SLOTS * 2 - ROUND_TRIP_MS
    assert choose(seen('a', 5), seen('b'), cost_ms=gain_ms + 0.1).member is None
    assert choose(seen('a', 5), seen('b'), cost_ms=gain_ms / 2 - 0.1).member == 'm-b'


@pytest.mark.parametrize(
    ('inside', 'reason'),
    [
        ([], Reason.NO_MEMBER),
        ([seen('a', availability=Availability.DOWN)], Reason.DOWN),
        ([seen('a', availability=Availability.LAGGING)], Reason.LAGGING),
        ([seen('a', 5, service_ms=60.0)], Reason.BUSY),
        ([seen('a', service_ms=90.0)], Reason.BUSY),
        ([seen('a', setup_ms=40.0)], Reason.NO_CONNECTION),
    ],
)
def test_a_domain_without_a_good_member_sends_at_once(inside, reason):
    """Guard against statements that wait in a domain whose members can't run them soon."""
    assert choose(*inside, seen('b')) == Choice('m-b', reason)


def test_the_price_does_not_make_an_answer_late():
    """Guard against an answer after its objective to save a crossing."""
    places = seen('a', 5), seen('b')
    assert choose(*places, objective_ms=1_000 + SERVICE_MS + 5) == Choice('m-b', Reason.BUSY)
    assert choose(*places, objective_ms=900).member is None


def test_a_statement_is_not_kept_much_longer_than_expected():
    """Guard against a statement that waits for a local member which answers nothing."""
    made = decisions()
    made.begin_round()
    places = [seen('a', 5), seen('b')]
    assert made.choose(1_000, work(), places).member is None
    until_ms = made.next_change_ms()
    assert 1_000 < until_ms <= 1_000 + 2 * SERVICE_MS / SLOTS + COST_MS
    assert made.choose(until_ms, work(), places).member == 'm-b'
    made.forget(1)
    assert made.next_change_ms() is None


def test_a_slow_member_is_tried_again():
    """Guard against a member that stays excluded since nothing shows that it has recovered."""
    slow = seen('a', service_ms=90.0)
    assert choose(slow, seen('b')).member == 'm-b'
    assert choose(slow._replace(idle_ms=2_000), seen('b')).member == 'm-a'


def test_the_round_trip_is_the_shortest_recent_one():
    """Guard against a domain that seems far because of one slow answer, or near for ever."""
    trips = RoundTrips()
    assert trips.to('b') > 0
    trips.record(0, 'b', 3)
    trips.record(10, 'b', 250)
    assert trips.to('b') == 3
    for now_ms in range(0, 40_000, 1_000):
        trips.record(now_ms, 'b', 20)
    assert trips.to('b') == 20


def group(cost_ms: float | None = COST_MS) -> Dispatcher:
    """Build the dispatcher of an owner in domain a, where the primary is."""
    made = Dispatcher()
    for domain in 'abc':
        state = made.members[f'm-{domain}'] = MemberState(f'm-{domain}', SLOTS)
        state.failure_domain = domain
        state.service_ms = SERVICE_MS
        state.has_connection = lambda _: True
    made.primary = 'm-a'
    if cost_ms is not None:
        made.placement = Placement('a', cost_ms, lambda _: ROUND_TRIP_MS)
    return made


def test_reads_stay_in_the_domain_only_with_the_setting():
    """Guard against statements that are served differently although no price is set."""
    chosen = {}
    for cost_ms in (None, COST_MS):
        made = group(cost_ms)
        made.submit(0, work())
        chosen[cost_ms] = made.assign(0)[0].member
    assert chosen == {None: 'm-b', COST_MS: 'm-a'}


def test_a_read_of_a_session_leaves_if_the_local_replica_lacks_its_position():
    """Guard against a stale read to save a crossing."""
    made = group()
    made.primary = 'm-b'
    made.members['m-a'].position = Position(1, 4)
    made.submit(10, work(required=Position(1, 5), required_ms=5))
    assert made.assign(10)[0][1:] == ('m-b', Reason.LAGGING)


def test_statements_are_refused_only_without_room_in_any_domain():
    """Guard against a statement that is kept at a full member until it is refused."""
    made = group()
    for number in range(60):
        made.submit(0, work(number, deadline_ms=1_000))
    now_ms, started = 0, []
    while len(made) and now_ms < 900:
        assigned = made.assign(now_ms)
        started += [each.member for each in assigned]
        now_ms = made.next_change_ms(now_ms) or now_ms
    # No member answers, so each gets what it accepts.
    assert Counter(started) == dict.fromkeys(made.members, SLOTS + EXTRA_IN_FLIGHT)


def test_a_kept_statement_whose_time_has_passed_causes_no_polling():
    """Guard against a timer each millisecond while all members are full."""
    made = group()
    for member in made.members.values():
        for _ in range(SLOTS + (EXTRA_IN_FLIGHT if member.id == 'm-a' else 0)):
            member.record_sent(0)
    made.members['m-c'].usable = False
    made.submit(0, work())
    assert made.assign(0) == []
    kept_ms = made.next_change_ms(0)
    assert 0 < kept_ms < 100
    made.members['m-b'].record_sent(0)
    assert made.assign(kept_ms) == []
    assert made.next_change_ms(kept_ms) > kept_ms + 100


@pytest.mark.parametrize('state', ['down', 'evacuated', 'lagging'])
def test_reads_leave_a_domain_whose_members_are_lost(state):
    """Guard against reads that fail with the members of their domain."""
    made = group()
    made.primary = 'm-b'
    member = made.members['m-a']
    if state == 'down':
        member.record_failure(0)
    elif state == 'evacuated':
        member.usable = False
    else:
        member.record_lagging(0, 5_000)
    for number in range(4):
        made.submit(1, work(number, required=Position(1, 9), required_ms=-1_000))
    assert {each.member for each in made.assign(1)} <= {'m-b', 'm-c'}
    assert not len(made)


class Domain:
    """Owner and member of one domain; the owner knows other members as of the last heartbeat."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.placement = Placement(name, COST_MS, lambda _: ROUND_TRIP_MS)
        self.waiting: list[WorkItem] = []
        #: Ends of the statements that run or wait at the member, and its load as announced.
        self.ends: list[int] = []
        self.announced = 0
        #: Expected ends of its own statements at other members.
        self.sent: dict[str, list[int]] = {name: [] for name in 'abc'}

    def run(self, now_ms: int) -> int:
        """Run a statement at the member; return its end."""
        begin_ms = sorted(self.ends)[-SLOTS] if len(self.ends) >= SLOTS else now_ms
        self.ends.append(max(now_ms, begin_ms) + SERVICE_MS)
        return self.ends[-1]

    def places(self, now_ms: int, domains: list[Domain]) -> list[Place]:
        """Return the figures of all members as this domain knows them."""
        self.sent = {
            name: [end for end in ends if end > now_ms] for name, ends in self.sent.items()
        }
        return [
            seen(each.name, len(each.ends))
            if each is self
            else seen(each.name, max(each.announced, len(self.sent[each.name])))
            for each in domains
        ]

    def dispatch(self, now_ms: int, domains: list[Domain]) -> list[tuple[str, int]]:
        """Return the target and the delay of each statement that starts."""
        started = []
        self.placement.begin_round()
        for each in list(self.waiting):
            chosen = self.placement.choose(now_ms, each, self.places(now_ms, domains)).member
            for target in domains:
                if chosen == f'm-{target.name}':
                    started.append((target.name, target.run(now_ms) - each.required_ms))
                    self.sent[target.name].append(now_ms + SERVICE_MS)
                    self.waiting.remove(each)
                    self.placement.forget(each.number)
        return started


def simulate(rates, duration_ms: int, seed: int) -> tuple[list[Counter], list[int]]:
    """Return the crossings of each heartbeat by pair of domains, and the delays of all answers."""
    rng = random.Random(seed)
    domains = [Domain(name) for name in 'abc']
    crossings: list[Counter] = []
    delays: list[int] = []
    for now_ms in range(duration_ms):
        for domain in domains:
            domain.ends = [end for end in domain.ends if end > now_ms]
            if now_ms % HEARTBEAT_MS == 0:
                domain.announced = len(domain.ends)
        if now_ms % HEARTBEAT_MS == 0:
            crossings.append(Counter())
        for domain in domains:
            if rng.random() < rates(domain.name, now_ms) / 1_000:
                number = len(delays) + sum(len(each.waiting) for each in domains)
                times = {'objective_ms': now_ms + 255, 'required_ms': now_ms}
                domain.waiting.append(work(number, **times))
            started = domain.dispatch(now_ms, domains)
            crossings[-1].update((domain.name, name) for name, _ in started if name != domain.name)
            delays += [delay_ms for _, delay_ms in started]
    return crossings, delays


@pytest.mark.parametrize('seed', range(3))
def test_domains_with_figures_of_the_last_heartbeat_do_not_oscillate(seed):
    """Guard against load that all domains move back and forth after a surge in one of them."""

    def rates(domain: str, now_ms: int) -> float:
        surging = {1: 'a', 2: 'b'}.get(now_ms // 3_000)
        return 400.0 if domain == surging else 120.0

    crossings, delays = simulate(rates, 12_000, seed)
    beats = 3_000 // HEARTBEAT_MS
    for first, surging in ((0, ''), (beats, 'a'), (2 * beats, 'b'), (3 * beats + 1, '')):
        phase = sum(crossings[first + 1 : first + beats], Counter())
        back = sum(count for pair, count in phase.items() if pair[0] != surging)
        # Domains that exchange their load send as much back; single bursts remain.
        assert back <= 0.02 * sum(phase.values()) + 10
        targets = [count for pair, count in phase.items() if pair[0] == surging]
        if surging:
            assert sum(targets) >= 100
            assert len(targets) == 2
            assert max(targets) <= 4 * min(targets)
    assert sorted(delays)[len(delays) * 99 // 100] < 255
