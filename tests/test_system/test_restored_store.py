"""Gateway instances whose store comes back from an older copy."""

from __future__ import annotations

import pytest

from godwitthread.core.table_freshness import TableContent, TableReport, TableReports
from godwitthread.loop import eventlet
from tests.test_system.gateways import GatewayDeployment, version, wait_until

#: Time after its acceptance within which a change is in force at every instance, in ms: `ApplyMs`
#: of the deployments.
APPLY_MS = 3_000


@pytest.fixture
def start():
    """Return a function that starts gateway instances for a single test."""
    deployments = []

    def start_deployment(instances: int) -> GatewayDeployment:
        deployments.append(GatewayDeployment(instances))
        eventlet.sleep(5)
        return deployments[-1]

    yield start_deployment
    for each in deployments:
        each.stop()


def test_changes_after_a_restore_are_in_force(start):
    """Guard against instances that ignore the store until its counter passes their version."""
    deployment = start(9)
    for _ in range(20):
        deployment.configure()
    eventlet.sleep(1)
    deployment.store.restore(2_000)
    deployment.configure()
    deployment.store.put('op', 'evacuate/stord', {})
    assert not deployment.watch(8, APPLY_MS)
    assert all(node.view.evacuated == {'stord'} for node in deployment.nodes)


def test_a_copy_of_the_time_before_a_restore_is_not_completed_by_later_changes(start):
    """Guard against a copy that lacks what was written under versions given out again."""
    deployment = start(9)
    deployment.store.put('op', 'evacuate/bergen-a', {})
    for number in range(20):
        deployment.announce(f'm{number}', 'ready')
    eventlet.sleep(1)
    deployment.mute(deployment.nodes)
    deployment.store.restore(2_000)
    deployment.store.put('op', 'evacuate/stord', {})
    for number in range(40):
        deployment.announce(f'm{number}', 'ready')
    deployment.unmute()
    deployment.configure()
    eventlet.sleep(APPLY_MS / 1000)
    assert all('stord' in node.view.evacuated for node in deployment.nodes)


def test_the_store_is_not_called_without_a_pause_after_a_restore(start):
    """Guard against a loop of calls for changes, which get 410, and reads of the whole table."""
    deployment = start(9)
    for _ in range(20):
        deployment.configure()
    eventlet.sleep(1)
    calls = deployment.store.calls
    deployment.store.restore(2_000)
    eventlet.sleep(2)
    # Each of the nine instances gets 503, 410 and the whole table, and calls again, for each table.
    assert deployment.store.calls - calls <= 9 * 3 * 4 + 3 * 2
    calls = deployment.store.calls
    eventlet.sleep(10)
    # One call a second for each of the three tables at most, and the waits for changes.
    assert deployment.store.calls - calls <= 3 * 10 + 9 * 3


def test_what_the_operators_wrote_holds_until_they_write_it_again(start):
    """Guard against instances that go back to the configuration of an older copy."""
    deployment = start(9)
    deployment.configure()
    eventlet.sleep(1)
    deployment.configure()
    deployment.store.put('op', 'evacuate/stord', {})
    deployment.announce('m0', 'draining', count=2)
    eventlet.sleep(APPLY_MS / 1000)
    lost = deployment.store.restore(3_500)
    assert {change.key for change in lost} >= {'config', 'evacuate/stord', 'm0'}
    deployment.start(9)
    for _ in range(50):
        eventlet.sleep(0.1)
        views = [node.view for node in deployment.nodes if node.ready()]
        assert not deployment.outdated_among(deployment.nodes[:9], 0)
        assert all(view.evacuated == {'stord'} for view in views)
        assert all(view.members['m0'].draining for view in views)
    assert len(views) == 10
    assert not deployment.outdated(0)


def test_all_instances_are_candidates_while_their_entries_are_lost(start):
    """Guard against a majority of the instances that have written their entries again first."""
    deployment = start(9)
    deployment.store.restore(60_000)
    deployment.configure()
    deployment.announce('m0', 'ready')
    for _ in range(60):
        eventlet.sleep(0.1)
        assert all(len(node.view.peers) == 9 and node.ready() for node in deployment.nodes)
    assert not any(node.view.former.rows('instances') for node in deployment.nodes)


@pytest.mark.parametrize('starting', [False, True])
def test_content_that_is_behind_is_no_evidence_of_a_current_copy(start, starting):
    """Guard against reads of old content that make a late instance appear current."""
    deployment = start(9)
    deployment.configure()
    deployment.store.compact(read_lag_ms=6_000)
    if starting:
        deployment.restart_all()
    calls = deployment.store.calls
    for _ in range(40):
        eventlet.sleep(0.1)
        for node in deployment.nodes:
            age_ms = node.store_sync.evidence_age_ms('op')
            if age_ms is None:
                assert starting
                continue
            evidence_ms = deployment.clock.now_ms() - age_ms
            assert version(node) == 2 or evidence_ms <= deployment.changes[-1].accepted_ms
    # Each of 36 threads calls twice for each delay of at least 200 ms, and of 400 ms later on.
    assert deployment.store.calls - calls <= 36 * 2 * 11
    deployment.store.read_lag_ms = 0
    eventlet.sleep(2)
    assert not deployment.outdated(0)


@pytest.mark.parametrize('runs', [True, False])
def test_the_duty_has_one_holder_after_a_restore(start, runs):
    """Guard against a holder that the store does not name, or names although it is not one."""
    deployment = start(5)
    wait_until(lambda: any(node.duty.held for node in deployment.nodes))
    first = next(node for node in deployment.nodes if node.duty.held)
    eventlet.sleep(1)
    last = next(node for node in deployment.nodes if node is not first)
    last.duty.take()
    token = last.duty.token
    first.duty.yield_to(token)
    deployment.store.restore(500)
    if not runs:
        deployment.remove(last, announced=False)
    eventlet.sleep(6)
    (holder,) = [node for node in deployment.nodes if node.duty.held]
    assert holder.duty.token > token
    assert holder is last or not runs
    assert holder.duty.holder().name == holder.peer.name


def test_an_instance_whose_entry_was_lost_is_removed_after_it_has_ended(start):
    """Guard against a majority that counts instances which have no entry and never return."""
    deployment = start(5)
    deployment.start(5)
    wait_until(lambda: all(len(node.view.peers) == 6 for node in deployment.nodes))
    started = deployment.nodes[5]
    lost = deployment.store.restore(2_000)
    assert started.peer.name in {change.key for change in lost}
    deployment.remove(started, announced=False)
    eventlet.sleep(2)
    assert all(len(node.view.peers) == 6 for node in deployment.nodes)
    eventlet.sleep(20)
    assert all(len(node.view.peers) == 5 for node in deployment.nodes)


def test_evidence_of_a_build_without_eras_does_not_count(start):
    """Guard against a copy from before a restore that peers of an older build keep confirming."""
    deployment = start(3)
    deployment.store.restore(0)
    eventlet.sleep(3)
    sync = deployment.nodes[0].store_sync
    table = TableReport('op', deployment.nodes[0].view.content('op'), 0)
    former = TableReport('op@former', TableContent(0, 0), None)
    known_ms = sync.evidence_age_ms('op')
    sync.on_reports('older', TableReports(deployment.clock.now_ms(), (table,)))
    assert sync.evidence_age_ms('op') == known_ms
    sync.on_reports('current', TableReports(deployment.clock.now_ms(), (table, former)))
    assert sync.evidence_age_ms('op') == 0


@pytest.mark.parametrize('delay_s', [0, 1.5])
def test_a_lower_version_that_is_new_since_a_restore_is_in_force(start, delay_s):
    """Guard against a confirmed configuration that no instance puts in force for its number."""
    deployment = start(9)
    for _ in range(3):
        deployment.configure()
        eventlet.sleep(1)
    # The store keeps version 2; versions 3 and 4 are lost.
    deployment.store.restore(2_500)
    eventlet.sleep(delay_s)
    deployment.start(9)
    deployment.write_configuration(3, 'orders', 'invoices')
    eventlet.sleep(APPLY_MS / 1000)
    assert [_in_force(node) for node in deployment.nodes] == [(3, 'invoices', 'orders')] * 10
    # Whether its peers have dropped the version that was in force or still know it.
    deployment.start(10)
    eventlet.sleep(APPLY_MS / 1000)
    assert [_in_force(node) for node in deployment.nodes] == [(3, 'invoices', 'orders')] * 11
    deployment.write_configuration(4, 'orders')
    eventlet.sleep(APPLY_MS / 1000)
    assert [_in_force(node) for node in deployment.nodes] == [(4, 'orders')] * 11


@pytest.mark.parametrize('entries_lost', [False, True])
def test_an_instance_that_starts_answers_no_caller_by_what_was_restored(start, entries_lost):
    """Guard against answers of an instance that has not heard from its peers, or knows of none."""
    deployment = start(9)
    for database in ('routes-db', 'orders-db'):
        deployment.configure(databases=(database,), keys=('k1',))
        eventlet.sleep(1)
    ended = deployment.nodes[0]
    deployment.remove(ended, announced=False)
    deployment.store.restore(1_500)
    if entries_lost:
        # Those that run can't write their entries again yet.
        deployment.mute(deployment.nodes)
        for node in deployment.nodes:
            deployment.store.drop('instances', node.peer.name)
    deployment.start(0, ended.peer)
    threads = []
    for number in range(300):
        if number == 150:
            deployment.unmute()
        open_session = deployment.nodes[-1].sessions.open
        threads += [eventlet.spawn(open_session, name, 'k1') for name in ('routes-db', 'orders-db')]
        eventlet.sleep(0.01)
    refusals = [thread.wait()[1] for thread in threads]
    answers = [refusal.error if refusal else 'served' for refusal in refusals]
    assert set(answers[::2]) <= {'overloaded', 'route_unknown', 'stale_configuration'}
    assert set(answers[1::2]) <= {'overloaded', 'stale_configuration', 'served'}
    assert answers[-1] == 'served'


def test_evacuations_end_at_once_after_a_restore(start):
    """Guard against an evacuation that holds since it was in force before, or is again."""
    deployment = start(9)
    deployment.store.put('op', 'evacuate/bergen-a', {})
    eventlet.sleep(1)
    deployment.store.put('op', 'evacuate/stord', {})
    deployment.store.drop('op', 'evacuate/bergen-a')
    eventlet.sleep(1)
    # The first one is in force again, the second one is lost and written again.
    deployment.store.restore(1_500)
    deployment.store.put('op', 'evacuate/stord', {})
    eventlet.sleep(2)
    assert all(node.view.evacuated == {'bergen-a', 'stord'} for node in deployment.nodes)
    deployment.store.drop('op', 'evacuate/bergen-a')
    deployment.store.drop('op', 'evacuate/stord')
    eventlet.sleep(0.5)
    assert not any(node.view.evacuated for node in deployment.nodes)


@pytest.mark.parametrize('pause_s', [0.2, 2.5])
def test_second_writings_replace_no_later_version(start, pause_s):
    """Guard against instances that go back while the operators write lost versions again."""
    deployment = start(9)
    for _ in range(4):
        deployment.configure()
        eventlet.sleep(1)
    deployment.store.restore(3_500)
    regressed = []
    deployment.start(9)
    for number in (3, 4, 5):
        for _ in range(round(pause_s / 0.05)):
            eventlet.sleep(0.05)
            ready = [node for node in deployment.nodes if node.ready()]
            regressed += deployment.outdated_among(ready, 0)
        deployment.write_configuration(number)
    assert not regressed
    eventlet.sleep(APPLY_MS / 1000)
    assert not deployment.outdated(0)
    assert not any(node.view.former.rows('op') for node in deployment.nodes)


def _in_force(node):
    return node.view.configuration.version, *sorted(node.view.configuration.groups)
