"""Decision on whether to replace the primary of a group, and by which member."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Iterable


#: Time for which a primary may leave statements unanswered, in ms. It counts from the sending
#: of the oldest unanswered statement, or from the latest answer if that is later. After this
#: time the primary is asked once more and then counts as lost. The limit exceeds the tail
#: latency of a statement, and leaves a caller with 1.2 s in total enough time to be served by
#: the successor.
UNANSWERED_LIMIT_MS = 450
#: Time for which connections to the primary must fail before it counts as lost, in ms.
CONNECTION_FAILURE_LIMIT_MS = 400
#: Minimum time between two promotion orders for a group, in ms. A promotion takes up to 1 s.
PROMOTION_ORDER_INTERVAL_MS = 1_500


class PrimaryHealth(NamedTuple):
    """Observations on the health of the primary of a group."""

    #: Last known primary, None if there is none.
    primary: str | None
    #: Whether the store still lists the primary.
    listed: bool
    draining: bool
    evacuated: bool
    #: Time since the oldest unanswered statement was sent, or since the latest answer if that is
    #: later, in ms; 0 if no statement is unanswered.
    unanswered_ms: int
    #: Time since connections to the primary began to fail, in ms; 0 if they do not fail.
    refused_ms: int
    #: Whether another member of the group answered recently.
    others_answer: bool


class Candidate(NamedTuple):
    """Member considered for promotion."""

    id: str
    #: Position up to which the member has received the log, None if unknown.
    received: Position | None
    usable: bool


def reason_to_replace(health: PrimaryHealth) -> str | None:
    """Return the reason to replace the primary, None if there is none."""
    if health.primary is None:
        return 'no_primary'
    if not health.listed and health.refused_ms:
        return 'gone'
    if health.draining:
        return 'draining'
    if health.evacuated:
        return 'evacuated'
    if health.refused_ms >= CONNECTION_FAILURE_LIMIT_MS:
        return 'refused'
    if health.unanswered_ms >= UNANSWERED_LIMIT_MS and health.others_answer:
        return 'silent'
    return None


def is_planned(reason: str) -> bool:
    """Return whether the primary is still running, so that a handover without loss is possible."""
    return reason in ('draining', 'evacuated')


def successor(candidates: Iterable[Candidate], primary: str | None) -> Candidate | None:
    """Return the candidate that has received most of the log, None if no member qualifies."""
    eligible = [
        candidate for candidate in candidates if candidate.usable and candidate.id != primary
    ]
    known = [candidate for candidate in eligible if candidate.received is not None]
    return max(known, key=lambda candidate: (candidate.received, candidate.id), default=None)
