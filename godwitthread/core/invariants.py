"""Runtime checks of the guarantees given to callers."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from godwitthread.errors import InvariantError

if TYPE_CHECKING:
    from collections.abc import Callable


class Promise(Enum):
    """Guarantees that must always hold."""

    READ_YOUR_WRITES = 'read_your_writes'
    ACCEPTED_AGE = 'accepted_age'
    NO_OLD_PRIMARY_ACK = 'no_old_primary_ack'
    TRANSACTION_ISOLATION = 'transaction_isolation'
    ORGANISATION_KEY = 'organisation_key'
    KEY_NOT_FORWARDED = 'key_not_forwarded'
    WITHDRAWN_KEY = 'withdrawn_key'
    RATE_BOUND = 'rate_bound'
    DOMAIN_OUT = 'domain_out'
    WHOLE_ANSWER = 'whole_answer'
    TRUTHFUL_NOT_RUN = 'truthful_not_run'
    AT_MOST_ONCE = 'at_most_once'
    BACKEND_LEAVING = 'backend_leaving'
    GRACEFUL_SHUTDOWN = 'graceful_shutdown'
    CONFIG_MONOTONE = 'config_monotone'


class Invariants:
    """Count the checks and violations of every promise."""

    def __init__(self, report: Callable[[Promise, str], None] | None = None) -> None:
        #: Number of checks made per promise.
        self.checks: Counter[Promise] = Counter()
        #: Number of violations per promise.
        self.violations: Counter[Promise] = Counter()
        self._report = report

    def check(self, promise: Promise, holds: bool, detail: str = '') -> None:
        """Count a check; raise InvariantError if the promise does not hold."""
        self.checks[promise] += 1
        if holds:
            return
        self.violations[promise] += 1
        if self._report is not None:
            self._report(promise, detail)
        raise InvariantError(promise.value, detail)
