"""Calls of the control functions that the members of a database group provide."""

from __future__ import annotations

import contextlib
import json
import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.types import MemberReport, Position, Promise, TermHistory, TermStart

if TYPE_CHECKING:
    from collections.abc import Iterator

    from godwitthread.backend.connection import BackendConnection

logger = logging.getLogger(__name__)

CONTROL_TIMEOUT_MS = 400


class StatusReport(NamedTuple):
    """Report on a member, with fields that only the member itself can report."""

    report: MemberReport
    #: Whether the member itself sent the report; False for a primary's report on a replica.
    self_reported: bool
    #: Whether the member accepts writes.
    writable: bool = False
    connections: int = 0
    connection_limit: int = 0


class FenceReply(NamedTuple):
    """Response to a request to promise a term."""

    granted: bool
    promised: Promise
    position: Position
    history: TermHistory


class PromoteReply(NamedTuple):
    """Response to a request to become primary."""

    promoted: bool
    term: int
    start_offset: int
    history: TermHistory


def status_reports(
    conn: BackendConnection, database: str, asked_ms: int, *, timeout_ms: int = CONTROL_TIMEOUT_MS
) -> list[StatusReport]:
    """Return the report of the member, followed by the reports of a primary on its replicas."""
    result = conn.run('SELECT * FROM godwit_status()', timeout_ms=timeout_ms)
    with _decoding():
        row = dict(zip(result.columns, result.rows[0], strict=True))
        own = MemberReport(
            database,
            row['member'],
            row['role'],
            Position(int(row['term']), int(row['offset'])),
            Promise(int(row['promised_term']), row['promised_to']),
            int(row['lag_ms']),
            _history(row['history']),
            asked_ms,
        )
        first = StatusReport(
            own, True, bool(row['writable']), int(row['connections']), int(row['connection_limit'])
        )
        replicas = row['replicas']
    reports = [_replica_report(own, entry) for entry in _entries(replicas)]
    return [first, *(StatusReport(report, False) for report in reports if report is not None)]


def status(
    conn: BackendConnection, database: str, asked_ms: int, *, timeout_ms: int = CONTROL_TIMEOUT_MS
) -> list[MemberReport]:
    """Return only the member reports; the first is the member's own."""
    return [
        entry.report for entry in status_reports(conn, database, asked_ms, timeout_ms=timeout_ms)
    ]


def fence(
    conn: BackendConnection, term: int, proposer: str, *, timeout_ms: int = CONTROL_TIMEOUT_MS
) -> FenceReply:
    """Request the member to promise a term to a proposer."""
    sql = 'SELECT godwit_fence($1, $2)'
    with _decoding():
        reply = _reply(conn, sql, (term, proposer), timeout_ms)
        return FenceReply(
            reply['granted'],
            Promise(reply['promised_term'], reply['promised_to']),
            Position(reply['term'], reply['offset']),
            _history(reply['history']),
        )


def promote(
    conn: BackendConnection, term: int, proposer: str, *, timeout_ms: int = CONTROL_TIMEOUT_MS
) -> PromoteReply:
    """Request the member to become primary of a term that it promised to the proposer."""
    with _decoding():
        reply = _reply(conn, 'SELECT godwit_promote($1, $2)', (term, proposer), timeout_ms)
        return PromoteReply(
            reply['promoted'], reply['term'], reply['start_offset'], _history(reply['history'])
        )


def follow(
    conn: BackendConnection, term: int, primary: str, *, timeout_ms: int = CONTROL_TIMEOUT_MS
) -> bool:
    """Request the member to follow a primary; return whether it does."""
    sql = 'SELECT godwit_follow($1, $2)'
    with _decoding():
        return bool(_reply(conn, sql, (term, primary), timeout_ms)['following'])


@contextlib.contextmanager
def _decoding() -> Iterator[None]:
    """Raise CONNECTION_LOST for a malformed answer: the call may have had an effect."""
    try:
        yield
    except (
        LookupError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        message = f'malformed answer of the member: {type(exc).__name__}: {exc}'
        raise ProxyError(ErrorKind.CONNECTION_LOST, message) from exc


def _reply(
    conn: BackendConnection, sql: str, params: tuple[Any, ...], timeout_ms: int
) -> dict[str, Any]:
    value = conn.run(sql, params, timeout_ms=timeout_ms).rows[0][0]
    return value if isinstance(value, dict) else json.loads(value)


def _history(value: Any) -> TermHistory:
    pairs = json.loads(value) if isinstance(value, str) else value
    return tuple(TermStart(int(term), int(offset)) for term, offset in pairs)


def _entries(replicas: Any) -> list[Any]:
    """Return the entries of a primary's report on its replicas, none if it is malformed."""
    try:
        entries = json.loads(replicas or '[]')
    except (TypeError, ValueError, RecursionError) as exc:
        logger.warning('malformed report on replicas: %s', exc)
        return []
    return entries if isinstance(entries, list) else []


def _replica_report(primary: MemberReport, entry: Any) -> MemberReport | None:
    """Return a primary's report on a replica, None if it is malformed."""
    try:
        term, offset, lag_ms = int(entry['term']), int(entry['offset']), int(entry['lag_ms'])
        member = entry['member']
    except (LookupError, TypeError, ValueError, OverflowError) as exc:
        logger.warning('malformed report of %s on a replica: %s', primary.member, exc)
        return None
    # A replica that follows the term of the primary shares the history of the primary
    # up to the term of its own position.
    history = tuple(start for start in primary.history if start.term <= term)
    return primary._replace(
        member=member,
        role='replica',
        position=Position(term, offset),
        lag_ms=lag_ms,
        history=history,
    )
