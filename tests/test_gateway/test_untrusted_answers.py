"""Statements and probes whose answers do not prove what they seem to say."""

from __future__ import annotations

import pytest
from greenlet import GreenletExit

from godwitthread.clock import Clock
from godwitthread.core.statements import Action, Consistency, Refusal, Reply, TxState
from godwitthread.gateway.groups.replica_control import ReplicaControl
from godwitthread.types import Position
from tests.test_gateway.fakes import FakeConnection, FakeGroup, quiet_log, request, runner


def lose_rollbacks(monkeypatch, group: FakeGroup, number: int) -> None:
    """Leave the first rollbacks without an answer, as after answers that can't be assigned."""
    rollback = FakeConnection.rollback

    def lose(conn, timeout_ms):
        lost.append(conn)
        if len(lost) > number:
            return rollback(conn, timeout_ms)
        conn.close()
        return Reply(refusal=Refusal.LOST)

    lost = []
    monkeypatch.setattr(FakeConnection, 'rollback', lose)


@pytest.mark.parametrize(('lost', 'confirmed'), [(1, True), (2, False)])
def test_a_primary_is_confirmed_by_two_answers_in_order(monkeypatch, lost, confirmed):
    """Guard against evidence from the repeated answer to an earlier BEGIN (stale reads)."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x'))
    known = made.evidence.newest
    group.commit()
    lose_rollbacks(monkeypatch, group, lost)
    assert made.confirm_primary('m0') is confirmed
    assert (made.evidence.newest != known) is confirmed


@pytest.mark.parametrize('refusal', [Refusal.LOST, Refusal.UNREACHABLE, Refusal.BUSY])
def test_a_probe_that_is_not_refused_by_a_replica_leaves_the_primary(refusal):
    """Guard against a primary that is given up because a connection to it was closed."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x'))
    group.script = [('BEGIN', refusal)]
    made.dispatcher.members['m0'].last_answer_ms = 0
    made.renew_evidence()
    assert made.last_primary == 'm0'


@pytest.mark.parametrize('request_', ['begin', 'rollback'])
def test_a_probe_that_fails_beside_other_answers_is_no_loss_of_leadership(monkeypatch, request_):
    """Guard against a primary that is given up because the answer to a probe was lost."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x'))
    state = made.dispatcher.members['m0']

    def lose(conn, *_):
        conn.close()
        state.last_answer_ms += 1
        return Reply(refusal=Refusal.LOST)

    monkeypatch.setattr(FakeConnection, request_, lose)
    made.renew_evidence()
    assert made.last_primary == 'm0'


def test_a_read_of_the_primary_proves_its_position_by_its_own_answer(monkeypatch):
    """Guard against the position in the repeated answer to an earlier BEGIN (stale reads)."""
    group = FakeGroup()
    made = runner(group)
    begin = FakeConnection.begin

    def repeat(*args):
        return begin(*args)._replace(position=Position(1, 5))

    monkeypatch.setattr(FakeConnection, 'begin', repeat)
    made.run('a', request('READ i', consistency=Consistency.PRIMARY))
    assert made.evidence.newest == group.applied['m0']


@pytest.mark.parametrize('action', [Action.SINGLE, Action.IN_TRANSACTION])
def test_a_statement_that_is_given_up_leaves_no_open_connection(monkeypatch, action):
    """Guard against its answer as that to the next statement on the connection (MIXED)."""
    group = FakeGroup()
    made = runner(group)

    def leave(*_):
        raise GreenletExit

    monkeypatch.setattr(FakeConnection, 'run', leave)
    with pytest.raises(GreenletExit):
        made.run('a', request('WRITE i x', action))
    assert group.connections[-1].closed
    assert made.pools['m0'].total == made.dispatcher.members['m0'].running == 0


def test_an_attempt_of_a_read_that_is_given_up_ends_with_a_result(monkeypatch):
    """Guard against a slot that stays occupied, and a read that waits for its deadline."""
    group = FakeGroup()
    made = runner(group)

    def leave(*_):
        raise GreenletExit

    monkeypatch.setattr(FakeConnection, 'begin', leave)
    result = made.run('a', request('READ i', consistency=Consistency.PRIMARY, remaining_ms=50))
    assert result.error and all(conn.closed for conn in group.connections)
    assert made.pools['m0'].total == made.dispatcher.members['m0'].running == 0


def test_a_write_that_ran_outside_its_transaction_is_unknown(monkeypatch):
    """Guard against a promise of a rollback after the repeated answer to an earlier BEGIN."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('READ i', Action.IN_TRANSACTION, consistency=Consistency.PRIMARY))

    def run(conn, *_):
        conn.close()
        conn.state = TxState.IDLE
        return Reply(refusal=Refusal.LOST)

    monkeypatch.setattr(FakeConnection, 'run', run)
    result = made.run('a', request('WRITE i x', Action.IN_TRANSACTION, first=False))
    assert result.error == 'commit_unknown'


def test_a_commit_is_not_repeated_in_a_failed_transaction(monkeypatch):
    """Guard against an acknowledged transaction that the member has rolled back."""
    group = FakeGroup()
    made = runner(group)
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION))
    run = FakeConnection.run

    def fail(conn, *args):
        reply = run(conn, *args)
        conn.state = TxState.FAILED if reply.refusal else conn.state
        return reply

    monkeypatch.setattr(FakeConnection, 'run', fail)
    group.script = [('COMMIT', Refusal.BUSY)]
    result = made.run('a', request('COMMIT', Action.COMMIT, first=False))
    assert result.error == 'transaction_lost'
    assert 'COMMIT' not in group.texts()


def test_a_query_that_ends_without_an_answer_keeps_no_connection():
    """Guard against places of a member that no statement gets any more."""
    made = runner(FakeGroup())
    made.run('a', request('READ i'))

    def end(_):
        raise GreenletExit

    pool = made.pools['m1']
    with pytest.raises(GreenletExit):
        ReplicaControl(made, quiet_log(Clock()))._ask('m1', end)
    assert not pool.total
