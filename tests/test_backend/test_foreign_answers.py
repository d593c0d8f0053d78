"""Answers of a backend server that belong to another statement, or to none."""

from __future__ import annotations

import pytest

from godwitthread.errors import Outcome, ProxyError
from godwitthread.loop import eventlet
from tests.test_backend.scripted_backend import READY, ScriptedBackend, answer, message


@pytest.mark.parametrize('rest', [answer(b'a'), READY, b'Z'], ids=['answer', 'ready', 'part'])
@pytest.mark.parametrize('late', [False, True])
def test_nothing_is_sent_on_a_connection_with_unread_input(rest, late):
    """Guards against the answer to an earlier statement of a transaction (MIXED)."""
    first = [answer(b'a'), rest] if late else [answer(b'a') + rest]
    backend = ScriptedBackend(first, [answer(b'b')])
    conn = backend.connect()
    assert conn.run('SELECT 1').rows == [['a']]
    eventlet.sleep(0.05)
    with pytest.raises(ProxyError) as caught:
        conn.run('SELECT 2')
    assert (caught.value.outcome, conn.broken) == (Outcome.NOT_RUN, True)
    assert len(backend.received) == 1


def test_notices_between_the_messages_of_an_answer_are_no_part_of_it():
    """Guards against a connection that is given up for a notice or a changed parameter."""
    notice = message(b'N', b'SNOTICE\0\0')
    parameter = message(b'S', b'TimeZone\0UTC\0')
    conn = ScriptedBackend([notice + parameter + answer(b'a')]).connect()
    assert (conn.run('SELECT 1').rows, conn.alive()) == ([['a']], True)
