"""When an instance that has started may own groups and rates.

Responds to the start of many instances within a second, as after a power loss of all. Each that
becomes ready to own takes groups over from the others, and each change of owner closes connections
to members and opens them anew at the next owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from godwitthread.core.ownership import PeerReachability

#: Time after the list of instances is known until an instance may own resources without having
#: reached all candidates, in ms. Without it, each of several instances that start at the same time
#: would own everything.
START_DELAY_MS = 400
#: Time without a further candidate becoming reachable after which no more are expected to start, in
#: ms: three attempts to connect, which are 100 ms apart.
QUIET_MS = 300
#: Upper bound of the wait for candidates that are starting, in ms. Meanwhile those that were ready
#: before carry the load alone.
MAX_WAIT_MS = 1_500


class OwnershipStart:
    """Decide when an instance that has started may own resources."""

    def __init__(self) -> None:
        #: Whether this instance has reached the candidates, or waited for them long enough.
        self.reached = False
        #: Whether it may own resources.
        self.ready = False
        self._begun_ms: int | None = None
        #: Candidates that this instance reaches, and those that reach it.
        self._seen: frozenset[tuple[str, bool]] = frozenset()
        self._seen_ms = 0

    def next_change_ms(self) -> int | None:
        """Return when the decision may change by time alone, None before the first step."""
        if self._begun_ms is None or self.ready:
            return None
        return min(
            self._begun_ms + MAX_WAIT_MS,
            self._seen_ms + QUIET_MS if self.reached else self._begun_ms + START_DELAY_MS,
        )

    def step(
        self, now_ms: int, others: Mapping[str, PeerReachability], inbound: Collection[str]
    ) -> bool:
        """Update the decision; return whether this instance became ready.

        Takes the reach of the other candidates and the names of the instances that have a link to
        this one. The first instance that reaches all, or has waited, becomes ready at once. The
        others wait until all candidates reach each other or no further one appears. The last one
        that starts connects to all others at the same time, so that they become ready together.
        """
        if self.ready:
            return False
        if self._begun_ms is None:
            self._begun_ms = now_ms
        up = frozenset(name for name, each in others.items() if each.up)
        seen = frozenset((name, True) for name in up)
        seen = seen.union((name, False) for name in inbound if name in others)
        if not seen <= self._seen:
            self._seen_ms = now_ms
        self._seen = seen
        waited_ms = now_ms - self._begun_ms
        complete = bool(others) and len(up) == len(others)
        self.reached = self.reached or complete or waited_ms >= START_DELAY_MS
        owned = any(each.up and each.ready and not each.leaving for each in others.values())
        mutual = complete and up.issubset(inbound)
        quiet = now_ms - self._seen_ms >= QUIET_MS or waited_ms >= MAX_WAIT_MS
        self.ready = mutual or (self.reached and (quiet or not owned))
        return self.ready
