"""Execution of statements and transactions at the instance that owns a group."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from godwitthread.core.scheduling import wait_limits
from godwitthread.core.scheduling.member_state import WorkItem
from godwitthread.core.statements import (
    NOT_RUN,
    Action,
    Consistency,
    Refusal,
    Reply,
    Result,
    failure,
)
from godwitthread.errors import ErrorKind
from godwitthread.gateway.groups.member_group import (
    BUSY_PAUSE_MS,
    INTERNAL_TIMEOUT_MS,
    MemberGroup,
)
from godwitthread.gateway.ports import Connection
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.statements import Prepared, RunRequest
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports, PrimaryLease
    from godwitthread.types import Position

#: Shortest time in which a member can answer, in ms; a further attempt of a read waits no longer
#: than this for a slot.
MIN_RESPONSE_MS = 5
#: Number of service times without an answer after which a read is also sent to another member.
HEDGE_SERVICE_TIMES = 6
#: Bounds of that delay, in ms. With a shorter one, queueing at the member would be mistaken for
#: a lost answer.
MIN_HEDGE_MS = 120
MAX_HEDGE_MS = 400
#: Maximum number of members that one read is sent to.
MAX_READ_ATTEMPTS = 4
#: Age at which evidence of the primary's position is renewed while reads depend on it, in ms. It
#: is well below the shortest accepted staleness of 1.5 s.
EVIDENCE_RENEWAL_MS = 400
#: Time that transactions on a member have to end once its failure domain is being evacuated, in
#: ms. Nothing may reach the member after 5 s.
EVACUATED_TX_MS = 3_500
#: Message of an answer that can't be acknowledged, since the member that gave it may have been
#: replaced as the primary before.
UNCONFIRMED = 'the primary may have been replaced'
#: Interval of housekeeping, in ms.
TICK_MS = 50


class OpenTransaction(NamedTuple):
    """Open transaction of a session."""

    conn: Connection
    member: str
    #: Whether it was begun on the primary, so that its answers are evidence of its position.
    on_primary: bool
    #: Epoch of the group in which it was begun.
    epoch: int


class GroupRunner(MemberGroup):
    """Execute statements and transactions on the members of one group."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        ports: Ports,
        log: Log,
        admit: Callable[[str, int, int], int],
        lease: PrimaryLease,
    ) -> None:
        super().__init__(name, clock, ports, log, lease)
        #: Takes an organisation and the maximum waits for its rate and for its granter, in ms.
        #: Returns 0 if the operation is admitted, else the delay before a retry, in ms.
        self._admit = admit
        self._transactions: dict[tuple[str, int], OpenTransaction] = {}
        #: Connections of transactions in which a statement is running.
        self._busy: set[Connection] = set()

    def run(self, sender: str, req: RunRequest) -> Result:
        """Execute a statement of a session and return its result."""
        now_ms = self._clock.now_ms()
        deadline_ms = now_ms + req.remaining_ms
        if req.action is Action.ROLLBACK:
            tx = self._transactions.get((sender, req.session))
            if tx is not None:
                self._end_transaction((sender, req.session), tx, clean=True)
            return Result(ended=True)
        if req.first:
            wait_ms = self._admit(
                req.organisation,
                wait_limits.short_wait_ms(req.objective_ms),
                wait_limits.max_wait_ms(req.remaining_ms) // 2,
            )
            if wait_ms:
                return failure(
                    ErrorKind.RATE_LIMITED, 'rate limit of the organisation exceeded', wait_ms, True
                )
        if req.action is Action.SINGLE:
            if req.writes:
                return self._write(req, deadline_ms)
            return self._read(req, deadline_ms)
        return self._in_transaction(sender, req, deadline_ms)

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

    def close(self) -> None:
        """End all transactions, after their running statements, and keep no idle connections."""
        self.disable_pooling()
        while self._transactions:
            self.end_idle_transactions()
            eventlet.sleep(TICK_MS / 1000)

    def end_sender(self, sender: str) -> None:
        """Roll back the transactions of a peer connection that has ended."""
        for key, tx in list(self._transactions.items()):
            if key[0] == sender:
                self._end_transaction(key, tx, clean=False)

    def has_open_work(self) -> bool:
        """Return whether a statement is waiting or running, or a transaction is open."""
        running = any(state.running for state in self.dispatcher.members.values())
        return bool(self._transactions) or running or bool(len(self.dispatcher))

    def tick(self, owned: bool) -> None:
        """End transactions that must not continue, and renew evidence while reads depend on it."""
        now_ms = self._clock.now_ms()
        self.refresh_primary()
        for member_id, since_ms in self.evacuated.items():
            if now_ms - since_ms > EVACUATED_TX_MS:
                self.end_transactions(member_id)
        for key, tx in list(self._transactions.items()):
            if tx.conn not in self._busy and now_ms - tx.conn.used_ms > self._tx_idle_ms:
                self._log.failure('transaction_idle', session=key[1], member=tx.member)
                self._end_transaction(key, tx, clean=False)
        age_ms = self.evidence.age_ms(now_ms)
        reads = now_ms - self._last_bounded_read_ms < 2 * EVIDENCE_RENEWAL_MS
        if (
            owned
            and reads
            and not self.primary_work_paused
            and (age_ms is None or age_ms > EVIDENCE_RENEWAL_MS)
        ):
            self.renew_evidence()

    def _write(self, req: RunRequest, deadline_ms: int) -> Result:
        hold_ms = self._hold_until(req)
        while True:
            granted = self._acquire(req, None, min(hold_ms, deadline_ms), primary=True)
            if isinstance(granted, Result):
                return granted
            with self._release_slot_on_error(granted):
                conn = self._connect(granted, req, deadline_ms)
                if conn is None:
                    continue
                sent_ms, epoch = self._clock.now_ms(), self.epoch
                reply = self._statement(conn, req, deadline_ms, None)
            self._count_traffic(granted, req, reply)
            self._finish(granted, conn, sent_ms, reply)
            if reply.refusal is None:
                if not self.may_acknowledge(epoch):
                    return failure(ErrorKind.CONNECTION_LOST, UNCONFIRMED)
                self._record_evidence(granted, sent_ms, epoch, reply)
                return _success(reply)
            if reply.refusal in NOT_RUN:
                self._on_not_run(granted, reply)
                continue
            return _error_result(reply)

    def _read(self, req: RunRequest, deadline_ms: int) -> Result:
        answers: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        hold_ms = self._hold_until(req)
        tried: set[str] = set()
        pending = 0
        last: Result | None = None
        while True:
            if pending == 0 or len(tried) < MAX_READ_ATTEMPTS:
                granted = self._acquire_read(req, min(hold_ms, deadline_ms), tried, pending)
                if isinstance(granted, Result):
                    if not pending:
                        return last or granted
                else:
                    work, member_id = granted
                    tried.add(member_id)
                    pending += 1
                    eventlet.spawn_n(self._attempt, answers, work, member_id, req, deadline_ms)
            answer = self._next_answer(answers, tried, deadline_ms, pending)
            if answer is None:
                if self._clock.now_ms() >= deadline_ms:
                    return failure(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, 'no answer in time')
                continue
            pending -= 1
            member_id, reply = answer
            if reply.refusal is None:
                return _success(reply)
            if reply.refusal in NOT_RUN:
                tried.discard(member_id)
            else:
                last = _error_result(reply)
                if len(tried) >= MAX_READ_ATTEMPTS and not pending:
                    return last

    def _acquire_read(
        self, req: RunRequest, hold_ms: int, tried: set[str], pending: int
    ) -> tuple[WorkItem, str] | Result:
        primary = req.consistency is Consistency.PRIMARY
        required = None
        if not primary:
            required = self._required(req)
            primary = required is None
        now_ms = self._clock.now_ms()
        if pending:
            # A further attempt is only worthwhile if a slot is free now.
            hold_ms = now_ms + MIN_RESPONSE_MS
            if primary:
                return failure(ErrorKind.OVERLOADED, 'only the primary can run the read')
        work = self._work(req, required, hold_ms, primary, frozenset() if primary else tried)
        granted = self._wait_for_member(work)
        return granted if isinstance(granted, Result) else (work, granted)

    def _next_answer(
        self,
        answers: eventlet.queue.LightQueue,
        tried: set[str],
        deadline_ms: int,
        pending: int,
    ) -> tuple[str, Reply] | None:
        if not pending:
            eventlet.sleep(BUSY_PAUSE_MS / 1000)
            return None
        wait_ms = max(1, deadline_ms - self._clock.now_ms())
        if len(tried) < MAX_READ_ATTEMPTS:
            wait_ms = min(wait_ms, self._hedge_ms(tried))
        try:
            answer: tuple[str, Reply] = answers.get(timeout=wait_ms / 1000)
        except eventlet.queue.Empty:
            return None
        return answer

    def _hedge_ms(self, tried: set[str]) -> int:
        states = [self.dispatcher.members.get(each) for each in tried]
        service_ms = max((state.service_ms for state in states if state), default=0.0)
        return int(min(MAX_HEDGE_MS, max(MIN_HEDGE_MS, HEDGE_SERVICE_TIMES * service_ms)))

    def _attempt(
        self,
        answers: eventlet.queue.LightQueue,
        work: WorkItem,
        member_id: str,
        req: RunRequest,
        deadline_ms: int,
    ) -> None:
        try:
            reply = self._try_read(work, member_id, req, deadline_ms)
        except Exception as exc:
            self._abandon(member_id, exc)
            reply = Reply(refusal=Refusal.FAILED, message='internal error')
        if reply.refusal is not None and reply.refusal in NOT_RUN:
            self._on_not_run(member_id, reply, work)
        answers.put((member_id, reply))

    def _try_read(self, work: WorkItem, member_id: str, req: RunRequest, deadline_ms: int) -> Reply:
        conn = self._connect(member_id, req, deadline_ms)
        if conn is None:
            return Reply(refusal=Refusal.UNREACHABLE)
        sent_ms, epoch = self._clock.now_ms(), self.epoch
        guarded = work.primary and req.consistency is Consistency.PRIMARY
        on_primary = guarded or work.required is None
        if on_primary:
            # Only a BEGIN without READ proves that the member is the primary now: a former
            # primary answers plain reads as a replica.
            reply = conn.begin(False, None, self._left_ms(deadline_ms))
            if reply.refusal is None:
                self._record_evidence(member_id, sent_ms, epoch, reply)
                reply = self._statement(conn, req, deadline_ms, None)
                if not conn.closed:
                    conn.rollback(INTERNAL_TIMEOUT_MS)
        else:
            reply = self._statement(conn, req, deadline_ms, work.required)
            state = self.dispatcher.members.get(member_id)
            if reply.refusal is None and state is not None and member_id != self.last_primary:
                state.record_applied(sent_ms, sent_ms - work.required_ms)
        self._count_traffic(member_id, req, reply)
        self._finish(member_id, conn, sent_ms, reply)
        if on_primary and reply.refusal is None and not self.may_acknowledge(epoch):
            return Reply(refusal=Refusal.UNREACHABLE, message=UNCONFIRMED)
        return reply

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
            begun = self._begin(req, deadline_ms)
            if isinstance(begun, Result):
                return begun
            tx = self._transactions[key] = begun
        commit = req.action is Action.COMMIT
        self._busy.add(tx.conn)
        try:
            sent_ms, reply = self._run_in(tx, req, deadline_ms, commit)
        finally:
            self._busy.discard(tx.conn)
        tx.conn.used_ms = self._clock.now_ms()
        if tx.on_primary and reply.refusal is None and not self.may_acknowledge(tx.epoch):
            reply = Reply(refusal=Refusal.LOST, message=UNCONFIRMED)
        if reply.refusal is not None:
            return self._fail_transaction(key, tx, reply, commit)
        if tx.on_primary:
            self._record_evidence(tx.member, sent_ms, tx.epoch, reply)
        if commit:
            self._end_transaction(key, tx, clean=True, ended=True)
        return _success(reply)._replace(ended=commit)

    def _run_in(
        self, tx: OpenTransaction, req: RunRequest, deadline_ms: int, commit: bool
    ) -> tuple[int, Reply]:
        """Execute a statement of a transaction; repeat it while the member refuses it as busy."""
        while True:
            sent_ms = self._clock.now_ms()
            state = self.dispatcher.members.get(tx.member)
            if state is not None:
                state.record_sent(sent_ms)
            if commit:
                reply = tx.conn.run(req.statement_id, req.text, self._left_ms(deadline_ms))
            else:
                reply = self._statement(tx.conn, req, deadline_ms, None)
            self._count_traffic(tx.member, req, reply)
            self._record_result(tx.member, sent_ms, reply)
            busy = reply.refusal is Refusal.BUSY and not tx.conn.closed
            if not busy or self._clock.now_ms() + BUSY_PAUSE_MS >= deadline_ms:
                return sent_ms, reply
            eventlet.sleep(BUSY_PAUSE_MS / 1000)

    def _fail_transaction(
        self, key: tuple[str, int], tx: OpenTransaction, reply: Reply, commit: bool
    ) -> Result:
        assert reply.refusal is not None
        self._end_transaction(key, tx, clean=False)
        if reply.refusal is Refusal.READ_ONLY and tx.on_primary:
            self._on_leadership_lost(tx.member)
        if commit and reply.refusal not in NOT_RUN:
            return failure(ErrorKind.COMMIT_UNKNOWN, 'the commit was not confirmed', ended=True)
        reason = f'rolled back: {reply.refusal.value}'
        return failure(ErrorKind.TRANSACTION_LOST, reason, ended=True)

    def _begin(self, req: RunRequest, deadline_ms: int) -> OpenTransaction | Result:
        hold_ms = self._hold_until(req)
        while True:
            on_primary = not req.read_only or req.consistency is Consistency.PRIMARY
            required = None if on_primary else self._required(req)
            on_primary = on_primary or required is None
            granted = self._acquire(req, required, min(hold_ms, deadline_ms), primary=on_primary)
            if isinstance(granted, Result):
                return granted
            with self._release_slot_on_error(granted):
                conn = self._connect(granted, req, deadline_ms)
                if conn is None:
                    continue
                sent_ms, epoch = self._clock.now_ms(), self.epoch
                reply = conn.begin(not on_primary, required, self._left_ms(deadline_ms))
            # BEGIN takes no slot, so its duration is no measure of the member's service time.
            self._record_result(granted, sent_ms, reply, timed=False)
            if reply.refusal is None:
                if on_primary:
                    self._record_evidence(granted, sent_ms, epoch, reply)
                return OpenTransaction(conn, granted, on_primary, epoch)
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

    def _statement(
        self,
        conn: Connection,
        req: RunRequest,
        deadline_ms: int,
        after: Position | None,
    ) -> Reply:
        if not self._apply_session_state(conn, req, deadline_ms):
            conn.close()
            return Reply(refusal=Refusal.UNREACHABLE, message='session state could not be set')
        left_ms = self._left_ms(deadline_ms)
        if req.prepared is None:
            return conn.run(req.statement_id, req.text, left_ms, after)
        name = _prepared_name(req.prepared)
        return conn.execute(req.statement_id, name, req.arguments, left_ms, after)

    def _apply_session_state(self, conn: Connection, req: RunRequest, deadline_ms: int) -> bool:
        """Set the values and prepared statements of the session on a connection."""
        values = dict(req.values)
        left_ms = min(INTERNAL_TIMEOUT_MS, self._left_ms(deadline_ms))
        if conn.values.keys() - values.keys():
            if not conn.reset(left_ms):
                return False
            conn.values, conn.prepared = {}, set()
        for name, value in values.items():
            if conn.values.get(name) != value:
                if not conn.set_value(name, value, left_ms):
                    return False
                conn.values[name] = value
        if req.prepared is not None:
            name = _prepared_name(req.prepared)
            if name not in conn.prepared:
                if not conn.prepare(name, req.prepared, left_ms):
                    return False
                conn.prepared.add(name)
        return True

    def _acquire(
        self, req: RunRequest, required: Position | None, hold_ms: int, *, primary: bool
    ) -> str | Result:
        return self._wait_for_member(self._work(req, required, hold_ms, primary, frozenset()))

    def _work(
        self,
        req: RunRequest,
        required: Position | None,
        hold_ms: int,
        primary: bool,
        avoid: frozenset[str] | set[str],
    ) -> WorkItem:
        now_ms = self._clock.now_ms()
        return WorkItem(
            number=next(self._numbers),
            primary=primary,
            required=required,
            required_ms=self.evidence.reached_ms(now_ms, required) if required else 0,
            objective_ms=now_ms + req.objective_ms,
            deadline_ms=hold_ms,
            priority=req.priority,
            avoid=frozenset(avoid),
            organisation=req.organisation,
        )

    def _hold_until(self, req: RunRequest) -> int:
        return self._clock.now_ms() + wait_limits.max_wait_ms(req.remaining_ms)


def _success(reply: Reply) -> Result:
    return Result(reply.rows, reply.receipt, position=reply.position)


def _error_result(reply: Reply) -> Result:
    if reply.refusal is Refusal.FAILED:
        return failure(ErrorKind.STATEMENT_FAILED, reply.message or 'failed')
    if reply.refusal is Refusal.TIMEOUT:
        return failure(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, 'the member reported a time-out')
    return failure(ErrorKind.CONNECTION_LOST, reply.message or 'no answer')


def _prepared_name(prepared: Prepared) -> str:
    """Return the name of a prepared statement, the same for all sessions that share its text."""
    return f'g{xxhash.xxh64_hexdigest(f"{prepared.read_only}{prepared.shape}".encode())}'
