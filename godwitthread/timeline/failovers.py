"""Grouping of events by failover or planned handover."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.timeline.merge import Record, process_of

#: Longest interval between two events of a database that belong to the same failover, in
#: ms. A failover takes at most 8,000 ms.
MAX_EVENT_GAP_MS = 8_000
#: Events that can start a failover. `primary_changed` is not among them: a starting
#: instance also reports it when it first learns of the primary.
START_EVENTS = frozenset(
    {
        'primary_suspected',
        'fence_started',
        'member_promoted',
        'promotion_failed',
        'handover_started',
    }
)


class Failover(NamedTuple):
    """Events of one change of primary, in causal order."""

    database: str
    records: tuple[Record, ...]

    @property
    def start_ms(self) -> int:
        """Return the wall time of the first event, in ms."""
        return int(self.records[0]['wall_ms'])

    @property
    def duration_ms(self) -> int:
        """Return the time from the first to the last event, in ms."""
        return int(self.records[-1]['wall_ms']) - self.start_ms

    @property
    def promoted(self) -> str | None:
        """Return the member promoted last, None if there was no promotion."""
        members = [r.get('member') for r in self.records if r['event'] == 'member_promoted']
        return str(members[-1]) if members else None


def failovers(records: list[Record]) -> list[Failover]:
    """Group records by failover, in the order of the first events."""
    groups: list[list[Record]] = []
    latest_groups: dict[str, list[Record]] = {}
    for record in records:
        database = record.get('database')
        if record['number'] // 100 != 3 or database is None:
            continue
        group = latest_groups.get(database)
        if group is None or record['wall_ms'] - group[-1]['wall_ms'] > MAX_EVENT_GAP_MS:
            if record['event'] not in START_EVENTS:
                latest_groups.pop(database, None)
                continue
            group = latest_groups[database] = []
            groups.append(group)
        group.append(record)
    return [Failover(str(group[0]['database']), tuple(group)) for group in groups]


def title(failover: Failover) -> str:
    """Return a one-line summary of a failover."""
    planned = any(record['event'] == 'handover_started' for record in failover.records)
    kind = 'planned handover' if planned else 'failover'
    result = failover.promoted or 'no member'
    instances = len({process_of(record) for record in failover.records})
    return (
        f'{kind} of {failover.database}: {result} promoted, {failover.duration_ms} ms, '
        f'{len(failover.records)} events on {instances} instances'
    )
