"""Connection pool of one instance for one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.statements import Refusal, TxState
from godwitthread.gateway.ports import NotConnectedError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Member
    from godwitthread.core.statements import Reply
    from godwitthread.gateway.ports import Connection

#: Interval at which a statement checks for a free connection, in ms.
POOL_CHECK_MS = 20
#: Connections per slot that are left unused below the limit. A member keeps the connections of
#: an instance that lost power for 3 s. Meanwhile the next owner needs, for each slot, one
#: connection that runs a statement, one that waits for the slot, and one in an idle transaction.
SPARE_PER_SLOT = 3


class MemberPool:
    """Pool of connections to one member; each belongs to one organisation."""

    def __init__(
        self,
        member: Member,
        limit: int,
        clock: Clock,
        connect: Callable[[Member, str], tuple[Connection, Reply]],
        on_open: Callable[[str, Reply, int], None],
    ) -> None:
        self.member = member
        #: Maximum number of connections, including those being opened.
        self.limit = limit
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

    @property
    def total(self) -> int:
        """Return the number of open and opening connections."""
        return len(self._idle) + len(self._in_use) + self._opening

    def acquire(self, organisation: str, values: dict[str, str], timeout_ms: int) -> Connection:
        """Return a connection, preferably one that has the session values set.

        Raise NotConnectedError.
        """
        end_ms = self._clock.now_ms() + timeout_ms
        self.last_organisation = organisation
        while True:
            conn = self._take_idle(organisation, values)
            if conn is not None:
                return conn
            if self.total < self.limit or self._close_one_idle():
                return self._open(organisation)
            if self._clock.now_ms() >= end_ms:
                raise NotConnectedError(
                    Refusal.TOO_MANY, 'the connection limit of the member is reached'
                )
            eventlet.sleep(POOL_CHECK_MS / 1000)

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool; close it if it is inside a transaction."""
        self._in_use.discard(conn)
        if conn.closed:
            return
        if self.closing or conn.state is not TxState.IDLE:
            conn.close()
            return
        conn.used_ms = self._clock.now_ms()
        self._idle.append(conn)
        if self.total > max(self.member.slots, self.limit - SPARE_PER_SLOT * self.member.slots):
            self._close_one_idle()

    def has_idle(self, organisation: str) -> bool:
        """Return whether an organisation has an idle connection."""
        return any(conn.organisation == organisation for conn in self._idle)

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

    def _close_one_idle(self) -> bool:
        if not self._idle:
            return False
        oldest = min(self._idle, key=lambda conn: conn.used_ms)
        self._idle.remove(oldest)
        oldest.close()
        return True

    def _open(self, organisation: str) -> Connection:
        self._opening += 1
        begun_ms = self._clock.now_ms()
        try:
            conn, reply = self._connect(self.member, organisation)
        except NotConnectedError as exc:
            gone = exc.refusal in (Refusal.UNREACHABLE, Refusal.WRONG_MEMBER)
            if gone and not self.refused_since_ms:
                self.refused_since_ms = self._clock.now_ms()
            raise
        finally:
            self._opening -= 1
        self.refused_since_ms = 0
        conn.used_ms = self._clock.now_ms()
        self._in_use.add(conn)
        self._on_open(self.member.id, reply, conn.used_ms - begun_ms)
        return conn
