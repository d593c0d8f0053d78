"""Evidence that the copy of a store table is current."""

from __future__ import annotations

from godwitthread.core.store_version import combine
from godwitthread.core.table_freshness import (
    FEED_GRACE_MS,
    MAX_PROBERS,
    PROBE_INTERVAL_MS,
    TAKEOVER_AGE_MS,
    FeedCall,
    TableContent,
    TableFreshness,
    TableReport,
)

OLD, NEW = TableContent(10, 1), TableContent(20, 2)


def freshness(content: TableContent = OLD, probed_ms: int = 0) -> TableFreshness:
    """Build the evidence of a copy that a probe confirmed."""
    made = TableFreshness()
    made.update_content(content)
    made.store_answered(probed_ms, probe=True)
    return made


def report(content: TableContent, age_ms: int | None = 0) -> TableReport:
    """Build the report of a peer."""
    return TableReport('op', content, age_ms)


def test_evidence_of_a_peer_with_newer_content_is_not_evidence_for_older_content():
    """Guard against late instances that reassure each other."""
    own = freshness(OLD)
    own.peer_reported('b', report(NEW), 5_000)
    assert own.evidence_ms == 0
    assert own.newer_peers() == {'b'}


def test_evidence_counts_from_the_message_that_the_peer_answered():
    """Guard against evidence that looks recent after a pause of this instance or of the link."""
    own = freshness(OLD)
    own.peer_reported('b', report(OLD, 700), 5_000)
    assert own.evidence_ms == 4_300


def test_a_copy_with_a_later_version_and_the_same_rows_is_not_newer():
    """Guard against transfers of whole tables after each change of another table."""
    own = freshness(OLD)
    own.peer_reported('b', report(TableContent(15, OLD.digest)), 5_000)
    assert not own.newer_peers()
    assert own.evidence_ms == 5_000


def test_content_of_a_later_era_is_newer_even_with_the_same_digest():
    """Guard against a copy of a former era that counts as equal to one of a restored store."""
    restored = TableContent(combine(1, OLD.revision - 5), OLD.digest)
    own = freshness(OLD)
    own.peer_reported('b', report(restored), 5_000)
    assert (own.newer_peers(), own.evidence_ms) == ({'b'}, 0)
    own.update_content(restored)
    own.peer_reported('c', report(NEW), 6_000)
    assert not own.newer_peers()
    call = FeedCall(OLD)
    assert not call.is_dead(0, restored, behind=False)
    assert call.is_dead(FEED_GRACE_MS, restored, behind=False)


def test_evidence_for_content_from_before_a_restore_is_none_for_a_restored_copy():
    """Guard against final refusals by a copy that lacks what the store has lost."""
    own = TableFreshness()
    own.update_content(TableContent(combine(1, OLD.revision - 5), 7))
    own.peer_reported('b', report(OLD, 700), 5_000)
    assert own.evidence_ms is None


def test_a_peer_that_has_nothing_newer_is_not_asked_again():
    """Guard against requests without end to a build that does not know of eras."""
    own = freshness(OLD)
    own.peer_reported('b', report(NEW), 5_000)
    asked = own.reported_content('b')
    own.peer_answered('b', asked)
    own.peer_reported('b', report(NEW), 6_000)
    assert not own.newer_peers()
    # A report that arrives while the peer is asked may be newer than the answer.
    own.peer_reported('b', report(TableContent(NEW.revision + 1, 3)), 7_000)
    own.peer_answered('b', asked)
    assert own.newer_peers() == {'b'}


def test_content_of_an_unreachable_peer_is_forgotten():
    """Guard against requests to a peer that is gone."""
    own = freshness(OLD)
    own.peer_reported('b', report(NEW), 5_000)
    own.forget_peer('b')
    assert not own.newer_peers()
    assert own.behind_ms(6_000) == 0


def test_one_reader_asks_while_its_evidence_reaches_the_others():
    """Guard against calls to the store by every reader."""
    first, second = freshness(), freshness()
    for now_ms in range(100, 10_000, 100):
        if first.is_probe_due(now_ms, 0):
            first.store_answered(now_ms, probe=True)
        if now_ms % 300 == 0 and first.own_evidence_ms is not None:
            second.peer_reported('a', report(OLD, now_ms - first.own_evidence_ms), now_ms)
        # The second reader was the one to ask until the first one took over.
        assert now_ms < 2 * PROBE_INTERVAL_MS or not second.is_probe_due(now_ms, 1)


def test_the_next_reader_asks_when_the_evidence_is_not_renewed():
    """Guard against a deployment that relies on one reader, whose store does not answer."""
    own = freshness()
    own.peer_reported('a', report(OLD, 0), 5_000)
    assert not own.is_probe_due(5_000 + TAKEOVER_AGE_MS - 1, 1)
    assert own.is_probe_due(5_000 + TAKEOVER_AGE_MS, 1)
    own.store_answered(7_000, probe=True)
    assert own.is_probe_due(7_000 + PROBE_INTERVAL_MS, 1)


def test_the_number_of_readers_that_ask_is_bounded():
    """Guard against hundreds of calls at once to a store that does not answer."""
    assert not freshness().is_probe_due(3_600_000, MAX_PROBERS)
    assert freshness().is_probe_due(3_600_000, MAX_PROBERS - 1)


def test_a_call_that_lacks_a_known_change_is_dead_after_a_grace_period():
    """Guard against a call that stays open without an answer for its whole wait."""
    call = FeedCall(OLD)
    assert not call.is_dead(9_000, OLD, behind=False)
    assert not call.is_dead(10_000, OLD, behind=True)
    assert not call.is_dead(10_000 + FEED_GRACE_MS - 1, NEW, behind=False)
    assert call.is_dead(10_000 + FEED_GRACE_MS, NEW, behind=False)
