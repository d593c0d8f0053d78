"""Detection of a failure domain that sends statements to other domains for long.

Answers the load pattern of a domain whose members are too few for more than a burst, which
operators should know, without an event for each burst.
"""

from __future__ import annotations

#: Length of a period, and number of consecutive periods that start or end the sending, in ms.
PERIOD_MS = 1_000
PERIODS = 5
#: Share of the statements of a period above which it counts as sending.
START_SHARE = 0.2
#: Share below which it counts as not sending. It is lower, so that a share around one of the limits
#: does not cause one event after the other.
STOP_SHARE = 0.1


class SendingPeriods:
    """Share of the statements that left a failure domain although any member could run them."""

    def __init__(self, now_ms: int) -> None:
        self.sending = False
        #: Share in the last period.
        self.share = 0.0
        self._begin_ms = now_ms
        self._left = self._total = 0
        self._periods = 0

    def record(self, left: bool) -> None:
        """Record a statement, and whether it left the domain."""
        self._total += 1
        self._left += left

    def tick(self, now_ms: int) -> bool:
        """Evaluate a period that has ended; return whether the sending started or stopped."""
        if now_ms - self._begin_ms < PERIOD_MS:
            return False
        self.share = self._left / self._total if self._total else 0.0
        self._begin_ms, self._left, self._total = now_ms, 0, 0
        changes = self.share < STOP_SHARE if self.sending else self.share > START_SHARE
        self._periods = self._periods + 1 if changes else 0
        if self._periods < PERIODS:
            return False
        self.sending, self._periods = not self.sending, 0
        return True
