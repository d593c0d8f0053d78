"""Evidence that the copy of a store table is current, and when to renew it.

A call that waits for changes proves nothing until it ends: a store that does not answer can't be
told from a table that does not change. Therefore one instance asks the store in short intervals,
and its evidence holds for every instance with the same content. Load pattern: hundreds of
instances, of which few read the store, rare changes, and calls that are priced; the number of
calls depends neither on the number of instances nor on that of the changes.
"""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.core.freshness import FreshnessState
from godwitthread.core.store_version import era_of

#: Age of the evidence at which the first reader of the store renews it, in ms.
PROBE_INTERVAL_MS = 1_000
#: Age at which the second reader renews it, in ms: the first one's evidence is up to 1.3 s old
#: when it arrives with a heartbeat, and a configuration must be in force within 3 s.
TAKEOVER_AGE_MS = 1_800
#: Additional age for each further reader, in ms, so that an answer reaches it before it asks.
TAKEOVER_STEP_MS = 200
#: Number of readers that renew the evidence. It bounds the calls while the store does not answer.
MAX_PROBERS = 9
#: Time for which an open call may lack a change that is known otherwise, in ms. The store may be
#: 100 times slower than its usual 4 ms, and a reader pauses for 250 ms between two calls.
FEED_GRACE_MS = 400


class TableContent(NamedTuple):
    """Content of a copy, as compared between instances."""

    #: Store version up to which the copy holds all changes.
    revision: int
    #: Digest of the keys and versions of all rows, which includes rows that were removed. It leaves
    #: the era out, so that it equals that of a build which knows no eras.
    digest: int

    def has_rows_of(self, other: TableContent) -> bool:
        """Return whether both have the same rows; a restored store gives versions out again."""
        return self.digest == other.digest and era_of(self.revision) == era_of(other.revision)


class TableReport(NamedTuple):
    """Content of the copy at a peer."""

    table: str
    content: TableContent
    #: Time since the start of the peer's last call that confirmed the content, in ms.
    evidence_age_ms: int | None


class TableReports(NamedTuple):
    """Reports of all tables in answer to a heartbeat of a peer."""

    #: Time at which the peer sent that heartbeat, on its own clock, in ms.
    echo_ms: int
    reports: tuple[TableReport, ...]


class TableState(NamedTuple):
    """Content of a table that was reported to a peer, and the time of the evidence."""

    table: str
    digest: int
    evidence_ms: int | None


TableStates = tuple[TableState, ...]


class TableFreshness:
    """Evidence for the copy of one table, from own calls and from peers."""

    def __init__(self) -> None:
        #: Start of the newest own call that confirmed the copy, in ms.
        self.own_evidence_ms: int | None = None
        self._peer_evidence_ms: int | None = None
        #: Start of the newest successful probe, in ms.
        self._probed_ms: int | None = None
        self._state = FreshnessState()
        self._content = TableContent(0, 0)
        self._peers: dict[str, TableContent] = {}
        #: Peers that hold newer content.
        self._newer: set[str] = set()
        self._behind_since_ms: int | None = None
        #: Content of peers that had nothing newer when they were asked.
        self._asked: dict[str, TableContent] = {}

    @property
    def evidence_ms(self) -> int | None:
        """Return the newest time at which the copy is known to have been complete."""
        return self._state.evidence_ms

    def update_content(self, content: TableContent) -> None:
        """Record the content of the own copy."""
        if content == self._content:
            return
        self._content = content
        self._state.adopted(content.revision)
        self._newer = {peer for peer in self._peers if self._is_newer(peer)}

    def store_answered(self, begun_ms: int, probe: bool = False) -> None:
        """Record that a call which started at `begun_ms` confirmed or completed the copy."""
        self.own_evidence_ms = max(begun_ms, self.own_evidence_ms or begun_ms)
        if probe:
            self._probed_ms = begun_ms
        self._state.store_read(begun_ms, self._content.revision)

    def peer_reported(self, peer: str, report: TableReport, echo_ms: int) -> None:
        """Process the report with which a peer answered a message sent at `echo_ms`."""
        content = report.content
        self._peers[peer] = content
        if self._is_newer(peer):
            self._newer.add(peer)
        else:
            self._newer.discard(peer)
        # Evidence for the same or for older content holds for the own copy as well. Content from
        # before a restore is not older: it may have what the restored store lacks.
        if era_of(content.revision) == era_of(self._content.revision):
            same = content.has_rows_of(self._content)
            version = self._content.revision if same else content.revision
            self._state.peer_summary(echo_ms, version, report.evidence_age_ms, None)
        if report.evidence_age_ms is not None:
            evidence_ms = echo_ms - report.evidence_age_ms
            self._peer_evidence_ms = max(evidence_ms, self._peer_evidence_ms or evidence_ms)

    def reported_content(self, peer: str) -> TableContent | None:
        """Return the content that a peer reported last."""
        return self._peers.get(peer)

    def peer_answered(self, peer: str, content: TableContent | None) -> None:
        """Record that what a peer had when it reported some content was adopted."""
        if content is None:
            return
        self._asked[peer] = content
        if self._peers.get(peer) == content:
            self._newer.discard(peer)

    def forget_peer(self, peer: str) -> None:
        """Discard the report of a peer that is unreachable."""
        self._peers.pop(peer, None)
        self._asked.pop(peer, None)
        self._newer.discard(peer)

    def earlier_copies(self) -> dict[str, TableContent]:
        """Return the content of the peers that do not know of the newest restore yet."""
        era = era_of(self._content.revision)
        return {peer: each for peer, each in self._peers.items() if era_of(each.revision) < era}

    def newer_peers(self) -> set[str]:
        """Return the peers that hold newer content."""
        return self._newer

    def behind_ms(self, now_ms: int) -> int:
        """Return for how long a peer has held newer content, in ms."""
        if not self._newer:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        return 0 if self._behind_since_ms is None else now_ms - self._behind_since_ms

    def is_probe_due(self, now_ms: int, rank: int) -> bool:
        """Return whether the reader with this rank must ask the store."""
        if rank >= MAX_PROBERS:
            return False
        if self.evidence_ms is None:
            return True
        limit_ms = PROBE_INTERVAL_MS
        if rank > 0 and not self._has_taken_over():
            limit_ms = TAKEOVER_AGE_MS + (rank - 1) * TAKEOVER_STEP_MS
        return now_ms - self.evidence_ms >= limit_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the evidence is recent enough for changes to take effect in time."""
        return self._state.is_fresh(now_ms)

    def _is_newer(self, peer: str) -> bool:
        content, own = self._peers[peer], self._content
        if content == self._asked.get(peer):
            return False
        return content.revision > own.revision and not content.has_rows_of(own)

    def _has_taken_over(self) -> bool:
        """Return whether this instance renews the evidence, since no other one does."""
        if self._probed_ms is None or self._peer_evidence_ms is None:
            return self._probed_ms is not None
        return self._probed_ms - self._peer_evidence_ms > PROBE_INTERVAL_MS // 2


class FeedCall:
    """Open call for the changes of a table."""

    def __init__(self, content: TableContent) -> None:
        self._content = content
        self._overtaken_ms: int | None = None

    def is_dead(self, now_ms: int, content: TableContent, behind: bool) -> bool:
        """Return whether the call has not delivered a change that is known otherwise."""
        if content.has_rows_of(self._content) and not behind:
            self._overtaken_ms = None
            return False
        if self._overtaken_ms is None:
            self._overtaken_ms = now_ms
        return now_ms - self._overtaken_ms >= FEED_GRACE_MS
