"""Connection pools and status requests of an instance to the backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.backend import control
from godwitthread.backend.connection import Login, open_connection
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.instance.member_pool import Lease, MemberPool
from godwitthread.loop import eventlet
from godwitthread.manifest.directory import connection_resource

if TYPE_CHECKING:
    from godwitthread.backend.connection import BackendConnection
    from godwitthread.instance.group_views import GroupViews
    from godwitthread.instance.observers import Observers
    from godwitthread.instance.state import InstanceState

__all__ = ['Backends', 'Lease']

#: Timeout for opening a connection in ms.
OPEN_TIMEOUT_MS = 1_000
#: Timeout of a status request in ms.
STATUS_TIMEOUT_MS = 400
#: Minimum interval between status requests to the same member in ms.
REFRESH_INTERVAL_MS = 10
#: Delay before writes on an old primary are aborted, in ms. Within it a fenced primary may
#: still answer writes that it confirmed before the fence.
WRITE_ABORT_DELAY_MS = 300
#: Fair-queue account that status requests are charged to.
STATUS_ACCOUNT = 'status'


class Backends:
    """Lease connections to members and request the status of members."""

    def __init__(self, state: InstanceState, groups: GroupViews, observers: Observers) -> None:
        self._state = state
        self._groups = groups
        self._observers = observers
        self._pools: dict[tuple[str, str], MemberPool] = {}
        self._refreshing: dict[tuple[str, str], Any] = {}
        self._refreshed_ms: dict[tuple[str, str], int] = {}

    def configure(self) -> None:
        """Create, replace and drain pools according to the manifest in force."""
        directory = self._state.directory
        if directory is None:
            return
        wanted = {
            (database, spec.name): spec
            for database in directory.databases
            if self._state.serves(database)
            for spec in directory.members(database)
        }
        for key in [key for key in self._pools if key not in wanted]:
            self._pools.pop(key).drain()
            self._state.metrics.connections.remove(*key)
        for (database, member), spec in wanted.items():
            pool = self._pools.get((database, member))
            if pool is None or pool.spec[:3] != spec[:3]:
                if pool is not None:
                    pool.drain()
                self._pools[database, member] = MemberPool(
                    self._state,
                    spec,
                    connection_resource(database, member),
                    self._connector(database, member),
                )
            if spec.leaving or self._state.closing:
                self._pools[database, member].drain()
            else:
                self._pools[database, member].resume()

    def lease(
        self, database: str, member: str, mode: str, account: str, owner: str, deadline_ms: int
    ) -> Lease:
        """Return a connection; raise BACKEND_UNAVAILABLE, OVERLOADED or DEADLINE_EXCEEDED."""
        pool = self._pools.get((database, member))
        if pool is None:
            text = f'{member} is no longer a member of {database}'
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text, retry_after_ms=0)
        return pool.lease(mode, account, owner, deadline_ms)

    def refresh(self, database: str, member: str) -> None:
        """Request the status of a member; concurrent calls share one request."""
        key = (database, member)
        running = self._refreshing.get(key)
        if running is not None:
            with eventlet.Timeout(STATUS_TIMEOUT_MS / 1000, False):
                running.wait()
            return
        self._refreshing[key] = done = eventlet.event.Event()
        try:
            self._throttle_refresh(key)
            self._request_status(database, member)
        finally:
            del self._refreshing[key]
            done.send()

    def await_change(self, database: str, wait_ms: int) -> None:
        """Wait for a new primary to be announced; query the members if none is known."""
        self._groups.await_change(database, wait_ms)
        directory, view = self._state.directory, self._state.views.get(database)
        if directory is None or view is None or view.primary(self._state.now_ms()) is not None:
            return
        for spec in directory.members(database):
            self.refresh(database, spec.name)

    def primary_changed(self, database: str, primary: str) -> None:
        """Redirect queued writes to a new primary and abort writes pending on an old one."""
        old = [
            pool
            for (name, member), pool in self._pools.items()
            if name == database and member != primary
        ]
        for pool in old:
            pool.refuse_writers()
        eventlet.spawn_after(WRITE_ABORT_DELAY_MS / 1000, self._abort_writers, database, old)

    def report_error(self, database: str, member: str) -> None:
        """Report an error to the observer of the database, if this instance runs one."""
        self._observers.report_error(database, member)

    def tick(self) -> None:
        """Resize every pool to its share of the connections."""
        for pool in self._pools.values():
            pool.tick()

    def export_metrics(self) -> None:
        """Update the connection metrics."""
        gauge = self._state.metrics.connections
        for (database, member), pool in self._pools.items():
            gauge.labels(database, member).set(pool.table.open_units)

    def drain(self) -> None:
        """Refuse new requests and close every connection once it is released."""
        for pool in self._pools.values():
            pool.drain()

    def abort(self) -> None:
        """Refuse new requests and abort those that run, whose outcome is then unknown."""
        for pool in self._pools.values():
            pool.abort()

    def stop(self) -> None:
        """Drain and discard all pools."""
        self.drain()
        self._pools.clear()

    def _abort_writers(self, database: str, old: list[MemberPool]) -> None:
        view = self._state.views.get(database)
        primary = view.primary(self._state.now_ms()) if view is not None else None
        for pool in old:
            if pool.spec.name != primary:
                pool.abort_writers()

    def _connector(self, database: str, member: str) -> Any:
        settings = self._state.settings
        login = Login(settings.backend_user, settings.backend_password or None, database)

        def connect(mode: str) -> BackendConnection:
            spec = self._state.member(database, member)
            if spec is None:
                raise ProxyError(
                    ErrorKind.BACKEND_UNAVAILABLE, f'{member} was removed from the manifest'
                )
            return open_connection(
                spec, login, read_only=mode == 'read', timeout_ms=OPEN_TIMEOUT_MS
            )

        return connect

    def _throttle_refresh(self, key: tuple[str, str]) -> None:
        wait_ms = self._refreshed_ms.get(key, 0) + REFRESH_INTERVAL_MS - self._state.now_ms()
        if wait_ms > 0:
            eventlet.sleep(wait_ms / 1000)
        self._refreshed_ms[key] = self._state.now_ms()

    def _request_status(self, database: str, member: str) -> None:
        deadline_ms = self._state.now_ms() + STATUS_TIMEOUT_MS
        try:
            with self.lease(
                database, member, 'read', STATUS_ACCOUNT, f'status/{member}', deadline_ms
            ) as lease:
                asked_ms = self._state.now_ms()
                with lease.exchange(lease.owner) as conn:
                    reports = control.status(conn, database, asked_ms, timeout_ms=STATUS_TIMEOUT_MS)
        except ProxyError:
            view = self._state.views.get(database)
            if view is not None:
                view.note_error(self._state.now_ms(), member)
            return
        self._groups.observe(reports)
