"""Judgement of what callers saw, on small records."""

from __future__ import annotations

import pytest

from tests.test_platform.configuration_judge import (
    Disturbance,
    Question,
    Record,
    StoreContent,
    judge,
)


def content(at_ms, order, version, name):
    return StoreContent(at_ms, order, version, frozenset({name, 'p'}), frozenset({'k'}))


#: Each of the first configurations replaces the route of the one before.
FIRST, SECOND = content(10_000, 1, 3, 'a'), content(20_000, 2, 7, 'b')
THIRD = content(22_000, 3, 9, 'c')
#: The store comes back from a copy without the third, and the operator writes it again.
WRITTEN_AGAIN = [SECOND, THIRD, SECOND._replace(at_ms=30_000), THIRD._replace(at_ms=35_000)]
#: The operator goes on from the restored configuration, with a version that was given out.
GOES_ON = [SECOND, THIRD, SECOND._replace(at_ms=30_000), content(31_000, 4, 9, 'd')]


def ask(sent_ms, database, outcome, key='k', **fields):
    question = Question(1, 1, 'new session', database, key, sent_ms, sent_ms + 10, outcome)
    return question._replace(**fields)


def rules(contents, questions, disturbances=()):
    """Return the rules that are broken, in settled and in unsettled time."""
    # A question in settled time that breaks nothing.
    questions = [*questions, ask(90_000, 'p', 'served', instance=9)]
    verdict = judge(Record(contents, questions, list(disturbances)))
    return [[line.partition(':')[0] for line in lines] for lines in verdict[:2]]


@pytest.mark.parametrize(
    ('contents', 'questions', 'expected'),
    [
        # A route that was added or dropped more than 3,000 ms before.
        ([FIRST, SECOND], [ask(23_000, 'b', 'NODB')], []),
        ([FIRST, SECOND], [ask(23_001, 'b', 'NODB')], ['late']),
        ([FIRST, SECOND], [ask(23_000, 'a', 'served')], []),
        ([FIRST, SECOND], [ask(23_001, 'a', 'served')], ['late']),
        ([FIRST, SECOND], [ask(23_001, 'b', 'BUSY')], []),
        # Sent in time, answered late.
        ([FIRST, SECOND], [ask(22_990, 'b', 'NODB', answered_ms=29_000)], []),
        # A version may apply from its acknowledgement on, but not before.
        ([FIRST, SECOND], [ask(19_995, 'b', 'served')], []),
        ([FIRST, SECOND], [ask(19_980, 'b', 'served')], ['never allowed']),
        ([FIRST, SECOND], [ask(30_000, 'p', 'NODB')], ['never allowed']),
        ([FIRST, SECOND], [ask(30_000, 'p', 'NOAUTH')], ['never allowed']),
        ([FIRST, SECOND], [ask(30_000, 'p', 'NOAUTH', key='unknown')], []),
        ([FIRST, SECOND], [ask(30_000, 'p', 'served', key='unknown')], ['never allowed']),
        # A regress within 3,000 ms of the acknowledgement.
        ([FIRST, SECOND], [ask(20_100, 'b', 'served'), ask(20_360, 'b', 'NODB')], []),
        ([FIRST, SECOND], [ask(20_100, 'b', 'served'), ask(20_361, 'b', 'NODB')], ['regress']),
        ([FIRST, SECOND], [ask(20_100, 'b', 'served'), ask(20_361, 'a', 'served')], ['regress']),
        (
            [FIRST, SECOND],
            [ask(20_100, 'b', 'served'), ask(20_361, 'b', 'NODB', lifetime=2)],
            [],
        ),
        # The refusal of a dropped route shows its version only once the route was served.
        ([FIRST, SECOND, THIRD], [ask(22_100, 'b', 'NODB'), ask(22_400, 'b', 'served')], []),
        (
            [FIRST, SECOND, THIRD],
            [
                ask(21_800, 'b', 'served'),
                ask(22_100, 'b', 'NODB'),
                ask(22_400, 'b', 'served'),
            ],
            ['regress'],
        ),
        # What was lost may apply or not, until 3,000 ms after it was written again.
        (WRITTEN_AGAIN, [ask(29_900, 'c', 'NODB')], ['late']),
        (WRITTEN_AGAIN, [ask(30_100, 'c', 'NODB'), ask(37_000, 'c', 'NODB')], []),
        (WRITTEN_AGAIN, [ask(34_900, 'c', 'served'), ask(35_100, 'c', 'served')], []),
        (WRITTEN_AGAIN, [ask(38_001, 'c', 'NODB')], ['late']),
        (WRITTEN_AGAIN, [ask(29_000, 'c', 'served'), ask(31_000, 'c', 'NODB')], ['regress']),
        # A version that is given out again has another content.
        (GOES_ON, [ask(34_001, 'd', 'served')], []),
        (GOES_ON, [ask(34_001, 'd', 'NODB')], ['late']),
        (GOES_ON, [ask(34_001, 'c', 'served')], ['late']),
        (GOES_ON, [ask(33_900, 'c', 'served')], []),
        (GOES_ON, [ask(32_000, 'd', 'served'), ask(32_300, 'c', 'served')], ['regress']),
    ],
)
def test_answers_of_older_versions_are_found(contents, questions, expected):
    """Guard against a soak that passes although callers are refused by an older version."""
    assert rules(contents, questions) == [expected, []]


@pytest.mark.parametrize(
    ('disturbance', 'settled'),
    [
        (Disturbance(20_000, 26_000, 1), False),
        (Disturbance(20_000, 25_999, 1), True),
        (Disturbance(30_011, 31_000, 1), True),
        (Disturbance(30_010, 31_000, 1), False),
        (Disturbance(30_005, 30_005, 2), True),
        (Disturbance(30_005, 30_005, None), False),
    ],
)
def test_late_answers_count_in_settled_time(disturbance, settled):
    """Guard against faults that excuse other instances, or for longer than the rules say."""
    expected = [['late'], []] if settled else [[], ['late']]
    assert rules([FIRST, SECOND], [ask(30_000, 'b', 'NODB')], [disturbance]) == expected


@pytest.mark.parametrize(('sent_ms', 'expected'), [(22_110, []), (22_111, ['regress'])])
def test_a_regress_counts_beside_faults(sent_ms, expected):
    """Guard against a slack of more than 2,000 ms after a suspension, or none at all."""
    questions = [ask(20_100, 'b', 'served'), ask(sent_ms, 'b', 'NODB')]
    suspended = Disturbance(20_200, 21_000, 1, suspended=True)
    assert rules([FIRST, SECOND], questions, [suspended])[0] == expected


def test_a_run_without_settled_time_shows_nothing():
    """Guard against a soak that passes because its faults never pause."""
    question = ask(30_000, 'b', 'served')
    verdict = judge(Record([FIRST, SECOND], [question], [Disturbance(0, 40_000, None)]))
    assert verdict.violations == ['nothing is shown: no question was asked in settled time']
