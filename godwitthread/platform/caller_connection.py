"""Server side of the line protocol: one connection per caller."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from godwitthread.core.statements import TxState
from godwitthread.errors import ErrorKind
from godwitthread.gateway.session import CallerPort
from godwitthread.platform.line_protocol import (
    MAX_LINE_BYTES,
    LineReader,
    LineTooLongError,
    encode,
    parse_query,
    ready,
)
from godwitthread.sockets import shutdown_socket

if TYPE_CHECKING:
    import socket

    from godwitthread.core.statements import Result
    from godwitthread.gateway.session import Session
    from godwitthread.gateway.sessions import Sessions

logger = logging.getLogger(__name__)

#: Time within which a caller must send the `START` line, in s.
START_TIMEOUT_S = 10
#: Maximum length of the `START` line, in bytes; it holds only a database name and a key.
#: With the limit of later lines, thousands of unauthenticated callers could exhaust the memory.
MAX_START_LINE_BYTES = 4_096

#: Wire code of each error kind. BUSY, ABORTED, LAGGING, READONLY and TOOMANY guarantee that
#: the attempt had no effect, so they are used only for kinds with the outcome `not_run`.
ERROR_CODES: dict[ErrorKind, str] = {
    ErrorKind.MALFORMED_REQUEST: 'MALFORMED',
    ErrorKind.BODY_TOO_LARGE: 'TOOBIG',
    ErrorKind.KEY_INVALID: 'NOAUTH',
    ErrorKind.KEY_WITHDRAWN: 'NOAUTH',
    ErrorKind.ROUTE_UNKNOWN: 'NODB',
    ErrorKind.READ_ONLY_ROUTE: 'READONLY',
    ErrorKind.PREPARED_UNKNOWN: 'NOSTMT',
    ErrorKind.RATE_LIMITED: 'BUSY',
    ErrorKind.OVERLOADED: 'BUSY',
    ErrorKind.MOVED: 'BUSY',
    ErrorKind.SHUTTING_DOWN: 'BUSY',
    ErrorKind.DEADLINE_EXCEEDED: 'BUSY',
    ErrorKind.BACKEND_UNAVAILABLE: 'BUSY',
    ErrorKind.TRANSACTION_LOST: 'ABORTED',
    ErrorKind.STATEMENT_FAILED: 'FAILED',
    ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND: 'TIMEOUT',
    ErrorKind.CONNECTION_LOST: 'INDOUBT',
    ErrorKind.COMMIT_UNKNOWN: 'INDOUBT',
}


def serve(sock: socket.socket, sessions: Sessions) -> None:
    """Authenticate a caller and serve its statements until the connection is closed."""
    session = None
    reader = LineReader(sock, MAX_START_LINE_BYTES)
    try:
        sock.settimeout(START_TIMEOUT_S)
        command, _, rest = (reader.read() or '').partition(' ')
        database, _, key = rest.partition(' ')
        if command != 'START' or not database:
            return
        session, refusal = sessions.open(database, key)
        if refusal is not None:
            sock.sendall(encode(_format_error(refusal)))
            return
        assert session is not None
        reader.limit = MAX_LINE_BYTES
        sock.sendall(encode(ready(TxState.IDLE)))
        sock.settimeout(None)
        answer_last = partial(_answer_last, sock, reader, session)
        session.attach(CallerPort(partial(shutdown_socket, sock), reader.has_input, answer_last))
        _serve_queries(sock, reader, session)
    except LineTooLongError:
        logger.debug('caller connection closed: line exceeds the maximum length')
    except OSError as exc:
        logger.debug('caller connection closed: %s', exc)
    finally:
        if session is not None:
            session.close()
        sock.close()


def _serve_queries(sock: socket.socket, reader: LineReader, session: Session) -> None:
    while not session.ending:
        line = reader.read()
        if line is None or session.closed:
            # A request that arrived after the connection was shut down is not executed.
            return
        command, _, rest = line.partition(' ')
        if command == 'BYE':
            return
        session.running = True
        statement = parse_query(rest) if command == 'QUERY' else None
        result = session.malformed() if statement is None else session.run(statement)
        if session.closed:
            # The caller has received the final answer meanwhile.
            return
        session.answering = True
        try:
            _answer(sock, session, result)
        except OSError:
            session.report_undelivered(statement, result)
            raise
        session.mark_answered()


def _answer(sock: socket.socket, session: Session, result: Result) -> None:
    lines = [f'ROW {row}' for row in result.rows]
    lines.append(_format_error(result) if result.error else f'DONE {result.receipt}')
    lines.append(ready(session.state, result.position))
    sock.sendall(encode(*lines))


def _answer_last(sock: socket.socket, reader: LineReader, session: Session, result: Result) -> None:
    """Send a final answer, and refuse the requests that were received behind it."""
    _answer(sock, session, result)
    while reader.has_input():
        line = reader.read()
        if line is None or not line.startswith('QUERY '):
            return
        _answer(sock, session, session.refuse())


def _format_error(result: Result) -> str:
    code = ERROR_CODES.get(ErrorKind(result.error), 'INDOUBT')
    retry_hint = f'; retry after {result.retry_after_ms} ms' if result.retry_after_ms else ''
    return f'ERR {code} {result.message}{retry_hint}'
