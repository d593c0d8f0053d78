"""Short seeded runs of real gateway processes during planned work."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
#: Time-out of a run, in s; a run takes about 25 s on an idle machine.
RUN_TIMEOUT_S = 240


@pytest.mark.parametrize('seed', [1, 3])
def test_every_request_is_answered_during_planned_work(seed):
    """Guard against requests that an instance reads and does not answer before it ends."""
    run = subprocess.run(
        [
            sys.executable,
            *('-m', 'tests.test_platform.world', '--planned'),
            *('--seed', str(seed), '--seconds', '9'),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )
    assert run.returncode == 0, run.stdout + run.stderr[-2_000:]
