"""In-memory members and builders of test data for the tests of the gateway."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Configuration, Group, Member, Organisation, Route
from godwitthread.core.statements import (
    Action,
    Consistency,
    Refusal,
    Reply,
    RunRequest,
    TxState,
)
from godwitthread.core.write_authority import Succession
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.gateway.groups.group_runner import GroupRunner
from godwitthread.gateway.logs import Log
from godwitthread.gateway.ports import (
    MemberStatus,
    NotConnectedError,
    Ports,
    PromotionResult,
    Schema,
)
from godwitthread.types import Position

GROUP = Group('orders', 16, 0.0)


class Entry(NamedTuple):
    """Statement that a member executed."""

    member: str
    organisation: str
    statement_id: str
    text: str
    #: State of the connection before the statement.
    state: TxState
    values: dict[str, str]


class FakeGroup:
    """Members that share one log; replicas apply commits only in `catch_up`."""

    def __init__(self, count: int = 3) -> None:
        self.names = [f'm{number}' for number in range(count)]
        self.primary = 'm0'
        self.term = 1
        self.applied = {name: Position(1, 10) for name in self.names}
        self.ran: list[Entry] = []
        #: Refusals of the next statement whose text has the prefix.
        self.script: list[tuple[str, Refusal]] = []
        self.unreachable: set[str] = set()
        #: Term for which a replica is paused, by name.
        self.paused: dict[str, int] = {}
        #: Former primaries that do not know of their replacement and go on.
        self.unaware: set[str] = set()
        self.connections: list[FakeConnection] = []

    def promote(self, name: str) -> None:
        """Make a member the primary of the next term."""
        self.term += 1
        self.primary = name
        self.applied[name] = Position(self.term, self.applied[name].offset + 1)

    def commit(self) -> Position:
        """Append a commit at the primary."""
        last = self.applied[self.primary]
        self.applied[self.primary] = Position(self.term, last.offset + 1)
        return self.applied[self.primary]

    def catch_up(self) -> None:
        """Make every replica apply the log of the primary."""
        for name in self.names:
            self.applied[name] = self.applied[self.primary]

    def connect(self, member: Member, organisation: str) -> tuple[FakeConnection, Reply]:
        """Open a connection; raise NotConnectedError."""
        if member.id in self.unreachable:
            raise NotConnectedError(Refusal.UNREACHABLE, 'cut')
        conn = FakeConnection(self, member.id, organisation)
        self.connections.append(conn)
        return conn, Reply(position=self.applied[member.id])

    def leads(self, name: str) -> bool:
        """Return whether a member acts as the primary."""
        return name == self.primary or name in self.unaware

    def texts(self) -> list[str]:
        """Return the texts of the callers' statements that were executed."""
        return [entry.text for entry in self.ran]


class FakeConnection:
    """Connection to a member of a fake group."""

    def __init__(self, group: FakeGroup, member: str, organisation: str) -> None:
        self.group = group
        self.member = member
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.closed = False
        self.state = TxState.IDLE
        self.used_ms = 0
        self._on_primary = False
        self._wrote = False
        self.resets = 0

    def alive(self) -> bool:
        return not self.closed

    def run(self, statement_id, text, timeout_ms, after=None):
        if self.closed:
            return Reply(refusal=Refusal.LOST)
        scripted = self._scripted(text)
        if scripted is Refusal.LOST:
            self.close()
            return Reply(refusal=Refusal.LOST)
        if scripted is not None:
            return self._reply(refusal=scripted)
        if after is not None and self.group.applied[self.member] < after:
            return self._reply(refusal=Refusal.BEHIND)
        if self._on_primary and not self.group.leads(self.member):
            self.state = TxState.FAILED
            return self._reply(refusal=Refusal.READ_ONLY)
        writes = text.startswith(('WRITE', 'EXEC gw'))
        if writes and not self.group.leads(self.member):
            return self._reply(refusal=Refusal.READ_ONLY)
        self.group.ran.append(
            Entry(self.member, self.organisation, statement_id, text, self.state, dict(self.values))
        )
        self._wrote = self._wrote or writes
        if (writes and self.state is TxState.IDLE) or (text == 'COMMIT' and self._wrote):
            self.group.commit()
        if text == 'COMMIT':
            self._end()
        return self._reply(rows=('row',), receipt=f'receipt-{self.member}')

    def execute(self, statement_id, name, arguments, timeout_ms, after=None):
        if name not in self.prepared:
            return self._reply(refusal=Refusal.UNPREPARED)
        return self.run(statement_id, f'EXEC {name} {arguments}', timeout_ms, after)

    def reset(self, timeout_ms):
        self.resets += 1
        return True

    def set_value(self, name, value, timeout_ms):
        return True

    def prepare(self, name, prepared, timeout_ms):
        return True

    def begin(self, read_only, after, timeout_ms):
        scripted = self._scripted('BEGIN')
        if scripted is not None:
            return self._reply(refusal=scripted)
        if not read_only and not self.group.leads(self.member):
            return self._reply(refusal=Refusal.READ_ONLY)
        if after is not None and self.group.applied[self.member] < after:
            return self._reply(refusal=Refusal.BEHIND)
        self.state, self._on_primary, self._wrote = TxState.OPEN, not read_only, False
        return self._reply(receipt='-')

    def rollback(self, timeout_ms):
        self._end()
        return self._reply(receipt='-')

    def status(self, timeout_ms):
        primary = self.member == self.group.primary
        held = self.group.paused.get(self.member, 0)
        return MemberStatus(primary, self.group.term, self.group.applied[self.member], held)

    def pause(self, term, timeout_ms):
        assert term > self.group.term
        self.group.paused[self.member] = term
        return self.status(timeout_ms)

    def resume(self, timeout_ms):
        self.group.paused.pop(self.member, None)
        return self.status(timeout_ms)

    def close(self):
        self.closed = True

    def _end(self) -> None:
        self.state, self._on_primary = TxState.IDLE, False

    def _scripted(self, text: str) -> Refusal | None:
        for index, (prefix, refusal) in enumerate(self.group.script):
            if text.startswith(prefix):
                del self.group.script[index]
                return refusal
        return None

    def _reply(self, rows=(), receipt='', refusal=None) -> Reply:
        return Reply(
            rows, receipt, refusal, state=self.state, position=self.group.applied[self.member]
        )


class FakeLease:
    """Authority to use the primary of a group, as a test sets it."""

    def __init__(self) -> None:
        self.valid = True
        self.exclusive_granted = True
        self.succession = Succession()

    def is_valid(self) -> bool:
        return self.valid

    def acquire_exclusive(self, member: str) -> bool:
        self.succession = Succession(self.succession.number + 1, False, member)
        return self.exclusive_granted

    def end_exclusive(self, primary: str | None) -> None:
        if primary is not None:
            self.succession = Succession(self.succession.number, True, primary)


def quiet_log(clock: Clock) -> Log:
    """Build a log that writes to an event log in memory."""
    return Log(EventLog({'instance': 'a'}, HybridLogicalClock(clock.wall_ms)), clock)


def member(name: str, *, primary: bool = False, draining: bool = False, domain: str = 'd1'):
    """Build the store entry of a member."""
    return Member(name, GROUP.name, Address('10.0.0.1', 80), domain, 2, draining, primary, 0, 1)


def members(group: FakeGroup) -> dict[str, Member]:
    """Build the store entries of the members of a fake group."""
    return {
        name: member(name, primary=name == group.primary, domain=f'd{index}')
        for index, name in enumerate(group.names)
    }


def ports(group: FakeGroup, promotions: list[PromotionResult] | None = None) -> Ports:
    """Build ports that connect to a fake group."""

    def promote(group_name, member_id, holder, token, timeout_ms) -> PromotionResult:
        return (promotions or [PromotionResult(True, True)]).pop(0)

    schema = Schema('op', 'servers', 'config', 'evacuate/', lambda _: None, lambda _, __: None)
    return Ports(group.connect, lambda: None, schema, promote)


def runner(
    group: FakeGroup,
    admit=lambda organisation, wait_ms, hold_ms: 0,
    settings: Group = GROUP,
) -> GroupRunner:
    """Build a runner with the members of a fake group."""
    clock = Clock()
    log = quiet_log(clock)
    made = GroupRunner(GROUP.name, clock, ports(group), log, admit, FakeLease())
    made.update(settings, members(group), set(), 3_000)
    return made


def request(text: str, action: Action = Action.SINGLE, **changes) -> RunRequest:
    """Build the request of a statement for the owner of a group."""
    req = RunRequest(
        action=action,
        session=1,
        group=GROUP.name,
        organisation='drivers',
        statement_id='q1',
        text=text,
        writes=text.startswith('WRITE'),
        first=True,
        consistency=Consistency.SESSION,
        max_age_ms=2_500,
        remaining_ms=800,
        objective_ms=200,
    )
    return req._replace(**changes)


def route(database: str = 'orders-db', **changes) -> Route:
    """Build a route."""
    return Route(database, GROUP.name, Consistency.SESSION, 2_500, 800, 200, 1, False)._replace(
        **changes
    )


def configuration(version: int = 1, keys: tuple[str, ...] = ('k1',), **changes) -> Configuration:
    """Build a configuration with one organisation."""
    owner = Organisation('drivers', 10.0, 10.0)
    cfg = Configuration(
        version, {'orders-db': route()}, dict.fromkeys(keys, owner), {GROUP.name: GROUP}, 3_000
    )
    return cfg._replace(**changes)
