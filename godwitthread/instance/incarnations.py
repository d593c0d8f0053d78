"""Successive incarnations of one instance in one process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from godwitthread.instance.server import Instance
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.instance.settings import Settings

logger = logging.getLogger(__name__)


def serve(
    settings: Settings, stop: Any, factory: Callable[[Settings], Instance] = Instance
) -> Instance:
    """Run instances until the event `stop` is sent; return the last one.

    An incarnation whose seat was removed stops immediately, because its shares may have
    been given to other instances. A new incarnation then takes a seat at the same addresses.
    """
    while True:
        instance = factory(settings)
        instance.start()
        if not _await_end(instance, stop):
            instance.shut_down()
            return instance
        logger.warning('the seat of %s was removed; starting a new incarnation', settings.name)
        instance.stop()


def _await_end(instance: Instance, stop: Any) -> bool:
    """Wait for the stop event or the loss of the seat; return whether the seat was lost."""
    first = eventlet.event.Event()

    def relay(event: Any, lost: bool) -> None:
        event.wait()
        if not first.ready():
            first.send(lost)

    threads = [
        eventlet.spawn(relay, stop, False),
        eventlet.spawn(relay, instance.seat_lost, True),
    ]
    lost = first.wait()
    for thread in threads:
        thread.kill()
    return bool(lost)
