"""Short seeded run of real gateway processes whose routes and keys come and go."""

from __future__ import annotations

from tests.test_platform import short_runs


def test_callers_are_answered_as_a_version_in_force_allows():
    """Guard against routes and keys that are refused at all instances, or served after a drop."""
    short_runs.check(3, 12, '--changed-routes', '--instances', '4')
