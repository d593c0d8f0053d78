"""Comparison of positions in the log of a database group by its term history."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.types import Position

if TYPE_CHECKING:
    from godwitthread.types import TermHistory


def covers(history: TermHistory, have: Position, want: Position) -> bool:
    """Return whether a log that ends at `have` contains everything up to `want` on a history."""
    if have.offset < want.offset:
        return False
    return is_on_history(history, have) and is_on_history(history, want)


def is_on_history(history: TermHistory, position: Position) -> bool:
    """Return whether a position lies on a history; False if its term is not in the history."""
    end_offset: int | None = None
    for start in reversed(history):
        if start.term == position.term:
            return start.offset <= position.offset and (
                end_offset is None or position.offset <= end_offset
            )
        if start.term < position.term:
            return False
        end_offset = start.offset
    return False


def newer_history(first: TermHistory, second: TermHistory) -> TermHistory:
    """Return the history with the higher last term, or `first` if they are equal."""
    return second if newest_term(second) > newest_term(first) else first


def newest_term(history: TermHistory) -> int:
    """Return the last term of a history, 0 for an empty one."""
    return history[-1].term if history else 0


def last_common_position(history: TermHistory, position: Position) -> Position | None:
    """Return the last position that a log ending at `position` shares with a history.

    Return None if the term of `position` is not in the history, since the last common
    position is unknown then.
    """
    end_offset: int | None = None
    for start in reversed(history):
        if start.term == position.term and start.offset <= position.offset:
            if end_offset is None or position.offset <= end_offset:
                return position
            return Position(position.term, end_offset)
        end_offset = start.offset
    return None
