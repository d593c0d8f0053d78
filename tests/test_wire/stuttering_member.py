"""Model of a member that repeats answers late, and of a connection to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.answer_alignment import AnswerAlignment, Confirmation, Request, Verdict
from godwitthread.core.statements import Refusal, Reply, TxState
from tests.test_wire.answers import GREETING, done, refused

if TYPE_CHECKING:
    import random

_RECEIPTS = (Request.STATEMENT, Request.COMMIT)


class StutteringMember:
    """Member that answers in order, and sends some of its answers once more at a later time."""

    def __init__(self, rng: random.Random, refusals: float) -> None:
        self.rng = rng
        self.refusals = refusals
        self.state, self.value, self.offset, self.receipts = TxState.IDLE, 0, 9, 0
        #: Answers that the connection has yet to read.
        self.wire: list[Reply] = []
        #: Answer that will be sent once more.
        self.late: Reply | None = None
        self.answers_repeated = 0

    def stutter(self) -> None:
        """Send the repeated answer at a moment that chance decides."""
        if self.late is not None and self.rng.random() < 0.3:
            self.wire.append(self.late)
            self.late = None
            self.answers_repeated += 1

    def answer(self, request: Request, value: int = 0) -> Reply:
        """Run a request, and return its own answer."""
        self.stutter()
        reply = self._run(request, value)
        self.wire.append(reply)
        if self.late is None and self.rng.random() < 0.3:
            self.late = reply
        self.stutter()
        return reply

    def _run(self, request: Request, value: int) -> Reply:
        if self.rng.random() < self.refusals and request is not Request.ROLLBACK:
            state = self.state
            if state is TxState.OPEN and self.rng.random() < 0.3:
                state = self.state = TxState.FAILED
            return refused(self.rng.choice([Refusal.BUSY, Refusal.BEHIND]), state=state)
        if self.state is TxState.FAILED and request is not Request.ROLLBACK:
            return refused(Refusal.FAILED, state=self.state)
        if request is Request.SESSION and value:
            self.value = value
        if request in (Request.COMMIT, Request.ROLLBACK):
            self.state = TxState.IDLE
        elif request is Request.BEGIN:
            self.state = TxState.OPEN
        if request not in _RECEIPTS:
            return done(state=self.state, offset=self.offset)
        self.receipts += 1
        self.offset += self.rng.random() < 0.3
        receipt, row = f'r{self.receipts}', str(self.value)
        return done(receipt, row, state=self.state, offset=self.offset)


class ModelConnection:
    """Connection that follows the decisions, without a socket."""

    def __init__(self, member: StutteringMember) -> None:
        self.member = member
        self.alignment = AnswerAlignment()
        assert self.alignment.greet(0, GREETING)
        self.closed = False

    def run(self, request: Request, value: int = 0) -> tuple[Reply | None, Reply | None]:
        """Return the accepted answer and the own one; None for an unknown outcome, or no run."""
        self.member.stutter()
        while self.member.wire:
            reply = self.member.wire.pop(0)
            if self.alignment.judge_unsolicited(0, reply).verdict is Verdict.CLOSE:
                self.closed = True
                return None, None
        own = self.member.answer(request, value)
        accepted = self._read(request)
        self.closed = self.closed or accepted is None
        return accepted, own

    def _read(self, request: Request) -> Reply | None:
        while self.member.wire:
            reply = self.member.wire.pop(0)
            verdict = self.alignment.judge(0, request, reply).verdict
            if verdict is Verdict.ACCEPT:
                return reply
            if verdict is Verdict.CONFIRM:
                return self._confirm(request, reply)
            if verdict is Verdict.CLOSE:
                break
        return None

    def _confirm(self, request: Request, refusal: Reply) -> Reply | None:
        search = Confirmation(self.alignment, request, refusal)
        for number, probe in enumerate(search.probes):
            refusals, self.member.refusals = self.member.refusals, 0.0
            self.member.answer(probe)
            self.member.refusals = refusals
            while search.answered <= number and not search.failed:
                if not self.member.wire:
                    return None
                search.add(0, self.member.wire.pop(0))
        return search.answer if self.alignment.resolve(search) else None
