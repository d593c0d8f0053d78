"""Catalogue of numbered events, hybrid logical clock and event log."""

from __future__ import annotations

import json
import logging
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

logger = logging.getLogger('godwitthread.events')

#: Maximum number of events kept in memory for the `timeline` command.
MAX_EVENTS = 4096


class EventType(NamedTuple):
    """Entry of the event catalogue."""

    number: int
    name: str
    level: int
    text: str


class HybridTimestamp(NamedTuple):
    """Timestamp of a hybrid logical clock: wall time in ms and a counter."""

    wall_ms: int
    counter: int


class HybridLogicalClock:
    """Hybrid logical clock, which orders the events of several processes causally."""

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self._wall_ms = wall_ms
        self._last = HybridTimestamp(0, 0)

    def tick(self) -> HybridTimestamp:
        """Return a timestamp later than all timestamps issued or observed so far."""
        return self._advance(self._last)

    def observe(self, remote: HybridTimestamp) -> HybridTimestamp:
        """Advance past a received timestamp and return a later one."""
        return self._advance(max(self._last, remote))

    def _advance(self, lower_bound: HybridTimestamp) -> HybridTimestamp:
        wall_ms = self._wall_ms()
        if wall_ms > lower_bound.wall_ms:
            self._last = HybridTimestamp(wall_ms, 0)
        else:
            self._last = HybridTimestamp(lower_bound.wall_ms, lower_bound.counter + 1)
        return self._last


def _event_type(number: int, name: str, text: str, level: int = logging.INFO) -> EventType:
    return EventType(number, name, level, text)


#: Event types by number. Ranges: 1xx instance, 2xx configuration, 3xx failover,
#: 4xx requests, 5xx rate shares, 6xx connections, 7xx invariants, 8xx stand-ins.
CATALOGUE: dict[int, EventType] = {
    event_type.number: event_type
    for event_type in (
        _event_type(101, 'instance_started', 'instance started'),
        _event_type(102, 'instance_ready', 'instance accepts requests'),
        _event_type(103, 'instance_not_ready', 'instance accepts no new requests', logging.WARNING),
        _event_type(104, 'shutdown_started', 'graceful shutdown started'),
        _event_type(105, 'instance_stopped', 'instance stopped'),
        _event_type(106, 'pause_detected', 'event loop paused', logging.WARNING),
        _event_type(107, 'peer_suspected', 'peer instance suspected', logging.WARNING),
        _event_type(111, 'peer_reached', 'peer instance reachable'),
        _event_type(112, 'peer_lost', 'peer instance unreachable', logging.WARNING),
        _event_type(
            115, 'peer_answer_stray', 'answer of a peer to a call without waiter', logging.WARNING
        ),
        _event_type(116, 'entry_restored', 'entry of an instance written again after a restore'),
        _event_type(113, 'instance_registered', 'instance registered in the store'),
        _event_type(114, 'settings_changed', 'settings file reloaded'),
        _event_type(108, 'roster_changed', 'roster changed'),
        _event_type(109, 'certificate_reloaded', 'changed TLS certificate loaded'),
        _event_type(
            110, 'certificate_refused', 'changed TLS certificate rejected', logging.WARNING
        ),
        _event_type(201, 'configuration_adopted', 'configuration version adopted'),
        _event_type(202, 'configuration_settled', 'configuration version settled'),
        _event_type(
            203, 'freshness_lost', 'evidence of configuration freshness expired', logging.WARNING
        ),
        _event_type(204, 'freshness_regained', 'evidence of configuration freshness renewed'),
        _event_type(205, 'manifest_accepted', 'manifest accepted'),
        _event_type(206, 'manifest_refused', 'manifest refused', logging.WARNING),
        _event_type(207, 'store_unavailable', 'platform store unavailable', logging.WARNING),
        _event_type(208, 'store_available', 'platform store available'),
        _event_type(209, 'history_lost', 'change history of the store lost, table reloaded'),
        _event_type(210, 'row_undecodable', 'row of the store not decodable', logging.WARNING),
        _event_type(211, 'evacuation_changed', 'set of evacuated failure domains changed'),
        _event_type(212, 'member_gone', 'backend server removed'),
        _event_type(213, 'feed_interrupted', 'call for changes without an answer given up'),
        _event_type(214, 'row_recovered', 'malformed row of the store replaced or removed'),
        _event_type(
            215, 'table_not_applied', 'content of a store table not applied', logging.ERROR
        ),
        _event_type(216, 'table_applied', 'content of a store table applied after a failure'),
        _event_type(
            217, 'store_answer_outdated', 'answer of the store older than the copy', logging.WARNING
        ),
        _event_type(
            218,
            'store_restored',
            'store came back from an older copy, table reloaded',
            logging.WARNING,
        ),
        _event_type(219, 'restored_table_complete', 'restored store has all rows of a table again'),
        _event_type(
            220,
            'configuration_not_adopted',
            'configuration of the store not newer than the one in force',
            logging.WARNING,
        ),
        _event_type(301, 'primary_suspected', 'primary suspected', logging.WARNING),
        _event_type(302, 'fence_started', 'group fencing started'),
        _event_type(303, 'member_promoted', 'member promoted'),
        _event_type(304, 'promotion_failed', 'promotion attempt failed', logging.WARNING),
        _event_type(305, 'primary_changed', 'primary changed'),
        _event_type(306, 'handover_started', 'planned primary handover started'),
        _event_type(307, 'duty_taken', 'promotion duty acquired'),
        _event_type(308, 'promotion_ordered', 'promotion requested'),
        _event_type(
            309, 'evidence_not_renewed', 'position of the primary not determined', logging.WARNING
        ),
        _event_type(311, 'duty_lost', 'promotion duty held by another instance'),
        _event_type(312, 'usage_duty_taken', 'usage report duty acquired'),
        _event_type(313, 'usage_duty_lost', 'usage report duty given up or taken by another'),
        _event_type(314, 'usage_reported', 'usage of a window reported'),
        _event_type(
            315, 'usage_given_up', 'usage of windows not reported in time', logging.WARNING
        ),
        _event_type(316, 'usage_not_reported', 'usage report attempt failed', logging.WARNING),
        _event_type(310, 'replica_resumed', 'replica resumed replication'),
        _event_type(401, 'request_refused', 'request refused', logging.DEBUG),
        _event_type(402, 'request_unknown', 'outcome of a request unknown', logging.WARNING),
        _event_type(403, 'transaction_rolled_back', 'transaction rolled back'),
        _event_type(404, 'transaction_idle', 'idle transaction ended', logging.WARNING),
        _event_type(405, 'statement_failed', 'statement failed', logging.WARNING),
        _event_type(406, 'statement_done', 'statement done'),
        _event_type(407, 'session_refused', 'session refused', logging.WARNING),
        _event_type(
            408, 'answer_not_delivered', 'connection ended before the answer', logging.WARNING
        ),
        _event_type(
            409, 'statement_refused', 'statement refused for lack of capacity', logging.DEBUG
        ),
        _event_type(
            411, 'operation_refused', 'operation of an open session refused', logging.WARNING
        ),
        _event_type(410, 'limit_reached', 'limit on callers reached', logging.WARNING),
        _event_type(501, 'share_owner_changed', 'share owner changed'),
        _event_type(502, 'share_changed', 'share changed', logging.DEBUG),
        _event_type(505, 'rate_not_granted', 'rate grant request failed', logging.WARNING),
        _event_type(503, 'group_owned', 'this instance owns the group'),
        _event_type(504, 'group_left', 'another instance owns the group'),
        _event_type(601, 'connection_opened', 'backend connection opened', logging.DEBUG),
        _event_type(602, 'connection_closed', 'backend connection closed', logging.DEBUG),
        _event_type(603, 'connection_refused', 'backend server refused a connection'),
        _event_type(
            604, 'connections_limited', 'backend server accepts fewer connections', logging.WARNING
        ),
        _event_type(605, 'connections_unlimited', 'backend server accepts all connections again'),
        _event_type(
            606,
            'answer_irregular',
            'answer of a backend server does not fit the request',
            logging.WARNING,
        ),
        _event_type(621, 'crossings_started', 'statements leave the failure domain for long'),
        _event_type(622, 'crossings_stopped', 'statements stay in the failure domain again'),
        _event_type(701, 'invariant_violated', 'invariant violated', logging.ERROR),
        _event_type(801, 'fault_injected', 'stand-in fault injected'),
    )
}

EVENT_TYPES_BY_NAME = {event_type.name: event_type for event_type in CATALOGUE.values()}


class EventLog:
    """Write the events of one process to the log and keep the newest ones in memory."""

    def __init__(
        self, source: dict[str, Any], clock: HybridLogicalClock, capacity: int = MAX_EVENTS
    ) -> None:
        self._source = source
        self._clock = clock
        self._records: deque[dict[str, Any]] = deque(maxlen=capacity)
        self._sequence = 0

    def emit(self, name: str, **fields: Any) -> None:
        """Record an event by its name in the catalogue; raise KeyError if it is unknown."""
        event_type = EVENT_TYPES_BY_NAME[name]
        stamp = self._clock.tick()
        self._sequence += 1
        record = {
            'number': event_type.number,
            'event': event_type.name,
            'wall_ms': stamp.wall_ms,
            'counter': stamp.counter,
            'sequence': self._sequence,
            **self._source,
            **fields,
        }
        self._records.append(record)
        if logger.isEnabledFor(event_type.level):
            logger.log(event_type.level, '%s', json.dumps(record, default=str))

    def since(self, sequence: int = 0) -> Iterator[dict[str, Any]]:
        """Return the events in memory after a sequence number, oldest first."""
        return (record for record in self._records if record['sequence'] > sequence)
