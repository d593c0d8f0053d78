"""Table of the measures and promises at the end of the demonstration."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.invariants import Promise

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwitthread.demo.deployment import Deployment
    from godwitthread.demo.workload import Sample

#: Bound of the failover gap in ms.
FAILOVER_LIMIT_MS = 8_000
#: Time after which a failure domain that was taken out gets no new work, in ms.
OUT_LIMIT_MS = 3_000
#: Smallest share of reads that replicas must serve where the age allows it.
REPLICA_SHARE_MIN = 0.95
#: Smallest share of in-rate requests of every organisation answered in time.
WORST_SERVED_MIN = 0.99


class Marks(NamedTuple):
    """Times of the provoked failures, monotonic in ms."""

    cut_ms: int
    cut_database: str
    out_ms: int
    in_ms: int


class Line(NamedTuple):
    """One line of the table."""

    name: str
    value: str
    target: str
    holds: bool
    #: Whether anything was checked.
    checked: bool = True

    @property
    def verdict(self) -> str:
        """Return the word in the last column."""
        if not self.checked:
            return 'no case'
        return 'ok' if self.holds else 'MISSED'


def lines(
    deployment: Deployment, samples: Sequence[Sample], hurried: Sequence[Sample], marks: Marks
) -> list[Line]:
    """Return every measure and every promise with its verdict.

    Hurried writes are compared with the logs, and count for no measure of service.
    """
    return [
        *_measures(samples, marks, deployment.late_work),
        *_comparisons(deployment, [*samples, *hurried]),
        *_promises(deployment),
    ]


def render(table: Sequence[Line]) -> str:
    """Return the table as text."""
    rows = [('measure or promise', 'seen', 'target', '')]
    rows += [(line.name, line.value, line.target, line.verdict) for line in table]
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    return '\n'.join(
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )


def _measures(samples: Sequence[Sample], marks: Marks, late_work: int) -> list[Line]:
    reads = [each for each in samples if each.kind == 'read' and each.outcome == 'done']
    share = sum(each.served_by == 'replica' for each in reads) / max(1, len(reads))
    gap_ms = _failover_gap_ms(samples, marks)
    worst = _worst_served(samples)
    refusals = sum(each.error == 'rate_limited' for each in samples)
    during = [each for each in samples if each.begun_ms >= marks.out_ms]
    failed = sum(each.outcome != 'done' for each in during)
    return [
        Line(
            'replica_read_share',
            f'{share:.3f}',
            f'>= {REPLICA_SHARE_MIN}',
            share >= REPLICA_SHARE_MIN,
        ),
        Line(
            'failover_gap_ms',
            str(gap_ms),
            f'<= {FAILOVER_LIMIT_MS}',
            0 <= gap_ms <= FAILOVER_LIMIT_MS,
        ),
        Line(
            'worst_served_ratio',
            f'{worst:.3f}',
            f'>= {WORST_SERVED_MIN}',
            worst >= WORST_SERVED_MIN,
        ),
        Line('wrongful_refusals', str(refusals), '0', refusals == 0),
        Line('failed_requests, failure domain out and back', str(failed), '0', failed == 0),
        Line('failure_domain_late_work', str(late_work), '0', late_work == 0),
    ]


def _failover_gap_ms(samples: Sequence[Sample], marks: Marks) -> int:
    """Return the time from the cut to the first write acknowledged after it, or -1."""
    ended = [
        each.ended_ms
        for each in samples
        if each.kind == 'write'
        and each.outcome == 'done'
        and each.database == marks.cut_database
        and each.begun_ms >= marks.cut_ms
    ]
    return min(ended) - marks.cut_ms if ended else -1


def _worst_served(samples: Sequence[Sample]) -> float:
    total: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for each in samples:
        total[each.organisation] += 1
        served[each.organisation] += each.outcome == 'done'
    return min((served[name] / count for name, count in total.items()), default=0.0)


def _comparisons(deployment: Deployment, samples: Sequence[Sample]) -> list[Line]:
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
        Line(f'{name} (of {total} writes)', str(count), '0', count == 0)
        for name, count in counts.items()
    ]


def _promises(deployment: Deployment) -> list[Line]:
    checks: Counter[Promise] = Counter()
    violations: Counter[Promise] = Counter()
    for instance in (*deployment.instances, *deployment.stopped):
        checks.update(instance.state.invariants.checks)
        violations.update(instance.state.invariants.violations)
    return [
        Line(
            f'promise {promise.value}',
            f'{violations[promise]} violations in {checks[promise]} checks',
            '0',
            violations[promise] == 0,
            checks[promise] > 0,
        )
        for promise in Promise
    ]
