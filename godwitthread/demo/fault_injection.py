"""Fault injection for individual instances of a deployment in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.instance.server import Instance


def kill(instance: Instance) -> None:
    """Terminate an instance without a shutdown, as if its process were killed.

    Its seat remains in the roster.
    """
    instance.state.leaving = instance.state.closing = True
    for thread in instance._threads:
        thread.kill()
    instance.link.stop()
    for server in (instance._caller_server, instance._operator_server):
        if server._thread is not None:
            server._thread.kill()
            server._thread = None
        server._sock.close()
        for thread in list(server._pool.coroutines_running):
            thread.kill()
    for pool in instance.backends._pools.values():
        for conn in list(pool._conns.values()):
            conn.abort()
    instance.backends.stop()
    instance.observers.stop()


def isolate(instance: Instance, *, store: bool = True, peers: bool = True) -> Callable[[], None]:
    """Disconnect an instance from the store and its peers; return a function that reconnects it."""
    undo_actions: list[Callable[[], None]] = []
    if store:
        undo_actions.append(
            _patch_attribute(instance.repository._store, '_request', _raise_store_unavailable)
        )
    if peers:
        link = instance.link
        undo_actions.append(_patch_attribute(link, '_on_data', lambda data: None))
        undo_actions.append(_patch_attribute(link, 'fault_hook', lambda address, kind: ()))

    def heal() -> None:
        for action in undo_actions:
            action()

    return heal


class Pause:
    """Suspend an instance at its next step and resume it later.

    Control steps, messages, requests and member responses block, as if the instance ran in a
    process of its own that received SIGSTOP.
    """

    def __init__(self, instance: Instance) -> None:
        self._resumed: Any = None
        self._paused_calls: frozenset[str] = frozenset()
        #: Number of calls blocked until the pause ends.
        self.waiting = 0
        self._wrap(instance, '_step', after=False)
        self._wrap(instance.configuration_manager, '_should_read_head', after=False)
        self._wrap(instance.link, '_on_data', after=False)
        self._wrap(instance.executor, '_send', after=True)
        for name in ('execute', 'begin', 'end'):
            self._wrap(instance.caller_service, name, after=False)

    def begin(self, *names: str) -> None:
        """Suspend the instance, or only the named calls."""
        self._paused_calls = frozenset(names)
        if self._resumed is None:
            self._resumed = eventlet.event.Event()

    def end(self) -> None:
        """Resume the instance."""
        event, self._resumed = self._resumed, None
        if event is not None:
            event.send()

    def _wrap(self, obj: Any, name: str, *, after: bool) -> None:
        original = getattr(obj, name)

        def wrapper(*args: Any, **kwargs: Any) -> Any:
            if not after:
                self._wait_while_paused(name)
            result = original(*args, **kwargs)
            if after:
                self._wait_while_paused(name)
            return result

        setattr(obj, name, wrapper)

    def _wait_while_paused(self, name: str) -> None:
        while self._resumed is not None and (not self._paused_calls or name in self._paused_calls):
            self.waiting += 1
            try:
                self._resumed.wait()
            finally:
                self.waiting -= 1


def _patch_attribute(obj: Any, name: str, value: Any) -> Callable[[], None]:
    old = getattr(obj, name)
    setattr(obj, name, value)
    return lambda: setattr(obj, name, old)


def _raise_store_unavailable(*args: Any) -> Any:
    raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'platform unreachable')
