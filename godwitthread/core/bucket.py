"""Token bucket in integer micro-tokens."""

from __future__ import annotations

#: Micro-tokens per milli-token.
MICRO_PER_MILLI = 1_000
#: Micro-tokens per token.
MICRO_PER_TOKEN = 1_000_000


class TokenBucket:
    """Limit a rate with a burst; a new bucket starts empty unless stated."""

    def __init__(
        self, rate_milli_per_s: int, burst_milli: int, now_ms: int = 0, *, full: bool = False
    ) -> None:
        #: Rate in milli-tokens per s, which equals micro-tokens per ms.
        self.rate_milli_per_s = rate_milli_per_s
        #: Capacity in milli-tokens.
        self.burst_milli = burst_milli
        self._tokens_micro = burst_milli * MICRO_PER_MILLI if full else 0
        self._refilled_ms = now_ms

    def take(self, now_ms: int, n: int = 1) -> bool:
        """Take n tokens if available; return whether they were taken."""
        self._refill(now_ms)
        if self._tokens_micro < n * MICRO_PER_TOKEN:
            return False
        self._tokens_micro -= n * MICRO_PER_TOKEN
        return True

    def retry_after_ms(self, now_ms: int, n: int = 1) -> int | None:
        """Return the ms until n tokens are available, None if they never will be."""
        self._refill(now_ms)
        missing_micro = n * MICRO_PER_TOKEN - self._tokens_micro
        if missing_micro <= 0:
            return 0
        if self.rate_milli_per_s <= 0 or n * MICRO_PER_TOKEN > self.burst_milli * MICRO_PER_MILLI:
            return None
        return -(-missing_micro // self.rate_milli_per_s)

    def resize(self, now_ms: int, rate_milli_per_s: int, burst_milli: int) -> None:
        """Change rate and capacity; excess tokens are dropped, added capacity starts empty."""
        self._refill(now_ms)
        self.rate_milli_per_s = rate_milli_per_s
        self.burst_milli = burst_milli
        self._tokens_micro = min(self._tokens_micro, burst_milli * MICRO_PER_MILLI)

    def micro_tokens(self, now_ms: int) -> int:
        """Return the available micro-tokens."""
        self._refill(now_ms)
        return self._tokens_micro

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._refilled_ms
        if elapsed_ms <= 0:
            return
        self._refilled_ms = now_ms
        gained_micro = elapsed_ms * self.rate_milli_per_s
        self._tokens_micro = min(
            self.burst_milli * MICRO_PER_MILLI, self._tokens_micro + gained_micro
        )
