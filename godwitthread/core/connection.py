"""State of one backend connection and the actions requested by the connection table."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class Open(NamedTuple):
    """Open a connection; report the result with `opened` or `failed`."""

    conn: int
    #: 'read' or 'write'.
    mode: str


class Close(NamedTuple):
    """Close a connection; report completion with `closed`."""

    conn: int


class Reset(NamedTuple):
    """Roll back and discard the session state; report with `reset_done` or `failed`."""

    conn: int


class Assign(NamedTuple):
    """Assign a connection to the request or transaction that waits for it."""

    conn: int
    owner: str


class Refuse(NamedTuple):
    """Reject a waiting request, which has not run."""

    owner: str


Action = Open | Close | Reset | Assign | Refuse


class State(IntEnum):
    """State of a connection; an IntEnum, because hashing a plain Enum member runs in Python."""

    OPENING = 1
    IDLE = 2
    BUSY = 3
    RESETTING = 4
    CLOSING = 5


class PooledConnection:
    """One connection of the table."""

    def __init__(self, conn_id: int, mode: str) -> None:
        self.id = conn_id
        self.mode = mode
        self.state = State.OPENING
        #: Transaction or request to which the connection is assigned.
        self.owner: str | None = None
        #: Request that was sent and has not been answered.
        self.request: str | None = None
        #: Whether the connection must be closed instead of reused.
        self.tainted = False
        #: Time at which the connection became idle, in ms.
        self.idle_since_ms = 0
