"""Time limits for a statement that waits before it is refused as not run."""

from __future__ import annotations

#: Fraction of its remaining time for which a statement may wait for a member. It is refused
#: after that, so that the caller has time to retry.
MAX_WAIT_SHARE = 0.45
#: Fraction of the response-time objective within which a refusal counts as early. The platform
#: assigns a cost to a refusal that comes after a quarter of the objective and was never offered
#: to a member.
SHORT_WAIT_SHARE = 0.2
#: Time within which an unreachable owner of a group is replaced, in ms. If the group has been
#: without an owner for longer, a new one is not expected soon.
OWNER_REPLACEMENT_MS = 1_500


def owner_wait_ms(remaining_ms: int, objective_ms: int, ownerless_ms: int) -> int:
    """Return the time that a statement may wait for an owner of its group, in ms."""
    wait_ms = max_wait_ms(remaining_ms)
    if ownerless_ms < OWNER_REPLACEMENT_MS:
        return wait_ms
    return min(wait_ms, short_wait_ms(objective_ms))


def max_wait_ms(remaining_ms: int) -> int:
    """Return the time that a statement may wait for a resource that is expected soon, in ms."""
    return int(remaining_ms * MAX_WAIT_SHARE)


def short_wait_ms(objective_ms: int) -> int:
    """Return the time that a statement may wait for a resource that may not arrive, in ms."""
    return int(objective_ms * SHORT_WAIT_SHARE)
