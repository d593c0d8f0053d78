"""Limits of the wait for an owner."""

from __future__ import annotations

from godwitthread.core import waiting


def test_a_statement_waits_for_an_owner_that_changes():
    """Guard against refusals while a silent owner is replaced."""
    assert waiting.owner_wait_ms(800, 150, 0) == waiting.hold_ms(800)
    assert waiting.owner_wait_ms(800, 150, waiting.OWNERLESS_MS - 1) == waiting.hold_ms(800)


def test_a_statement_is_refused_early_where_no_owner_is_expected():
    """Guard against callers that are held for a group which has had no owner for long.

    Found on fjordkjol-ruter-grown trouble-1: after the loss of power in an outage of the
    store, 1,900 statements were held for 360 ms each and then refused.
    """
    assert waiting.owner_wait_ms(800, 150, waiting.OWNERLESS_MS) < 150 / 4
    assert waiting.owner_wait_ms(20, 150, waiting.OWNERLESS_MS) == waiting.hold_ms(20)
