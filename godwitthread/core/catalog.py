"""Routes, organisations, groups and members as the operators and the members state them."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.address import Address  # noqa: TC001 - public field type
from godwitthread.core.statements import Consistency  # noqa: TC001 - public field type


class Route(NamedTuple):
    """Database name that callers connect to, and how its statements run."""

    database: str
    #: Name of the group of members that serves the database.
    group: str
    consistency: Consistency
    #: Accepted age of what a read sees, in ms.
    max_age_ms: int
    #: Limit of a single statement, in ms.
    timeout_ms: int
    #: Response-time objective of a whole operation, in ms.
    objective_ms: int
    #: 0 is the highest priority.
    priority: int
    #: Whether callers need no key.
    open: bool


class Organisation(NamedTuple):
    """Owner of keys, with its limit over all instances together."""

    name: str
    #: Operations per second.
    rate: float
    burst: float


class Group(NamedTuple):
    """Members that replicate one log."""

    name: str
    #: Connections that one member accepts from all callers together.
    connection_limit: int
    #: Statements per second that a cold member takes; 0 means no limit.
    cold_rate: float
    #: Whether a commit is acknowledged only once a replica has received it.
    synchronous: bool = False


class Configuration(NamedTuple):
    """Version of the operators' configuration."""

    version: int
    routes: dict[str, Route]
    #: Organisation by key.
    keys: dict[str, Organisation]
    groups: dict[str, Group]
    #: Idle time after which a transaction may be ended, in ms.
    tx_idle_ms: int


class Member(NamedTuple):
    """Backend server as it registers itself."""

    id: str
    group: str
    address: Address
    failure_domain: str
    #: Statements that run at the same time.
    slots: int
    draining: bool
    #: Whether the member sees itself as the primary of its group.
    primary: bool
    #: How much longer the member is slow after its start, in ms.
    cold_ms: int
    #: Unix time of the start in ms; a restart under the same id changes it.
    born: int
    #: Version of the store at which the entry was written.
    revision: int = 0


class Peer(NamedTuple):
    """Instance as it registers itself in the store."""

    name: str
    address: Address
    failure_domain: str
    capacity: float
    #: Unix time of the start of the process in ms; names one run of the instance.
    incarnation: int
