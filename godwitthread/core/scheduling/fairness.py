"""Start-time fair queueing of organisations, charged by the time for which they hold a resource.

`FairQueue` serves the connections of `godwitthread/instance/`, `HoldTimeShares` the slots of a
group, which also orders the statements of one organisation.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import Generic, NamedTuple, TypeVar

T = TypeVar('T')

#: Maximum of waiting requests per organisation; more would only exceed their deadline.
MAX_QUEUED = 256
#: Hold time assumed before the first charge of an organisation, in ms.
INITIAL_HOLD_MS = 5
#: Virtual time units per ms of hold time at weight 1; limits the rounding error of the
#: division by a weight.
UNITS_PER_MS = 1_000_000


class Refusal(NamedTuple):
    """Result for a request that was not queued and has not run."""

    retry_after_ms: int
    #: 'full' or 'deadline'.
    reason: str


class Popped(NamedTuple, Generic[T]):
    """Request that was dequeued."""

    organisation: str
    item: T


#: Organisations whose hold times are remembered; more of them share the initial estimate.
MAX_ORGANISATIONS = 1_024


class Share:
    """Virtual start time and hold time of one organisation."""

    def __init__(self) -> None:
        self.weight = 1
        #: Virtual start time of the next request.
        self.start_tag = 0
        #: Eight times the smoothed hold time, in ms.
        self.hold_ms_x8 = 8 * INITIAL_HOLD_MS

    @property
    def expected_ms(self) -> int:
        """Return the expected hold time of a request, in ms."""
        return max(1, self.hold_ms_x8 // 8)

    def activate(self, virtual_time: int) -> None:
        """Note that requests wait again; no credit is earned for the time without any."""
        self.start_tag = max(self.start_tag, virtual_time)

    def advance(self, hold_ms: int) -> None:
        """Charge hold time."""
        self.start_tag += hold_ms * UNITS_PER_MS // self.weight

    def learn(self, hold_ms: int) -> None:
        """Record the hold time of a request."""
        self.hold_ms_x8 += hold_ms - self.hold_ms_x8 // 8


class HoldTimeShares:
    """Shares of organisations of equal weight, with one virtual time."""

    def __init__(self) -> None:
        self._virtual_time = 0
        self._shares: dict[str, Share] = {}

    def start_tag(self, organisation: str) -> int:
        """Return the virtual start time; the lowest one goes first."""
        share = self._shares.get(organisation)
        return share.start_tag if share else self._virtual_time

    def expected_ms(self, organisation: str, default_ms: float) -> float:
        """Return the expected hold time of a request, in ms."""
        share = self._shares.get(organisation)
        return share.expected_ms if share else default_ms

    def activate(self, organisation: str, default_ms: float) -> None:
        """Note that the first request of an organisation waits."""
        share = self._shares.get(organisation)
        if share is None:
            if len(self._shares) >= MAX_ORGANISATIONS:
                self._forget_idle()
            share = self._shares[organisation] = Share()
            share.hold_ms_x8 = int(8 * default_ms)
        share.activate(self._virtual_time)

    def charge(self, organisation: str) -> None:
        """Charge a request that starts its expected hold time."""
        share = self._shares.get(organisation)
        if share is not None:
            self._virtual_time = max(self._virtual_time, share.start_tag)
            share.advance(share.expected_ms)

    def learn(self, organisation: str, hold_ms: int) -> None:
        """Record the hold time of an ended request."""
        share = self._shares.get(organisation)
        if share is not None:
            share.learn(hold_ms)

    def _forget_idle(self) -> None:
        self._shares = {
            name: share
            for name, share in self._shares.items()
            if share.start_tag > self._virtual_time
        }


class FairQueue(Generic[T]):
    """Serve organisations by hold time, in proportion to their weights."""

    def __init__(self, servers: int = 1, max_queued: int = MAX_QUEUED) -> None:
        #: Connections that serve the queue; used to estimate the wait.
        self.servers = servers
        self._max_queued = max_queued
        self._flows: dict[str, _Flow[T]] = {}
        self._deadlines: list[tuple[int, int, str]] = []
        self._virtual_time = 0
        self._sequence = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self, now_ms: int, organisation: str, weight: int, item: T, deadline_ms: int
    ) -> Refusal | None:
        """Queue a request, or return why it is refused; the weight is at least 1."""
        flow = self._flows.setdefault(organisation, _Flow())
        flow.weight = max(1, weight)
        if len(flow.waiting) >= self._max_queued:
            return Refusal(max(1, self.expected_wait_ms(organisation)), 'full')
        wait_ms = self.expected_wait_ms(organisation)
        if now_ms + wait_ms > deadline_ms:
            return Refusal(max(1, wait_ms), 'deadline')
        if not flow.waiting:
            flow.activate(self._virtual_time)
        self._sequence += 1
        flow.waiting.append((deadline_ms, self._sequence, item))
        heapq.heappush(self._deadlines, (deadline_ms, self._sequence, organisation))
        self._length += 1
        return None

    def pop(self, now_ms: int) -> Popped[T] | None:
        """Return the next request whose deadline has not passed."""
        ready = ((flow.start_tag, name) for name, flow in self._flows.items() if flow.waiting)
        for start_tag, name in sorted(ready):
            flow = self._flows[name]
            while flow.waiting and flow.waiting[0][0] <= now_ms:
                flow.expired_items.append(flow.waiting.popleft()[2])
                self._length -= 1
            if not flow.waiting:
                continue
            self._virtual_time = max(self._virtual_time, start_tag)
            self._length -= 1
            return Popped(name, self._start_request(flow))
        return None

    def charge(self, organisation: str, hold_ms: int) -> None:
        """Charge an organisation for the time that a popped request used its connection."""
        flow = self._flows.get(organisation)
        if flow is None or not flow.running:
            return
        expected_ms = flow.running.popleft()
        flow.advance(hold_ms - expected_ms)
        flow.learn(hold_ms)
        if not flow.running and not flow.waiting and flow.start_tag <= self._virtual_time:
            del self._flows[organisation]

    def expire(self, now_ms: int) -> list[T]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[T] = []
        names = set()
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            names.add(heapq.heappop(self._deadlines)[2])
        for name in sorted(names):
            flow = self._flows.get(name)
            if flow is None:
                continue
            expired += flow.expired_items
            flow.expired_items.clear()
            kept = [entry for entry in flow.waiting if entry[0] > now_ms]
            expired += [entry[2] for entry in flow.waiting if entry[0] <= now_ms]
            self._length -= len(flow.waiting) - len(kept)
            flow.waiting = deque(kept)
        return expired

    def expected_wait_ms(self, organisation: str) -> int:
        """Return the expected wait of a request pushed now, in ms."""
        flow = self._flows.get(organisation)
        if flow is None or not flow.waiting:
            return 0
        weights = sum(f.weight for f in self._flows.values() if f.waiting or f.running)
        queued_ms = len(flow.waiting) * flow.expected_ms
        return queued_ms * weights // (flow.weight * max(1, self.servers))

    def queued(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        flow = self._flows.get(organisation)
        return len(flow.waiting) if flow else 0

    def _start_request(self, flow: _Flow[T]) -> T:
        expected_ms = flow.expected_ms
        flow.running.append(expected_ms)
        flow.advance(expected_ms)
        return flow.waiting.popleft()[2]


class _Flow(Share, Generic[T]):
    """Waiting and running requests of one organisation."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting: deque[tuple[int, int, T]] = deque()
        #: Hold time charged in advance for each running request, in ms.
        self.running: deque[int] = deque()
        #: Requests that `pop` found past their deadline, to be returned by `expire`.
        self.expired_items: list[T] = []
