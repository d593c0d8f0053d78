"""Connection of a client to a member that uses the line protocol."""

from __future__ import annotations

import contextlib
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.loop import eventlet
from godwitthread.standin.line_codec import LineStream, parse, text_lines
from godwitthread.types import Position

if TYPE_CHECKING:
    from godwitthread.standin.line_member import LineMember

#: Maximum delay of a repeated answer, in s.
REPEAT_DELAY_S = 3
#: Statements that a member may refuse as too many.
SLOT_VERBS = ('BEGIN', 'READ', 'WRITE', 'COMMIT')


class Execution(NamedTuple):
    """Read, write or commit that a member ran."""

    member: str
    organisation: str
    id: str
    #: Text as it was received, without `AFTER` and its position.
    text: bytes
    #: Number of the connection in its group.
    connection: int
    #: Number of the transaction in its group, 0 outside of transactions.
    transaction: int
    #: Session values of the connection.
    values: dict[str, str]
    #: Mode and shape of the prepared statement, empty if there is none.
    prepared: str
    receipt: str
    rows: tuple[str, ...]


class Connection:
    """Connection of a client to a member, with its session and transaction."""

    def __init__(self, member: LineMember, sock: Any) -> None:
        self._member = member
        self._group = member.group
        self._sock = sock
        self._stream = LineStream(sock)
        self._number = next(member.group.connection_numbers)
        #: State in the last `READY` line: I, T or E.
        self._state = 'I'
        self._read_write = False
        self._transaction = 0
        self._writes: list[tuple[str, str, str]] = []
        self._values: dict[str, str] = {}
        #: Modes and shapes of the prepared statements by name.
        self._prepared: dict[str, str] = {}
        self._organisation = ''
        #: Answer that is repeated after the next request.
        self._held = b''

    def run(self) -> None:
        """Serve the client until the connection ends."""
        word, _, rest = (self._read() or '').partition(' ')
        service, organisation, expected = [*rest.split(' '), '', ''][:3]
        self._wait_while_unresponsive()
        member = self._member
        if word != 'START' or service != self._group.name or expected not in ('', member.name):
            self._sock.sendall(text_lines(f'ERR WRONGNODE {member.name}'))
            return
        if member.connections > self._group.connection_limit:
            self._sock.sendall(text_lines(f'ERR TOOMANY {member.name}'))
            return
        member.hold_slot(self._group.connect_s)
        self._organisation = organisation
        self._send(text_lines(self._ready()))
        while (line := self._read()) is not None:
            word, _, rest = line.partition(' ')
            if word != 'QUERY':
                return
            statement_id, _, text = rest.partition(' ')
            answer = self._answer(statement_id, text)
            self._wait_while_unresponsive()
            data, rnd = text_lines(*answer, self._ready()), self._group.random
            if rnd.random() < member.lost_answer_share:
                # An answer may also be cut off before it ends.
                self._sock.sendall(data[: rnd.choice([0, rnd.randrange(len(data))])])
                eventlet.sleep(30)
                return
            self._send(data)

    def _read(self) -> str | None:
        line = self._stream.read()
        held, self._held = self._held, b''
        if held and line is not None:
            self._sock.sendall(held)
        return None if line is None else line.decode('latin-1')

    def _ready(self) -> str:
        return f'READY {self._state} {_format_position(self._member.position())}'

    def _send(self, data: bytes) -> None:
        """Send an answer, at times twice: at once, later or after the next request."""
        share, rnd = self._member.repeated_answer_share, self._group.random
        if not share or rnd.random() >= share:
            self._sock.sendall(data)
            return
        self._group.repeated += 1
        when = rnd.choice(['at once', 'later', 'after the next request'])
        self._sock.sendall(data * 2 if when == 'at once' else data)
        if when == 'later':
            eventlet.spawn_after(rnd.uniform(0, REPEAT_DELAY_S), self._repeat, data)
        elif when == 'after the next request':
            self._held = data

    def _repeat(self, data: bytes) -> None:
        self._wait_while_unresponsive()
        # The connection may have ended meanwhile.
        with contextlib.suppress(OSError):
            self._sock.sendall(data)

    def _wait_while_unresponsive(self) -> None:
        while self._member.condition == 'dark':
            eventlet.sleep(0.05)

    def _answer(self, statement_id: str, text: str) -> list[str]:
        member, group = self._member, self._group
        if text.startswith('AFTER '):
            _, wanted, text = [*text.split(' ', 2), '', ''][:3]
            position = _parse_position(wanted)
            applied_positions = [entry.position for entry in member.log[: member.applied]]
            if position is None or (position not in applied_positions and position.offset):
                return [f'ERR LAGGING {member.name}']
        if text.startswith('PAUSE '):
            term = int(text.partition(' ')[2])
            if member.primary or term <= max(group.term, member.paused_term):
                return ['ERR MALFORMED not a term to pause for']
            member.paused_term = term
        if text == 'RESUME':
            member.paused_term = 0
            if not member.primary:
                group.follow(member)
        if text == 'STATUS' or text == 'RESUME' or text.startswith('PAUSE '):
            return [self._status(), 'DONE -']
        if text == 'RESET':
            self._values.clear()
            self._prepared.clear()
            return ['DONE -']
        statement = parse(text)
        if statement is None or not statement_id:
            return ['ERR MALFORMED not understood']
        return self._run(statement_id, text, *statement)

    def _status(self) -> str:
        member = self._member
        role = 'primary' if member.primary else 'replica'
        received = _format_position(member.received())
        term = member.term if member.unaware else self._group.term
        return f'ROW {role} {term} {received} {member.paused_term} 0 0 1'

    def _run(self, statement_id: str, text: str, verb: str, name: str, argument: str) -> list[str]:
        member, prepared = self._member, ''
        if verb == 'EXEC':
            if name not in self._prepared:
                return ['ERR NOSTMT no such name']
            prepared = self._prepared[name]
            verb, name = prepared.partition(' ')[0], argument
            if verb == 'WRITE':
                name, _, argument = argument.partition(' ')
        answer = self._prevent(verb) or self._control(verb, name, argument)
        if answer:
            return answer
        if verb == 'WRITE' and not member.primary:
            return [f'ERR READONLY {member.name}']
        group = self._group
        member.hold_slot(group.execution_s.get(name, group.statement_s))
        if member.condition == 'down':
            raise ConnectionResetError
        if (verb == 'WRITE' or self._read_write) and not member.primary:
            return [f'ERR READONLY {member.name}']
        rows = self._rows(name) if verb == 'READ' else ()
        receipt = f'{member.name}.{next(group.receipts)}'
        self._record(statement_id, text, prepared, receipt, rows)
        self._execute(verb, (name, argument, statement_id))
        return [*(f'ROW {row}' for row in rows), f'DONE {receipt}']

    def _prevent(self, verb: str) -> list[str]:
        """Return the refusal of a statement that cannot run in this state, if any."""
        member = self._member
        if verb == ('BEGIN' if self._transaction else 'COMMIT'):
            return ['ERR MALFORMED not in this state']
        ends_without_writes = verb == 'COMMIT' and not self._writes
        lost = self._read_write and not member.primary
        if lost and verb != 'ROLLBACK' and not ends_without_writes:
            self._state = 'E'
            return [f'ERR READONLY {member.name}']
        if self._state == 'E' and verb != 'ROLLBACK':
            return ['ERR MALFORMED the transaction has failed']
        share = member.busy_share
        if share and verb in SLOT_VERBS and self._group.random.random() < share:
            return [f'ERR BUSY {member.name}']
        return []

    def _control(self, verb: str, name: str, argument: str) -> list[str]:
        """Carry out a statement that takes no slot; return its answer, if it is one."""
        if verb == 'BEGIN':
            return self._begin(read_only=name == 'READ')
        if verb == 'ROLLBACK':
            self._end_transaction()
        elif verb in ('SET', 'PREPARE'):
            (self._values if verb == 'SET' else self._prepared)[name] = argument
        elif verb == 'DEALLOC':
            self._prepared.pop(name, None)
        else:
            return []
        return ['DONE -']

    def _begin(self, read_only: bool) -> list[str]:
        if not read_only and not self._member.primary:
            return [f'ERR READONLY {self._member.name}']
        self._state, self._read_write = 'T', not read_only
        self._transaction = next(self._group.transactions)
        return ['DONE -']

    def _rows(self, item: str) -> tuple[str, ...]:
        values = itertools.islice(self._member.values(item), self._group.rows_per_read)
        return tuple(values) or ('',)

    def _record(
        self, statement_id: str, text: str, prepared: str, receipt: str, rows: tuple[str, ...]
    ) -> None:
        execution = Execution(
            self._member.name,
            self._organisation,
            statement_id,
            text.encode('latin-1'),
            self._number,
            self._transaction,
            dict(self._values),
            prepared,
            receipt,
            rows,
        )
        self._group.executed.append(execution)

    def _execute(self, verb: str, write: tuple[str, str, str]) -> None:
        if verb == 'WRITE':
            self._writes.append(write)
        if verb == 'COMMIT' or (verb == 'WRITE' and not self._transaction):
            if self._writes:
                self._group.commit(self._member, tuple(self._writes))
            self._end_transaction()

    def _end_transaction(self) -> None:
        self._state, self._read_write, self._transaction = 'I', False, 0
        self._writes.clear()


def _format_position(position: Position) -> str:
    return f'{position.term}.{position.offset}'


def _parse_position(text: str) -> Position | None:
    term, _, offset = text.partition('.')
    if not (term.isdecimal() and offset.isdecimal()):
        return None
    return Position(int(term), int(offset))
