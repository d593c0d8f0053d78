"""Incremental manifest changes, each a function from the old manifest to the new one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.manifest.convert import ValidationIssue
from godwitthread.manifest.document import manifest_invalid_group
from godwitthread.manifest.types import Key

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.manifest.types import Manifest, Member

    Change = Callable[[Manifest], Manifest]


def withdraw_key(key_id: str) -> Change:
    """Return a change that withdraws a key; it raises NOT_FOUND for an unknown key id."""

    def change(manifest: Manifest) -> Manifest:
        organisations = tuple(
            organisation._replace(keys=_with_state(organisation.keys, key_id, 'withdrawn'))
            for organisation in manifest.organisations
        )
        _require(any(key.id == key_id for entry in organisations for key in entry.keys), 'key')
        return manifest._replace(organisations=organisations)

    return change


def add_key(organisation: str, key_id: str, sha256: str) -> Change:
    """Return a change that adds an active key.

    The change raises NOT_FOUND for an unknown organisation.
    """
    new = Key(key_id, sha256)

    def add(keys: tuple[Key, ...]) -> tuple[Key, ...]:
        # Idempotent: a client that lost the first response repeats the request.
        return keys if new in keys else (*keys, new)

    def change(manifest: Manifest) -> Manifest:
        _require(organisation in {entry.name for entry in manifest.organisations}, 'organisation')
        organisations = tuple(
            entry._replace(keys=add(entry.keys)) if entry.name == organisation else entry
            for entry in manifest.organisations
        )
        return manifest._replace(organisations=organisations)

    return change


def set_failure_domain(name: str, state: Any) -> Change:
    """Return a change that sets a failure domain to 'in' or 'out' of service.

    The change raises NOT_FOUND for an unknown failure domain.
    """
    _check_state(state, ('in', 'out'))

    def change(manifest: Manifest) -> Manifest:
        _require(name in {domain.name for domain in manifest.failure_domains}, 'failure domain')
        domains = tuple(
            domain._replace(state=state) if domain.name == name else domain
            for domain in manifest.failure_domains
        )
        return manifest._replace(failure_domains=domains)

    return change


def set_backend_server(database: str, member: str, state: str) -> Change:
    """Return a change that marks a backend server 'leaving' or 'active'.

    The change raises NOT_FOUND for an unknown database or member.
    """
    _check_state(state, ('active', 'leaving'))

    def change(manifest: Manifest) -> Manifest:
        known = {(entry.name, spec.name) for entry in manifest.databases for spec in entry.members}
        _require((database, member) in known, 'backend server')
        databases = tuple(
            entry._replace(members=_members_with_state(entry.members, member, state))
            if entry.name == database
            else entry
            for entry in manifest.databases
        )
        return manifest._replace(databases=databases)

    return change


def preserve_states(current: Manifest, target: Manifest) -> Manifest:
    """Return the target with the withdrawn, out and leaving states of the current manifest.

    A rollback must not reactivate withdrawn keys or return failure domains and
    backend servers to service.
    """
    withdrawn = {
        key.id
        for organisation in current.organisations
        for key in organisation.keys
        if key.state == 'withdrawn'
    }
    out = {domain.name for domain in current.failure_domains if domain.state == 'out'}
    leaving = {
        (database.name, member.name)
        for database in current.databases
        for member in database.members
        if member.state == 'leaving'
    }
    for key_id in withdrawn & {key.id for entry in target.organisations for key in entry.keys}:
        target = withdraw_key(key_id)(target)
    for name in out & {domain.name for domain in target.failure_domains}:
        target = set_failure_domain(name, 'out')(target)
    known = {(entry.name, member.name) for entry in target.databases for member in entry.members}
    for database, member in leaving & known:
        target = set_backend_server(database, member, 'leaving')(target)
    return target


def _with_state(keys: tuple[Key, ...], key_id: str, state: Any) -> tuple[Key, ...]:
    return tuple(key._replace(state=state) if key.id == key_id else key for key in keys)


def _members_with_state(members: tuple[Member, ...], name: str, state: Any) -> tuple[Member, ...]:
    return tuple(
        member._replace(state=state) if member.name == name else member for member in members
    )


def _check_state(state: str, accepted: tuple[str, ...]) -> None:
    if state not in accepted:
        raise manifest_invalid_group(
            [ValidationIssue('$.arguments.state', state, f'one of {", ".join(accepted)}')]
        )


def _require(exists: bool, what: str) -> None:
    if not exists:
        raise ProxyError(ErrorKind.NOT_FOUND, f'no such {what} in the manifest')
