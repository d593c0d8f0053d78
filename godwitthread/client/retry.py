"""Retry policy of the client, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.retry import backoff_ms
from godwitthread.errors import ERROR_RESPONSES, ErrorKind, Outcome

if TYPE_CHECKING:
    from random import Random

    from godwitthread.errors import ProxyError

#: Attempts per request; the limit keeps a long deadline from multiplying the load.
MAX_ATTEMPTS = 10
#: Kinds that concern a single instance; another instance may serve the request at once.
INSTANCE_KINDS = frozenset(
    {ErrorKind.MOVED, ErrorKind.SHUTTING_DOWN, ErrorKind.STALE_CONFIGURATION}
)
#: Kinds with an unknown outcome that a retry does not resolve.
PERMANENT_KINDS = frozenset({ErrorKind.INTERNAL, ErrorKind.PROMISE_VIOLATED})


def may_repeat(exc: ProxyError, repeatable: bool) -> bool:
    """Return whether a failed request may be retried; `repeatable` allows a second run."""
    if exc.outcome is Outcome.NOT_RUN:
        return ERROR_RESPONSES[exc.kind].retryable
    return repeatable and exc.outcome is Outcome.UNKNOWN and exc.kind not in PERMANENT_KINDS


def delay_ms(exc: ProxyError, attempt: int, untried_url: bool, rng: Random) -> int:
    """Return the delay after the failed attempt number `attempt` (from 0), in ms."""
    wait_ms = backoff_ms(attempt, rng)
    # Rate limits apply across all instances, so another URL would refuse as well.
    if untried_url and exc.kind is not ErrorKind.RATE_LIMITED:
        return wait_ms
    return max(wait_ms, exc.retry_after_ms or 0)


def overall_outcome(last: Outcome, earlier_unknown: bool) -> Outcome:
    """Return the outcome of all attempts together.

    After an attempt with an unknown outcome, the request may have run even though the last
    attempt did not.
    """
    if last is Outcome.NOT_RUN and earlier_unknown:
        return Outcome.UNKNOWN
    return last
