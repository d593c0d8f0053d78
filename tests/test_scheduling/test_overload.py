"""Overload of a group: what is answered in time, late or not at all."""

from __future__ import annotations

import pytest

from tests.test_scheduling.overload import CAPACITY_PER_S, ORGANISATIONS, Replay, even


@pytest.mark.parametrize('load', [1.1, 1.3, 1.6, 2.5])
def test_overload_leaves_most_of_the_capacity_to_statements_in_time(load):
    """Guard against overload in which every statement runs just too late."""
    outcome = Replay().run(even(load * CAPACITY_PER_S))
    assert outcome.in_time >= 0.9 / load
    assert outcome.idle == 0


def test_nothing_is_refused_just_below_capacity():
    """Guard against refusals by estimate while the members could run everything in time."""
    outcome = Replay().run(even(0.95 * CAPACITY_PER_S))
    assert outcome.refused == 0
    assert outcome.in_time >= 0.99


def test_a_short_burst_is_served_late_rather_than_refused():
    """Guard against refusals during a burst that the members catch up with in time."""
    replay = Replay()
    replay.add(even(0.6 * CAPACITY_PER_S), 6.0)
    for start_ms in (2_000, 4_000):
        replay.add(even(1.4 * CAPACITY_PER_S), 0.4, start_ms)
    outcome = replay.play()
    assert outcome.refused <= 0.01


def test_an_organisation_far_above_its_share_takes_nothing_from_the_others():
    """Guard against one organisation that makes the statements of all others late."""
    rates = even(0.8 * CAPACITY_PER_S)
    rates['o0'] *= ORGANISATIONS
    outcome = Replay().run(rates)
    del outcome.by_organisation['o0']
    assert min(outcome.by_organisation.values()) >= 0.95


def test_a_slow_member_gets_less_and_nothing_is_late():
    """Guard against statements that queue at a slow member while the others have room."""
    outcome = Replay(slow={'m2': 4.0}).run(even(0.65 * CAPACITY_PER_S), 5.0)
    assert outcome.in_time >= 0.99
    assert outcome.refused == 0
