"""Writing of entries of instances that a restored store lacks and their instances do not write."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.errors import ProxyError
from godwitthread.gateway.ports import ConditionFailedError
from godwitthread.gateway.store_rows import PEER_TABLE
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports
    from godwitthread.gateway.store_view import StoreView

#: Time after a restore in which the instances write their entries themselves, in ms. A running one
#: that reaches the store does so within 2.4 s.
RESTORATION_DELAY_MS = 4_000
#: Minimum interval between two attempts, in ms.
ATTEMPT_INTERVAL_MS = 2_000


class EntryRestoration:
    """Write the former entries of instances that have ended, or do not reach the store.

    Without an entry, an instance that has ended could not be removed, and would count for every
    majority for good.
    """

    def __init__(self, name: str, view: StoreView, ports: Ports, log: Log, clock: Clock) -> None:
        self._name = name
        self._view = view
        self._ports = ports
        self._log = log
        self._clock = clock
        self._tried_ms = 0

    def tick(self, is_responsible: Callable[[], bool]) -> None:
        """Write the entries that are still missing, if this instance is responsible."""
        former, now_ms = self._view.former, self._clock.now_ms()
        if not former.rows(PEER_TABLE) or former.age_ms(PEER_TABLE) < RESTORATION_DELAY_MS:
            return
        if now_ms - self._tried_ms >= ATTEMPT_INTERVAL_MS and is_responsible():
            self._tried_ms = now_ms
            eventlet.spawn_n(self._write)

    def _write(self) -> None:
        store = self._ports.store()
        for key, row in list(self._view.former.rows(PEER_TABLE).items()):
            if key == self._name:
                continue
            # The condition keeps an entry that the instance has written meanwhile.
            revision = self._view.row_revision(PEER_TABLE, key)
            try:
                store.put(PEER_TABLE, key, row.value or b'', revision)
                self._log.event('entry_restored', peer=key)
            except ConditionFailedError:
                continue
            except ProxyError as exc:
                self._log.failure('store_unavailable', table=PEER_TABLE, reason=exc.message)
                return
