"""State of the share of one limit at its holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.bucket import MICRO_PER_MILLI, TokenBucket
from godwitthread.core.quota import MILLI_PER_UNIT

if TYPE_CHECKING:
    from godwitthread.core.quota import HolderId, Limit, Share

#: Interval at which an unchanged demand is reported.
REPORT_MS = 2_000
#: Minimum interval between requests for an exhausted share; it doubles up to REPORT_MS
#: until the share grows.
URGENT_MS = 250
#: Window over which demand is measured.
DEMAND_WINDOW_MS = 500


class HeldShare:
    """State of the share of one limit at its holder."""

    def __init__(self, limit: Limit, now_ms: int) -> None:
        self.limit = limit
        self.owner: HolderId | None = None
        #: Share in use.
        self.share: Share | None = None
        #: Smaller share of connections, acknowledged once enough connections are closed.
        self.shrinking: Share | None = None
        #: Version before the owner of the share changed, None if the owner did not change.
        self.moved_from: int | None = None
        self._usable_until_ms: int | None = None
        #: Grants that answer requests up to this number come from an earlier owner or ownership.
        self.last_void_request = 0
        self.requested_ms: int | None = None
        self.reported_demand = -1
        self.urgent = False
        self.urgent_gap_ms = URGENT_MS
        self.demand = 0
        self.open_units = 0
        self.bucket = TokenBucket(0, 0, now_ms)
        self.spent_micro = 0
        self._accrual_start = (now_ms, 0)
        self._window_ms = now_ms
        self._window_count = 0

    @property
    def newest(self) -> Share | None:
        """Return the share that bounds new use."""
        return self.shrinking or self.share

    def usable(self, now_ms: int) -> bool:
        """Return whether the share may be used now."""
        if self.share is None:
            return False
        return self.moved_from is None or (
            self._usable_until_ms is not None and now_ms <= self._usable_until_ms
        )

    def change_owner(
        self, owner: HolderId | None, version: int, usable_until_ms: int | None, number: int
    ) -> None:
        """Record a change of owner, which ends the share unless the new owner adopts it."""
        if self.moved_from is not None:
            # A second change before the first was answered: the next owner cannot adopt the share.
            self.share = None
        self.owner = owner
        self.shrinking = None
        self.last_void_request = number
        self.requested_ms, self.reported_demand = None, -1
        self.moved_from = version
        self.urgent_gap_ms = URGENT_MS
        self._usable_until_ms = usable_until_ms

    def accept(self, now_ms: int, share: Share) -> None:
        """Start using a share; excess open connections keep the previous one in use."""
        if not self.usable(now_ms):
            # The tokens of an ended share may have been granted to another holder.
            self.bucket = TokenBucket(0, 0, now_ms)
        self.moved_from = None
        amount = share.amount
        if self.share is None or not amount.within(self.share.amount):
            self.urgent_gap_ms = URGENT_MS
        if self.limit.whole:
            self.shrinking = share if self.open_units > amount.units else None
            if self.shrinking is None:
                self.share = share
            return
        self.share = share
        self.bucket.resize(now_ms, amount.units, amount.burst)
        self.spent_micro = 0
        self._accrual_start = (now_ms, self.bucket.micro_tokens(now_ms))

    def accrued_micro(self, now_ms: int) -> int:
        """Return the micro-tokens accrued since the share was granted, without the bucket."""
        since_ms, micro = self._accrual_start
        rate = self.share.amount.units if self.share else 0
        return min(micro, self.limit_micro()) + (now_ms - since_ms) * rate

    def limit_micro(self) -> int:
        """Return the burst of the share in micro-tokens."""
        return self.share.amount.burst * MICRO_PER_MILLI if self.share else 0

    def count(self, now_ms: int, n: int) -> None:
        """Count requested units."""
        self.close_window(now_ms)
        self._window_count += n

    def close_window(self, now_ms: int) -> None:
        """Close the demand window; the demand moves an eighth of the way to its rate.

        Reporting the peak gave three times the mean at 15 requests per s, and shares were
        redistributed with every random peak.
        """
        elapsed_ms = now_ms - self._window_ms
        if self.limit.whole or elapsed_ms < DEMAND_WINDOW_MS:
            return
        latest = self._window_count * 1_000 * MILLI_PER_UNIT // elapsed_ms
        weight = min(8, elapsed_ms // DEMAND_WINDOW_MS)
        if latest * 4 < self.demand:
            # A faster decay after a surge frees capacity for other holders.
            weight = max(weight, 3)
        self.demand += (latest - self.demand) * weight // 8
        if self.demand < MILLI_PER_UNIT // 100:
            self.demand = 0
        self._window_ms, self._window_count = now_ms, 0

    def recent_demand(self) -> int:
        """Return the demand, counting the open window as a full one."""
        if self.limit.whole:
            return self.demand
        return max(self.demand, self._window_count * 1_000 * MILLI_PER_UNIT // DEMAND_WINDOW_MS)

    def report_due(self, request_age_ms: int | None) -> bool:
        """Return whether the demand is to be reported to the owner."""
        if request_age_ms is None or self.moved_from is not None:
            return True
        if self.demand == 0:
            return self.reported_demand > 0 or self.share is None
        if abs(self.demand - self.reported_demand) * 4 > max(self.reported_demand, 1):
            return True
        return request_age_ms >= REPORT_MS
