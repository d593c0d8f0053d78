"""Gateway process on the platform: start, ports, shutdown and reload of settings."""

from __future__ import annotations

import contextlib
import ctypes
import logging
import math
import os
import signal
import socket
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from godwitthread import loop
from godwitthread.clock import Clock
from godwitthread.core import ownership
from godwitthread.core.answer_alignment import Irregularity
from godwitthread.core.catalog import Peer
from godwitthread.errors import ProxyError
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.gateway import link_server
from godwitthread.gateway.caller_guard import LIMITS, CallerGuard
from godwitthread.gateway.groups.statement_queue import REFUSALS
from godwitthread.gateway.logs import Log
from godwitthread.gateway.metrics import Metrics
from godwitthread.gateway.node import Node
from godwitthread.gateway.options import Options
from godwitthread.gateway.ports import Ports, UsagePort
from godwitthread.gateway.session import MAX_LOGGED
from godwitthread.gateway.shutdown import open_calls, shut_down
from godwitthread.loop import eventlet
from godwitthread.platform import caller_connection, promotion, row_decoding, usage_report
from godwitthread.platform.bounded_listener import BoundedListener
from godwitthread.platform.member_connection import ConnectionObserver, open_connection
from godwitthread.platform.settings import load
from godwitthread.platform.store import StoreClient
from godwitthread.sockets import configure, listen

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwitthread.gateway.store_view import StoreView
    from godwitthread.platform.settings import NodeSettings

#: Exit status for invalid settings.
BAD_SETTINGS = 2
#: Number of failed readiness probes after which the platform sends no new connections.
PROBES_UNTIL_OUT_OF_ROTATION = 2
#: Delay after a failed `accept`, in ms.
ACCEPT_RETRY_MS = 50
#: Parameter of `mallopt`, and size from which blocks are mapped from the system one by one.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 128 * 1024
#: Time for which a page of the metrics is served again, in ms.
METRICS_PAGE_MS = 250
#: Time limit for each read and write of an HTTP connection, and for the wait for its next request,
#: in s. The platform probes more often than that.
HTTP_TIMEOUT_S = 10
HTTP_KEEPALIVE_S = 60
#: Maximum number of events kept in memory; the process log contains all of them.
MAX_EVENTS = 64


def main() -> int:
    """Load the settings and serve until SIGTERM; return the exit status."""
    try:
        settings = load(os.environ)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            sys.stderr.write(f'godwitthread: {exc}\n')
        return BAD_SETTINGS
    loop.patch()
    logging.basicConfig(level=logging.INFO, format='%(message)s', stream=sys.stdout)
    _return_large_blocks()
    return GatewayProcess(settings).run()


def _return_large_blocks() -> None:
    """Let the allocator return the memory of long lines to the system as soon as they are freed.

    By default, the threshold rises with the first large block that is freed, and later ones leave
    holes in the heap: 29 MB of unfinished lines made the process 49 MB larger.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)


class GatewayProcess:
    """Connect the gateway to the adapters of the platform and run it."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        # CLOCK_BOOTTIME includes the time during which the machine is suspended; leases and
        # data ages must account for it.
        self.clock = Clock(partial(time.clock_gettime, time.CLOCK_BOOTTIME))
        events = EventLog(
            {'instance': settings.name}, HybridLogicalClock(self.clock.wall_ms), MAX_EVENTS
        )
        self._log = Log(events, self.clock)
        peer = Peer(
            settings.name,
            settings.peer_address,
            settings.failure_domain,
            ownership.capacity(settings.cores, settings.link_mbps),
            self.clock.wall_ms(),
        )
        self.guard = CallerGuard(settings.limits, self.clock, self._log)
        ports = Ports(
            connect=partial(
                open_connection,
                observer=ConnectionObserver(
                    self.clock, self.guard.count_received, self._report_answer, self._note_line
                ),
            ),
            store=partial(StoreClient, settings.store_address),
            schema=row_decoding.SCHEMA,
            promote=partial(promotion.promote, settings.promotion_address),
            usage=UsagePort(settings.usage, partial(usage_report.post, settings.promotion_address))
            if settings.usage
            else None,
            lease_ms=settings.lease_ms,
        )
        metrics = Metrics()
        #: Answers of members by how they fail to fit the request in progress.
        self._irregular_answers = dict.fromkeys(Irregularity, 0)
        #: Number of lines that hold CR or LF as data, by the kind of the peer.
        self._control_byte_lines = {'caller': 0, 'member': 0}
        metrics.gauges(
            'godwitthread_irregular_answers',
            'Answers of members that did not fit the request in progress, since the start',
            'kind',
            {
                each.value: partial(self._irregular_answers.__getitem__, each)
                for each in Irregularity
            },
        )
        metrics.gauges(
            'godwitthread_control_byte_lines',
            'Lines received that hold CR or LF beside their end, since the start',
            'peer',
            {
                peer: partial(self._control_byte_lines.__getitem__, peer)
                for peer in self._control_byte_lines
            },
        )
        options = Options(settings.rate_tolerance, settings.crossing_cost_ms)
        self.node = Node(peer, self.clock, ports, self._log, metrics, options, self.guard)
        self._add_limit_metrics(metrics)
        metrics.gauge('godwitthread_sessions', 'Open sessions', lambda: len(self.node.sessions))
        metrics.gauge('godwitthread_owned_groups', 'Groups owned', self.node.owned_groups)
        metrics.gauge(
            'godwitthread_member_connections', 'Connections to members', self.node.connections
        )
        metrics.gauge(
            'godwitthread_limited_members',
            'Members that accept fewer connections than configured',
            self.node.limited_members,
        )
        metrics.gauge(
            'godwitthread_configuration_version',
            'Version of the configuration in force',
            lambda: getattr(self.node.view.configuration, 'version', 0),
        )
        metrics.gauges(
            'godwitthread_store_evidence_age_seconds',
            'Age of the newest evidence that the copy of a store table is current',
            'table',
            {table: partial(self._evidence_age_s, table) for table in self.node.view.tables()},
        )
        view, tables = self.node.view, self.node.view.tables()
        metrics.gauges(
            'godwitthread_store_malformed_rows',
            'Rows of a store table that could not be decoded',
            'table',
            {table: partial(view.malformed_rows, table) for table in tables},
        )
        metrics.gauges(
            'godwitthread_store_not_in_force_seconds',
            'Time for which a part of the content of a store table has not been in force',
            'table',
            {table: partial(_not_in_force_s, view, table) for table in tables},
        )
        metrics.gauge(
            'godwitthread_store_era',
            'Number of times that the store has come back from an older copy',
            lambda: view.store_era,
        )
        metrics.gauges(
            'godwitthread_store_awaited_rows',
            'Rows of a table that hold although a restored store does not have them again',
            'table',
            {table: partial(_awaited_rows, view, table) for table in tables},
        )
        metrics.gauge(
            'godwitthread_store_outdated_answers',
            'Answers of the store that were older than the copy of their table, since the start',
            lambda: view.outdated_answers,
        )
        if self.node.usage:
            self.node.usage.add_metrics(metrics)
        metrics.gauges(
            'godwitthread_waiting_statements',
            'Statements that wait for a member, by whether they can meet their objective',
            'state',
            {state: partial(self._waiting, state) for state in ('in_time', 'late', 'transaction')},
        )
        metrics.gauges(
            'godwitthread_refused_statements',
            'Statements refused as not run for lack of capacity since the start',
            'reason',
            {reason: partial(self._refused, reason) for reason in REFUSALS},
        )
        self._metrics = metrics
        #: Newest page of the metrics, and the time at which it was made.
        self._page: list[bytes] | None = None
        self._page_ms = 0
        self._stop_requested = eventlet.event.Event()
        #: Number of failed readiness probes since the request to stop.
        self._failed_probes = 0

    def run(self) -> int:
        """Serve until SIGTERM, then finish running work within the grace period."""
        settings, node = self._settings, self.node
        signal.signal(signal.SIGTERM, self._on_sigterm)
        signal.signal(signal.SIGHUP, self._on_sighup)
        self._serve_sockets(settings.peer_address, self._serve_peer)
        self._serve_http(settings.ready_address, self.answer_probe)
        self._serve_http(settings.metrics_address, self.answer_scrape)
        eventlet.spawn(self.guard.run, self.node.streams)
        self._log.event('instance_started', incarnation=node.peer.incarnation)
        node.start()
        self._serve_sockets(settings.caller_address, self._serve_caller)
        self._stop_requested.wait()
        self.drain()
        self._log.event(
            'instance_stopped',
            sessions=len(node.sessions),
            unanswered=node.sessions.unanswered(),
            peer_calls=open_calls(node),
        )
        sys.stdout.flush()
        os._exit(0)

    def drain(self) -> None:
        """Finish running work within the grace period."""
        self._log.event('shutdown_started', sessions=len(self.node.sessions))
        shut_down(self.node, self.clock, self._settings.grace_ms, self._is_out_of_rotation)

    def _serve_peer(self, sock: Any) -> None:
        node = self.node
        if not self._make_room_for_peer():
            sock.close()
            return
        link_server.serve(
            sock,
            self.clock,
            node.inbound,
            node.heartbeat_status,
            node.handle,
            node.peer_ended,
            node.store_sync.report,
            node.start_gate.update,
        )

    def _serve_caller(self, sock: Any) -> None:
        configure(sock)
        note_line = partial(self._note_line, 'caller')
        caller_connection.serve(sock, self.node.sessions, self.guard, note_line)

    def _note_line(self, peer: str = 'member') -> None:
        self._control_byte_lines[peer] += 1

    def _report_answer(self, member: str, statement_id: str, irregularity: Irregularity) -> None:
        self._irregular_answers[irregularity] += 1
        if irregularity is Irregularity.CONFIRMED_REFUSAL:
            # Not irregular, but its share shows the cost of confirmations.
            return
        request = statement_id[:MAX_LOGGED]
        self._log.failure(
            'answer_irregular', member=member, request=request, reason=irregularity.value
        )

    def _make_room_for_peer(self) -> bool:
        """End the oldest connection without an identified sender if there are too many."""
        limits, inbound = self.guard.limits, self.node.inbound
        unidentified = [each for each in inbound if each.awaits_hello and not each.closed]
        if len(unidentified) >= limits.unidentified_peers:
            self.guard.note('peer_connections')
            min(unidentified, key=lambda each: each.opened_ms).close()
        if len(inbound) < limits.peer_connections:
            return True
        self.guard.note('peer_connections')
        return False

    def _serve_sockets(self, address: Any, serve: Callable[[Any], None]) -> None:
        sock = listen(address)
        # Accepted connections inherit the size of the buffer.
        buffer_bytes = self.guard.limits.receive_buffer_bytes
        if address != self._settings.peer_address:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)

        def accept() -> None:
            while True:
                try:
                    conn, _ = sock.accept()
                except OSError as exc:
                    self._log.failure('connection_refused', reason=str(exc))
                    eventlet.sleep(ACCEPT_RETRY_MS / 1000)
                    continue
                eventlet.spawn_n(serve, conn)
                # With a full backlog, `accept` never waits, so that nothing else would run.
                eventlet.sleep(0)

        eventlet.spawn(accept)

    def _serve_http(self, address: Any, application: Any) -> None:
        listener = BoundedListener(
            listen(address), self.guard.limits.http_connections, self.guard.note
        )
        eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            application,
            log_output=False,
            debug=False,
            socket_timeout=HTTP_TIMEOUT_S,
            keepalive=HTTP_KEEPALIVE_S,
        )

    def answer_probe(self, _environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer a readiness probe of the platform (WSGI application)."""
        ready = self.node.ready()
        if self.node.leaving:
            self._failed_probes += 1
        start_response('200 OK' if ready else '503 Service Unavailable', [('Content-Length', '0')])
        return [b'']

    def _waiting(self, state: str) -> int:
        runners = self.node.runners.values()
        return sum(getattr(runner.dispatcher.queue_lengths(), state) for runner in runners)

    def _refused(self, reason: str) -> int:
        return sum(runner.refusals[reason] for runner in self.node.runners.values())

    def answer_scrape(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer a scrape of the metrics (WSGI application); a page is served again for a while."""
        now_ms = self.clock.now_ms()
        if self._page is None or now_ms - self._page_ms >= METRICS_PAGE_MS:
            self._page = list(self._metrics.application(environ, lambda *_: None))
            self._page_ms = now_ms
        start_response('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
        return self._page

    def _add_limit_metrics(self, metrics: Metrics) -> None:
        guard = self.guard
        metrics.gauge(
            'godwitthread_caller_memory_bytes',
            'Memory that callers cause',
            lambda: guard.budget.used,
        )
        metrics.gauge(
            'godwitthread_caller_memory_limit_bytes',
            'Memory that callers may cause',
            lambda: guard.budget.limit_bytes,
        )
        metrics.gauge(
            'godwitthread_caller_connections', 'Connections of callers', lambda: guard.connections
        )
        metrics.gauges(
            'godwitthread_limit_reached',
            'Times that a limit on callers was reached',
            'limit',
            {name: partial(guard.reached.__getitem__, name) for name in LIMITS},
        )

    def _evidence_age_s(self, table: str) -> float:
        age_ms = self.node.store_sync.evidence_age_ms(table)
        return math.nan if age_ms is None else age_ms / 1000

    def _is_out_of_rotation(self) -> bool:
        return self._failed_probes >= PROBES_UNTIL_OUT_OF_ROTATION

    def _on_sigterm(self, *_: Any) -> None:
        eventlet.spawn_after(0, self._request_stop)

    def _request_stop(self) -> None:
        # Several signals may arrive in one iteration of the event loop.
        if not self._stop_requested.ready():
            self._stop_requested.send()

    def _on_sighup(self, *_: Any) -> None:
        eventlet.spawn_after(0, self._reload)

    def _reload(self) -> None:
        """Reload the settings file; changed addresses and names take effect at the next start."""
        try:
            settings = load(os.environ)
        except ExceptionGroup as group:
            details = [exc.message for exc in group.exceptions if isinstance(exc, ProxyError)]
            self._log.failure('settings_changed', accepted=False, details=details)
            return
        self._settings = settings
        self._log.event('settings_changed', accepted=True)


def _awaited_rows(view: StoreView, table: str) -> int:
    return len(view.former.rows(table))


def _not_in_force_s(view: StoreView, table: str) -> float:
    return view.not_in_force_ms(table) / 1000
