"""Admission of requests: authentication, routing, rate limits and the check before sending."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.invariants import Promise
from godwitthread.core.quota import Admission
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet
from godwitthread.manifest.directory import Caller, rate_resource
from godwitthread.manifest.types import Route

if TYPE_CHECKING:
    from godwitthread.instance.state import InstanceState
    from godwitthread.manifest.directory import Directory

#: Longest wait for a rate share or a token before the request is refused, in ms.
#: It covers one round trip to the share owner and the reduction of another holder's share.
MAX_RATE_WAIT_MS = 400
#: Maximum number of requests that wait for the rate of one resource at the same time.
#: It bounds the requests that a traffic surge can hold in memory.
MAX_RATE_WAITERS = 32
#: Retry delay returned to callers while the instance has no seat, in ms. Within this time
#: the instance gets a seat or the caller tries another instance.
NO_SEAT_RETRY_MS = 1_000


class AdmittedRequest(NamedTuple):
    """Authenticated and routed request."""

    caller: Caller | None
    route: Route
    #: Organisation, or the open route, that the request is charged to.
    account: str
    #: Configuration version that the request was admitted under.
    version: int

    @property
    def resource(self) -> str:
        """Return the name of the rate limit that applies to the request."""
        return f'rate/{self.account}'

    @property
    def organisation(self) -> str:
        """Return the organisation that session tokens are bound to."""
        return self.caller.organisation if self.caller is not None else self.account


class RateLimiter:
    """Apply rate limits to requests, with a short bounded wait."""

    def __init__(self, state: InstanceState) -> None:
        self._state = state
        self._waiting: dict[str, int] = {}

    def acquire(self, resource: str, deadline_ms: int) -> None:
        """Take one token; raise RATE_LIMITED with a retry delay if none becomes available."""
        state = self._state
        begun_ms = state.now_ms()
        while True:
            now_ms = state.now_ms()
            admission = self._admit(now_ms, resource)
            if admission.admitted:
                return
            wait_ms = max(5, min(admission.retry_after_ms, 50))
            over = now_ms + wait_ms > min(begun_ms + MAX_RATE_WAIT_MS, deadline_ms)
            if over or self._waiting.get(resource, 0) >= MAX_RATE_WAITERS:
                raise ProxyError(
                    ErrorKind.RATE_LIMITED,
                    'the rate limit of the organisation is exhausted',
                    retry_after_ms=max(1, admission.retry_after_ms),
                )
            self._wait(resource, wait_ms)

    def _admit(self, now_ms: int, resource: str) -> Admission:
        state = self._state
        try:
            return state.holder.admit(now_ms, resource, 1, fresh=state.is_fresh())
        except KeyError:
            # An instance without a seat has no share of any rate limit.
            return Admission(False, NO_SEAT_RETRY_MS)

    def _wait(self, resource: str, wait_ms: int) -> None:
        self._waiting[resource] = self._waiting.get(resource, 0) + 1
        try:
            eventlet.sleep(wait_ms / 1000)
        finally:
            self._waiting[resource] -= 1


def authenticate(state: InstanceState, key: str | None, route: str) -> AdmittedRequest:
    """Return the caller and the route of a request; raise ProxyError if it is refused."""
    directory = state.require_ready()
    caller, found = directory.admit(key, route)
    account = rate_resource(caller, found).removeprefix('rate/')
    return AdmittedRequest(caller, found, account, directory.version)


def revalidate(state: InstanceState, admitted: AdmittedRequest) -> Directory:
    """Check a request against the configuration in force just before it is sent.

    The key may have been withdrawn while the request waited for a connection.
    """
    directory = state.require_ready()
    caller = admitted.caller
    if caller is not None and not directory.is_active(caller):
        raise ProxyError(ErrorKind.KEY_WITHDRAWN, f'the key {caller.key_id} is withdrawn')
    if not directory.allows(caller, admitted.route):
        raise ProxyError(ErrorKind.ROUTE_FORBIDDEN, 'the route is closed to the organisation')
    return directory


def require_member(state: InstanceState, database: str, member: str) -> None:
    """Raise BACKEND_UNAVAILABLE if a member left the manifest while a request waited for it."""
    if state.member(database, member) is None:
        text = f'{member} is no longer a member of {database}'
        raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, text, retry_after_ms=0)


def check_send_invariants(
    state: InstanceState, admitted: AdmittedRequest, directory: Directory, member: str
) -> None:
    """Check the invariants that apply when a statement is sent to a member."""
    check = state.invariants.check
    caller = admitted.caller
    check(Promise.WITHDRAWN_KEY, caller is None or directory.is_active(caller), 'inactive key')
    check(
        Promise.ORGANISATION_KEY,
        directory.allows(caller, admitted.route),
        f'{admitted.account} on {admitted.route.name}',
    )
    database = admitted.route.database
    spec = state.member(database, member)
    in_grace_period = spec is not None and state.drain_tracker.in_grace_period(
        state.now_ms(), database, spec
    )
    check(
        Promise.BACKEND_LEAVING, spec is not None and (not spec.leaving or in_grace_period), member
    )
    out = spec is not None and directory.domain_out(spec.failure_domain)
    check(Promise.DOMAIN_OUT, spec is not None and (not out or in_grace_period), member)
