"""Answers on a connection to a member, from the socket to the result of a statement."""

from __future__ import annotations

import eventlet as plain_eventlet
import pytest
from greenlet import GreenletExit

from godwitthread.core.statements import Refusal, TxState
from godwitthread.loop import eventlet
from godwitthread.platform import answer_reader
from godwitthread.sockets import unread_bytes
from tests.test_wire import codec
from tests.test_wire.far_end import FarEnd

READ_1 = codec.answer(b'r1', b'x')
READ_2 = codec.answer(b'r2', b'y')
DONE = codec.answer(b'-')


@pytest.mark.parametrize(
    'answer',
    [
        codec.lines(b'ROW x', b'READY I 3.9'),
        codec.lines(b'READY I 3.9'),
        codec.lines(b'DONE r1', b'DONE r1', b'READY I 3.9'),
        codec.lines(b'DONE r1', b'ERR BUSY', b'READY I 3.9'),
        codec.lines(b'DONE r1', b'ROW x', b'READY I 3.9'),
        codec.lines(b'DONE', b'READY I 3.9'),
        codec.lines(b'DONE r1', b'READY X 3.9'),
        codec.lines(b'NONSENSE'),
        codec.answer(b'-', b'x'),
    ],
)
def test_an_answer_that_breaks_the_grammar_has_an_unknown_outcome(answer):
    """Guard against a result that was put together from parts of two answers."""
    end = FarEnd()
    assert end.run('1', 'READ a', answer).refusal is Refusal.LOST
    assert end.conn.closed and len(end.reported) == 1


def test_an_answer_outside_the_transaction_shows_that_state():
    """Guard against a promise of a rollback for a write that ran on its own (ABORTED)."""
    end = FarEnd()
    end.run('-', 'BEGIN', codec.answer(b'-', state=b'T'))
    assert end.run('1', 'WRITE a x', codec.answer(b'r1')).refusal is Refusal.LOST
    assert end.conn.closed and end.conn.state is TxState.IDLE


def test_a_refusal_that_was_cut_off_promises_nothing():
    """Guard against a promise by an answer whose end was lost."""
    end = FarEnd()
    eventlet.spawn_after(0.02, end.sock.close)
    assert end.run('1', 'WRITE a x', codec.lines(b'ERR BUSY i-1')).refusal is Refusal.LOST


@pytest.mark.parametrize('size', [1, len(READ_1) - 1])
def test_the_rest_of_a_repeated_answer_is_not_that_to_the_next_statement(size):
    """Guard against rows of an earlier statement that arrived in part when the next was sent."""
    end = FarEnd()
    end.run('1', 'READ a', READ_1)
    end.send(READ_1[:size])
    reply = end.run('2', 'READ b', READ_1[size:] + READ_2)
    assert (reply.rows, reply.receipt) == (('y',), 'r2')
    assert end.reported == ['unsolicited']


@pytest.mark.parametrize('size', [len(READ_2), 5])
def test_an_unknown_answer_ends_the_connection_before_a_statement_is_sent(size):
    """Guard against a connection on which each answer is that to the request before."""
    end = FarEnd()
    end.run('1', 'READ a', READ_1)
    end.send(READ_2[:size])
    reply = end.run('2', 'READ b', READ_2[size:])
    assert end.conn.closed
    assert reply.refusal is (Refusal.UNREACHABLE if size == len(READ_2) else Refusal.LOST)


def test_repeated_answers_on_an_idle_connection_are_dropped():
    """Guard against the loss of a connection whose answers can be told apart."""
    end = FarEnd()
    end.run('1', 'READ a', READ_1)
    end.run('-', 'SET v w', DONE)
    end.send(DONE + READ_1)
    assert end.conn.alive()
    assert end.run('2', 'READ b', READ_2).receipt == 'r2'


@pytest.mark.parametrize('in_flight', [False, True])
def test_a_member_that_repeats_an_answer_without_end_loses_its_connection(in_flight):
    """Guard against an instance that processes nothing else meanwhile."""
    end, many = FarEnd(), READ_1 * 1_000
    end.run('1', 'READ a', READ_1)
    if in_flight:
        assert end.run('2', 'READ b', many + READ_2).refusal is Refusal.LOST
    else:
        end.send(many)
    assert not end.conn.alive()


def test_an_answer_without_end_is_not_awaited_before_a_statement(monkeypatch):
    """Guard against an instance that processes nothing else while rows arrive."""
    monkeypatch.setattr(answer_reader, 'MAX_READS_AT_A_TIME', 2)
    end = FarEnd()
    end.send(codec.lines(b'ROW ' + b'x' * 90_000))
    assert end.conn.alive() and unread_bytes(end.conn._sock)


def test_a_repeated_greeting_is_no_answer():
    """Guard against a statement that fails because of the second answer to START."""
    end, greeting = FarEnd(), codec.lines(b'READY I 3.9')
    end.send(greeting + greeting)
    assert end.conn.read_greeting().refusal is None
    assert end.run('1', 'READ a', greeting + READ_1).receipt == 'r1'


def leave_after(seconds: float, error: type[BaseException]) -> FarEnd:
    """Return a connection on which a green thread gave up a statement without an answer."""
    end = FarEnd()
    thread = eventlet.spawn(end.conn.run, '1', 'READ a', 5_000)
    eventlet.sleep(seconds)
    thread.kill(error)
    eventlet.sleep(0)
    return end


@pytest.mark.parametrize('error', [GreenletExit, plain_eventlet.Timeout, ValueError])
def test_a_statement_that_is_given_up_ends_its_connection(error):
    """Guard against its answer as that to the next statement on the connection."""
    end = leave_after(0.01, error)
    assert end.conn.closed and not end.conn.alive()
    assert end.conn.run('2', 'READ b', 100).refusal is Refusal.UNREACHABLE


def test_a_second_statement_beside_one_in_progress_ends_the_connection():
    """Guard against two green threads that take each other's answers."""
    end = FarEnd()
    first = eventlet.spawn(end.conn.run, '1', 'READ a', 5_000)
    eventlet.sleep(0.01)
    assert end.conn.run('2', 'READ b', 100).refusal is Refusal.UNREACHABLE
    assert first.wait().refusal is Refusal.LOST


def test_a_refused_rollback_or_session_command_ends_the_connection():
    """Guard against a connection whose transaction or session values are not known."""
    for call in (lambda conn: conn.rollback(300), lambda conn: conn.set_value('v', 'w', 300)):
        end = FarEnd()
        end.answer(codec.refusal(b'BUSY'))
        call(end.conn)
        assert end.conn.closed


def test_a_statement_of_a_caller_may_have_the_id_of_the_gateway():
    """Guard against a success that is reported as an unknown outcome because of the id."""
    assert FarEnd().run('-', 'READ a', READ_1).rows == ('x',)


def test_other_threads_run_while_a_long_answer_is_read(monkeypatch):
    """Guard against an instance that processes nothing else while an answer goes on."""
    monkeypatch.setattr(answer_reader, 'MAX_READS_AT_A_TIME', 2)
    end, turns = FarEnd(), []
    end.send(codec.answer(b'r1', b'x' * 90_000))
    eventlet.spawn(turns.append, 1)
    assert end.conn._answers.read().receipt == 'r1' and turns
