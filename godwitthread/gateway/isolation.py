"""Isolation of independent steps from each other's errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


def run_all(steps: Iterable[Callable[[], None]]) -> None:
    """Run every step; raise an ExceptionGroup with the errors of those that failed."""
    errors: list[Exception] = []
    for step in steps:
        try:
            step()
        except Exception as exc:
            errors.append(exc)
    if errors:
        raise ExceptionGroup(f'{len(errors)} steps failed', errors)
