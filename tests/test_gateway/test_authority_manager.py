"""Leases on primaries between several instances."""

from __future__ import annotations

import eventlet
import msgspec
import pytest

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.core.ownership import PeerReachability
from godwitthread.core.write_authority import EXCLUSIVE_LEASE_MS
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.authority_manager import AuthorityManager, ClaimRequest
from tests.test_gateway.fakes import quiet_log

NAMES = ('a', 'b', 'c')


class FakeStream:
    """Connection from an instance that identified itself."""

    def __init__(self, peer_name: str) -> None:
        self.peer_name = peer_name


class FakeLink:
    """Link that calls the manager of another instance directly."""

    def __init__(self, world, sender: str, receiver: str) -> None:
        self._world, self._sender, self._receiver = world, sender, receiver

    @property
    def up(self):
        return frozenset((self._sender, self._receiver)) not in self._world.cut

    def reach(self):
        world = self._world
        return PeerReachability(
            self.up,
            ready=self._receiver not in world.not_ready,
            departed=self._receiver in world.departed,
        )

    def call(self, kind, body, timeout_ms):
        if not self.up:
            raise ProxyError(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, 'cut')
        request = msgspec.msgpack.decode(msgspec.msgpack.encode(body), type=ClaimRequest)
        answer = self._world.managers[self._receiver].answer(f'{self._sender}/1', request)
        return msgspec.msgpack.encode(answer)


class World:
    """Three instances that are candidates and voters."""

    def __init__(self) -> None:
        self.cut: set[frozenset[str]] = set()
        #: Instances that have not become ready since their start.
        self.not_ready: set[str] = set()
        #: Instances that announced their end some time ago.
        self.departed: set[str] = set()
        self.now_s = 100.0
        clock = Clock(self.read_clock, self.read_clock)
        peers = {name: Peer(name, Address('10.0.0.1', 1), 'd1', 1.0, 1) for name in NAMES}
        self.peers = list(peers.values())
        self.managers: dict[str, AuthorityManager] = {}
        self.leases = {}
        self.granted: list[str] = []
        for name in NAMES:
            others = [other for other in NAMES if other != name]
            self.managers[name] = AuthorityManager(
                name,
                f'{name}/1',
                clock,
                {other: FakeLink(self, name, other) for other in others},
                {FakeStream(other) for other in others},
                lambda: peers,
                self.granted.append,
                quiet_log(clock),
            )
            self.managers[name].update_voters(self.peers)
            self.leases[name] = self.managers[name].add('orders')

    def read_clock(self) -> float:
        """Return the time of the test in s; each reading takes 1 ms."""
        self.now_s += 0.001
        return self.now_s

    def advance(self, ms: int) -> None:
        self.now_s += ms / 1000

    def forget_links_of(self, name: str) -> None:
        for manager in self.managers.values():
            manager._inbound.difference_update(
                [stream for stream in manager._inbound if stream.peer_name == name]
            )

    def isolate(self, name: str) -> None:
        self.cut.update(frozenset((name, other)) for other in NAMES if other != name)


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr('godwitthread.gateway.authority_manager.POLL_MS', 0)
    return World()


def test_the_owner_of_a_group_may_use_its_primary_after_one_round(world):
    """Guard against a group that has an owner but no authority."""
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert world.leases['a'].is_valid()
    assert world.granted == ['orders']


def test_an_instance_without_a_majority_orders_nothing(world):
    """Guard against a promotion by an instance that is cut off from the others."""
    world.isolate('a')
    assert not world.leases['a'].acquire_exclusive('m1')


def test_a_promotion_ends_the_authority_of_other_instances(world):
    """Guard against two instances that act for one group around a handover."""
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert world.leases['b'].acquire_exclusive('m1')
    assert not world.leases['a'].is_valid()
    world.leases['b'].end_exclusive('m1')
    world.advance(1_500)
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert world.leases['a'].is_valid()
    assert world.leases['a'].succession.member == 'm1'


def test_an_instance_that_does_not_know_a_promotion_orders_nothing(world):
    """Guard against an order that would undo a newer promotion."""
    assert world.leases['a'].acquire_exclusive('m1')
    world.leases['a'].end_exclusive('m1')
    eventlet.sleep(0)
    assert not world.leases['b'].acquire_exclusive('m2')
    assert world.leases['b'].succession.member == 'm1'


def test_a_voter_whose_link_ended_does_not_count(world):
    """Guard against reliance on a voter that may have restarted."""
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    for name in ('b', 'c'):
        world.managers['a'].drop_voter(name)
    assert not world.leases['a'].is_valid()


def test_an_instance_that_ends_grants_no_lease(world):
    """Guard against a voter that others no longer count."""
    for name in ('b', 'c'):
        world.managers[name].stop_voting()
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert not world.leases['a'].is_valid()


def test_departed_voters_do_not_count_once_their_leases_have_ended(world):
    """Guard against a group without a usable primary after most instances have left."""
    for name in ('b', 'c'):
        world.isolate(name)
        world.departed.add(name)
    manager = world.managers['a']
    manager.update_voters(world.peers)
    world.advance(EXCLUSIVE_LEASE_MS - 100)
    manager.update_voters(world.peers)
    manager.tick({'orders'})
    assert not world.leases['a'].is_valid()
    world.advance(100)
    manager.update_voters(world.peers)
    manager.tick({'orders'})
    assert world.leases['a'].is_valid()


def test_an_instance_that_is_gone_does_not_delay_the_leases_after_a_restart_of_all(world):
    """Guard against a second without writes while the list still names a removed instance."""
    world.isolate('c')
    world.forget_links_of('c')
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert not world.leases['a'].is_valid()
    world.advance(500)
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert world.leases['a'].is_valid()


def test_an_instance_that_the_store_refuses_does_not_delay_the_leases_after_a_restart_of_all(world):
    """Guard against a second without writes while some instances know no others yet."""
    world.forget_links_of('c')
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert not world.leases['a'].is_valid()
    world.not_ready.add('c')
    world.advance(100)
    world.managers['a'].tick({'orders'})
    eventlet.sleep(0)
    assert world.leases['a'].is_valid()
