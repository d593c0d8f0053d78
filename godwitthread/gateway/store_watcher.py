"""Watching of store tables, through peers while the store does not answer."""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.clock import Clock
from godwitthread.core.table_freshness import FeedCall
from godwitthread.errors import ProxyError
from godwitthread.gateway.logs import Log
from godwitthread.gateway.ports import HistoryLostError, StoreUnreachableError
from godwitthread.gateway.store_health import JITTER_MS, StoreHealth
from godwitthread.gateway.store_view import StoreView
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from godwitthread.gateway.ports import Store, StoredRows

logger = logging.getLogger(__name__)

#: Maximum wait for a change, in ms; the store allows 30 s. Keep-alive probes detect a dead
#: connection earlier.
MAX_CHANGE_WAIT_MS = 25_000
#: Minimum interval between two calls for one table, in ms. Changes in quick succession then take
#: one call, and a new version still takes effect well within its limit of 3 s.
MIN_CALL_INTERVAL_MS = 250
#: The same for the table of instances, to which all instances write when a deployment starts.
PEER_TABLE_INTERVAL_MS = 1_000
#: Initial and maximum delay after a failed call, in ms; the actual delay is random, between half
#: of it and the whole. It doubles with each failure, since calls are priced and peers provide new
#: content meanwhile. A connection attempt that fails is not a call and does not double it.
RETRY_MS = 400
MAX_RETRY_MS = 1_600
#: Maximum delay after a call whose answer did not help, as the history is lost or the content is
#: old, in ms. One reader that gets current content tells the others.
MAX_RELOAD_MS = 800
#: Interval of requests to peers while the store does not answer, in ms.
PEER_POLL_MS = 400


class StoreAnswer(NamedTuple):
    """Successful call to the store, as far as it tells how current the copies are."""

    begun_ms: int
    revision: int
    #: Whether it was made to renew the evidence that the copies are current.
    probe: bool = False
    #: Whether a whole table was read. After lost history, such reads may return content that is
    #: seconds old, also at the version of the copy, and an instance that has just started does not
    #: know whether history was lost.
    whole: bool = False


class ReaderContext(NamedTuple):
    """What the threads of an instance that call the store have in common."""

    view: StoreView
    clock: Clock
    log: Log
    health: StoreHealth
    #: Fetches newer tables from a peer.
    poll_peer: Callable[[], None]
    #: Returns whether this instance reads the store itself.
    reads_store: Callable[[], bool]
    #: Processes an answer; returns whether it is as new as what is known of the store.
    on_answer: Callable[[StoreAnswer], bool]


class StoreWatcher:
    """Keep the local copy of one store table up to date."""

    def __init__(
        self, table: str, min_interval_ms: int, store: Store, context: ReaderContext
    ) -> None:
        self.table = table
        #: Whether the last call succeeded.
        self.healthy = True
        #: Call for changes that is in progress.
        self.call: FeedCall | None = None
        self._min_interval_ms = min_interval_ms
        self._store = store
        self._context = context
        self._view = context.view
        self._log = context.log
        self._health = context.health
        self._clock = context.clock
        self._called_ms = 0
        self._loaded = False
        self._interrupted = False
        self._retry_ms = RETRY_MS
        #: Number of calls that got no changes since the last one that did.
        self._losses = 0

    def run(self) -> None:
        """Watch the table until the thread is killed."""
        while True:
            if self._loaded and not self._context.reads_store():
                eventlet.sleep(PEER_POLL_MS / 1000)
                continue
            self._called_ms = self._clock.now_ms()
            self._interrupted = False
            try:
                current = self._fetch()
            except HistoryLostError:
                self._loaded = False
                self._losses += 1
                self._log.event('history_lost', table=self.table, losses=self._losses)
                if self._losses > 1:
                    # The table was read again, which did not help.
                    self._back_off(MAX_RELOAD_MS)
                continue
            except ProxyError as exc:
                if self._interrupted:
                    eventlet.sleep(random.uniform(0, JITTER_MS) / 1000)
                    continue
                self._set_healthy(False, exc.message)
                if isinstance(exc, StoreUnreachableError):
                    self._pause()
                else:
                    self._back_off(MAX_RETRY_MS)
                continue
            except Exception:
                # The thread must go on: without it, this instance would keep an old configuration.
                logger.exception('table %s not read', self.table)
                self._back_off(MAX_RETRY_MS)
                continue
            self._set_healthy(True, '')
            self._rest(current)

    def interrupt(self) -> None:
        """Give up the call in progress, and start another one."""
        self._interrupted, self.call = True, None
        self._log.event(
            'feed_interrupted', table=self.table, open_ms=self._clock.now_ms() - self._called_ms
        )
        self._store.interrupt()

    def _rest(self, current: bool) -> None:
        """Wait until the next call after one that was answered."""
        if not current:
            self._back_off(MAX_RELOAD_MS)
            return
        if not self._losses:
            self._retry_ms = RETRY_MS
        eventlet.sleep(self._min_interval_ms / 1000)

    def _back_off(self, maximum_ms: int) -> None:
        self._pause()
        self._retry_ms = min(maximum_ms, 2 * self._retry_ms)

    def _pause(self) -> None:
        """Wait for the delay or until another thread's call succeeds; poll peers meanwhile."""
        wait_ms = random.uniform(self._retry_ms / 2, self._retry_ms)
        known = self._health.recoveries
        while wait_ms > 0:
            self._context.poll_peer()
            if self._health.wait(min(wait_ms, PEER_POLL_MS), known):
                return
            wait_ms -= PEER_POLL_MS

    def _fetch(self) -> bool:
        """Read the table or wait for changes; return whether the answer was current."""
        table, view, begun_ms = self.table, self._view, self._called_ms
        if not self._loaded or not view.revision(table):
            content, whole = self._store.table(table), True
            self._loaded = True
            adopt(view.replace, table, content)
        else:
            # The first call after a failure returns at once, so that a recovery is detected.
            wait_ms = MAX_CHANGE_WAIT_MS if self.healthy else 0
            self.call = FeedCall(view.content(table)) if wait_ms else None
            try:
                content = self._store.changes(table, view.revision(table), wait_ms)
            finally:
                self.call = None
            self._losses, whole = 0, False
            adopt(view.apply_changes, table, content)
        return self._context.on_answer(StoreAnswer(begun_ms, content.revision, whole=whole))

    def _set_healthy(self, healthy: bool, reason: str) -> None:
        if healthy != self.healthy:
            name = 'store_available' if healthy else 'store_unavailable'
            # A call that was open for seconds before it failed hid the changes of that time.
            open_ms = self._clock.now_ms() - self._called_ms
            self._log.event(name, table=self.table, reason=reason, open_ms=open_ms)
            if healthy:
                self._health.notify_recovered()
        self.healthy = healthy


def adopt(update: Callable[[str, StoredRows], None], table: str, content: StoredRows) -> None:
    """Pass an answer of the store to the view.

    After a failure to apply it, the view has the content, has reported the failure and tries
    again. To read the table again would not help, and every instance would do so.
    """
    with contextlib.suppress(Exception):
        update(table, content)
