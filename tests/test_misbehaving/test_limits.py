"""Limits on callers: their values, the account of memory, and what is ended at them."""

from __future__ import annotations

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core import caller_limits
from godwitthread.core.caller_limits import MIB, CallerLimits
from godwitthread.core.memory_budget import (
    CONNECTION_BYTES,
    EXEMPT_BYTES,
    SMALL_BYTES,
    STATEMENT_COPIES,
    Activity,
    MemoryBudget,
)
from godwitthread.core.statements import (
    Action,
    Prepared,
    Result,
    RunRequest,
    Statement,
    TxState,
    Verb,
)
from godwitthread.errors import ErrorKind
from godwitthread.gateway.caller_guard import SWEEP_MS, CallerGuard
from godwitthread.gateway.frames import MAX_HELLO_BYTES, FrameStream
from godwitthread.gateway.sessions import Sessions
from godwitthread.platform import settings
from godwitthread.platform.bounded_listener import BoundedListener
from godwitthread.platform.gateway_process import GatewayProcess
from godwitthread.sockets import has_no_input, listen
from tests.test_gateway.fakes import configuration, quiet_log
from tests.test_platform.test_settings import NODE

ACTIVITIES = [Activity.STARTING, Activity.LINE, Activity.RUNNING, Activity.ANSWERING]


class Guarded:
    """Guard with a fake clock, and connections whose other ends the test holds."""

    def __init__(self, **limits: int) -> None:
        self.time_ms = 0
        self.clock = Clock(lambda: self.time_ms / 1000)
        limits = {'connections': 3, 'memory_bytes': MIB} | limits
        self.guard = CallerGuard(CallerLimits(**limits), self.clock, quiet_log(self.clock))
        self.ends = {}

    def open(self, activity=Activity.STARTING, **costs):
        near, far = socket.socketpair()
        account = self.guard.open(far, lambda: None)
        if account is not None:
            self.guard.enter(account, activity)
            self.guard.charge(account, **costs)
            self.ends[account] = near, far
        return account

    def is_ended(self, account):
        return not has_no_input(self.ends[account][0])

    def sweep_after(self, time_ms):
        self.time_ms += time_ms
        self.guard.sweep()


def test_limits_follow_the_memory_and_the_descriptors():
    """Guard against limits that leave no room for the process, its links and its members."""
    small = caller_limits.derive(200, 4_300)
    assert small.memory_bytes == 64 * MIB
    assert small.connections == 2_562
    used = small.connections + small.peer_connections + 2 * small.http_connections
    assert used < 4_300 - caller_limits.FILE_DESCRIPTORS
    assert caller_limits.derive(10, 10).memory_bytes == caller_limits.MIN_MEMORY_BYTES
    assert caller_limits.derive(10, 10).connections == caller_limits.MIN_CONNECTIONS
    assert caller_limits.derive(None, None) == CallerLimits()


def test_the_environment_replaces_limits():
    """Guard against a limit that operators cannot change, or that a wrong value sets."""
    for field, (variable, unit) in caller_limits.VARIABLES.items():
        changed = caller_limits.override(CallerLimits(), {variable: '7'})
        assert changed == CallerLimits()._replace(**{field: 7 * unit})
        for wrong in ('', '0', '-1', 'x', '1.5', '9' * 30, '\u0663\u0660' * 8):
            with pytest.raises(ValueError, match=variable):
                caller_limits.override(CallerLimits(), {variable: wrong})
    assert set(caller_limits.VARIABLES) == set(CallerLimits._fields)


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from(ACTIVITIES), st.integers(0, MIB)), max_size=60
    )
)
def test_the_account_never_leaks(steps):
    """Guard against a budget that is used up by connections that have ended."""
    budget = MemoryBudget(2 * MIB)
    accounts = {}
    for now_ms, (number, activity, size) in enumerate(steps):
        account = accounts.get(number)
        if account is None or account.ended:
            account = accounts[number] = budget.open(now_ms)
        account.activity = activity
        budget.charge(account, line=size)
        for each in budget.choose(now_ms * 100):
            assert each.ended and each.activity is not Activity.RUNNING
            assert each.total > CONNECTION_BYTES + EXEMPT_BYTES
    assert budget.used == sum(each.total for each in budget.accounts)
    for account in accounts.values():
        budget.close(account)
    assert budget.used == 0


def test_the_connections_that_cost_most_and_progress_least_end_first():
    """Guard against ending ordinary callers, or those whose answers are under way."""
    guarded = Guarded(connections=10)
    ordinary = guarded.open(Activity.LINE, line=EXEMPT_BYTES)
    running = guarded.open(Activity.RUNNING, statement=300_000)
    old = guarded.open(Activity.LINE, line=300_000)
    guarded.sweep_after(1_000)
    new = guarded.open(Activity.ANSWERING, answer=300_000)
    guarded.open(Activity.LINE, line=100_000)
    ended = [guarded.is_ended(each) for each in (ordinary, running, old, new)]
    assert ended == [False, False, True, False]
    assert guarded.guard.reached['memory'] == 1


def test_a_connection_that_sends_ahead_ends_after_its_answer():
    """Guard against an answer that is cut off, and against unread data that stays for ever."""
    budget = MemoryBudget(MIB)
    account = budget.open(0)
    account.activity = Activity.RUNNING
    budget.charge(account, unread=2 * MIB)
    assert budget.choose(0) == []
    assert account.last and not account.ended


def test_unread_data_is_counted():
    """Guard against data that waits in the kernel and counts towards the process only there."""
    guarded = Guarded()
    account = guarded.open(Activity.RUNNING)
    guarded.ends[account][0].send(b'x' * 50_000)
    guarded.sweep_after(SWEEP_MS + 1)
    assert account.costs.unread == 50_000


@pytest.mark.parametrize(
    ('activity', 'limit_ms', 'limit'),
    [
        (Activity.STARTING, 10_000, 'start_time'),
        (Activity.LINE, 20_000, 'line_time'),
        (Activity.ANSWERING, 20_000, 'answer_time'),
    ],
)
def test_a_connection_ends_at_its_time_limit(activity, limit_ms, limit):
    """Guard against callers that send or read so slowly that they stay for ever."""
    guarded = Guarded()
    account = guarded.open(activity)
    guarded.sweep_after(limit_ms)
    assert not guarded.is_ended(account)
    guarded.sweep_after(1)
    assert guarded.is_ended(account)
    assert guarded.guard.reached == {limit: 1}


@pytest.mark.parametrize('activity', [Activity.IDLE, Activity.RUNNING])
def test_an_idle_session_and_a_running_statement_have_no_time_limit(activity):
    """Guard against ending sessions that are idle all day, and cutting off answers."""
    guarded = Guarded()
    account = guarded.open(activity)
    guarded.sweep_after(10**9)
    assert not guarded.is_ended(account)


def test_a_new_caller_takes_the_place_of_a_connection_without_a_session():
    """Guard against callers that are kept out by connections which never open a session."""
    guarded = Guarded()
    first, second, third = (guarded.open() for _ in range(3))
    guarded.guard.enter(first, Activity.IDLE)
    assert guarded.open(Activity.IDLE) is not None
    assert [guarded.is_ended(each) for each in (first, second, third)] == [False, True, False]
    assert guarded.open(Activity.IDLE) is not None
    assert guarded.open() is None


def test_an_event_of_a_limit_is_written_once_a_second(monkeypatch):
    """Guard against a log that a crowd fills."""
    guarded, events = Guarded(), []
    monkeypatch.setattr(guarded.guard._log, 'event', lambda name, **fields: events.append(fields))
    for _ in range(12):
        guarded.guard.note('line_length')
        guarded.sweep_after(SWEEP_MS)
    assert [each['count'] for each in events] == [1, 4, 4]


def test_a_large_statement_runs_while_there_is_room():
    """Guard against refusing a message of 1 MiB in calm conditions, and against running many."""
    guarded = Guarded(memory_bytes=caller_limits.MIN_MEMORY_BYTES)
    first, second = guarded.open(Activity.RUNNING), guarded.open(Activity.RUNNING)
    assert guarded.guard.admit(first, MIB)
    assert first.costs.statement == STATEMENT_COPIES * MIB
    assert not guarded.guard.admit(second, MIB)
    assert guarded.guard.admit(second, SMALL_BYTES)


@pytest.mark.parametrize(
    ('action', 'refused'),
    [(Action.SINGLE, True), (Action.IN_TRANSACTION, True), (Action.COMMIT, False)],
)
def test_an_owner_short_of_memory_refuses_statements_of_peers(action, refused):
    """Guard against an entry instance that passes on more than the owner can hold."""
    guard = Guarded().guard
    request = RunRequest(action, 1, 'g', 'o', 'id', text='x' * MIB)
    assert (guard.reserve(request) is None) == refused
    assert guard.reserve(request._replace(text='x' * SMALL_BYTES)) == 0
    assert guard.budget.used == 0


@pytest.mark.parametrize(
    'state',
    [
        {'prepared': Prepared(True, 'x' * MIB)},
        {'values': (('x' * MIB, 'y'),)},
        {'values': (('x', 'y' * MIB),)},
        {'arguments': 'x' * MIB},
    ],
)
def test_an_owner_counts_the_session_state_that_a_statement_carries(state):
    """Guard against short statements, each of which carries a large state to the owner."""
    guard = Guarded(memory_bytes=8 * MIB).guard
    request = RunRequest(Action.SINGLE, 1, 'g', 'o', 'id', text='EXEC p a', **state)
    assert guard.reserve(request) > STATEMENT_COPIES * MIB
    assert guard.reserve(request) is None


def test_an_owner_whose_links_are_full_begins_no_operations():
    """Guard against answers that pile up for an entry instance which does not take them."""
    guard = Guarded().guard
    request = RunRequest(Action.SINGLE, 1, 'g', 'o', 'id', text='READ a', first=True)
    guard.budget.set_links(MIB // 2 + 1)
    assert guard.reserve(request) is None
    assert guard.reserve(request._replace(first=False)) == 0
    guard.budget.set_links(0)
    assert guard.reserve(request) == 0


def sessions(**limits):
    guarded, cfg = Guarded(**limits), configuration()
    made = Sessions(
        guarded.clock,
        lambda: cfg,
        lambda req, holder: (Result(('x',), 'receipt'), 'owner'),
        quiet_log(guarded.clock),
        lambda *_: None,
        guarded.guard,
    )
    return made.open('orders-db', 'k1')[0]


@pytest.mark.parametrize('verb', [Verb.SET, Verb.PREPARE])
def test_session_state_is_limited(verb):
    """Guard against a session whose every statement carries megabytes to the owner."""
    session = sessions(session_bytes=2_000, session_names=4)
    small = [Statement('1', verb, '', f'n{number}', 'x' * 100) for number in range(5)]
    results = [session.run(each) for each in small]
    assert [each.error for each in results[:4]] == [''] * 4
    assert results[4].error == ErrorKind.BODY_TOO_LARGE.value
    assert session.run(small[0]._replace(argument='x' * 2_000)).error
    assert not session.run(small[0]._replace(argument='')).error
    if verb is Verb.PREPARE:
        before = session.state_bytes
        session.run(Statement('1', Verb.DEALLOCATE, '', 'n1'))
        assert session.state_bytes < before
        assert not session.run(small[4]).error


def test_a_statement_refused_for_memory_has_not_run():
    """Guard against a transaction that goes on although one of its statements did not run."""
    session = sessions()
    assert session.shed().error == ErrorKind.OVERLOADED.value
    assert session.shed().retry_after_ms > 0
    session.run(Statement('1', Verb.BEGIN, 'BEGIN'))
    assert session.shed().error == ErrorKind.TRANSACTION_LOST.value
    assert session.state is TxState.FAILED


def test_an_http_port_ends_its_oldest_connection():
    """Guard against probes that are kept out by idle connections."""
    noted = []
    listener = BoundedListener(listen(Address('127.0.0.1', 0)), 2, noted.append)
    callers = [socket.create_connection(listener.getsockname()) for _ in range(3)]
    accepted = [listener.accept()[0] for _ in callers]
    assert callers[0].recv(1) == b''
    assert has_no_input(callers[1]) and has_no_input(callers[2])
    assert noted == ['http_connections']
    for sock in (*callers, *accepted, listener):
        sock.close()


def test_a_crowd_that_scrapes_costs_one_page(monkeypatch):
    """Guard against a loop that is kept busy by making the same page of metrics."""
    process, time_s, pages = GatewayProcess(settings.parse(NODE)), [1.0], []
    process.clock = Clock(lambda: time_s[0])
    monkeypatch.setattr(
        process._metrics, 'application', lambda *_: [pages.append(1) or bytes([len(pages)])]
    )
    answers = [process.answer_scrape({}, lambda *_: None) for _ in range(5)]
    time_s[0] += 0.25
    assert answers == [[b'\x01']] * 5
    assert process.answer_scrape({}, lambda *_: None) == [b'\x02']


def test_a_peer_that_sends_a_large_first_frame_is_refused():
    """Guard against memory for frames of senders that are no instances."""
    near, far = socket.socketpair()
    stream = FrameStream(far)
    stream.limit = MAX_HELLO_BYTES
    near.send((MAX_HELLO_BYTES + 1).to_bytes(4, 'big'))
    with pytest.raises(ConnectionResetError):
        stream.read()
    stream.release()
    near.close()


def test_a_connection_whose_peer_never_identifies_itself_is_closed():
    """Guard against descriptors that silent connections to the peer port hold."""
    guarded = Guarded()
    near, far = socket.socketpair()
    stream = FrameStream(far)
    stream.awaits_hello = True
    guarded.time_ms = 10_001
    guarded.guard.sweep([stream])
    assert stream.closed
    stream.release()
    near.close()
