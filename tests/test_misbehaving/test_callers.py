"""A gateway process beside crowds of callers that misbehave, with an honest caller throughout."""

from __future__ import annotations

import socket

import pytest

from godwitthread.loop import eventlet
from tests.test_misbehaving.crowd import LARGE_ITEM, SMALL_ITEM, started

#: Largest ratio between the processor time for single bytes behind a long and a short line.
MAX_RATIO = 2.5


@pytest.fixture
def crowd(tmp_path):
    yield from started(tmp_path)


def test_unfinished_lines(crowd):
    """Guard against memory that each connection holds for an unfinished line for ever."""

    def behave(sock):
        crowd.start_session(sock)
        crowd.send(sock, b'QUERY 1 WRITE a ' + b'x' * 700_000)

    crowd.join(150, behave)
    crowd.wait_until_quiet()
    crowd.check()


def test_lines_in_single_bytes(crowd):
    """Guard against a loop that is stopped by copying the received part for each further byte."""

    def ticks(length):
        def behave(sock):
            crowd.start_session(sock)
            crowd.send(sock, b'QUERY 1 READ a ' + b'x' * length)
            for _ in range(4_000):
                crowd.send(sock, b'x')
                eventlet.sleep(0.0005)

        before = crowd.processor_ticks()
        crowd.join(3, behave)
        crowd.wait_until_quiet()
        used = crowd.processor_ticks() - before
        crowd.check()
        return used

    short, long = ticks(10), ticks(1_000_000)
    print(f'processor time: {short} ticks behind a short line, {long} behind a long one')  # noqa: T201
    assert long <= MAX_RATIO * short


def test_lines_over_the_limit(crowd):
    """Guard against memory for lines that are far longer than the limit."""

    def behave(sock):
        crowd.start_session(sock)
        crowd.send(sock, b'QUERY 1 WRITE a ' + b'x' * 3_000_000 + b'\r\n')

    crowd.join(120, behave)
    crowd.wait_until_quiet()
    crowd.check()


def test_a_thousand_statements_sent_ahead(crowd):
    """Guard against statements that pile up while their answers are not read."""

    def behave(sock):
        crowd.start_session(sock)
        line = f'QUERY 1 READ {LARGE_ITEM} {"x" * 2_000}\r\n'.encode()
        crowd.send(sock, line * 1_000)

    crowd.join(160, behave)
    crowd.wait_until_quiet()
    crowd.check()


def test_readers_that_stop_in_a_large_answer(crowd):
    """Guard against answers that stay in memory because their readers have stopped."""

    def behave(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        crowd.start_session(sock)
        # The first ones stay in the buffers of the kernel.
        crowd.send(sock, f'QUERY 1 READ {LARGE_ITEM}\r\n'.encode() * 8)
        sock.recv(100)
        crowd.progress += 1

    crowd.join(160, behave)
    crowd.wait_until_quiet()
    crowd.check()


def test_writers_that_stop_half_way(crowd):
    """Guard against writes whose second half never comes, of sessions that were served before."""

    def behave(sock):
        crowd.start_session(sock)
        crowd.execute(sock, f'READ {SMALL_ITEM}')
        crowd.send(sock, b'QUERY 1 WRITE b ' + b'x' * 500_000)

    crowd.join(200, behave)
    crowd.wait_until_quiet()
    crowd.check()


@pytest.mark.parametrize('statement', ['SET', 'PREPARE'])
def test_session_state_without_end(crowd, statement):
    """Guard against sessions that keep whatever their callers set or prepare."""
    value = ('READ ' if statement == 'PREPARE' else '') + 'x' * 30_000

    def behave(sock):
        crowd.start_session(sock)
        for number in range(150):
            crowd.execute(sock, f'{statement} name{number} {value}')

    crowd.join(40, behave)
    crowd.wait_until_quiet()
    crowd.check()


def test_connections_without_a_start(crowd):
    """Guard against connections that keep descriptors without ever opening a session."""
    crowd.join(600, lambda _: None)
    crowd.wait_until_quiet()
    crowd.check()
