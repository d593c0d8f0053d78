"""Accounting of the shares of one limit by its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.quota import QUARANTINE_MS, ZERO_AMOUNT, Amount, HolderId, Share
from godwitthread.core.quota_division import divide

if TYPE_CHECKING:
    from godwitthread.core.quota import Limit, ShareId, ShareRequest

#: Interval at which an unacknowledged grant is sent again.
RESEND_MS = 500
#: Age at which a reported demand expires; holders repeat it every 2,000 ms.
DEMAND_EXPIRY_MS = 5_000


class ShareEpoch(NamedTuple):
    """Owner and the configuration version at which its ownership began."""

    owner: HolderId
    version: int


class Ownership(NamedTuple):
    """Owner of a limit as observed by this instance."""

    owner: HolderId | None
    #: First version of the uninterrupted series in which this instance observed the owner.
    since: int


class HolderEntry:
    """Accounting entry of one holder."""

    def __init__(self) -> None:
        #: Share acknowledged by the holder.
        self.acked = ZERO_AMOUNT
        #: Amount that the holder may be using.
        self.in_use = ZERO_AMOUNT
        self.acked_id: ShareId | None = None
        #: Share granted but not yet acknowledged; there is at most one.
        self.pending: Share | None = None
        #: Time at which to send `pending` next, None for immediately.
        self.send_at_ms: int | None = None
        self.demand = 0
        self.urgent = False
        self.number = -1
        self.demand_at_ms = 0
        #: Whether the holder has released its share permanently.
        self.released = False
        #: First version without a seat of this holder, None while it has one.
        self.absent_since: int | None = None
        #: Time at which the share of an absent holder becomes free.
        self.free_at_ms: int | None = None

    @property
    def granted(self) -> Amount:
        """Return the most recently granted share."""
        return self.pending.amount if self.pending else self.acked

    def confirm(self, share_id: ShareId) -> None:
        """Record that the holder uses the pending share, if the identity matches."""
        if self.pending is not None and self.pending.id == share_id:
            self.acked, self.pending = self.pending.amount, None
            self.acked_id = share_id
            self.in_use = self.acked

    def give(self, share: Share) -> None:
        """Grant a share; the acknowledged one may stay in use until the answer."""
        self.pending, self.send_at_ms = share, None
        self.in_use = self.acked.component_max(share.amount)

    def release(self) -> None:
        """Record that the holder no longer uses or accepts a share."""
        self.released = True
        self.acked, self.acked_id, self.pending = ZERO_AMOUNT, None, None
        self.in_use = ZERO_AMOUNT

    def needs_reissue(self, request: ShareRequest) -> bool:
        """Return whether the acknowledged share must be granted to the holder again."""
        if self.pending is not None or self.acked == ZERO_AMOUNT:
            return False
        moved = request.moved_from is not None
        return moved or request.held is None or request.held.id != self.acked_id

    def due(self, now_ms: int) -> bool:
        """Return whether to send the grant now; schedules the next transmission if so."""
        if self.pending is None or self.absent_since is not None:
            return False
        if self.send_at_ms is not None and now_ms < self.send_at_ms:
            return False
        self.send_at_ms = now_ms + RESEND_MS
        return True

    def scarcity_rank(self, target: Amount) -> tuple[bool, int]:
        """Return the sort key of a holder when capacity is scarce; higher is served first."""
        return self.urgent, target.units - self.granted.units

    def needs_more(self, target: Amount) -> bool:
        """Return whether the holder needs the larger share."""
        granted = self.granted
        if granted == ZERO_AMOUNT or (granted.burst == 0 < target.burst):
            return target != ZERO_AMOUNT
        # Small changes cost messages and discard tokens without benefit, and an empty
        # bucket at a low rate does not mean that the rate is too low.
        wants = self.urgent and self.demand * 8 > granted.units * 7
        return wants and target.units * 8 > granted.units * 9


class Ledger:
    """Shares of one limit during one uninterrupted ownership."""

    def __init__(self, limit: Limit, epoch: ShareEpoch, previous: Ownership | None) -> None:
        self.limit = limit
        #: Configuration version at which the ownership began.
        self.epoch = epoch.version
        self.entries: dict[HolderId, HolderEntry] = {}
        #: Part of the limit that may be divided while frozen: the adopted shares.
        self.adopted_amount = ZERO_AMOUNT
        self.frozen = True
        self.unfreeze_at_ms: int | None = None
        #: Lowest version at which a request of a holder belongs to this ownership.
        self.min_version = epoch.version
        #: Whether rosters were missed, so that another owner may have granted shares.
        self.suspended = False
        self._resume_at_ms: int | None = None
        self.dirty = False
        self.next_division_ms = 0
        self._previous = previous
        self._owner = epoch.owner

    def in_use(self) -> Amount:
        """Return the sum of the amounts that holders may be using."""
        amounts = [entry.in_use for entry in self.entries.values()]
        return Amount(sum(a.units for a in amounts), sum(a.burst for a in amounts))

    def available(self) -> Amount:
        """Return the amount that may be divided now."""
        limit = self.limit.amount
        if not self.frozen:
            return limit
        return Amount(
            min(self.adopted_amount.units, limit.units), min(self.adopted_amount.burst, limit.burst)
        )

    def suspend(self, version: int) -> None:
        """Suspend grants after a gap in the rosters that ended with the given version.

        Holders that received every roster may continue to use their shares, which therefore
        count as in use. The suspension ends when such a holder proves that the owner did
        not change, or when no share of another owner can still be in use.
        """
        self.suspended, self._resume_at_ms = True, None
        self.min_version = version
        self._previous = None

    def remove_absent(self, holders: frozenset[HolderId], version: int) -> None:
        """Record which holders have no seat in a version."""
        for holder, entry in self.entries.items():
            if holder not in holders and entry.absent_since is None:
                entry.absent_since = version

    def settle(self, now_ms: int, version: int) -> None:
        """Start the quarantine of frozen capacity and of the shares of absent holders."""
        if self.frozen and self.unfreeze_at_ms is None and version >= self.epoch:
            self.unfreeze_at_ms = now_ms + QUARANTINE_MS
        if self.suspended and self._resume_at_ms is None and version >= self.min_version:
            self._resume_at_ms = now_ms + QUARANTINE_MS
        for entry in self.entries.values():
            absent = entry.absent_since is not None and version >= entry.absent_since
            if absent and entry.free_at_ms is None:
                entry.free_at_ms = now_ms + QUARANTINE_MS

    def free(self, now_ms: int) -> None:
        """Free the capacity whose quarantine has ended."""
        if self._resume_at_ms is not None and now_ms >= self._resume_at_ms:
            self.suspended, self.frozen, self._resume_at_ms = False, False, None
            self.dirty = True
        if self.frozen and self.unfreeze_at_ms is not None and now_ms >= self.unfreeze_at_ms:
            self.frozen, self.dirty = False, True
        ended = [
            holder
            for holder, entry in self.entries.items()
            if entry.free_at_ms is not None and now_ms >= entry.free_at_ms
        ]
        for holder in ended:
            del self.entries[holder]
            self.dirty = True

    def request(self, now_ms: int, holder: HolderId, request: ShareRequest) -> HolderEntry | None:
        """Handle a request; return the entry of the holder unless the request is outdated."""
        entry = self.entries.get(holder)
        if entry is None:
            entry = self.entries[holder] = HolderEntry()
            self._adopt_share(entry, request)
        if entry.absent_since is not None or request.number <= entry.number:
            return None
        if self._proves_continuity(request):
            self.suspended, self._resume_at_ms = False, None
        if request.held is not None:
            entry.confirm(request.held.id)
        entry.number = request.number
        entry.demand = request.demand
        entry.urgent = request.urgent
        entry.demand_at_ms = now_ms
        self.dirty = True
        if request.released:
            entry.release()
        return entry

    def _proves_continuity(self, request: ShareRequest) -> bool:
        held = request.held
        return (
            held is not None
            and request.moved_from is None
            and (held.id.owner, held.id.owner_incarnation) == self._owner
            and held.id.epoch == self.epoch
        )

    def _adopt_share(self, entry: HolderEntry, request: ShareRequest) -> None:
        held, previous = request.held, self._previous
        if not self.frozen or held is None or previous is None or previous.owner is None:
            return
        if (held.id.owner, held.id.owner_incarnation) != previous.owner:
            return
        # Only if the holder followed the previous owner without a gap until the change.
        if request.moved_from is None or request.moved_from < previous.since:
            return
        entry.acked = entry.in_use = held.amount
        self.adopted_amount = Amount(
            self.adopted_amount.units + held.amount.units,
            self.adopted_amount.burst + held.amount.burst,
        )

    def targets(self, now_ms: int) -> dict[HolderId, Amount]:
        """Return the target shares, none while no holder needs a change."""
        present = {
            h: e for h, e in self.entries.items() if e.absent_since is None and not e.released
        }
        demands = {
            h: e.demand if now_ms - e.demand_at_ms <= DEMAND_EXPIRY_MS else 0
            for h, e in present.items()
        }
        absent_amounts = [e.in_use for e in self.entries.values() if e.absent_since is not None]
        available = self.available()
        amount = Amount(
            max(0, available.units - sum(a.units for a in absent_amounts)),
            max(0, available.burst - sum(a.burst for a in absent_amounts)),
        )
        targets = divide(self.limit._replace(amount=amount), demands)
        total = self.in_use()
        over = not total.within(available)
        unused = (available.units - total.units) * 8 > available.units or (
            (available.burst - total.burst) * 8 > available.burst
        )
        if over:
            return targets
        if unused:
            # No share needs to shrink while capacity is free.
            return {h: t.component_max(present[h].granted) for h, t in targets.items()}
        growing = {h for h, e in present.items() if e.needs_more(targets[h])}
        return self._shrink_surplus(growing, targets, available, total) if growing else {}

    def _shrink_surplus(
        self,
        growing: set[HolderId],
        targets: dict[HolderId, Amount],
        available: Amount,
        total: Amount,
    ) -> dict[HolderId, Amount]:
        """Shrink only the largest surpluses, because every change discards tokens."""
        granted = {holder: self.entries[holder].granted for holder in targets}
        units, burst = total.units - available.units, total.burst - available.burst
        for holder in sorted(growing):
            units += max(0, targets[holder].units - granted[holder].units)
            burst += max(0, targets[holder].burst - granted[holder].burst)
        changed = {holder: targets[holder] for holder in sorted(growing)}
        rest = sorted(
            targets.keys() - growing, key=lambda h: (targets[h].units - granted[h].units, h)
        )
        for holder in rest:
            if (units <= 0 and burst <= 0) or not targets[holder].within(granted[holder]):
                continue
            have, target = granted[holder], targets[holder]
            given = Amount(
                min(have.units - target.units, max(0, units)),
                min(have.burst - target.burst, max(0, burst)),
            )
            changed[holder] = Amount(have.units - given.units, have.burst - given.burst)
            units -= given.units
            burst -= given.burst
        return changed
