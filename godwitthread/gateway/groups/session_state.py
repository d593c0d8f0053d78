"""Session values and prepared statements on the connections to members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from godwitthread.core.statements import Prepared, RunRequest
    from godwitthread.gateway.ports import Connection


def apply_session_state(conn: Connection, req: RunRequest, left_ms: int) -> bool:
    """Set the values and prepared statements of the session on a connection."""
    values = dict(req.values)
    if conn.values.keys() - values.keys():
        if not conn.reset(left_ms):
            return False
        conn.values, conn.prepared = {}, set()
    for name, value in values.items():
        if conn.values.get(name) != value:
            if not conn.set_value(name, value, left_ms):
                return False
            conn.values[name] = value
    if req.prepared is not None:
        name = prepared_name(req.prepared)
        if name not in conn.prepared:
            if not conn.prepare(name, req.prepared, left_ms):
                return False
            conn.prepared.add(name)
    return True


def prepared_name(prepared: Prepared) -> str:
    """Return the name of a prepared statement, the same for all sessions that share its text."""
    return f'g{xxhash.xxh64_hexdigest(f"{prepared.read_only}{prepared.shape}".encode())}'
