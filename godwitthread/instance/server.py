"""Assembly of an instance: components, timers, start and graceful shutdown."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from godwitthread.clock import PauseDetector
from godwitthread.core import drain
from godwitthread.core.drain import Work
from godwitthread.core.invariants import Promise
from godwitthread.instance.backends import Backends
from godwitthread.instance.caller_application import CallerApplication
from godwitthread.instance.caller_service import CallerService
from godwitthread.instance.configuration_manager import ConfigurationManager
from godwitthread.instance.event_collector import EventCollector
from godwitthread.instance.execution import Executor
from godwitthread.instance.forwarding import Forwarder
from godwitthread.instance.group_views import GroupViews
from godwitthread.instance.http import HttpServer, listen
from godwitthread.instance.observers import Observers
from godwitthread.instance.operator_application import OperatorApplication
from godwitthread.instance.peer_status import PeerStatusCollector
from godwitthread.instance.retention import RetentionJob
from godwitthread.instance.share_exchange import ShareExchange
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

#: Interval of the timer that drives the core, in ms.
TICK_MS = 50
#: Interval between checks of in-flight requests while draining, in ms.
DRAIN_POLL_MS = 20
#: Time in which a leaving instance releases its shares and, as an owner, hands them over,
#: in ms. It covers a few round trips and one repetition.
SHARE_RELEASE_MS = 400
#: Longest wait of a leaving instance for a settled version and a stable roster, in ms.
MAX_LEAVE_WAIT_MS = 2_000


class Instance:
    """Run one proxy instance."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        tls: PortCertificates | None = None,
    ) -> None:
        self.state = state = InstanceState(settings, clock)
        self.link = PeerLink(state.seat, settings.cluster_key, state.hybrid_clock, state.clock)
        self.groups = GroupViews(state, self.link)
        self.observers = Observers(state, self.link, self.groups)
        self.share_exchange = ShareExchange(state, self.link)
        self.backends = Backends(state, self.groups, self.observers)
        self.groups.on_primary_changed = self.backends.primary_changed
        self.retention = RetentionJob(state, self.backends)
        self.executor = Executor(state, self.backends)
        self.transactions = Transactions(state, self.backends, self.executor)
        self.forwarder = Forwarder(state, self.link)
        self.caller_service = CallerService(state, self.executor, self.transactions, self.forwarder)
        self.forwarder.serve(self.caller_service)
        platform = PlatformClient(settings.platform_url)
        self.repository = Repository(platform, state.clock.wall_ms)
        self.configuration_manager = ConfigurationManager(
            state,
            self.link,
            self.repository,
            platform,
            self._on_configuration_adopted,
            self._handle_seat_loss,
        )
        #: Sent with True when the seat is lost, so that a new incarnation is started.
        self.seat_lost = eventlet.event.Event()
        self._threads: list[Any] = []
        self._ready = False
        self._fresh = False
        state.on_pause = self._note_pause
        self._has_seat = False
        tls = tls or load_certificates(settings)
        tls.bind(state.events.emit)
        self._caller_server = HttpServer(
            listen(*settings.caller_address),
            CallerApplication(state, self.caller_service),
            tls.callers,
        )
        self.event_collector = EventCollector(state, self.link)
        self.peer_status_collector = PeerStatusCollector(state, self.link)
        operations = Operations(
            self.repository,
            state.freshness.settled,
            lambda: status_of(self),
            self.event_collector.collect,
            self._on_manifest_accepted,
        )
        operator_port = OperatorApplication(state, operations)
        self._operator_server = HttpServer(
            listen(*settings.operator_address),
            operator_port,
            tls.operators,
        )

    def start(self) -> None:
        """Start serving on the ports and start the control tasks."""
        state = self.state
        state.events.emit('instance_started', incarnation=state.seat.incarnation)
        self.link.start()
        self._operator_server.start()
        self._caller_server.start()
        tasks = (self._tick, self.configuration_manager.run, self.retention.run)
        self._threads = [eventlet.spawn(task) for task in tasks]

    def shut_down(self) -> None:
        """Stop gracefully; running requests may finish until the drain limit."""
        state, settings = self.state, self.state.settings
        state.leaving = self.configuration_manager.membership.leaving = True
        state.events.emit('shutdown_started')
        eventlet.sleep(settings.lame_duck_ms / 1000)
        self._drain(state.now_ms() + settings.drain_limit_ms)
        state.closing = True
        self.backends.abort()
        self.forwarder.abort()
        self._caller_server.stop()
        self._await_answers()
        state.invariants.check(
            Promise.GRACEFUL_SHUTDOWN, state.in_flight == 0, f'{state.in_flight} requests cut'
        )
        self._release_shares()
        self.stop()

    def stop(self) -> None:
        """Stop immediately and release all resources."""
        self.state.leaving = self.state.closing = True
        for thread in self._threads:
            thread.kill()
        self._caller_server.stop()
        self.observers.stop()
        self.backends.stop()
        self.configuration_manager.release_seat()
        self.link.flush(200)
        self.link.stop()
        self.state.events.emit('instance_stopped')
        self._operator_server.stop()

    def _drain(self, until_ms: int) -> None:
        state = self.state
        while drain.waits_for_work(
            state.now_ms(), until_ms, Work(state.in_flight, len(self.transactions))
        ):
            eventlet.sleep(DRAIN_POLL_MS / 1000)

    def _await_answers(self) -> None:
        """Wait for the answers to requests of other instances."""
        while drain.waits_for_answers(Work(self.state.in_flight, len(self.transactions))):
            eventlet.sleep(DRAIN_POLL_MS / 1000)

    def _release_shares(self) -> None:
        """Release the shares so that other instances need not wait until they expire."""
        state = self.state
        if not self._has_seat:
            return
        self.backends.drain()
        state.holder.release()
        eventlet.sleep(SHARE_RELEASE_MS / 1000)
        until_ms = state.now_ms() + MAX_LEAVE_WAIT_MS
        while state.now_ms() < until_ms and not (
            state.freshness.settled(state.freshness.version)
            and self.configuration_manager.is_roster_stable()
        ):
            eventlet.sleep(DRAIN_POLL_MS / 1000)

    def _on_configuration_adopted(
        self, version: int, unbroken: bool, usable_until_ms: int | None
    ) -> None:
        state = self.state
        if state.directory is None:
            return
        returned = state.drain_tracker.adopt(state.now_ms(), state.directory)
        self.groups.configure(returned)
        self.share_exchange.adopt(version, unbroken, usable_until_ms)
        self.backends.configure()
        self.observers.assign()

    def _tick(self) -> None:
        pauses = PauseDetector(TICK_MS)
        while True:
            now_ms = self.state.now_ms()
            self.state.detect_pause()
            self.state.note_control_step(now_ms)
            pauses.tick(now_ms)
            self.state.metrics.loop_lag.set(pauses.lag_ms)
            try:
                self._step(now_ms)
            except Exception:
                # An error in one step must not stop the control task.
                logger.exception('control step failed')
            eventlet.sleep(TICK_MS / 1000)

    def _handle_seat_loss(self) -> None:
        if not self.state.leaving and not self.seat_lost.ready():
            self.seat_lost.send(True)

    def _on_manifest_accepted(self, head: Head) -> None:
        self.state.events.emit('manifest_accepted', version=head.version, author=head.author)
        self.configuration_manager.read_head()

    def _step(self, now_ms: int) -> None:
        self.configuration_manager.tick()
        self.share_exchange.note_settled(self.state.freshness.settled_version)
        self.observers.tick()
        self.backends.tick()
        self.share_exchange.step()
        self.transactions.expire(now_ms)
        self._report_readiness()

    def _update_serving_ability(self) -> None:
        state, had_seat = self.state, self._has_seat
        self._has_seat = self.configuration_manager.membership.has_seat
        if not self._has_seat:
            # While the store is down, an instance without a seat serves by forwarding.
            state.able_to_serve = not self.configuration_manager.store_ok
        elif not had_seat or not state.able_to_serve:
            state.able_to_serve = self.share_exchange.has_initial_shares()

    def _note_pause(self, now_ms: int, pause_ms: int) -> None:
        self.groups.note_pause()
        self.state.events.emit('pause_detected', pause_ms=pause_ms)

    def _report_readiness(self) -> None:
        state = self.state
        self._update_serving_ability()
        ready, fresh = state.is_ready(), state.is_fresh()
        state.metrics.fresh.set(fresh)
        state.metrics.in_flight.set(state.in_flight)
        state.metrics.update_peer_bytes('sent', sum(self.link.sent_bytes.values()))
        state.metrics.update_peer_bytes('received', sum(self.link.received_bytes.values()))
        self.backends.export_metrics()
        if ready != self._ready:
            self._ready = ready
            state.events.emit('instance_ready' if ready else 'instance_not_ready')
        if fresh != self._fresh:
            self._fresh = fresh
            state.events.emit('freshness_regained' if fresh else 'freshness_lost')
