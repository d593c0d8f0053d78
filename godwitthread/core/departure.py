"""Whether the process of a peer is known to have ended.

Load pattern: planned stops one after the other, of which most instances never return. Their
addresses need not refuse connections, so that silence alone looks like a network partition.

A process announces its end to its peers as its last act and marks its entry in the store. It
grants nothing to others afterwards, so that it can't be part of another majority.
"""

from __future__ import annotations

#: Time after an announced end from which the instance no longer counts, in ms. Most instances
#: return within it, and leases granted by the process have ended.
DEPARTURE_DELAY_MS = 1_500


class Departure:
    """What one instance knows about the end of a peer's process."""

    def __init__(self) -> None:
        self._since_ms: int | None = None
        #: Process that the entry in the store names, and whether the entry is marked.
        self._incarnation = 0
        self._marked = False
        #: Whether a process was heard since the entry was marked.
        self._refuted = False

    @property
    def is_known(self) -> bool:
        """Return whether the end of the process is known, even if it still counts."""
        return self._since_ms is not None

    def announce(self, now_ms: int) -> None:
        """Record that the process announced its end."""
        self._since_ms = now_ms

    def read_entry(self, now_ms: int, incarnation: int, marked: bool) -> None:
        """Record the entry in the store, which is marked once its process has ended."""
        if incarnation != self._incarnation:
            # Another process was started since the last entry.
            self._since_ms, self._marked = None, False
        if marked and not self._marked:
            self._refuted = False
        self._incarnation, self._marked = incarnation, marked
        if marked and not self._refuted and self._since_ms is None:
            self._since_ms = now_ms

    def connect(self) -> None:
        """Record that a process of the peer answers, whatever its entry says."""
        self._since_ms, self._refuted = None, self._marked

    def has_ended(self, now_ms: int) -> bool:
        """Return whether the peer no longer counts as an instance that may be running."""
        return self._since_ms is not None and now_ms - self._since_ms >= DEPARTURE_DELAY_MS
