"""Lookup tables of one configuration version for the request path."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.manifest.types import connection_capacity
from godwitthread.types import MemberSpec

if TYPE_CHECKING:
    from godwitthread.manifest.types import Database, Manifest, Route

#: Longest accepted key text; longer texts are truncated before hashing and rejected.
MAX_KEY_CHARACTERS = 256

# Digest compared for an unknown key id, so that an unknown id and a wrong secret take
# the same time. No secret is known to hash to all zeros.
_NO_DIGEST = bytes(32)


class Caller(NamedTuple):
    """Organisation and key id of an authenticated request."""

    organisation: str
    key_id: str


class RateCapacity(NamedTuple):
    """Rate and burst of a resource, summed over all instances."""

    rate_per_s: float
    burst: int


class _KeyEntry(NamedTuple):
    digest: bytes
    caller: Caller
    active: bool


_NO_KEY = _KeyEntry(_NO_DIGEST, Caller('', ''), False)


class Directory:
    """Lookup tables of one manifest version for the request path."""

    def __init__(self, version: int, manifest: Manifest) -> None:
        #: Configuration version of the tables.
        self.version = version
        #: Manifest the tables were built from.
        self.manifest = manifest
        #: Routes by name.
        self.routes: dict[str, Route] = {route.name: route for route in manifest.routes}
        #: Databases by name.
        self.databases: dict[str, Database] = {
            database.name: database for database in manifest.databases
        }
        #: Fair-queue weights by organisation.
        self.weights = {
            organisation.name: organisation.weight for organisation in manifest.organisations
        }
        self._keys = _key_table(manifest)
        self._allowed = {route.name: frozenset(route.organisations) for route in manifest.routes}
        self._members = {database.name: _members(database) for database in manifest.databases}
        self._out = frozenset(
            domain.name for domain in manifest.failure_domains if domain.state == 'out'
        )

    def authenticate(self, key_text: str | None) -> Caller:
        """Return the caller; raise KEY_MISSING, KEY_INVALID or KEY_WITHDRAWN."""
        if not key_text:
            raise ProxyError(ErrorKind.KEY_MISSING, 'the route needs a key')
        prefix, _, rest = key_text[:MAX_KEY_CHARACTERS].partition('_')
        key_id, _, secret = rest.partition('_')
        entry = self._keys.get(key_id, _NO_KEY)
        digest = hashlib.sha256(secret.encode('utf-8', 'replace')).digest()
        matches = hmac.compare_digest(digest, entry.digest)
        if not matches or prefix != 'gw' or len(key_text) > MAX_KEY_CHARACTERS:
            raise ProxyError(ErrorKind.KEY_INVALID, 'the key is not valid')
        if not entry.active:
            raise ProxyError(ErrorKind.KEY_WITHDRAWN, f'the key {key_id} is withdrawn')
        return entry.caller

    def is_active(self, caller: Caller) -> bool:
        """Return whether the key of an earlier authentication is still valid."""
        entry = self._keys.get(caller.key_id, _NO_KEY)
        return entry.active and entry.caller == caller

    def route_for(self, caller: Caller | None, route_name: str) -> Route:
        """Return the route; raise ROUTE_UNKNOWN, KEY_MISSING or ROUTE_FORBIDDEN."""
        route = self.routes.get(route_name)
        if route is None:
            raise ProxyError(ErrorKind.ROUTE_UNKNOWN, 'there is no such route')
        if route.open:
            return route
        if caller is None:
            raise ProxyError(ErrorKind.KEY_MISSING, 'the route needs a key')
        if caller.organisation not in self._allowed[route_name]:
            raise ProxyError(ErrorKind.ROUTE_FORBIDDEN, 'the route is closed to the organisation')
        return route

    def admit(self, key_text: str | None, route_name: str) -> tuple[Caller | None, Route]:
        """Return caller and route; open routes ignore the key, others require a valid one."""
        route = self.routes.get(route_name)
        if route is not None and route.open:
            return None, route
        # The key is checked first, so that only key holders can find out which routes exist.
        caller = self.authenticate(key_text)
        return caller, self.route_for(caller, route_name)

    def allows(self, caller: Caller | None, route: Route) -> bool:
        """Return whether this version still grants the caller the route and its database."""
        current = self.routes.get(route.name)
        if current is None or current.database != route.database:
            return False
        if current.open:
            return True
        return caller is not None and caller.organisation in self._allowed[route.name]

    def members(self, database: str) -> tuple[MemberSpec, ...]:
        """Return the members of a database; raise KeyError for an unknown one."""
        return self._members[database]

    def domain_out(self, name: str) -> bool:
        """Return whether a failure domain is out of service."""
        return name in self._out

    def rate_capacities(self) -> dict[str, RateCapacity]:
        """Return rate and burst by resource name."""
        rates = {
            f'rate/{organisation.name}': RateCapacity(organisation.rate_per_s, organisation.burst)
            for organisation in self.manifest.organisations
        }
        for route in self.manifest.routes:
            if route.open and route.rate_per_s is not None and route.burst is not None:
                rates[f'rate/open:{route.name}'] = RateCapacity(route.rate_per_s, route.burst)
        return rates

    def connection_capacities(self) -> dict[str, int]:
        """Return the number of connections to share among the instances, by resource name."""
        return {
            connection_resource(database.name, member.name): connection_capacity(database)
            for database in self.manifest.databases
            for member in database.members
        }


def rate_resource(caller: Caller | None, route: Route) -> str:
    """Return the name of the rate resource that a request is charged to."""
    if route.open or caller is None:
        return f'rate/open:{route.name}'
    return f'rate/{caller.organisation}'


def connection_resource(database: str, member: str) -> str:
    """Return the name of the connection resource of a member."""
    return f'connections/{database}/{member}'


def _key_table(manifest: Manifest) -> dict[str, _KeyEntry]:
    return {
        key.id: _KeyEntry(
            bytes.fromhex(key.sha256), Caller(organisation.name, key.id), key.state == 'active'
        )
        for organisation in manifest.organisations
        for key in organisation.keys
    }


def _members(database: Database) -> tuple[MemberSpec, ...]:
    return tuple(
        MemberSpec(
            member.name,
            member.host,
            member.port,
            member.failure_domain,
            member.state == 'leaving',
        )
        for member in database.members
    )
