"""Decision whether a statement can be answered in time, late, or not at all.

Load that this responds to: the slot time of the statements ahead, against the slots that are left
for the statement's organisation.
"""

from __future__ import annotations

import math
from typing import NamedTuple

#: Time constant of the measured use of slots, in ms; a few objectives, so that short bursts do
#: not count as lasting load.
USE_TIME_CONSTANT_MS = 500
#: The same for the demand that leaves no room for late statements, in ms. A burst of some hundred
#: ms leaves room soon; callers would lose by a refusal what they can still be given late.
LASTING_TIME_CONSTANT_MS = 2_000
#: Share of the slots that late statements get at least. Without it, a late statement that was
#: accepted could wait until its time limit; with more, too few others would be in time.
LATE_SHARE = 0.03
#: Slot time assumed before any member is known, in ms.
INITIAL_SLOT_MS = 15.0
#: Factor on the expected wait of a statement that is to be in time. Without it, a tenth of those
#: accepted became late while they waited, and were refused although they were never offered.
WAIT_MARGIN = 1.2
#: Lower bound of the share of the slots assumed for new operations beside open transactions.
MIN_NEW_SHARE = 0.1


class SlotUse:
    """Moving average of the slots that statements need, from their expected slot time."""

    __slots__ = ('_constant_ms', '_ms', '_updated_ms')

    def __init__(self, constant_ms: int = USE_TIME_CONSTANT_MS) -> None:
        self._constant_ms = constant_ms
        self._ms = 0.0
        self._updated_ms = 0

    def add(self, now_ms: int, slot_ms: float) -> None:
        """Add the slot time of a statement."""
        self._ms = self._decayed(now_ms) + slot_ms
        self._updated_ms = now_ms

    def slots(self, now_ms: int) -> float:
        """Return the average number of slots in use."""
        return self._decayed(now_ms) / self._constant_ms

    def _decayed(self, now_ms: int) -> float:
        elapsed_ms = now_ms - self._updated_ms
        return self._ms * math.exp(-elapsed_ms / self._constant_ms) if self._ms else 0.0


class Backlog(NamedTuple):
    """Statements ahead of a new one, and the slots that serve them."""

    #: Slots of the members that may run the statement, less those of open transactions.
    slots: float
    #: Expected slot time of a statement, in ms.
    slot_ms: float
    #: Statements ahead, of all organisations.
    ahead: int
    #: Slot time of the organisation's own statements ahead, in ms.
    own_ms: float
    #: Number of organisations with waiting statements, including this one.
    organisations: int
    #: Average number of slots that the organisation uses, and that the others need.
    own_slots: float
    others_slots: float
    #: Number of organisations that used slots recently, including this one.
    active: int


def wait_ms(backlog: Backlog, fair: bool) -> float:
    """Return the expected wait of a statement, in ms.

    While organisations share the slots, only an organisation's own statements are ahead, and it
    gets what it has been getting, or an equal share, or what the others leave.
    """
    if not fair:
        return backlog.ahead * backlog.slot_ms / backlog.slots
    left = max(backlog.slots / backlog.active, backlog.slots - backlog.others_slots)
    rate = max(backlog.own_slots, min(backlog.slots / backlog.organisations, left))
    return backlog.own_ms / rate


def late_slots(slots: float, used_slots: float) -> float:
    """Return the slots left for late statements by those in time."""
    return max(LATE_SHARE * slots, slots - used_slots)
