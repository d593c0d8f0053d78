"""Texts of callers and members in the log."""

from __future__ import annotations

import json

from godwitthread.clock import Clock
from godwitthread.core.statements import failure
from godwitthread.errors import ErrorKind
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.gateway.logs import Log
from tests.test_wire import codec
from tests.test_wire.callers import converse

#: Bytes that end a line of a log or of a terminal if they are written as they are.
ODD = b'\n{"event": "forged"}\r\x00\x1b[2J\x85\xff'


def logged(caplog, message: str, query: bytes) -> str:
    """Return the only line of the log for a query of a caller that fails with a message."""
    clock = Clock()
    log = Log(EventLog({}, HybridLogicalClock(clock.wall_ms)), clock)
    caplog.clear()
    failed = failure(ErrorKind.STATEMENT_FAILED, message)
    converse(lambda _: failed, codec.lines(b'QUERY ' + query), log=log)
    (record,) = [each for each in caplog.records if 'statement_failed' in each.getMessage()]
    return record.getMessage()


def test_a_long_message_of_a_member_is_cut(caplog):
    """Guard against megabytes in each of the events that are kept in memory."""
    fields = json.loads(logged(caplog, 'x' * 1_000_000, b'1 READ a'))
    assert len(fields['reason']) < 1_000


def test_odd_bytes_stay_in_one_line_of_the_log(caplog):
    """Guard against lines of the log that a caller or a member forges."""
    line = logged(caplog, ODD.decode('latin-1'), ODD.replace(b' ', b'') + b' READ a')
    assert line.isascii() and line.isprintable()
    assert json.loads(line)['reason'] == ODD.decode('latin-1')


def test_the_id_of_a_statement_stays_in_one_line_of_the_log(caplog):
    """Guard against lines of the log that a caller forges in a statement which fails."""

    def fail(_):
        raise RuntimeError('scripted')

    lines = converse(fail, codec.lines(b'QUERY ' + ODD.replace(b' ', b'') + b' READ a'))
    assert lines[-1] == b'READY I -'
    assert all(each.getMessage().isprintable() for each in caplog.records)
