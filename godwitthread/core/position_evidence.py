"""Positions that the primary of a group is known to have reached, with their times."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from godwitthread.types import Position

#: Safety margin added to the age of evidence for a read. It covers the time until the read
#: reaches the member, including the wait for a slot.
AGE_MARGIN_MS = 250
#: Minimum time between two stored samples; a shorter one would only add entries.
SAMPLE_INTERVAL_MS = 50
#: Retention time of samples. It exceeds the longest accepted age of any route.
SAMPLE_RETENTION_MS = 60_000


class PositionSample(NamedTuple):
    """Position of a member at a time at which it is known to have been the primary."""

    #: Time at which the statement that proved the position was sent, in ms. The position
    #: covers every commit that was acknowledged before that time.
    sent_ms: int
    position: Position


class PositionEvidence:
    """Record positions of the primary that show which commits a log must contain."""

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque()
        #: Newest position observed on the primary.
        self.newest: Position | None = None
        #: First position observed in the newest term; it covers all earlier terms.
        self.term_start: Position | None = None

    def record(self, sent_ms: int, position: Position) -> None:
        """Record the position of a member that has proved to be the primary."""
        if self.newest is not None and position < self.newest:
            return
        if self.newest is None or position.term > self.newest.term:
            self.term_start = position
        self.newest = position
        last = self._samples[-1] if self._samples else None
        if last is not None and sent_ms < last.sent_ms + SAMPLE_INTERVAL_MS:
            return
        self._samples.append(PositionSample(sent_ms, position))
        while self._samples[0].sent_ms < sent_ms - SAMPLE_RETENTION_MS:
            self._samples.popleft()

    def position_bound(self, now_ms: int, max_age_ms: int) -> Position | None:
        """Return a position that covers every commit older than the accepted age.

        Return None if no evidence is recent enough.
        """
        oldest_ms = now_ms - max_age_ms + AGE_MARGIN_MS
        found = None
        for sample in reversed(self._samples):
            if sample.sent_ms < oldest_ms:
                break
            found = sample.position
        return found

    def reached_ms(self, now_ms: int, position: Position) -> int:
        """Return when the primary was first known to have a position, `now_ms` if unknown."""
        reached_ms = now_ms
        for sample in reversed(self._samples):
            if sample.position < position:
                break
            reached_ms = sample.sent_ms
        return reached_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the newest evidence, None if there is none."""
        return now_ms - self._samples[-1].sent_ms if self._samples else None

    def required_position(self, *positions: Position | None) -> Position | None:
        """Return the position that covers all given ones on the current history.

        A position of an earlier term may be on a branch that was rolled back, so that no
        current log contains it. The start of the newest term covers what was kept of it.
        """
        known = max((position for position in positions if position is not None), default=None)
        if known is None or self.newest is None or known.term >= self.newest.term:
            return known
        return self.term_start
