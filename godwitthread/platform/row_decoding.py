"""Decoders of the store rows that operators and backend servers write."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from godwitthread.address import parse_address
from godwitthread.core.catalog import Configuration, Group, Member, Organisation, Route
from godwitthread.core.statements import Consistency
from godwitthread.gateway.ports import Schema, Undecodable
from godwitthread.platform.line_protocol import END

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Upper bound of the numbers of a configuration: rates, limits, and times in ms.
MAX_NUMBER = 10**12
#: Upper bound of the time for which a member is cold, in ms: a day.
MAX_COLD_MS = 86_400_000
#: Upper bound of the slots of a member.
MAX_SLOTS = 100_000
#: Upper bound of versions and of times since 1970 in ms: integers that all JSON readers keep.
MAX_INTEGER = 2**53

#: Consistency by the value of Kind.
CONSISTENCY = {
    'primary': Consistency.PRIMARY,
    'bounded_staleness': Consistency.BOUNDED,
    'read_your_writes': Consistency.SESSION,
}


class UnusableNameError(ValueError):
    """Raised for a name that no line of the protocol can hold."""


def decode_configuration(value: bytes) -> Configuration | Undecodable:
    """Decode the configuration that the operators write."""
    return _decode_json(_configuration, value)


def decode_member(member_id: str, value: bytes) -> Member | Undecodable:
    """Decode the entry of a backend server; entries of other writers are undecodable."""
    return _decode_json(lambda data: _member(member_id, data), value)


def member_order(value: bytes) -> tuple[int, int] | None:
    """Return what orders the entries of a backend server: its start and its count of entries."""
    order = _decode_json(
        lambda data: (
            int(_number(data, 'born', MAX_INTEGER, default=0)),
            int(_number(data, 'Seq', MAX_INTEGER)),
        ),
        value,
    )
    return None if isinstance(order, Undecodable) else order


def _decode_json(decode: Callable[[Any], Any], value: bytes) -> Any:
    try:
        # Unlike the standard library, msgspec accepts neither `Infinity` nor a lone surrogate.
        return decode(msgspec.json.decode(value))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
        return Undecodable(f'{type(exc).__name__}: {exc}')


def _configuration(data: dict[str, Any]) -> Configuration:
    left_out: list[str] = []
    keys: dict[str, Organisation] = {}
    tenants = _usable('Tenants', data.get('Tenants', ()), _organisation, left_out)
    for index, tenant, organisation in tenants:
        if not all(isinstance(key, str) for key in tenant['ApiKeys']):
            raise TypeError('ApiKeys has a value that is not a text')
        usable = [key for key in tenant['ApiKeys'] if is_last_field(key)]
        if len(usable) < len(tenant['ApiKeys']):
            left_out.append(f'Tenants[{index}]: a key is empty or no field of a line')
        keys.update(dict.fromkeys(usable, organisation))
    routes = _usable('Routes', data['Routes'], _route, left_out)
    groups = _usable('Services', data['Services'], _group, left_out)
    return Configuration(
        int(_number(data, 'Version', MAX_INTEGER)),
        {route.database: route for _, _, route in routes},
        keys,
        {group.name: group for _, _, group in groups},
        int(_number(data['Limits'], 'TxIdleMs')),
        tuple(left_out),
    )


def _usable(
    field: str, entries: Any, decode: Callable[[dict[str, Any]], Any], left_out: list[str]
) -> Iterator[tuple[int, dict[str, Any], Any]]:
    """Yield the decoded entries of a list, and note those with a name that no line can hold."""
    for index, entry in enumerate(entries):
        try:
            yield index, entry, decode(entry)
        except UnusableNameError as exc:
            left_out.append(f'{field}[{index}]: {exc}')


def _organisation(tenant: dict[str, Any]) -> Organisation:
    # RatePerS is in operations per second; a transaction counts as one operation.
    return Organisation(
        _name(tenant, 'Name'), _number(tenant, 'RatePerS'), _number(tenant, 'Burst')
    )


def _group(service: dict[str, Any]) -> Group:
    return Group(
        _name(service, 'Name'),
        int(_number(service, 'MaxConns')),
        _number(service, 'ColdPerS', default=0),
        # SyncReplicas is the number of replicas that must confirm a commit.
        synchronous=_number(service, 'SyncReplicas', default=0) > 0,
    )


def _route(route: dict[str, Any]) -> Route:
    return Route(
        # Despite its name, Host holds the database name, not a host name.
        database=_name(route, 'Host'),
        group=_name(route, 'Service'),
        # Kind specifies the read consistency.
        consistency=_consistency(route['Kind']),
        max_age_ms=int(_number(route, 'MaxStalenessMs', default=0)),
        timeout_ms=int(_number(route, 'TimeoutMs')),
        objective_ms=int(_number(route, 'LatencyGoalMs')),
        priority=int(_number(route, 'Priority')),
        open=bool(route.get('Public')),
    )


def _consistency(kind: Any) -> Consistency:
    if not isinstance(kind, str) or kind not in CONSISTENCY:
        raise ValueError('Kind is unknown')
    return CONSISTENCY[kind]


def _member(member_id: str, data: dict[str, Any]) -> Member:
    state, role, slots, born = data['State'], data['DbRole'], data['Slots'], data.get('born', 0)
    if state not in ('ready', 'draining') or role not in ('primary', 'replica'):
        raise ValueError(f'invalid State {state!r} or DbRole {role!r}')
    if type(slots) is not int or type(born) is not int:
        raise TypeError('Slots or born is not an integer')
    if not isinstance(data['Zone'], str):
        raise TypeError('Zone is not a text')
    return Member(
        id=_name({'id': member_id}, 'id'),
        group=_name(data, 'Service'),
        address=parse_address(data['Addr']),
        failure_domain=data['Zone'],
        slots=int(_number(data, 'Slots', MAX_SLOTS, minimum=1)),
        draining=state == 'draining',
        primary=role == 'primary',
        cold_ms=int(_number(data, 'ColdLeftMs', MAX_COLD_MS, default=0)),
        born=int(_number(data, 'born', MAX_INTEGER, default=0)),
    )


# The messages of these errors end up in the log, and a malformed configuration may have a key in
# any place, so that they quote no value.


def _number(
    data: dict[str, Any],
    field: str,
    maximum: float = MAX_NUMBER,
    minimum: float = 0,
    default: float | None = None,
) -> float:
    """Return a number within bounds; raise KeyError or ValueError."""
    value = data[field] if default is None else data.get(field)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'{field} is not a number')
    if not minimum <= value <= maximum:
        raise ValueError(f'{field} is not between {minimum} and {maximum}')
    number: float = value
    return number


def _name(data: dict[str, Any], field: str) -> str:
    """Return a text that can be a field of a line; raise KeyError or ValueError."""
    value = data[field]
    if not isinstance(value, str):
        raise ValueError(f'{field} is not a text')
    if not is_field(value):
        raise UnusableNameError(f'{field} is empty or no field of a line')
    return value


def is_field(text: str) -> bool:
    """Return whether a text can be a field of a line, at any place."""
    return is_last_field(text) and text.isprintable() and ' ' not in text


def is_last_field(text: str) -> bool:
    """Return whether a text can be the last field of a line and is not empty."""
    try:
        return bool(text) and END not in text.encode('latin-1')
    except UnicodeEncodeError:
        return False


#: Tables and keys defined by the platform: operators write `op`, members write `servers`.
SCHEMA = Schema(
    'op', 'servers', 'config', 'evacuate/', decode_configuration, decode_member, member_order
)
