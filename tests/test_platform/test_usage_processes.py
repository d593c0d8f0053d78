"""Usage reports of real gateway processes."""

from __future__ import annotations

import subprocess
import sys

from tests.test_platform.short_runs import ROOT, RUN_TIMEOUT_S

RUN = """
import sys, tempfile, time
from tests.test_platform.world import Deployment
from godwitthread.loop import eventlet

def reported():
    return sum(sum(counts.values()) for counts in deployment.usage.accepted.values())

with tempfile.TemporaryDirectory(prefix='usage-') as folder:
    deployment = Deployment(1, 3, 2, folder)
    try:
        eventlet.sleep(2)
        for caller in range(4):
            eventlet.spawn(deployment.run_caller, caller)
        eventlet.sleep(6)
        deployment.stopping = True
        for _ in range(60):
            eventlet.sleep(0.5)
            if reported() >= deployment.served:
                break
        served, requested = deployment.served, deployment.requested
        print(reported(), served, requested, deployment.usage.violations)
        ok = served > 0 and served <= reported() <= requested and not deployment.usage.violations
    finally:
        deployment.close()
sys.exit(not ok)
"""


def test_the_reports_name_each_request_that_ran():
    """Guard against requests that are not counted on their way through the processes, or twice."""
    command = [sys.executable, '-c', RUN]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
    assert run.returncode == 0, run.stdout + run.stderr[-2_000:]
    print(run.stdout)  # noqa: T201
