"""Reports of refusals that are final for a caller, with the copy by which they were decided."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.freshness import FRESHNESS_LIMIT_MS
from godwitthread.gateway.session import MAX_LOGGED

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.statements import Result
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.metrics import Metrics


class ConfigurationBasis(NamedTuple):
    """Copy of the configuration by which routes and keys are looked up."""

    #: Version in force, 0 without one, and the era and version of the store that its row has.
    version: int
    era: int
    revision: int
    #: Name of the peer that the version was adopted from, or 'store'.
    source: str
    #: Age of the newest evidence that the copy is current, in ms, None without evidence.
    evidence_age_ms: int | None

    @property
    def is_current(self) -> bool:
        """Return whether changes that must be in force by now are."""
        return self.evidence_age_ms is not None and self.evidence_age_ms <= FRESHNESS_LIMIT_MS


class RefusalReports:
    """Log and count callers that are refused for their database or key."""

    def __init__(self, basis: Callable[[], ConfigurationBasis], log: Log, metrics: Metrics) -> None:
        self._basis = basis
        self._log = log
        self._count = metrics.counter(
            'godwitthread_caller_refusals',
            'Sessions and operations refused for their database or key, by reason and by whether '
            'the evidence for the configuration was current',
            ('reason', 'evidence'),
        )

    def session_refused(self, database: str, refusal: Result) -> None:
        """Report a session that was not opened."""
        self._report('session_refused', database, refusal)

    def operation_refused(self, database: str, refusal: Result) -> None:
        """Report an operation of an open session that was not started."""
        self._report('operation_refused', database, refusal)

    def _report(self, event: str, database: str, refusal: Result) -> None:
        basis = self._basis()
        self._count(refusal.error, 'current' if basis.is_current else 'old').inc()
        self._log.failure(
            event, database=database[:MAX_LOGGED], reason=refusal.error, **basis._asdict()
        )
