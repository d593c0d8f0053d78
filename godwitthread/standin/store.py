"""SQL execution of the database stand-in, based on sqlite3."""

from __future__ import annotations

import re
import sqlite3
from typing import Any, NamedTuple

#: Size of the prepared statement cache per database.
CACHED_STATEMENTS = 256
_READ_WORDS = frozenset(('select', 'values', 'explain', 'show'))
_WRITE_IN_WITH = re.compile(r'\b(insert|update|delete)\b', re.IGNORECASE)
_FOR_UPDATE = re.compile(r'\s+for\s+(?:no\s+key\s+)?update\b', re.IGNORECASE)
_STATEMENT = re.compile(r"(?:[^;']|'[^']*')+")
_WORD = re.compile(r'\s*([a-z]+)', re.IGNORECASE)
#: SQLSTATE by a fragment of the sqlite3 error message; the first match applies.
_SQLSTATES = (
    ('UNIQUE constraint', '23505'),
    ('NOT NULL constraint', '23502'),
    ('FOREIGN KEY constraint', '23503'),
    ('CHECK constraint', '23514'),
    ('readonly database', '25006'),
    ('no such table', '42P01'),
    ('no such column', '42703'),
    ('no such function', '42883'),
    ('already exists', '42P07'),
    ('syntax error', '42601'),
    ('one statement at a time', '42601'),
    ('incomplete input', '42601'),
    ('binding', '08P01'),
    ('datatype mismatch', '22P02'),
)
INTERNAL_SQLSTATE = 'XX000'


class SqlError(Exception):
    """Failure of a statement, with its SQLSTATE."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        #: SQLSTATE code sent to the client.
        self.sqlstate = sqlstate


class Statement(NamedTuple):
    """SQL text and its parameters by number."""

    sql: str
    params: dict[str, Any]


class Rows(NamedTuple):
    """Result of one statement."""

    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]
    #: Number of changed rows, or -1 if not applicable.
    changed: int


def first_word(sql: str) -> str:
    """Return the first word of a statement in lower case."""
    match = _WORD.match(sql)
    return match.group(1).lower() if match else ''


def is_write(sql: str) -> bool:
    """Tell whether a statement needs the write lock."""
    word = first_word(sql)
    if word == 'with':
        return _WRITE_IN_WITH.search(sql) is not None
    return word not in _READ_WORDS or locks_rows(sql)


def locks_rows(sql: str) -> bool:
    """Tell whether a query locks the rows that it reads."""
    return _FOR_UPDATE.search(sql) is not None


def split(script: str) -> list[str]:
    """Split the text of a simple query into statements."""
    return [part.strip() for part in _STATEMENT.findall(script) if part.strip()]


def connect() -> sqlite3.Connection:
    """Open an empty in-memory database in autocommit mode."""
    return sqlite3.connect(
        ':memory:',
        isolation_level=None,
        detect_types=sqlite3.PARSE_DECLTYPES,
        cached_statements=CACHED_STATEMENTS,
        check_same_thread=False,
    )


def copy(source: sqlite3.Connection) -> sqlite3.Connection:
    """Return a copy of the committed content of a database."""
    target = connect()
    source.backup(target)
    return target


def execute(conn: sqlite3.Connection, statement: Statement) -> Rows:
    """Execute one statement; raise SqlError."""
    sql = statement.sql
    if locks_rows(sql):
        sql = _FOR_UPDATE.sub('', sql)
    try:
        cursor = conn.execute(sql, statement.params)
        rows = cursor.fetchall()
    except (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError) as exc:
        raise SqlError(_sqlstate(exc), str(exc)) from exc
    columns = tuple(entry[0] for entry in cursor.description or ())
    return Rows(columns, rows, cursor.rowcount)


def _sqlstate(exc: Exception) -> str:
    if isinstance(exc, OverflowError):
        return '22003'
    text = str(exc)
    return next((state for part, state in _SQLSTATES if part in text), INTERNAL_SQLSTATE)


def _convert_boolean(value: bytes) -> bool:
    return value not in (b'0', b'f', b'false')


for _name in ('BOOLEAN', 'BOOL'):
    sqlite3.register_converter(_name, _convert_boolean)
for _name in ('DATE', 'TIMESTAMP'):
    # The default converters of sqlite3 are deprecated and return types that the wire
    # module does not encode.
    sqlite3.register_converter(_name, bytes.decode)
