"""Deployments of stand-ins and instances on one loop, with a clock of its own."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.test_system import virtual
from tests.test_system.support import heal, started, stop_loads, violations

#: Seed of the runs that decide the verdict; another one is a search for faults.
SEED = 1


def pytest_collection_modifyitems(items):
    """Replace the clock for the tests of this folder; refuse runs together with other tests.

    This file is also loaded when pytest is started in the folder above.
    """
    inside = [Path(__file__).parent in item.path.parents for item in items]
    if not any(inside):
        return
    if os.environ.get('PYTHONHASHSEED') != '0':
        raise pytest.UsageError('tests/test_system needs PYTHONHASHSEED=0; run make system')
    if not all(inside):
        raise pytest.UsageError('tests/test_system replaces the clock; run it alone, make system')
    virtual.install(int(os.environ.get('SYSTEM_SEED', SEED)))


@pytest.fixture(scope='session')
def shared():
    """Start one deployment for all tests that leave it as they found it."""
    deployment = started('fjordkjol', 5)
    yield deployment
    deployment.stop()


@pytest.fixture
def deployment(shared):
    """Return the shared deployment; heal it and check every promise afterwards."""
    before = violations(shared)
    yield shared
    stop_loads()
    heal(shared)
    assert violations(shared) == before


@pytest.fixture
def own():
    """Return a function that starts a deployment for one test."""
    made = []

    def start(*args, **options):
        made.append(started(*args, **options))
        return made[-1]

    yield start
    for each in made:
        found = violations(each)
        each.stop()
        assert not found
