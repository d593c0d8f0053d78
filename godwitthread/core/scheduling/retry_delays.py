"""Retry delays of refused statements, spread over the capacity that becomes free.

Load that this responds to: many callers refused at once, who would otherwise return at once.
"""

from __future__ import annotations

#: Resolution of the reserved capacity, in ms; room for several statements, even in a small group.
BUCKET_MS = 50
#: Time for which capacity is reserved ahead, in ms; about the longest time limit of a statement.
HORIZON_MS = 2_000
#: Share of the time left within which a caller is asked to return, if there is room: a caller
#: with more time leaves the earlier room to those with less.
LATER_SHARE = 0.1


class RetryDelays:
    """Reserve room for refused callers in the capacity that becomes free."""

    def __init__(self) -> None:
        self._reserved: dict[int, float] = {}
        self._pruned_until = 0

    def reserve(self, now_ms: int, earliest_ms: float, spacing_ms: float, left_ms: int) -> int:
        """Return the delay after which a refused caller should return, in ms.

        `earliest_ms` is the delay until there is room, `spacing_ms` the time in which room for
        one statement becomes free, `left_ms` the caller's remaining time.
        """
        self._prune(now_ms // BUCKET_MS)
        room = max(1.0, BUCKET_MS / max(0.1, spacing_ms))
        begin_ms = now_ms + max(earliest_ms, LATER_SHARE * max(0, left_ms))
        first = int(begin_ms // BUCKET_MS)
        bucket, last = first, first + HORIZON_MS // BUCKET_MS
        while bucket < last and self._reserved.get(bucket, 0.0) + 1 > room:
            bucket += 1
        used = self._reserved.get(bucket, 0.0)
        offset_ms = bucket * BUCKET_MS + int(min(used, room - 1) * BUCKET_MS / room)
        self._reserved[bucket] = used + 1
        return max(1, int(earliest_ms), offset_ms - now_ms)

    def _prune(self, bucket: int) -> None:
        if bucket < self._pruned_until:
            return
        self._pruned_until = bucket + HORIZON_MS // BUCKET_MS
        self._reserved = {each: used for each, used in self._reserved.items() if each >= bucket}
