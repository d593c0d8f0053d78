"""Processes of the soak: each is ended with its run, and none runs beside its successor."""

from __future__ import annotations

import signal
from types import SimpleNamespace

import pytest

from godwitthread.loop import eventlet
from tests.test_platform import world
from tests.test_platform.world import Deployment


class Process:
    """Process that ends at the first signal; starting it lets other green threads run."""

    started: list[Process] = []  # noqa: RUF012

    def __init__(self, *_args, **_options) -> None:
        self.ended = False
        Process.started.append(self)
        eventlet.sleep(0)

    def send_signal(self, _signal) -> None:
        self.ended = True

    def kill(self) -> None:
        self.ended = True

    def poll(self) -> int | None:
        return 0 if self.ended else None

    def wait(self) -> int:
        assert self.ended
        return 0


@pytest.fixture
def deployment(tmp_path, monkeypatch):
    """Build a deployment of one instance without its stand-ins."""
    monkeypatch.setattr(world, 'subprocess', SimpleNamespace(Popen=Process), raising=True)
    Process.started.clear()
    made = object.__new__(Deployment)
    made.folder, made.processes, made.stopping = tmp_path, {}, False
    made._starting = set()
    made.settings = lambda number: {}
    made.start(0)
    return made


def test_two_restarts_at_once_start_one_process(deployment):
    """Guard against a second process of an instance, which answers its peers as well."""
    pool = eventlet.GreenPool()
    for _ in range(2):
        pool.spawn_n(deployment.restart, 0, signal.SIGKILL)
    pool.waitall()
    assert [each.ended for each in Process.started] == [True, False]


def test_a_process_that_starts_while_the_run_ends_is_ended(deployment):
    """Guard against a process that goes on after its run and holds the ports of the next one."""
    thread = eventlet.spawn(deployment.restart, 0, signal.SIGKILL)
    while len(Process.started) < 2:
        eventlet.sleep(0)
    deployment.close()
    thread.wait()
    assert all(each.ended for each in Process.started)
