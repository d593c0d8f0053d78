"""Members that answer the lines of an instance with bytes of the test."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from eventlet.green import socket

from godwitthread.core.statements import Result, RunRequest, failure
from godwitthread.errors import ErrorKind
from godwitthread.gateway.groups.session_state import apply_session_state, prepared_name
from godwitthread.loop import eventlet
from godwitthread.platform.member_connection import MemberConnection
from tests.test_wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

_TIMEOUT_MS = 500


class AnsweringMember:
    """Member that sends the chunks of a function for each statement id of a caller."""

    def __init__(self, chunks: Callable[[bytes], list[bytes]]) -> None:
        #: Lines that the member received.
        self.received: list[bytes] = []
        near, self._sock = socket.socketpair()
        self._chunks = chunks
        self._conn = MemberConnection(near, 'o')
        self._thread = eventlet.spawn(self._answer)

    def run(self, req: RunRequest) -> Result:
        """Run a request that came from another instance, and return what goes back there."""
        req = _through_a_frame(req)
        assert apply_session_state(self._conn, req, _TIMEOUT_MS)
        if req.prepared is None:
            reply = self._conn.run(req.statement_id, req.text, _TIMEOUT_MS)
        else:
            name = prepared_name(req.prepared)
            reply = self._conn.execute(req.statement_id, name, req.arguments, _TIMEOUT_MS)
        if reply.refusal is not None:
            return _through_a_frame(failure(ErrorKind.STATEMENT_FAILED, reply.message))
        return _through_a_frame(Result(reply.rows, reply.receipt, position=reply.position))

    def close(self) -> None:
        """End the connection."""
        self._thread.kill()
        self._conn.close()
        self._sock.close()

    def _answer(self) -> None:
        rest = b''
        while data := self._sock.recv(65_536):
            lines, rest = codec.split_lines(rest + data)
            self.received += lines
            for line in lines:
                statement_id = line.split(b' ')[1]
                internal = statement_id == b'-'
                for chunk in [codec.answer(b'-')] if internal else self._chunks(statement_id):
                    self._sock.sendall(chunk)
                    eventlet.sleep(0)


def _through_a_frame(message):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=type(message))
