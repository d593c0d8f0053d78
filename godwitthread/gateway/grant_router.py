"""Requests for operations within the rate of an organisation, on their way to its granter."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core.indirect_reach import PROBE_INTERVAL_MS
from godwitthread.core.rate_grants import Grant
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import links
from godwitthread.gateway.rate_limiter import CALL_TIMEOUT_MS, GrantRequest
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.clock import Clock
    from godwitthread.gateway.links import Link
    from godwitthread.gateway.ownership_manager import OwnershipManager
    from godwitthread.gateway.rate_limiter import RateLimiter

#: Maximum number of times that a request is forwarded: by a candidate that does not reach the
#: granter, and by the one that it asks because that one does.
MAX_FORWARDS = 2

_grants = msgspec.msgpack.Decoder(Grant)


class ReachRequest(NamedTuple):
    """Question which of the named instances the peer reaches."""

    names: tuple[str, ...]


class ReachAnswer(NamedTuple):
    """Instances that the peer reaches and that can own resources."""

    names: tuple[str, ...]


_reach_answers = msgspec.msgpack.Decoder(ReachAnswer)


class GrantRouter:
    """Route requests to the granter of a rate, also if only other instances reach it."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        manager: OwnershipManager,
        rate_limiter: RateLimiter,
        peer_links: Mapping[str, Link],
    ) -> None:
        self._name = name
        self._clock = clock
        self._manager = manager
        self._rate_limiter = rate_limiter
        self._links = peer_links
        self._probed_ms = 0

    def ask(self, request: GrantRequest, timeout_ms: int) -> Grant:
        """Request operations for this instance; raise ProxyError.

        The first candidate that this instance reaches finds out whether another one is the granter,
        so that not every instance has to.
        """
        first = self._manager.owner(f'rate/{request.organisation}')
        if first is None:
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'no instance grants the rate')
        if first == self._name:
            return self.answer(request)
        return self._send(first, request, timeout_ms)

    def answer(self, request: GrantRequest) -> Grant:
        """Grant operations as the granter, or have it grant them; raise ProxyError."""
        granter = self._manager.granter(request.organisation)
        if granter.uncertain:
            self._probe()
        if granter.name == self._name:
            return self._rate_limiter.grant(request)
        if granter.name is None or request.forwards >= MAX_FORWARDS:
            raise ProxyError(ErrorKind.MOVED, 'another instance grants the rate')
        forwarded = request._replace(forwards=request.forwards + 1)
        return self._send(granter.name, forwarded, CALL_TIMEOUT_MS)

    def answer_reach(self, request: ReachRequest) -> ReachAnswer:
        """Return which of the named instances this one reaches."""
        able = self._manager.able()
        return ReachAnswer(tuple(name for name in request.names if name in able))

    def _send(self, granter: str, request: GrantRequest, timeout_ms: int) -> Grant:
        link = self._links.get(granter)
        if link is None or not link.up:
            reporter = self._manager.reporter(granter)
            link = self._links.get(reporter) if reporter else None
            if link is None:
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, f'no way to {granter}')
        # Older builds know no forwarded requests.
        body = link.call('grant', request if request.forwards else request[:-1], timeout_ms)
        grant: Grant = links.decode_answer(_grants, body)
        return grant

    def _probe(self) -> None:
        """Ask the other candidates which of the missing ones they reach."""
        now_ms = self._clock.now_ms()
        if now_ms - self._probed_ms < PROBE_INTERVAL_MS:
            return
        self._probed_ms = now_ms
        self._manager.indirect.record_question(now_ms)
        request = ReachRequest(tuple(self._manager.indirect.missing))
        for name in self._manager.reporters():
            eventlet.spawn_n(self._ask_reach, name, request)

    def _ask_reach(self, name: str, request: ReachRequest) -> None:
        sent_ms = self._clock.now_ms()
        try:
            body = self._links[name].call('reach', request, CALL_TIMEOUT_MS)
            answer: ReachAnswer = links.decode_answer(_reach_answers, body)
        except (KeyError, ProxyError):
            # An older build knows no such call, and a silent peer is no evidence.
            return
        self._manager.indirect.record_answer(sent_ms, name, answer.names)
        self._manager.reconcile()
