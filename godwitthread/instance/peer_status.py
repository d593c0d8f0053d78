"""Collection of the status of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.errors import ProxyError
from godwitthread.loop import eventlet
from godwitthread.peers.codec import Envelope, register

if TYPE_CHECKING:
    from godwitthread.instance.state import InstanceState
    from godwitthread.peers.link import PeerLink
    from godwitthread.types import Seat

#: Timeout of a request for the status of another instance in ms.
ANSWER_TIMEOUT_MS = 500
#: Maximum number of concurrent requests to other instances.
PARALLEL_CALLS = 64


class PeerStatusRequest(NamedTuple):
    """Request for the status of an instance."""


class PeerStatus(NamedTuple):
    """Status of one instance; `ready` and `version` are None if it did not answer."""

    name: str
    failure_domain: str
    ready: bool | None
    version: int | None


register('peer_status_request', PeerStatusRequest)
register('peer_status', PeerStatus)


class PeerStatusCollector:
    """Answer status requests of peers and collect the status of every seat."""

    def __init__(self, state: InstanceState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        link.register_handler('peer_status_request', self._on_request)

    def collect(self) -> list[dict[str, Any]]:
        """Return the status of every seat, with None for what an instance did not answer."""
        pool = eventlet.GreenPool(PARALLEL_CALLS)
        return [status._asdict() for status in pool.imap(self._status_of, self._state.roster.seats)]

    def _status_of(self, seat: Seat) -> PeerStatus:
        if seat == self._state.seat:
            return self._own_status()
        try:
            status: PeerStatus = self._link.call(seat, PeerStatusRequest(), ANSWER_TIMEOUT_MS)
        except ProxyError:
            return PeerStatus(seat.name, seat.failure_domain, None, None)
        return status

    def _own_status(self) -> PeerStatus:
        state = self._state
        version = state.freshness.version
        return PeerStatus(state.seat.name, state.seat.failure_domain, state.is_ready(), version)

    def _on_request(self, envelope: Envelope) -> PeerStatus:
        return self._own_status()
