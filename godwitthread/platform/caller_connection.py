"""Server side of the line protocol: one connection per caller."""

from __future__ import annotations

import contextlib
import logging
from functools import partial
from socket import SHUT_WR
from typing import TYPE_CHECKING

from godwitthread.core.caller_limits import CallerLimits
from godwitthread.core.memory_budget import CONNECTION_BYTES, SMALL_BYTES, Activity
from godwitthread.core.statements import TxState, Verb
from godwitthread.errors import ErrorKind
from godwitthread.gateway.caller_guard import LINGER_BYTES, LINGER_S, CallerGuard
from godwitthread.gateway.session import CallerPort
from godwitthread.loop import eventlet
from godwitthread.platform.line_protocol import (
    MAX_LINE_BYTES,
    READ_BYTES,
    LineReader,
    LineTooLongError,
    encode,
    message_field,
    parse_query,
    ready,
)
from godwitthread.sockets import receive, shutdown_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from godwitthread.core.memory_budget import Account
    from godwitthread.core.statements import Result, Statement
    from godwitthread.gateway.session import Session
    from godwitthread.gateway.sessions import Sessions

logger = logging.getLogger(__name__)

#: Maximum length of the `START` line, in bytes; it holds only a database name and a key.
#: With the limit of later lines, thousands of unauthenticated callers could exhaust the memory.
MAX_START_LINE_BYTES = 4_096

#: Statements that free what they refer to, and are never refused for memory.
ENDING_VERBS = (Verb.COMMIT, Verb.ROLLBACK, Verb.DEALLOCATE)

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
    ErrorKind.STALE_CONFIGURATION: 'BUSY',
    ErrorKind.DEADLINE_EXCEEDED: 'BUSY',
    ErrorKind.BACKEND_UNAVAILABLE: 'BUSY',
    ErrorKind.TRANSACTION_LOST: 'ABORTED',
    ErrorKind.STATEMENT_FAILED: 'FAILED',
    ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND: 'TIMEOUT',
    ErrorKind.CONNECTION_LOST: 'INDOUBT',
    ErrorKind.COMMIT_UNKNOWN: 'INDOUBT',
}
_CODES_BY_NAME = {kind.value: code for kind, code in ERROR_CODES.items()}


def serve(
    sock: socket.socket,
    sessions: Sessions,
    guard: CallerGuard | None = None,
    note_line: Callable[[], None] | None = None,
) -> None:
    """Authenticate a caller and serve its statements until the connection is closed."""
    guard = guard or CallerGuard(CallerLimits(), sessions.clock, sessions.log)
    reader = LineReader(sock, MAX_START_LINE_BYTES)
    reader.on_control_byte = note_line
    account = guard.open(sock, reader.close)
    if account is None:
        sock.close()
        return
    connection = _Connection(sock, reader, sessions, guard, account)
    try:
        connection.run()
    except LineTooLongError:
        guard.note('line_length')
        logger.debug('caller connection closed: line exceeds the maximum length')
    except OSError as exc:
        logger.debug('caller connection closed: %s', exc)
    finally:
        connection.close()
        if connection.session is not None:
            connection.session.close()
        sock.close()


class _Connection:
    """Connection of one caller, within the limits of the process."""

    def __init__(
        self,
        sock: socket.socket,
        reader: LineReader,
        sessions: Sessions,
        guard: CallerGuard,
        account: Account,
    ) -> None:
        self.session: Session | None = None
        self._sock = sock
        self._sessions = sessions
        self._guard = guard
        self._account = account
        self._reader = reader

    def run(self) -> None:
        """Open a session and serve its statements."""
        sock, reader = self._sock, self._reader
        command, _, rest = (reader.read() or '').partition(' ')
        database, _, key = rest.partition(' ')
        if command != 'START' or not database or self._account.ended:
            return
        session, refusal = self._sessions.open(database, key)
        if refusal is not None:
            sock.sendall(encode(_format_error(refusal)))
            return
        assert session is not None
        self.session = session
        reader.limit, reader.on_partial = MAX_LINE_BYTES, self._note_partial
        sock.sendall(encode(ready(TxState.IDLE)))
        answer_last = partial(_answer_last, sock, reader, session)
        session.attach(CallerPort(partial(shutdown_socket, sock), reader.has_input, answer_last))
        self._serve_queries(session)

    def close(self) -> None:
        """Free what the connection holds."""
        self._reader.close()
        self._guard.close(self._account)

    def _serve_queries(self, session: Session) -> None:
        guard, account = self._guard, self._account
        while not session.ending:
            account.activity = Activity.IDLE
            line = self._reader.read()
            if line is None or session.closed or account.ended:
                # A request that arrived after the connection was shut down is not executed.
                return
            if line == 'BYE' or line.startswith('BYE '):
                return
            session.running = True
            guard.enter(account, Activity.RUNNING)
            size = len(line) + session.state_bytes
            statement = parse_query(line[6:]) if line.startswith('QUERY ') else None
            # The text is not kept twice while the statement runs.
            del line
            result = self._run(session, statement, size)
            if session.closed:
                # The caller has received the final answer meanwhile.
                return
            session.answering = True
            data = _encode_answer(session, result)
            if len(data) > SMALL_BYTES:
                # While it is sent, an answer exists as encoded bytes only.
                result = result._replace(rows=())
            try:
                self._send_answer(session, data)
            except OSError:
                session.report_undelivered(statement, result)
                raise
            del data
            session.mark_answered()
            if self._reader.has_more or size > READ_BYTES // 2:
                # A caller that sends ahead always has a line ready; nothing else would run. Nothing
                # is left of a line that ends with a read, although more may wait in the kernel.
                eventlet.sleep(0)
            if account.last:
                self._end_after_answer()
                return

    def _run(self, session: Session, statement: Statement | None, size: int) -> Result:
        ends = statement is not None and statement.verb in ENDING_VERBS
        if not ends and not self._guard.admit(self._account, size):
            return session.shed()
        return session.malformed() if statement is None else session.run(statement)

    def _note_partial(self, size: int) -> None:
        """Account for a line that was received in part; its time limit starts with its first byte.

        Nothing can be received while the statement before it runs, since it is not read then.
        """
        if self._account.activity is not Activity.LINE:
            self._guard.enter(self._account, Activity.LINE)
        if size > SMALL_BYTES:
            self._guard.charge(self._account, line=size)

    def _send_answer(self, session: Session, data: bytes) -> None:
        guard, account = self._guard, self._account
        guard.enter(account, Activity.ANSWERING)
        state = session.state_bytes
        costly = len(data) > SMALL_BYTES or state != account.costs.state
        if costly or account.total != CONNECTION_BYTES + state:
            answer = len(data) if len(data) > SMALL_BYTES else 0
            guard.charge(account, line=0, statement=0, answer=answer, unread=0, state=state)
        # Without a memory view, each further send would copy the rest.
        self._sock.sendall(memoryview(data))
        if account.costs.answer:
            guard.charge(account, answer=0)

    def _end_after_answer(self) -> None:
        """Close the connection so that the last answer is not lost.

        If data is unread when a socket is closed, the caller's system discards the answer.
        """
        self._guard.enter(self._account, Activity.ANSWERING)
        with contextlib.suppress(OSError):
            self._sock.shutdown(SHUT_WR)
            left = LINGER_BYTES
            with eventlet.Timeout(LINGER_S, False):
                while left > 0 and (data := receive(self._sock, READ_BYTES)):
                    left -= len(data)


def _encode_answer(session: Session, result: Result) -> bytes:
    try:
        return _encode_result(session, result)
    except ValueError:
        logger.exception('answer not encoded')
        return _encode_result(session, session.withhold())


def _encode_result(session: Session, result: Result) -> bytes:
    lines = [f'ROW {row}' for row in result.rows]
    lines.append(_format_error(result) if result.error else f'DONE {result.receipt}')
    lines.append(ready(session.state, result.position))
    return encode(*lines)


def _answer_last(sock: socket.socket, reader: LineReader, session: Session, result: Result) -> None:
    """Send a final answer, and refuse the requests that were received behind it."""
    sock.sendall(_encode_answer(session, result))
    while reader.has_input():
        line = reader.read()
        if line is None or not line.startswith('QUERY '):
            return
        sock.sendall(_encode_answer(session, session.refuse()))


def _format_error(result: Result) -> str:
    # An owner of a later build may report a kind that is unknown here.
    code = _CODES_BY_NAME.get(result.error, 'INDOUBT')
    retry_hint = f'; retry after {result.retry_after_ms} ms' if result.retry_after_ms else ''
    return f'ERR {code} {message_field(result.message)}{retry_hint}'
