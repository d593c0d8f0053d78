"""Stand-ins of database members, which speak the wire protocol of the users' pages."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

END = b'\r\n'
#: Longest line, in bytes: a message of 1 MiB.
LINE_LIMIT = 1024 * 1024 + 64


class Commit(NamedTuple):
    """Entry of a log: its position, and the writes as item, data and statement id."""

    term: int
    number: int
    writes: tuple[tuple[str, str, str], ...]


class Execution(NamedTuple):
    """Read, write or commit that a member ran."""

    at_s: float
    id: str
    text: str
    receipt: str
    #: Session values of the connection, as the member has them.
    values: dict[str, str]


class Group:
    """Members that replicate one log, one of which leads."""

    def __init__(self, name: str, note: Callable[[str], None]) -> None:
        self.name = name
        self.note = note
        self.members: dict[str, Member] = {}
        self.primary: Member | None = None
        self.term = 1
        self.slots = 2
        self.max_conns = 34
        self.connect_s = 0.012
        self.work_s = 0.0045
        self.promote_s = 0.3
        #: Number of replicas that must have received a commit before it is acknowledged.
        self.sync_replicas = 0
        #: Called when the role of a member changes.
        self.on_change: Callable[[Member], None] = lambda _: None
        #: Statement ids of the writes of every commit that a promotion removed from the log.
        self.rolled_back: set[str] = set()
        self.receipts = itertools.count(1)

    def add(self, member: Member) -> None:
        """Add a member; the first one leads."""
        self.members[member.id] = member
        self.primary = self.primary or member

    def promote(self, member_id: str) -> bool:
        """Begin the promotion of a member; return False if it is not running."""
        member = self.members.get(member_id)
        if member is None or member.dark:
            return False
        if member is not self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, member)
        return True

    def committed_ids(self) -> list[str]:
        """Return the ids of the statements whose writes are in the log of the primary."""
        assert self.primary is not None
        return [write[2] for commit in self.primary.log for write in commit.writes]

    def _lead(self, member: Member) -> None:
        if member is self.primary or member.dark:
            return
        former, self.primary = self.primary, member
        self.term += 1
        member.paused_term = 0
        assert former is not None
        kept = set(member.log)
        lost = {
            each for log in (former.log, *(m.log for m in self.members.values())) for each in log
        }
        lost_ids = {write[2] for commit in lost - kept for write in commit.writes}
        self.rolled_back |= lost_ids
        member.log.append(Commit(self.term, len(member.log) + 1, ()))
        member.applied = len(member.log)
        self.note(
            f'{member.id} leads {self.name} in term {self.term}, {len(lost_ids)} writes removed'
        )
        for each in self.members.values():
            if each is not member:
                each.log = [commit for commit in each.log if commit in kept]
                each.applied = min(each.applied, len(each.log))
                each.receive()
            self.on_change(each)


class Member:
    """One database server."""

    def __init__(self, group: Group, member_id: str, host: str, port: int, zone: str) -> None:
        self.id, self.host, self.port, self.zone = member_id, host, port, zone
        self.group = group
        self.log: list[Commit] = []
        self.applied = 0
        self.paused_term = 0
        #: Whether it answers nothing.
        self.dark = False
        #: Whether it receives nothing from the primary.
        self.deaf = False
        #: Time that a commit takes to be received, and then to be applied, in s.
        self.receive_s, self.lag_s = 0.0014, 0.02
        self.connections = 0
        self.born = int(time.time() * 1000)
        self.executed: list[Execution] = []
        #: Rows of reads of some items in place of their data.
        self.special_rows: Callable[[str], list[str] | None] = lambda _: None
        self.slots = asyncio.Semaphore(group.slots)
        self.received = asyncio.Event()
        group.add(self)

    @property
    def leads(self) -> bool:
        """Whether it is the primary."""
        return self.group.primary is self

    async def start(self) -> None:
        """Listen for connections."""
        await asyncio.start_server(self._serve, self.host, self.port, limit=LINE_LIMIT, backlog=128)

    def receive(self) -> None:
        """Receive what the primary has committed, some time from now."""
        asyncio.get_running_loop().call_later(self.receive_s, self._receive_now)

    def _receive_now(self) -> None:
        primary = self.group.primary
        if self.leads or self.dark or self.deaf or self.paused_term > self.group.term:
            return
        assert primary is not None
        if primary.dark:
            return
        self.log = [*primary.log]
        size = len(self.log)
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, size)
        self.received.set()
        self.received = asyncio.Event()

    def _apply(self, size: int) -> None:
        self.applied = max(self.applied, min(size, len(self.log)))

    def position(self) -> str:
        """Return the position of the last commit that it applied."""
        return _position(self.log[: self.applied])

    def value(self, item: str) -> str:
        """Return the data of an item, '-' if there is none."""
        for commit in reversed(self.log[: self.applied]):
            for name, data, _ in reversed(commit.writes):
                if name == item:
                    return data
        return '-'

    def has(self, position: str) -> bool:
        """Return whether its applied log contains a position."""
        term, _, number = position.partition('.')
        wanted = int(term), int(number)
        return wanted[1] == 0 or any((c.term, c.number) == wanted for c in self.log[: self.applied])

    async def commit(self, writes: tuple[tuple[str, str, str], ...]) -> bool:
        """Commit as the primary; return whether it may be acknowledged."""
        group = self.group
        entry = Commit(group.term, len(self.log) + 1, writes)
        self.log.append(entry)
        self.applied = len(self.log)
        others = [each for each in group.members.values() if each is not self]
        for each in others:
            each.receive()
        while group.sync_replicas and not any(entry in each.log[-50:] for each in others):
            if not self.leads:
                return False
            waits = [asyncio.ensure_future(each.received.wait()) for each in others]
            await asyncio.wait(waits, timeout=0.02, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()
            if self.leads:
                for each in others:
                    each.receive()
        return self.leads

    async def lit(self) -> None:
        """Wait until it answers again."""
        while self.dark:
            await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            await _Connection(self, reader, writer).run()
        self.connections -= 1
        writer.close()


class _Connection:
    def __init__(
        self, member: Member, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._member, self._reader, self._writer = member, reader, writer
        self._state, self._plain = 'I', False
        self._writes: list[tuple[str, str, str]] = []
        self._prepared: dict[str, str] = {}
        self._values: dict[str, str] = {}

    async def run(self) -> None:
        member, group = self._member, self._member.group
        word, *fields = (await self._read()).split(' ')
        await member.lit()
        expected = fields[2] if len(fields) > 2 else member.id
        if word != 'START' or fields[0] != group.name or expected != member.id:
            self._send(f'ERR WRONGNODE {member.id}')
            return
        if member.connections > group.max_conns:
            self._send(f'ERR TOOMANY {member.id}')
            return
        async with member.slots:
            await asyncio.sleep(group.connect_s)
        self._send(self._ready())
        while True:
            line = await self._read()
            await member.lit()
            word, _, rest = line.partition(' ')
            if word != 'QUERY':
                return
            statement_id, _, text = rest.partition(' ')
            answer = await self._answer(statement_id, text)
            await member.lit()
            if answer is None:
                return
            self._send(*answer, self._ready())
            await self._writer.drain()

    async def _read(self) -> str:
        return (await self._reader.readuntil(END))[: -len(END)].decode('latin-1')

    def _send(self, *lines: str) -> None:
        self._writer.write(b''.join(line.encode('latin-1') + END for line in lines))

    def _ready(self) -> str:
        return f'READY {self._state} {self._member.position()}'

    async def _answer(self, statement_id: str, text: str) -> list[str] | None:
        member = self._member
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            if not member.has(position):
                return [f'ERR LAGGING {member.id}']
        verb, _, rest = text.partition(' ')
        if verb in ('STATUS', 'PAUSE', 'RESUME'):
            return self._control(verb, rest)
        if verb in ('RESET', 'SET', 'PREPARE', 'DEALLOC'):
            return self._change_session(verb, rest)
        if verb == 'ROLLBACK':
            self._end()
            return ['DONE -']
        if verb == 'BEGIN':
            return self._begin(rest)
        if verb == 'EXEC':
            name, _, rest = rest.partition(' ')
            if name not in self._prepared:
                return [f'ERR NOSTMT {member.id}']
            verb = self._prepared[name].partition(' ')[0]
        return await self._run(statement_id, text, verb, rest)

    def _change_session(self, verb: str, rest: str) -> list[str]:
        name, _, value = rest.partition(' ')
        if verb == 'RESET':
            self._prepared.clear()
            self._values.clear()
        elif verb == 'SET':
            self._values[name] = value
        elif verb == 'PREPARE':
            self._prepared[name] = value
        else:
            self._prepared.pop(name, None)
        return ['DONE -']

    def _control(self, verb: str, rest: str) -> list[str]:
        member, group = self._member, self._member.group
        if verb == 'PAUSE' and not member.leads:
            if int(rest) <= group.term:
                return ['ERR MALFORMED not a newer term']
            member.paused_term = int(rest)
        if verb == 'RESUME':
            member.paused_term = 0
            member.receive()
        role = 'primary' if member.leads else 'replica'
        fields = (role, group.term, _position(member.log), member.paused_term, 0, 0, 1)
        return ['ROW ' + ' '.join(map(str, fields)), 'DONE -']

    def _begin(self, rest: str) -> list[str]:
        if rest != 'READ' and not self._member.leads:
            return [f'ERR READONLY {self._member.id}']
        self._state, self._plain = 'T', rest != 'READ'
        return ['DONE -']

    async def _run(self, statement_id: str, text: str, verb: str, rest: str) -> list[str] | None:
        member, group = self._member, self._member.group
        if self._state == 'E':
            return ['ERR MALFORMED the transaction has failed']
        async with member.slots:
            await asyncio.sleep(group.work_s)
        ends_empty = verb == 'COMMIT' and not self._writes
        if (self._plain or verb == 'WRITE') and not member.leads and not ends_empty:
            self._state = 'E' if self._state == 'T' else 'I'
            return [f'ERR READONLY {member.id}']
        receipt = f'{member.id}.{next(group.receipts)}'
        values = dict(self._values)
        member.executed.append(Execution(time.monotonic(), statement_id, text, receipt, values))
        rows: list[str] = []
        if verb == 'READ':
            rows = member.special_rows(rest) or [member.value(rest)]
        if verb == 'WRITE':
            item, _, data = rest.partition(' ')
            self._writes.append((item, data, statement_id))
        if verb == 'COMMIT' or (verb == 'WRITE' and self._state == 'I'):
            writes = tuple(self._writes)
            self._end()
            if writes and not await member.commit(writes):
                return None
        return [*(f'ROW {row}' for row in rows), f'DONE {receipt}']

    def _end(self) -> None:
        self._state, self._plain = 'I', False
        self._writes.clear()


def _position(log: list[Commit]) -> str:
    return f'{log[-1].term}.{log[-1].number}' if log else '1.0'
