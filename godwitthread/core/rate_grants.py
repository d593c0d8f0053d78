"""Distributed rate limits of organisations: one granter each, and grants that expire."""

from __future__ import annotations

import math
from typing import NamedTuple

from godwitthread.core.bucket import MICRO_PER_TOKEN, TokenBucket

#: Lifetime of a grant. What a holder has not used by then expires, so an unreachable
#: holder can use no more than it was granted within this time.
GRANT_LIFETIME_MS = 500
#: Time for which a holder requests operations in advance at its recent rate, in s.
PREFETCH_S = 0.25
#: Upper bound of the operations requested in advance.
MAX_PREFETCH = 20
#: Share of the burst that a new granter starts with. Several changes of the granter
#: within a few seconds then exceed the limit by less than the tolerated tenth.
INITIAL_BURST_SHARE = 0.2
#: Number of changes of the granter within one window that the tolerated excess covers.
COVERED_CHANGES = 4
#: Share of the tolerated number of operations that changes of the granter may use. The rest is for
#: hedged reads, which reach two members.
SLACK_SHARE = 0.5
#: Retry delay returned when the limit of an organisation is zero, in ms.
ZERO_LIMIT_RETRY_MS = 1_000
#: Upper bound of the time after which a refused caller is asked to return, in ms; callers give up
#: after about a second.
MAX_RETURN_MS = 1_000
#: Factor by which the time between two callers that return falls with each refusal of the granter,
#: unless it is confirmed. The time until the next operation is shorter than that between two.
SPACING_DECAY = 0.9
#: Weight of the newest sample in the moving average of the rate of use.
EWMA_WEIGHT = 0.2


class Grant(NamedTuple):
    """Answer of a granter to a request for operations."""

    amount: int
    #: Time until one more operation can be granted, in ms; 0 with a grant.
    retry_after_ms: int


class RateTolerance(NamedTuple):
    """Excess over the rate of an organisation that is tolerated in any window."""

    window_s: float
    #: Share of the operations that rate and burst allow in a window.
    excess: float
    #: Number of operations beyond that.
    slack: float


def initial_tokens(rate: float, burst: float, tolerance: RateTolerance | None) -> float:
    """Return the operations that a new granter may grant at once.

    The previous granter may have granted the whole burst, so these are part of the tolerated excess
    where it is known.
    """
    if tolerance is None:
        return burst * INITIAL_BURST_SHARE
    excess = tolerance.excess * (rate * tolerance.window_s + burst)
    return min(burst, (excess + SLACK_SHARE * tolerance.slack) / COVERED_CHANGES)


def refill_pause_ms(rate: float, tolerance: RateTolerance | None) -> int:
    """Return the time after its start from which a new granter gains operations, in ms.

    Operations granted before a window may be used in it until they expire. What the slack does not
    cover of these is made up for, so that the bound also holds after the covered changes.
    """
    if tolerance is None or rate <= 0:
        return 0
    uncovered = rate * GRANT_LIFETIME_MS / 1000 - SLACK_SHARE * tolerance.slack
    return max(0, math.ceil(1000 * uncovered / rate / COVERED_CHANGES))


class RateGranter:
    """Distribute the rate of one organisation among the requesting holders.

    Starts with part of the burst, since the previous granter may have granted all of it.
    """

    def __init__(
        self,
        now_ms: int,
        rate: float,
        burst: float,
        tolerance: RateTolerance | None = None,
        left: float = math.inf,
    ) -> None:
        """Take the operations that were left if this instance was the granter shortly before."""
        initial_milli = int(min(left, initial_tokens(rate, burst, tolerance)) * 1000)
        self._refill_ms = now_ms + refill_pause_ms(rate, tolerance)
        self._bucket = TokenBucket(int(rate * 1000), initial_milli, self._refill_ms, full=True)
        self._bucket.resize(now_ms, int(rate * 1000), int(burst * 1000))

    def left(self, now_ms: int) -> float:
        """Return the number of operations that can be granted now."""
        return self._bucket.micro_tokens(now_ms) / MICRO_PER_TOKEN

    def set_limit(self, now_ms: int, rate: float, burst: float) -> None:
        """Apply a changed limit."""
        limit = int(rate * 1000), int(burst * 1000)
        if limit != (self._bucket.rate_milli_per_s, self._bucket.burst_milli):
            self._bucket.resize(now_ms, *limit)

    def grant(self, now_ms: int, needed: int, wanted: float) -> Grant:
        """Grant up to the wanted number of operations, or return the time until one is free."""
        available = self._bucket.micro_tokens(now_ms) // MICRO_PER_TOKEN
        if available < 1:
            wait_ms = self._bucket.retry_after_ms(now_ms) or ZERO_LIMIT_RETRY_MS
            return Grant(0, wait_ms + max(0, self._refill_ms - now_ms))
        # Beyond what it needs now, a holder gets at most half of the remaining tokens, so
        # that requests in advance do not empty the bucket for the other holders.
        prefetch = min(int(wanted) - needed, (available - needed) // 2)
        amount = max(1, min(needed + max(0, prefetch), available))
        self._bucket.take(now_ms, amount)
        return Grant(amount, 0)


class RateHolder:
    """Use the grants of one organisation."""

    def __init__(self) -> None:
        self._tokens = 0
        self._expires_ms = 0
        self._used_per_s = 0.0
        self._last_used_ms = 0
        #: Operations waiting for a grant.
        self.waiting = 0
        #: Time before which the granter has no tokens, in ms.
        self.refused_until_ms = 0
        #: Time between two callers that return, and when the last one was asked to, in ms.
        self._spacing_ms = 0.0
        self._last_return_ms = 0.0

    def take(self, now_ms: int) -> bool:
        """Use one granted operation; return False if a new grant is needed."""
        if now_ms >= self._expires_ms:
            self._tokens = 0
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._record_use(now_ms)
        return True

    def wanted(self) -> float:
        """Return the number of operations to request."""
        return self.waiting + min(MAX_PREFETCH, self._used_per_s * PREFETCH_S)

    def receive(self, sent_ms: int, now_ms: int, grant: Grant) -> None:
        """Record a grant, whose lifetime starts when the request was sent."""
        if grant.amount <= 0:
            self.refused_until_ms = now_ms + grant.retry_after_ms
            self._spacing_ms = max(grant.retry_after_ms, self._spacing_ms * SPACING_DECAY)
            return
        if now_ms >= self._expires_ms:
            self._tokens = 0
        self._tokens += grant.amount
        self._expires_ms = sent_ms + GRANT_LIFETIME_MS

    def next_return_ms(self, now_ms: int) -> int:
        """Return the delay after which a refused caller should return, in ms.

        Callers that return together would find a single operation, and be refused again.
        """
        at_ms = max(self._last_return_ms + self._spacing_ms, self.refused_until_ms)
        self._last_return_ms = min(at_ms, now_ms + MAX_RETURN_MS)
        return max(1, math.ceil(self._last_return_ms - now_ms))

    def _record_use(self, now_ms: int) -> None:
        gap_ms = max(1, now_ms - self._last_used_ms)
        self._last_used_ms = now_ms
        self._used_per_s += (min(1000.0, 1000 / gap_ms) - self._used_per_s) * EWMA_WEIGHT
