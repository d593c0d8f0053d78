"""Decoders of the store rows that operators and backend servers write."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from godwitthread.address import parse_address
from godwitthread.core.catalog import Configuration, Group, Member, Organisation, Route
from godwitthread.core.statements import Consistency
from godwitthread.gateway.ports import Schema, Undecodable

if TYPE_CHECKING:
    from collections.abc import Callable

#: Upper bound of the numbers of a configuration: rates, limits, and times in ms.
MAX_NUMBER = 10**12
#: Upper bound of the time for which a member is cold, in ms: a day.
MAX_COLD_MS = 86_400_000
#: Upper bound of the slots of a member.
MAX_SLOTS = 100_000
#: Upper bound of versions and of times since 1970 in ms: integers that all JSON readers keep.
MAX_INTEGER = 2**53

_CONSISTENCY = {
    'primary': Consistency.PRIMARY,
    'bounded_staleness': Consistency.BOUNDED,
    'read_your_writes': Consistency.SESSION,
}


def decode_configuration(value: bytes) -> Configuration | Undecodable:
    """Decode the configuration that the operators write."""
    return _decode_json(_configuration, value)


def decode_member(member_id: str, value: bytes) -> Member | Undecodable:
    """Decode the entry of a backend server; entries of other writers are undecodable."""
    return _decode_json(lambda data: _member(member_id, data), value)


def _decode_json(decode: Callable[[Any], Any], value: bytes) -> Any:
    try:
        # Unlike the standard library, msgspec accepts neither `Infinity` nor a lone surrogate.
        return decode(msgspec.json.decode(value))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
        return Undecodable(f'{type(exc).__name__}: {exc}')


def _configuration(data: dict[str, Any]) -> Configuration:
    keys: dict[str, Organisation] = {}
    for tenant in data.get('Tenants', ()):
        # RatePerS is in operations per second; a transaction counts as one operation.
        organisation = Organisation(
            _text(tenant['Name']),
            float(_number(tenant['RatePerS'])),
            float(_number(tenant['Burst'])),
        )
        keys.update({_string(key): organisation for key in tenant['ApiKeys']})
    routes = {route['Host']: _route(route) for route in data['Routes']}
    groups = {
        service['Name']: Group(
            _text(service['Name']),
            int(_number(service['MaxConns'])),
            float(_number(service.get('ColdPerS') or 0)),
            # SyncReplicas is the number of replicas that must confirm a commit.
            synchronous=_number(service.get('SyncReplicas') or 0) > 0,
        )
        for service in data['Services']
    }
    return Configuration(
        int(_number(data['Version'], MAX_INTEGER)),
        routes,
        keys,
        groups,
        int(_number(data['Limits']['TxIdleMs'])),
    )


def _route(route: dict[str, Any]) -> Route:
    return Route(
        # Despite its name, Host holds the database name, not a host name.
        database=_text(route['Host']),
        group=_text(route['Service']),
        # Kind specifies the read consistency.
        consistency=_CONSISTENCY[route['Kind']],
        max_age_ms=int(_number(route.get('MaxStalenessMs') or 0)),
        timeout_ms=int(_number(route['TimeoutMs'])),
        objective_ms=int(_number(route['LatencyGoalMs'])),
        priority=int(_number(route['Priority'])),
        open=bool(route.get('Public')),
    )


def _member(member_id: str, data: dict[str, Any]) -> Member:
    state, role = data['State'], data['DbRole']
    if state not in ('ready', 'draining') or role not in ('primary', 'replica'):
        raise ValueError(f'invalid State {state!r} or DbRole {role!r}')
    slots, born = data['Slots'], data.get('born', 0)
    if type(slots) is not int or type(born) is not int:
        raise TypeError(f'invalid Slots {slots!r} or born {born!r}')
    # Connections to the member name its id in latin-1.
    _text(member_id).encode('latin-1')
    return Member(
        id=member_id,
        group=_text(data['Service']),
        address=parse_address(data['Addr']),
        failure_domain=_string(data['Zone']),
        slots=int(_number(slots, MAX_SLOTS, minimum=1)),
        draining=state == 'draining',
        primary=role == 'primary',
        cold_ms=int(_number(data.get('ColdLeftMs', 0), MAX_COLD_MS)),
        born=int(_number(born, MAX_INTEGER)),
    )


def _number(value: Any, maximum: float = MAX_NUMBER, minimum: float = 0) -> float:
    """Return a number within bounds; raise TypeError or ValueError."""
    if isinstance(value, bool) or not minimum <= value <= maximum:
        raise ValueError(f'{value!r} is not a number from {minimum} to {maximum}')
    number: float = value
    return number


def _text(value: Any) -> str:
    """Return a text that can be a field of a line; raise TypeError or ValueError."""
    if not _string(value).isprintable() or not value or ' ' in value:
        raise ValueError(f'{value!r} is empty, or has blanks or control characters')
    return str(value)


def _string(value: Any) -> str:
    """Return a text; raise TypeError."""
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a text')
    return value


#: Tables and keys defined by the platform: operators write `op`, members write `servers`.
SCHEMA = Schema('op', 'servers', 'config', 'evacuate/', decode_configuration, decode_member)
