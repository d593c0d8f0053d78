"""Routes and keys that come and go beside faults, and the record of both."""

from __future__ import annotations

import json
import signal
import time
from contextlib import contextmanager
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.loop import eventlet
from tests.test_platform.configuration_judge import Disturbance, Record, StoreContent
from tests.test_platform.faults import crash_primary
from tests.test_platform.silent_store import SilentStore
from tests.test_platform.world import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from tests.test_platform.world import Deployment

ORGANISATION = 'changing'
#: Number of routes, and of keys, that were added and are not dropped yet.
KEPT = 8
MAX_STEP = 6
#: Pauses between faults, in s: they overlap, or the instances settle in between.
SHORT_PAUSE_S = (0.2, 2.0)
LONG_PAUSE_S = (5.0, 9.0)
#: Time for which changes go on after the last fault, in s, so that settled instances are asked.
CALM_S = 8
MAX_RESTORE_AGE_MS = 5_000


class Operator(NamedTuple):
    """How the operator changes the configuration."""

    #: Longest time between two changes, in s.
    interval_s: float = 2.0
    #: Whether the operator goes on from a restored configuration instead of writing again.
    versions_again: bool = False


class ChangedRoutes:
    """Operator who adds and drops routes and keys beside faults."""

    def __init__(self, deployment: Deployment, seed: int, operator: Operator) -> None:
        self.record = Record([], [], [])
        self.dropped_routes: list[str] = []
        self.dropped_keys: list[str] = []
        self._deployment = deployment
        self._random = Random(f'{seed} changed routes')
        self._silent_store = SilentStore(deployment, seed)
        self._operator = operator
        self._wall_offset_ms = int(time.time() * 1000) - now_ms()
        self._started_ms = self.now_ms()
        self._added = 0
        #: Configurations by the content of their row.
        self._written: dict[bytes, StoreContent] = {}
        self._versions: set[int] = set()
        deployment.further_databases = [self._new_name('route') for _ in range(KEPT)]
        deployment.keys[ORGANISATION] = [self._new_name('key') for _ in range(KEPT)]
        deployment.rates[ORGANISATION] = 100_000
        for number in deployment.processes:
            self.record.disturbances.append(Disturbance(0, self.now_ms(), number))
        self._change()

    @property
    def routes(self) -> list[str]:
        """Databases that the operator added, oldest first."""
        return self._deployment.further_databases

    @property
    def keys(self) -> list[str]:
        """Keys that the operator added, oldest first."""
        return self._deployment.keys[ORGANISATION]

    def now_ms(self) -> int:
        """Return a steady time that the logs of the instances can be compared with."""
        return now_ms() + self._wall_offset_ms

    def run(self, seconds: int, faults: Sequence[str]) -> str:
        """Change the configuration beside faults that may overlap; return their names."""
        changes = eventlet.spawn(self._change_loop)
        names, pool = [], eventlet.GreenPool()
        end_s = time.monotonic() + seconds
        eventlet.sleep(self._random.uniform(1, 5))
        faults = [*faults, *(each for each in faults if each == 'restore')]
        while faults and time.monotonic() < end_s:
            names.append(self._random.choice(faults))
            pool.spawn_n(FAULTS[names[-1]], self)
            pause_s = self._random.uniform(*self._random.choice([SHORT_PAUSE_S, LONG_PAUSE_S]))
            eventlet.sleep(min(pause_s, max(0.0, end_s - time.monotonic())))
        eventlet.sleep(max(0.0, end_s - time.monotonic()))
        pool.waitall()
        eventlet.sleep(CALM_S)
        changes.kill()
        return ' '.join(names)

    def write_record(self) -> None:
        """Write the record to the folder of the logs, one entry a line."""
        with (self._deployment.folder / 'record.log').open('w') as file:
            for name, entries in self.record._asdict().items():
                for entry in entries:
                    file.write(json.dumps({'record': name, **entry._asdict()}, default=sorted))
                    file.write('\n')

    # Operator

    def _change_loop(self) -> None:
        while True:
            eventlet.sleep(self._random.uniform(0.2, self._operator.interval_s))
            # The store does not answer the operator either.
            store = self._deployment.store
            while store.outage or len(store.muted) == len(self._deployment.processes):
                eventlet.sleep(0.02)
            self._change()

    def _change(self) -> None:
        """Add a route and a key, and drop the oldest of each."""
        if self._operator.versions_again:
            self._continue_from_store()
        for names, dropped, kind in (
            (self.routes, self.dropped_routes, 'route'),
            (self.keys, self.dropped_keys, 'key'),
        ):
            names.append(self._new_name(kind))
            dropped.append(names.pop(0))
        version = self._deployment.version
        again = [each for each in self._versions if each > version]
        # Versions that a restore took back are given out again, and are passed slowly.
        step = (
            self._random.choice([1, min(again) - version])
            if again
            else self._random.randint(1, MAX_STEP)
        )
        self._deployment.configure(step)
        self._versions.add(self._deployment.version)
        value = self._value()
        self._written[value] = StoreContent(
            self.now_ms(), len(self._written) + 1, self._deployment.version, *_names(value)
        )
        self.record.contents.append(self._written[value])

    def _continue_from_store(self) -> None:
        """Take over the configuration of the store if that was restored."""
        value = self._value()
        if not self.record.contents or self._written[value].order == len(self._written):
            return
        cfg = json.loads(value)
        self._deployment.version = cfg['Version']
        routes, keys = _names(value)
        for names, dropped, kept in (
            (self.routes, self.dropped_routes, routes),
            (self.keys, self.dropped_keys, keys),
        ):
            dropped += [each for each in names if each not in kept]
        self._deployment.further_databases = _added('route', routes)
        self._deployment.keys[ORGANISATION] = _added('key', keys)

    def _note_content(self) -> None:
        """Record that the store has had its present configuration from now on."""
        content = self._written[self._value()]
        if content.order != self.record.contents[-1].order:
            self.record.contents.append(content._replace(at_ms=self.now_ms()))

    def _value(self) -> bytes:
        return self._deployment.store.content('op', 'config') or b''

    def _new_name(self, kind: str) -> str:
        self._added += 1
        return f'{kind}-{self._added}'

    # Faults

    @contextmanager
    def _disturb(self, instance: int | None, suspended: bool = False) -> Iterator[None]:
        begun_ms = self.now_ms()
        try:
            yield
        finally:
            disturbance = Disturbance(begun_ms, self.now_ms(), instance, suspended)
            self.record.disturbances.append(disturbance)

    def _restore(self) -> None:
        store, rnd = self._deployment.store, self._random
        # A store that answers all the while is not impaired.
        outage = rnd.choice([None, None, 'busy', 'silent'])
        if outage:
            with self._disturb(None):
                store.outage = outage
                eventlet.sleep(rnd.uniform(0, 1.5))
                self._go_back()
                store.outage = None
        else:
            self._go_back()
        eventlet.sleep(rnd.uniform(0, 3))
        if self._operator.versions_again:
            self._change()
        store.write_again()
        self._note_content()

    def _go_back(self) -> None:
        # The first configuration with the routes of the operator precedes every copy.
        oldest_ms = self.now_ms() - self._started_ms - 1
        age_ms = self._random.randint(100, min(MAX_RESTORE_AGE_MS, oldest_ms))
        self._deployment.store.restore(age_ms)
        self._note_content()

    def _silence_store(self) -> None:
        with self._disturb(None):
            self._random.choice(self._silent_store.mutings())()

    def _lose_history(self) -> None:
        store, rnd = self._deployment.store, self._random
        if rnd.random() < 0.5:
            store.truncate_history()
            return
        with self._disturb(None):
            store.compact(rnd.randint(500, 5_000))
            eventlet.sleep(rnd.uniform(0.5, 3))
            store.read_lag_ms = 0

    def _suspend(self) -> None:
        number = self._random.choice(list(self._deployment.processes))
        process = self._deployment.processes[number]
        with self._disturb(number, suspended=True):
            process.send_signal(signal.SIGSTOP)
            eventlet.sleep(self._random.uniform(0.3, 4))
            process.send_signal(signal.SIGCONT)

    def _restart(self) -> None:
        number = self._random.choice(list(self._deployment.processes))
        with self._disturb(number):
            self._deployment.restart(number, self._random.choice([signal.SIGTERM, signal.SIGKILL]))

    def _crash_primary(self) -> None:
        crash_primary(self._deployment)


FAULTS: dict[str, Callable[[ChangedRoutes], None]] = {
    'restore': ChangedRoutes._restore,
    'silent': ChangedRoutes._silence_store,
    'history': ChangedRoutes._lose_history,
    'suspend': ChangedRoutes._suspend,
    'restart': ChangedRoutes._restart,
    'primary': ChangedRoutes._crash_primary,
}


def _names(value: bytes) -> tuple[frozenset[str], frozenset[str]]:
    """Return the databases and the keys of a configuration."""
    cfg = json.loads(value)
    keys = (key for each in cfg['Tenants'] for key in each['ApiKeys'])
    return frozenset(each['Host'] for each in cfg['Routes']), frozenset(keys)


def _added(kind: str, names: frozenset[str]) -> list[str]:
    """Return the names that the operator added, oldest first."""
    added = [each for each in names if each.startswith(f'{kind}-')]
    return sorted(added, key=lambda each: int(each.partition('-')[2]))
