"""Answers of other instances to forwarded requests."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from godwitthread.core.token import TransactionId
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.instance.forwarding import ForwardAnswer, Forwarder, ForwardRequest
from godwitthread.instance.protocol import Request
from godwitthread.manifest.directory import Caller
from tests.builders import seat

REQUEST = Request('r1', '', None, None, 't', 1_000)
ID = TransactionId('drivers', 'entry-1', 1, 5)


def run(answer: object) -> object:
    """Run a request in a transaction of another instance that gives an answer."""
    state = SimpleNamespace(now_ms=lambda: 0, roster=SimpleNamespace(seats=[seat(1)]), seat=seat(0))
    link = SimpleNamespace(call=lambda *_: answer)
    return Forwarder(state, link).run(ID, Caller('drivers', 'k'), REQUEST)


def test_the_answer_to_a_request_is_returned():
    """Guards against a check that refuses correct answers."""
    assert run(ForwardAnswer({'request_id': 'r1'})) == {'request_id': 'r1'}


@pytest.mark.parametrize(
    'answer',
    [
        ForwardAnswer({'request_id': 'r2', 'rows': [[2]]}),
        ForwardAnswer({}),
        ForwardRequest('run', 'r1', '', '', '', None, None, None, 1),
    ],
    ids=['other request', 'no request', 'other kind'],
)
def test_the_answer_to_another_request_is_not_returned(answer):
    """Guards against rows of another statement (MIXED)."""
    with pytest.raises(ProxyError) as caught:
        run(answer)
    assert caught.value.kind is ErrorKind.CONNECTION_LOST
