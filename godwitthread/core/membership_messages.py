"""Messages exchanged by members and distributors."""

from __future__ import annotations

from typing import NamedTuple

# msgspec resolves the annotations of messages at run time.
from godwitthread.core.configuration import Head  # noqa: TC001


class Echo(NamedTuple):
    """Newest message received from the addressee; proves that this message was created later."""

    #: Incarnation that sent that message; the clock differs between incarnations.
    incarnation: int
    #: `sent_ms` of that message.
    sent_ms: int


class Heartbeat(NamedTuple):
    """Heartbeat of a member to its distributors."""

    name: str
    incarnation: int
    #: Version in force at the member.
    version: int
    #: Monotonic time of the member when it sent the heartbeat, in ms.
    sent_ms: int
    #: Newest summary received from this distributor, None if there is none.
    echo: Echo | None
    #: Whether the member is shutting down.
    leaving: bool = False
    #: Whether the member has started but not served requests yet.
    joining: bool = False


class Summary(NamedTuple):
    """State of a distributor, sent in answer to heartbeats and to the other distributors."""

    name: str
    incarnation: int
    #: Head in force at the distributor.
    head: Head
    #: Highest version that the distributor knows to be settled.
    settled_version: int
    #: Monotonic time of the distributor when it sent the summary, in ms.
    sent_ms: int
    #: Newest message received from the addressee, None if there is none.
    echo: Echo | None
    #: Age in ms of the distributor's newest read of the head that showed no higher version.
    store_age_ms: int | None
    #: Age in ms of the evidence that a majority of the seats had no higher version.
    majority_age_ms: int | None
    #: Bitmap over the seats from which a message came directly at most `heard_age_ms` ago and
    #: which have no higher version.
    heard: bytes = b''
    #: Age in ms of the oldest message that `heard` is based on.
    heard_age_ms: int = 0
    #: Bitmap over the seats known to have this version or a higher one.
    current: bytes = b''
    #: Bitmap over the seats that the distributor suspects.
    suspected: bytes = b''
    #: Whether the distributor does not know the rosters before its first version.
    newcomer: bool = False


def echoed_ms(echo: Echo | None, incarnation: int, now_ms: int) -> int | None:
    """Return the earliest local time at which a message can have been created.

    Return None if the echo does not prove one.
    """
    if echo is None or echo.incarnation != incarnation or echo.sent_ms > now_ms:
        return None
    return echo.sent_ms


def pack_bits(indexes: list[int], count: int) -> bytes:
    """Return a bitmap of `count` bits in which the given bits are set."""
    value = 0
    for index in indexes:
        value |= 1 << index
    return value.to_bytes((count + 7) // 8, 'little')


def unpack_bits(bitmap: bytes, count: int) -> list[int]:
    """Return the indexes below `count` of the set bits."""
    value = int.from_bytes(bitmap, 'little')
    return [index for index in range(count) if value >> index & 1]
