"""Limits and delays of retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

#: Retries earned per request, in thousandths (10%).
RETRY_SHARE_MILLI = 100
#: Additional retries earned per second.
RETRIES_PER_S = 10
#: Maximum number of saved retries. Saving only one second of the constant rate prevents
#: an organisation with little traffic from starting a retry storm when a backend server fails.
MAX_SAVED_RETRIES = 10
#: Upper bound of the first delay; it doubles with every attempt.
BACKOFF_BASE_MS = 25
#: Maximum of the upper bound of a delay.
BACKOFF_MAX_MS = 1_000


class RetryBudget:
    """Limit the retries of one organisation or to one backend server."""

    def __init__(self, now_ms: int) -> None:
        self._balance_milli = MAX_SAVED_RETRIES * 1_000
        self._refilled_ms = now_ms

    def note_request(self, now_ms: int) -> None:
        """Add the retries earned by one request."""
        self._refill(now_ms, RETRY_SHARE_MILLI)

    def available(self, now_ms: int) -> bool:
        """Return whether a retry is available."""
        self._refill(now_ms, 0)
        return self._balance_milli >= 1_000

    def take(self, now_ms: int) -> bool:
        """Take one retry; return False without taking one if the budget is exhausted."""
        if not self.available(now_ms):
            return False
        self._balance_milli -= 1_000
        return True

    def _refill(self, now_ms: int, added_milli: int) -> None:
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        self._refilled_ms = max(self._refilled_ms, now_ms)
        earned_milli = elapsed_ms * RETRIES_PER_S + added_milli
        self._balance_milli = min(MAX_SAVED_RETRIES * 1_000, self._balance_milli + earned_milli)


def backoff_ms(attempt: int, rng: Random) -> int:
    """Return a delay in ms before retry number `attempt` (from 0) with full jitter."""
    bound_ms = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << min(attempt, 16))
    return rng.randint(0, bound_ms)


def may_retry(now_ms: int, delay_ms: int, deadline_ms: int, *budgets: RetryBudget) -> bool:
    """Take a retry from every budget if all have one and the delay ends before the deadline."""
    if now_ms + delay_ms >= deadline_ms:
        return False
    if not all(budget.available(now_ms) for budget in budgets):
        return False
    for budget in budgets:
        budget.take(now_ms)
    return True
