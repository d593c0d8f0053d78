"""Planned work on a deployment: stops, changed settings and new configurations."""

from __future__ import annotations

import json
import signal
import time
from random import Random
from typing import TYPE_CHECKING, Any

from godwitthread.loop import eventlet
from godwitthread.sockets import connect
from tests.test_platform.world import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.test_platform.planned_callers import Request
    from tests.test_platform.world import Deployment

#: Grace periods that a changed settings file may set, in s.
GRACE_PERIODS_S = (3, 4, 6)
#: Time after which a process that doesn't exit by itself is killed, in s. It exceeds every grace
#: period by far, so that a busy machine leads to no kill.
KILL_AFTER_S = 10
#: Time limit for the start of a process, in s.
START_TIMEOUT_S = 30
#: Number of instances of a large deployment for which one more piece of work starts at a time.
INSTANCES_PER_WORK = 10
#: Groups are removed and added again from this number on; callers use the others all the time.
FIRST_REMOVABLE_GROUP = 1

INVALID_SETTINGS = ('', '{', '[]', '{"Node": ""}', '{"Bounds": {"GraceS": "soon"}}')


class PlannedWork:
    """Work that operators announce to the instances, drawn from a seed."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        #: Event of each instance that occurs just before it is told to stop.
        self.alarms: dict[int, Any] = {each: _event() for each in deployment.processes}
        #: Time at which each instance that is shutting down was told to stop, in ms.
        self.stopped_ms: dict[int, int] = {}
        #: Number of processes that had to be killed.
        self.killed = 0
        #: Exit statuses other than 0 of processes that ended by themselves.
        self.bad_exits: list[int] = []
        self._random = Random(f'{seed} work')
        self._stops: dict[int, list[int]] = {each: [] for each in deployment.processes}
        #: Instances that are being stopped or started, or whose settings file is invalid.
        self._reserved: set[int] = set()
        self._new_keys = iter(f'kb{number}' for number in range(100, 100_000))

    def run(self, seconds: int) -> str:
        """Do work in series and overlapping; return its names when all of it has ended."""
        names: list[str] = []
        pool = eventlet.GreenPool()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for _ in range(max(1, len(self.deployment.processes) // INSTANCES_PER_WORK)):
                name = self._random.choice(sorted(WORK))
                names.append(name)
                # Each piece of work has draws of its own, whatever the order of events is.
                pool.spawn_n(WORK[name], self, Random(self._random.random()))
            if self._random.random() < 0.2:
                pool.waitall()
            eventlet.sleep(self._random.uniform(0.1, 1.2))
        pool.waitall()
        return ' '.join(names)

    def end(self) -> None:
        """Let the callers that wait for work go on."""
        for alarm in self.alarms.values():
            alarm.send()

    def wait_until_started(self) -> None:
        """Wait until all instances accept callers."""
        for number in self.deployment.processes:
            self._wait_until_started(number)

    def since_stop(self, req: Request, ended_ms: int) -> str:
        """Return, as text, when a request was sent relative to the last stop of its instance."""
        for stopped_ms in reversed(self._stops[req.instance]):
            # The bound of the end may lie some ms before the stop.
            if stopped_ms <= ended_ms + 50:
                return f', sent at {req.sent_ms - stopped_ms:+} ms from SIGTERM'
        return ', not stopped before'

    # Stops

    def _stop_one(self, random: Random) -> None:
        for number in self._reserve(random, 1):
            self._stop(number, random, [])

    def _stop_several(self, random: Random) -> None:
        pool = eventlet.GreenPool()
        count = random.randint(2, max(2, len(self.deployment.processes) // 2))
        stagger_s = random.choice([0, 0, 0.3, 1])
        for number in self._reserve(random, count):
            pool.spawn_n(self._stop, number, Random(random.random()), [])
            eventlet.sleep(random.uniform(0, stagger_s))
        pool.waitall()

    def _stop_twice(self, random: Random) -> None:
        for number in self._reserve(random, 1):
            self._stop(number, random, [self._repeat_stop] * random.randint(1, 2))

    def _reload_while_stopping(self, random: Random) -> None:
        for number in self._reserve(random, 1):
            works = [self._reload_valid, self._reload_invalid]
            self._stop(number, random, random.choices(works, k=random.randint(1, 3)))

    def _stop(
        self, number: int, random: Random, during: list[Callable[[int, Random], None]]
    ) -> None:
        """Stop an instance, do work while it shuts down, and start it again."""
        process = self.deployment.processes[number]
        self.alarms[number].send()
        eventlet.sleep(random.choice([0, random.uniform(0, 0.005)]))
        process.send_signal(signal.SIGTERM)
        self.stopped_ms[number] = now_ms()
        self._stops[number].append(self.stopped_ms[number])
        for work in during:
            eventlet.sleep(random.uniform(0, 1.5))
            work(number, random)
        deadline_s = time.monotonic() + KILL_AFTER_S
        while process.poll() is None and time.monotonic() < deadline_s:
            eventlet.sleep(0.02)
        if process.poll() is None:
            process.kill()
            self.killed += 1
        elif process.returncode:
            self.bad_exits.append(process.returncode)
        del self.stopped_ms[number]
        self.alarms[number] = _event()
        self.deployment.start(number)
        self._wait_until_started(number)
        self._reserved.discard(number)

    def _repeat_stop(self, number: int, _: Random) -> None:
        self.deployment.processes[number].send_signal(signal.SIGTERM)

    # Settings

    def _reload(self, random: Random) -> None:
        for number in self._reserve(random, 1):
            for _ in range(random.randint(1, 3)):
                self._reload_valid(number, random)
                eventlet.sleep(random.uniform(0, 0.2))
            self._reserved.discard(number)

    def _reload_bad(self, random: Random) -> None:
        for number in self._reserve(random, 1):
            self._reload_invalid(number, random)
            eventlet.sleep(random.uniform(0.05, 1))
            self._reload_valid(number, random)
            self._reserved.discard(number)

    def _reload_valid(self, number: int, random: Random) -> None:
        settings = self.deployment.settings(number)
        settings['Bounds']['GraceS'] = random.choice(GRACE_PERIODS_S)
        settings['Limits']['LinkMbps'] = random.choice([500.0, 1000.0])
        self._hang_up(number, json.dumps(settings))

    def _reload_invalid(self, number: int, random: Random) -> None:
        self._hang_up(number, random.choice(INVALID_SETTINGS))

    def _hang_up(self, number: int, text: str) -> None:
        self.deployment.settings_path(number).write_text(text)
        self.deployment.processes[number].send_signal(signal.SIGHUP)

    # Configurations

    def _configure_once(self, random: Random) -> None:
        self._change_configuration(random)

    def _configure_in_series(self, random: Random) -> None:
        for _ in range(random.randint(2, 5)):
            self._change_configuration(random)
            eventlet.sleep(random.uniform(0.1, 0.5))

    def _configure_in_a_storm(self, random: Random) -> None:
        for _ in range(random.randint(10, 40)):
            self._change_configuration(random)
            eventlet.sleep(random.choice([0, random.uniform(0, 0.05)]))

    def _change_configuration(self, random: Random) -> None:
        deployment = self.deployment
        change = random.choice(['nothing', 'routes', 'limits', 'key', 'key', 'group'])
        keys = deployment.keys['big']
        if change == 'routes':
            deployment.extra_routes = random.randint(0, 20)
        elif change == 'limits':
            deployment.tx_idle_ms = random.choice([1_000, 3_000, 10_000])
            deployment.rates['big'] = random.choice([50_000, 100_000])
            deployment.connection_limit = random.choice([12, 16])
        elif change == 'key' and len(keys) > 1 and random.random() < 0.5:
            keys.remove(random.choice(keys))
        elif change == 'key':
            keys.append(next(self._new_keys))
        elif change == 'group':
            names = [each.name for each in deployment.groups[FIRST_REMOVABLE_GROUP:]]
            deployment.removed_groups ^= {random.choice(names)} if names else set()
        deployment.configure()

    # Instances

    def _reserve(self, random: Random, count: int) -> list[int]:
        """Return up to a number of instances that no other work uses, and reserve them."""
        numbers = sorted(self.deployment.processes)
        random.shuffle(numbers)
        free = [each for each in numbers if each not in self._reserved][:count]
        self._reserved.update(free)
        return free

    def _wait_until_started(self, number: int) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                connect(self.deployment.caller_address(number), 1_000).close()
                return
            except OSError:
                eventlet.sleep(0.05)
        raise TimeoutError(f'gw-{number} has not started within {START_TIMEOUT_S} s')


WORK: dict[str, Callable[[PlannedWork, Random], None]] = {
    'stop_one': PlannedWork._stop_one,
    'stop_several': PlannedWork._stop_several,
    'stop_twice': PlannedWork._stop_twice,
    'reload': PlannedWork._reload,
    'reload_bad': PlannedWork._reload_bad,
    'reload_while_stopping': PlannedWork._reload_while_stopping,
    'configure_once': PlannedWork._configure_once,
    'configure_in_series': PlannedWork._configure_in_series,
    'configure_in_a_storm': PlannedWork._configure_in_a_storm,
}


def _event() -> Any:
    return eventlet.event.Event()
