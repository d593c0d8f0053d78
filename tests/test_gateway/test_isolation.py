"""Isolation of independent steps from each other's errors."""

from __future__ import annotations

import logging

import pytest

from godwitthread.clock import Clock
from godwitthread.gateway.isolation import TRACEBACK_INTERVAL_MS, run_all, traceback_logger


def test_all_steps_run_although_some_fail():
    """Guard against an error of one step that keeps the others from running."""
    done = []

    def fail():
        raise ValueError('scripted')

    with pytest.raises(ExceptionGroup) as info:
        run_all([fail, lambda: done.append(1), fail, lambda: done.append(2)])
    assert done == [1, 2]
    assert len(info.value.exceptions) == 2
    run_all([lambda: done.append(3)])
    assert done == [1, 2, 3]


def test_the_tracebacks_of_a_repeated_error_are_bounded(caplog):
    """Guard against 20 tracebacks a second of housekeeping that fails at each tick."""
    now_s = [0.0]
    log = traceback_logger(logging.getLogger('test'), Clock(lambda: now_s[0]))
    for _ in range(3 * TRACEBACK_INTERVAL_MS // 50):
        try:
            raise ValueError('scripted')
        except ValueError:
            log('failed')
        now_s[0] += 0.05
    assert len(caplog.records) == 3
