"""Messaging with other instances: one listening socket and one outbox per peer."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

import pynng

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet
from godwitthread.peers import codec
from godwitthread.peers.calls import PendingCalls, deadline_error, shutdown_error
from godwitthread.peers.codec import Envelope
from godwitthread.peers.outbox import Message, Outbox
from godwitthread.peers.sockets import MAX_MESSAGE_BYTES, open_socket, wait_readable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from godwitthread.clock import Clock
    from godwitthread.events import HybridLogicalClock
    from godwitthread.types import Seat

    #: Receives a message; for a call, the return value is the body of the response.
    Handler = Callable[[Envelope], Any]
    #: Receives (address, kind) and returns the delay in ms of each copy to send:
    #: [] drops, [0] passes, [50] delays and [0, 0] duplicates the message.
    FaultHook = Callable[[str, str], Sequence[int]]

logger = logging.getLogger(__name__)

#: Maximum number of call handlers that run concurrently.
MAX_CONCURRENT_CALLS = 1_000
#: Delay before the next receive after an error of the listening socket, in ms.
RECEIVE_RETRY_DELAY_MS = 100
#: Maximum number of messages received before the receiver yields to other green threads.
RECEIVE_BATCH_SIZE = 100
#: Time without a new message after which an outbox is closed, in ms.
IDLE_TIMEOUT_MS = 60_000
#: Interval at which idle outboxes are closed, in ms.
IDLE_CHECK_INTERVAL_MS = 5_000


class PeerLink:
    """Exchange authenticated messages with other instances."""

    def __init__(
        self,
        seat: Seat,
        key: bytes,
        hybrid_clock: HybridLogicalClock,
        clock: Clock,
        fault_hook: FaultHook | None = None,
    ) -> None:
        #: Roster entry of this instance.
        self.seat = seat
        #: Messages and bytes sent and received, by kind.
        self.sent_messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.received_messages: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        #: Dropped messages, by reason.
        self.dropped: Counter[str] = Counter()
        #: Fault injection hook for tests.
        self.fault_hook = fault_hook
        self._key = key
        self._hybrid_clock = hybrid_clock
        self._clock = clock
        self._calls = PendingCalls()
        self._handlers: dict[str, Handler] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._pool = eventlet.GreenPool(MAX_CONCURRENT_CALLS)
        self._threads: list[Any] = []
        self._sock: Any = None

    def register_handler(self, kind: str, handler: Handler) -> None:
        """Register the handler of a kind.

        Handlers of one-way messages run in the receive loop and must not block; handlers
        of calls run in green threads of their own.
        """
        self._handlers[kind] = handler

    def start(self) -> None:
        """Listen on the peer address of this instance and start to receive."""
        self._sock = open_socket(pynng.Pull0)
        self._sock.listen(f'tcp://{_address(self.seat)}')
        self._threads = [eventlet.spawn(self._receive), eventlet.spawn(self._close_idle_outboxes)]

    def stop(self) -> None:
        """Close all sockets; messages that are still queued are discarded."""
        for thread in self._threads:
            thread.kill()
        for outbox in self._outboxes.values():
            outbox.close()
        self._outboxes.clear()
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def flush(self, timeout_ms: int) -> bool:
        """Wait until all queued messages are sent; return False on time-out."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while not all(outbox.flushed() for outbox in self._outboxes.values()):
            if self._clock.now_ms() >= deadline_ms:
                return False
            eventlet.sleep(0.005)
        return True

    def send(self, seat: Seat, body: Any, critical: bool = False) -> bool:
        """Queue a one-way message; return False if the queue is full or the link is stopped.

        With a fault hook, the result is always True.
        """
        return self._send_envelope(_address(seat), self._envelope(body), critical)

    def call(self, seat: Seat, body: Any, timeout_ms: int) -> Any:
        """Call a peer and return its response; raise ProxyError with the known outcome."""
        address = _address(seat)
        envelope = self._envelope(body)
        call_id = self._calls.open(envelope.kind)
        envelope = envelope._replace(call_id=call_id, reply_to=_address(self.seat))
        if not self._send_envelope(address, envelope, critical=True):
            self._calls.cancel(call_id)
            raise ProxyError(
                ErrorKind.OVERLOADED,
                'message to the peer not queued: the queue is full or the link is stopped',
            )
        response = self._calls.wait(call_id, timeout_ms)
        if response is None:
            outbox = self._outboxes.get(address)
            raise deadline_error(outbox is None or not outbox.cancel(call_id))
        return response

    def abandon_calls(self, kind: str) -> None:
        """End the calls of a kind that await a response, with the outcome known so far."""
        for call_id in self._calls.of_kind(kind):
            unsent = any(outbox.cancel(call_id) for outbox in self._outboxes.values())
            error = shutdown_error(left_queue=not unsent)
            self._calls.resolve(call_id, codec.failure_from_error(error))

    def counters(self) -> dict[str, Counter[str]]:
        """Return all counters by name."""
        dropped = self.dropped + Counter(late_answer=self._calls.late_answers)
        return {
            'sent_messages': self.sent_messages,
            'sent_bytes': self.sent_bytes,
            'received_messages': self.received_messages,
            'received_bytes': self.received_bytes,
            'dropped': dropped,
        }

    def _envelope(self, body: Any) -> Envelope:
        stamp = self._hybrid_clock.tick()
        kind = codec.kind_of(body)
        return Envelope(kind, self.seat.name, self.seat.incarnation, stamp, body)

    def _send_envelope(self, address: str, envelope: Envelope, critical: bool) -> bool:
        data = codec.encode(envelope, self._key)
        if len(data) > MAX_MESSAGE_BYTES:
            raise ProxyError(
                ErrorKind.BODY_TOO_LARGE, 'message to the peer exceeds the maximum size'
            )
        message = Message(envelope.kind, data, critical, max(envelope.call_id, 0))
        if self.fault_hook is None:
            return self._enqueue(address, message)
        for delay_ms in self.fault_hook(address, envelope.kind):
            if delay_ms:
                eventlet.spawn_after(delay_ms / 1000, self._enqueue, address, message)
            else:
                self._enqueue(address, message)
        return True

    def _enqueue(self, address: str, message: Message) -> bool:
        if self._sock is None:
            # A handler or a delayed copy may still send after the link has been stopped.
            self.dropped['stopped'] += 1
            return False
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._outboxes[address] = Outbox(address, self._on_sent, self._on_dropped)
        outbox.last_used_ms = self._clock.now_ms()
        return outbox.put(message)

    def _on_sent(self, message: Message) -> None:
        self.sent_messages[message.kind] += 1
        self.sent_bytes[message.kind] += len(message.data)

    def _on_dropped(self, message: Message, reason: str) -> None:
        self.dropped[reason] += 1

    def _receive(self) -> None:
        while True:
            for _ in range(RECEIVE_BATCH_SIZE):
                try:
                    data = self._sock.recv(block=False)
                except pynng.TryAgain:
                    wait_readable(self._sock.recv_fd)
                    break
                except pynng.NNGException:
                    self.dropped['socket_error'] += 1
                    logger.exception('receiving messages from peers failed')
                    eventlet.sleep(RECEIVE_RETRY_DELAY_MS / 1000)
                    break
                self._on_data(data)
            eventlet.sleep(0)

    def _on_data(self, data: bytes) -> None:
        try:
            envelope = codec.decode(data, self._key)
        except codec.DecodeError as exc:
            self.dropped[exc.reason] += 1
            return
        self.received_messages[envelope.kind] += 1
        self.received_bytes[envelope.kind] += len(data)
        self._hybrid_clock.observe(envelope.stamp)
        if envelope.call_id < 0:
            self._calls.resolve(-envelope.call_id, envelope.body)
        elif envelope.call_id > 0:
            self._dispatch_call(envelope)
        else:
            self._handle_one_way(envelope)

    def _dispatch_call(self, envelope: Envelope) -> None:
        if self._pool.free() > 0:
            self._pool.spawn_n(self._handle_call, envelope)
        else:
            error = ProxyError(ErrorKind.OVERLOADED, 'too many concurrent calls from peers')
            self._reply(envelope, codec.failure_from_error(error))

    def _handle_call(self, envelope: Envelope) -> None:
        handler = self._handlers.get(envelope.kind)
        try:
            if handler is None:
                raise ProxyError(
                    ErrorKind.NOT_FOUND, f'no handler for calls of kind {envelope.kind}'
                )
            body = handler(envelope)
            codec.kind_of(body)
        except Exception as exc:
            if not isinstance(exc, ProxyError):
                logger.exception('handler for calls of kind %s failed', envelope.kind)
            body = codec.failure_from_error(exc)
        self._reply(envelope, body)

    def _reply(self, envelope: Envelope, body: Any) -> None:
        response = self._envelope(body)._replace(call_id=-envelope.call_id)
        try:
            self._send_envelope(envelope.reply_to, response, critical=True)
        except ProxyError as exc:
            failure = self._envelope(codec.failure_from_error(_with_unknown_outcome(exc)))
            self._send_envelope(
                envelope.reply_to, failure._replace(call_id=-envelope.call_id), True
            )

    def _handle_one_way(self, envelope: Envelope) -> None:
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            self.dropped['unhandled'] += 1
            return
        try:
            handler(envelope)
        except Exception:
            self.dropped['handler_failed'] += 1
            logger.exception('handler for messages of kind %s failed', envelope.kind)

    def _close_idle_outboxes(self) -> None:
        while True:
            eventlet.sleep(IDLE_CHECK_INTERVAL_MS / 1000)
            idle_since_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
            for address, outbox in list(self._outboxes.items()):
                if outbox.last_used_ms < idle_since_ms:
                    del self._outboxes[address]
                    outbox.close()


def _address(seat: Seat) -> str:
    return f'{seat.host}:{seat.peer_port}'


def _with_unknown_outcome(exc: ProxyError) -> ProxyError:
    # The handler has run, so a response that is too large to send must not report `not_run`.
    return ProxyError(ErrorKind.INTERNAL, exc.message)
