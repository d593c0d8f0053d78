"""Execution stages of a request, and the outcome that follows from them."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from godwitthread.core.invariants import Promise
from godwitthread.errors import ErrorKind, Outcome

if TYPE_CHECKING:
    from godwitthread.core.invariants import Invariants


class ExecutionStage(IntEnum):
    """Ordered stages of one attempt to run a request on a backend server."""

    NEW = 0
    #: Set before the first byte is written.
    SENT = 1
    ANSWERED = 2


#: Errors by which the backend server reports that it rolled back the statement.
ROLLED_BACK = frozenset({ErrorKind.STATEMENT_FAILED, ErrorKind.IDEMPOTENCY_MISMATCH})


def outcome_of(stage: ExecutionStage, error: ErrorKind | None) -> Outcome:
    """Return the known outcome of a request that ended in a stage, with or without an error."""
    if stage is ExecutionStage.NEW:
        return Outcome.NOT_RUN
    if stage is ExecutionStage.SENT:
        return Outcome.UNKNOWN
    if error is None:
        return Outcome.DONE
    return Outcome.NOT_RUN if error in ROLLED_BACK else Outcome.UNKNOWN


class Attempts:
    """Track all attempts of one request and check its two execution promises."""

    def __init__(self, repeatable: bool, invariants: Invariants) -> None:
        self._repeatable = repeatable
        self._invariants = invariants
        self._stages: list[ExecutionStage] = []
        self._outcomes: list[Outcome] = []

    @property
    def stage(self) -> ExecutionStage:
        """Return the stage of the current attempt."""
        return self._stages[-1] if self._stages else ExecutionStage.NEW

    @property
    def may_send(self) -> bool:
        """Return whether another attempt may be sent."""
        return self._repeatable or not any(self._stages)

    def start(self) -> None:
        """Begin an attempt."""
        self._stages.append(ExecutionStage.NEW)
        self._outcomes.append(Outcome.NOT_RUN)

    def sent(self) -> None:
        """Check AT_MOST_ONCE, then record that the backend server may receive the request."""
        earlier_sent = sum(stage >= ExecutionStage.SENT for stage in self._stages[:-1])
        self._invariants.check(
            Promise.AT_MOST_ONCE,
            self._repeatable or not earlier_sent,
            f'{earlier_sent} earlier attempts were already sent',
        )
        self._stages[-1] = ExecutionStage.SENT
        self._outcomes[-1] = Outcome.UNKNOWN

    def answered(self, error: ErrorKind | None = None) -> Outcome:
        """Record the answer of the backend server and return the outcome of the attempt."""
        self._stages[-1] = ExecutionStage.ANSWERED
        self._outcomes[-1] = outcome_of(ExecutionStage.ANSWERED, error)
        return self._outcomes[-1]

    def outcome(self) -> Outcome:
        """Return the known outcome of the request over all attempts."""
        for outcome in (Outcome.DONE, Outcome.UNKNOWN):
            if outcome in self._outcomes:
                return outcome
        return Outcome.NOT_RUN

    def check_answer(self, outcome: Outcome) -> None:
        """Check TRUTHFUL_NOT_RUN for the outcome that is about to be returned to the caller."""
        holds = outcome is not Outcome.NOT_RUN or self.outcome() is Outcome.NOT_RUN
        self._invariants.check(
            Promise.TRUTHFUL_NOT_RUN,
            holds,
            f'answered not_run, but the known outcome is {self.outcome().value}',
        )
