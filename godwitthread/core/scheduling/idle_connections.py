"""Choice of the idle connection to close when another organisation needs the room.

Responds to more organisations than connections: a new connection occupies a slot of the member
for about as long as a statement, so the connection that is least likely to be used soon is closed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Time over which the recent rate of use is averaged, in ms. It covers 10 uses of an organisation
#: that uses the member twice per second.
AVERAGING_MS = 5_000
#: Time for which a statement uses a connection, in ms, including the way to the member. A further
#: idle connection of an organisation is used only if another statement arrives within it.
USE_MS = 30
#: Number of organisations from which those without recent use are forgotten.
MAX_ORGANISATIONS = 1_000
#: Share of a member's connections that an organisation may hold in open transactions before its
#: statements wait behind those of others.
TRANSACTION_SHARE = 0.25


def over_share(held: Mapping[str, int], accepted: int) -> set[str]:
    """Return the organisations that hold more than their share of a member's connections.

    Takes the number of connections in open transactions by organisation.
    """
    limit = max(1.0, accepted * TRANSACTION_SHARE)
    return {name for name, count in held.items() if count > limit}


class IdleConnections:
    """Track how often organisations use a member."""

    def __init__(self) -> None:
        #: Uses by organisation, decaying with time, and the time of the last one, in ms.
        self._uses: dict[str, tuple[float, int]] = {}

    def record_use(self, now_ms: int, organisation: str) -> None:
        """Record that an organisation needed a connection."""
        if len(self._uses) >= MAX_ORGANISATIONS and organisation not in self._uses:
            self._forget(now_ms)
        self._uses[organisation] = self._decayed(now_ms, organisation) + 1, now_ms

    def uses_per_s(self, now_ms: int, organisation: str) -> float:
        """Return the recent rate of use of an organisation."""
        return self._decayed(now_ms, organisation) * 1000 / AVERAGING_MS

    def choose(self, now_ms: int, idle: Mapping[str, int]) -> str | None:
        """Return the organisation whose idle connection is to be closed, None without any.

        Takes the number of idle connections by organisation. The least used of several connections
        of an organisation is needed only while all others are in use.
        """
        return min(
            (name for name, count in idle.items() if count > 0),
            key=lambda name: (self._expected_per_s(now_ms, name, idle[name]), name),
            default=None,
        )

    def _expected_per_s(self, now_ms: int, organisation: str, count: int) -> float:
        rate = self.uses_per_s(now_ms, organisation)
        return rate * min(1.0, rate * USE_MS / 1000) ** float(count - 1)

    def _decayed(self, now_ms: int, organisation: str) -> float:
        uses, used_ms = self._uses.get(organisation, (0.0, now_ms))
        return uses * math.exp(min(0, used_ms - now_ms) / AVERAGING_MS)

    def _forget(self, now_ms: int) -> None:
        names = sorted(self._uses, key=lambda name: self._decayed(now_ms, name))
        for name in names[: MAX_ORGANISATIONS // 2]:
            del self._uses[name]
