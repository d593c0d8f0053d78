"""A store that leaves calls without an answer while configurations change."""

from __future__ import annotations

import http.client
import re
import signal
import time
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from godwitthread.loop import eventlet
from tests.test_platform.world import CONFIGURATION_DEADLINE_MS, now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from tests.test_platform.world import Deployment

METRICS_PORT = 7575
VERSION = re.compile(rb'^godwitthread_configuration_version ([0-9.]+)', re.MULTILINE)
CHECK_INTERVAL_S = 0.2
#: Time-out of a check, in s; a suspended process does not answer.
CHECK_TIMEOUT_S = 1.0


class SilentStore:
    """Faults of the store and of instances, changes, and checks of the version in force."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.checks = 0
        self._deployment = deployment
        self._random = Random(f'{seed} silent store')
        #: Number of faults that mute an instance.
        self._muted: Counter[str] = Counter()
        #: Time at which the store last answered nobody, in ms.
        self._silent_ms = 0
        #: Time until which an instance was suspended or restarted, in ms.
        self._disturbed_ms = dict.fromkeys(deployment.processes, now_ms())
        self._suspended = 0
        self._running = True

    def mutings(self) -> tuple[Callable[[], None], ...]:
        """Return the functions that leave calls to the store without an answer."""
        return self._mute_all, self._mute_some

    def undisturbed_ms(self) -> int:
        """Return for how long no instance has been suspended or restarted, in ms."""
        if self._suspended:
            return 0
        return now_ms() - max(self._disturbed_ms.values())

    def run(self, seconds: int, faults: Sequence[Callable[[], None]]) -> str:
        """Play faults, suspensions and restarts, which may overlap.

        Return their names when the last check has ended.
        """
        threads = [eventlet.spawn(self._change_configuration)]
        threads += [eventlet.spawn(self._check, number) for number in self._disturbed_ms]
        faults = (*faults, self._pause, self._restart)
        names, pool = [], eventlet.GreenPool()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            fault = self._random.choice(faults)
            names.append(fault.__name__.removeprefix('_'))
            pool.spawn_n(fault)
            eventlet.sleep(self._random.uniform(0.5, 4))
        pool.waitall()
        # Changes go on until they must be in force at every instance.
        eventlet.sleep(CONFIGURATION_DEADLINE_MS / 1000 + 2)
        self._running = False
        for thread in threads:
            thread.wait()
        return ' '.join(names)

    def _mute_all(self) -> None:
        self._mute(self._disturbed_ms, self._random.uniform(1, 5))

    def _mute_some(self) -> None:
        numbers = list(self._disturbed_ms)
        count = self._random.randint(1, len(numbers) - 1)
        self._mute(self._random.sample(numbers, count), self._random.uniform(1, 8))

    def _mute(self, numbers: Iterable[int], duration_s: float) -> None:
        names = [str(number) for number in numbers]
        self._muted.update(names)
        self._update_muted()
        eventlet.sleep(duration_s)
        self._muted.subtract(names)
        self._update_muted()

    def _update_muted(self) -> None:
        if self._is_silent():
            self._silent_ms = now_ms()
        self._deployment.store.muted = set(+self._muted)

    def _is_silent(self) -> bool:
        return len(self._deployment.store.muted) == len(self._disturbed_ms)

    def _pause(self) -> None:
        number = self._random.choice(list(self._disturbed_ms))
        process = self._deployment.processes[number]
        self._suspended += 1
        process.send_signal(signal.SIGSTOP)
        eventlet.sleep(self._random.uniform(0.3, 4))
        process.send_signal(signal.SIGCONT)
        self._suspended -= 1
        self._disturbed_ms[number] = now_ms()

    def _restart(self) -> None:
        number = self._random.choice(list(self._disturbed_ms))
        stop_signal = self._random.choice([signal.SIGTERM, signal.SIGKILL])
        self._deployment.restart(number, stop_signal)
        self._disturbed_ms[number] = now_ms()

    def _change_configuration(self) -> None:
        while self._running:
            eventlet.sleep(self._random.uniform(0.2, 2))
            # The store answers the operators neither.
            while self._is_silent():
                eventlet.sleep(0.05)
            self._deployment.configure()

    def _check(self, number: int) -> None:
        while self._running:
            eventlet.sleep(CHECK_INTERVAL_S)
            required = self._required_version(number)
            version = _version_in_force(self._deployment.caller_address(number).host)
            if version is None:
                continue
            self.checks += 1
            if version < required:
                self._deployment.violations.append(
                    f'instance {number} has version {version}, not {required}'
                )

    def _required_version(self, number: int) -> int:
        """Return the version that must be in force at an instance, 0 if there is none."""
        if self._is_silent():
            self._silent_ms = now_ms()
        begun_ms = max(self._silent_ms, self._disturbed_ms[number])
        settled_ms = now_ms() - CONFIGURATION_DEADLINE_MS
        accepted_ms = self._deployment.accepted_ms
        return max(
            (each for each, at_ms in accepted_ms.items() if max(at_ms, begun_ms) <= settled_ms),
            default=0,
        )


def read_metrics(host: str) -> bytes:
    """Return the metrics of an instance, nothing without an answer."""
    conn = http.client.HTTPConnection(host, METRICS_PORT, timeout=CHECK_TIMEOUT_S)
    try:
        conn.request('GET', '/metrics')
        return conn.getresponse().read()
    except (OSError, http.client.HTTPException):
        return b''
    finally:
        conn.close()


def _version_in_force(host: str) -> int | None:
    """Return the version that the metrics of an instance show, None without an answer."""
    found = VERSION.search(read_metrics(host))
    # An instance that has just started has no configuration, and serves nobody.
    return (int(float(found[1])) or None) if found else None
