"""Connections of callers, and the error codes that they receive."""

from __future__ import annotations

import eventlet
import pytest
from eventlet.green import socket

from godwitthread.clock import Clock
from godwitthread.core.statements import Result
from godwitthread.errors import ERROR_RESPONSES, ErrorKind, Outcome
from godwitthread.gateway.sessions import Sessions
from godwitthread.platform.caller_connection import ERROR_CODES, serve
from godwitthread.platform.line_protocol import READ_BYTES
from tests.test_gateway.fakes import configuration, quiet_log

#: Codes which guarantee that the attempt had no effect.
NOT_RUN_CODES = {'BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'TOOMANY'}


def test_not_run_codes_are_used_only_for_not_run_outcomes():
    """Guard against a code that reports a statement as not run although it may have run."""
    for kind, code in ERROR_CODES.items():
        if code in NOT_RUN_CODES:
            assert ERROR_RESPONSES[kind].outcome is Outcome.NOT_RUN, kind


def test_other_outcomes_never_map_to_a_not_run_code():
    """Guard against a new error kind that is reported as not run by mistake."""
    for kind in ErrorKind:
        if ERROR_RESPONSES[kind].outcome is not Outcome.NOT_RUN:
            assert ERROR_CODES.get(kind, 'INDOUBT') not in NOT_RUN_CODES


def test_a_caller_that_sends_ahead_whole_reads_does_not_stop_the_loop():
    """Guard against lines that leave nothing in the buffer although more waits in the kernel."""
    lines, turns = 6, []
    clock, cfg = Clock(), configuration()
    sessions = Sessions(
        clock, lambda: cfg, lambda *_: (Result(), 'owner'), quiet_log(clock), lambda *_: None
    )
    near, far = socket.socketpair()
    thread = eventlet.spawn(serve, far, sessions)
    near.sendall(b'START orders-db k1\r\n')
    assert near.recv(100).startswith(b'READY')
    start = b'QUERY 1 SET a '
    near.sendall((start + b'x' * (READ_BYTES - len(start) - 2) + b'\r\n') * lines)
    near.shutdown(socket.SHUT_WR)
    while not thread.dead:
        turns.append(1)
        eventlet.sleep(0)
    assert near.recv(10_000).count(b'DONE') == lines
    assert len(turns) >= lines
    near.close()


@pytest.mark.parametrize(
    ('evident', 'answer'),
    [(True, b'ERR NODB unknown database'), (False, b'ERR BUSY ')],
)
def test_a_caller_learns_whether_it_may_return(evident, answer):
    """Guard against a refusal without evidence that reaches a caller as final, or as in doubt."""
    clock, cfg = Clock(), configuration()
    log = quiet_log(clock)
    sessions = Sessions(
        clock, lambda: cfg, lambda *_: None, log, lambda *_: None, is_refusal_final=lambda: evident
    )
    near, far = socket.socketpair()
    eventlet.spawn(serve, far, sessions)
    near.sendall(b'START nowhere k1\r\n')
    received = near.recv(200)
    assert received.startswith(answer)
    assert received.endswith(b'; retry after 1000 ms\r\n') is not evident
    assert near.recv(1) == b''
    near.close()
