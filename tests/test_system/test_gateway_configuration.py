"""Configuration of gateway instances while the store leaves calls without an answer."""

from __future__ import annotations

import pytest

from godwitthread.gateway.groups.group_runner import GroupRunner
from godwitthread.loop import eventlet
from tests.test_system.gateways import GROUP, GatewayDeployment, wait_until

#: Time after its acceptance within which a version is in force at every instance, in ms, and time
#: after the end of a store outage from which that holds again: `ApplyMs` and `ContactMs` of the
#: deployments.
APPLY_MS = 3_000
CONTACT_S = 4.0
#: Entry of a member that is valid except for a number that JSON does not have.
MALFORMED_ENTRY = (
    b'{"Service": "reports", "Addr": "127.0.0.1:9", "Zone": "stord", "Slots": 2, '
    b'"State": "ready", "ColdLeftMs": Infinity, "DbRole": "replica", "Seq": 1}'
)


@pytest.fixture
def start():
    """Return a function that starts gateway instances for a single test."""
    deployments = []

    def start_deployment(instances: int) -> GatewayDeployment:
        deployments.append(GatewayDeployment(instances))
        return deployments[-1]

    yield start_deployment
    for each in deployments:
        each.stop()


def test_changes_are_in_force_after_the_store_was_silent_for_all_instances(start):
    """Guard against calls to the store that stay open, without an answer, after an outage."""
    deployment = start(9)
    eventlet.sleep(2)
    deployment.configure()
    # The next calls for changes are sent during the outage, and are never answered.
    eventlet.sleep(0.1)
    deployment.mute(deployment.nodes)
    eventlet.sleep(5)
    deployment.unmute()
    for _ in range(3):
        deployment.configure()
    eventlet.sleep(CONTACT_S)
    assert not deployment.watch(12, APPLY_MS)


@pytest.mark.parametrize('current', [3, 1])
def test_changes_reach_the_instances_that_the_store_does_not_answer(start, current):
    """Guard against late instances that do not ask the peer which is current."""
    deployment = start(30)
    eventlet.sleep(2)
    deployment.configure()
    eventlet.sleep(0.1)
    deployment.mute(deployment.readers()[current:])
    eventlet.sleep(CONTACT_S)
    deployment.configure()
    assert not deployment.watch(12, APPLY_MS)


def test_evacuations_and_members_are_in_force_after_the_store_was_silent(start):
    """Guard against work for a draining member, or in an evacuated failure domain."""
    deployment = start(9)
    eventlet.sleep(2)
    deployment.store.put('op', 'evacuate/stord', {})
    deployment.announce('m0', 'ready')
    eventlet.sleep(0.1)
    deployment.mute(deployment.nodes)
    eventlet.sleep(5)
    deployment.unmute()
    deployment.store.put('op', 'evacuate/bergen-a', {})
    deployment.announce('m0', 'draining')
    eventlet.sleep(APPLY_MS / 1000)
    views = [node.view for node in deployment.nodes]
    assert all(view.evacuated == {'bergen-a', 'stord'} for view in views)
    assert all(view.members['m0'].draining for view in views)


def test_one_instance_asks_the_store_for_all(start):
    """Guard against calls to the store that grow with the number of instances."""
    deployment = start(30)
    eventlet.sleep(5)
    calls = deployment.store.calls
    eventlet.sleep(10)
    # One call a second for each of the three tables at most, and the waits for changes.
    assert deployment.store.calls - calls <= 3 * 10 + 9 * 3


def test_a_silent_reader_of_the_store_is_replaced(start):
    """Guard against a deployment that relies on one instance whose store does not answer."""
    deployment = start(9)
    eventlet.sleep(2)
    for node in deployment.nodes:
        deployment.mute([node])
        deployment.configure()
        assert not deployment.watch(4, APPLY_MS)
    wait_until(lambda: not deployment.outdated(0))


def test_a_group_that_can_not_be_updated_stops_no_other(start, monkeypatch):
    """Guard against an error of one group that keeps changes of all others from taking effect."""
    update, failing = GroupRunner.update, {'invoices'}

    def fail_for_some(runner, group, *args):
        if group.name in failing:
            raise ValueError('scripted')
        update(runner, group, *args)

    monkeypatch.setattr(GroupRunner, 'update', fail_for_some)
    deployment = start(3)
    eventlet.sleep(5)
    calls = deployment.store.calls
    eventlet.sleep(10)
    calm_calls = deployment.store.calls - calls
    deployment.configure('invoices', GROUP, 'refills')
    deployment.announce('m0', 'draining')
    calls = deployment.store.calls
    eventlet.sleep(10)
    for node in deployment.nodes:
        assert node.runners.keys() == {'invoices', GROUP, 'refills'}
        assert node.runners[GROUP].members['m0'].draining
        assert node.view.not_in_force_ms('op') > 5_000
    # The two changes take a call of each of the three instances, and one more a second apart.
    assert deployment.store.calls - calls <= calm_calls + 12
    failing.clear()
    wait_until(lambda: not any(node.view.not_in_force_ms('op') for node in deployment.nodes))


def test_the_duty_is_taken_and_instances_register_after_malformed_rows(start):
    """Guard against a thread that ends at a malformed row and leaves a deployment for good."""
    deployment = start(3)
    wait_until(lambda: any(node.duty.held for node in deployment.nodes))
    deployment.store.put('duties', 'promotion', b'{"name": 5}')
    deployment.store.put('instances', 'entry-1', b'[1e999]')
    for node in deployment.nodes:
        node.duty.lose()
    wait_until(lambda: any(node.duty.held for node in deployment.nodes))
    wait_until(lambda: not any(node.view.malformed_rows('instances') for node in deployment.nodes))
    assert all(node.ready() for node in deployment.nodes)


def test_a_malformed_row_does_not_take_the_duty_from_its_holder(start):
    """Guard against a second holder of the duty beside one that is running."""
    deployment = start(3)
    wait_until(lambda: any(node.duty.held for node in deployment.nodes))
    # The row names the holder, not the instance that comes first as the holder.
    holder = next(
        node for node in deployment.nodes if node.ownership_manager.owner('duty') != node.peer.name
    )
    for node in deployment.nodes:
        node.duty.lose()
    holder.duty.take()
    eventlet.sleep(3)
    tokens = [node.duty.token for node in deployment.nodes]
    assert [bool(token) for token in tokens].count(True) == 1
    deployment.store.put('duties', 'promotion', b'{"name": 5}')
    eventlet.sleep(20)
    assert [node.duty.token for node in deployment.nodes] == tokens


def test_an_instance_starts_while_rows_are_malformed(start):
    """Guard against an instance that never becomes ready because of an entry of another writer."""
    deployment = start(3)
    deployment.store.put('servers', 'i-x', b'{"State": "ready", "ColdLeftMs": Infinity}')
    deployment.store.put('servers', 'i-y', MALFORMED_ENTRY)
    deployment.store.put('instances', 'x', b'[1e999]')
    deployment.start(3)
    wait_until(deployment.nodes[3].ready)
    deployment.announce('m0', 'draining')
    wait_until(lambda: all(node.view.members['m0'].draining for node in deployment.nodes))
    assert all(node.view.malformed_rows('servers') == 2 for node in deployment.nodes)


def test_instances_that_start_on_old_content_are_not_ready(start):
    """Guard against all instances that serve by reads which lag after lost history."""
    deployment = start(9)
    eventlet.sleep(5)
    deployment.configure()
    eventlet.sleep(0.1)
    deployment.store.compact(read_lag_ms=6_000)
    deployment.restart_all()
    for _ in range(80):
        eventlet.sleep(0.1)
        ready = [node for node in deployment.nodes if node.ready()]
        assert not deployment.outdated_among(ready, 0)
    assert len(ready) == 9


def test_instances_do_not_wait_for_evidence_that_none_can_have(start):
    """Guard against instances that are not ready because the store fell silent as they started."""
    deployment = start(9)
    deployment.restart_all()
    wait_until(lambda: all(node.view.configuration for node in deployment.nodes))
    deployment.store.outage = 'silent'
    eventlet.sleep(3)
    assert all(node.ready() for node in deployment.nodes)
