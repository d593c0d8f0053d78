"""Stand-in for the platform's row store and its promotion endpoint."""

from __future__ import annotations

import base64
import json
import random
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs

from godwitthread.clock import Clock
from godwitthread.loop import eventlet
from godwitthread.sockets import listen

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwitthread.address import Address

#: Number of changes that the feed keeps.
MAX_HISTORY_ENTRIES = 10_000
#: Interval at which a waiting feed request checks for changes, in s.
FEED_POLL_S = 0.02
#: Time for which a muted call stays open, in s; longer than any client waits.
MUTED_CALL_S = 60.0


class Change(NamedTuple):
    """Change of one row, and what it replaced."""

    at_ms: int
    revision: int
    table: str
    key: str
    #: Former content and revision, None if the row did not exist.
    former: tuple[str, int] | None


class RowStore:
    """Row store with revisions, a change feed and fault injection."""

    def __init__(self, seed: int = 0) -> None:
        self.revision = 1
        #: Number of times that the store has come back from an older copy.
        self.era = 0
        #: Outage mode: 'busy' answers 503, 'silent' delays that answer by 30 s; None while
        #: the store is available.
        self.outage: str | None = None
        self.delay_s = 0.0
        #: Probability that the answer to a write is delayed by 30 s after it took effect.
        self.lost_answer_share = 0.0
        #: Age of the content with which reads of whole tables are answered, in ms.
        self.read_lag_ms = 0
        #: Names of the callers of `application_for` that get no answer.
        self.muted: set[str] = set()
        self.calls = 0
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._history: list[Change] = []
        #: Newest content of each row of the platform, None for a removed one.
        self._intended: dict[tuple[str, str], str | None] = {}
        self._oldest = 0
        #: Number of times that all waiting feed requests were ended.
        self._cuts = 0
        self._random = random.Random(seed)
        self._clock = Clock()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row on behalf of the platform."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(table, key, base64.b64encode(data).decode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row on behalf of the platform."""
        self._put(table, key, None)

    def content(self, table: str, key: str) -> bytes | None:
        """Return the content of a row as the store has it now, None if there is none."""
        value, _ = self._rows.get((table, key), (None, 0))
        return None if value is None else base64.b64decode(value)

    def write_again(self) -> None:
        """Write on behalf of the platform what was lost with restores."""
        for (table, key), value in self._intended.items():
            if self._rows.get((table, key), (None, 0))[0] != value:
                self._put(table, key, value)

    def _put(self, table: str, key: str, value: str | None) -> None:
        self.revision += 1
        self._intended[table, key] = value
        self._write(table, key, value)

    def truncate_history(self) -> None:
        """Discard the change history; feed requests from older revisions are answered with 410."""
        self._oldest = self.revision

    def compact(self, read_lag_ms: int) -> None:
        """Discard the history, end waiting feed requests, and answer reads with old content."""
        self.truncate_history()
        self._cuts += 1
        self.read_lag_ms = read_lag_ms

    def restore(self, age_ms: int) -> list[Change]:
        """Come back from a copy of `age_ms` ago; return the lost changes, oldest first.

        Revisions go back and are given out again. Waiting feed requests are answered with 503.
        """
        self._rows, self.revision, lost = self._content(age_ms)
        del self._history[len(self._history) - len(lost) :]
        self._oldest = min(self._oldest, self.revision)
        self.era += 1
        self._cuts += 1
        return lost

    def _content(self, age_ms: int) -> tuple[dict[tuple[str, str], Any], int, list[Change]]:
        """Return the rows and the revision of `age_ms` ago, and the changes since."""
        rows, oldest_ms = dict(self._rows), self._clock.now_ms() - age_ms
        later = [each for each in self._history if each.at_ms > oldest_ms] if age_ms else []
        for change in reversed(later):
            rows.pop((change.table, change.key), None)
            if change.former is not None:
                rows[change.table, change.key] = change.former
        return rows, later[0].revision - 1 if later else self.revision, later

    def application(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve the store as a WSGI application."""
        self.calls += 1
        if self.delay_s:
            eventlet.sleep(self.delay_s)
        if self.outage == 'silent':
            eventlet.sleep(30)
        if self.outage:
            return self._answer(start_response, 503, {})
        path = environ['PATH_INFO']
        query = {
            key: values[0] for key, values in parse_qs(environ.get('QUERY_STRING', '')).items()
        }
        if path == '/v1/rows-get':
            return self._answer(start_response, 200, self._get(query))
        if path == '/v1/rows-feed':
            return self._answer(start_response, *self._feed(query))
        if path == '/v1/rows-tx':
            status, body = self._transact(json.loads(environ['wsgi.input'].read()))
            if status == 200 and self._random.random() < self.lost_answer_share:
                eventlet.sleep(30)
            return self._answer(start_response, status, body)
        return self._answer(start_response, 404, {})

    def application_for(self, caller: str) -> Callable[[dict[str, Any], Any], Iterable[bytes]]:
        """Return a WSGI application for one caller, which can be muted.

        Connections stay open meanwhile. A call that arrives while the caller is muted is never
        answered; an earlier one is answered when that has ended.
        """

        def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
            if caller in self.muted:
                eventlet.sleep(MUTED_CALL_S)
            body = self.application(environ, start_response)
            while caller in self.muted:
                eventlet.sleep(FEED_POLL_S)
            return body

        return application

    def _answer(self, start_response: Any, status: int, body: dict[str, Any]) -> Iterable[bytes]:
        return _answer(start_response, status, body, [('Store-Era', str(self.era))])

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        table, start = query['Table'], query.get('From', '')
        content, newest, _ = self._content(self.read_lag_ms)
        rows = [
            _row(table, key, value, revision)
            for (name, key), (value, revision) in sorted(content.items())
            if name == table and key >= start
        ]
        page_size = int(query.get('PageSize', 500))
        return {
            'rows': rows[:page_size],
            'HasMore': len(rows) > page_size,
            'Revision': newest,
        }

    def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query['Table'], int(query['after'])
        waited_s, cuts = 0.0, self._cuts
        while True:
            if after < self._oldest or after > self.revision:
                return 410, {}
            changed = {
                each.key for each in self._history if each.revision > after and each.table == table
            }
            if changed or waited_s * 1000 >= int(query.get('WaitTimeoutMs', 0)):
                break
            eventlet.sleep(FEED_POLL_S)
            waited_s += FEED_POLL_S
            if self.outage or self._cuts != cuts:
                return 503, {}
        rows = []
        for key in sorted(changed):
            value, revision = self._rows.get((table, key), (None, self.revision))
            rows.append(_row(table, key, value, revision))
        return 200, {'rows': rows, 'Revision': self.revision}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body['ExpectedRev']:
            _, revision = self._rows.get((row['Table'], row['Key']), (None, 0))
            if revision != row['Revision']:
                return 412, {'rows': []}
        if any(row['Table'] in ('op', 'servers') for row in [*body['Writes'], *body['Remove']]):
            return 403, {}
        self.revision += 1
        for row in body['Writes']:
            self._write(row['Table'], row['Key'], row['Value'])
        for row in body['Remove']:
            self._write(row['Table'], row['Key'], None)
        return 200, {'Revision': self.revision}

    def _write(self, table: str, key: str, value: str | None) -> None:
        former = self._rows.pop((table, key), None)
        if value is not None:
            self._rows[table, key] = value, self.revision
        self._history.append(Change(self._clock.now_ms(), self.revision, table, key, former))
        if len(self._history) > MAX_HISTORY_ENTRIES:
            self._oldest = self._history.pop(0).revision


class PromotionEndpoint:
    """Accept promotion orders unless a newer fencing token is known for the group."""

    def __init__(self, promote: Callable[[str, str], bool]) -> None:
        #: Received orders, oldest first: group, member, holder, token, accepted.
        self.orders: list[tuple[str, str, str, int, bool]] = []
        #: Whether answers are delayed by 30 s.
        self.silent = False
        self._promote = promote
        self._newest: dict[str, int] = {}

    def application(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve the promotion endpoint as a WSGI application."""
        body = json.loads(environ['wsgi.input'].read())
        token = int(environ['HTTP_GODWITTHREAD_FENCING_TOKEN'])
        holder = environ['HTTP_GODWITTHREAD_DUTY_HOLDER']
        group, member = body['Service'], body['Id']
        accepted = token >= self._newest.get(group, 0)
        if accepted:
            self._newest[group] = token
            accepted = self._promote(group, member)
        self.orders.append((group, member, holder, token, accepted))
        if self.silent:
            eventlet.sleep(30)
        return _answer(start_response, 200 if accepted else 409, {})


def serve(address: Address, application: Any) -> Any:
    """Serve a WSGI application on an address; return its green thread."""
    return eventlet.spawn(eventlet.wsgi.server, listen(address), application, log_output=False)


def _row(table: str, key: str, value: str | None, revision: int) -> dict[str, Any]:
    row = {'Table': table, 'part': '', 'Key': key, 'Revision': revision}
    return row | ({'Deleted': True} if value is None else {'Value': value})


def _answer(
    start_response: Any,
    status: int,
    body: dict[str, Any],
    headers: list[tuple[str, str]] | None = None,
) -> Iterable[bytes]:
    data = json.dumps(body).encode()
    length = str(len(data))
    fields = [('Content-Type', 'application/json'), ('Content-Length', length), *(headers or [])]
    start_response(f'{status} -', fields)
    return [data]
