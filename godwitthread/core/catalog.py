"""Routes, organisations, groups and members, as configured or registered in the store."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.address import Address  # noqa: TC001 - public field type
from godwitthread.core.statements import Consistency  # noqa: TC001 - public field type


class Route(NamedTuple):
    """Database name that callers connect to, and the execution of its statements."""

    database: str
    #: Name of the group of members that serves the database.
    group: str
    consistency: Consistency
    #: Maximum accepted staleness of a read, in ms.
    max_age_ms: int
    #: Time limit of a single statement, in ms.
    timeout_ms: int
    #: Response-time objective of a whole operation, in ms.
    objective_ms: int
    #: 0 is the highest priority.
    priority: int
    #: Whether callers can connect without a key.
    open: bool


class Organisation(NamedTuple):
    """Owner of keys, with the rate limit that applies to all instances together."""

    name: str
    #: Operations per second.
    rate: float
    burst: float


class Group(NamedTuple):
    """Members that replicate one log."""

    name: str
    #: Number of connections that a member accepts from all callers together.
    connection_limit: int
    #: Statements per second that a cold member accepts; 0 means no limit.
    cold_rate: float
    #: Whether a commit is acknowledged only after a replica has received it.
    synchronous: bool = False


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: dict[str, Route]
    #: Organisation by key.
    keys: dict[str, Organisation]
    groups: dict[str, Group]
    #: Idle time after which a transaction may be rolled back, in ms.
    tx_idle_ms: int
    #: Entries and keys that are not in force, and why.
    left_out: tuple[str, ...] = ()


class Member(NamedTuple):
    """Backend server, as registered by itself."""

    id: str
    group: str
    address: Address
    failure_domain: str
    #: Maximum number of concurrent statements.
    slots: int
    draining: bool
    #: Whether the member regards itself as the primary of its group.
    primary: bool
    #: Remaining time for which the member is slow after its start, in ms.
    cold_ms: int
    #: Unix time of the start in ms; changes when the member restarts under the same id.
    born: int
    #: Store version at which the entry was written.
    revision: int = 0


class Peer(NamedTuple):
    """Instance, as registered by itself in the store."""

    name: str
    address: Address
    failure_domain: str
    capacity: float
    #: Unix time of the start of the process in ms; identifies one run of the instance.
    incarnation: int
    #: Whether that process has ended after a planned stop.
    departed: bool = False
