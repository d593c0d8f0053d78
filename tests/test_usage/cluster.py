"""Instances that report usage to a stand-in platform, on a clock that the test moves."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core import ownership
from godwitthread.core.catalog import Peer
from godwitthread.core.ownership import PeerReachability
from godwitthread.core.usage_windows import UsageTerms
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.ports import (
    ConditionFailedError,
    Ports,
    StoredRow,
    StoredRows,
    UsagePort,
    UsageReport,
    UsageResult,
)
from godwitthread.gateway.usage_collector import TICK_MS, UsageCollector, UsageMessage
from godwitthread.loop import eventlet
from godwitthread.standin.usage import UsageLedger
from tests.test_gateway.fakes import quiet_log

START_MS = 1_800_000_002_000
TERMS = UsageTerms(5_000, 10_000)
LEASE_MS = 3_000
ORGANISATIONS = ('bode960', 'vocu161', 'lune7')

_messages = msgspec.msgpack.Decoder(UsageMessage)


class Cluster:
    """Store, platform and instances, whose failures a test provokes step by step."""

    def __init__(self, count: int = 4, fence: bool = False, terms: UsageTerms = TERMS) -> None:
        self.now_ms = 0
        self.terms = terms
        self.ledger = UsageLedger(fence, LEASE_MS)
        self.row: StoredRow | None = None
        self.revision = 7
        self.calls: Counter[str] = Counter()
        #: Outcome of the next writes of the store and calls of the platform: 'down' does nothing,
        #: 'lost' has its effect without an answer, 'late' has it after 2 s, and 'suspend' suspends
        #: the calling process for 4 s before it is sent.
        self.store_script: list[str] = []
        self.platform_script: list[str] = []
        self.store_down = self.platform_down = False
        #: Calls that the platform carries out later, with the time.
        self.late: list[tuple[int, UsageReport]] = []
        #: True requests by window and organisation.
        self.requests: Counter[tuple[int, str]] = Counter()
        self.instances = {f'i{number}': Instance(self, f'i{number}') for number in range(count)}
        #: Names in the ranking of the duty.
        self.order = ownership.ranked('usage', self.peers(), set(self.instances))

    def peers(self) -> list[Peer]:
        return [each.peer for each in self.instances.values()]

    def true_ms(self) -> int:
        return START_MS + self.now_ms

    def restart(self, name: str) -> None:
        """Replace an instance by its next process, which knows nothing."""
        former = self.instances[name]
        former.alive = False
        self.instances[name] = Instance(self, name, former.peer.incarnation + 1)

    def leave(self, name: str) -> None:
        """Stop an instance as planned."""
        instance = self.instances[name]
        instance.leaving = True
        instance.collector.hand_over()
        instance.alive = False

    def run(self, duration_ms: int) -> None:
        """Let time pass in steps; each instance runs requests."""
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            while self.late and self.late[0][0] <= self.now_ms:
                self.ledger.post(self.true_ms(), *self.late.pop(0)[1][:4])
            for instance in list(self.instances.values()):
                if instance.alive and not instance.frozen:
                    instance.step()
            eventlet.sleep(0)

    def run_to(self, window_ms: int) -> None:
        """Let time pass up to a time after the start of the current window."""
        into_ms = self.true_ms() % self.terms.window_ms
        self.run((window_ms - into_ms) % self.terms.window_ms or self.terms.window_ms)

    def holder(self) -> str | None:
        held = [name for name, each in self.instances.items() if each.alive and each.duty.held]
        return held[-1] if held else None

    def check(self, tolerance: float = 0.05) -> None:
        """Assert that all windows that are due were reported, and the contract was kept."""
        assert not self.ledger.violations, self.ledger.violations
        first, last = self.terms.window(START_MS), self.terms.window(self.true_ms()) - 2
        wrong = self.wrong_windows(first, last, tolerance)
        assert not wrong, wrong

    def wrong_windows(self, first: int, last: int, tolerance: float = 0.05) -> list[int]:
        """Return the windows of a range that are missing, late or off."""
        return [
            window
            for window in range(first, last + 1)
            if not self.ledger.in_time(window, self.terms.deadline_ms(window))
            or any(
                abs(self.ledger.accepted[window].get(name, 0) - self.requests[window, name])
                > tolerance * self.requests[window, name]
                for name in ORGANISATIONS
            )
        ]

    # Store and platform

    def suspend(self, name: str) -> None:
        instance = self.instances[name]
        instance.frozen = True
        self.run(4_000)
        instance.frozen = False

    def table(self, table: str) -> StoredRows:
        self.calls['read'] += 1
        if self.store_down:
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'down')
        return StoredRows((self.row,) if self.row else (), self.revision)

    def put(self, table: str, key: str, value: bytes, expected_revision: int | None = None) -> int:
        self.calls['write'] += 1
        outcome = self.store_script.pop(0) if self.store_script else ''
        if self.store_down or outcome == 'down':
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'down')
        if expected_revision != (self.row.revision if self.row else 0):
            raise ConditionFailedError
        self.revision += 1
        self.row = StoredRow(key, value, self.revision)
        if outcome == 'lost':
            raise ProxyError(ErrorKind.STORE_UNKNOWN, 'no answer')
        return self.revision

    def post(self, report: UsageReport, timeout_ms: int) -> UsageResult:
        outcome = self.platform_script.pop(0) if self.platform_script else ''
        if outcome == 'suspend':
            self.suspend(report.holder)
        if not report.may_send():
            return UsageResult.NOT_SENT
        cut = self.instances[report.holder].platform_cut
        if cut or self.platform_down or outcome == 'down':
            return UsageResult.FAILED
        if outcome == 'late':
            self.late.append((self.now_ms + 2_000, report))
            return UsageResult.FAILED
        status = self.ledger.post(self.true_ms(), *report[:4])
        if outcome == 'lost':
            return UsageResult.FAILED
        return UsageResult.DONE if status == 200 else UsageResult.REFUSED


class Instance:
    """One instance: its collector, and what it reaches."""

    def __init__(self, cluster: Cluster, name: str, incarnation: int = 1) -> None:
        self.cluster = cluster
        self.alive, self.frozen, self.leaving = True, False, False
        #: Names of the instances that it does not reach.
        self.cut: set[str] = set()
        self.wall_error_ms = 0
        self.store_cut = self.platform_cut = False
        self.peer = Peer(name, Address('10.0.0.1', 80), 'd1', 1.0, incarnation)
        clock = Clock(lambda: cluster.now_ms / 1000, lambda: self.wall_ms() / 1000)
        ports = Ports(
            lambda *_: None,
            lambda: InstanceStore(self),
            None,
            lambda *_: None,
            UsagePort(cluster.terms, cluster.post),
            LEASE_MS,
        )
        self.collector = UsageCollector(
            self.peer,
            clock,
            ports,
            ports.usage,
            quiet_log(clock),
            self,
            Links(self),
            self.reach,
            lambda: self.leaving,
            self.agreed_owner,
        )
        self.duty = self.collector.duty

    def wall_ms(self) -> int:
        return self.cluster.true_ms() + self.wall_error_ms

    def step(self) -> None:
        if not self.leaving:
            for name in ORGANISATIONS:
                self.request(name)
        self.collector.tick()
        self.collector.step_duty()

    def request(self, organisation: str) -> None:
        self.cluster.requests[self.cluster.terms.window(self.cluster.true_ms()), organisation] += 1
        self.collector.record(organisation, self.cluster.now_ms)

    def reaches(self, name: str) -> bool:
        other = self.cluster.instances[name]
        cut = name in self.cut or self.peer.name in other.cut
        return name == self.peer.name or (other.alive and not other.frozen and not cut)

    def reach(self) -> dict[str, PeerReachability]:
        return {
            name: PeerReachability(self.reaches(name), leaving=each.leaving)
            for name, each in self.cluster.instances.items()
        }

    # What the collector asks of the ownership manager

    @property
    def candidates(self) -> list[Peer]:
        return self.cluster.peers()

    def is_candidate(self, name: str) -> bool:
        return True

    def agreed_owner(self, resource: str) -> str | None:
        return self.owner(resource)

    def able(self) -> tuple[str, ...]:
        return tuple(ownership.eligible(self.cluster.instances, self.reach()))

    def owner(self, resource: str) -> str | None:
        able = self.able()
        if len(able) * 2 <= len(self.cluster.instances):
            return None
        return next(iter(ownership.ranked(resource, self.candidates, set(able))), None)


class InstanceStore:
    """Store as one instance reaches it."""

    def __init__(self, own: Instance) -> None:
        self._own = own

    def table(self, table: str) -> StoredRows:
        self._check()
        return self._own.cluster.table(table)

    def put(self, *args: Any) -> int:
        script = self._own.cluster.store_script
        if script[:1] == ['suspend']:
            script.pop(0)
            self._own.cluster.suspend(self._own.peer.name)
        self._check()
        return self._own.cluster.put(*args)

    def _check(self) -> None:
        if self._own.store_cut:
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'cut')


class Links(dict[str, Any]):
    """Links of an instance to all others, made when they are used."""

    def __init__(self, own: Instance) -> None:
        super().__init__()
        self._own = own

    def get(self, name: str, default: Any = None) -> Any:
        return self[name]

    def __missing__(self, name: str) -> FakeLink:
        return FakeLink(self._own, name)


class FakeLink:
    """Link that encodes the messages as a real one does."""

    def __init__(self, own: Instance, name: str) -> None:
        self._own = own
        self._name = name
        self.peer = own.cluster.instances[name].peer

    def call(self, kind: str, body: Any, timeout_ms: int) -> msgspec.Raw:
        if not self._own.alive or not self._own.reaches(self._name):
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'no link')
        data = msgspec.msgpack.encode(body)
        self._own.cluster.calls['bytes'] += len(data)
        sender = f'{self._own.peer.name}/{self._own.peer.incarnation}/1'
        other = self._own.cluster.instances[self._name].collector
        return msgspec.msgpack.encode(other.receive(sender, _messages.decode(data)))
