"""Callers of an instance whose statements a function of the test runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eventlet.green import socket

from godwitthread.clock import Clock
from godwitthread.core.statements import Result
from godwitthread.gateway.sessions import Sessions
from godwitthread.loop import eventlet
from godwitthread.platform.caller_connection import serve
from tests.test_gateway.fakes import configuration, quiet_log
from tests.test_wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.statements import RunRequest
    from godwitthread.gateway.logs import Log


def converse(
    run: Callable[[RunRequest], Result], *chunks: bytes, log: Log | None = None
) -> list[bytes]:
    """Return the lines that a caller receives after `START` for the bytes that it sends."""
    clock, cfg = Clock(), configuration()
    log = log or quiet_log(clock)
    sessions = Sessions(clock, lambda: cfg, lambda req, _: (run(req), 'o'), log, lambda *_: None)
    near, far = socket.socketpair()
    thread = eventlet.spawn(serve, far, sessions)
    for chunk in (codec.lines(b'START orders-db k1'), *chunks):
        near.sendall(chunk)
        eventlet.sleep(0)
    near.shutdown(socket.SHUT_WR)
    received = b''
    while data := near.recv(65_536):
        received += data
    thread.wait()
    near.close()
    lines, rest = codec.split_lines(received)
    assert (lines.pop(0), rest) == (b'READY I -', b'')
    return lines


def forwarded(*chunks: bytes) -> list[RunRequest]:
    """Return the requests that an instance forwards for the bytes that a caller sends."""
    reqs: list[RunRequest] = []

    def run(req: RunRequest) -> Result:
        reqs.append(req)
        return Result(receipt='r')

    converse(run, *chunks)
    return reqs
