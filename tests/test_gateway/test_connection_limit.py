"""Number of connections that a member accepts, and statements that wait for one."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitthread.clock import Clock
from godwitthread.core.scheduling import connection_limit
from godwitthread.core.scheduling.connection_limit import ConnectionLimit
from godwitthread.core.statements import Refusal
from godwitthread.gateway.groups.member_pool import MemberPool
from godwitthread.gateway.ports import NotConnectedError
from godwitthread.loop import eventlet
from tests.test_gateway.fakes import FakeGroup, members, request, runner
from tests.test_gateway.virtual_members import (
    OPEN_MS,
    ROUND_TRIP_MS,
    LimitedGroup,
    Load,
    in_virtual_time,
    limited_runner,
)

#: Time for which a member keeps the connections of an instance that lost power, in ms.
KEPT_MS = 3_000


def test_twelve_connections_of_each_member_carry_the_load_after_a_power_loss():
    """Guard against 3 s without service after all instances lost power.

    The members keep the connections of the dead instances, and accept 12 of 56.
    """

    def replay(clock):
        group = LimitedGroup(accepts=12)
        load = Load(limited_runner(group, clock), clock, 75)
        load.send(172, KEPT_MS)
        return group, load

    group, load = in_virtual_time(replay)
    assert load.in_time() >= 0.95 * len(load.results)
    assert group.mixed_up == 0


def test_connections_grow_to_the_configured_limit_once_the_member_accepts_them():
    """Guard against a number that stays low after the old connections have lapsed."""

    def replay(clock):
        group = LimitedGroup(accepts=12)
        made = limited_runner(group, clock)
        eventlet.spawn_after(1, setattr, group, 'accepts', 56)
        Load(made, clock, 75).send(172, 3_000)
        # The primary gets reads only while the replicas are busy, so it needs few connections.
        return [made.pools[name].accepted.accepted for name in ('m1', 'm2')]

    assert min(in_virtual_time(replay)) > 30


def test_an_operator_sees_that_a_member_is_limited_and_when_it_no_longer_is():
    """Guard against a limit that operators can't tell from an overload."""
    group = FakeGroup(1)
    made = runner(group)
    pool = made.pools['m0']
    pool.accepted.record_refused(0, 15)
    made._report_limit('m0')
    made._report_limit('m0')
    assert made.limited == {'m0'}
    pool.accepted.record_opened(200, 16)
    made._report_limit('m0')
    assert made.limited == set()
    events = [
        each['event'] for each in made._log._events.since() if 'connections_' in each['event']
    ]
    assert events == ['connections_limited', 'connections_unlimited']


def test_trials_beyond_the_accepted_number_are_few():
    """Guard against a flood of attempts at a member that refuses them."""

    def replay(clock):
        group = LimitedGroup(accepts=12)
        Load(limited_runner(group, clock), clock, 75).send(172, KEPT_MS)
        return group.refused

    trials = KEPT_MS // connection_limit.MAX_PROBE_MS + 8
    assert in_virtual_time(replay) <= 3 * trials


def test_a_member_that_accepts_no_connection_serves_as_soon_as_it_does():
    """Guard against statements that nothing wakes while no connection is open."""

    def replay(clock):
        group = LimitedGroup(accepts=0)
        load = Load(limited_runner(group, clock), clock, 3)
        eventlet.spawn_after(0.3, setattr, group, 'accepts', 12)
        load.send(20, 100, objective_ms=900)
        return load

    load = in_virtual_time(replay)
    assert load.results
    assert load.in_time(900) == len(load.results)


def test_waiting_for_a_connection_occupies_no_slot():
    """Guard against slots taken by statements that cannot run, which idle connections need."""

    def replay(clock):
        group = LimitedGroup(accepts=1)
        made = limited_runner(group, clock, limit=1)
        made.dispatcher.members['m1'].usable = made.dispatcher.members['m2'].usable = False
        load = Load(made, clock, 5)
        eventlet.spawn(load.send, 100, 50)
        eventlet.sleep(0.04)
        return made.dispatcher.members['m0'].running

    assert in_virtual_time(replay) == 1


def test_a_refused_connection_is_no_failure_of_the_member():
    """Guard against a member without work for up to 1.2 s because its connections are in use."""
    group = FakeGroup(1)
    made = runner(group)
    opened, refusals = group.connect, [Refusal.TOO_MANY]

    def connect(member, organisation):
        if refusals:
            raise NotConnectedError(refusals.pop(), 'TOOMANY')
        return opened(member, organisation)

    made.pools['m0']._connect = connect
    assert made.run('a', request('WRITE i x')).error == ''
    assert made.dispatcher.members['m0'].failures == 0


def test_a_request_of_the_gateway_precedes_statements_that_wait_for_a_connection():
    """Guard against probes of the primary that starve while all connections are in use."""
    group = FakeGroup(1)
    made = runner(group)
    pool = made.pools['m0']
    pool.set_limit(1)
    held = pool.acquire('drivers', {}, 100)
    probe = eventlet.spawn(pool.acquire, 'drivers', {}, 10_000)
    eventlet.sleep(0)
    statement = eventlet.spawn(made.run, 'a', request('WRITE i x', remaining_ms=60_000))
    eventlet.sleep(0)
    made._release('m0', held)
    assert probe.wait() is held
    assert group.texts() == []
    made._release('m0', held)
    assert statement.wait().error == ''


def test_the_waiting_statement_that_is_due_first_gets_the_released_connection():
    """Guard against waiters that are served in the order in which they poll."""
    group = FakeGroup(1)
    made = runner(group)
    pool = made.pools['m0']
    pool.set_limit(1)
    held = pool.acquire('drivers', {}, 100)
    late = request('WRITE late', remaining_ms=60_000, objective_ms=9_000)
    urgent = request('WRITE urgent', remaining_ms=60_000, objective_ms=3_000, session=2)
    waiting = [eventlet.spawn(made.run, 'a', each) for each in (late, urgent)]
    eventlet.sleep(0)
    made._release('m0', held)
    assert [each.wait().error for each in waiting] == ['', '']
    assert group.texts() == ['WRITE urgent', 'WRITE late']


def test_a_connection_in_use_is_not_reserved_beyond_the_limit():
    """Guard against more connections than the limit when statements are assigned together."""
    group = FakeGroup(1)
    made = runner(group)
    pool = made.pools['m0']
    pool.set_limit(2)
    reads = [
        request('WRITE x', session=number, organisation=f'o{number}', remaining_ms=60_000)
        for number in range(6)
    ]
    results = [eventlet.spawn(made.run, 'a', each) for each in reads]
    assert [each.wait().error for each in results] == [''] * 6
    assert pool.total <= 2
    assert sum(not conn.closed for conn in group.connections) <= 2
    assert not pool._reserved


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 3), st.integers(0, 60)), max_size=80),
    st.integers(0, 6),
)
def test_connections_are_never_mixed_up_or_lost_count_of(steps, accepts):
    """Guard against a connection of another organisation, and against counts that leak."""
    now_s, group, held, reserved = [1.0], FakeGroup(1), [], []
    clock = Clock(lambda: now_s[0], lambda: now_s[0])

    def connect(to, organisation):
        if sum(not conn.closed for conn in group.connections) >= accepts:
            raise NotConnectedError(Refusal.TOO_MANY, 'TOOMANY')
        return group.connect(to, organisation)

    pool = MemberPool(members(group)['m0'], 5, clock, connect, lambda *_: None)
    for action, name, passed_ms in steps:
        now_s[0] += passed_ms / 1000
        organisation = f'o{name}'
        if action < 2 and pool.has_room():
            pool.reserve(organisation)
            reserved.append(organisation)
        elif action == 2 and reserved:
            with contextlib.suppress(NotConnectedError):
                wanted = reserved.pop(0)
                conn = pool.acquire_reserved(wanted, {})
                assert conn.organisation == wanted
                assert conn not in held
                held.append(conn)
        elif action >= 3 and held:
            conn = held.pop(0)
            if action == 4:
                conn.close()
            pool.release(conn)
        assert pool.total <= 5
        assert pool._reserved.total() == len(reserved)
        assert pool._in_use == set(held)
        assert pool.total == sum(not conn.closed for conn in group.connections)


@pytest.mark.parametrize('refused_at', [0, 5, 12])
def test_one_connection_more_is_tried_at_a_time(refused_at):
    """Guard against a probe that opens many connections at once."""
    limit = ConnectionLimit(56)
    limit.record_refused(1_000, refused_at)
    assert limit.current(1_000) == refused_at
    due_ms = limit.next_probe_ms(1_000)
    assert due_ms == 1_000 + connection_limit.FIRST_PROBE_MS
    assert limit.current(due_ms) == refused_at + 1
    limit.record_opened(due_ms, refused_at + 1)
    assert limit.current(due_ms) == refused_at + 2


def test_a_refusal_while_a_closed_connection_lingers_is_tried_again_soon():
    """Guard against a number that shrinks with each connection closed to make room."""
    limit = ConnectionLimit(56)
    limit.record_refused(1_000, 12)
    limit.record_refused(1_050, 11)
    assert limit.current(1_050) == 11
    assert limit.current(1_050 + connection_limit.CLOSING_MS) == 12


def test_refused_trials_become_rarer():
    """Guard against 10 refused connections per second for as long as a member is full."""
    limit = ConnectionLimit(56)
    limit.record_refused(0, 12)
    delays, now_ms = [], 0
    for _ in range(6):
        now_ms = limit.next_probe_ms(now_ms)
        limit.record_refused(now_ms, 12)
        delays.append(limit.next_probe_ms(now_ms) - now_ms)
    assert delays == [100, 200, 400, 400, 400, 400]


def test_a_successful_trial_wakes_the_next_waiting_statement():
    """Guard against a statement that waits for an answer although a connection can be had."""

    def replay(clock):
        made = limited_runner(LimitedGroup(accepts=8), clock)
        pool = made.pools['m0']
        pool.acquire('held', {}, 100)
        pool.accepted.record_refused(clock.now_ms(), 1)
        eventlet.sleep(connection_limit.FIRST_PROBE_MS / 1000)
        for name in ('x', 'y'):
            eventlet.spawn(made.run, 'a', request(f'WRITE {name}', organisation=name))
        eventlet.sleep((OPEN_MS + 3 * ROUND_TRIP_MS) / 1000)
        return pool._opening

    assert in_virtual_time(replay) == 1
