"""Routing of statements to the owner of their group, or to the instance with their transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from godwitthread.core.scheduling import wait_limits
from godwitthread.core.scheduling.retry_delays import RetryDelays
from godwitthread.core.statements import (
    Action,
    Result,
    RunRequest,
    failure,
    is_repeatable,
    unknown_outcome,
)
from godwitthread.errors import ERROR_RESPONSES, ErrorKind, Outcome, ProxyError
from godwitthread.gateway import links
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Peer
    from godwitthread.gateway.crossings import Crossings
    from godwitthread.gateway.group_homes import GroupHomes
    from godwitthread.gateway.groups.group_runner import GroupRunner
    from godwitthread.gateway.links import Link

#: Delay before a statement is sent to the owner of its group again, in ms.
ROUTE_RETRY_MS = 30
#: Time beyond a statement's time limit that its answer from another instance may take, in ms.
CALL_SLACK_MS = 150
#: Errors of a call that had no effect.
NOTHING_SENT = (ErrorKind.BACKEND_UNAVAILABLE, ErrorKind.MOVED)
#: Errors of a result that state that the statement has not run.
NOT_RUN_ERRORS = frozenset(
    kind.value for kind, each in ERROR_RESPONSES.items() if each.outcome is Outcome.NOT_RUN
)

_results = msgspec.msgpack.Decoder(Result)


class StatementRouter:
    """Send each statement to the instance that runs it."""

    def __init__(
        self,
        peer: Peer,
        clock: Clock,
        runners: Mapping[str, GroupRunner],
        links_by_name: Mapping[str, Link],
        homes: GroupHomes,
        crossings: Crossings,
        track_work: Callable[[str], None],
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        retry_spacing_ms: Callable[[str], float],
    ) -> None:
        self._name = peer.name
        #: Sender of the statements that this instance runs for its own sessions.
        self._sender = f'{peer.name}/{peer.incarnation}'
        self._clock = clock
        self._runners = runners
        self._links = links_by_name
        self._homes = homes
        self._crossings = crossings
        #: Keeps a group from being released while its statements run.
        self._track_work = track_work
        #: Returns whether this instance may own groups.
        self._is_ready = is_ready
        self._is_stopping = is_stopping
        #: Returns the time between two callers that return to a group, in ms.
        self._retry_spacing_ms = retry_spacing_ms
        #: Retry delays of statements for which no owner was reached, by group.
        self._retry_delays: dict[str, RetryDelays] = {}
        self._started_ms = clock.now_ms()
        self._ownerless_since_ms: dict[str, int] = {}

    def run(self, req: RunRequest, holder: str | None) -> tuple[Result, str | None]:
        """Run a statement at the owner of its group, or at the instance with its transaction."""
        if holder is not None:
            return self._run_at_transaction_owner(req, holder), holder
        started_ms, moved = self._clock.now_ms(), 0
        # Message of an attempt that may have run; no later one is then refused as not run.
        lost = ''
        while True:
            now_ms = self._clock.now_ms()
            left = req._replace(
                remaining_ms=req.remaining_ms - (now_ms - started_ms),
                objective_ms=max(0, req.objective_ms - (now_ms - started_ms)),
            )
            owner = self._homes.owner(req.group, moved)
            ownerless_ms = self._ownerless_ms(req.group, owner, now_ms)
            wait_ms = wait_limits.owner_wait_ms(req.remaining_ms, req.objective_ms, ownerless_ms)
            try:
                if owner is None:
                    raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'no instance owns the group')
                return _after_lost_attempt(self._run_at(owner, left), lost), owner
            except ProxyError as exc:
                final = _final_result(req, exc)
                if final is not None:
                    return final, owner
                lost = lost if exc.kind in NOTHING_SENT else exc.message
                over = self._clock.now_ms() + ROUTE_RETRY_MS >= started_ms + wait_ms
                if over or self._is_stopping():
                    if lost:
                        return failure(ErrorKind.CONNECTION_LOST, lost), owner
                    kind = ErrorKind.BACKEND_UNAVAILABLE
                    delay_ms = self._retry_delay_ms(req, started_ms)
                    return failure(kind, exc.message, delay_ms, True), owner
                moved += exc.kind is ErrorKind.MOVED
                if exc.kind is ErrorKind.MOVED and self._homes.has_alternative(req.group, moved):
                    continue
            eventlet.sleep(ROUTE_RETRY_MS / 1000)

    def _retry_delay_ms(self, req: RunRequest, started_ms: int) -> int:
        """Return a retry delay that spreads the callers over the capacity of their group."""
        now_ms = self._clock.now_ms()
        left_ms = started_ms + req.remaining_ms - now_ms
        delays = self._retry_delays.setdefault(req.group, RetryDelays())
        spacing_ms = self._retry_spacing_ms(req.group)
        return delays.reserve(now_ms, ROUTE_RETRY_MS, spacing_ms, left_ms)

    def _ownerless_ms(self, group: str, owner: str | None, now_ms: int) -> int:
        """Return for how long this instance has known no owner of a group, in ms."""
        if owner is not None:
            self._ownerless_since_ms.pop(group, None)
            return 0
        since_ms = now_ms if self._is_ready() else self._started_ms
        return now_ms - self._ownerless_since_ms.setdefault(group, since_ms)

    def _run_at(self, owner: str, req: RunRequest) -> Result:
        if owner == self._name:
            return self.run_here(self._sender, req)
        return self._ask_result(self._links[owner], req)

    def _ask_result(self, link: Link, req: RunRequest) -> Result:
        body = link.call('run', req, req.remaining_ms + CALL_SLACK_MS)
        self._crossings.record_call(link.peer.failure_domain, req, len(memoryview(body)))
        result: Result = links.decode_answer(_results, body)
        return result

    def _run_at_transaction_owner(self, req: RunRequest, holder: str) -> Result:
        try:
            if holder == self._name:
                runner = self._runners.get(req.group)
                if runner is None:
                    raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'the group was removed')
                return runner.run(self._sender, req)
            link = self._links.get(holder)
            if link is None:
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, f'instance {holder} is unavailable')
            if req.action is Action.ROLLBACK:
                link.send_oneway('run', req)
                return Result(ended=True)
            return self._ask_result(link, req)
        except ProxyError as exc:
            if exc.kind is ErrorKind.BODY_TOO_LARGE:
                return failure(exc.kind, exc.message)
            if exc.kind in NOTHING_SENT:
                return failure(ErrorKind.TRANSACTION_LOST, exc.message, ended=True)
            return unknown_outcome(req, exc.message)

    def run_here(self, sender: str, req: RunRequest) -> Result:
        """Run a statement at this instance as the owner; raise ProxyError."""
        runner = self._runners.get(req.group)
        if runner is None:
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'the group is unknown to this instance')
        if req.first and not self._homes.owns(req.group):
            raise ProxyError(ErrorKind.MOVED, 'another instance owns the group')
        self._track_work(req.group)
        return runner.run(sender, req)


def _final_result(req: RunRequest, exc: ProxyError) -> Result | None:
    """Return the result of a statement that is not sent again after an error."""
    if exc.kind is ErrorKind.BODY_TOO_LARGE:
        return failure(exc.kind, exc.message)
    if exc.kind in NOTHING_SENT or is_repeatable(req):
        return None
    return unknown_outcome(req, exc.message)


def _after_lost_attempt(result: Result, lost: str) -> Result:
    """Return a result, but do not report as not run what an earlier attempt may have run."""
    if lost and result.error in NOT_RUN_ERRORS:
        return failure(ErrorKind.CONNECTION_LOST, lost, result.retry_after_ms, True)
    return result
