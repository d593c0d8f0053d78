"""Connection pool of one instance for one member."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from godwitthread.core.scheduling.connection_limit import ConnectionLimit
from godwitthread.core.scheduling.idle_connections import IdleConnections, over_share
from godwitthread.core.statements import Refusal, TxState
from godwitthread.gateway.ports import NotConnectedError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Member
    from godwitthread.core.statements import Reply
    from godwitthread.gateway.ports import Connection

#: Connections per slot that are left unused below the limit. A member keeps the connections of
#: an instance that lost power for 3 s. Meanwhile the next owner needs, for each slot, one
#: connection that runs a statement, one that waits for the slot, and one in an idle transaction.
#: With 10 transactions of 1 s per second at a member of 4 slots, all were in time with 3 per slot,
#: 0.60 with 2 and 0.37 with 1.
SPARE_PER_SLOT = 3


class MemberPool:
    """Pool of connections to one member; each belongs to one organisation.

    A statement reserves a connection before it is sent to the member, and waits for that in the
    queue of its group, without a slot of the member. Only requests of the gateway itself wait here.
    """

    def __init__(
        self,
        member: Member,
        limit: int,
        clock: Clock,
        connect: Callable[[Member, str], tuple[Connection, Reply]],
        on_open: Callable[[str, Reply, int], None],
    ) -> None:
        self.member = member
        #: Number of connections that the member accepts, including those being opened.
        self.accepted = ConnectionLimit(limit)
        #: How often organisations use the member.
        self.uses = IdleConnections()
        #: Whether released connections are closed instead of pooled.
        self.closing = False
        #: Organisation that acquired a connection last.
        self.last_organisation: str | None = None
        #: Time at which connection attempts began to fail, in ms; 0 while they succeed.
        self.refused_since_ms = 0
        self._clock = clock
        self._connect = connect
        self._on_open = on_open
        self._idle: list[Connection] = []
        self._in_use: set[Connection] = set()
        self._opening = 0
        #: Connections reserved for statements that were assigned to the member.
        self._reserved: Counter[str] = Counter()
        #: Requests of the gateway itself that wait for a connection.
        self._waiting: deque[tuple[str, eventlet.event.Event]] = deque()

    @property
    def total(self) -> int:
        """Return the number of open and opening connections."""
        return len(self._idle) + len(self._in_use) + self._opening

    def set_limit(self, limit: int) -> None:
        """Apply the limit of the configuration."""
        self.accepted.configured = limit

    def has_room(self) -> bool:
        """Return whether a connection of any organisation can be had now.

        An idle connection of another organisation is closed if necessary.
        """
        return self._used() + len(self._waiting) < self.accepted.current(self._clock.now_ms())

    def next_room_ms(self) -> int | None:
        """Return when there may be room although no connection is released, None if never."""
        return self.accepted.next_probe_ms(self._clock.now_ms())

    def reserve(self, organisation: str) -> None:
        """Reserve a connection for a statement, which then acquires it without waiting."""
        self._reserved[organisation] += 1

    def acquire_reserved(self, organisation: str, values: dict[str, str]) -> Connection:
        """Return the reserved connection, preferably one that has the session values set.

        Raise NotConnectedError.
        """
        self._reserved[organisation] -= 1
        if self._reserved[organisation] <= 0:
            del self._reserved[organisation]
        self.last_organisation = organisation
        self.uses.record_use(self._clock.now_ms(), organisation)
        conn = self._take_idle(organisation, values)
        if conn is not None:
            return conn
        limit = self.accepted.current(self._clock.now_ms())
        if self.total < limit or self._close_one_idle():
            return self._open(organisation)
        raise NotConnectedError(Refusal.TOO_MANY, 'the member accepts no further connection')

    def acquire(self, organisation: str, values: dict[str, str], timeout_ms: int) -> Connection:
        """Return a connection for a request of the gateway itself, which precedes statements.

        Raise NotConnectedError.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        while not self._reserve_now(organisation):
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                raise NotConnectedError(
                    Refusal.TOO_MANY, 'the connection limit of the member is reached'
                )
            if self._wait_for_reservation(organisation, left_ms):
                break
        return self.acquire_reserved(organisation, values)

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool; close it if it is inside a transaction."""
        own = conn in self._in_use
        self._in_use.discard(conn)
        self._serve_waiting()
        if conn.closed:
            return
        # A connection of another pool leads to the process that had the member's name before.
        if not own or self.closing or conn.state is not TxState.IDLE:
            conn.close()
            return
        conn.used_ms = self._clock.now_ms()
        self._idle.append(conn)
        spare = SPARE_PER_SLOT * self.member.slots
        if self.total > max(self.member.slots, self.accepted.configured - spare):
            self._close_one_idle()

    def has_idle(self, organisation: str) -> bool:
        """Return whether an organisation has an idle connection that is not reserved."""
        idle = sum(conn.organisation == organisation for conn in self._idle)
        return idle > self._reserved[organisation]

    def over_share(self) -> set[str]:
        """Return the organisations that hold more than their share in open transactions.

        None does while more than one connection can be had, as after a release.
        """
        if self._used() + 1 < self.accepted.accepted:
            return set()
        held = Counter(c.organisation for c in self._in_use if c.state is not TxState.IDLE)
        return over_share(held, self.accepted.accepted)

    def any_organisation(self) -> str | None:
        """Return an organisation with a connection, preferably idle, else the last one."""
        conn = next(iter([*self._idle, *self._in_use]), None)
        return conn.organisation if conn else self.last_organisation

    def close_idle(self) -> None:
        """Close every idle connection, and the ones in use when they are released."""
        self.closing = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def allow_idle(self) -> None:
        """Pool released connections again."""
        self.closing = False

    def _take_idle(self, organisation: str, values: dict[str, str]) -> Connection | None:
        own = [conn for conn in self._idle if conn.organisation == organisation]
        for conn in [conn for conn in own if not conn.alive()]:
            own.remove(conn)
            self._idle.remove(conn)
        if not own:
            return None
        conn = next((conn for conn in reversed(own) if conn.values == values), own[-1])
        self._idle.remove(conn)
        self._in_use.add(conn)
        return conn

    def _used(self) -> int:
        return len(self._in_use) + self._opening + self._reserved.total()

    def _reserve_now(self, organisation: str) -> bool:
        if self._used() >= self.accepted.current(self._clock.now_ms()):
            return False
        self.reserve(organisation)
        return True

    def _wait_for_reservation(self, organisation: str, timeout_ms: int) -> bool:
        """Wait until a connection was released and reserved; also end when one may be tried."""
        probe_ms = self.next_room_ms()
        if probe_ms is not None:
            timeout_ms = min(timeout_ms, probe_ms - self._clock.now_ms())
        waiting = organisation, eventlet.event.Event()
        self._waiting.append(waiting)
        with eventlet.Timeout(max(1, timeout_ms) / 1000, False):
            waiting[1].wait()
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            return False
        return True

    def _serve_waiting(self) -> None:
        while self._waiting and self._reserve_now(self._waiting[0][0]):
            self._waiting.popleft()[1].send()

    def _close_one_idle(self) -> bool:
        """Close an idle connection that is not reserved; return False if there is none."""
        idle = Counter(conn.organisation for conn in self._idle)
        closable = {name: count for name, count in idle.items() if count > self._reserved[name]}
        organisation = self.uses.choose(self._clock.now_ms(), closable)
        if organisation is None:
            return False
        own = (conn for conn in self._idle if conn.organisation == organisation)
        oldest = min(own, key=lambda conn: conn.used_ms)
        self._idle.remove(oldest)
        oldest.close()
        return True

    def _open(self, organisation: str) -> Connection:
        self._opening += 1
        begun_ms = self._clock.now_ms()
        try:
            conn, reply = self._connect(self.member, organisation)
            self._in_use.add(conn)
        except NotConnectedError as exc:
            self._record_not_opened(exc.refusal)
            raise
        finally:
            self._opening -= 1
            self._serve_waiting()
        self.refused_since_ms = 0
        conn.used_ms = self._clock.now_ms()
        self.accepted.record_opened(conn.used_ms, len(self._idle) + len(self._in_use))
        self._on_open(self.member.id, reply, conn.used_ms - begun_ms)
        return conn

    def _record_not_opened(self, refusal: Refusal) -> None:
        now_ms = self._clock.now_ms()
        if refusal is Refusal.TOO_MANY:
            self.accepted.record_refused(now_ms, len(self._idle) + len(self._in_use))
        gone = refusal in (Refusal.UNREACHABLE, Refusal.WRONG_MEMBER)
        if gone and not self.refused_since_ms:
            self.refused_since_ms = now_ms
