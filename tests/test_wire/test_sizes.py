"""Statements of the largest size, on their way to another instance."""

from __future__ import annotations

from godwitthread.gateway import frames
from godwitthread.gateway.frames import MAX_FRAME_BYTES
from tests.test_wire import codec
from tests.test_wire.callers import forwarded

MIB = 1024 * 1024


def test_the_largest_execution_fits_in_a_frame():
    """Guard against a valid EXEC that runs only where its group is owned."""
    values = [b'QUERY 1 SET v ' + b'\xff' * (MIB // 2), b'QUERY 2 PREPARE s WRITE q']
    (req,) = forwarded(codec.lines(*values, b'QUERY 3 EXEC s i ' + b'\xff' * MIB))
    assert len(req.arguments) == MIB + 2
    assert len(frames.encoder.encode((1, 'run', req))) <= MAX_FRAME_BYTES
