"""Statements after which a connection must be reset."""

from __future__ import annotations

import pytest

from godwitthread.core.session_state import may_change_session


@pytest.mark.parametrize(
    'sql',
    [
        "UPDATE pg_settings SET setting = 'b' WHERE name = 'search_path'",
        r"""SELECT U&"set\005fconfig"('search_path', 'b', false)""",
        "SELECT query_to_xml('SELECT set_' || 'config(''a.b'', ''c'', false)', true, false, '')",
        'SELECT ts_stat($1)',
        'SELECT ts_rewrite($1::tsquery, $2)',
        'SELECT setseed(0.5)',
    ],
)
def test_settings_that_are_changed_without_a_set_statement(sql):
    """Guard against a statement that runs under settings of another session (PINNED)."""
    assert may_change_session(sql)


@pytest.mark.parametrize('sql', ['SELECT 1', 'UPDATE items SET settings = $1', '(VALUES (1))'])
def test_statements_without_session_state(sql):
    """Guard against a reset after each statement."""
    assert not may_change_session(sql)
