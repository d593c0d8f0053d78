"""Authority of an instance to use the primary of a group, granted by a majority of voters.

Answers the load pattern of a group with two owners for a moment: after a network partition or a
handover, one of them orders a promotion while the other still reaches the former primary, which
may not know that it was replaced.

An instance acknowledges work of a primary only while its shared lease is valid. A promotion is
ordered only under an exclusive lease, which is complete once all shared leases of other instances
have ended. Leases count from the sending of the request at the holder and from its receipt at the
voter, so that a holder never relies on a lease longer than its voters do.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from godwitthread.core.ownership import PeerReachability

#: Number of voters. It is fixed, so that the cost of leases does not grow with the deployment.
MAX_VOTERS = 9
#: Length of a shared lease, in ms: the silence after which another instance takes over a group.
SHARED_LEASE_MS = 1_000
#: Length of an exclusive lease, in ms. It exceeds the time in which an order takes effect, 1 s.
EXCLUSIVE_LEASE_MS = 1_500
#: Interval at which leases are renewed, in ms; three renewals may fail before a lease ends.
RENEWAL_MS = 250
#: Interval of requests while a lease is missing, in ms.
RETRY_MS = 100
#: Time after its start in which the links of an instance to all that it can reach are up, in ms. An
#: instance that is gone for good would otherwise delay the first leases after a restart of all.
REACH_MS = 500
#: Time for which a replaced set of voters must agree as well, in ms. Lists of instances differ
#: between the instances for up to 2 s.
VOTER_CHANGE_MS = 2_000


class Succession(NamedTuple):
    """Newest known promotion of a group; a higher one replaces a lower one."""

    number: int = 0
    #: Whether the member was seen as the primary after the order.
    confirmed: bool = False
    member: str = ''


class Claim(NamedTuple):
    """Request for a lease on the primary of a group, or for its renewal."""

    group: str
    lease_ms: int
    exclusive: bool
    succession: Succession
    #: Number of the request; a voter ignores an earlier one that arrives later.
    number: int


class LeaseGrant(NamedTuple):
    """Answer of a voter to a claim."""

    group: str
    granted: bool
    #: Remaining time of the leases of other instances, in ms.
    blocked_ms: int
    succession: Succession


class _Votes:
    """Leases that a voter granted on the primary of one group."""

    def __init__(self) -> None:
        #: End of each lease by holder, in ms.
        self.leases: dict[str, int] = {}
        self.exclusive_holder = ''
        #: Number of the newest request by holder.
        self.numbers: dict[str, int] = {}
        self.succession = Succession()


class Voter:
    """Grant leases to the instances that claim the primary of a group."""

    def __init__(
        self, started_ms: int, has_ended: Callable[[str], bool], is_settled: Callable[[], bool]
    ) -> None:
        #: End of the time in which leases from before a restart may be valid, in ms.
        self._quiet_until_ms = started_ms + EXCLUSIVE_LEASE_MS
        #: Returns whether the process of a holder is known to have ended.
        self._has_ended = has_ended
        #: Returns whether no instance relies on a lease from before a restart of this voter.
        self._is_settled = is_settled
        self._settled = False
        self._groups: dict[str, _Votes] = {}

    def claim(self, now_ms: int, holder: str, claim: Claim) -> LeaseGrant:
        """Grant or renew a lease, and return the newest known promotion."""
        votes = self._groups.setdefault(claim.group, _Votes())
        self._drop_ended(now_ms, votes)
        votes.succession = max(votes.succession, claim.succession)
        others_ms = max((end for name, end in votes.leases.items() if name != holder), default=0)
        blocked_ms = max(0, others_ms - now_ms)
        outdated = claim.number < votes.numbers.get(holder, 0)
        excluded = votes.exclusive_holder not in ('', holder)
        if outdated or excluded or not self._may_grant(now_ms):
            return LeaseGrant(claim.group, False, blocked_ms, votes.succession)
        votes.exclusive_holder = holder if claim.exclusive else ''
        votes.numbers[holder] = claim.number
        # The holder may not receive this answer, and rely on a longer lease granted before.
        votes.leases[holder] = max(votes.leases.get(holder, 0), now_ms + claim.lease_ms)
        return LeaseGrant(claim.group, True, blocked_ms, votes.succession)

    def _may_grant(self, now_ms: int) -> bool:
        self._settled = self._settled or now_ms >= self._quiet_until_ms or self._is_settled()
        return self._settled

    def _drop_ended(self, now_ms: int, votes: _Votes) -> None:
        for name, end_ms in list(votes.leases.items()):
            if end_ms <= now_ms or self._has_ended(name):
                del votes.leases[name]
                votes.numbers.pop(name, None)
        if votes.exclusive_holder not in votes.leases:
            votes.exclusive_holder = ''


def is_settled(
    others: Collection[str],
    linked: Collection[str],
    reach: Mapping[str, PeerReachability],
    since_start_ms: int,
) -> bool:
    """Return whether none of the other candidates relies on a lease from before a restart.

    An instance relies on the leases of a voter only until its link to the voter has ended, and
    one that never became ready since its start holds none. Answers the load pattern of a restart
    of all instances, some of which are gone or know no others yet.
    """

    def holds_none(name: str) -> bool:
        peer = reach.get(name)
        if peer is None:
            return False
        return not peer.may_be_running or (
            not peer.ready if peer.up else since_start_ms >= REACH_MS
        )

    return bool(others) and all(name in linked or holds_none(name) for name in others)


class VoterSets:
    """Track the current voters, and the replaced ones that must agree for a while."""

    def __init__(self) -> None:
        self._current: frozenset[str] = frozenset()
        #: Replaced sets with the end of the time in which they must agree, in ms.
        self._former: list[tuple[frozenset[str], int]] = []
        #: Time since which no process of a voter runs, in ms.
        self._ended_since_ms: dict[str, int] = {}
        #: Voters without a running process for longer than any lease.
        self._absent: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """Return the voters to ask, including the replaced ones that must still agree."""
        return self._current.union(*(names for names, _ in self._former))

    def update(self, now_ms: int, names: Iterable[str], ended: Collection[str]) -> None:
        """Set the voters, and those of which no process runs."""
        chosen = frozenset(names)
        self._former = [each for each in self._former if each[1] > now_ms]
        if chosen != self._current:
            if self._current:
                self._former.append((self._current, now_ms + VOTER_CHANGE_MS))
            self._current = chosen
        since_ms = self._ended_since_ms
        self._ended_since_ms = {name: since_ms.get(name, now_ms) for name in ended}
        self._absent = frozenset(
            name
            for name, start_ms in self._ended_since_ms.items()
            if now_ms - start_ms >= EXCLUSIVE_LEASE_MS
        )

    def is_majority(self, names: Collection[str]) -> bool:
        """Return whether the given voters are a majority of each set that must agree."""
        sets = [self._current, *(former for former, _ in self._former)]
        return all(2 * len(each.intersection(names)) > len(each - self._absent) for each in sets)


class _Granted(NamedTuple):
    end_ms: int
    exclusive: bool
    #: Time at which the leases of other instances at the voter have ended, in ms.
    alone_ms: int


class WriteAuthority:
    """Leases of this instance on the primary of one group."""

    def __init__(self, group: str, voters: VoterSets) -> None:
        self.group = group
        #: Newest promotion known to this instance or reported by a voter.
        self.succession = Succession()
        self._exclusive = False
        self._voters = voters
        self._numbers = itertools.count(1)
        #: Number of the first request for the present kind of lease.
        self._first_number = 1
        self._granted: dict[str, _Granted] = {}

    def claim(self) -> Claim:
        """Return the request that renews the leases."""
        lease_ms = EXCLUSIVE_LEASE_MS if self._exclusive else SHARED_LEASE_MS
        number = next(self._numbers)
        return Claim(self.group, lease_ms, self._exclusive, self.succession, number)

    def begin_exclusive(self, member: str) -> Succession:
        """Request exclusive leases to promote a member; return the announced promotion."""
        self._set_exclusive(True)
        self.succession = Succession(self.succession.number + 1, False, member)
        return self.succession

    def end_exclusive(self, primary: str | None = None) -> None:
        """Request shared leases again, and name the primary that the promotion resulted in."""
        self._set_exclusive(False)
        if primary is not None:
            self.succession = Succession(self.succession.number, True, primary)

    def record(
        self, sent_ms: int, now_ms: int, voter: str, claim: Claim, grant: LeaseGrant
    ) -> None:
        """Record the answer of a voter to a request that was sent at the given time."""
        self.succession = max(self.succession, grant.succession)
        if claim.number < self._first_number:
            return
        if grant.granted:
            alone_ms = now_ms + grant.blocked_ms
            self._granted[voter] = _Granted(sent_ms + claim.lease_ms, claim.exclusive, alone_ms)
        else:
            self._granted.pop(voter, None)

    def drop_voter(self, voter: str) -> None:
        """Rely no longer on a voter that may have restarted without its memory."""
        self._granted.pop(voter, None)

    def is_valid(self, now_ms: int) -> bool:
        """Return whether work of the primary may be sent and acknowledged."""
        held = [name for name, each in self._granted.items() if each.end_ms > now_ms]
        return self._voters.is_majority(held)

    def is_exclusive(self, now_ms: int) -> bool:
        """Return whether a promotion may be ordered."""
        held = [
            name
            for name, each in self._granted.items()
            if each.exclusive and each.end_ms > now_ms and each.alone_ms <= now_ms
        ]
        return self._voters.is_majority(held)

    def _set_exclusive(self, exclusive: bool) -> None:
        # Grants of exclusive leases do not outlast a change of the kind of lease.
        self._exclusive = exclusive
        self._first_number = next(self._numbers)
        for voter, each in self._granted.items():
            self._granted[voter] = each._replace(exclusive=False)
