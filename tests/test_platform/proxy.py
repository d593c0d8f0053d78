"""Proxy that injects network faults between two processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.loop import eventlet
from godwitthread.sockets import connect, listen, receive, shutdown_socket

if TYPE_CHECKING:
    from godwitthread.address import Address


class Proxy:
    """Forward connections of one address, with injected network faults."""

    def __init__(self, address: Address, target: Address) -> None:
        self.address = address
        #: 'forward', 'stalled' (data is held back in both directions), 'responses_stalled'
        #: (only responses are held back) or 'closed'.
        self.mode = 'forward'
        self.delay_s = 0.0
        self._target = target
        self._pairs: list[tuple[Any, Any]] = []
        self._listener = listen(address)
        eventlet.spawn(self._accept)

    def reset(self) -> None:
        """Close all connections."""
        for pair in self._pairs:
            for sock in pair:
                shutdown_socket(sock)
        self._pairs.clear()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn_n(self._open, sock)

    def _open(self, sock: Any) -> None:
        try:
            if self.mode == 'closed':
                raise ConnectionRefusedError
            upstream = connect(self._target, 1_000)
            upstream.settimeout(None)
        except OSError:
            sock.close()
            return
        self._pairs.append((sock, upstream))
        eventlet.spawn_n(self._copy, sock, upstream, ('stalled',))
        eventlet.spawn_n(self._copy, upstream, sock, ('stalled', 'responses_stalled'))

    def _copy(self, source: Any, target: Any, stalled_modes: tuple[str, ...]) -> None:
        try:
            while data := receive(source, 65_536):
                while self.mode in stalled_modes:
                    eventlet.sleep(0.02)
                eventlet.sleep(self.delay_s)
                target.sendall(data)
        except OSError:
            pass
        finally:
            shutdown_socket(target)
            source.close()
