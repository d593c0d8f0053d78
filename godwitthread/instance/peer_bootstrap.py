"""Start of an instance from the configuration of its peers while the store is down."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.configuration import ConfigurationBody, Head, JoinState
from godwitthread.core.membership import Heartbeat, Summary
from godwitthread.errors import ProxyError
from godwitthread.loop import eventlet
from godwitthread.manifest.head import decode_roster
from godwitthread.types import Seat

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.instance.state import InstanceState
    from godwitthread.manifest.table_client import PlatformClient
    from godwitthread.peers.link import PeerLink

logger = logging.getLogger(__name__)

#: Timeout of a request to one peer in ms.
ANSWER_TIMEOUT_MS = 500
#: Maximum number of concurrent requests to peers.
PARALLEL_CALLS = 64


class BootstrapVersion(NamedTuple):
    """Configuration version to start with and a peer that holds its bodies."""

    head: Head
    source: str


class PeerBootstrap:
    """Request the configuration from the peers in the platform's instance list."""

    def __init__(
        self, state: InstanceState, link: PeerLink, platform: PlatformClient, join: JoinState
    ) -> None:
        self._state = state
        self._link = link
        self._platform = platform
        self._join = join
        self._listed_seats: dict[str, Seat] = {}
        self._sources: dict[int, str] = {}

    def seat(self, name: str) -> Seat | None:
        """Return the seat of a peer that is known from the instance list only."""
        return self._listed_seats.get(name)

    def find_version(
        self, fetch: Callable[[str, str], ConfigurationBody]
    ) -> BootstrapVersion | None:
        """Return the version that a majority of the seats reports, None without a majority."""
        self._refresh_instance_list()
        pool = eventlet.GreenPool(PARALLEL_CALLS)
        for peer in list(self._listed_seats.values()):
            pool.spawn_n(self._request_summary, peer)
        pool.waitall()
        head = self._join.candidate()
        if head is None:
            return None
        source = self._sources[head.version]
        try:
            roster = decode_roster(fetch(source, head.roster_hash).body)
        except ProxyError as exc:
            logger.info('fetching the roster from %s failed: %s', source, exc)
            return None
        return BootstrapVersion(head, source) if self._join.accepted(head, roster) else None

    def _request_summary(self, peer: Seat) -> None:
        seat = self._state.seat
        heartbeat = Heartbeat(
            seat.name, seat.incarnation, 0, self._state.now_ms(), None, joining=True
        )
        try:
            summary: Summary = self._link.call(peer, heartbeat, ANSWER_TIMEOUT_MS)
        except ProxyError as exc:
            logger.debug('requesting a summary from %s failed: %s', peer.name, exc)
            return
        self._listed_seats[summary.name] = peer._replace(name=summary.name)
        self._sources[summary.head.version] = summary.name
        self._join.vote(summary.name, summary.incarnation, summary.head, joining=False)

    def _refresh_instance_list(self) -> None:
        try:
            listed = self._platform.instances()
        except ProxyError:
            listed = []
        own = self._state.settings.name
        for each in listed:
            if each.name != own:
                self._listed_seats[each.name] = Seat(
                    each.name, 0, each.host, each.port, 0, 0, each.failure_domain
                )
        for address in self._state.settings.join_peers:
            self._listed_seats.setdefault(
                str(address), Seat(str(address), 0, address.host, address.port, 0, 0, '')
            )
