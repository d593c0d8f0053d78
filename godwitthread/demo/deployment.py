"""Complete deployment in one process: platform, database groups, instances and balancer."""

from __future__ import annotations

import secrets
import socket
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.client import Client
from godwitthread.clock import Clock
from godwitthread.instance import settings as instance_settings
from godwitthread.instance.server import Instance
from godwitthread.loop import eventlet
from godwitthread.manifest.examples import DEPLOYMENTS, example
from godwitthread.manifest.repository import Repository
from godwitthread.manifest.table_client import PlatformClient
from godwitthread.standin.balancer import Balancer, BalancerSettings, Target
from godwitthread.standin.group import Group, GroupSettings
from godwitthread.standin.member import MemberSettings
from godwitthread.standin.platform import Platform, PlatformSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.instance.settings import Settings
    from godwitthread.manifest.changes import Change
    from godwitthread.manifest.head import Head
    from godwitthread.manifest.types import Manifest

HOST = '127.0.0.1'
INSTANCES = 9
#: Maximum time that a statement waits for the write lock of a member, in ms.
LOCK_TIMEOUT_MS = 30_000
#: Maximum time until all instances are ready, in ms.
READY_TIMEOUT_MS = 30_000


class Latencies(NamedTuple):
    """Simulated delays of a deployment in ms."""

    connect_ms: int
    link_ms: float
    lag_ms: int


LATENCIES = {
    'fjordkjol': Latencies(connect_ms=10, link_ms=1.5, lag_ms=30),
    'camara': Latencies(connect_ms=30, link_ms=0.5, lag_ms=20),
}


class Deployment:
    """Start and stop all components of a deployment."""

    def __init__(
        self,
        name: str = 'fjordkjol',
        instances: int = INSTANCES,
        *,
        adjust: Change = lambda manifest: manifest,
        settings: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        #: Change applied to the example manifest before the deployment starts.
        self._adjust_manifest = adjust
        #: Instance settings that override the defaults of the deployment.
        self._settings = settings or {}
        self.instances: list[Instance] = []
        self.groups: dict[str, Group] = {}
        self.keys: dict[str, tuple[str, ...]] = {}
        self.platform = Platform(PlatformSettings())
        self.operator_token = secrets.token_hex(16)
        self._instance_count = instances
        self._secrets = {
            'token_key': secrets.token_hex(32),
            'cluster_key': secrets.token_hex(32),
        }
        self.balancer: Balancer | None = None
        #: Instances stopped since the deployment started.
        self.stopped: list[Instance] = []
        #: Client statements executed by members of a failure domain while they were counted.
        self.late_work = 0
        self._initial_statements: dict[tuple[str, str], int] = {}
        self._addresses: dict[int, dict[str, str]] = {}

    @property
    def domains(self) -> tuple[str, ...]:
        """Return the names of the failure domains."""
        return DEPLOYMENTS[self.name].domains

    @property
    def url(self) -> str:
        """Return the URL of the balancer."""
        port = self.balancer.port if self.balancer is not None else 0
        return f'http://{HOST}:{port}'

    def start(self) -> None:
        """Start all components and wait until every instance is ready."""
        self.platform.start()
        manifest = self._start_groups()
        self.repository().propose_manifest(manifest, 0, 'demo')
        for number in range(self._instance_count):
            self.instances.append(self.start_instance(number))
        await_condition(lambda: all(each.state.is_ready() for each in self.instances))
        self.balancer = Balancer(
            BalancerSettings(
                tuple(self._balancer_target(each) for each in self.instances), poll_ms=250
            )
        )
        self.balancer.start()

    def stop(self) -> None:
        """Stop all components immediately."""
        if self.balancer is not None:
            self.balancer.stop()
        for each in self.instances:
            each.stop()
        for group in self.groups.values():
            group.stop()
        self.platform.stop()

    def start_instance(self, number: int, **settings: str) -> Instance:
        """Start an instance; `settings` override those of the deployment."""
        instance = Instance(self.settings(number, **settings))
        instance.start()
        return instance

    def settings(self, number: int, **settings: str) -> Settings:
        """Return the settings of the instance with the given zero-based number."""
        return instance_settings.load({**self._instance_settings(number), **settings}, {})

    def stop_instance(self, instance: Instance) -> None:
        """Stop an instance gracefully."""
        self._remove(instance)
        instance.shut_down()

    def mark_instance_stopped(self, instance: Instance) -> None:
        """Move an instance that was terminated by other means to the stopped ones."""
        self._remove(instance)

    def replace_instance(self, number: int, **settings: str) -> Instance:
        """Start a new instance with the name and addresses of its predecessor."""
        instance = self.start_instance(number, **settings)
        self.instances.append(instance)
        return instance

    def running_instance(self, name: str) -> Instance:
        """Return the running instance with the given name; raise KeyError if there is none."""
        return {each.state.seat.name: each for each in self.instances}[name]

    def client(
        self,
        organisation: str,
        route: str,
        *instances: Instance,
        key: str | None = None,
        **options: Any,
    ) -> Client:
        """Return a client of the given instances, or of the balancer if none is given."""
        urls = [f'http://{each.state.settings.caller_address}' for each in instances]
        text = key if key is not None else self.keys[organisation][0]
        return Client(urls or [self.url], text, route=route, **options)

    def change(self, change: Change, author: str = 'operator') -> Head:
        """Change the manifest in the store."""
        return self.repository().change_manifest(change, author, 'change')

    def repository(self) -> Repository:
        """Return a repository for the configuration in the store."""
        return Repository(PlatformClient(self.platform.url), Clock().wall_ms)

    def cut_primary(self, database: str) -> str:
        """Disconnect the primary of a database from the other members and from clients.

        Return its name; raise LookupError if there is no primary.
        """
        group = self.groups[database]
        primary = group.primary()
        if primary is None:
            raise LookupError(f'{database} has no primary')
        group.set_fault('cut', member=primary.name)
        return primary.name

    def heal(self, database: str, member: str) -> None:
        """Clear the injected faults of a member."""
        self.groups[database].set_fault('heal', member=member)

    def start_counting_late_work(self, domain: str) -> None:
        """Start counting client statements on the members of a failure domain."""
        self._initial_statements = self._statements(domain)

    def stop_counting_late_work(self) -> None:
        """Stop counting and add the statements counted to `late_work`."""
        current = self._statements(None)
        self.late_work += sum(
            current[key] - count for key, count in self._initial_statements.items()
        )
        self._initial_statements = {}

    def _remove(self, instance: Instance) -> None:
        self.instances.remove(instance)
        self.stopped.append(instance)

    def _statements(self, domain: str | None) -> dict[tuple[str, str], int]:
        return {
            (database, member.name): member.client_statements
            for database, group in self.groups.items()
            for member in group.members()
            if domain is None or member.settings.failure_domain == domain
        }

    def _start_groups(self) -> Manifest:
        spec, latencies = DEPLOYMENTS[self.name], LATENCIES[self.name]
        ports: list[int] = []
        # The operating system assigns the ports, so the manifest can only be built once the
        # groups run. Names and failure domains of the members come from a draft manifest.
        draft = self._adjust_manifest(
            example(self.name, range(1, 1 + 3 * len(spec.databases))).manifest
        )
        for database in draft.databases:
            members = tuple(
                MemberSettings(each.name, HOST, 0, each.failure_domain) for each in database.members
            )
            group = Group(
                GroupSettings(
                    database.name,
                    members,
                    connection_limit=database.slots * database.connections_per_slot,
                    setup_ms=latencies.connect_ms,
                    lag_ms=latencies.lag_ms,
                    link_ms=latencies.link_ms,
                    # PostgreSQL itself has no lock timeout by default.
                    lock_timeout_ms=LOCK_TIMEOUT_MS,
                )
            )
            group.start()
            self.groups[database.name] = group
            ports.extend(spec.port for spec in group.specs())
        built = example(self.name, ports)
        self.keys = built.keys
        return self._adjust_manifest(built.manifest)

    def _instance_settings(self, number: int) -> dict[str, str | None]:
        # A replacement reuses the addresses, so that the balancer and callers still reach it.
        if number not in self._addresses:
            names = ('caller_address', 'operator_address', 'peer_address')
            self._addresses[number] = {name: f'{HOST}:{free_port()}' for name in names}
        return {
            'name': f'entry-{number + 1}',
            'failure_domain': self.domains[number % len(self.domains)],
            **self._addresses[number],
            'platform_url': self.platform.url,
            'operator_token': self.operator_token,
            'lame_duck_ms': '500',
            **self._secrets,
            **self._settings,
        }

    def _balancer_target(self, instance: Instance) -> Target:
        settings = instance.state.settings
        ready_url = f'http://{settings.operator_address}/readyz'
        return Target(settings.name, *settings.caller_address, ready_url)


def await_condition(condition: Callable[[], bool], limit_ms: int = READY_TIMEOUT_MS) -> None:
    """Poll a condition until it is true; raise TimeoutError after `limit_ms`."""
    try:
        with eventlet.Timeout(limit_ms / 1000):
            while not condition():
                eventlet.sleep(0.02)
    except eventlet.Timeout:
        raise TimeoutError(f'condition not met within {limit_ms} ms') from None


def free_port() -> int:
    """Return a TCP port that is currently unused."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])
