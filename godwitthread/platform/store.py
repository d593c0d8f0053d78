"""Client of the platform's store."""

from __future__ import annotations

import base64
import http.client
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.ports import (
    ConditionFailedError,
    HistoryLostError,
    StoredRow,
    StoredRows,
    StoreUnreachableError,
)
from godwitthread.sockets import connect

if TYPE_CHECKING:
    from godwitthread.address import Address

#: Limit of a call to the store that changes something, in ms, and of the time beyond the wait
#: for a change.
CALL_TIMEOUT_MS = 2_000
#: Limit of a read, in ms. The store answers in 4 ms and may be 100 times slower; a longer wait
#: at a silent store would miss its return.
READ_TIMEOUT_MS = 800
#: Limit of the read after one without an answer, in ms, for a store that is slower still.
#: Both limits take turns, as silence and slowness look alike.
SLOW_READ_TIMEOUT_MS = 2_000
#: Limit for opening a connection, in ms. The system repeats a lost first packet after 1 s at
#: the earliest; a new attempt finds a store that is back sooner.
CONNECT_TIMEOUT_MS = 500
#: Rows of one page; the store gives no more.
PAGE_ROWS = 500


class StoreClient:
    """Call the store over one connection that is kept open."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._conn: http.client.HTTPConnection | None = None
        self._read_timeout_ms = READ_TIMEOUT_MS

    def table(self, table: str) -> StoredRows:
        """Read a whole table; raise STORE_UNAVAILABLE."""
        rows: list[StoredRow] = []
        start = ''
        while True:
            query = {'Table': table, 'part': '', 'PageSize': PAGE_ROWS}
            if start:
                query['From'] = start
            path = f'/v1/rows-get?{urlencode(query)}'
            answer = self._read(path)
            page = [_row(each) for each in answer['rows']]
            rows += page
            if not answer.get('HasMore') or not page:
                return StoredRows(tuple(rows), answer['Revision'])
            # The range begins at the key itself, so the next one is the key and a zero byte.
            start = f'{page[-1].key}\0'

    def changes(self, table: str, revision: int, wait_ms: int) -> StoredRows:
        """Wait for changes of a table; raise HistoryLostError or STORE_UNAVAILABLE."""
        query = {'Table': table, 'after': revision, 'WaitTimeoutMs': wait_ms}
        answer = self._call(
            'GET', f'/v1/rows-feed?{urlencode(query)}', timeout_ms=wait_ms + CALL_TIMEOUT_MS
        )
        return StoredRows(tuple(_row(each) for each in answer['rows']), answer['Revision'])

    def put(self, table: str, key: str, value: bytes, expected_revision: int | None = None) -> int:
        """Write a row, under a condition if a version is given, and return its version.

        Raise ConditionFailedError, STORE_UNAVAILABLE if nothing was written, or
        STORE_UNKNOWN if the row may have been written or may yet be.
        """
        name = {'Table': table, 'part': '', 'Key': key}
        expected = [] if expected_revision is None else [{**name, 'Revision': expected_revision}]
        write = {**name, 'Value': base64.b64encode(value).decode()}
        body = {'ExpectedRev': expected, 'Writes': [write], 'Remove': []}
        return int(self._call('POST', '/v1/rows-tx', body)['Revision'])

    def remove(self, table: str, key: str, expected_revision: int) -> None:
        """Remove a row at a version; raise as `put` does."""
        name = {'Table': table, 'part': '', 'Key': key}
        body = {
            'ExpectedRev': [{**name, 'Revision': expected_revision}],
            'Writes': [],
            'Remove': [name],
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
                both = READ_TIMEOUT_MS + SLOW_READ_TIMEOUT_MS
                self._read_timeout_ms = both - self._read_timeout_ms
            raise

    def _call(
        self, method: str, path: str, body: Any = None, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> dict[str, Any]:
        """Return the decoded answer; a failed call closes the connection."""
        sent = False
        conn = self._connection()
        try:
            conn.sock.settimeout(timeout_ms / 1000)
            headers = {'Content-Type': 'application/json'} if body is not None else {}
            data = json.dumps(body).encode() if body is not None else None
            sent = True
            conn.request(method, path, data, headers)
            resp = conn.getresponse()
            status, content = resp.status, resp.read()
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            kind = ErrorKind.STORE_UNAVAILABLE
            if sent and method == 'POST':
                kind = ErrorKind.STORE_UNKNOWN
            raise ProxyError(kind, f'store: {type(exc).__name__}: {exc}') from exc
        if status == 410:
            raise HistoryLostError
        if status == 412:
            raise ConditionFailedError
        if status != 200:
            self.close()
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, f'store answered {status}')
        try:
            decoded: dict[str, Any] = json.loads(content)
        except ValueError as exc:
            self.close()
            raise ProxyError(ErrorKind.STORE_UNAVAILABLE, f'store: bad body: {exc}') from exc
        return decoded

    def _connection(self) -> http.client.HTTPConnection:
        if self._conn is None or self._conn.sock is None:
            conn = http.client.HTTPConnection(self._address.host, self._address.port)
            try:
                conn.sock = connect(self._address, CONNECT_TIMEOUT_MS)
            except OSError as exc:
                raise StoreUnreachableError(f'store: {type(exc).__name__}: {exc}') from exc
            self._conn = conn
        return self._conn


def _row(row: dict[str, Any]) -> StoredRow:
    value = None if row.get('Deleted') else base64.b64decode(row['Value'])
    return StoredRow(row['Key'], value, row['Revision'])
