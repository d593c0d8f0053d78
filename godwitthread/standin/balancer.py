"""TCP load balancer stand-in that acts on delayed readiness polls."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING, Any, NamedTuple

import urllib3
from urllib3.exceptions import HTTPError

from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_MS = 1_000
POLL_TIMEOUT_MS = 1_000


class Target(NamedTuple):
    """Instance behind the balancer."""

    name: str
    host: str
    port: int
    #: URL that returns 200 while the instance accepts new work; '' means always ready.
    ready_url: str = ''


class BalancerSettings(NamedTuple):
    """Settings of the balancer."""

    targets: tuple[Target, ...]
    host: str = '127.0.0.1'
    port: int = 0
    poll_ms: int = 500
    #: Delay before a poll result takes effect, in ms.
    lag_ms: int = 0
    seed: int = 1


class Balancer:
    """Forward each connection to a random instance that was ready at its last poll."""

    def __init__(
        self, settings: BalancerSettings, is_ready: Callable[[Target], bool] | None = None
    ) -> None:
        self._settings = settings
        self._is_ready = is_ready or _poll
        self._random = random.Random(settings.seed)
        self._ready: dict[str, bool] = {}
        self._threads: list[Any] = []
        self._listener: Any = None
        #: Number of connections forwarded to each instance, by name.
        self.sent: dict[str, int] = {}
        self.port = settings.port

    def start(self) -> None:
        """Listen and poll in the background."""
        address = (self._settings.host, self.port)
        self._listener = eventlet.listen(address, reuse_port=False)
        self.port = self._listener.getsockname()[1]
        self._threads = [
            eventlet.spawn(self._poll_forever, target) for target in self._settings.targets
        ]
        self._threads.append(eventlet.spawn(self._accept_forever))

    def stop(self) -> None:
        """Close the listener; open connections last until a peer closes them."""
        for thread in self._threads:
            thread.kill()
        if self._listener is not None:
            self._listener.close()

    def ready(self) -> list[Target]:
        """Return the instances that are eligible for new connections."""
        return [entry for entry in self._settings.targets if self._ready.get(entry.name)]

    def _poll_forever(self, target: Target) -> None:
        while True:
            result = self._is_ready(target)
            eventlet.spawn_after(self._settings.lag_ms / 1000, self._set_ready, target, result)
            eventlet.sleep(self._settings.poll_ms / 1000)

    def _set_ready(self, target: Target, result: bool) -> None:
        self._ready[target.name] = result

    def _accept_forever(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, client: Any) -> None:
        server = self._connect()
        if server is None:
            client.close()
            return
        response_copier = eventlet.spawn(_copy_bytes, server, client)
        _copy_bytes(client, server)
        response_copier.wait()
        client.close()
        server.close()

    def _connect(self) -> Any:
        """Connect to a ready instance, trying each once in random order."""
        targets = self.ready()
        self._random.shuffle(targets)
        for target in targets:
            try:
                with eventlet.Timeout(CONNECT_TIMEOUT_MS / 1000, TimeoutError()):
                    sock = eventlet.connect((target.host, target.port))
            except OSError:
                continue
            self.sent[target.name] = self.sent.get(target.name, 0) + 1
            return sock
        return None


def _copy_bytes(source: Any, sink: Any) -> None:
    """Copy bytes in one direction until the source reaches end of file."""
    with contextlib.suppress(OSError):
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
    with contextlib.suppress(OSError):
        sink.shutdown(eventlet.green.socket.SHUT_WR)


_pool = urllib3.PoolManager(retries=False)


def _poll(target: Target) -> bool:
    if not target.ready_url:
        return True
    try:
        resp = _pool.request('GET', target.ready_url, timeout=POLL_TIMEOUT_MS / 1000)
    except HTTPError:
        return False
    return resp.status == 200
