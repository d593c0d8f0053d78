"""Failure domain in which each group is owned: that of its primary, once the primary stays there.

Answers the load pattern of a group whose statements mostly need its primary: an owner in the same
failure domain saves a crossing for each of them. A change of the owner closes all its connections
and opens them anew, so a primary that comes and goes must not move a group. No time of a promotion
can be derived from the store, since members renew their entries all the time. Each instance
therefore measures for how long it has seen a primary, and one that starts or was suspended takes
the times over from another.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwitthread.core.catalog import Member

#: Time for which a primary must stay in another failure domain before its group follows, in ms.
#: A domain that fails is given 15 s to recover; a group that moves within it would be disturbed
#: twice.
DWELL_MS = 30_000
#: Time after a move in which the former owner runs what it still gets, in ms. The lists of members
#: differ between the instances for up to 2 s.
FORMER_MS = 2_000
#: Time after the start, or after a suspension, in which the times of another instance are awaited,
#: in ms. After a restart of all there are none.
CONFIRM_MS = 2_000
#: Silence of the housekeeping after which the process counts as suspended, in ms.
SUSPENDED_MS = 1_000


class HomeReport(NamedTuple):
    """Failure domain of a group as one instance sees it; sent between instances."""

    group: str
    domain: str
    #: Failure domain of the present primary if that is another one, else empty.
    next_domain: str = ''
    #: Time for which the primary has been there, in ms.
    next_for_ms: int = 0


class _Home(NamedTuple):
    domain: str
    next_domain: str = ''
    next_since_ms: int = 0
    former: str = ''
    moved_ms: int = 0


class HomeDomains:
    """Failure domains of the groups, as one instance sees them."""

    def __init__(self, now_ms: int) -> None:
        #: Whether the times are known to be those of other instances.
        self.confirmed = False
        self._homes: dict[str, _Home] = {}
        self._since_ms = self._tick_ms = now_ms

    def observe(self, now_ms: int, group: str, domain: str | None) -> None:
        """Record the failure domain of the primary of a group, None while there is none."""
        home = self._homes.get(group)
        if domain is None:
            return
        if home is None:
            self._homes[group] = _Home(domain)
        elif domain == home.domain:
            self._homes[group] = home._replace(next_domain='')
        elif domain != home.next_domain:
            self._homes[group] = home._replace(next_domain=domain, next_since_ms=now_ms)

    def remove(self, group: str) -> None:
        """Forget a group that is no longer in the configuration."""
        self._homes.pop(group, None)

    def preferred(self, group: str) -> tuple[str, ...]:
        """Return the failure domains in which the group is owned, most preferred first."""
        home = self._homes.get(group)
        return tuple(filter(None, (home.domain, home.next_domain))) if home else ()

    def former(self, now_ms: int, group: str) -> str:
        """Return the failure domain that the group has just left, empty without one."""
        home = self._homes.get(group)
        return home.former if home and now_ms - home.moved_ms < FORMER_MS else ''

    def tick(self, now_ms: int) -> list[str]:
        """Move the groups whose primary has stayed elsewhere, and return them."""
        if now_ms - self._tick_ms >= SUSPENDED_MS:
            self.confirmed, self._since_ms = False, now_ms
        self._tick_ms = now_ms
        self.confirmed = self.confirmed or now_ms - self._since_ms >= CONFIRM_MS
        due = {
            group: home
            for group, home in self._homes.items()
            if home.next_domain and now_ms - home.next_since_ms >= DWELL_MS
        }
        for group, home in due.items():
            self._homes[group] = _Home(home.next_domain, former=home.domain, moved_ms=now_ms)
        return list(due)

    def report(self, now_ms: int) -> tuple[HomeReport, ...]:
        """Return the times for an instance that has started, none while they are uncertain."""
        if not self.confirmed:
            return ()
        return tuple(
            HomeReport(
                group,
                home.domain,
                home.next_domain,
                now_ms - home.next_since_ms if home.next_domain else 0,
            )
            for group, home in self._homes.items()
        )

    def adopt(self, now_ms: int, reports: Iterable[HomeReport]) -> bool:
        """Take the times over from another instance unless they are known; return if it did."""
        if self.confirmed:
            return False
        for each in reports:
            since_ms = now_ms - each.next_for_ms
            known = self._homes.get(each.group)
            if known is not None and known.next_domain == each.next_domain:
                since_ms = min(since_ms, known.next_since_ms)
            self._homes[each.group] = _Home(each.domain, each.next_domain, since_ms)
            self.confirmed = True
        return self.confirmed


def primary_domain(members: Iterable[Member]) -> str | None:
    """Return the failure domain of the primary of a group according to the store.

    Of several members that claim to be the primary, the one with the newest entry counts.
    """
    claims = [member for member in members if member.primary]
    newest = max(claims, key=lambda member: (member.revision, member.id), default=None)
    return newest.failure_domain if newest else None
