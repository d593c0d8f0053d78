"""Phases of a planned stop, and what an instance still does in each of them.

Load pattern: callers keep using their connections until the process is gone, with transactions
that pause between their statements, and with statements that run at other instances. Other
instances send statements until they know of the stop.
"""

from __future__ import annotations

from enum import IntEnum

#: Time for which the process stays although it has no work, in ms. Statements that peers sent
#: before they learned of the shutdown arrive within a round trip, or after a retransmission.
PEER_NOTICE_MS = 300
#: Share of the grace period after which open transactions are rolled back.
TRANSACTION_SHARE = 0.5
#: Time before the end of the grace period at which unanswered statements get a final answer, in
#: ms. A slow process needs it to send the answers and to exit before it is killed.
EXIT_MARGIN_MS = 700


class Phase(IntEnum):
    """Phases of an instance, in their order."""

    SERVING = 0
    #: Sessions end when they are idle; open transactions go on.
    DRAINING = 1
    #: Sessions end, and open transactions are rolled back, as soon as no statement is running.
    ABORTING = 2
    #: Statements that are still running get a final answer, and the process ends.
    STOPPING = 3


def phase(elapsed_ms: int, grace_ms: int, busy: bool) -> Phase:
    """Return the phase at a time after the request to stop, in ms."""
    if elapsed_ms >= grace_ms - EXIT_MARGIN_MS or (not busy and elapsed_ms >= PEER_NOTICE_MS):
        return Phase.STOPPING
    if elapsed_ms >= grace_ms * TRANSACTION_SHARE:
        return Phase.ABORTING
    return Phase.DRAINING
