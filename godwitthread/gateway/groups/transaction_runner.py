"""Execution of transactions at the instance that owns a group."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.scheduling import wait_limits
from godwitthread.core.scheduling.member_state import WorkItem
from godwitthread.core.scheduling.service_times import Kind
from godwitthread.core.statements import (
    NOT_RUN,
    Action,
    Consistency,
    Refusal,
    Reply,
    Result,
    TxState,
    failure,
)
from godwitthread.core.usage_windows import Operation
from godwitthread.errors import ErrorKind
from godwitthread.gateway.groups.member_group import BUSY_PAUSE_MS, INTERNAL_TIMEOUT_MS
from godwitthread.gateway.groups.statement_runner import UNCONFIRMED, StatementRunner, success
from godwitthread.gateway.ports import Connection

if TYPE_CHECKING:
    from godwitthread.clock import Clock
    from godwitthread.core.statements import RunRequest
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports, PrimaryLease


class OpenTransaction(NamedTuple):
    """Open transaction of a session."""

    conn: Connection
    member: str
    #: Whether it was begun on the primary, so that its answers are evidence of its position.
    on_primary: bool
    #: Epoch of the group in which it was begun.
    epoch: int
    usage: Operation


class TransactionRunner(StatementRunner):
    """Execute transactions on the members of one group."""

    def __init__(
        self, name: str, clock: Clock, ports: Ports, log: Log, lease: PrimaryLease
    ) -> None:
        super().__init__(name, clock, ports, log, lease)
        self._transactions: dict[tuple[str, int], OpenTransaction] = {}
        #: Number of the newest transaction of each session that is being begun.
        self._beginning: dict[tuple[str, int], int] = {}
        #: Connections of transactions in which a statement is running.
        self._busy: set[Connection] = set()

    def open_transactions(self, member_id: str) -> int:
        """Return the number of transactions open on a member."""
        return sum(tx.member == member_id for tx in self._transactions.values())

    def end_transactions(self, member_id: str) -> None:
        """Roll back the transactions open on a member."""
        for key, tx in list(self._transactions.items()):
            if tx.member == member_id:
                self._end_transaction(key, tx, clean=False)

    def end_idle_transactions(self) -> None:
        """Roll back the transactions in which no statement is running."""
        for key, tx in list(self._transactions.items()):
            if tx.conn not in self._busy:
                self._end_transaction(key, tx, clean=False)

    def end_sender(self, sender: str) -> None:
        """Roll back the transactions of a peer connection that has ended."""
        for key in [each for each in self._beginning if each[0] == sender]:
            del self._beginning[key]
        for key, tx in list(self._transactions.items()):
            if key[0] == sender:
                self._end_transaction(key, tx, clean=False)

    def _in_transaction(self, sender: str, req: RunRequest, deadline_ms: int) -> Result:
        key = (sender, req.session)
        tx = self._transactions.get(key)
        if tx is not None and req.first:
            # The session lost its link and started over; its earlier transaction must not go on.
            self._end_transaction(key, tx, clean=False)
            tx = None
        if tx is None:
            if not req.first:
                return failure(ErrorKind.TRANSACTION_LOST, 'the transaction ended', ended=True)
            begun = self._begin_for(key, req, deadline_ms)
            if isinstance(begun, Result):
                return begun
            tx = self._transactions[key] = begun
        commit = req.action is Action.COMMIT
        self._busy.add(tx.conn)
        try:
            with self._release_slot_on_error(tx.member):
                sent_ms, reply = self._run_in(tx, req, deadline_ms, commit)
        except BaseException:
            self._end_transaction(key, tx, clean=False)
            raise
        finally:
            self._busy.discard(tx.conn)
        tx.usage.ran(sent_ms, reply)
        tx.conn.used_ms = self._clock.now_ms()
        if tx.on_primary and reply.refusal is None and not self.may_acknowledge(tx.epoch):
            reply = Reply(refusal=Refusal.LOST, message=UNCONFIRMED)
        if reply.refusal is not None:
            return self._fail_transaction(key, tx, req, reply)
        if tx.on_primary:
            self._record_evidence(tx.member, sent_ms, tx.epoch, reply)
        if commit:
            self._end_transaction(key, tx, clean=True, ended=True)
        return success(reply)._replace(ended=commit)

    def _run_in(
        self, tx: OpenTransaction, req: RunRequest, deadline_ms: int, commit: bool
    ) -> tuple[int, Reply]:
        """Execute a statement of a transaction; repeat it while the member refuses it as busy."""
        kind = Kind.COMMIT if commit else Kind.TRANSACTION
        while True:
            self._await_turn(tx, req, deadline_ms, kind)
            sent_ms = self._clock.now_ms()
            if tx.conn.closed:
                # The transaction was ended while the statement waited.
                self._release_unsent(tx.member)
                return sent_ms, Reply(refusal=Refusal.UNREACHABLE, message='connection closed')
            if commit:
                reply = tx.conn.run(req.statement_id, req.text, self._left_ms(deadline_ms))
            else:
                reply = self._statement(tx.conn, req, deadline_ms, None)
            self._count_traffic(tx.member, req, reply)
            if reply.refusal is Refusal.BUSY:
                self._on_not_run(tx.member, reply)
            self._record_result(tx.member, req.organisation, sent_ms, reply, kind)
            # A failed transaction rolls back even if a later COMMIT is accepted.
            usable = tx.conn.state is TxState.OPEN and not tx.conn.closed
            busy = reply.refusal is Refusal.BUSY and usable
            if not busy or self._clock.now_ms() + BUSY_PAUSE_MS >= deadline_ms:
                return sent_ms, reply

    def _await_turn(
        self, tx: OpenTransaction, req: RunRequest, deadline_ms: int, kind: Kind
    ) -> None:
        """Wait until the member has a free slot for a statement of a transaction."""
        now_ms = self._clock.now_ms()
        wait_ms = wait_limits.max_wait_ms(deadline_ms - now_ms)
        work = WorkItem(
            number=next(self._numbers),
            primary=tx.on_primary,
            required=None,
            required_ms=0,
            objective_ms=now_ms + req.objective_ms,
            deadline_ms=now_ms + wait_ms,
            priority=req.priority,
            organisation=req.organisation,
            kind=kind,
            member=tx.member,
        )
        self._wait_turn(work)

    def _release_unsent(self, member_id: str) -> None:
        """Free the slot of a statement that was assigned but is not sent."""
        state = self.dispatcher.members.get(member_id)
        if state is not None:
            state.cancel_sent()
        self.dispatch_waiting()

    def _fail_transaction(
        self, key: tuple[str, int], tx: OpenTransaction, req: RunRequest, reply: Reply
    ) -> Result:
        assert reply.refusal is not None
        # If an earlier answer passed for that to BEGIN, a write may have run on its own.
        outside = req.writes and tx.conn.state is TxState.IDLE
        commit = req.action is Action.COMMIT
        self._end_transaction(key, tx, clean=False)
        if reply.refusal is Refusal.READ_ONLY and tx.on_primary:
            self._on_leadership_lost(tx.member)
        if (commit or outside) and reply.refusal not in NOT_RUN:
            return failure(ErrorKind.COMMIT_UNKNOWN, 'the commit was not confirmed', ended=True)
        reason = f'rolled back: {reply.refusal.value}'
        return failure(ErrorKind.TRANSACTION_LOST, reason, ended=True)

    def _begin_for(
        self, key: tuple[str, int], req: RunRequest, deadline_ms: int
    ) -> OpenTransaction | Result:
        """Begin a transaction, unless its session gives it up meanwhile."""
        number = self._beginning[key] = next(self._numbers)
        try:
            begun = self._begin(req, deadline_ms)
        finally:
            newest = self._beginning.get(key) == number
            if newest:
                del self._beginning[key]
        if newest or isinstance(begun, Result):
            return begun
        self._end_transaction(key, begun, clean=False)
        return failure(ErrorKind.TRANSACTION_LOST, 'the transaction ended', ended=True)

    def _begin(self, req: RunRequest, deadline_ms: int) -> OpenTransaction | Result:
        hold_ms = self._hold_until(req)
        while True:
            on_primary = not req.read_only or req.consistency is Consistency.PRIMARY
            required = None if on_primary else self._required(req)
            on_primary = on_primary or required is None
            granted = self._acquire(req, required, hold_ms, deadline_ms, primary=on_primary)
            if isinstance(granted, Result):
                return granted
            with self._release_slot_on_error(granted):
                conn = self._connect(granted, req)
                if conn is None:
                    continue
                sent_ms, epoch = self._clock.now_ms(), self.epoch
                with self._close_on_error(granted, conn):
                    reply = conn.begin(not on_primary, required, self._left_ms(deadline_ms))
            # BEGIN takes no slot, so its duration is no measure of the member's service time.
            self._record_result(
                granted, req.organisation, sent_ms, reply, Kind.TRANSACTION, timed=False
            )
            if reply.refusal is None:
                usage = Operation(req.organisation, self.count_usage)
                return OpenTransaction(conn, granted, on_primary, epoch, usage)
            self._release(granted, conn)
            self._on_not_run(granted, reply)

    def _end_transaction(
        self, key: tuple[str, int], tx: OpenTransaction, *, clean: bool, ended: bool = False
    ) -> None:
        """End a transaction; close its connection unless that is known to be reusable."""
        if self._transactions.get(key) is tx:
            del self._transactions[key]
        if clean and not ended and not tx.conn.closed:
            reply = tx.conn.rollback(INTERNAL_TIMEOUT_MS)
            clean = reply.refusal is None
        if not clean:
            tx.conn.close()
        self._release(tx.member, tx.conn)
