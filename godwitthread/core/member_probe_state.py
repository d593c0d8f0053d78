"""Schedule and results of the probes of one member of a database group."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from godwitthread.types import MemberReport

#: Jitter of periodic calls, as a fraction of the interval.
JITTER_SHARE = 0.1
#: Minimum time between two probes of one member, also when errors are reported.
MIN_PROBE_GAP_MS = 50
#: Delay before the next probe after a failed one. With a shorter delay the same brief
#: disturbance would fail both probes.
REPROBE_DELAY_MS = 100


class MemberProbeState:
    """Schedule the probes of one member and store its newest report."""

    def __init__(self, now_ms: int, interval_ms: int, timeout_ms: int, rng: Random) -> None:
        self._interval_ms = interval_ms
        self._timeout_ms = timeout_ms
        self._rng = rng
        self._next_ms = now_ms + rng.randrange(max(1, interval_ms // 4))
        self._sent_ms: int | None = None
        self._last_sent_ms = now_ms - MIN_PROBE_GAP_MS
        #: Newest report, by request time.
        self.report: MemberReport | None = None
        #: Time of the last answer, None before the first one.
        self.answered_ms: int | None = None
        #: Start of the current period without an answer.
        self.silent_since_ms = now_ms
        #: Failed probes since the last answer.
        self.failures = 0
        #: Time since which the member has not followed the current primary, None while it does.
        self.misdirected_since_ms: int | None = None
        #: Earliest time of the next follow request.
        self.follow_after_ms = now_ms

    def start_if_due(self, now_ms: int) -> bool:
        """Return whether a probe is due; if so, record it as sent."""
        if self._sent_ms is not None and now_ms - self._sent_ms < 2 * self._timeout_ms:
            return False
        if now_ms < self._next_ms:
            return False
        self._sent_ms = self._last_sent_ms = now_ms
        self._next_ms = now_ms + jittered(self._interval_ms, self._rng)
        return True

    def expedite_probe(self, now_ms: int) -> None:
        """Schedule the next probe as early as the minimum gap permits."""
        self._next_ms = min(self._next_ms, max(now_ms, self._last_sent_ms + MIN_PROBE_GAP_MS))

    def succeeded(self, now_ms: int, report: MemberReport) -> bool:
        """Store a report; return False if a newer one is known."""
        if self.report is not None and report.requested_ms < self.report.requested_ms:
            return False
        self.report = report
        self.answered_ms = self.silent_since_ms = now_ms
        self.failures = 0
        self._sent_ms = None
        return True

    def failed(self, now_ms: int) -> None:
        """Record a failed probe and schedule the next one."""
        self.failures += 1
        self._sent_ms = None
        self._next_ms = min(self._next_ms, now_ms + REPROBE_DELAY_MS)

    def reset_failures(self, now_ms: int) -> None:
        """Clear the failures and restart the period without an answer."""
        self.failures = 0
        self.silent_since_ms = now_ms
        self._sent_ms = None

    def promised_term(self) -> int:
        """Return the newest term that the member is known to have promised, 0 without a report."""
        return self.report.promised.term if self.report is not None else 0


def jittered(interval_ms: int, rng: Random) -> int:
    """Return the interval with a random deviation of up to 10% in either direction."""
    return round(interval_ms * rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE))
