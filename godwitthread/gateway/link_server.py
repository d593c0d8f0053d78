"""Answers to the calls of other instances, and messages to all that are connected."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from godwitthread.core.ownership import PEER_TIMEOUT_MS
from godwitthread.core.statements import failure
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import frames
from godwitthread.gateway.frames import (
    DEPARTED,
    FAILED,
    HEARTBEAT,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    TABLE_REPORTS,
    ErrorReply,
    Frame,
    FrameStream,
    Heartbeat,
    HeartbeatStatus,
    Hello,
)
from godwitthread.gateway.links import HEARTBEAT_MS
from godwitthread.loop import eventlet
from godwitthread.sockets import configure

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.table_freshness import TableReports

    #: Takes the sender, the kind and the body of a call, and returns the body of the answer.
    CallHandler = Callable[[str, str, msgspec.Raw], Any]

logger = logging.getLogger(__name__)

#: Time without a frame after which a peer has given up a connection that it opened, in ms. It has
#: received no answer to a heartbeat since.
ABANDONED_MS = PEER_TIMEOUT_MS + HEARTBEAT_MS

#: Answer in place of one that is larger than a frame; only a statement has such an answer.
TOO_LARGE = failure(ErrorKind.STATEMENT_FAILED, 'the answer is larger than an instance can pass on')

_hellos = msgspec.msgpack.Decoder(Hello)
_heartbeats = msgspec.msgpack.Decoder(Heartbeat)

_connections = itertools.count(1)


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
    on_open: Callable[[], None] = lambda: None,
) -> None:
    """Answer the calls of one peer until its connection ends; list its stream in `streams`."""
    configure(sock)
    stream = FrameStream(sock)
    stream.limit, stream.opened_ms = MAX_HELLO_BYTES, clock.now_ms()
    stream.awaits_hello = True
    streams.add(stream)
    sender = ''
    try:
        first = stream.read()
        if first is None:
            return
        hello = _hellos.decode(first)
        stream.peer_name, stream.limit = hello.name, MAX_FRAME_BYTES
        stream.awaits_hello = False
        on_open()
        # Each connection is a separate sender: its open transactions end with it, and a later
        # connection of the same peer never joins them.
        sender = f'{hello.name}/{hello.incarnation}/{next(_connections)}'
        heard_ms = clock.now_ms()
        while (data := stream.read()) is not None:
            now_ms, former_ms = clock.now_ms(), heard_ms
            heard_ms = now_ms
            frame = frames.decoder.decode(data)
            if now_ms - former_ms >= ABANDONED_MS or (frame.call_id and stream.ended_by_peer):
                # This process was suspended, or the frame was delayed. The peer, which got no
                # heartbeat, has given up its calls and reported their outcome as unknown. A
                # statement or an order that runs now would overwrite newer ones.
                logger.info('link from %r given up by the peer', sender)
                return
            if frame.call_id == 0:
                stream.send(0, HEARTBEAT, heartbeat_status())
                sent_ms = _sending_time(frame)
                if sent_ms is not None and (reports := report(stream, sent_ms)):
                    stream.send(0, TABLE_REPORTS, reports)
            else:
                eventlet.spawn_n(_answer, stream, sender, frame, handler)
    except (OSError, msgspec.DecodeError) as exc:
        logger.debug('link from %r failed: %s', sender, exc)
    finally:
        streams.discard(stream)
        stream.release()
        on_end(sender)


def _answer(stream: FrameStream, sender: str, frame: Frame, handler: CallHandler) -> None:
    if stream.closed:
        # The transactions of the sender were rolled back; a later one would stay open.
        logger.info('call %r of %r dropped, its connection has ended', frame.kind, sender)
        return
    try:
        body = handler(sender, frame.kind, frame.body)
        kind = frame.kind
    except ProxyError as exc:
        kind, body = FAILED, ErrorReply(exc.kind.value, exc.message)
    except Exception:
        logger.exception('handler of call %r failed', frame.kind)
        kind, body = FAILED, ErrorReply(ErrorKind.INTERNAL.value, 'handler failed')
    if stream.closed:
        return
    data = frames.encoder.encode((-frame.call_id, kind, body))
    if len(data) > MAX_FRAME_BYTES:
        # The receiver would end the link, and all statements on it would fail.
        data = frames.encoder.encode((-frame.call_id, kind, TOO_LARGE))
    stream.send_raw(data)


def _sending_time(heartbeat: Frame) -> int | None:
    """Return the time at which a heartbeat was sent, None if its sender expects no reports."""
    try:
        return _heartbeats.decode(heartbeat.body).sent_ms
    except msgspec.DecodeError:
        # The fields of a later build.
        return None
