"""Questions to other instances which candidates they reach, and the owners that follow."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core.indirect_reach import PROBE_INTERVAL_MS
from godwitthread.errors import ProxyError
from godwitthread.gateway import links
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.clock import Clock
    from godwitthread.gateway.links import Link
    from godwitthread.gateway.ownership_manager import OwnershipManager

#: Time limit of a question, in ms.
CALL_TIMEOUT_MS = 300


class ReachRequest(NamedTuple):
    """Question which of the named instances the peer reaches."""

    names: tuple[str, ...]


class ReachAnswer(NamedTuple):
    """Instances that the peer reaches and that can own resources."""

    names: tuple[str, ...]


_answers = msgspec.msgpack.Decoder(ReachAnswer)


class ReachProbe:
    """Determine owners that all instances agree on, also those that only others reach."""

    def __init__(
        self, clock: Clock, manager: OwnershipManager, peer_links: Mapping[str, Link]
    ) -> None:
        self._clock = clock
        self._manager = manager
        self._links = peer_links
        self._asked_ms = 0

    def owner(self, resource: str) -> str | None:
        """Return the agreed owner; ask other instances if it depends on what they reach.

        Return None without a majority or an available candidate.
        """
        owner = self._manager.agreed_owner(resource)
        if owner.uncertain:
            self._ask()
        return owner.name

    def answer(self, request: ReachRequest) -> ReachAnswer:
        """Return which of the named instances this one reaches."""
        able = self._manager.able()
        return ReachAnswer(tuple(name for name in request.names if name in able))

    def _ask(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._asked_ms < PROBE_INTERVAL_MS:
            return
        self._asked_ms = now_ms
        self._manager.indirect.record_question(now_ms)
        request = ReachRequest(tuple(self._manager.indirect.missing))
        for name in self._manager.reporters():
            eventlet.spawn_n(self._ask_peer, name, request)

    def _ask_peer(self, name: str, request: ReachRequest) -> None:
        sent_ms = self._clock.now_ms()
        try:
            body = self._links[name].call('reach', request, CALL_TIMEOUT_MS)
            answer: ReachAnswer = links.decode_answer(_answers, body)
        except (KeyError, ProxyError):
            # An older build knows no such call, and a silent peer is no evidence.
            return
        self._manager.indirect.record_answer(sent_ms, name, answer.names)
        self._manager.reconcile()
