"""Maximum wait for the owner of a group."""

from __future__ import annotations

from godwitthread.core.scheduling import wait_limits


def test_a_statement_waits_during_a_change_of_the_owner():
    """Guard against refusals while an unresponsive owner is replaced."""
    assert wait_limits.owner_wait_ms(800, 150, 0) == wait_limits.max_wait_ms(800)
    assert wait_limits.owner_wait_ms(
        800, 150, wait_limits.OWNER_REPLACEMENT_MS - 1
    ) == wait_limits.max_wait_ms(800)


def test_a_statement_is_refused_early_where_no_owner_is_expected():
    """Guard against callers that wait for a group which has long had no owner.

    In the run fjordkjol-ruter-grown trouble-1, after a power loss during a store outage, 1,900
    statements waited for 360 ms each and were then refused.
    """
    assert wait_limits.owner_wait_ms(800, 150, wait_limits.OWNER_REPLACEMENT_MS) < 150 / 4
    assert wait_limits.owner_wait_ms(
        20, 150, wait_limits.OWNER_REPLACEMENT_MS
    ) == wait_limits.max_wait_ms(20)
