"""Request and response bodies of the caller protocol."""

from __future__ import annotations

import re
from typing import Any, Literal, NamedTuple, TypedDict

import msgspec

from godwitthread.core.session_state import controls_transaction
from godwitthread.errors import ErrorKind, ProxyError

#: Deadline of a request without a deadline header, in ms.
DEFAULT_DEADLINE_MS = 10_000
#: Maximum deadline that a caller can request, in ms.
MAX_DEADLINE_MS = 120_000
#: Maximum length of an idempotency key in characters.
MAX_IDEMPOTENCY_KEY = 200


class ExecuteBody(TypedDict, total=False):
    """Body of POST /v1/execute."""

    route: str
    sql: str
    params: list[Any]
    mode: Literal['read', 'write']
    max_age_ms: int
    consistency: Literal['session', 'strict']
    session: str | None
    idempotency_key: str | None
    transaction: str | None


class BeginBody(TypedDict, total=False):
    """Body of POST /v1/begin."""

    route: str
    session: str | None


class EndBody(TypedDict, total=False):
    """Body of POST /v1/commit and /v1/rollback."""

    transaction: str
    session: str | None


class Statement(NamedTuple):
    """One statement of a caller."""

    sql: str
    params: tuple[Any, ...] = ()
    mode: str = 'write'
    #: Maximum staleness of the data in ms; None requests current data.
    max_age_ms: int | None = None
    strict: bool = False
    idempotency_key: str | None = None


class Request(NamedTuple):
    """Decoded request of a caller, without the API key."""

    request_id: str
    route: str
    statement: Statement | None
    session: str | None
    transaction: str | None
    #: Deadline for the answer in monotonic ms.
    deadline_ms: int


class Response(TypedDict, total=False):
    """Response to a successful request."""

    columns: list[str]
    rows: list[Any]
    row_count: int
    session: str
    transaction: str | None
    request_id: str
    served_by: str


_execute = msgspec.json.Decoder(ExecuteBody)
_begin = msgspec.json.Decoder(BeginBody)
_end = msgspec.json.Decoder(EndBody)


_QUOTED_VALUE = re.compile(r"'.*'", re.DOTALL)


def contains_text(statement: Statement, text: str | None) -> bool:
    """Return whether a text occurs in any part of a statement sent to a backend server."""
    if not text:
        return False
    parts = (statement.sql, statement.idempotency_key or '', *statement.params)
    return any(isinstance(part, str) and text in part for part in parts)


def decode_execute(body: bytes, request_id: str, deadline_ms: int) -> Request:
    """Return the request in an execute body; raise MALFORMED_REQUEST."""
    data: ExecuteBody = _decode(_execute, body)
    transaction = data.get('transaction')
    _require(data, 'sql', *(() if transaction else ('route',)))
    statement = Statement(
        data['sql'],
        tuple(data.get('params', ())),
        data.get('mode', 'write'),
        data.get('max_age_ms'),
        data.get('consistency') == 'strict',
        data.get('idempotency_key'),
    )
    _check_statement(statement, transaction)
    return Request(
        request_id,
        data.get('route', ''),
        statement,
        data.get('session'),
        transaction,
        deadline_ms,
    )


def decode_begin(body: bytes, request_id: str, deadline_ms: int) -> Request:
    """Return the request in a begin body; raise MALFORMED_REQUEST."""
    data: BeginBody = _decode(_begin, body)
    _require(data, 'route')
    return Request(request_id, data['route'], None, data.get('session'), None, deadline_ms)


def decode_end(body: bytes, request_id: str, deadline_ms: int) -> Request:
    """Return the request in a commit or rollback body; raise MALFORMED_REQUEST."""
    data: EndBody = _decode(_end, body)
    _require(data, 'transaction')
    return Request(request_id, '', None, data.get('session'), data['transaction'], deadline_ms)


def decode_deadline(text: str | None, now_ms: int) -> int:
    """Return the monotonic deadline of a request; raise MALFORMED_REQUEST."""
    if text is None:
        return now_ms + DEFAULT_DEADLINE_MS
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise ProxyError(
            ErrorKind.MALFORMED_REQUEST,
            f'Godwitthread-Deadline-Ms must be a whole number from 1 to {MAX_DEADLINE_MS}',
        )
    return now_ms + int(text)


def _decode(decoder: msgspec.json.Decoder[Any], body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        # msgspec quotes rejected values in its messages, and such a value may be a secret.
        text = _QUOTED_VALUE.sub('(hidden)', str(exc))
        raise ProxyError(ErrorKind.MALFORMED_REQUEST, f'body: {text}') from None


def _require(data: Any, *names: str) -> None:
    missing = [name for name in names if not data.get(name)]
    if missing:
        raise ProxyError(ErrorKind.MALFORMED_REQUEST, f'body: missing {", ".join(missing)}')


def _check_statement(statement: Statement, transaction: str | None) -> None:
    if statement.max_age_ms is not None and statement.max_age_ms < 0:
        raise ProxyError(ErrorKind.MALFORMED_REQUEST, 'max_age_ms must not be negative')
    if controls_transaction(statement.sql):
        # A COMMIT sent as a statement inside a transaction would be reported as not run if its
        # answer were lost.
        raise ProxyError(ErrorKind.MALFORMED_REQUEST, 'use /v1/begin, /v1/commit and /v1/rollback')
    key = statement.idempotency_key
    if key is None:
        return
    if transaction is not None or statement.mode == 'read':
        raise ProxyError(
            ErrorKind.MALFORMED_REQUEST, 'idempotency_key needs a write outside a transaction'
        )
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY:
        raise ProxyError(
            ErrorKind.MALFORMED_REQUEST,
            f'idempotency_key must have 1 to {MAX_IDEMPOTENCY_KEY} characters',
        )
