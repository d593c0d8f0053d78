"""Merging, parsing and filtering of event records of several processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Event record in the format of `godwitthread.events.EventLog`.
Record = dict[str, Any]

#: Names of the ranges of event numbers, by the first number of each range.
RANGES = {
    100: 'instance',
    200: 'configuration',
    300: 'failover',
    400: 'requests',
    500: 'rates',
    600: 'connections',
    700: 'invariants',
    800: 'stand-ins',
}

_STAMP_FIELDS = ('wall_ms', 'counter', 'sequence', 'number')


class Selection(NamedTuple):
    """Filter of event records; None accepts any value."""

    organisation: str | None = None
    database: str | None = None
    request: str | None = None
    #: Start and end of the period (inclusive) by wall clock, in ms since the epoch.
    from_ms: int | None = None
    to_ms: int | None = None


class ParsedLog(NamedTuple):
    """Event records of a log and the number of other lines."""

    records: list[Record]
    skipped: int


def merge(streams: Iterable[Iterable[Record]]) -> list[Record]:
    """Return the records of all streams in causal order, without duplicates.

    The stamps come from a hybrid logical clock, so an event has a later stamp than the
    events that caused it. Concurrent events with equal stamps are ordered by process.
    """
    unique_records: dict[tuple[Any, ...], Record] = {}
    for stream in streams:
        for record in stream:
            # Sequence numbers restart with each incarnation of an instance.
            identity = (process_of(record), record.get('incarnation'), record['sequence'])
            unique_records.setdefault(identity, record)
    return sorted(unique_records.values(), key=_sort_key)


def select(records: Iterable[Record], selection: Selection) -> list[Record]:
    """Return the records that match the selection, in their order."""
    return [record for record in records if _matches(record, selection)]


def parse(text: str) -> ParsedLog:
    """Parse event records in JSON lines; other log lines are skipped and counted."""
    records: list[Record] = []
    skipped = 0
    for line in text.splitlines():
        record = _parse_record(line)
        if record is not None:
            records.append(record)
        elif line.strip():
            skipped += 1
    return ParsedLog(records, skipped)


def process_of(record: Record) -> str:
    """Return the name of the process that recorded an event."""
    return str(record.get('instance', 'unknown'))


def details(record: Record) -> dict[str, Any]:
    """Return the fields of a record without its stamp, number, name and source."""
    excluded = {*_STAMP_FIELDS, 'event', 'instance', 'incarnation'}
    return {name: value for name, value in record.items() if name not in excluded}


def range_of(record: Record) -> str:
    """Return the name of the range of the event number of a record."""
    return RANGES.get(record['number'] // 100 * 100, 'other')


def _sort_key(record: Record) -> tuple[int, int, str, int]:
    return record['wall_ms'], record['counter'], process_of(record), record['sequence']


def _matches(record: Record, selection: Selection) -> bool:
    if selection.from_ms is not None and record['wall_ms'] < selection.from_ms:
        return False
    if selection.to_ms is not None and record['wall_ms'] > selection.to_ms:
        return False
    conditions = (
        (selection.organisation, record.get('organisation')),
        (selection.database, record.get('database')),
        (selection.request, record.get('request', record.get('request_id'))),
    )
    return all(value is None or str(actual) == value for value, actual in conditions)


def _parse_record(line: str) -> Record | None:
    # The logging format may put a prefix before the record.
    start = line.find('{')
    if start < 0:
        return None
    try:
        value = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(value, dict) or not isinstance(value.get('event'), str):
        return None
    if not all(isinstance(value.get(name), int) for name in _STAMP_FIELDS):
        return None
    return value
