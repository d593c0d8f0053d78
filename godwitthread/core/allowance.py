"""Rates of organisations over all instances: one granter each, and shares that end."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.core.bucket import MICRO_PER_TOKEN, TokenBucket

#: Life of a granted share. What a holder does not use in this time is lost, and an
#: unreachable holder can use no more than it was granted in this time.
GRANT_MS = 500
#: Part of a second for which a holder asks ahead at its recent rate.
AHEAD_S = 0.25
#: Most that is asked ahead.
MOST_AHEAD = 20
#: Share of the burst that a new granter may give at once. Several changes of the granter
#: within a few seconds then stay below the tolerance of a tenth.
FIRST_SHARE = 0.2
#: Delay named when an organisation may do nothing at all, in ms.
NOTHING_RETRY_MS = 1_000
#: Weight of the newest sample in the average of the rate of use.
NEWEST_SHARE = 0.2


class Grant(NamedTuple):
    """Answer of a granter."""

    amount: int
    #: Time until one more operation can be granted, in ms; 0 with a grant.
    retry_after_ms: int


class RateGranter:
    """Divide the rate of one organisation among all that ask.

    It starts with part of the burst, since the granter before it may have given the burst.
    """

    def __init__(self, now_ms: int, rate: float, burst: float) -> None:
        first = int(burst * FIRST_SHARE * 1000)
        self._bucket = TokenBucket(int(rate * 1000), first, now_ms, full=True)
        self._bucket.resize(now_ms, int(rate * 1000), int(burst * 1000))

    def change(self, now_ms: int, rate: float, burst: float) -> None:
        """Put another limit in force."""
        limit = int(rate * 1000), int(burst * 1000)
        if limit != (self._bucket.rate_milli_per_s, self._bucket.burst_milli):
            self._bucket.resize(now_ms, *limit)

    def grant(self, now_ms: int, needed: int, wanted: float) -> Grant:
        """Give up to the wanted number of operations, or the time until one can be given."""
        available = self._bucket.micro_tokens(now_ms) // MICRO_PER_TOKEN
        if available < 1:
            return Grant(0, self._bucket.retry_after_ms(now_ms) or NOTHING_RETRY_MS)
        # Beyond what is needed now, a holder gets no more than half of the rest, so
        # that one that asks ahead does not empty the bucket for the others.
        ahead = min(int(wanted) - needed, (available - needed) // 2)
        amount = max(1, min(needed + max(0, ahead), available))
        self._bucket.take(now_ms, amount)
        return Grant(amount, 0)


class RateHolder:
    """Use what was granted for one organisation."""

    def __init__(self) -> None:
        self._tokens = 0
        self._until_ms = 0
        self._per_s = 0.0
        self._used_ms = 0
        #: Operations that wait for a grant.
        self.waiting = 0
        #: Time before which the granter has nothing, in ms.
        self.refused_until_ms = 0

    def take(self, now_ms: int) -> bool:
        """Use the grant for one operation; False if a new one is needed."""
        if now_ms >= self._until_ms:
            self._tokens = 0
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._note_use(now_ms)
        return True

    def wanted(self) -> float:
        """Return how much to ask for."""
        return self.waiting + min(MOST_AHEAD, self._per_s * AHEAD_S)

    def receive(self, sent_ms: int, now_ms: int, grant: Grant) -> None:
        """Record a grant; its life counts from the request."""
        if grant.amount <= 0:
            self.refused_until_ms = now_ms + grant.retry_after_ms
            return
        if now_ms >= self._until_ms:
            self._tokens = 0
        self._tokens += grant.amount
        self._until_ms = sent_ms + GRANT_MS

    def _note_use(self, now_ms: int) -> None:
        gap_ms = max(1, now_ms - self._used_ms)
        self._used_ms = now_ms
        self._per_s += (min(1000.0, 1000 / gap_ms) - self._per_s) * NEWEST_SHARE
