"""Versioned configuration changes in the store of the platform."""

from __future__ import annotations

import random
import secrets
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet
from godwitthread.manifest import document
from godwitthread.manifest.changes import preserve_states
from godwitthread.manifest.head import (
    EMPTY,
    HEAD_ROW,
    Head,
    decode_roster,
    encode_record,
    encode_roster,
    head_from_row,
)
from godwitthread.types import Roster

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from godwitthread.manifest.types import Manifest

#: Maximum attempts of a change that conflicts with unrelated changes. Each conflict
#: means that another writer succeeded, and all nine instances may join concurrently.
CHANGE_ATTEMPTS = 16
#: Maximum attempts of one conditional write whose responses are lost.
WRITE_ATTEMPTS = 3
#: Upper bound of the random backoff between attempts, in ms.
MAX_BACKOFF_MS = 200
#: Maximum number of versions read by a lookup in the history.
MAX_HISTORY = 5_000


class StoredRow(Protocol):
    """Row of the table service with its etag."""

    @property
    def value(self) -> dict[str, Any]:
        """Return the content of the row."""

    @property
    def etag(self) -> str:
        """Return the etag of this content."""


class Store(Protocol):
    """Part of the platform client that the repository uses."""

    def get_row(self, name: str) -> Any:
        """Read a StoredRow, None if it does not exist; raise STORE_UNAVAILABLE."""

    def put_row(self, name: str, value: dict[str, Any], expected_etag: str | None) -> Any:
        """Replace a row; raise MANIFEST_CONFLICT, STORE_UNAVAILABLE or STORE_UNKNOWN."""

    def get_object(self, name: str) -> bytes | None:
        """Read an object, None if it does not exist; raise STORE_UNAVAILABLE."""

    def put_object(self, name: str, body: bytes) -> None:
        """Store an object; raise STORE_UNAVAILABLE or STORE_UNKNOWN."""


class VersionConflictError(ProxyError):
    """Report a change that conflicts with another accepted version."""

    def __init__(self, expected_version: int, head: Head) -> None:
        super().__init__(
            ErrorKind.MANIFEST_CONFLICT,
            f'version {head.version} by {head.author} is in force, and the manifest was last '
            f'changed in version {head.manifest_version} by {head.manifest_author}; '
            f'the change expected version {expected_version}',
            details={'version': head.version, 'author': head.author},
        )
        #: Head of the version in force.
        self.head = head


def sleep_random_backoff(attempt: int) -> None:
    """Sleep for a random time whose bound doubles per attempt, up to MAX_BACKOFF_MS."""
    longest_ms = min(MAX_BACKOFF_MS, 25 * 2**attempt)
    eventlet.sleep(random.uniform(0, longest_ms) / 1000)


class Repository:
    """Read and change the configuration head and the bodies that it references."""

    def __init__(
        self,
        store: Store,
        wall_ms: Callable[[], int],
        backoff: Callable[[int], None] = sleep_random_backoff,
        new_token: Callable[[], str] = lambda: secrets.token_hex(16),
    ) -> None:
        self._store = store
        self._wall_ms = wall_ms
        self._backoff = backoff
        self._new_token = new_token

    def head(self) -> Head:
        """Return the head of the current version, or EMPTY; raise STORE_UNAVAILABLE."""
        return self._read()[0]

    def manifest(self, head: Head) -> Manifest:
        """Return the manifest of a version; raise NOT_FOUND or STORE_UNAVAILABLE."""
        if head.manifest_sha256 is None:
            raise ProxyError(ErrorKind.NOT_FOUND, 'no manifest has been applied yet')
        return document.loads(self.body(head.manifest_sha256))

    def roster(self, head: Head) -> Roster:
        """Return the roster of a version, empty if it has none; raise STORE_UNAVAILABLE."""
        if head.roster_sha256 is None:
            return Roster(())
        return decode_roster(self.body(head.roster_sha256))

    def history(self, limit: int = 50) -> list[Head]:
        """Return the newest versions, newest first; raise STORE_UNAVAILABLE."""
        return [
            head for head, _ in zip(self._iterate_history(self.head()), range(limit), strict=False)
        ]

    def version(self, version: int) -> Head:
        """Return one version; raise NOT_FOUND or STORE_UNAVAILABLE."""
        return self._find_version(self.head(), version)

    def propose_manifest(
        self, manifest: Manifest, expected_version: int, author: str, note: str = 'apply'
    ) -> Head:
        """Replace the manifest unless it changed after the expected version.

        A change of only the roster since that version is no conflict, because the
        manifest that the author edited is still in force. Raise VersionConflictError,
        STORE_UNAVAILABLE if the change did not take effect, STORE_UNKNOWN if it may
        have, or a group of MANIFEST_INVALID.
        """
        document.load(document.plain(manifest))
        for attempt in range(CHANGE_ATTEMPTS):
            head, etag = self._read()
            if not head.manifest_version <= expected_version <= head.version:
                raise VersionConflictError(expected_version, head)
            try:
                return self._write_manifest(manifest, head, etag, author, note)
            except VersionConflictError as exc:
                winning_head = exc.head
            self._backoff(attempt)
        raise VersionConflictError(expected_version, winning_head)

    def change_manifest(
        self, change: Callable[[Manifest], Manifest], author: str, note: str
    ) -> Head:
        """Apply an incremental change to the current manifest; retry on conflicts."""

        def attempt(head: Head, etag: str | None) -> Head:
            old = self.manifest(head)
            new = change(old)
            if new == old:
                return head
            document.load(document.plain(new))
            return self._write_manifest(new, head, etag, author, note)

        return self._retry_on_conflict(attempt)

    def propose_roster(
        self, change: Callable[[Roster], Roster], author: str, note: str = 'roster'
    ) -> Head:
        """Apply a change to the current roster; retry on conflicts."""

        def attempt(head: Head, etag: str | None) -> Head:
            old = self.roster(head)
            new = change(old)
            if set(new.seats) == set(old.seats):
                return head
            sha256 = self._put_body(encode_roster(new))
            changes = {
                'roster_sha256': sha256,
                'roster_version': head.version + 1,
                'previous_roster_version': head.roster_version,
                'note': note,
            }
            return self._write(head, etag, author, changes)

        return self._retry_on_conflict(attempt)

    def rollback(self, to_version: int, expected_version: int, author: str) -> Head:
        """Restore an earlier manifest as a new version; errors as in propose_manifest()."""
        head = self.head()
        target = self.manifest(self._find_version(head, to_version))
        restored = preserve_states(self.manifest(head), target)
        note = f'rollback to version {to_version}'
        return self.propose_manifest(restored, expected_version, author, note)

    def _retry_on_conflict(self, attempt: Callable[[Head, str | None], Head]) -> Head:
        for number in range(CHANGE_ATTEMPTS):
            head, etag = self._read()
            try:
                return attempt(head, etag)
            except VersionConflictError as exc:
                conflict = exc
            self._backoff(number)
        raise conflict

    def _write_manifest(
        self, manifest: Manifest, head: Head, etag: str | None, author: str, note: str
    ) -> Head:
        changes = {
            'manifest_sha256': self._put_body(document.encode(manifest)),
            'manifest_version': head.version + 1,
            'manifest_author': author,
            'note': note,
        }
        return self._write(head, etag, author, changes)

    def _write(self, base: Head, etag: str | None, author: str, changes: dict[str, Any]) -> Head:
        """Replace the head with a conditional write; repeat it while its response is lost."""
        new = base._replace(
            **changes,
            version=base.version + 1,
            author=author,
            proposal_token=self._new_token(),
            accepted_wall_ms=self._wall_ms(),
            previous_sha256=self._put_body(encode_record(base)) if base.version else None,
        )
        row = {**new._asdict(), 'writer_token': new.proposal_token}
        for attempt in range(WRITE_ATTEMPTS):
            try:
                self._store.put_row(HEAD_ROW, row, etag)
                return new
            except ProxyError as exc:
                if exc.kind is ErrorKind.MANIFEST_CONFLICT:
                    return self._resolve_conflict(new)
                # After a lost response, a failed retry does not reveal the outcome of the
                # earlier attempt.
                if exc.kind is not ErrorKind.STORE_UNKNOWN and attempt == 0:
                    raise
            self._backoff(attempt)
        raise _unknown_outcome(new)

    def _resolve_conflict(self, new: Head) -> Head:
        """Return the proposal if an earlier attempt stored it.

        Raise VersionConflictError or STORE_UNKNOWN otherwise.
        """
        try:
            head = self.head()
            if head.version < new.version:
                raise _unknown_outcome(new)
            winner = self._find_version(head, new.version)
        except ProxyError as exc:
            raise _unknown_outcome(new) from exc
        if winner.proposal_token == new.proposal_token:
            return new
        raise VersionConflictError(new.version - 1, head)

    def _put_body(self, body: bytes) -> str:
        """Store a body under its hash and return the hash; raise STORE_UNAVAILABLE."""
        sha256 = document.digest(body)
        for attempt in range(WRITE_ATTEMPTS):
            try:
                self._store.put_object(sha256, body)
                return sha256
            except ProxyError as exc:
                if exc.kind is not ErrorKind.STORE_UNKNOWN:
                    raise
            if self._store.get_object(sha256) == body:
                return sha256
            self._backoff(attempt)
        # A body that no head references has no effect, so the outcome is known.
        raise ProxyError(
            ErrorKind.STORE_UNAVAILABLE,
            f'write of object {sha256} not confirmed: reading it back returned no object or '
            'other content',
        )

    def body(self, sha256: str) -> bytes:
        """Return a body by its hash; raise STORE_UNAVAILABLE."""
        body = self._store.get_object(sha256)
        if body is None or document.digest(body) != sha256:
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, f'object {sha256} is missing or damaged')
        return body

    def _read(self) -> tuple[Head, str | None]:
        row: StoredRow | None = self._store.get_row(HEAD_ROW)
        return (EMPTY, None) if row is None else (head_from_row(row.value), row.etag)

    def _iterate_history(self, head: Head) -> Iterator[Head]:
        while head.version:
            yield head
            if head.previous_sha256 is None:
                return
            head = head_from_row(msgspec.json.decode(self.body(head.previous_sha256)))

    def _find_version(self, head: Head, version: int) -> Head:
        for candidate, _ in zip(self._iterate_history(head), range(MAX_HISTORY), strict=False):
            if candidate.version == version:
                return candidate
        raise ProxyError(ErrorKind.NOT_FOUND, f'version {version} is not in the history')


def _unknown_outcome(new: Head) -> ProxyError:
    message = f'version {new.version} may have been accepted; read the configuration to find out'
    return ProxyError(ErrorKind.STORE_UNKNOWN, message)
