"""The stand-in's codec ends lines at CR LF only and takes no malformed statement."""

from __future__ import annotations

import pytest
from eventlet.green import socket

from godwitthread.standin import line_codec


def test_only_cr_lf_ends_a_line():
    """Guard against a codec that hides changed lines (UNASKED)."""
    near, far = socket.socketpair()
    sent = [b'a\r', b'\n', b'b\nc', b'\r\r', b'\x85\0 ', b'']
    near.sendall(line_codec.lines(*sent) + b'incomplete\r')
    near.close()
    stream = line_codec.LineStream(far)
    assert [stream.read() for _ in sent] == sent
    assert stream.has_input()
    assert stream.read() is None
    far.close()


@pytest.mark.parametrize(
    ('text', 'parsed'),
    [
        ('BEGIN READ', ('BEGIN', 'READ', '')),
        ('COMMIT', ('COMMIT', '', '')),
        ('READ a\r', ('READ', 'a\r', '')),
        ('WRITE a  b\n', ('WRITE', 'a', ' b\n')),
        ('PREPARE s WRITE q r', ('PREPARE', 's', 'WRITE q r')),
        ('COMMIT ', None),
        ('BEGIN READ\n', None),
        ('WRITE a', None),
        ('WRITE  a b', None),
        ('PREPARE s DROP q', None),
        ('READ ', None),
    ],
)
def test_statements_are_parsed_strictly(text, parsed):
    """Guard against a member that runs what is not a statement."""
    assert line_codec.parse(text) == parsed
