"""Whether a refusal that is final for a caller is known to be right, and when to ask for evidence.

While calls to the store get no answer, the copy of the configuration may lack a route or a key that
must be in force by now. Load pattern: any number of callers with wrong names or keys, also during
an outage of hours; calls are priced, and a caller leaves if it is not answered within 2 s.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from godwitthread.core.freshness import FRESHNESS_LIMIT_MS

#: Time from the start of a call within which callers wait for its answer, in ms. The store answers
#: in 4 ms; during an outage, only the callers that arrive first wait for this long.
MAX_WAIT_MS = 300
#: The same for a call after one that brought no evidence; a peer without evidence says so at once.
RETRY_WAIT_MS = 100
#: Least time between the starts of two calls, in ms.
MIN_CALL_INTERVAL_MS = 250
#: The same after a call that brought no evidence, in ms, to the store and to a peer. A reader has
#: other calls that find out when the store is back; they are not made at an isolated instance that
#: is no candidate. Other instances learn it by this call only.
STORE_RETRY_MS = 3_000
PEER_RETRY_MS = 1_000


class Verdict(Enum):
    """What happens to a caller that the copy does not know."""

    #: The copy is complete enough: the caller is refused for good.
    REFUSE = 'refuse'
    #: The answer to a call may tell.
    WAIT = 'wait'
    #: No evidence is expected soon: the caller is told to return later.
    POSTPONE = 'postpone'


class Judgement(NamedTuple):
    """What happens to a caller, and for how long it waits at most, in ms."""

    verdict: Verdict
    wait_ms: int = 0


class RefusalEvidence:
    """Calls for evidence that were made for refusals, and what follows from their outcome."""

    def __init__(self) -> None:
        self._asking = False
        #: Start of the last call.
        self._asked_ms: int | None = None
        #: Start of the last call if it brought no evidence.
        self._failed_ms: int | None = None

    def judge(
        self, now_ms: int, arrived_ms: int, evidence_ms: int | None, wait_ms: int = MAX_WAIT_MS
    ) -> Judgement:
        """Judge the refusal of a request that arrived at a time."""
        if _covers(evidence_ms, arrived_ms):
            return Judgement(Verdict.REFUSE)
        limit_ms = RETRY_WAIT_MS if self._is_failing(evidence_ms) else wait_ms
        if self._asked_ms is not None and self._asking and now_ms - self._asked_ms < limit_ms:
            return Judgement(Verdict.WAIT, self._asked_ms + limit_ms - now_ms)
        return Judgement(Verdict.POSTPONE)

    def is_call_due(
        self, now_ms: int, arrived_ms: int, evidence_ms: int | None, retry_ms: int
    ) -> bool:
        """Return whether a request that arrived at a time, and may be refused, starts a call."""
        if self._asking or _covers(evidence_ms, arrived_ms):
            return False
        interval_ms = retry_ms if self._is_failing(evidence_ms) else MIN_CALL_INTERVAL_MS
        return self._asked_ms is None or now_ms - self._asked_ms >= interval_ms

    def call_began(self, now_ms: int) -> None:
        """Record the start of a call."""
        self._asking, self._asked_ms = True, now_ms

    def call_ended(self, evidence_ms: int | None) -> None:
        """Record the end of a call, and the evidence that is known then."""
        asked_ms, self._asking = self._asked_ms, False
        known = asked_ms is None or _covers(evidence_ms, asked_ms)
        self._failed_ms = None if known else asked_ms

    def _is_failing(self, evidence_ms: int | None) -> bool:
        """Return whether nothing was heard of the store since a call without evidence."""
        failed_ms = self._failed_ms
        return failed_ms is not None and (evidence_ms is None or evidence_ms <= failed_ms)


def _covers(evidence_ms: int | None, arrived_ms: int) -> bool:
    """Return whether the copy has all changes that a request must find in force."""
    return evidence_ms is not None and evidence_ms >= arrived_ms - FRESHNESS_LIMIT_MS
