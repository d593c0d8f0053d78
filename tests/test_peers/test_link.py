"""Tests of the messaging between instances over loopback sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import pytest

from bench.processes import free_ports
from godwitthread.clock import Clock
from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.events import HybridLogicalClock
from godwitthread.loop import eventlet
from godwitthread.peers import codec
from godwitthread.peers.calls import PendingCalls
from godwitthread.peers.link import PeerLink
from godwitthread.peers.outbox import Message, Outbox
from tests.builders import seat

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

KEY = b'k' * 32
#: Time-out for events that arrive within milliseconds; it expires only if the link is broken.
LONG_TIMEOUT_MS = 20_000


class Note(NamedTuple):
    number: int
    text: str = ''


codec.register('test_link_note', Note)


class LinkPair:
    """Two connected links and the messages that the second one has received."""

    def __init__(self, key: bytes = KEY) -> None:
        clock = Clock()
        seats = [seat(n)._replace(peer_port=free_ports(1)[0]) for n in range(2)]
        keys = (KEY, key)
        self.first, self.second = (
            PeerLink(s, k, HybridLogicalClock(clock.wall_ms), clock)
            for s, k in zip(seats, keys, strict=True)
        )
        self.received: list[int] = []
        self.second.register_handler(
            'test_link_note', lambda envelope: self.received.append(envelope.body.number)
        )

    def send(self, number: int, **kwargs: Any) -> bool:
        return self.first.send(self.second.seat, Note(number), **kwargs)

    def call(self, number: int, timeout_ms: int = LONG_TIMEOUT_MS) -> Any:
        return self.first.call(self.second.seat, Note(number), timeout_ms)


@pytest.fixture
def pair() -> Iterator[LinkPair]:
    pair = LinkPair()
    pair.first.start()
    pair.second.start()
    yield pair
    pair.first.stop()
    pair.second.stop()


def wait_until(condition: Callable[[], bool]) -> None:
    with eventlet.Timeout(LONG_TIMEOUT_MS / 1000):
        while not condition():
            eventlet.sleep(0.002)


def proxy_error(run: Callable[[], Any]) -> ProxyError:
    """Return the ProxyError that a function raises."""
    with pytest.raises(ProxyError) as caught:
        run()
    return caught.value


def test_messages_arrive_in_order_and_are_counted(pair: LinkPair) -> None:
    """Guards against lost, reordered or uncounted messages on a healthy link."""
    for number in range(300):
        assert pair.send(number)
    wait_until(lambda: len(pair.received) == 300)
    assert pair.received == list(range(300))
    assert pair.first.sent_messages['test_link_note'] == 300
    assert pair.second.received_bytes == pair.first.sent_bytes


def test_calls_are_matched_with_their_responses(pair: LinkPair) -> None:
    """Guards against a response that is delivered to another request."""

    def handle_lower_numbers_slower(envelope: codec.Envelope) -> Note:
        eventlet.sleep(0.05 / (1 + envelope.body.number))
        return Note(envelope.body.number, envelope.reply_to)

    pair.second.register_handler('test_link_note', handle_lower_numbers_slower)
    pool = eventlet.GreenPool()
    responses = list(pool.imap(pair.call, range(50)))
    assert [response.number for response in responses] == list(range(50))


def test_handler_errors_are_returned_with_kind_and_outcome(pair: LinkPair) -> None:
    """Guards against a call that times out although the remote handler raised an error."""

    def fail(envelope: codec.Envelope) -> Note:
        if envelope.body.number:
            raise ProxyError(ErrorKind.MOVED, 'owned by another instance', retry_after_ms=7)
        raise KeyError('secret detail')

    pair.second.register_handler('test_link_note', fail)
    exc = proxy_error(lambda: pair.call(1))
    assert (exc.kind, exc.outcome, exc.retry_after_ms) == (ErrorKind.MOVED, Outcome.NOT_RUN, 7)
    exc = proxy_error(lambda: pair.call(0))
    assert (exc.kind, exc.outcome) == (ErrorKind.INTERNAL, Outcome.UNKNOWN)
    assert 'secret' not in exc.message
    pair.second.register_handler('test_link_note', lambda envelope: None)
    assert proxy_error(lambda: pair.call(1)).outcome is Outcome.UNKNOWN


def test_late_responses_are_dropped(pair: LinkPair) -> None:
    """Guards against a response that is accepted after the deadline of its request."""
    release = eventlet.event.Event()

    def wait(envelope: codec.Envelope) -> Note:
        release.wait()
        return envelope.body

    pair.second.register_handler('test_link_note', wait)
    exc = proxy_error(lambda: pair.call(1, timeout_ms=300))
    assert exc.outcome is Outcome.UNKNOWN
    release.send()
    wait_until(lambda: pair.first.counters()['dropped']['late_answer'] == 1)


def test_responses_to_a_former_process_reach_no_call() -> None:
    """Guards against a result of another request after a restart at the same address (MIXED)."""
    former, restarted = PendingCalls(), PendingCalls()
    call_ids = [restarted.open('execute') for _ in range(3)]
    for _ in range(3):
        restarted.resolve(former.open('execute'), Note(1))
    assert restarted.late_answers == 3
    assert [restarted.wait(call_id, 1) for call_id in call_ids] == [None] * 3


def test_call_to_unreachable_peer_is_not_run_and_not_sent_later() -> None:
    """Guards against a request that is reported as not run and sent after a reconnect."""
    links = LinkPair()
    links.first.start()
    try:
        exc = proxy_error(lambda: links.call(1, timeout_ms=50))
        assert (exc.kind, exc.outcome) == (ErrorKind.DEADLINE_EXCEEDED, Outcome.NOT_RUN)
        links.second.start()
        links.send(2)
        wait_until(lambda: bool(links.received))
        assert links.received == [2]
        assert links.second.received_messages['test_link_note'] == 1
    finally:
        links.first.stop()
        links.second.stop()


def test_event_loop_is_not_blocked_by_an_unreachable_peer() -> None:
    """Guards against a blocking socket call, which would block the whole instance."""
    links = LinkPair()
    links.first.start()
    ticks: list[int] = []

    def count() -> None:
        for number in range(20):
            ticks.append(number)
            eventlet.sleep(0)

    try:
        links.send(1)
        counter = eventlet.spawn(count)
        proxy_error(lambda: links.call(2, timeout_ms=100))
        counter.wait()
        assert len(ticks) == 20
    finally:
        links.first.stop()


def test_restarted_peer_is_reconnected(pair: LinkPair) -> None:
    """Guards against an outbox that does not replace the connection to a stopped peer."""
    pair.send(1)
    wait_until(lambda: pair.received == [1])
    pair.second.stop()
    pair.second.start()

    def arrives() -> bool:
        # A message passed to the old connection is lost, so it is sent repeatedly.
        pair.send(2)
        return 2 in pair.received

    wait_until(arrives)


def test_messages_with_a_wrong_key_are_dropped_and_counted() -> None:
    """Guards against acceptance of messages from a process without the cluster key."""
    links = LinkPair(key=b'other')
    links.first.start()
    links.second.start()
    try:
        links.send(1)
        wait_until(lambda: links.second.dropped['signature'] == 1)
        assert links.received == []
    finally:
        links.first.stop()
        links.second.stop()


def test_fault_hook_drops_duplicates_and_delays_messages(pair: LinkPair) -> None:
    """Guards against a fault hook that has no effect."""
    delays = iter([[], [0, 0], [30], [0]])
    pair.first.fault_hook = lambda address, kind: next(delays)
    for number in range(4):
        pair.send(number)
    wait_until(lambda: len(pair.received) == 4)
    assert sorted(pair.received) == [1, 1, 2, 3]


def test_handler_that_finishes_after_stop_opens_no_socket(pair: LinkPair) -> None:
    """Guards against connections that are opened after the link has been stopped."""
    release, done = eventlet.event.Event(), eventlet.event.Event()

    def wait(envelope: codec.Envelope) -> Note:
        release.wait()
        done.send()
        return envelope.body

    pair.second.register_handler('test_link_note', wait)
    assert proxy_error(lambda: pair.call(1, timeout_ms=300)).outcome is Outcome.UNKNOWN
    pair.second.stop()
    release.send()
    done.wait()
    wait_until(lambda: pair.second.dropped['stopped'] == 1)
    assert pair.second.send(pair.first.seat, Note(1)) is False


def test_full_queue_evicts_the_oldest_non_critical_message() -> None:
    """Guards against unbounded queues and against loss of share acknowledgements."""
    dropped: list[str] = []
    outbox = Outbox(
        f'127.0.0.1:{free_ports(1)[0]}',
        lambda m: None,
        lambda m, reason: dropped.append(m.kind),
        limit=3,
    )
    try:
        messages = [('a', True), ('b', False), ('c', True), ('d', True), ('e', False), ('f', True)]
        queued = [outbox.put(Message(kind, b'x', critical, 0)) for kind, critical in messages]
        assert queued == [True, True, True, True, False, False]
        assert dropped == ['b', 'e', 'f']
    finally:
        outbox.close()
