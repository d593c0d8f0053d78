"""Counts of requests on their way from the owners of groups to the holder of the usage duty."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.core import ownership
from godwitthread.core.usage_windows import (
    MAX_NUMBER,
    SETTLE_MS,
    Counts,
    MergedCounts,
    OwnCounts,
    TrueTime,
    valid_counts,
)
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import links
from godwitthread.gateway.isolation import traceback_logger
from godwitthread.gateway.sessions import ANONYMOUS
from godwitthread.gateway.usage_duty import Standing, Usage, UsageDuty
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer
    from godwitthread.core.ownership import PeerReachability
    from godwitthread.gateway.links import Link
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.metrics import Metrics
    from godwitthread.gateway.ownership_manager import OwnershipManager
    from godwitthread.gateway.ports import Ports, UsagePort

logger = logging.getLogger(__name__)

#: Resource whose ranking orders the instances that receive counts and hold the duty.
RESOURCE = 'usage'
#: Number of instances, from the first in the ranking, that receive the counts.
RECEIVERS = 2
#: Interval of housekeeping, in ms.
TICK_MS = 250
#: Interval at which changed counts are sent, in ms. It grows with the number of possible owners,
#: so that a receiver handles at most one message per this many ms.
SEND_INTERVAL_MS = 500
MS_PER_CANDIDATE = 10
#: Time limit of a call, in ms, and of all calls at the end of the process.
CALL_TIMEOUT_MS = 1_000
HAND_OVER_MS = 300
#: Delay after a peer answered that it does not know the call, as an older build does, in ms.
UNKNOWN_CALL_MS = 5_000
#: Longest round trip after which the true time of the answer is adopted, in ms.
MAX_ROUND_TRIP_MS = 250


class UsageMessage(NamedTuple):
    """Counts that one instance sends to another: those that the receiver has not acknowledged."""

    incarnation: int
    wall_ms: int
    #: Newest window of which the sender's counts are final, -1 without any.
    settled: int
    #: Newest window that needs no more counts, -1 without any.
    closed: int
    #: Fencing token of the sender if it holds the duty, else 0, and whether it lacks the store.
    token: int
    stuck: bool
    #: Cumulative counts by window and organisation.
    counts: dict[int, dict[str, int]]


class UsageAnswer(NamedTuple):
    """Answer to a message with counts."""

    incarnation: int
    #: True time according to the receiver, 0 if it does not know it, and its number of clocks.
    true_ms: int
    clocks: int
    wall_ms: int
    closed: int


class DutyStatus(NamedTuple):
    """Standing of an instance as the holder of the duty, as it reports it."""

    token: int
    stuck: bool
    incarnation: int = 0


class _Receiver:
    """State of the messages to one receiver."""

    def __init__(self) -> None:
        self.incarnation = 0
        self.busy = False
        self.next_ms = 0
        #: Number of recorded requests, and the newest settled window, when it last answered.
        self.version = -1
        self.settled = -2
        #: What it knows of this instance as the holder of the duty.
        self.status = DutyStatus(0, False)


_answers = msgspec.msgpack.Decoder(UsageAnswer)


class UsageCollector:
    """Count the requests of this instance, send the counts, and merge those of other instances."""

    def __init__(
        self,
        peer: Peer,
        clock: Clock,
        ports: Ports,
        port: UsagePort,
        log: Log,
        manager: OwnershipManager,
        peer_links: Mapping[str, Link],
        reach: Callable[[], dict[str, PeerReachability]],
        is_leaving: Callable[[], bool],
        agreed_owner: Callable[[str], str | None],
    ) -> None:
        self._name = peer.name
        self._incarnation = peer.incarnation
        self._clock = clock
        self._terms = port.terms
        self._manager = manager
        self._links = peer_links
        self._reach = reach
        self._is_leaving = is_leaving
        self._agreed_owner = agreed_owner
        self._time = TrueTime(clock.now_ms())
        self._own = OwnCounts(port.terms)
        self._merged = MergedCounts(port.terms)
        #: Number of requests that were counted here.
        self._version = 0
        self._receivers: dict[str, _Receiver] = {}
        self._ranked_for: object = None
        self._targets: list[str] = []
        #: Statuses that peers reported, with the time.
        self._statuses: dict[str, tuple[int, DutyStatus]] = {}
        #: Requests whose counts came after their window was fixed.
        self.late_requests = 0
        #: Windows in which an organisation's late requests exceed the tolerance.
        self.windows_off = 0
        self._late: dict[tuple[int, str], int] = {}
        self._windows_off: set[int] = set()
        usage = Usage(self._true_ms, self._is_complete, self._merged.total, self._merged.oldest)
        self.duty = UsageDuty(
            peer.name, peer.incarnation, clock, ports, port, log, usage, self._other_holds
        )

    def start(self) -> list[Any]:
        """Start to send counts and to report windows; return the threads."""
        return [
            eventlet.spawn(self._repeat, self.tick),
            eventlet.spawn(self._repeat, self.step_duty),
        ]

    def add_metrics(self, metrics: Metrics) -> None:
        """Add the metrics of usage reports."""
        duty = self.duty
        metrics.gauges(
            'godwitthread_usage_windows',
            'Windows of usage by outcome, as holder of the duty',
            'outcome',
            {
                'reported': lambda: duty.reported,
                'late': lambda: duty.late,
                'given_up': lambda: duty.given_up,
                'off': lambda: self.windows_off,
            },
        )
        metrics.gauge(
            'godwitthread_usage_late_requests',
            'Requests whose counts came after their window was fixed',
            lambda: self.late_requests,
        )
        metrics.gauge(
            'godwitthread_usage_duty_held',
            'Whether this instance holds the usage duty',
            lambda: float(duty.held),
        )

    def record(self, organisation: str, sent_ms: int) -> None:
        """Count a request that was sent to a member at a time and ran there."""
        if organisation != ANONYMOUS:
            self._version += 1
            self._own.record(sent_ms, self._time.at(sent_ms), organisation)

    def receive(self, sender: str, message: UsageMessage) -> UsageAnswer:
        """Merge the counts of a peer."""
        name = sender.partition('/')[0]
        now_ms = self._clock.now_ms()
        self._time.read_clock(now_ms, name, message.wall_ms)
        true_ms = self._time.at(now_ms)
        self._learn_closed(message.closed)
        status = DutyStatus(message.token, message.stuck, message.incarnation)
        self._statuses[name] = now_ms, status
        if true_ms is None:
            # Its windows can't be checked yet; it sends the counts again.
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'the true time is not known yet')
        counts = valid_counts(self._terms, message.counts, true_ms)
        self._merge((name, message.incarnation), counts, message.settled)
        return UsageAnswer(
            self._incarnation, true_ms, self._time.clocks, self._clock.wall_ms(), self.duty.closed
        )

    def tick(self) -> None:
        """Send the counts that are due."""
        now_ms = self._clock.now_ms()
        self._time.update(now_ms, self._clock.wall_ms())
        true_ms = self._time.at(now_ms)
        if true_ms is not None:
            self._own.place_pending(self._time.at)
            oldest = self._terms.oldest_kept(true_ms)
            self._own.drop_before(oldest)
            self._merged.drop_before(oldest)
            self._late = {key: count for key, count in self._late.items() if key[0] >= oldest}
            self._windows_off = {each for each in self._windows_off if each >= oldest}
        for name in self._ranked():
            receiver = self._receivers.setdefault(name, _Receiver())
            if receiver.busy or now_ms < receiver.next_ms or not self._is_due(receiver, true_ms):
                continue
            if name == self._name:
                self._merge_own(receiver, true_ms)
            else:
                receiver.busy = True
                receiver.next_ms = now_ms + int(self._interval_ms() * random.uniform(0.8, 1.0))
                eventlet.spawn_n(self._send, name, receiver, self._settled(true_ms))

    def step_duty(self) -> None:
        """Do what is due as the holder of the duty, or as its successor."""
        self.duty.step(self._standing())

    def hand_over(self) -> None:
        """Send the last counts before this process ends."""
        threads = [eventlet.spawn(self.duty.step, Standing.LEAVING)]
        threads += [
            eventlet.spawn(self._send, name, self._receivers.get(name) or _Receiver(), MAX_NUMBER)
            for name in self._ranked()
            if name != self._name
        ]
        with eventlet.Timeout(HAND_OVER_MS / 1000, False):
            for thread in threads:
                thread.wait()

    # Sending

    def _send(self, name: str, receiver: _Receiver, settled: int) -> None:
        sent_ms, version = self._clock.now_ms(), self._version
        # A receiver whose incarnation is not known gets all counts.
        counts = self._own.changes((name, receiver.incarnation), self.duty.closed)
        status = DutyStatus(self.duty.token, self.duty.stuck)
        message = UsageMessage(
            self._incarnation,
            self._clock.wall_ms(),
            settled,
            self.duty.closed,
            status.token,
            status.stuck,
            counts,
        )
        try:
            body = self._links[name].call(RESOURCE, message, CALL_TIMEOUT_MS)
            answer: UsageAnswer = links.decode_answer(_answers, body)
        except KeyError:
            return
        except ProxyError as exc:
            if exc.kind is ErrorKind.NOT_FOUND:
                receiver.next_ms = self._clock.now_ms() + UNKNOWN_CALL_MS
            return
        finally:
            receiver.busy = False
        now_ms = self._clock.now_ms()
        self._time.read_clock(now_ms, name, answer.wall_ms)
        if answer.true_ms and now_ms - sent_ms <= MAX_ROUND_TRIP_MS:
            self._time.adopt(now_ms, answer.true_ms + (now_ms - sent_ms) // 2, answer.clocks)
        self._learn_closed(answer.closed)
        if receiver.incarnation not in (0, answer.incarnation):
            # It restarted, and has only the counts of this message, at most.
            receiver.version = -1
        else:
            receiver.version, receiver.settled, receiver.status = version, settled, status
        receiver.incarnation = answer.incarnation
        self._own.acknowledge((name, answer.incarnation), counts)

    def _is_due(self, receiver: _Receiver, true_ms: int | None) -> bool:
        if receiver.version != self._version:
            # Requests, or a first message, with which the clocks become known.
            return self._version > 0 or self._manager.is_candidate(self._name)
        if receiver.status != (self.duty.token, self.duty.stuck, 0) and receiver.version >= 0:
            return True
        return self._manager.is_candidate(self._name) and self._settled(true_ms) > receiver.settled

    def _interval_ms(self) -> int:
        candidates = len(self._manager.candidates)
        longest_ms = max(SEND_INTERVAL_MS, self._terms.delay_ms // 2 - SETTLE_MS)
        return min(longest_ms, max(SEND_INTERVAL_MS, MS_PER_CANDIDATE * candidates))

    def _settled(self, true_ms: int | None) -> int:
        return -1 if true_ms is None else self._terms.settled(true_ms)

    def _ranked(self) -> list[str]:
        """Return the first instances in the ranking that are available."""
        able, peers = self._manager.able(), self._manager.candidates
        if self._ranked_for != (able, id(peers)):
            self._ranked_for = able, id(peers)
            self._targets = ownership.ranked(RESOURCE, peers, set(able))[:RECEIVERS]
            self._receivers = {
                name: each
                for name, each in self._receivers.items()
                if name in self._targets or each.busy
            }
        return self._targets

    # Receiving

    def _merge_own(self, receiver: _Receiver, true_ms: int | None) -> None:
        key = self._name, self._incarnation
        changes = self._own.changes(key, -1)
        self._own.acknowledge(key, changes)
        receiver.version, receiver.settled = self._version, self._settled(true_ms)
        self._merge(key, changes, receiver.settled)

    def _merge(self, sender: tuple[str, int], counts: Counts, settled: int) -> None:
        risen = self._merged.add(sender, counts, settled)
        if not self.duty.held:
            return
        for window, values in risen.items():
            if window > self.duty.fixed:
                continue
            total = self._merged.total(window)
            for name, count in values.items():
                self.late_requests += count
                late = self._late[window, name] = self._late.get((window, name), 0) + count
                if late > self._terms.tolerance * total[name] and window not in self._windows_off:
                    self._windows_off.add(window)
                    self.windows_off += 1

    def _is_complete(self, window: int) -> bool:
        true_ms = self._true_ms()
        if true_ms is None:
            return False
        return self._merged.is_complete(window, self._running, true_ms)

    def _running(self) -> list[str]:
        """Return the instances that may have run requests and may report them yet."""
        names = [peer.name for peer in self._manager.candidates]
        return ownership.running(names, self._reach())

    # Helpers

    def _true_ms(self) -> int | None:
        return self._time.at(self._clock.now_ms())

    def _learn_closed(self, window: int) -> None:
        true_ms = self._true_ms()
        if true_ms is not None and window <= self._terms.window(true_ms):
            self.duty.close(window)

    def _standing(self) -> Standing:
        if self._is_leaving():
            return Standing.LEAVING
        if self._manager.owner(RESOURCE) is None:
            return Standing.UNKNOWN
        names = self._ranked()
        first = next((name for name in names if not self._is_stuck(name)), names[0])
        if first != self._name:
            return Standing.NEXT if self._name in names else Standing.LOWER
        # An instance that only others reach may come first.
        agreed = self._agreed_owner(RESOURCE)
        if agreed is None:
            return Standing.UNKNOWN
        return Standing.FIRST if agreed == self._name or self._is_stuck(agreed) else Standing.NEXT

    def _status(self, name: str) -> DutyStatus | None:
        """Return the status of a peer; it reports it after each window at least."""
        read_ms, status = self._statuses.get(name, (0, None))
        valid_ms = self._terms.window_ms + SETTLE_MS + 2 * self._interval_ms() + CALL_TIMEOUT_MS
        return status if self._clock.now_ms() - read_ms <= valid_ms else None

    def _is_stuck(self, name: str) -> bool:
        if name == self._name:
            return self.duty.stuck
        status = self._status(name)
        return status is not None and status.stuck

    def _other_holds(self) -> bool:
        """Return whether a peer that is reachable and not leaving reports that it has the duty."""
        reach = self._reach()
        for name in self._statuses:
            status, peer, link = self._status(name), reach.get(name), self._links.get(name)
            if status is None or not status.token or peer is None or link is None:
                continue
            if peer.up and not peer.leaving and link.peer.incarnation == status.incarnation:
                return True
        return False

    def _repeat(self, step: Callable[[], None]) -> None:
        log_error = traceback_logger(logger, self._clock)
        while True:
            eventlet.sleep(TICK_MS / 1000)
            try:
                step()
            except Exception:
                log_error('usage reports failed')


def build(
    peer: Peer,
    clock: Clock,
    ports: Ports,
    log: Log,
    manager: OwnershipManager,
    peer_links: Mapping[str, Link],
    reach: Callable[[], dict[str, PeerReachability]],
    is_leaving: Callable[[], bool],
    agreed_owner: Callable[[str], str | None],
) -> UsageCollector | None:
    """Return the collector, None where the platform asks for no usage reports."""
    if ports.usage is None:
        return None
    return UsageCollector(
        peer, clock, ports, ports.usage, log, manager, peer_links, reach, is_leaving, agreed_owner
    )
