"""Malformed answers of the control functions of members."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import pytest

from godwitthread.backend import control
from godwitthread.errors import ErrorKind, ProxyError
from tests import malformed

STATUS = {
    'member': 'orders-1', 'role': 'primary', 'term': 3, 'offset': 7, 'promised_term': 3,
    'promised_to': 'a/1', 'lag_ms': 0, 'history': [[1, 0], [3, 5]], 'writable': True,
    'connections': 2, 'connection_limit': 30,
}  # fmt: skip
REPLICA = {'member': 'orders-2', 'term': 3, 'offset': 6, 'lag_ms': 4}


class Answer(NamedTuple):
    """Result of a statement."""

    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]


class Member:
    """Connection to a member that gives one answer."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer

    def run(self, sql, params=(), *, timeout_ms):
        return self.answer


def status_of(row: dict[str, Any], replicas: str) -> list[control.StatusReport]:
    """Return the reports that a row of `godwit_status` yields."""
    row = row | {'replicas': replicas}
    return control.status_reports(Member(Answer(tuple(row), [tuple(row.values())])), 'orders', 0)


def test_a_malformed_report_on_a_replica_hides_no_other_report():
    """Guard against a primary that counts as lost because of its report on one replica."""
    for document in malformed.documents(REPLICA):
        reports = status_of(STATUS, f'[{document.decode()}, {json.dumps(REPLICA)}]')
        assert reports[0].report.member == 'orders-1'
        if is_json(document):
            assert reports[-1].report.member == 'orders-2'
    for document in malformed.documents([]):
        assert status_of(STATUS, document.decode())[0].report.member == 'orders-1'


def is_json(document: bytes) -> bool:
    """Return whether the decoder of the module under test accepts a document."""
    try:
        json.loads(document)
    except (ValueError, RecursionError):
        return False
    return True


@pytest.mark.parametrize('column', sorted(STATUS))
@pytest.mark.parametrize('value', [None, 'x', float('inf'), [], '9' * 5_000])
def test_a_malformed_status_is_a_failed_call(column, value):
    """Guard against a member that counts neither as up nor as down, so that nobody replaces it."""
    try:
        status_of(STATUS | {column: value}, '[]')
    except ProxyError as exc:
        assert exc.kind is ErrorKind.CONNECTION_LOST


@pytest.mark.parametrize('answer', [Answer((), []), Answer(('a',), [()]), Answer(('a',), [(1,)])])
@pytest.mark.parametrize('call', [control.fence, control.promote, control.follow])
def test_a_malformed_reply_is_a_failed_call(call, answer):
    """Guard against an attempt to replace a primary that ends with an unexpected error."""
    with pytest.raises(ProxyError):
        call(Member(answer), 4, 'a/1')
    with pytest.raises(ProxyError):
        control.status(Member(answer), 'orders', 0)
