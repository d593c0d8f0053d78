"""Interactive transactions, each bound to one connection of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.invariants import Promise
from godwitthread.core.token import TransactionId
from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.instance.admission import check_send_invariants, require_member, revalidate
from godwitthread.instance.execution import ANSWER_RESERVE_MS
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from godwitthread.backend.connection import Result
    from godwitthread.instance.admission import AdmittedRequest
    from godwitthread.instance.backends import Backends, Lease
    from godwitthread.instance.execution import Executor
    from godwitthread.instance.protocol import Statement
    from godwitthread.instance.state import InstanceState
    from godwitthread.types import Position

#: Idle time after which an open transaction is rolled back, in ms. It holds one of about
#: 30 connections of a member.
IDLE_TIMEOUT_MS = 10_000
#: Maximum duration of a transaction in ms.
MAX_LIFETIME_MS = 60_000


class Transaction:
    """One open transaction with its connection."""

    def __init__(
        self,
        id: TransactionId,  # noqa: A002
        admitted: AdmittedRequest,
        lease: Lease,
        now_ms: int,
    ) -> None:
        self.id = id
        self.admitted = admitted
        self.lease = lease
        self.begun_ms = now_ms
        self.last_used_ms = now_ms
        #: Serialises the requests of this transaction.
        self.lock = eventlet.semaphore.Semaphore()
        #: Whether the transaction has ended.
        self.ended = False


class Transactions:
    """Open transactions of an instance."""

    def __init__(self, state: InstanceState, backends: Backends, executor: Executor) -> None:
        self._state = state
        self._backends = backends
        self._executor = executor
        self._open: dict[int, Transaction] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._open)

    def begin(self, admitted: AdmittedRequest, deadline_ms: int) -> Transaction:
        """Begin a transaction on the primary."""
        state = self._state
        database = admitted.route.database
        member = self._executor.await_primary(database, deadline_ms)
        self._number += 1
        number = self._number
        lease = self._backends.lease(
            database, member, 'write', admitted.account, f'transaction/{number}', deadline_ms
        )
        try:
            directory = revalidate(state, admitted)
            require_member(state, database, member)
            check_send_invariants(state, admitted, directory, member)
            lease.dirty = True
            with lease.exchange(f'begin/{number}') as conn:
                conn.begin(timeout_ms=self._time_left_ms(deadline_ms))
        except ProxyError as exc:
            lease.release()
            if exc.kind is ErrorKind.CONNECTION_LOST:
                # A lost BEGIN has no effect: the server discards it with the connection.
                text = 'the connection was lost before the transaction began'
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text) from exc
            raise
        id_ = TransactionId(admitted.organisation, state.seat.name, state.seat.incarnation, number)
        transaction = Transaction(id_, admitted, lease, state.now_ms())
        self._open[number] = transaction
        return transaction

    def find(self, id_: TransactionId) -> Transaction:
        """Return an open transaction of this incarnation; raise TRANSACTION_LOST."""
        transaction = self._open.get(id_.number)
        if transaction is None or transaction.id != id_:
            text = 'the transaction has ended and was rolled back unless it was committed'
            raise ProxyError(ErrorKind.TRANSACTION_LOST, text)
        return transaction

    def run(
        self, transaction: Transaction, statement: Statement, request_id: str, deadline_ms: int
    ) -> Result:
        """Run one statement inside a transaction."""
        with transaction.lock:
            self._check_usable(transaction)
            timeout_ms = self._time_left_ms(deadline_ms)
            try:
                with transaction.lease.exchange(request_id) as conn:
                    return conn.run(statement.sql, statement.params, timeout_ms=timeout_ms)
            except ProxyError as exc:
                if not transaction.lease.conn.broken:
                    raise
                self._end(transaction)
                text = 'the connection was lost; the server rolled the transaction back'
                raise ProxyError(ErrorKind.TRANSACTION_LOST, text) from exc
            finally:
                transaction.last_used_ms = self._state.now_ms()

    def commit(self, transaction: Transaction, deadline_ms: int) -> Position:
        """Commit and return the position; raise COMMIT_UNKNOWN if no answer arrives."""
        with transaction.lock:
            self._check_usable(transaction)
            try:
                with transaction.lease.exchange('commit') as conn:
                    position = conn.commit(timeout_ms=self._time_left_ms(deadline_ms))
            except ProxyError as exc:
                if exc.outcome is Outcome.NOT_RUN:
                    raise
                text = 'no answer to the commit'
                raise ProxyError(ErrorKind.COMMIT_UNKNOWN, text) from exc
            finally:
                self._end(transaction)
        database = transaction.admitted.route.database
        self._executor.confirm_authority(database, transaction.lease.member, position.term)
        return position

    def rollback(self, transaction: Transaction) -> None:
        """Roll a transaction back and release its connection."""
        with transaction.lock:
            if not transaction.ended:
                self._end(transaction)

    def expire(self, now_ms: int) -> None:
        """Roll back transactions that are idle, too old or whose key was withdrawn."""
        for transaction in list(self._open.values()):
            reason = self._expiry_reason(transaction, now_ms)
            if reason and transaction.lock.acquire(blocking=False):
                try:
                    self._end(transaction)
                finally:
                    transaction.lock.release()
                self._state.events.emit(
                    'transaction_rolled_back',
                    reason=reason,
                    organisation=transaction.admitted.account,
                    database=transaction.admitted.route.database,
                )

    def _expiry_reason(self, transaction: Transaction, now_ms: int) -> str:
        if now_ms - transaction.last_used_ms > IDLE_TIMEOUT_MS:
            return 'idle'
        if now_ms - transaction.begun_ms > MAX_LIFETIME_MS:
            return 'too old'
        caller, directory = transaction.admitted.caller, self._state.directory
        if caller is not None and directory is not None and not directory.is_active(caller):
            return 'key withdrawn'
        return ''

    def _check_usable(self, transaction: Transaction) -> None:
        if transaction.ended:
            raise ProxyError(ErrorKind.TRANSACTION_LOST, 'the transaction was rolled back')
        # A transaction may finish while its instance or failure domain is leaving, but not
        # after its key was withdrawn.
        directory, caller = self._state.directory, transaction.admitted.caller
        if caller is not None and (directory is None or not directory.is_active(caller)):
            self._end(transaction)
            raise ProxyError(ErrorKind.KEY_WITHDRAWN, f'the key {caller.key_id} is withdrawn')
        if not self._state.is_fresh():
            text = 'the instance has no evidence that its configuration is current'
            raise ProxyError(ErrorKind.STALE_CONFIGURATION, text, retry_after_ms=500)
        self._state.invariants.check(
            Promise.TRANSACTION_ISOLATION,
            transaction.lease.owner == f'transaction/{transaction.id.number}',
            f'connection belongs to {transaction.lease.owner}',
        )

    def _end(self, transaction: Transaction) -> None:
        transaction.ended = True
        self._open.pop(transaction.id.number, None)
        transaction.lease.release()

    def _time_left_ms(self, deadline_ms: int) -> int:
        return max(1, deadline_ms - ANSWER_RESERVE_MS - self._state.now_ms())
