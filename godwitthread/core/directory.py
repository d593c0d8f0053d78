"""Newest known primary of every database, from group reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwitthread.core.failover_types import GroupReport


class GroupDirectory:
    """Merge group reports, which may be delayed, repeated or out of order."""

    def __init__(self) -> None:
        self._reports: dict[str, GroupReport] = {}

    def merge(self, report: GroupReport) -> bool:
        """Store a report if its term is newer than the known one; return whether it was stored."""
        known = self._reports.get(report.database)
        if known is not None and known.term >= report.term:
            return False
        self._reports[report.database] = report
        return True

    def get(self, database: str) -> GroupReport | None:
        """Return the report with the newest term of a database."""
        return self._reports.get(database)

    def remove(self, database: str) -> None:
        """Remove a database that is no longer in the manifest."""
        self._reports.pop(database, None)
