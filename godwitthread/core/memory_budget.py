"""Account of the memory that callers cause, and the choice of the connections to end."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

#: Memory of a connection with its session, in bytes: 2,000 sessions take 33 MB.
CONNECTION_BYTES = 16 * 1024
#: Statements, answers and session states up to this size are not counted one by one.
SMALL_BYTES = 4 * 1024
#: Cost beyond `CONNECTION_BYTES` up to which a connection is never ended for its memory. Ordinary
#: callers stay far below it: their names and values have hundreds of bytes.
EXEMPT_BYTES = 16 * 1024
#: Copies of a statement that exist while it runs: text, arguments, and their encoded forms.
STATEMENT_COPIES = 4
#: Part of the budget that is in use after connections were ended.
RELIEF = 0.8
#: Growth after which a choice that found nothing to end is repeated at the same time, in bytes;
#: each choice looks at every connection.
RETRY_BYTES = 1024 * 1024


class Activity(Enum):
    """What a connection waits for."""

    #: Its first line.
    STARTING = 'starting'
    #: The next statement; nothing of it was received.
    IDLE = 'idle'
    #: The rest of a line.
    LINE = 'line'
    #: The result of its statement.
    RUNNING = 'running'
    #: The caller, which has not taken the whole answer.
    ANSWERING = 'answering'


class Costs(NamedTuple):
    """Memory that a connection causes, in bytes, by reason."""

    line: int = 0
    statement: int = 0
    answer: int = 0
    state: int = 0
    #: Received by the kernel and not read; it counts towards the memory of the process.
    unread: int = 0


class Account:
    """Memory and activity of one connection."""

    __slots__ = ('activity', 'costs', 'ended', 'last', 'since_ms', 'total')

    def __init__(self, now_ms: int) -> None:
        self.costs = Costs()
        self.total = CONNECTION_BYTES
        self.activity = Activity.STARTING
        #: Time at which the activity began.
        self.since_ms = now_ms
        #: Whether the connection was ended.
        self.ended = False
        #: Whether the connection is closed once the running statement is answered.
        self.last = False


class MemoryBudget:
    """Memory in use by the connections, within a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used = 0
        self.accounts: set[Account] = set()
        #: Connections in the order in which they were opened, some of which have started since.
        self._starting: deque[Account] = deque()
        #: Memory in use by links: frames that were received in part, or not sent yet.
        self._links = 0
        #: Time and memory in use of the last choice that found nothing to end.
        self._vain_ms, self._vain_used = -1, 0

    @property
    def is_over(self) -> bool:
        """Return whether more than the limit is in use."""
        return self.used > self.limit_bytes

    def open(self, now_ms: int) -> Account:
        """Return the account of a new connection."""
        account = Account(now_ms)
        self.oldest_without_start()
        self._starting.append(account)
        self.accounts.add(account)
        self.used += account.total
        return account

    def close(self, account: Account) -> None:
        """Remove the account of a connection that has ended."""
        if account in self.accounts:
            self.accounts.discard(account)
            self.used -= account.total

    def charge(self, account: Account, **costs: int) -> None:
        """Set some of the costs of a connection."""
        account.costs = account.costs._replace(**costs)
        if account in self.accounts:
            self.used -= account.total
            account.total = CONNECTION_BYTES + sum(account.costs)
            self.used += account.total

    def set_links(self, size: int) -> None:
        """Set the memory that links use."""
        self.used += size - self._links
        self._links = size

    @property
    def links_are_full(self) -> bool:
        """Return whether links use more than half of the limit."""
        return self._links > self.limit_bytes // 2

    def has_room(self, size: int) -> bool:
        """Return whether as many bytes more fit in the limit."""
        return self.used + size <= self.limit_bytes

    def reserve(self, size: int) -> bool:
        """Count memory without a connection if it fits; return whether it does."""
        if not self.has_room(size):
            return False
        self.used += size
        return True

    def add(self, size: int) -> None:
        """Count memory without a connection whether it fits or not; a negative size frees it."""
        self.used += size

    def choose(self, now_ms: int, size: int = 0) -> list[Account]:
        """Return the connections to end so that as many bytes more fit; they no longer count.

        Those that cost most and progress least come first. A connection with a running statement
        is not ended, since that would cut off its answer; if it has sent much ahead, it ends after
        the answer.
        """
        in_vain = now_ms == self._vain_ms and self.used < self._vain_used + RETRY_BYTES
        if in_vain or self.has_room(size):
            return []
        wanted = max(0, int(self.limit_bytes * RELIEF) - size)
        chosen: list[Account] = []
        costly = [each for each in self.accounts if each.total > CONNECTION_BYTES + EXEMPT_BYTES]
        costly.sort(key=lambda each: each.total * (now_ms - each.since_ms + 1), reverse=True)
        for account in costly:
            if self.used <= wanted:
                break
            if account.activity is Activity.RUNNING:
                account.last = account.last or account.costs.unread > EXEMPT_BYTES
                continue
            account.ended = True
            self.close(account)
            chosen.append(account)
        if not chosen:
            self._vain_ms, self._vain_used = now_ms, self.used
        return chosen

    def oldest_without_start(self) -> Account | None:
        """Return the connection that has waited longest for its first line, if there is one."""
        starting = self._starting
        while starting and not (
            starting[0] in self.accounts and starting[0].activity is Activity.STARTING
        ):
            starting.popleft()
        return starting[0] if starting else None
