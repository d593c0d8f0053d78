"""Server-side encoding and decoding of PostgreSQL v3 protocol messages."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

PROTOCOL_3 = 196608
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
OID_BOOL, OID_BYTES, OID_INT8, OID_TEXT, OID_FLOAT8 = 16, 17, 20, 25, 701
OID_NUMERIC = 1700
INTEGER_OIDS = frozenset((20, 21, 23, 26))
_INT = struct.Struct('!i')
_SHORT = struct.Struct('!h')
_FIELD = struct.Struct('!ihihih')
_BINARY_INTEGERS = {2: '!h', 4: '!i', 8: '!q'}


class Bind(NamedTuple):
    """Decoded Bind message."""

    portal: str
    statement: str
    formats: tuple[int, ...]
    values: tuple[bytes | None, ...]


def message(code: bytes, body: bytes = b'') -> bytes:
    """Build a message from its type code and body."""
    return code + _INT.pack(len(body) + 4) + body


def startup_parameters(body: bytes) -> dict[str, str]:
    """Decode the key and value pairs of a startup message."""
    parts = body.decode().split('\0')
    return dict(zip(parts[0::2], parts[1::2], strict=False))


def read_string(body: bytes, start: int) -> tuple[str, int]:
    """Return the null-terminated string at an index, and the index after it."""
    end = body.index(0, start)
    return body[start:end].decode(), end + 1


def parse_parse(body: bytes) -> tuple[str, str, tuple[int, ...]]:
    """Decode a Parse message into name, SQL and parameter OIDs."""
    name, index = read_string(body, 0)
    sql, index = read_string(body, index)
    (count,) = _SHORT.unpack_from(body, index)
    return name, sql, struct.unpack_from(f'!{count}i', body, index + 2)


def parse_bind(body: bytes) -> Bind:
    """Decode a Bind message."""
    portal, index = read_string(body, 0)
    statement, index = read_string(body, index)
    (count,) = _SHORT.unpack_from(body, index)
    formats = struct.unpack_from(f'!{count}h', body, index + 2)
    index += 2 + 2 * count
    (count,) = _SHORT.unpack_from(body, index)
    index += 2
    values: list[bytes | None] = []
    for _ in range(count):
        (size,) = _INT.unpack_from(body, index)
        index += 4
        values.append(None if size < 0 else body[index : index + size])
        index += max(size, 0)
    return Bind(portal, statement, formats, tuple(values))


def decode_parameters(bind: Bind, oids: Sequence[int]) -> dict[str, Any]:
    """Return the parameters keyed by number, the name that sqlite3 gives to `$1`."""
    formats = bind.formats
    if len(formats) <= 1:
        formats = (formats or (0,)) * len(bind.values)
    padded = (*oids, *(0,) * len(bind.values))
    return {
        str(number): _decode(value, oid, fmt)
        for number, (value, oid, fmt) in enumerate(
            zip(bind.values, padded, formats, strict=False), 1
        )
    }


def row_description(columns: Sequence[str], oids: Sequence[int]) -> bytes:
    """Build a RowDescription message."""
    body = bytearray(_SHORT.pack(len(columns)))
    for name, oid in zip(columns, oids, strict=True):
        body += name.encode() + b'\0' + _FIELD.pack(0, 0, oid, -1, -1, 0)
    return message(b'T', bytes(body))


def data_row(values: Sequence[Any]) -> bytes:
    """Build a DataRow message with values in text format."""
    body = bytearray(_SHORT.pack(len(values)))
    for value in values:
        if value is None:
            body += _INT.pack(-1)
        else:
            text = _encode(value)
            body += _INT.pack(len(text)) + text
    return message(b'D', bytes(body))


def column_oids(width: int, rows: Sequence[Sequence[Any]]) -> list[int]:
    """Return the type OID of every column, inferred from its values."""
    return [_column_oid({type(row[index]) for row in rows}) for index in range(width)]


def error_response(sqlstate: str, text: str, severity: str = 'ERROR') -> bytes:
    """Build an ErrorResponse message."""
    fields = (('S', severity), ('V', severity), ('C', sqlstate), ('M', text))
    body = ''.join(f'{code}{value}\0' for code, value in fields) + '\0'
    return message(b'E', body.encode())


def parameter_description(oids: Sequence[int]) -> bytes:
    """Build a ParameterDescription message."""
    return message(b't', struct.pack(f'!h{len(oids)}i', len(oids), *oids))


def parameter_status(name: str, value: str) -> bytes:
    """Build a ParameterStatus message."""
    return message(b'S', f'{name}\0{value}\0'.encode())


def _decode(value: bytes | None, oid: int, fmt: int) -> Any:
    if value is None:
        return None
    return _decode_binary(value, oid) if fmt else _decode_text(value.decode(), oid)


def _decode_text(text: str, oid: int) -> Any:
    if oid in INTEGER_OIDS:
        return int(text)
    if oid in (700, OID_FLOAT8, OID_NUMERIC):
        return float(text)
    if oid == OID_BOOL:
        return int(text.lower() in ('t', 'true', 'on', '1'))
    if oid == OID_BYTES:
        return bytes.fromhex(text.removeprefix('\\x'))
    return text


def _decode_binary(value: bytes, oid: int) -> Any:
    if oid in INTEGER_OIDS:
        return struct.unpack(_BINARY_INTEGERS[len(value)], value)[0]
    if oid == OID_FLOAT8:
        return struct.unpack('!d', value)[0]
    if oid == OID_BOOL:
        return int(value != b'\0')
    return value if oid == OID_BYTES else value.decode()


def _encode(value: Any) -> bytes:
    if isinstance(value, bytes):
        return b'\\x' + value.hex().encode()
    if isinstance(value, bool):
        return b't' if value else b'f'
    return str(value).encode()


def _column_oid(kinds: set[type]) -> int:
    kinds = kinds - {type(None)}
    if kinds == {int}:
        return OID_INT8
    if kinds and kinds <= {int, float}:
        return OID_FLOAT8
    if kinds == {bool}:
        return OID_BOOL
    return OID_BYTES if kinds == {bytes} else OID_TEXT
