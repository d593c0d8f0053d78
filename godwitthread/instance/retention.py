"""Periodic removal of idempotency records whose retention period has expired."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from godwitthread.backend.errors import StatementError
from godwitthread.backend.idempotency import RETENTION_MS, UNDEFINED_TABLE, remove_expired
from godwitthread.core import rendezvous
from godwitthread.errors import ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwitthread.instance.backends import Backends
    from godwitthread.instance.state import InstanceState
    from godwitthread.types import Seat

logger = logging.getLogger(__name__)

#: Minimum interval between removals from one database in ms.
INTERVAL_MS = 60_000
#: Maximum random addition to the interval, as a fraction of it.
JITTER = 0.1
#: Timeout of one removal in ms, including the wait for a connection.
REMOVAL_LIMIT_MS = 5_000
#: Fair-queue account that the connections are charged to.
ACCOUNT = 'retention'


class RetentionJob:
    """Remove expired records from the databases that this instance is responsible for."""

    def __init__(self, state: InstanceState, backends: Backends) -> None:
        self._state = state
        self._backends = backends

    def run(self) -> None:
        """Remove records periodically until the greenlet is killed."""
        while True:
            # Random jitter, also before the first round: instances often start together.
            eventlet.sleep((1 + JITTER * self._state.rng.random()) * INTERVAL_MS / 1000)
            try:
                self.remove_records()
            except Exception:
                # An error in one round must not stop later rounds.
                logger.exception('removal of idempotency records failed')

    def remove_records(self) -> int:
        """Remove expired records from each assigned database; return their number."""
        state = self._state
        if state.directory is None or state.leaving or not state.is_fresh():
            return 0
        own = [
            database
            for database in state.directory.databases
            if responsible_seat(database, state.roster.seats) == state.seat
        ]
        return sum(map(self._remove, own))

    def _remove(self, database: str) -> int:
        state = self._state
        now_ms = state.now_ms()
        primary = state.view(database).primary(now_ms)
        if primary is None or not state.takes_writes(database, primary):
            return 0
        owner, deadline_ms = f'retention/{database}', now_ms + REMOVAL_LIMIT_MS
        before_ms = state.clock.wall_ms() - RETENTION_MS
        try:
            with self._backends.lease(
                database, primary, 'write', ACCOUNT, owner, deadline_ms
            ) as lease:
                if not state.takes_writes(database, primary) or not state.is_fresh():
                    return 0
                left_ms = max(1, deadline_ms - state.now_ms())
                with lease.exchange(owner) as conn:
                    return remove_expired(conn, before_ms, timeout_ms=left_ms)
        except ProxyError as exc:
            # The table is created by the first statement with an idempotency key.
            if not isinstance(exc, StatementError) or exc.sqlstate != UNDEFINED_TABLE:
                logger.warning('removing idempotency records of %s failed: %s', database, exc)
            return 0


def responsible_seat(database: str, seats: Sequence[Seat]) -> Seat | None:
    """Return the seat that removes the records of a database.

    It is the first observer that also holds connections, or else the first serving seat.
    """
    serving = rendezvous.serving_set(database, seats)
    observing = rendezvous.observers(database, seats)
    return next((seat for seat in (*observing, *serving) if seat in serving), None)
