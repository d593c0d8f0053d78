"""Rows of a table that hold on until a restored store has them again.

A store that comes back from a copy lacks what was written last, until its writers write it again.
An instance that followed the copy would go back to a withdrawn key, an ended failure domain or a
member that drains, and one that starts meanwhile would begin there. Failure: drills in which the
store goes back by seconds, also twice in a row, while instances start or learn of it late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

Row = TypeVar('Row')


class FormerRows(Generic[Row]):
    """Rows of one table as they were before the store was restored."""

    def __init__(self, hold_ms: Callable[[Row, Row | None], float]) -> None:
        #: Version of the newest copy that the rows are from, 0 without a restore.
        self.revision = 0
        #: Rows that the store lacks, or has with an older content, by key.
        self.rows: dict[str, Row] = {}
        self.since_ms = 0
        #: Returns for how long a row holds in place of the one in the store, in ms, infinite until
        #: it is written again.
        self._hold_ms = hold_ms
        #: Row of the store for which the time was determined last, and the time, by key.
        self._holds: dict[str, tuple[Row | None, float]] = {}

    def add(
        self, now_ms: int, revision: int, rows: Mapping[str, Row], current: Mapping[str, Row]
    ) -> bool:
        """Add the rows of a copy from before the restore; return False if newer ones are known."""
        if revision <= self.revision:
            return False
        self.revision, self.since_ms = revision, now_ms
        self.rows = {**self.rows, **rows}
        self._holds.clear()
        self.end(now_ms, current)
        return True

    def end(self, now_ms: int, current: Mapping[str, Row]) -> int:
        """Drop the rows that were written again, or held for long enough; return their number."""
        # A row that was dropped once stays so: its writer may remove it later on.
        age_ms = now_ms - self.since_ms
        ended = [key for key in self.rows if age_ms >= self._held_ms(key, current.get(key))]
        for key in ended:
            del self.rows[key]
        return len(ended)

    def drop(self, key: str) -> None:
        """Drop a row that must not hold any longer."""
        self.rows.pop(key, None)

    def _held_ms(self, key: str, current: Row | None) -> float:
        known = self._holds.get(key)
        if known is not None and known[0] is current:
            return known[1]
        # A configuration of 200 KB takes milliseconds to decode, and this runs 20 times a second.
        hold_ms = self._hold_ms(self.rows[key], current)
        self._holds[key] = current, hold_ms
        return hold_ms

    def over(self, current: Mapping[str, Row]) -> dict[str, Row]:
        """Return the rows of the store with those that hold in place of them."""
        return {**current, **self.rows}
