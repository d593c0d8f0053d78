"""Short seeded runs of real gateway processes whose store has malformed rows."""

from __future__ import annotations

import pytest

from tests.test_platform import short_runs


@pytest.mark.parametrize('seed', [1, 2])
def test_changes_are_in_force_while_other_rows_are_malformed(seed):
    """Guard against one malformed row that hides changes of members, versions or instances."""
    short_runs.check(seed, 10, '--malformed-rows')
