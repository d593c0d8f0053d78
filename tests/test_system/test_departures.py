"""Gateway instances that leave for good, more than half of them one after the other."""

from __future__ import annotations

import pytest

from godwitthread.gateway.registration import mark_departed
from godwitthread.loop import eventlet
from tests.test_system.gateways import GROUP, GatewayDeployment, wait_until

#: Number of instances, and of those that leave.
INSTANCES = 9
LEAVING = 5
#: Time between two departures, in s.
GAP_S = 1.3


@pytest.fixture
def deployment():
    """Start a deployment in which every instance is a candidate and a voter."""
    deployment = GatewayDeployment(INSTANCES)
    eventlet.sleep(3)
    yield deployment
    deployment.stop()


def leave(deployment: GatewayDeployment, count: int) -> None:
    """Stop instances one after the other; none of them returns."""
    pool = eventlet.GreenPool()
    for node in deployment.nodes[:count]:
        pool.spawn_n(deployment.remove, node, True)
        eventlet.sleep(GAP_S)
    pool.waitall()


def is_served(deployment: GatewayDeployment) -> bool:
    """Return whether all instances are ready and an owner may use the primary."""
    owners = [node for node in deployment.nodes if GROUP in node.ownership_manager.owned]
    ready = all(node.ready() for node in deployment.nodes)
    return ready and len(owners) == 1 and owners[0].runners[GROUP].lease.is_valid()


def test_work_goes_on_after_most_instances_have_left(deployment):
    """Guard against a majority of instances most of which left on purpose."""
    leave(deployment, LEAVING)
    eventlet.sleep(2)
    assert is_served(deployment)


def test_work_goes_on_after_a_restart_of_those_that_remain(deployment):
    """Guard against a departure that is known only until the observers restart."""
    leave(deployment, LEAVING)
    deployment.restart_all()
    eventlet.sleep(5)
    assert is_served(deployment)


def test_the_mark_of_a_former_process_does_not_replace_the_next_entry(deployment):
    """Guard against a late mark that hides a running instance."""
    node = deployment.nodes[0]
    outdated = node.view
    deployment.remove(node, announced=False)
    deployment.start(0, node.peer)
    wait_until(lambda: all(each.ready() for each in deployment.nodes))
    mark_departed(node.peer, outdated, node._ports, node.log)
    eventlet.sleep(1)
    assert not any(each.view.peers[node.peer.name].departed for each in deployment.nodes)


def test_an_instance_counts_again_after_a_planned_restart(deployment):
    """Guard against a restarted instance that the others take for a departed one."""
    node = deployment.nodes[0]
    leave(deployment, 1)
    deployment.start(0, node.peer)
    wait_until(lambda: all(each.ready() for each in deployment.nodes))
    eventlet.sleep(5)
    # Of nine instances, four are a minority unless the restarted one is taken for departed.
    for each in deployment.nodes[:4]:
        deployment.remove(each, announced=False)
    deployment.remove(deployment.nodes[-1], announced=False)
    eventlet.sleep(3)
    assert not any(each.ready() for each in deployment.nodes)


def test_departed_instances_are_removed_from_the_store(deployment):
    """Guard against entries of instances that nobody ever removes."""
    leave(deployment, LEAVING)
    deployment.restart_all()
    eventlet.sleep(20)
    assert all(len(node.view.peers) == INSTANCES - LEAVING for node in deployment.nodes)


def test_lost_instances_are_removed_from_the_store(deployment):
    """Guard against entries of instances that the observers never reached since their start."""
    for node in deployment.nodes[:3]:
        deployment.remove(node, announced=False)
    deployment.restart_all()
    eventlet.sleep(20)
    assert all(len(node.view.peers) == INSTANCES - 3 for node in deployment.nodes)


def test_work_stops_after_most_instances_were_lost_without_notice(deployment):
    """Guard against two sides of a partition that both serve: silence is no departure."""
    for node in deployment.nodes[:LEAVING]:
        deployment.remove(node, announced=False)
    eventlet.sleep(15)
    assert not any(node.ready() for node in deployment.nodes)
