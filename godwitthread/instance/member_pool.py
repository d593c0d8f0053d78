"""Connection pool of an instance for one member of a database group."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from godwitthread.core.pool import Assign, Close, ConnectionTable, Open, Refuse, Reset
from godwitthread.core.scheduling.fairness import FairQueue
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence
    from types import TracebackType

    from godwitthread.backend.connection import BackendConnection
    from godwitthread.core.pool import Action
    from godwitthread.instance.state import InstanceState
    from godwitthread.types import MemberSpec

#: Timeout for resetting a connection in ms.
RESET_TIMEOUT_MS = 500
#: Time after the last use of a mode during which one connection for it stays open, in ms.
WARM_MS = 60_000
#: Retry delay returned to callers that a draining member refuses, in ms; other members
#: take over.
DRAIN_RETRY_MS = 50


class Lease:
    """Connection leased to one request or transaction."""

    def __init__(self, pool: MemberPool, conn_id: int, owner: str, account: str, mode: str) -> None:
        self._pool = pool
        self._conn_id = conn_id
        self._released = False
        #: Request or transaction that holds the lease.
        self.owner = owner
        #: Fair-queue account that is charged for the duration of the lease.
        self.account = account
        #: 'read' or 'write'.
        self.mode = mode
        self.conn = pool.connection(conn_id)
        self.member = pool.spec.name
        self.begun_ms = pool.now_ms()
        #: Whether the session state of the connection may have changed.
        self.dirty = False

    def __enter__(self) -> Lease:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    @contextlib.contextmanager
    def exchange(self, request: str) -> Iterator[BackendConnection]:
        """Mark the start of a request on the connection and its complete answer."""
        table = self._pool.table
        table.begin_request(self._conn_id, self.owner, request)
        try:
            yield self.conn
        except ProxyError:
            if not self.conn.broken:
                table.answered(self._conn_id, request)
            raise
        table.answered(self._conn_id, request)

    def release(self) -> None:
        """Return the connection to the pool, which closes it if an answer is incomplete."""
        if not self._released:
            self._released = True
            self._pool.return_connection(self, self._conn_id)


class MemberPool:
    """Lease connections to one member in fair order, within the share of this instance."""

    def __init__(
        self,
        state: InstanceState,
        spec: MemberSpec,
        resource: str,
        connect: Callable[[str], BackendConnection],
    ) -> None:
        self.spec = spec
        self.table = ConnectionTable(spec.name, state.invariants)
        self._state = state
        self._resource = resource
        self._connect = connect
        self._conns: dict[int, BackendConnection] = {}
        self._leases: dict[int, Lease] = {}
        self._queue: FairQueue[_Waiter] = FairQueue()
        self._waiters: dict[str, _Waiter] = {}
        self._last_used_ms: dict[str, int] = {}
        self._over_budget = False

    def now_ms(self) -> int:
        """Return the monotonic time in ms."""
        return self._state.now_ms()

    def connection(self, conn_id: int) -> BackendConnection:
        """Return an open connection."""
        return self._conns[conn_id]

    def lease(self, mode: str, account: str, owner: str, deadline_ms: int) -> Lease:
        """Return a connection; raise OVERLOADED, DEADLINE_EXCEEDED or BACKEND_UNAVAILABLE."""
        now_ms = self.now_ms()
        self._last_used_ms[mode] = now_ms
        waiter = _Waiter(owner, mode, account)
        directory = self._state.directory
        weight = int(directory.weights.get(account, 1)) if directory is not None else 1
        refusal = self._queue.push(now_ms, account, weight, waiter, deadline_ms)
        if refusal is not None:
            text = f'too many requests wait for {self.spec.name}'
            raise ProxyError(ErrorKind.OVERLOADED, text, retry_after_ms=refusal.retry_after_ms)
        self._waiters[owner] = waiter
        self._serve_queue()
        if not waiter.ready and not self._over_budget:
            # Report the demand at once instead of at the next tick.
            self._report_usage()
        conn_id = self._wait_for_connection(waiter, deadline_ms)
        lease = self._leases[conn_id] = Lease(self, conn_id, owner, account, mode)
        return lease

    def return_connection(self, lease: Lease, conn_id: int) -> None:
        """Return a connection from a lease to the table."""
        now_ms = self.now_ms()
        self._queue.charge(lease.account, now_ms - lease.begun_ms)
        self._leases.pop(conn_id, None)
        if lease.conn.broken:
            self.table.taint(conn_id)
        dirty = lease.dirty or lease.conn.in_transaction
        self._perform(self.table.release(now_ms, conn_id, lease.owner, dirty=dirty))
        self._serve_queue()

    def tick(self) -> None:
        """Resize the table to the share of this instance and report use and demand."""
        now_ms = self.now_ms()
        budget = self._share_units()
        if budget != self.table.budget:
            self._perform(self.table.resize(now_ms, budget))
        for mode, used_ms in self._last_used_ms.items():
            warm = int(now_ms - used_ms <= WARM_MS)
            self._perform(self.table.set_warm(now_ms, mode, warm))
        self._perform(self.table.tick(now_ms))
        self._queue.servers = max(1, budget)
        for waiter in self._queue.expire(now_ms):
            waiter.resolve(None)
        self._report_usage()
        self._serve_queue()

    def refuse_writers(self) -> None:
        """Refuse requests that wait for a write connection; they are routed again."""
        for waiter in list(self._waiters.values()):
            if waiter.mode == 'write' and not waiter.ready:
                waiter.refused = True
                waiter.resolve(None)

    def abort_writers(self) -> None:
        """Abort leased write connections, whose writes this member can no longer confirm."""
        for lease in list(self._leases.values()):
            if lease.mode == 'write':
                lease.conn.abort()

    def abort(self) -> None:
        """Refuse new requests and abort every leased connection."""
        self.drain()
        for lease in list(self._leases.values()):
            lease.conn.abort()

    def drain(self) -> None:
        """Refuse new requests and close every connection once it is released."""
        if not self.table.draining:
            self._perform(self.table.drain(self.now_ms()))
            self._serve_queue()

    def resume(self) -> None:
        """Accept requests again for a member that is no longer leaving."""
        if self.table.draining:
            self._perform(self.table.resume(self.now_ms()))
            self._serve_queue()

    def _wait_for_connection(self, waiter: _Waiter, deadline_ms: int) -> int:
        try:
            conn_id = waiter.wait(max(0, deadline_ms - self.now_ms()))
        finally:
            self._waiters.pop(waiter.owner, None)
        if conn_id is not None:
            return conn_id
        waiter.cancelled = True
        self.table.cancel(waiter.owner)
        if waiter.refused:
            raise ProxyError(
                ErrorKind.BACKEND_UNAVAILABLE,
                f'{self.spec.name} takes no new work',
                retry_after_ms=DRAIN_RETRY_MS,
            )
        raise ProxyError(
            ErrorKind.DEADLINE_EXCEEDED, 'no connection became free before the deadline'
        )

    def _share_units(self) -> int:
        state = self._state
        share = state.holder.local_share(state.now_ms(), self._resource, fresh=state.is_fresh())
        return share.units

    def _report_usage(self) -> None:
        demand = self.table.demand + len(self._queue)
        self._over_budget = demand > self.table.budget
        self._state.holder.set_use(
            self.now_ms(), self._resource, self.table.open_units, max(1, demand)
        )

    def _serve_queue(self) -> None:
        """Pass queued requests to the table, in fair order, while it has connections."""
        now_ms = self.now_ms()
        while len(self._queue) and (self.table.available > 0 or self.table.draining):
            popped = self._queue.pop(now_ms)
            if popped is None:
                return
            waiter = popped.item
            if waiter.cancelled:
                self._queue.charge(waiter.account, 0)
                continue
            self._perform(self.table.acquire(now_ms, waiter.owner, waiter.mode))

    def _perform(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Assign(conn, owner):
                    self._assign(conn, owner)
                case Refuse(owner):
                    self._refuse(owner)
                case Open(conn, mode):
                    eventlet.spawn_n(self._open, conn, mode)
                case Close(conn):
                    eventlet.spawn_n(self._close, conn)
                case Reset(conn):
                    eventlet.spawn_n(self._reset, conn)

    def _assign(self, conn_id: int, owner: str) -> None:
        waiter = self._waiters.get(owner)
        if not self._conns[conn_id].alive():
            # Discard a connection that the member has closed: a statement sent on it would
            # have an unknown outcome.
            now_ms = self.now_ms()
            self.table.taint(conn_id)
            self._perform(self.table.release(now_ms, conn_id, owner, dirty=False))
            if waiter is not None and not waiter.cancelled:
                self._perform(self.table.acquire(now_ms, owner, waiter.mode))
            return
        if waiter is None or not waiter.resolve(conn_id):
            # The wait of the request ended at its deadline meanwhile.
            self._perform(self.table.release(self.now_ms(), conn_id, owner, dirty=False))

    def _refuse(self, owner: str) -> None:
        waiter = self._waiters.get(owner)
        if waiter is not None:
            waiter.refused = True
            waiter.resolve(None)

    def _open(self, conn_id: int, mode: str) -> None:
        try:
            conn = self._connect(mode)
        except ProxyError as exc:
            self._state.events.emit('connection_refused', member=self.spec.name, reason=exc.message)
            self._perform(self.table.failed(self.now_ms(), conn_id))
            return
        self._conns[conn_id] = conn
        self._state.events.emit('connection_opened', member=self.spec.name, mode=mode)
        self._perform(self.table.opened(self.now_ms(), conn_id))
        self._serve_queue()

    def _close(self, conn_id: int) -> None:
        conn = self._conns.pop(conn_id, None)
        if conn is not None:
            conn.close()
        self._state.events.emit('connection_closed', member=self.spec.name)
        self._perform(self.table.closed(self.now_ms(), conn_id))
        self._serve_queue()

    def _reset(self, conn_id: int) -> None:
        conn = self._conns[conn_id]
        try:
            conn.reset(timeout_ms=RESET_TIMEOUT_MS)
        except ProxyError:
            self._conns.pop(conn_id, None)
            conn.close()
            self._perform(self.table.failed(self.now_ms(), conn_id))
        else:
            self._perform(self.table.reset_done(self.now_ms(), conn_id))
        self._serve_queue()


class _Waiter:
    """Request that waits for a connection."""

    def __init__(self, owner: str, mode: str, account: str) -> None:
        self.owner = owner
        self.mode = mode
        self.account = account
        self.cancelled = False
        self.refused = False
        self._event: Any = None
        self._conn_id: int | None = None
        #: Whether the wait is over.
        self.ready = False

    def resolve(self, conn_id: int | None) -> bool:
        """End the wait; return False if it had already ended."""
        if self.ready or self.cancelled:
            return False
        self.ready, self._conn_id = True, conn_id
        if self._event is not None:
            self._event.send()
        return True

    def wait(self, timeout_ms: int) -> int | None:
        """Return the connection, or None at the deadline or after a refusal."""
        if not self.ready:
            self._event = eventlet.event.Event()
            with eventlet.Timeout(timeout_ms / 1000, False):
                self._event.wait()
        self.ready = True
        return self._conn_id
