"""Frames that instances exchange over a TCP connection."""

from __future__ import annotations

import logging
import struct
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.loop import eventlet
from godwitthread.sockets import peer_has_closed, receive, shutdown_socket

if TYPE_CHECKING:
    import socket

    from godwitthread.core.table_freshness import TableStates

logger = logging.getLogger(__name__)

#: Maximum frame size in bytes; a frame holds a line of up to 1 MiB and its metadata.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Maximum size of the first frame, in bytes; it holds only a name and a number.
MAX_HELLO_BYTES = 4 * 1024
#: Bytes read from a socket at once.
READ_BYTES = 64 * 1024

#: Kinds of frames that are neither a call nor its answer.
FAILED = 'failed'
HEARTBEAT = 'heartbeat'
#: Last frame of a process that ends. Older builds end the connection, as its end does.
DEPARTED = 'departed'
TABLE_REPORTS = 'table_reports'

_LENGTH = struct.Struct('!I')


class Hello(NamedTuple):
    """First frame of a connection; it identifies the sender."""

    name: str
    incarnation: int


class Frame(NamedTuple):
    """Frame after the first one."""

    #: 0 for a heartbeat, an id for a call, the negated id for its answer.
    call_id: int
    kind: str
    body: msgspec.Raw


class HeartbeatStatus(NamedTuple):
    """Status that an instance sends with each heartbeat."""

    leaving: bool
    ready: bool
    #: Newest fencing token of the instance if it holds the promotion duty, else 0.
    duty_token: int = 0


class Heartbeat(NamedTuple):
    """Heartbeat of the instance that opened the link; older builds do not decode its body."""

    leaving: bool
    ready: bool
    duty_token: int = 0
    #: Time of sending on the sender's clock, in ms; None in older builds, which expect no reports.
    sent_ms: int | None = None


class ErrorReply(NamedTuple):
    """Answer to a call whose handler raised an error."""

    kind: str
    message: str


#: Encoder of the messages between instances.
encoder = msgspec.msgpack.Encoder()
#: Decoder of every frame after the first one.
decoder = msgspec.msgpack.Decoder(Frame)


class FrameStream:
    """Length-prefixed frames over one socket; several green threads may send."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._queue: list[bytes] = []
        self._wake = eventlet.event.Event()
        self._buffer = bytearray()
        #: Maximum size of the next frame, in bytes.
        self.limit = MAX_FRAME_BYTES
        #: Bytes that were queued for sending and not sent yet.
        self._queued_bytes = 0
        #: Whether the peer that opened the connection has yet to identify itself.
        self.awaits_hello = False
        #: Time at which the connection was accepted, in ms.
        self.opened_ms = 0
        self._thread = eventlet.spawn(self._write)
        self.closed = False
        self._sending = False
        #: Name of the peer at the other end, '' until it identified itself.
        self.peer_name = ''
        #: State of the store tables as last reported to the peer.
        self.reported: TableStates = ()

    @property
    def unsent(self) -> bool:
        """Return whether frames wait to be sent."""
        return not self.closed and (self._sending or bool(self._queue))

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of frames that were received in part, or not sent yet."""
        return len(self._buffer) + self._queued_bytes

    def send(self, call_id: int, kind: str, body: Any) -> None:
        """Queue a frame for sending."""
        self.send_raw(encoder.encode((call_id, kind, body)))

    def send_raw(self, data: bytes) -> None:
        """Queue an encoded frame for sending."""
        self._queue.append(_LENGTH.pack(len(data)) + data)
        self._queued_bytes += len(data)
        if not self._wake.ready():
            self._wake.send()

    @property
    def ended_by_peer(self) -> bool:
        """Return whether the peer has closed the connection, even behind unread frames."""
        return peer_has_closed(self._sock)

    def read(self) -> bytes | None:
        """Return the next frame, None at the end; raise OSError."""
        while True:
            if len(self._buffer) >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(self._buffer)
                if length > self.limit:
                    raise ConnectionResetError(f'frame of {length} bytes')
                end = _LENGTH.size + length
                if len(self._buffer) >= end:
                    with memoryview(self._buffer) as view:
                        frame = bytes(view[_LENGTH.size : end])
                    del self._buffer[:end]
                    return frame
            data = receive(self._sock, READ_BYTES)
            if not data:
                return None
            self._buffer += data

    def close(self) -> None:
        """Shut the connection down; the reading thread releases the socket."""
        if self.closed:
            return
        self.closed = True
        if not self._wake.ready():
            self._wake.send()
        shutdown_socket(self._sock)

    def release(self) -> None:
        """Close the socket after the last read."""
        self.close()
        self._thread.kill()
        self._sock.close()

    def _write(self) -> None:
        while not self.closed:
            if not self._queue:
                self._wake = eventlet.event.Event()
                self._wake.wait()
                continue
            data, self._queue = b''.join(self._queue), []
            self._sending = True
            try:
                # Without a memory view, each further send would copy the rest.
                self._sock.sendall(memoryview(data))
                self._queued_bytes = sum(map(len, self._queue))
            except OSError as exc:
                logger.debug('sending frames failed: %s', exc)
                self.close()
            self._sending = False
