"""Decision when the primary of a group is replaced, and by which member."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Iterable


#: Time without any answer of a primary that was asked, before it is asked once more and
#: then counts as lost, in ms. Longer than a statement with a long tail, and short enough
#: that a caller with 1.2 s in all can be served by the successor.
SILENT_MS = 450
#: Time for which connections to the primary must fail before it counts as lost, in ms.
REFUSED_MS = 400
#: Time between two orders for one group, in ms. A promotion takes up to 1 s.
ORDER_GAP_MS = 1_500


class Signs(NamedTuple):
    """What speaks for and against the primary of a group."""

    #: Member that was the primary last, None if none is known.
    primary: str | None
    #: Whether the store still lists it.
    listed: bool
    draining: bool
    evacuated: bool
    #: Time since the oldest statement without an answer was sent, 0 without one, in ms.
    unanswered_ms: int
    #: Time since connections to it began to fail, 0 if they don't, in ms.
    refused_ms: int
    #: Whether any other member of the group answered lately.
    others_answer: bool


class Candidate(NamedTuple):
    """Member that could become the primary."""

    id: str
    #: Position that it has received, None if it didn't tell.
    received: Position | None
    usable: bool


def reason_to_replace(signs: Signs) -> str | None:
    """Return why the primary should be replaced, None while it should not."""
    if signs.primary is None:
        return 'no_primary'
    if not signs.listed and signs.refused_ms:
        return 'gone'
    if signs.draining:
        return 'draining'
    if signs.evacuated:
        return 'evacuated'
    if signs.refused_ms >= REFUSED_MS:
        return 'refused'
    if signs.unanswered_ms >= SILENT_MS and signs.others_answer:
        return 'silent'
    return None


def is_planned(reason: str) -> bool:
    """Tell whether the primary still runs, so that nothing needs to be lost."""
    return reason in ('draining', 'evacuated')


def successor(candidates: Iterable[Candidate], primary: str | None) -> Candidate | None:
    """Return the member that holds most of the log, None if no member qualifies."""
    able = [each for each in candidates if each.usable and each.id != primary]
    known = [each for each in able if each.received is not None]
    return max(known, key=lambda each: (each.received, each.id), default=None)
