"""Admission by rate limits at one instance."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.clock import Clock
from godwitthread.core.catalog import Organisation
from godwitthread.core.rate_grants import Grant, RateTolerance
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import rate_limiter
from godwitthread.gateway.rate_limiter import GrantRequest, RateLimiter
from tests.test_gateway.fakes import quiet_log

OWNER = Organisation('drivers', 50.0, 50.0)


def make(ask) -> RateLimiter:
    """Build a rate limiter that knows one organisation."""
    clock = Clock()
    return RateLimiter(
        clock, lambda name: OWNER if name == 'drivers' else None, ask, quiet_log(clock)
    )


def test_a_refusal_of_the_granter_is_passed_on_at_once():
    """Guard against operations that wait although they will be refused."""
    limiter = make(lambda request, timeout_ms: Grant(0, 300))
    assert 0 < limiter.admit('drivers', 20, 400) <= 300


def test_an_operation_waits_while_the_granter_changes():
    """Guard against refusals within the rate during a change of ownership."""
    answers = [ProxyError(ErrorKind.MOVED, 'moved'), Grant(1, 0)]

    def ask(request, timeout_ms):
        answer = answers.pop(0)
        if isinstance(answer, ProxyError):
            raise answer
        return answer

    assert make(ask).admit('drivers', 0, 400) == 0


def test_a_granter_is_asked_again_as_soon_as_the_reach_changes(monkeypatch):
    """Guard against operations that wait for 40 ms each time while all instances start."""
    monkeypatch.setattr(rate_limiter, 'RETRY_MS', 60_000)
    answers = [ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'no way to b'), Grant(1, 0)]

    def ask(request, timeout_ms):
        answer = answers.pop(0)
        if isinstance(answer, ProxyError):
            raise answer
        return answer

    limiter = make(ask)
    admitted = eventlet.spawn(limiter.admit, 'drivers', 0, 30_000)
    eventlet.sleep(0)
    limiter.on_reach_changed()
    assert admitted.wait() == 0


def test_nothing_is_admitted_without_a_granter():
    """Guard against an isolated instance that admits operations beyond the shared rate."""

    def ask(request, timeout_ms):
        raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'cut')

    assert make(ask).admit('drivers', 20, 100) > 0


def test_concurrent_operations_share_one_request():
    """Guard against a request to the granter for each operation."""
    asked = []

    def ask(request, timeout_ms):
        asked.append(request)
        eventlet.sleep(0.02)
        return Grant(10, 0)

    limiter = make(ask)
    pool = eventlet.GreenPool()
    results = list(pool.imap(lambda _: limiter.admit('drivers', 100, 400), range(8)))
    assert results == [0] * 8
    assert len(asked) <= 2


def test_this_instance_grants_within_the_rate():
    """Guard against a granter that exceeds the rate limit."""
    limiter = make(lambda request, timeout_ms: limiter.grant(request))
    admitted = sum(limiter.admit('drivers', 0, 0) == 0 for _ in range(100))
    assert admitted <= 12


@pytest.mark.parametrize('changes', [4, 12, 40])
def test_a_granter_that_comes_and_goes_does_not_start_afresh_each_time(changes):
    """Guard against a rate exceeded because two instances grant it in turn, many times."""
    now = [100.0]
    clock = Clock(lambda: now[0], lambda: now[0])
    tolerance = RateTolerance(window_s=5, excess=0.1, slack=20)
    owner = Organisation('drivers', 12.0, 12.0)
    limiters = [
        RateLimiter(clock, lambda name: owner, lambda *_: Grant(0, 0), quiet_log(clock), tolerance)
        for _ in range(2)
    ]
    limiters[0].grant(GrantRequest('drivers', 1, 1.0))
    now[0] += 30
    granted, start_s = 0, now[0]
    for number in range(changes + 1):
        limiter = limiters[number % 2]
        while now[0] < start_s + 5 * (number + 1) / (changes + 1):
            granted += limiter.grant(GrantRequest('drivers', 50, 50.0)).amount
            now[0] += 0.02
        limiter.forget_granter('drivers')
    # Half of the slack is for hedged reads.
    assert granted <= (owner.rate * 5 + owner.burst) * 1.1 + 10
