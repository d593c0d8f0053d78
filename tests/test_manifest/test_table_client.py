"""Tests for the platform client against the stand-in platform."""

from __future__ import annotations

import json

import pytest

from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.loop import eventlet
from godwitthread.manifest.table_client import NotModified, PlatformClient, RowConflictError
from godwitthread.standin.platform import Platform, PlatformSettings

ROW = 'configuration/head'


@pytest.fixture
def platform():
    standin = Platform(PlatformSettings())
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(platform):
    return PlatformClient(platform.url, timeout_ms=2_000)


def kind_of(call) -> ErrorKind:
    with pytest.raises(ProxyError) as caught:
        call()
    return caught.value.kind


def test_conditional_reads_and_writes(client):
    """Guards against a write that ignores its precondition."""
    assert client.get_row(ROW) is None
    first = client.put_row(ROW, {'version': 1}, None)
    assert client.get_row(ROW) == first
    assert client.get_row(ROW, first.etag) == NotModified(first.etag)
    second = client.put_row(ROW, {'version': 2}, first.etag)
    with pytest.raises(RowConflictError) as caught:
        client.put_row(ROW, {'version': 3}, first.etag)
    assert (caught.value.row, caught.value.outcome) == (second, Outcome.NOT_RUN)
    with pytest.raises(RowConflictError):
        client.put_row(ROW, {'version': 1}, None)


def test_own_write_is_recognised_after_a_lost_answer(platform, client):
    """Guards against reporting a stored write as failed."""
    first = client.put_row(ROW, {'version': 1}, None)
    platform.set_fault('lose_answers')
    row = client.put_row(ROW, {'version': 2}, first.etag)
    assert row == client.get_row(ROW)
    assert (row.value['version'], platform.counters.writes) == (2, 2)


@pytest.mark.parametrize(
    ('direct', 'kind'), [(True, ErrorKind.MANIFEST_CONFLICT), (False, ErrorKind.STORE_UNKNOWN)]
)
def test_a_foreign_row_after_a_lost_answer(platform, client, monkeypatch, direct, kind):
    """Guards against reporting "not run" for a write that took effect and was replaced."""
    other_client = PlatformClient(platform.url)
    first = client.put_row(ROW, {'version': 1}, None)

    def request(method, path, headers, body=None):
        if method == 'PUT':
            if direct:
                other_client.put_row(ROW, {'version': 9}, first.etag)
            else:
                own = send(method, path, headers, body)
                other_client.put_row(ROW, {'version': 9}, own[2])
            raise ProxyError(ErrorKind.STORE_UNKNOWN, 'answer lost')
        return send(method, path, headers, body)

    send = client._request
    monkeypatch.setattr(client, '_request', request)
    assert kind_of(lambda: client.put_row(ROW, {'version': 2}, first.etag)) is kind


def test_outages(platform, client):
    """Guards against reporting "not run" during an outage if the outcome is unknown."""
    first = client.put_row(ROW, {'version': 1}, None)
    write = lambda: client.put_row(ROW, {'version': 2}, first.etag)  # noqa: E731
    platform.set_fault('outage')
    assert kind_of(write) is ErrorKind.STORE_UNAVAILABLE
    assert kind_of(lambda: client.get_row(ROW)) is ErrorKind.STORE_UNAVAILABLE
    platform.set_fault('outage', mode='drop')
    assert kind_of(write) is ErrorKind.STORE_UNKNOWN
    assert kind_of(lambda: client.get_row(ROW)) is ErrorKind.STORE_UNAVAILABLE
    platform.set_fault('heal')
    assert client.get_row(ROW) == first
    platform.stop()
    closed = PlatformClient('http://127.0.0.1:1')
    assert kind_of(lambda: closed.put_row(ROW, {}, None)) is ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize('retry_failure', ['503', 'refused', '500'])
def test_a_refused_repetition_after_a_lost_answer_is_unknown(
    platform, client, monkeypatch, retry_failure
):
    """Guards against reporting "not run" if only the retry was rejected."""
    first = client.put_row(ROW, {'version': 1}, None)
    puts = []

    def request(method, path, headers, body=None):
        if method != 'PUT':
            # The row still has the expected version while the write is in flight.
            return 200, b'{"version": 1}', first.etag
        puts.append(path)
        if len(puts) == 1:
            raise ProxyError(ErrorKind.STORE_UNKNOWN, 'answer lost')
        if retry_failure == '500':
            return 500, b'', ''
        raise ProxyError(ErrorKind.STORE_UNAVAILABLE, retry_failure)

    monkeypatch.setattr(client, '_request', request)
    assert kind_of(lambda: client.put_row(ROW, {'version': 2}, first.etag)) is (
        ErrorKind.STORE_UNKNOWN
    )


@pytest.mark.parametrize('status', [500, 502, 504])
def test_a_failed_write_is_never_called_not_run(platform, client, monkeypatch, status):
    """Guards against reporting "not run" for a write that took effect before a 5xx response."""
    first = client.put_row(ROW, {'version': 1}, None)
    send = client._request

    def request(method, path, headers, body=None):
        if method == 'PUT':
            send(method, path, headers, body)
            return status, b'', ''
        return send(method, path, headers, body)

    monkeypatch.setattr(client, '_request', request)
    row = client.put_row(ROW, {'version': 2}, first.etag)
    assert row.value['version'] == 2
    assert row == client.get_row(ROW)


def test_a_write_that_arrives_late_is_sent_once(platform):
    """Guards against storing a change twice in a slow store."""
    client = PlatformClient(platform.url, timeout_ms=500)
    platform.set_fault('slow', ms=2_000)
    assert kind_of(lambda: client.put_row(ROW, {'version': 1}, None)) is ErrorKind.STORE_UNKNOWN
    platform.set_fault('heal')
    with eventlet.Timeout(10):
        while client.get_row(ROW) is None:
            eventlet.sleep(0.01)
    row = client.get_row(ROW)
    assert row.value['version'] == 1
    assert row.etag == '"1"'


def test_objects_and_counters(platform, client):
    """Guards against modified object content and uncounted requests."""
    client.put_object('sha', b'\x00body')
    assert client.get_object('sha') == b'\x00body'
    assert client.get_object('other') is None
    assert (platform.counters.reads, platform.counters.writes) == (2, 1)


def test_the_instance_list_lags():
    """Guards against an instance list that shows changes before its lag has passed.

    Callers must not rely on the list for the current state.
    """
    now = [0.0]
    from godwitthread.clock import Clock

    platform = Platform(PlatformSettings(list_lag_ms=1_000), Clock(lambda: now[0]))
    platform.start()
    client = PlatformClient(platform.url)
    platform.list_instance('entry-1', '127.0.0.1', 9001, 'stord')
    now[0] = 0.9
    assert client.instances() == []
    now[0] = 1.0
    assert [entry.name for entry in client.instances()] == ['entry-1']
    platform.list_instance('entry-1', '127.0.0.1', 9001, 'stord', 'leaving')
    assert client.instances()[0].state == 'ready'
    now[0] = 2.0
    assert client.instances()[0].state == 'leaving'
    platform.stop()


@pytest.mark.parametrize('body', [b'', b'[', b'5', b'\xff', b'[' * 100_000])
def test_a_malformed_answer_is_a_failed_read(client, monkeypatch, body):
    """Guards against an unexpected error, which is not handled as an outage of the store."""
    monkeypatch.setattr(client, '_request', lambda *_: (200, body, '"1"'))
    assert kind_of(lambda: client.get_row(ROW)) is ErrorKind.STORE_UNAVAILABLE
    assert kind_of(client.instances) is ErrorKind.STORE_UNAVAILABLE


def test_a_malformed_entry_of_the_instance_list_hides_no_other(client, monkeypatch):
    """Guards against an instance that can't start because of one entry of the list."""
    entry = {
        'name': 'entry-1', 'host': '127.0.0.1', 'port': 9001, 'failure_domain': 'stord',
        'state': 'ready', 'added_later': 1,
    }  # fmt: skip
    listed = [5, {}, {**entry, 'port': 'x'}, {**entry, 'port': 0}, {**entry, 'host': 'x'}, entry]
    monkeypatch.setattr(client, '_request', lambda *_: (200, json.dumps(listed).encode(), ''))
    assert [each.name for each in client.instances()] == ['entry-1']
