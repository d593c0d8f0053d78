"""Phases of a planned stop."""

from __future__ import annotations

import pytest

from godwitthread.core.shutdown import Phase, phase


@pytest.mark.parametrize(
    ('elapsed_ms', 'serving', 'busy', 'expected'),
    [
        (0, True, False, Phase.LAME_DUCK),
        (2_300, True, True, Phase.LAME_DUCK),
        (2_400, True, True, Phase.DRAINING),
        (100, False, False, Phase.DRAINING),
        (300, False, False, Phase.STOPPING),
        (2_900, False, True, Phase.DRAINING),
        (3_000, False, True, Phase.ABORTING),
        (5_299, False, True, Phase.ABORTING),
        (5_300, True, True, Phase.STOPPING),
    ],
)
def test_phase_follows_from_the_time_and_the_open_work(elapsed_ms, serving, busy, expected):
    """Guard against an early exit, and against one that comes only by SIGKILL."""
    assert phase(elapsed_ms, 6_000, serving, busy) is expected


@pytest.mark.parametrize('grace_ms', [0, 300, 700, 1_000])
def test_a_short_grace_period_ends_before_it_is_over(grace_ms):
    """Guard against a lame-duck phase that takes up the time for final answers."""
    assert phase(max(0, grace_ms - 700), grace_ms, True, True) is Phase.STOPPING
