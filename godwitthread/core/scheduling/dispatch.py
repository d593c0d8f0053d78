"""Scheduling of the statements of one group on its members."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.scheduling.member_state import MemberState, WorkItem

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Load added to the primary when a member is chosen for a read, as a share of its slots,
#: because writes can run only there.
PRIMARY_READ_PENALTY = 0.5


class Rejection(NamedTuple):
    """Statement that cannot start before its deadline, with a retry delay."""

    work: WorkItem
    retry_after_ms: int


class Assignment(NamedTuple):
    """Statement that can start now, and the member that runs it."""

    work: WorkItem
    member: str


class Dispatcher:
    """Assign the waiting statements of a group to its members."""

    def __init__(self) -> None:
        self.members: dict[str, MemberState] = {}
        #: Primary, None while there is none or a switchover is in progress.
        self.primary: str | None = None
        #: Organisations that wait behind others, since they hold many of the connections.
        self.deferred: set[str] = set()
        self._waiting: dict[int, WorkItem] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[WorkItem]:
        return iter(self._waiting.values())

    def submit(self, now_ms: int, work: WorkItem) -> Rejection | None:
        """Queue a statement, or reject it if it is not expected to start before its deadline."""
        wait_ms = self.expected_wait_ms(now_ms, work)
        if now_ms + wait_ms >= work.deadline_ms:
            return Rejection(work, max(1, int(wait_ms)))
        self._waiting[work.number] = work
        return None

    def cancel(self, number: int) -> bool:
        """Remove a waiting statement; return False if it was already assigned."""
        return self._waiting.pop(number, None) is not None

    def expected_wait_ms(self, now_ms: int, work: WorkItem) -> float:
        """Return the expected wait of a statement submitted now, in ms."""
        if work.primary:
            member = self.members.get(self.primary or '')
            if member is None:
                return 0.0
            ahead = sum(other.primary for other in self)
            busy = ahead + max(0, member.load(now_ms) - member.slots)
            return busy * member.service_ms / member.slots
        members = [member for member in self.members.values() if member.usable]
        slots = sum(member.slots for member in members)
        if not slots:
            return 0.0
        service_ms = sum(member.service_ms for member in members) / len(members)
        # Statements waiting for a primary occupy no slot while there is none.
        ahead = sum(self.primary is not None or not other.primary for other in self)
        return ahead * service_ms / slots

    def assign(self, now_ms: int) -> list[Assignment]:
        """Return the statements that can start now; their members count them as running."""
        if not self._waiting:
            return []
        free = {member.id: member for member in self.members.values() if member.can_accept(now_ms)}
        assigned: list[Assignment] = []
        order = sorted(self._waiting.values(), key=lambda work: _sort_key(now_ms, work))
        for work in sorted(order, key=lambda work: work.organisation in self.deferred):
            if not free:
                break
            member = self._choose_member(now_ms, work, free)
            if member is None:
                continue
            del self._waiting[work.number]
            member.record_sent(now_ms)
            member.reserve_connection(work.organisation)
            assigned.append(Assignment(work, member.id))
            if not member.can_accept(now_ms):
                del free[member.id]
        return assigned

    def next_change_ms(self, now_ms: int) -> int | None:
        """Return when `assign` is to run again if no answer arrives, None if nothing waits."""
        if not self._waiting:
            return None
        times = [min(work.deadline_ms for work in self._waiting.values())]
        times += [
            member.paused_until_ms
            for member in self.members.values()
            if member.paused_until_ms > now_ms
        ]
        times += [
            each
            for member in self.members.values()
            if (each := member.next_overdue_ms(now_ms)) is not None
        ]
        times += [
            each
            for work in self._waiting.values()
            if work.required is not None
            for member in self.members.values()
            if (each := member.expected_applied_ms(now_ms, work.required_ms)) > now_ms
        ]
        return max(now_ms + 1, min(times))

    def _choose_member(
        self, now_ms: int, work: WorkItem, free: dict[str, MemberState]
    ) -> MemberState | None:
        if work.primary:
            return free.get(self.primary or '')
        eligible = [
            member
            for member in free.values()
            if member.id not in work.avoid
            and (member.id == self.primary or member.has_applied(now_ms, work))
        ]
        # Only the primary can run writes, so reads prefer the replicas.
        return min(
            eligible,
            key=lambda member: (
                member.cost(now_ms, work.organisation)
                + (PRIMARY_READ_PENALTY if member.id == self.primary else 0.0),
                member.service_ms,
                member.id,
            ),
            default=None,
        )


def _sort_key(now_ms: int, work: WorkItem) -> tuple[bool, int, int, int]:
    # Statements that can still meet their objective precede those that are already late.
    return now_ms > work.objective_ms, work.priority, work.objective_ms, work.number
