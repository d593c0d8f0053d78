"""Client for the table service, object store and instance list of the platform."""

from __future__ import annotations

import json
import logging
import secrets
from typing import Any, NamedTuple

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from godwitthread.address import parse_address
from godwitthread.errors import ErrorKind, ProxyError

logger = logging.getLogger(__name__)

DEFAULT_TIMEOUT_MS = 1_000
#: Maximum attempts of a write without a response; its precondition lets at most one
#: of them take effect.
WRITE_ATTEMPTS = 3
#: Maximum attempts to read the row back after a write without a response.
READ_ATTEMPTS = 2
TOKEN_BYTES = 16


class Row(NamedTuple):
    """Row of the table service."""

    name: str
    #: Content, including the `writer_token` that identifies the write.
    value: dict[str, Any]
    etag: str


class NotModified(NamedTuple):
    """Result of a conditional read of a row whose etag is unchanged."""

    etag: str


class ListedInstance(NamedTuple):
    """Entry of the instance list, which is eventually consistent."""

    name: str
    host: str
    port: int
    failure_domain: str
    #: 'ready' or 'leaving'.
    state: str


class RowConflictError(ProxyError):
    """Report a conditional write whose precondition failed."""

    def __init__(self, row: Row | None) -> None:
        super().__init__(ErrorKind.MANIFEST_CONFLICT, 'another writer changed the row first')
        #: Current row, or None if it does not exist.
        self.row = row


class PlatformClient:
    """HTTP client of a platform; yields to other green threads once loop.patch() has run."""

    def __init__(self, base_url: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeout = urllib3.Timeout(total=timeout_ms / 1000)
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)

    def get_row(self, name: str, etag: str | None = None) -> Row | NotModified | None:
        """Read a row, None if it does not exist; raise STORE_UNAVAILABLE."""
        headers = {'If-None-Match': etag} if etag else {}
        status, body, current_etag = self._read(f'/table/{name}', headers)
        if status == 304:
            return NotModified(current_etag)
        if status == 404:
            return None
        value = _decode(body)
        if not isinstance(value, dict):
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, f'row {name} is not an object')
        return Row(name, value, current_etag)

    def put_row(self, name: str, value: dict[str, Any], expected_etag: str | None) -> Row:
        """Replace the row if it has the expected etag; with None, create it.

        Raise RowConflictError, STORE_UNAVAILABLE if the write did not take effect, or
        STORE_UNKNOWN if it may have.
        """
        stored = {
            **value,
            'writer_token': secrets.token_hex(TOKEN_BYTES),
            'replaced_etag': expected_etag,
        }
        for attempt in range(WRITE_ATTEMPTS):
            row = self._write(name, stored, expected_etag, repeated=attempt > 0)
            row = row or self._find_own_write(name, stored, expected_etag)
            if row is not None:
                return row
        raise ProxyError(ErrorKind.STORE_UNKNOWN, f'the write of {name} may have taken effect')

    def get_object(self, name: str) -> bytes | None:
        """Read an object, None if it does not exist; raise STORE_UNAVAILABLE."""
        status, body, _ = self._read(f'/object/{name}', {})
        return None if status == 404 else body

    def put_object(self, name: str, body: bytes) -> None:
        """Store an object under its content hash; the operation is idempotent."""
        status, answer, _ = self._request('PUT', f'/object/{name}', {}, body)
        if status not in (200, 201, 204):
            raise _unexpected(status, answer)

    def instances(self) -> list[ListedInstance]:
        """Read the eventually consistent instance list; raise STORE_UNAVAILABLE."""
        _, body, _ = self._read('/instances', {})
        entries = _decode(body)
        if not isinstance(entries, list):
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'the instance list is not an array')
        return [each for each in map(_listed_instance, entries) if each is not None]

    def _read(self, path: str, headers: dict[str, str]) -> tuple[int, bytes, str]:
        try:
            answer = self._request('GET', path, headers)
        except ProxyError as exc:
            # A read has no side effects, so a lost response is not an unknown outcome.
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, exc.message) from exc
        if answer[0] not in (200, 304, 404):
            raise _unexpected(answer[0], answer[1])
        return answer

    def _request(
        self, method: str, path: str, headers: dict[str, str], body: bytes | None = None
    ) -> tuple[int, bytes, str]:
        url = f'{self._base_url}{path}'
        try:
            resp = self._pool.request(
                method, url, headers=headers, body=body, timeout=self._timeout
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, f'platform unreachable: {exc}') from exc
        except HTTPError as exc:
            raise ProxyError(
                ErrorKind.STORE_UNKNOWN, f'no answer from the platform: {exc}'
            ) from exc
        if resp.status == 503:
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'platform out of service')
        return resp.status, resp.data, resp.headers.get('ETag', '')

    def _write(
        self, name: str, stored: dict[str, Any], expected_etag: str | None, *, repeated: bool
    ) -> Row | None:
        """Send the conditional write; return None if its outcome is unknown."""
        headers = {'If-Match': expected_etag} if expected_etag else {'If-None-Match': '*'}
        headers['Content-Type'] = 'application/json'
        body = json.dumps(stored).encode()
        try:
            status, answer, etag = self._request('PUT', f'/table/{name}', headers, body)
        except ProxyError as exc:
            # A failed retry does not reveal the outcome of the earlier attempt.
            if exc.kind is not ErrorKind.STORE_UNKNOWN and not repeated:
                raise
            return None
        if status == 412:
            return self._resolve_precondition_failure(name, stored, repeated)
        if status in (200, 201):
            return Row(name, stored, etag)
        if status >= 500 or repeated:
            # The service may have failed after the write took effect.
            return None
        raise _unexpected(status, answer)

    def _find_own_write(
        self, name: str, stored: dict[str, Any], expected_etag: str | None
    ) -> Row | None:
        """Look for the write after a lost response; return None if it must be sent again."""
        row = self._read_back(name)
        if _is_own_write(row, stored):
            return row
        if _etag_of(row) == expected_etag:
            return None
        raise _conflict_or_unknown(row, stored)

    def _read_back(self, name: str) -> Row | None:
        for _ in range(READ_ATTEMPTS):
            try:
                row = self.get_row(name)
            except ProxyError:
                continue
            return row if isinstance(row, Row) else None
        raise ProxyError(ErrorKind.STORE_UNKNOWN, f'the write of {name} may have taken effect')

    def _resolve_precondition_failure(
        self, name: str, stored: dict[str, Any], repeated: bool
    ) -> Row:
        row = self._read_back(name)
        if row is not None and _is_own_write(row, stored):
            return row
        raise _conflict_or_unknown(row, stored) if repeated else RowConflictError(row)


def _is_own_write(row: Row | None, stored: dict[str, Any]) -> bool:
    return row is not None and row.value.get('writer_token') == stored['writer_token']


def _conflict_or_unknown(row: Row | None, stored: dict[str, Any]) -> ProxyError:
    """Return the error for a write with a lost response that is not the current row."""
    # If the current row replaced the expected etag, this write never took effect.
    # Otherwise it may have taken effect and then been overwritten.
    if row is not None and row.value.get('replaced_etag') == stored['replaced_etag']:
        return RowConflictError(row)
    return ProxyError(ErrorKind.STORE_UNKNOWN, 'the write may have taken effect')


def _etag_of(row: Row | None) -> str | None:
    return row.etag if row is not None else None


def _unexpected(status: int, body: bytes) -> ProxyError:
    text = body[:200].decode('utf-8', 'replace')
    return ProxyError(ErrorKind.STORE_UNAVAILABLE, f'platform answered {status}: {text}')


def _decode(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except (ValueError, RecursionError) as exc:
        raise ProxyError(ErrorKind.STORE_UNAVAILABLE, f'malformed answer: {exc}') from exc


def _listed_instance(entry: Any) -> ListedInstance | None:
    """Return an entry of the instance list, None if it is malformed."""
    try:
        host, port = parse_address(f'{entry["host"]}:{entry["port"]}')
        return ListedInstance(
            str(entry['name']), host, port, str(entry['failure_domain']), str(entry['state'])
        )
    except (KeyError, TypeError, ValueError) as exc:
        logger.warning('malformed entry in the instance list: %s', exc)
        return None
