"""Answers of a member that repeats some of them at any later time."""

from __future__ import annotations

import random

import pytest

from godwitthread.core.answer_alignment import Request
from godwitthread.core.statements import TxState
from tests.test_wire.stuttering_member import ModelConnection, StutteringMember

CONNECTIONS = 300
LENGTH = 30


def next_request(rng: random.Random, state: TxState) -> Request:
    """Return a request that is possible in a transaction state."""
    if state is TxState.FAILED:
        return Request.ROLLBACK
    others = [Request.STATEMENT, Request.STATEMENT, Request.SESSION]
    if state is TxState.IDLE:
        return rng.choice([*others, Request.BEGIN])
    return rng.choice([*others, Request.COMMIT, Request.ROLLBACK])


@pytest.mark.parametrize('refusals', [0.0, 0.3])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_repeated_answer_decides_no_other_statement(seed, refusals):
    """Guard against rows, receipts, refusals and session values of another request."""
    rng, repeated, closed = random.Random(seed), 0, 0
    for _ in range(CONNECTIONS):
        member = StutteringMember(rng, refusals)
        conn, value = ModelConnection(member), 0
        for number in range(1, LENGTH):
            request = next_request(rng, conn.alignment.state)
            accepted, own = conn.run(request, number)
            if conn.closed:
                break
            if request in (Request.STATEMENT, Request.COMMIT):
                assert (accepted.refusal is None) == (own.refusal is None)
                assert accepted.receipt == own.receipt
                assert accepted.refusal is not None or accepted.rows == (str(value),)
            elif request is Request.SESSION:
                value = value if accepted.refusal else number
            if request is Request.SESSION and accepted.refusal is not None:
                break
        closed += conn.closed
        repeated += member.answers_repeated
    assert repeated > CONNECTIONS
    assert refusals or closed < repeated / 20
