"""Choice of the idle connection that is closed to make room."""

from __future__ import annotations

from godwitthread.core.scheduling.idle_connections import MAX_ORGANISATIONS, IdleConnections
from tests.test_gateway.fakes import FakeGroup, runner
from tests.test_gateway.virtual_members import (
    LimitedGroup,
    Load,
    in_virtual_time,
    limited_runner,
)


def test_few_connections_serve_busy_organisations_without_opening_new_ones():
    """Guard against a busy organisation's connection closed because it was just idle longest.

    Closing the oldest one opened a connection for 49% of the reads.
    """

    def replay(clock):
        group = LimitedGroup(accepts=12)
        load = Load(limited_runner(group, clock), clock, 75)
        load.weights = [1 / number for number in range(1, 76)]
        load.send(172, 10_000)
        return len(group.connections) / len(load.results)

    assert in_virtual_time(replay) < 0.44


def test_a_further_connection_of_an_organisation_is_closed_before_an_only_one():
    """Guard against several idle connections of one organisation while others open new ones."""
    uses = IdleConnections()
    for at_ms in range(0, 1_000, 100):
        uses.record_use(at_ms, 'busy')
    uses.record_use(1_000, 'rare')
    assert uses.choose(1_000, {'busy': 3, 'rare': 1}) == 'busy'
    assert uses.choose(1_000, {'busy': 1, 'rare': 1}) == 'rare'


def test_former_use_loses_its_weight():
    """Guard against connections kept for an organisation that has stopped sending."""
    uses = IdleConnections()
    for at_ms in range(0, 1_000, 20):
        uses.record_use(at_ms, 'former')
    uses.record_use(40_000, 'recent')
    assert uses.choose(40_000, {'former': 1, 'recent': 1}) == 'former'
    assert uses.choose(40_000, {}) is None


def test_rates_of_many_organisations_take_bounded_memory():
    """Guard against memory that grows with every organisation ever seen."""
    uses = IdleConnections()
    for number in range(3 * MAX_ORGANISATIONS):
        uses.record_use(number, f'org{number}')
    assert len(uses._uses) <= MAX_ORGANISATIONS
    assert uses.uses_per_s(3 * MAX_ORGANISATIONS, f'org{3 * MAX_ORGANISATIONS - 1}') > 0


def test_a_reserved_connection_is_not_closed_to_make_room():
    """Guard against a statement that was promised a connection and has to open one."""
    group = FakeGroup(1)
    pool = runner(group).pools['m0']
    pool.set_limit(2)
    held = [pool.acquire(name, {}, 100) for name in ('a', 'b')]
    for conn in held:
        pool.release(conn)
    pool.reserve('a')
    pool.acquire('c', {}, 100)
    assert pool.acquire_reserved('a', {}) is held[0]
    assert held[1].closed
