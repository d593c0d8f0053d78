"""Calls between instances over TCP.

Message queue libraries resend queued messages when a peer reconnects. A statement must never
run after its caller was told that it did not. A link therefore fails every call in flight when
its connection ends, and queues nothing while it has no connection.
"""

from __future__ import annotations

import itertools
import logging
import struct
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.core.departure import Departure
from godwitthread.core.ownership import PEER_TIMEOUT_MS, PeerReachability
from godwitthread.core.table_freshness import TableReports
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet
from godwitthread.sockets import (
    configure,
    connect,
    peer_has_closed,
    receive,
    shutdown_socket,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer
    from godwitthread.core.table_freshness import TableStates

    #: Takes the sender, the kind and the body of a call, and returns the body of the answer.
    CallHandler = Callable[[str, str, msgspec.Raw], Any]

logger = logging.getLogger(__name__)

#: Heartbeat interval, in ms; a third of the silence that ends a link.
HEARTBEAT_MS = 300
#: Time limit of a connection attempt, and delay before the next one, in ms.
CONNECT_TIMEOUT_MS = 800
RECONNECT_MS = 100
#: Delay before the next connection after an unexpected error, in ms. It bounds the lines of log if
#: the peer repeats the message that caused the error.
ERROR_DELAY_MS = 1_000
#: Time without a frame after which a peer has given up a connection that it opened, in ms. It has
#: received no answer to a heartbeat since.
ABANDONED_MS = PEER_TIMEOUT_MS + HEARTBEAT_MS
#: Maximum frame size in bytes; a frame holds a line of up to 1 MiB and its metadata.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Bytes read from a socket at once.
READ_BYTES = 64 * 1024

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


_encoder = msgspec.msgpack.Encoder()
_frames = msgspec.msgpack.Decoder(Frame)
_hellos = msgspec.msgpack.Decoder(Hello)
_heartbeats = msgspec.msgpack.Decoder(Heartbeat)
_reports = msgspec.msgpack.Decoder(TableReports)
_statuses = msgspec.msgpack.Decoder(HeartbeatStatus)
_failures = msgspec.msgpack.Decoder(ErrorReply)

_connections = itertools.count(1)

FAILED = 'failed'
HEARTBEAT = 'heartbeat'
#: Last frame of a process that ends. Older builds end the connection, as its end does.
DEPARTED = 'departed'
TABLE_REPORTS = 'table_reports'


class FrameStream:
    """Length-prefixed frames over one socket; several green threads may send."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._queue: list[bytes] = []
        self._wake = eventlet.event.Event()
        self._buffer = b''
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

    def send(self, call_id: int, kind: str, body: Any) -> None:
        """Queue a frame for sending."""
        self.send_raw(_encoder.encode((call_id, kind, body)))

    def send_raw(self, data: bytes) -> None:
        """Queue an encoded frame for sending."""
        self._queue.append(_LENGTH.pack(len(data)) + data)
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
                if length > MAX_FRAME_BYTES:
                    raise ConnectionResetError(f'frame of {length} bytes')
                end = _LENGTH.size + length
                if len(self._buffer) >= end:
                    frame, self._buffer = self._buffer[_LENGTH.size : end], self._buffer[end:]
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
                self._sock.sendall(data)
            except OSError as exc:
                logger.debug('sending frames failed: %s', exc)
                self.close()
            self._sending = False


class Link:
    """Connection to one peer that is reopened whenever it ends."""

    def __init__(
        self,
        peer: Peer,
        own: Hello,
        clock: Clock,
        heartbeat_status: Callable[[], HeartbeatStatus],
        on_change: Callable[[str, bool], None],
        on_reports: Callable[[str, TableReports], None] = lambda *_: None,
    ) -> None:
        self.peer = peer
        self._own = own
        self._clock = clock
        self._heartbeat_status = heartbeat_status
        self._on_change = on_change
        self._on_reports = on_reports
        self._ids = itertools.count(1)
        self._waiting: dict[int, eventlet.event.Event] = {}
        self._stream: FrameStream | None = None
        self._heard_ms = 0
        self._since_ms = 0
        self._refused = False
        self._peer_status = HeartbeatStatus(False, False)
        self._departure = Departure()
        self.update(peer)
        self._stopped = False
        self._retired = False
        self._threads = [eventlet.spawn(self._run), eventlet.spawn(self._heartbeat)]

    @property
    def up(self) -> bool:
        """Return whether the peer is connected and not silent."""
        return self._stream is not None and self._clock.now_ms() - self._heard_ms < PEER_TIMEOUT_MS

    @property
    def announced_end(self) -> bool:
        """Return whether the process of the peer announced that it ends."""
        return self._departure.is_known

    def update(self, peer: Peer) -> None:
        """Adopt the entry of the peer in the store; its address is the same as before."""
        self.peer = peer
        self._departure.read_entry(self._clock.now_ms(), peer.incarnation, peer.departed)

    def reach(self) -> PeerReachability:
        """Return the reachability and the last status of the peer."""
        heartbeat_status = self._peer_status
        up = self.up
        return PeerReachability(
            up,
            self._refused,
            heartbeat_status.leaving,
            heartbeat_status.ready,
            heartbeat_status.duty_token,
            not up and self._departure.has_ended(self._clock.now_ms()),
        )

    def call(self, kind: str, body: Any, timeout_ms: int) -> msgspec.Raw:
        """Send a call to the peer and return the answer.

        Raise ProxyError: BACKEND_UNAVAILABLE if nothing was sent, CONNECTION_LOST or
        DEADLINE_EXCEEDED_AFTER_SEND if the call may have had an effect, or the error with
        which the peer answered.
        """
        stream = self._stream
        if stream is None or not self.up:
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, f'no link to {self.peer.name}')
        call_id = next(self._ids)
        waiter = self._waiting[call_id] = eventlet.event.Event()
        stream.send(call_id, kind, body)
        try:
            with eventlet.Timeout(max(1, timeout_ms) / 1000, False):
                frame = waiter.wait()
                if frame is None:
                    text = f'link to {self.peer.name} ended'
                    raise ProxyError(ErrorKind.CONNECTION_LOST, text)
                if frame.kind == FAILED:
                    raise _decode_failure(frame.body)
                return frame.body
        finally:
            del self._waiting[call_id]
            if self._retired and not self._waiting:
                self.stop()
        raise ProxyError(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, f'no answer from {self.peer.name}')

    def send_oneway(self, kind: str, body: Any) -> None:
        """Send a call without waiting for its answer; drop it if the peer is not connected."""
        if self._stream is not None:
            self._stream.send(next(self._ids), kind, body)

    def retire(self) -> None:
        """Close the link permanently once its calls in flight are answered; report no change."""
        self._retired = True
        if not self._waiting:
            self.stop()

    def stop(self) -> None:
        """Close the link permanently."""
        self._stopped = True
        self._drop_stream()
        for thread in self._threads:
            thread.kill()

    def _run(self) -> None:
        while not self._stopped:
            try:
                sock = connect(self.peer.address, CONNECT_TIMEOUT_MS)
            except OSError as exc:
                self._refused = isinstance(exc, ConnectionRefusedError)
                eventlet.sleep(RECONNECT_MS / 1000)
                continue
            self._refused = False
            sock.settimeout(None)
            stream = FrameStream(sock)
            stream.send_raw(_encoder.encode(self._own))
            self._send_heartbeat(stream)
            ended = self._read(stream)
            stream.release()
            self._drop_stream()
            eventlet.sleep((RECONNECT_MS if ended else ERROR_DELAY_MS) / 1000)

    def _read(self, stream: FrameStream) -> bool:
        """Process messages until the connection ends; return False after an unexpected error."""
        try:
            while (data := stream.read()) is not None:
                frame = _frames.decode(data)
                now_ms, former_ms = self._clock.now_ms(), self._heard_ms
                if self._stream is not None and now_ms - former_ms >= PEER_TIMEOUT_MS:
                    # This process was suspended. The peer drops calls on this connection.
                    return True
                self._heard_ms = now_ms
                if self._stream is None:
                    # The connection is usable once the peer has answered on it.
                    self._stream = stream
                    self._departure.connect()
                    self._report_change(True)
                if frame.kind == TABLE_REPORTS:
                    self._on_reports(self.peer.name, _reports.decode(frame.body))
                elif frame.kind == DEPARTED:
                    self._departure.announce(self._clock.now_ms())
                elif frame.call_id == 0:
                    self._update_peer_status(_statuses.decode(frame.body))
                else:
                    waiter = self._waiting.get(-frame.call_id)
                    if waiter is not None and not waiter.ready():
                        waiter.send(frame)
        except (OSError, msgspec.DecodeError) as exc:
            logger.debug('link to %s failed: %s', self.peer.name, exc)
        except Exception:
            # Without this thread, the peer would never be reached again.
            logger.exception('message of %s not processed', self.peer.name)
            return False
        return True

    def _update_peer_status(self, heartbeat_status: HeartbeatStatus) -> None:
        changed = heartbeat_status != self._peer_status
        self._peer_status = heartbeat_status
        if changed:
            self._report_change(True)

    def _drop_stream(self) -> None:
        stream, self._stream = self._stream, None
        if stream is None:
            return
        stream.close()
        for waiter in list(self._waiting.values()):
            if not waiter.ready():
                waiter.send(None)
        self._report_change(False)

    def _report_change(self, up: bool) -> None:
        if not self._retired:
            self._on_change(self.peer.name, up)

    def _heartbeat(self) -> None:
        while not self._stopped:
            eventlet.sleep(HEARTBEAT_MS / 1000)
            stream = self._stream
            if stream is None:
                continue
            silent_ms = self._clock.now_ms() - self._heard_ms
            if silent_ms >= PEER_TIMEOUT_MS:
                logger.debug('no message from %s for %d ms', self.peer.name, silent_ms)
                self._drop_stream()
            else:
                self._send_heartbeat(stream)

    def _send_heartbeat(self, stream: FrameStream) -> None:
        status = self._heartbeat_status()
        stream.send(0, HEARTBEAT, Heartbeat(*status, sent_ms=self._clock.now_ms()))


def broadcast_heartbeat(streams: set[FrameStream], heartbeat_status: HeartbeatStatus) -> None:
    """Send a heartbeat to every peer that is connected to this instance."""
    for stream in streams:
        stream.send(0, HEARTBEAT, heartbeat_status)


def broadcast_departure(streams: set[FrameStream]) -> None:
    """Tell every peer that is connected to this instance that this process ends."""
    for stream in streams:
        stream.send(0, DEPARTED, None)


def serve(
    sock: socket.socket,
    clock: Clock,
    streams: set[FrameStream],
    heartbeat_status: Callable[[], HeartbeatStatus],
    handler: CallHandler,
    on_end: Callable[[str], None],
    report: Callable[[FrameStream, int], TableReports | None] = lambda *_: None,
) -> None:
    """Answer the calls of one peer until its connection ends; list its stream in `streams`."""
    configure(sock)
    stream = FrameStream(sock)
    streams.add(stream)
    sender = ''
    try:
        first = stream.read()
        if first is None:
            return
        hello = _hellos.decode(first)
        stream.peer_name = hello.name
        # Each connection is a separate sender: its open transactions end with it, and a later
        # connection of the same peer never joins them.
        sender = f'{hello.name}/{hello.incarnation}/{next(_connections)}'
        heard_ms = clock.now_ms()
        while (data := stream.read()) is not None:
            now_ms, former_ms = clock.now_ms(), heard_ms
            heard_ms = now_ms
            frame = _frames.decode(data)
            if now_ms - former_ms >= ABANDONED_MS or (frame.call_id and stream.ended_by_peer):
                # This process was suspended, or the frame was delayed. The peer, which got no
                # heartbeat, has given up its calls and reported their outcome as unknown. A
                # statement or an order that runs now would overwrite newer ones.
                logger.info('link from %s given up by the peer', sender)
                return
            if frame.call_id == 0:
                stream.send(0, HEARTBEAT, heartbeat_status())
                sent_ms = _sending_time(frame)
                if sent_ms is not None and (reports := report(stream, sent_ms)):
                    stream.send(0, TABLE_REPORTS, reports)
            else:
                eventlet.spawn_n(_answer, stream, sender, frame, handler)
    except (OSError, msgspec.DecodeError) as exc:
        logger.debug('link from %s failed: %s', sender, exc)
    finally:
        streams.discard(stream)
        stream.release()
        on_end(sender)


def decode_answer(decoder: msgspec.msgpack.Decoder[Any], body: msgspec.Raw) -> Any:
    """Decode the answer to a call; raise CONNECTION_LOST if it is malformed."""
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as exc:
        # The call may have had an effect, as if its answer had been lost.
        raise ProxyError(ErrorKind.CONNECTION_LOST, f'malformed answer: {exc}') from exc


def _decode_failure(body: msgspec.Raw) -> ProxyError:
    try:
        failed = _failures.decode(body)
        return ProxyError(ErrorKind(failed.kind), failed.message)
    except ValueError as exc:
        # The kind may be one of a later build.
        return ProxyError(ErrorKind.CONNECTION_LOST, f'malformed error: {exc}')


def _answer(stream: FrameStream, sender: str, frame: Frame, handler: CallHandler) -> None:
    try:
        body = handler(sender, frame.kind, frame.body)
        kind = frame.kind
    except ProxyError as exc:
        kind, body = FAILED, ErrorReply(exc.kind.value, exc.message)
    except Exception:
        logger.exception('handler of call %r failed', frame.kind)
        kind, body = FAILED, ErrorReply(ErrorKind.INTERNAL.value, 'handler failed')
    if not stream.closed:
        stream.send(-frame.call_id, kind, body)


def _sending_time(heartbeat: Frame) -> int | None:
    """Return the time at which a heartbeat was sent, None if its sender expects no reports."""
    try:
        return _heartbeats.decode(heartbeat.body).sent_ms
    except msgspec.DecodeError:
        # The fields of a later build.
        return None
