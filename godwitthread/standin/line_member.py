"""Stand-in for a replication group whose members use the line protocol."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.core.statements import TxState, Verb
from godwitthread.loop import eventlet
from godwitthread.platform.line_protocol import (
    LineReader,
    encode,
    format_position,
    parse_position,
    parse_query,
    ready,
)
from godwitthread.sockets import configure, listen, shutdown_socket
from godwitthread.types import Position

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from godwitthread.address import Address
    from godwitthread.core.statements import Statement


#: Interval for resending a commit that no replica has received, in s.
COMMIT_RETRY_S = 0.02


class Commit(NamedTuple):
    """Committed transaction in the log."""

    position: Position
    #: Writes as tuples of item, data and id of the statement.
    writes: tuple[tuple[str, str, str], ...]
    #: Time of the commit in ms.
    at_ms: int


class LineMember:
    """Member of a replication group, listening on its own address."""

    def __init__(self, group: LineGroup, name: str, address: Address, domain: str) -> None:
        self.group = group
        self.name = name
        self.address = address
        self.failure_domain = domain
        self.log: list[Commit] = []
        self.applied = 0
        self.born = 1
        #: 'up', 'dark' (accepts connections without answering) or 'down' (refuses them).
        self.condition = 'up'
        #: Probability that a statement is executed without an answer.
        self.lost_answer_share = 0.0
        self.lag_s = 0.02
        self.connections = 0
        #: Term for which replication is paused; commits are received only while it does not
        #: exceed the term of the group.
        self.paused_term = 0
        #: Term in which the member last became the primary.
        self.term = 1
        #: Whether the member was replaced as primary during a split and does not know it.
        self.unaware = False
        self._sockets: set[socket.socket] = set()
        self._slots = eventlet.semaphore.Semaphore(group.slots)
        self._listener: socket.socket | None = None

    @property
    def primary(self) -> bool:
        """Whether the member acts as the primary of its group."""
        return self.group.primary is self or self.unaware

    @property
    def receiving(self) -> bool:
        """Whether the member receives commits."""
        return self.condition == 'up' and self.paused_term <= self.group.term

    def start(self) -> None:
        """Listen for connections."""
        self.condition, self.paused_term = 'up', 0
        listener = self._listener = listen(self.address)

        def accept() -> None:
            while self._listener is listener:
                try:
                    sock, _ = listener.accept()
                except (OSError, EOFError):
                    break
                configure(sock)
                eventlet.spawn_n(self._serve, sock)
            listener.close()

        eventlet.spawn(accept)

    def crash(self, how: str) -> None:
        """Stop answering ('dark'), or close the listener and all connections ('down')."""
        self.condition = how
        if how == 'down' and self._listener is not None:
            listener, self._listener = self._listener, None
            shutdown_socket(listener)
            for sock in list(self._sockets):
                shutdown_socket(sock)

    def position(self) -> Position:
        """Return the position of the last applied commit."""
        return self.log[self.applied - 1].position if self.applied else Position(1, 0)

    def received(self) -> Position:
        """Return the position of the last received commit."""
        return self.log[-1].position if self.log else Position(1, 0)

    def value(self, item: str) -> str:
        """Return the data of an item according to the applied commits, or ''."""
        for commit in reversed(self.log[: self.applied]):
            for name, data, _ in commit.writes:
                if name == item:
                    return data
        return ''

    def _serve(self, sock: Any) -> None:
        self._sockets.add(sock)
        self.connections += 1
        try:
            _Connection(self, sock).run()
        except (OSError, EOFError):
            return
        finally:
            self.connections -= 1
            self._sockets.discard(sock)
            sock.close()

    def hold_slot(self, seconds: float) -> None:
        """Occupy an execution slot for a duration."""
        with self._slots:
            eventlet.sleep(seconds)


class LineGroup:
    """Members that replicate one log, with one primary per term."""

    def __init__(self, name: str, now_ms: Callable[[], int], seed: int = 0) -> None:
        self.name = name
        self.slots = 2
        self.connection_limit = 16
        self.statement_s = 0.004
        #: Execution time of statements on some items, in s, in place of `statement_s`.
        self.execution_s: dict[str, float] = {}
        self.connect_s = 0.01
        self.promote_s = 0.1
        self.members: dict[str, LineMember] = {}
        self.primary: LineMember | None = None
        self.term = 1
        #: Whether a commit is acknowledged only after a replica has received it.
        self.synchronous = False
        #: Member that is partitioned from the other members, if any. If it is the primary, it goes
        #: on when another member is promoted, until the end of the split.
        self.partitioned: LineMember | None = None
        #: Commits of former primaries that a promotion discarded.
        self.rolled_back: list[Commit] = []
        #: Executed statements: member, organisation, statement id, text.
        self.executed: list[tuple[str, str, str, str]] = []
        #: Callback for members whose entry in the store must be updated.
        self.on_change: Callable[[LineMember], None] = lambda _: None
        self.now_ms = now_ms
        self.random = random.Random(seed)
        self.receipts = itertools.count(1)

    def add(self, name: str, address: Address, domain: str) -> LineMember:
        """Add a member; the first one becomes the primary."""
        member = self.members[name] = LineMember(self, name, address, domain)
        self.primary = self.primary or member
        return member

    def commit(self, primary: LineMember, writes: tuple[tuple[str, str, str], ...]) -> Position:
        """Append a commit at a member that acts as the primary, and send it to the replicas.

        Raise ConnectionResetError if a synchronous commit reached no replica before the
        member was replaced as primary.
        """
        position = Position(primary.term, primary.received().offset + 1)
        entry = Commit(position, writes, self.now_ms())
        primary.log.append(entry)
        primary.applied = len(primary.log)
        while not self._send(primary, position) and self.synchronous:
            eventlet.sleep(COMMIT_RETRY_S)
            if self.primary is not primary:
                raise ConnectionResetError
        return position

    def _send(self, primary: LineMember, position: Position) -> bool:
        if primary is self.partitioned:
            return False
        receivers = [
            each
            for each in self.members.values()
            if each.receiving and each is not self.partitioned
        ]
        for member in receivers:
            if member is not primary:
                member.log = [*primary.log]
                eventlet.spawn_after(member.lag_s, self._apply, member, position)
        return len(receivers) > 1

    def promote(self, name: str) -> bool:
        """Start the promotion of a member for the next term; return whether the member is up."""
        member = self.members.get(name)
        if member is None or member.condition != 'up':
            return False
        if member is not self.primary:
            eventlet.spawn_after(self.promote_s, self._become_primary, member)
        return True

    def _become_primary(self, member: LineMember) -> None:
        if member is self.primary or member.condition != 'up':
            return
        former, self.primary = self.primary, member
        self.term += 1
        member.term, member.unaware, member.paused_term = self.term, False, 0
        if former is not None:
            former.unaware = former is self.partitioned and former.condition != 'down'
        received_count = len(member.log)
        if former is not None:
            self.rolled_back += [entry for entry in former.log if entry not in member.log]
        member.applied = received_count
        member.log.append(Commit(Position(self.term, member.received().offset + 1), (), 0))
        member.applied = len(member.log)
        for other in self.members.values():
            if other is not member and not other.unaware:
                self.follow(other)
            self.on_change(other)

    def end_split(self) -> None:
        """End the split, so that a replaced primary becomes a replica and loses its commits."""
        self.partitioned = None
        for member in self.members.values():
            if member.unaware:
                member.unaware = False
                self.follow(member)
                self.on_change(member)

    def follow(self, member: LineMember) -> None:
        """Replace the log of a replica with that of the primary."""
        primary = self.primary
        assert primary is not None
        member.log = [*primary.log]
        member.applied = min(member.applied, len(member.log))
        eventlet.spawn_after(member.lag_s, self._apply, member, primary.received())

    def _apply(self, member: LineMember, position: Position) -> None:
        while member.applied < len(member.log):
            if member.log[member.applied].position > position:
                return
            member.applied += 1


class _Connection:
    """Client connection to a member."""

    def __init__(self, member: LineMember, sock: Any) -> None:
        self._member = member
        self._group = member.group
        self._sock = sock
        self._reader = LineReader(sock)
        self._state = TxState.IDLE
        self._read_write = False
        self._writes: list[tuple[str, str, str]] = []
        self._prepared: dict[str, Statement] = {}
        self._organisation = ''

    def run(self) -> None:
        word, _, rest = (self._reader.read() or '').partition(' ')
        service, organisation, expected = [*rest.split(' '), '', ''][:3]
        self._wait_while_unresponsive()
        member = self._member
        if word != 'START' or service != self._group.name or expected not in ('', member.name):
            self._sock.sendall(encode(f'ERR WRONGNODE {member.name}'))
            return
        if member.connections > self._group.connection_limit:
            self._sock.sendall(encode(f'ERR TOOMANY {member.name}'))
            return
        member.hold_slot(self._group.connect_s)
        self._organisation = organisation
        self._sock.sendall(encode(ready(TxState.IDLE, member.position())))
        while (line := self._reader.read()) is not None:
            word, _, rest = line.partition(' ')
            if word != 'QUERY':
                return
            statement_id, _, text = rest.partition(' ')
            answer = self._answer(statement_id, text)
            self._wait_while_unresponsive()
            if self._group.random.random() < member.lost_answer_share:
                eventlet.sleep(30)
                return
            self._sock.sendall(encode(*answer, ready(self._state, member.position())))

    def _wait_while_unresponsive(self) -> None:
        while self._member.condition == 'dark':
            eventlet.sleep(0.05)

    def _answer(self, statement_id: str, text: str) -> list[str]:
        member, group = self._member, self._group
        if text.startswith('AFTER '):
            _, wanted, text = text.split(' ', 2)
            position = parse_position(wanted)
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
            self._prepared.clear()
            return ['DONE -']
        statement = parse_query(f'{statement_id} {text}')
        if statement is None:
            return ['ERR MALFORMED not understood']
        return self._run(statement)

    def _status(self) -> str:
        member = self._member
        role = 'primary' if member.primary else 'replica'
        received = format_position(member.received())
        term = member.term if member.unaware else self._group.term
        return f'ROW {role} {term} {received} {member.paused_term} 0 0 1'

    def _run(self, statement: Statement) -> list[str]:
        member = self._member
        verb = statement.verb
        if verb is Verb.EXECUTE:
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                return ['ERR NOSTMT no such name']
            item, _, data = statement.argument.partition(' ')
            verb = Verb.READ if prepared.read_only else Verb.WRITE
            statement = statement._replace(name=item, argument=data)
        if verb is Verb.ROLLBACK:
            self._end_transaction()
            return ['DONE -']
        if (
            self._read_write
            and not member.primary
            and not (verb is Verb.COMMIT and not self._writes)
        ):
            self._state = TxState.FAILED
            return [f'ERR READONLY {member.name}']
        if verb in (Verb.SET, Verb.DEALLOCATE):
            return ['DONE -']
        if verb is Verb.PREPARE:
            self._prepared[statement.name] = statement
            return ['DONE -']
        if verb is Verb.BEGIN:
            if not statement.read_only and not member.primary:
                return [f'ERR READONLY {member.name}']
            self._state, self._read_write = TxState.OPEN, not statement.read_only
            return ['DONE -']
        if verb is Verb.WRITE and not member.primary:
            return [f'ERR READONLY {member.name}']
        group = self._group
        member.hold_slot(group.execution_s.get(statement.name, group.statement_s))
        return self._execute(statement, verb)

    def _execute(self, statement: Statement, verb: Verb) -> list[str]:
        member, group = self._member, self._group
        if member.condition == 'down':
            raise ConnectionResetError
        if (verb is Verb.WRITE or self._read_write) and not member.primary:
            return [f'ERR READONLY {member.name}']
        group.executed.append((member.name, self._organisation, statement.id, statement.text))
        rows = []
        if verb is Verb.READ:
            rows = [f'ROW {member.value(statement.name)}']
        elif verb is Verb.WRITE:
            self._writes.append((statement.name, statement.argument, statement.id))
            if self._state is TxState.IDLE:
                group.commit(member, tuple(self._writes))
                self._writes.clear()
        elif verb is Verb.COMMIT:
            if self._writes:
                group.commit(member, tuple(self._writes))
            self._end_transaction()
        return [*rows, f'DONE {member.name}.{next(group.receipts)}']

    def _end_transaction(self) -> None:
        self._state, self._read_write = TxState.IDLE, False
        self._writes.clear()
