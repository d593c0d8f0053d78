"""Statements of one group that wait for a slot of a member."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

from godwitthread.core.scheduling.dispatch import Assignment, Dispatcher, Rejection
from godwitthread.core.statements import Result, failure
from godwitthread.errors import ErrorKind
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from godwitthread.clock import Clock
    from godwitthread.core.scheduling.member_state import WorkItem
    from godwitthread.gateway.logs import Log

#: Error kind and message of a statement that was refused as not run, by reason.
REFUSALS = {
    'overloaded': (ErrorKind.OVERLOADED, 'the queue of the group is full'),
    'too_late': (ErrorKind.OVERLOADED, 'the time limit can no longer be met'),
    'no_primary': (ErrorKind.BACKEND_UNAVAILABLE, 'no primary'),
    'no_member': (ErrorKind.BACKEND_UNAVAILABLE, 'no member is free'),
}


class StatementQueue:
    """Suspend statements until the dispatcher assigns or refuses them."""

    def __init__(self, name: str, clock: Clock, log: Log) -> None:
        self.name = name
        self.dispatcher = Dispatcher()
        #: Statements refused as not run, by reason.
        self.refusals: Counter[str] = Counter()
        self._clock = clock
        self._log = log
        self._numbers = itertools.count(1)
        self._events: dict[int, eventlet.event.Event] = {}
        self._timer: eventlet.hubs.timer.Timer | None = None
        self._timer_ms = 0

    def dispatch_waiting(self) -> None:
        """Assign waiting work to members with free capacity."""
        now_ms = self._clock.now_ms()
        for assignment in self.dispatcher.assign(now_ms):
            self._on_assigned(assignment)
            event = self._events.pop(assignment.work.number, None)
            if event is not None:
                event.send(assignment.member)
        for refused in self.dispatcher.take_refused():
            event = self._events.pop(refused.work.number, None)
            if event is not None:
                event.send(refused)
        next_ms = self.dispatcher.next_change_ms(now_ms)
        room_ms = self._next_room_ms()
        if next_ms is not None and room_ms is not None:
            next_ms = min(next_ms, room_ms)
        if next_ms is None or (self._timer is not None and self._timer_ms <= next_ms):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_ms = next_ms
        # A green thread that is cancelled before its start keeps the frames of whoever cancels it,
        # with the answers of members in them, until the garbage is collected.
        hub = eventlet.hubs.get_hub()
        wait_s = (next_ms - now_ms) / 1000
        self._timer = hub.schedule_call_global(wait_s, eventlet.spawn_n, self._on_timer)

    def _on_assigned(self, assignment: Assignment) -> None:
        """Observe the assignment of a statement."""

    def _next_room_ms(self) -> int | None:
        """Return when there may be room for a connection, None if that is not known."""
        return None

    def _on_timer(self) -> None:
        self._timer = None
        self.dispatch_waiting()

    def _wait(self, work: WorkItem) -> str | Result:
        """Wait for a member; return it, or the refusal of the statement as not run."""
        now_ms = self._clock.now_ms()
        if work.limit_ms and now_ms >= work.limit_ms:
            # A member that refuses it as not run would otherwise get it again and again.
            return self._refuse('too_late', Rejection(work, 0))
        refused = self.dispatcher.submit(now_ms, work)
        if refused is not None:
            overloaded = self.dispatcher.has_member(now_ms, work)
            return self._refuse('overloaded' if overloaded else self._missing(work), refused)
        event = self._events[work.number] = eventlet.event.Event()
        self.dispatch_waiting()
        with eventlet.Timeout(max(1, work.deadline_ms - now_ms) / 1000, False):
            return self._on_outcome(event.wait())
        now_ms = self._clock.now_ms()
        self._events.pop(work.number, None)
        if not self.dispatcher.cancel(work.number):
            # The work was assigned or refused in the same iteration of the event loop.
            return self._on_outcome(event.wait())
        delay_ms = self.dispatcher.retry_after_ms(now_ms, work)
        return self._refuse(self._missing(work), Rejection(work, delay_ms))

    def _missing(self, work: WorkItem) -> str:
        """Return the reason why no member runs a statement."""
        return 'no_primary' if work.primary and not self.dispatcher.primary else 'no_member'

    def _on_outcome(self, outcome: str | Rejection) -> str | Result:
        if isinstance(outcome, str):
            return outcome
        return self._refuse('too_late', outcome)

    def _refuse(self, reason: str, refused: Rejection) -> Result:
        # A further attempt of a read has no time limit of its own, and is no refusal of it.
        if refused.work.limit_ms:
            self.refusals[reason] += 1
            self._log.failure('statement_refused', group=self.name, reason=reason)
        return failure(*REFUSALS[reason], refused.retry_after_ms, True)

    def _wait_turn(self, work: WorkItem) -> None:
        """Wait for a slot for a statement of an open transaction.

        The statement is never refused for load: if there is no slot in time, it is sent to the
        member's own queue.
        """
        now_ms = self._clock.now_ms()
        event = self._events[work.number] = eventlet.event.Event()
        self.dispatcher.submit(now_ms, work)
        self.dispatch_waiting()
        with eventlet.Timeout(max(1, work.deadline_ms - now_ms) / 1000, False):
            event.wait()
            return
        self._events.pop(work.number, None)
        state = self.dispatcher.members.get(work.member)
        if self.dispatcher.cancel(work.number) and state is not None:
            state.record_sent(self._clock.now_ms())
