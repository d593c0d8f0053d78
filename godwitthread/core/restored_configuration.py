"""Whether a configuration with a lower version replaces the one in force after a restore.

A store that comes back from a copy has a lower version until the operators write the lost ones
again. They may also go on from the one in the copy, so that a version below the one in force has
a content of its own and must take effect. Failure: drills in which the store goes back by seconds
and confirmed routes are refused at all instances, or withdrawn keys work again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.store_version import counter_of, era_of

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Time for which a lower version waits before it replaces the one in force, in ms. An instance may
#: not know all contents that were in force, and lost versions may be written again one after the
#: other. A change must take effect within 3,000 ms, of which the store and the peers may use the
#: rest: in virtual time, 20 instances knew of a restore and of a row written after it in 460 ms.
RELEASE_DELAY_MS = 1_500
#: Number of contents that are remembered; a restore goes back by seconds.
MAX_KNOWN = 32


class KnownContent(NamedTuple):
    """Content of a configuration that was in force."""

    #: Version of the store at which it was written.
    revision: int
    digest: int


class RestoredConfiguration:
    """Decision on the configuration in the store, by its version in the store and its content."""

    def __init__(self) -> None:
        #: Version of the store from which on a lower configuration is released, 0 without one. It
        #: counts in its own era only.
        self.released = 0
        #: Whether this instance has released a configuration, rather than heard of it from a peer.
        self.decided = False
        self._known: tuple[KnownContent, ...] = ()
        #: Version of the first copy of the newest era: rows of later versions were written after
        #: the restore.
        self._first_copy = 0
        #: Version of the row that was examined last.
        self._examined = 0
        #: Whether that row can't be decoded, or repeats what was in force before the restore.
        self._repeats = False
        #: Time at which the first of the lower rows that wait was examined, in ms.
        self._since_ms: int | None = None

    @property
    def known(self) -> tuple[KnownContent, ...]:
        """Return the contents that were in force, oldest first."""
        return self._known

    def learn(self, contents: Iterable[KnownContent]) -> None:
        """Record contents that were in force, here or at a peer."""
        self._known = tuple(sorted({*self._known, *contents}))[-MAX_KNOWN:]
        self._examined = 0

    def read_copy(self, revision: int) -> None:
        """Record the version of a copy of the whole table."""
        if era_of(revision) > era_of(self._first_copy):
            self._first_copy, self._since_ms = revision, None
            self.released, self.decided = 0, False

    def was_in_force(self, revision: int, digest: int, former: int) -> bool:
        """Return whether the content of a row was in force before its era, given a former row.

        A content that was in force in a later era than the former row has replaced that one, at
        peers that know of a release which this instance has missed.
        """
        eras = [era_of(each.revision) for each in self._before(revision) if each.digest == digest]
        return bool(eras) and max(eras) <= era_of(former)

    def needs_examination(self, revision: int) -> bool:
        """Return whether a row must be examined; a content is decoded and hashed only once."""
        return revision != self._examined

    def examine(self, now_ms: int, revision: int, digest: int | None, former: int) -> None:
        """Examine the row of the store, which has a lower version than the former one.

        The digest is None if the row can't be decoded.
        """
        self._examined = revision
        repeats = digest is not None and self.was_in_force(revision, digest, former)
        self._repeats = digest is None or repeats
        if repeats and self._is_after_release(revision) and not self.decided:
            # The peer did not know what was in force.
            self.released = 0
        # A row in the first copy was written after the restore if this instance knows what was
        # in force at its version before, and that was another content.
        before = self._before(revision)
        is_new = revision > self._first_copy or (
            bool(before) and counter_of(revision) > counter_of(before[0].revision)
        )
        if self._repeats or not is_new:
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = now_ms

    def peer_released(self, revision: int) -> None:
        """Record that a peer has released the configuration of some version of the store."""
        if era_of(revision) == era_of(self._first_copy) and not self.released:
            self.released = revision

    def is_due(self, now_ms: int) -> bool:
        """Return whether the examined row replaces the configuration in force."""
        if self._is_after_release(self._examined) and not self._repeats:
            return True
        return self._since_ms is not None and now_ms - self._since_ms >= RELEASE_DELAY_MS

    def release(self) -> None:
        """Record that the examined row replaces the configuration in force."""
        self.decided, self._since_ms = True, None
        if not self._is_after_release(self._examined):
            self.released = self._examined

    def is_released(self, revision: int) -> bool:
        """Return whether a row holds although a higher version was in force before the restore."""
        return self.decided and self._is_after_release(revision)

    def _is_after_release(self, revision: int) -> bool:
        return 0 < self.released <= revision and era_of(revision) == era_of(self.released)

    def _before(self, revision: int) -> tuple[KnownContent, ...]:
        """Return the contents that were in force before the era of a version, oldest first."""
        return tuple(each for each in self._known if era_of(each.revision) < era_of(revision))
