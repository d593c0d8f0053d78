"""Execution of single statements at the instance that owns a group."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from godwitthread.core.scheduling import wait_limits
from godwitthread.core.scheduling.member_state import WorkItem
from godwitthread.core.scheduling.service_times import Kind
from godwitthread.core.statements import (
    NOT_RUN,
    Consistency,
    Refusal,
    Reply,
    Result,
    TxState,
    failure,
)
from godwitthread.core.usage_windows import Operation
from godwitthread.errors import ErrorKind
from godwitthread.gateway.groups.member_group import (
    BUSY_PAUSE_MS,
    INTERNAL_TIMEOUT_MS,
    MemberGroup,
)
from godwitthread.gateway.groups.session_state import apply_session_state, prepared_name
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from godwitthread.core.statements import RunRequest
    from godwitthread.gateway.ports import Connection
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
#: Message of an answer that can't be acknowledged, since the member that gave it may have been
#: replaced as the primary before.
UNCONFIRMED = 'the primary may have been replaced'


class ReadAnswers:
    """Answers to the attempts of one read; those that come after its end are dropped.

    A hedged read whose answers are large would otherwise keep the later ones in memory.
    """

    def __init__(self) -> None:
        self._queue: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._closed = False

    def put(self, answer: tuple[str, Reply]) -> None:
        """Add the answer of a member."""
        if not self._closed:
            self._queue.put(answer)

    def get(self, timeout_ms: int) -> tuple[str, Reply] | None:
        """Return the next answer, None if there is none in time."""
        try:
            answer: tuple[str, Reply] = self._queue.get(timeout=timeout_ms / 1000)
        except eventlet.queue.Empty:
            return None
        return answer

    def close(self) -> None:
        """Drop the answers that were not needed."""
        self._closed = True
        while self._queue.qsize():
            self._queue.get_nowait()


class StatementRunner(MemberGroup):
    """Execute single statements on the members of one group."""

    def _write(self, req: RunRequest, deadline_ms: int) -> Result:
        hold_ms = self._hold_until(req)
        usage = Operation(req.organisation, self.count_usage)
        while True:
            granted = self._acquire(req, None, hold_ms, deadline_ms, primary=True)
            if isinstance(granted, Result):
                return granted
            with self._release_slot_on_error(granted):
                conn = self._connect(granted, req)
                if conn is None:
                    continue
                sent_ms, epoch = self._clock.now_ms(), self.epoch
                with self._close_on_error(granted, conn):
                    reply = self._statement(conn, req, deadline_ms, None)
            usage.ran(sent_ms, reply)
            self._count_traffic(granted, req, reply)
            self._finish(granted, conn, sent_ms, reply, Kind.WRITE)
            if reply.refusal is None:
                if not self.may_acknowledge(epoch):
                    return failure(ErrorKind.CONNECTION_LOST, UNCONFIRMED)
                self._record_evidence(granted, sent_ms, epoch, reply)
                return success(reply)
            if reply.refusal in NOT_RUN:
                self._on_not_run(granted, reply)
                continue
            return _error_result(reply)

    def _read(self, req: RunRequest, deadline_ms: int) -> Result:
        answers = ReadAnswers()
        try:
            return self._read_until_answered(answers, req, deadline_ms)
        finally:
            answers.close()

    def _read_until_answered(
        self, answers: ReadAnswers, req: RunRequest, deadline_ms: int
    ) -> Result:
        hold_ms = self._hold_until(req)
        usage = Operation(req.organisation, self.count_usage)
        tried: set[str] = set()
        pending = 0
        last: Result | None = None
        while True:
            if pending == 0 or len(tried) < MAX_READ_ATTEMPTS:
                granted = self._acquire_read(req, hold_ms, deadline_ms, tried, pending)
                if isinstance(granted, Result):
                    if not pending:
                        return last or granted
                else:
                    work, member_id = granted
                    tried.add(member_id)
                    pending += 1
                    args = work, member_id, usage, req, deadline_ms
                    eventlet.spawn_n(self._attempt, answers, *args)
            answer = self._next_answer(answers, tried, deadline_ms, pending)
            if answer is None:
                if self._clock.now_ms() >= deadline_ms:
                    return failure(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, 'no answer in time')
                continue
            pending -= 1
            member_id, reply = answer
            if reply.refusal is None:
                return success(reply)
            if reply.refusal in NOT_RUN:
                tried.discard(member_id)
            else:
                last = _error_result(reply)
                if len(tried) >= MAX_READ_ATTEMPTS and not pending:
                    return last

    def _acquire_read(
        self, req: RunRequest, hold_ms: int, deadline_ms: int, tried: set[str], pending: int
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
        if not pending:
            work = work._replace(limit_ms=deadline_ms)
        granted = self._wait_for_member(work)
        return granted if isinstance(granted, Result) else (work, granted)

    def _next_answer(
        self,
        answers: ReadAnswers,
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
        return answers.get(wait_ms)

    def _hedge_ms(self, tried: set[str]) -> int:
        states = [self.dispatcher.members.get(each) for each in tried]
        service_ms = max((state.service_ms for state in states if state), default=0.0)
        return int(min(MAX_HEDGE_MS, max(MIN_HEDGE_MS, HEDGE_SERVICE_TIMES * service_ms)))

    def _attempt(
        self,
        answers: ReadAnswers,
        work: WorkItem,
        member_id: str,
        usage: Operation,
        req: RunRequest,
        deadline_ms: int,
    ) -> None:
        reply = Reply(refusal=Refusal.FAILED, message='internal error')
        try:
            # The error is logged where it frees the slot.
            with contextlib.suppress(Exception), self._release_slot_on_error(member_id):
                reply = self._try_read(work, member_id, usage, req, deadline_ms)
            if reply.refusal in NOT_RUN:
                self._on_not_run(member_id, reply, work)
        finally:
            answers.put((member_id, reply))

    def _try_read(
        self, work: WorkItem, member_id: str, usage: Operation, req: RunRequest, deadline_ms: int
    ) -> Reply:
        conn = self._connect(member_id, req)
        if conn is None:
            return Reply(refusal=Refusal.UNREACHABLE)
        sent_ms, epoch = self._clock.now_ms(), self.epoch
        guarded = work.primary and req.consistency is Consistency.PRIMARY
        on_primary = guarded or work.required is None
        if on_primary:
            # Only a BEGIN without READ proves that the member is the primary now: a former
            # primary answers plain reads as a replica.
            with self._close_on_error(member_id, conn):
                reply = conn.begin(False, None, self._left_ms(deadline_ms))
                if reply.refusal is None:
                    reply = self._statement(conn, req, deadline_ms, None)
                    usage.ran(sent_ms, reply)
                    if reply.refusal is None:
                        # Its receipt proves that BEGIN ran, whose own answer may be a repeated one.
                        self._record_evidence(member_id, sent_ms, epoch, reply)
                    if not conn.closed and conn.state is not TxState.IDLE:
                        conn.rollback(INTERNAL_TIMEOUT_MS)
        else:
            with self._close_on_error(member_id, conn):
                reply = self._statement(conn, req, deadline_ms, work.required)
            usage.ran(sent_ms, reply)
            state = self.dispatcher.members.get(member_id)
            if reply.refusal is None and state is not None and member_id != self.last_primary:
                state.record_applied(sent_ms, sent_ms - work.required_ms)
        self._count_traffic(member_id, req, reply)
        self._finish(member_id, conn, sent_ms, reply)
        if on_primary and reply.refusal is None and not self.may_acknowledge(epoch):
            # It ran, so it must not be refused as not run if no other member runs it.
            return Reply(refusal=Refusal.LOST, message=UNCONFIRMED)
        return reply

    def _statement(
        self,
        conn: Connection,
        req: RunRequest,
        deadline_ms: int,
        after: Position | None,
    ) -> Reply:
        if not apply_session_state(conn, req, min(INTERNAL_TIMEOUT_MS, self._left_ms(deadline_ms))):
            conn.close()
            return Reply(refusal=Refusal.UNREACHABLE, message='session state could not be set')
        left_ms = self._left_ms(deadline_ms)
        if req.prepared is None:
            return conn.run(req.statement_id, req.text, left_ms, after)
        name = prepared_name(req.prepared)
        reply = conn.execute(req.statement_id, name, req.arguments, left_ms, after)
        if reply.refusal is Refusal.UNPREPARED:
            # The session state at the member is not the one that the connection records.
            conn.close()
        return reply

    def _count_traffic(self, member_id: str, req: RunRequest, reply: Reply) -> None:
        member = self.members.get(member_id)
        if self.crossings is not None and member is not None:
            self.crossings.record_statement(member.failure_domain, req, reply)

    def _acquire(
        self,
        req: RunRequest,
        required: Position | None,
        hold_ms: int,
        deadline_ms: int,
        *,
        primary: bool,
    ) -> str | Result:
        work = self._work(req, required, hold_ms, primary, frozenset())
        return self._wait_for_member(work._replace(limit_ms=deadline_ms))

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
            kind=Kind.WRITE if req.writes else Kind.READ,
        )

    def _left_ms(self, deadline_ms: int) -> int:
        return max(1, deadline_ms - self._clock.now_ms())

    def _hold_until(self, req: RunRequest) -> int:
        return self._clock.now_ms() + wait_limits.max_wait_ms(req.remaining_ms)


def success(reply: Reply) -> Result:
    """Return the result of a statement that ran."""
    return Result(reply.rows, reply.receipt, position=reply.position)


def _error_result(reply: Reply) -> Result:
    if reply.refusal is Refusal.FAILED:
        return failure(ErrorKind.STATEMENT_FAILED, reply.message or 'failed')
    if reply.refusal is Refusal.TIMEOUT:
        return failure(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, 'the member reported a time-out')
    return failure(ErrorKind.CONNECTION_LOST, reply.message or 'no answer')
