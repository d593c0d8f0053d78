"""Owners of groups while many instances start at the same time."""

from __future__ import annotations

import pytest

from godwitthread.core.ownership import PeerReachability
from godwitthread.core.ownership_start import MAX_WAIT_MS, QUIET_MS, START_DELAY_MS, OwnershipStart
from tests.test_gateway.starting_instances import FormerRule, start_all

UP = PeerReachability(True, ready=False)
READY = PeerReachability(True)
DOWN = PeerReachability(False)


def test_groups_change_hands_less_often_while_all_instances_start():
    """Guard against several owners of a group in turn, and against a later first owner."""
    former = [start_all(seed, FormerRule) for seed in range(6)]
    now = [start_all(seed) for seed in range(6)]
    assert sum(each.owners() for each in now) <= 0.8 * sum(each.owners() for each in former)
    assert all(each.ready == 9 for each in now)
    for before, after in zip(former, now, strict=True):
        # The former rule was applied every 50 ms, so that its first owner is never earlier.
        assert after.first_ms() <= before.first_ms()


def test_instances_that_do_not_return_keep_no_group_without_an_owner():
    """Guard against instances that wait for candidates which never start."""
    outcome = start_all(3, absent=2)
    assert outcome.ready == 7
    assert all(outcome.owned_ms)


def test_the_first_instance_owns_without_waiting_for_the_others():
    """Guard against a later first answer, since each waits for the others."""
    start = OwnershipStart()
    assert not start.step(1_000, {'b': UP, 'c': DOWN}, {'b'})
    assert start.step(1_000 + START_DELAY_MS, {'b': UP, 'c': DOWN}, {'b'})


def test_an_instance_that_reaches_all_is_ready_at_once():
    """Guard against a delay at each start of a single instance."""
    assert OwnershipStart().step(0, {'b': READY, 'c': READY}, {'b', 'c'})


@pytest.mark.parametrize(('last_ms', 'ready_ms'), [(450, 450 + QUIET_MS), (1_400, MAX_WAIT_MS)])
def test_an_instance_beside_an_owner_waits_for_those_that_are_starting(last_ms, ready_ms):
    """Guard against a change of owner for each instance that starts, and a wait without end."""
    start = OwnershipStart()
    assert not start.step(0, {'b': READY, 'c': DOWN, 'd': DOWN}, {'b'})
    for now_ms in range(100, last_ms, 250):
        # The link from an instance that is starting comes and goes.
        inbound = {'b'} if now_ms % 500 == 100 else {'b', 'd'}
        assert not start.step(now_ms, {'b': READY, 'c': DOWN, 'd': DOWN}, inbound)
    start.step(last_ms, {'b': READY, 'c': UP, 'd': DOWN}, {'b', 'c', 'd'})
    assert start.reached
    assert start.next_change_ms() == ready_ms
    assert not start.step(ready_ms - 1, {'b': READY, 'c': UP, 'd': DOWN}, {'b', 'c', 'd'})
    assert start.step(ready_ms, {'b': READY, 'c': UP, 'd': DOWN}, {'b', 'c', 'd'})
