"""Phases of a planned stop."""

from __future__ import annotations

import pytest

from godwitthread.core.shutdown import Phase, phase


@pytest.mark.parametrize(
    ('elapsed_ms', 'out_of_rotation', 'busy', 'expected'),
    [
        (0, False, False, Phase.LAME_DUCK),
        (2_300, False, True, Phase.LAME_DUCK),
        (2_400, False, True, Phase.DRAINING),
        (100, True, False, Phase.DRAINING),
        (300, True, False, Phase.STOPPING),
        (2_900, True, True, Phase.DRAINING),
        (3_000, True, True, Phase.ABORTING),
        (5_299, True, True, Phase.ABORTING),
        (5_300, False, True, Phase.STOPPING),
    ],
)
def test_phase_follows_from_the_time_and_the_open_work(elapsed_ms, out_of_rotation, busy, expected):
    """Guard against an early exit, and against one that comes only by SIGKILL."""
    assert phase(elapsed_ms, 6_000, out_of_rotation, busy) is expected


@pytest.mark.parametrize('grace_ms', [0, 300, 700, 1_000])
def test_a_short_grace_period_ends_before_it_is_over(grace_ms):
    """Guard against a lame-duck phase that takes up the time for final answers."""
    assert phase(max(0, grace_ms - 700), grace_ms, False, True) is Phase.STOPPING
