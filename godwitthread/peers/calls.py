"""Correlation of requests to other instances with their responses."""

from __future__ import annotations

import secrets
from typing import Any

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet
from godwitthread.peers.codec import Failure, error_from_failure

#: Number of random bits of the first call id of a process.
FIRST_ID_BITS = 62


class PendingCalls:
    """Table of the requests that await a response, by call id."""

    def __init__(self) -> None:
        # Responses are sent to an address, where a restarted process may listen by then.
        self._next_id = secrets.randbits(FIRST_ID_BITS)
        self._pending: dict[int, eventlet.event.Event] = {}
        self._kinds: dict[int, str] = {}
        #: Number of responses that arrived after the deadline or more than once.
        self.late_answers = 0

    def open(self, kind: str) -> int:
        """Register a new request and return its call id."""
        self._next_id += 1
        self._pending[self._next_id] = eventlet.event.Event()
        self._kinds[self._next_id] = kind
        return self._next_id

    def of_kind(self, kind: str) -> list[int]:
        """Return the call ids of the pending requests of a kind."""
        return [call_id for call_id, each in self._kinds.items() if each == kind]

    def wait(self, call_id: int, timeout_ms: int) -> Any:
        """Wait for the response; return None on time-out, raise ProxyError for a failure."""
        response_event = self._pending[call_id]
        try:
            with eventlet.Timeout(timeout_ms / 1000, False):
                response = response_event.wait()
                if isinstance(response, Failure):
                    raise error_from_failure(response)
                return response
        finally:
            self.cancel(call_id)
        return None

    def cancel(self, call_id: int) -> None:
        """Remove a request that could not be queued or that has ended."""
        del self._pending[call_id], self._kinds[call_id]

    def resolve(self, call_id: int, response: Any) -> None:
        """Deliver a response to its pending request, or count it as late."""
        response_event = self._pending.get(call_id)
        if response_event is None or response_event.ready():
            self.late_answers += 1
            return
        response_event.send(response)


def deadline_error(left_queue: bool) -> ProxyError:
    """Return the error of a timed-out request; it has not run if it never left the queue."""
    if left_queue:
        return ProxyError(
            ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, 'no response from the peer before the deadline'
        )
    return ProxyError(
        ErrorKind.DEADLINE_EXCEEDED, 'the request could not be sent to the peer before the deadline'
    )


def shutdown_error(left_queue: bool) -> ProxyError:
    """Return the error of a request that a shutdown ends; it has not run if it was not sent."""
    if left_queue:
        return ProxyError(
            ErrorKind.CONNECTION_LOST, 'the instance stopped before the response of the peer'
        )
    return ProxyError(
        ErrorKind.SHUTTING_DOWN, 'the instance stopped before the request was sent to the peer'
    )
