"""Service times of a member by kind of statement.

Load that this responds to: a mix of statements of different cost, and members that slow down.
"""

from __future__ import annotations

from enum import IntEnum

#: Weight of the newest sample in moving averages.
EWMA_WEIGHT = 0.1


class Kind(IntEnum):
    """Kinds of statements with service times of their own."""

    READ = 0
    WRITE = 1
    #: Statement of an open transaction.
    TRANSACTION = 2
    #: COMMIT of an open transaction.
    COMMIT = 3


class ServiceTimes:
    """Moving averages of the time to an answer, and of the time for which a slot is held."""

    def __init__(self) -> None:
        self._answer_ms: dict[Kind, float] = {}
        self._slot_ms: dict[Kind, float] = {}

    def record(self, kind: Kind, answer_ms: float, slot_share: float) -> float:
        """Record the time to an answer; return the part of it in which a slot was held, in ms."""
        answered = self._answer_ms.get(kind, answer_ms)
        self._answer_ms[kind] = answered + (answer_ms - answered) * EWMA_WEIGHT
        held_ms = answer_ms * slot_share
        held = self._slot_ms.get(kind, held_ms)
        self._slot_ms[kind] = held + (held_ms - held) * EWMA_WEIGHT
        return held_ms

    def answer_ms(self, kind: Kind, default_ms: float) -> float:
        """Return the expected time from sending to the answer, in ms."""
        return self._answer_ms.get(kind, default_ms)

    def slot_ms(self, kind: Kind, default_ms: float) -> float:
        """Return the expected time for which a statement holds a slot, in ms."""
        return self._slot_ms.get(kind, default_ms)
