"""Conversion of numeric PEP 249 parameters (`:1`) to backend server parameters (`$1`)."""

from __future__ import annotations

import re

#: Matches literals, quoted names and comments, in which `:1` is plain text, and parameters.
#: A `:1` after a word character, a bracket or another colon is no parameter but part of an
#: array slice or a cast.
_TOKEN = re.compile(
    r"""
    (?<!\w)[eE]'(?:[^'\\]|\\.|'')*'
    | '(?:[^']|'')*'
    | "(?:[^"]|"")*"
    | (?<!\w)\$(?P<tag>[A-Za-z_]\w*|)\$.*?\$(?P=tag)\$
    | --[^\n]*
    | /\*.*?\*/
    | (?<![\w:)\]]):(?P<number>\d+)
    """,
    re.VERBOSE | re.DOTALL,
)


def to_dollar_params(sql: str) -> str:
    """Replace `:1` by `$1` outside literals, quoted names and comments."""
    return _TOKEN.sub(_replace_parameter, sql)


def _replace_parameter(match: re.Match[str]) -> str:
    number = match.group('number')
    return match.group() if number is None else f'${number}'
