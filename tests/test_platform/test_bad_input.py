"""Tests of the line protocol with invalid input from callers."""

from __future__ import annotations

import socket

import eventlet
import pytest

from godwitthread.clock import Clock
from godwitthread.core.caller_limits import CallerLimits
from godwitthread.core.statements import Result, failure
from godwitthread.errors import ErrorKind
from godwitthread.gateway.caller_guard import CallerGuard
from godwitthread.gateway.sessions import Sessions
from godwitthread.platform import caller_connection
from godwitthread.platform.line_protocol import MAX_LINE_BYTES
from tests.test_gateway.fakes import configuration, quiet_log

START = b'START orders-db k1\r\n'


@pytest.fixture
def sessions():
    """Return the session registry of an instance on which all statements succeed."""
    clock, cfg = Clock(), configuration()
    return Sessions(
        clock,
        lambda: cfg,
        lambda req, holder: (Result(('x',), 'receipt'), 'owner'),
        quiet_log(clock),
        lambda *_: None,
    )


@pytest.fixture
def caller(sessions):
    """Return a function that opens a connection, sends data and returns the socket."""
    sockets = []

    def send(data):
        near, far = socket.socketpair()
        sockets.append(near)
        near.settimeout(2)
        eventlet.spawn(caller_connection.serve, far, sessions)
        near.sendall(data)
        return near

    yield send
    for sock in sockets:
        sock.close()


def receive_all(sock, size=4_096):
    """Return the data that is received within 0.2 s."""
    data = b''
    with eventlet.Timeout(0.2, False):
        while chunk := sock.recv(size):
            data += chunk
    return data


@pytest.mark.parametrize('line', [b'', b'HELLO', b'START', b'GET / HTTP/1.1', b'\xff\xfe'])
def test_connection_without_valid_start_line_is_closed(caller, sessions, line):
    """Guard against sessions without a database and responses to clients of other protocols."""
    sock = caller(line + b'\r\n')
    assert receive_all(sock) == b''
    assert sock.recv(1) == b''
    assert len(sessions) == 0


@pytest.mark.parametrize(
    ('database', 'key', 'code'),
    [
        (b'nowhere', b'k1', b'NODB'),
        (b'orders-db', b'', b'NOAUTH'),
        (b'orders-db', b'k1 k2', b'NOAUTH'),
        (b'orders-db', b'\xc3\xa5 \x00\t%s{}', b'NOAUTH'),
        (b'orders-db', b'k' * 2_000, b'NOAUTH'),
    ],
)
def test_invalid_database_or_key_is_rejected_with_its_code(caller, database, key, code):
    """Guard against acceptance of a similar key, and against an internal error."""
    assert receive_all(caller(b'START ' + database + b' ' + key + b'\r\n')).startswith(
        b'ERR ' + code
    )


@pytest.mark.parametrize(
    'line', [b'QUERY', b'QUERY 1', b'QUERY 1 DROP x', b'QUERY 1 READ', b'PING', b'\xff\x00', b'']
)
def test_malformed_statement_is_rejected_with_a_code(caller, line):
    """Guard against a session that ends or executes something after a malformed statement."""
    sock = caller(START + line + b'\r\n' + b'QUERY 2 READ a\r\n')
    data = receive_all(sock)
    assert b'ERR MALFORMED' in data
    assert data.endswith(b'ROW x\r\nDONE receipt\r\nREADY I -\r\n')


def test_overlong_start_line_closes_the_connection(caller, sessions):
    """Guard against exhaustion of the memory by many unauthenticated callers."""
    sock = caller(b'START ' + b'x' * (caller_connection.MAX_START_LINE_BYTES + 1))
    assert receive_all(sock) == b''
    assert sock.recv(1) == b''


def test_overlong_statement_ends_the_session(caller, sessions):
    """Guard against exhaustion of the memory by a statement without a line end."""
    sock = caller(START)
    assert receive_all(sock) == b'READY I -\r\n'
    with pytest.raises(OSError):
        for _ in range(MAX_LINE_BYTES // 65_536 + 40):
            sock.sendall(b'x' * 65_536)
            eventlet.sleep(0.001)
    assert len(sessions) == 0


def test_incomplete_line_does_not_block_other_sessions(caller):
    """Guard against one slow caller that blocks the others."""
    slow = caller(START + b'QUERY 1 RE')
    assert receive_all(slow) == b'READY I -\r\n'
    assert b'receipt' in receive_all(caller(START + b'QUERY 2 READ a\r\n'))
    slow.sendall(b'AD a\r\n')
    assert b'receipt' in receive_all(slow)


def test_statements_sent_ahead_do_not_stop_the_loop(sessions):
    """Guard against a caller whose next line is always ready, so that nothing else runs."""
    lines = [b'START orders-db k1\r\n', *[b'QUERY 1 SET a b\r\n'] * 300]
    sock, turns = Endless(b''.join(lines)), []

    def count():
        while not sock.ended:
            turns.append(1)
            eventlet.sleep(0)

    eventlet.spawn(count)
    caller_connection.serve(sock, sessions)
    assert len(turns) > 200


class Endless:
    """Fake socket whose data is always ready, and whose answers are taken at once."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.ended = False

    def recv(self, size: int) -> bytes:
        data, self._data = self._data[:size], self._data[size:]
        return data

    def sendall(self, data: bytes) -> None:
        pass

    def close(self) -> None:
        self.ended = True


def test_large_ids_are_not_kept_in_the_log(sessions, caller, monkeypatch):
    """Guard against events in memory that hold the text of callers."""
    logged = []
    monkeypatch.setattr(sessions.log, 'failure', lambda name, **fields: logged.append(fields))
    monkeypatch.setattr(
        sessions,
        'run',
        lambda req, holder: (failure(ErrorKind.OVERLOADED, 'busy'), None),
    )
    sock = caller(START + b'QUERY ' + b'i' * 100_000 + b' READ a\r\n')
    assert b'ERR BUSY' in receive_all(sock)
    assert len(logged[0]['request']) < 1_000


def test_a_caller_that_sends_ahead_gets_its_answer_before_the_end(sessions, monkeypatch):
    """Guard against an answer that the caller's system discards, since unread data was left."""
    guard = CallerGuard(CallerLimits(memory_bytes=1), sessions.clock, sessions.log)
    with socket.create_server(('127.0.0.1', 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    near.settimeout(5)

    def run(req, holder):
        near.sendall(b'QUERY 2 READ b\r\n' * 5_000)
        (account,) = guard.budget.accounts
        guard.charge(account, unread=2_000_000)
        assert account.last
        return Result(('y' * 3_000_000,), 'receipt'), 'owner'

    monkeypatch.setattr(sessions, 'run', run)
    thread = eventlet.spawn(caller_connection.serve, far, sessions, guard)
    near.sendall(START + b'QUERY 1 READ a\r\n')
    data = b''
    while piece := near.recv(65_536):
        data += piece
    near.close()
    thread.wait()
    assert data.count(b'READY') == 2
    assert b'y' * 3_000_000 in data
    assert guard.budget.used == 0
    assert guard.connections == len(sessions) == 0
