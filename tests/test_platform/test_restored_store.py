"""Short seeded runs of real gateway processes whose store comes back from older copies."""

from __future__ import annotations

import pytest

from tests.test_platform import short_runs


@pytest.mark.parametrize('seed', [1, 2])
def test_guarantees_hold_while_the_store_is_restored(seed):
    """Guard against instances that go back with the store, ignore it, or order as two holders."""
    short_runs.check(seed, 12, '--restored-store')
