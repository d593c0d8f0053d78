"""Rate limits of organisations: admission at this instance, and grants to other instances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.rate_grants import Grant, RateGranter, RateHolder
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Organisation
    from godwitthread.core.rate_grants import RateTolerance
    from godwitthread.gateway.logs import Log

#: Delay before another request to a granter that could not be reached, in ms, unless the reach of
#: an instance changes before.
RETRY_MS = 40
#: Time limit of a request to a granter, in ms.
CALL_TIMEOUT_MS = 300


class GrantRequest(NamedTuple):
    """Request of a holder to the granter of an organisation's rate."""

    organisation: str
    needed: int
    wanted: float
    #: Number of times that it was forwarded; older builds know no such field.
    forwards: int = 0


class RateLimiter:
    """Admit operations within the rate limits of their organisations."""

    def __init__(
        self,
        clock: Clock,
        organisation: Callable[[str], Organisation | None],
        ask: Callable[[GrantRequest, int], Grant],
        log: Log,
        tolerance: RateTolerance | None = None,
    ) -> None:
        self._clock = clock
        self._tolerance = tolerance
        #: Returns an organisation of the current configuration, with its rate limit.
        self._organisation = organisation
        #: Sends a request to the granter of an organisation; raises ProxyError.
        self._ask = ask
        self._log = log
        self._holders: dict[str, RateHolder] = {}
        self._granters: dict[str, RateGranter] = {}
        #: When this instance ceased to be a granter, in ms, and the operations left then.
        self._former: dict[str, tuple[int, float]] = {}
        self._asking: dict[str, eventlet.event.Event] = {}
        #: Sent when an instance becomes reachable or unreachable.
        self._reach_changed = eventlet.event.Event()

    def admit(self, organisation: str, wait_ms: int, hold_ms: int) -> int:
        """Return 0 if an operation is admitted, else the delay before a retry, in ms.

        Wait up to `wait_ms` for the rate, and up to `hold_ms` for a granter that is unreachable.
        """
        holder = self._holders.setdefault(organisation, RateHolder())
        end_ms = self._clock.now_ms() + wait_ms
        hold_ms += self._clock.now_ms()
        holder.waiting += 1
        try:
            while not holder.take(self._clock.now_ms()):
                now_ms = self._clock.now_ms()
                if holder.refused_until_ms > now_ms:
                    if holder.refused_until_ms > end_ms:
                        return holder.next_return_ms(now_ms)
                    eventlet.sleep((holder.refused_until_ms - now_ms) / 1000)
                elif now_ms >= hold_ms:
                    return RETRY_MS
                else:
                    self._request_grant(organisation, holder)
            return 0
        finally:
            holder.waiting -= 1

    def grant(self, req: GrantRequest) -> Grant:
        """Answer a request as the granter; raise ProxyError for an unknown organisation."""
        now_ms = self._clock.now_ms()
        owner = self._organisation(req.organisation)
        if owner is None:
            raise ProxyError(ErrorKind.KEY_INVALID, 'unknown organisation')
        granter = self._granters.get(req.organisation)
        if granter is None:
            left = self._left(now_ms, req.organisation)
            granter = RateGranter(now_ms, owner.rate, owner.burst, self._tolerance, left)
            self._granters[req.organisation] = granter
        granter.set_limit(now_ms, owner.rate, owner.burst)
        return granter.grant(now_ms, req.needed, req.wanted)

    def forget_granter(self, organisation: str) -> None:
        """Drop the grants of an organisation, since another instance is its granter now."""
        granter = self._granters.pop(organisation, None)
        if granter is not None and self._tolerance is not None:
            now_ms = self._clock.now_ms()
            self._former[organisation] = now_ms, granter.left(now_ms)

    def _left(self, now_ms: int, organisation: str) -> float:
        """Return the operations left if this instance was the granter within the last window."""
        ended_ms, left = self._former.pop(organisation, (0, math.inf))
        window_ms = 1000 * self._tolerance.window_s if self._tolerance else 0.0
        return left if now_ms - ended_ms < window_ms else math.inf

    def on_reach_changed(self) -> None:
        """Ask granters that could not be reached again."""
        changed, self._reach_changed = self._reach_changed, eventlet.event.Event()
        changed.send()

    def granted(self) -> list[str]:
        """Return the organisations whose granter is this instance."""
        return list(self._granters)

    def _request_grant(self, organisation: str, holder: RateHolder) -> None:
        asking = self._asking.get(organisation)
        if asking is not None:
            asking.wait()
            return
        done = self._asking[organisation] = eventlet.event.Event()
        sent_ms = self._clock.now_ms()
        try:
            req = GrantRequest(organisation, holder.waiting, holder.wanted())
            grant = self._ask(req, CALL_TIMEOUT_MS)
            holder.receive(sent_ms, self._clock.now_ms(), grant)
        except ProxyError as exc:
            # The granter is changing or unreachable; without a grant nothing is admitted.
            self._log.failure('rate_not_granted', organisation=organisation, reason=exc.message)
            with eventlet.Timeout(RETRY_MS / 1000, False):
                self._reach_changed.wait()
        finally:
            del self._asking[organisation]
            done.send()
