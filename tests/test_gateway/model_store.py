"""Model of the store that keeps the content of each version, and answers from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.store_version import combine, counter_of, era_of
from godwitthread.gateway.ports import StoredRow, StoredRows

if TYPE_CHECKING:
    from random import Random

#: Keys and values of the rows of one table, with the counter at which each was written.
Rows = dict[str, tuple[bytes, int]]

KEYS = 'abcdef'
#: Maximum number of versions that are lost with a restore, or that a whole read is behind.
MAX_LOST = 5


class ModelStore:
    """Store with one table, which can be restored from an older copy."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._era = self._counter = 0
        self._rows: Rows = {}
        #: Content of the table by version, and key that each counter wrote.
        self._contents: dict[int, Rows] = {0: {}}
        self._written: dict[int, str] = {}
        self.write()

    def write(self) -> None:
        """Write or remove a row."""
        self._counter += 1
        key = self._random.choice(KEYS)
        if key in self._rows and self._random.random() < 0.3:
            del self._rows[key]
        else:
            self._rows[key] = f'{self._era}.{self._counter}'.encode(), self._counter
        self._written[self._counter] = key
        self._contents[combine(self._era, self._counter)] = dict(self._rows)

    def restore(self) -> None:
        """Come back from an older copy in the next era."""
        former_era, self._era = self._era, self._era + 1
        self._counter -= self._random.randint(0, min(MAX_LOST, self._counter - 1))
        for counter in range(self._counter + 1):
            content = self._contents[combine(former_era, counter)]
            self._contents[combine(self._era, counter)] = content
        self._rows = dict(self._contents[combine(self._era, self._counter)])

    def content(self, revision: int) -> Rows:
        """Return the content of the table at a version."""
        return self._contents[revision]

    def table(self) -> StoredRows:
        """Return the whole table, which may be that of an older version."""
        behind = self._random.choice([0, 0, MAX_LOST])
        revision = combine(self._era, max(1, self._counter - behind))
        rows = self._contents[revision].items()
        return StoredRows(
            tuple(StoredRow(key, value, combine(self._era, at)) for key, (value, at) in rows),
            revision,
        )

    def changes(self, revision: int) -> StoredRows | None:
        """Return the changes since a version, None if the client must read the whole table."""
        after = counter_of(revision)
        if era_of(revision) != self._era or after > self._counter:
            return None
        keys = {self._written[counter] for counter in range(after + 1, self._counter + 1)}
        rows = []
        for key in sorted(keys):
            value, at = self._rows.get(key, (None, self._counter))
            rows.append(StoredRow(key, value, combine(self._era, at)))
        return StoredRows(tuple(rows), combine(self._era, self._counter))
