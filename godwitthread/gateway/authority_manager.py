"""Leases on the primaries of groups: requests to the voters, and answers as a voter."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core.write_authority import (
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
    is_settled,
)
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer
    from godwitthread.gateway.frames import FrameStream
    from godwitthread.gateway.links import Link
    from godwitthread.gateway.logs import Log

#: Time limit of a request to a voter, in ms. An answer that comes later extends a lease by little.
CLAIM_TIMEOUT_MS = 500
#: Time in which an exclusive lease must be complete, in ms: the leases of others, and two renewals.
EXCLUSIVE_TIMEOUT_MS = SHARED_LEASE_MS + 2 * RENEWAL_MS
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
        held = self._authority
        announced = held.begin_exclusive(member)
        end_ms = self._clock.now_ms() + EXCLUSIVE_TIMEOUT_MS
        self._manager.send([held.claim()])
        while not held.is_exclusive(self._clock.now_ms()) and self._clock.now_ms() < end_ms:
            eventlet.sleep(POLL_MS / 1000)
        # A newer promotion that the voters know must be followed first.
        if held.is_exclusive(self._clock.now_ms()) and held.succession == announced:
            return True
        self.end_exclusive(None)
        return False

    def end_exclusive(self, primary: str | None) -> None:
        """Let other instances use the primary again; None if the order may still take effect."""
        self._authority.end_exclusive(primary)
        self._manager.send([self._authority.claim()])


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
        self._renewed_ms = 0
        self._renewed_groups: set[str] = set()
        self._votes = True
        #: Takes the name of a voter and the time that it took to answer, in ms.
        self.on_answer: Callable[[str, int], None] = lambda *_: None

    def add(self, group: str) -> GroupLease:
        """Return the leases on the primary of a group of the configuration."""
        held = self._groups[group] = WriteAuthority(group, self._voters)
        return GroupLease(self, held, self._clock)

    def remove(self, group: str) -> None:
        """Forget a group that is no longer in the configuration."""
        self._groups.pop(group, None)

    def update_voters(self, candidates: Sequence[Peer]) -> None:
        """Make the first candidates the voters."""
        chosen = [peer.name for peer in candidates[:MAX_VOTERS]]
        self._candidates = {peer.name for peer in candidates}
        ended = [
            name
            for name in chosen
            if name in self._links and not self._links[name].reach().may_be_running
        ]
        self._voters.update(self._clock.now_ms(), chosen, ended)

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
            self.send([self._groups[name].claim() for name in sorted(wanted)])

    def drop_voter(self, name: str) -> None:
        """Rely no longer on a voter whose link has ended."""
        for held in self._groups.values():
            held.drop_voter(name)

    def send(self, claims: list[Claim]) -> None:
        """Send claims to the voters; their answers are recorded as they arrive."""
        request = ClaimRequest(tuple(claims))
        for name in self._voters.names:
            if name == self._name and self._votes:
                answer = self.answer(self._holder, request)
                self._record(self._clock.now_ms(), name, request, answer)
            elif name in self._links and self._links[name].up:
                eventlet.spawn_n(self._ask, name, request)

    def answer_peer(self, sender: str, request: ClaimRequest) -> ClaimAnswer:
        """Vote on the claims of a peer; its name and incarnation identify the holder."""
        return self.answer(sender.rpartition('/')[0], request)

    def answer(self, holder: str, request: ClaimRequest) -> ClaimAnswer:
        """Vote on the claims of an instance; raise MOVED if this process has ended its work."""
        if not self._votes:
            raise ProxyError(ErrorKind.MOVED, 'the instance has stopped')
        now_ms = self._clock.now_ms()
        return ClaimAnswer(
            tuple(self._voter.claim(now_ms, holder, each) for each in request.claims)
        )

    def stop_voting(self) -> None:
        """Grant no lease any more, to any instance."""
        self._votes = False

    def _has_ended(self, holder: str) -> bool:
        """Return whether the process that holds leases is known to have ended."""
        name, _, incarnation = holder.rpartition('/')
        peer, link = self._peers().get(name), self._links.get(name)
        if peer is not None and peer.incarnation > int(incarnation):
            return True
        return link is not None and link.reach().refused

    def _is_settled(self) -> bool:
        linked = {stream.peer_name for stream in self._inbound}
        others = self._candidates - {self._name}
        reach = {name: self._links[name].reach() for name in others & self._links.keys()}
        return is_settled(others, linked, reach, self._clock.now_ms() - self._started_ms)

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
        self.on_answer(name, self._clock.now_ms() - sent_ms)
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
