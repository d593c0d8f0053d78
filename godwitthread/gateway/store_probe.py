"""Requests to the store that renew the evidence that the tables of an instance are current."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from godwitthread.errors import ProxyError
from godwitthread.gateway.ports import HistoryLostError
from godwitthread.gateway.store_watcher import (
    MAX_RELOAD_MS,
    MAX_RETRY_MS,
    RETRY_MS,
    StoreAnswer,
    adopt,
)
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.gateway.ports import Store
    from godwitthread.gateway.store_watcher import ReaderContext

logger = logging.getLogger(__name__)

#: Interval at which the age of the evidence is checked, in ms.
CHECK_INTERVAL_MS = 100


class StoreProbe:
    """Ask the store for changes of a table, without a wait, when its evidence is too old."""

    def __init__(
        self, store: Store, context: ReaderContext, overdue_table: Callable[[], str | None]
    ) -> None:
        self._store = store
        self._context = context
        #: Returns the table whose evidence this instance must renew, None if there is none.
        self._overdue_table = overdue_table
        self._healthy = True
        self._retry_ms = RETRY_MS

    def run(self) -> None:
        """Renew the evidence until the thread is killed."""
        while True:
            table = self._overdue_table()
            if table is None:
                eventlet.sleep(CHECK_INTERVAL_MS / 1000)
                continue
            try:
                evident = confirm(self._store, self._context, table, probe=True)
            except ProxyError as exc:
                self._set_healthy(False, table, exc.message)
                self._pause()
            except Exception:
                # The thread must go on: without it, nobody might notice that the store is silent.
                logger.exception('table %s not read', table)
                self._pause()
            else:
                self._set_healthy(True, table, '')
                if evident:
                    self._retry_ms = RETRY_MS
                else:
                    self._pause(MAX_RELOAD_MS)

    def _pause(self, maximum_ms: int = MAX_RETRY_MS) -> None:
        eventlet.sleep(random.uniform(self._retry_ms / 2, self._retry_ms) / 1000)
        self._retry_ms = min(maximum_ms, 2 * self._retry_ms)

    def _set_healthy(self, healthy: bool, table: str, reason: str) -> None:
        if healthy != self._healthy:
            self._healthy = healthy
            name = 'store_available' if healthy else 'store_unavailable'
            self._context.log.event(name, table=table, reason=reason, probe=True)
            if healthy:
                self._context.health.notify_recovered()


def confirm(store: Store, context: ReaderContext, table: str, probe: bool = False) -> bool:
    """Ask for changes of a table; return whether the answer was evidence; raise ProxyError.

    `probe` tells that this instance renews the evidence for all.
    """
    view, begun_ms, whole = context.view, context.clock.now_ms(), False
    try:
        content = store.changes(table, view.revision(table), 0)
        adopt(view.apply_changes, table, content)
    except HistoryLostError:
        content, whole = store.table(table), True
        adopt(view.replace, table, content)
    answer = StoreAnswer(begun_ms, content.revision, probe, whole)
    # A whole read is no evidence, so that the next probe is due at once.
    return context.on_answer(answer) and not whole
