"""Load, recent errors and slow start of one member of a database group."""

from __future__ import annotations

#: Duration of the slow start, in which the weight of a returned member rises to 1.
SLOW_START_MS = 10_000
#: Gap between reports after which a member counts as returned and starts slowly.
RETURN_GAP_MS = 3_000
#: Weight of the newest sample in the moving averages of errors and latency.
EWMA_WEIGHT = 0.2
#: Moving average of errors above which a member ranks after all others; three consecutive
#: errors reach it. Without it a member that fails fast would appear idle and attract reads.
FAILING_ERROR_SHARE = 0.45
#: Time after its last error at which a member no longer counts as failing.
ERROR_EXPIRY_MS = 2_000
#: Running statements up to which a member in the local failure domain is preferred.
MAX_LOCAL_RUNNING = 8


class MemberLoad:
    """Track the load and errors by which members that qualify for a read are ranked."""

    __slots__ = ('running', 'latency_ms', '_error_share', '_error_ms', '_returned_ms')

    def __init__(self, returned_ms: int | None) -> None:
        #: Statements of this instance that run on the member.
        self.running = 0
        #: Moving average of the latency in ms.
        self.latency_ms = 0.0
        self._error_share = 0.0
        self._error_ms = 0
        self._returned_ms = returned_ms

    def note_success(self, latency_ms: float) -> None:
        """Record an answered statement."""
        self._error_share *= 1 - EWMA_WEIGHT
        self.latency_ms += (latency_ms - self.latency_ms) * EWMA_WEIGHT

    def note_error(self, now_ms: int) -> None:
        """Record a failed statement or connection."""
        self._error_share += (1 - self._error_share) * EWMA_WEIGHT
        self._error_ms = now_ms

    def note_returned(self, now_ms: int) -> None:
        """Begin the slow start of a member that has returned."""
        self._returned_ms = now_ms
        self._error_share = 0.0

    def weight(self, now_ms: int) -> float:
        """Return the share of its normal load that the member receives, from 0 to 1."""
        if self._returned_ms is None:
            return 1.0
        elapsed_ms = now_ms - self._returned_ms
        if elapsed_ms >= SLOW_START_MS:
            self._returned_ms = None
            return 1.0
        return elapsed_ms / SLOW_START_MS

    def rank(self, now_ms: int, local: bool) -> tuple[bool, bool, int, float]:
        """Return the sort key of the member; lower is better."""
        failing = (
            self._error_share > FAILING_ERROR_SHARE and now_ms - self._error_ms < ERROR_EXPIRY_MS
        )
        remote = not local or self.running > MAX_LOCAL_RUNNING
        return failing, remote, self.running, self.latency_ms
