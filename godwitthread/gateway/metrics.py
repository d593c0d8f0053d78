"""Prometheus metrics of one gateway process."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Bucket boundaries of the latency histogram, in s; latency objectives lie between 0.1 and 0.4 s.
LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)


class Metrics:
    """Metrics that operators scrape."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._statements = Counter(
            'godwitthread_statements_total',
            'Statements by database and outcome',
            ['database', 'outcome'],
            registry=self.registry,
        )
        self._latency = Histogram(
            'godwitthread_statement_seconds',
            'Time from the receipt of a statement to its answer',
            ['database'],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._children: dict[tuple[str, str], tuple[Any, Any]] = {}

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read on every scrape."""
        Gauge(name, text, registry=self.registry).set_function(read)

    def gauges(
        self, name: str, text: str, label: str, read: dict[str, Callable[[], float]]
    ) -> None:
        """Add a gauge with one value for each label value, read on every scrape."""
        gauge = Gauge(name, text, [label], registry=self.registry)
        for value, function in read.items():
            gauge.labels(value).set_function(function)

    def counter(self, name: str, text: str, labels: tuple[str, ...]) -> Callable[..., Any]:
        """Add a counter; return a function that takes label values and returns their counter."""
        return functools.cache(Counter(name, text, labels, registry=self.registry).labels)

    def observe(self, database: str, outcome: str, took_ms: int) -> None:
        """Record the outcome and the duration of one statement."""
        key = database, outcome
        children = self._children.get(key)
        if children is None:
            children = self._children[key] = (
                self._statements.labels(database, outcome),
                self._latency.labels(database),
            )
        children[0].inc()
        children[1].observe(took_ms / 1000)

    def application(self, _environ: Any, start_response: Any) -> Iterable[bytes]:
        """Serve the metrics as a WSGI application."""
        start_response('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
        return [generate_latest(self.registry)]
