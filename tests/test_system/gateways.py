"""Gateway instances in virtual time, whose store can stop answering some or all of them."""

from __future__ import annotations

import itertools
from typing import Any, NamedTuple

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.gateway import link_server
from godwitthread.gateway.metrics import Metrics
from godwitthread.gateway.node import Node
from godwitthread.gateway.options import Options
from godwitthread.gateway.ports import Ports, PromotionResult
from godwitthread.gateway.shutdown import shut_down
from godwitthread.loop import eventlet
from godwitthread.platform.row_decoding import SCHEMA
from godwitthread.platform.store import StoreClient
from godwitthread.sockets import listen
from godwitthread.standin.rows import RowStore, serve
from tests.test_gateway.fakes import FakeGroup, quiet_log

HOST = '127.0.0.1'
DOMAINS = ('bergen-a', 'bergen-b', 'stord')
GROUP = 'orders'
#: Grace period of a planned stop, in ms.
GRACE_MS = 6_000
#: Added to the incarnation at a restart, which makes it unique among all instances.
INCARNATION_STEP = 1_000
#: Interval of the checks of `watch`, in s.
CHECK_S = 0.05

_ports = itertools.count(40_000)


class Change(NamedTuple):
    """Configuration that the store accepted."""

    version: int
    accepted_ms: int


class GatewayDeployment:
    """Store and gateway instances; an operator changes the configuration."""

    #: Price of a crossing between failure domains, None if they do not matter.
    crossing_cost_ms: float | None = None

    def __init__(self, instances: int) -> None:
        self.store = RowStore()
        self.clock = Clock()
        self.changes: list[Change] = []
        self.nodes: list[Node] = []
        #: Whether the store answers nobody, so that the operator waits as well.
        self.silent = False
        self._servers: list[Any] = []
        #: Listening socket of each instance, and the thread that accepts its connections.
        self._listeners: dict[str, tuple[Any, Any]] = {}
        self.configure()
        self.announce('m0', 'ready')
        for number in range(instances):
            self.start(number)
        wait_until(lambda: all(node.ready() for node in self.nodes))

    def configure(
        self, *groups: str, databases: tuple[str, ...] = (), keys: tuple[str, ...] = ()
    ) -> None:
        """Have the store accept the next version of the configuration."""
        while self.silent:
            eventlet.sleep(CHECK_S)
        version = len(self.changes) + 1
        self.write_configuration(version, *groups, databases=databases, keys=keys)
        self.changes.append(Change(version, self.clock.now_ms()))

    def write_configuration(
        self,
        version: int,
        *groups: str,
        databases: tuple[str, ...] = (),
        keys: tuple[str, ...] = (),
    ) -> None:
        """Have the store accept a configuration of any version."""
        content = {
            'Version': version,
            'Routes': [_route(database) for database in databases],
            'Services': [{'Name': name, 'MaxConns': 16} for name in groups or (GROUP,)],
            'Limits': {'TxIdleMs': 3_000},
            'Tenants': [{'Name': 'north', 'RatePerS': 10, 'Burst': 10, 'ApiKeys': list(keys)}],
        }
        self.store.put('op', 'config', content)

    def announce(self, member: str, state: str, domain: str = DOMAINS[0], count: int = 1) -> None:
        """Write the entry of a member to the store."""
        entry = {
            'Service': GROUP,
            'Addr': f'{HOST}:9000',
            'Zone': domain,
            'Slots': 2,
            'State': state,
            'ColdLeftMs': 0,
            'DbRole': 'primary',
            'Seq': count,
            'born': 1,
        }
        self.store.put('servers', member, entry)

    def mute(self, nodes: list[Node]) -> None:
        """Let the store answer none of the given instances from now on."""
        self.store.muted = {node.peer.name for node in nodes}
        self.silent = len(nodes) == len(self.nodes)

    def unmute(self) -> None:
        """Let the store answer all instances again."""
        self.store.muted, self.silent = set(), False

    def readers(self) -> list[Node]:
        """Return the instances that read the store themselves."""
        return [node for node in self.nodes if node.ownership_manager.is_candidate(node.peer.name)]

    def outdated(self, limit_ms: int) -> list[str]:
        """Return the instances that lack a version accepted more than `limit_ms` ago."""
        return self.outdated_among(self.nodes, limit_ms)

    def outdated_among(self, nodes: list[Node], limit_ms: int) -> list[str]:
        """Return those of some instances that lack a version accepted more than `limit_ms` ago."""
        settled_ms = self.clock.now_ms() - limit_ms
        settled = (each.version for each in self.changes if each.accepted_ms <= settled_ms)
        required = max(settled, default=0)
        return [
            f'{node.peer.name} has {version(node)}, not {required}'
            for node in nodes
            if version(node) < required
        ]

    def watch(self, duration_s: float, limit_ms: int) -> list[str]:
        """Return the instances that lacked a version at any time, checked for a duration."""
        found: dict[str, None] = {}
        for _ in range(round(duration_s / CHECK_S)):
            eventlet.sleep(CHECK_S)
            found |= dict.fromkeys(self.outdated(limit_ms))
        return list(found)

    def stop(self) -> None:
        """End the instances and the store."""
        for node in self.nodes:
            node.stop()
            for stream in list(node.inbound):
                stream.close()
        for server in [*self._servers, *(thread for _, thread in self._listeners.values())]:
            server.kill()

    def remove(self, node: Node, announced: bool) -> None:
        """End an instance whose address then answers nobody; a planned end is announced."""
        if announced:
            shut_down(node, self.clock, GRACE_MS, lambda: True)
        self.nodes.remove(node)
        node.stop()
        # The listening socket stays open, so that connections are neither refused nor answered.
        self._listeners[node.peer.name][1].kill()
        for stream in list(node.inbound):
            stream.close()

    def restart_all(self) -> None:
        """End all instances at once, and start each of them a second later."""
        nodes = list(self.nodes)
        for node in nodes:
            self.remove(node, announced=False)
            self._listeners[node.peer.name][0].close()
        eventlet.sleep(1)
        for node in nodes:
            self.start(int(node.peer.name.removeprefix('entry-')), node.peer)

    def start(self, number: int, former: Peer | None = None) -> None:
        """Start an instance, at the address of its former process if there was one."""
        name = f'entry-{number}'
        store_address, peer_address = Address(HOST, next(_ports)), Address(HOST, next(_ports))
        self._servers.append(serve(store_address, self.store.application_for(name)))
        peer = Peer(name, peer_address, DOMAINS[number % 3], 1.0, number + 1)
        if former is not None:
            peer = former._replace(incarnation=former.incarnation + INCARNATION_STEP)
            self._listeners[name][0].close()
        ports = Ports(
            FakeGroup().connect,
            lambda: StoreClient(store_address),
            SCHEMA,
            lambda *_: PromotionResult(done=True, final=True),
        )
        log = quiet_log(self.clock)
        options = Options(crossing_cost_ms=self.crossing_cost_ms)
        node = Node(peer, self.clock, ports, log, Metrics(), options)
        sock = listen(peer.address)
        self._listeners[name] = sock, eventlet.spawn(_accept, sock, node)
        self.nodes.append(node)
        node.start()


def version(node: Node) -> int:
    """Return the version of the configuration in force at an instance."""
    return node.view.configuration.version if node.view.configuration else 0


def wait_until(condition: Any) -> None:
    """Wait until a condition holds, for 20 s at most."""
    for _ in range(400):
        if condition():
            return
        eventlet.sleep(CHECK_S)
    raise AssertionError('the condition did not hold within 20 s')


def _route(database: str) -> dict[str, Any]:
    return {
        'Host': database,
        'Service': GROUP,
        'Kind': 'primary',
        'TimeoutMs': 1_000,
        'LatencyGoalMs': 500,
        'Priority': 0,
    }


def _accept(sock: Any, node: Node) -> None:
    while True:
        conn, _ = sock.accept()
        eventlet.spawn_n(
            link_server.serve,
            conn,
            node.clock,
            node.inbound,
            node.heartbeat_status,
            node.handle,
            node.peer_ended,
            node.store_sync.report,
            node.start_gate.update,
        )
