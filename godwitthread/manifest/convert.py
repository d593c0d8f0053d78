"""Conversion of decoded JSON values to the manifest types, collecting all issues."""

from __future__ import annotations

import functools
import types
import typing
from typing import Any, Literal, NamedTuple

import msgspec


class ValidationIssue(NamedTuple):
    """Invalid value of a document at a JSON path."""

    path: str
    value: Any
    #: Description of the accepted values.
    accepted: str


def convert(hint: Any, value: Any, path: str, issues: list[ValidationIssue]) -> Any:
    """Convert a value to a type; invalid values are added to `issues` and become None."""
    if _is_record(hint):
        return _convert_record(hint, value, path, issues)
    if typing.get_origin(hint) is tuple:
        return _convert_list(hint, value, path, issues)
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError:
        issues.append(ValidationIssue(path, value_for_report(path, value), describe(hint)))
        return None


def value_for_report(path: str, value: Any) -> Any:
    """Return the value, shortened, or a placeholder if it may be a clear-text secret."""
    if path.endswith('.sha256'):
        return '(hidden)'
    text = repr(value)
    return value if len(text) <= 100 else f'{text[:100]}...'


def describe(hint: Any) -> str:
    """Return a human-readable description of the values that a type accepts."""
    if typing.get_origin(hint) is Literal:
        return 'one of ' + ', '.join(map(repr, typing.get_args(hint)))
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        parts = (arg for arg in typing.get_args(hint) if arg is not type(None))
        return ' or '.join(map(describe, parts)) + ' or null'
    for extra in getattr(hint, '__metadata__', ()):
        if extra.description:
            return str(extra.description)
    return {bool: 'true or false', str: 'text', int: 'a whole number'}.get(hint, str(hint))


@functools.cache
def fields_of(record: Any) -> dict[str, Any]:
    """Return the field types of a NamedTuple, including their `Annotated` constraints."""
    return typing.get_type_hints(record, include_extras=True)


def _is_record(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, tuple) and hasattr(hint, '_fields')


def _convert_record(hint: Any, value: Any, path: str, issues: list[ValidationIssue]) -> Any:
    fields = fields_of(hint)
    if not isinstance(value, dict):
        issues.append(ValidationIssue(path, value_for_report(path, value), 'an object'))
        return hint(**{name: _absent(kind) for name, kind in fields.items()})
    known = ', '.join(fields)
    for name in value:
        if name not in fields:
            shown = value_for_report(path, value[name])
            issues.append(
                ValidationIssue(f'{path}.{name}', shown, f'no such field; fields: {known}')
            )
    return hint(
        **{
            name: _convert_field(hint, name, kind, value, path, issues)
            for name, kind in fields.items()
        }
    )


def _convert_field(
    record: Any,
    name: str,
    kind: Any,
    value: dict[str, Any],
    path: str,
    issues: list[ValidationIssue],
) -> Any:
    if name in value:
        return convert(kind, value[name], f'{path}.{name}', issues)
    if name in record._field_defaults:
        return record._field_defaults[name]
    accepted = 'a list' if typing.get_origin(kind) is tuple else describe(kind)
    issues.append(ValidationIssue(f'{path}.{name}', None, f'required: {accepted}'))
    return _absent(kind)


def _convert_list(hint: Any, value: Any, path: str, issues: list[ValidationIssue]) -> Any:
    if not isinstance(value, (list, tuple)):
        issues.append(ValidationIssue(path, value_for_report(path, value), 'a list'))
        return ()
    item = typing.get_args(hint)[0]
    return tuple(convert(item, element, f'{path}[{i}]', issues) for i, element in enumerate(value))


def _absent(kind: Any) -> Any:
    return () if typing.get_origin(kind) is tuple else None
