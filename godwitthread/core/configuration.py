"""Adoption of configuration versions and selection of the sources of their bodies."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.invariants import Promise

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from godwitthread.core.invariants import Invariants
    from godwitthread.types import Roster

#: Delay before a body is requested from another source.
FETCH_RETRY_MS = 300
#: Number of requests to peers before a request to the object store.
PEER_ATTEMPTS = 2
#: Source name that stands for the object store.
STORE = 'store'
#: Number of bodies kept to answer requests of peers.
KEPT_BODIES = 8


class Head(NamedTuple):
    """Row `configuration/head` of the table service."""

    version: int
    manifest_hash: str
    roster_hash: str
    #: Versions of the newest roster change and of the one before it. An instance that
    #: skipped versions determines from them whether it missed a roster.
    roster_version: int = 0
    previous_roster_version: int = 0


class ConfigurationRequest(NamedTuple):
    """Request a body from a peer by its hash."""

    hash: str
    #: Hash of the previous body of the same kind that the requester has.
    base: str = ''


class ConfigurationBody(NamedTuple):
    """Body of a manifest or roster; the receiver verifies its SHA-256.

    With a base, `body` replaces what is between the first `prefix` and the last `suffix`
    bytes of the base. A change alters few bytes of a body, which has 851 kB at the target size.
    """

    hash: str
    body: bytes
    base: str = ''
    prefix: int = 0
    suffix: int = 0


class FetchBody(NamedTuple):
    """Request a body from a source, which is the name of a peer or STORE."""

    source: str
    hash: str


class AdoptVersion(NamedTuple):
    """Put a version in force; the caller decodes the bodies."""

    head: Head
    manifest: bytes
    roster: bytes
    #: Whether no roster between the previous version and this one was missed.
    unbroken: bool


class ConfigurationState:
    """Adopt versions in ascending order only and fetch the bodies they need."""

    def __init__(self, invariants: Invariants, rng: random.Random) -> None:
        self._invariants = invariants
        self._rng = rng
        #: Head in force, None before the first version.
        self.head: Head | None = None
        self._target_head: Head | None = None
        self._sources: list[str] = []
        self._bodies: dict[str, bytes] = {}
        self._attempts = 0
        self._retry_ms = 0
        #: Newest difference sent to a peer.
        self._difference: ConfigurationBody | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.head.version if self.head else 0

    def learn(self, now_ms: int, head: Head, source: str) -> list[FetchBody | AdoptVersion]:
        """Process a head known to a source; return what to fetch or adopt."""
        newest = self._target_head.version if self._target_head else self.version
        if head.version == newest and self._target_head is not None and source not in self._sources:
            self._sources.append(source)
        if head.version <= newest:
            return []
        self._target_head, self._sources, self._attempts = head, [source], 0
        return self._fetch_or_adopt(now_ms)

    def on_body(self, now_ms: int, body: ConfigurationBody) -> list[FetchBody | AdoptVersion]:
        """Store a body if its hash is correct; return the adoption that it completes."""
        full_body = self._reconstruct(body)
        if body.hash not in self._missing() or digest(full_body) != body.hash:
            return []
        self._bodies[body.hash] = full_body
        return self._fetch_or_adopt(now_ms) if not self._missing() else []

    def request(self, hash_: str) -> ConfigurationRequest:
        """Return the request for a body, based on the previous body of its kind."""
        base = ''
        if self.head is not None and self._target_head is not None:
            is_roster = hash_ == self._target_head.roster_hash
            base = self.head.roster_hash if is_roster else self.head.manifest_hash
        return ConfigurationRequest(hash_, base if base in self._bodies else '')

    def on_request(self, request: ConfigurationRequest) -> ConfigurationBody | None:
        """Return the body that a peer requested, None if it is not available."""
        body = self._bodies.get(request.hash)
        if body is None:
            return None
        base = self._bodies.get(request.base)
        if base is None:
            return ConfigurationBody(request.hash, body)
        if self._difference is None or (self._difference.hash, self._difference.base) != request:
            # Cache the difference: many peers request the same one after a change.
            self._difference = difference(request, base, body)
        return self._difference

    def step(self, now_ms: int) -> list[FetchBody | AdoptVersion]:
        """Request missing bodies from the next source after the retry delay."""
        if self._target_head is None or now_ms < self._retry_ms:
            return []
        return self._fetch_or_adopt(now_ms)

    def body(self, hash_: str) -> bytes | None:
        """Return a stored body, None if it is not available."""
        return self._bodies.get(hash_)

    def _reconstruct(self, body: ConfigurationBody) -> bytes:
        base = self._bodies.get(body.base, b'')
        end = base[len(base) - body.suffix :] if body.suffix else b''
        return base[: body.prefix] + body.body + end

    def _missing(self) -> list[str]:
        if self._target_head is None:
            return []
        wanted = (self._target_head.roster_hash, self._target_head.manifest_hash)
        # An empty hash in the head means that there is no manifest or no roster.
        return [hash_ for hash_ in wanted if hash_ and hash_ not in self._bodies]

    def _fetch_or_adopt(self, now_ms: int) -> list[FetchBody | AdoptVersion]:
        missing = self._missing()
        if not missing:
            return [self._adopt()]
        source = self._choose_source()
        self._attempts += 1
        # Jitter spreads the requests of instances that learn of a version at the same time.
        self._retry_ms = now_ms + FETCH_RETRY_MS + self._rng.randrange(FETCH_RETRY_MS // 10)
        return [FetchBody(source, hash_) for hash_ in missing]

    def _choose_source(self) -> str:
        peers = [source for source in self._sources if source != STORE]
        turn = self._attempts % (PEER_ATTEMPTS + 1)
        if not peers or turn == PEER_ATTEMPTS:
            return STORE
        return peers[self._attempts % len(peers)]

    def _adopt(self) -> AdoptVersion:
        head = self._target_head
        assert head is not None
        self._invariants.check(
            Promise.CONFIG_MONOTONE,
            head.version > self.version,
            f'version {head.version} after {self.version}',
        )
        unbroken = self.head is not None and is_unbroken(self.version, head)
        self.head, self._target_head = head, None
        for hash_ in (head.roster_hash, head.manifest_hash):
            if hash_:
                self._bodies[hash_] = self._bodies.pop(hash_)
        for hash_ in list(self._bodies)[:-KEPT_BODIES]:
            del self._bodies[hash_]
        manifest, roster = (
            self._bodies.get(hash_, b'') for hash_ in (head.manifest_hash, head.roster_hash)
        )
        return AdoptVersion(head, manifest, roster, unbroken)


class JoinState:
    """Determine the version to start with while the store is unavailable.

    Every settled version is known to a majority of the seats. Seats that are themselves
    joining do not count, because a restart discards what the seat knew before.
    """

    def __init__(self, invariants: Invariants) -> None:
        self._invariants = invariants
        self._votes: dict[tuple[str, int], Head] = {}

    def vote(self, name: str, incarnation: int, head: Head, *, joining: bool) -> None:
        """Record the head of a peer that answered a heartbeat of this incarnation."""
        if not joining:
            self._votes[name, incarnation] = head

    def candidate(self) -> Head | None:
        """Return the head with the highest version received, whose roster must be fetched."""
        return max(self._votes.values(), key=lambda head: head.version, default=None)

    def accepted(self, head: Head, roster: Roster) -> bool:
        """Return whether a majority of the roster has answered and none has a higher version."""
        answered = [s for s in roster.seats if (s.name, s.incarnation) in self._votes]
        newest = self.candidate()
        return (
            newest is not None
            and newest.version <= head.version
            and len(answered) * 2 > len(roster.seats)
        )


def digest(body: bytes) -> str:
    """Return the SHA-256 under which a body is stored."""
    return hashlib.sha256(body).hexdigest()


def difference(request: ConfigurationRequest, base: bytes, body: bytes) -> ConfigurationBody:
    """Return a body encoded as the part that differs from its base."""
    longest = min(len(base), len(body))
    prefix = _common_length(longest, lambda size: base[:size] == body[:size])
    suffix = _common_length(
        longest - prefix,
        lambda size: base[len(base) - size :] == body[len(body) - size :],
    )
    middle = body[prefix : len(body) - suffix]
    return ConfigurationBody(request.hash, middle, request.base, prefix, suffix)


def _common_length(longest: int, agrees: Callable[[int], bool]) -> int:
    """Return the largest size at which two bodies agree, found by bisection."""
    low, high = 0, longest
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if agrees(middle) else (low, middle - 1)
    return low


def is_unbroken(version: int, head: Head) -> bool:
    """Return whether there is at most one roster change between a version and a head."""
    return head.version == version + 1 or head.previous_roster_version <= version < head.version


def next_head(head: Head, manifest_hash: str, roster_hash: str) -> Head:
    """Return the head of the next version, with the given bodies."""
    version = head.version + 1
    if roster_hash == head.roster_hash:
        return head._replace(version=version, manifest_hash=manifest_hash)
    return Head(version, manifest_hash, roster_hash, version, head.roster_version)
