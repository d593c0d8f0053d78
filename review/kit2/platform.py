"""Stand-in of the platform: its metadata store and the address that takes promotions."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import TYPE_CHECKING, Any

from review.kit2 import http_server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from review.kit2.http_server import HttpAnswer, HttpRequest

#: Time that the store takes for an answer, in s.
STORE_ANSWER_S = 0.004


class Store:
    """Rows with revisions, conditional transactions and a feed of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self._rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self._changed = asyncio.Event()
        self._started_s = time.monotonic()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a member."""
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        self._notify()

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the operator or a member."""
        self._write(table, key, None)
        self._notify()

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return [key for (name, key), row in self._rows.items() if name == table and row[0]]

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Answer a call of the system."""
        await asyncio.sleep(STORE_ANSWER_S)
        if request.path == '/v1/rows-get':
            return 200, self._get(request.query)
        if request.path == '/v1/rows-feed':
            return 200, await self._feed(request.query)
        if request.path == '/v1/rows-tx':
            return self._transact(request.body)
        return 404, {}

    def _write(self, table: str, key: str, value: str | None) -> None:
        self.revision += 1
        self._rows[table, key] = value, self.revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get('From', ''), query.get('Target')
        rows = [
            _row(table, key, *row)
            for (table, key), row in sorted(self._rows.items())
            if table == query['Table'] and row[0] and key >= start and (end is None or key < end)
        ]
        size = int(query.get('PageSize', 500))
        return self._body({'rows': rows[:size], 'HasMore': len(rows) > size})

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query['Table'], int(query['after'])
        end_s = time.monotonic() + int(query.get('WaitTimeoutMs', 0)) / 1000
        while True:
            rows = [
                _row(name, key, *row)
                for (name, key), row in self._rows.items()
                if name == table and row[1] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row['Revision'])
                return self._body({'rows': rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> HttpAnswer:
        for row in body['ExpectedRev']:
            _, revision = self._current(row)
            if revision != row['Revision']:
                return 412, self._body({'rows': []})
        entries = [*body['Writes'], *body['Remove']]
        if any(row['Table'] in ('op', 'servers') for row in entries):
            return 403, {}
        self.revision += 1
        for row in entries:
            self._rows[row['Table'], row['Key']] = row.get('Value'), self.revision
        self._notify()
        return 200, self._body({})

    def _current(self, row: dict[str, Any]) -> tuple[str | None, int]:
        value, revision = self._rows.get((row['Table'], row['Key']), (None, 0))
        return (value, revision) if value else (None, 0)

    def _body(self, body: dict[str, Any]) -> dict[str, Any]:
        passed_ms = int((time.monotonic() - self._started_s) * 1000)
        return body | {'Revision': self.revision, 'ServerTimeMs': passed_ms}


class Promotions:
    """Address that takes orders of promotion and checks their fencing tokens."""

    def __init__(self, promote: Callable[[str, str], bool], note: Callable[[str], None]) -> None:
        #: What happens to the next orders, in their order; 'serve' once the list is empty. 'late'
        #: leaves an order unanswered and carries it out later, 'lost' never; 'busy' answers 503.
        self.plan: list[str] = []
        #: Time after which an unanswered order is carried out, in s.
        self.late_s = 3.0
        #: Members that were named by the orders, oldest first.
        self.orders: list[str] = []
        self._promote = promote
        self._note = note
        self._newest: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Answer an order."""
        await asyncio.sleep(STORE_ANSWER_S)
        group, member = request.body['Service'], request.body['Id']
        token = int(request.headers['godwitthread-fencing-token'])
        holder = request.headers['godwitthread-duty-holder']
        self.orders.append(member)
        fate = self.plan.pop(0) if self.plan else 'serve'
        self._note(f'order {group} {member} token {token} of {holder}: {fate}')
        if fate == 'busy':
            return 503, {}
        if fate == 'lost':
            await asyncio.sleep(60)
            return None
        if fate == 'late':
            task = asyncio.ensure_future(self._later(group, member, token))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(60)
            return None
        return (200 if self._carry_out(group, member, token) else 409), {}

    async def _later(self, group: str, member: str, token: int) -> None:
        await asyncio.sleep(self.late_s)
        done = self._carry_out(group, member, token)
        self._note(f'late order {group} {member} token {token}: {"done" if done else "refused"}')

    def _carry_out(self, group: str, member: str, token: int) -> bool:
        if token < self._newest.get(group, 0):
            return False
        self._newest[group] = token
        return self._promote(group, member)


async def serve(
    host: str, port: int, answer: Callable[[HttpRequest], Awaitable[HttpAnswer]]
) -> Any:
    """Serve a part of the platform on an address."""
    return await http_server.serve(host, port, answer)


def _row(table: str, key: str, value: str | None, revision: int) -> dict[str, Any]:
    row: dict[str, Any] = {'Table': table, 'part': '', 'Key': key, 'Revision': revision}
    return row | ({'Value': value} if value else {'Deleted': True})
