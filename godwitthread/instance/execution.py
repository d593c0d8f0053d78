"""Execution of single statements: choice of a member, retries and outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.backend.connection import Result
from godwitthread.backend.errors import (
    READ_ONLY_TRANSACTION,
    SERIALIZATION_FAILURE,
    StatementError,
)
from godwitthread.backend.idempotency import KeyedRequest, run_once
from godwitthread.core.execution import Attempts
from godwitthread.core.retry import backoff_ms, may_retry
from godwitthread.core.routing import ReadRequirements, ReadTarget
from godwitthread.core.session_state import may_change_session
from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.instance.admission import (
    AdmittedRequest,
    check_send_invariants,
    require_member,
    revalidate,
)
from godwitthread.instance.protocol import Statement
from godwitthread.loop import eventlet
from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.routing import GroupView, ReadChoice
    from godwitthread.instance.backends import Backends, Lease
    from godwitthread.instance.state import InstanceState

#: Errors after which a repeatable statement may be sent again.
REPEATABLE_ERRORS = frozenset(
    {
        ErrorKind.BACKEND_UNAVAILABLE,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.COMMIT_UNKNOWN,
        ErrorKind.OLD_PRIMARY,
    }
)
#: Longest wait for a new primary before the group view is checked again, in ms.
PRIMARY_WAIT_MS = 50
#: Delay before a write that a member refused is routed to the primary again, in ms.
REROUTE_PAUSE_MS = 5
#: Time reserved before the deadline of a request to return its answer, in ms.
ANSWER_RESERVE_MS = 5


class ExecutionRequest(NamedTuple):
    """Admitted statement to be executed by this instance."""

    request_id: str
    admitted: AdmittedRequest
    statement: Statement
    #: Newest position in the database that the session has seen.
    session_position: Position | None
    deadline_ms: int

    @property
    def database(self) -> str:
        """Return the database of the route."""
        return self.admitted.route.database


class ExecutionResult(NamedTuple):
    """Result of a statement and the role of the member that ran it."""

    result: Result
    #: 'primary' or 'replica'.
    role: str
    #: Commit position of a write.
    position: Position | None = None


class Executor:
    """Route statements to members and run them on leased connections."""

    def __init__(self, state: InstanceState, backends: Backends) -> None:
        self._state = state
        self._backends = backends

    def run(self, request: ExecutionRequest) -> ExecutionResult:
        """Run a statement; retry it only if it may be repeated."""
        statement = request.statement
        is_read = statement.mode == 'read'
        repeatable = is_read or statement.idempotency_key is not None
        attempts = Attempts(repeatable, self._state.invariants)
        attempt = self._read if is_read and not statement.strict else self._write
        try:
            return self._with_retries(request, attempts, attempt)
        except ProxyError as exc:
            self._finalize_outcome(exc, attempts)
            raise

    def await_primary(self, database: str, deadline_ms: int) -> str:
        """Return the primary that accepts writes; wait for one until the deadline."""
        view = self._state.view(database)
        while True:
            self._state.require_open()
            now_ms = self._state.now_ms()
            member = view.primary(now_ms)
            if member is not None and self._state.takes_writes(database, member):
                if not view.needs_probe:
                    return member
                self._backends.refresh(database, member)
                continue
            gives_up = self._state.is_baseline and view.term > 0
            if gives_up or now_ms + PRIMARY_WAIT_MS >= deadline_ms:
                text = 'the group has no primary that accepts work'
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text, retry_after_ms=100)
            self._backends.await_change(database, PRIMARY_WAIT_MS)

    def _with_retries(
        self,
        request: ExecutionRequest,
        attempts: Attempts,
        attempt: Callable[[ExecutionRequest, Attempts], ExecutionResult],
    ) -> ExecutionResult:
        retry_budget = self._state.retry_budget(f'account/{request.admitted.account}')
        retry_budget.note_request(self._state.now_ms())
        number = 0
        while True:
            attempts.start()
            try:
                return attempt(request, attempts)
            except ProxyError as exc:
                if exc.kind not in REPEATABLE_ERRORS or not attempts.may_send:
                    raise
                delay_ms = backoff_ms(number, self._state.rng)
                if not may_retry(self._state.now_ms(), delay_ms, request.deadline_ms, retry_budget):
                    raise
            number += 1
            self._state.metrics.retries.inc()
            eventlet.sleep(delay_ms / 1000)

    def _read(self, request: ExecutionRequest, attempts: Attempts) -> ExecutionResult:
        view = self._state.view(request.database)
        choice, criteria, lease = self._lease_reader(request, view)
        with lease:
            sent_ms = self._state.now_ms()
            view.check_read(sent_ms, choice, criteria)
            result = self._send(
                request, attempts, view, lease, lambda: self._run_plain(request, lease)
            )
        view.check_read(sent_ms, choice, criteria)
        role = 'primary' if choice.target is ReadTarget.PRIMARY else 'replica'
        return ExecutionResult(result, role)

    def _lease_reader(
        self, request: ExecutionRequest, view: GroupView
    ) -> tuple[ReadChoice, ReadRequirements, Lease]:
        """Choose a member and lease a connection; repeat when the choice expired meanwhile."""
        while True:
            choice, criteria = self._choose_member(request, view)
            lease = self._lease(request, choice.member or '', 'read')
            until_ms = choice.send_until_ms
            if until_ms is None or self._state.now_ms() <= until_ms:
                return choice, criteria, lease
            # While waiting for the connection, the member's status became older than the
            # staleness that the request accepts.
            lease.release()

    def _choose_member(
        self, request: ExecutionRequest, view: GroupView
    ) -> tuple[ReadChoice, ReadRequirements]:
        statement = request.statement
        criteria = ReadRequirements(
            request.session_position, statement.max_age_ms, request.deadline_ms
        )
        while True:
            self._state.require_open()
            now_ms = self._state.now_ms()
            choice = view.choose_read(
                now_ms, criteria, lambda name: self._state.takes_reads(request.database, name)
            )
            if choice.target is not ReadTarget.WAIT:
                return choice, criteria
            if now_ms + choice.wait_ms >= request.deadline_ms:
                text = 'no member can serve the read'
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text, retry_after_ms=100)
            if choice.member is None:
                self._backends.await_change(request.database, choice.wait_ms)
            else:
                self._backends.refresh(request.database, choice.member)
                criteria = criteria._replace(waited=True)

    def _write(self, request: ExecutionRequest, attempts: Attempts) -> ExecutionResult:
        view = self._state.view(request.database)
        with self._lease_primary(request, view) as lease:
            if request.statement.strict and request.statement.mode == 'read':
                result = self._send(
                    request, attempts, view, lease, lambda: self._run_strict(request, lease)
                )
                self.confirm_authority(request.database, lease.member, view.term)
                return ExecutionResult(result, 'primary')
            if request.statement.idempotency_key is not None:
                result = self._send(
                    request, attempts, view, lease, lambda: self._run_keyed(request, lease)
                )
            else:
                result = self._send(
                    request, attempts, view, lease, lambda: self._run_plain(request, lease, True)
                )
        position = result.position
        if position is None:
            raise ProxyError(ErrorKind.COMMIT_UNKNOWN, 'the member returned no commit position')
        self.confirm_authority(request.database, lease.member, position.term)
        return ExecutionResult(result, 'primary', position)

    def confirm_authority(self, database: str, member: str, term: int) -> None:
        """Verify after an answer that the member is still the primary.

        Raise OLD_PRIMARY, or COMMIT_UNKNOWN if the database was removed meanwhile.

        After a pause of this process the status of the member is requested first, so that
        a pause alone does not turn a confirmed write into one with unknown outcome.
        """
        self._state.detect_pause()
        view = self._state.views.get(database)
        if view is not None and view.needs_probe:
            self._backends.refresh(database, member)
            view = self._state.views.get(database)
        if view is None:
            text = 'the database left the manifest before the answer was confirmed'
            raise ProxyError(ErrorKind.COMMIT_UNKNOWN, text)
        view.check_answer(term)
        view.assert_authority(term)

    def _lease_primary(self, request: ExecutionRequest, view: GroupView) -> Lease:
        """Lease a connection to the primary; start over if the primary changes meanwhile."""
        while True:
            member = self.await_primary(request.database, request.deadline_ms)
            try:
                lease = self._lease(request, member, 'write')
            except ProxyError as exc:
                if exc.kind is not ErrorKind.BACKEND_UNAVAILABLE:
                    raise
                eventlet.sleep(REROUTE_PAUSE_MS / 1000)
                continue
            if view.primary(self._state.now_ms()) == member:
                return lease
            lease.release()

    def _lease(self, request: ExecutionRequest, member: str, mode: str) -> Lease:
        return self._backends.lease(
            request.database,
            member,
            mode,
            request.admitted.account,
            request.request_id,
            request.deadline_ms,
        )

    def _send(
        self,
        request: ExecutionRequest,
        attempts: Attempts,
        view: GroupView,
        lease: Lease,
        action: Callable[[], Result],
    ) -> Result:
        directory = revalidate(self._state, request.admitted)
        require_member(self._state, request.database, lease.member)
        if request.statement.mode == 'write' or request.statement.strict:
            self._require_primary(request, view, lease.member)
        check_send_invariants(self._state, request.admitted, directory, lease.member)
        attempts.sent()
        lease.dirty = may_change_session(request.statement.sql)
        begun_ms = self._state.now_ms()
        view.statement_started(lease.member)
        try:
            with lease.exchange(request.request_id):
                result = action()
        except StatementError as exc:
            attempts.answered(exc.kind)
            if exc.sqlstate == READ_ONLY_TRANSACTION and request.statement.mode == 'write':
                view.note_error(begun_ms, lease.member)
                self._backends.report_error(request.database, lease.member)
                text = 'the member is no longer the primary and refused the write'
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text, retry_after_ms=50) from exc
            if (
                exc.sqlstate == SERIALIZATION_FAILURE
                and request.statement.idempotency_key is not None
            ):
                # The conflict may be with an earlier attempt that is not yet committed.
                text = 'the statement conflicts with another transaction'
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text, retry_after_ms=50) from exc
            raise
        except ProxyError:
            view.note_error(begun_ms, lease.member)
            self._backends.report_error(request.database, lease.member)
            raise
        finally:
            view.statement_finished(lease.member)
        attempts.answered()
        view.note_success(begun_ms, lease.member, self._state.now_ms() - begun_ms)
        return result

    def _require_primary(self, request: ExecutionRequest, view: GroupView, member: str) -> None:
        if view.primary(self._state.now_ms()) != member:
            text = 'the primary changed before the statement was sent'
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text, retry_after_ms=0)

    def _run_plain(
        self, request: ExecutionRequest, lease: Lease, want_position: bool = False
    ) -> Result:
        return lease.conn.run(
            request.statement.sql,
            request.statement.params,
            timeout_ms=self._time_left_ms(request),
            want_position=want_position,
        )

    def _run_strict(self, request: ExecutionRequest, lease: Lease) -> Result:
        conn = lease.conn
        conn.run('BEGIN READ ONLY', timeout_ms=self._time_left_ms(request))
        result = self._run_plain(request, lease)
        conn.rollback(timeout_ms=self._time_left_ms(request))
        conn.write_quorum_record(timeout_ms=self._time_left_ms(request))
        return result

    def _run_keyed(self, request: ExecutionRequest, lease: Lease) -> Result:
        keyed = KeyedRequest(
            request.admitted.organisation,
            request.statement.idempotency_key or '',
            request.statement.sql,
            request.statement.params,
            self._state.clock.wall_ms(),
        )
        answer = run_once(lease.conn, keyed, timeout_ms=self._time_left_ms(request))
        return answer.result._replace(position=answer.position)

    def _time_left_ms(self, request: ExecutionRequest) -> int:
        return max(1, request.deadline_ms - ANSWER_RESERVE_MS - self._state.now_ms())

    def _finalize_outcome(self, exc: ProxyError, attempts: Attempts) -> None:
        known = attempts.outcome()
        if exc.outcome is Outcome.NOT_RUN and known is not Outcome.NOT_RUN:
            exc.outcome = Outcome.UNKNOWN
        attempts.check_answer(exc.outcome)
