"""Shares held by one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core import rendezvous
from godwitthread.core.bucket import MICRO_PER_TOKEN, TokenBucket
from godwitthread.core.invariants import Promise
from godwitthread.core.quota import (
    MILLI_PER_UNIT,
    ZERO_AMOUNT,
    Admission,
    Amount,
    HolderId,
    ShareAck,
    ShareBatch,
    ShareRequest,
)
from godwitthread.core.quota_held import REPORT_MS, HeldShare

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from godwitthread.core.invariants import Invariants
    from godwitthread.core.quota import Limit, ShareGrant, ShareMessage
    from godwitthread.types import Seat

#: Minimum interval between regular batches to one owner.
BATCH_MS = 500
#: Interval at which the release of a share is repeated, because a message may be lost.
RELEASE_MS = 100
#: Maximum rate of entries in all regular reports; bounds the traffic at the target size,
#: since an entry takes about 100 bytes.
REPORTS_PER_S = 16
#: Retry delay returned to callers while a share is being requested.
PENDING_RETRY_MS = 50
#: Retry delay returned to callers when no share can be obtained.
REFUSED_RETRY_MS = 1_000


class ShareHolder:
    """Hold the shares used by one instance and request changes from their owners."""

    def __init__(self, seat: HolderId, invariants: Invariants) -> None:
        self._seat = seat
        self._invariants = invariants
        self._version = 0
        self._number = 0
        self._held: dict[str, HeldShare] = {}
        self._acks: list[tuple[str, ShareAck]] = []
        self._next_batch_ms: dict[str, int] = {}
        self._released = False
        self._reports = TokenBucket(REPORTS_PER_S * MILLI_PER_UNIT, 2 * REPORTS_PER_S * 1_000)

    def adopt(
        self,
        now_ms: int,
        version: int,
        seats: Sequence[Seat],
        limits: Iterable[Limit],
        *,
        unbroken: bool = True,
        owner_of: Callable[[str], Seat | None] | None = None,
        usable_until_ms: int | None = None,
    ) -> None:
        """Apply a version; shares whose owner changed stay usable until the given time.

        That time is `FreshnessState.usable_until_ms` before the change: until then the new
        owner cannot have granted the share to others. An instance without a seat has no share.
        """
        seated = any((seat.name, seat.incarnation) == self._seat for seat in seats)
        wanted = {limit.resource: limit for limit in limits} if seated else {}
        for resource in self._held.keys() - wanted.keys():
            del self._held[resource]
        for resource, limit in wanted.items():
            held = self._held.setdefault(resource, HeldShare(limit, now_ms))
            held.limit = limit
            seat = owner_of(resource) if owner_of else rendezvous.owner(resource, seats)
            owner = HolderId(seat.name, seat.incarnation) if seat else None
            if owner != held.owner or not unbroken:
                held.change_owner(owner, self._version, usable_until_ms, self._number)
        self._version = version

    @property
    def resources(self) -> frozenset[str]:
        """Return the resources that `admit` accepts."""
        return frozenset(self._held)

    def has_shares(self, now_ms: int, resources: Iterable[str]) -> bool:
        """Return whether a share of each of the given limits may be used."""
        return all(
            resource in self._held and self._held[resource].usable(now_ms) for resource in resources
        )

    def release(self) -> None:
        """Stop using all shares; the following steps return them to their owners."""
        self._released = True
        self._acks.clear()
        for held in self._held.values():
            held.requested_ms = None

    def on_grant(self, now_ms: int, grant: ShareGrant) -> None:
        """Handle a grant from an owner."""
        held = self._held.get(grant.resource)
        if self._released or held is None or (grant.holder, grant.incarnation) != self._seat:
            return
        share_id = grant.share.id
        if (share_id.owner, share_id.owner_incarnation) != held.owner:
            return
        if grant.answers <= held.last_void_request:
            return
        newest = held.newest
        if held.moved_from is None and newest is not None:
            if (share_id.epoch, share_id.sequence) < (newest.id.epoch, newest.id.sequence):
                return
            if share_id == newest.id:
                self._acknowledge(grant.resource, held)
                return
        held.accept(now_ms, grant.share)
        self._acknowledge(grant.resource, held)

    def admit(self, now_ms: int, resource: str, n: int = 1, *, fresh: bool = True) -> Admission:
        """Take n units of a rate; raise KeyError for an unknown resource."""
        held = self._held[resource]
        held.count(now_ms, n)
        if self._released or not fresh or not held.usable(now_ms):
            held.urgent = True
            return Admission(False, PENDING_RETRY_MS, fresh)
        if held.bucket.take(now_ms, n):
            held.spent_micro += n * MICRO_PER_TOKEN
            self._invariants.check(
                Promise.RATE_BOUND, held.spent_micro <= held.accrued_micro(now_ms), resource
            )
            return Admission(True)
        held.urgent = True
        if n * MILLI_PER_UNIT > held.limit.amount.burst:
            return Admission(False, REFUSED_RETRY_MS)
        retry_ms = held.bucket.retry_after_ms(now_ms, n)
        return Admission(False, PENDING_RETRY_MS if retry_ms is None else retry_ms, True)

    def local_share(self, now_ms: int, resource: str, *, fresh: bool = True) -> Amount:
        """Return the share of a limit that this instance may use now."""
        held = self._held.get(resource)
        if self._released or held is None or held.newest is None:
            return ZERO_AMOUNT
        if not fresh or not held.usable(now_ms):
            return ZERO_AMOUNT
        return held.newest.amount

    def set_use(self, now_ms: int, resource: str, open_units: int, demand_units: int) -> None:
        """Set the open connections (including opening and closing ones) and the demand."""
        held = self._held.get(resource)
        if held is None:
            return
        held.open_units = open_units
        held.demand = demand_units
        share = self.local_share(now_ms, resource).units
        held.urgent = held.urgent or demand_units > share
        if held.shrinking is not None and not self._released:
            self._acknowledge(resource, held)

    def step(self, now_ms: int) -> list[ShareBatch]:
        """Return the requests and acknowledgements to send."""
        if self._released:
            return self._release_batches(now_ms)
        outgoing: dict[str, list[ShareMessage]] = {}
        for to, ack in self._acks:
            outgoing.setdefault(to, []).append(ack)
        self._acks.clear()
        regular: set[str] = set()
        for resource, held in self._held.items():
            held.close_window(now_ms)
            if held.owner is None or not self._request_due(now_ms, held, regular):
                continue
            outgoing.setdefault(held.owner.name, []).append(self._request(now_ms, resource, held))
        for to in regular:
            self._next_batch_ms[to] = now_ms + BATCH_MS
        return [ShareBatch(to, tuple(messages)) for to, messages in outgoing.items()]

    def _release_batches(self, now_ms: int) -> list[ShareBatch]:
        outgoing: dict[str, list[ShareMessage]] = {}
        for resource, held in self._held.items():
            due = held.requested_ms is None or now_ms - held.requested_ms >= RELEASE_MS
            # Open connections still use the share.
            if held.owner is None or held.open_units or not due:
                continue
            self._number += 1
            held.requested_ms = now_ms
            request = ShareRequest(
                resource, *self._seat, self._number, self._version, 0, None, released=True
            )
            outgoing.setdefault(held.owner.name, []).append(request)
        return [ShareBatch(to, tuple(messages)) for to, messages in outgoing.items()]

    def _request_due(self, now_ms: int, held: HeldShare, regular: set[str]) -> bool:
        request_age_ms = now_ms - held.requested_ms if held.requested_ms is not None else None
        if held.urgent and (request_age_ms is None or request_age_ms >= held.urgent_gap_ms):
            # Repeated requests have no effect while the limit itself is exhausted.
            held.urgent_gap_ms = min(2 * held.urgent_gap_ms, REPORT_MS)
            return True
        assert held.owner is not None
        if now_ms < self._next_batch_ms.get(held.owner.name, 0) or not held.report_due(
            request_age_ms
        ):
            return False
        if not self._reports.take(now_ms):
            return False
        regular.add(held.owner.name)
        return True

    def _request(self, now_ms: int, resource: str, held: HeldShare) -> ShareRequest:
        self._number += 1
        demand = held.demand
        share = held.share if held.usable(now_ms) else None
        if held.urgent:
            demand = max(demand, held.recent_demand())
        surge = share is not None and demand * 4 > share.amount.units * 3
        if held.urgent and surge and not held.limit.whole and share is not None:
            # The measured demand lags behind a surge, so request a quarter more. An empty
            # bucket at a low rate is not a surge.
            demand = max(demand, share.amount.units * 5 // 4)
        urgent = held.urgent
        held.requested_ms, held.reported_demand, held.urgent = now_ms, demand, False
        return ShareRequest(
            resource,
            self._seat.name,
            self._seat.incarnation,
            self._number,
            self._version,
            demand,
            share,
            urgent=urgent,
            moved_from=held.moved_from,
        )

    def _acknowledge(self, resource: str, held: HeldShare) -> None:
        if held.shrinking is not None:
            if held.open_units > held.shrinking.amount.units:
                return
            held.share, held.shrinking = held.shrinking, None
        if held.share is None or held.owner is None:
            return
        ack = ShareAck(resource, self._seat.name, self._seat.incarnation, held.share.id)
        self._acks.append((held.owner.name, ack))
