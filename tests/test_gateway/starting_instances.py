"""Instances that start within a second of each other, without a network and in steps of 1 ms."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.address import Address
from godwitthread.core import ownership
from godwitthread.core.catalog import Peer
from godwitthread.core.ownership import PeerReachability
from godwitthread.core.ownership_start import START_DELAY_MS, OwnershipStart

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

#: As observed after a power loss of all instances.
SPREAD_MS = 690
#: Time from the start of a process until it knows the other instances, in ms.
KNOWN_MS = 100
RECONNECT_MS = 100
TICK_MS = 50
GROUPS = 12


class FormerRule:
    """Rule by which each instance became ready on its own, for comparison."""

    def __init__(self) -> None:
        self.ready = False
        self._begun_ms: int | None = None

    def next_change_ms(self) -> int | None:
        """Return None: the rule was applied every 50 ms."""
        return None

    def step(
        self, now_ms: int, others: Mapping[str, PeerReachability], inbound: Collection[str]
    ) -> bool:
        """Become ready when all are reached or after a delay."""
        if self._begun_ms is None:
            self._begun_ms = now_ms
        complete = all(each.up for each in others.values())
        changed = not self.ready and (complete or now_ms - self._begun_ms >= START_DELAY_MS)
        self.ready = self.ready or changed
        return changed


class Outcome(NamedTuple):
    """Owners while all instances start."""

    #: Times at which an instance began and ceased to own each group, in ms.
    owned_ms: list[list[tuple[int, int]]]
    ready: int

    def owners(self, shortest_ms: int = 5) -> float:
        """Return the owners per group that had it for long enough to open connections."""
        long = [each for group in self.owned_ms for each in group if _lasts(each) >= shortest_ms]
        return len(long) / len(self.owned_ms)

    def first_ms(self) -> float:
        """Return when a group had its first owner, on average."""
        return sum(min(group)[0] for group in self.owned_ms) / len(self.owned_ms)


def _lasts(period: tuple[int, int]) -> int:
    return period[1] - period[0]


class Instance:
    """One starting instance and its links to the others."""

    def __init__(self, name: str, rng: random.Random, rule, starts: bool) -> None:
        self.name = name
        self.start_ms = rng.randrange(SPREAD_MS) if starts else 10**9
        self.known_ms = self.start_ms + KNOWN_MS
        self.phase = rng.randrange(TICK_MS)
        self.attempt = {}
        self.up: set[str] = set()
        #: Status of the others as last heard of.
        self.heard: dict[str, bool] = {}
        self.rule = rule()
        self.owned: dict[int, int] = {}
        self.inbound = 0

    def reach(self, world: Mapping[str, Instance], now_ms: int) -> dict[str, PeerReachability]:
        """Return the reach of the other instances."""
        return {
            name: PeerReachability(
                name in self.up, now_ms < other.start_ms, ready=self.heard.get(name, False)
            )
            for name, other in world.items()
            if name != self.name
        }


def start_all(seed: int, rule=OwnershipStart, count: int = 9, absent: int = 0) -> Outcome:
    """Start instances at random times and record who owns the groups until all are settled."""
    rng = random.Random(seed)
    peers = [Peer(f'gw-{n}', Address('10.0.0.1', 1), f'd{n % 3}', 1.0, 1) for n in range(count)]
    world = {
        peer.name: Instance(peer.name, rng, rule, number >= absent)
        for number, peer in enumerate(peers)
    }
    for each in world.values():
        each.attempt = {name: rng.randrange(RECONNECT_MS) for name in world}
    owned: list[list[tuple[int, int]]] = [[] for _ in range(GROUPS)]
    #: Instances that became ready, and when the others hear of it, in ms.
    news: list[tuple[int, str]] = []
    for now_ms in range(SPREAD_MS + 2_500):
        for each in world.values():
            if now_ms < each.known_ms:
                continue
            heard = [sender for due_ms, sender in news if due_ms == now_ms]
            each.heard |= dict.fromkeys(heard, True)
            changed = _connect(each, world, now_ms) or bool(heard)
            if not changed and now_ms % TICK_MS != each.phase:
                continue
            inbound = {name for name, other in world.items() if each.name in other.up}
            if each.rule.step(now_ms, each.reach(world, now_ms), inbound):
                news.append((now_ms + 1, each.name))
            _reconcile(each, world, peers, now_ms, owned)
    for each in world.values():
        for group, begun_ms in each.owned.items():
            owned[group].append((begun_ms, now_ms))
    return Outcome(owned, sum(each.rule.ready for each in world.values()))


def _connect(each: Instance, world: Mapping[str, Instance], now_ms: int) -> bool:
    changed = False
    for name, other in world.items():
        due = now_ms % RECONNECT_MS == each.attempt[name] or now_ms == each.known_ms
        if name != each.name and name not in each.up and due and now_ms >= other.start_ms:
            each.up.add(name)
            each.heard[name] = other.rule.ready
            changed = True
    # A link to this instance, or time, may have changed the decision as well.
    inbound = sum(each.name in other.up for other in world.values())
    changed = changed or inbound != each.inbound or now_ms == each.rule.next_change_ms()
    each.inbound = inbound
    return changed


def _reconcile(
    each: Instance,
    world: Mapping[str, Instance],
    peers: list[Peer],
    now_ms: int,
    owned: list[list[tuple[int, int]]],
) -> None:
    reach = each.reach(world, now_ms)
    reach[each.name] = PeerReachability(True, ready=each.rule.ready)
    able = set(ownership.eligible(world, reach)) if ownership.has_majority(world, reach) else set()
    for group in range(GROUPS):
        order = ownership.ranked(f'group/{group}', peers, able)
        if order and order[0] == each.name and group not in each.owned:
            each.owned[group] = now_ms
        elif order and order[0] != each.name and group in each.owned:
            owned[group].append((each.owned.pop(group), now_ms))
