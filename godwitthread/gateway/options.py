"""Settings of a deployment that switch on or tune parts of the gateway."""

from __future__ import annotations

from typing import NamedTuple

from godwitthread.core.rate_grants import RateTolerance  # noqa: TC001 - public field type


class Options(NamedTuple):
    """Optional settings of an instance."""

    #: Tolerated excess over the rates of organisations, None if it is not known.
    rate_tolerance: RateTolerance | None = None
    #: Time that a crossing between failure domains must save, in ms; None if failure domains are
    #: not considered.
    crossing_cost_ms: float | None = None
