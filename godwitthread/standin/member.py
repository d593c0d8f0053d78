"""Member of the database stand-in: log, terms, promises and applied data."""

from __future__ import annotations

import contextlib
import json
from bisect import bisect_right
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.loop import eventlet
from godwitthread.standin import store
from godwitthread.standin.faults import FaultState
from godwitthread.standin.store import Statement
from godwitthread.types import Position, Promise, TermStart

if TYPE_CHECKING:
    import sqlite3
    from collections.abc import Iterator, Sequence

    from godwitthread.types import TermHistory

#: Size of a log record without its statements, in bytes.
RECORD_HEADER_BYTES = 24
FIRST_TERM = 1


class LogRecord(NamedTuple):
    """Write transaction in the log; also recorded by the group as an executed write."""

    transaction: int
    term: int
    #: Primary that executed the transaction.
    member: str
    start: int
    end: int
    statements: tuple[Statement, ...]


class PendingApply(NamedTuple):
    """Log records that a replica received and applies after its lag."""

    due_ms: int
    #: Time at which the primary sent the records, in ms.
    sent_ms: int
    #: Total number of log records that are applied afterwards.
    records: int


class MemberSettings(NamedTuple):
    """Address and failure domain of one member."""

    name: str
    host: str
    port: int
    failure_domain: str = ''


class ReplicaProgress(NamedTuple):
    """Replication progress of a replica, as acknowledged to the primary."""

    received: int
    applied: int
    #: Time up to which the replica had applied the primary's data, in ms.
    fresh_ms: int


class Member:
    """State of one member; the group transfers data between members."""

    def __init__(self, settings: MemberSettings, lag_ms: int) -> None:
        self.settings = settings
        self.name = settings.name
        self.faults = FaultState()
        self.lag_ms = lag_ms
        self.alive = True
        #: Number of executed client statements, excluding control functions.
        self.client_statements = 0
        self.role = 'replica'
        #: Highest promised term and its proposer.
        self.promised = Promise(FIRST_TERM, '')
        #: Primary that a replica follows, and its term.
        self.following = ('', FIRST_TERM)
        self.history: TermHistory = (TermStart(FIRST_TERM, 0),)
        self.log: list[LogRecord] = []
        #: End offsets of the log records, ascending.
        self.end_offsets: list[int] = []
        #: Data visible to clients; `applied` is the number of log records in it.
        self.data = store.connect()
        self.applied = 0
        self.pending: deque[PendingApply] = deque()
        #: Time up to which a replica has applied the primary's data, in ms.
        self.fresh_ms = 0
        #: Data including unconfirmed writes; None on a replica.
        self.writer: Any = None
        self.write_lock = eventlet.semaphore.Semaphore(1)
        #: Incremented whenever the data of open write transactions is discarded.
        self.epoch = 0
        self.replicas: dict[str, ReplicaProgress] = {}
        #: Commits waiting for the quorum, as end offset and event.
        self.commit_waiters: list[tuple[int, Any]] = []
        self._set_query_only(True)

    @property
    def term(self) -> int:
        """Newest term in the history of the log."""
        return self.history[-1].term

    @property
    def end(self) -> int:
        """Offset after the last log record."""
        return self.end_offsets[-1] if self.end_offsets else 0

    @property
    def applied_end(self) -> int:
        """Offset up to which the log has been applied."""
        return self.end_offsets[self.applied - 1] if self.applied else 0

    @property
    def running(self) -> bool:
        """Whether the member is neither killed nor paused."""
        return self.alive and not self.faults.paused

    @property
    def writable(self) -> bool:
        """Whether the member is a primary that has not promised a later term."""
        return self.role == 'primary' and self.promised.term == self.term

    def position_at(self, offset: int) -> Position:
        """Return the position for an offset, with the term in which it was written."""
        index = bisect_right([start.offset for start in self.history], offset) - 1
        return Position(self.history[max(index, 0)].term, offset)

    def fence(self, term: int, proposer: str) -> bool:
        """Promise a term to one proposer; return whether it was granted."""
        if term == self.promised.term:
            return proposer == self.promised.proposer
        if term < self.promised.term:
            return False
        self.promised = Promise(term, proposer)
        return True

    def promote(self, term: int, proposer: str) -> bool:
        """Become primary of a term that was promised to this proposer; idempotent."""
        if self.promised != Promise(term, proposer) or term < self.term:
            return False
        if self.role == 'primary' and self.term == term:
            return True
        if term == self.term:
            return False
        self.abort_commits()
        self.history = (*self.history, TermStart(term, self.end))
        self.pending.clear()
        self.apply_to(len(self.log))
        self.become_primary()
        return True

    def become_primary(self) -> None:
        """Take the primary role and prepare the data for writes."""
        self.role = 'primary'
        self.following = ('', self.term)
        self.replicas = {}
        self.open_writer()

    def open_writer(self) -> None:
        """Create the writable data: the applied data plus the unconfirmed end of the log."""
        self.epoch += 1
        self.write_lock = eventlet.semaphore.Semaphore(1)
        self.writer = store.copy(self.data)
        _replay(self.writer, self.log[self.applied :])

    def follow(self, term: int, primary: str) -> bool:
        """Follow a primary unless a higher term has been promised."""
        if term < self.promised.term or primary == self.name:
            return False
        if term == self.term and self.role == 'primary':
            return False
        if term > self.promised.term:
            self.promised = Promise(term, '')
        self.role = 'replica'
        self.following = (primary, term)
        self.writer = None
        self.epoch += 1
        self.abort_commits()
        return True

    def append(self, transaction: int, statements: Sequence[Statement]) -> LogRecord:
        """Append a write transaction to the log of a primary."""
        size = RECORD_HEADER_BYTES + sum(len(entry.sql) for entry in statements)
        start = self.end
        record = LogRecord(
            transaction, self.term, self.name, start, start + size, tuple(statements)
        )
        self._extend([record])
        return record

    def receive(
        self, history: TermHistory, log: Sequence[LogRecord], count: int, now_ms: int
    ) -> None:
        """Copy the first `count` records of a primary's log; truncate the log where it diverges."""
        self._truncate(self._common_prefix(log, count))
        self._extend(log[len(self.log) : count])
        self.history = history
        self.pending.append(PendingApply(now_ms + self.lag_ms, now_ms, count))
        self.apply_due(now_ms)

    def apply_due(self, now_ms: int) -> None:
        """Apply the received records whose lag has elapsed."""
        while self.pending and self.pending[0].due_ms <= now_ms:
            entry = self.pending.popleft()
            self.apply_to(entry.records)
            self.fresh_ms = entry.sent_ms

    def apply_to(self, count: int) -> None:
        """Apply log records until `count` of them are visible to clients."""
        if count <= self.applied:
            return
        self._set_query_only(False)
        _replay(self.data, self.log[self.applied : count])
        self._set_query_only(True)
        self.applied = count

    def confirm(self, required_replicas: int) -> None:
        """Confirm what `required_replicas` replicas hold, unless a later term is promised."""
        if not self.writable:
            return
        received = sorted((entry.received for entry in self.replicas.values()), reverse=True)
        if required_replicas > len(received):
            return
        offset = received[required_replicas - 1] if required_replicas else self.end
        self.apply_to(bisect_right(self.end_offsets, offset))
        ready = [event for end, event in self.commit_waiters if end <= offset]
        self.commit_waiters = [entry for entry in self.commit_waiters if entry[0] > offset]
        for event in ready:
            event.send(True)

    def abort_commits(self) -> None:
        """Release waiting commits with an unknown outcome."""
        commit_waiters, self.commit_waiters = self.commit_waiters, []
        for _, event in commit_waiters:
            event.send(False)

    @contextlib.contextmanager
    def temporary_changes(self) -> Iterator[sqlite3.Connection]:
        """Open the applied data for changes that are rolled back on exit.

        The block must not yield to other green threads, which would see the changes.
        """
        self._set_query_only(False)
        self.data.execute('BEGIN')
        try:
            yield self.data
        finally:
            self.data.execute('ROLLBACK')
            self._set_query_only(True)

    def _common_prefix(self, log: Sequence[LogRecord], count: int) -> int:
        """Return the number of leading records that both logs have in common."""
        shared = min(len(self.log), count)
        while shared and self.log[shared - 1] is not log[shared - 1]:
            shared -= 1
        return shared

    def _extend(self, records: Sequence[LogRecord]) -> None:
        self.log.extend(records)
        self.end_offsets.extend(record.end for record in records)

    def _truncate(self, count: int) -> None:
        if count == len(self.log):
            return
        del self.log[count:]
        del self.end_offsets[count:]
        self.pending.clear()
        if self.applied > count:
            # sqlite3 cannot undo committed transactions, so the data is rebuilt from the log.
            self.data = store.connect()
            self.applied = 0
            self.apply_to(count)

    def _set_query_only(self, enabled: bool) -> None:
        self.data.execute(f'PRAGMA query_only = {int(enabled)}')


def replica_reports(member: Member, now_ms: int) -> str:
    """Return the acknowledged progress of the replicas of a primary, as JSON."""
    return json.dumps(
        [
            {
                'member': name,
                'term': member.position_at(known.applied).term,
                'offset': known.applied,
                'lag_ms': max(0, now_ms - known.fresh_ms),
            }
            for name, known in member.replicas.items()
        ]
    )


def _replay(conn: Any, records: Sequence[LogRecord]) -> None:
    for record in records:
        for statement in record.statements:
            store.execute(conn, statement)
