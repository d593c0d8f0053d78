"""Requests for operations within the rate of an organisation, on their way to its granter."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from godwitthread.core.rate_grants import Grant
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import links
from godwitthread.gateway.rate_limiter import CALL_TIMEOUT_MS, GrantRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.gateway.links import Link
    from godwitthread.gateway.ownership_manager import OwnershipManager
    from godwitthread.gateway.rate_limiter import RateLimiter
    from godwitthread.gateway.reach_probe import ReachProbe

#: Maximum number of times that a request is forwarded: by a candidate that does not reach the
#: granter, and by the one that it asks because that one does.
MAX_FORWARDS = 2

_grants = msgspec.msgpack.Decoder(Grant)


class GrantRouter:
    """Route requests to the granter of a rate, also if only other instances reach it."""

    def __init__(
        self,
        name: str,
        manager: OwnershipManager,
        probe: ReachProbe,
        rate_limiter: RateLimiter,
        peer_links: Mapping[str, Link],
    ) -> None:
        self._name = name
        self._manager = manager
        self._probe = probe
        self._rate_limiter = rate_limiter
        self._links = peer_links

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
        granter = self._probe.owner(f'rate/{request.organisation}')
        if granter == self._name:
            return self._rate_limiter.grant(request)
        if granter is None or request.forwards >= MAX_FORWARDS:
            raise ProxyError(ErrorKind.MOVED, 'another instance grants the rate')
        forwarded = request._replace(forwards=request.forwards + 1)
        return self._send(granter, forwarded, CALL_TIMEOUT_MS)

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
