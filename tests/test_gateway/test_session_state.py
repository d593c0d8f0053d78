"""Session values and prepared statements on connections that several sessions share."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.core.statements import Prepared
from godwitthread.gateway.groups.session_state import (
    MAX_PREPARED,
    PreparedNames,
    apply_session_state,
    prepared_name,
)
from tests.test_gateway.fakes import FakeConnection, FakeGroup, request

#: Two shapes with the same 64-bit xxHash; anyone can compute more of them.
COLLIDING_SHAPES = (
    'abc7hkkeutkxxxxxxxxxxxxxxxxxxxxxxxxzoovr36txxxxxxxxxxxxxxxx',
    r'abcn5l9pg0exxxxxxxxxxxxxxxxxxxxxxxx^\xrY-mZxxxxxxxxxxxxxxxx',
)


class MemberState(FakeConnection):
    """Connection that records the state that its member keeps for it."""

    def __init__(self) -> None:
        super().__init__(FakeGroup(), 'm0', 'drivers')
        self.set_there: dict[str, str] = {}
        self.prepared_there: dict[str, Prepared] = {}
        #: Outcome of the next requests: False for an error, an exception to be raised.
        self.script: list = []

    def reset(self, timeout_ms):
        self.set_there.clear()
        self.prepared_there.clear()
        return self._outcome()

    def set_value(self, name, value, timeout_ms):
        self.set_there[name] = value
        return self._outcome()

    def prepare(self, name, prepared, timeout_ms):
        self.prepared_there[name] = prepared
        return self._outcome()

    def _outcome(self):
        outcome = self.script.pop(0) if self.script else True
        if isinstance(outcome, BaseException):
            raise outcome
        return outcome


def run(conn: MemberState, shape: str, values=()) -> Prepared | None:
    """Prepare a shape on a connection and return the one that the member then runs."""
    prepared = Prepared(False, shape)
    assert apply_session_state(conn, request('EXEC', values=values, prepared=prepared), 100)
    return conn.prepared_there.get(prepared_name(prepared))


def test_shapes_with_the_same_hash_have_different_names():
    """Guard against a statement that runs the shape of another session (PINNED)."""
    conn = MemberState()
    for shape in COLLIDING_SHAPES:
        assert run(conn, shape) == Prepared(False, shape)


def test_the_statements_that_stay_prepared_on_a_connection_are_limited():
    """Guard against members and instances that keep the shapes of all former sessions."""
    conn, values = MemberState(), (('v', '1'),)
    for number in range(2 * MAX_PREPARED + 1):
        assert run(conn, f'q{number}', values) == Prepared(False, f'q{number}')
        assert conn.set_there == conn.values == {'v': '1'}
        assert len(conn.prepared_there) == len(conn.prepared) <= MAX_PREPARED


@pytest.mark.parametrize('outcome', [False, eventlet.Timeout(), eventlet.greenlet.GreenletExit()])
@pytest.mark.parametrize('failing', range(4))
def test_a_connection_whose_state_is_not_known_is_closed(failing, outcome):
    """Guard against values and shapes that a member has set, or not, without an answer (PINNED)."""
    conn = MemberState()
    run(conn, 'former', [('old', '1')])
    conn.script = [True] * failing + [outcome]
    prepared = Prepared(False, 'new')
    req = request('EXEC', values=(('a', '1'), ('b', '2')), prepared=prepared)
    try:
        assert not apply_session_state(conn, req, 100)
    except BaseException as exc:
        assert exc is outcome
    assert conn.closed


def test_a_session_finds_exactly_its_values():
    """Guard against values of another session, in part or in another order (PINNED)."""
    conn = MemberState()
    for values in ('ab', 'a', '', 'ba', 'aB'), ('x', 'x\r', 'x\n', 'x ', '\x00x'):
        for text in values:
            pairs = [(name, text) for name in text if name.isalpha()]
            run(conn, 'q', pairs)
            assert conn.set_there == conn.values == dict(pairs)


def test_a_name_that_was_forgotten_is_not_given_again():
    """Guard against names that stand for another shape once the table is full (PINNED)."""
    names = PreparedNames(limit=2, limit_size=10)
    first = [names.name_of(Prepared(True, shape)) for shape in 'abcab']
    assert first[:3] == ['g1', 'g2', 'g3'] and not {'g1', 'g2', 'g3'} & set(first[3:])
    assert names.name_of(Prepared(True, 'b')) == first[4]
    assert names.name_of(Prepared(False, 'b')) != first[4]
    large = names.name_of(Prepared(True, 'x' * 9))
    assert names.name_of(Prepared(True, 'x' * 9)) == large
    assert names.name_of(Prepared(True, 'b')) != first[4]
