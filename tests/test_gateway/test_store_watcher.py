"""Watching of a store table during a store outage and after its end."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.clock import Clock
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import store_watcher
from godwitthread.gateway.ports import HistoryLostError, StoredRows, StoreUnreachableError
from godwitthread.gateway.store_health import StoreHealth
from godwitthread.gateway.store_view import StoreView
from godwitthread.gateway.store_watcher import ReaderContext, StoreWatcher
from tests.test_gateway.fakes import FakeGroup, ports, quiet_log


class FakeStore:
    """Store with one table and a scriptable error."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.calls = 0
        #: Whether calls for changes get 410, and whether the content that is read is current.
        self.history_lost, self.current = False, True

    def table(self, table):
        return self._answer()

    def changes(self, table, revision, wait_ms):
        if self.history_lost:
            self.calls += 1
            raise HistoryLostError
        if self.error is None:
            eventlet.sleep(wait_ms / 1000)
        return self._answer()

    def _answer(self):
        self.calls += 1
        if self.error is not None:
            raise self.error
        return StoredRows((), self.calls)


@pytest.fixture
def watch():
    """Return a function that starts a watcher; all watchers share one StoreHealth."""
    clock, health, threads = Clock(), StoreHealth(), []
    log = quiet_log(clock)
    view = StoreView(ports(FakeGroup()).schema, clock, log, lambda _: None)

    def start(table, store):
        context = ReaderContext(
            view, clock, log, health, lambda: None, lambda: True, lambda *_: store.current
        )
        watcher = StoreWatcher(table, 10, store, context)
        threads.append(eventlet.spawn(watcher.run))
        return watcher

    yield start
    for thread in threads:
        thread.kill()


def test_one_success_wakes_all_that_wait_for_the_store(watch, monkeypatch):
    """Guard against an instance that owns nothing for seconds after a store outage.

    In the run fjordkjol-ruter-grown trouble-1, each table waited for its own retry delay, and the
    list of instances was read 3 s after the configuration.
    """
    first, second = FakeStore(), FakeStore()
    first.error = second.error = ProxyError(ErrorKind.STORE_UNAVAILABLE, 'busy')
    waiting = watch('servers', second)
    eventlet.sleep(0.01)
    waiting._retry_ms = 60_000
    monkeypatch.setattr(store_watcher, 'RETRY_MS', 60_000)
    eventlet.sleep(0.5)
    first.error = second.error = None
    calls = second.calls
    other = watch('op', first)
    other.healthy = False
    eventlet.sleep(0.4)
    assert second.calls > calls
    assert waiting.healthy


def test_the_retry_delay_grows_with_refusals(watch):
    """Guard against priced calls in quick succession to a store that refuses them."""
    store = FakeStore()
    store.error = ProxyError(ErrorKind.STORE_UNAVAILABLE, 'busy')
    watch('op', store)
    eventlet.sleep(2.2)
    assert store.calls <= 5


def test_an_unreachable_store_is_retried_at_a_constant_interval(watch, monkeypatch):
    """Guard against a recovery of the store that is detected late after a long outage."""
    monkeypatch.setattr(store_watcher, 'RETRY_MS', 40)
    store = FakeStore()
    store.error = StoreUnreachableError('timed out')
    watcher = watch('op', store)
    watcher._retry_ms = 40
    eventlet.sleep(0.8)
    assert store.calls >= 15


def test_an_unexpected_error_does_not_end_the_watching(watch):
    """Guard against an instance that keeps an old configuration after one error."""
    store = FakeStore()
    store.error = ValueError('scripted')
    watcher = watch('servers', store)
    watcher._retry_ms = 1
    eventlet.sleep(0.05)
    store.error = None
    for _ in range(200):
        eventlet.sleep(0.01)
        if watcher._loaded:
            break
    assert watcher._loaded


@pytest.mark.parametrize('current', [True, False])
def test_lost_history_is_no_reason_to_call_without_a_pause(watch, current):
    """Guard against priced calls in quick succession while reading again does not help."""
    store = FakeStore()
    store.history_lost, store.current = True, current
    watcher = watch('op', store)
    eventlet.sleep(2.2)
    # Two calls at once, and for each delay of at least 200 ms, and of 400 ms later on.
    assert 2 <= store.calls <= 2 + 2 * 7
    # The next call may be one that waits for changes, which is counted when it ends.
    store.history_lost, store.current = False, True
    eventlet.sleep(2.2)
    assert watcher.call is not None
