"""Division of limits among holders by the owning instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core import rendezvous
from godwitthread.core.invariants import Promise
from godwitthread.core.quota import (
    ZERO_AMOUNT,
    Amount,
    HolderId,
    Share,
    ShareBatch,
    ShareGrant,
    ShareId,
)
from godwitthread.core.quota_ledger import HolderEntry, Ledger, Ownership, ShareEpoch

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from godwitthread.core.invariants import Invariants
    from godwitthread.core.quota import Limit, ShareAck, ShareMessage, ShareRequest
    from godwitthread.types import Seat

#: Divisions are spaced by one ms per this many holders; bounds the processor time of an
#: owner with many holders.
HOLDERS_PER_MS = 2
#: Number of holders up to which every message triggers a division at once.
IMMEDIATE_DIVISION_MAX_HOLDERS = 32


class ShareOwner:
    """Divide every limit owned by one seat."""

    def __init__(self, seat: HolderId, invariants: Invariants) -> None:
        self._seat = seat
        self._invariants = invariants
        self._version = 0
        self._holders: frozenset[HolderId] = frozenset()
        self._ownerships: dict[str, Ownership] = {}
        self._ledgers: dict[str, Ledger] = {}
        self._retired: set[str] = set()
        self._sequence = 0

    def adopt(
        self,
        now_ms: int,
        version: int,
        seats: Sequence[Seat],
        limits: Iterable[Limit],
        *,
        unbroken: bool = True,
        owner_of: Callable[[str], Seat | None] | None = None,
    ) -> None:
        """Apply a version.

        `unbroken` states that no roster between the previous version and this one was
        missed. After a gap the ownership may have moved away and back, so previously known
        shares count as in use, and no grants are made for a time.
        """
        unbroken = unbroken and self._version > 0
        # A limit may have been added and removed in a skipped version.
        consecutive = unbroken and version == self._version + 1
        self._version = version
        self._holders = frozenset(HolderId(seat.name, seat.incarnation) for seat in seats)
        wanted = {limit.resource: limit for limit in limits}
        for resource in self._ownerships.keys() - wanted.keys():
            del self._ownerships[resource]
            self._ledgers.pop(resource, None)
            self._retired.add(resource)
        for limit in wanted.values():
            resource = limit.resource
            chosen = owner_of(resource) if owner_of else rendezvous.owner(resource, seats)
            self._update_owner(limit, chosen, unbroken=unbroken, consecutive=consecutive)
        for ledger in self._ledgers.values():
            ledger.remove_absent(self._holders, version)

    def on_settled(self, now_ms: int, version: int) -> None:
        """Record that a version has settled, which starts the quarantine of its changes."""
        for ledger in self._ledgers.values():
            ledger.settle(now_ms, version)

    def on_request(self, now_ms: int, request: ShareRequest) -> None:
        """Handle the demand and the held share of a holder."""
        ledger = self._ledgers.get(request.resource)
        holder = HolderId(request.holder, request.incarnation)
        if ledger is None or holder not in self._holders:
            return
        # A holder at an earlier or newer version may have another owner for this limit.
        if not ledger.min_version <= request.version <= self._version:
            return
        entry = ledger.request(now_ms, holder, request)
        if entry is not None and not ledger.suspended and entry.needs_reissue(request):
            self._issue(ledger, entry, entry.acked)

    def on_ack(self, now_ms: int, ack: ShareAck) -> None:
        """Handle the acknowledgement of a share."""
        ledger = self._ledgers.get(ack.resource)
        entry = ledger and ledger.entries.get(HolderId(ack.holder, ack.incarnation))
        if ledger and entry:
            entry.confirm(ack.id)
            ledger.dirty = True

    def step(self, now_ms: int, fresh: bool) -> list[ShareBatch]:
        """Return the grants to send, none while not fresh; call after messages and ticks."""
        outgoing: dict[str, list[ShareMessage]] = {}
        for ledger in self._ledgers.values():
            ledger.free(now_ms)
            if not fresh or ledger.suspended:
                continue
            if ledger.dirty and now_ms >= ledger.next_division_ms:
                self._divide(now_ms, ledger)
            for holder, entry in ledger.entries.items():
                if entry.due(now_ms):
                    outgoing.setdefault(holder.name, []).append(_grant(ledger, holder, entry))
        return [ShareBatch(to, tuple(messages)) for to, messages in outgoing.items()]

    def owned(self) -> frozenset[str]:
        """Return the resources whose limits this seat owns."""
        return frozenset(self._ledgers)

    def in_use(self, resource: str) -> Amount | None:
        """Return the sum of the shares that may be in use, None if not the owner."""
        ledger = self._ledgers.get(resource)
        return ledger.in_use() if ledger else None

    def _update_owner(
        self, limit: Limit, chosen: Seat | None, *, unbroken: bool, consecutive: bool
    ) -> None:
        owner = HolderId(chosen.name, chosen.incarnation) if chosen else None
        last = self._ownerships.get(limit.resource)
        is_new = last is None and consecutive and limit.resource not in self._retired
        if last is None or last.owner != owner or not unbroken:
            self._ownerships[limit.resource] = Ownership(owner, self._version)
            if last is None or last.owner != owner:
                self._ledgers.pop(limit.resource, None)
        if owner != self._seat:
            return
        ledger = self._ledgers.get(limit.resource)
        if ledger is None:
            adopted = last if unbroken else None
            ledger = Ledger(limit, ShareEpoch(self._seat, self._version), adopted)
            ledger.adopted_amount = limit.amount if is_new else ZERO_AMOUNT
            ledger.frozen = not is_new
            self._ledgers[limit.resource] = ledger
        elif not unbroken:
            ledger.suspend(self._version)
        ledger.dirty = ledger.dirty or ledger.limit != limit
        ledger.limit = limit

    def _divide(self, now_ms: int, ledger: Ledger) -> None:
        ledger.dirty = False
        count = len(ledger.entries)
        if count > IMMEDIATE_DIVISION_MAX_HOLDERS:
            ledger.next_division_ms = now_ms + count // HOLDERS_PER_MS
        targets = ledger.targets(now_ms)
        if not targets:
            return
        before = ledger.in_use()
        for holder, target in targets.items():
            entry = ledger.entries[holder]
            if target.within(entry.granted) and target != entry.granted:
                self._issue(ledger, entry, target)
        self._grow(ledger, targets)
        bound = ledger.available().component_max(before)
        total = ledger.in_use()
        self._invariants.check(
            Promise.RATE_BOUND,
            total.within(bound),
            f'{ledger.limit.resource}: shares {total} exceed {bound}',
        )

    def _grow(self, ledger: Ledger, targets: dict[HolderId, Amount]) -> None:
        available, total = ledger.available(), ledger.in_use()
        free = Amount(max(0, available.units - total.units), max(0, available.burst - total.burst))
        for holder in sorted(
            targets, key=lambda h: ledger.entries[h].scarcity_rank(targets[h]), reverse=True
        ):
            entry, target = ledger.entries[holder], targets[holder]
            if entry.pending is not None or target.within(entry.acked):
                continue
            raised = Amount(
                min(target.units, entry.acked.units + free.units),
                min(target.burst, entry.acked.burst + free.burst),
            )
            # A shrinking component stays in use until it is acknowledged.
            used = raised.component_max(entry.acked)
            free = Amount(
                free.units - used.units + entry.acked.units,
                free.burst - used.burst + entry.acked.burst,
            )
            if raised != entry.acked:
                self._issue(ledger, entry, raised)

    def _issue(self, ledger: Ledger, entry: HolderEntry, amount: Amount) -> None:
        if entry.pending is not None:
            return
        self._sequence += 1
        seat = self._seat
        share_id = ShareId(seat.name, seat.incarnation, ledger.epoch, self._sequence)
        entry.give(Share(share_id, amount))


def _grant(ledger: Ledger, holder: HolderId, entry: HolderEntry) -> ShareGrant:
    assert entry.pending is not None
    return ShareGrant(
        ledger.limit.resource, holder.name, holder.incarnation, entry.pending, entry.number
    )
