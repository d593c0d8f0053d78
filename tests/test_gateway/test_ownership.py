"""Choice of the owners of groups and rates."""

from __future__ import annotations

import random

import pytest

from godwitthread.address import Address
from godwitthread.core.catalog import Peer
from godwitthread.core.ownership import (
    MIN_CANDIDATES,
    PeerReachability,
    candidates,
    capacity,
    duty_holder,
    eligible,
    has_majority,
    ranked,
)

UP = PeerReachability(True)
DOWN = PeerReachability(False)
REFUSED = PeerReachability(False, refused=True)
DEPARTED = PeerReachability(False, departed=True)


def peer(number: int, domains: int = 3, capacity: float = 1.0) -> Peer:
    """Build the store entry of an instance."""
    name = f'gw-{number}'
    return Peer(name, Address('10.0.0.1', number), f'd{number % domains}', capacity, 1)


def test_candidates_are_fast_and_spread_over_failure_domains():
    """Guard against owners on slow machines or in a single failure domain."""
    peers = [peer(number, capacity=2.0 if number < 30 else 0.5) for number in range(90)]
    chosen = candidates(peers, 4)
    assert len(chosen) == MIN_CANDIDATES
    assert {each.capacity for each in chosen} == {2.0}
    assert {each.failure_domain for each in chosen} == {'d0', 'd1', 'd2'}
    assert candidates(reversed(peers), 4) == chosen


def test_the_owner_is_the_same_on_instances_with_the_same_reach():
    """Guard against two owners of one group without any fault."""
    peers = [peer(number) for number in range(9)]
    names = {each.name for each in peers}
    assert ranked('group/a', peers, names) == ranked('group/a', peers[::-1], names)


def test_instances_that_leave_or_are_not_ready_own_nothing():
    """Guard against statements that are sent to an instance which is about to stop."""
    reach = {
        'a': PeerReachability(True, leaving=True),
        'b': PeerReachability(True, ready=False),
        'c': UP,
        'd': DOWN,
    }
    assert eligible(reach, reach) == ['c']


def test_a_slow_instance_is_an_owner_only_without_a_fast_one():
    """Guard against a group whose throughput is limited by the slowest candidate.

    In a run of fjordkjol-ruter-grown, an instance with a link of 10 Mbit/s owned a group from the
    start.
    """
    peers = [peer(number, capacity=2.0 if number < 6 else 0.2) for number in range(9)]
    names = {each.name for each in peers}
    for number in range(50):
        order = ranked(f'group/{number}', peers, names)
        assert {int(name.removeprefix('gw-')) for name in order[:6]} == set(range(6))
    assert set(ranked('group/0', peers, {'gw-6', 'gw-7'})) == {'gw-6', 'gw-7'}


def test_the_slower_of_processor_and_link_limits_the_capacity():
    """Guard against an owner with a fast processor behind a slow link."""
    assert capacity(2.15, 10.0) < capacity(0.5, 100.0)


def test_a_minority_owns_nothing():
    """Guard against a network partition in which both sides grant the full rate."""
    names = [f'gw-{number}' for number in range(9)]
    for cut in range(10):
        sides = [names[:cut], names[cut:]]
        owners = [
            has_majority(names, {name: UP if name in side else DOWN for name in names})
            for side in sides
            if side
        ]
        assert sum(owners) == 1


def test_processes_that_are_known_to_be_stopped_do_not_count():
    """Guard against an outage of the deployment when most processes were killed."""
    names = [f'gw-{number}' for number in range(9)]
    reach = dict.fromkeys(names, REFUSED) | {'gw-0': UP}
    assert has_majority(names, reach)
    assert not has_majority(names, reach | {'gw-1': DOWN})


def test_departed_instances_do_not_count():
    """Guard against an outage of the deployment after most instances have left."""
    names = [f'gw-{number}' for number in range(9)]
    reach = {name: UP if name < 'gw-4' else DEPARTED for name in names}
    assert has_majority(names, reach)
    assert not has_majority(names, reach | {'gw-0': DOWN, 'gw-1': DOWN})


@pytest.mark.parametrize('seed', range(200))
def test_one_side_of_a_partition_owns_resources_after_departures(seed):
    """Guard against two majorities if the sides know of different departures."""
    rng = random.Random(seed)
    names = [f'gw-{number}' for number in range(9)]
    departed = set(rng.sample(names, rng.randrange(9)))
    running = [name for name in names if name not in departed]
    left = set(rng.sample(running, rng.randrange(len(running) + 1)))
    majorities = 0
    for side in (left, set(running) - left):
        known = set(rng.sample(sorted(departed), rng.randrange(len(departed) + 1)))
        reach = {
            name: UP if name in side else DEPARTED if name in known else DOWN for name in names
        }
        majorities += bool(side) and has_majority(names, reach)
    assert majorities <= 1


def test_the_holder_with_the_newest_token_is_asked():
    """Guard against orders that are sent to a former holder."""
    reach = {
        'a': PeerReachability(True, duty_token=1_005),
        'b': PeerReachability(True, duty_token=2_001),
        'c': PeerReachability(False, duty_token=3_000),
        'd': UP,
    }
    assert duty_holder(reach) == 'b'
    assert duty_holder({'d': UP}) is None
