"""Timeline in the Chrome trace event format."""

from __future__ import annotations

from typing import Any

from godwitthread.timeline.failovers import Failover, failovers, title
from godwitthread.timeline.merge import Record, details, process_of, range_of

#: Process id of the track that shows the failovers.
FAILOVER_PID = 0


def render(records: list[Record]) -> dict[str, Any]:
    """Return a trace with one process per instance and one for the failovers."""
    names = sorted({process_of(record) for record in records})
    pids = {name: pid for pid, name in enumerate(names, start=1)}
    events = [
        _process_name_event(FAILOVER_PID, 'failovers'),
        *(_process_name_event(pids[name], name) for name in names),
    ]
    events += [_failover_event(each, number) for number, each in enumerate(failovers(records))]
    events += [_instant_event(record, pids[process_of(record)]) for record in records]
    return {'traceEvents': events, 'displayTimeUnit': 'ms'}


def _process_name_event(pid: int, name: str) -> dict[str, Any]:
    return {'ph': 'M', 'name': 'process_name', 'pid': pid, 'tid': 0, 'args': {'name': name}}


def _failover_event(failover: Failover, number: int) -> dict[str, Any]:
    return {
        'ph': 'X',
        'name': title(failover),
        'cat': 'failover',
        'ts': failover.start_ms * 1000,
        'dur': failover.duration_ms * 1000,
        'pid': FAILOVER_PID,
        'tid': number,
        'args': {'database': failover.database},
    }


def _instant_event(record: Record, pid: int) -> dict[str, Any]:
    # The logical counter orders events within one millisecond; capped below the next one.
    return {
        'ph': 'i',
        's': 'p',
        'name': record['event'],
        'cat': range_of(record),
        'ts': record['wall_ms'] * 1000 + min(record['counter'], 999),
        'pid': pid,
        'tid': record['number'] // 100,
        'args': details(record),
    }
