"""Failover observers that are assigned to this instance."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from godwitthread.backend import control
from godwitthread.backend.connection import BackendConnection, Login
from godwitthread.core import failover_types as ft
from godwitthread.core import rendezvous
from godwitthread.core.failover import PROBE_INTERVAL_MS, FailoverObserver
from godwitthread.core.replication_stall import ReplicationStallDetector
from godwitthread.errors import ProxyError
from godwitthread.instance.control_connection import ControlConnection
from godwitthread.instance.drain_tracker import HANDOVER_DELAY_MS
from godwitthread.loop import eventlet
from godwitthread.peers.codec import register

if TYPE_CHECKING:
    from godwitthread.instance.group_views import GroupViews
    from godwitthread.instance.state import InstanceState
    from godwitthread.peers.codec import Envelope
    from godwitthread.peers.link import PeerLink
    from godwitthread.types import MemberReport, Seat

logger = logging.getLogger(__name__)

#: Number of instances above which fewer observers probe at a longer interval, to stay
#: within the budget for control traffic.
LARGE_CLUSTER_INSTANCES = 100
LARGE_CLUSTER_PROBE_INTERVAL_MS = 1_000
LARGE_CLUSTER_OBSERVERS = 2
#: Timeout of a fence, promote or follow call in ms.
CONTROL_TIMEOUT_MS = 500

register('opinion', ft.Opinion)
register('group_report', ft.GroupReport)


class Observers:
    """Run one FailoverObserver for every database that is assigned to this instance."""

    def __init__(self, state: InstanceState, link: PeerLink, groups: GroupViews) -> None:
        self._state = state
        self._link = link
        self._groups = groups
        self._observers: dict[str, FailoverObserver] = {}
        self._links: dict[tuple[str, str], ControlConnection] = {}
        #: Databases whose primary this instance suspects.
        self._suspected: set[str] = set()
        #: Members that the observer of each database must not keep as primary.
        self._avoided_members: dict[str, frozenset[str]] = {}
        self._seats: dict[str, Seat] = {}
        self._quorum_watches: dict[str, ReplicationStallDetector] = {}
        self._pool = eventlet.GreenPool(256)
        link.register_handler('opinion', self._on_opinion)

    def assign(self) -> None:
        """Start and stop observers according to roster and manifest."""
        directory, seats = self._state.directory, self._state.roster.seats
        self._seats = {observer_id(seat): seat for seat in seats}
        assigned: dict[str, tuple[str, ...]] = {}
        for database in directory.databases if directory is not None else ():
            chosen = self._state.placement.observers(database, self._observer_count())
            if self._state.seat in chosen:
                assigned[database] = tuple(observer_id(seat) for seat in chosen)
        for database in self._observers.keys() - assigned.keys():
            del self._observers[database]
            self._avoided_members.pop(database, None)
            self._suspected.discard(database)
        self._drop_links(assigned.keys())
        for database, observers in assigned.items():
            self._configure(database, observers)

    def tick(self) -> None:
        """Run the periodic step of every observer."""
        for database in list(self._observers):
            self._request_handovers(database)
            self._step(database, ft.Tick())

    def report_error(self, database: str, member: str) -> None:
        """Schedule the next probe of a member earlier after an error."""
        if database in self._observers:
            self._step(database, ft.ErrorReported(member))

    def stop(self) -> None:
        """Stop all observers and close the control connections."""
        self._observers.clear()
        self._drop_links(())

    def _observer_count(self) -> int:
        sparse = len(self._state.roster.seats) > LARGE_CLUSTER_INSTANCES
        return LARGE_CLUSTER_OBSERVERS if sparse else rendezvous.OBSERVERS

    def _interval_ms(self) -> int:
        sparse = len(self._state.roster.seats) > LARGE_CLUSTER_INSTANCES
        return LARGE_CLUSTER_PROBE_INTERVAL_MS if sparse else PROBE_INTERVAL_MS

    def _configure(self, database: str, observers: tuple[str, ...]) -> None:
        directory = self._state.directory
        if directory is None:
            return
        specs = directory.members(database)
        members = tuple(spec.name for spec in specs)
        if database not in self._observers:
            self._observers[database] = FailoverObserver(
                self._state.now_ms(),
                database,
                observer_id(self._state.seat),
                members,
                observers,
                self._state.rng,
                self._interval_ms(),
            )
        for spec in specs:
            link = self._links.get((database, spec.name))
            if link is None or link.spec[:3] != spec[:3]:
                self._links[database, spec.name] = ControlConnection(spec, self._login(database))
        self._step(database, ft.AssignmentChanged(members, observers))

    def _request_handovers(self, database: str) -> None:
        """Request a handover from leaving members after open transactions had time to end."""
        directory, now_ms = self._state.directory, self._state.now_ms()
        if directory is None or database not in directory.databases:
            return
        since = {
            spec.name: self._state.drain_tracker.drain_started_ms(database, spec)
            for spec in directory.members(database)
        }
        avoid = frozenset(
            name
            for name, since_ms in since.items()
            if since_ms is not None and now_ms - since_ms >= HANDOVER_DELAY_MS
        )
        if avoid != self._avoided_members.get(database, frozenset()):
            self._avoided_members[database] = avoid
            view = self._state.views.get(database)
            primary = view.primary(now_ms) if view is not None else None
            if primary in avoid:
                self._state.events.emit('handover_started', database=database, member=primary)
            self._step(database, ft.HandoverRequested(avoid))

    def _login(self, database: str) -> Login:
        settings = self._state.settings
        return Login(settings.backend_user, settings.backend_password or None, database)

    def _drop_links(self, kept: Any) -> None:
        for key in [key for key in self._links if key[0] not in kept]:
            self._links.pop(key).close()

    def _step(self, database: str, event: ft.Event) -> None:
        observer = self._observers.get(database)
        if observer is None:
            return
        for action in observer.step(self._state.now_ms(), event):
            self._perform(database, action)

    def _perform(self, database: str, action: ft.Action) -> None:
        match action:
            case ft.SendOpinion(to, opinion):
                self._note_suspicion(opinion)
                if to in self._seats:
                    self._link.send(self._seats[to], opinion)
            case ft.AnnounceGroup(report):
                self._groups.announce(report)
            case _:
                if self._pool.free() > 0:
                    self._pool.spawn_n(self._call, database, action)

    def _note_suspicion(self, opinion: ft.Opinion) -> None:
        if opinion.suspects and opinion.database not in self._suspected:
            self._state.events.emit(
                'primary_suspected', database=opinion.database, term=opinion.term
            )
        if opinion.suspects:
            self._suspected.add(opinion.database)
        else:
            self._suspected.discard(opinion.database)

    def _call(self, database: str, action: Any) -> None:
        link = self._links.get((database, action.member))
        if link is None:
            return
        match action:
            case ft.ProbeMember():
                self._probe(database, link, action)
            case ft.FenceMember():
                self._fence(database, link, action)
            case ft.PromoteMember():
                self._promote(database, link, action)
            case ft.FollowMember():
                self._follow(link, action)

    def _probe(self, database: str, link: ControlConnection, action: ft.ProbeMember) -> None:
        asked_ms = self._state.now_ms()
        try:
            reports = link.call(control.status, database, asked_ms, timeout_ms=action.timeout_ms)
        except ProxyError:
            self._step(database, ft.ProbeFailed(action.member))
            return
        self._groups.observe(reports)
        if self._has_quorum(database, link, reports, action.timeout_ms):
            self._step(database, ft.ProbeSucceeded(reports[0]))
        else:
            self._step(database, ft.ProbeFailed(action.member))

    def _has_quorum(
        self, database: str, link: ControlConnection, reports: list[MemberReport], timeout_ms: int
    ) -> bool:
        """Return False for a primary that can't commit.

        A primary without replicas still answers probes. If its replicas make no progress, an
        empty quorum commit shows whether it can commit.
        """
        primary, directory = reports[0], self._state.directory
        if primary.role != 'primary' or directory is None or database not in directory.databases:
            return True
        watch = self._quorum_watches.get(database)
        if watch is None or not watch.is_for(primary):
            watch = self._quorum_watches[database] = ReplicationStallDetector(
                self._state.now_ms(), primary
            )
        needed = len(directory.members(database)) // 2
        if not watch.is_stalled(self._state.now_ms(), reports[1:], needed):
            return True
        try:
            link.call(BackendConnection.write_quorum_record, timeout_ms=timeout_ms)
        except ProxyError:
            return False
        return True

    def _fence(self, database: str, link: ControlConnection, action: ft.FenceMember) -> None:
        self._emit('fence_started', database, action.member, action.term)
        try:
            reply = link.call(
                control.fence, action.term, action.proposer, timeout_ms=CONTROL_TIMEOUT_MS
            )
        except ProxyError:
            return
        event = ft.FenceReplied(
            action.member,
            action.term,
            reply.granted,
            reply.promised,
            reply.position,
            reply.history,
        )
        self._step(database, event)

    def _promote(self, database: str, link: ControlConnection, action: ft.PromoteMember) -> None:
        try:
            reply = link.call(
                control.promote, action.term, action.proposer, timeout_ms=CONTROL_TIMEOUT_MS
            )
        except ProxyError:
            self._emit('promotion_failed', database, action.member, action.term)
            return
        name = 'member_promoted' if reply.promoted else 'promotion_failed'
        self._emit(name, database, action.member, action.term)
        if reply.promoted:
            self._state.metrics.promotions.inc()
        event = ft.PromoteReplied(action.member, action.term, reply.promoted, reply.history)
        self._step(database, event)

    def _follow(self, link: ControlConnection, action: ft.FollowMember) -> None:
        try:
            link.call(control.follow, action.term, action.primary, timeout_ms=CONTROL_TIMEOUT_MS)
        except ProxyError as exc:
            logger.debug('setting %s to follow %s failed: %s', action.member, action.primary, exc)

    def _on_opinion(self, envelope: Envelope) -> None:
        opinion: ft.Opinion = envelope.body
        self._step(opinion.database, ft.OpinionReceived(opinion))

    def _emit(self, name: str, database: str, member: str, term: int) -> None:
        self._state.events.emit(name, database=database, member=member, term=term)


def observer_id(seat: Seat) -> str:
    """Return the proposer id of an incarnation."""
    return f'{seat.name}/{seat.incarnation}'
