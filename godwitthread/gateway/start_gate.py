"""Start of the ownership of groups and rates at an instance, among others that start as well."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.ownership_start import OwnershipStart
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwitthread.clock import Clock
    from godwitthread.gateway.frames import FrameStream
    from godwitthread.gateway.links import Link


class StartGate:
    """Apply the decision when this instance may own resources as soon as its inputs change."""

    def __init__(
        self,
        clock: Clock,
        peer_links: Mapping[str, Link],
        inbound: set[FrameStream],
        knows_peers: Callable[[], bool],
        on_ready: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._links = peer_links
        self._inbound = inbound
        #: Returns whether the store content and the list of instances are known.
        self._knows_peers = knows_peers
        self._on_ready = on_ready
        self._decision = OwnershipStart()
        self._timer: eventlet.greenthread.GreenThread | None = None

    @property
    def reached(self) -> bool:
        """Return whether this instance has reached the candidates, or waited long enough."""
        return self._decision.reached

    @property
    def ready(self) -> bool:
        """Return whether this instance may own resources."""
        return self._decision.ready

    def update(self) -> None:
        """Decide again after a change of the links from or to this instance, or of time."""
        if self.ready or not self._knows_peers():
            return
        reach = {name: link.reach() for name, link in self._links.items()}
        linked = {stream.peer_name for stream in self._inbound}
        if self._decision.step(self._clock.now_ms(), reach, linked):
            self._on_ready()
            return
        next_ms = self._decision.next_change_ms()
        if self._timer is None and next_ms is not None:
            delay_ms = max(1, next_ms - self._clock.now_ms())
            self._timer = eventlet.spawn_after(delay_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.update()
