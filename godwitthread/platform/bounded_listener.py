"""Listening socket of an HTTP endpoint with a limited number of connections."""

from __future__ import annotations

import logging
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

from godwitthread.loop import eventlet
from godwitthread.sockets import shutdown_socket

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

#: Delay after a failed `accept`, in s.
ACCEPT_RETRY_S = 0.05
#: Receive buffer of a connection, in bytes; a request has a few hundred.
RECEIVE_BUFFER_BYTES = 16 * 1024


class BoundedListener:
    """Socket of `eventlet.wsgi` that ends the oldest connection when there are too many.

    The server of the library handles a limited number of connections and accepts no more beyond
    it, so that idle connections would keep probes out.
    """

    def __init__(self, sock: Any, limit: int, note: Callable[[str], None]) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock = sock
        self._limit = limit
        self._note = note
        self._open: deque[Any] = deque()

    def accept(self) -> tuple[Any, Any]:
        """Accept a connection; failures are retried, since the library would stop serving."""
        while True:
            eventlet.sleep(0)
            try:
                conn, address = self._sock.accept()
            except OSError as exc:
                logger.warning('accept failed: %s', exc)
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            self._end_oldest()
            self._open.append(conn)
            return conn, address

    def _end_oldest(self) -> None:
        if len(self._open) < self._limit:
            return
        self._open = deque(each for each in self._open if each.fileno() >= 0)
        while len(self._open) >= self._limit:
            self._note('http_connections')
            shutdown_socket(self._open.popleft())

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)
