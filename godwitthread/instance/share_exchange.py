"""Exchange of rate and connection shares with the other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.quota import (
    MILLI_PER_UNIT,
    Amount,
    HolderId,
    Limit,
    ShareAck,
    ShareBatch,
    ShareGrant,
    ShareRequest,
)
from godwitthread.core.quota_owner import ShareOwner
from godwitthread.manifest.directory import connection_resource
from godwitthread.peers.codec import register

if TYPE_CHECKING:
    from godwitthread.core.quota import ShareMessage
    from godwitthread.instance.state import InstanceState
    from godwitthread.manifest.directory import Directory
    from godwitthread.peers.codec import Envelope
    from godwitthread.peers.link import PeerLink
    from godwitthread.types import Seat


#: Longest wait for the first shares after taking a seat, in ms; the instance then serves
#: without them. It covers the quarantine of a new owner (3,500 ms). The wait is bounded
#: because a limit smaller than the number of instances has no share for each of them.
MAX_SHARES_WAIT_MS = 6_000


class ShareBatchMessage(NamedTuple):
    """Share messages grouped by type, as the codec can't decode a union of NamedTuples."""

    requests: tuple[ShareRequest, ...]
    grants: tuple[ShareGrant, ...]
    acks: tuple[ShareAck, ...]


register('share_batch', ShareBatchMessage)


class ShareExchange:
    """Connect the share owner and the share holder of an instance to the peer link."""

    def __init__(self, state: InstanceState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._holder_id = HolderId(state.seat.name, state.seat.incarnation)
        self.owner = ShareOwner(self._holder_id, state.invariants)
        self._roster_seats: dict[str, Seat] = {}
        #: Limits that this instance owns and divides into shares.
        self._owned_limits: frozenset[str] = frozenset()
        self._seat_seen_ms: int | None = None
        link.register_handler('share_batch', self._on_batch)

    def adopt(self, version: int, unbroken: bool, usable_until_ms: int | None) -> None:
        """Apply a configuration version to owner and holder."""
        directory, roster = self._state.directory, self._state.roster
        if directory is None:
            return
        now_ms = self._state.now_ms()
        limits = manifest_limits(directory)
        placement = self._state.placement
        self._roster_seats = {seat.name: seat for seat in roster.seats}
        self.owner.adopt(
            now_ms, version, roster.seats, limits, unbroken=unbroken, owner_of=placement.owner
        )
        owned = self.owner.owned()
        if owned != self._owned_limits:
            self._state.events.emit('share_owner_changed', version=version, owned=len(owned))
            self._owned_limits = owned
        self._state.holder.adopt(
            now_ms,
            version,
            roster.seats,
            self._held_limits(directory, limits),
            unbroken=unbroken,
            owner_of=placement.owner,
            usable_until_ms=usable_until_ms,
        )

    def _held_limits(self, directory: Directory, limits: list[Limit]) -> list[Limit]:
        """Return the limits without connections to databases that this instance does not serve."""
        served = {
            connection_resource(name, spec.name)
            for name in directory.databases
            if self._state.serves(name)
            for spec in directory.members(name)
        }
        return [limit for limit in limits if not limit.whole or limit.resource in served]

    def note_settled(self, version: int) -> None:
        """Start the quarantine for the changes of a settled version."""
        self.owner.on_settled(self._state.now_ms(), version)

    def has_initial_shares(self) -> bool:
        """Return whether the first shares of this seat have arrived or are overdue."""
        state = self._state
        if not state.placement.contains(state.seat):
            return False
        now_ms = state.now_ms()
        if self._seat_seen_ms is None:
            self._seat_seen_ms = now_ms
        overdue = now_ms - self._seat_seen_ms > MAX_SHARES_WAIT_MS
        return overdue or state.holder.has_shares(now_ms, self._required_resources())

    def _required_resources(self) -> list[str]:
        directory, state = self._state.directory, self._state
        if directory is None:
            return []
        connections = [
            connection_resource(database, spec.name)
            for database in directory.databases
            if state.serves(database)
            for spec in directory.members(database)
        ]
        return [*directory.rate_capacities(), *connections]

    def step(self) -> None:
        """Send the pending messages of owner and holder."""
        now_ms = self._state.now_ms()
        batches = self._state.holder.step(now_ms) + self.owner.step(now_ms, self._state.is_fresh())
        for batch in batches:
            self._deliver(batch)

    def _deliver(self, batch: ShareBatch) -> None:
        if batch.to == self._holder_id.name:
            self._process(batch.messages)
            return
        seat = self._roster_seats.get(batch.to)
        if seat is not None:
            self._link.send(seat, _batch_message(batch))

    def _on_batch(self, envelope: Envelope) -> None:
        batch: ShareBatchMessage = envelope.body
        # Acknowledgements first: they free units that the requests may get.
        self._process((*batch.acks, *batch.requests, *batch.grants))
        # Reply at once, so that a caller waiting for rate is served within one round trip.
        self.step()

    def _process(self, messages: tuple[ShareMessage, ...]) -> None:
        now_ms = self._state.now_ms()
        for message in messages:
            self._dispatch(now_ms, message)

    def _dispatch(self, now_ms: int, message: ShareMessage) -> None:
        match message:
            case ShareRequest():
                self.owner.on_request(now_ms, message)
            case ShareGrant():
                self._state.holder.on_grant(now_ms, message)
            case ShareAck():
                self.owner.on_ack(now_ms, message)


def manifest_limits(directory: Directory) -> list[Limit]:
    """Return all rate and connection limits of a manifest."""
    rates = [
        Limit(
            name,
            Amount(int(each.rate_per_s * MILLI_PER_UNIT), each.burst * MILLI_PER_UNIT),
        )
        for name, each in directory.rate_capacities().items()
    ]
    connections = [
        Limit(name, Amount(units), whole=True)
        for name, units in directory.connection_capacities().items()
    ]
    return rates + connections


def _batch_message(batch: ShareBatch) -> ShareBatchMessage:
    return ShareBatchMessage(
        tuple(each for each in batch.messages if isinstance(each, ShareRequest)),
        tuple(each for each in batch.messages if isinstance(each, ShareGrant)),
        tuple(each for each in batch.messages if isinstance(each, ShareAck)),
    )
