"""Order in which the waiting statements of a group start.

Load that this responds to: more statements than the members can run within the objective.
"""

from __future__ import annotations

import bisect
import heapq
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.scheduling.member_state import WorkItem
from godwitthread.core.scheduling.service_times import Kind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from godwitthread.core.scheduling.fairness import HoldTimeShares

#: Sort key of a statement: priority, due time, number.
Key = tuple[int, int, int]


class Entry(NamedTuple):
    """Waiting statement and its place."""

    work: WorkItem
    key: Key
    late: bool


class QueueLengths(NamedTuple):
    """Numbers of waiting statements."""

    #: Statements that can meet their objective.
    in_time: int
    late: int
    #: Statements of open transactions.
    transaction: int


class Lane:
    """Waiting statements that the same members may run.

    Statements that can meet their objective are sorted by it, for all organisations and for each
    one; late ones are sorted by the latest time at which they can start.
    """

    def __init__(self, shares: HoldTimeShares) -> None:
        self._shares = shares
        #: Waiting statements by number.
        self.entries: dict[int, Entry] = {}
        self._due: list[Key] = []
        self._by_organisation: dict[str, list[Key]] = {}
        self._late: list[Key] = []
        self._late_by_organisation: Counter[str] = Counter()
        #: Objective or latest start of each statement, to find those whose time has passed;
        #: entries of removed statements are skipped.
        self._objectives: list[tuple[int, int]] = []
        self._latest_starts: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[WorkItem]:
        return (entry.work for entry in self.entries.values())

    @property
    def due(self) -> int:
        """Return the number of statements that can meet their objective."""
        return len(self._due)

    @property
    def late(self) -> int:
        """Return the number of late statements."""
        return len(self._late)

    @property
    def organisations(self) -> int:
        """Return the number of organisations with statements that can meet their objective."""
        return len(self._by_organisation)

    @property
    def late_organisations(self) -> int:
        """Return the number of organisations with late statements."""
        return len(self._late_by_organisation)

    def due_of(self, organisation: str) -> int:
        """Return the number of an organisation's statements that can meet their objective."""
        return len(self._by_organisation.get(organisation, ()))

    def late_of(self, organisation: str) -> int:
        """Return the number of an organisation's late statements."""
        return self._late_by_organisation.get(organisation, 0)

    def add_due(self, work: WorkItem, hold_ms: float) -> None:
        """Add a statement that can meet its objective."""
        key = work.priority, work.objective_ms, work.number
        self.entries[work.number] = Entry(work, key, False)
        bisect.insort(self._due, key)
        own = self._by_organisation.get(work.organisation)
        if own is None:
            own = self._by_organisation[work.organisation] = []
            self._shares.activate(work.organisation, hold_ms)
        bisect.insort(own, key)
        heapq.heappush(self._objectives, (work.objective_ms, work.number))

    def add_late(self, work: WorkItem, latest_start_ms: int) -> None:
        """Add a statement that can no longer meet its objective."""
        key = work.priority, latest_start_ms, work.number
        self.entries[work.number] = Entry(work, key, True)
        bisect.insort(self._late, key)
        self._late_by_organisation[work.organisation] += 1
        heapq.heappush(self._latest_starts, (latest_start_ms, work.number))

    def remove(self, number: int) -> bool:
        """Remove a statement; return False if it is not waiting."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return False
        organisation = entry.work.organisation
        if entry.late:
            del self._late[bisect.bisect_left(self._late, entry.key)]
            self._late_by_organisation[organisation] -= 1
            if not self._late_by_organisation[organisation]:
                del self._late_by_organisation[organisation]
            return True
        del self._due[bisect.bisect_left(self._due, entry.key)]
        own = self._by_organisation[organisation]
        del own[bisect.bisect_left(own, entry.key)]
        if not own:
            del self._by_organisation[organisation]
        return True

    def in_order(self, fair: bool) -> Iterator[WorkItem]:
        """Return the statements in time in their order, by organisation if they must share."""
        if not fair or len(self._by_organisation) == 1:
            for key in self._due:
                yield self.entries[key[2]].work
            return
        tags = self._shares.start_tag
        ranked = sorted(
            (own[0][0], tags(name), own[0][1], name) for name, own in self._by_organisation.items()
        )
        for each in ranked:
            for key in self._by_organisation[each[3]]:
                yield self.entries[key[2]].work

    def late_in_order(self) -> Iterator[WorkItem]:
        """Return the late statements in their order."""
        for key in self._late:
            yield self.entries[key[2]].work

    def take_turned_late(self, start_by_ms: float) -> list[WorkItem]:
        """Remove and return the statements whose objective is before a time."""
        return self._take(self._objectives, start_by_ms, late=False)

    def take_expired(self, now_ms: int) -> list[WorkItem]:
        """Remove and return the late statements that can no longer start in time."""
        return self._take(self._latest_starts, now_ms, late=True)

    def _take(self, heap: list[tuple[int, int]], before_ms: float, late: bool) -> list[WorkItem]:
        taken: list[WorkItem] = []
        while heap and heap[0][0] < before_ms:
            number = heapq.heappop(heap)[1]
            entry = self.entries.get(number)
            if entry is not None and entry.late is late:
                self.remove(number)
                taken.append(entry.work)
        return taken


def transaction_key(work: WorkItem) -> tuple[bool, int, int, int]:
    """Return the sort key of a statement of an open transaction; commits go first."""
    return work.kind is not Kind.COMMIT, work.priority, work.objective_ms, work.number
