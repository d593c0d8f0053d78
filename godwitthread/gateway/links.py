"""Calls between instances over TCP.

Message queue libraries resend queued messages when a peer reconnects. A statement must never
run after its caller was told that it did not. A link therefore fails every call in flight when
its connection ends, and queues nothing while it has no connection.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import msgspec

from godwitthread.core.call_answers import STRAY_ANSWERS, Answer, CallAnswers
from godwitthread.core.departure import Departure
from godwitthread.core.ownership import PEER_TIMEOUT_MS, PeerReachability
from godwitthread.core.table_freshness import TableReports
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import frames
from godwitthread.gateway.frames import (
    DEPARTED,
    FAILED,
    HEARTBEAT,
    MAX_FRAME_BYTES,
    TABLE_REPORTS,
    ErrorReply,
    FrameStream,
    Heartbeat,
    HeartbeatStatus,
    Hello,
)
from godwitthread.loop import eventlet
from godwitthread.sockets import connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer

logger = logging.getLogger(__name__)

#: Heartbeat interval, in ms; a third of the silence that ends a link.
HEARTBEAT_MS = 300
#: Time limit of a connection attempt, and delay before the next one, in ms.
CONNECT_TIMEOUT_MS = 800
RECONNECT_MS = 100
#: Delay before the next connection after an unexpected error, in ms. It bounds the lines of log if
#: the peer repeats the message that caused the error.
ERROR_DELAY_MS = 1_000

_reports = msgspec.msgpack.Decoder(TableReports)
_statuses = msgspec.msgpack.Decoder(HeartbeatStatus)
_failures = msgspec.msgpack.Decoder(ErrorReply)


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
        on_stray: Callable[[str, str, Answer], None] = lambda *_: None,
    ) -> None:
        self.peer = peer
        self._own = own
        self._clock = clock
        self._heartbeat_status = heartbeat_status
        self._on_change = on_change
        self._on_reports = on_reports
        #: Called with the peer, the kind and the reason of an answer that reaches no call.
        self._on_stray = on_stray
        self._calls = CallAnswers()
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
    def stream(self) -> FrameStream | None:
        """Return the stream to the peer, None while it is not connected."""
        return self._stream

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
        DEADLINE_EXCEEDED_AFTER_SEND if the call may have had an effect, BODY_TOO_LARGE if it does
        not fit in a frame and nothing was sent, or the error with which the peer answered.
        """
        stream = self._stream
        if stream is None or not self.up:
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, f'no link to {self.peer.name}')
        call_id = self._calls.open(kind)
        data = frames.encoder.encode((call_id, kind, body))
        if len(data) > MAX_FRAME_BYTES:
            self._calls.give_up(call_id)
            # The receiver would end the link, and all calls on it would fail. Text has up to twice
            # its size in a frame, since each character from 128 on takes two bytes there.
            raise ProxyError(
                ErrorKind.BODY_TOO_LARGE, 'the request is larger than an instance can pass on'
            )
        waiter = self._waiting[call_id] = eventlet.event.Event()
        stream.send_raw(data)
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
            self._calls.give_up(call_id)
            if self._retired and not self._waiting:
                self.stop()
        raise ProxyError(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, f'no answer from {self.peer.name}')

    def send_oneway(self, kind: str, body: Any) -> None:
        """Send a call without waiting for its answer; drop it if the peer is not connected."""
        if self._stream is not None:
            self._stream.send(self._calls.open_oneway(), kind, body)

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
            stream.send_raw(frames.encoder.encode(self._own))
            self._send_heartbeat(stream)
            ended = self._read(stream)
            stream.release()
            self._drop_stream()
            eventlet.sleep((RECONNECT_MS if ended else ERROR_DELAY_MS) / 1000)

    def _read(self, stream: FrameStream) -> bool:
        """Process messages until the connection ends; return False after an unexpected error."""
        try:
            while (data := stream.read()) is not None and not stream.closed:
                frame = frames.decoder.decode(data)
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
                elif not self._deliver(frame):
                    return True
        except (OSError, msgspec.DecodeError) as exc:
            logger.debug('link to %s failed: %s', self.peer.name, exc)
        except Exception:
            # Without this thread, the peer would never be reached again.
            logger.exception('message of %s not processed', self.peer.name)
            return False
        return True

    def _deliver(self, frame: frames.Frame) -> bool:
        """Pass an answer on to its call; return False if the link can't be used any more."""
        answer = self._calls.receive(-frame.call_id, frame.kind, FAILED)
        if answer in STRAY_ANSWERS:
            self._on_stray(self.peer.name, frame.kind, answer)
        waiter = self._waiting.get(-frame.call_id)
        if answer is Answer.AWAITED and waiter is not None and not waiter.ready():
            waiter.send(frame)
        # A peer that mixes up its calls may do so unnoticed in the next answers.
        return answer is not Answer.OTHER_KIND

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
