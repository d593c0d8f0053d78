"""Isolation of independent steps from each other's errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import logging
    from collections.abc import Callable, Iterable

    from godwitthread.clock import Clock

#: Minimum interval between two tracebacks of a step that fails again and again, in ms.
TRACEBACK_INTERVAL_MS = 10_000


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


def traceback_logger(logger: logging.Logger, clock: Clock) -> Callable[[str], None]:
    """Return a function that logs the error being handled, at most every TRACEBACK_INTERVAL_MS."""
    logged_ms: int | None = None

    def log(message: str) -> None:
        nonlocal logged_ms
        now_ms = clock.now_ms()
        if logged_ms is None or now_ms - logged_ms >= TRACEBACK_INTERVAL_MS:
            logged_ms = now_ms
            logger.exception(message)

    return log
