"""Views of the database groups and announcements of new primaries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.routing import CANDIDATES, GroupView
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.failover_types import GroupReport
    from godwitthread.instance.state import InstanceState
    from godwitthread.peers.codec import Envelope
    from godwitthread.peers.link import PeerLink
    from godwitthread.types import MemberReport


class GroupViews:
    """Update the group views and wake requests that wait for a primary."""

    def __init__(self, state: InstanceState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._changed: dict[str, eventlet.event.Event] = {}
        #: Called with database and member when a new primary becomes known.
        self.on_primary_changed: Callable[[str, str], None] = lambda database, member: None
        link.register_handler('group_report', self._on_report)

    def configure(self, returned_domains: set[str]) -> None:
        """Apply the manifest; ramp up load on members of returned failure domains."""
        state, directory = self._state, self._state.directory
        if directory is None:
            return
        now_ms = state.now_ms()
        for database in state.views.keys() - directory.databases.keys():
            del state.views[database]
        for database in directory.databases:
            specs = directory.members(database)
            domains = {spec.name: spec.failure_domain for spec in specs}
            view = state.views.get(database)
            if view is None:
                state.views[database] = GroupView(
                    now_ms,
                    domains,
                    state.seat.failure_domain,
                    state.invariants,
                    state.rng,
                    candidates=1 if state.is_baseline else CANDIDATES,
                )
                continue
            view.configure(now_ms, domains)
            for spec in specs:
                if spec.failure_domain in returned_domains:
                    view.note_returned(now_ms, spec.name)

    def observe(self, reports: list[MemberReport]) -> None:
        """Apply status reports that this instance requested from members."""
        for report in reports:
            view = self._state.views.get(report.database)
            if view is not None and view.observe(self._state.now_ms(), report):
                self._primary_changed(report.database, report.member, view.term)

    def announce(self, report: GroupReport) -> None:
        """Apply a report of an observer on this instance and send it to the serving set."""
        self.adopt(report)
        for seat in self._state.placement.serving_set(report.database):
            if seat != self._state.seat:
                self._link.send(seat, report, critical=True)

    def adopt(self, report: GroupReport) -> None:
        """Apply the announcement of a primary."""
        view = self._state.views.get(report.database)
        if view is not None and view.adopt(self._state.now_ms(), report):
            self._primary_changed(report.database, report.primary, report.term)

    def await_change(self, database: str, wait_ms: int) -> None:
        """Wait until a new primary is announced, at most for the given time."""
        event = self._changed.get(database)
        if event is None:
            event = self._changed[database] = eventlet.event.Event()
        with eventlet.Timeout(wait_ms / 1000, False):
            event.wait()

    def note_pause(self) -> None:
        """Invalidate the known primaries after a pause of this process."""
        for view in self._state.views.values():
            view.note_pause(self._state.now_ms())

    def _on_report(self, envelope: Envelope) -> None:
        self.adopt(envelope.body)

    def _primary_changed(self, database: str, member: str, term: int) -> None:
        self._state.events.emit('primary_changed', database=database, member=member, term=term)
        self.on_primary_changed(database, member)
        event = self._changed.pop(database, None)
        if event is not None:
            event.send()
