"""Failure domain in which a group is owned."""

from __future__ import annotations

import random
from functools import partial

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.core.home_domains import DWELL_MS, FORMER_MS, HomeDomains, primary_domain
from godwitthread.core.ownership import PeerReachability, ranked
from godwitthread.gateway.group_homes import GroupHomes
from godwitthread.gateway.ownership_manager import OwnershipManager
from tests.test_gateway.fakes import member, quiet_log

TICK_MS = 50


def peers(capacity=lambda number: 1.0) -> list[Peer]:
    """Build three candidates in each of three domains."""
    return [
        Peer(f'gw-{number}', Address('10.0.0.1', 1), f'd{number % 3}', capacity(number), 1)
        for number in range(9)
    ]


def test_owners_are_in_the_domain_of_the_primary_if_its_instances_are_fast_enough():
    """Guard against crossings of all writes, and against a slow owner that avoids them."""
    fast, slow = peers(), peers(lambda number: 0.2 if number % 3 == 1 else 1.0)
    names = {peer.name for peer in fast}
    for number in range(20):
        assert ranked(f'group/{number}', fast, names, ('d1',))[0] in ('gw-1', 'gw-4', 'gw-7')
        assert ranked(f'group/{number}', slow, names, ('d1',))[0] not in ('gw-1', 'gw-4', 'gw-7')
        # Owners that join and leave the domain change no group of another one.
        left = names - {'gw-1', 'gw-4'}
        order = ranked(f'group/{number}', fast, names, ('d2', 'd0'))
        assert ranked(f'group/{number}', fast, left, ('d2', 'd0'))[0] == order[0]
        assert ranked(f'group/{number}', fast, names) == ranked(f'group/{number}', fast, names, ())


def run(homes: HomeDomains, now_ms: int, duration_ms: int) -> int:
    """Run the housekeeping for a while; return the end."""
    for each in range(now_ms, now_ms + duration_ms, TICK_MS):
        homes.tick(each)
    return now_ms + duration_ms


def test_a_primary_that_comes_and_goes_moves_no_group():
    """Guard against connections that are opened anew with each promotion."""
    homes = HomeDomains(0)
    homes.observe(0, 'g', 'd0')
    now_ms = 0
    for domain in ('d1', 'd2', 'd1', 'd0') * 3:
        homes.observe(now_ms, 'g', domain)
        now_ms = run(homes, now_ms, DWELL_MS - TICK_MS)
        homes.observe(now_ms, 'g', None)
        assert homes.preferred('g')[0] == 'd0'
    homes.observe(now_ms, 'g', 'd1')
    now_ms = run(homes, now_ms, DWELL_MS + 2 * TICK_MS)
    assert homes.preferred('g') == ('d1',)
    assert homes.former(now_ms, 'g') == 'd0'
    assert homes.former(now_ms + FORMER_MS, 'g') == ''


def test_an_instance_that_starts_or_was_suspended_agrees_with_the_others():
    """Guard against two owners of a group for 30 s after a promotion."""
    settled = HomeDomains(0)
    settled.observe(0, 'g', 'd0')
    now_ms = run(settled, 0, 10_000)
    settled.observe(now_ms, 'g', 'd1')
    now_ms = run(settled, now_ms, 20_000)
    started, suspended = HomeDomains(now_ms), HomeDomains(0)
    suspended.observe(0, 'g', 'd0')
    run(suspended, 0, 9_000)
    for late in (started, suspended):
        late.observe(now_ms, 'g', 'd1')
        late.tick(now_ms)
        assert late.report(now_ms) == ()
        assert late.adopt(now_ms, settled.report(now_ms))
        assert late.preferred('g') == settled.preferred('g') == ('d0', 'd1')
    now_ms = run(settled, now_ms, 10_100)
    for late in (started, suspended):
        run(late, now_ms - 10_100, 10_100)
        assert late.preferred('g') == settled.preferred('g') == ('d1',)


def test_the_newest_claim_names_the_primary():
    """Guard against a former primary whose entry still names it."""
    claims = [
        member('m0', primary=True, domain='d0')._replace(revision=5),
        member('m1', primary=True, domain='d1')._replace(revision=9),
        member('m2', domain='d2')._replace(revision=11),
    ]
    for _ in range(5):
        random.Random(1).shuffle(claims)
        assert primary_domain(claims) == 'd1'
    assert primary_domain([]) is None


class World:
    """Instances that see the same candidates; each may have the setting or not."""

    def __init__(self, *enabled: bool, cut: frozenset[str] = frozenset()) -> None:
        self.now_ms = 0
        clock = Clock(lambda: self.now_ms / 1_000, lambda: 0.0)
        self.homes: list[GroupHomes] = []
        for peer, on in zip(peers(), enabled, strict=True):
            reach = {
                other.name: PeerReachability({peer.failure_domain, other.failure_domain} != cut)
                for other in peers()
            }
            log = quiet_log(clock)
            manager = OwnershipManager(peer.name, clock, partial(dict, reach), None, log)
            manager.choose_candidates(peers())
            self.homes.append(GroupHomes(peer.name, clock, manager, {}, on))

    def primary(self, number: int, domain: str, group: str = 'g') -> None:
        """Let an instance see the primary of a group in a domain."""
        self.homes[number].observe(group, [member('m0', primary=True, domain=domain)])

    def run(self, duration_ms: int) -> None:
        """Run the housekeeping of all instances."""
        for _ in range(0, duration_ms, TICK_MS):
            self.now_ms += TICK_MS
            for each in self.homes:
                each.tick()

    def tries(self, number: int, group: str = 'g') -> int:
        """Return how many instances must be asked until one runs an operation."""
        for moved in range(9):
            owner = self.homes[number].owner(group, moved)
            asked = int(owner.removeprefix('gw-'))
            if self.homes[asked].owns(group):
                return moved + 1
        raise AssertionError('no instance runs the operation')


def test_every_instance_finds_an_owner_while_a_group_moves():
    """Guard against refusals while instances see the primary in different domains."""
    world = World(*[True] * 9)
    for number in range(9):
        world.primary(number, 'd0')
    world.run(3_000)
    for number in range(9):
        world.primary(number, 'd1')
        world.run(100)
    for _ in range(0, DWELL_MS + 2_000, 100):
        world.run(100)
        assert max(world.tries(number) for number in range(9)) <= 2
    owners = {each.owner('g', 0) for each in world.homes}
    assert owners <= {'gw-1', 'gw-4', 'gw-7'}
    assert len(owners) == 1


def test_a_release_of_the_setting_refuses_nothing():
    """Guard against statements that no instance runs while only some have the setting."""
    for on in range(10):
        enabled = [number < on for number in range(9)]
        world = World(*enabled)
        for number in range(9):
            world.primary(number, 'd2')
        world.run(100)
        if on in (0, 9):
            # Before and after it, all ask one instance, and at most one other would answer.
            assert len({each.owner('g', 0) for each in world.homes}) == 1
            assert max(world.tries(number) for number in range(9)) == 1
            assert sum(each.owns('g') for each in world.homes) <= 2
        assert max(world.tries(number) for number in range(9)) <= 4
        assert all(world.tries(number) == 1 for number in range(on, 9))


def test_instances_cut_off_from_the_owner_are_served():
    """Guard against refusals in a failure domain that does not reach that of the owner."""
    world = World(*[True] * 9, cut=frozenset({'d0', 'd1'}))
    for group in (f'g{index}' for index in range(60)):
        for number in range(9):
            world.primary(number, f'd{int(group[1:]) % 3}', group)
        assert max(world.tries(number, group) for number in range(9)) <= 4
