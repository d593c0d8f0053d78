"""Synchronization of store tables between instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.errors import ProxyError
from godwitthread.gateway.store_rows import Snapshot
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.gateway.links import Link
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.store_view import StoreView

#: Time limit of a synchronization call, beyond the time that the peer may wait, in ms.
CALL_TIMEOUT_MS = 300
#: Time for which a peer may hold a request open until it has changes, in ms. The next request
#: goes to another random peer, so a peer cut off from the store delays a version by no more than
#: this.
LONG_POLL_MS = 1_000
#: Interval at which a peer checks for changes while it holds a request open, in ms.
CHANGE_CHECK_MS = 50
#: Minimum interval between requests to peers while the store does not answer, in ms.
MIN_POLL_INTERVAL_MS = 250
#: Delay after a failed request, in ms.
RETRY_MS = 50
#: Share of the requests that go to a peer in the same failure domain, if there is one. The others
#: go to any peer, since all peers of a failure domain may receive changes late.
NEARBY_SHARE = 0.5


class ViewRequest(NamedTuple):
    """Request for the tables that are newer than the known versions."""

    revisions: dict[str, int]
    #: Time for which the peer may wait for a newer version before it answers, in ms.
    wait_ms: int = 0


class ViewAnswer(NamedTuple):
    """Tables that are newer than the versions in the request."""

    tables: tuple[Snapshot, ...]


_answers = msgspec.msgpack.Decoder(ViewAnswer)


class PeerSync:
    """Fetch store tables from peers, and serve them to peers."""

    def __init__(
        self,
        view: StoreView,
        clock: Clock,
        log: Log,
        links: Callable[[], tuple[list[Link], list[Link]]],
        reads_store: Callable[[], bool],
        newer_peers: Callable[[], set[str]],
        on_ask: Callable[[str], Callable[[], None]],
    ) -> None:
        self._view = view
        self._clock = clock
        self._log = log
        #: Returns the links to peers in the same failure domain, and to all peers.
        self._links = links
        self._reads_store = reads_store
        #: Returns the names of the peers that report a newer table.
        self._newer_peers = newer_peers
        #: Called with the name of a peer before it is asked; the function that it returns is called
        #: once the answer was adopted.
        self._on_ask = on_ask
        self._last_poll_ms = 0

    def run(self) -> None:
        """Long-poll peers while this instance does not read the store itself."""
        while True:
            if self._reads_store():
                eventlet.sleep(MIN_POLL_INTERVAL_MS / 1000)
            elif not self._ask(LONG_POLL_MS):
                eventlet.sleep(RETRY_MS / 1000)

    def poll_peer(self) -> None:
        """Fetch newer tables from a peer, unless one was asked just before."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_poll_ms >= MIN_POLL_INTERVAL_MS:
            self._last_poll_ms = now_ms
            self._ask(0)

    def answer(self, request: ViewRequest) -> ViewAnswer:
        """Return the tables that are newer than a peer's, waiting for one if the peer allows it."""
        end_ms = self._clock.now_ms() + request.wait_ms
        while not (tables := self._view.newer_than(request.revisions)):
            if self._clock.now_ms() >= end_ms:
                break
            eventlet.sleep(CHANGE_CHECK_MS / 1000)
        return ViewAnswer(tables)

    def _ask(self, wait_ms: int) -> bool:
        link = self.choose_link()
        if link is None:
            return False
        request = ViewRequest(self._view.revisions(), wait_ms)
        on_adopted = self._on_ask(link.peer.name)
        try:
            body = link.call('view', request, wait_ms + CALL_TIMEOUT_MS)
            tables = _answers.decode(body).tables
        except (ProxyError, msgspec.DecodeError) as exc:
            self._log.failure('peer_lost', peer=link.peer.name, reason=str(exc))
            return False
        adopted = self.adopt(tables, link.peer.name)
        if adopted:
            on_adopted()
        return adopted

    def adopt(self, tables: tuple[Snapshot, ...], peer: str) -> bool:
        """Adopt newer tables of a peer; return whether all were applied."""
        adopted = True
        for snapshot in tables:
            try:
                self._view.replace_from(snapshot, peer)
            except Exception:
                # The view has reported the failure. Neither this thread nor the other tables may
                # stop: this instance would keep an old configuration.
                adopted = False
        return adopted

    def choose_link(self) -> Link | None:
        """Return the link to a peer that reports a newer table, else to any peer."""
        near, everywhere = self._links()
        newer = self._newer_peers()
        if any(link.peer.name in newer for link in everywhere):
            near = [link for link in near if link.peer.name in newer]
            return random.choice(near or [link for link in everywhere if link.peer.name in newer])
        use_near = near and random.random() < NEARBY_SHARE
        return random.choice(near if use_near else everywhere) if everywhere else None
