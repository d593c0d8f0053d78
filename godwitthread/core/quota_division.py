"""Division of one limit according to demand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.quota import MILLI_PER_UNIT, Amount

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.core.quota import HolderId, Limit

#: The minimums of active holders together take at most 1/20 of a rate in a surge.
MINIMUM_DIVISOR = 20
#: Divisor of an equal share that gives the weight of an idle holder in the headroom.
IDLE_DIVISOR = 8


def divide(limit: Limit, demands: Mapping[HolderId, int]) -> dict[HolderId, Amount]:
    """Return the target share of every holder; their sum never exceeds the limit."""
    if not demands:
        return {}
    if limit.whole:
        return {h: Amount(count) for h, count in _divide_units(limit, demands).items()}
    # A burst of less than one whole token would never admit a request.
    served = sorted(demands, key=lambda holder: (-demands[holder], holder))
    served = served[: limit.amount.burst // MILLI_PER_UNIT]
    units = _divide_units(limit, {holder: demands[holder] for holder in served})
    bursts = _divide_burst(limit.amount, units)
    return {h: Amount(units.get(h, 0), bursts.get(h, 0)) for h in demands}


def _divide_units(limit: Limit, demands: Mapping[HolderId, int]) -> dict[HolderId, int]:
    if not demands:
        return {}
    capacity = limit.amount.units
    count = len(demands)
    minimums = _minimums(limit, demands)
    excess_demands = {
        holder: max(0, demand - minimums[holder]) for holder, demand in demands.items()
    }
    rest = capacity - sum(minimums.values())
    total_excess = sum(excess_demands.values())
    if total_excess >= rest:
        units = {
            h: minimums[h] + (rest * excess // total_excess if total_excess else 0)
            for h, excess in excess_demands.items()
        }
    else:
        idle = max(1, capacity // (IDLE_DIVISOR * count))
        weights = total_excess + idle * count
        units = {
            h: minimums[h] + excess + (rest - total_excess) * (excess + idle) // weights
            for h, excess in excess_demands.items()
        }
    if limit.whole:
        _add_remainder(units, capacity - sum(units.values()), excess_demands)
    return units


def _minimums(limit: Limit, demands: Mapping[HolderId, int]) -> dict[HolderId, int]:
    capacity = limit.amount.units
    if not limit.whole:
        minimum = capacity // (MINIMUM_DIVISOR * len(demands))
        return {holder: min(minimum, demand) for holder, demand in demands.items()}
    by_demand = sorted(demands, key=lambda holder: (-demands[holder], holder))[:capacity]
    chosen = set(by_demand)
    return {holder: int(holder in chosen) for holder in demands}


def _add_remainder(
    units: dict[HolderId, int], remainder: int, excess_demands: Mapping[HolderId, int]
) -> None:
    for holder in sorted(units, key=lambda holder: (-excess_demands[holder], holder))[:remainder]:
        units[holder] += 1


def _divide_burst(amount: Amount, units: Mapping[HolderId, int]) -> dict[HolderId, int]:
    rest = amount.burst - len(units) * MILLI_PER_UNIT
    total = max(1, sum(units.values()))
    return {holder: MILLI_PER_UNIT + rest * count // total for holder, count in units.items()}
