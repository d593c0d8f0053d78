"""Crossings between failure domains in virtual time: python -m bench.placement_model.

Runs the dispatcher of one group of deployment B (a member with 4 slots in each of three failure
domains) on a clock of its own, without a network. Prints the share of the statements that leave the
owner's failure domain on their way to a member, new connections for each statement, and the time to
the answer. It takes about three minutes; the seed is an argument, 1 without it.
"""

from __future__ import annotations

import heapq
import random
import sys
from typing import Any

from godwitthread.core.scheduling.dispatch import Dispatcher
from godwitthread.core.scheduling.member_state import MemberState, WorkItem
from godwitthread.core.scheduling.placement import Placement
from godwitthread.core.statements import Action, Consistency, Result, RunRequest
from godwitthread.gateway.frames import encoder
from godwitthread.types import Position

#: Domains, of which the first has the primary.
DOMAINS = 'abc'
SLOTS = 4
#: Connections that a member accepts, and those left unused.
LIMIT, SPARE = 56, 12
ROUND_TRIP_MS = 1.0
SETUP_MS = 12
OBJECTIVE_MS, TIME_LIMIT_MS = 255, 2_040
#: Statements per second of one group, mean work in ms, and whether only the primary can run them:
#: statements of the primary route, writes of sessions, bounded reads, reads of sessions.
KINDS = ((26.0, 4.5, True), (14.5, 14.0, True), (26.0, 22.0, False), (106.5, 14.0, False))
DURATION_MS = 60_000


class Pool:
    """Idle connections of one member by organisation, oldest first."""

    def __init__(self) -> None:
        self.idle: list[str] = []
        self.in_use = 0

    def take(self, organisation: str) -> bool:
        """Take a connection; return whether it is a new one."""
        self.in_use += 1
        if organisation in self.idle:
            self.idle.remove(organisation)
            return False
        if len(self.idle) + self.in_use > LIMIT and self.idle:
            self.idle.pop(0)
        return True

    def release(self, organisation: str) -> None:
        """Return a connection."""
        self.in_use -= 1
        self.idle.append(organisation)
        if len(self.idle) + self.in_use > LIMIT - SPARE:
            self.idle.pop(0)


class Model:
    """One group whose owner is in a given failure domain."""

    def __init__(self, owner: str, cost_ms: float | None, organisations: int, seed: int) -> None:
        self.owner = owner
        self.rng = random.Random(seed)
        self.names = [f'o{number}' for number in range(organisations)]
        self.dispatcher = Dispatcher()
        self.dispatcher.primary = DOMAINS[0]
        self.pools = {domain: Pool() for domain in DOMAINS}
        for domain, pool in self.pools.items():
            state = self.dispatcher.members[domain] = MemberState(domain, SLOTS)
            state.failure_domain = domain
            state.has_connection = lambda name, pool=pool: name in pool.idle  # type: ignore[misc]
        if cost_ms is not None:
            self.dispatcher.placement = Placement(owner, cost_ms, lambda _: ROUND_TRIP_MS)
        self.events: list[tuple[float, int, Any]] = []
        self.numbers = 0
        self.works: dict[int, tuple[float, int]] = {}
        #: Times at which the slots of each member become free.
        self.slots = {domain: [0.0] * SLOTS for domain in DOMAINS}
        self.crossed = self.opened = self.done = self.refused = 0
        self.delays: list[float] = []

    def push(self, at_ms: float, event: Any) -> None:
        """Schedule an event."""
        self.numbers += 1
        heapq.heappush(self.events, (at_ms, self.numbers, event))

    def run(self, factor: float) -> None:
        """Run the load, multiplied by a factor."""
        for kind, (rate, _, _) in enumerate(KINDS):
            at_ms = 0.0
            while (at_ms := at_ms + self.rng.expovariate(rate * factor / 1_000)) < DURATION_MS:
                self.push(at_ms, ('arrive', kind))
        while self.events:
            now_ms, _, event = heapq.heappop(self.events)
            getattr(self, f'_{event[0]}')(int(now_ms), *event[1:])
            self._dispatch(int(now_ms))

    def _arrive(self, now_ms: int, kind: int) -> None:
        self.numbers += 1
        work = WorkItem(
            self.numbers, KINDS[kind][2], None, 0, now_ms + OBJECTIVE_MS,
            now_ms + int(TIME_LIMIT_MS * 0.45), organisation=self.rng.choice(self.names),
        )  # fmt: skip
        self.works[work.number] = now_ms, kind
        self.refused += self.dispatcher.submit(now_ms, work) is not None

    def _dispatch(self, now_ms: int) -> None:
        for work, domain, _ in self.dispatcher.assign(now_ms):
            arrived_ms, kind = self.works.pop(work.number)
            trip_ms = ROUND_TRIP_MS if domain != self.owner else 0.0
            self.crossed += bool(trip_ms)
            new = self.pools[domain].take(work.organisation)
            self.opened += new
            work_ms = KINDS[kind][1] * self.rng.uniform(0.5, 1.5) + SETUP_MS * new
            free_ms = heapq.heappop(self.slots[domain])
            end_ms = max(free_ms, now_ms + trip_ms / 2 + trip_ms * new) + work_ms
            heapq.heappush(self.slots[domain], end_ms)
            args = work.organisation, domain, now_ms, arrived_ms, new
            self.push(end_ms + trip_ms / 2, ('answer', *args))
        if (next_ms := self.dispatcher.next_change_ms(now_ms)) is not None and not self.events:
            self.push(next_ms, ('wake',))

    def _wake(self, now_ms: int) -> None:
        """Let the dispatcher decide again."""
        for work in [work for work in self.dispatcher if work.deadline_ms <= now_ms]:
            self.refused += self.dispatcher.cancel(work.number)

    def _answer(
        self, now_ms: int, name: str, domain: str, sent_ms: int, arrived_ms: int, new: bool
    ) -> None:
        took_ms = now_ms - sent_ms - SETUP_MS * new
        self.dispatcher.members[domain].record_answer(now_ms, took_ms, None, sent_ms)
        self.pools[domain].release(name)
        self.done += 1
        self.delays.append(now_ms - arrived_ms)


def report(title: str, owners: str, cost_ms: float | None, names: int, factor: float) -> None:
    """Print the mean of the runs with the owner in each of some failure domains."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    models = [Model(owner, cost_ms, names, seed) for owner in owners]
    for model in models:
        model.run(factor)
    done = sum(model.done for model in models)
    delays = sorted(delay for model in models for delay in model.delays)
    crossed, opened = (
        sum(getattr(each, name) for each in models) for name in ('crossed', 'opened')
    )
    refused = sum(model.refused for model in models)
    late = sum(delay > OBJECTIVE_MS for delay in delays)
    print(
        f'{title:28} {names:4} {factor:4.1f} {crossed / done:8.3f} {opened / done:8.3f} '
        f'{delays[len(delays) // 2]:6.0f} {delays[len(delays) * 99 // 100]:6.0f} '
        f'{late / done:6.3f} {refused:7}'
    )


def sizes() -> None:
    """Print the bytes between entry and owner without the text, the rows and the session values."""
    req = RunRequest(
        Action.SINGLE, 1_234, 'orders', 'bode960', 's-1', consistency=Consistency.SESSION,
        seen=Position(3, 123_456), remaining_ms=2_040, objective_ms=255, max_age_ms=2_500,
    )  # fmt: skip
    answer = Result((), 'm1-3-123456-77aa', position=Position(3, 123_456))
    print('request', 4 + len(encoder.encode((12_345, 'run', req))), 'bytes and its text;', end=' ')
    print('answer', 4 + len(encoder.encode((-12_345, 'run', answer))), 'bytes and its rows')


def main() -> None:
    """Print the table."""
    sizes()
    print('price, owner                 orgs load  crossing  opened  p50ms  p99ms   late refused')
    for names in (19, 75):
        for factor in (1.0, 2.0, 3.0):
            report('no price, any domain', DOMAINS, None, names, factor)
            for cost_ms in (2.0, 5.0, 10.0, 20.0):
                report(f'{cost_ms:.0f} ms, any domain', DOMAINS, cost_ms, names, factor)
                report(f'{cost_ms:.0f} ms, domain of primary', DOMAINS[0], cost_ms, names, factor)


if __name__ == '__main__':
    main()
