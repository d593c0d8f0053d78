"""Detection of a primary that answers probes but has lost its replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwitthread.types import MemberReport

#: Time without progress of the replicas after which replication counts as stalled.
STALL_TIMEOUT_MS = 1_000
#: Minimum progress that counts; smaller steps may be due to the delays of two probes.
MIN_PROGRESS_MS = 250


class ReplicationStallDetector:
    """Track how recent the replicas of a primary are.

    A replica that replays with a constant delay makes progress; a replica that is
    disconnected from its primary does not.
    """

    def __init__(self, now_ms: int, primary: MemberReport) -> None:
        self._primary = (primary.member, primary.position.term)
        self._progress_ms = now_ms
        self._fresh_ms: int | None = None

    def is_for(self, primary: MemberReport) -> bool:
        """Return whether this detector was created for the given primary and term."""
        return self._primary == (primary.member, primary.position.term)

    def is_stalled(self, now_ms: int, replicas: Sequence[MemberReport], needed: int) -> bool:
        """Process the primary's reports on its replicas; return whether too few make progress."""
        fresh = sorted((each.requested_ms - each.lag_ms for each in replicas), reverse=True)
        if needed and len(fresh) >= needed:
            fresh_ms = fresh[needed - 1]
            if self._fresh_ms is None or fresh_ms - self._fresh_ms >= MIN_PROGRESS_MS:
                self._progress_ms, self._fresh_ms = now_ms, fresh_ms
        return needed > 0 and now_ms - self._progress_ms >= STALL_TIMEOUT_MS
