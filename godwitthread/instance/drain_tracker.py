"""Members and failure domains that are leaving, with the time since when."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwitthread.manifest.directory import Directory
    from godwitthread.types import MemberSpec

#: Time during which a primary that is being handed over still accepts writes, in ms. A
#: handover takes one round trip; the invariant allows three seconds.
HANDOVER_GRACE_MS = 3_000
#: Delay from the configuration change to the fence, in ms. It lets open transactions end:
#: without it the fence aborted two of them in bench domain_out, seed 1.
HANDOVER_DELAY_MS = 500
#: Time for which new writes wait for the new primary, in ms. It exceeds the delay by the
#: time that the instances need to learn of the change and of the promotion.
HANDOVER_HOLD_MS = 1_500


class DrainTracker:
    """Track since when members and failure domains accept no new requests."""

    def __init__(self) -> None:
        self._started_ms: dict[tuple[str, str], int] = {}

    def adopt(self, now_ms: int, directory: Directory) -> set[str]:
        """Apply a configuration; return the failure domains that are back in service."""
        current = _draining(directory)
        returned = {
            name
            for kind, name in self._started_ms
            if kind == 'domain' and (kind, name) not in current
        }
        self._started_ms = {key: self._started_ms.get(key, now_ms) for key in current}
        return returned

    def drain_started_ms(self, database: str, spec: MemberSpec) -> int | None:
        """Return since when a member accepts no new requests, None if it accepts them."""
        times = [
            self._started_ms[key]
            for key in (('domain', spec.failure_domain), ('member', f'{database}/{spec.name}'))
            if key in self._started_ms
        ]
        return min(times, default=None)

    def takes_writes(self, now_ms: int, database: str, spec: MemberSpec) -> bool:
        """Return whether a primary accepts new writes.

        On a leaving primary, writes first wait for the handover. If none succeeds, the
        primary accepts them again until the end of the grace period.
        """
        since_ms = self.drain_started_ms(database, spec)
        if since_ms is None:
            return True
        return HANDOVER_HOLD_MS < now_ms - since_ms <= HANDOVER_GRACE_MS

    def in_grace_period(self, now_ms: int, database: str, spec: MemberSpec) -> bool:
        """Return whether a request may still be sent to a member within the grace period."""
        since_ms = self.drain_started_ms(database, spec)
        return since_ms is None or now_ms - since_ms <= HANDOVER_GRACE_MS


def _draining(directory: Directory) -> set[tuple[str, str]]:
    domains = {
        ('domain', each.name) for each in directory.manifest.failure_domains if each.state == 'out'
    }
    members = {
        ('member', f'{database}/{spec.name}')
        for database in directory.databases
        for spec in directory.members(database)
        if spec.leaving
    }
    return domains | members
