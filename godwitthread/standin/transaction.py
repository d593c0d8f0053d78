"""Transactions of a session on a member of the database stand-in."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from godwitthread.standin import store
from godwitthread.standin.control import is_control
from godwitthread.standin.link import LinkClosedError
from godwitthread.standin.store import Rows, SqlError, Statement, first_word

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.standin.group import Group
    from godwitthread.standin.member import Member
    from godwitthread.types import Position

READ_ONLY = '25006'
LOCK_NOT_AVAILABLE = '55P03'
FAILED_TRANSACTION = '25P02'
SERIALIZATION_FAILURE = '40001'
IDLE, OPEN, FAILED = b'I', b'T', b'E'
_SET_READ_ONLY = re.compile(
    r"default_transaction_read_only\s*(?:=|\bto\b)\s*'?(\w+)", re.IGNORECASE
)
_POSITION = re.compile(r'\s*select\s+\*\s+from\s+godwit_position\s*\(', re.IGNORECASE)
_LOGICAL_MESSAGE = re.compile(r'\bpg_logical_emit_message\s*\(\s*true\b', re.IGNORECASE)
_TRUE_WORDS = frozenset(('on', 'true', '1', 'yes'))
_EMPTY = Rows((), [], -1)


class Transaction:
    """Execute the statements of a session, in autocommit mode or in a transaction block."""

    def __init__(self, group: Group, member: Member, startup: dict[str, str]) -> None:
        self._group = group
        self._member = member
        self._default_read_only = _startup_read_only(startup)
        self._read_only = self._default_read_only
        #: Transaction status as sent in ReadyForQuery.
        self.status = IDLE
        #: Whether the last statement committed changes.
        self.wrote = False
        #: Command tag of the last statement, or '' to derive it from the statement.
        self.tag = ''
        self._statements: list[Statement] = []
        #: Inserts of an open transaction with the answers sent to the client. They are
        #: executed again under the write lock, which is not taken before: in PostgreSQL,
        #: inserts of different rows do not block each other.
        self._deferred: list[tuple[Statement, Rows]] = []
        #: Write lock held, and the epoch of the data that it protects.
        self._lock: tuple[Any, int] | None = None
        self._committed: Position | None = None
        self._commands: dict[str, Callable[[str], Rows]] = {
            'begin': self._begin,
            'start': self._begin,
            'commit': self._commit,
            'end': self._commit,
            'rollback': self._rollback,
            'abort': self._rollback,
            'set': self._set,
            'reset': self._set,
            'discard': self._discard,
        }

    def run(self, statement: Statement) -> Rows:
        """Execute one statement; raise SqlError or LinkClosedError."""
        self.wrote = False
        self.tag = ''
        sql = statement.sql
        command = self._commands.get(first_word(sql))
        if self.status == FAILED and command not in (self._commit, self._rollback):
            raise SqlError(FAILED_TRANSACTION, 'current transaction is aborted')
        if command is not None:
            return command(sql)
        if _POSITION.match(sql):
            return self._position()
        if is_control(sql):
            return self._group.execute(self._member, sql, statement.params)
        if _LOGICAL_MESSAGE.search(sql):
            statement = Statement("SELECT '0/0' AS pg_logical_emit_message", {})
            return self._write(statement)
        if store.is_write(sql):
            return self._write(statement)
        return self._read(statement)

    def columns_of(self, sql: str) -> tuple[str, ...]:
        """Return the column names of a query without fetching rows; empty for other statements."""
        if first_word(sql) not in ('select', 'values', 'with') or store.is_write(sql):
            return ()
        if is_control(sql) or _POSITION.match(sql) or _LOGICAL_MESSAGE.search(sql):
            raise SqlError('0A000', 'describe the portal of a control function instead')
        numbers = re.findall(r'\$(\d+)', sql)
        probe = Statement(
            f'SELECT * FROM ({sql.rstrip().rstrip(";")}) LIMIT 0', dict.fromkeys(numbers)
        )
        return store.execute(self._readable(), probe).columns

    def fail(self) -> None:
        """Mark an open transaction as failed after an error."""
        if self.status == OPEN:
            self.status = FAILED

    def abandon(self) -> None:
        """Roll back and release the write lock after the client has disconnected."""
        self._end_transaction()

    def _read(self, statement: Statement) -> Rows:
        if not self._deferred:
            return store.execute(self._readable(), statement)
        return self._preview(statement)

    def _preview(self, statement: Statement) -> Rows:
        """Execute the deferred statements and this one, then roll all of them back.

        Nothing here yields to other green threads, which would see the changes.
        """
        with self._member.temporary_changes() as data:
            for earlier, _ in self._deferred:
                store.execute(data, earlier)
            return store.execute(data, statement)

    def _readable(self) -> Any:
        return self._member.writer if self._holds_current_lock() else self._member.data

    def _holds_current_lock(self) -> bool:
        return self._lock is not None and self._lock[1] == self._member.epoch

    def _write(self, statement: Statement) -> Rows:
        if self._read_only:
            raise SqlError(READ_ONLY, 'cannot execute a write in a read-only transaction')
        autocommit = self.status == IDLE
        if not autocommit and self._lock is None and first_word(statement.sql) == 'insert':
            self._check_writable()
            answer = self._preview(statement)
            self._deferred.append((statement, answer))
            return answer
        self._acquire()
        try:
            answer = store.execute(self._member.writer, statement)
        except SqlError:
            if autocommit:
                self._end_transaction()
            raise
        self._statements.append(statement)
        if autocommit:
            self._commit_writes()
        return answer

    def _acquire(self) -> None:
        self._check_writable()
        if self._lock is not None:
            return
        member = self._member
        lock = member.write_lock
        if not lock.acquire(timeout=self._group.settings.lock_timeout_ms / 1000):
            raise SqlError(LOCK_NOT_AVAILABLE, 'lock time-out')
        self._lock = (lock, member.epoch)
        try:
            self._check_writable()
            if lock is not member.write_lock:
                raise SqlError(READ_ONLY, 'the member stopped being primary')
        except SqlError:
            self._lock = None
            lock.release()
            raise
        member.writer.execute('BEGIN')
        self._run_deferred()

    def _run_deferred(self) -> None:
        """Execute the deferred inserts under the lock; fail if an answer differs."""
        deferred, self._deferred = self._deferred, []
        for statement, answer in deferred:
            if store.execute(self._member.writer, statement) != answer:
                self._end_transaction()
                self.status = FAILED
                raise SqlError(SERIALIZATION_FAILURE, 'another transaction changed the result')
            self._statements.append(statement)

    def _check_writable(self) -> None:
        if not self._member.writable or (self._lock is not None and not self._holds_current_lock()):
            raise SqlError(READ_ONLY, 'cannot execute a write on a replica')

    def _commit_writes(self) -> None:
        """Commit the writes and wait for the quorum to confirm them."""
        try:
            self._check_writable()
        except SqlError:
            self._end_transaction()
            raise
        self._member.writer.execute('COMMIT')
        statements, self._statements = self._statements, []
        quorum = self._group.commit(self._member, statements)
        # The lock is released before the quorum answers. The next transaction comes later in
        # the log, so its quorum includes this one. Holding the lock during the wait limited
        # throughput to about 50 writes per second.
        self._release()
        position = quorum()
        if position is None:
            # The outcome is unknown, so no answer may be sent to the client.
            raise LinkClosedError
        self._committed = position
        self.wrote = True

    def _end_transaction(self) -> None:
        """Roll back uncommitted writes and release the lock."""
        if self._holds_current_lock() and self._member.writer.in_transaction:
            self._member.writer.execute('ROLLBACK')
        self._statements, self._deferred = [], []
        self._release()
        self.status = IDLE
        self._read_only = self._default_read_only

    def _release(self) -> None:
        lock, self._lock = self._lock, None
        if lock is not None:
            lock[0].release()

    def _begin(self, sql: str) -> Rows:
        self.tag = 'BEGIN'
        self.status = OPEN
        self._read_only = self._default_read_only or 'read only' in sql.lower()
        return _EMPTY

    def _commit(self, sql: str) -> Rows:
        if self.status == FAILED:
            return self._rollback(sql)
        self.tag = 'COMMIT'
        try:
            if self._deferred:
                self._acquire()
            if self.status == OPEN and self._statements:
                self._commit_writes()
        finally:
            self._end_transaction()
        return _EMPTY

    def _rollback(self, sql: str) -> Rows:
        self._end_transaction()
        self.tag = 'ROLLBACK'
        return _EMPTY

    def _set(self, sql: str) -> Rows:
        self.tag = first_word(sql).upper()
        match = _SET_READ_ONLY.search(sql)
        if match:
            self._default_read_only = match.group(1).lower() in _TRUE_WORDS
            self._read_only = self._default_read_only
        return _EMPTY

    def _discard(self, sql: str) -> Rows:
        if self.status != IDLE:
            raise SqlError('25001', 'DISCARD ALL cannot run inside a transaction')
        self.tag = 'DISCARD ALL'
        self._committed = None
        return _EMPTY

    def _position(self) -> Rows:
        position = self._committed or self._member.position_at(self._member.applied_end)
        return Rows(('term', 'offset'), [tuple(position)], -1)


def _startup_read_only(startup: dict[str, str]) -> bool:
    if startup.get('default_transaction_read_only', '').lower() in _TRUE_WORDS:
        return True
    match = _SET_READ_ONLY.search(startup.get('options', ''))
    return bool(match and match.group(1).lower() in _TRUE_WORDS)
