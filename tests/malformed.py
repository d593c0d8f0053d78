"""Builders of malformed JSON documents."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

#: JSON texts of numbers that no field has.
NUMBERS = (
    'Infinity', '-Infinity', 'NaN', '1e999', '-1e999', '1e308', '-1', '0.5', '9' * 400,
    '-' + '9' * 400, '9' * 5_000,
)  # fmt: skip
#: JSON texts of values that no field has, some of which only a lenient decoder accepts.
VALUES = (
    *NUMBERS, 'null', 'true', '""', '"x"', '"\\ud800"', '"\\u0000"', '"a b"', '"a\\r\\nBYE"',
    '"\\u2603"', '[]', '[[]]', '{}', '{"a": {}}', '[' * 10_000,
)  # fmt: skip

_MARK = 'malformed value here'


def documents(valid: Any) -> Iterator[bytes]:
    """Yield the JSON of a valid document with one value replaced, for each place and value."""
    return documents_with(valid, VALUES)


def documents_with(valid: Any, values: tuple[str, ...]) -> Iterator[bytes]:
    """Yield the JSON of a valid document with one value replaced by each of the given texts."""
    for marked, _ in _with_mark(valid):
        yield from _replace_mark(marked, values)


def documents_with_numbers(valid: Any) -> Iterator[bytes]:
    """Yield the JSON of a valid document with one number replaced by one that no field has."""
    for marked, replaced in _with_mark(valid):
        if isinstance(replaced, int | float):
            yield from _replace_mark(marked, NUMBERS)


def _replace_mark(marked: Any, values: tuple[str, ...]) -> Iterator[bytes]:
    text = json.dumps(marked)
    for value in values:
        yield text.replace(f'"{_MARK}"', value).encode()


def _with_mark(valid: Any) -> Iterator[tuple[Any, Any]]:
    """Yield copies of a document in which one value is the mark, and that value."""
    yield _MARK, valid
    if isinstance(valid, dict):
        for key, value in valid.items():
            for marked, replaced in _with_mark(value):
                yield valid | {key: marked}, replaced
    elif isinstance(valid, list):
        for index, value in enumerate(valid):
            for marked, replaced in _with_mark(value):
                yield [*valid[:index], marked, *valid[index + 1 :]], replaced
