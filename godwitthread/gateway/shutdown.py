"""Planned stop of an instance: finish or refuse its work within the grace period."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core import shutdown
from godwitthread.core.shutdown import Phase
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.gateway.node import Node

#: Interval at which open work is checked, in ms.
POLL_INTERVAL_MS = 50


def shut_down(node: Node, clock: Clock, grace_ms: int, out_of_rotation: Callable[[], bool]) -> None:
    """Finish or refuse the work of an instance, until the end of its grace period at the latest.

    `out_of_rotation` returns whether the load balancer sends no more callers.
    """
    started_ms = clock.now_ms()
    phase = Phase.SERVING
    node.leave()
    while True:
        elapsed_ms = clock.now_ms() - started_ms
        serving = not out_of_rotation() and node.ownership_manager.has_majority()
        phase = max(phase, shutdown.phase(elapsed_ms, grace_ms, serving, _is_busy(node)))
        node.sessions.enter(phase)
        if phase >= Phase.ABORTING:
            for runner in node.runners.values():
                runner.end_idle_transactions()
        eventlet.sleep(POLL_INTERVAL_MS / 1000)
        # Work that had arrived before the last phase shows only after other threads have run.
        if phase is Phase.STOPPING and (
            shutdown.is_over(elapsed_ms, grace_ms) or not _is_busy(node)
        ):
            break
    node.sessions.answer_running()
    node.depart()


def open_calls(node: Node) -> int:
    """Return the number of peers' statements that run here, and of streams with unsent data."""
    return node.peer_statements + sum(stream.unsent for stream in node.inbound)


def _is_busy(node: Node) -> bool:
    """Return whether a caller or a peer awaits an answer, or a transaction is open."""
    if node.sessions.busy() or open_calls(node):
        return True
    return any(runner.has_open_work() for runner in node.runners.values())
