"""Backend server that answers as a test says, and its messages."""

from __future__ import annotations

import struct

from eventlet.green import socket

from godwitthread.backend.connection import BackendConnection, Login, open_connection
from godwitthread.loop import eventlet
from godwitthread.types import MemberSpec


def message(code: bytes, body: bytes = b'') -> bytes:
    """Build a message from its type code and body."""
    return code + struct.pack('!i', len(body) + 4) + body


READY = message(b'Z', b'I')
GREETING = message(b'R', b'\0\0\0\0') + READY
PARSED = message(b'1') + message(b'2')
DONE = message(b'C', b'SELECT 1\0') + READY


def row(text: bytes) -> bytes:
    """Build the description of one text column and a row."""
    column = b'c\0' + struct.pack('!ihihih', 0, 0, 25, -1, -1, 0)
    return message(b'T', b'\0\1' + column) + message(b'D', struct.pack('!hi', 1, len(text)) + text)


def answer(text: bytes) -> bytes:
    """Build the answer to a statement that returns one row."""
    return PARSED + row(text) + DONE


class ScriptedBackend:
    """Listening server with the packets of its answers, one list of them for each request."""

    def __init__(self, *answers: list[bytes], greeting: bytes = GREETING) -> None:
        self.received: list[bytes] = []
        self._answers = list(answers)
        self._greeting = greeting
        self._listener = eventlet.listen(('127.0.0.1', 0))
        eventlet.spawn(self._serve)

    def connect(self) -> BackendConnection:
        """Open a connection to the server."""
        host, port = self._listener.getsockname()
        spec = MemberSpec('orders-1', host, port, 'd1')
        return open_connection(spec, Login('app', 'secret', 'orders'), read_only=False)

    def _serve(self) -> None:
        sock, _ = self._listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.recv(10_000)
        sock.sendall(self._greeting)
        while data := sock.recv(10_000):
            self.received.append(data)
            for packet in self._answers.pop(0) if self._answers else ():
                sock.sendall(packet)
                eventlet.sleep(0.01)
