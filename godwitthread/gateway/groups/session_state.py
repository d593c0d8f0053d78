"""Session values and prepared statements on the connections to members."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwitthread.core.statements import Prepared, RunRequest
    from godwitthread.gateway.ports import Connection

#: Maximum number of statements that stay prepared on one connection.
MAX_PREPARED = 256
#: Maximum number of shapes whose names are remembered, and their total size in characters.
MAX_NAMES = 4_096
MAX_NAMES_SIZE = 16 * 1024 * 1024


def apply_session_state(conn: Connection, req: RunRequest, left_ms: int) -> bool:
    """Set the values and prepared statements of the session; on failure close the connection."""
    applied = False
    try:
        applied = _apply(conn, req, left_ms)
    finally:
        if not applied:
            # A request without an answer may have had its effect at the member.
            conn.close()
    return applied


def prepared_name(prepared: Prepared) -> str:
    """Return the name of a prepared statement, the same for all sessions that share its text."""
    return _names.name_of(prepared)


class PreparedNames:
    """Numbered names of prepared statements; a name never stands for a second shape.

    A name derived from a hash could stand for two shapes that a caller chose for that.
    """

    def __init__(self, limit: int = MAX_NAMES, limit_size: int = MAX_NAMES_SIZE) -> None:
        self._limit = limit
        self._limit_size = limit_size
        #: Names by shape, the least recently used first.
        self._names: OrderedDict[Prepared, str] = OrderedDict()
        self._size = 0
        self._numbers = itertools.count(1)

    def name_of(self, prepared: Prepared) -> str:
        """Return the name of a shape; a shape that was forgotten gets a new one."""
        name = self._names.get(prepared)
        if name is not None:
            self._names.move_to_end(prepared)
            return name
        name = self._names[prepared] = f'g{next(self._numbers)}'
        self._size += len(prepared.shape)
        while len(self._names) > self._limit or self._size > self._limit_size:
            forgotten, _ = self._names.popitem(last=False)
            self._size -= len(forgotten.shape)
        return name


def _apply(conn: Connection, req: RunRequest, left_ms: int) -> bool:
    values = dict(req.values)
    name = prepared_name(req.prepared) if req.prepared is not None else ''
    crowded = len(conn.prepared) >= MAX_PREPARED and name and name not in conn.prepared
    if crowded or conn.values.keys() - values.keys():
        if not conn.reset(left_ms):
            return False
        conn.values, conn.prepared = {}, set()
    for variable, value in values.items():
        if conn.values.get(variable) != value:
            if not conn.set_value(variable, value, left_ms):
                return False
            conn.values[variable] = value
    if req.prepared is not None and name not in conn.prepared:
        if not conn.prepare(name, req.prepared, left_ms):
            return False
        conn.prepared.add(name)
    return True


_names = PreparedNames()
