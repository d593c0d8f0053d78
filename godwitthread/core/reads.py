"""Requirements of reads and the routing decisions made for them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from godwitthread.types import Position


class ReadRequirements(NamedTuple):
    """Requirements of a read."""

    #: Newest position of the session in the database, which the read must include.
    min_position: Position | None
    #: Accepted staleness of the data in ms; None requires the primary.
    max_age_ms: int | None
    deadline_ms: int
    #: Whether the read has already waited for a replica.
    waited: bool = False


class ReadTarget(Enum):
    """Kinds of routing decisions for a read."""

    MEMBER = 'member'
    WAIT = 'wait'
    PRIMARY = 'primary'


class ReadChoice(NamedTuple):
    """Member on which a read runs, or the wait before the next decision."""

    target: ReadTarget
    #: Member that runs the read; with WAIT, the member to probe, if any.
    member: str | None
    #: Newest term known at the decision.
    term: int
    #: Position that the chosen replica is known to have reached.
    position: Position | None = None
    wait_ms: int = 0
    #: Latest time at which the read may be sent, None if unbounded.
    send_until_ms: int | None = None
    #: Whether an acknowledged write of the session is missing from the group.
    lost: bool = False
