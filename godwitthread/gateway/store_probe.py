"""Requests to the store that renew the evidence that the tables of an instance are current."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from godwitthread.errors import ProxyError
from godwitthread.gateway.ports import HistoryLostError
from godwitthread.gateway.store_watcher import MAX_RETRY_MS, RETRY_MS, adopt
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
                self._ask(table)
            except ProxyError as exc:
                self._set_healthy(False, table, exc.message)
                self._pause()
            except Exception:
                # The thread must go on: without it, nobody might notice that the store is silent.
                logger.exception('table %s not read', table)
                self._pause()
            else:
                self._retry_ms = RETRY_MS
                self._set_healthy(True, table, '')

    def _ask(self, table: str) -> None:
        context = self._context
        view, begun_ms = context.view, context.clock.now_ms()
        try:
            content = self._store.changes(table, view.revision(table), 0)
            adopt(view.apply_changes, table, content)
        except HistoryLostError:
            content = self._store.table(table)
            adopt(view.replace, table, content)
        context.on_answer(begun_ms, content.revision, True)

    def _pause(self) -> None:
        eventlet.sleep(random.uniform(self._retry_ms / 2, self._retry_ms) / 1000)
        self._retry_ms = min(MAX_RETRY_MS, 2 * self._retry_ms)

    def _set_healthy(self, healthy: bool, table: str, reason: str) -> None:
        if healthy != self._healthy:
            self._healthy = healthy
            name = 'store_available' if healthy else 'store_unavailable'
            self._context.log.event(name, table=table, reason=reason, probe=True)
            if healthy:
                self._context.health.notify_recovered()
