"""Prometheus metrics of an instance, with bounded label sets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily

if TYPE_CHECKING:
    from collections.abc import Iterable

    from prometheus_client.core import Metric

    from godwitthread.core.invariants import Invariants

#: Bucket bounds of request latency in seconds.
LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class Metrics:
    """Metrics of one instance in a separate registry."""

    def __init__(self, invariants: Invariants) -> None:
        self.registry = CollectorRegistry()
        self._peer_totals: dict[str, int] = {}
        self.registry.register(_InvariantCollector(invariants))
        self.requests = Counter(
            'godwitthread_requests_total',
            'Requests by operation and result kind',
            ['operation', 'result'],
            registry=self.registry,
        )
        self.latency = Histogram(
            'godwitthread_request_seconds',
            'Latency of requests by outcome',
            ['outcome'],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.statements_served = Counter(
            'godwitthread_statements_total',
            'Statements by mode and role of the member that served them',
            ['mode', 'role'],
            registry=self.registry,
        )
        self.retries = Counter(
            'godwitthread_retries_total', 'Statements sent again', registry=self.registry
        )
        self.in_flight = self._gauge('requests_in_flight', 'Requests that are running')
        self.loop_lag = self._gauge('loop_lag_ms', 'Lag of the event loop')
        self.fresh = self._gauge('configuration_fresh', 'Whether the configuration is fresh')
        self.version = self._gauge('configuration_version', 'Configuration version in force')
        self.promotions = Counter(
            'godwitthread_promotions_total',
            'Members promoted by this instance',
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            'godwitthread_peer_bytes_total',
            'Bytes of messages between instances',
            ['direction'],
            registry=self.registry,
        )
        self.connections = Gauge(
            'godwitthread_backend_connections',
            'Connections to backend servers by member',
            ['database', 'member'],
            registry=self.registry,
        )

    def update_peer_bytes(self, direction: str, total: int) -> None:
        """Raise the byte counter to a total that the peer link counts."""
        known = self._peer_totals.get(direction, 0)
        self._peer_totals[direction] = total
        self.peer_bytes.labels(direction).inc(max(0, total - known))

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f'godwitthread_{name}', text, registry=self.registry)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class _InvariantCollector:
    """Collector for the number of invariant checks and violations."""

    def __init__(self, invariants: Invariants) -> None:
        self._invariants = invariants

    def collect(self) -> Iterable[Metric]:
        """Yield one metric family for checks and one for violations."""
        for name, counts in (
            ('checks', self._invariants.checks),
            ('violations', self._invariants.violations),
        ):
            family = CounterMetricFamily(
                f'godwitthread_invariant_{name}', f'Invariant {name} by promise', labels=['promise']
            )
            for promise, count in counts.items():
                family.add_metric([promise.value], count)
            yield family
