"""Clock in whole milliseconds."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: A gap between two readings of the ticker over this many ms counts as a pause
#: of the process, after which leases and evidence are checked again.
PAUSE_MS = 500


class Clock:
    """Read monotonic and wall time in ms; both sources can be replaced."""

    def __init__(
        self,
        monotonic: Callable[[], float] | None = None,
        wall: Callable[[], float] | None = None,
    ) -> None:
        # Read here and not as defaults, so that a process may replace both sources.
        self._monotonic = monotonic or time.monotonic
        self._wall = wall or time.time

    def now_ms(self) -> int:
        """Return the monotonic time in ms."""
        return int(self._monotonic() * 1000)

    def wall_ms(self) -> int:
        """Return the wall time since the epoch in ms."""
        return int(self._wall() * 1000)


class PauseDetector:
    """Detect gaps between successive ticks of the event loop."""

    def __init__(self, interval_ms: int, pause_ms: int = PAUSE_MS) -> None:
        self._interval_ms = interval_ms
        self._pause_ms = pause_ms
        self._last_ms: int | None = None
        #: Lag of the last tick behind its schedule, in ms.
        self.lag_ms = 0

    def tick(self, now_ms: int) -> int:
        """Return the length of a pause that just ended in ms, or 0."""
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None:
            return 0
        gap_ms = now_ms - last_ms
        self.lag_ms = max(0, gap_ms - self._interval_ms)
        return gap_ms if gap_ms > self._pause_ms else 0
