"""Failure domains in which the groups are owned, agreed between the instances."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core.home_domains import HomeDomains, HomeReport, primary_domain
from godwitthread.errors import ProxyError
from godwitthread.gateway import links
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Member
    from godwitthread.gateway.links import Link
    from godwitthread.gateway.ownership_manager import OwnershipManager

logger = logging.getLogger(__name__)

#: Time limit of a question for the failure domains, in ms.
CALL_TIMEOUT_MS = 500


class HomesRequest(NamedTuple):
    """Question for the failure domains in which the groups are owned."""


class HomesAnswer(NamedTuple):
    """Failure domains in which the groups are owned."""

    homes: tuple[HomeReport, ...] = ()


_answers = msgspec.msgpack.Decoder(HomesAnswer)


class GroupHomes:
    """Keep the failure domain of each group, and decide which statements this instance runs."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        manager: OwnershipManager,
        peer_links: Mapping[str, Link],
        enabled: bool,
    ) -> None:
        self._name = name
        self._clock = clock
        self._manager = manager
        self._links = peer_links
        self._homes = HomeDomains(clock.now_ms()) if enabled else None
        #: Whether the failure domains are being asked for.
        self._asking = False
        manager.homes = self._homes

    def observe(self, group: str, members: Iterable[Member]) -> None:
        """Record the failure domain of the primary of a group."""
        if self._homes is not None:
            before = self._homes.preferred(group)
            self._homes.observe(self._clock.now_ms(), group, primary_domain(members))
            if before != self._homes.preferred(group):
                self._manager.invalidate_group(group)

    def remove(self, group: str) -> None:
        """Forget a group that is no longer in the configuration."""
        if self._homes is not None:
            self._homes.remove(group)

    def tick(self) -> None:
        """Move the groups whose primary has stayed in another failure domain."""
        if self._homes is None:
            return
        for group in self._homes.tick(self._clock.now_ms()):
            self._manager.invalidate_group(group)
        if self._homes.confirmed or self._asking:
            return
        # One at a time, since the answer grows with the number of groups.
        if reached := [name for name, link in self._links.items() if link.up]:
            self._asking = True
            eventlet.spawn_n(self._ask, random.choice(reached))

    def answer(self) -> HomesAnswer:
        """Answer the question of a peer."""
        if self._homes is None:
            return HomesAnswer()
        return HomesAnswer(self._homes.report(self._clock.now_ms()))

    def owns(self, group: str) -> bool:
        """Return whether this instance runs the new operations of a group that it is asked for.

        Besides the owner, the former owner does for a moment, and the first instance by the hash
        outside the owner's failure domain does. It is asked by instances that do not reach the
        owner, and, while the setting is being released, by those without it.
        """
        resource = f'group/{group}'
        owner = self._manager.owner(resource)
        if owner == self._name:
            return True
        if self._homes is None or owner is None:
            return False
        former = self._homes.former(self._clock.now_ms(), group)
        if former and self._manager.first(resource, (former,)) == self._name:
            return True
        return self._manager.first(resource, (), without=owner) == self._name

    def owner(self, group: str, moved: int) -> str | None:
        """Return the instance to ask for an operation after a number of answers as moved.

        Instances may disagree on the failure domain of a group for a moment.
        """
        owner = self._manager.owner(f'group/{group}')
        if not moved or self._homes is None or owner is None:
            return owner
        others = self._others(group, owner)
        return others[moved % len(others)]

    def has_alternative(self, group: str, moved: int) -> bool:
        """Return whether another instance may own the group according to other instances."""
        owner = self._manager.owner(f'group/{group}')
        if self._homes is None or owner is None:
            return False
        return moved % len(self._others(group, owner)) != 0

    def _others(self, group: str, owner: str) -> list[str]:
        resource = f'group/{group}'
        domains = sorted({peer.failure_domain for peer in self._manager.candidates})
        first = [self._manager.first(resource, each) for each in ((), *((d,) for d in domains))]
        return list(dict.fromkeys([owner, *(name for name in first if name)]))

    def _ask(self, name: str) -> None:
        link = self._links.get(name)
        try:
            if link is None or self._homes is None:
                return
            body = link.call('homes', HomesRequest(), CALL_TIMEOUT_MS)
            answer = links.decode_answer(_answers, body)
            if self._homes.adopt(self._clock.now_ms(), answer.homes):
                self._manager.invalidate()
        except ProxyError as exc:
            # An instance of an older build does not know the call.
            logger.debug('failure domains of groups not learned from %s: %s', name, exc)
        finally:
            self._asking = False
