"""Client side of the line protocol: connections to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.clock import Clock
from godwitthread.core.answer_alignment import (
    AnswerAlignment,
    Confirmation,
    Irregularity,
    Judgement,
    Request,
    Verdict,
)
from godwitthread.core.statements import Refusal, Reply, TxState
from godwitthread.gateway.ports import MemberStatus, NotConnectedError
from godwitthread.platform.answer_reader import AnswerReader, MalformedAnswerError
from godwitthread.platform.line_protocol import (
    GATEWAY_STATEMENT_ID,
    encode,
    format_position,
    parse_number,
    parse_position,
)
from godwitthread.sockets import connect, shutdown_socket

if TYPE_CHECKING:
    from godwitthread.core.catalog import Member
    from godwitthread.core.statements import Prepared
    from godwitthread.types import Position

#: Time-out for opening a connection, in ms; connection setup takes 10 to 30 ms at an idle member.
CONNECT_TIMEOUT_MS = 400
#: Time-out for the confirmation of a refusal, in ms; its requests take no slot of the member.
CONFIRM_TIMEOUT_MS = 400
#: Maximum number of answers that are ignored at a time. No other green thread runs while answers
#: that were received already are processed.
MAX_IGNORED = 100

#: Requests that are no session commands. A caller may choose any id, also that of the gateway.
_REQUESTS = {
    'READ': Request.STATEMENT,
    'WRITE': Request.STATEMENT,
    'EXEC': Request.STATEMENT,
    'COMMIT': Request.COMMIT,
    'BEGIN': Request.BEGIN,
    'ROLLBACK': Request.ROLLBACK,
    'STATUS': Request.STATUS,
    'PAUSE': Request.PAUSE,
    'RESUME': Request.STATUS,
}
#: Requests that confirm a refusal. No session prepares a statement of that name.
_PROBES = ('ROLLBACK', 'PREPARE confirm READ q1', 'DEALLOC confirm')


class MisalignedError(Exception):
    """Raised when the answers can't be assigned to the requests any more."""


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
        #: Time of the last use, in ms.
        self.used_ms = 0
        self._sock = sock
        #: Whether a green thread is waiting for a response.
        self._waiting = False
        self._member_id = member_id
        self._observer = observer
        self._clock = observer.clock if observer else Clock()
        self._alignment = AnswerAlignment()
        if observer is None:
            self._answers = AnswerReader(sock)
        else:
            self._answers = AnswerReader(sock, observer.count_bytes, observer.note_line)

    @property
    def state(self) -> TxState:
        """Return the transaction state after the last request."""
        return self._alignment.state

    def alive(self) -> bool:
        """Return whether an idle connection can be used; drop the repeated answers on it."""
        if not self.closed and not self._waiting:
            self._alignment.forget(self._clock.now_ms())
            self._drop_repeated()
        return not self.closed

    def read_greeting(self) -> Reply:
        """Read the member's response to the `START` line."""
        self._waiting, valid = True, False
        try:
            reply = self._answers.read()
            valid = reply.refusal is None and self._alignment.greet(self._clock.now_ms(), reply)
            if valid or reply.refusal is not None:
                return reply
            raise MalformedAnswerError('invalid response to START')
        except (OSError, MalformedAnswerError) as exc:
            # The member closes the connection after it has refused `START`.
            return self._answers.refused or self._lose('', exc)
        finally:
            self._end_wait(valid)

    def run(
        self, statement_id: str, text: str, timeout_ms: int, after: Position | None = None
    ) -> Reply:
        """Run a statement; close the connection unless its own answer arrives in time.

        If `after` is given, the member refuses the statement unless its log has reached
        that position.
        """
        if self._waiting:
            # Another green thread waits for an answer that could be taken for this one.
            self.close()
        if not self.closed:
            self._drop_repeated()
        if self.closed:
            return Reply(refusal=Refusal.UNREACHABLE, message='connection is closed')
        request = _request_of(text)
        self._waiting, answered = True, False
        try:
            line = f'QUERY {statement_id} {_add_position(text, after)}'
            reply = self._exchange(request, statement_id, line, timeout_ms)
            answered = True
            return reply
        except (OSError, MalformedAnswerError, MisalignedError) as exc:
            return self._lose(statement_id, exc)
        finally:
            self._end_wait(answered)

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
        """Roll back the transaction; close the connection if that is refused."""
        reply = self.run(GATEWAY_STATEMENT_ID, 'ROLLBACK', timeout_ms)
        if reply.refusal is not None:
            self.close()
        return reply

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
            self._answers.discard()

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
        if self.run(GATEWAY_STATEMENT_ID, text, timeout_ms).refusal is None:
            return True
        # The session state on the member is not known.
        self.close()
        return False

    def _drop_repeated(self) -> None:
        """Drop repeated answers that were received; close the connection on any other input."""
        try:
            for _ in range(MAX_IGNORED):
                reply = self._answers.poll()
                if reply is None:
                    return
                judgement = self._alignment.judge_unsolicited(self._clock.now_ms(), reply)
                if not self._may_read_on('', judgement):
                    break
            self.close()
        except (OSError, MalformedAnswerError) as exc:
            self._lose('', exc)
            self.close()

    def _exchange(self, request: Request, statement_id: str, line: str, timeout_ms: int) -> Reply:
        end_ms = self._clock.now_ms() + timeout_ms
        # An answer that has arrived in part can't be that to a request which is sent now.
        unsolicited = self._answers.in_answer
        # The time-out applies to each read, not to the whole response; a member that responds
        # slowly line by line is still processing the statement.
        self._sock.settimeout(max(1, timeout_ms) / 1000)
        self._sock.sendall(encode(line))
        for _ in range(MAX_IGNORED):
            reply = self._answers.read()
            now_ms = self._clock.now_ms()
            if unsolicited:
                judgement = self._alignment.judge_unsolicited(now_ms, reply)
            else:
                judgement = self._alignment.judge(now_ms, request, reply)
            unsolicited = False
            if judgement.verdict is Verdict.ACCEPT:
                return reply
            if judgement.verdict is Verdict.CONFIRM:
                return self._confirm(request, statement_id, reply, end_ms)
            if not self._may_read_on(statement_id, judgement):
                break
            self._limit_wait(end_ms)
        raise MisalignedError('the answer is not that to the request')

    def _confirm(self, request: Request, statement_id: str, refusal: Reply, end_ms: int) -> Reply:
        """Return the own answer of a request; the refusal may be that of an earlier one."""
        search = Confirmation(self._alignment, request, refusal)
        end_ms = min(end_ms, self._clock.now_ms() + CONFIRM_TIMEOUT_MS)
        left = MAX_IGNORED
        outcome = Irregularity.UNCONFIRMED_REFUSAL
        try:
            for number, text in enumerate(_PROBES[-len(search.probes) :]):
                self._limit_wait(end_ms)
                self._sock.sendall(encode(f'QUERY {GATEWAY_STATEMENT_ID} {text}'))
                while search.answered <= number and not search.failed and left:
                    left -= 1
                    self._limit_wait(end_ms)
                    search.add(self._clock.now_ms(), self._answers.read())
            if not left or not self._alignment.resolve(search):
                raise MisalignedError('the refusal could not be confirmed')
            outcome = Irregularity.CONFIRMED_REFUSAL
            if search.answer is not refusal:
                outcome = Irregularity.REPEATED_REFUSAL
            return search.answer
        finally:
            self._report(statement_id, outcome)

    def _limit_wait(self, end_ms: int) -> None:
        left_ms = end_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise TimeoutError('no answer to the request in time')
        self._sock.settimeout(left_ms / 1000)

    def _may_read_on(self, statement_id: str, judgement: Judgement) -> bool:
        if judgement.irregularity is not None:
            self._report(statement_id, judgement.irregularity)
        return judgement.verdict is Verdict.SKIP

    def _lose(self, statement_id: str, exc: Exception) -> Reply:
        if isinstance(exc, MalformedAnswerError):
            self._report(statement_id, Irregularity.MALFORMED)
        return Reply(refusal=Refusal.LOST, message=f'{type(exc).__name__}: {exc}')

    def _end_wait(self, answered: bool) -> None:
        """Close the connection if an answer was not read to its end, for whatever reason."""
        self._waiting = False
        if self.closed or not answered:
            self.close()

    def _report(self, statement_id: str, irregularity: Irregularity) -> None:
        if self._observer is not None:
            self._observer.report(self._member_id, statement_id, irregularity)


def open_connection(
    member: Member, organisation: str, observer: ConnectionObserver | None = None
) -> tuple[MemberConnection, Reply]:
    """Connect to a member and verify its identity; raise NotConnectedError."""
    try:
        sock = connect(member.address, CONNECT_TIMEOUT_MS)
    except OSError as exc:
        raise _not_connected(exc) from exc
    conn = MemberConnection(sock, organisation, member.id, observer)
    try:
        sock.settimeout(CONNECT_TIMEOUT_MS / 1000)
        sock.sendall(encode(f'START {member.group} {organisation} {member.id}'))
    except BaseException as exc:
        conn.close()
        if isinstance(exc, OSError):
            raise _not_connected(exc) from exc
        raise
    reply = conn.read_greeting()
    if reply.refusal is not None:
        refusal = Refusal.UNREACHABLE if reply.refusal is Refusal.LOST else reply.refusal
        raise NotConnectedError(refusal, reply.message)
    return conn, reply


def _not_connected(exc: OSError) -> NotConnectedError:
    error = NotConnectedError(Refusal.UNREACHABLE, f'{type(exc).__name__}: {exc}')
    error.port_closed = isinstance(exc, ConnectionRefusedError)
    return error


def _request_of(text: str) -> Request:
    return _REQUESTS.get(text.partition(' ')[0], Request.SESSION)


def _add_position(text: str, position: Position | None) -> str:
    return f'AFTER {format_position(position)} {text}' if position else text
