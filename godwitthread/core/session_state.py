"""Detection of statements that change session state or control transactions."""

from __future__ import annotations

import re

#: Keywords that start statements which do not change session state by themselves.
STATELESS_KEYWORDS = frozenset({'select', 'insert', 'update', 'delete', 'with', 'values', 'merge'})
#: Names of functions and objects with session scope. A user-defined function that changes
#: session state internally is not detected, which is documented as a limitation.
_SESSION_SCOPED = re.compile(
    r'set_config|advisory|pg_temp|\btemp|\bdblink|\binto\s+temp|setseed'
    # An update of this view changes the settings.
    r'|pg_settings'
    # These functions execute a text, which may be composed or a parameter.
    r'|query_to_xml|ts_stat|ts_rewrite|crosstab'
    # A quoted identifier in Unicode escapes can be any of these names.
    r'|u&"',
    re.IGNORECASE,
)
_FIRST_KEYWORD = re.compile(r'[\s(]*([a-zA-Z]+)')


def may_change_session(sql: str) -> bool:
    """Return whether the connection must be reset after a statement."""
    match = _FIRST_KEYWORD.match(sql)
    if match is None or match.group(1).lower() not in STATELESS_KEYWORDS:
        return True
    return _SESSION_SCOPED.search(sql) is not None


#: Statements that begin or end a transaction; ROLLBACK TO a savepoint does not.
_TRANSACTION = re.compile(
    r'(?:begin|start\s+transaction|commit|end|abort|prepare\s+transaction'
    r'|rollback(?!\s+(?:(?:work|transaction)\s+)?to\b))\b',
    re.IGNORECASE,
)
_WHITESPACE = re.compile(r'(?:\s|--[^\n]*(?:\n|$))*')
_COMMENT_DELIMITER = re.compile(r'/\*|\*/')


def controls_transaction(sql: str) -> bool:
    """Return whether a statement begins or ends a transaction."""
    return _TRANSACTION.match(sql, _skip_comments(sql)) is not None


def _skip_comments(sql: str) -> int:
    """Return the index after leading whitespace and comments, which may be nested."""
    index, depth = 0, 0
    while True:
        if depth == 0:
            whitespace = _WHITESPACE.match(sql, index)
            index = whitespace.end() if whitespace else index
            if not sql.startswith('/*', index):
                return index
        delimiter = _COMMENT_DELIMITER.search(sql, index)
        if delimiter is None:
            return len(sql)
        depth += 1 if delimiter.group() == '/*' else -1
        index = delimiter.end()
