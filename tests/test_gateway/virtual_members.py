"""Members in virtual time, with slots, times of work and a number of connections they accept."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Any

from eventlet import hubs, patcher
from eventlet.semaphore import Semaphore

from godwitthread.clock import Clock
from godwitthread.core.catalog import Group
from godwitthread.core.statements import Action, Consistency, Refusal, Reply
from godwitthread.gateway.groups.group_runner import GroupRunner
from godwitthread.gateway.ports import NotConnectedError
from godwitthread.loop import eventlet
from tests.test_gateway.fakes import (
    GROUP,
    FakeConnection,
    FakeGroup,
    FakeLease,
    members,
    ports,
    quiet_log,
    request,
)
from tests.test_system.virtual_time import VirtualHub

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.statements import Result, RunRequest

SLOTS = 4
OPEN_MS = 12
WORK_MS = 14
#: Time from the gateway to a member and back, in ms.
ROUND_TRIP_MS = 1


class OrderedHub(VirtualHub):
    """Hub in which timers due at the same time fire in the order in which they were added.

    Eventlet compares their memory addresses, so that results would differ from run to run.
    """

    def add_timer(self, timer: Any) -> Any:
        timer.seconds += next(self._order) * 1e-11
        return super().add_timer(timer)

    _order = itertools.count()


def in_virtual_time(test: Callable[[Clock], Any]) -> Any:
    """Run a test on an event loop of its own, in which time jumps to the next timer."""
    outcome: list[Any] = []

    def body() -> None:
        OrderedHub._order = itertools.count()
        hubs.use_hub(OrderedHub)
        hub = hubs.get_hub()
        clock = Clock(lambda: hub.now_s + 1, lambda: hub.now_s + 1)
        try:
            outcome.append(eventlet.spawn(test, clock).wait())
        except BaseException as exc:
            outcome.append(exc)

    thread = patcher.original('threading').Thread(target=body)
    thread.start()
    thread.join()
    if isinstance(outcome[0], BaseException):
        raise outcome[0]
    return outcome[0]


class LimitedGroup(FakeGroup):
    """Members that accept a number of connections and run a number of statements at a time."""

    def __init__(self, accepts: int) -> None:
        super().__init__()
        #: Connections that each member accepts.
        self.accepts = accepts
        self.slots = {name: Semaphore(SLOTS) for name in self.names}
        self.open = dict.fromkeys(self.names, 0)
        #: Connections that were refused, and statements that ran for another organisation.
        self.refused = 0
        self.mixed_up = 0

    def connect(self, member, organisation):
        eventlet.sleep(ROUND_TRIP_MS / 1000)
        if self.open[member.id] >= self.accepts:
            self.refused += 1
            raise NotConnectedError(Refusal.TOO_MANY, 'TOOMANY')
        self.open[member.id] += 1
        with self.slots[member.id]:
            eventlet.sleep(OPEN_MS / 1000)
        conn = LimitedConnection(self, member.id, organisation)
        self.connections.append(conn)
        return conn, Reply(position=self.applied[member.id])


class LimitedConnection(FakeConnection):
    """Connection that occupies a slot of its member while a statement runs."""

    def run(self, statement_id, text, timeout_ms, after=None):
        eventlet.sleep(ROUND_TRIP_MS / 1000)
        with self.group.slots[self.member]:
            eventlet.sleep(WORK_MS / 1000)
        if not text.endswith(self.organisation) and text != 'COMMIT':
            self.group.mixed_up += 1
        return super().run(statement_id, text, timeout_ms, after)

    def close(self):
        if not self.closed:
            self.group.open[self.member] -= 1
        super().close()


class Load:
    """Reads of many organisations at a steady rate, and their results."""

    def __init__(self, runner: GroupRunner, clock: Clock, organisations: int) -> None:
        self.runner = runner
        self.results: list[tuple[int, Result]] = []
        self._clock = clock
        self._numbers = itertools.count(1)
        self._rng = random.Random(7)
        self._names = [f'org{number}' for number in range(organisations)]
        #: Share of the reads by organisation; equal without it.
        self.weights: list[float] | None = None

    def send(self, rate: float, duration_ms: int, objective_ms: int = 255) -> None:
        """Send reads for a time, and wait for their results."""
        pool = eventlet.GreenPool(10_000)
        end_ms = self._clock.now_ms() + duration_ms
        while self._clock.now_ms() < end_ms:
            pool.spawn_n(self._read, self._rng.choices(self._names, self.weights)[0], objective_ms)
            eventlet.sleep(1 / rate)
        pool.waitall()

    def send_each(self, rate: float, duration_ms: int, run: Callable[[], None]) -> None:
        """Call a function at a steady rate for a time, and wait for the calls to end."""
        pool = eventlet.GreenPool(10_000)
        for _ in range(int(rate * duration_ms / 1000)):
            pool.spawn_n(run)
            eventlet.sleep(1 / rate)
        pool.waitall()

    def write(self) -> None:
        """Run one write of any organisation."""
        begun_ms, organisation = self._clock.now_ms(), self._rng.choice(self._names)
        result = self.runner.run('a/1', self._write_request(organisation, next(self._numbers)))
        self.results.append((self._clock.now_ms() - begun_ms, result))

    def transaction(self, organisation: str, rest_ms: int, errors: list[str]) -> None:
        """Run a transaction that rests between its statements, and record its error."""
        session = next(self._numbers)
        for first in (True, False, False):
            req = self._write_request(organisation, session)
            req = req._replace(action=Action.IN_TRANSACTION, first=first)
            result = self.runner.run('a/1', req)
            if result.error:
                errors.append(result.error)
                return
            eventlet.sleep(rest_ms / 3000)
        req = request('COMMIT', Action.COMMIT, session=session, first=False, remaining_ms=2_000)
        errors.append(self.runner.run('a/1', req._replace(organisation=organisation)).error)

    def _write_request(self, organisation: str, session: int) -> RunRequest:
        return request(
            f'WRITE i {organisation}',
            session=session,
            organisation=organisation,
            objective_ms=155,
            remaining_ms=2_067,
        )

    def in_time(self, objective_ms: int = 255) -> int:
        """Return the number of reads that were answered within the objective."""
        return sum(not each.error and took <= objective_ms for took, each in self.results)

    def _read(self, organisation: str, objective_ms: int) -> None:
        begun_ms = self._clock.now_ms()
        req = request(
            f'READ i {organisation}',
            session=next(self._numbers),
            organisation=organisation,
            consistency=Consistency.BOUNDED,
            max_age_ms=60_000,
            objective_ms=objective_ms,
            remaining_ms=2_040,
        )
        result = self.runner.run('a/1', req)
        self.results.append((self._clock.now_ms() - begun_ms, result))


def limited_runner(group: LimitedGroup, clock: Clock, limit: int = 56) -> GroupRunner:
    """Build a runner with the members of a group that accepts few connections."""
    settings = Group(GROUP.name, limit, 0.0)
    log = quiet_log(clock)
    made = GroupRunner(GROUP.name, clock, ports(group), log, lambda *_: 0, FakeLease())
    described = {name: each._replace(slots=SLOTS) for name, each in members(group).items()}
    made.update(settings, described, set(), 3_000)
    return made
