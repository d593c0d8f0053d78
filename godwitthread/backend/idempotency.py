"""At-most-once execution of statements with an idempotency key."""

from __future__ import annotations

import base64
import contextlib
import hashlib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.backend.connection import DEFAULT_TIMEOUT_MS, Result
from godwitthread.backend.errors import SERIALIZATION_FAILURE, StatementError
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.types import Position

if TYPE_CHECKING:
    from godwitthread.backend.connection import BackendConnection

CREATE_SQL = (
    'CREATE TABLE IF NOT EXISTS godwitthread_requests ('
    'organisation TEXT NOT NULL, idempotency_key TEXT NOT NULL, digest TEXT NOT NULL, '
    'answer TEXT, created_ms BIGINT NOT NULL, PRIMARY KEY (organisation, idempotency_key))'
)
INSERT_SQL = (
    'INSERT INTO godwitthread_requests (organisation, idempotency_key, digest, created_ms) '
    'VALUES ($1, $2, $3, $4) ON CONFLICT DO NOTHING'
)
SELECT_SQL = (
    'SELECT digest, answer FROM godwitthread_requests '
    'WHERE organisation = $1 AND idempotency_key = $2'
)
ANSWER_SQL = (
    'UPDATE godwitthread_requests SET answer = $3 WHERE organisation = $1 AND idempotency_key = $2'
)
INDEX_SQL = (
    'CREATE INDEX IF NOT EXISTS godwitthread_requests_created ON godwitthread_requests (created_ms)'
)
EXPIRE_SQL = (
    'DELETE FROM godwitthread_requests WHERE (organisation, idempotency_key) IN ('
    'SELECT organisation, idempotency_key FROM godwitthread_requests '
    'WHERE created_ms < $1 ORDER BY created_ms LIMIT $2)'
)
#: Time for which a repeated request returns the stored response, in ms.
RETENTION_MS = 24 * 3_600 * 1_000
#: Maximum number of records removed by one statement. With one statement per minute,
#: removal keeps pace with 166 keyed statements per second in a database.
EXPIRE_BATCH = 10_000
#: Maximum attempts of one request; all but the last one were rolled back.
ATTEMPTS = 3
UNDEFINED_TABLE = '42P01'


class KeyedRequest(NamedTuple):
    """Statement with the idempotency key under which it runs at most once."""

    organisation: str
    idempotency_key: str
    sql: str
    params: Sequence[Any]
    #: Wall time at which the request arrived, in ms; used for retention.
    created_ms: int


class KeyedAnswer(NamedTuple):
    """Response to the first execution of a statement under an idempotency key."""

    result: Result
    position: Position
    #: Whether the response was stored by an earlier execution.
    repeated: bool


def run_once(
    conn: BackendConnection, request: KeyedRequest, *, timeout_ms: int = DEFAULT_TIMEOUT_MS
) -> KeyedAnswer:
    """Run the statement and store its key in one transaction, or return the stored response.

    Raise IDEMPOTENCY_MISMATCH when the key belongs to another statement.
    """
    for _ in range(ATTEMPTS - 1):
        try:
            return _attempt(conn, request, timeout_ms)
        except StatementError as exc:
            if exc.sqlstate == UNDEFINED_TABLE and 'godwitthread_requests' in exc.message:
                _create_table(conn, timeout_ms)
            elif exc.sqlstate != SERIALIZATION_FAILURE:
                raise
    return _attempt(conn, request, timeout_ms)


def _create_table(conn: BackendConnection, timeout_ms: int) -> None:
    # In PostgreSQL, concurrent CREATE TABLE IF NOT EXISTS statements can fail with a
    # unique violation.
    with contextlib.suppress(StatementError):
        conn.run(CREATE_SQL, timeout_ms=timeout_ms)
        conn.run(INDEX_SQL, timeout_ms=timeout_ms)


def remove_expired(
    conn: BackendConnection,
    before_ms: int,
    batch: int = EXPIRE_BATCH,
    *,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
) -> int:
    """Remove the oldest records created before a wall time in ms; return their number."""
    return conn.run(EXPIRE_SQL, (before_ms, batch), timeout_ms=timeout_ms).row_count


def digest_of(sql: str, params: Sequence[Any]) -> str:
    """Return the digest that identifies a statement with its parameters."""
    return hashlib.sha256(msgspec.msgpack.encode([sql, list(params)])).hexdigest()


def _attempt(conn: BackendConnection, request: KeyedRequest, timeout_ms: int) -> KeyedAnswer:
    conn.begin(timeout_ms=timeout_ms)
    try:
        return _run_in_transaction(conn, request, timeout_ms)
    except ProxyError:
        if not conn.broken and conn.in_transaction:
            conn.rollback(timeout_ms=timeout_ms)
        raise


def _run_in_transaction(
    conn: BackendConnection, request: KeyedRequest, timeout_ms: int
) -> KeyedAnswer:
    key = (request.organisation, request.idempotency_key)
    digest = digest_of(request.sql, request.params)
    inserted = conn.run(INSERT_SQL, (*key, digest, request.created_ms), timeout_ms=timeout_ms)
    if inserted.row_count == 0:
        result = _stored_answer(conn, key, digest, timeout_ms)
        # The record makes this commit wait for the quorum, so that the repeated response
        # is as durable as the first one.
        conn.write_quorum_record(timeout_ms=timeout_ms)
        return KeyedAnswer(result, conn.commit(timeout_ms=timeout_ms), True)
    result = conn.run(request.sql, request.params, timeout_ms=timeout_ms)
    conn.run(ANSWER_SQL, (*key, _encode(result)), timeout_ms=timeout_ms)
    return KeyedAnswer(result, conn.commit(timeout_ms=timeout_ms), False)


def _stored_answer(
    conn: BackendConnection, key: tuple[str, str], digest: str, timeout_ms: int
) -> Result:
    rows = conn.run(SELECT_SQL, key, timeout_ms=timeout_ms).rows
    if rows[0][0] != digest:
        message = 'the idempotency key belongs to a different statement'
        raise ProxyError(ErrorKind.IDEMPOTENCY_MISMATCH, message)
    return _decode(rows[0][1])


def _encode(result: Result) -> str:
    # Unlike JSON, msgpack distinguishes bytes from text, so that the stored response
    # equals the first one.
    packed = msgspec.msgpack.encode([result.columns, result.rows, result.row_count])
    return base64.b64encode(packed).decode()


def _decode(text: str) -> Result:
    columns, rows, row_count = msgspec.msgpack.decode(base64.b64decode(text))
    return Result(tuple(columns), rows, row_count)
