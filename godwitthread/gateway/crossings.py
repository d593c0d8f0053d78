"""Traffic between failure domains: decisions, measurements and reports of one instance."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from godwitthread.core.scheduling.placement import Placement, Reason, RoundTrips
from godwitthread.core.scheduling.sending_periods import SendingPeriods
from godwitthread.core.statements import Action, Consistency

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer
    from godwitthread.core.statements import Reply, RunRequest
    from godwitthread.gateway.groups.group_runner import GroupRunner
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.metrics import Metrics


class Crossings:
    """Traffic of one instance between its failure domain and the others."""

    def __init__(
        self,
        domain: str,
        cost_ms: float | None,
        clock: Clock,
        peers: Callable[[], Mapping[str, Peer]],
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._domain = domain
        #: Time that a crossing must save, in ms; None if failure domains are not considered.
        self._cost_ms = cost_ms
        self._clock = clock
        #: Returns the registered instances.
        self._peers = peers
        self._log = log
        self._round_trips = RoundTrips()
        self._periods = SendingPeriods(clock.now_ms())
        #: Reasons for which statements left since the last event.
        self._reasons: Counter[str] = Counter()
        self._statements = metrics.counter(
            'godwitthread_domain_statements',
            'Statements passed on, by failure domain of the sender and the receiver',
            ('source', 'target'),
        )
        self._bytes = metrics.counter(
            'godwitthread_domain_bytes',
            'Bytes of statements and answers passed on, by failure domain',
            ('source', 'target'),
        )
        self._crossings = metrics.counter(
            'godwitthread_crossings',
            'Statements that left the failure domain, by target and reason',
            ('target', 'reason'),
        )

    def attach(self, runner: GroupRunner) -> None:
        """Consider failure domains for the statements of a group, and count them."""
        runner.crossings = self
        if self._cost_ms is not None:
            runner.dispatcher.placement = Placement(
                self._domain, self._cost_ms, self._round_trips.to
            )

    def record_round_trip(self, name: str, took_ms: int) -> None:
        """Record the duration of a call that another instance answers at once."""
        peer = self._peers().get(name)
        if peer is not None:
            self._round_trips.record(self._clock.now_ms(), peer.failure_domain, took_ms)

    def record_choice(self, domain: str, reason: Reason | None) -> None:
        """Record the choice of a member for a statement that any member may run."""
        self._periods.record(reason is not None)
        if reason is not None:
            self._reasons[reason.value] += 1
            self._crossings(domain, reason.value).inc()

    def record_call(self, domain: str, req: RunRequest, answer_bytes: int) -> None:
        """Record a statement that the owner of its group has answered."""
        self._record(domain, _request_bytes(req), answer_bytes)
        if domain != self._domain:
            self._crossings(domain, Reason.OWNER.value).inc()

    def record_statement(self, domain: str, req: RunRequest, reply: Reply) -> None:
        """Record a statement that was sent to a member."""
        self._record(domain, len(req.text) + len(req.arguments), sum(map(len, reply.rows)))
        reason = _fixed_reason(req)
        if reason is not None and domain != self._domain:
            self._crossings(domain, reason.value).inc()

    def tick(self) -> None:
        """Report that this failure domain has started or stopped to send for long."""
        if not self._periods.tick(self._clock.now_ms()):
            return
        name = 'crossings_started' if self._periods.sending else 'crossings_stopped'
        share, reasons = round(self._periods.share, 2), dict(self._reasons)
        self._log.event(name, failure_domain=self._domain, share=share, reasons=reasons)
        self._reasons.clear()

    def _record(self, domain: str, sent_bytes: int, received_bytes: int) -> None:
        self._statements(self._domain, domain).inc()
        self._bytes(self._domain, domain).inc(sent_bytes)
        self._bytes(domain, self._domain).inc(received_bytes)


def _request_bytes(req: RunRequest) -> int:
    """Return the bytes of a request that depend on the caller, without the encoding."""
    shape = len(req.prepared.shape) if req.prepared else 0
    values = sum(len(name) + len(value) for name, value in req.values)
    return len(req.text) + len(req.arguments) + shape + values


def _fixed_reason(req: RunRequest) -> Reason | None:
    """Return why a statement can run at one member only, None if a member was chosen for it."""
    if req.action is not Action.SINGLE:
        return Reason.TRANSACTION
    if req.writes:
        return Reason.WRITE
    return Reason.PRIMARY_READ if req.consistency is Consistency.PRIMARY else None
