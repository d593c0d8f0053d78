"""Caller sessions."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.clock import Clock
from godwitthread.core.catalog import Organisation
from godwitthread.core.statements import (
    Action,
    Consistency,
    Result,
    Statement,
    TxState,
    Verb,
    failure,
)
from godwitthread.errors import ErrorKind
from godwitthread.gateway.sessions import Sessions
from godwitthread.types import Position
from tests.test_gateway.fakes import configuration, quiet_log, route


class FakeOwner:
    """Fake owner of a group that records requests and answers them from a list."""

    def __init__(self) -> None:
        self.requests = []
        self.results: list[Result] = []

    def run(self, req, holder):
        self.requests.append((req, holder))
        result = self.results.pop(0) if self.results else Result(receipt='r', position=None)
        return result, 'gw-1'

    def actions(self) -> list[Action]:
        return [req.action for req, _ in self.requests]


def open_session(cfg=None, key='k1', database='orders-db'):
    """Open a session whose requests go to a fake owner."""
    owner = FakeOwner()
    clock = Clock()
    known = [cfg or configuration()]
    sessions = Sessions(clock, lambda: known[0], owner.run, quiet_log(clock), lambda *args: None)
    session, refusal = sessions.open(database, key)
    return session, refusal, owner, known


def statement(verb: Verb, text: str = '', **fields) -> Statement:
    """Build a statement."""
    return Statement('q', verb, text or verb.name, **fields)


def test_unknown_databases_and_keys_are_refused():
    """Guard against sessions that the configuration does not allow."""
    assert open_session(database='nowhere')[1].error == ErrorKind.ROUTE_UNKNOWN.value
    assert open_session(key='k9')[1].error == ErrorKind.KEY_INVALID.value


def test_a_session_waits_for_the_first_configuration():
    """Guard against refusing all callers of an instance that has started a moment ago."""
    clock = Clock()
    known = [None]
    sessions = Sessions(clock, lambda: known[0], FakeOwner().run, quiet_log(clock), lambda *_: None)
    opening = eventlet.spawn(sessions.open, 'orders-db', 'k1')
    eventlet.sleep(0)
    known[0] = configuration()
    session, refusal = opening.wait()
    assert session is not None
    assert refusal is None


def test_a_session_is_refused_while_no_configuration_arrives(monkeypatch):
    """Guard against callers that wait without a bound for an instance that reads no store."""
    monkeypatch.setattr('godwitthread.gateway.sessions.CONFIGURATION_WAIT_MS', 0)
    clock = Clock()
    sessions = Sessions(clock, lambda: None, FakeOwner().run, quiet_log(clock), lambda *_: None)
    _, refusal = sessions.open('orders-db', 'k1')
    assert refusal.error == ErrorKind.OVERLOADED.value


def test_an_open_route_needs_no_key():
    """Guard against routes that require a key although they are public."""
    cfg = configuration()._replace(routes={'orders-db': route(open=True)})
    session, refusal, owner, _ = open_session(cfg, key='nobody')
    assert refusal is None
    session.run(statement(Verb.READ, 'READ i', name='i'))
    assert owner.requests[0][0].organisation == '-'


def test_a_withdrawn_key_stops_a_session_that_is_open():
    """Guard against withdrawn keys that remain valid for connected callers."""
    session, _, owner, known = open_session()
    known[0] = configuration(2, keys=('other',))
    assert session.run(statement(Verb.READ, 'READ i', name='i')).error == 'key_invalid'
    assert owner.requests == []


def begin_and_write(session) -> None:
    """Begin a transaction, whose first statement brings it to the owner."""
    session.run(statement(Verb.BEGIN))
    session.run(statement(Verb.WRITE, 'WRITE i x', name='i'))


@pytest.mark.parametrize(
    ('verb', 'state'), [(Verb.READ, TxState.FAILED), (Verb.COMMIT, TxState.IDLE)]
)
def test_a_withdrawn_key_ends_an_open_transaction(verb, state):
    """Guard against statements and commits of a transaction whose key was withdrawn."""
    session, _, owner, known = open_session()
    begin_and_write(session)
    known[0] = configuration(2, keys=('other',))
    result = session.run(statement(verb, f'{verb.name} i', name='i'))
    assert result.error == ErrorKind.KEY_WITHDRAWN.value
    assert owner.actions() == [Action.IN_TRANSACTION, Action.ROLLBACK]
    assert session.state is state


def test_a_key_of_another_organisation_ends_an_open_transaction():
    """Guard against a transaction that goes on for the organisation that lost the key."""
    session, _, owner, known = open_session()
    begin_and_write(session)
    keys = {'k1': Organisation('guests', 10.0, 10.0)}
    known[0] = configuration(2)._replace(keys=keys)
    assert session.run(statement(Verb.COMMIT)).error == ErrorKind.KEY_WITHDRAWN.value
    assert owner.actions() == [Action.IN_TRANSACTION, Action.ROLLBACK]


def test_idle_transactions_end_with_their_key():
    """Guard against locks and connections that a withdrawn key holds until the next statement."""
    session, _, owner, known = open_session()
    begin_and_write(session)
    known[0] = configuration(2, keys=('other',))
    session._sessions.end_withdrawn()
    eventlet.sleep(0)
    assert owner.actions() == [Action.IN_TRANSACTION, Action.ROLLBACK]
    # A key that is issued again does not revive the transaction, which has lost its writes.
    known[0] = configuration(3)
    assert session.run(statement(Verb.READ, 'READ i', name='i')).error == 'key_withdrawn'
    assert session.run(statement(Verb.COMMIT)).error == ErrorKind.TRANSACTION_LOST.value
    assert owner.actions() == [Action.IN_TRANSACTION, Action.ROLLBACK]
    assert session.state is TxState.IDLE


def test_a_transaction_on_an_open_route_needs_no_key():
    """Guard against transactions of callers without a key that end at each configuration."""
    cfg = configuration()._replace(routes={'orders-db': route(open=True)})
    session, _, owner, known = open_session(cfg, key='nobody')
    begin_and_write(session)
    known[0] = configuration(2, keys=('other',))._replace(routes=cfg.routes)
    session._sessions.end_withdrawn()
    assert not session.run(statement(Verb.COMMIT)).error
    assert owner.actions() == [Action.IN_TRANSACTION, Action.COMMIT]


def test_a_transaction_outlasts_its_route():
    """Guard against transactions that end although a change of a route applies after them."""
    session, _, owner, known = open_session()
    begin_and_write(session)
    known[0] = configuration(2)._replace(routes={})
    session._sessions.end_withdrawn()
    assert not session.run(statement(Verb.COMMIT)).error
    assert owner.actions() == [Action.IN_TRANSACTION, Action.COMMIT]


def test_a_begun_transaction_keeps_its_route():
    """Guard against a transaction that is moved to another group by a new configuration."""
    session, _, owner, known = open_session()
    session.run(statement(Verb.BEGIN))
    known[0] = configuration(2)._replace(routes={'orders-db': route(group='elsewhere')})
    session.run(statement(Verb.READ, 'READ i', name='i'))
    session.run(statement(Verb.COMMIT))
    session.run(statement(Verb.READ, 'READ i', name='i'))
    assert [req.group for req, _ in owner.requests] == ['orders', 'orders', 'elsewhere']


def test_begin_reaches_the_owner_with_the_first_statement():
    """Guard against connections that are occupied by transactions without statements."""
    session, _, owner, _ = open_session()
    assert session.run(statement(Verb.BEGIN)).error == ''
    assert session.state is TxState.OPEN
    assert owner.requests == []
    session.run(statement(Verb.READ, 'READ i', name='i'))
    session.run(statement(Verb.COMMIT))
    assert owner.actions() == [Action.IN_TRANSACTION, Action.COMMIT]
    assert [req.first for req, _ in owner.requests] == [True, False]
    assert [holder for _, holder in owner.requests] == [None, 'gw-1']
    assert session.state is TxState.IDLE


def test_a_session_remembers_the_position_of_its_commits():
    """Guard against a session that does not see its own write."""
    session, _, owner, _ = open_session()
    owner.results = [Result(receipt='r', position=Position(1, 9))]
    session.run(statement(Verb.WRITE, 'WRITE i x', name='i'))
    session.run(statement(Verb.READ, 'READ i', name='i'))
    assert owner.requests[-1][0].seen == Position(1, 9)


def test_a_read_does_not_move_what_a_session_must_see():
    """Guard against sessions whose reads need the primary because of their earlier reads."""
    session, _, owner, _ = open_session()
    owner.results = [Result(receipt='r', position=Position(1, 9))]
    session.run(statement(Verb.READ, 'READ i', name='i'))
    session.run(statement(Verb.READ, 'READ i', name='i'))
    assert owner.requests[-1][0].seen is None


def test_a_failed_transaction_refuses_statements_until_it_ends():
    """Guard against statements that run outside the transaction they belong to."""
    session, _, owner, _ = open_session()
    session.run(statement(Verb.BEGIN))
    owner.results = [failure(ErrorKind.TRANSACTION_LOST, 'lost', ended=True)]
    assert session.run(statement(Verb.WRITE, 'WRITE i x', name='i')).error == 'transaction_lost'
    assert session.state is TxState.FAILED
    for verb in (Verb.READ, Verb.SET, Verb.BEGIN):
        assert session.run(statement(verb)).error == 'malformed_request'
    assert session.run(statement(Verb.COMMIT)).error == 'transaction_lost'
    assert session.state is TxState.IDLE
    assert len(owner.requests) == 1


def test_a_read_only_transaction_refuses_writes():
    """Guard against a write in a transaction that may run on a replica."""
    session, _, owner, _ = open_session()
    session.run(statement(Verb.BEGIN, read_only=True))
    result = session.run(statement(Verb.WRITE, 'WRITE i x', name='i'))
    assert result.error == ErrorKind.READ_ONLY_ROUTE.value
    assert owner.requests == []
    assert session.state is TxState.FAILED


def test_prepared_statements_and_values_belong_to_one_session():
    """Guard against name collisions between callers."""
    session, _, owner, _ = open_session()
    session.run(statement(Verb.SET, name='lang', argument='nb'))
    session.run(statement(Verb.PREPARE, name='s1', argument='q', read_only=True))
    session.run(statement(Verb.EXECUTE, 'EXEC s1 i', name='s1', argument='i'))
    req = owner.requests[0][0]
    assert req.values == (('lang', 'nb'),)
    assert (req.prepared.shape, req.prepared.read_only, req.arguments) == ('q', True, 'i')
    session.run(statement(Verb.DEALLOCATE, name='s1'))
    assert session.run(statement(Verb.EXECUTE, name='s1')).error == 'prepared_unknown'
    assert session.run(statement(Verb.DEALLOCATE, name='s1')).error == 'prepared_unknown'


def test_the_transaction_of_a_disconnected_caller_is_rolled_back():
    """Guard against transactions that stay open at a member."""
    session, _, owner, _ = open_session()
    session.run(statement(Verb.BEGIN))
    session.run(statement(Verb.WRITE, 'WRITE i x', name='i'))
    session.close()
    assert owner.actions() == [Action.IN_TRANSACTION, Action.ROLLBACK]


@pytest.mark.parametrize('kind', list(Consistency))
def test_only_session_routes_carry_what_was_seen(kind):
    """Guard against reads that require more than the consistency of their route."""
    cfg = configuration()._replace(routes={'orders-db': route(consistency=kind)})
    session, _, owner, _ = open_session(cfg)
    owner.results = [Result(receipt='r', position=Position(1, 9))]
    session.run(statement(Verb.WRITE, 'WRITE i x', name='i'))
    session.run(statement(Verb.READ, 'READ i', name='i'))
    expected = Position(1, 9) if kind is Consistency.SESSION else None
    assert owner.requests[-1][0].seen == expected


@pytest.mark.parametrize(
    ('verbs', 'error', 'state'),
    [
        ([Verb.WRITE], 'connection_lost', TxState.IDLE),
        ([Verb.BEGIN, Verb.WRITE], 'transaction_lost', TxState.FAILED),
        ([Verb.BEGIN, Verb.COMMIT], 'commit_unknown', TxState.IDLE),
    ],
)
def test_an_unexpected_error_is_answered(verbs, error, state):
    """Guard against a connection that ends without an answer after an internal error."""
    session, _, owner, _ = open_session()

    actions = []

    def fail(req, holder):
        actions.append(req.action)
        raise KeyError('unexpected')

    session._sessions.run = fail
    results = [session.run(statement(verb, f'{verb.name} i x', name='i')) for verb in verbs]
    assert results[-1].error == error
    assert session.state is state
    # The owner may hold the transaction open.
    assert (Action.ROLLBACK in actions) == (Verb.BEGIN in verbs)
