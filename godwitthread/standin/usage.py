"""Stand-in for the platform's usage call, which checks tokens, holders and repeats."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwitthread.standin.rows import PromotionEndpoint


class _Act(NamedTuple):
    """Accepted call of a holder."""

    holder: str
    at_ms: int


class UsageLedger:
    """Accepted reports, and the violations of the contract."""

    def __init__(self, fence: bool, lease_ms: int) -> None:
        #: Accepted counts by window.
        self.accepted: dict[int, dict[str, int]] = {}
        self.violations: list[str] = []
        self._fence = fence
        self._lease_ms = lease_ms
        self._accepted_ms: dict[int, int] = {}
        self._newest = 0
        #: Holders by token, and the tokens that were refused.
        self._holders: dict[int, str] = {}
        self._refused: set[int] = set()
        self._acts: list[_Act] = []

    def post(
        self, now_ms: int, window: int, counts: dict[str, int], holder: str, token: int
    ) -> int:
        """Carry out a call; return its HTTP status."""
        if self._holders.setdefault(token, holder) != holder:
            self.violations.append(f'token {token} of {self._holders[token]} sent by {holder}')
        if token in self._refused:
            self.violations.append(f'token {token} sent again after a refusal')
        if token < self._newest:
            if self._fence:
                self._refused.add(token)
                return 409
            self.violations.append(f'token {token} of {holder} after {self._newest}')
        self._newest = max(self._newest, token)
        self._check_order(now_ms, holder)
        if self.accepted.setdefault(window, counts) != counts:
            self.violations.append(f'two reports of window {window} differ')
        self._accepted_ms.setdefault(window, now_ms)
        return 200

    def in_time(self, window: int, deadline_ms: int) -> bool:
        """Return whether a window was reported by a time."""
        return window in self.accepted and self._accepted_ms[window] <= deadline_ms

    def _check_order(self, now_ms: int, holder: str) -> None:
        """Record an act; holders in the order A, B, A within the lease violate the contract."""
        changes = [each for each in self._acts if each.at_ms > now_ms - self._lease_ms]
        own = [index for index, each in enumerate(changes) if each.holder == holder]
        if own and any(each.holder != holder for each in changes[own[0] :]):
            self.violations.append(f'{holder} acts again within the lease, at {now_ms}')
        self._acts = [*changes, _Act(holder, now_ms)]


class UsageEndpoint:
    """Serve the usage call, and pass all other calls on to the promotion endpoint."""

    def __init__(self, ledger: UsageLedger, promotions: PromotionEndpoint) -> None:
        self._ledger = ledger
        self._promotions = promotions

    def application(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve the platform's calls as a WSGI application."""
        if environ['PATH_INFO'] != '/usage':
            return self._promotions.application(environ, start_response)
        body = json.loads(environ['wsgi.input'].read())
        status = self._ledger.post(
            time.time_ns() // 1_000_000,
            body['WindowId'],
            body['Counts'],
            environ['HTTP_GODWITTHREAD_DUTY_HOLDER'],
            int(environ['HTTP_GODWITTHREAD_FENCING_TOKEN']),
        )
        if self._promotions.silent:
            eventlet.sleep(30)
        start_response(f'{status} -', [('Content-Length', '0')])
        return [b'']
