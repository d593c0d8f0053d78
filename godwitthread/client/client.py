"""HTTP client of the caller protocol with session token, deadline and retries."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.client import retry
from godwitthread.client.transport import RequestError, Transport
from godwitthread.errors import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Default deadline of one request including retries, in ms.
DEADLINE_MS = 10_000


class Result(NamedTuple):
    """Result of one statement."""

    columns: tuple[str, ...]
    rows: list[list[Any]]
    #: Rows returned or changed; -1 when the instance reports no count.
    row_count: int
    request_id: str
    #: Role of the member that ran the statement: 'primary' or 'replica'.
    served_by: str | None = None
    transaction: str | None = None


class Client:
    """Run statements of one session; use `new_session` for concurrent work."""

    def __init__(
        self,
        urls: str | Sequence[str],
        key: str | None = None,
        *,
        route: str | None = None,
        session: str | None = None,
        deadline_ms: int = DEADLINE_MS,
        max_attempts: int = retry.MAX_ATTEMPTS,
        rng: Random | None = None,
        transport: Transport | None = None,
        ca_file: str | None = None,
    ) -> None:
        url_list = [urls] if isinstance(urls, str) else list(urls)
        #: Session token; another client that is given it continues the session.
        self.session = session
        #: Default route of statements.
        self.route = route
        #: Number of HTTP requests sent so far, including retries.
        self.attempts = 0
        self._deadline_ms = deadline_ms
        self._max_attempts = max_attempts
        self._rng = rng or Random()
        self._transport = transport or Transport(url_list, key, ca_file=ca_file)
        self._first_url_index = self._rng.randrange(len(self._transport.urls))

    def new_session(self) -> Client:
        """Return a client with a new session that shares the connection pools."""
        return Client(
            self._transport.urls,
            route=self.route,
            deadline_ms=self._deadline_ms,
            max_attempts=self._max_attempts,
            rng=self._rng,
            transport=self._transport,
        )

    def close(self) -> None:
        """Close the idle connections, including those shared with `new_session` clients."""
        self._transport.close()

    def execute(
        self,
        sql: str,
        params: Sequence[Any] = (),
        *,
        route: str | None = None,
        mode: str = 'write',
        max_age_ms: int | None = None,
        consistency: str = 'session',
        idempotency_key: str | None = None,
        transaction: str | None = None,
        deadline_ms: int | None = None,
    ) -> Result:
        """Run one statement; raise RequestError, whose outcome tells whether it ran."""
        body = {
            'route': route or self.route,
            'sql': sql,
            'params': list(params),
            'mode': mode,
            'consistency': consistency,
            'max_age_ms': max_age_ms,
            'idempotency_key': idempotency_key,
            'transaction': transaction,
        }
        # Inside a transaction, a retry could run in addition to the first attempt.
        repeatable = transaction is None and (mode == 'read' or idempotency_key is not None)
        return _to_result(self._request('/v1/execute', body, repeatable, deadline_ms))

    def begin(self, *, route: str | None = None, deadline_ms: int | None = None) -> str:
        """Open a transaction and return its id; raise RequestError."""
        answer = self._request('/v1/begin', {'route': route or self.route}, False, deadline_ms)
        return str(answer['transaction'])

    def commit(self, transaction: str, *, deadline_ms: int | None = None) -> None:
        """Commit a transaction; raise RequestError, whose outcome tells whether it committed."""
        self._request('/v1/commit', {'transaction': transaction}, False, deadline_ms)

    def rollback(self, transaction: str, *, deadline_ms: int | None = None) -> None:
        """Roll a transaction back; raise RequestError."""
        self._request('/v1/rollback', {'transaction': transaction}, False, deadline_ms)

    def _request(
        self, path: str, fields: dict[str, Any], repeatable: bool, deadline_ms: int | None
    ) -> dict[str, Any]:
        body = {name: value for name, value in fields.items() if value is not None}
        if self.session is not None:
            body['session'] = self.session
        end_ms = _now_ms() + (self._deadline_ms if deadline_ms is None else deadline_ms)
        answer = self._post_with_retries(path, body, repeatable, end_ms)
        self.session = answer.get('session') or self.session
        return answer

    def _post_with_retries(
        self, path: str, body: dict[str, Any], repeatable: bool, end_ms: int
    ) -> dict[str, Any]:
        earlier_unknown = False
        urls = self._transport.urls
        attempt = 0
        while True:
            url = urls[(self._first_url_index + attempt) % len(urls)]
            self.attempts += 1
            try:
                answer = self._transport.post(url, path, body, max(1, end_ms - _now_ms()))
            except RequestError as exc:
                wait_ms = retry.delay_ms(exc, attempt, attempt + 1 < len(urls), self._rng)
                attempt += 1
                if (
                    not retry.may_repeat(exc, repeatable)
                    or attempt >= self._max_attempts
                    or _now_ms() + wait_ms >= end_ms
                ):
                    exc.outcome = retry.overall_outcome(exc.outcome, earlier_unknown)
                    raise
                earlier_unknown |= exc.outcome is Outcome.UNKNOWN
            else:
                # The next request starts with the URL that answered.
                self._first_url_index = (self._first_url_index + attempt) % len(urls)
                return answer
            time.sleep(wait_ms / 1000)


def _to_result(answer: dict[str, Any]) -> Result:
    row_count = answer.get('row_count')
    return Result(
        columns=tuple(answer.get('columns') or ()),
        rows=answer.get('rows') or [],
        row_count=-1 if row_count is None else row_count,
        request_id=str(answer.get('request_id', '')),
        served_by=answer.get('served_by'),
        transaction=answer.get('transaction'),
    )


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
