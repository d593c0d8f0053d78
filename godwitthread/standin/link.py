"""Connection between a client and a member, with fault injection."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from godwitthread.standin.member import Member

CONTROL_APPLICATION = 'godwit-control'
#: Interval for checking whether blocked traffic may continue, in ms.
BLOCKED_POLL_MS = 10


class LinkClosedError(Exception):
    """The connection to a client was closed."""


class Link:
    """Transfer bytes between a client and a member; apply the active faults."""

    def __init__(self, member: Member, sock: Any, peer: tuple[str, int]) -> None:
        self._member = member
        self._sock = sock
        self._host, self._port = peer[:2]
        self._reader = sock.makefile('rb')
        #: Parameters of the startup message.
        self.startup: dict[str, str] = {}

    @property
    def is_control(self) -> bool:
        """Whether the client declared a control connection by its application name."""
        return self.startup.get('application_name') == CONTROL_APPLICATION

    def receive(self, size: int) -> bytes:
        """Read exactly `size` bytes; raise LinkClosedError at end of file."""
        try:
            data = self._reader.read(size)
        except (OSError, ValueError) as exc:
            raise LinkClosedError from exc
        if len(data) < size:
            raise LinkClosedError
        self._wait_open()
        return data

    def receive_message(self) -> tuple[bytes, bytes]:
        """Read one message; return its type code and body."""
        head = self.receive(5)
        size = int.from_bytes(head[1:], 'big') - 4
        return head[:1], self.receive(size) if size else b''

    def send(self, data: bytes) -> None:
        """Send an answer after the active fault delays; raise LinkClosedError."""
        delay_ms = self._member.faults.delay_ms(self._host, self._port)
        if delay_ms:
            eventlet.sleep(delay_ms / 1000)
        self._wait_open()
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise LinkClosedError from exc

    def close(self) -> None:
        """Shut down and close the connection."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(eventlet.green.socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            self._sock.close()

    def _wait_open(self) -> None:
        while self._member.faults.blocks(self._host, self._port):
            eventlet.sleep(BLOCKED_POLL_MS / 1000)
