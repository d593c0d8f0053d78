"""Bounded queue of outgoing messages to one peer and the socket that sends them."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import pynng

from godwitthread.loop import eventlet
from godwitthread.peers.sockets import open_socket, wait_readable

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

#: Maximum number of messages queued for one peer. At 2 heartbeats and a few dozen share
#: messages per second, the queue holds more than 10 s of traffic.
MAX_QUEUED_MESSAGES = 512


class Message(NamedTuple):
    """Encoded message in the queue of an outbox."""

    kind: str
    data: bytes
    #: Whether the message is never evicted from a full queue.
    critical: bool
    #: Id of a request; 0 for other messages.
    call_id: int


class Outbox:
    """Send queued messages to one address in order, without blocking the event loop."""

    def __init__(
        self,
        address: str,
        on_sent: Callable[[Message], None],
        on_dropped: Callable[[Message, str], None],
        limit: int = MAX_QUEUED_MESSAGES,
    ) -> None:
        self._queue: deque[Message] = deque()
        self._on_sent = on_sent
        self._on_dropped = on_dropped
        self._limit = limit
        self._message_queued = eventlet.event.Event()
        self._sock = open_socket(pynng.Push0)
        # The dialer connects and reconnects in background threads of the library.
        self._sock.dial(f'tcp://{address}', block=False)
        self._thread = eventlet.spawn(self._run)
        #: Monotonic time at which the last message was queued, in ms.
        self.last_used_ms = 0

    def put(self, message: Message) -> bool:
        """Queue a message; return False if it was rejected because the queue is full.

        A full queue evicts its oldest non-critical message, and rejects the new one if there
        is none.
        """
        if len(self._queue) >= self._limit and not self._evict_for(message):
            return False
        self._queue.append(message)
        if not self._message_queued.ready():
            self._message_queued.send()
        return True

    def cancel(self, call_id: int) -> bool:
        """Remove a request that has not been sent yet; return whether it was removed."""
        for message in self._queue:
            if message.call_id == call_id:
                self._queue.remove(message)
                return True
        return False

    def flushed(self) -> bool:
        """Return whether all queued messages have been passed to the socket."""
        return not self._queue

    def close(self) -> None:
        """Stop sending and close the socket."""
        self._thread.kill()
        self._sock.close()

    def _evict_for(self, message: Message) -> bool:
        victim = next((item for item in self._queue if not item.critical), None)
        if victim is None:
            self._on_dropped(message, 'queue_full')
            return False
        self._queue.remove(victim)
        self._on_dropped(victim, 'queue_full')
        return True

    def _run(self) -> None:
        while True:
            while self._queue:
                self._send_first()
            self._message_queued = eventlet.event.Event()
            self._message_queued.wait()

    def _send_first(self) -> None:
        message = self._queue[0]
        try:
            self._sock.send(message.data, block=False)
        except pynng.TryAgain:
            wait_readable(self._sock.send_fd)
            return
        except pynng.NNGException:
            logger.exception('sending a message to a peer failed')
            self._queue.popleft()
            self._on_dropped(message, 'socket_error')
            return
        self._queue.popleft()
        self._on_sent(message)
