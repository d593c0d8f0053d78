"""Transactions that wait, begin late or are given up at the owner of a group."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.core.statements import Action, Refusal
from godwitthread.errors import ErrorKind
from tests.test_gateway.fakes import FakeGroup, request, runner


@pytest.mark.parametrize('text', ['WRITE i x', 'COMMIT'])
def test_a_busy_member_does_not_end_a_transaction(text):
    """Guard against transactions that are rolled back because the member sheds load."""
    group = FakeGroup()
    group.script = [(text, Refusal.BUSY), (text, Refusal.BUSY)]
    made = runner(group)
    first = made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    last = made.run('a', request('COMMIT', Action.COMMIT, first=False))
    assert (first.error, last.error) == ('', '')
    assert group.texts() == ['WRITE i x', 'COMMIT']
    assert all(state.running == 0 for state in made.dispatcher.members.values())
    assert len(made.dispatcher) == 0


def _with_a_waiting_statement(group: FakeGroup, text: str, action: Action):
    """Begin a transaction, and let its next statement wait for a slot of the primary."""
    made = runner(group)
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, writes=True))
    state = made.dispatcher.members['m0']
    state.busy_until_ms = made._clock.now_ms() + 50
    waiting = eventlet.spawn(made.run, 'a', request(text, action, first=False, writes=True))
    eventlet.sleep(0)
    assert len(made.dispatcher) == 1
    return made, waiting


def test_a_statement_that_waits_for_its_turn_never_runs_outside_its_transaction():
    """Guard against a statement on a connection that was rolled back and given to others."""
    group = FakeGroup()
    made, waiting = _with_a_waiting_statement(group, 'WRITE i y', Action.IN_TRANSACTION)
    made.run('a', request('', Action.ROLLBACK, first=False))
    assert waiting.wait().error == ErrorKind.TRANSACTION_LOST.value
    assert group.texts() == ['WRITE i x']


def test_a_transaction_that_ended_while_it_waited_is_no_failure_of_the_member():
    """Guard against a pause of the primary because an instance with transactions was lost."""
    group = FakeGroup()
    made, waiting = _with_a_waiting_statement(group, 'COMMIT', Action.COMMIT)
    made.end_sender('a')
    assert waiting.wait().error == ErrorKind.TRANSACTION_LOST.value
    state = made.dispatcher.members['m0']
    assert (state.running, state.failures, state.unanswered_since_ms) == (0, 0, 0)
    assert group.texts() == ['WRITE i x']


@pytest.mark.parametrize('event', ['new transaction', 'rollback', 'link ended'])
def test_a_transaction_that_begins_late_joins_no_later_one(event):
    """Guard against a commit of statements whose caller was told that they had no effect.

    A transaction was given up by its entry instance while its connection was being opened.
    """
    group = FakeGroup()
    made = runner(group)
    connect, waits_s = group.connect, [0.05, 0.0]

    def connect_slowly(member, organisation):
        eventlet.sleep(waits_s.pop(0))
        return connect(member, organisation)

    made.pools['m0']._connect = connect_slowly
    old = eventlet.spawn(made.run, 'a', request('WRITE i old', Action.IN_TRANSACTION, writes=True))
    eventlet.sleep(0.01)
    if event == 'rollback':
        made.run('a', request('', Action.ROLLBACK, first=False))
    elif event == 'link ended':
        made.end_sender('a')
    made.run('a', request('WRITE i new', Action.IN_TRANSACTION, writes=True))
    if event != 'new transaction':
        made.run('a', request('', Action.ROLLBACK, first=False))
    assert old.wait().error == ErrorKind.TRANSACTION_LOST.value
    committed = made.run('a', request('COMMIT', Action.COMMIT, first=False)).error == ''
    assert committed == (event == 'new transaction')
    assert 'WRITE i old' not in group.texts()
    assert len(made.pools['m0']._in_use) == 0
    assert not made._transactions


def test_a_late_first_statement_does_not_replace_a_newer_transaction():
    """Guard against statements that run in a transaction which the session gave up (PINNED)."""
    group, released = FakeGroup(), eventlet.event.Event()
    waits = [released.wait, lambda: 0]
    made = runner(group, admit=lambda *_: waits.pop(0)())
    late = eventlet.spawn(made.run, 'a', request('WRITE i old', Action.IN_TRANSACTION))
    eventlet.sleep(0)
    made.run('a', request('WRITE i new', Action.IN_TRANSACTION))
    released.send(0)
    assert late.wait().error == 'transaction_lost'
    assert made.run('a', request('COMMIT', Action.COMMIT, first=False)).error == ''
    assert group.texts() == ['WRITE i new', 'COMMIT']


@pytest.mark.parametrize('end', ['rollback', 'end_sender', 'close'])
def test_no_transaction_begins_after_its_session_has_ended(end):
    """Guard against a transaction that nobody ends and whose first statement runs late."""
    group, released = FakeGroup(), eventlet.event.Event()
    made = runner(group, admit=lambda *_: released.wait())
    late = eventlet.spawn(made.run, 'a', request('WRITE i old', Action.IN_TRANSACTION))
    eventlet.sleep(0)
    ends = {
        'rollback': lambda: made.run('a', request('', Action.ROLLBACK)),
        'end_sender': lambda: made.end_sender('a'),
        'close': made.close,
    }
    ends[end]()
    released.send(0)
    assert late.wait().error == 'transaction_lost'
    assert group.texts() == [] and not made.has_open_work()
