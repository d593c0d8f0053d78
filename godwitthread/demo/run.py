"""Run the demonstration: load, loss of a primary, a failure domain taken out and back in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.clock import Clock
from godwitthread.demo import report
from godwitthread.demo.deployment import Deployment
from godwitthread.demo.report import FaultTimes
from godwitthread.demo.workload import Role, Workload
from godwitthread.loop import eventlet
from godwitthread.manifest.changes import set_failure_domain

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.demo.report import TableRow

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
STEADY_LOAD_S = 6
PRIMARY_CUT_S = 6
DOMAIN_OUT_S = 7
DOMAIN_BACK_S = 4
INSTANCE_STOP_S = 2


class Demonstration:
    """Inject faults into a deployment under load and report the results."""

    def __init__(self, name: str, seed: int, report_progress: Callable[[str], None]) -> None:
        self.deployment = Deployment(name)
        self._report_progress = report_progress
        self._clock = Clock()
        self._workload = Workload(
            lambda: self.deployment.url, lambda: self.deployment.keys, ROLES[name], seed
        )

    def run(self) -> list[TableRow]:
        """Run all phases; return the result table."""
        deployment = self.deployment
        self._report_progress(f'starting {deployment.name}: 3 databases, 9 instances, a balancer')
        deployment.start()
        self._workload.prepare()
        self._workload.start()
        self._run_phase('steady load', STEADY_LOAD_S)
        database = ROLES[deployment.name][0].database
        primary = deployment.cut_primary(database)
        cut_ms = self._clock.now_ms()
        self._workload.send_short_deadline_writes(ROLES[deployment.name][0])
        self._run_phase(f'primary {primary} cut off', PRIMARY_CUT_S)
        deployment.heal(database, primary)
        domain = deployment.domains[0]
        domain_out_ms = self._set_domain_state(domain, 'out')
        eventlet.sleep(report.DOMAIN_OUT_LIMIT_MS / 1000)
        deployment.start_counting_late_work(domain)
        self._run_phase(
            f'failure domain {domain} out', DOMAIN_OUT_S - report.DOMAIN_OUT_LIMIT_MS / 1000
        )
        deployment.stop_counting_late_work()
        domain_in_ms = self._set_domain_state(domain, 'in')
        self._run_phase(f'failure domain {domain} back in', DOMAIN_BACK_S)
        leaving = deployment.instances[-1]
        deployment.stop_instance(leaving)
        self._run_phase(f'instance {leaving.state.seat.name} stopped gracefully', INSTANCE_STOP_S)
        self._workload.stop()
        fault_times = FaultTimes(cut_ms, database, domain_out_ms, domain_in_ms)
        workload = self._workload
        return report.table_rows(
            deployment, workload.samples, workload.short_deadline_samples, fault_times
        )

    def _set_domain_state(self, domain: str, state: str) -> int:
        change = set_failure_domain(domain, state)
        self.deployment.repository().change_manifest(change, 'demo', f'{domain} {state}')
        return self._clock.now_ms()

    def _run_phase(self, name: str, seconds: float) -> None:
        before = len(self._workload.samples)
        eventlet.sleep(seconds)
        recent = self._workload.samples[before:]
        done = sum(each.outcome == 'done' for each in recent)
        self._report_progress(
            f'{name}: {done} of {len(recent)} requests answered in {seconds:.0f} s'
        )
