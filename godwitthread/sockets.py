"""TCP sockets that detect unresponsive peers."""

from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import struct
import termios
from typing import TYPE_CHECKING

from eventlet import patcher

if TYPE_CHECKING:
    from godwitthread.address import Address

#: Idle time before the first keepalive probe, and interval between probes, in s.
KEEPALIVE_S = 1
#: Number of unanswered keepalive probes after which the connection is reset.
KEEPALIVE_PROBES = 2
#: Time for which sent data may remain unacknowledged before the connection is reset, in ms.
#: It must exceed the retransmission time of a lost packet and stay below the callers' time-outs.
USER_TIMEOUT_MS = 3_000
#: Length of the queue of connections not yet accepted; a full queue delays a caller by seconds.
BACKLOG = 512


# The cooperative version would yield to the event loop even with a time-out of 0. The function
# `select` refuses file descriptors from 1024 on, which a process with many sessions has.
_original_poll = patcher.original('select').poll


def connect(address: Address, timeout_ms: int) -> socket.socket:
    """Open a connection; raise OSError on failure."""
    sock = socket.create_connection(address, timeout_ms / 1000)
    configure(sock)
    return sock


def configure(sock: socket.socket) -> None:
    """Enable keepalive and the user time-out, and disable Nagle's algorithm."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def listen(address: Address) -> socket.socket:
    """Open a listening socket on an address; raise OSError on failure."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def shutdown_socket(sock: socket.socket) -> None:
    """Shut down a connection on which another green thread waits; that thread closes the socket.

    If the socket were closed here, the kernel could reuse its file descriptor for another
    socket while the event loop still watches the old one.
    """
    with contextlib.suppress(OSError):
        # The peer may already have closed the connection.
        sock.shutdown(socket.SHUT_RDWR)


def has_no_input(sock: socket.socket) -> bool:
    """Return whether neither data nor the end of the connection has been received.

    If the peer never sends unsolicited data, input on an idle connection means that the
    peer has closed it.
    """
    poller = _original_poll()
    poller.register(sock.fileno(), select.POLLIN)
    return not poller.poll(0)


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the end of the connection was received, even behind unread data."""
    poller = _original_poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def unread_bytes(sock: socket.socket) -> int:
    """Return the number of bytes that were received on a connection and not read."""
    try:
        (size,) = struct.unpack('i', fcntl.ioctl(sock.fileno(), termios.FIONREAD, b'\0' * 4))
    except (OSError, ValueError):
        return 0
    return int(size)


def receive(sock: socket.socket, size: int) -> bytes:
    """Receive up to `size` bytes, none at the end of the connection; raise OSError on failure.

    If another green thread closes the socket, eventlet raises EOFError, which would terminate
    the event loop unless it is caught.
    """
    try:
        return sock.recv(size)
    except EOFError as exc:
        raise ConnectionAbortedError('socket closed by another green thread') from exc
