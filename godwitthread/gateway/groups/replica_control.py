"""Status queries and pausing of the replicas of one group during a failover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.primary_replacement import Candidate
from godwitthread.gateway.ports import NotConnectedError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.gateway.groups.group_runner import GroupRunner
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Connection, MemberStatus

    #: Sends a command to a member over a connection and returns the status in its answer.
    MemberQuery = Callable[[Connection], MemberStatus | None]

#: Time limit of a status query to a member, in ms.
STATUS_TIMEOUT_MS = 300


class ReplicaControl:
    """Query the received positions of replicas, and pause or resume their replication.

    In a group with synchronous replication, a commit may be acknowledged while the positions
    of the replicas are compared. Replicas that are paused first receive nothing more, so the
    one with the newest position holds every acknowledged commit.
    """

    def __init__(self, runner: GroupRunner, log: Log) -> None:
        self._runner = runner
        self._log = log
        self._paused: set[str] = set()

    def others(self) -> list[str]:
        """Return the members of the group except the last known primary."""
        return [each for each in self._runner.members if each != self._runner.last_primary]

    def query_positions(self) -> list[Candidate]:
        """Return the received positions of the members except the last known primary."""
        pool = eventlet.GreenPool()
        return list(pool.imap(self._query_position, self.others()))

    def pause(self, names: list[str]) -> list[Candidate]:
        """Pause the replication of members, and return the positions at which they stopped."""
        pool = eventlet.GreenPool()
        return list(pool.imap(self._pause_one, names))

    def resume(self) -> None:
        """Resume the replication of the members that this object paused."""
        for member_id in list(self._paused):
            eventlet.spawn_n(self._resume_one, member_id)

    def resume_orphaned(self) -> None:
        """Resume the replication of members that a former owner paused."""
        for member_id in self.others():
            status = self._ask(member_id, lambda conn: conn.status(STATUS_TIMEOUT_MS))
            if status is not None and status.paused_term > status.term:
                self._resume_one(member_id)

    def _query_position(self, member_id: str) -> Candidate:
        state = self._runner.dispatcher.members.get(member_id)
        status = self._ask(member_id, lambda conn: conn.status(STATUS_TIMEOUT_MS))
        if status is None or state is None:
            return Candidate(member_id, None, usable=False)
        return Candidate(member_id, status.received, usable=state.usable)

    def _pause_one(self, member_id: str) -> Candidate:
        state = self._runner.dispatcher.members.get(member_id)
        # The member may execute the command even if its answer is lost.
        self._paused.add(member_id)
        status = self._ask(member_id, self._pause_for_next_term)
        if status is None or state is None:
            return Candidate(member_id, None, usable=False)
        return Candidate(member_id, status.received, usable=state.usable)

    def _pause_for_next_term(self, conn: Connection) -> MemberStatus | None:
        status = conn.status(STATUS_TIMEOUT_MS)
        if status is None or status.primary:
            # A primary does not receive from other members.
            return status
        newest = self._runner.evidence.newest
        term = max(status.term, status.paused_term, newest.term if newest else 0) + 1
        return conn.pause(term, STATUS_TIMEOUT_MS)

    def _resume_one(self, member_id: str) -> None:
        status = self._ask(member_id, lambda conn: conn.resume(STATUS_TIMEOUT_MS))
        if status is not None:
            self._paused.discard(member_id)
            self._log.event('replica_resumed', group=self._runner.name, member=member_id)

    def _ask(self, member_id: str, query: MemberQuery) -> MemberStatus | None:
        pool = self._runner.pools.get(member_id)
        organisation = pool and (pool.any_organisation() or self._runner.any_organisation())
        if pool is None or not organisation:
            return None
        try:
            conn = pool.acquire(organisation, {}, STATUS_TIMEOUT_MS)
        except NotConnectedError as exc:
            self._log.failure('connection_refused', member=member_id, reason=exc.refusal.value)
            self._runner.dispatch_waiting()
            return None
        try:
            return query(conn)
        except BaseException:
            conn.close()
            raise
        finally:
            pool.release(conn)
            self._runner.dispatch_waiting()
