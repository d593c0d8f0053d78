"""Usage call of the platform."""

from __future__ import annotations

import socket

import pytest

from godwitthread.address import Address
from godwitthread.gateway.ports import UsageReport, UsageResult
from godwitthread.loop import eventlet
from godwitthread.platform.usage_report import post


@pytest.fixture
def platform():
    """Serve one call with the given answer; return the address and what was received."""
    listener = socket.create_server(('127.0.0.1', 0))
    received: list[bytes] = []

    def serve(answer: bytes) -> Address:
        def run() -> None:
            conn, _ = listener.accept()
            received.append(conn.recv(65_536))
            while received[-1] and b'}}' not in received[-1]:
                received[-1] += conn.recv(65_536)
            conn.sendall(answer)
            conn.close()

        eventlet.spawn(run)
        return Address(*listener.getsockname())

    yield serve, received
    listener.close()


def report(may_send: bool = True) -> UsageReport:
    return UsageReport(353_445_120, {'bode960': 412}, 'gw-1', 12, lambda: may_send)


@pytest.mark.parametrize(
    ('status', 'result'),
    [
        ('200 OK', UsageResult.DONE),
        ('409 Conflict', UsageResult.REFUSED),
        ('429 Slow', UsageResult.FAILED),
        ('503 Down', UsageResult.FAILED),
        ('', UsageResult.FAILED),
    ],
)
def test_each_answer_has_its_result(platform, status, result):
    """Guard against a refusal that is repeated, and an unknown outcome taken for a success."""
    serve, received = platform
    answer = f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'.encode() if status else b''
    assert post(serve(answer), report(), 2_000) is result
    head, _, body = received[0].partition(b'\r\n\r\n')
    assert head.startswith(b'POST /usage HTTP/1.1')
    assert b'Godwitthread-Duty-Holder: gw-1' in head
    assert b'Godwitthread-Fencing-Token: 12' in head
    assert body == b'{"WindowId":353445120,"Counts":{"bode960":412}}'


def test_nothing_is_sent_once_the_right_to_send_has_ended(platform):
    """Guard against a report of a holder that was suspended while the connection was opened."""
    serve, received = platform
    assert post(serve(b''), report(may_send=False), 2_000) is UsageResult.NOT_SENT
    eventlet.sleep(0.05)
    assert received in ([], [b''])
