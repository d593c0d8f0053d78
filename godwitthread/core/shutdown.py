"""Phases of a planned stop, and what an instance still does in each of them.

Load pattern: callers keep using their connections until the process is gone, with transactions
that pause between their statements, and with statements that run at other instances. The load
balancer sends new callers, and other instances send statements, until they know of the stop.
"""

from __future__ import annotations

from enum import IntEnum

#: Time for which the process stays although it has no work, in ms. Statements that peers sent
#: before they learned of the shutdown arrive within a round trip, or after a retransmission.
PEER_NOTICE_MS = 300
#: Share of the grace period for which an instance waits for the load balancer to take it out of
#: rotation: 2.4 s of 6 s, which is two probes of readiness a second apart with some delay.
LAME_DUCK_SHARE = 0.4
#: Share of the grace period after which open transactions are rolled back.
TRANSACTION_SHARE = 0.5
#: Time before the end of the grace period at which the last phase begins, in ms. It covers an
#: interval of the check, the final answers and the exit, also of a slow process.
EXIT_MARGIN_MS = 700


class Phase(IntEnum):
    """Phases of an instance, in their order."""

    SERVING = 0
    #: New sessions are accepted, but every session ends after its next operation. The caller has no
    #: request under way then, while a request could cross the close of an idle connection.
    LAME_DUCK = 1
    #: New sessions are refused, and sessions end when they are idle; open transactions go on. An
    #: instance that reaches no majority does the same until it reaches one.
    DRAINING = 2
    #: Sessions end, and open transactions are rolled back, as soon as no statement is running.
    ABORTING = 3
    #: Statements that are still running get a final answer, and the process ends.
    STOPPING = 4


def is_over(elapsed_ms: int, grace_ms: int) -> bool:
    """Return whether the process ends although work is open."""
    return elapsed_ms >= grace_ms - EXIT_MARGIN_MS


def phase(elapsed_ms: int, grace_ms: int, serving: bool, busy: bool) -> Phase:
    """Return the phase at a time after the request to stop, in ms.

    `serving` tells whether new callers still arrive and can be served.
    """
    if is_over(elapsed_ms, grace_ms):
        return Phase.STOPPING
    if serving and elapsed_ms < grace_ms * LAME_DUCK_SHARE:
        return Phase.LAME_DUCK
    if not busy and elapsed_ms >= PEER_NOTICE_MS:
        return Phase.STOPPING
    if elapsed_ms >= grace_ms * TRANSACTION_SHARE:
        return Phase.ABORTING
    return Phase.DRAINING
