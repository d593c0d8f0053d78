"""Processor time of shares, connections and membership."""

from __future__ import annotations

import argparse
import random
import time
from typing import TYPE_CHECKING

import msgspec

from godwitthread.core import rendezvous
from godwitthread.core.configuration import Head
from godwitthread.core.connection import Assign, Open
from godwitthread.core.freshness import FreshnessState
from godwitthread.core.invariants import Invariants
from godwitthread.core.membership import MembershipState
from godwitthread.core.membership_messages import Echo, Heartbeat
from godwitthread.core.pool import ConnectionTable
from godwitthread.core.quota import Amount, HolderId, Limit, ShareGrant, ShareRequest
from godwitthread.core.quota_holder import ShareHolder
from godwitthread.core.quota_owner import ShareOwner
from godwitthread.core.scheduling.fairness import FairQueue
from godwitthread.types import Roster, Seat

if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT = Limit('rate/bench', Amount(1_000_000_000, 1_000_000_000))
#: Repetitions of each measurement; the median is printed.
REPEATS = 5


def main() -> None:
    """Print the processor time of each operation in us."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seats', type=int, nargs='+', default=[9, 100, 570])
    args = parser.parse_args()
    print(f'admit: {measure(admit(), 20_000):.2f} us')
    print(f'fair queue push, pop, charge (8 organisations): {measure(queue(), 20_000):.2f} us')
    print(f'connection acquire, release (35 connections): {measure(pool(), 5_000):.2f} us')
    for count in args.seats:
        print(f'request and division, {count} holders: {measure(division(count), 50):.0f} us')
        summary, size = build_summary(count)
        print(f'summary, {count} seats: {measure(summary, 50):.0f} us, {size} bytes')
        print(f'heartbeat and answer, {count} seats: {measure(heartbeat(count), 200):.0f} us')


def measure(operation: Callable[[], object], calls: int) -> float:
    """Return the median processor time of one call in us."""
    results = []
    for _ in range(REPEATS):
        begin = time.process_time()
        for _ in range(calls):
            operation()
        results.append((time.process_time() - begin) * 1e6 / calls)
    return sorted(results)[REPEATS // 2]


def build_seats(count: int) -> tuple[Seat, ...]:
    """Return seats spread over six failure domains."""
    return tuple(
        Seat(f'entry-{n}', 1, '127.0.0.1', 1, 2, 3, f'domain-{n % 6}') for n in range(count)
    )


def admit() -> Callable[[], object]:
    """Return a call that admits one request against a granted share."""
    seats = build_seats(1)
    holder = ShareHolder(HolderId('entry-0', 1), Invariants())
    owner = ShareOwner(HolderId('entry-0', 1), Invariants())
    for part in (holder, owner):
        part.adopt(0, 1, seats, [LIMIT])
    owner.on_settled(0, 1)
    for batch in holder.step(4_000):
        for message in batch.messages:
            assert isinstance(message, ShareRequest)
            owner.on_request(4_000, message)
    for batch in owner.step(4_000, True):
        for grant in batch.messages:
            assert isinstance(grant, ShareGrant)
            holder.on_grant(4_000, grant)
    assert holder.admit(5_000, LIMIT.resource).admitted
    clock = iter(range(5_000, 10_000_000))
    return lambda: holder.admit(next(clock), LIMIT.resource)


def queue() -> Callable[[], object]:
    """Return a call that pushes, pops and charges one request in the fair queue."""
    fair_queue: FairQueue[int] = FairQueue(35)
    names = [f'organisation-{n}' for n in range(8)]
    for name in names:
        fair_queue.push(0, name, 1, 0, 10**9)
    turn = iter(range(10**9))

    def operation() -> None:
        fair_queue.push(0, names[next(turn) % 8], 1, 0, 10**9)
        popped = fair_queue.pop(0)
        assert popped is not None
        fair_queue.charge(popped.organisation, 5)

    return operation


def pool() -> Callable[[], object]:
    """Return a call that acquires and releases one connection."""
    table = ConnectionTable('member', Invariants(), 35)
    for action in table.set_warm(0, 'read', 35):
        assert isinstance(action, Open)
        table.opened(0, action.conn)

    def operation() -> None:
        (assigned,) = table.acquire(0, 'request', 'read')
        assert isinstance(assigned, Assign)
        table.release(0, assigned.conn, 'request', dirty=False)

    return operation


def division(count: int) -> Callable[[], object]:
    """Return a call that handles one urgent request and the division that it causes."""
    seats = build_seats(count)
    seat = rendezvous.owner(LIMIT.resource, seats)
    assert seat is not None
    owner = ShareOwner(HolderId(seat.name, 1), Invariants())
    owner.adopt(0, 1, seats, [LIMIT])
    owner.on_settled(0, 1)
    rng = random.Random(1)
    state = {'now': 4_000, 'number': 0}

    def operation() -> None:
        # The time step is long enough for a division on every call, at any number of holders.
        state['now'] += 1_000
        state['number'] += 1
        name = f'entry-{rng.randrange(count)}'
        demand = rng.randrange(10**8)
        request = ShareRequest(
            LIMIT.resource, name, 1, state['number'], 1, demand, None, urgent=True
        )
        owner.on_request(state['now'], request)
        owner.step(state['now'], True)

    for number in range(count):
        owner.on_request(4_000, ShareRequest(LIMIT.resource, f'entry-{number}', 1, 0, 1, 10, None))
    return operation


def build_distributor(count: int) -> MembershipState:
    """Return a distributor that has received a heartbeat from every seat."""
    seats = build_seats(count)
    distributor = rendezvous.distributors(seats)[0]
    fresh = FreshnessState()
    fresh.adopted(1)
    state = MembershipState(distributor, fresh, random.Random(1))
    state.adopt(0, Head(1, 'a' * 64, 'b' * 64), Roster(seats))
    for seat in seats:
        state.step(900, Heartbeat(seat.name, 1, 1, 0, Echo(1, 800)))
    return state


def build_summary(count: int) -> tuple[Callable[[], object], int]:
    """Return a call that builds a summary with bitmaps, and its size in bytes."""
    view = build_distributor(count).view
    assert view is not None
    size = len(msgspec.msgpack.encode(view.summary(1_000, Echo(1, 900))))
    return lambda: view.summary(1_000, Echo(1, 900)), size


def heartbeat(count: int) -> Callable[[], object]:
    """Return a call that handles a heartbeat and answers it."""
    state = build_distributor(count)
    return lambda: state.step(1_000, Heartbeat('entry-0', 1, 1, 0, Echo(1, 900)))


if __name__ == '__main__':
    main()
