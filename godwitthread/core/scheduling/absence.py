"""Time for which no member has run the statements of a kind.

Load that this responds to: callers of a group without a primary, or whose replicas all lag, who
would wait in vain through an outage of the promotion duty and the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwitthread.core.scheduling.member_state import MemberState

#: Time without a member for statements of a kind after which new ones are refused at once, in ms. A
#: failover takes 0.3 to 1.4 s; without a holder of the promotion duty and the store, much longer.
MISSING_MS = 1_500


class Absence:
    """Absence of the members for reads, or for writes."""

    def __init__(self) -> None:
        #: Since when it lasts, and when it was seen last, in ms; None while members are present.
        self._since_ms: int | None = None
        self._seen_ms = 0

    def is_long(self, now_ms: int) -> bool:
        """Record that no member may run a statement; return whether that has lasted for long."""
        if self._since_ms is None or now_ms - self._seen_ms >= MISSING_MS:
            self._since_ms = now_ms
        self._seen_ms = now_ms
        return now_ms - self._since_ms >= MISSING_MS

    def end_if_answered(self, able: Iterable[MemberState]) -> None:
        """End it once one of the members has answered since; one that fails between does not."""
        since_ms = self._since_ms
        if since_ms is not None and any(member.last_answer_ms > since_ms for member in able):
            self.end()

    def end(self) -> None:
        """Record an answer; a later pause of a member is the start of another absence."""
        self._since_ms = None
