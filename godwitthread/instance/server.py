"""Assembly of one instance: parts, timers, start and graceful shutdown."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from godwitthread.clock import PauseDetector
from godwitthread.core.invariants import Promise
from godwitthread.instance.backends import Backends
from godwitthread.instance.caller_port import CallerPort
from godwitthread.instance.configuring import Configuring
from godwitthread.instance.event_collection import EventCollection
from godwitthread.instance.execution import Executor
from godwitthread.instance.forwarding import Forwarder
from godwitthread.instance.gateway import Gateway
from godwitthread.instance.groups import Groups
from godwitthread.instance.http import HttpServer, listen
from godwitthread.instance.observing import Observers
from godwitthread.instance.operator_port import OperatorPort
from godwitthread.instance.peer_status import PeerStatuses
from godwitthread.instance.retention import Retention
from godwitthread.instance.sharing import Sharing
from godwitthread.instance.state import InstanceState
from godwitthread.instance.status import status_of
from godwitthread.instance.tls import load_certificates
from godwitthread.instance.transactions import Transactions
from godwitthread.loop import eventlet
from godwitthread.manifest.operations import Operations
from godwitthread.manifest.repository import Repository
from godwitthread.manifest.table_client import PlatformClient
from godwitthread.peers.link import PeerLink

if TYPE_CHECKING:
    from godwitthread.clock import Clock
    from godwitthread.instance.settings import Settings
    from godwitthread.instance.tls import PortCertificates
    from godwitthread.manifest.head import Head

logger = logging.getLogger(__name__)

#: Interval of the timer that drives the core.
TICK_MS = 50
#: Interval of the looks at in-flight requests while draining.
DRAIN_POLL_MS = 20
#: Time in which a leaving instance gives its shares back and, as an owner, passes
#: them on: some round trips and one repetition.
HAND_BACK_MS = 400
#: Longest wait of a leaving instance for a settled version and a quiet roster.
LEAVE_WAIT_MS = 2_000


class Instance:
    """Run one proxy instance."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        tls: PortCertificates | None = None,
    ) -> None:
        self.state = state = InstanceState(settings, clock)
        self.link = PeerLink(state.seat, settings.cluster_key, state.stamps, state.clock)
        self.groups = Groups(state, self.link)
        self.observers = Observers(state, self.link, self.groups)
        self.sharing = Sharing(state, self.link)
        self.backends = Backends(state, self.groups, self.observers)
        self.groups.on_primary = self.backends.primary_changed
        self.retention = Retention(state, self.backends)
        self.executor = Executor(state, self.backends)
        self.transactions = Transactions(state, self.backends, self.executor)
        self.forwarder = Forwarder(state, self.link)
        self.gateway = Gateway(state, self.executor, self.transactions, self.forwarder)
        self.forwarder.serve(self.gateway)
        platform = PlatformClient(settings.platform_url)
        self.repository = Repository(platform, state.clock.wall_ms)
        self.configuring = Configuring(
            state, self.link, self.repository, platform, self._adopted, self._lose_seat
        )
        #: Sent with True when the seat was lost, so that a new incarnation must start.
        self.seat_lost = eventlet.event.Event()
        self._threads: list[Any] = []
        self._ready = False
        self._fresh = False
        state.on_pause = self._note_pause
        self._seated = False
        tls = tls or load_certificates(settings)
        tls.bind(state.events.emit)
        self._callers = HttpServer(
            listen(*settings.caller_address),
            CallerPort(state, self.gateway),
            tls.callers,
        )
        self.events = EventCollection(state, self.link)
        self.peer_statuses = PeerStatuses(state, self.link)
        parts = Operations(
            self.repository,
            state.freshness.settled,
            lambda: status_of(self),
            self.events.everywhere,
            self._manifest_accepted,
        )
        operator_port = OperatorPort(state, parts)
        self._operators = HttpServer(
            listen(*settings.operator_address),
            operator_port,
            tls.operators,
        )

    def start(self) -> None:
        """Open the ports and start the control tasks."""
        state = self.state
        state.events.emit('instance_started', incarnation=state.seat.incarnation)
        self.link.start()
        self._operators.start()
        self._callers.start()
        tasks = (self._tick, self.configuring.run, self.retention.run)
        self._threads = [eventlet.spawn(task) for task in tasks]

    def shut_down(self) -> None:
        """Stop gracefully: no request is cut within the drain limit."""
        state, settings = self.state, self.state.settings
        state.leaving = self.configuring.membership.leaving = True
        state.events.emit('shutdown_started')
        eventlet.sleep(settings.lame_duck_ms / 1000)
        self._drain(state.now_ms() + settings.drain_limit_ms)
        state.closing = True
        self._callers.stop()
        state.invariants.check(
            Promise.GRACEFUL_SHUTDOWN, state.in_flight == 0, f'{state.in_flight} requests cut'
        )
        self._hand_back()
        self.stop()

    def stop(self) -> None:
        """Stop at once and release everything."""
        self.state.leaving = self.state.closing = True
        for thread in self._threads:
            thread.kill()
        self._callers.stop()
        self.observers.stop()
        self.backends.stop()
        self.configuring.leave()
        self.link.flush(200)
        self.link.stop()
        self.state.events.emit('instance_stopped')
        self._operators.stop()

    def _drain(self, until_ms: int) -> None:
        state = self.state
        while (state.in_flight or len(self.transactions)) and state.now_ms() < until_ms:
            eventlet.sleep(DRAIN_POLL_MS / 1000)

    def _hand_back(self) -> None:
        """Give the shares back, so that nobody waits until they can't be in use."""
        state = self.state
        if not self._seated:
            return
        self.backends.drain()
        state.holder.release()
        eventlet.sleep(HAND_BACK_MS / 1000)
        until_ms = state.now_ms() + LEAVE_WAIT_MS
        while state.now_ms() < until_ms and not (
            state.freshness.settled(state.freshness.version) and self.configuring.is_quiet()
        ):
            eventlet.sleep(DRAIN_POLL_MS / 1000)

    def _adopted(self, version: int, unbroken: bool, usable_until_ms: int | None) -> None:
        state = self.state
        if state.directory is None:
            return
        returned = state.withdrawals.adopt(state.now_ms(), state.directory)
        self.groups.configure(returned)
        self.sharing.adopt(version, unbroken, usable_until_ms)
        self.backends.configure()
        self.observers.assign()

    def _tick(self) -> None:
        pauses = PauseDetector(TICK_MS)
        while True:
            now_ms = self.state.now_ms()
            self.state.look_for_pause()
            self.state.stepped(now_ms)
            pauses.tick(now_ms)
            self.state.metrics.loop_lag.set(pauses.lag_ms)
            try:
                self._step(now_ms)
            except Exception:
                # One failing step must not end the control tasks of the instance.
                logger.exception('control step failed')
            eventlet.sleep(TICK_MS / 1000)

    def _lose_seat(self) -> None:
        if not self.state.leaving and not self.seat_lost.ready():
            self.seat_lost.send(True)

    def _manifest_accepted(self, head: Head) -> None:
        self.state.events.emit('manifest_accepted', version=head.version, author=head.author)
        self.configuring.read_once()

    def _step(self, now_ms: int) -> None:
        self.configuring.tick()
        self.sharing.note_settled(self.state.freshness.settled_version)
        self.observers.tick()
        self.backends.tick()
        self.sharing.step()
        self.transactions.expire(now_ms)
        self._report_readiness()

    def _note_equipment(self) -> None:
        state, had_seat = self.state, self._seated
        self._seated = self.configuring.membership.has_seat
        if not self._seated:
            # Without a seat an instance serves by forwarding while the store is down.
            state.equipped = not self.configuring.store_ok
        elif not had_seat or not state.equipped:
            state.equipped = self.sharing.is_equipped()

    def _note_pause(self, now_ms: int, pause_ms: int) -> None:
        self.groups.note_pause()
        self.state.events.emit('pause_detected', pause_ms=pause_ms)

    def _report_readiness(self) -> None:
        state = self.state
        self._note_equipment()
        ready, fresh = state.is_ready(), state.is_fresh()
        state.metrics.fresh.set(fresh)
        state.metrics.in_flight.set(state.in_flight)
        state.metrics.count_peer_bytes('sent', sum(self.link.sent_bytes.values()))
        state.metrics.count_peer_bytes('received', sum(self.link.received_bytes.values()))
        self.backends.export()
        if ready != self._ready:
            self._ready = ready
            state.events.emit('instance_ready' if ready else 'instance_not_ready')
        if fresh != self._fresh:
            self._fresh = fresh
            state.events.emit('freshness_regained' if fresh else 'freshness_lost')
