"""Pool of the connections of one instance to one member of a database group."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from godwitthread.core.connection import (
    Action,
    Assign,
    Close,
    Open,
    PooledConnection,
    Refuse,
    Reset,
    State,
)
from godwitthread.core.invariants import Promise

if TYPE_CHECKING:
    from godwitthread.core.invariants import Invariants

__all__ = ['Action', 'Close', 'ConnectionTable', 'Assign', 'Open', 'Refuse', 'Reset', 'State']

#: Idle time after which a connection beyond the configured warm count is closed.
IDLE_TIMEOUT_MS = 5_000
#: Delay before the next attempt after a failed attempt to open a connection.
OPEN_RETRY_MS = 200
#: Modes of connections; both count towards the same budget.
MODES = ('read', 'write')


class ConnectionTable:
    """Track the connections to one member and keep their number within the budget."""

    def __init__(self, member: str, invariants: Invariants, budget: int = 0) -> None:
        self.member = member
        #: Maximum number of connections, including opening and closing ones.
        self.budget = budget
        #: Whether the member is leaving and accepts no new requests.
        self.draining = False
        self._invariants = invariants
        self._conns: dict[int, PooledConnection] = {}
        #: Connection counts by state and mode, because a scan of 35 connections took 300 us.
        self._counts: Counter[tuple[State, str]] = Counter()
        self._totals = dict.fromkeys(MODES, 0)
        #: Idle connections of each mode, ordered from the longest idle to the most recently used.
        self._idle: dict[str, dict[int, None]] = {mode: {} for mode in MODES}
        self._waiting: dict[str, deque[str]] = {mode: deque() for mode in MODES}
        self._warm = dict.fromkeys(MODES, 0)
        self._last_id = 0
        self._open_retry_at_ms = 0

    @property
    def open_units(self) -> int:
        """Return the number of connections that the member may count as open."""
        return len(self._conns)

    @property
    def demand(self) -> int:
        """Return the number of connections wanted."""
        if self.draining:
            return self._count(State.BUSY)
        used = self._count(State.BUSY) + self._count(State.RESETTING)
        waiting = sum(len(queue) for queue in self._waiting.values())
        return max(used + waiting, sum(self._warm.values()))

    @property
    def available(self) -> int:
        """Return how many more requests can call `acquire` without exceeding the budget."""
        if self.draining:
            return 0
        waiting = sum(len(queue) for queue in self._waiting.values())
        return max(0, self.budget - self._count(State.BUSY) - waiting)

    def acquire(self, now_ms: int, owner: str, mode: str) -> list[Action]:
        """Queue for a connection; `owner` identifies one transaction or request."""
        if self.draining:
            return [Refuse(owner)]
        self._waiting[mode].append(owner)
        return self._rebalance(now_ms)

    def cancel(self, owner: str) -> None:
        """Remove a queued owner, for example after its deadline."""
        for queue in self._waiting.values():
            if owner in queue:
                queue.remove(owner)

    def begin_request(self, conn_id: int, owner: str, request: str) -> None:
        """Record a request before it is sent; a connection carries one request at a time."""
        conn = self._conns.get(conn_id)
        held = conn is not None and conn.state is State.BUSY and conn.owner == owner
        self._invariants.check(
            Promise.TRANSACTION_ISOLATION, held, f'connection {conn_id} is not assigned to {owner}'
        )
        assert conn is not None
        self._invariants.check(
            Promise.WHOLE_ANSWER,
            conn.request is None,
            f'connection {conn_id} has an unanswered request',
        )
        conn.request = request

    def answered(self, conn_id: int, request: str) -> None:
        """Record that the complete answer to a request has been read."""
        conn = self._conns.get(conn_id)
        matches = conn is not None and conn.request == request
        if conn is not None and not matches:
            conn.tainted = True
        self._invariants.check(
            Promise.WHOLE_ANSWER,
            matches,
            f'answer on connection {conn_id} does not belong to {request}',
        )
        assert conn is not None
        conn.request = None

    def taint(self, conn_id: int) -> None:
        """Mark a connection to be closed instead of reused."""
        if conn_id in self._conns:
            self._conns[conn_id].tainted = True

    def release(self, now_ms: int, conn_id: int, owner: str, *, dirty: bool) -> list[Action]:
        """Return a connection; `dirty` requests a reset before its next use."""
        conn = self._conns.get(conn_id)
        if conn is None or conn.state in (State.CLOSING, State.OPENING):
            return []
        self._invariants.check(
            Promise.TRANSACTION_ISOLATION,
            conn.state is State.BUSY and conn.owner == owner,
            f'connection {conn_id} released by {owner}, which does not hold it',
        )
        conn.owner = None
        if conn.request is not None or conn.tainted or self._surplus() > 0:
            return [self._close(conn_id), *self._rebalance(now_ms)]
        if dirty:
            self._set_state(conn, State.RESETTING)
            return [Reset(conn_id)]
        return self._make_idle(now_ms, conn)

    def opened(self, now_ms: int, conn_id: int) -> list[Action]:
        """Record that a connection is open."""
        return self._on_ready(now_ms, conn_id, State.OPENING)

    def reset_done(self, now_ms: int, conn_id: int) -> list[Action]:
        """Record that a connection was reset."""
        return self._on_ready(now_ms, conn_id, State.RESETTING)

    def closed(self, now_ms: int, conn_id: int) -> list[Action]:
        """Record that a connection is closed."""
        self._remove(conn_id)
        return self._rebalance(now_ms)

    def failed(self, now_ms: int, conn_id: int) -> list[Action]:
        """Record that a connection was lost or could not be opened."""
        conn = self._conns.get(conn_id)
        self._remove(conn_id)
        if conn is not None and conn.state is State.OPENING:
            self._open_retry_at_ms = now_ms + OPEN_RETRY_MS
        return self._rebalance(now_ms)

    def resize(self, now_ms: int, budget: int) -> list[Action]:
        """Change the budget; a smaller share is acknowledged once `open_units` is within it."""
        self.budget = budget
        return self._rebalance(now_ms)

    def set_warm(self, now_ms: int, mode: str, count: int) -> list[Action]:
        """Set how many connections of a mode stay open, within the budget."""
        self._warm[mode] = count
        return self._rebalance(now_ms)

    def drain(self, now_ms: int) -> list[Action]:
        """Reject new requests and close connections as they are released."""
        self.draining = True
        refused = [Refuse(owner) for queue in self._waiting.values() for owner in queue]
        for queue in self._waiting.values():
            queue.clear()
        return [*refused, *self._rebalance(now_ms)]

    def resume(self, now_ms: int) -> list[Action]:
        """Accept requests again after `drain`."""
        self.draining = False
        return self._rebalance(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Close connections past the idle timeout and retry failed attempts to open."""
        actions: list[Action] = []
        for mode in MODES:
            excess = self._totals[mode] - self._warm[mode]
            for conn_id in list(self._idle[mode]):
                expired = now_ms - self._conns[conn_id].idle_since_ms >= IDLE_TIMEOUT_MS
                if excess > 0 and expired:
                    actions.append(self._close(conn_id))
                    excess -= 1
        return actions + self._rebalance(now_ms)

    def _rebalance(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for mode in MODES:
            idle, waiting = self._idle[mode], self._waiting[mode]
            while idle and waiting and self._surplus() <= 0:
                actions.append(self._assign(next(reversed(idle)), waiting.popleft()))
        while self._surplus() > 0:
            oldest = self._longest_idle()
            if oldest is None:
                break
            actions.append(self._close(oldest))
        for mode in MODES:
            if self._waiting[mode] or self._warm[mode] > self._totals[mode]:
                actions += self._open_missing(now_ms, mode)
        return actions

    def _open_missing(self, now_ms: int, mode: str) -> list[Action]:
        pending = self._count(State.OPENING, mode) + self._count(State.RESETTING, mode)
        missing = len(self._waiting[mode]) - pending
        actions: list[Action] = []
        if not self.draining and not any(self._waiting.values()):
            # A warm connection must not use the budget that was freed for a waiting request.
            missing = max(missing, self._warm[mode] - self._totals[mode])
        for _ in range(missing):
            if now_ms < self._open_retry_at_ms or len(self._conns) >= self.budget or self.draining:
                break
            self._last_id += 1
            self._conns[self._last_id] = PooledConnection(self._last_id, mode)
            self._counts[State.OPENING, mode] += 1
            self._totals[mode] += 1
            actions.append(Open(self._last_id, mode))
        # Idle connections of the other mode are closed to make room for waiting requests.
        needed = len(self._waiting[mode]) - pending - len(actions) - self._count(State.CLOSING)
        if len(self._conns) >= self.budget and needed > 0:
            other = list(self._idle[MODES[1 - MODES.index(mode)]])
            actions += [self._close(conn_id) for conn_id in other[:needed]]
        return actions

    def _on_ready(self, now_ms: int, conn_id: int, expected: State) -> list[Action]:
        conn = self._conns.get(conn_id)
        if conn is None or conn.state is not expected:
            return []
        if conn.tainted:
            return [self._close(conn_id), *self._rebalance(now_ms)]
        return self._make_idle(now_ms, conn)

    def _make_idle(self, now_ms: int, conn: PooledConnection) -> list[Action]:
        self._set_state(conn, State.IDLE)
        conn.idle_since_ms = now_ms
        return self._rebalance(now_ms)

    def _assign(self, conn_id: int, owner: str) -> Assign:
        conn = self._conns[conn_id]
        self._invariants.check(
            Promise.TRANSACTION_ISOLATION,
            conn.state is State.IDLE and conn.owner is None and conn.request is None,
            f'connection {conn_id} assigned to {owner} while in use',
        )
        self._set_state(conn, State.BUSY)
        conn.owner = owner
        return Assign(conn_id, owner)

    def _close(self, conn_id: int) -> Close:
        conn = self._conns[conn_id]
        self._set_state(conn, State.CLOSING)
        conn.owner, conn.request = None, None
        return Close(conn_id)

    def _surplus(self) -> int:
        budget_now = 0 if self.draining else self.budget
        return len(self._conns) - self._count(State.CLOSING) - budget_now

    def _longest_idle(self) -> int | None:
        firsts = [next(iter(idle)) for idle in self._idle.values() if idle]
        return min(firsts, key=lambda i: (self._conns[i].idle_since_ms, i), default=None)

    def _set_state(self, conn: PooledConnection, state: State) -> None:
        self._counts[conn.state, conn.mode] -= 1
        self._counts[state, conn.mode] += 1
        if conn.state is State.IDLE:
            del self._idle[conn.mode][conn.id]
        if state is State.IDLE:
            self._idle[conn.mode][conn.id] = None
        conn.state = state

    def _remove(self, conn_id: int) -> None:
        conn = self._conns.pop(conn_id, None)
        if conn is None:
            return
        self._counts[conn.state, conn.mode] -= 1
        self._totals[conn.mode] -= 1
        self._idle[conn.mode].pop(conn_id, None)

    def _count(self, state: State, mode: str | None = None) -> int:
        if mode is not None:
            return self._counts[state, mode]
        return self._counts[state, 'read'] + self._counts[state, 'write']
