"""Types of the manifest, from which the JSON Schema and the validation are derived."""

from __future__ import annotations

from typing import Annotated, Final, Literal, NamedTuple

from msgspec import Meta

#: Version of the document format.
FORMAT: Final = 1
#: Connections of each member reserved for control: one for each of the three observers
#: and one for the replacement of an observer.
RESERVED_CONNECTIONS = 4

# The lookahead rejects a trailing newline, before which `$` also matches in Python.
_NAME_PATTERN = r'^[a-z0-9][a-z0-9-]{0,62}$(?!\n)'

Name = Annotated[
    str,
    Meta(pattern=_NAME_PATTERN, description='1 to 63 lower-case letters, digits and hyphens'),
]
Sha256 = Annotated[
    str,
    Meta(pattern=r'^[0-9a-f]{64}$(?!\n)', description='SHA-256 of the secret, 64 hex digits'),
]
Host = Annotated[
    str, Meta(min_length=2, max_length=45, description='IPv4 or IPv6 address, no host name')
]
Port = Annotated[int, Meta(ge=1, le=65535, description='TCP port, 1 to 65535')]
Rate = Annotated[
    float, Meta(gt=0, le=10_000_000, description='statements per second, above 0 and to 10,000,000')
]
Burst = Annotated[int, Meta(ge=1, le=10_000_000, description='statements, 1 to 10,000,000')]
Weight = Annotated[float, Meta(gt=0, le=1000, description='weight, above 0 and to 1,000')]
Slots = Annotated[int, Meta(ge=1, le=10_000, description='slots per member, 1 to 10,000')]
PerSlot = Annotated[int, Meta(ge=1, le=10_000, description='connections per slot, 1 to 10,000')]
AgeMs = Annotated[int, Meta(ge=0, le=86_400_000, description='age in ms, 0 to 86,400,000')]


class FailureDomain(NamedTuple):
    """Failure domain and whether it takes new work."""

    name: Name
    region: Name
    state: Literal['in', 'out'] = 'in'


class Key(NamedTuple):
    """Key of an organisation, without its secret."""

    id: Name
    sha256: Sha256
    state: Literal['active', 'withdrawn'] = 'active'


class Organisation(NamedTuple):
    """Organisation with its rate over all instances together."""

    name: Name
    weight: Weight
    rate_per_s: Rate
    burst: Burst
    keys: tuple[Key, ...] = ()


class Member(NamedTuple):
    """Member of a database group."""

    name: Name
    host: Host
    port: Port
    failure_domain: Name
    state: Literal['active', 'leaving'] = 'active'


class Database(NamedTuple):
    """Database group with the connections that each member accepts."""

    name: Name
    service: Name
    slots: Slots
    connections_per_slot: PerSlot
    members: tuple[Member, ...]


class Route(NamedTuple):
    """Route from callers to a database."""

    name: Name
    database: Name
    #: Organisations allowed on the route; empty on an open route.
    organisations: tuple[Name, ...] = ()
    #: Whether requests need no key and are limited by the rate of the route.
    open: bool = False
    read_only: bool = False
    #: Default maximum staleness of reads, in ms.
    max_age_ms: AgeMs | None = None
    rate_per_s: Rate | None = None
    burst: Burst | None = None


class Manifest(NamedTuple):
    """Whole configuration that operators write."""

    format: Literal[1]
    name: Name
    failure_domains: tuple[FailureDomain, ...]
    organisations: tuple[Organisation, ...]
    databases: tuple[Database, ...]
    routes: tuple[Route, ...]


def connection_limit(slots: int, connections_per_slot: int) -> int:
    """Return the number of connections that a member accepts from all instances together."""
    return slots * connections_per_slot


def connection_capacity(database: Database) -> int:
    """Return the number of connections of a member that the instances share."""
    limit = connection_limit(database.slots, database.connections_per_slot)
    return limit - RESERVED_CONNECTIONS
