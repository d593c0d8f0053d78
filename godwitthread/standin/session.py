"""Client session: simple and extended query protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.standin import store, wire
from godwitthread.standin.control import is_control
from godwitthread.standin.link import LinkClosedError
from godwitthread.standin.store import Rows, SqlError, Statement, first_word
from godwitthread.standin.transaction import Transaction

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.standin.group import Group
    from godwitthread.standin.link import Link
    from godwitthread.standin.member import Member

_ROWLESS_COMMANDS = frozenset(('begin', 'commit', 'rollback', 'set', 'discard', 'create', 'drop'))


class PreparedStatement(NamedTuple):
    """Statement from a Parse message."""

    sql: str
    oids: tuple[int, ...]


class Portal:
    """Bound statement, with its answer if it was already executed."""

    def __init__(self, statement: Statement) -> None:
        self.statement = statement
        self.answer: Rows | None = None


class Session:
    """Process the protocol messages of one client."""

    def __init__(self, group: Group, member: Member, link: Link) -> None:
        self._member = member
        self._link = link
        self._transaction = Transaction(group, member, link.startup)
        self._prepared: dict[str, PreparedStatement] = {}
        self._portals: dict[str, Portal] = {}
        self._output = bytearray()
        self._skip_until_sync = False
        self._handlers: dict[bytes, Callable[[bytes], None]] = {
            b'P': self._parse,
            b'B': self._bind,
            b'D': self._describe,
            b'E': self._execute,
            b'C': self._close_statement,
        }

    def run(self) -> None:
        """Send the startup messages and process messages until the connection ends."""
        self._output += wire.message(b'R', bytes(4))
        for name, value in (
            ('server_version', '16.0'),
            ('client_encoding', 'UTF8'),
            ('standard_conforming_strings', 'on'),
        ):
            self._output += wire.parameter_status(name, value)
        self._output += wire.message(b'K', bytes(8))
        self._send_ready_for_query()
        while True:
            code, body = self._link.receive_message()
            if code == b'X':
                return
            self._answer(code, body)

    def end(self) -> None:
        """Roll back the open transaction."""
        self._transaction.abandon()

    def _answer(self, code: bytes, body: bytes) -> None:
        if code == b'S':
            self._skip_until_sync = False
            self._send_ready_for_query()
        elif code == b'Q':
            self._run_handler(self._simple_query, body)
            self._skip_until_sync = False
            self._send_ready_for_query()
        elif code == b'H':
            self._flush()
        elif not self._skip_until_sync:
            self._run_handler(self._handlers[code], body)

    def _run_handler(self, handler: Callable[[bytes], None], body: bytes) -> None:
        try:
            handler(body)
        except SqlError as exc:
            self._transaction.fail()
            self._skip_until_sync = True
            self._output += wire.error_response(exc.sqlstate, str(exc))

    def _simple_query(self, body: bytes) -> None:
        statements = store.split(wire.read_string(body, 0)[0])
        if not statements:
            self._output += wire.message(b'I')
        for sql in statements:
            answer = self._run(Statement(sql, {}))
            if answer.columns:
                self._send_columns(answer)
            self._send_rows(sql, answer)

    def _parse(self, body: bytes) -> None:
        name, sql, oids = wire.parse_parse(body)
        self._prepared[name] = PreparedStatement(sql, oids)
        self._output += wire.message(b'1')

    def _bind(self, body: bytes) -> None:
        bind = wire.parse_bind(body)
        prepared = self._prepared_statement(bind.statement)
        try:
            params = wire.decode_parameters(bind, prepared.oids)
        except (ValueError, KeyError) as exc:
            raise SqlError('22P02', f'invalid parameter: {exc}') from exc
        self._portals[bind.portal] = Portal(Statement(prepared.sql, params))
        self._output += wire.message(b'2')

    def _describe(self, body: bytes) -> None:
        name, _ = wire.read_string(body, 1)
        if body[:1] == b'S':
            self._describe_statement(self._prepared_statement(name))
            return
        portal = self._portal(name)
        # sqlite3 shows the column types only in the result, so the portal is executed here.
        answer = portal.answer = self._run(portal.statement)
        if answer.columns:
            self._send_columns(answer)
        else:
            self._output += wire.message(b'n')

    def _describe_statement(self, prepared: PreparedStatement) -> None:
        """Describe every column as text; its type is unknown before execution."""
        self._output += wire.parameter_description(prepared.oids)
        columns = self._transaction.columns_of(prepared.sql)
        if columns:
            self._output += wire.row_description(columns, [wire.OID_TEXT] * len(columns))
        else:
            self._output += wire.message(b'n')

    def _execute(self, body: bytes) -> None:
        portal = self._portal(wire.read_string(body, 0)[0])
        answer = portal.answer or self._run(portal.statement)
        portal.answer = None
        self._send_rows(portal.statement.sql, answer)

    def _close_statement(self, body: bytes) -> None:
        name, _ = wire.read_string(body, 1)
        (self._prepared if body[:1] == b'S' else self._portals).pop(name, None)
        self._output += wire.message(b'3')

    def _prepared_statement(self, name: str) -> PreparedStatement:
        if name not in self._prepared:
            raise SqlError('26000', f'prepared statement "{name}" does not exist')
        return self._prepared[name]

    def _portal(self, name: str) -> Portal:
        if name not in self._portals:
            raise SqlError('34000', f'portal "{name}" does not exist')
        return self._portals[name]

    def _run(self, statement: Statement) -> Rows:
        if not is_control(statement.sql):
            self._member.client_statements += 1
        answer = self._transaction.run(statement)
        faults = self._member.faults
        if faults.drop_answers and self._transaction.wrote:
            faults.drop_answers -= 1
            raise LinkClosedError
        return answer

    def _send_columns(self, answer: Rows) -> None:
        oids = wire.column_oids(len(answer.columns), answer.rows)
        self._output += wire.row_description(answer.columns, oids)

    def _send_rows(self, sql: str, answer: Rows) -> None:
        for row in answer.rows:
            self._output += wire.data_row(row)
        tag = self._transaction.tag or _tag(sql, answer)
        self._output += wire.message(b'C', tag.encode() + b'\0')

    def _send_ready_for_query(self) -> None:
        self._output += wire.message(b'Z', self._transaction.status)
        self._flush()

    def _flush(self) -> None:
        data, self._output = bytes(self._output), bytearray()
        self._link.send(data)


def _tag(sql: str, answer: Rows) -> str:
    word = first_word(sql)
    if word == 'insert':
        return f'INSERT 0 {answer.changed}'
    if word in ('update', 'delete'):
        return f'{word.upper()} {answer.changed}'
    if word in _ROWLESS_COMMANDS:
        return word.upper()
    return f'SELECT {len(answer.rows)}'
