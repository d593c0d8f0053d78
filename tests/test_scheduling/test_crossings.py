"""Metrics and events of the traffic between failure domains."""

from __future__ import annotations

import pytest

from godwitthread.clock import Clock
from godwitthread.core.scheduling.placement import Reason
from godwitthread.core.scheduling.sending_periods import PERIOD_MS, PERIODS
from godwitthread.core.statements import Action
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.gateway.crossings import Crossings
from godwitthread.gateway.logs import Log
from godwitthread.gateway.metrics import Metrics
from godwitthread.types import Position
from tests.test_gateway.fakes import FakeGroup, request, runner


class World:
    """Crossings of an instance in the domain of the replica m1."""

    def __init__(self) -> None:
        self.now_ms = 0
        clock = Clock(lambda: self.now_ms / 1_000, lambda: 0.0)
        self.events = EventLog({}, HybridLogicalClock(lambda: 0))
        self.metrics = Metrics()
        self.crossings = Crossings('d1', 5.0, clock, dict, Log(self.events, clock), self.metrics)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        return self.metrics.registry.get_sample_value(f'godwitthread_{name}_total', labels) or 0.0


@pytest.fixture
def world():
    """Build the crossings of an instance."""
    return World()


def test_statements_are_counted_by_pair_of_domains_and_reason(world):
    """Guard against crossings, and costs, whose cause operators can't see."""
    group = FakeGroup()
    made = runner(group)
    # The first read, without evidence of a position, runs at the primary.
    made.run('gw-1/1', request('READ 0'))
    world.crossings.attach(made)
    for name in ('m1', 'm2'):
        # All replicas have applied whatever a read needs.
        group.applied[name] = made.dispatcher.members[name].position = Position(1, 1_000)
    made.run('gw-1/1', request('READ a'))
    assert world.value('domain_statements', source='d1', target='d1') == 1
    assert world.value('domain_bytes', source='d1', target='d1') == len('READ a') + len('row')
    made.run('gw-1/1', request('WRITE a'))
    made.run('gw-1/1', request('WRITE b', Action.IN_TRANSACTION))
    made.run('gw-1/1', request('COMMIT', Action.COMMIT, first=False))
    made.members['m1'] = made.members['m1']._replace(draining=True)
    made.dispatcher.members['m1'].usable = False
    made.run('gw-1/1', request('READ b'))
    assert world.value('crossings', target='d0', reason='write') == 1
    assert world.value('crossings', target='d0', reason='transaction') == 2
    # The primary has an open connection of the organisation, the replica in d2 has none.
    assert world.value('crossings', target='d0', reason='down') == 1
    assert world.value('domain_statements', source='d1', target='d0') == 4
    world.crossings.record_call('d2', request('READ c'), 70)
    assert world.value('crossings', target='d2', reason='owner') == 1
    assert world.value('domain_bytes', source='d2', target='d1') == 70


def test_one_event_tells_that_a_domain_sends_for_long(world):
    """Guard against an event for each burst, or none for a domain whose members are too few."""

    def run(seconds: int, reason: Reason | None) -> list[str]:
        before = len(list(world.events.since()))
        for _ in range(seconds):
            world.crossings.record_choice('d2', reason)
            world.now_ms += PERIOD_MS
            world.crossings.tick()
        return [each['event'] for each in world.events.since()][before:]

    for _ in range(10):
        assert run(PERIODS - 1, Reason.BUSY) == []
        assert run(1, None) == []
    assert run(60, Reason.BUSY) == ['crossings_started']
    for _ in range(10):
        assert run(PERIODS - 1, None) == []
        assert run(1, Reason.BUSY) == []
    assert run(60, None) == ['crossings_stopped']
    assert 'busy' in list(world.events.since())[0]['reasons']
