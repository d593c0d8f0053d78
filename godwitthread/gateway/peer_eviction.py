"""Removal of the store entries of instances that no longer run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.gateway.store_rows import PEER_TABLE
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports

#: Time for which a registered peer must be unreachable before its entry is removed, in ms. A
#: restart takes less.
EVICTION_DELAY_MS = 10_000


class PeerEviction:
    """Track the unreachable peers, and remove the entries of those that stay unreachable."""

    def __init__(
        self, clock: Clock, ports: Ports, log: Log, row_revision: Callable[[str, str], int]
    ) -> None:
        self._clock = clock
        self._ports = ports
        self._log = log
        self._row_revision = row_revision
        self._unreachable_since_ms: dict[str, int] = {}

    def set_reachable(self, name: str) -> None:
        """Record that a peer is reachable, or no longer of interest."""
        self._unreachable_since_ms.pop(name, None)

    def set_unreachable(self, name: str) -> bool:
        """Record that a peer is unreachable; return whether it was reachable before."""
        new = name not in self._unreachable_since_ms
        self._unreachable_since_ms.setdefault(name, self._clock.now_ms())
        return new

    def tick(self, is_responsible: Callable[[], bool]) -> None:
        """Remove the entries of the peers that have been unreachable for EVICTION_DELAY_MS."""
        now_ms = self._clock.now_ms()
        for name, since_ms in list(self._unreachable_since_ms.items()):
            if now_ms - since_ms < EVICTION_DELAY_MS or not is_responsible():
                continue
            self._unreachable_since_ms[name] = now_ms
            revision = self._row_revision(PEER_TABLE, name)
            if revision:
                eventlet.spawn_n(self._remove, name, revision)

    def _remove(self, name: str, revision: int) -> None:
        try:
            self._ports.store().remove(PEER_TABLE, name, revision)
        except Exception as exc:
            self._log.failure('store_unavailable', table=PEER_TABLE, reason=str(exc))
