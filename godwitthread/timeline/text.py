"""Timeline as plain text."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from godwitthread.events import CATALOGUE
from godwitthread.timeline.failovers import failovers, title
from godwitthread.timeline.merge import Record, details, process_of


def render(records: list[Record]) -> str:
    """Return one line per event, with a heading before the first event of a failover."""
    headings = {id(each.records[0]): title(each) for each in failovers(records)}
    failover_records = {id(r): each.database for each in failovers(records) for r in each.records}
    width = max((len(process_of(record)) for record in records), default=0)
    lines = []
    for record in records:
        if id(record) in headings:
            lines.append(f'== {headings[id(record)]}')
        margin = '|' if id(record) in failover_records else ' '
        lines.append(f'{margin} {format_event(record, width)}')
    return '\n'.join(lines) or 'no events'


def format_event(record: Record, width: int = 0) -> str:
    """Format an event as one line: time, process, number, text and details."""
    fields_text = ' '.join(
        f'{name}={single_line(value)}' for name, value in details(record).items()
    )
    prefix = f'{format_wall_time(record)}  {process_of(record).ljust(width)}  {record["number"]}'
    return f'{prefix} {event_text(record)}  {fields_text}'.rstrip()


def format_wall_time(record: Record) -> str:
    """Return date and time of an event in UTC, with the logical counter of its stamp."""
    moment = datetime.fromtimestamp(record['wall_ms'] / 1000, UTC)
    return f'{moment:%Y-%m-%d %H:%M:%S}.{record["wall_ms"] % 1000:03d}+{record["counter"]}'


def event_text(record: Record) -> str:
    """Return the catalogue text of an event, or its name if it is not in the catalogue."""
    entry = CATALOGUE.get(record['number'])
    return entry.text if entry else str(record['event'])


def single_line(value: Any) -> str:
    """Return the text of a value with its line breaks escaped."""
    return str(value).replace('\n', '\\n')
