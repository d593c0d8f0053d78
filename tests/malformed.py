"""Builders of malformed JSON documents."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

#: JSON texts of values that no field has, some of which only a lenient decoder accepts.
VALUES = (
    'Infinity', '-Infinity', 'NaN', '1e999', '-1e999', '1e308', '-1', '0.5', '9' * 400,
    '-' + '9' * 400, '9' * 5_000, 'null', 'true', '""', '"x"', '"\\ud800"', '"\\u0000"',
    '"a b"', '"a\\r\\nBYE"', '"\\u2603"', '[]', '[[]]', '{}', '{"a": {}}', '[' * 10_000,
)  # fmt: skip

_MARK = 'malformed value here'


def documents(valid: Any) -> Iterator[bytes]:
    """Yield the JSON of a valid document with one value replaced, for each place and value."""
    for marked in _with_mark(valid):
        text = json.dumps(marked)
        for value in VALUES:
            yield text.replace(f'"{_MARK}"', value).encode()


def _with_mark(valid: Any) -> Iterator[Any]:
    """Yield copies of a document in which one value is the mark."""
    yield _MARK
    if isinstance(valid, dict):
        for key, value in valid.items():
            for marked in _with_mark(value):
                yield valid | {key: marked}
    elif isinstance(valid, list):
        for index, value in enumerate(valid):
            for marked in _with_mark(value):
                yield [*valid[:index], marked, *valid[index + 1 :]]
