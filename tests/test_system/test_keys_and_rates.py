"""Withdrawal of keys in use, and rate limits across all instances."""

from __future__ import annotations

import time
from collections import Counter

import pytest

from godwitthread.client import RequestError
from godwitthread.core import rendezvous
from godwitthread.core.invariants import Promise
from godwitthread.demo.deployment import await_condition
from godwitthread.demo.fault_injection import Pause
from godwitthread.loop import eventlet
from godwitthread.manifest.changes import withdraw_key
from tests.test_system.support import (
    COUNT,
    DATABASE,
    INSERT,
    SHORT_LIMIT_MS,
    Load,
    attempt,
    count_in_log,
    new_id,
)

#: Clients of a load that exceeds a rate of 30 per s shared by four instances: each of them would
#: wait for 0.8 s with equal shares.
CLIENTS_PER_INSTANCE = 6


def test_a_withdrawn_key_stops_working_for_connected_callers(deployment):
    """Guard against keep-alive connections and transactions that remain valid without their key."""
    instance = deployment.instances[0]
    key = deployment.keys['hospital-desk'][1]
    client = deployment.client('', DATABASE, instance, key=key, max_attempts=1)
    others = [
        deployment.client('', DATABASE, each, key=key, max_attempts=1)
        for each in deployment.instances
    ]
    id_ = new_id()

    def errors():
        return {attempt(each, id_, COUNT, mode='read').error for each in others}

    assert errors() == {''}
    transaction = client.begin()
    client.execute(INSERT, [id_], transaction=transaction)
    deployment.change(withdraw_key('hospital-desk-2'))

    def refused():
        return errors() == {'key_withdrawn'}

    await_condition(refused, SHORT_LIMIT_MS)
    with pytest.raises(RequestError) as caught:
        client.commit(transaction)
    assert caught.value.outcome.value == 'not_run'
    await_condition(lambda: len(instance.transactions) == 0, SHORT_LIMIT_MS)
    assert count_in_log(deployment, id_) == 0
    member = deployment.groups[DATABASE].primary()
    assert member.write_lock.counter == 1


def test_no_backend_server_sees_a_key(deployment):
    """Guard against keys in statements, parameters or startup messages."""
    key = deployment.keys['planning'][0]
    client = deployment.client('planning', DATABASE, deployment.instances[0], max_attempts=1)
    assert attempt(client, new_id()).outcome == 'done'
    assert attempt(client, f'x{key}x').error == 'malformed_request'
    # The secret may contain underscores, so splitting at the last one could leave a single letter.
    secret = key.split('_', 2)[2]
    for group in deployment.groups.values():
        assert not any(secret in repr(record) for record in group.executed)


def test_an_organisation_runs_only_on_its_routes(deployment):
    """Guard against accepting requests without a valid key or on a forbidden route."""
    instance = deployment.instances[0]
    without_key = deployment.client('', DATABASE, instance, key='', max_attempts=1)
    assert attempt(without_key, new_id()).error in ('key_missing', 'key_invalid')
    forged_key = deployment.keys['planning'][0][:-4] + 'AAAA'
    with_forged_key = deployment.client('', DATABASE, instance, key=forged_key, max_attempts=1)
    assert attempt(with_forged_key, new_id()).error == 'key_invalid'
    public_client = deployment.client('', 'service-notices', instance, key='', max_attempts=1)
    assert public_client.execute('SELECT 1', mode='read').rows == [[1]]
    assert attempt(public_client, new_id()).error == 'read_only_route'


@pytest.mark.parametrize('failure', ['none', 'share owner stopped', 'store down'])
def test_the_rate_is_a_bound_over_all_instances(deployment, failure):
    """Guard against instances that jointly admit more than rate and burst allow."""
    organisation, rate, burst = 'canteen-desk', 30, 15
    seats = deployment.instances[0].state.roster.seats
    owner = deployment.running_instance(rendezvous.owner(f'rate/{organisation}', seats).name)
    pause = Pause(owner)
    if failure == 'store down':
        deployment.platform.set_fault('outage')
    others = [each for each in deployment.instances if each is not owner]
    clients = [deployment.client(organisation, DATABASE, each, max_attempts=1) for each in others]
    begun_s = time.monotonic()
    if failure == 'share owner stopped':
        pause.begin()
    # A request waits for MAX_RATE_WAIT_MS before it is refused. With equal shares, two clients at
    # each instance would never wait for that long, so that the load would not exceed the rate.
    load = Load(*clients * CLIENTS_PER_INSTANCE, pause_ms=5, deadline_ms=2_000)
    # Shorter than the timeout after which an unresponsive seat is removed.
    eventlet.sleep(2.2)
    pause.end()
    outcomes = load.stop()
    elapsed_s = time.monotonic() - begun_s
    counts = Counter(each.error for each in outcomes)
    assert counts['rate_limited'] > 0
    assert counts[''] <= rate * elapsed_s + burst
    # The other instances keep their shares.
    assert counts[''] >= rate
    assert all(each.state.invariants.checks[Promise.RATE_BOUND] for each in others)
