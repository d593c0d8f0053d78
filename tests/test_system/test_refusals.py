"""Callers that are refused for their database or key while no evidence tells that this is right."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from godwitthread.loop import eventlet
from tests.test_system.gateways import version
from tests.test_system.test_gateway_configuration import APPLY_MS, CONTACT_S, start

if TYPE_CHECKING:
    from godwitthread.gateway.node import Node
    from tests.test_system.gateways import GatewayDeployment

__all__ = ['start']

FORMER = {'databases': ('orders-db',), 'keys': ('k1',)}
ADDED = {'databases': ('orders-db', 'refills-db'), 'keys': ('k1', 'k2')}
#: Callers of what ADDED adds.
NEW_CALLERS = [('refills-db', 'k1'), ('orders-db', 'k2')]
#: Threads of an instance that read the store or ask peers.
STORE_THREADS = 5
FINAL = {'route_unknown', 'key_invalid'}
#: Time that a caller waits for evidence at most, in ms, with one step of the virtual links.
MAX_WAIT_MS = 310


def answers(nodes: list[Node], callers: list[tuple[str, str]]) -> set[tuple[str, bool]]:
    """Return the errors that callers get at instances, and whether they waited for too long."""

    def ask(node: Node, database: str, key: str) -> tuple[str, bool]:
        began_ms = node.clock.now_ms()
        session, refusal = node.sessions.open(database, key)
        if session is not None:
            session.close()
        return refusal.error if refusal else '', node.clock.now_ms() - began_ms > MAX_WAIT_MS

    threads = [eventlet.spawn(ask, node, *caller) for node in nodes for caller in callers]
    return {thread.wait() for thread in threads}


def deployment_with_routes(start, instances: int) -> GatewayDeployment:
    """Start a deployment whose configuration has a route and a key."""
    deployment = start(instances)
    deployment.configure(**FORMER)
    eventlet.sleep(APPLY_MS / 1000)
    return deployment


@pytest.mark.parametrize('instances', [9, 30])
def test_what_was_added_is_not_refused_while_the_store_is_silent(start, instances):
    """Guard against final refusals by a copy that may lack a change, at readers and others."""
    deployment = deployment_with_routes(start, instances)
    deployment.mute(deployment.readers())
    # The operator still reaches the store.
    deployment.silent = False
    eventlet.sleep(1)
    deployment.configure(**ADDED)
    eventlet.sleep(APPLY_MS / 1000 + 0.1)
    assert answers(deployment.nodes, NEW_CALLERS) == {('stale_configuration', False)}
    assert answers(deployment.nodes, [('orders-db', 'k1')]) == {('', False)}
    deployment.unmute()
    eventlet.sleep(CONTACT_S)
    assert answers(deployment.nodes, NEW_CALLERS) == {('', False)}
    wrong = [('nowhere', 'k1'), ('orders-db', 'k9')]
    assert answers(deployment.nodes, wrong) == {(error, False) for error in FINAL}


def test_what_was_added_is_served_although_it_reached_an_instance_late(start):
    """Guard against refusals by instances that wake up, or whose calls and peers are late."""
    deployment = deployment_with_routes(start, 30)
    readers = deployment.readers()
    late = [readers[0], next(node for node in deployment.nodes if node not in readers)]
    for node in late:
        for thread in node._threads[:STORE_THREADS]:
            thread.kill()
        node.store_sync.peers.poll_peer = lambda: None
    deployment.configure(**ADDED)
    eventlet.sleep(APPLY_MS / 1000 + 0.1)
    assert {version(node) for node in late} == {2}
    assert answers(late, NEW_CALLERS) == {('', False)}


def test_callers_without_evidence_share_one_call(start):
    """Guard against refusals after a suspension, and against a call for each caller that waits."""
    deployment = deployment_with_routes(start, 30)
    for node in deployment.nodes:
        # As after a suspension of 9 s.
        freshness = node.store_sync._tables['op']
        freshness._state.evidence_ms = node.clock.now_ms() - 9_000
    wrong, calls = [('nowhere', 'k1')] * 50, deployment.store.calls
    assert answers(deployment.nodes, wrong) == {('route_unknown', False)}
    # One call of each reader, and those that another caller would have caused anyway.
    assert deployment.store.calls - calls <= 2 * 9


def test_refusals_on_calm_days_cost_no_calls_to_the_store(start):
    """Guard against calls to the store in proportion to the callers with wrong keys."""
    deployment = deployment_with_routes(start, 30)
    calls = deployment.store.calls
    for _ in range(50):
        assert answers(deployment.readers(), [('nowhere', 'k1')]) == {('route_unknown', False)}
        eventlet.sleep(0.2)
    # The bound of `test_one_instance_asks_the_store_for_all`, which has no callers.
    assert deployment.store.calls - calls <= 3 * 10 + 9 * 3
