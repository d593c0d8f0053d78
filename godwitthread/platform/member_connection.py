"""Client side of the line protocol: connections to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.clock import Clock
from godwitthread.core.answer_audit import AnswerAudit, Irregularity
from godwitthread.core.memory_budget import SMALL_BYTES
from godwitthread.core.statements import Refusal, Reply, TxState
from godwitthread.gateway.ports import MemberStatus, NotConnectedError
from godwitthread.platform.line_protocol import (
    GATEWAY_STATEMENT_ID,
    LineReader,
    LineTooLongError,
    encode,
    format_position,
    parse_number,
    parse_position,
)
from godwitthread.sockets import connect, has_no_input, shutdown_socket

if TYPE_CHECKING:
    from godwitthread.core.catalog import Member
    from godwitthread.core.statements import Prepared
    from godwitthread.types import Position

#: Time-out for opening a connection, in ms; connection setup takes 10 to 30 ms at an idle member.
CONNECT_TIMEOUT_MS = 400

_REFUSALS = {
    'BUSY': Refusal.BUSY,
    'NOSTMT': Refusal.UNPREPARED,
    'LAGGING': Refusal.BEHIND,
    'READONLY': Refusal.READ_ONLY,
    'WRONGNODE': Refusal.WRONG_MEMBER,
    'TOOMANY': Refusal.TOO_MANY,
    'FAILED': Refusal.FAILED,
    'TIMEOUT': Refusal.TIMEOUT,
}
_STATES = {'I': TxState.IDLE, 'T': TxState.OPEN, 'E': TxState.FAILED}


class ConnectionObserver(NamedTuple):
    """Callbacks that observe the connections to members."""

    clock: Clock
    #: Called with each change of the size of a large answer that is being received, in bytes.
    count_bytes: Callable[[int], None]
    #: Called with the member, the id of the request and the irregularity of an answer.
    report: Callable[[str, str, Irregularity], None]
    #: Called for each line of a member that holds CR or LF as data.
    note_line: Callable[[], None]


class MemberConnection:
    """Connection to one member, opened on behalf of one organisation."""

    def __init__(
        self,
        sock: Any,
        organisation: str,
        member_id: str = '',
        observer: ConnectionObserver | None = None,
    ) -> None:
        self.organisation = organisation
        #: Session values that are set on the member for this connection.
        self.values: dict[str, str] = {}
        #: Names of the statements that are prepared on the member.
        self.prepared: set[str] = set()
        #: Whether the connection is no longer usable.
        self.closed = False
        #: Transaction state in the last response of the member.
        self.state = TxState.IDLE
        #: Time of the last use, in ms.
        self.used_ms = 0
        self._sock = sock
        #: Whether a green thread is waiting for a response.
        self._waiting = False
        self._reader = LineReader(sock)
        self._member_id = member_id
        self._observer = observer
        self._audit = AnswerAudit()
        self._counted = self._row_bytes = 0
        if observer is not None:
            self._reader.on_partial = self._note_received
            self._reader.on_control_byte = observer.note_line

    def alive(self) -> bool:
        """Return whether an idle connection is still open.

        A member never sends unsolicited data, so any input means that it closed the connection.
        """
        if self.closed:
            return False
        if not has_no_input(self._sock):
            self.close()
        return not self.closed

    def read_greeting(self) -> Reply:
        """Read the member's response to the `START` line."""
        return self._read_reply()

    def run(
        self, statement_id: str, text: str, timeout_ms: int, after: Position | None = None
    ) -> Reply:
        """Run a statement; close the connection if no response arrives within the time-out.

        If `after` is given, the member refuses the statement unless its log has reached
        that position.
        """
        try:
            # The time-out applies to each read, not to the whole response; a member that
            # responds slowly line by line is still processing the statement.
            self._waiting = True
            if self._reader.has_input():
                self._report(statement_id, Irregularity.UNSOLICITED)
            self._sock.settimeout(max(1, timeout_ms) / 1000)
            self._sock.sendall(encode(f'QUERY {statement_id} {_add_position(text, after)}'))
            reply = self._read_reply()
            self._audit_reply(statement_id, reply)
            return reply
        except OSError as exc:
            self.closed = True
            return Reply(refusal=Refusal.LOST, message=str(exc))
        finally:
            self._waiting = False
            if self.closed:
                self._sock.close()

    def execute(
        self,
        statement_id: str,
        name: str,
        arguments: str,
        timeout_ms: int,
        after: Position | None = None,
    ) -> Reply:
        """Execute a statement that is prepared on this connection."""
        return self.run(statement_id, f'EXEC {name} {arguments}', timeout_ms, after)

    def reset(self, timeout_ms: int) -> bool:
        """Discard session values and prepared statements; return whether it succeeded."""
        return self._run_internal('RESET', timeout_ms)

    def set_value(self, name: str, value: str, timeout_ms: int) -> bool:
        """Set a session value; return whether it succeeded."""
        return self._run_internal(f'SET {name} {value}', timeout_ms)

    def prepare(self, name: str, prepared: Prepared, timeout_ms: int) -> bool:
        """Prepare a statement; return whether it succeeded."""
        mode = 'READ' if prepared.read_only else 'WRITE'
        return self._run_internal(f'PREPARE {name} {mode} {prepared.shape}', timeout_ms)

    def begin(self, read_only: bool, after: Position | None, timeout_ms: int) -> Reply:
        """Begin a transaction; a read-write transaction succeeds only on the primary."""
        return self.run(
            GATEWAY_STATEMENT_ID, 'BEGIN READ' if read_only else 'BEGIN', timeout_ms, after
        )

    def rollback(self, timeout_ms: int) -> Reply:
        """Roll back the transaction."""
        return self.run(GATEWAY_STATEMENT_ID, 'ROLLBACK', timeout_ms)

    def status(self, timeout_ms: int) -> MemberStatus | None:
        """Query the member's status; return None if there is no valid response."""
        return self._query_status('STATUS', timeout_ms)

    def pause(self, term: int, timeout_ms: int) -> MemberStatus | None:
        """Pause replication on the member and return its status, as `status` does."""
        return self._query_status(f'PAUSE {term}', timeout_ms)

    def resume(self, timeout_ms: int) -> MemberStatus | None:
        """Resume replication on the member and return its status, as `status` does."""
        return self._query_status('RESUME', timeout_ms)

    def close(self) -> None:
        """Close the connection; the member then rolls back an open transaction."""
        self.closed = True
        if self._waiting:
            shutdown_socket(self._sock)
        else:
            self._sock.close()

    def _query_status(self, text: str, timeout_ms: int) -> MemberStatus | None:
        reply = self.run(GATEWAY_STATEMENT_ID, text, timeout_ms)
        if reply.refusal or not reply.rows:
            return None
        # Fields: role, term, received position, paused term, lag in ms and further ones.
        fields = reply.rows[0].split(' ')
        if len(fields) < 4 or (term := parse_number(fields[1])) is None:
            return None
        received, paused_term = parse_position(fields[2]), parse_number(fields[3])
        return MemberStatus(fields[0] == 'primary', term, received, paused_term or 0)

    def _run_internal(self, text: str, timeout_ms: int) -> bool:
        return self.run(GATEWAY_STATEMENT_ID, text, timeout_ms).refusal is None

    def _note_received(self, partial_bytes: int) -> None:
        size = self._row_bytes + partial_bytes
        if self._observer is not None and (size > SMALL_BYTES or self._counted):
            self._observer.count_bytes(size - self._counted)
            self._counted = size

    def _audit_reply(self, statement_id: str, reply: Reply) -> None:
        if self._observer is None:
            return
        takes_receipt = statement_id != GATEWAY_STATEMENT_ID
        now_ms = self._observer.clock.now_ms()
        irregularity = self._audit.check(now_ms, reply, takes_receipt=takes_receipt)
        if irregularity is not None:
            self._report(statement_id, irregularity)

    def _report(self, statement_id: str, irregularity: Irregularity) -> None:
        if self._observer is not None:
            self._observer.report(self._member_id, statement_id, irregularity)

    def _read_reply(self) -> Reply:
        try:
            return self._read_lines()
        finally:
            self._row_bytes = 0
            if self._counted:
                self._note_received(0)

    def _read_lines(self) -> Reply:
        rows: list[str] = []
        receipt, refusal, message = '', None, ''
        if self.closed:
            return Reply(refusal=Refusal.LOST, message='connection is already closed')
        try:
            while True:
                line = self._reader.read()
                if line is None:
                    raise ConnectionResetError('connection closed by the member')
                message_type, _, rest = line.partition(' ')
                if message_type == 'ROW':
                    rows.append(rest)
                    self._row_bytes += len(rest)
                elif message_type == 'DONE':
                    receipt = rest
                elif message_type == 'ERR':
                    code, _, message = rest.partition(' ')
                    # An unknown code does not guarantee that the statement had no effect.
                    refusal = _REFUSALS.get(code, Refusal.FAILED)
                elif message_type == 'READY':
                    state, _, position = rest.partition(' ')
                    self.state = _STATES.get(state, TxState.FAILED)
                    return Reply(
                        tuple(rows),
                        receipt,
                        refusal,
                        message,
                        self.state,
                        parse_position(position),
                    )
                else:
                    raise ConnectionResetError(f'unexpected message type {message_type!r}')
        except (OSError, LineTooLongError) as exc:
            self.closed = True
            if refusal is not None and not receipt:
                # The member closes the connection after it has refused `START`.
                return Reply(refusal=refusal, message=message)
            return Reply(refusal=Refusal.LOST, message=f'{type(exc).__name__}: {exc}')


def open_connection(
    member: Member, organisation: str, observer: ConnectionObserver | None = None
) -> tuple[MemberConnection, Reply]:
    """Connect to a member and verify its identity; raise NotConnectedError."""
    try:
        sock = connect(member.address, CONNECT_TIMEOUT_MS)
        sock.settimeout(CONNECT_TIMEOUT_MS / 1000)
        sock.sendall(encode(f'START {member.group} {organisation} {member.id}'))
    except OSError as exc:
        error = NotConnectedError(Refusal.UNREACHABLE, f'{type(exc).__name__}: {exc}')
        error.port_closed = isinstance(exc, ConnectionRefusedError)
        raise error from exc
    conn = MemberConnection(sock, organisation, member.id, observer)
    reply = conn.read_greeting()
    if reply.refusal is not None:
        conn.close()
        refusal = Refusal.UNREACHABLE if reply.refusal is Refusal.LOST else reply.refusal
        raise NotConnectedError(refusal, reply.message)
    return conn, reply


def _add_position(text: str, position: Position | None) -> str:
    return f'AFTER {format_position(position)} {text}' if position else text
