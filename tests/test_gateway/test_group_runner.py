"""Execution of statements at the owner of a group."""

from __future__ import annotations

import contextlib

import eventlet
import pytest

from godwitthread.address import Address
from godwitthread.core.statements import Action, Consistency, Prepared, Refusal, Reply, TxState
from godwitthread.core.write_authority import Succession
from godwitthread.errors import ErrorKind
from godwitthread.gateway.groups import group_runner
from godwitthread.types import Position
from tests.test_gateway.fakes import (
    GROUP,
    FakeConnection,
    FakeGroup,
    member,
    members,
    request,
    runner,
)


def test_a_new_transaction_never_joins_one_left_open_by_the_same_session():
    """Guard against statements that join an abandoned transaction after a lost link."""
    group = FakeGroup()
    made = runner(group)
    made.run('a/1', request('WRITE i old', Action.IN_TRANSACTION, writes=True))
    old = group.connections[-1]
    made.run('a/1', request('WRITE i new', Action.IN_TRANSACTION, writes=True))
    assert old.closed
    assert made.run('a/1', request('COMMIT', Action.COMMIT, first=False)).error == ''
    assert group.applied['m0'].offset == 11


def test_transactions_of_a_peer_end_with_its_connection():
    """Guard against transactions that occupy a connection after their instance failed."""
    group = FakeGroup()
    made = runner(group)
    made.run('a/1/1', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    made.end_sender('a/1/1')
    assert group.connections[-1].closed
    result = made.run('a/1/2', request('COMMIT', Action.COMMIT, first=False))
    assert result.error == 'transaction_lost'
    assert group.applied['m0'].offset == 10


def test_a_connection_inside_a_transaction_is_not_reused():
    """Guard against a pooled connection whose rollback was refused."""
    group = FakeGroup()
    made = runner(group)
    conn = made.pools['m0'].acquire('drivers', {}, 100)
    conn.state = TxState.OPEN
    made.pools['m0'].release(conn)
    assert conn.closed
    assert made.pools['m0'].acquire('drivers', {}, 100) is not conn


@pytest.mark.parametrize('refusal', [Refusal.LOST, Refusal.FAILED, Refusal.TIMEOUT])
def test_a_write_that_may_have_run_is_not_sent_again(refusal):
    """Guard against a write that takes effect twice."""
    group = FakeGroup()
    group.script = [('WRITE', refusal)]
    made = runner(group)
    result = made.run('a', request('WRITE i x'))
    expected = {
        Refusal.LOST: 'connection_lost',
        Refusal.FAILED: 'statement_failed',
        Refusal.TIMEOUT: 'deadline_exceeded_after_send',
    }
    assert result.error == expected[refusal]
    assert 'WRITE i x' not in group.texts()


def test_a_write_refused_by_a_former_primary_runs_at_the_new_one():
    """Guard against a failed write during a failover."""
    group = FakeGroup()
    made = runner(group)
    group.promote('m1')
    eventlet.spawn_after(0.05, made.update, *_update(group))
    result = made.run('a', request('WRITE i x'))
    assert result.error == ''
    assert result.receipt == 'receipt-m1'


def test_a_commit_without_an_answer_is_unknown():
    """Guard against an error that denies a commit which may have taken effect."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    group.script = [('COMMIT', Refusal.LOST)]
    result = made.run('a', request('COMMIT', Action.COMMIT, first=False))
    assert result.error == 'commit_unknown'


def test_a_commit_refused_by_a_former_primary_is_rolled_back():
    """Guard against an unknown outcome where the member guarantees that nothing ran."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    group.promote('m1')
    result = made.run('a', request('COMMIT', Action.COMMIT, first=False))
    assert result.error == 'transaction_lost'


def test_a_read_sees_a_commit_of_its_session_on_every_member():
    """Guard against a session that does not see its own write."""
    group = FakeGroup()
    made = runner(group)
    seen = made.run('a', request('WRITE i x')).position
    for _ in range(20):
        assert made.run('a', request('READ i', seen=seen)).error == ''
    reads = [entry.member for entry in group.ran if entry.text == 'READ i']
    assert set(reads) == {'m0'}
    group.catch_up()
    eventlet.sleep(0.2)
    assert made.run('a', request('READ i', seen=seen)).error == ''


def test_a_replica_never_answers_a_read_of_a_primary_route():
    """Guard against the stale answer of a former primary."""
    group = FakeGroup()
    made = runner(group)
    group.promote('m1')
    eventlet.spawn_after(0.05, made.update, *_update(group))
    result = made.run('a', request('READ i', consistency=Consistency.PRIMARY))
    assert result.receipt == 'receipt-m1'
    assert [entry.member for entry in group.ran] == ['m1']


def test_a_bounded_read_relies_on_recent_evidence_only():
    """Guard against reads on a replica without evidence of the primary's position."""
    group = FakeGroup()
    made = runner(group)
    assert made.evidence.newest is None
    result = made.run('a', request('READ i', consistency=Consistency.BOUNDED, max_age_ms=1_500))
    assert result.error == ''
    assert made.evidence.newest is not None


def test_a_read_without_an_answer_goes_to_another_member():
    """Guard against a read that fails although other members can run it."""
    group = FakeGroup()
    made = runner(group)
    group.script = [('READ', Refusal.LOST)]
    result = made.run('a', request('READ i'))
    assert result.error == ''


def test_session_values_and_prepared_statements_follow_the_session():
    """Guard against a statement that runs with the values of another session."""
    group = FakeGroup(count=1)
    made = runner(group)
    prepared = Prepared(True, 'shape')
    made.run('a', request('READ i', values=(('lang', 'nb'), ('tz', 'utc'))))
    made.run('a', request('EXEC s1 i', values=(('lang', 'es'),), prepared=prepared))
    made.run('a', request('READ i', session=2))
    assert [entry.values for entry in group.ran] == [
        {'lang': 'nb', 'tz': 'utc'},
        {'lang': 'es'},
        {},
    ]


def test_the_connection_limit_is_kept_by_closing_idle_connections():
    """Guard against more connections than the member accepts."""
    group = FakeGroup(count=1)
    made = runner(group)
    for number in range(40):
        result = made.run('a', request('READ i', organisation=f'org{number}'))
        assert result.error == ''
        assert sum(not conn.closed for conn in group.connections) <= 16


def test_a_draining_or_evacuated_member_gets_no_new_work():
    """Guard against new work on members that are about to stop."""
    group = FakeGroup()
    made = runner(group)
    entries = members(group) | {'m1': member('m1', draining=True)}
    made.update(*_update(group, entries, {'d2'}))
    for _ in range(20):
        made.run('a', request('READ i'))
    assert {entry.member for entry in group.ran} == {'m0'}


def test_work_beyond_the_rate_is_refused_with_a_retry_delay():
    """Guard against refused work that reaches a member."""
    group = FakeGroup()
    made = runner(group, admit=lambda organisation, wait_ms, hold_ms: 70)
    result = made.run('a', request('READ i'))
    assert (result.error, result.retry_after_ms) == ('rate_limited', 70)
    assert group.ran == []


def test_idle_transactions_are_ended():
    """Guard against transactions that occupy a connection permanently."""
    group = FakeGroup()
    made = runner(group)
    made.update(*_update(group, tx_idle_ms=10))
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    eventlet.sleep(0.05)
    made.tick(owned=True)
    assert made.run('a', request('COMMIT', Action.COMMIT, first=False)).error == 'transaction_lost'


def test_an_unreachable_primary_is_not_probed_again_at_once():
    """Guard against a connection attempt for each read that needs evidence."""
    group = FakeGroup()
    made = runner(group)
    made.pools['m0'].last_organisation = 'drivers'
    group.unreachable.add('m0')
    attempts = []
    connect = made.pools['m0']._connect
    made.pools['m0']._connect = lambda *args: (attempts.append(1), connect(*args))[1]
    for _ in range(20):
        made.renew_evidence()
    assert len(attempts) == 1


def test_transactions_end_on_members_of_an_evacuated_failure_domain(monkeypatch):
    """Guard against statements that reach a member long after its failure domain was evacuated."""
    monkeypatch.setattr(group_runner, 'EVACUATED_TX_MS', 10)
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    made.update(*_update(group, evacuated={'d0'}))
    eventlet.sleep(0.03)
    made.tick(owned=False)
    assert made.run('a', request('COMMIT', Action.COMMIT, first=False)).error == 'transaction_lost'


@pytest.mark.parametrize('end', ['tick', 'end_idle_transactions'])
def test_a_running_commit_is_not_ended_as_idle(end):
    """Guard against a commit of unknown outcome that began just before the idle limit."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    made.update(*_update(group, tx_idle_ms=-1))
    conn = group.connections[-1]
    execute, committed = conn.run, []

    def run(*args):
        made.tick(True) if end == 'tick' else made.end_idle_transactions()
        committed.append(not conn.closed)
        return execute(*args)

    conn.run = run
    made.run('a', request('COMMIT', Action.COMMIT, first=False))
    assert committed == [True]


def test_transactions_end_when_their_group_is_removed():
    """Guard against connections that stay open after a configuration removed the group."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    made.close()
    assert group.connections[-1].closed


def _update(group, entries=None, evacuated=frozenset(), tx_idle_ms=3_000):
    return GROUP, entries or members(group), set(evacuated), tx_idle_ms


def test_a_write_is_unknown_if_the_authority_ended_before_its_answer():
    """Guard against the acknowledgement of a write by a primary that was replaced meanwhile."""
    group = FakeGroup()
    made = runner(group)
    conn_run = FakeConnection.run

    def run(self, statement_id, text, timeout_ms, after=None):
        made.lease.valid = not text.startswith('WRITE')
        return conn_run(self, statement_id, text, timeout_ms, after)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FakeConnection, 'run', run)
        result = made.run('a', request('WRITE i x'))
    assert result.error == ErrorKind.CONNECTION_LOST.value


def test_nothing_is_sent_to_the_primary_without_the_authority_to_use_it():
    """Guard against writes of an instance that is cut off from the other instances."""
    group = FakeGroup()
    made = runner(group)
    made.lease.valid = False
    result = made.run('a', request('WRITE i x', remaining_ms=100))
    assert result.error == ErrorKind.BACKEND_UNAVAILABLE.value
    assert group.texts() == []


@pytest.mark.parametrize('confirmed', [True, False])
def test_a_promotion_by_another_instance_is_followed(confirmed):
    """Guard against work for a former primary that still accepts it."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x'))
    group.unaware.add('m0')
    group.promote('m1')
    made.lease.succession = Succession(1, confirmed, 'm1')
    assert made.run('a', request('WRITE i y')).receipt == 'receipt-m1'


def test_an_order_of_another_instance_that_had_no_effect_changes_nothing():
    """Guard against a group without a primary after an instance died before its order."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x'))
    made.lease.succession = Succession(1, False, 'm1')
    assert made.run('a', request('WRITE i y')).receipt == 'receipt-m0'


def test_the_primary_is_unknown_while_an_ordered_member_does_not_answer():
    """Guard against a former primary that is used although its replacement may have led."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x'))
    group.unreachable.add('m1')
    made.pools['m1'].close_idle()
    made.lease.succession = Succession(1, False, 'm1')
    result = made.run('a', request('WRITE i y', remaining_ms=300))
    assert result.error == ErrorKind.BACKEND_UNAVAILABLE.value
    assert made.last_primary is None


@pytest.mark.parametrize('text', ['READ i', 'WRITE i x'])
def test_an_unexpected_error_occupies_no_slot(text):
    """Guard against a member that gets no work after a few statements failed with an error."""
    group = FakeGroup()
    made = runner(group)

    def fail(member, organisation):
        raise ValueError('scripted')

    for pool in made.pools.values():
        pool._connect = fail
    for _ in range(8):
        with contextlib.suppress(ValueError):
            assert made.run('a', request(text, remaining_ms=200)).error
    assert all(state.running == 0 for state in made.dispatcher.members.values())


def test_a_probe_of_a_former_primary_proves_nothing_once_a_promotion_is_known(monkeypatch):
    """Guard against stale reads after a handover (madermar-lima trouble-1, seed 583051486341)."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x'))
    group.unaware.add('m0')
    group.promote('m1')
    known = made.evidence.newest
    begin = FakeConnection.begin

    def learn_of_promotion(self, read_only, after, timeout_ms):
        made.lease.succession = Succession(1, True, 'm1')
        return begin(self, read_only, after, timeout_ms)

    monkeypatch.setattr(FakeConnection, 'begin', learn_of_promotion)
    group.applied['m0'] = Position(1, 99)
    assert made.confirm_primary('m0')
    assert made.evidence.newest == known


def test_a_former_primary_that_renews_its_claim_gets_no_work():
    """Guard against a former primary that returns when its partition ends."""
    group = FakeGroup()
    made = runner(group)
    made.lease.succession = Succession(1, True, 'm1')
    group.unaware.add('m0')
    group.promote('m1')
    made.run('a', request('WRITE i x'))
    entries = members(group)
    entries['m0'] = entries['m0']._replace(primary=True, revision=9)
    entries['m1'] = entries['m1']._replace(primary=False)
    made.update(GROUP, entries, set(), 3_000)
    entries['m0'] = entries['m0']._replace(primary=False)
    made.update(GROUP, entries, set(), 3_000)
    entries['m0'] = entries['m0']._replace(primary=True)
    made.update(GROUP, entries, set(), 3_000)
    assert made.last_primary == 'm1'


def test_a_connection_of_a_former_entry_of_a_member_is_not_reused():
    """Guard against statements at the process that had the member's name before."""
    group = FakeGroup()
    made = runner(group)
    conn = made.pools['m0'].acquire('drivers', {}, 100)
    entries = members(group)
    entries['m0'] = entries['m0']._replace(address=Address('10.0.0.9', 80))
    made.update(*_update(group, entries))
    made._release('m0', conn)
    assert conn.closed
    assert made.pools['m0'].total == 0


def test_a_read_that_a_former_primary_ran_is_not_refused_as_not_run(monkeypatch):
    """Guard against a refusal that denies a statement which reached a member."""
    group = FakeGroup()
    made = runner(group)
    conn_run = FakeConnection.run

    def run(self, statement_id, text, timeout_ms, after=None):
        made.lease.valid = not text.startswith('READ')
        return conn_run(self, statement_id, text, timeout_ms, after)

    monkeypatch.setattr(FakeConnection, 'run', run)
    req = request('READ i', consistency=Consistency.PRIMARY, remaining_ms=100)
    result = made.run('a', req)
    assert group.texts() == ['READ i']
    assert result.error == ErrorKind.CONNECTION_LOST.value


@pytest.mark.parametrize('text', ['READ i', 'WRITE i x', 'in a transaction', 'COMMIT'])
def test_an_unexpected_error_occupies_no_connection(text, monkeypatch):
    """Guard against connections that are never released after a statement failed with an error."""
    group = FakeGroup()
    made = runner(group)
    action = {'in a transaction': Action.IN_TRANSACTION, 'COMMIT': Action.COMMIT}.get(text)
    if action:
        made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))

    def fail(self, statement_id, text, timeout_ms, after=None):
        raise ValueError('scripted')

    monkeypatch.setattr(FakeConnection, 'run', fail)
    req = request(text, action or Action.SINGLE, first=not action, remaining_ms=100)
    with contextlib.suppress(ValueError):
        assert made.run('a', req).error
    assert [len(pool._in_use) for pool in made.pools.values()] == [0, 0, 0]
    assert all(state.running == 0 for state in made.dispatcher.members.values())


@pytest.mark.parametrize('refusal', [Refusal.FAILED, Refusal.UNPREPARED])
@pytest.mark.parametrize('action', [Action.SINGLE, Action.IN_TRANSACTION])
def test_a_statement_that_is_refused_again_and_again_ends(action, refusal, monkeypatch):
    """Guard against a statement that is sent for ever, also after its time limit."""
    group = FakeGroup()
    made = runner(group)
    end_ms = made._clock.now_ms() + 300

    def refuse(*args):
        assert made._clock.now_ms() < end_ms
        return Reply(refusal=refusal)

    monkeypatch.setattr(FakeConnection, 'begin', refuse)
    monkeypatch.setattr(FakeConnection, 'run', refuse)
    result = made.run('a', request('WRITE i x', action, writes=True, remaining_ms=50))
    assert result.error in ('statement_failed', 'overloaded')


def test_an_unexpected_error_of_a_probe_occupies_no_connection(monkeypatch):
    """Guard against connections that are never released after a probe failed with an error."""
    group = FakeGroup()
    made = runner(group)
    made.pools['m0'].last_organisation = 'drivers'

    def fail(*args):
        raise ValueError('scripted')

    monkeypatch.setattr(FakeConnection, 'begin', fail)
    with pytest.raises(ValueError, match='scripted'):
        made.confirm_primary('m0')
    assert not made.pools['m0']._in_use


def test_a_connection_that_lacks_a_prepared_statement_is_not_used_again():
    """Guard against a member whose state differs from what the instance believes (PINNED)."""
    group = FakeGroup(count=1)
    made = runner(group)
    req = request('EXEC s1 i', prepared=Prepared(True, 'q'))
    assert made.run('a', req).error == ''
    (conn,) = group.connections
    conn.execute = lambda *_: conn._reply(refusal=Refusal.UNPREPARED)
    assert made.run('a', req).error == ''
    assert conn.closed
