"""Data types and messages for dividing rates and connections among instances."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.core.freshness import FRESHNESS_LIMIT_MS

#: Margin added to the freshness limit before the capacity of an unreachable holder is
#: freed; covers differences between the clock rates of two instances.
SHARE_MARGIN_MS = 500
#: Time after a roster version has settled until no instance uses a share that it ended.
QUARANTINE_MS = FRESHNESS_LIMIT_MS + SHARE_MARGIN_MS
#: Milli-units per unit.
MILLI_PER_UNIT = 1_000


class Amount(NamedTuple):
    """Part of a limit: milli-units of rate and burst, or whole connections and 0."""

    units: int
    burst: int = 0

    def component_max(self, other: Amount) -> Amount:
        """Return the component-wise maximum."""
        return Amount(max(self.units, other.units), max(self.burst, other.burst))

    def within(self, other: Amount) -> bool:
        """Return whether no component exceeds that of the other amount."""
        return self.units <= other.units and self.burst <= other.burst


#: Amount of an instance without a share.
ZERO_AMOUNT = Amount(0, 0)


class Limit(NamedTuple):
    """Limit that applies to all instances together."""

    #: Name, such as `rate/<organisation>` or `connections/<database>/<member>`.
    resource: str
    amount: Amount
    #: Whether the limit counts whole connections instead of milli-units of a rate.
    whole: bool = False


class HolderId(NamedTuple):
    """One incarnation of an instance that holds shares."""

    name: str
    incarnation: int


class ShareId(NamedTuple):
    """Identity of a share; the owner increments the sequence with every change."""

    owner: str
    owner_incarnation: int
    #: Configuration version at which the ownership began.
    epoch: int
    sequence: int


class Share(NamedTuple):
    """Amount granted to a holder, with its identity."""

    id: ShareId
    amount: Amount


class ShareRequest(NamedTuple):
    """Demand of a holder and the share that it may be using."""

    resource: str
    holder: str
    incarnation: int
    #: Increases with every request of one holder incarnation.
    number: int
    #: Configuration version in force at the holder.
    version: int
    #: Requested units: milli-units per s or whole connections.
    demand: int
    #: Share in use, None without one.
    held: Share | None
    #: Whether the share is exhausted and the holder waits for more.
    urgent: bool = False
    #: Version in force at the holder before the owner of `held` changed, None if the owner
    #: did not change.
    moved_from: int | None = None
    #: Whether the holder is leaving and no longer uses any part of the limit.
    released: bool = False


class ShareGrant(NamedTuple):
    """Share granted to a holder; replaces every share with a lower sequence."""

    resource: str
    holder: str
    incarnation: int
    share: Share
    #: Number of the latest request that the owner has received from the holder.
    answers: int


class ShareAck(NamedTuple):
    """Confirmation that the holder uses no more than the identified share."""

    resource: str
    holder: str
    incarnation: int
    id: ShareId


ShareMessage = ShareRequest | ShareGrant | ShareAck


class ShareBatch(NamedTuple):
    """Messages to one instance that are sent together."""

    to: str
    messages: tuple[ShareMessage, ...]


class Admission(NamedTuple):
    """Decision on admitting a request."""

    admitted: bool
    #: Shortest useful delay before a retry in ms; 0 when admitted.
    retry_after_ms: int = 0
    #: Whether a larger share has been requested, so that a short wait may help.
    more_requested: bool = False
