"""Static equal shares of every limit, the baseline for the division by demand."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.core.bucket import TokenBucket
from godwitthread.core.quota import MILLI_PER_UNIT, ZERO_AMOUNT, Admission, Amount

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from godwitthread.core.quota import HolderId, Limit, ShareBatch, ShareGrant
    from godwitthread.types import Seat

#: Retry delay returned to callers when the share is too small to ever admit a request.
REFUSED_RETRY_MS = 1_000


class EqualShares:
    """Use 1/n of every limit; replaces ShareHolder and exchanges no messages."""

    def __init__(self, seat: HolderId) -> None:
        self._seat = seat
        self._amounts: dict[str, Amount] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def adopt(
        self, now_ms: int, version: int, seats: Sequence[Seat], limits: Iterable[Limit], **_: Any
    ) -> None:
        """Divide every limit by the number of seats; no share without a seat."""
        seated = any((seat.name, seat.incarnation) == self._seat for seat in seats)
        self._amounts = {
            limit.resource: _equal_share(limit, len(seats)) for limit in (limits if seated else ())
        }
        for resource, amount in self._amounts.items():
            bucket = self._buckets.setdefault(resource, TokenBucket(0, 0, now_ms))
            bucket.resize(now_ms, amount.units, amount.burst)

    def on_grant(self, now_ms: int, grant: ShareGrant) -> None:
        """Ignore grants."""

    def admit(self, now_ms: int, resource: str, n: int = 1, *, fresh: bool = True) -> Admission:
        """Take n units of the local share of a rate; raise KeyError for an unknown resource."""
        if resource not in self._amounts:
            raise KeyError(resource)
        bucket = self._buckets[resource]
        if fresh and bucket.take(now_ms, n):
            return Admission(True)
        retry_ms = bucket.retry_after_ms(now_ms, n)
        return Admission(False, REFUSED_RETRY_MS if retry_ms is None else retry_ms)

    def local_share(self, now_ms: int, resource: str, *, fresh: bool = True) -> Amount:
        """Return the local share of a limit."""
        return self._amounts.get(resource, ZERO_AMOUNT) if fresh else ZERO_AMOUNT

    def has_shares(self, now_ms: int, resources: Iterable[str]) -> bool:
        """Return whether there is a share of each of the given limits."""
        return all(resource in self._amounts for resource in resources)

    def set_use(self, now_ms: int, resource: str, open_units: int, demand_units: int) -> None:
        """Ignore demand."""

    def release(self) -> None:
        """Stop using all shares."""
        self._amounts.clear()

    def step(self, now_ms: int) -> list[ShareBatch]:
        """Return no messages."""
        return []


def _equal_share(limit: Limit, count: int) -> Amount:
    units = limit.amount.units // count
    # A burst of less than one whole token would never admit a request.
    burst = 0 if limit.whole else max(MILLI_PER_UNIT, limit.amount.burst // count)
    return Amount(units, burst)
