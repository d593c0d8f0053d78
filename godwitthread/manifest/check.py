"""Validation of a manifest that reports all issues, each with its JSON path."""

from __future__ import annotations

import ipaddress
from collections import Counter
from typing import TYPE_CHECKING, Any

from godwitthread.manifest.convert import ValidationIssue, convert, value_for_report
from godwitthread.manifest.types import RESERVED_CONNECTIONS, Manifest, connection_limit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from godwitthread.manifest.types import Database, Member, Organisation, Route

#: Minimum members of a database group: a commit is confirmed only once a second
#: member has stored it.
MIN_MEMBERS = 2


def check(document: Any) -> list[ValidationIssue]:
    """Return all issues of a decoded JSON document, sorted by path."""
    return convert_and_validate(document)[1]


def convert_and_validate(document: Any) -> tuple[Manifest, list[ValidationIssue]]:
    """Return the converted manifest and its issues; with issues the manifest is unusable."""
    issues: list[ValidationIssue] = []
    manifest: Manifest = convert(Manifest, document, '$', issues)
    reported = {issue.path for issue in issues}
    for rule in _RULES:
        issues += [issue for issue in rule(manifest) if issue.path not in reported]
    # With invalid entries in a member list, rules about the number of members would
    # report misleading issues.
    if not any(path.startswith('$.databases') for path in reported):
        issues += _coverage_rules(manifest)
    return manifest, sorted(issues, key=lambda issue: (issue.path, issue.accepted))


def _organisation_rules(manifest: Manifest) -> Iterator[ValidationIssue]:
    organisations = manifest.organisations
    yield from duplicates(
        (f'$.organisations[{i}].name', o.name) for i, o in _enumerate(organisations)
    )
    yield from duplicates(_key_values(organisations, 'id'))
    yield from duplicates(_key_values(organisations, 'sha256'))


def _key_values(organisations: Iterable[Organisation], field: str) -> Iterator[tuple[str, Any]]:
    for i, organisation in _enumerate(organisations):
        for j, key in _enumerate(organisation.keys):
            yield f'$.organisations[{i}].keys[{j}].{field}', getattr(key, field)


def _domain_rules(manifest: Manifest) -> Iterator[ValidationIssue]:
    domains = manifest.failure_domains
    yield from duplicates((f'$.failure_domains[{i}].name', d.name) for i, d in _enumerate(domains))
    if not domains:
        yield ValidationIssue('$.failure_domains', [], 'at least one failure domain')


def _database_rules(manifest: Manifest) -> Iterator[ValidationIssue]:
    databases = manifest.databases
    yield from duplicates((f'$.databases[{i}].name', d.name) for i, d in _enumerate(databases))
    if not databases:
        yield ValidationIssue('$.databases', [], 'at least one database')
    domains = {domain.name for domain in manifest.failure_domains}
    addresses: dict[tuple[Any, int], str] = {}
    for i, database in _enumerate(databases):
        path = f'$.databases[{i}]'
        yield from _connection_limit_rule(database, path)
        members = database.members
        yield from duplicates((f'{path}.members[{j}].name', m.name) for j, m in _enumerate(members))
        for j, member in _enumerate(members):
            yield from _member_rules(member, f'{path}.members[{j}]', domains, addresses)


def _connection_limit_rule(database: Database, path: str) -> Iterator[ValidationIssue]:
    if database.slots is None or database.connections_per_slot is None:
        return
    limit = connection_limit(database.slots, database.connections_per_slot)
    if limit <= RESERVED_CONNECTIONS:
        accepted = f'slots x connections_per_slot above the {RESERVED_CONNECTIONS} reserved'
        yield ValidationIssue(
            f'{path}.connections_per_slot', database.connections_per_slot, accepted
        )


def _member_rules(
    member: Member, path: str, domains: set[str], addresses: dict[tuple[Any, int], str]
) -> Iterator[ValidationIssue]:
    if member.failure_domain is not None and member.failure_domain not in domains:
        accepted = 'name of a failure domain of this manifest'
        yield ValidationIssue(f'{path}.failure_domain', member.failure_domain, accepted)
    if member.host is None:
        return
    try:
        host = ipaddress.ip_address(member.host)
    except ValueError:
        yield ValidationIssue(f'{path}.host', member.host, 'IPv4 or IPv6 address, no host name')
        return
    if member.port is None:
        return
    first = addresses.setdefault((host, member.port), path)
    if first != path:
        yield ValidationIssue(f'{path}.port', member.port, f'an address not used by {first}')


def _route_rules(manifest: Manifest) -> Iterator[ValidationIssue]:
    yield from duplicates((f'$.routes[{i}].name', r.name) for i, r in _enumerate(manifest.routes))
    databases = {database.name for database in manifest.databases}
    organisations = {organisation.name for organisation in manifest.organisations}
    for i, route in _enumerate(manifest.routes):
        path = f'$.routes[{i}]'
        if route.database is not None and route.database not in databases:
            yield ValidationIssue(
                f'{path}.database', route.database, 'name of a database of this manifest'
            )
        names = tuple((f'{path}.organisations[{j}]', n) for j, n in _enumerate(route.organisations))
        yield from duplicates(names)
        for name_path, name in names:
            if name is not None and name not in organisations:
                yield ValidationIssue(name_path, name, 'name of an organisation of this manifest')
        yield from (_open_route_rules if route.open else _closed_route_rules)(route, path)


def _open_route_rules(route: Route, path: str) -> Iterator[ValidationIssue]:
    for field in ('rate_per_s', 'burst'):
        if getattr(route, field) is None:
            yield ValidationIssue(f'{path}.{field}', None, 'required on an open route')
    if route.organisations:
        shown = list(route.organisations)
        yield ValidationIssue(f'{path}.organisations', shown, 'no organisations on an open route')


def _closed_route_rules(route: Route, path: str) -> Iterator[ValidationIssue]:
    for field in ('rate_per_s', 'burst'):
        if getattr(route, field) is not None:
            accepted = 'only on an open route; elsewhere the rate of the organisation applies'
            yield ValidationIssue(f'{path}.{field}', getattr(route, field), accepted)
    if not route.organisations:
        yield ValidationIssue(
            f'{path}.organisations', [], 'at least one organisation, or an open route'
        )


def _coverage_rules(manifest: Manifest) -> Iterator[ValidationIssue]:
    used = {member.failure_domain for db in manifest.databases for member in db.members}
    for i, domain in _enumerate(manifest.failure_domains):
        if domain.name is not None and domain.name not in used:
            accepted = 'a failure domain with at least one member'
            yield ValidationIssue(f'$.failure_domains[{i}].name', domain.name, accepted)
    taking_work = {domain.name for domain in manifest.failure_domains if domain.state != 'out'}
    for i, database in _enumerate(manifest.databases):
        members = database.members
        path = f'$.databases[{i}].members'
        if len(members) < MIN_MEMBERS:
            yield ValidationIssue(path, len(members), f'at least {MIN_MEMBERS} members')
        elif not any(m.state == 'active' and m.failure_domain in taking_work for m in members):
            accepted = 'at least one active member in a failure domain with state in'
            yield ValidationIssue(path, [member.name for member in members], accepted)


def duplicates(values: Iterable[tuple[str, Any]]) -> Iterator[ValidationIssue]:
    """Report every value that was used before, with its path."""
    seen: Counter[Any] = Counter()
    for path, value in values:
        seen[value] += 1
        if value is not None and seen[value] > 1:
            yield ValidationIssue(path, value_for_report(path, value), 'a value not used before')


def _enumerate(items: Iterable[Any]) -> enumerate[Any]:
    return enumerate(items)


_RULES: tuple[Callable[[Manifest], Iterator[ValidationIssue]], ...] = (
    _organisation_rules,
    _domain_rules,
    _database_rules,
    _route_rules,
)
