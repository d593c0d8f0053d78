"""Whether an instance of the HTTP interface waits for work while it stops.

Load pattern: requests and transactions that outlast the drain limit, and forwarded requests.
"""

from __future__ import annotations

from typing import NamedTuple


class Work(NamedTuple):
    """Work of an instance that is not finished."""

    #: Running requests of callers and of other instances.
    requests: int
    #: Open transactions.
    transactions: int


def waits_for_work(now_ms: int, until_ms: int, work: Work) -> bool:
    """Return whether to wait until new work is refused."""
    return now_ms < until_ms and (work.requests > 0 or work.transactions > 0)


def waits_for_answers(work: Work) -> bool:
    """Return whether to wait for running requests once new work is refused.

    Each of them ends by its deadline; an open transaction without a request does not.
    """
    return work.requests > 0
