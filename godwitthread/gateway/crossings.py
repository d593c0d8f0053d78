"""Traffic between failure domains: settings, measurements and decisions of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.scheduling.placement import Placement, RoundTrips

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer


class Crossings:
    """Traffic of one instance between its failure domain and the others."""

    def __init__(
        self,
        domain: str,
        cost_ms: float | None,
        clock: Clock,
        peers: Callable[[], Mapping[str, Peer]],
    ) -> None:
        #: Time that a crossing must save, in ms; None if failure domains are not considered.
        self.cost_ms = cost_ms
        self._domain = domain
        self._clock = clock
        #: Returns the registered instances.
        self._peers = peers
        self._round_trips = RoundTrips()

    def placement(self) -> Placement | None:
        """Return the decisions for one group, None if failure domains are not considered."""
        if self.cost_ms is None:
            return None
        return Placement(self._domain, self.cost_ms, self._round_trips.to)

    def record_round_trip(self, name: str, took_ms: int) -> None:
        """Record the duration of a call that another instance answers at once."""
        peer = self._peers().get(name)
        if peer is not None:
            self._round_trips.record(self._clock.now_ms(), peer.failure_domain, took_ms)
