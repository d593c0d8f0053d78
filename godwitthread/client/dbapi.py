"""PEP 249 (DB-API 2.0) interface to the caller protocol."""

from __future__ import annotations

import datetime
import decimal
import uuid
from typing import TYPE_CHECKING, Any

from godwitthread.client.client import DEADLINE_MS, Client
from godwitthread.client.dbapi_errors import (
    DatabaseError,
    DataError,
    Error,
    IntegrityError,
    InterfaceError,
    InternalError,
    NotRunError,
    NotSupportedError,
    OperationalError,
    ProgrammingError,
    UnknownOutcomeError,
    Warning,  # noqa: A004 - the name is fixed by PEP 249
    translate_errors,
)
from godwitthread.client.paramstyle import to_dollar_params
from godwitthread.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = [
    'Connection',
    'Cursor',
    'DataError',
    'DatabaseError',
    'Error',
    'IntegrityError',
    'InterfaceError',
    'InternalError',
    'NotRunError',
    'NotSupportedError',
    'OperationalError',
    'ProgrammingError',
    'UnknownOutcomeError',
    'Warning',
    'apilevel',
    'connect',
    'paramstyle',
    'threadsafety',
]

apilevel = '2.0'
#: Threads may share the module, but not connections.
threadsafety = 1
paramstyle = 'numeric'
#: First keywords of statements that are sent as reads in autocommit mode.
READ_KEYWORDS = frozenset({'SELECT', 'VALUES'})
#: Errors of a rollback that mean that the transaction has already ended.
TRANSACTION_ENDED_KINDS = frozenset({ErrorKind.TRANSACTION_LOST, ErrorKind.TRANSACTION_UNKNOWN})


def connect(
    urls: str | Sequence[str],
    key: str | None = None,
    *,
    route: str,
    autocommit: bool = False,
    session: str | None = None,
    deadline_ms: int = DEADLINE_MS,
    max_age_ms: int | None = None,
    ca_file: str | None = None,
) -> Connection:
    """Return a connection; `max_age_ms` is the staleness bound of reads in autocommit."""
    client = Client(
        urls, key, route=route, session=session, deadline_ms=deadline_ms, ca_file=ca_file
    )
    return Connection(client, autocommit, max_age_ms)


class Connection:
    """PEP 249 connection with one session and at most one open transaction."""

    Error = Error
    Warning = Warning
    InterfaceError = InterfaceError
    DatabaseError = DatabaseError
    DataError = DataError
    OperationalError = OperationalError
    IntegrityError = IntegrityError
    InternalError = InternalError
    ProgrammingError = ProgrammingError
    NotSupportedError = NotSupportedError

    def __init__(self, client: Client, autocommit: bool, max_age_ms: int | None = None) -> None:
        #: Client with the session token of this connection.
        self.client = client
        #: Whether every statement runs in its own transaction.
        self.autocommit = autocommit
        #: Staleness bound of reads in autocommit, in ms; None sends no bound.
        self.max_age_ms = max_age_ms
        self._transaction: str | None = None
        self._closed = False

    def cursor(self) -> Cursor:
        """Return a new cursor; raise InterfaceError on a closed connection."""
        self.check_open()
        return Cursor(self)

    def commit(self) -> None:
        """Commit the open transaction, if any.

        Raises UnknownOutcomeError when the transaction may or may not have been committed.
        """
        self.check_open()
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            with translate_errors():
                self.client.commit(transaction)

    def rollback(self) -> None:
        """Roll back the open transaction, if any; one that has already ended is no error."""
        self.check_open()
        transaction, self._transaction = self._transaction, None
        if transaction is None:
            return
        try:
            with translate_errors():
                self.client.rollback(transaction)
        except Error as exc:
            if exc.kind not in TRANSACTION_ENDED_KINDS:
                raise

    def close(self) -> None:
        """Roll back the open transaction, if any, and close the connection."""
        if self._closed:
            return
        try:
            self.rollback()
        finally:
            self._closed = True
            self.client.close()

    def transaction(self) -> str | None:
        """Return the id of the open transaction, opened on first use; None in autocommit."""
        if self._transaction is None and not self.autocommit:
            with translate_errors():
                self._transaction = self.client.begin()
        return self._transaction

    def check_open(self) -> None:
        """Raise InterfaceError when the connection is closed."""
        if self._closed:
            raise InterfaceError('connection is closed')

    def __enter__(self) -> Connection:
        return self

    def __exit__(self, exc_type: type[BaseException] | None, *_: object) -> None:
        if exc_type is None:
            self.commit()
        else:
            self.rollback()


class Cursor:
    """PEP 249 cursor with the rows of its last statement."""

    def __init__(self, connection: Connection) -> None:
        #: Connection that the statements run on.
        self.connection = connection
        #: Default number of rows that `fetchmany` returns.
        self.arraysize = 1
        #: One 7-tuple per result column; None without a result set.
        self.description: list[tuple[Any, ...]] | None = None
        #: Rows returned or changed by the last statement; -1 when unknown.
        self.rowcount = -1
        #: Always None; the protocol has no row ids.
        self.lastrowid = None
        self._rows: Iterator[tuple[Any, ...]] | None = None
        self._closed = False

    def execute(
        self,
        operation: str,
        parameters: Sequence[Any] = (),
        *,
        mode: str | None = None,
        max_age_ms: int | None = None,
        consistency: str = 'session',
        idempotency_key: str | None = None,
    ) -> Cursor:
        """Run a statement with `:1` parameters; `mode` overrides the detected mode."""
        self._check_open()
        self._reset()
        transaction = self.connection.transaction()
        effective_mode = mode or ('write' if transaction else detected_mode(operation))
        if max_age_ms is None and effective_mode == 'read' and transaction is None:
            max_age_ms = self.connection.max_age_ms
        with translate_errors():
            result = self.connection.client.execute(
                to_dollar_params(operation),
                [_json_value(value) for value in parameters],
                mode=effective_mode,
                max_age_ms=max_age_ms,
                consistency=consistency,
                idempotency_key=idempotency_key,
                transaction=transaction,
            )
        self.rowcount = result.row_count
        if result.columns:
            self.description = [(name, *[None] * 6) for name in result.columns]
            self._rows = iter([tuple(row) for row in result.rows])
        return self

    def executemany(
        self, operation: str, seq_of_parameters: Sequence[Sequence[Any]], **options: Any
    ) -> Cursor:
        """Run a statement once per parameter sequence; `rowcount` is the total."""
        total = 0
        for parameters in seq_of_parameters:
            self.execute(operation, parameters, **options)
            total = -1 if total < 0 or self.rowcount < 0 else total + self.rowcount
        self._reset()
        self.rowcount = total
        return self

    def fetchone(self) -> tuple[Any, ...] | None:
        """Return the next row, or None when there are no more rows."""
        return next(self._result_rows(), None)

    def fetchmany(self, size: int | None = None) -> list[tuple[Any, ...]]:
        """Return the next `size` rows, by default `arraysize`."""
        rows = self._result_rows()
        count = self.arraysize if size is None else size
        return [row for _, row in zip(range(count), rows, strict=False)]

    def fetchall(self) -> list[tuple[Any, ...]]:
        """Return all remaining rows."""
        return list(self._result_rows())

    def close(self) -> None:
        """Discard the rows and close the cursor."""
        self._reset()
        self._closed = True

    def setinputsizes(self, sizes: Sequence[Any]) -> None:
        """Do nothing, as PEP 249 allows."""

    def setoutputsize(self, size: int, column: int | None = None) -> None:
        """Do nothing, as PEP 249 allows."""

    def __iter__(self) -> Iterator[tuple[Any, ...]]:
        return self._result_rows()

    def _reset(self) -> None:
        self.description, self.rowcount, self._rows = None, -1, None

    def _result_rows(self) -> Iterator[tuple[Any, ...]]:
        self._check_open()
        if self._rows is None:
            raise ProgrammingError('the last statement returned no rows')
        return self._rows

    def _check_open(self) -> None:
        self.connection.check_open()
        if self._closed:
            raise InterfaceError('cursor is closed')


def detected_mode(operation: str) -> str:
    """Return 'read' when the first keyword is SELECT or VALUES, otherwise 'write'."""
    words = operation.lstrip().split(None, 1)
    keyword = words[0].rstrip('(').upper() if words else ''
    return 'read' if keyword in READ_KEYWORDS else 'write'


def _json_value(value: Any) -> Any:
    if isinstance(value, bytes | bytearray | memoryview):
        return f'\\x{bytes(value).hex()}'
    if isinstance(value, datetime.date | datetime.time):
        return value.isoformat()
    if isinstance(value, decimal.Decimal | uuid.UUID):
        return str(value)
    return value
