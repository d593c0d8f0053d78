"""Versions of the store, in an order that also holds when the store comes back from an older copy.

A restored store gives its versions out again, so that a version alone identifies no content. The
era of the store rises with each restore. Both are combined in one integer, which compares by era
first: messages between instances need no further field, and an instance of a build that knows no
eras compares them correctly as well. Failure: drills in which the store goes back by seconds.
"""

from __future__ import annotations

#: Number of versions in an era: 80 years of 400 writes a second.
ERA_SPAN = 2**40
#: Upper bound of an era; a combined version then fits in 63 bits.
MAX_ERA = 2**23 - 1


def combine(era: int, counter: int) -> int:
    """Return the version for a value of the store's counter in an era."""
    return era * ERA_SPAN + counter


def era_of(version: int) -> int:
    """Return the era of a version, 0 for a store that reports none."""
    return version // ERA_SPAN


def counter_of(version: int) -> int:
    """Return the value of the store's counter, as the store itself knows the version."""
    return version % ERA_SPAN
