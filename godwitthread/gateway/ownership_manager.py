"""Ownership of groups and rates by one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core import ownership
from godwitthread.core.indirect_reach import IndirectReach
from godwitthread.core.write_authority import MAX_VOTERS
from godwitthread.gateway.groups.failover import Failover
from godwitthread.gateway.groups.group_runner import GroupRunner
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer
    from godwitthread.core.home_domains import HomeDomains
    from godwitthread.core.ownership import PeerReachability
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.rate_limiter import RateLimiter


#: Time for which the cached reachability of the peers is valid, in ms: two housekeeping intervals,
#: each of which renews it, and a tenth of the silence that ends a link.
REACHABILITY_CACHE_MS = 100
#: Prefix of a resource that is a group.
GROUP_PREFIX = 'group/'


class ManagedGroup(NamedTuple):
    """Runner and failover of one group."""

    runner: GroupRunner
    failover: Failover


class OwnershipInputs(NamedTuple):
    """Inputs of the choice of owners, as one instance sees them."""

    majority: bool
    able: tuple[str, ...]
    #: Candidates that this instance does not reach and that may be running.
    missing: frozenset[str]
    #: Those of them that other instances may reach.
    indirect: frozenset[str]


class AgreedOwner(NamedTuple):
    """Owner of a resource that instances agree on, as one of them sees it."""

    #: None without a majority or an available candidate.
    name: str | None
    #: Whether it depends on a candidate that this instance does not reach.
    uncertain: bool


class OwnershipManager:
    """Determine the owner of each group and rate, and start and stop this instance's ownership."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        reach: Callable[[], dict[str, PeerReachability]],
        rate_limiter: RateLimiter,
        log: Log,
    ) -> None:
        #: Instances that are eligible as owners.
        self.candidates: list[Peer] = []
        #: Reach of the candidates that this instance does not reach itself.
        self.indirect = IndirectReach()
        #: Groups that this instance owns.
        self.owned: set[str] = set()
        self._name = name
        #: Failure domains in which the groups are owned, None if they do not matter.
        self.homes: HomeDomains | None = None
        self._clock = clock
        self._reach = reach
        self._rate_limiter = rate_limiter
        self._log = log
        self._groups: dict[str, ManagedGroup] = {}
        #: Groups that this instance does not own but that have open statements or transactions.
        self._draining_groups: set[str] = set()
        self._inputs: OwnershipInputs | None = None
        #: Inputs for which ownership was last reconciled.
        self._reconciled_inputs: OwnershipInputs | None = None
        self._reach_read_ms = 0
        #: Owners by resource, cached for the current inputs.
        self._owners: dict[str, str | None] = {}
        #: Agreed owners by resource, cached likewise.
        self._agreed: dict[str, AgreedOwner] = {}
        #: Position of this instance by resource, cached likewise.
        self._ranks: dict[str, int] = {}
        #: Owners that result from preferred failure domains, cached likewise.
        self._firsts: dict[tuple[str, tuple[str, ...], str | None], str | None] = {}
        self._candidate_names: frozenset[str] = frozenset()
        #: Candidates to ask about those that this instance does not reach. Their number is bounded,
        #: so that the cost of the questions does not grow with the deployment.
        self._reporters: list[str] = []

    def add(self, name: str, group: ManagedGroup) -> None:
        """Add a group of the configuration."""
        self._groups[name] = group
        self.invalidate()

    def remove(self, name: str) -> None:
        """Remove a group that is no longer in the configuration."""
        eventlet.spawn_n(self._groups.pop(name).runner.close)
        self.owned.discard(name)
        self._draining_groups.discard(name)

    def choose_candidates(self, peers: list[Peer]) -> list[Peer]:
        """Choose the instances that are eligible as owners, and return them."""
        chosen = ownership.candidates(peers, len(self._groups))
        if chosen != self.candidates:
            self.candidates = chosen
            self._candidate_names = frozenset(peer.name for peer in chosen)
            self.invalidate()
        return chosen

    def active_groups(self) -> set[str]:
        """Return the groups that this instance owns or has open work of."""
        return self.owned | self._draining_groups

    def is_candidate(self, name: str) -> bool:
        """Return whether an instance is eligible as an owner."""
        return name in self._candidate_names

    def owner(self, resource: str) -> str | None:
        """Return the owner of a resource, None without a majority or an available candidate."""
        inputs = self._current_inputs()
        if not inputs.majority:
            return None
        if resource not in self._owners:
            order = self._ranked(resource, inputs.able)
            self._owners[resource] = next(iter(order), None)
        return self._owners[resource]

    def first(
        self, resource: str, domains: Sequence[str], without: str | None = None
    ) -> str | None:
        """Return the owner that results if the given failure domains are preferred.

        With the name of an instance, its failure domain is left out.
        """
        able = set(self._current_inputs().able)
        key = resource, tuple(domains), without
        if key not in self._firsts:
            if without is not None:
                domain_of = {peer.name: peer.failure_domain for peer in self.candidates}
                able = {name for name in able if domain_of[name] != domain_of.get(without)}
            order = ownership.ranked(resource, self.candidates, able, domains)
            self._firsts[key] = next(iter(order), None)
        return self._firsts[key]

    def agreed_owner(self, resource: str) -> AgreedOwner:
        """Return the owner that instances agree on even if some do not reach it.

        Used where a second owner does harm: for rates, and for the replacement of primaries.
        """
        inputs = self._current_inputs()
        if not inputs.majority:
            return AgreedOwner(None, False)
        if resource not in self._agreed:
            names = inputs.missing.union(inputs.able)
            order = self._ranked(resource, names)
            in_use = inputs.indirect.union(inputs.able)
            name = next((each for each in order if each in in_use), None)
            before = order[: order.index(name) + 1] if name else order
            self._agreed[resource] = AgreedOwner(name, not inputs.missing.isdisjoint(before))
        return self._agreed[resource]

    def able(self) -> tuple[str, ...]:
        """Return the candidates that this instance reaches and that can own resources."""
        return self._current_inputs().able

    def reporters(self) -> list[str]:
        """Return the candidates to ask about those that this instance does not reach."""
        self._current_inputs()
        return self._reporters

    def reporter(self, name: str) -> str | None:
        """Return a candidate that reaches one which this instance does not, None without any."""
        return self.indirect.reporter(name, self.reporters())

    def rank(self, resource: str) -> int:
        """Return the position of this instance in the order of the available candidates."""
        inputs = self._current_inputs()
        if resource not in self._ranks:
            order = self._ranked(resource, inputs.able)
            self._ranks[resource] = order.index(self._name) if self._name in order else len(order)
        return self._ranks[resource]

    def has_majority(self) -> bool:
        """Return whether this instance reaches a majority of the candidates that may be running."""
        return self._current_inputs().majority

    def reconcile(self) -> None:
        """Start or end the ownership of groups and rates after a change of the inputs."""
        self._reach_read_ms = 0
        inputs = self._current_inputs()
        if inputs == self._reconciled_inputs:
            return
        self._reconciled_inputs = inputs
        for name, group in self._groups.items():
            owned = self.owner(f'group/{name}') == self._name
            if owned and name not in self.owned:
                self._begin(name, group)
            elif not owned and name in self.owned:
                self._end(name, group)
        for organisation in self._rate_limiter.granted():
            if self.agreed_owner(f'rate/{organisation}').name != self._name:
                self._rate_limiter.forget_granter(organisation)

    def tick(self) -> None:
        """Run housekeeping for groups that are owned or have open work; others cost nothing."""
        for name in self.owned:
            group = self._groups[name]
            eventlet.spawn_n(group.runner.tick, True)
            group.failover.tick()
        for name in list(self._draining_groups):
            runner = self._groups[name].runner
            eventlet.spawn_n(runner.tick, False)
            if not runner.has_open_work():
                if self.homes is not None:
                    # It may have run operations of senders with another ranking.
                    runner.disable_pooling()
                self._draining_groups.discard(name)

    def track_work(self, name: str) -> None:
        """Include a group in housekeeping if it gets work before this instance owns it."""
        if name not in self.owned:
            self._draining_groups.add(name)

    def _current_inputs(self) -> OwnershipInputs:
        """Return the inputs; evaluate them again if the cached ones expired, as after a pause."""
        now_ms = self._clock.now_ms()
        if self._inputs is not None and now_ms - self._reach_read_ms < REACHABILITY_CACHE_MS:
            return self._inputs
        reach = self._reach()
        names = [peer.name for peer in self.candidates]
        majority = ownership.has_majority(names, reach)
        able = ownership.eligible(names, reach)
        running = ownership.running(names, reach)
        missing = ownership.missing(running, reach)
        self.indirect.update(now_ms, missing)
        voters = [name for name in names[:MAX_VOTERS] if name in running and name != self._name]
        self._reporters = [name for name in voters if name in able]
        indirect = self.indirect.may_own(now_ms, len(voters) + 1, self._reporters)
        inputs = OwnershipInputs(majority, tuple(able), frozenset(missing), frozenset(indirect))
        if inputs != self._inputs:
            self._inputs = inputs
            self._clear_cache()
        self._reach_read_ms = now_ms
        return inputs

    def _ranked(self, resource: str, names: Collection[str]) -> list[str]:
        domains: tuple[str, ...] = ()
        if self.homes is not None and resource.startswith(GROUP_PREFIX):
            domains = self.homes.preferred(resource.removeprefix(GROUP_PREFIX))
        return ownership.ranked(resource, self.candidates, set(names), domains)

    def invalidate_group(self, name: str) -> None:
        """Determine the owner of one group again, since its ranking changed."""
        resource = f'{GROUP_PREFIX}{name}'
        for cache in (self._owners, self._agreed, self._ranks):
            cache.pop(resource, None)
        self._reconciled_inputs = None

    def invalidate(self) -> None:
        """Determine all owners again, since the ranking changed."""
        self._inputs = self._reconciled_inputs = None
        self._clear_cache()

    def _clear_cache(self) -> None:
        self._owners.clear()
        self._agreed.clear()
        self._ranks.clear()
        self._firsts.clear()

    def _begin(self, name: str, group: ManagedGroup) -> None:
        self.owned.add(name)
        self._draining_groups.discard(name)
        self._log.event('group_owned', group=name)
        group.runner.enable_pooling()
        group.failover.begin()

    def _end(self, name: str, group: ManagedGroup) -> None:
        self.owned.discard(name)
        self._draining_groups.add(name)
        self._log.event('group_left', group=name)
        group.runner.disable_pooling()
