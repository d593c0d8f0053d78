"""The ledger of the planned runs names each request that is lost, and no other one."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from tests.test_platform.planned_callers import Ledger, Losses, Request, check_answers


def _check(folder, executed=(), answered=False, ended_ms=None, log=''):
    """Check one write, which was sent at 1000 ms."""
    ledger = Ledger()
    ledger.requests['c1.1'] = Request('c1.1', 'WRITE c1 5', 0, 1_000, False, False)
    if answered:
        ledger.answers['c1.1'] = ''
    if ended_ms is not None:
        ledger.ended_ms['c1.1'] = ended_ms
    (folder / 'node-0.log').write_text(log)
    group = SimpleNamespace(executed=[('m', 'big', each, '') for each in executed])
    deployment = SimpleNamespace(groups=[group], folder=folder)
    work = SimpleNamespace(deployment=deployment, since_stop=lambda req, ended_ms: '')
    return check_answers(ledger, work)


def test_answered_request_is_no_loss(tmp_path):
    """Guard against violations that are none."""
    assert _check(tmp_path, executed=['c1.1'], answered=True) == Losses([], 0, 0, 0)


@pytest.mark.parametrize('ended_ms', [1_000, 1_500, None])
def test_executed_request_must_be_answered(tmp_path, ended_ms):
    """Guard against a statement that is executed and whose answer is lost."""
    losses = _check(tmp_path, executed=['c1.1'], ended_ms=ended_ms)
    assert [each.partition(':')[0] for each in losses.violations] == ['executed without an answer']


@pytest.mark.parametrize('ended_ms', [1_201, None])
def test_request_must_not_be_dropped_after_a_while(tmp_path, ended_ms):
    """Guard against a request that is accepted and dropped without being executed."""
    losses = _check(tmp_path, ended_ms=ended_ms)
    assert [each.partition(':')[0] for each in losses.violations] == ['dropped']


def test_request_may_cross_the_end_of_its_connection(tmp_path):
    """Guard against a violation for a request that no instance can have read."""
    assert _check(tmp_path, ended_ms=1_200) == Losses([], 0, 1, 0)


def test_request_in_a_log_was_read(tmp_path):
    """Guard against counting a request as unread that an instance names, despite a cut line."""
    log = 'text\n{"request": "c1.1"}\n{"request": "c1'
    assert _check(tmp_path, ended_ms=1_100, log=log) == Losses([], 1, 0, 0)
