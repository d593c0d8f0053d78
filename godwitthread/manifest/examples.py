"""Example manifests of the two deployments described in the design documentation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.manifest.keys import new_key
from godwitthread.manifest.types import (
    FORMAT,
    Database,
    FailureDomain,
    Manifest,
    Member,
    Organisation,
    Route,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

#: Members of each database.
MEMBERS_PER_DATABASE = 3
#: Slots of each member.
SLOTS = 2


class Example(NamedTuple):
    """Manifest with the clear-text keys of its organisations."""

    manifest: Manifest
    #: Clear-text keys by organisation, oldest first.
    keys: dict[str, tuple[str, ...]]


class _Deployment(NamedTuple):
    region: str
    domains: tuple[str, ...]
    service: str
    connections_per_slot: int
    databases: tuple[str, ...]
    #: Name, weight and rate per second of each organisation.
    organisations: tuple[tuple[str, float, float], ...]
    #: Maximum staleness of reads on the read-only routes, in ms; None reads the primary.
    read_age_ms: int | None
    open_route: str
    open_database: str


DEPLOYMENTS: dict[str, _Deployment] = {
    'fjordkjol': _Deployment(
        region='vestland',
        domains=('bergen-a', 'bergen-b', 'stord'),
        service='kjolbase',
        connections_per_slot=15,
        databases=('orders', 'routes', 'bottles'),
        organisations=(
            ('drivers', 4, 400),
            ('planning', 3, 300),
            ('portal', 3, 200),
            ('depot-asane', 1, 40),
            ('depot-stord', 1, 40),
            ('hospital-desk', 1, 40),
            ('canteen-desk', 1, 30),
            ('maintenance', 1, 20),
        ),
        read_age_ms=2000,
        open_route='service-notices',
        open_database='routes',
    ),
    'camara': _Deployment(
        region='uy-sur',
        domains=('montevideo', 'canelones', 'maldonado', 'colonia'),
        service='libro-socios',
        connections_per_slot=35,
        databases=('stock', 'reservations', 'catalogue'),
        organisations=(
            ('counters-montevideo', 4, 500),
            ('counters-canelones', 3, 300),
            ('workshops', 3, 200),
            ('counters-maldonado', 1, 60),
            ('counters-colonia', 1, 60),
            ('clerks', 1, 40),
            ('restocking', 1, 30),
            ('auditors', 1, 20),
        ),
        read_age_ms=500,
        open_route='public-catalogue',
        open_database='catalogue',
    ),
}


def example(
    deployment: str,
    member_ports: Sequence[int],
    secret_of: Callable[[str], str] | None = None,
) -> Example:
    """Build a manifest on 127.0.0.1 with 9 member ports, ordered by database and member."""
    spec = DEPLOYMENTS[deployment]
    organisations, keys = _organisations(spec, secret_of)
    manifest = Manifest(
        format=FORMAT,
        name=deployment,
        failure_domains=tuple(FailureDomain(name, spec.region) for name in spec.domains),
        organisations=organisations,
        databases=_databases(spec, member_ports),
        routes=_routes(spec),
    )
    return Example(manifest, keys)


def committed(deployment: str) -> Example:
    """Build the example committed in docs/examples, whose secrets are public."""
    first = {'fjordkjol': 15401, 'camara': 15501}[deployment]
    ports = range(first, first + MEMBERS_PER_DATABASE * 3)
    return example(deployment, ports, lambda key_id: f'public-example-{key_id}')


def _organisations(
    spec: _Deployment, secret_of: Callable[[str], str] | None
) -> tuple[tuple[Organisation, ...], dict[str, tuple[str, ...]]]:
    organisations = []
    keys = {}
    for name, weight, rate_per_s in spec.organisations:
        ids = (f'{name}-1', f'{name}-2')
        new_keys = [new_key(key_id, secret_of(key_id) if secret_of else None) for key_id in ids]
        keys[name] = tuple(key.text for key in new_keys)
        # A burst of half a second of the rate absorbs jitter in a steady load.
        burst = int(rate_per_s / 2)
        entry = Organisation(name, weight, rate_per_s, burst, tuple(key.key for key in new_keys))
        organisations.append(entry)
    return tuple(organisations), keys


def _databases(spec: _Deployment, ports: Sequence[int]) -> tuple[Database, ...]:
    expected = len(spec.databases) * MEMBERS_PER_DATABASE
    if len(ports) != expected:
        raise ValueError(f'{expected} member ports expected, {len(ports)} given')
    return tuple(
        Database(
            name=name,
            service=spec.service,
            slots=SLOTS,
            connections_per_slot=spec.connections_per_slot,
            members=tuple(
                _member(spec, name, index, number, ports) for number in range(MEMBERS_PER_DATABASE)
            ),
        )
        for index, name in enumerate(spec.databases)
    )


def _member(spec: _Deployment, name: str, index: int, number: int, ports: Sequence[int]) -> Member:
    # The first members rotate through the domains, so that primaries are spread as well.
    domain = spec.domains[(index + number) % len(spec.domains)]
    port = ports[index * MEMBERS_PER_DATABASE + number]
    return Member(f'{name}-{number + 1}', '127.0.0.1', port, domain)


def _routes(spec: _Deployment) -> tuple[Route, ...]:
    names = tuple(name for name, _, _ in spec.organisations)
    routes = [Route(name, name, names) for name in spec.databases]
    routes += [
        Route(f'{name}-read', name, names, read_only=True, max_age_ms=spec.read_age_ms)
        for name in spec.databases
    ]
    routes.append(
        Route(
            name=spec.open_route,
            database=spec.open_database,
            open=True,
            read_only=True,
            max_age_ms=60_000,
            rate_per_s=50,
            burst=25,
        )
    )
    return tuple(routes)
