"""Selection of the owners of groups and rates, from the peers that an instance reaches."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from godwitthread.core.catalog import Peer

#: Minimum number of instances that can own groups. Every instance keeps a link to each
#: candidate, so the number must not grow with the deployment.
MIN_CANDIDATES = 9
#: Candidates per group in deployments with many groups.
CANDIDATES_PER_GROUP = 2
#: Time without a message after which a peer counts as unreachable, in ms. It is three
#: heartbeats long and shorter than a caller's time limit, so that statements reach the next
#: owner in time.
PEER_TIMEOUT_MS = 1_000


#: Link speed that an owner needs per core, in Mbit/s. A core forwards about 2,000 statements
#: per second, each with about 3 KB in and out.
LINK_MBPS_PER_CORE = 50.0
#: Fraction of the largest capacity from which an instance is preferred as an owner over
#: slower ones.
MIN_CAPACITY_SHARE = 0.5


class PeerReachability(NamedTuple):
    """Reachability of a peer as seen by one instance."""

    #: Whether messages from the peer arrive.
    up: bool
    #: Whether the address refuses connections, which proves that no process is running there.
    refused: bool = False
    #: Whether the peer is shutting down.
    leaving: bool = False
    #: Whether the peer reports that it can serve requests.
    ready: bool = True
    #: Newest fencing token of the peer if it holds the duty of promotions, else 0.
    duty_token: int = 0
    #: Whether the process of the peer announced its end some time ago.
    departed: bool = False

    @property
    def may_be_running(self) -> bool:
        """Return whether nothing shows that no process of the peer runs."""
        return not self.refused and not self.departed


def capacity(cores: float, link_mbps: float) -> float:
    """Return the load that an instance can carry as an owner, in cores."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def candidates(peers: Iterable[Peer], groups: int) -> list[Peer]:
    """Return the peers that can own resources; the result is the same on every instance.

    Instances of higher capacity come first, alternating between the failure domains.
    """
    count = max(MIN_CANDIDATES, groups * CANDIDATES_PER_GROUP)
    by_domain: dict[str, list[Peer]] = {}
    for peer in peers:
        by_domain.setdefault(peer.failure_domain, []).append(peer)
    for queue in by_domain.values():
        queue.sort(key=lambda peer: (-peer.capacity, rendezvous.weight('candidate', peer.name)))
    chosen: list[Peer] = []
    for depth in range(max(map(len, by_domain.values()), default=0)):
        for domain in sorted(by_domain):
            queue = by_domain[domain]
            if depth < len(queue) and len(chosen) < count:
                chosen.append(queue[depth])
    return chosen


def ranked(
    resource: str,
    peers: Sequence[Peer],
    eligible_names: Collection[str],
    domains: Sequence[str] = (),
) -> list[str]:
    """Return the names of the eligible candidates in the order in which they own a resource.

    Slow instances own resources only if no fast one is eligible, since all statements of
    a group pass through its owner. Among instances of sufficient capacity, those in the given
    failure domains come first, in the order of the domains.
    """
    names = [peer.name for peer in peers if peer.name in eligible_names]
    min_capacity = MIN_CAPACITY_SHARE * max((peer.capacity for peer in peers), default=0.0)
    slow = {peer.name for peer in peers if peer.capacity < min_capacity}
    order = sorted(rendezvous.ranked(resource, names), key=lambda name: name in slow)
    if not domains:
        return order
    rank = {domain: number for number, domain in enumerate(domains)}
    distance = {peer.name: rank.get(peer.failure_domain, len(rank)) for peer in peers}
    return sorted(order, key=lambda name: (name in slow, distance[name]))


def eligible(names: Iterable[str], reach: Mapping[str, PeerReachability]) -> list[str]:
    """Return the names of the instances that can own resources at present."""
    return [
        name
        for name in names
        if (peer := reach.get(name)) and peer.up and peer.ready and not peer.leaving
    ]


def duty_holder(reach: Mapping[str, PeerReachability]) -> str | None:
    """Return the reachable peer that holds the duty of promotions, None if there is none.

    A former holder may not know its successor yet, so the peer with the highest token counts.
    """
    holders = [(peer.duty_token, name) for name, peer in reach.items() if peer.up]
    token, name = max(holders, default=(0, ''))
    return name if token else None


def running(names: Iterable[str], reach: Mapping[str, PeerReachability]) -> list[str]:
    """Return the names of the instances that may be running."""
    return [name for name in names if reach.get(name, PeerReachability(False)).may_be_running]


def missing(names: Iterable[str], reach: Mapping[str, PeerReachability]) -> list[str]:
    """Return the names of the instances that are not reached."""
    return [name for name in names if not reach.get(name, PeerReachability(False)).up]


def has_majority(names: Iterable[str], reach: Mapping[str, PeerReachability]) -> bool:
    """Return whether this instance reaches a majority of the candidates that may be running.

    This prevents two instances that cannot reach each other from owning the same rate.
    """
    counted = running(names, reach)
    reached = sum(1 for name in counted if reach.get(name, PeerReachability(False)).up)
    return reached >= math.floor(len(counted) / 2) + 1 if counted else True
