"""Leases on the primary of a group, granted by a majority of voters."""

from __future__ import annotations

import random

import pytest

from godwitthread.core.write_authority import (
    EXCLUSIVE_LEASE_MS,
    SHARED_LEASE_MS,
    VOTER_CHANGE_MS,
    Succession,
    Voter,
    VoterSets,
    WriteAuthority,
)

NAMES = ['v0', 'v1', 'v2', 'v3', 'v4']
#: Time at which voters that started at 0 may grant leases, in ms.
READY_MS = EXCLUSIVE_LEASE_MS


class Deployment:
    """Voters and holders that exchange messages without delay."""

    def __init__(self) -> None:
        self.ended: set[str] = set()
        self.voters = {name: Voter(0, self.ended.__contains__, lambda: False) for name in NAMES}
        self.held: dict[str, WriteAuthority] = {}

    def holder(self, name: str) -> WriteAuthority:
        if name not in self.held:
            sets = VoterSets()
            sets.update(0, NAMES, ())
            self.held[name] = WriteAuthority('orders', sets)
        return self.held[name]

    def ask(self, now_ms: int, name: str, voters: list[str], took_ms: int = 0) -> WriteAuthority:
        held = self.holder(name)
        claim = held.claim()
        for voter in voters:
            grant = self.voters[voter].claim(now_ms + took_ms // 2, name, claim)
            held.record(now_ms, now_ms + took_ms, voter, claim, grant)
        return held


def test_a_majority_of_voters_gives_the_authority_until_the_lease_ends():
    """Guard against work of a primary at an instance that is cut off from the others."""
    world = Deployment()
    assert not world.ask(READY_MS, 'a', NAMES[:2]).is_valid(READY_MS)
    held = world.ask(READY_MS, 'a', NAMES[:3])
    assert held.is_valid(READY_MS + SHARED_LEASE_MS - 1)
    assert not held.is_valid(READY_MS + SHARED_LEASE_MS)


def test_a_lease_counts_from_the_sending_of_its_request():
    """Guard against a holder that relies on a lease which has ended at the voters."""
    held = Deployment().ask(READY_MS, 'a', NAMES, took_ms=400)
    assert not held.is_valid(READY_MS + SHARED_LEASE_MS)


def test_two_instances_may_use_the_same_primary():
    """Guard against work that stops at each handover of a group without a promotion."""
    world = Deployment()
    assert world.ask(READY_MS, 'a', NAMES).is_valid(READY_MS)
    assert world.ask(READY_MS, 'b', NAMES).is_valid(READY_MS)


def test_a_promotion_waits_until_the_leases_of_others_have_ended():
    """Guard against a write that another instance acknowledges after the promotion."""
    world = Deployment()
    other = world.ask(READY_MS, 'a', NAMES)
    world.holder('b').begin_exclusive('m1')
    held = world.ask(READY_MS + 100, 'b', NAMES)
    assert not held.is_exclusive(READY_MS + 100)
    world.ask(READY_MS + 200, 'a', NAMES)
    assert not other.is_valid(READY_MS + 200)
    world.ask(READY_MS + 800, 'b', NAMES)
    assert not held.is_exclusive(READY_MS + SHARED_LEASE_MS - 1)
    assert held.is_exclusive(READY_MS + SHARED_LEASE_MS)


def test_an_ended_process_does_not_delay_a_promotion():
    """Guard against a second without writes after the owner and the primary died together."""
    world = Deployment()
    world.ask(READY_MS, 'a', NAMES)
    world.ended.add('a')
    world.holder('b').begin_exclusive('m1')
    assert world.ask(READY_MS + 1, 'b', NAMES).is_exclusive(READY_MS + 1)


def test_a_restarted_voter_grants_nothing_while_forgotten_leases_may_be_valid():
    """Guard against a promotion granted by voters that lost their memory in a restart."""
    world = Deployment()
    world.ask(READY_MS, 'a', NAMES)
    world.voters = {name: Voter(READY_MS + 10, lambda _: False, lambda: False) for name in NAMES}
    world.holder('b').begin_exclusive('m1')
    assert not world.ask(READY_MS + 20, 'b', NAMES).is_exclusive(READY_MS + 20)


def test_a_restarted_voter_grants_at_once_when_no_lease_can_be_left():
    """Guard against seconds without writes after a restart of the whole deployment."""
    world = Deployment()
    world.voters = {name: Voter(READY_MS, lambda _: False, lambda: True) for name in NAMES}
    assert world.ask(READY_MS, 'b', NAMES).is_valid(READY_MS)


def test_an_instance_does_not_rely_on_a_voter_whose_link_has_ended():
    """Guard against two instances that rely on a voter before and after its restart."""
    held = Deployment().ask(READY_MS, 'a', NAMES[:3])
    held.drop_voter('v0')
    assert not held.is_valid(READY_MS)


def test_the_next_instance_learns_of_a_promotion_from_any_majority():
    """Guard against an instance that goes on with the former primary after a handover."""
    world = Deployment()
    held = world.holder('a')
    held.begin_exclusive('m1')
    world.ask(READY_MS, 'a', NAMES[:3])
    later_ms = READY_MS + EXCLUSIVE_LEASE_MS
    assert world.ask(later_ms, 'b', NAMES[2:]).succession == Succession(1, False, 'm1')


def test_replaced_voters_must_agree_for_a_while():
    """Guard against majorities of two sets of voters that do not intersect."""
    sets = VoterSets()
    sets.update(0, NAMES, ())
    sets.update(10, ['v3', 'v4', 'v5', 'v6', 'v7'], ())
    assert not sets.is_majority(['v5', 'v6', 'v7'])
    assert sets.is_majority(['v2', 'v3', 'v4', 'v5'])
    sets.update(10 + VOTER_CHANGE_MS, ['v3', 'v4', 'v5', 'v6', 'v7'], ())
    assert sets.is_majority(['v5', 'v6', 'v7'])


def test_voters_that_ended_long_ago_do_not_count():
    """Guard against writes that stop for good once most of the voters are gone."""
    sets = VoterSets()
    sets.update(0, NAMES, ['v0', 'v1', 'v2'])
    assert not sets.is_majority(['v3', 'v4'])
    sets.update(EXCLUSIVE_LEASE_MS, NAMES, ['v0', 'v1', 'v2'])
    assert sets.is_majority(['v3', 'v4'])
    assert not sets.is_majority(['v3'])


@pytest.mark.parametrize('seed', range(40))
def test_no_instance_acknowledges_while_another_may_promote(seed):
    """Guard against any order of messages, losses and delays that breaks the exclusion."""
    draw = random.Random(seed)
    world = Deployment()
    in_flight: list[tuple] = []
    grants = 0
    for now_ms in range(READY_MS, READY_MS + 20_000, 10):
        for name in ('a', 'b', 'c'):
            held = world.holder(name)
            if draw.random() < 0.005:
                held.begin_exclusive('m1') if draw.random() < 0.4 else held.end_exclusive()
            if draw.random() < 0.1:
                claim = held.claim()
                for voter in draw.sample(NAMES, draw.randint(2, 5)):
                    out_ms, back_ms = draw.randint(0, 60), draw.randint(0, 60)
                    in_flight.append((now_ms + out_ms, now_ms, name, voter, claim, back_ms))
        arrived = [each for each in in_flight if each[0] <= now_ms]
        in_flight = [each for each in in_flight if each[0] > now_ms]
        for _, sent_ms, name, voter, claim, back_ms in sorted(arrived, key=lambda e: e[:4]):
            grant = world.voters[voter].claim(now_ms, name, claim)
            world.holder(name).record(sent_ms, now_ms + back_ms, voter, claim, grant)
        exclusive = [name for name, held in world.held.items() if held.is_exclusive(now_ms)]
        valid = [name for name, held in world.held.items() if held.is_valid(now_ms)]
        if exclusive:
            grants += 1
            assert valid == exclusive, (now_ms, exclusive, valid)
    assert grants, 'the run never reached an exclusive lease'
