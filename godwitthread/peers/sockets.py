"""Non-blocking pynng sockets on the eventlet event loop."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from eventlet import hubs, patcher

if TYPE_CHECKING:
    from collections.abc import Callable

#: Maximum size of a message, in bytes; the largest ones are responses to forwarded requests
#: and manifests.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
#: Bounds of the back-off between the dialer's attempts to reconnect, in ms.
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000

# pynng logs from callbacks on its own threads. A log call there acquires the cooperative
# locks of `logging` and terminates the event loop with a greenlet error.
logging.getLogger('pynng.nng').disabled = True

_native_lock = patcher.original('threading').Lock


def open_socket(socket_type: Callable[..., Any]) -> Any:
    """Open a pynng socket whose callbacks may run on threads other than the event loop's."""
    sock = socket_type(
        recv_max_size=MAX_MESSAGE_BYTES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    # pynng acquires this lock in callbacks on its own threads, where the cooperative lock of
    # the patched `threading` module would start a second hub.
    sock._pipe_notify_lock = _native_lock()
    return sock


def wait_readable(descriptor: int) -> None:
    """Wait until a descriptor of a pynng socket is signalled.

    Both the receive and the send descriptor signal readiness by becoming readable.
    """
    hubs.trampoline(descriptor, read=True)
