"""Statements and probes whose answers do not prove what they seem to say."""

from __future__ import annotations

from godwitthread.core.statements import Action, Refusal, TxState
from tests.test_gateway.fakes import FakeConnection, FakeGroup, request, runner


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
