"""Start, housekeeping and end of the ownership of groups at one instance."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.core.ownership import PeerReachability
from godwitthread.gateway.ownership_manager import ManagedGroup, OwnershipManager
from tests.test_gateway.fakes import quiet_log


class FakeRunner:
    """Record the calls to the runner of a group."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.busy = False

    def tick(self, owned):
        self.calls.append(f'tick {owned}')

    def disable_pooling(self):
        self.calls.append('disable_pooling')

    def enable_pooling(self):
        self.calls.append('enable_pooling')

    def close(self):
        self.calls.append('close')

    def has_open_work(self):
        return self.busy


class FakeFailover:
    """Count the checks of the primary of a group."""

    def __init__(self) -> None:
        self.ticks = 0

    def begin(self):
        self.ticks = 0

    def tick(self):
        self.ticks += 1


class FakeRateLimiter:
    """Grant nothing."""

    def granted(self):
        return []


@pytest.fixture
def now_s():
    """Return the settable time of the test, in s."""
    return [100.0]


@pytest.fixture
def world(now_s):
    """Build three candidates and 60 groups, with a reachability that a test may change."""
    reach = {f'gw-{number}': PeerReachability(True) for number in range(3)}
    clock = Clock(lambda: now_s[0], lambda: now_s[0])
    made = OwnershipManager('gw-0', clock, lambda: reach, FakeRateLimiter(), quiet_log(clock))
    groups = {f'g{number}': ManagedGroup(FakeRunner(), FakeFailover()) for number in range(60)}
    for name, group in groups.items():
        made.add(name, group)
    peers = [Peer(name, Address('10.0.0.1', 1), 'd', 1.0, 1) for name in reach]
    made.choose_candidates(peers)
    made.reconcile()
    return made, groups, reach


def test_groups_of_others_need_no_housekeeping(world):
    """Guard against housekeeping that grows with all groups of a large deployment."""
    made, groups, _ = world
    made.tick()
    eventlet.sleep(0)
    assert 0 < len(made.owned) < 60
    for name, group in groups.items():
        expected = ['enable_pooling', 'tick True'] if name in made.owned else []
        assert group.runner.calls == expected
        assert group.failover.ticks == (name in made.owned)


def test_a_former_owner_runs_housekeeping_until_its_work_ends(world):
    """Guard against transactions that stay open at a former owner."""
    made, groups, reach = world
    name = next(iter(made.owned))
    runner = groups[name].runner
    runner.busy = True
    reach['gw-0'] = PeerReachability(True, leaving=True)
    made.reconcile()
    assert made.owned == set()
    made.tick()
    eventlet.sleep(0)
    assert runner.calls[-2:] == ['disable_pooling', 'tick False']
    runner.busy = False
    made.tick()
    made.tick()
    eventlet.sleep(0)
    assert runner.calls.count('tick False') == 2


def test_work_before_the_start_of_ownership_gets_housekeeping(world):
    """Guard against an idle transaction that is never ended."""
    made, groups, _ = world
    name = next(name for name in groups if name not in made.owned)
    groups[name].runner.busy = True
    made.track_work(name)
    made.tick()
    eventlet.sleep(0)
    assert groups[name].runner.calls == ['tick False']


def test_a_group_that_is_added_later_gets_an_owner(world):
    """Guard against a new group without an owner until an unrelated change occurs."""
    made, groups, _ = world
    for number in range(60, 80):
        groups[f'g{number}'] = ManagedGroup(FakeRunner(), FakeFailover())
        made.add(f'g{number}', groups[f'g{number}'])
    made.reconcile()
    owned = {name for name in groups if made.owner(f'group/{name}') == 'gw-0'}
    assert made.owned == owned


def test_a_minority_owns_nothing(world):
    """Guard against two owners of a group on both sides of a network partition."""
    made, _, reach = world
    reach['gw-1'] = reach['gw-2'] = PeerReachability(False)
    made.reconcile()
    assert made.owned == set()
    assert made.owner('group/g1') is None
    made.remove('g1')
    made.tick()


def test_reachability_from_before_a_pause_is_not_used(world, now_s):
    """Guard against an owner that continues after a process pause although another took over."""
    made, _, reach = world
    assert made.owner('group/g1') is not None
    reach['gw-1'] = reach['gw-2'] = PeerReachability(False)
    now_s[0] += 5
    assert made.owner('group/g1') is None
    assert not made.has_majority()


def test_the_owner_is_not_computed_for_each_statement(world):
    """Guard against a cost per statement that grows with the number of instances."""
    made, _, _ = world
    evaluations = []
    inner = made._reach
    made._reach = lambda: evaluations.append(1) or inner()
    for _ in range(1_000):
        made.owner('group/g1')
    assert len(evaluations) <= 1
