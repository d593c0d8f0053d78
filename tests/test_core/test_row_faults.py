"""Malformed rows of a store table."""

from __future__ import annotations

from godwitthread.core.row_faults import REPORT_INTERVAL_MS, RowFault, RowFaults


def test_a_row_that_stays_malformed_is_reported_once():
    """Guard against a report for each read of a table."""
    faults, fault = RowFaults(), RowFault(5, 'bad')
    assert faults.update(0, {'k': fault}).found == {'k': fault}
    changes = faults.update(10 * REPORT_INTERVAL_MS, {'k': fault})
    assert (changes.found, changes.ended_ms) == ({}, {})


def test_a_row_that_is_rewritten_often_is_reported_at_intervals():
    """Guard against a writer that floods the log by repeating a malformed row."""
    faults = RowFaults()
    reported = sum(
        bool(faults.update(now_ms, {'k': RowFault(now_ms, 'bad')}).found)
        for now_ms in range(0, 3 * REPORT_INTERVAL_MS, 100)
    )
    assert reported == 3


def test_the_age_counts_from_the_first_malformed_content():
    """Guard against an age that starts again with each malformed content."""
    faults = RowFaults()
    for revision in range(4):
        faults.update(revision * REPORT_INTERVAL_MS, {'k': RowFault(revision, 'bad')})
    assert faults.age_ms(4 * REPORT_INTERVAL_MS) == 4 * REPORT_INTERVAL_MS
    assert faults.update(50_000, {}).ended_ms == {'k': 50_000}
    assert (len(faults), faults.age_ms(60_000)) == (0, 0)
