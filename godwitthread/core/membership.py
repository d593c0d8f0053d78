"""Membership protocol of an instance, and changes to the roster."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core import rendezvous
from godwitthread.core.configuration import Head
from godwitthread.core.distributor import DistributorView
from godwitthread.core.membership_messages import Echo, Heartbeat, Summary, echoed_ms
from godwitthread.types import Roster

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from godwitthread.core.freshness import FreshnessState
    from godwitthread.types import Seat

__all__ = [
    'Heartbeat',
    'HeadLearned',
    'MembershipState',
    'ProposeRoster',
    'SeatLost',
    'Send',
    'Summary',
]

#: Interval of heartbeats, and of the summaries exchanged by distributors.
HEARTBEAT_MS = 500
#: Number of distributors to which a member sends its heartbeats.
DISTRIBUTORS_PER_MEMBER = 2
#: Time without a summary after which a member uses another distributor.
DISTRIBUTOR_TIMEOUT_MS = 1_500
#: Minimum interval between two proposals to remove seats.
REMOVAL_INTERVAL_MS = 1_000
#: Delay per rank before a distributor proposes a removal.
PROPOSER_STAGGER_MS = 500


class Send(NamedTuple):
    """Send a message to an instance."""

    to: str
    message: Heartbeat | Summary


class HeadLearned(NamedTuple):
    """Pass a head received from a peer to the configuration state."""

    head: Head
    source: str


class ProposeRoster(NamedTuple):
    """Write a roster that replaces the roster of the given version."""

    base_version: int
    roster: Roster
    removed: tuple[str, ...]


class SeatLost(NamedTuple):
    """This incarnation has lost its seat and must join again as a new incarnation.

    A removed incarnation is never reinstated, because its shares may have been reassigned.
    """


Action = Send | HeadLearned | ProposeRoster | SeatLost
Event = Heartbeat | Summary | None


class MembershipState:
    """Send heartbeats; as a distributor, also summarise, detect failures and propose removals."""

    def __init__(self, seat: Seat, freshness: FreshnessState, rng: random.Random) -> None:
        self.seat = seat
        #: True during a graceful shutdown.
        self.leaving = False
        #: True until the first version is in force.
        self.joining = True
        #: State of a distributor, None if this member is not one.
        self.view: DistributorView | None = None
        self.head: Head | None = None
        self.roster = Roster(())
        self._freshness = freshness
        self._rng = rng
        self._distributors: list[Seat] = []
        self._preferred: list[str] = []
        #: Echo of the newest summary of each distributor, returned in heartbeats.
        self._echo: dict[str, Echo] = {}
        #: Local arrival time of the newest summary of each distributor.
        self._summary_received_ms: dict[str, int] = {}
        self._next_ms = 0
        self._removed_ms: int | None = None

    def adopt(self, now_ms: int, head: Head, roster: Roster) -> list[Action]:
        """Put a version in force; report the loss of the seat of this incarnation."""
        had_seat = self.has_seat
        previous = self.roster
        self.head, self.roster, self.joining = head, roster, False
        self._distributors = rendezvous.distributors(roster.seats)
        self._preferred = self._order_distributors()
        chosen = {seat.name for seat in self._distributors}
        self._summary_received_ms = {
            name: at for name, at in self._summary_received_ms.items() if name in chosen
        }
        if self.has_seat and self.seat.name in chosen:
            if self.view is None:
                self.view = DistributorView(self.seat, self._freshness)
            self.view.adopt(now_ms, head, roster, previous, tuple(sorted(chosen)))
        else:
            self.view = None
        return [SeatLost()] if had_seat and not self.has_seat else []

    @property
    def has_seat(self) -> bool:
        """Return whether the roster contains this incarnation."""
        return any(self._is_self(seat) for seat in self.roster.seats)

    def step(self, now_ms: int, event: Event) -> list[Action]:
        """Process a message, or None for a timer tick, and return the actions to perform."""
        if isinstance(event, Heartbeat):
            return self._heartbeat(now_ms, event)
        if isinstance(event, Summary):
            return self._summary(now_ms, event)
        return self._tick(now_ms)

    def store_read(self, begun_ms: int, version: int) -> None:
        """Process the result of this instance's own read of the head."""
        self._freshness.store_read(begun_ms, version)
        if self.view is not None:
            self.view.store_read(begun_ms, version)

    def heartbeat(self, now_ms: int, to: str) -> Heartbeat:
        """Return the heartbeat for a distributor, or for any peer while joining."""
        return Heartbeat(
            self.seat.name,
            self.seat.incarnation,
            self._freshness.version,
            now_ms,
            self._echo.get(to),
            self.leaving,
            self.joining,
        )

    def _heartbeat(self, now_ms: int, event: Heartbeat) -> list[Action]:
        if self.head is None:
            return []
        if self.view is not None:
            self.view.receive_heartbeat(now_ms, event)
            echo = Echo(event.incarnation, event.sent_ms)
            head = self.head
            if event.version == head.version and not event.joining:
                # Omit the hashes: the member has them, and they are two thirds of the answer.
                head = head._replace(manifest_hash='', roster_hash='')
            return [Send(event.name, self.view.summary_without_bitmaps(now_ms, echo, head))]
        if not event.joining:
            return []
        # A joining instance asks every peer while the store is unavailable.
        summary = DistributorView(self.seat, self._freshness).summary_without_bitmaps(
            now_ms, Echo(event.incarnation, event.sent_ms), self.head
        )
        return [Send(event.name, summary)]

    def _summary(self, now_ms: int, event: Summary) -> list[Action]:
        if not self.joining and event.name not in {seat.name for seat in self._distributors}:
            return []
        last = self._echo.get(event.name)
        if last is None or last.incarnation != event.incarnation or last.sent_ms < event.sent_ms:
            self._echo[event.name] = Echo(event.incarnation, event.sent_ms)
        self._summary_received_ms[event.name] = now_ms
        self._freshness.peer_summary(
            echoed_ms(event.echo, self.seat.incarnation, now_ms),
            event.head.version,
            event.store_age_ms,
            event.majority_age_ms,
            event.settled_version,
        )
        if self.view is not None:
            self.view.receive_summary(now_ms, event)
        newer = self.head is None or event.head.version > self.head.version
        return [HeadLearned(event.head, event.name)] if newer else []

    def _tick(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        if self.view is not None:
            self.view.tick(now_ms)
            actions += self._propose_removals(now_ms)
        if now_ms < self._next_ms or self.head is None:
            return actions
        # Jitter of 10% prevents members from sending their heartbeats at the same time.
        self._next_ms = now_ms + HEARTBEAT_MS - self._rng.randrange(HEARTBEAT_MS // 10)
        if self.view is not None:
            others = [seat.name for seat in self._distributors if not self._is_self(seat)]
            summary = self.view.summary(now_ms, None)
            actions += [Send(to, summary._replace(echo=self._echo.get(to))) for to in others]
        targets = self._heartbeat_targets(now_ms)
        return actions + [Send(to, self.heartbeat(now_ms, to)) for to in targets]

    def _heartbeat_targets(self, now_ms: int) -> list[str]:
        """Return the distributors that get a heartbeat, preferring those that are not silent."""

        def silent(name: str) -> bool:
            return (
                now_ms - self._summary_received_ms.setdefault(name, now_ms) > DISTRIBUTOR_TIMEOUT_MS
            )

        by_silence = sorted(self._preferred, key=silent)
        first = by_silence[:DISTRIBUTORS_PER_MEMBER]
        # Also send to the most preferred distributor if it is silent, to detect its recovery.
        return first + [name for name in self._preferred[:1] if name not in first]

    def _order_distributors(self) -> list[str]:
        others = [seat for seat in self._distributors if not self._is_self(seat)]
        order = rendezvous.ranked(self.seat.name, [seat.name for seat in others])
        same_domain = {s.name for s in others if s.failure_domain == self.seat.failure_domain}
        return sorted(order, key=lambda name: name not in same_domain)

    def _propose_removals(self, now_ms: int) -> list[Action]:
        assert self.view is not None
        assert self.head is not None
        if not self.view.confirmed_suspects(now_ms, 0):
            return []
        failed = self.view.confirmed_suspects(now_ms, self._stagger_ms())
        if not failed or not self._freshness.settled(self.head.version):
            return []
        if self._removed_ms is not None and now_ms - self._removed_ms < REMOVAL_INTERVAL_MS:
            return []
        self._removed_ms = now_ms
        # Limit the batch so that the old and the new roster share a majority.
        batch = tuple(failed[: (len(self.roster.seats) - 1) // 2])
        return [ProposeRoster(self.head.version, without_seats(self.roster, batch), batch)]

    def _stagger_ms(self) -> int:
        assert self.view is not None
        names = [seat.name for seat in self._distributors]
        alive = [name for name in names if not self.view.suspects(name)]
        order = rendezvous.ranked('propose', alive)
        rank = order.index(self.seat.name) if self.seat.name in order else len(order)
        return rank * PROPOSER_STAGGER_MS

    def _is_self(self, seat: Seat) -> bool:
        return (seat.name, seat.incarnation) == (self.seat.name, self.seat.incarnation)


def with_seat(roster: Roster, seat: Seat) -> Roster:
    """Return the roster with the seat, which replaces any other incarnation of that name."""
    others = tuple(other for other in roster.seats if other.name != seat.name)
    return Roster((*others, seat))


def without_seats(roster: Roster, names: Iterable[str]) -> Roster:
    """Return the roster without the named seats."""
    gone = set(names)
    return Roster(tuple(seat for seat in roster.seats if seat.name not in gone))


def without_seat(roster: Roster, name: str, incarnation: int) -> Roster:
    """Return the roster without the seat of one incarnation."""
    kept = (s for s in roster.seats if (s.name, s.incarnation) != (name, incarnation))
    return Roster(tuple(kept))
