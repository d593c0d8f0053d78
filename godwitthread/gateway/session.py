"""Session of a caller: values, prepared statements and a transaction."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.core.shutdown import Phase
from godwitthread.core.statements import (
    Action,
    Consistency,
    Prepared,
    Result,
    RunRequest,
    TxState,
    Verb,
    failure,
    unknown_outcome,
)
from godwitthread.errors import ErrorKind
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from godwitthread.core.catalog import Route
    from godwitthread.core.statements import Statement
    from godwitthread.gateway.sessions import Sessions
    from godwitthread.types import Position

logger = logging.getLogger(__name__)

#: Delay after which a refused caller can reach another instance, in ms.
RECONNECT_DELAY_MS = 30
#: Messages of refusals and final answers.
CLOSING_MESSAGE = 'the instance closes its sessions'
STOPPED_MESSAGE = 'the instance stopped'
WITHDRAWN_MESSAGE = 'the key was withdrawn; the transaction was rolled back'

WITHHELD_MESSAGE = 'the answer can not be sent'

MEMORY_MESSAGE = 'the instance is short of memory'
STATE_MESSAGE = 'the values and prepared statements of the session exceed the limit'
#: Delay after which a statement that was refused for lack of memory may be sent again, in ms.
MEMORY_RETRY_MS = 200
#: Part of a caller's text that is written to the log, in characters; events are kept in memory.
MAX_LOGGED = 128
#: Memory of an entry of the session state without its text, in bytes.
ENTRY_BYTES = 200

_NO_RESULT = Result()


class CallerPort(NamedTuple):
    """Operations on the connection of a session."""

    #: Closes the connection.
    close: Callable[[], None]
    #: Returns whether a request, or a part of one, was received and not read yet.
    has_input: Callable[[], bool]
    #: Sends the final answer to the running statement; raises OSError.
    answer_last: Callable[[Result], None]


class Session:
    """Session of one caller connection."""

    def __init__(self, sessions: Sessions, number: int, database: str, key: str) -> None:
        self.number = number
        self.state = TxState.IDLE
        self._sessions = sessions
        self._database = database
        self._key = key
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepared] = {}
        #: Size of the values and prepared statements, in bytes.
        self.state_bytes = 0
        self._seen: Position | None = None
        self._port: CallerPort | None = None
        #: Whether a statement is unanswered.
        self.running = False
        #: Whether the answer is being sent.
        self.answering = False
        #: Whether this instance closed the connection, or sent its final answer.
        self.closed = False
        #: Whether the last statement ended an operation, so that the caller awaits nothing more.
        self._operation_ended = False
        #: Request that runs at the owner of the group.
        self._request: RunRequest | None = None
        # Current operation: its route and organisation, the instance that holds the transaction
        # once a statement has run, and the time spent so far.
        self._route: Route | None = None
        self._organisation = ''
        self._owner: str | None = None
        self._read_only = False
        self._begun_at_owner = False
        self._wrote = False
        self._spent_ms = 0
        #: Whether the transaction failed because its key was withdrawn.
        self._key_withdrawn = False

    @property
    def busy(self) -> bool:
        """Return whether a request is unread or unanswered, or a transaction is open."""
        return self.running or self.state is not TxState.IDLE or self._has_input()

    @property
    def ending(self) -> bool:
        """Return whether the session ends now."""
        phase = self._sessions.phase
        if phase >= Phase.ABORTING:
            return not self.running and not self._has_input()
        ends = phase >= Phase.DRAINING or (phase is Phase.LAME_DUCK and self._operation_ended)
        return ends and not self.busy

    def attach(self, port: CallerPort) -> None:
        """Set the connection of the session."""
        self._port = port

    def close_if_ending(self) -> None:
        """Close the connection if the session ends now; nothing is read from it afterwards."""
        if self._port is not None and not self.closed and self.ending:
            self.closed = True
            self._port.close()

    def answer_running(self) -> None:
        """Send a final answer to a running statement; its own result is not sent any more."""
        # The thread of the statement closes the connection once the session is closed. Therefore
        # no other thread may run between this decision and the sending.
        if self._port is None or self.closed or self.answering or not self.running:
            return
        self.closed = True
        if self._request is None:
            # A transaction is being rolled back.
            result = failure(ErrorKind.TRANSACTION_LOST, STOPPED_MESSAGE)
        else:
            result = unknown_outcome(self._request, STOPPED_MESSAGE)
            if self._request.action is Action.COMMIT:
                self.state = TxState.IDLE
        if self.state is not TxState.IDLE:
            self.state = TxState.FAILED
        with contextlib.suppress(OSError):
            self._port.answer_last(result)

    def end_if_withdrawn(self) -> None:
        """Roll back an idle transaction whose key was withdrawn."""
        if self.running or not self._is_withdrawn():
            return
        begun, self._begun_at_owner = self._begun_at_owner, False
        self.state, self._key_withdrawn = TxState.FAILED, True
        if begun:
            eventlet.spawn_n(self._roll_back, self._route, self._owner)

    def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        self._sessions.forget(self)
        # The connection refers to the session and back, so that they stay until the garbage
        # collector runs.
        self._values.clear()
        self._prepared.clear()
        self._port = None
        if self.state is TxState.OPEN and self._begun_at_owner:
            self._roll_back(self._route, self._owner)

    def mark_answered(self) -> None:
        """Record that the answer to the last statement was sent."""
        self.running = self.answering = False

    def report_undelivered(self, statement: Statement | None, result: Result) -> None:
        """Log an answer that could not be sent."""
        self._sessions.log.failure(
            'answer_not_delivered',
            request=statement.id[:MAX_LOGGED] if statement else '',
            session=self.number,
            database=self._database,
            outcome=result.error or 'done',
            executed=result.receipt != _NO_RESULT.receipt,
            closed_by='instance' if self.closed else 'caller',
        )

    def malformed(self) -> Result:
        """Return the answer to a malformed message, or to a statement that is invalid here."""
        return self._fail_in_transaction(failure(ErrorKind.MALFORMED_REQUEST, 'invalid request'))

    def run(self, statement: Statement) -> Result:
        """Run one statement and return its result."""
        verb = statement.verb
        self._operation_ended = verb not in _LOCAL_HANDLERS
        started_ms = self._sessions.clock.now_ms()
        if verb is Verb.ROLLBACK or (verb is Verb.COMMIT and self.state is TxState.FAILED):
            return self._end(statement)
        if self.state is TxState.FAILED:
            if self._key_withdrawn:
                return failure(ErrorKind.KEY_WITHDRAWN, WITHDRAWN_MESSAGE)
            return failure(ErrorKind.MALFORMED_REQUEST, 'the transaction has failed; end it first')
        if self._is_withdrawn():
            return self._end_withdrawn(statement)
        if self._sessions.phase >= Phase.ABORTING and verb is not Verb.COMMIT:
            return self.refuse()
        local = _LOCAL_HANDLERS.get(verb)
        if local is not None:
            return local(self, statement)
        result = self._forward(statement)
        took_ms = self._sessions.clock.now_ms() - started_ms
        self._spent_ms += took_ms
        self._report(statement, result, took_ms)
        return result

    def refuse(self) -> Result:
        """Return the answer to a statement that is not started, since the process ends soon."""
        if self.state is TxState.IDLE:
            return failure(ErrorKind.SHUTTING_DOWN, CLOSING_MESSAGE, RECONNECT_DELAY_MS)
        return self._fail_in_transaction(failure(ErrorKind.TRANSACTION_LOST, CLOSING_MESSAGE))

    def withhold(self) -> Result:
        """Return the answer in place of one that can't be sent, although the statement ran."""
        # Without a COMMIT, no effect of the transaction persists.
        lost = self.state is TxState.OPEN
        kind = ErrorKind.TRANSACTION_LOST if lost else ErrorKind.CONNECTION_LOST
        return self._fail_in_transaction(failure(kind, WITHHELD_MESSAGE))

    def shed(self) -> Result:
        """Return the answer to a statement that is not started, since memory is short."""
        if self.state is TxState.IDLE:
            return failure(ErrorKind.OVERLOADED, MEMORY_MESSAGE, MEMORY_RETRY_MS)
        if self.state is TxState.FAILED:
            return failure(ErrorKind.MALFORMED_REQUEST, 'the transaction has failed; end it first')
        return self._fail_in_transaction(failure(ErrorKind.TRANSACTION_LOST, MEMORY_MESSAGE))

    # Statements that the session answers itself

    def _begin(self, statement: Statement) -> Result:
        if self.state is TxState.OPEN:
            return self.malformed()
        refusal = self._start_operation()
        if refusal is not None:
            return refusal
        self.state = TxState.OPEN
        self._read_only = statement.read_only
        return _NO_RESULT

    def _set(self, statement: Statement) -> Result:
        return self._keep(self._values, statement.name, statement.argument, _text_bytes)

    def _prepare(self, statement: Statement) -> Result:
        prepared = Prepared(statement.read_only, statement.argument)
        return self._keep(self._prepared, statement.name, prepared, _prepared_bytes)

    def _keep(
        self, entries: dict[str, Any], name: str, value: Any, size: Callable[[Any], int]
    ) -> Result:
        """Keep a value or a prepared statement unless the state of the session grows too much."""
        former = entries.get(name)
        added = size(value)
        added += -size(former) if former is not None else ENTRY_BYTES + len(name)
        limits = self._sessions.limits
        too_many = former is None and (
            len(self._values) + len(self._prepared) >= limits.session_names
        )
        if too_many or (added > 0 and self.state_bytes + added > limits.session_bytes):
            self._sessions.note_limit('session_state')
            return self._fail_in_transaction(failure(ErrorKind.BODY_TOO_LARGE, STATE_MESSAGE))
        entries[name] = value
        self.state_bytes += added
        return _NO_RESULT

    def _deallocate(self, statement: Statement) -> Result:
        prepared = self._prepared.pop(statement.name, None)
        if prepared is None:
            return self._fail_in_transaction(
                failure(ErrorKind.PREPARED_UNKNOWN, 'no such prepared statement')
            )
        self.state_bytes -= ENTRY_BYTES + len(statement.name) + len(prepared.shape)
        return _NO_RESULT

    def _end(self, statement: Statement) -> Result:
        if self.state is TxState.IDLE:
            return self.malformed()
        failed = self.state is TxState.FAILED
        if not failed and self._begun_at_owner:
            self._roll_back(self._route, self._owner)
        self._reset()
        if failed and statement.verb is Verb.COMMIT:
            return failure(ErrorKind.TRANSACTION_LOST, 'rolled back')
        return _NO_RESULT

    # Statements that are forwarded to the owner of the group

    def _forward(self, statement: Statement) -> Result:
        prepared = None
        if statement.verb is Verb.EXECUTE:
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                return self._fail_in_transaction(
                    failure(ErrorKind.PREPARED_UNKNOWN, 'no such prepared statement')
                )
        if statement.verb is Verb.COMMIT and self.state is TxState.IDLE:
            return self.malformed()
        first = not self._begun_at_owner
        if self.state is TxState.IDLE:
            refusal = self._start_operation()
            if refusal is not None:
                return refusal
        writes = statement.verb is Verb.WRITE or (prepared is not None and not prepared.read_only)
        if writes and self.state is TxState.OPEN and self._read_only:
            return self._fail_in_transaction(
                failure(ErrorKind.READ_ONLY_ROUTE, 'the transaction is read-only')
            )
        self._request = req = self._build_request(statement, prepared, writes, first)
        try:
            result, owner = self._sessions.run(req, self._owner)
        except Exception:
            logger.exception('statement %r failed', statement.id[:MAX_LOGGED])
            result, owner = unknown_outcome(req, 'internal error'), self._owner
            if self.state is TxState.OPEN:
                self._roll_back(self._route, self._owner)
        finally:
            self._request = None
        return self._finish(statement, result, owner, writes)

    def _build_request(
        self, statement: Statement, prepared: Prepared | None, writes: bool, first: bool
    ) -> RunRequest:
        route = self._route
        assert route is not None
        action = Action.SINGLE
        if self.state is TxState.OPEN:
            commit = statement.verb is Verb.COMMIT
            action = Action.COMMIT if commit else Action.IN_TRANSACTION
        return RunRequest(
            action=action,
            session=self.number,
            group=route.group,
            organisation=self._organisation,
            statement_id=statement.id,
            # A prepared statement runs by its name at the member and its arguments; with its text,
            # the request would hold them twice.
            text='' if prepared else statement.text,
            writes=writes,
            first=first,
            read_only=self._read_only,
            consistency=route.consistency,
            max_age_ms=route.max_age_ms,
            seen=self._seen if route.consistency is Consistency.SESSION else None,
            values=tuple(self._values.items()),
            prepared=prepared,
            arguments=statement.argument if prepared else '',
            remaining_ms=route.timeout_ms,
            objective_ms=max(0, route.objective_ms - self._spent_ms),
            priority=route.priority,
        )

    def _finish(
        self, statement: Statement, result: Result, owner: str | None, writes: bool
    ) -> Result:
        in_transaction = self.state is TxState.OPEN
        if not result.error:
            self._wrote = self._wrote or writes
            over = not in_transaction or statement.verb is Verb.COMMIT
            if over and self._wrote and result.position is not None:
                self._seen = max(self._seen or result.position, result.position)
            if over:
                self._reset()
            else:
                self._begun_at_owner, self._owner = True, owner
            return result
        if statement.verb is Verb.COMMIT or not in_transaction:
            self._reset()
            return result
        if self._begun_at_owner and not result.ended:
            self._roll_back(self._route, self._owner)
        self._begun_at_owner = False
        self.state = TxState.FAILED
        return result

    def _start_operation(self) -> Result | None:
        route, organisation, refusal = self._sessions.start_operation(self._database, self._key)
        if self.closed:
            # The final answer was sent while this statement waited; it must not run any more.
            return self.refuse()
        if refusal is not None:
            return refusal
        self._route, self._organisation = route, organisation
        self._spent_ms = 0
        return None

    def _is_withdrawn(self) -> bool:
        """Return whether an open transaction belongs to a key that was withdrawn since."""
        return self.state is TxState.OPEN and self._sessions.is_withdrawn(
            self._key, self._organisation
        )

    def _end_withdrawn(self, statement: Statement) -> Result:
        result = self._fail_in_transaction(failure(ErrorKind.KEY_WITHDRAWN, WITHDRAWN_MESSAGE))
        self._key_withdrawn = True
        if statement.verb is Verb.COMMIT:
            self._reset()
        self._report(statement, result, 0)
        return result

    def _fail_in_transaction(self, result: Result) -> Result:
        if self.state is TxState.OPEN:
            if self._begun_at_owner:
                self._roll_back(self._route, self._owner)
            self._begun_at_owner = False
            self.state = TxState.FAILED
        return result

    def _roll_back(self, route: Route | None, owner: str | None) -> None:
        assert route is not None
        req = RunRequest(Action.ROLLBACK, self.number, route.group, self._organisation, '')
        try:
            self._sessions.run(req, owner)
        except Exception:
            # The owner ends the transaction when it has been idle for too long.
            logger.exception('rollback of session %d failed', self.number)

    def _reset(self) -> None:
        self.state = TxState.IDLE
        self._begun_at_owner = self._wrote = self._read_only = self._key_withdrawn = False
        self._owner = None

    def _has_input(self) -> bool:
        return self._port is not None and not self.closed and self._port.has_input()

    def _report(self, statement: Statement, result: Result, took_ms: int) -> None:
        fields = {
            'request': statement.id[:MAX_LOGGED],
            'session': self.number,
            'verb': statement.verb.value,
            'database': self._database,
            'organisation': self._organisation,
            'took_ms': took_ms,
            'outcome': result.error or 'done',
        }
        self._sessions.observe(self._database, result.error or 'done', took_ms)
        if result.error:
            self._sessions.log.failure('statement_failed', **fields, reason=result.message)
        else:
            self._sessions.log.success('statement_done', **fields, position=result.position)


def _text_bytes(value: str) -> int:
    return len(value)


def _prepared_bytes(prepared: Prepared) -> int:
    return len(prepared.shape)


_LOCAL_HANDLERS = {
    Verb.BEGIN: Session._begin,
    Verb.SET: Session._set,
    Verb.PREPARE: Session._prepare,
    Verb.DEALLOCATE: Session._deallocate,
}
