"""Collection of the events of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.errors import ProxyError
from godwitthread.loop import eventlet
from godwitthread.peers.codec import Envelope, register

if TYPE_CHECKING:
    from godwitthread.instance.state import InstanceState
    from godwitthread.peers.link import PeerLink
    from godwitthread.types import Seat

#: Maximum number of events in one answer, newest kept; about 300 bytes each.
EVENTS_PER_ANSWER = 1_000
#: Timeout of a request for the events of another instance in ms.
ANSWER_TIMEOUT_MS = 2_000
#: Maximum number of concurrent requests to other instances.
PARALLEL_CALLS = 16


class EventsRequest(NamedTuple):
    """Request for the events of an instance after one of its own sequence numbers."""

    since: int


class EventsAnswer(NamedTuple):
    """Events of one instance, oldest first."""

    events: list[dict[str, Any]]


register('events_request', EventsRequest)
register('events_answer', EventsAnswer)


class EventCollector:
    """Answer requests for the events of this instance and collect those of all instances."""

    def __init__(self, state: InstanceState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        link.register_handler('events_request', self._on_request)

    def collect(self, since: int) -> list[dict[str, Any]]:
        """Return the events of all instances that answer within the timeout."""
        others = [seat for seat in self._state.roster.seats if seat != self._state.seat]
        pool = eventlet.GreenPool(PARALLEL_CALLS)
        collected = self._own_events(since)
        for events in pool.imap(lambda seat: self._request_events(seat, since), others):
            collected.extend(events)
        return collected

    def _own_events(self, since: int) -> list[dict[str, Any]]:
        return list(self._state.events.since(since))[-EVENTS_PER_ANSWER:]

    def _request_events(self, seat: Seat, since: int) -> list[dict[str, Any]]:
        try:
            answer: EventsAnswer = self._link.call(seat, EventsRequest(since), ANSWER_TIMEOUT_MS)
        except ProxyError:
            return []
        return answer.events

    def _on_request(self, envelope: Envelope) -> EventsAnswer:
        request: EventsRequest = envelope.body
        return EventsAnswer(self._own_events(request.since))
