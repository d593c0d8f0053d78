"""Transactions that share connections, move between instances or span a shutdown."""

from __future__ import annotations

import pytest

from godwitthread.client import RequestError
from godwitthread.loop import eventlet
from godwitthread.manifest.types import RESERVED_CONNECTIONS
from tests.test_system.support import (
    DATABASE,
    INSERT,
    ORGANISATION,
    assert_outcomes_match_log,
    attempt,
    count_in_log,
    count_rows,
    new_id,
)

UPDATE = 'UPDATE entries SET id = $1 WHERE id = $1'


def one_connection_each(manifest):
    """Limit each member to one connection for each of five instances."""
    limit = RESERVED_CONNECTIONS + 5
    databases = tuple(
        each._replace(slots=1, connections_per_slot=limit) for each in manifest.databases
    )
    return manifest._replace(databases=databases)


def test_transactions_on_a_single_connection_never_mix(start_own_deployment):
    """Guard against a statement that runs in the transaction of another client."""
    deployment = start_own_deployment('fjordkjol', 5, adjust=one_connection_each)
    instance = deployment.instances[0]
    group = deployment.groups[DATABASE]
    assert instance.backends._pools[DATABASE, group.primary().name].table.budget == 1
    committed, rolled_back = [], []

    def run_transactions(number):
        client = deployment.client(ORGANISATION, DATABASE, instance, deadline_ms=20_000)
        for turn in range(4):
            ids = (committed if (number + turn) % 2 else rolled_back, [new_id(), new_id()])
            transaction = client.begin()
            for id_ in ids[1]:
                client.execute(INSERT, [id_], transaction=transaction)
                eventlet.sleep(0.01)
            (client.commit if ids[0] is committed else client.rollback)(transaction)
            ids[0].extend(ids[1])

    def run_single_statements():
        client = deployment.client(ORGANISATION, DATABASE, instance, deadline_ms=20_000)
        for _ in range(8):
            committed.append(new_id())
            client.execute(INSERT, [committed[-1]])

    threads = [eventlet.spawn(run_transactions, number) for number in range(4)] + [
        eventlet.spawn(run_single_statements)
    ]
    for thread in threads:
        thread.wait()
    assert [count_in_log(deployment, id_) for id_ in committed] == [1] * len(committed)
    assert [count_in_log(deployment, id_) for id_ in rolled_back] == [0] * len(rolled_back)
    for record in group.surviving():
        ids = [each.params['1'] for each in record.statements if each.sql == INSERT]
        assert len(ids) in (0, 1, 2)


def test_a_deadline_that_passes_in_the_queue_is_not_run(start_own_deployment):
    """Guard against "unknown" for, or execution of, a write that expired in the queue."""
    deployment = start_own_deployment('fjordkjol', 5, adjust=one_connection_each)
    instance = deployment.instances[0]
    client = deployment.client(ORGANISATION, DATABASE, instance, max_attempts=1)
    transaction = client.begin()
    writers = [
        deployment.client(ORGANISATION, DATABASE, instance, max_attempts=1) for _ in range(4)
    ]
    writes = [eventlet.spawn(attempt, each, new_id(), deadline_ms=300) for each in writers]
    outcomes = [each.wait() for each in writes]
    client.rollback(transaction)
    assert {each[1:] for each in outcomes} == {('not_run', 'deadline_exceeded')}
    eventlet.sleep(0.2)
    assert_outcomes_match_log(deployment, outcomes)
    assert attempt(client, new_id()).outcome == 'done'


def test_a_transaction_continues_through_other_instances(deployment):
    """Guard against losing a transaction when its client moves to another instance."""
    first, second, third = deployment.instances[:3]
    ids = [new_id(), new_id()]
    client = deployment.client(ORGANISATION, DATABASE, first)
    transaction = client.begin()
    for instance, id_ in zip((second, third), ids, strict=True):
        other_client = deployment.client(ORGANISATION, DATABASE, instance)
        other_client.execute(INSERT, [id_], transaction=transaction)
    assert count_rows(client, ids[0], transaction=transaction) == 1
    assert count_rows(client, ids[0]) == 0
    other_client.commit(transaction)
    assert [count_rows(client, id_) for id_ in ids] == [1, 1]


def test_a_transaction_of_another_organisation_is_refused(deployment):
    """Guard against the use of a transaction id by another organisation."""
    client = deployment.client(ORGANISATION, DATABASE, deployment.instances[0])
    transaction = client.begin()
    other_client = deployment.client('planning', DATABASE, deployment.instances[0])
    with pytest.raises(RequestError) as caught:
        other_client.execute(INSERT, [new_id()], transaction=transaction)
    assert caught.value.outcome.value == 'not_run'
    client.rollback(transaction)


def test_shutdown_under_load_interrupts_nothing(deployment):
    """Guard against requests and transactions interrupted by a graceful shutdown."""
    leaving = deployment.instances[0]
    number = int(leaving.state.seat.name.removeprefix('entry-')) - 1
    group = deployment.groups[DATABASE]
    group.set_fault('late_answers', member=group.primary().name, ms=100)
    client = deployment.client(ORGANISATION, DATABASE, leaving, max_attempts=1)
    id_, running = new_id(), new_id()
    transaction = client.begin()
    client.execute(INSERT, [id_], transaction=transaction)
    stop = eventlet.spawn(deployment.stop_instance, leaving)
    eventlet.sleep(0.4)
    writer = deployment.client(ORGANISATION, DATABASE, leaving, max_attempts=1)
    write = eventlet.spawn(attempt, writer, running)
    eventlet.sleep(0.4)
    client.execute(INSERT, [new_id()], transaction=transaction)
    client.commit(transaction)
    assert write.wait().outcome == 'done'
    stop.wait()
    assert leaving.state.in_flight == 0
    assert (count_in_log(deployment, id_), count_in_log(deployment, running)) == (1, 1)
    deployment.replace_instance(number)


def test_a_write_that_runs_at_the_drain_limit_is_answered_as_unknown(start_own_deployment):
    """Guard against a shutdown that outlasts its drain limit until the deadline of a caller."""
    deployment = start_own_deployment('fjordkjol', 3, settings={'drain_limit_ms': '1000'})
    leaving, other = deployment.instances[:2]
    id_ = new_id()
    holder = deployment.client(ORGANISATION, DATABASE, other)
    holder.execute(INSERT, [id_])
    transaction = holder.begin()
    holder.execute(UPDATE, [id_], transaction=transaction)
    blocked = deployment.client(ORGANISATION, DATABASE, leaving, max_attempts=1)
    write = eventlet.spawn(attempt, blocked, id_, UPDATE, deadline_ms=20_000)
    eventlet.sleep(0.1)
    assert leaving.state.in_flight == 1
    deployment.stop_instance(leaving)
    assert len(other.transactions) == 1, 'the shutdown waited for the end of the blocked write'
    assert write.wait()[1:] == ('unknown', 'connection_lost')
    holder.rollback(transaction)
