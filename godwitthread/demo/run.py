"""Run the demonstration: workload, a primary cut off, a failure domain out and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.clock import Clock
from godwitthread.demo import report
from godwitthread.demo.deployment import Deployment
from godwitthread.demo.report import Marks
from godwitthread.demo.workload import Role, Workload
from godwitthread.loop import eventlet
from godwitthread.manifest.changes import set_failure_domain

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.demo.report import Line

ROLES = {
    'fjordkjol': (
        Role('driver', 'drivers', 'orders', 8, 150, 0.7),
        Role('planner', 'planning', 'routes', 4, 200, 0.3, transactions=True),
        Role('customer', 'portal', 'bottles', 8, 150, 0.1),
    ),
    'camara': (
        Role('counter', 'counters-montevideo', 'stock', 8, 150, 0.3),
        Role('workshop', 'workshops', 'reservations', 6, 150, 0.6),
        Role('clerk', 'clerks', 'catalogue', 4, 200, 0.1, transactions=True),
    ),
}
STEADY_S = 6
AFTER_CUT_S = 6
OUT_S = 7
BACK_S = 4
STOPPED_S = 2


class Demonstration:
    """Drive one deployment through the failures and report."""

    def __init__(self, name: str, seed: int, say: Callable[[str], None]) -> None:
        self.deployment = Deployment(name)
        self._say = say
        self._clock = Clock()
        self._workload = Workload(
            lambda: self.deployment.url, lambda: self.deployment.keys, ROLES[name], seed
        )

    def run(self) -> list[Line]:
        """Return the table of measures and promises."""
        deployment = self.deployment
        self._say(f'starting {deployment.name}: 3 databases, 9 instances, a balancer')
        deployment.start()
        self._workload.prepare()
        self._workload.start()
        self._phase('steady load', STEADY_S)
        database = ROLES[deployment.name][0].database
        primary = deployment.cut_primary(database)
        cut_ms = self._clock.now_ms()
        self._workload.hurry(ROLES[deployment.name][0])
        self._phase(f'primary {primary} cut off', AFTER_CUT_S)
        deployment.heal(database, primary)
        domain = deployment.domains[0]
        out_ms = self._set_domain(domain, 'out')
        eventlet.sleep(report.OUT_LIMIT_MS / 1000)
        deployment.watch_late_work(domain)
        self._phase(f'failure domain {domain} out', OUT_S - report.OUT_LIMIT_MS / 1000)
        deployment.stop_watching()
        in_ms = self._set_domain(domain, 'in')
        self._phase(f'failure domain {domain} back in', BACK_S)
        leaving = deployment.instances[-1]
        deployment.stop_instance(leaving)
        self._phase(f'instance {leaving.state.seat.name} stopped gracefully', STOPPED_S)
        self._workload.stop()
        marks = Marks(cut_ms, database, out_ms, in_ms)
        workload = self._workload
        return report.lines(deployment, workload.samples, workload.hurried, marks)

    def _set_domain(self, domain: str, state: str) -> int:
        change = set_failure_domain(domain, state)
        self.deployment.repository().change_manifest(change, 'demo', f'{domain} {state}')
        return self._clock.now_ms()

    def _phase(self, name: str, seconds: float) -> None:
        before = len(self._workload.samples)
        eventlet.sleep(seconds)
        recent = self._workload.samples[before:]
        done = sum(each.outcome == 'done' for each in recent)
        self._say(f'{name}: {done} of {len(recent)} requests answered in {seconds:.0f} s')
