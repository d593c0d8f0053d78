"""Connection to a backend server over pg8000, for use in eventlet green threads."""

from __future__ import annotations

import contextlib
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from pg8000 import core, native
from pg8000.exceptions import DatabaseError, InterfaceError

from godwitthread.backend.errors import (
    FAILED_TRANSACTION,
    OpenError,
    StatementError,
    connection_lost,
)
from godwitthread.backend.parameters import encode_parameters
from godwitthread.backend.stream import Stream
from godwitthread.loop import eventlet
from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from godwitthread.types import MemberSpec

#: Application name of control connections, for which members reserve connections.
CONTROL_APPLICATION = 'godwit-control'
DEFAULT_TIMEOUT_MS = 5_000
POSITION_SQL = 'SELECT * FROM godwit_position()'
#: Writes an empty WAL record, so that the commit waits for the quorum.
QUORUM_SQL = "SELECT pg_logical_emit_message(true, 'godwit', '')"
UNNAMED = b'\0'
DESCRIBE_PORTAL = b'P' + UNNAMED


#: Messages that tell which requests an answer belongs to.
_COUNTED_MESSAGES = (core.PARSE_COMPLETE, core.COMMAND_COMPLETE)


class _ResponseTimeoutError(Exception):
    """Report that the response did not arrive within the timeout."""


class Login(NamedTuple):
    """Credentials and database of a backend connection."""

    user: str
    password: str | None
    database: str


class Result(NamedTuple):
    """Complete response to one statement."""

    columns: tuple[str, ...]
    rows: list[list[Any]]
    #: Number of rows returned or changed; -1 if the statement reports none.
    row_count: int
    #: Position of the newest commit, if requested.
    position: Position | None = None


class BackendConnection:
    """Single connection to a member that runs one statement at a time."""

    def __init__(
        self, raw: native.Connection, stream: Stream, member: str, read_only: bool
    ) -> None:
        self._raw = raw
        self._stream = stream
        #: Name of the member.
        self.member = member
        #: Whether the connection was opened read-only.
        self.read_only = read_only
        #: Whether the connection failed or a response is outstanding; it must not be reused.
        self.broken = False
        #: Number of requests that may have been sent, at least in part.
        self.sent = 0
        #: Number of messages of the current answer, by type.
        self._messages: Counter[bytes] = Counter()
        for code in _COUNTED_MESSAGES:
            raw.message_types[code] = self._counting(code, raw.message_types[code])

    @classmethod
    def open(cls, spec: MemberSpec, login: Login, **options: Any) -> BackendConnection:
        """Open a connection; arguments and errors as in open_connection()."""
        return open_connection(spec, login, **options)

    @property
    def in_transaction(self) -> bool:
        """Return whether the server reports an open or failed transaction."""
        return self._raw._transaction_status in (core.IN_TRANSACTION, core.IN_FAILED_TRANSACTION)

    def run(
        self,
        sql: str,
        params: Sequence[Any] = (),
        *,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
        want_position: bool = False,
    ) -> Result:
        """Run one statement with `$1` parameters in one round trip.

        Raise StatementError, or CONNECTION_LOST with the connection closed. A
        statement that cannot be encoded raises StatementError before it is sent.
        """
        texts, oids = encode_parameters(sql, params, self._raw.py_types)
        answer = self._exchange(
            lambda: self._extended_query(sql, texts, oids, want_position),
            timeout_ms,
            parsed=1,
            completed=1 + want_position,
        )
        return _result(*answer)

    def begin(self, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Begin a transaction."""
        self._exchange(lambda: self._raw.execute_simple('BEGIN'), timeout_ms)

    def commit(self, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> Position:
        """Commit and return the position of the commit in one round trip.

        Raise StatementError when the transaction was rolled back instead.
        """
        sql = f'COMMIT; {POSITION_SQL}'
        context = self._exchange(lambda: self._raw.execute_simple(sql), timeout_ms, completed=2)
        return _position(context.rows)

    def rollback(self, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Roll the open transaction back."""
        self._exchange(lambda: self._raw.execute_simple('ROLLBACK'), timeout_ms)

    def reset(self, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Clear the session state with DISCARD ALL, after a ROLLBACK if needed."""
        if self.in_transaction:
            self.rollback(timeout_ms=timeout_ms)
        self._exchange(lambda: self._raw.execute_simple('DISCARD ALL'), timeout_ms)

    def position(self, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> Position:
        """Return the position of the newest commit of this connection.

        Without a commit it is the newest position that the member has applied.
        """
        context = self._exchange(lambda: self._raw.execute_simple(POSITION_SQL), timeout_ms)
        return _position(context.rows)

    def write_quorum_record(self, *, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Write an empty record that the quorum must commit.

        Outside a transaction it commits at once, which proves that the primary is still
        authoritative.
        """
        self._exchange(lambda: self._raw.execute_simple(QUORUM_SQL), timeout_ms)

    def alive(self) -> bool:
        """Return whether an idle connection is still usable.

        A member sends no unsolicited data, so any input means that it is not.
        """
        if not self.broken and not self._stream.is_silent():
            self.broken = True
        return not self.broken

    def abort(self) -> None:
        """Shut the socket down, so that a request in progress fails immediately."""
        if self._stream is not None:
            self._stream.abort()

    def close(self) -> None:
        """Close the connection, with a Terminate message unless it is broken."""
        if not self.broken:
            with contextlib.suppress(InterfaceError, OSError):
                self._raw.close()
        self._stream.close()
        self.broken = True

    def _exchange(
        self, send: Callable[[], Any], timeout_ms: int, *, parsed: int = 0, completed: int = 1
    ) -> Any:
        """Send a request and return its answer, which must have the expected messages."""
        if self.broken:
            raise OpenError(f'connection to {self.member} is closed')
        if self._stream.has_unread():
            # An answer carries no id; the next one read would be taken for that to this request.
            self.broken = True
            self.close()
            raise OpenError(f'{self.member} sent data without a request')
        self.sent += 1
        # Marked broken until the whole response has been read, so that no failure path,
        # such as a killed greenlet, allows reuse with a response outstanding.
        self.broken = True
        self._messages.clear()
        try:
            with eventlet.Timeout(timeout_ms / 1000, _ResponseTimeoutError()):
                answer = send()
        except DatabaseError as exc:
            self.broken = False
            raise _statement_error(exc) from exc
        except InterfaceError as exc:
            raise self._interface_error(exc) from exc
        except (_ResponseTimeoutError, OSError) as exc:
            self.close()
            raise connection_lost(f'no answer from {self.member}: {exc!r}') from exc
        except Exception as exc:
            # pg8000 raises errors of many types for messages that it can't decode.
            self.close()
            raise connection_lost(f'malformed answer of {self.member}: {exc!r}') from exc
        except BaseException:
            self.close()
            raise
        if tuple(self._messages[code] for code in _COUNTED_MESSAGES) != (parsed, completed):
            # A late answer to another request arrived before the one to this request.
            self.close()
            raise connection_lost(f'{self.member} answered another request')
        self.broken = False
        return answer

    def _counting(self, code: bytes, handle: Callable[..., Any]) -> Callable[..., Any]:
        def count_and_handle(data: bytes, context: core.Context) -> None:
            self._messages[code] += 1
            handle(data, context)

        return count_and_handle

    def _extended_query(
        self, sql: str, texts: Sequence[str | None], oids: list[int], want_position: bool
    ) -> tuple[core.Context, core.Context | None]:
        raw = self._raw
        context = core.Context(sql)
        # All messages are sent in one write. The method of pg8000 needs three round
        # trips and starts the statement only in the last one.
        raw.send_PARSE(UNNAMED, sql, oids)
        raw.send_BIND(UNNAMED, texts)
        raw._send_message(core.DESCRIBE, DESCRIBE_PORTAL)
        raw.send_EXECUTE()
        core._write(raw._sock, core.SYNC_MSG)
        if want_position:
            raw.send_QUERY(POSITION_SQL)
        core._flush(raw._sock)
        with self._read_position_after(want_position) as position:
            raw.handle_messages(context)
        return context, position

    @contextlib.contextmanager
    def _read_position_after(self, wanted: bool) -> Iterator[core.Context | None]:
        """Read the response of the position query, even if the statement fails."""
        context = core.Context(POSITION_SQL) if wanted else None
        try:
            yield context
        except (DatabaseError, InterfaceError):
            if context is not None:
                self._skip_answer(context)
            raise
        if context is not None:
            self._raw.handle_messages(context)

    def _skip_answer(self, context: core.Context) -> None:
        try:
            self._raw.handle_messages(context)
        except DatabaseError:
            pass
        except InterfaceError as exc:
            if not _is_failed_transaction(exc):
                raise

    def _interface_error(self, exc: InterfaceError) -> Exception:
        if _is_failed_transaction(exc):
            self.broken = False
            return StatementError(FAILED_TRANSACTION, 'the transaction has failed')
        self.close()
        return connection_lost(f'connection to {self.member} failed: {exc}')


def open_connection(
    spec: MemberSpec,
    login: Login,
    *,
    read_only: bool,
    control: bool = False,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    source_host: str | None = None,
) -> BackendConnection:
    """Open a connection to a member; raise OpenError."""
    stream = None
    startup = {'default_transaction_read_only': 'on'} if read_only else {}
    try:
        with eventlet.Timeout(timeout_ms / 1000, _ResponseTimeoutError()):
            stream = _connect(spec, source_host)
            raw = native.Connection(
                login.user,
                database=login.database,
                password=login.password,
                application_name=CONTROL_APPLICATION if control else 'godwitthread',
                startup_params=startup,
                sock=stream,
                ssl_context=False,
            )
    except DatabaseError as exc:
        _close(stream)
        code = _error_fields(exc).get('C', '')
        raise OpenError(f'{spec.name} refused the connection: {code}', code) from exc
    except (_ResponseTimeoutError, InterfaceError, OSError) as exc:
        _close(stream)
        raise OpenError(f'cannot connect to {spec.name}: {exc!r}') from exc
    except Exception as exc:
        _close(stream)
        raise OpenError(f'malformed answer of {spec.name}: {exc!r}') from exc
    except BaseException:
        _close(stream)
        raise
    return BackendConnection(raw, stream, spec.name, read_only)


def _connect(spec: MemberSpec, source_host: str | None) -> Stream:
    bind = (source_host, 0) if source_host else None
    sock = eventlet.connect((spec.host, spec.port), bind=bind)
    sock.setsockopt(eventlet.green.socket.IPPROTO_TCP, eventlet.green.socket.TCP_NODELAY, 1)
    return Stream(sock)


def _close(stream: Stream | None) -> None:
    if stream is not None:
        stream.close()


def _result(context: core.Context, position: core.Context | None) -> Result:
    columns = tuple(column['name'] for column in context.columns or ())
    commit_position = _position(position.rows) if position is not None else None
    return Result(columns, context.rows or [], context.row_count, commit_position)


def _position(rows: list[list[Any]]) -> Position:
    return Position(int(rows[0][0]), int(rows[0][1]))


def _is_failed_transaction(exc: InterfaceError) -> bool:
    # pg8000 raises this after it has read the whole response.
    return 'failed transaction' in str(exc)


def _error_fields(exc: DatabaseError) -> dict[str, str]:
    fields = exc.args[0] if exc.args else {}
    return fields if isinstance(fields, dict) else {}


def _statement_error(exc: DatabaseError) -> StatementError:
    fields = _error_fields(exc)
    return StatementError(fields.get('C', ''), fields.get('M', str(exc)))
