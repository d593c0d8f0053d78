"""Enforcement of the limits on callers: memory, connections and time."""

from __future__ import annotations

import gc
import logging
from collections import Counter
from typing import TYPE_CHECKING

from godwitthread.core.caller_limits import MIB, CallerLimits
from godwitthread.core.memory_budget import (
    SMALL_BYTES,
    STATEMENT_COPIES,
    Account,
    Activity,
    MemoryBudget,
)
from godwitthread.core.statements import Action, failure
from godwitthread.errors import ErrorKind
from godwitthread.gateway.session import MEMORY_MESSAGE, MEMORY_RETRY_MS
from godwitthread.loop import eventlet
from godwitthread.sockets import shutdown_socket, unread_bytes

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable

    from godwitthread.clock import Clock
    from godwitthread.core.statements import Result, RunRequest
    from godwitthread.gateway.frames import FrameStream
    from godwitthread.gateway.logs import Log

logger = logging.getLogger(__name__)

#: Interval at which connections are checked against the time limits, in ms. One check of 2,000
#: connections takes about 0.5 ms.
SWEEP_MS = 250
#: Generations of objects that are searched when memory is short; a search of all takes too long.
YOUNG_GENERATIONS = 1
#: Least time between two events of one limit, in ms.
EVENT_MS = 1_000
#: Time within which the caller takes the last answer before its connection is closed, in s, and the
#: largest size of what it sends meanwhile.
LINGER_S = 5
LINGER_BYTES = 4 * MIB

#: Names of the limits in events and metrics.
LIMITS = (
    'memory',
    'connections',
    'start_time',
    'line_time',
    'line_length',
    'answer_time',
    'session_state',
    'http_connections',
    'peer_connections',
    'frame_memory',
)


class CallerGuard:
    """Limits, accounts and sockets of the connections of one process."""

    def __init__(self, limits: CallerLimits, clock: Clock, log: Log) -> None:
        self.limits = limits
        self.clock = clock
        self.budget = MemoryBudget(limits.memory_bytes)
        #: Time of the last sweep; more precise times would cost the path of every statement more.
        self._now_ms = clock.now_ms()
        #: How often each limit was reached.
        self.reached: Counter[str] = Counter()
        self._log = log
        self._sockets: dict[Account, socket.socket] = {}
        self._free: dict[Account, Callable[[], None]] = {}
        self._reported: Counter[str] = Counter()
        self._reported_ms: dict[str, int] = {}

    @property
    def connections(self) -> int:
        """Return the number of open connections of callers."""
        return len(self._sockets)

    # Connections

    def open(self, sock: socket.socket, free: Callable[[], None]) -> Account | None:
        """Return the account of a new connection, None if there is no room for it.

        `free` frees the unfinished line at once if the connection is ended.

        Connections without a `START` make room: their callers lose nothing.
        """
        if len(self.budget.accounts) >= self.limits.connections:
            self.note('connections')
            oldest = self.budget.oldest_without_start()
            if oldest is None:
                return None
            self._end(oldest)
        account = self.budget.open(self._now_ms)
        self._sockets[account] = sock
        self._free[account] = free
        if self.budget.is_over:
            self._relieve()
        return account

    def close(self, account: Account) -> None:
        """Remove a connection that has ended."""
        self._sockets.pop(account, None)
        self._free.pop(account, None)
        self.budget.close(account)

    def enter(self, account: Account, activity: Activity) -> None:
        """Note what a connection waits for from now on."""
        account.activity = activity
        account.since_ms = self._now_ms

    def charge(self, account: Account, **costs: int) -> None:
        """Set costs of a connection, and end others or this one if memory is short."""
        self.budget.charge(account, **costs)
        if self.budget.is_over:
            self._relieve()

    def admit(self, account: Account, size: int) -> bool:
        """Return whether a statement of a size, with the state of its session, may run."""
        if size <= SMALL_BYTES:
            return True
        needed = size * STATEMENT_COPIES
        if not self.budget.has_room(needed):
            self._relieve(needed)
        if not self.budget.has_room(needed):
            self.note('memory')
            return False
        self.budget.charge(account, line=0, statement=needed)
        return True

    def reserve(self, req: RunRequest) -> int | None:
        """Count the memory of a peer's statement; return it, or None if there is no room.

        The end of a transaction is never refused: it frees a connection to a member. A small
        statement is refused only if it begins an operation while answers pile up on the links.
        """
        if req.action in (Action.COMMIT, Action.ROLLBACK):
            return 0
        size = len(req.text) + len(req.arguments)
        size += sum(len(name) + len(value) for name, value in req.values)
        if req.prepared is not None:
            size += len(req.prepared.shape)
        if size <= SMALL_BYTES and not (req.first and self.budget.links_are_full):
            return 0
        needed = size * STATEMENT_COPIES
        if self.budget.links_are_full or not self.budget.reserve(needed):
            self.note('frame_memory')
            return None
        return needed

    def count_received(self, size: int) -> None:
        """Count a part of an answer that a member is sending; a negative size frees it."""
        self.budget.add(size)
        if size > 0 and self.budget.is_over:
            self._relieve()

    def note(self, limit: str) -> None:
        """Count that a limit was reached; the event is written by the next sweep."""
        self.reached[limit] += 1

    def _relieve(self, size: int = 0) -> None:
        chosen = self.budget.choose(self._now_ms, size)
        for account in chosen:
            self.note('memory')
            self._shut_down(account)
        if chosen:
            # Exceptions with a time-out refer to their frames and back, so that a read that was
            # hedged leaves its answer to the collector: 88 MB in place of 72 with answers of 1 MB.
            gc.collect(YOUNG_GENERATIONS)

    def _end(self, account: Account) -> None:
        account.ended = True
        self.budget.close(account)
        self._shut_down(account)

    def _shut_down(self, account: Account) -> None:
        sock = self._sockets.get(account)
        if sock is not None:
            self._free[account]()
            shutdown_socket(sock)

    # Periodic checks

    def run(self, streams: Callable[[], Iterable[FrameStream]]) -> None:
        """Check the connections and the links until the process ends."""
        while True:
            eventlet.sleep(SWEEP_MS / 1000)
            try:
                self.sweep(streams())
            except Exception:
                logger.exception('check of the limits on callers failed')

    def sweep(self, streams: Iterable[FrameStream] = ()) -> None:
        """End what has exceeded a time limit, and count unread data and the memory of links."""
        now_ms = self._now_ms = self.clock.now_ms()
        for account in list(self.budget.accounts):
            if account.activity is not Activity.IDLE:
                self._check(account, now_ms)
        links = 0
        for stream in streams:
            links += stream.buffered_bytes
            if stream.awaits_hello and now_ms - stream.opened_ms > self.limits.start_ms:
                self.note('start_time')
                stream.close()
        self.budget.set_links(links)
        if self.budget.is_over:
            self._relieve()
        self._report(now_ms)

    def _check(self, account: Account, now_ms: int) -> None:
        waited_ms = now_ms - account.since_ms
        if account.activity in (Activity.RUNNING, Activity.ANSWERING) and waited_ms > SWEEP_MS:
            self.budget.charge(account, unread=unread_bytes(self._sockets[account]))
        limit = _TIME_LIMITS.get(account.activity)
        if limit is None:
            return
        name, field = limit
        limit_ms = getattr(self.limits, field) * max(1, account.costs.answer / MIB)
        if waited_ms > limit_ms:
            self.note(name)
            self._end(account)

    def _report(self, now_ms: int) -> None:
        for limit, count in self.reached.items():
            due = now_ms - self._reported_ms.get(limit, -EVENT_MS) >= EVENT_MS
            if due and count > self._reported[limit]:
                self._log.event(
                    'limit_reached',
                    limit=limit,
                    count=count - self._reported[limit],
                    memory=self.budget.used,
                    connections=self.connections,
                )
                self._reported[limit], self._reported_ms[limit] = count, now_ms


def refusal_for_memory(req: RunRequest) -> Result:
    """Return the answer to a peer's statement that is not started, since memory is short."""
    if req.action is Action.SINGLE:
        return failure(ErrorKind.OVERLOADED, MEMORY_MESSAGE, MEMORY_RETRY_MS)
    return failure(ErrorKind.TRANSACTION_LOST, MEMORY_MESSAGE)


_TIME_LIMITS = {
    Activity.STARTING: ('start_time', 'start_ms'),
    Activity.LINE: ('line_time', 'line_ms'),
    Activity.ANSWERING: ('answer_time', 'answer_ms'),
}
