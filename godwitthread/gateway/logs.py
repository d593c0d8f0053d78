"""Structured log of one gateway process, rate-limited under load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.core.bucket import TokenBucket

if TYPE_CHECKING:
    from godwitthread.clock import Clock
    from godwitthread.events import EventLog

#: Maximum rate of log lines about failed requests per second, and the burst. A line takes about
#: 30 us of processor time, so a flood of failures costs at most 0.2% of a core.
FAILURES_PER_S = 60
FAILURE_BURST = 300
#: One in this many successful requests is logged.
SUCCESS_SAMPLE = 256
#: Maximum length of a text of a failure, in characters. Messages of members have up to 1 MiB, and
#: events are kept in memory.
MAX_TEXT = 500


class Log:
    """Write events; failures beyond the rate limit are only counted."""

    def __init__(self, events: EventLog, clock: Clock) -> None:
        self._events = events
        self._clock = clock
        self._bucket = TokenBucket(
            FAILURES_PER_S * 1_000, FAILURE_BURST * 1_000, clock.now_ms(), full=True
        )
        self._suppressed = 0
        self._successes = 0

    def event(self, name: str, **fields: Any) -> None:
        """Write an event, such as a state change, without a rate limit."""
        self._events.emit(name, **fields)

    def failure(self, name: str, **fields: Any) -> None:
        """Write a failure, with the number of failures suppressed before it."""
        if not self._bucket.take(self._clock.now_ms()):
            self._suppressed += 1
            return
        if self._suppressed:
            fields['suppressed'], self._suppressed = self._suppressed, 0
        for field, value in fields.items():
            if isinstance(value, str):
                fields[field] = value[:MAX_TEXT]
        self._events.emit(name, **fields)

    def success(self, name: str, **fields: Any) -> None:
        """Write a sample of the successes."""
        self._successes += 1
        if self._successes % SUCCESS_SAMPLE == 1:
            self._events.emit(name, sampled=SUCCESS_SAMPLE, **fields)
