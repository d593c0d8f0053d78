"""Statements of the largest size, on their way to another instance."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec

from godwitthread.core.statements import Result
from godwitthread.errors import ErrorKind
from godwitthread.gateway import frames, link_server
from godwitthread.gateway.frames import MAX_FRAME_BYTES, Frame
from tests.test_wire import codec
from tests.test_wire.callers import forwarded

MIB = 1024 * 1024


def test_the_largest_execution_fits_in_a_frame():
    """Guard against a valid EXEC that runs only where its group is owned."""
    values = [b'QUERY 1 SET v ' + b'\xff' * (MIB // 2), b'QUERY 2 PREPARE s WRITE q']
    (req,) = forwarded(codec.lines(*values, b'QUERY 3 EXEC s i ' + b'\xff' * MIB))
    assert len(req.arguments) == MIB + 2
    assert len(frames.encoder.encode((1, 'run', req))) <= MAX_FRAME_BYTES


def test_an_answer_larger_than_a_frame_fails_alone():
    """Guard against a link that ends with all its statements because of one answer."""
    sent: list[bytes] = []
    stream = SimpleNamespace(closed=False, send_raw=sent.append)
    rows = ('\xff' * MIB,) * 3
    for answer in (Result(rows[:1], 'r'), Result(rows, 'r')):
        frame = Frame(5, 'run', msgspec.Raw())
        link_server._answer(stream, 'gw-1', frame, lambda *_, answer=answer: answer)
    small, large = (msgspec.msgpack.decode(each, type=tuple[int, str, Result]) for each in sent)
    assert small == (-5, 'run', Result(rows[:1], 'r'))
    assert large[2].error == ErrorKind.STATEMENT_FAILED.value
    assert len(sent[1]) < MAX_FRAME_BYTES
