"""Database group of the stand-in: replication, quorum commit and control."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.clock import Clock
from godwitthread.loop import eventlet
from godwitthread.standin.faults import FAULTS
from godwitthread.standin.member import LogRecord, Member, MemberSettings, ReplicaProgress
from godwitthread.standin.server import MemberServer
from godwitthread.types import MemberSpec, Position

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from godwitthread.standin import store
    from godwitthread.standin.store import Statement

#: Interval of heartbeats and replication retries, in ms.
TICK_MS = 20


class GroupSettings(NamedTuple):
    """Settings of one database group."""

    database: str
    members: tuple[MemberSettings, ...]
    #: Connections that each member accepts, control connections included.
    connection_limit: int = 30
    #: Simulated time to open a connection, in ms.
    setup_ms: int = 0
    #: Delay before a replica applies received log records, in ms.
    lag_ms: int = 0
    #: One-way latency between members, in ms.
    link_ms: float = 0
    lock_timeout_ms: int = 2_000
    #: Password for cleartext authentication; None accepts every client without one.
    password: str | None = None


class Group:
    """Run the members of one database in this process."""

    def __init__(self, settings: GroupSettings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        #: Every write transaction that a primary executed, including those truncated later.
        self.executed: list[LogRecord] = []
        #: Callback for every injected fault, with its name and parameters.
        self.on_fault: Callable[[str, dict[str, Any]], None] = lambda name, params: None
        self._members = {entry.name: Member(entry, settings.lag_ms) for entry in settings.members}
        self._servers = {name: MemberServer(self, member) for name, member in self._members.items()}
        self._required_acknowledgements = len(self._members) // 2
        self._transactions = 0
        self._ticker: Any = None
        first, *rest = self._members.values()
        first.become_primary()
        for member in rest:
            member.following = (first.name, first.term)

    def start(self) -> None:
        """Listen on the address of every member and start replication."""
        for server in self._servers.values():
            server.start()
        self._ticker = eventlet.spawn(self._tick_forever)

    def stop(self) -> None:
        """Close every connection and listener."""
        if self._ticker is not None:
            self._ticker.kill()
        for server in self._servers.values():
            server.stop()

    def member(self, name: str) -> Member:
        """Return a member by name; raise KeyError."""
        return self._members[name]

    def members(self) -> list[Member]:
        """Return all members in the order of the settings."""
        return list(self._members.values())

    def primary(self) -> Member | None:
        """Return the primary of the highest term, or None."""
        primaries = [entry for entry in self._members.values() if entry.role == 'primary']
        return max(primaries, key=lambda entry: entry.term, default=None)

    def specs(self) -> tuple[MemberSpec, ...]:
        """Return the specifications of the members with their actual ports."""
        return tuple(
            MemberSpec(
                name, member.settings.host, self._servers[name].port, member.settings.failure_domain
            )
            for name, member in self._members.items()
        )

    def surviving(self) -> list[LogRecord]:
        """Return the write transactions in the log of the primary of the highest term."""
        primary = self.primary()
        return list(primary.log) if primary else []

    def set_fault(self, name: str, **params: Any) -> None:
        """Inject a fault.

        Raise KeyError for an unknown name, TypeError for parameters that it does not take.
        """
        FAULTS[name](self, **params)
        self.on_fault(name, params)

    def kill(self, name: str) -> None:
        """Stop a member and close its connections; its persisted state is kept."""
        member = self._members[name]
        member.alive = False
        member.pending.clear()
        self._servers[name].stop()
        member.abort_commits()

    def restart(self, name: str) -> None:
        """Restart a killed member in its previous role."""
        member = self._members[name]
        member.alive = True
        if member.role == 'primary':
            member.replicas = {}
            member.open_writer()
        self._servers[name].start()

    def execute(self, member: Member, sql: str, params: dict[str, Any]) -> store.Rows:
        """Run a control function of a member; raise SqlError."""
        return self._servers[member.name].control.run(sql, params)

    def next_transaction(self) -> int:
        """Return a new transaction id."""
        self._transactions += 1
        return self._transactions

    def commit(
        self, member: Member, statements: Sequence[Statement]
    ) -> Callable[[], Position | None]:
        """Append a write transaction to the log; return a function that waits for the quorum.

        That function returns None if the outcome is unknown because the member stopped
        being primary before the quorum confirmed the transaction.
        """
        record = member.append(self.next_transaction(), statements)
        self.executed.append(record)
        event = eventlet.event.Event()
        member.commit_waiters.append((record.end, event))
        self.replicate(member)
        position = Position(record.term, record.end)
        return lambda: position if event.wait() else None

    def replicate(self, primary: Member) -> None:
        """Send the log of a primary to every replica that follows it."""
        if self._required_acknowledgements == 0:
            primary.confirm(0)
        for replica in self._members.values():
            if not self._follows(replica, primary):
                continue
            count = len(primary.log)
            self._after_link_delay(self._deliver, primary, replica, primary.term, count)

    def catch_up(self, replica: Member) -> None:
        """Replicate to a replica from the primary that it now follows."""
        primary = self._members.get(replica.following[0])
        if primary is not None and primary.running:
            self.replicate(primary)

    def drop_clients(self, member: Member) -> None:
        """Close the connections of a member except control connections."""
        self._servers[member.name].drop_clients()

    def connections(self, member: Member) -> int:
        """Return the number of open connections of a member."""
        return self._servers[member.name].connection_count

    def _after_link_delay(self, action: Callable[..., None], *args: Any) -> None:
        if self.settings.link_ms:
            eventlet.spawn_after(self.settings.link_ms / 1000, action, *args)
        else:
            action(*args)

    def _follows(self, replica: Member, primary: Member) -> bool:
        return (
            replica is not primary
            and primary.writable
            and replica.role == 'replica'
            and replica.following == (primary.name, primary.term)
            and replica.promised.term <= primary.term
            and self._can_communicate(replica, primary)
        )

    def _can_communicate(self, first: Member, second: Member) -> bool:
        pair = (first, second)
        return all(entry.running and not entry.faults.cut_members for entry in pair)

    def _deliver(self, primary: Member, replica: Member, term: int, count: int) -> None:
        # Checked again on arrival, because a promise made while the message was in
        # transit ends the old term.
        if primary.term != term or not self._follows(replica, primary):
            return
        if replica.term == term and count < len(replica.log):
            return
        replica.receive(primary.history, primary.log, count, self.clock.now_ms())
        progress = ReplicaProgress(replica.end, replica.applied_end, replica.fresh_ms)
        self._after_link_delay(self._acknowledge, primary, replica, term, progress)

    def _acknowledge(
        self, primary: Member, replica: Member, term: int, progress: ReplicaProgress
    ) -> None:
        if primary.term == term and self._can_communicate(replica, primary):
            primary.replicas[replica.name] = progress
            primary.confirm(self._required_acknowledgements)

    def _tick_forever(self) -> None:
        while True:
            eventlet.sleep(TICK_MS / 1000)
            for member in self._members.values():
                if not member.running:
                    continue
                if member.role == 'primary':
                    self.replicate(member)
                else:
                    member.apply_due(self.clock.now_ms())
