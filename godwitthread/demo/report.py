"""Result table of the demonstration: measures and promises."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.invariants import Promise

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwitthread.demo.deployment import Deployment
    from godwitthread.demo.workload import Sample

#: Maximum failover gap in ms.
FAILOVER_LIMIT_MS = 8_000
#: Time after which a failure domain that was taken out receives no new work, in ms.
DOMAIN_OUT_LIMIT_MS = 3_000
#: Minimum share of reads served by replicas, among reads whose accepted age allows it.
REPLICA_READ_SHARE_MIN = 0.95
#: Minimum share of requests within the rate that are answered in time, for each organisation.
WORST_SERVED_RATIO_MIN = 0.99


class FaultTimes(NamedTuple):
    """Monotonic times of the injected faults, in ms."""

    cut_ms: int
    cut_database: str
    domain_out_ms: int
    domain_in_ms: int


class TableRow(NamedTuple):
    """Row of the result table."""

    name: str
    value: str
    target: str
    passed: bool
    #: False if no case occurred in which the promise could be checked.
    checked: bool = True

    @property
    def verdict(self) -> str:
        """Return the text of the last column."""
        if not self.checked:
            return 'no case'
        return 'ok' if self.passed else 'MISSED'


def table_rows(
    deployment: Deployment,
    samples: Sequence[Sample],
    short_deadline_samples: Sequence[Sample],
    fault_times: FaultTimes,
) -> list[TableRow]:
    """Return a row for each measure and each promise.

    Writes with a short deadline are only compared with the logs of the members; the service
    measures exclude them.
    """
    return [
        *_measure_rows(samples, fault_times, deployment.late_work),
        *_write_check_rows(deployment, [*samples, *short_deadline_samples]),
        *_promise_rows(deployment),
    ]


def render(table: Sequence[TableRow]) -> str:
    """Format the table as text."""
    rows = [('measure or promise', 'seen', 'target', '')]
    rows += [(line.name, line.value, line.target, line.verdict) for line in table]
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    return '\n'.join(
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )


def _measure_rows(
    samples: Sequence[Sample], fault_times: FaultTimes, late_work: int
) -> list[TableRow]:
    reads = [each for each in samples if each.kind == 'read' and each.outcome == 'done']
    share = sum(each.served_by == 'replica' for each in reads) / max(1, len(reads))
    gap_ms = _failover_gap_ms(samples, fault_times)
    worst = _worst_served(samples)
    refusals = sum(each.error == 'rate_limited' for each in samples)
    after_domain_out = [each for each in samples if each.begun_ms >= fault_times.domain_out_ms]
    failed = sum(each.outcome != 'done' for each in after_domain_out)
    return [
        TableRow(
            'replica_read_share',
            f'{share:.3f}',
            f'>= {REPLICA_READ_SHARE_MIN}',
            share >= REPLICA_READ_SHARE_MIN,
        ),
        TableRow(
            'failover_gap_ms',
            str(gap_ms),
            f'<= {FAILOVER_LIMIT_MS}',
            0 <= gap_ms <= FAILOVER_LIMIT_MS,
        ),
        TableRow(
            'worst_served_ratio',
            f'{worst:.3f}',
            f'>= {WORST_SERVED_RATIO_MIN}',
            worst >= WORST_SERVED_RATIO_MIN,
        ),
        TableRow('wrongful_refusals', str(refusals), '0', refusals == 0),
        TableRow('failed_requests, failure domain out and back', str(failed), '0', failed == 0),
        TableRow('failure_domain_late_work', str(late_work), '0', late_work == 0),
    ]


def _failover_gap_ms(samples: Sequence[Sample], fault_times: FaultTimes) -> int:
    """Return the time from the loss of the primary to the next acknowledged write, or -1."""
    ended = [
        each.ended_ms
        for each in samples
        if each.kind == 'write'
        and each.outcome == 'done'
        and each.database == fault_times.cut_database
        and each.begun_ms >= fault_times.cut_ms
    ]
    return min(ended) - fault_times.cut_ms if ended else -1


def _worst_served(samples: Sequence[Sample]) -> float:
    total: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for each in samples:
        total[each.organisation] += 1
        served[each.organisation] += each.outcome == 'done'
    return min((served[name] / count for name, count in total.items()), default=0.0)


def _write_check_rows(deployment: Deployment, samples: Sequence[Sample]) -> list[TableRow]:
    surviving: Counter[str] = Counter()
    for group in deployment.groups.values():
        for record in group.surviving():
            surviving.update(
                str(entry.params['1'])
                for entry in record.statements
                if entry.sql.startswith('INSERT INTO confirmations')
            )
    writes = [each for each in samples if each.kind == 'write']
    lost = sum(each.outcome == 'done' and not surviving[each.write_id] for each in writes)
    doubled = sum(count > 1 for count in surviving.values())
    false_not_run = sum(each.outcome == 'not_run' and surviving[each.write_id] for each in writes)
    stale = sum(each.stale for each in samples)
    counts = {
        'lost_writes': lost,
        'doubled_writes': doubled,
        'false_not_run': false_not_run,
        'stale_reads': stale,
    }
    total = len(writes)
    return [
        TableRow(f'{name} (of {total} writes)', str(count), '0', count == 0)
        for name, count in counts.items()
    ]


def _promise_rows(deployment: Deployment) -> list[TableRow]:
    checks: Counter[Promise] = Counter()
    violations: Counter[Promise] = Counter()
    for instance in (*deployment.instances, *deployment.stopped):
        checks.update(instance.state.invariants.checks)
        violations.update(instance.state.invariants.violations)
    return [
        TableRow(
            f'promise {promise.value}',
            f'{violations[promise]} violations in {checks[promise]} checks',
            '0',
            violations[promise] == 0,
            checks[promise] > 0,
        )
        for promise in Promise
    ]
