"""Encoding of statement parameters as text with type OIDs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pg8000.converters import make_params

from godwitthread.backend.errors import StatementError

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Type OIDs sent with parameters; the server infers all other types. Integers use the
#: smallest type that fits, because it casts implicitly to the larger ones.
_OID_BOOL, _OID_BYTES, _OID_INT8, _OID_INT2, _OID_INT4 = 16, 17, 20, 21, 23
_OID_FLOAT8, _OID_NUMERIC, _OID_INFERRED = 701, 1700, 0

#: Maximum number of parameters in a Bind message.
MAX_PARAMETERS = 65_535
CHARACTER_NOT_IN_REPERTOIRE = '22021'
INVALID_PARAMETER_VALUE = '22023'


def encode_parameters(
    sql: str, params: Sequence[Any], out_types: dict[type, Any]
) -> tuple[Sequence[str | None], list[int]]:
    """Return texts and type OIDs; raise StatementError for values that cannot be encoded."""
    if len(params) > MAX_PARAMETERS:
        raise StatementError(INVALID_PARAMETER_VALUE, 'too many parameters')
    try:
        texts = make_params(out_types, params)
    except Exception as exc:
        # The converters of pg8000 raise exceptions of many types.
        raise StatementError(INVALID_PARAMETER_VALUE, f'invalid parameter: {exc}') from exc
    for text in (sql, *texts):
        _check_text(text)
    return texts, [_oid(value) for value in params]


def _check_text(text: str | None) -> None:
    """Reject text that would break the framing or encoding of a message."""
    if text is None:
        return
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        raise StatementError(CHARACTER_NOT_IN_REPERTOIRE, 'text is not valid UTF-8') from exc
    if '\0' in text:
        raise StatementError(CHARACTER_NOT_IN_REPERTOIRE, 'text contains a zero byte')


def _oid(value: Any) -> int:
    if isinstance(value, bool):
        return _OID_BOOL
    if isinstance(value, int):
        return _integer_oid(value)
    if isinstance(value, float):
        return _OID_FLOAT8
    if isinstance(value, (bytes, bytearray)):
        return _OID_BYTES
    return _OID_INFERRED


def _integer_oid(value: int) -> int:
    if -(2**15) <= value < 2**15:
        return _OID_INT2
    if -(2**31) <= value < 2**31:
        return _OID_INT4
    return _OID_INT8 if -(2**63) <= value < 2**63 else _OID_NUMERIC
