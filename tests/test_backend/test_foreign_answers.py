"""Answers of a backend server that belong to another statement, or to none."""

from __future__ import annotations

import pytest

from godwitthread.backend.errors import OpenError, StatementError
from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.loop import eventlet
from tests.test_backend.scripted_backend import (
    DONE,
    PARSED,
    READY,
    ScriptedBackend,
    answer,
    message,
    row,
)


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


@pytest.mark.parametrize('stale', [READY, DONE, row(b'a') + DONE], ids=['ready', 'done', 'row'])
def test_an_answer_of_another_form_is_not_that_to_the_statement(stale):
    """Guards against a late answer that is taken for a success without rows (MIXED)."""
    conn = ScriptedBackend([stale, answer(b'b')]).connect()
    with pytest.raises(ProxyError) as caught:
        conn.run('SELECT 1')
    assert (caught.value.kind, conn.broken) == (ErrorKind.CONNECTION_LOST, True)


@pytest.mark.parametrize('stale', [READY, answer(b'a'), DONE], ids=['ready', 'answer', 'done'])
def test_a_late_answer_does_not_confirm_a_commit(stale):
    """Guards against a position from another answer, and a commit that is confirmed by one."""
    conn = ScriptedBackend([stale, DONE]).connect()
    with pytest.raises(ProxyError) as caught:
        conn.commit()
    assert (caught.value.kind, conn.broken) == (ErrorKind.CONNECTION_LOST, True)


def test_notices_between_the_messages_of_an_answer_are_no_part_of_it():
    """Guards against a connection that is given up for a notice or a changed parameter."""
    notice = message(b'N', b'SNOTICE\0\0')
    parameter = message(b'S', b'TimeZone\0UTC\0')
    conn = ScriptedBackend([notice + parameter + answer(b'a')]).connect()
    assert (conn.run('SELECT 1').rows, conn.alive()) == ([['a']], True)


@pytest.mark.parametrize(
    'malformed', [message(b'?'), message(b'D', b'\0\5'), message(b'T', b'\0\1x')]
)
def test_an_answer_that_cannot_be_read_has_an_unknown_outcome(malformed):
    """Guards against an unexpected error, which no handler of lost connections catches."""
    conn = ScriptedBackend([message(b'1') + malformed + DONE]).connect()
    with pytest.raises(ProxyError) as caught:
        conn.run('SELECT 1')
    assert (caught.value.kind, conn.broken) == (ErrorKind.CONNECTION_LOST, True)


def test_a_connection_that_cannot_be_opened_is_refused():
    """Guards against a slot of the pool that stays taken by a connection being opened."""
    with pytest.raises(OpenError):
        ScriptedBackend(greeting=message(b'?') + READY).connect()


def test_the_position_is_read_although_the_transaction_has_failed():
    """Guards against an outstanding answer that is taken for that to the next request (MIXED)."""
    failed = message(b'Z', b'E')
    first = PARSED + message(b'C', b'SELECT 1\0') + failed
    position = row(b'1') + message(b'C', b'SELECT 1\0') + failed
    backend = ScriptedBackend([message(b'C', b'BEGIN\0') + failed], [first, position])
    conn = backend.connect()
    conn.begin()
    with pytest.raises(StatementError):
        conn.run('SELECT 1', want_position=True)
    eventlet.sleep(0.05)
    assert conn.alive()
