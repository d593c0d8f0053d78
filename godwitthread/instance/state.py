"""Shared state of the components of an instance."""

from __future__ import annotations

import contextlib
import secrets
from random import Random
from typing import TYPE_CHECKING

from godwitthread.clock import PAUSE_MS, Clock
from godwitthread.core.equal_shares import EqualShares
from godwitthread.core.freshness import FreshnessState
from godwitthread.core.invariants import Invariants, Promise
from godwitthread.core.quota import HolderId
from godwitthread.core.quota_holder import ShareHolder
from godwitthread.core.rendezvous import Placement
from godwitthread.core.retry import RetryBudget
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.instance.drain_tracker import DrainTracker
from godwitthread.instance.metrics import Metrics
from godwitthread.types import Roster, Seat

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from godwitthread.core.routing import GroupView
    from godwitthread.instance.settings import Settings
    from godwitthread.manifest.directory import Directory
    from godwitthread.types import MemberSpec

#: Size of the random incarnation number in bits; it must fit a msgpack integer.
INCARNATION_BITS = 62


class InstanceState:
    """State shared by the request path and the control tasks of one instance."""

    def __init__(
        self, settings: Settings, clock: Clock | None = None, incarnation: int | None = None
    ) -> None:
        #: Validated settings.
        self.settings = settings
        self.clock = clock or Clock()
        self.seat = _seat(settings, incarnation or secrets.randbits(INCARNATION_BITS))
        self.rng = Random(self.seat.incarnation)
        self.hybrid_clock = HybridLogicalClock(self.clock.wall_ms)
        source = {'instance': self.seat.name, 'failure_domain': self.seat.failure_domain}
        self.events = EventLog(source, self.hybrid_clock)
        self.invariants = Invariants(self._report_violation)
        self.metrics = Metrics(self.invariants)
        self.freshness = FreshnessState()
        #: Whether the baseline policy is used, which the full policy is compared with.
        self.is_baseline = settings.policy == 'thin'
        holder_id = HolderId(self.seat.name, self.seat.incarnation)
        self.holder: ShareHolder | EqualShares = (
            EqualShares(holder_id) if self.is_baseline else ShareHolder(holder_id, self.invariants)
        )
        #: Lookup tables of the manifest in force, None before the first one.
        self.directory: Directory | None = None
        #: Roster in force.
        self.roster = Roster(())
        #: Assignment of databases and limits to the seats of the roster.
        self.placement = Placement()
        #: Views of the database groups by database.
        self.views: dict[str, GroupView] = {}
        #: Members and failure domains that are leaving, with the time since when.
        self.drain_tracker = DrainTracker()
        #: Whether a graceful shutdown has begun.
        self.leaving = False
        #: Whether the lame-duck period of a graceful shutdown is over.
        self.closing = False
        #: Time of the last control step in ms, None before the first.
        self.last_control_step_ms: int | None = None
        #: Called with the time and the length of a pause of this process, in ms.
        self.on_pause: Callable[[int, int], None] = lambda now_ms, pause_ms: None
        #: Whether this instance can serve requests, with its shares or by forwarding.
        self.able_to_serve = False
        #: Requests of callers and of other instances that are running.
        self.in_flight = 0
        self._budgets: dict[str, RetryBudget] = {}
        self._last_control_step_wall_ms = 0

    def now_ms(self) -> int:
        """Return the monotonic time in ms."""
        return self.clock.now_ms()

    def detect_pause(self) -> None:
        """Detect a pause of this process since the last control step.

        After a pause, requests may resume before the control task does.
        """
        now_ms = self.now_ms()
        if self.last_control_step_ms is not None and now_ms - self.last_control_step_ms > PAUSE_MS:
            pause_ms = now_ms - self.last_control_step_ms
            self.note_control_step(now_ms)
            self.on_pause(now_ms, pause_ms)

    def note_control_step(self, now_ms: int) -> None:
        """Record a control step; invalidate the freshness after a suspend of the machine.

        Evidence ages by the monotonic clock, which also advances while the process is
        paused but not while the machine is suspended.
        """
        wall_ms = self.clock.wall_ms()
        if self.last_control_step_ms is not None:
            hidden_ms = (
                wall_ms - self._last_control_step_wall_ms - (now_ms - self.last_control_step_ms)
            )
            if hidden_ms > PAUSE_MS:
                self.freshness.paused(now_ms)
        self.last_control_step_ms, self._last_control_step_wall_ms = now_ms, wall_ms

    def is_fresh(self) -> bool:
        """Return whether the configuration in force may be used for new requests."""
        self.detect_pause()
        return self.freshness.is_fresh(self.now_ms())

    def own_domain_out(self) -> bool:
        """Return whether the failure domain of this instance is out of service."""
        directory = self.directory
        return directory is not None and directory.domain_out(self.seat.failure_domain)

    def is_ready(self) -> bool:
        """Return whether a load balancer may send new connections to this instance."""
        return (
            self.directory is not None
            and self.is_fresh()
            and self.able_to_serve
            and not self.leaving
            and not self.own_domain_out()
        )

    @contextlib.contextmanager
    def running_request(self) -> Iterator[None]:
        """Count a request, for whose answer a shutdown waits."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def require_open(self) -> None:
        """Raise SHUTTING_DOWN if the instance is closing its connections."""
        if self.closing:
            raise ProxyError(ErrorKind.SHUTTING_DOWN, 'the instance is shutting down')

    def require_ready(self) -> Directory:
        """Return the directory in force; raise ProxyError if the instance can't serve."""
        self.require_open()
        if self.directory is None or not self.is_fresh():
            text = 'the instance has no evidence that its configuration is current'
            raise ProxyError(ErrorKind.STALE_CONFIGURATION, text, retry_after_ms=500)
        if self.own_domain_out():
            text = 'the failure domain of the instance is out of service'
            raise ProxyError(ErrorKind.MOVED, text, retry_after_ms=0)
        return self.directory

    def serves(self, database: str) -> bool:
        """Return whether this instance holds connections to a database."""
        return self.placement.serves(self.seat, database)

    def view(self, database: str) -> GroupView:
        """Return the view of a database group; raise ROUTE_UNKNOWN if there is none."""
        view = self.views.get(database)
        if view is None:
            raise ProxyError(ErrorKind.ROUTE_UNKNOWN, 'the database is not in the manifest')
        return view

    def member(self, database: str, name: str) -> MemberSpec | None:
        """Return the spec of a member in the manifest in force, None if there is none."""
        if self.directory is None or database not in self.directory.databases:
            return None
        return next((each for each in self.directory.members(database) if each.name == name), None)

    def takes_reads(self, database: str, name: str) -> bool:
        """Return whether a member accepts new reads."""
        spec = self.member(database, name)
        return spec is not None and self.drain_tracker.drain_started_ms(database, spec) is None

    def takes_writes(self, database: str, name: str) -> bool:
        """Return whether a primary accepts new writes."""
        spec = self.member(database, name)
        return spec is not None and self.drain_tracker.takes_writes(self.now_ms(), database, spec)

    def retry_budget(self, name: str) -> RetryBudget:
        """Return the retry budget of an organisation or a backend server."""
        budget = self._budgets.get(name)
        if budget is None:
            budget = self._budgets[name] = RetryBudget(self.now_ms())
        return budget

    def _report_violation(self, promise: Promise, detail: str) -> None:
        self.events.emit('invariant_violated', promise=promise.value, detail=detail)


def _seat(settings: Settings, incarnation: int) -> Seat:
    return Seat(
        name=settings.name,
        incarnation=incarnation,
        host=settings.peer_address.host,
        peer_port=settings.peer_address.port,
        operator_port=settings.operator_address.port,
        caller_port=settings.caller_address.port,
        failure_domain=settings.failure_domain,
    )
