"""Adoption of configuration versions and the roster seat of an instance."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from godwitthread.core.configuration import (
    STORE,
    AdoptVersion,
    ConfigurationBody,
    ConfigurationRequest,
    ConfigurationState,
    FetchBody,
    JoinState,
)
from godwitthread.core.membership import (
    HeadLearned,
    Heartbeat,
    MembershipState,
    ProposeRoster,
    SeatLost,
    Send,
    Summary,
    with_seat,
    without_seat,
)
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.instance.peer_bootstrap import PeerBootstrap
from godwitthread.loop import eventlet
from godwitthread.manifest import document
from godwitthread.manifest.directory import Directory
from godwitthread.manifest.head import decode_roster, to_configuration_head
from godwitthread.peers.codec import register
from godwitthread.types import Roster

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from godwitthread.instance.state import InstanceState
    from godwitthread.manifest.repository import Repository
    from godwitthread.manifest.table_client import PlatformClient
    from godwitthread.manifest.types import Manifest
    from godwitthread.peers.codec import Envelope
    from godwitthread.peers.link import PeerLink
    from godwitthread.types import Seat

    #: Called with (version, unbroken, usable_until_ms) after a version was adopted.
    OnAdopted = Callable[[int, bool, int | None], None]

logger = logging.getLogger(__name__)

#: Interval between reads of the head from the store in ms.
READ_INTERVAL_MS = 1_000
#: Age of the freshness evidence in ms after which an instance that is not a distributor
#: reads the head itself.
EVIDENCE_AGE_MS = 1_500
#: Interval between reads of the head while this instance waits for its seat, in ms.
JOIN_INTERVAL_MS = 250
#: Age in ms after which a roster change has usually reached every instance. An instance
#: that skips a roster version loses its shares: without this delay between changes, a
#: rolling restart of 5 instances refused 109 of 530 requests.
ROSTER_STABLE_MS = 1_500
#: Longest wait for a stable roster before a seat is proposed, in ms.
MAX_ROSTER_WAIT_MS = 4_000
#: Timeout of a heartbeat that is sent as a call, in ms.
SUMMARY_TIMEOUT_MS = 500
#: Timeout of a request for a configuration body in ms.
BODY_TIMEOUT_MS = 1_000
#: Jitter of the read interval, as a fraction of it.
JITTER = 0.1

register('heartbeat', Heartbeat)
register('summary', Summary)
register('configuration_request', ConfigurationRequest)
register('configuration_body', ConfigurationBody)


class ConfigurationManager:
    """Drive the membership and configuration state with data from the store and from peers."""

    def __init__(
        self,
        state: InstanceState,
        link: PeerLink,
        repository: Repository,
        platform: PlatformClient,
        on_adopted: OnAdopted,
        on_seat_lost: Callable[[], None],
    ) -> None:
        self._state = state
        self._link = link
        self._repository = repository
        self._on_adopted = on_adopted
        self._on_seat_lost = on_seat_lost
        self._configuration = ConfigurationState(state.invariants, state.rng)
        self.membership = MembershipState(state.seat, state.freshness, state.rng)
        self._bootstrap = PeerBootstrap(state, link, platform, JoinState(state.invariants))
        self._pool = eventlet.GreenPool(16)
        #: Whether the last read of the head from the store succeeded; True before the first.
        self.store_ok = True
        self._reported_settled = 0
        #: Hash of the manifest that the directory in force was built from.
        self._manifest_hash = ''
        #: Version of the newest roster change and the time at which it was adopted.
        self._roster_since = (0, 0)
        self._join_started_ms: int | None = None
        self._stored_version = 0
        self._seat_lost = False
        link.register_handler('heartbeat', self._on_message)
        link.register_handler('summary', self._on_message)
        link.register_handler('configuration_request', self._on_request)

    def run(self) -> None:
        """Read the head periodically if needed and request a seat; never return."""
        while True:
            try:
                if self._should_read_head():
                    self.read_head()
                self._ensure_seat()
            except Exception:
                # The thread must go on: without it, this instance would keep an old configuration.
                logger.exception('reading the configuration failed')
            jitter = self._state.rng.uniform(1 - JITTER, 1 + JITTER)
            waiting = self.store_ok and not self.membership.has_seat
            interval_ms = JOIN_INTERVAL_MS if waiting else READ_INTERVAL_MS
            eventlet.sleep(interval_ms * jitter / 1000)

    def tick(self) -> None:
        """Run the periodic steps of membership and configuration and report settled versions."""
        now_ms = self._state.now_ms()
        self._perform_membership(self.membership.step(now_ms, None))
        self._perform_fetches(self._configuration.step(now_ms))
        if self._state.freshness.settled_version > self._reported_settled:
            self._reported_settled = self._state.freshness.settled_version
            self._state.events.emit('configuration_settled', version=self._reported_settled)

    def read_head(self) -> None:
        """Read the head from the store and pass it to the configuration state."""
        begun_ms = self._state.now_ms()
        try:
            head = self._repository.head()
        except ProxyError as exc:
            self._update_store_status(False, exc.message)
            return
        self._update_store_status(True, '')
        self._stored_version = head.version
        if head.version:
            known = to_configuration_head(head)
            self._perform_fetches(self._configuration.learn(self._state.now_ms(), known, STORE))
            self.membership.store_read(begun_ms, head.version)

    def release_seat(self) -> None:
        """Remove the seat of this instance from the roster.

        While the store is down, the other instances remove it later.
        """
        seat = self._state.seat
        try:
            self._repository.propose_roster(
                lambda roster: without_seat(roster, seat.name, seat.incarnation),
                seat.name,
                f'{seat.name} left',
            )
        except ProxyError as exc:
            logger.info('seat not removed from the roster: %s', exc)

    def is_roster_stable(self) -> bool:
        """Return whether the last roster change has had time to reach every instance."""
        if not self._state.roster.seats:
            return True
        return self._state.now_ms() - self._roster_since[1] >= ROSTER_STABLE_MS

    def _should_read_head(self) -> bool:
        membership, freshness = self.membership, self._state.freshness
        # An instance without a seat polls the store so that it can take one.
        if not membership.has_seat or membership.view is not None:
            return True
        evidence_ms = freshness.evidence_ms
        return evidence_ms is None or self._state.now_ms() - evidence_ms > EVIDENCE_AGE_MS

    def _ensure_seat(self) -> None:
        state, seat = self._state, self._state.seat
        if state.leaving or self.membership.has_seat or self._seat_lost:
            return
        if not self.store_ok:
            if self.membership.head is None:
                self._join_from_peers()
            return
        if not self._may_take_seat():
            return
        try:
            self._repository.propose_roster(
                lambda roster: with_seat(roster, seat), seat.name, f'{seat.name} joined'
            )
        except ProxyError as exc:
            logger.info('seat proposal failed: %s', exc)
            return
        self.read_head()

    def _may_take_seat(self) -> bool:
        """Return whether to propose a seat for this instance now.

        The newest version read from the store must be in force on this instance before the
        seat is added: a new owner adopts shares only if it knows their previous owner. After
        MAX_ROSTER_WAIT_MS the seat is proposed in any case.
        """
        now_ms = self._state.now_ms()
        if self._join_started_ms is None:
            self._join_started_ms = now_ms
        if now_ms - self._join_started_ms >= MAX_ROSTER_WAIT_MS or not self._stored_version:
            return True
        head = self.membership.head
        return head is not None and head.version >= self._stored_version and self.is_roster_stable()

    def _join_from_peers(self) -> None:
        """Start with the newest settled version that a majority of the seats reports."""
        found = self._bootstrap.find_version(self._fetch_from)
        if found is not None:
            self._perform_fetches(
                self._configuration.learn(self._state.now_ms(), found.head, found.source)
            )

    def _on_message(self, envelope: Envelope) -> Summary | None:
        actions = self.membership.step(self._state.now_ms(), envelope.body)
        if envelope.call_id <= 0:
            self._perform_membership(actions)
            return None
        # A joining instance is in no roster, so the summary is returned as the call's answer.
        for action in actions:
            if isinstance(action, Send) and isinstance(action.message, Summary):
                return action.message
        raise ProxyError(
            ErrorKind.STALE_CONFIGURATION, 'no configuration version is in force on the instance'
        )

    def _on_request(self, envelope: Envelope) -> ConfigurationBody:
        body = self._configuration.on_request(envelope.body)
        if body is None:
            raise ProxyError(
                ErrorKind.NOT_FOUND, 'the instance does not hold the configuration body'
            )
        return body

    def _perform_membership(self, actions: Sequence[Any]) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self._send(to, message)
                case HeadLearned(head, source) if self.membership.head is not None:
                    self._perform_fetches(
                        self._configuration.learn(self._state.now_ms(), head, source)
                    )
                case ProposeRoster():
                    self._pool.spawn_n(self._propose, action)
                case SeatLost():
                    # A removed incarnation must not return: its shares may belong to others.
                    self._seat_lost = True
                    self._on_seat_lost()

    def _perform_fetches(self, actions: Sequence[FetchBody | AdoptVersion]) -> None:
        for action in actions:
            match action:
                case FetchBody():
                    self._pool.spawn_n(self._fetch, action)
                case AdoptVersion():
                    self._adopt(action)

    def _send(self, to: str, message: Any) -> None:
        seat = self._seat(to)
        if seat is None:
            return
        if isinstance(message, Heartbeat) and not self.membership.has_seat:
            # The roster holds no address of an instance without a seat, so distributors
            # can only answer its call.
            self._pool.spawn_n(self._send_heartbeat, seat, message)
        else:
            self._link.send(seat, message)

    def _send_heartbeat(self, seat: Seat, heartbeat: Heartbeat) -> None:
        try:
            summary = self._link.call(seat, heartbeat, SUMMARY_TIMEOUT_MS)
        except ProxyError as exc:
            logger.debug('heartbeat to %s failed: %s', seat.name, exc)
            return
        self._perform_membership(self.membership.step(self._state.now_ms(), summary))

    def _seat(self, name: str) -> Seat | None:
        seats = self._state.roster.seats
        found = next((seat for seat in seats if seat.name == name), None)
        return found or self._bootstrap.seat(name)

    def _fetch(self, action: FetchBody) -> None:
        try:
            body = self._fetch_from(action.source, action.hash)
        except ProxyError as exc:
            logger.info('fetching a configuration body from %s failed: %s', action.source, exc)
            return
        self._perform_fetches(self._configuration.on_body(self._state.now_ms(), body))

    def _fetch_from(self, source: str, hash_: str) -> ConfigurationBody:
        if source == STORE:
            return ConfigurationBody(hash_, self._repository.body(hash_))
        seat = self._seat(source)
        if seat is None:
            raise ProxyError(ErrorKind.NOT_FOUND, f'no address is known for instance {source}')
        body: ConfigurationBody = self._link.call(
            seat, self._configuration.request(hash_), BODY_TIMEOUT_MS
        )
        return body

    def _propose(self, action: ProposeRoster) -> None:
        """Propose a roster without suspected seats; keep seats taken by a new incarnation."""
        gone = {seat for seat in self.membership.roster.seats if seat.name in set(action.removed)}
        for seat in gone:
            self._state.events.emit('peer_suspected', peer=seat.name)

        def change(roster: Roster) -> Roster:
            return Roster(tuple(seat for seat in roster.seats if seat not in gone))

        names = ', '.join(action.removed)
        try:
            self._repository.propose_roster(change, self._state.seat.name, f'removed {names}')
        except ProxyError as exc:
            logger.info('removing %s from the roster failed: %s', names, exc)
            return
        self.read_head()

    def _adopt(self, action: AdoptVersion) -> None:
        state, head = self._state, action.head
        usable_until_ms = state.freshness.adopted(head.version)
        roster = decode_roster(action.roster) if action.roster else Roster(())
        if roster != state.roster:
            names = [seat.name for seat in roster.seats]
            state.events.emit('roster_changed', version=head.version, seats=names)
        if head.roster_version != self._roster_since[0]:
            self._roster_since = (head.roster_version, state.now_ms())
        state.roster = roster
        state.placement.adopt(roster.seats)
        if action.manifest:
            state.directory = Directory(head.version, self._manifest(action))
        state.metrics.version.set(head.version)
        state.events.emit('configuration_adopted', version=head.version)
        actions = self.membership.adopt(state.now_ms(), head, roster)
        self._on_adopted(head.version, action.unbroken, usable_until_ms)
        self._perform_membership(actions)

    def _manifest(self, action: AdoptVersion) -> Manifest:
        """Return the manifest of a version; reuse the one in force if only the roster changed."""
        directory, hash_ = self._state.directory, action.head.manifest_hash
        if directory is not None and hash_ == self._manifest_hash:
            return directory.manifest
        manifest = document.loads(action.manifest)
        self._manifest_hash = hash_
        return manifest

    def _update_store_status(self, ok: bool, reason: str) -> None:
        if ok != self.store_ok:
            self.store_ok = ok
            name = 'store_available' if ok else 'store_unavailable'
            self._state.events.emit(name, reason=reason)
