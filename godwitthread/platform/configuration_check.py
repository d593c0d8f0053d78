"""Check of a configuration in the platform's form before it is sent to the store.

Reports what instances would refuse, entries that can never match, limits that contradict each
other, and differences from the version in force, in the types that the manifest uses.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

from godwitthread.gateway.ports import Undecodable
from godwitthread.manifest.check import duplicates
from godwitthread.manifest.convert import ValidationIssue, value_for_report
from godwitthread.manifest.diff import Difference
from godwitthread.platform.row_decoding import (
    CONSISTENCY,
    MAX_INTEGER,
    MAX_NUMBER,
    decode_configuration,
    is_field,
    is_last_field,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

#: Lists of a configuration, with the field that names an entry.
LISTS = {'Routes': 'Host', 'Services': 'Name', 'Tenants': 'Name'}
#: Field with secrets, whose values are never shown.
KEYS = 'ApiKeys'
#: Numbers by list: name, smallest accepted value, and whether an entry may lack it.
NUMBERS: dict[str, tuple[tuple[str, float, bool], ...]] = {
    'Routes': (
        ('TimeoutMs', 1, False),
        ('LatencyGoalMs', 1, False),
        ('Priority', 0, False),
        ('MaxStalenessMs', 0, True),
    ),
    'Services': (('MaxConns', 1, False), ('ColdPerS', 0, True), ('SyncReplicas', 0, True)),
    'Tenants': (('RatePerS', 0, False), ('Burst', 0, False)),
}


def check(data: Any, in_force: Any = None) -> list[ValidationIssue]:
    """Return all issues of a decoded configuration, sorted by path."""
    issues = list(_structure(data))
    if not issues:
        issues = [issue for rule in _RULES for issue in rule(data)]
        old = in_force.get('Version') if isinstance(in_force, dict) else None
        if isinstance(old, int) and data['Version'] <= old:
            accepted = f'a version above {old}, which is in force'
            issues.append(ValidationIssue('$.Version', data['Version'], accepted))
        # The instances decide, so that nothing passes here that they refuse.
        decoded = decode_configuration(msgspec.json.encode(data))
        if isinstance(decoded, Undecodable) and not issues:
            issues.append(ValidationIssue('$', '(document)', decoded.reason))
    return sorted(issues, key=lambda issue: (issue.path, issue.accepted))


def diff(old: Any, new: Any) -> list[Difference]:
    """Return the differences of two configurations, sorted by path."""
    before, after = dict(_flatten(old)), dict(_flatten(new))
    differences = []
    for path in sorted(before.keys() | after.keys()):
        kind = 'added' if path not in before else 'removed' if path not in after else 'changed'
        values = before.get(path), after.get(path)
        if kind != 'changed' or values[0] != values[1]:
            if path.endswith(f'/{KEYS}'):
                values = _key_counts(*values)
            differences.append(Difference(kind, path, *values))
    return differences


def _structure(data: Any) -> Iterator[ValidationIssue]:
    if not isinstance(data, dict):
        yield ValidationIssue('$', value_for_report('$', data), 'an object')
        return
    yield from _number('$', data, 'Version', 1, False, MAX_INTEGER)
    limits = data.get('Limits')
    if isinstance(limits, dict):
        yield from _number('$.Limits', limits, 'TxIdleMs', 1, False)
    else:
        yield ValidationIssue('$.Limits', None, 'required: an object')
    for name, key in LISTS.items():
        entries = data.get(name, [] if name == 'Tenants' else None)
        if not isinstance(entries, list):
            yield ValidationIssue(f'$.{name}', None, 'required: a list')
            continue
        for index, entry in enumerate(entries):
            yield from _entry(f'$.{name}[{index}]', name, key, entry)


def _entry(path: str, name: str, key: str, entry: Any) -> Iterator[ValidationIssue]:
    if not isinstance(entry, dict):
        yield ValidationIssue(path, '(hidden)', 'an object')
        return
    for field in (key, 'Service') if name == 'Routes' else (key,):
        if not isinstance(entry.get(field), str) or not entry[field]:
            shown = value_for_report(path, entry.get(field))
            yield ValidationIssue(f'{path}.{field}', shown, 'a non-empty text')
        elif not is_field(entry[field]):
            shown = value_for_report(path, entry[field])
            accepted = 'a text in latin-1 without blanks and control characters'
            yield ValidationIssue(f'{path}.{field}', shown, accepted)
    for field, minimum, optional in NUMBERS[name]:
        yield from _number(path, entry, field, minimum, optional)
    if name == 'Routes' and entry.get('Kind') not in list(CONSISTENCY):
        shown = value_for_report(path, entry.get('Kind'))
        yield ValidationIssue(f'{path}.Kind', shown, f'one of {", ".join(CONSISTENCY)}')
    keys = entry.get(KEYS) if name == 'Tenants' else []
    if not isinstance(keys, list) or not all(isinstance(each, str) for each in keys):
        yield ValidationIssue(f'{path}.{KEYS}', '(hidden)', 'a list of texts')
    elif not all(map(is_last_field, keys)):
        accepted = 'non-empty texts in latin-1 without CR LF'
        yield ValidationIssue(f'{path}.{KEYS}', '(hidden)', accepted)


def _number(
    path: str,
    entry: dict[str, Any],
    field: str,
    minimum: float,
    optional: bool,
    maximum: float = MAX_NUMBER,
) -> Iterator[ValidationIssue]:
    if field not in entry and optional:
        return
    value: Any = entry.get(field)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or not minimum <= value <= maximum:
        shown = value_for_report(path, value)
        accepted = f'a number from {minimum:g} to {maximum:g}'
        yield ValidationIssue(f'{path}.{field}', shown, accepted)


def _unreachable(data: Any) -> Iterator[ValidationIssue]:
    """Report entries that can never match."""
    for name, key in LISTS.items():
        entries = enumerate(data.get(name, ()))
        yield from duplicates((f'$.{name}[{i}].{key}', each[key]) for i, each in entries)
    services = {each['Name'] for each in data['Services']}
    used = {each['Service'] for each in data['Routes']}
    for i, route in enumerate(data['Routes']):
        if route['Service'] not in services:
            path = f'$.Routes[{i}].Service'
            yield ValidationIssue(path, route['Service'], 'the name of a service')
    for i, service in enumerate(data['Services']):
        if service['Name'] not in used:
            path = f'$.Services[{i}].Name'
            yield ValidationIssue(path, service['Name'], 'a service that a route names')
    tenants = data.get('Tenants', ())
    for i, tenant in enumerate(tenants):
        if not tenant[KEYS]:
            yield ValidationIssue(f'$.Tenants[{i}].{KEYS}', [], 'at least one key')
    keys = (
        (f'$.Tenants[{i}].{KEYS}[{j}]', each)
        for i, tenant in enumerate(tenants)
        for j, each in enumerate(tenant[KEYS])
    )
    # A key of two tenants belongs to the last one.
    yield from (issue._replace(value='(hidden)') for issue in duplicates(keys))


def _contradictions(data: Any) -> Iterator[ValidationIssue]:
    """Report limits that contradict each other."""
    for i, route in enumerate(data['Routes']):
        path, age_ms = f'$.Routes[{i}]', route.get('MaxStalenessMs', 0)
        if route['LatencyGoalMs'] > route['TimeoutMs']:
            accepted = f'at most TimeoutMs, {route["TimeoutMs"]:g}'
            yield ValidationIssue(f'{path}.LatencyGoalMs', route['LatencyGoalMs'], accepted)
        if (route['Kind'] == 'primary') == (age_ms > 0):
            needs = '0 for Kind primary' if age_ms else f'above 0 for Kind {route["Kind"]}'
            yield ValidationIssue(f'{path}.MaxStalenessMs', age_ms, needs)
    for i, tenant in enumerate(data.get('Tenants', ())):
        # A rate without an operation in its burst admits nothing; 0 and 0 block on purpose.
        if (tenant['RatePerS'] > 0) != (tenant['Burst'] >= 1):
            accepted = 'at least 1 with a rate, 0 without'
            yield ValidationIssue(f'$.Tenants[{i}].Burst', tenant['Burst'], accepted)


_RULES: tuple[Callable[[Any], Iterable[ValidationIssue]], ...] = (_unreachable, _contradictions)


def _flatten(value: Any, path: str = '') -> Iterator[tuple[str, Any]]:
    """Yield the values by path; entries of the known lists are named, not counted."""
    if isinstance(value, dict):
        for name, item in value.items():
            yield from _flatten(item, f'{path}/{name}' if path else str(name))
    elif path in LISTS and isinstance(value, list):
        for item in value:
            entry = item if isinstance(item, dict) else {}
            yield from _flatten(entry, f'{path}/{entry.get(LISTS[path], "?")}')
    else:
        yield path, value


def _key_counts(old: Any, new: Any) -> tuple[str, str]:
    """Describe changed keys without a value."""
    before, after = set(map(str, old or ())), set(map(str, new or ()))
    changes = f'{len(after - before)} added, {len(before - after)} removed'
    return f'{len(before)} keys', f'{len(after)} keys ({changes})'
