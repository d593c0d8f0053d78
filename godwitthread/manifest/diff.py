"""Differences between two manifests; list entries are matched by name, not by index."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from godwitthread.manifest.types import Manifest


class Difference(NamedTuple):
    """Value of a manifest that was added, removed or changed."""

    #: 'added', 'removed' or 'changed'.
    kind: str
    #: Path such as `databases/orders/members/orders-1/port`.
    path: str
    old: Any
    new: Any


def diff(old: Manifest, new: Manifest) -> list[Difference]:
    """Return the differences, sorted by path."""
    before, after = flatten(old), flatten(new)
    differences = []
    for path in sorted(before.keys() | after.keys()):
        if path not in before:
            differences.append(Difference('added', path, None, after[path]))
        elif path not in after:
            differences.append(Difference('removed', path, before[path], None))
        elif before[path] != after[path]:
            differences.append(Difference('changed', path, before[path], after[path]))
    return differences


def as_text(differences: list[Difference]) -> str:
    """Return one line for each difference."""
    return '\n'.join(map(_format_line, differences)) or 'no differences'


def as_json(differences: list[Difference]) -> list[dict[str, Any]]:
    """Return the differences as JSON objects."""
    return [difference._asdict() for difference in differences]


def flatten(value: Any, path: str = '') -> dict[str, Any]:
    """Return the scalar values of a manifest by path; list entries are keyed by name."""
    if hasattr(value, '_asdict'):
        parts = value._asdict().items()
    elif isinstance(value, tuple):
        parts = [(_entry_name(item), item) for item in value]
    else:
        return {path: value}
    flat: dict[str, Any] = {}
    for name, item in parts:
        flat.update(flatten(item, f'{path}/{name}' if path else str(name)))
    return flat


def _entry_name(item: Any) -> str:
    return str(getattr(item, 'id', None) or getattr(item, 'name', None) or item)


def _format_line(difference: Difference) -> str:
    kind, path, old, new = difference
    if kind == 'added':
        return f'+ {path} = {new}'
    if kind == 'removed':
        return f'- {path} = {old}'
    return f'~ {path}: {old} -> {new}'
