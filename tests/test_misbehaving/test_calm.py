"""A gateway process with low limits and callers that keep to the rules."""

from __future__ import annotations

import pytest

from tests.test_misbehaving.crowd import started


@pytest.fixture
def crowd(tmp_path):
    yield from started(tmp_path)


def test_messages_of_one_mib_are_served(crowd):
    """Guard against limits that refuse what callers may send."""
    session, value = crowd.honest_session(), 'x' * 2**20
    for statement in ('WRITE big', 'SET big', 'WRITE big'):
        assert session.execute('1', f'{statement} {value}')[1] == ''
    assert session.execute('2', 'READ big') == ([value], '')
    crowd.check()
