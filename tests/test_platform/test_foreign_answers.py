"""Short seeded runs of real gateway processes whose statements and answers are traced."""

from __future__ import annotations

import pytest

from tests.test_platform import short_runs


@pytest.mark.parametrize('kind', ['bytes', 'repeats'])
def test_statements_and_answers_are_passed_on_unchanged(kind):
    """Guard against changed lines and second answers (MIXED, PINNED, UNASKED, REFUSED)."""
    short_runs.check(1, 10, '--foreign-answers', kind)
