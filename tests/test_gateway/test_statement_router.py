"""Routing of statements to the owner of their group."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import pytest

from godwitthread.clock import Clock
from godwitthread.core.statements import failure
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.statement_router import StatementRouter
from tests.test_gateway.fakes import request


class ScriptedLink:
    """Link whose calls fail one after the other, or are answered."""

    def __init__(self, outcomes):
        self.peer = SimpleNamespace(name='b', failure_domain='d2')
        self.outcomes = outcomes

    def call(self, kind, body, timeout_ms):
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        if isinstance(outcome, ProxyError):
            raise outcome
        return msgspec.Raw(msgspec.msgpack.encode(outcome))


def router(outcomes) -> StatementRouter:
    """Build the router of an instance that reaches the owner by a scripted link."""
    homes = SimpleNamespace(
        owner=lambda group, moved: 'b', has_alternative=lambda group, moved: False
    )
    return StatementRouter(
        SimpleNamespace(name='a', incarnation=1),
        Clock(),
        {},
        {'b': ScriptedLink(outcomes)},
        homes,
        SimpleNamespace(record_call=lambda *args: None),
        lambda group: None,
        lambda: True,
        lambda: False,
        lambda group: 1.0,
    )


LOST = ProxyError(ErrorKind.CONNECTION_LOST, 'link to b ended')
ABSENT = ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'no link to b')
REFUSED = failure(ErrorKind.OVERLOADED, 'full', 30, True)


@pytest.mark.parametrize('last', [ABSENT, REFUSED])
def test_a_read_that_may_have_run_is_not_refused_as_not_run(last):
    """Guard against a refusal that denies an attempt whose answer was lost with its link."""
    req = request('READ i', remaining_ms=200)
    assert router([last]).run(req, None)[0].error == (
        REFUSED.error if last is REFUSED else ErrorKind.BACKEND_UNAVAILABLE.value
    )
    assert router([LOST, last]).run(req, None)[0].error == ErrorKind.CONNECTION_LOST.value
