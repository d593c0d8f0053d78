"""Byte stream between pg8000 and an eventlet socket."""

from __future__ import annotations

import contextlib
from typing import Any

from pg8000.core import FLUSH_MSG

from godwitthread.loop import eventlet
from godwitthread.sockets import has_no_input, unread_bytes

RECEIVE_BYTES = 65_536


class Stream:
    """Replacement for the socket and its file object in pg8000.

    Writes are buffered and sent together on flush(). Flush messages are dropped:
    each is followed by a Sync before the next read, and each would cost the backend
    server one more packet.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._out = bytearray()
        self._in = b''
        self._index = 0

    def makefile(self, mode: str) -> Stream:
        """Return the stream itself, which is its own file object."""
        return self

    def write(self, data: bytes) -> None:
        """Buffer data until the next flush."""
        if data is not FLUSH_MSG:
            self._out += data

    def flush(self) -> None:
        """Send the buffered data; raise OSError."""
        out, self._out = self._out, bytearray()
        self._sock.sendall(out)

    def read(self, size: int) -> bytes:
        """Return `size` bytes, or fewer at the end of the stream; raise OSError."""
        end = self._index + size
        while end > len(self._in):
            try:
                chunk = self._sock.recv(RECEIVE_BYTES)
            except EOFError:
                # eventlet raises this when another green thread closes the socket.
                chunk = b''
            if not chunk:
                end = len(self._in)
                break
            self._in = self._in[self._index :] + chunk
            end -= self._index
            self._index = 0
        data = self._in[self._index : end]
        self._index = end
        return data

    def is_silent(self) -> bool:
        """Return whether the peer has neither sent data nor closed the connection."""
        return self._index == len(self._in) and has_no_input(self._sock)

    def has_unread(self) -> bool:
        """Return whether data of the peer were received and not read."""
        return self._index < len(self._in) or unread_bytes(self._sock) > 0

    def abort(self) -> None:
        """Shut the socket down, so that a blocked reader sees the end of the stream."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(eventlet.green.socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket; a blocked reader sees the end of the stream."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(eventlet.green.socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            self._sock.close()
