"""Refusals on a connection to a member that may be those of earlier requests."""

from __future__ import annotations

import pytest

from godwitthread.core.statements import Refusal, TxState
from tests.test_wire import codec
from tests.test_wire.far_end import FarEnd

BUSY = codec.refusal(b'BUSY')
DONE = codec.answer(b'-')
NO_NAME = codec.refusal(b'NOSTMT')


@pytest.mark.parametrize(
    ('answers', 'refusal', 'reported'),
    [
        ([BUSY, DONE, NO_NAME], Refusal.BUSY, 'confirmed_refusal'),
        ([BUSY + codec.answer(b'r1'), DONE, DONE], None, 'repeated_refusal'),
        ([BUSY, codec.answer(b'r1') + DONE, NO_NAME], None, 'repeated_refusal'),
        ([BUSY, DONE, b''], Refusal.LOST, 'unconfirmed_refusal'),
    ],
)
def test_a_refusal_is_confirmed_or_gives_way_to_the_own_answer(answers, refusal, reported):
    """Guard against a write that is reported as not run although it ran (REFUSED)."""
    end = FarEnd()
    assert end.run('1', 'WRITE a x', BUSY).refusal is Refusal.BUSY
    assert len(end.requests) == 1
    assert end.run('2', 'WRITE b y', *answers).refusal is refusal
    names = [request.split(b' ')[2:4] for request in end.requests[2:]]
    assert names == [[b'PREPARE', b'confirm'], [b'DEALLOC', b'confirm\r\n']]
    assert end.reported == [reported]
    assert end.conn.closed == (refusal is Refusal.LOST)


def test_a_refused_commit_is_confirmed_by_the_end_of_its_transaction():
    """Guard against a commit that is reported as rolled back although it was kept (REFUSED)."""
    end = FarEnd()
    end.run('-', 'BEGIN', codec.answer(b'-', state=b'T'))
    stale = codec.refusal(b'READONLY', state=b'E')
    reply = end.run('1', 'COMMIT', stale + codec.answer(b'r1'), DONE, DONE, DONE)
    assert (reply.refusal, reply.receipt) == (None, 'r1')
    assert end.requests[-3].endswith(b'ROLLBACK\r\n')
    assert end.conn.state is TxState.IDLE
