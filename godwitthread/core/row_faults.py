"""Rows of a store table whose content is not in force, and when to report them.

Load pattern: a malformed row may stay for hours while other rows of its table change several
times a second, and every instance reads all of them. An instance therefore reports a row when it
becomes malformed, not each time that it reads the table.
"""

from __future__ import annotations

from typing import NamedTuple

#: Interval at which a row that is written again and again is reported, in ms.
REPORT_INTERVAL_MS = 10_000


class RowFault(NamedTuple):
    """Content of a row that could not be decoded."""

    #: Store version at which the content was written.
    revision: int
    reason: str


class RowFaultChanges(NamedTuple):
    """Changes to report after a table was read."""

    #: Malformed rows that are new or have new content, by key.
    found: dict[str, RowFault]
    #: Time for which rows were malformed that no longer are, in ms, by key.
    ended_ms: dict[str, int]


class _Record(NamedTuple):
    fault: RowFault
    since_ms: int
    reported_ms: int


class RowFaults:
    """Malformed rows of one table."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def update(self, now_ms: int, faults: dict[str, RowFault]) -> RowFaultChanges:
        """Record the malformed rows of the whole table, and return what to report."""
        known = self._records
        ended_ms = {
            key: now_ms - record.since_ms for key, record in known.items() if key not in faults
        }
        found: dict[str, RowFault] = {}
        self._records = {}
        for key, fault in faults.items():
            record = known.get(key)
            if record is None:
                found[key] = fault
                self._records[key] = _Record(fault, now_ms, now_ms)
            elif record.fault == fault or now_ms - record.reported_ms < REPORT_INTERVAL_MS:
                self._records[key] = record
            else:
                found[key] = fault
                self._records[key] = _Record(fault, record.since_ms, now_ms)
        return RowFaultChanges(found, ended_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return for how long a row has been malformed, 0 if there is none."""
        return max((now_ms - record.since_ms for record in self._records.values()), default=0)
