"""Statements and answers that do not reach their peer as they were sent."""

from __future__ import annotations

import pytest
from eventlet.green import socket

from godwitthread.clock import Clock
from godwitthread.core.statements import Refusal, Result
from godwitthread.gateway.sessions import Sessions
from godwitthread.loop import eventlet
from godwitthread.platform.caller_connection import serve
from godwitthread.platform.member_connection import MemberConnection
from tests.test_gateway.fakes import configuration, quiet_log
from tests.test_wire import codec

#: Bytes that are data in the last field of a line, wherever they stand.
ODD_TEXTS = [b'v\r', b'\rv', b'v\nw', b'\n', b'v\r\r', b'v\n\r', b'a\x00b', b'\x85\xa0\xff']


def requests_of(*queries: bytes) -> list:
    """Return the requests that an instance forwards for the queries of one caller."""
    clock, cfg, forwarded = Clock(), configuration(), []

    def run(req, _):
        forwarded.append(req)
        return Result(receipt='r'), 'owner'

    sessions = Sessions(clock, lambda: cfg, run, quiet_log(clock), lambda *_: None)
    near, far = socket.socketpair()
    thread = eventlet.spawn(serve, far, sessions)
    near.sendall(codec.lines(b'START orders-db k1', *(b'QUERY ' + query for query in queries)))
    near.shutdown(socket.SHUT_WR)
    thread.wait()
    near.close()
    return forwarded


def test_data_with_a_line_feed_do_not_start_a_second_statement():
    """Guard against statements that nobody sent (UNASKED)."""
    (req,) = requests_of(b'1 WRITE a x\nQUERY 2 WRITE b y')
    assert (req.statement_id, req.text) == ('1', 'WRITE a x\nQUERY 2 WRITE b y')


@pytest.mark.parametrize('text', ODD_TEXTS)
def test_values_shapes_and_data_are_passed_on_unchanged(text):
    """Guard against statements under other values or with another shape (PINNED, UNASKED)."""
    expected = text.decode('latin-1')
    (req,) = requests_of(b'1 SET v ' + text, b'2 PREPARE s READ ' + text, b'3 EXEC s i ' + text)
    assert req.values == (('v', expected),)
    assert (req.prepared.shape, req.arguments) == (expected, f'i {expected}')


class Member:
    """Far end of a connection, which sends what the test says."""

    def __init__(self) -> None:
        near, self._sock = socket.socketpair()
        self.conn = MemberConnection(near, 'o')

    def send(self, data: bytes) -> None:
        self._sock.sendall(data)

    def run(self, statement_id: str, text: str, *answers: bytes):
        """Run a statement for which the member sends answers after it was received."""

        def answer() -> None:
            self._sock.recv(10_000)
            for each in answers:
                self._sock.sendall(each)
                eventlet.sleep(0)

        eventlet.spawn(answer)
        return self.conn.run(statement_id, text, 200)


@pytest.mark.parametrize('text', ODD_TEXTS)
def test_rows_are_passed_on_unchanged(text):
    """Guard against rows that differ from those that the member sent (MIXED)."""
    reply = Member().run('1', 'READ a', codec.answer(b'r1', text, b'w'))
    assert reply.rows == (text.decode('latin-1'), 'w')
    assert reply.receipt == 'r1'


def test_a_row_does_not_contain_the_end_of_its_answer():
    """Guard against a receipt that data forge (MIXED)."""
    forged = b'v\nDONE forged\nREADY I 9.9'
    reply = Member().run('1', 'READ a', codec.answer(b'r1', forged))
    assert (reply.rows, reply.receipt) == ((forged.decode(),), 'r1')


def test_an_answer_that_was_repeated_at_once_is_not_that_to_the_next_statement():
    """Guard against a second answer that waits in the buffer of the connection (MIXED)."""
    member = Member()
    member.run('1', 'READ a', codec.answer(b'r1', b'x') * 2)
    reply = member.run('2', 'READ b', codec.answer(b'r2', b'y'))
    assert reply.refusal is not None or (reply.rows, reply.receipt) == (('y',), 'r2')


def test_a_late_second_answer_is_not_that_to_the_statement_in_progress():
    """Guard against a second answer that arrives after the next statement was sent (MIXED)."""
    member = Member()
    first = codec.answer(b'r1', b'x')
    member.run('1', 'READ a', first)
    reply = member.run('2', 'READ b', first, codec.answer(b'r2', b'y'))
    assert reply.refusal is not None or (reply.rows, reply.receipt) == (('y',), 'r2')


def test_a_late_second_refusal_does_not_refuse_a_statement_that_runs():
    """Guard against a write that is reported as not run although it ran (REFUSED)."""
    member = Member()
    busy = codec.refusal(b'BUSY')
    assert member.run('1', 'WRITE a x', busy).refusal is Refusal.BUSY
    reply = member.run('2', 'WRITE b y', busy, codec.answer(b'r2'))
    assert reply.refusal is Refusal.LOST or reply.receipt == 'r2'
