"""Far end of a connection to a member, which sends what a test says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eventlet.green import socket

from godwitthread.clock import Clock
from godwitthread.loop import eventlet
from godwitthread.platform.member_connection import ConnectionObserver, MemberConnection

if TYPE_CHECKING:
    from godwitthread.core.statements import Reply


class FarEnd:
    """Member that answers each request with the bytes given for it."""

    def __init__(self) -> None:
        near, self.sock = socket.socketpair()
        #: Requests received, and irregularities that the connection reported.
        self.requests: list[bytes] = []
        self.reported: list[str] = []
        observer = ConnectionObserver(
            Clock(),
            lambda _: None,
            lambda _member, _request, kind: self.reported.append(kind.value),
            lambda: None,
        )
        self.conn = MemberConnection(near, 'o', 'm', observer)

    def send(self, data: bytes) -> None:
        """Send data while no request is in progress."""
        self.sock.sendall(data)

    def answer(self, *answers: bytes) -> None:
        """Answer the next requests, one after another."""
        eventlet.spawn(self._serve, answers)

    def run(self, statement_id: str, text: str, *answers: bytes, timeout_ms: int = 300) -> Reply:
        """Run a statement, and answer the requests that it causes."""
        self.answer(*answers)
        return self.conn.run(statement_id, text, timeout_ms)

    def _serve(self, answers: tuple[bytes, ...]) -> None:
        for each in answers:
            self.requests.append(self.sock.recv(10_000))
            self.sock.sendall(each)
