"""Notification of the store's recovery among the threads of an instance."""

from __future__ import annotations

import random

from godwitthread.loop import eventlet

#: Maximum random delay of each thread's first call after the store recovered, in ms. It keeps
#: many instances from exceeding the store's rate limit at once.
JITTER_MS = 200


class StoreHealth:
    """Wake the threads that wait for the store as soon as it answers one of them."""

    def __init__(self) -> None:
        self._recovered = eventlet.event.Event()
        #: Number of recoveries so far.
        self.recoveries = 0

    def notify_recovered(self) -> None:
        """Record that the store answered a call after a failure."""
        self.recoveries += 1
        recovered, self._recovered = self._recovered, eventlet.event.Event()
        recovered.send()

    def wait(self, timeout_ms: float, known: int) -> bool:
        """Wait for a recovery after the `known` ones; return False at the time limit."""
        if self.recoveries == known:
            with eventlet.Timeout(max(1.0, timeout_ms) / 1000, False):
                self._recovered.wait()
        if self.recoveries == known:
            return False
        eventlet.sleep(random.uniform(0, JITTER_MS) / 1000)
        return True
