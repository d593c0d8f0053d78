"""Millisecond clock and detection of pauses of the event loop."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Gap between two ticks of the event loop, in ms, above which the process is considered to have
#: been paused. Leases and freshness evidence must be checked again after a pause.
PAUSE_MS = 500


class Clock:
    """Monotonic and wall clock in ms; both time sources can be replaced."""

    def __init__(
        self,
        monotonic: Callable[[], float] | None = None,
        wall: Callable[[], float] | None = None,
    ) -> None:
        # Not default values of the parameters, so that a process may replace `time.monotonic`
        # and `time.time` before it creates a clock.
        self._monotonic = monotonic or time.monotonic
        self._wall = wall or time.time

    def now_ms(self) -> int:
        """Return the monotonic time in ms."""
        return int(self._monotonic() * 1000)

    def wall_ms(self) -> int:
        """Return the wall time since the epoch in ms."""
        return int(self._wall() * 1000)


class PauseDetector:
    """Detect pauses as gaps between successive ticks of the event loop."""

    def __init__(self, interval_ms: int, pause_ms: int = PAUSE_MS) -> None:
        self._interval_ms = interval_ms
        self._pause_ms = pause_ms
        self._last_ms: int | None = None
        #: Delay of the last tick relative to its schedule, in ms.
        self.lag_ms = 0

    def tick(self, now_ms: int) -> int:
        """Record a tick; return the length in ms of the pause that it ends, or 0."""
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None:
            return 0
        gap_ms = now_ms - last_ms
        self.lag_ms = max(0, gap_ms - self._interval_ms)
        return gap_ms if gap_ms > self._pause_ms else 0
