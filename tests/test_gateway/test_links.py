"""Links between instances."""

from __future__ import annotations

from types import SimpleNamespace

import eventlet
import msgspec
import pytest
from eventlet.green import socket

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.call_answers import Answer
from godwitthread.core.catalog import Peer
from godwitthread.core.departure import DEPARTURE_DELAY_MS
from godwitthread.core.statements import Action, Result, RunRequest
from godwitthread.core.table_freshness import TableReports
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import frames, link_server, links
from godwitthread.gateway.frames import HeartbeatStatus, Hello
from godwitthread.gateway.links import Link
from godwitthread.gateway.statement_router import StatementRouter

#: Time limit of waits for an event, in s.
WAIT_S = 10


class Listener:
    """Instance that answers calls on a loopback address."""

    def __init__(self, handler) -> None:
        self.sock = socket.socket()
        self.sock.bind(('127.0.0.1', 0))
        self.sock.listen(8)
        self.handler = handler
        self.inbound: set[frames.FrameStream] = set()
        self.ended: list[str] = []
        self.heartbeat_status = HeartbeatStatus(False, True)
        self.report = lambda stream, echo_ms: None
        self.time_s = 100.0
        self.thread = eventlet.spawn(self._accept)

    @property
    def peer(self) -> Peer:
        return Peer('b', Address(*self.sock.getsockname()), 'd1', 1.0, 2)

    def _accept(self) -> None:
        while True:
            conn, _ = self.sock.accept()
            eventlet.spawn_n(
                link_server.serve, conn, Clock(lambda: self.time_s), self.inbound,
                lambda: self.heartbeat_status, self._handle,
                self.ended.append, lambda *args: self.report(*args),
            )  # fmt: skip

    def _handle(self, sender, kind, body):
        return self.handler(sender, kind, body)


@pytest.fixture(autouse=True)
def green_sockets(monkeypatch):
    """Use cooperative sockets in the module under test, as the gateway process does."""
    monkeypatch.setattr('godwitthread.sockets.socket', socket)


def connected(listener: Listener, changes: list, *callbacks) -> Link:
    """Build a link and wait until it is connected."""
    link = Link(
        listener.peer, Hello('a', 1), Clock(), lambda: HeartbeatStatus(False, True),
        lambda name, up: changes.append(up), *callbacks,
    )  # fmt: skip
    for _ in range(200):
        if link.up and link.reach().ready:
            return link
        eventlet.sleep(0.01)
    raise AssertionError('the link was not connected within 2 s')


def test_a_call_returns_the_answer_and_errors_keep_their_kind():
    """Guard against errors that change their kind between instances."""

    def handler(sender, kind, body):
        if kind == 'fail':
            raise ProxyError(ErrorKind.MOVED, 'elsewhere')
        return {'kind': kind}

    listener = Listener(handler)
    link = connected(listener, [])
    assert bytes(link.call('echo', 1, 500)) == b'\x81\xa4kind\xa4echo'
    with pytest.raises(ProxyError) as info:
        link.call('fail', 1, 500)
    assert info.value.kind is ErrorKind.MOVED
    link.stop()


def test_a_call_in_flight_fails_as_unknown_when_the_connection_ends():
    """Guard against a statement that is reported as not run, or waits for its time limit."""
    listener = Listener(lambda sender, kind, body: eventlet.sleep(5))
    changes: list[bool] = []
    link = connected(listener, changes)
    eventlet.spawn_after(0.05, lambda: [stream.close() for stream in list(listener.inbound)])
    with pytest.raises(ProxyError) as info:
        link.call('slow', 1, 3_000)
    assert info.value.kind is ErrorKind.CONNECTION_LOST
    assert changes[-1] is False
    link.stop()


def test_nothing_is_sent_without_a_link():
    """Guard against a statement that runs when the peer reconnects."""
    listener = Listener(lambda sender, kind, body: 1)
    link = connected(listener, [])
    link._drop_stream()
    with pytest.raises(ProxyError) as info:
        link.call('echo', 1, 100)
    assert info.value.kind is ErrorKind.BACKEND_UNAVAILABLE
    link.stop()


def test_every_connection_is_a_separate_sender():
    """Guard against a transaction that survives the loss of its instance's connection."""
    senders = []
    listener = Listener(lambda sender, kind, body: senders.append(sender))
    for _ in range(2):
        link = connected(listener, [])
        link.call('echo', 1, 500)
        link.stop()
        eventlet.sleep(0.05)
    assert len(set(senders)) == 2
    assert sorted(listener.ended) == sorted(senders)


def test_a_leaving_instance_notifies_its_peers_at_once():
    """Guard against statements that are sent to an instance which is shutting down."""
    listener = Listener(lambda sender, kind, body: 1)
    changes: list[bool] = []
    link = connected(listener, changes)
    listener.heartbeat_status = HeartbeatStatus(True, True)
    link_server.broadcast_heartbeat(listener.inbound, listener.heartbeat_status)
    for _ in range(20):
        eventlet.sleep(0.005)
        if link.reach().leaving:
            break
    assert link.reach().leaving
    link.stop()


def test_a_retired_link_delivers_the_answers_of_calls_in_flight():
    """Guard against statements of unknown outcome when other instances become candidates."""
    released = eventlet.event.Event()
    listener = Listener(lambda sender, kind, body: released.wait() or 'done')
    changes: list[bool] = []
    link = connected(listener, changes)
    call = eventlet.spawn(link.call, 'slow', 1, 3_000)
    eventlet.sleep(0.05)
    link.retire()
    released.send()
    assert bytes(call.wait()) == b'\xa4done'
    eventlet.sleep(0.05)
    assert not listener.inbound
    # The instance has removed the link, so that its end is no loss of a peer.
    assert changes[-1] is True


def test_an_instance_announces_its_end():
    """Guard against a departed instance that counts as one which can't be reached."""
    listener = Listener(lambda sender, kind, body: 1)
    link = connected(listener, [])
    time_s = [100.0]
    link._clock = Clock(lambda: time_s[0])
    link_server.broadcast_departure(listener.inbound)
    eventlet.sleep(0.05)
    assert link.announced_end
    assert not link.reach().departed
    # The address neither refuses nor answers connections from now on.
    listener.thread.kill()
    for stream in list(listener.inbound):
        stream.close()
    eventlet.sleep(0.05)
    time_s[0] += DEPARTURE_DELAY_MS / 1000
    assert link.reach().departed
    link.stop()


def test_an_older_build_ends_the_link_at_the_announcement():
    """Guard against an older build that takes the announcement for a heartbeat."""
    frame = msgspec.msgpack.encode((0, frames.DEPARTED, None))
    body = msgspec.msgpack.decode(frame, type=frames.Frame).body
    with pytest.raises(msgspec.DecodeError):
        msgspec.msgpack.decode(body, type=HeartbeatStatus)


def send_frames(listener: Listener, *frames: tuple) -> socket.socket:
    """Open a connection to an instance and send frames at once."""
    near = socket.socket()
    near.connect(listener.sock.getsockname())
    near.sendall(frame_bytes(Hello('a', 1)) + b''.join(map(frame_bytes, frames)))
    return near


def frame_bytes(content) -> bytes:
    """Return the wire form of a frame."""
    data = msgspec.msgpack.encode(content)
    return len(data).to_bytes(4, 'big') + data


def test_calls_of_a_connection_that_its_opener_closed_are_not_executed():
    """Guard against work whose outcome was reported as unknown and that runs later.

    An instance that was suspended finds such calls in the buffers of its sockets.
    """
    executed = []
    listener = Listener(lambda sender, kind, body: executed.append(kind))
    near = send_frames(listener, (1, 'run', None), (2, 'order', None))
    near.close()
    eventlet.sleep(0.05)
    assert executed == []
    assert not listener.inbound


def test_a_call_is_not_executed_after_the_end_of_its_connection():
    """Guard against a transaction that begins after those of its sender were rolled back."""
    executed = []
    listener = Listener(lambda sender, kind, body: executed.append(sender))
    near = send_frames(listener, (1, 'run', None), 'no frame')
    with eventlet.Timeout(WAIT_S):
        while not listener.ended:
            eventlet.sleep(0.005)
    eventlet.sleep(0.05)
    assert (executed, len(listener.ended)) == ([], 1)
    near.close()


def test_calls_that_waited_for_a_suspended_instance_are_not_executed():
    """Guard against late work if the end of the connection doesn't reach the instance."""
    executed = []
    listener = Listener(lambda sender, kind, body: executed.append(kind))
    near = send_frames(listener, (1, 'before', None))
    eventlet.sleep(0.05)
    listener.time_s += (link_server.ABANDONED_MS - 1) / 1000
    near.sendall(frame_bytes((2, 'later', None)))
    eventlet.sleep(0.05)
    listener.time_s += link_server.ABANDONED_MS / 1000
    near.sendall(frame_bytes((3, 'too late', None)))
    eventlet.sleep(0.05)
    assert executed == ['before', 'later']
    assert not listener.inbound
    near.close()


def test_an_instance_that_was_suspended_sends_nothing_on_its_former_links():
    """Guard against calls that the peer drops, so that their outcome is unknown."""
    executed = []
    listener = Listener(lambda sender, kind, body: executed.append(kind))
    changes: list[bool] = []
    link = connected(listener, changes)
    time_s = [1_000.0]
    link._clock = Clock(lambda: time_s[0])
    link._heard_ms = link._clock.now_ms()
    time_s[0] += links.PEER_TIMEOUT_MS / 1000
    # The answers to its former heartbeats wait in the buffer of the socket.
    link_server.broadcast_heartbeat(listener.inbound, listener.heartbeat_status)
    eventlet.sleep(0.02)
    assert changes[-1] is False
    with pytest.raises(ProxyError) as info:
        link.call('run', None, 100)
    assert info.value.kind is ErrorKind.BACKEND_UNAVAILABLE
    assert executed == []
    link.stop()


def frames_from(listener: Listener, report, heartbeat: tuple) -> list[frames.Frame]:
    """Return the frames that answer a heartbeat, the last of which answers a call."""
    near, far = socket.socket(), listener.sock
    near.connect(far.getsockname())
    stream = frames.FrameStream(near)
    listener.report = report
    stream.send_raw(msgspec.msgpack.encode(Hello('a', 1)))
    stream.send(0, frames.HEARTBEAT, heartbeat)
    stream.send(7, 'echo', 1)
    received: list[frames.Frame] = []
    while not received or received[-1].call_id == 0:
        received.append(msgspec.msgpack.decode(stream.read(), type=frames.Frame))
    stream.release()
    return received


def test_a_build_without_reports_receives_none():
    """Guard against a link that ends at a frame which the older build can't decode."""
    listener = Listener(lambda sender, kind, body: 1)
    reports = TableReports(5, ())
    for heartbeat in ((False, True, 0), (False, True, 0, 5, 'unknown')):
        received = frames_from(listener, lambda *_: reports, heartbeat)
        assert [(frame.kind, bytes(frame.body)) for frame in received[:-1]] == [
            (frames.HEARTBEAT, msgspec.msgpack.encode((False, True, 0)))
        ]
    received = frames_from(listener, lambda *_: reports, (False, True, 0, 5))
    assert [frame.kind for frame in received[:-1]] == [frames.HEARTBEAT, frames.TABLE_REPORTS]


def test_reports_reach_the_other_end():
    """Guard against an instance that does not hear of newer tables at its peers."""
    listener = Listener(lambda sender, kind, body: 1)
    listener.report = lambda stream, echo_ms: TableReports(echo_ms, ())
    received = []
    link = connected(listener, [], lambda peer, reports: received.append((peer, reports)))
    for _ in range(200):
        if received:
            break
        eventlet.sleep(0.01)
    assert received[0][0] == 'b'
    assert received[0][1].reports == ()
    link.stop()


def test_an_unexpected_error_does_not_end_the_link():
    """Guard against a peer that is never reached again after one message."""
    listener = Listener(lambda sender, kind, body: 1)
    listener.report = lambda stream, echo_ms: TableReports(echo_ms, ())
    failures = [OverflowError('scripted')]

    def on_reports(peer, reports):
        if failures:
            raise failures.pop()

    changes: list[bool] = []
    link = connected(listener, changes, on_reports)
    for _ in range(500):
        eventlet.sleep(0.01)
        if False in changes and link.up:
            break
    assert not failures
    assert bytes(link.call('echo', 1, 500)) == b'\x01'
    link.stop()


def test_a_second_answer_to_a_call_is_ignored():
    """Guard against a link that ends because a peer answers a call twice."""
    listener = Listener(lambda sender, kind, body: 1)
    changes: list[bool] = []
    link = connected(listener, changes)
    stream = link._stream
    call = eventlet.spawn(link.call, 'echo', 1, 500)
    eventlet.sleep(0)
    (inbound,) = listener.inbound
    for _ in range(2):
        inbound.send(-max(link._waiting), 'echo', 2)
    assert bytes(call.wait()) == b'\x02'
    assert bytes(link.call('echo', 1, 500)) == b'\x01'
    assert link._stream is stream
    link.stop()


def test_an_error_of_an_unknown_kind_is_an_unknown_outcome():
    """Guard against an unexpected error where a later build of the peer has more error kinds."""
    listener = Listener(lambda sender, kind, body: eventlet.sleep(5))
    link = connected(listener, [])
    call = eventlet.spawn(link.call, 'echo', 1, 500)
    eventlet.sleep(0)
    (inbound,) = listener.inbound
    inbound.send(-max(link._waiting), frames.FAILED, ('later_kind', 'scripted'))
    with pytest.raises(ProxyError) as info:
        call.wait()
    assert info.value.kind is ErrorKind.CONNECTION_LOST
    link.stop()


@pytest.mark.parametrize('body', [5, (), ('moved',), {'kind': 1}])
def test_a_malformed_error_of_a_peer_is_an_unknown_outcome(body):
    """Guard against an unexpected error, which is not handled as a failure of the call."""
    listener = Listener(lambda sender, kind, body: eventlet.sleep(5))
    link = connected(listener, [])
    call = eventlet.spawn(link.call, 'echo', 1, 500)
    eventlet.sleep(0)
    (inbound,) = listener.inbound
    inbound.send(-max(link._waiting), frames.FAILED, body)
    with pytest.raises(ProxyError) as info:
        call.wait()
    assert info.value.kind is ErrorKind.CONNECTION_LOST
    link.stop()


def test_an_answer_larger_than_a_frame_fails_alone():
    """Guard against one answer that ends the link, and with it all statements on it."""
    listener = Listener(lambda sender, kind, body: ['x' * (5 * 2**20 if kind == 'large' else 1)])
    changes: list[bool] = []
    link = connected(listener, changes)
    result = msgspec.msgpack.decode(link.call('large', 1, 5_000), type=Result)
    assert result.error == ErrorKind.STATEMENT_FAILED.value
    assert bytes(link.call('small', 1, 5_000)) == msgspec.msgpack.encode(['x'])
    assert False not in changes
    link.stop()


def test_the_memory_of_a_link_is_known_while_frames_are_under_way():
    """Guard against an owner that does not see how much an entry instance leaves unread."""
    near, far = socket.socketpair()
    stream, other = frames.FrameStream(near), frames.FrameStream(far)
    stream.send_raw(b'x' * 3_000_000)
    eventlet.sleep(0.01)
    assert stream.buffered_bytes == 3_000_000
    assert len(other.read() or b'') == 3_000_000
    eventlet.sleep(0.01)
    assert stream.buffered_bytes == other.buffered_bytes == 0
    stream.release()
    other.release()


def test_a_call_larger_than_a_frame_fails_alone():
    """Guard against one caller's statement that ends the link, and with it all calls on it."""
    ended_calls = []

    def handler(sender, kind, body):
        if kind == 'slow':
            eventlet.sleep(0.3)
        return kind

    listener, changes = Listener(handler), []
    link = connected(listener, changes)
    slow = eventlet.spawn(lambda: ended_calls.append(link.call('slow', None, 2_000)))
    eventlet.sleep(0.05)
    # A line of 1 MiB whose characters take two bytes each, with the same arguments once more.
    text = '\xe9' * (frames.MAX_FRAME_BYTES // 4)
    with pytest.raises(ProxyError) as caught:
        link.call('run', (text, text), 2_000)
    assert caught.value.kind is ErrorKind.BODY_TOO_LARGE
    slow.wait()
    assert len(ended_calls) == 1 and changes[0] and False not in changes
    link.stop()


@pytest.mark.parametrize('holder', [None, 'b'])
def test_a_statement_larger_than_a_frame_has_not_run(holder):
    """Guard against repeating it until its deadline, and against an outcome told as unknown."""

    def refuse(*_):
        raise ProxyError(ErrorKind.BODY_TOO_LARGE, 'too large')

    router = StatementRouter(
        Peer('a', Address('127.0.0.1', 1), 'd1', 1.0, 1), Clock(), {},
        {'b': SimpleNamespace(call=refuse)}, SimpleNamespace(owner=lambda *_: 'b'),
        SimpleNamespace(), lambda *_: None, lambda: True, lambda: False, lambda _: 1.0,
    )  # fmt: skip
    action = Action.IN_TRANSACTION if holder else Action.SINGLE
    request = RunRequest(action, 1, 'g', 'o', 'id', 'WRITE a b', writes=True, remaining_ms=1_000)
    result, _ = router.run(request, holder)
    assert result.error == ErrorKind.BODY_TOO_LARGE.value
    # The entry instance rolls the transaction back at its owner.
    assert not result.ended


def test_answers_that_reach_no_call_are_reported():
    """Guard against an answer that reaches another call, or none without a trace (MIXED)."""
    listener = Listener(lambda sender, kind, body: eventlet.sleep(0.02) or body)
    strays = []
    link = connected(listener, [], lambda *_: None, lambda *stray: strays.append(stray))
    with pytest.raises(ProxyError):
        link.call('echo', 'late', 1)
    link.send_oneway('echo', 'one way')
    assert bytes(link.call('echo', 3, 500)) == b'\x03'
    (inbound,) = listener.inbound
    for call_id in (3, 2, 9, -1):
        inbound.send(-call_id, 'echo', 'stray')
    assert bytes(link.call('echo', 4, 500)) == b'\x04'
    reasons = [Answer.LATE, Answer.REPEATED, Answer.REPEATED, Answer.UNKNOWN, Answer.UNKNOWN]
    assert strays == [('b', 'echo', reason) for reason in reasons]
    link.stop()


def test_an_answer_of_another_kind_ends_the_link():
    """Guard against a result that is taken from the answer to another call (MIXED)."""
    listener = Listener(lambda sender, kind, body: eventlet.sleep(5))
    link = connected(listener, [])
    call = eventlet.spawn(link.call, 'echo', 1, 500)
    eventlet.sleep(0)
    (inbound,) = listener.inbound
    inbound.send(-max(link._waiting), 'other', 2)
    with pytest.raises(ProxyError) as info:
        call.wait()
    assert info.value.kind is ErrorKind.CONNECTION_LOST
    link.stop()


def test_frames_behind_the_end_of_a_link_do_not_open_it_again():
    """Guard against a peer that counts as reached on a connection that is closed."""
    listener = Listener(lambda sender, kind, body: 1)
    changes, stale = [], []
    link = connected(listener, changes, lambda *_: link._drop_stream())
    link._on_change = lambda name, up: stale.append(up and link.stream.closed)
    (inbound,) = listener.inbound
    inbound.send(0, frames.TABLE_REPORTS, TableReports(5, ()))
    inbound.send(0, frames.HEARTBEAT, HeartbeatStatus(False, False))
    eventlet.sleep(0.05)
    assert stale and not any(stale)
    link.stop()
