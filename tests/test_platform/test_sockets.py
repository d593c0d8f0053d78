"""Sockets of a process with many connections."""

from __future__ import annotations

import fcntl
import socket

from godwitthread.sockets import has_no_input


def test_idle_connections_are_checked_in_a_process_with_many_sockets():
    """Guard against an error on every file descriptor from 1024 on."""
    near, far = socket.socketpair()
    many = socket.socket(fileno=fcntl.fcntl(near.fileno(), fcntl.F_DUPFD, 1024))
    assert has_no_input(many)
    far.send(b'x')
    assert not has_no_input(many)
    for sock in (near, far, many):
        sock.close()
