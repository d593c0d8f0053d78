"""Evidence that this instance has not missed a newer version of the configuration or a table."""

from __future__ import annotations

#: Maximum age in ms of the evidence with which new work may start. An instance that does not
#: know a version which was settled longer ago therefore accepts no new work.
FRESHNESS_LIMIT_MS = 3_000


class FreshnessState:
    """Store the newest evidence for the version in force."""

    def __init__(self, version: int = 0, limit_ms: int = FRESHNESS_LIMIT_MS) -> None:
        #: Version in force at this instance.
        self.version = version
        #: Highest version known to be settled.
        self.settled_version = 0
        #: Start time of the newest evidence for the version in force, None if there is none.
        self.evidence_ms: int | None = None
        self._limit_ms = limit_ms
        self._invalid_before_ms: int | None = None

    def adopted(self, version: int) -> int | None:
        """Put a version in force; return the time until which the previous one was usable."""
        until_ms = self.usable_until_ms
        self.version = max(self.version, version)
        return until_ms

    def store_read(self, begun_ms: int, version: int) -> None:
        """Process a read of the head that this instance started at `begun_ms`."""
        self._record_evidence(begun_ms, version)

    def peer_summary(
        self,
        echo_ms: int | None,
        version: int,
        store_age_ms: int | None,
        majority_age_ms: int | None,
        settled_version: int = 0,
    ) -> None:
        """Process a summary that echoes the message this instance sent at `echo_ms`.

        The summary was created after that message, so evidence with an age of x ms in it
        started no earlier than `echo_ms` - x on the clock of this instance.
        """
        self.note_settled(settled_version)
        if echo_ms is None:
            return
        for age_ms in (store_age_ms, majority_age_ms):
            if age_ms is not None:
                self._record_evidence(echo_ms - age_ms, version)

    def note_settled(self, version: int) -> None:
        """Record that a version is settled."""
        self.settled_version = max(self.settled_version, version)

    def paused(self, now_ms: int) -> None:
        """Invalidate all evidence that started before the end of a pause."""
        self.evidence_ms = None
        self._invalid_before_ms = now_ms

    @property
    def usable_until_ms(self) -> int | None:
        """Return the time in ms until which the configuration is fresh, None without evidence."""
        return None if self.evidence_ms is None else self.evidence_ms + self._limit_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the configuration is fresh enough to start new work."""
        until_ms = self.usable_until_ms
        return until_ms is not None and now_ms <= until_ms and self.settled_version <= self.version

    def settled(self, version: int) -> bool:
        """Return whether a version is known to be settled."""
        return version <= self.settled_version

    def _record_evidence(self, begun_ms: int, version: int) -> None:
        # Evidence that no version above a lower one was settled also holds for the version in
        # force.
        if version > self.version:
            return
        if self._invalid_before_ms is not None and begun_ms < self._invalid_before_ms:
            return
        if self.evidence_ms is None or begun_ms > self.evidence_ms:
            self.evidence_ms = begun_ms
