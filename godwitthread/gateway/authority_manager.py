"""Leases on the primaries of groups: requests to the voters, and answers as a voter."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core.write_authority import (
    EXCLUSIVE_LEASE_MS,
    MAX_VOTERS,
    RENEWAL_MS,
    RETRY_MS,
    SHARED_LEASE_MS,
    Claim,
    LeaseGrant,
    Succession,
    Voter,
    VoterSets,
    WriteAuthority,
)
from godwitthread.errors import ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer
    from godwitthread.gateway.links import FrameStream, Link
    from godwitthread.gateway.logs import Log

#: Time limit of a request to a voter, in ms. An answer that comes later extends a lease by little.
CLAIM_TIMEOUT_MS = 500
#: Time in which an exclusive lease must be complete, in ms: the leases of others, and two renewals.
EXCLUSIVE_TIMEOUT_MS = SHARED_LEASE_MS + 2 * RENEWAL_MS
#: Time after the start in which the links to all reachable instances are established, in ms. An
#: instance that is gone for good would otherwise delay the first leases after a restart of all.
REACH_MS = 500
#: Poll interval of an exclusive lease that is being acquired, in ms.
POLL_MS = 5


class ClaimRequest(NamedTuple):
    """Claims of one instance on the primaries of several groups."""

    claims: tuple[Claim, ...]


class ClaimAnswer(NamedTuple):
    """Answers of a voter, in the order of the claims."""

    grants: tuple[LeaseGrant, ...]


_answers = msgspec.msgpack.Decoder(ClaimAnswer)


class GroupLease:
    """Leases of this instance on the primary of one group, with the requests that renew them."""

    def __init__(self, manager: AuthorityManager, authority: WriteAuthority, clock: Clock) -> None:
        self._manager = manager
        self._authority = authority
        self._clock = clock

    @property
    def succession(self) -> Succession:
        """Return the newest known promotion of the group."""
        return self._authority.succession

    def is_valid(self) -> bool:
        """Return whether work of the primary may be sent and acknowledged."""
        return self._authority.is_valid(self._clock.now_ms())

    def acquire_exclusive(self, member: str) -> bool:
        """Announce the promotion of a member, and wait until no other instance uses the primary.

        Return False if that could not be achieved in time; no promotion may be ordered then.
        """
        announced = Succession(self._authority.succession.number + 1, False, member)
        self._authority.succession = announced
        if not self._manager.acquire_exclusive(self._authority):
            return False
        if self._authority.succession != announced:
            # The voters know a newer promotion, which must be followed first.
            self._manager.end_exclusive(self._authority)
            return False
        return True

    def end_exclusive(self, primary: str | None) -> None:
        """Let other instances use the primary again; None if the order may still take effect."""
        if primary is not None:
            number = self._authority.succession.number
            self._authority.succession = Succession(number, True, primary)
        self._manager.end_exclusive(self._authority)


class AuthorityManager:
    """Hold the leases of one instance, and vote on those of others."""

    def __init__(
        self,
        name: str,
        holder: str,
        clock: Clock,
        links: Mapping[str, Link],
        inbound: set[FrameStream],
        peers: Callable[[], Mapping[str, Peer]],
        on_granted: Callable[[str], None],
        log: Log,
    ) -> None:
        self._name = name
        self._holder = holder
        self._clock = clock
        self._links = links
        self._inbound = inbound
        self._started_ms = clock.now_ms()
        #: Returns the registered instances.
        self._peers = peers
        self._candidates: set[str] = set()
        #: Takes a group whose primary this instance may use from now on.
        self._on_granted = on_granted
        self._log = log
        self._voter = Voter(clock.now_ms(), self._has_ended, self._is_settled)
        self._voters = VoterSets()
        self._groups: dict[str, WriteAuthority] = {}
        #: Time since which the address of a voter refuses connections, in ms.
        self._refused_since_ms: dict[str, int] = {}
        self._renewed_ms = 0
        self._renewed_groups: set[str] = set()

    def add(self, group: str) -> GroupLease:
        """Return the leases on the primary of a group of the configuration."""
        held = self._groups[group] = WriteAuthority(group, self._voters)
        return GroupLease(self, held, self._clock)

    def remove(self, group: str) -> None:
        """Forget a group that is no longer in the configuration."""
        self._groups.pop(group, None)

    def update_voters(self, candidates: Sequence[Peer]) -> None:
        """Choose the voters; those whose process ended longer ago than any lease do not count."""
        now_ms = self._clock.now_ms()
        chosen = [peer.name for peer in candidates[:MAX_VOTERS]]
        self._candidates = {peer.name for peer in candidates}
        for name in chosen:
            link = self._links.get(name)
            if link is not None and link.reach().refused:
                self._refused_since_ms.setdefault(name, now_ms)
            else:
                self._refused_since_ms.pop(name, None)
        absent = [
            name
            for name, since_ms in self._refused_since_ms.items()
            if now_ms - since_ms >= EXCLUSIVE_LEASE_MS
        ]
        self._voters.update(now_ms, chosen, absent)

    def tick(self, groups: Iterable[str]) -> None:
        """Renew the leases on the primaries of the groups that this instance works on."""
        wanted = self._groups.keys() & set(groups)
        now_ms = self._clock.now_ms()
        missing = any(not self._groups[name].is_valid(now_ms) for name in wanted)
        interval_ms = RETRY_MS if missing else RENEWAL_MS
        if wanted <= self._renewed_groups and now_ms - self._renewed_ms < interval_ms:
            return
        self._renewed_ms, self._renewed_groups = now_ms, wanted
        if wanted:
            self._send([self._groups[name].claim() for name in sorted(wanted)])

    def drop_voter(self, name: str) -> None:
        """Rely no longer on a voter whose link has ended."""
        for held in self._groups.values():
            held.drop_voter(name)

    def acquire_exclusive(self, held: WriteAuthority) -> bool:
        """Wait until no other instance may use the primary of a group; return False on failure."""
        held.set_exclusive(True)
        end_ms = self._clock.now_ms() + EXCLUSIVE_TIMEOUT_MS
        self._send([held.claim()])
        while not held.is_exclusive(self._clock.now_ms()):
            if self._clock.now_ms() >= end_ms:
                self.end_exclusive(held)
                return False
            eventlet.sleep(POLL_MS / 1000)
        return True

    def end_exclusive(self, held: WriteAuthority) -> None:
        """Let other instances use the primary of a group again."""
        held.set_exclusive(False)
        self._send([held.claim()])

    def answer(self, holder: str, request: ClaimRequest) -> ClaimAnswer:
        """Vote on the claims of an instance."""
        now_ms = self._clock.now_ms()
        return ClaimAnswer(
            tuple(self._voter.claim(now_ms, holder, each) for each in request.claims)
        )

    def _has_ended(self, holder: str) -> bool:
        """Return whether the process that holds leases is known to have ended."""
        name, _, incarnation = holder.rpartition('/')
        peer, link = self._peers().get(name), self._links.get(name)
        if peer is not None and peer.incarnation > int(incarnation):
            return True
        return link is not None and link.reach().refused

    def _is_settled(self) -> bool:
        """Return whether each candidate has a link to this process, or no leases.

        An instance relies on the leases of a voter only until its link to the voter has ended.
        """
        linked = {stream.peer_name for stream in self._inbound}
        others = self._candidates - {self._name}
        waited = self._clock.now_ms() - self._started_ms >= REACH_MS

        def is_settled(name: str) -> bool:
            link = self._links.get(name)
            if link is None:
                return False
            reach = link.reach()
            # An instance that never became ready since its start holds no leases.
            return reach.refused or (not reach.ready if reach.up else waited)

        return bool(others) and all(name in linked or is_settled(name) for name in others)

    def _send(self, claims: list[Claim]) -> None:
        request = ClaimRequest(tuple(claims))
        for name in self._voters.names:
            if name == self._name:
                answer = self.answer(self._holder, request)
                self._record(self._clock.now_ms(), name, request, answer)
            elif name in self._links and self._links[name].up:
                eventlet.spawn_n(self._ask, name, request)

    def _ask(self, name: str, request: ClaimRequest) -> None:
        sent_ms = self._clock.now_ms()
        link = self._links.get(name)
        if link is None:
            return
        try:
            answer = _answers.decode(link.call('claim', request, CLAIM_TIMEOUT_MS))
        except (ProxyError, msgspec.DecodeError) as exc:
            self._log.failure('peer_lost', peer=name, reason=str(exc))
            return
        self._record(sent_ms, name, request, answer)

    def _record(self, sent_ms: int, voter: str, request: ClaimRequest, answer: ClaimAnswer) -> None:
        now_ms = self._clock.now_ms()
        for claim, grant in zip(request.claims, answer.grants, strict=False):
            held = self._groups.get(claim.group)
            if held is not None and grant.group == claim.group:
                was_valid = held.is_valid(now_ms)
                held.record(sent_ms, now_ms, voter, claim, grant)
                if not was_valid and held.is_valid(now_ms):
                    self._on_granted(claim.group)
