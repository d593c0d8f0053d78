"""Stand-in for a replication group whose members use the line protocol."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.loop import eventlet
from godwitthread.sockets import configure, listen, shutdown_socket
from godwitthread.standin.line_connection import Connection
from godwitthread.types import Position

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterator

    from godwitthread.address import Address
    from godwitthread.standin.line_connection import Execution

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
        #: Probability that a statement is refused as BUSY.
        self.busy_share = 0.0
        #: Probability that a statement is executed without an answer, or with a part of it.
        self.lost_answer_share = 0.0
        #: Probability that an answer is sent a second time.
        self.repeated_answer_share = 0.0
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
        return next(self.values(item), '')

    def values(self, item: str) -> Iterator[str]:
        """Yield the data of an item in the applied commits, the newest first."""
        for commit in reversed(self.log[: self.applied]):
            for name, data, _ in reversed(commit.writes):
                if name == item:
                    yield data

    def _serve(self, sock: Any) -> None:
        self._sockets.add(sock)
        self.connections += 1
        try:
            Connection(self, sock).run()
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
        self.executed: list[Execution] = []
        #: Maximum number of rows of a read, which are the last values of an item.
        self.rows_per_read = 1
        #: Number of answers that were sent a second time.
        self.repeated = 0
        #: Callback for members whose entry in the store must be updated.
        self.on_change: Callable[[LineMember], None] = lambda _: None
        self.now_ms = now_ms
        self.random = random.Random(seed)
        self.receipts = itertools.count(1)
        self.connection_numbers = itertools.count(1)
        self.transactions = itertools.count(1)

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
