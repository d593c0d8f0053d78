"""Which request an answer belongs to, decided by its content and its order."""

from __future__ import annotations

import pytest

from godwitthread.core.answer_alignment import (
    ANSWER_MEMORY_MS,
    AnswerAlignment,
    Confirmation,
    Irregularity,
    Request,
    Verdict,
)
from godwitthread.core.statements import Refusal, TxState
from tests.test_wire.answers import GREETING, done, refused

IDLE, OPEN, FAILED = TxState.IDLE, TxState.OPEN, TxState.FAILED
STATUS_ROW = 'replica 3 3.9 0 0 0 1'


def aligned(state=IDLE, *exchanges) -> AnswerAlignment:
    """Return the state of a connection after its greeting, BEGIN in state T, and exchanges."""
    alignment = AnswerAlignment()
    assert alignment.greet(0, GREETING)
    if state is OPEN:
        exchanges = ((Request.BEGIN, done(state=OPEN)), *exchanges)
    for request, reply in exchanges:
        assert alignment.judge(0, request, reply).verdict is Verdict.ACCEPT
    return alignment


@pytest.mark.parametrize('state', [IDLE, OPEN])
@pytest.mark.parametrize(
    ('request_', 'answer', 'in_flight'),
    [
        (Request.STATEMENT, done('r1', 'x'), Verdict.SKIP),
        (Request.SESSION, done(), Verdict.SKIP),
        (Request.STATUS, done('-', STATUS_ROW), Verdict.SKIP),
        (None, GREETING, Verdict.SKIP),
        (Request.SESSION, refused(), Verdict.CONFIRM),
    ],
)
def test_a_repeated_answer_is_not_that_to_the_next_statement(state, request_, answer, in_flight):
    """Guard against rows and refusals of an earlier request (MIXED, REFUSED)."""
    if request_ is not None:
        answer = answer._replace(state=state)
    alignment = aligned(state, *([(request_, answer)] if request_ else ()))
    assert alignment.judge_unsolicited(1, answer).verdict is Verdict.SKIP
    assert alignment.judge(2, Request.STATEMENT, answer).verdict is in_flight
    own = done('r2', 'y', state=state)
    assert alignment.judge(3, Request.STATEMENT, own).verdict is Verdict.ACCEPT


@pytest.mark.parametrize('answer', [done('r1'), done('-', offset=8), refused(offset=8)])
def test_an_unknown_answer_without_a_request_ends_the_connection(answer):
    """Guard against a connection that goes on with each answer that of the request before."""
    alignment = aligned(IDLE, (Request.SESSION, done()), (Request.SESSION, refused()))
    assert alignment.judge_unsolicited(1, answer).verdict is Verdict.CLOSE


@pytest.mark.parametrize(
    ('before', 'request_', 'answer', 'kind'),
    [
        (IDLE, Request.STATEMENT, done('-'), Irregularity.MISSING_RECEIPT),
        (OPEN, Request.COMMIT, done('-', 'x'), Irregularity.MISSING_RECEIPT),
        (IDLE, Request.STATEMENT, GREETING._replace(position=None), Irregularity.MALFORMED),
        (IDLE, Request.BEGIN, done('r1', state=OPEN), Irregularity.UNEXPECTED_RECEIPT),
        (IDLE, Request.SESSION, done('-', 'x'), Irregularity.UNEXPECTED_ROWS),
        (IDLE, Request.STATUS, done('-'), Irregularity.UNEXPECTED_ROWS),
        (IDLE, Request.BEGIN, done('-'), Irregularity.UNEXPECTED_STATE),
        (OPEN, Request.ROLLBACK, done('-', state=OPEN, offset=8), Irregularity.UNEXPECTED_STATE),
        (IDLE, Request.STATEMENT, done('r1', state=OPEN), Irregularity.UNEXPECTED_STATE),
        (OPEN, Request.STATEMENT, done('r1'), Irregularity.UNEXPECTED_STATE),
        (OPEN, Request.COMMIT, done('r1', state=OPEN), Irregularity.UNEXPECTED_STATE),
        (OPEN, Request.STATEMENT, refused(), Irregularity.UNEXPECTED_STATE),
        (IDLE, Request.STATEMENT, refused(state=OPEN), Irregularity.UNEXPECTED_STATE),
    ],
)
def test_an_answer_that_can_not_be_that_to_the_request_ends_the_connection(
    before, request_, answer, kind
):
    """Guard against the success of a request that another answer reports."""
    assert aligned(before).judge(1, request_, answer) == (Verdict.CLOSE, kind)


def test_a_commit_of_a_failed_transaction_does_not_succeed():
    """Guard against an acknowledged transaction that was rolled back."""
    alignment = aligned(OPEN)
    assert alignment.judge(1, Request.COMMIT, refused(state=FAILED)).verdict is Verdict.CONFIRM
    alignment.state = FAILED
    assert alignment.judge(2, Request.COMMIT, done('r1')).verdict is Verdict.CLOSE


def test_the_answer_to_pause_is_not_the_status_before():
    """Guard against a promotion of a replica that was not paused yet (LOST)."""
    before, after = done('-', STATUS_ROW), done('-', 'replica 3 3.9 4 0 0 1')
    alignment = aligned(IDLE, (Request.STATUS, before))
    assert alignment.judge(1, Request.PAUSE, before).verdict is Verdict.SKIP
    assert alignment.judge(2, Request.PAUSE, after).verdict is Verdict.ACCEPT
    assert alignment.judge(3, Request.STATUS, after).verdict is Verdict.ACCEPT


def test_answers_are_forgotten_when_they_can_not_be_repeated_any_more():
    """Guard against memory that grows with the number of statements on a connection."""
    exchanges = [(Request.STATEMENT, done(f'r{number}')) for number in range(100)]
    alignment = aligned(IDLE, *exchanges)
    alignment.forget(ANSWER_MEMORY_MS + 1)
    assert not alignment._seen


BUSY, OTHER, FAILURE = refused(), refused(Refusal.BEHIND), refused(Refusal.FAILED)
ROLLED_BACK = refused(state=FAILED)


@pytest.mark.parametrize(
    ('before', 'request_', 'refusal', 'answers', 'expected'),
    [
        # The refusal is that of the statement.
        (IDLE, Request.STATEMENT, BUSY, [done(), done()], BUSY),
        (IDLE, Request.STATEMENT, BUSY, [done(), refused(Refusal.UNPREPARED)], BUSY),
        (IDLE, Request.STATEMENT, BUSY, [BUSY, done(), done()], BUSY),
        (IDLE, Request.STATEMENT, BUSY, [done('r0'), done(), done()], BUSY),
        (IDLE, Request.BEGIN, BUSY, [done(), done()], BUSY),
        (OPEN, Request.STATEMENT, refused(state=OPEN), [done(state=OPEN)] * 2, refused(state=OPEN)),
        (OPEN, Request.COMMIT, ROLLED_BACK, [done()] * 3, ROLLED_BACK),
        # It is that of an earlier one.
        (IDLE, Request.STATEMENT, BUSY, [done('r1'), done(), done()], done('r1')),
        (IDLE, Request.STATEMENT, BUSY, [done(), done('r1'), done()], done('r1')),
        (IDLE, Request.STATEMENT, BUSY, [OTHER, done(), done()], OTHER),
        (IDLE, Request.STATEMENT, BUSY, [FAILURE, done(), done()], FAILURE),
        (IDLE, Request.STATEMENT, FAILURE, [BUSY, done(), done()], FAILURE),
        (IDLE, Request.BEGIN, BUSY, [done(state=OPEN)] * 3, done(state=OPEN)),
        (OPEN, Request.COMMIT, refused(state=OPEN), [done('r1'), done(), done()], done('r1')),
        (OPEN, Request.COMMIT, ROLLED_BACK, [done('r1'), *[done()] * 3], done('r1')),
        (OPEN, Request.COMMIT, ROLLED_BACK, [done('r1'), BUSY, done(), done()], done('r1')),
        (OPEN, Request.COMMIT, ROLLED_BACK, [done(), done('r1'), done(), done()], done('r1')),
        # Nothing can tell.
        (IDLE, Request.BEGIN, BUSY, [done(state=OPEN), done(offset=8)], None),
        (OPEN, Request.STATEMENT, refused(state=FAILED), [done('r1', state=OPEN)], None),
        (IDLE, Request.STATEMENT, BUSY, [done('r1', state=OPEN)], None),
        (IDLE, Request.STATEMENT, BUSY, [done(state=OPEN)], None),
    ],
)
def test_a_refusal_is_that_of_the_statement_or_gives_way_to_its_answer(
    before, request_, refusal, answers, expected
):
    """Guard against a promise that a statement which runs was not run (REFUSED, TWICE)."""
    alignment = aligned(before, (Request.STATEMENT, done('r0', state=before)))
    alignment.record(0, BUSY)
    assert alignment.judge(1, request_, refusal).verdict is Verdict.CONFIRM
    search = Confirmation(alignment, request_, refusal)
    for answer in answers:
        assert not search.failed and search.answered < len(search.probes)
        search.add(2, answer)
    if expected is None:
        assert search.failed and not alignment.resolve(search)
    else:
        assert search.answered == len(search.probes) and alignment.resolve(search)
        assert search.answer == expected


@pytest.mark.parametrize('own', [done('r1'), OTHER])
def test_a_connection_ends_after_a_session_command_that_may_have_been_refused(own):
    """Guard against statements under values of another session (PINNED)."""
    alignment = aligned(IDLE, (Request.SESSION, done()))
    # The first answer again, in place of the refusal that follows.
    assert alignment.judge(1, Request.SESSION, done()).verdict is Verdict.ACCEPT
    assert alignment.judge(2, Request.STATEMENT, BUSY).verdict is Verdict.CONFIRM
    search = Confirmation(alignment, Request.STATEMENT, BUSY)
    for answer in (own, done(), done()):
        search.add(3, answer)
    assert not alignment.resolve(search)


def test_the_values_are_not_trusted_if_a_session_command_and_a_statement_were_refused():
    """Guard against later statements under values that the member refused (PINNED)."""
    alignment = aligned(IDLE, (Request.SESSION, done()))
    assert alignment.judge(1, Request.SESSION, done()).verdict is Verdict.ACCEPT
    assert alignment.judge(2, Request.STATEMENT, FAILURE).verdict is Verdict.CONFIRM
    search = Confirmation(alignment, Request.STATEMENT, FAILURE)
    for answer in (BUSY, done(), done()):
        search.add(3, answer)
    assert not search.failed and not alignment.resolve(search)


def test_a_refused_statement_outside_a_transaction_may_leave_it_failed():
    """Guard against a refusal that is reported as an unknown outcome because of its state."""
    refusal = refused(state=FAILED)
    assert aligned().judge(1, Request.STATEMENT, refusal).verdict is Verdict.ACCEPT
    alignment = aligned(IDLE, (Request.SESSION, done()))
    assert alignment.judge(1, Request.STATEMENT, refusal).verdict is Verdict.CONFIRM
