"""Number of connections that a member accepts now, learned from the attempts to open one.

Responds to a member that refuses connections although its configured limit is not reached. A
member keeps the connections of an instance that lost power for 3 s, and those of a former owner
until they are closed, so that the next owner gets only what is left.
"""

from __future__ import annotations

#: Delay after a refusal before one connection more than the accepted number is tried, in ms.
FIRST_PROBE_MS = 100
#: Upper bound of that delay, which doubles with each refused trial, in ms. The connections of a
#: dead instance lapse after 3 s, so that this finds the room at most an eighth of that later.
MAX_PROBE_MS = 400
#: Delay after a refusal within the accepted number, in ms. The member may not have seen yet that
#: the connection which made room was closed.
CLOSING_MS = 20


class ConnectionLimit:
    """Learn how many connections of this instance a member accepts."""

    def __init__(self, configured: int) -> None:
        #: Limit of the configuration.
        self.configured = configured
        #: Number that the member accepted at the last refusal; None while it accepts all.
        self._accepted: int | None = None
        self._probe_ms = 0
        #: Consecutive refusals of a trial beyond the accepted number.
        self._refused_probes = 0

    @property
    def accepted(self) -> int:
        """Return the number of connections that the member is known to accept."""
        if self._accepted is None:
            return self.configured
        return min(self._accepted, self.configured)

    def current(self, now_ms: int) -> int:
        """Return the number of connections that may be open or being opened now.

        It exceeds the accepted number by one when a trial is due.
        """
        due = self._accepted is not None and now_ms >= self._probe_ms
        return min(self.configured, self.accepted + due)

    def next_probe_ms(self, now_ms: int) -> int | None:
        """Return when one more connection may be tried, None if no trial is to come."""
        if self.accepted >= self.configured or now_ms >= self._probe_ms:
            return None
        return self._probe_ms

    def record_refused(self, now_ms: int, open_connections: int) -> None:
        """Record that the member refused another connection."""
        before = self._accepted
        if before is None or open_connections < before:
            self._accepted = open_connections
            delay_ms = FIRST_PROBE_MS if before is None else CLOSING_MS
            self._probe_ms = now_ms + delay_ms
        elif now_ms >= self._probe_ms:
            # Attempts that began before the first refusal are refused before the next trial.
            delay_ms = min(MAX_PROBE_MS, FIRST_PROBE_MS << min(self._refused_probes, 8))
            self._probe_ms = now_ms + delay_ms
            self._refused_probes += 1

    def record_opened(self, now_ms: int, open_connections: int) -> None:
        """Record that the member accepted a connection."""
        if self._accepted is None or open_connections <= self._accepted:
            return
        self._accepted = open_connections if open_connections < self.configured else None
        self._probe_ms, self._refused_probes = now_ms, 0
