"""Reports of callers that are refused for their database or key."""

from __future__ import annotations

import pytest
from prometheus_client import generate_latest

from godwitthread.clock import Clock
from godwitthread.core.shutdown import Phase
from godwitthread.core.statements import Verb
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.gateway.logs import Log
from godwitthread.gateway.metrics import Metrics
from godwitthread.gateway.refusal_reports import ConfigurationBasis, RefusalReports
from godwitthread.gateway.session import RECONNECT_DELAY_MS
from godwitthread.gateway.sessions import FINAL_ERRORS, Sessions
from tests.test_gateway.fakes import configuration, quiet_log
from tests.test_gateway.restored_content import RESTORED, content, restored
from tests.test_gateway.restored_content import configuration as configuration_row
from tests.test_gateway.test_sessions import statement


@pytest.mark.parametrize(
    ('age_ms', 'evidence'), [(1_200, 'current'), (3_001, 'old'), (None, 'old')]
)
def test_a_refusal_names_the_copy_by_which_it_was_decided(age_ms, evidence):
    """Guard against refusals that can't be told from those by an old configuration."""
    clock, metrics = Clock(), Metrics()
    events = EventLog({'instance': 'a'}, HybridLogicalClock(clock.wall_ms))
    log = Log(events, clock)
    basis = ConfigurationBasis(7, 1, 300, 'store', age_ms)
    reports = RefusalReports(lambda: basis, log, metrics)
    known = [configuration()]
    sessions = Sessions(
        clock, lambda: known[0], lambda *_: None, log, lambda *_: None, reports=reports
    )
    assert sessions.open('nowhere', 'k1')[1].error == 'route_unknown'
    session, _ = sessions.open('orders-db', 'k1')
    known[0] = configuration(keys={})
    assert session.run(statement(Verb.BEGIN)).error == 'key_invalid'
    reported = [(each['event'], each['reason']) for each in events.since()]
    assert reported == [('session_refused', 'route_unknown'), ('operation_refused', 'key_invalid')]
    assert all(each.items() >= basis._asdict().items() for each in events.since())
    line = f'godwitthread_caller_refusals_total{{evidence="{evidence}",reason="key_invalid"}} 1.0'
    assert line in generate_latest(metrics.registry).decode()


def test_a_configuration_that_is_not_adopted_is_reported_once():
    """Guard against a configuration in the store that no instance puts in force, unnoticed."""
    made = restored('op', configuration_row(9), configuration_row(7))
    # Another row changes; that of the configuration stays.
    made.view.apply_changes('op', content(2, RESTORED + 1, {'evacuate/stord': b'{}'}))
    found = [
        each for each in made.view._log._events.since() if each['event'].endswith('not_adopted')
    ]
    assert [(each['version'], each['version_in_force']) for each in found] == [(7, 9)]
    assert made.view.not_adopted.version == 7
    made.view.apply_changes('op', content(2, RESTORED + 2, configuration_row(9)))
    assert made.view.not_adopted is None


@pytest.mark.parametrize(('database', 'key'), [('nowhere', 'k1'), ('orders-db', 'k2')])
def test_a_caller_of_a_configuration_that_is_not_adopted_yet_is_postponed(database, key):
    """Guard against a final refusal, with evidence, of what a restored store has confirmed."""
    clock, awaited = Clock(), [None]
    sessions = Sessions(
        clock,
        configuration,
        lambda *_: None,
        quiet_log(clock),
        lambda *_: None,
        not_adopted=lambda: awaited[0],
    )
    assert sessions.open(database, key)[1].error in FINAL_ERRORS
    awaited[0] = configuration(0, keys=())
    assert sessions.open(database, key)[1].error in FINAL_ERRORS
    route = configuration().routes['orders-db']
    awaited[0] = configuration(0, keys=(key,), routes={database: route})
    assert sessions.open(database, key)[1].error == 'stale_configuration'


def test_a_refusal_without_evidence_is_postponed_and_reported():
    """Guard against callers that are refused for good by a copy that may lack them, unnoticed."""
    clock, metrics = Clock(), Metrics()
    events = EventLog({'instance': 'a'}, HybridLogicalClock(clock.wall_ms))
    log = Log(events, clock)
    reports = RefusalReports(lambda: ConfigurationBasis(7, 1, 300, 'b', 9_000), log, metrics)
    known = [configuration()]
    sessions = Sessions(
        clock, lambda: known[0], lambda *_: None, log, lambda *_: None, None, reports, lambda: False
    )
    session, _ = sessions.open('orders-db', 'k1')
    known[0] = configuration(2, keys=())
    refusals = [
        sessions.open('nowhere', 'k1')[1],
        sessions.open('orders-db', 'k1')[1],
        session.run(statement(Verb.BEGIN)),
    ]
    assert {(each.error, each.retry_after_ms) for each in refusals} == {
        ('stale_configuration', 1_000)
    }
    assert [each['reason'] for each in events.since()] == ['stale_configuration'] * 3
    line = 'godwitthread_caller_refusals_total{evidence="old",reason="stale_configuration"} 3.0'
    assert line in generate_latest(metrics.registry).decode()


def test_an_instance_that_closes_its_sessions_sends_unknown_callers_elsewhere():
    """Guard against callers that an instance without a majority delays, though others know them."""
    clock = Clock()
    sessions = Sessions(
        clock,
        configuration,
        lambda *_: None,
        Log(EventLog({'instance': 'a'}, HybridLogicalClock(clock.wall_ms)), clock),
        lambda *_: None,
        is_refusal_final=lambda: False,
    )
    sessions.enter(Phase.DRAINING)
    refusal = sessions.open('nowhere', 'k1')[1]
    assert (refusal.error, refusal.retry_after_ms) == ('shutting_down', RECONNECT_DELAY_MS)
