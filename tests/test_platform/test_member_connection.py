"""Tests of connections to backend servers that send malformed numbers."""

from __future__ import annotations

import socket

import msgspec
import pytest

from godwitthread.clock import Clock
from godwitthread.core.statements import Refusal, Reply
from godwitthread.gateway.ports import MemberStatus
from godwitthread.platform.member_connection import ConnectionObserver, MemberConnection
from godwitthread.types import Position
from tests.test_platform.test_line_protocol import ChunkedSocket

NUMBERS = ('', '-1', '1.5', 'x', 'Infinity', '1e9', '\xb2', '9' * 19, '9' * 400, '9' * 5_000)


class ScriptedMember(ChunkedSocket):
    """Member that sends the given lines whatever it receives."""

    def __init__(self, *lines: str) -> None:
        super().__init__([f'{line}\r\n'.encode('latin-1') for line in lines])
        #: Idle socket that stands for the one of the connection.
        self._idle, self._far = socket.socketpair()

    def fileno(self):
        return self._idle.fileno()

    def settimeout(self, timeout_s):
        pass

    def sendall(self, data):
        pass

    def close(self):
        pass


@pytest.mark.parametrize('number', NUMBERS)
@pytest.mark.parametrize('text', ['{}.5', '3.{}'])
def test_a_malformed_position_is_none(text, number):
    """Guard against an unexpected error of a statement, and a result that can't be sent on."""
    member = ScriptedMember('ROW x', 'DONE r', f'READY I {text.format(number)}')
    reply = MemberConnection(member, 'o').run('1', 'READ a', 100)
    assert reply == Reply(('x',), 'r')
    msgspec.msgpack.encode(reply)


@pytest.mark.parametrize('number', NUMBERS)
def test_a_status_with_a_malformed_term_is_no_status(number):
    """Guard against an unexpected error that ends the search for a new primary."""
    row = f'ROW replica {number} 3.7 0 12 2 17'
    member = ScriptedMember(row, 'DONE -', 'READY I 3.7')
    assert MemberConnection(member, 'o').status(100) is None


@pytest.mark.parametrize('number', NUMBERS)
def test_a_status_with_another_malformed_number_lacks_that_number(number):
    """Guard against a member that can't be promoted because of a number that is not needed."""
    member = ScriptedMember(f'ROW replica 3 3.{number} {number} x', 'DONE -', 'READY I 3.7')
    assert MemberConnection(member, 'o').status(100) == MemberStatus(False, 3, None)


def test_the_largest_numbers_are_read():
    """Guard against a limit below the numbers that members use."""
    largest = 10**18 - 1
    member = ScriptedMember('DONE r', f'READY I {largest}.{largest}')
    reply = MemberConnection(member, 'o').run('1', 'READ a', 100)
    assert reply.position == Position(largest, largest)
    assert msgspec.msgpack.encode(reply.position)


def test_a_connection_is_closed_after_an_unexpected_line():
    """Guard against a late answer that is taken for the answer to the next statement."""
    conn = MemberConnection(ScriptedMember('NONSENSE'), 'o')
    assert conn.run('1', 'READ a', 100).refusal is Refusal.LOST
    assert conn.closed


def test_a_large_answer_is_counted_while_it_is_received():
    """Guard against answers that members send and that no account shows, and against leaks."""
    counted = []
    chunks = [
        b'ROW ' + b'x' * 9_000,
        b'y' * 9_000 + b'\r\n',
        b'ROW z',
        b'\r\nDONE r2\r\nREADY I -\r\n',
    ]
    member = ScriptedMember()
    member._chunks = [b'ROW a\r\nDONE r\r\nREADY I -\r\n', *chunks, b'ROW ' + b'x' * 5_000]
    observer = ConnectionObserver(Clock(), counted.append, lambda *_: None, lambda: None)
    conn = MemberConnection(member, 'o', 'm0', observer)
    assert conn.run('1', 'READ a', 100).rows == ('a',)
    assert counted == []
    assert conn.run('2', 'READ a', 100).rows == ('x' * 9_000 + 'y' * 9_000, 'z')
    assert counted[0] == 9_004 and max(counted) > 8_000
    assert conn.run('3', 'READ a', 100).refusal is Refusal.LOST
    assert sum(counted) == 0
