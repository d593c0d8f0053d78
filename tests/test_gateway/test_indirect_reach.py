"""Candidates that only other instances reach."""

from __future__ import annotations

from godwitthread.core.indirect_reach import DECISION_TIMEOUT_MS, IndirectReach

#: Voters that the instance under test reaches; it doesn't reach x, y and z.
REACHED = ['b', 'c', 'd', 'e', 'f']
VOTERS = 9


def lost(*names: str) -> IndirectReach:
    """Return the state of an instance that lost some candidates at 1,000 ms."""
    state = IndirectReach()
    state.update(1_000, names)
    return state


def test_a_lost_candidate_is_in_use_until_others_were_asked():
    """Guard against a second granter between the loss of the link and the first answers."""
    state = lost('x', 'y', 'z')
    assert state.may_own(60_000, VOTERS, REACHED) == {'x', 'y', 'z'}
    state.record_question(60_000)
    for name in REACHED[:-1]:
        state.record_answer(60_000, name, [])
    assert state.may_own(60_001, VOTERS, REACHED) == {'x', 'y', 'z'}
    state.record_answer(60_000, REACHED[-1], [])
    assert state.may_own(60_002, VOTERS, REACHED) == set()


def test_a_peer_that_does_not_answer_delays_the_decision_for_a_while():
    """Guard against a rate that nobody grants because of an older build or a frozen peer."""
    state = lost('x')
    state.record_question(1_000)
    assert state.may_own(1_000 + DECISION_TIMEOUT_MS - 1, VOTERS, REACHED) == {'x'}
    assert state.may_own(1_000 + DECISION_TIMEOUT_MS, VOTERS, REACHED) == set()


def test_a_candidate_that_may_reach_a_majority_through_others_is_in_use():
    """Guard against a granter on each side of two failure domains that are cut off."""
    state = lost('x', 'y', 'z')
    state.record_question(1_000)
    for name in REACHED:
        state.record_answer(1_000, name, ['x', 'y', 'z'] if name in 'bc' else [])
    # Two reporters and the three that can't be asked are a majority of nine.
    assert state.may_own(1_001, VOTERS, REACHED) == {'x', 'y', 'z'}
    assert state.reporter('x', REACHED) == 'b'


def test_a_candidate_that_can_not_reach_a_majority_is_replaced():
    """Guard against a rate that nobody grants since one instance reaches the former granter."""
    state = lost('x')
    state.record_question(1_000)
    for name in [*REACHED, 'g', 'h']:
        state.record_answer(1_000, name, ['x'] if name == 'b' else [])
    assert state.may_own(1_001, VOTERS, [*REACHED, 'g', 'h']) == set()


def test_answers_from_before_the_loss_prove_nothing():
    """Guard against an outdated answer that shows a lost candidate as ended."""
    state = lost('x')
    for name in REACHED:
        state.record_answer(999, name, [])
    state.record_question(1_000)
    assert state.may_own(1_000, VOTERS, REACHED) == {'x'}
    assert state.reporter('x', REACHED) is None


def test_a_candidate_that_is_reached_again_is_not_missing():
    """Guard against answers about an earlier loss that count for the next one."""
    state = lost('x')
    for name in REACHED:
        state.record_answer(1_000, name, ['x'])
    state.update(2_000, [])
    assert state.missing == []
    state.update(3_000, ['x'])
    assert state.reporter('x', REACHED) is None
