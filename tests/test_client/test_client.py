"""Tests of retries, outcomes and the session of the client."""

from __future__ import annotations

import socket
import struct
import sys
import threading
from random import Random
from typing import TYPE_CHECKING, Any

import pytest
from eventlet.green import subprocess

from godwitthread.client import Client, RequestError
from godwitthread.client.retry import delay_ms, may_repeat
from godwitthread.errors import ERROR_RESPONSES, ErrorKind, Outcome, ProxyError
from tests.test_client.scripted_server import (
    CLOSE_CONNECTION,
    NON_JSON_ANSWER,
    TRUNCATED_ANSWER,
    ScriptedServer,
    error_answer,
    success,
)
from tests.test_tls.pem import write_pair

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path


@pytest.fixture
def start_server() -> Iterator[Callable[..., ScriptedServer]]:
    servers: list[ScriptedServer] = []

    def start(*steps: Any) -> ScriptedServer:
        servers.append(ScriptedServer(*steps))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


class FirstUrlRandom(Random):
    """Random generator that chooses the first URL and no delay."""

    def randrange(self, *args: Any) -> int:  # type: ignore[override]
        return 0

    def randint(self, a: int, b: int) -> int:
        return 0


def client(*servers: ScriptedServer, **kwargs: Any) -> Client:
    urls = [server.url for server in servers]
    return Client(urls, 'gw_a_secret', route='orders', rng=FirstUrlRandom(1), **kwargs)


def failure(caller: Client, **kwargs: Any) -> RequestError:
    with pytest.raises(RequestError) as caught:
        caller.execute('x', **kwargs)
    return caught.value


def test_request_carries_protocol_fields(start_server: Callable[..., ScriptedServer]) -> None:
    """Guards against request fields or headers that violate the caller protocol."""
    server = start_server(success(session='s1', served_by='replica'), success())
    caller = client(server)
    result = caller.execute('SELECT $1', [5], mode='read', max_age_ms=0, deadline_ms=4000)
    caller.execute('UPDATE t', idempotency_key='i')
    assert (result.columns, result.rows, result.served_by) == (('n',), [[1]], 'replica')
    first, second = server.requests
    assert first.path == '/v1/execute'
    assert first.headers['Authorization'] == 'Bearer gw_a_secret'
    assert 3000 < int(first.headers['Godwitthread-Deadline-Ms']) <= 4000
    assert first.body == {
        'route': 'orders',
        'sql': 'SELECT $1',
        'params': [5],
        'mode': 'read',
        'consistency': 'session',
        'max_age_ms': 0,
    }
    assert (second.body['session'], second.body['idempotency_key']) == ('s1', 'i')
    assert first.port == second.port
    assert caller.session == 's1'
    assert caller.new_session().session is None


def test_transaction_requests(start_server: Callable[..., ScriptedServer]) -> None:
    """Guards against transaction requests without the transaction id or the session token."""
    server = start_server(
        {'transaction': 't1', 'session': 's1'}, success(session='s2'), success(session='s3')
    )
    caller = client(server)
    transaction = caller.begin()
    caller.execute('UPDATE t', transaction=transaction)
    caller.commit(transaction)
    caller.rollback(transaction)
    assert [request.path for request in server.requests] == [
        '/v1/begin',
        '/v1/execute',
        '/v1/commit',
        '/v1/rollback',
    ]
    bodies = server.bodies()
    assert bodies[0] == {'route': 'orders'}
    assert bodies[1]['transaction'] == 't1'
    assert bodies[2] == {'transaction': 't1', 'session': 's2'}
    assert bodies[3] == {'transaction': 't1', 'session': 's3'}


@pytest.mark.parametrize(
    'step',
    [
        CLOSE_CONNECTION,
        TRUNCATED_ANSWER,
        NON_JSON_ANSWER,
        error_answer('brand_new_kind'),
        error_answer('internal'),
    ],
)
def test_write_with_unknown_outcome_is_sent_once(
    start_server: Callable[..., ScriptedServer], step: Any
) -> None:
    """Guards against a write that runs twice or is wrongly reported as not run."""
    server = start_server(
        error_answer('internal', 'unknown') if step == error_answer('internal') else step
    )
    assert failure(client(server)).outcome is Outcome.UNKNOWN
    assert len(server.requests) == 1


@pytest.mark.parametrize('options', [{'mode': 'read'}, {'idempotency_key': 'i'}])
def test_repeatable_request_is_retried_after_a_lost_answer(
    start_server: Callable[..., ScriptedServer], options: dict[str, Any]
) -> None:
    """Guards against an error for a lost answer although the request may be repeated."""
    broken, good = start_server(CLOSE_CONNECTION), start_server(success())
    assert client(broken, good).execute('x', **options).rows == [[1]]
    assert broken.bodies() == good.bodies()


def test_read_in_a_transaction_is_not_repeated(start_server: Callable[..., ScriptedServer]) -> None:
    """Guards against a retry in a transaction that may still run the first attempt."""
    server = start_server(CLOSE_CONNECTION, success())
    assert failure(client(server), mode='read', transaction='t').outcome is Outcome.UNKNOWN
    assert len(server.requests) == 1


def test_closed_port_is_not_run_and_another_url_is_tried(
    start_server: Callable[..., ScriptedServer],
) -> None:
    """Guards against a failed write although another instance accepts it."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        closed = f'http://127.0.0.1:{sock.getsockname()[1]}'
        good = start_server(success())
        caller = Client([closed, good.url], rng=FirstUrlRandom(1))
        assert caller.execute('x').row_count == 1
        alone = Client(closed, rng=FirstUrlRandom(1))
        exc = failure(alone, deadline_ms=300)
    assert exc.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('reset', [False, True], ids=['end', 'reset'])
def test_a_connection_lost_in_the_tls_handshake_is_not_run(tmp_path: Path, reset: bool) -> None:
    """Guard against an unknown outcome of a write that was never sent."""
    chain, _ = write_pair(tmp_path)
    listener = socket.create_server(('127.0.0.1', 0))

    def close_after_first_message() -> None:
        sock, _ = listener.accept()
        sock.recv(65_536)
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        sock.close()

    thread = threading.Thread(target=close_after_first_message)
    thread.start()
    url = f'https://127.0.0.1:{listener.getsockname()[1]}'
    exc = failure(Client(url, route='orders', ca_file=chain, max_attempts=1))
    thread.join()
    listener.close()
    assert (exc.kind, exc.outcome) == (ErrorKind.BACKEND_UNAVAILABLE, Outcome.NOT_RUN)


def test_moved_is_retried_elsewhere_on_a_new_connection(
    start_server: Callable[..., ScriptedServer],
) -> None:
    """Guards against a retry on a load balancer connection to the same leaving instance."""
    server = start_server(error_answer('moved'), success())
    caller = client(server)
    caller.execute('x')
    assert server.requests[0].port != server.requests[1].port
    assert caller.attempts == 2


def test_attempts_are_limited(start_server: Callable[..., ScriptedServer]) -> None:
    """Guards against unlimited retries of refused requests under a long deadline."""
    server = start_server(error_answer('overloaded'))
    assert failure(client(server, max_attempts=3)).kind is ErrorKind.OVERLOADED
    assert len(server.requests) == 3


def test_not_run_after_an_unknown_attempt_is_unknown(
    start_server: Callable[..., ScriptedServer],
) -> None:
    """Guards against "not run" for a request whose first attempt may have run."""
    first, second = start_server(CLOSE_CONNECTION), start_server(error_answer('statement_failed'))
    exc = failure(client(first, second), idempotency_key='i')
    assert (exc.kind, exc.outcome) == (ErrorKind.STATEMENT_FAILED, Outcome.UNKNOWN)
    assert exc.request_id == 'r2'


def test_final_refusal_is_not_retried(start_server: Callable[..., ScriptedServer]) -> None:
    """Guards against retries of requests that cannot succeed."""
    server = start_server(error_answer('key_withdrawn'), success())
    assert failure(client(server)).kind is ErrorKind.KEY_WITHDRAWN
    assert len(server.requests) == 1


def test_retry_after_beyond_the_deadline_fails_at_once(
    start_server: Callable[..., ScriptedServer],
) -> None:
    """Guards against a retry delay that exceeds the deadline."""
    server = start_server(error_answer('rate_limited', retry_after_ms=60_000), success())
    assert failure(client(server), deadline_ms=5000).retry_after_ms == 60_000
    assert len(server.requests) == 1


def test_value_without_json_form_is_not_sent(start_server: Callable[..., ScriptedServer]) -> None:
    """Guards against NaN in JSON and against encoding errors without an outcome."""
    server = start_server(success())
    for value in (float('nan'), object()):
        exc = failure(client(server), params=[value])
        assert (exc.kind, exc.outcome) == (ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN)
    assert server.requests == []


def test_retry_policy_follows_the_error_table() -> None:
    """Guards against retries of writes that the error table does not permit."""
    for kind, answer in ERROR_RESPONSES.items():
        exc = ProxyError(kind, '')
        may_run_again = answer.outcome is Outcome.NOT_RUN and answer.retryable
        assert may_repeat(exc, repeatable=False) is may_run_again
    assert may_repeat(ProxyError(ErrorKind.OLD_PRIMARY, ''), repeatable=True)
    assert not may_repeat(ProxyError(ErrorKind.INTERNAL, ''), repeatable=True)


def test_delays_honour_retry_after() -> None:
    """Guards against retries before the `retry_after_ms` of the instance has passed."""
    rng = Random(1)
    limited = ProxyError(ErrorKind.RATE_LIMITED, '', retry_after_ms=700)
    busy = ProxyError(ErrorKind.OVERLOADED, '', retry_after_ms=700)
    for attempt in range(12):
        assert delay_ms(limited, attempt, True, rng) >= 700
        assert delay_ms(busy, attempt, False, rng) >= 700
        assert 0 <= delay_ms(busy, attempt, True, rng) <= min(1000, 25 * 2**attempt)


def test_client_works_without_eventlet(start_server: Callable[..., ScriptedServer]) -> None:
    """Guards against a caller library that imports eventlet."""
    server = start_server(success())
    code = (
        'import sys; from godwitthread.client import dbapi\n'
        f'conn = dbapi.connect({server.url!r}, route="r", autocommit=True)\n'
        'print(conn.cursor().execute("SELECT 1").fetchall(), "eventlet" in sys.modules)'
    )
    done = subprocess.run([sys.executable, '-c', code], capture_output=True, text=True)
    assert (done.stdout, done.stderr) == ('[(1,)] False\n', '')
