"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import http.client
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from godwitthread.core.store_version import MAX_ERA, combine, counter_of, era_of
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.ports import (
    ConditionFailedError,
    HistoryLostError,
    StoredRow,
    StoredRows,
    StoreUnreachableError,
)
from godwitthread.sockets import connect, has_no_input, shutdown_socket

if TYPE_CHECKING:
    from godwitthread.address import Address

#: Time-out of a write, in ms. A wait for changes has this time-out in addition to its wait time; a
#: request for changes without a wait has those of a read.
CALL_TIMEOUT_MS = 2_000
#: Time-out of a read, in ms. The store responds in 4 ms and may be 100 times slower; with a longer
#: time-out, the client would notice the recovery of an unresponsive store too late.
READ_TIMEOUT_MS = 800
#: Time-out of the read after one that timed out, in ms, for a store that is slower still.
#: Both time-outs alternate, because an unresponsive store can't be told from a slow one.
SLOW_READ_TIMEOUT_MS = 2_000
#: Time-out for opening a connection, in ms. The kernel retransmits a lost SYN packet after 1 s at
#: the earliest; a new attempt reaches a recovered store sooner.
CONNECT_TIMEOUT_MS = 500
#: Header that tells how many times the store has come back from an older copy.
ERA_HEADER = 'Store-Era'
#: Maximum length of that number.
MAX_ERA_DIGITS = 6
#: Rows per page; the store returns no more.
PAGE_ROWS = 500


class StoreClient:
    """Client that calls the store over one persistent connection."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._conn: http.client.HTTPConnection | None = None
        self._read_timeout_ms = READ_TIMEOUT_MS
        #: Era of the store in its last answer, 0 without one.
        self._era = 0
        #: Version of the newest row that this client wrote.
        self._written_revision = 0

    def table(self, table: str) -> StoredRows:
        """Read a whole table; raise STORE_UNAVAILABLE."""
        rows: list[StoredRow] = []
        start, revision = '', 0
        while True:
            query = {'Table': table, 'part': '', 'PageSize': PAGE_ROWS}
            if start:
                query['From'] = start
            # A key with a lone surrogate is sent back as it was received.
            path = f'/v1/rows-get?{urlencode(query, errors="surrogatepass")}'
            response = self._read(path)
            page = _decode_rows(response, self._era)
            if rows and era_of(page.revision) != era_of(revision):
                message = 'store: restored between two pages of a table'
                raise ProxyError(ErrorKind.STORE_UNAVAILABLE, message)
            rows += page.rows
            # Each page is as of a moment of its own; the changes since the first one follow.
            revision = revision or page.revision
            if not response.get('HasMore') or not page.rows:
                return StoredRows(tuple(rows), revision)
            # `From` is inclusive, so the next page starts at the last key plus a zero byte.
            start = f'{response["rows"][-1]["Key"]}\0'

    def changes(self, table: str, revision: int, wait_ms: int) -> StoredRows:
        """Wait for changes of a table; raise HistoryLostError or STORE_UNAVAILABLE."""
        query = {'Table': table, 'after': counter_of(revision), 'WaitTimeoutMs': wait_ms}
        path = f'/v1/rows-feed?{urlencode(query)}'
        if wait_ms:
            response = self._call('GET', path, timeout_ms=wait_ms + CALL_TIMEOUT_MS)
        else:
            response = self._read(path)
        content = _decode_rows(response, self._era)
        if era_of(content.revision) != era_of(revision):
            # The store has a version of the same number, with other content before it.
            raise HistoryLostError
        return content

    def interrupt(self) -> None:
        """Make a call that another green thread has in progress fail."""
        if self._conn is not None and self._conn.sock is not None:
            shutdown_socket(self._conn.sock)

    def put(self, table: str, key: str, value: bytes, expected_revision: int | None = None) -> int:
        """Write a row, optionally only at an expected revision, and return its new revision.

        Raise ConditionFailedError if the row has another revision, STORE_UNAVAILABLE if
        nothing was written, or STORE_UNKNOWN if the write may take effect now or later, or took
        effect in place of another content.
        """
        row_key = {'Table': table, 'part': '', 'Key': key}
        expected = []
        if expected_revision is not None:
            expected = [{**row_key, 'Revision': counter_of(expected_revision)}]
        write = {**row_key, 'Value': base64.b64encode(value).decode()}
        body = {'ExpectedRev': expected, 'Writes': [write], 'Remove': []}
        response = self._call('POST', '/v1/rows-tx', body)
        try:
            revision = combine(self._era, _revision(response))
        except (KeyError, TypeError) as exc:
            message = f'store: malformed response: {type(exc).__name__}: {exc}'
            raise ProxyError(ErrorKind.STORE_UNKNOWN, message) from exc
        is_newer = revision > self._written_revision
        self._written_revision = revision
        if not is_newer:
            # Versions increase with each write, so this is the response to an earlier one.
            self.close()
            raise ProxyError(ErrorKind.STORE_UNKNOWN, f'store: version {revision} returned again')
        if expected_revision and era_of(expected_revision) != self._era:
            # The store was restored meanwhile: a row of that number may have another content.
            message = f'store: the condition was of era {era_of(expected_revision)}'
            raise ProxyError(ErrorKind.STORE_UNKNOWN, message)
        return revision

    def remove(self, table: str, key: str, expected_revision: int) -> None:
        """Remove a row at an expected revision; raise the same errors as `put`."""
        row_key = {'Table': table, 'part': '', 'Key': key}
        body = {
            'ExpectedRev': [{**row_key, 'Revision': counter_of(expected_revision)}],
            'Writes': [],
            'Remove': [row_key],
        }
        self._call('POST', '/v1/rows-tx', body)

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _read(self, path: str) -> dict[str, Any]:
        try:
            return self._call('GET', path, timeout_ms=self._read_timeout_ms)
        except ProxyError as exc:
            if isinstance(exc.__cause__, TimeoutError) and not isinstance(
                exc, StoreUnreachableError
            ):
                # Switch to the other of the two time-outs.
                sum_ms = READ_TIMEOUT_MS + SLOW_READ_TIMEOUT_MS
                self._read_timeout_ms = sum_ms - self._read_timeout_ms
            raise

    def _call(
        self, method: str, path: str, body: Any = None, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> dict[str, Any]:
        """Send a request and return the decoded response; close the connection on failure."""
        sent = False
        conn = self._connection()
        try:
            conn.sock.settimeout(timeout_ms / 1000)
            headers = {'Content-Type': 'application/json'} if body is not None else {}
            data = json.dumps(body).encode() if body is not None else None
            sent = True
            conn.request(method, path, data, headers)
            response = conn.getresponse()
            status, content = response.status, response.read()
            self._era = _decode_era(response.getheader(ERA_HEADER))
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            kind = ErrorKind.STORE_UNAVAILABLE
            if sent and method == 'POST':
                kind = ErrorKind.STORE_UNKNOWN
            raise ProxyError(kind, f'store: {type(exc).__name__}: {exc}') from exc
        except BaseException:
            # A time-out of eventlet or the end of the green thread leaves a response outstanding.
            self.close()
            raise
        if status == 410:
            raise HistoryLostError
        if status == 412:
            raise ConditionFailedError
        if status != 200:
            self.close()
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, f'store returned HTTP status {status}')
        try:
            decoded: dict[str, Any] = json.loads(content)
        except (ValueError, RecursionError) as exc:
            self.close()
            raise ProxyError(
                ErrorKind.STORE_UNAVAILABLE, f'store: invalid JSON in response: {exc}'
            ) from exc
        return decoded

    def _connection(self) -> http.client.HTTPConnection:
        open_sock = self._conn.sock if self._conn is not None else None
        if open_sock is not None and not has_no_input(open_sock):
            # A response that was not asked for would be taken for that to the next request.
            self.close()
        if self._conn is None or self._conn.sock is None:
            conn = http.client.HTTPConnection(self._address.host, self._address.port)
            try:
                conn.sock = connect(self._address, CONNECT_TIMEOUT_MS)
            except OSError as exc:
                raise StoreUnreachableError(f'store: {type(exc).__name__}: {exc}') from exc
            self._conn = conn
        return self._conn


def _decode_rows(response: dict[str, Any], era: int) -> StoredRows:
    """Decode rows; raise STORE_UNAVAILABLE if what the store itself adds to them is malformed."""
    try:
        rows = response['rows']
        if not isinstance(rows, list):
            raise TypeError('rows is not a list')
        decoded = tuple(_decode_row(row, era) for row in rows)
        return StoredRows(decoded, combine(era, _revision(response)))
    except (KeyError, TypeError, AttributeError) as exc:
        message = f'store: malformed response: {type(exc).__name__}: {exc}'
        raise ProxyError(ErrorKind.STORE_UNAVAILABLE, message) from exc


def _decode_row(row: dict[str, Any], era: int) -> StoredRow:
    # Keys and values are from any writer. JSON strings can have lone surrogates, which no other
    # encoding has.
    key = row['Key'].encode('utf-8', 'backslashreplace').decode()
    value = None if row.get('Deleted') else _decode_value(row.get('Value'))
    return StoredRow(key, value, combine(era, _revision(row)))


def _decode_value(value: Any) -> bytes:
    """Return the content of a row; malformed content becomes an empty one, which nothing adopts."""
    try:
        return base64.b64decode(value)
    except (TypeError, ValueError):
        return b''


def _decode_era(header: str | None) -> int:
    """Return the era of the store, 0 without a header or with a malformed one."""
    if header is None or len(header) > MAX_ERA_DIGITS or not header.isascii():
        return 0
    return min(int(header), MAX_ERA) if header.isdigit() else 0


def _revision(response: dict[str, Any]) -> int:
    revision = response['Revision']
    if type(revision) is not int:
        raise TypeError(f'invalid Revision {revision!r}')
    return revision
