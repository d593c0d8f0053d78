"""Tests of the store client with a store that is slow or unreachable."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.address import Address
from godwitthread.core.store_version import combine
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.ports import HistoryLostError, StoreUnreachableError
from godwitthread.platform import store


@pytest.fixture
def server():
    """Return the address of a server and the adjustable delay of its responses, in s."""
    delay_s = [0.0]
    listener = eventlet.listen(('127.0.0.1', 0))

    def serve(sock, _):
        while sock.recv(4_096):
            eventlet.sleep(delay_s[0])
            body = b'{"rows":[],"HasMore":false,"Revision":7}'
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
            sock.sendall(head + body)

    thread = eventlet.spawn(eventlet.serve, listener, serve)
    yield Address(*listener.getsockname()), delay_s
    thread.kill()
    listener.close()


def test_read_succeeds_with_the_longer_time_out_on_a_slow_store(server, monkeypatch):
    """Guard against an instance that never starts while the store is very slow."""
    address, delay_s = server
    monkeypatch.setattr(store, 'READ_TIMEOUT_MS', 50)
    monkeypatch.setattr(store, 'SLOW_READ_TIMEOUT_MS', 1_000)
    client = store.StoreClient(address)
    delay_s[0] = 0.2
    with pytest.raises(ProxyError):
        client.table('op')
    assert client.table('op').revision == 7


def test_refused_connection_raises_store_unreachable():
    """Guard against a refused connection being counted as a charged call to the store."""
    closed = eventlet.listen(('127.0.0.1', 0))
    address = Address(*closed.getsockname())
    closed.close()
    with pytest.raises(StoreUnreachableError):
        store.StoreClient(address).table('op')


def test_a_table_of_several_pages_counts_from_the_version_of_the_first(monkeypatch):
    """Guard against a change between two pages that is never seen."""
    pages = [
        {'rows': [{'Key': 'a', 'Value': '', 'Revision': 5}], 'HasMore': True, 'Revision': 7},
        {'rows': [{'Key': 'b', 'Value': '', 'Revision': 6}], 'HasMore': False, 'Revision': 9},
    ]
    client = store.StoreClient(Address('127.0.0.1', 1))
    monkeypatch.setattr(client, '_call', lambda *_, **__: pages.pop(0))
    content = client.table('servers')
    assert [row.key for row in content.rows] == ['a', 'b']
    assert content.revision == 7


@pytest.mark.parametrize(
    ('header', 'era'),
    [(None, 0), ('', 0), ('0', 0), ('3', 3), ('-1', 0), ('1e3', 0), ('²', 0), ('9' * 40, 0)],
)
def test_the_era_of_the_store_is_read_from_its_header(header, era):
    """Guard against a header that ends the reading of a table."""
    assert store._decode_era(header) == era


def era_client(monkeypatch, *answers):
    """Build a client whose calls return the given (era, response) pairs, and list the calls."""
    client, script, calls = store.StoreClient(Address('127.0.0.1', 1)), list(answers), []

    def call(method, path, body=None, **__):
        calls.append(body or path)
        client._era, response = script.pop(0)
        return response

    monkeypatch.setattr(client, '_call', call)
    return client, calls


def page(revision, has_more=False):
    """Build a page with one row."""
    row = {'Key': 'a', 'Value': '', 'Revision': revision}
    return {'rows': [row], 'HasMore': has_more, 'Revision': revision}


def test_versions_of_a_restored_store_are_above_those_before(monkeypatch):
    """Guard against a store that is ignored until its counter passes the version of a copy."""
    client, calls = era_client(monkeypatch, (1, page(300)), (2, page(285)), (2, page(290)))
    before, after = client.table('op'), client.table('op')
    assert after.revision > before.revision
    assert after.rows[0].revision > before.rows[0].revision
    assert client.changes('op', after.revision, 0).revision > after.revision
    assert 'after=285&' in calls[-1]


@pytest.mark.parametrize('era', [0, 1, 3])
def test_changes_of_another_era_do_not_complete_a_copy(monkeypatch, era):
    """Guard against a copy that lacks what was written under versions given out again."""
    client, _ = era_client(monkeypatch, (era, page(310)))
    with pytest.raises(HistoryLostError):
        client.changes('op', combine(2, 300), 0)


def test_a_table_is_not_put_together_from_two_eras(monkeypatch):
    """Guard against rows of a gone era in a copy of the restored store."""
    client, _ = era_client(monkeypatch, (1, page(300, has_more=True)), (2, page(285)))
    with pytest.raises(ProxyError) as raised:
        client.table('op')
    assert raised.value.kind is ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize(
    ('expected', 'sent', 'known'),
    [
        (combine(2, 7), 7, True),
        (0, 0, True),
        (None, None, True),
        # The row of that number may have had another content when the store was restored.
        (combine(1, 7), 7, False),
    ],
)
def test_a_write_under_a_condition_of_another_era_is_unknown(monkeypatch, expected, sent, known):
    """Guard against a condition that holds for a content which its writer has never seen."""
    client, calls = era_client(monkeypatch, (2, {'Revision': 9}))
    if known:
        assert client.put('duties', 'k', b'', expected) == combine(2, 9)
    else:
        with pytest.raises(ProxyError) as raised:
            client.put('duties', 'k', b'', expected)
        assert raised.value.kind is ErrorKind.STORE_UNKNOWN
    assert [each['Revision'] for each in calls[0]['ExpectedRev']] == (
        [] if sent is None else [sent]
    )


def test_a_write_after_a_restore_is_not_taken_for_an_earlier_one(monkeypatch):
    """Guard against writes that count as unknown until the counter passes its former value."""
    client, _ = era_client(monkeypatch, (1, {'Revision': 9}), (2, {'Revision': 7}))
    assert client.put('instances', 'a', b'') < client.put('instances', 'a', b'')


def test_an_interrupted_call_fails_at_once(server):
    """Guard against a call without an answer that can't be given up."""
    address, delay_s = server
    delay_s[0] = 60.0
    client = store.StoreClient(address)
    call = eventlet.spawn(client.changes, 'op', 7, 25_000)
    eventlet.sleep(0.1)
    client.interrupt()
    with eventlet.Timeout(10), pytest.raises(ProxyError):
        call.wait()


def scripted_client(monkeypatch, *pages):
    """Build a client whose calls return the given responses."""
    responses = list(pages)
    client = store.StoreClient(Address('127.0.0.1', 1))
    paths = []

    def call(method, path, *_, **__):
        paths.append(path)
        return responses.pop(0)

    monkeypatch.setattr(client, '_call', call)
    return client, paths


@pytest.mark.parametrize('value', [None, 5, 'x', '\ud800', [], {}, 'AAA'])
def test_a_malformed_value_of_one_row_hides_no_other_row(monkeypatch, value):
    """Guard against a table that can't be read because of one row of another writer."""
    rows = [
        {'Key': 'a', 'Value': value, 'Revision': 5},
        {'Key': 'b', 'Value': 'e30=', 'Revision': 6},
    ]
    client, _ = scripted_client(monkeypatch, {'rows': rows, 'Revision': 7})
    content = client.table('servers')
    assert [(row.key, row.value, row.revision) for row in content.rows] == [
        ('a', b'', 5),
        ('b', b'{}', 6),
    ]


def test_a_row_without_a_value_hides_no_other_row(monkeypatch):
    """Guard against a table that can't be read because of one row of another writer."""
    rows = [{'Key': 'a', 'Revision': 5}, {'Key': 'b', 'Value': 'e30=', 'Revision': 6}]
    client, _ = scripted_client(monkeypatch, {'rows': rows, 'Revision': 7})
    assert [row.value for row in client.changes('servers', 4, 0).rows] == [b'', b'{}']


def test_a_key_that_is_not_unicode_text_is_replaced(monkeypatch):
    """Guard against a key that fails wherever it is encoded, and against endless pages."""
    page = [{'Key': 'a\ud800', 'Value': 'e30=', 'Revision': 5}]
    client, paths = scripted_client(
        monkeypatch,
        {'rows': page, 'HasMore': True, 'Revision': 7},
        {'rows': [], 'HasMore': False, 'Revision': 7},
    )
    (row,) = client.table('servers').rows
    assert row.key.encode() == b'a\\ud800'
    assert 'From=a%ED%A0%80%00' in paths[1]


@pytest.mark.parametrize(
    'response',
    [
        [], None, 5, {}, {'rows': []}, {'rows': [], 'Revision': '7'}, {'rows': [], 'Revision': 7.5},
        {'rows': [], 'Revision': True}, {'rows': {}, 'Revision': 7}, {'rows': [5], 'Revision': 7},
        {'rows': [{'Key': 5, 'Value': '', 'Revision': 1}], 'Revision': 7},
        {'rows': [{'Key': 'a', 'Value': '', 'Revision': 'x'}], 'Revision': 7},
        {'rows': [{'Key': 'a', 'Value': '', 'Revision': float('inf')}], 'Revision': 7},
    ],
)  # fmt: skip
def test_a_malformed_response_is_a_failed_call(monkeypatch, response):
    """Guard against an unexpected error, which is neither logged as a failure nor retried."""
    for call in ('table', 'changes'):
        client, _ = scripted_client(monkeypatch, response)
        arguments = ('servers',) if call == 'table' else ('servers', 4, 0)
        with pytest.raises(ProxyError) as info:
            getattr(client, call)(*arguments)
        assert info.value.kind is ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize('response', [[], {}, {'Revision': 'x'}, {'Revision': None}])
def test_a_write_with_a_malformed_response_has_an_unknown_outcome(monkeypatch, response):
    """Guard against a write that is taken for done or not done, and against an ended thread."""
    client, _ = scripted_client(monkeypatch, response)
    with pytest.raises(ProxyError) as info:
        client.put('instances', 'a', b'{}')
    assert info.value.kind is ErrorKind.STORE_UNKNOWN


def answer_to_write(revision: int) -> bytes:
    """Build the response to a write."""
    body = b'{"Revision":%d}' % revision
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (len(body), body)


@pytest.fixture
def scripted_store():
    """Return the address of a store and the packets with which it answers each request."""
    listener = eventlet.listen(('127.0.0.1', 0))
    answers: list[list[bytes]] = []

    def serve(sock, _):
        while sock.recv(4_096):
            for packet in answers.pop(0):
                sock.sendall(packet)
                eventlet.sleep(0.01)

    thread = eventlet.spawn(eventlet.serve, listener, serve)
    yield Address(*listener.getsockname()), answers
    thread.kill()
    listener.close()


def test_a_response_that_was_repeated_is_not_that_to_the_next_call(scripted_store):
    """Guard against a version of another row, which an instance then expects."""
    address, answers = scripted_store
    answers += [[answer_to_write(7), answer_to_write(7)], [answer_to_write(8)]]
    client = store.StoreClient(address)
    assert client.put('peers', 'a', b'') == 7
    eventlet.sleep(0.05)
    assert client.put('peers', 'b', b'') == 8


def test_a_late_second_response_does_not_confirm_the_next_write(scripted_store):
    """Guard against a write that is taken for done, with the version of another row."""
    address, answers = scripted_store
    answers += [[answer_to_write(7)], [answer_to_write(7), answer_to_write(8)]]
    answers += [[answer_to_write(9)]]
    client = store.StoreClient(address)
    assert client.put('peers', 'a', b'') == 7
    with pytest.raises(ProxyError) as caught:
        client.put('peers', 'b', b'')
    assert caught.value.kind is ErrorKind.STORE_UNKNOWN
    assert client.put('peers', 'c', b'') == 9


@pytest.mark.parametrize('error', [eventlet.greenlet.GreenletExit, eventlet.Timeout])
@pytest.mark.parametrize('head', [b'', b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n'])
def test_a_connection_is_closed_when_its_call_is_abandoned(scripted_store, error, head):
    """Guard against a late response that is taken for that to the next call."""
    address, answers = scripted_store
    answers += [[head], [answer_to_write(8)]]
    client = store.StoreClient(address)
    call = eventlet.spawn(client.put, 'peers', 'a', b'')
    eventlet.sleep(0.03)
    call.kill(error)
    assert client.put('peers', 'b', b'') == 8
