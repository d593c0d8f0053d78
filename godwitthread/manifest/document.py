"""Manifest documents: loading, conversion to JSON types, canonical encoding and hash."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import msgspec

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.manifest.check import convert_and_validate
from godwitthread.manifest.convert import ValidationIssue

if TYPE_CHECKING:
    from godwitthread.manifest.types import Manifest


def decode(body: bytes | str) -> Any:
    """Decode JSON text; raise a group of ProxyError(MANIFEST_INVALID) if it is malformed."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise manifest_invalid_group([ValidationIssue('$', '(text)', f'JSON: {exc}')]) from exc


def load(document: Any) -> Manifest:
    """Convert and validate a document; raise a group of ProxyError(MANIFEST_INVALID)."""
    manifest, issues = convert_and_validate(document)
    if issues:
        raise manifest_invalid_group(issues)
    return manifest


def loads(body: bytes | str) -> Manifest:
    """Decode, convert and validate JSON text; errors as in load()."""
    return load(decode(body))


def manifest_invalid_group(issues: list[ValidationIssue]) -> ExceptionGroup[ProxyError]:
    """Return an exception group with one MANIFEST_INVALID error per issue."""
    errors = [ProxyError(ErrorKind.MANIFEST_INVALID, describe(issue)) for issue in issues]
    return ExceptionGroup('manifest invalid', errors)


def describe(issue: ValidationIssue) -> str:
    """Return one line with the path, the value and the accepted values."""
    return f'{issue.path}: {issue.value!r} is refused, accepted: {issue.accepted}'


def plain(manifest: Manifest) -> dict[str, Any]:
    """Return the manifest as JSON types, including fields with default values."""
    result: dict[str, Any] = _plain(manifest)
    return result


def encode(manifest: Manifest) -> bytes:
    """Return the canonical JSON encoding, identical for equal manifests."""
    return msgspec.json.encode(plain(manifest), order='sorted')


def digest(body: bytes) -> str:
    """Return the SHA-256 of a body in hex, which is its name in the object store."""
    return hashlib.sha256(body).hexdigest()


def _plain(value: Any) -> Any:
    if hasattr(value, '_asdict'):
        return {name: _plain(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    # 4 and 4.0 are equal weights and must have the same encoding.
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
