"""Cost of the connection table and fair queue of a member, and of peer link messages."""

from __future__ import annotations

import time

from bench.processes import HOST, free_ports
from bench.slopes_fit import Series, measure_series, memory_bytes, processor_us
from bench.slopes_fixtures import CLUSTER_KEY, seats
from godwitthread.clock import Clock
from godwitthread.core.invariants import Invariants
from godwitthread.core.membership_messages import Echo, Heartbeat
from godwitthread.core.pool import Assign, ConnectionTable, Open
from godwitthread.core.scheduling.fairness import FairQueue
from godwitthread.events import HybridLogicalClock
from godwitthread.instance import configuration_manager  # noqa: F401 - registers the message types
from godwitthread.loop import eventlet
from godwitthread.peers.link import PeerLink

CONNECTION_SIZES = (5, 10, 20, 35, 70, 140)
WAITING_SIZES = (8, 64, 256, 512, 1_024)
ORGANISATION_SIZES = (1, 8, 64, 256, 1_000)
MESSAGE_SIZES = (500, 1_000, 2_000, 3_000, 4_000)
ORGANISATIONS = 8
FAR_FUTURE_MS = 10**9
#: Messages between two flushes; a full outbox drops messages.
SEND_BATCH = 50


def series() -> list[Series]:
    """Return processor time and memory of connections, waiting requests and messages."""
    waiting, many = WAITING_SIZES, ORGANISATION_SIZES
    return [
        measure_series('acquire_release', 'us', 'connections', CONNECTION_SIZES, _acquire_us),
        measure_series('control_tick', 'us', 'connections', CONNECTION_SIZES, _tick_us),
        measure_series('table_memory', 'B', 'connections', CONNECTION_SIZES, _table_bytes),
        measure_series(
            'queue_pass', 'us', 'waiting', waiting, lambda n: _queue_us(n, ORGANISATIONS)
        ),
        measure_series('queue_memory', 'B', 'waiting', waiting, _queue_bytes),
        measure_series(
            'queue_pass_organisations', 'us', 'organisations', many, lambda n: _queue_us(n, n)
        ),
    ]


def link_series() -> list[Series]:
    """Return the processor time of messages sent by one link and received by another."""
    return [measure_series('link_messages', 'us', 'messages', MESSAGE_SIZES, _link_us)]


def _table(count: int) -> ConnectionTable:
    table = ConnectionTable('member', Invariants(), count)
    for action in table.set_warm(0, 'read', count):
        assert isinstance(action, Open)
        table.opened(0, action.conn)
    return table


def _acquire_us(count: int) -> float:
    table = _table(count)

    def operation() -> None:
        (assigned,) = table.acquire(0, 'request', 'read')
        assert isinstance(assigned, Assign)
        table.release(0, assigned.conn, 'request', dirty=False)

    return processor_us(operation)


def _tick_us(count: int) -> float:
    table = _table(count)
    return processor_us(lambda: table.tick(0))


def _table_bytes(count: int) -> float:
    return memory_bytes(lambda: _table(count))


def _queue(count: int, organisations: int) -> FairQueue[int]:
    queue: FairQueue[int] = FairQueue(35, max_queued=count)
    for number in range(count):
        queue.push(0, f'organisation-{number % organisations:04d}', 1, number, FAR_FUTURE_MS)
    return queue


def _queue_us(count: int, organisations: int) -> float:
    queue = _queue(count, organisations)

    def operation() -> None:
        popped = queue.pop(0)
        assert popped is not None
        queue.charge(popped.organisation, 5)
        queue.push(0, popped.organisation, 1, 0, FAR_FUTURE_MS)

    return processor_us(operation)


def _queue_bytes(count: int) -> float:
    return memory_bytes(lambda: _queue(count, ORGANISATIONS))


def _link_us(count: int) -> float:
    ports = free_ports(2)
    first, second = (
        seat._replace(host=HOST, peer_port=port) for seat, port in zip(seats(2), ports, strict=True)
    )
    clock = Clock()
    sender, receiver = (
        PeerLink(seat, CLUSTER_KEY, HybridLogicalClock(clock.wall_ms), clock)
        for seat in (first, second)
    )
    arrived: list[int] = []
    receiver.register_handler('heartbeat', lambda envelope: arrived.append(1))
    sender.start()
    receiver.start()
    try:
        sender.send(second, _heartbeat())
        _wait_for_messages(arrived, 1)
        begin = time.process_time()
        for number in range(count):
            sender.send(second, _heartbeat())
            if number % SEND_BATCH == 0:
                sender.flush(1_000)
        _wait_for_messages(arrived, count + 1)
        return (time.process_time() - begin) * 1e6
    finally:
        sender.stop()
        receiver.stop()


def _wait_for_messages(arrived: list[int], count: int) -> None:
    with eventlet.Timeout(30):
        while len(arrived) < count:
            eventlet.sleep(0.001)


def _heartbeat() -> Heartbeat:
    return Heartbeat('entry-000', 1 << 61, 2_100, 1_000_000, Echo(1 << 61, 999_500))
