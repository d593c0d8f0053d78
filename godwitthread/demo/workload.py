"""Closed-loop workload of several user roles, such as drivers, planners and customers."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.client import Client, RequestError, Result
from godwitthread.clock import Clock
from godwitthread.errors import Outcome
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

TABLE = 'confirmations'
CREATE_SQL = f'CREATE TABLE IF NOT EXISTS {TABLE} (id TEXT, session TEXT, number INTEGER)'
WRITE_SQL = f'INSERT INTO {TABLE} (id, session, number) VALUES ($1, $2, $3)'
READ_SQL = f'SELECT COALESCE(MAX(number), 0) FROM {TABLE} WHERE session = $1'
#: Request deadline in ms; allows for a failover of up to 8 s.
DEADLINE_MS = 10_000
#: Deadline in ms, too short to wait for a new primary, and the number of writes that use it.
SHORT_DEADLINE_MS = 200
SHORT_DEADLINE_WRITES = 5
#: Maximum attempts of a transaction that is known not to have run.
TRANSACTION_ATTEMPTS = 3
#: Maximum staleness accepted by reads, in ms.
ACCEPTED_AGE_MS = 2_000


class Role(NamedTuple):
    """User role with its database and load profile."""

    name: str
    organisation: str
    database: str
    sessions: int
    #: Mean think time between two requests of a session, in ms.
    think_ms: int
    #: Fraction of requests that are writes.
    write_share: float
    #: Whether writes use interactive transactions instead of statements with an idempotency key.
    transactions: bool = False


class Sample(NamedTuple):
    """Recorded result of a request."""

    role: str
    organisation: str
    database: str
    kind: str
    begun_ms: int
    ended_ms: int
    #: 'done', 'not_run' or 'unknown'.
    outcome: str
    error: str
    served_by: str
    write_id: str
    #: Whether a read missed a write already acknowledged to its session.
    stale: bool


class Workload:
    """Run the sessions of all roles and record a sample for each request."""

    def __init__(
        self,
        url: Callable[[], str],
        keys: Callable[[], dict[str, tuple[str, ...]]],
        roles: tuple[Role, ...],
        seed: int,
    ) -> None:
        self._url = url
        self._keys = keys
        self._roles = roles
        self._rng = Random(seed)
        self._clock = Clock()
        self._stopping = False
        self._threads: list[Any] = []
        #: Samples in the order of completion.
        self.samples: list[Sample] = []
        #: Samples of writes with a short deadline; the service measures exclude them.
        self.short_deadline_samples: list[Sample] = []

    def prepare(self) -> None:
        """Create the table in every database; raise RequestError if that fails."""
        for database in {role.database for role in self._roles}:
            role = next(each for each in self._roles if each.database == database)
            self._client(role).execute(CREATE_SQL, mode='write', idempotency_key='demo-create')

    def start(self) -> None:
        """Start all sessions."""
        for role in self._roles:
            for number in range(role.sessions):
                session = f'{role.name}-{number}'
                self._threads.append(eventlet.spawn(self._run_session, role, session))

    def send_short_deadline_writes(self, role: Role) -> None:
        """Send writes whose deadline expires before a failed primary is replaced."""
        client = self._client(role, SHORT_DEADLINE_MS)
        for number in range(SHORT_DEADLINE_WRITES):
            write_id = f'hurried/{number}'
            write = partial(client.execute, WRITE_SQL, [write_id, 'hurried', number], mode='write')
            self._record(
                role, 'write', write_id, partial(_never_stale, write), self.short_deadline_samples
            )

    def stop(self) -> None:
        """Stop all sessions after their current request."""
        self._stopping = True
        for thread in self._threads:
            thread.wait()

    def _client(self, role: Role, deadline_ms: int = DEADLINE_MS) -> Client:
        key = self._keys()[role.organisation][0]
        seed = self._rng.randrange(1 << 30)
        return Client(
            [self._url()], key, route=role.database, deadline_ms=deadline_ms, rng=Random(seed)
        )

    def _run_session(self, role: Role, session: str) -> None:
        rng = Random(self._rng.randrange(1 << 30))
        client = self._client(role)
        number = acknowledged = 0
        while not self._stopping:
            if rng.random() < role.write_share:
                number += 1
                if self._write(client, role, session, number):
                    acknowledged = number
            else:
                self._read(client, role, session, acknowledged)
            eventlet.sleep(rng.expovariate(1 / role.think_ms) / 1000)

    def _write(self, client: Client, role: Role, session: str, number: int) -> bool:
        write_id = f'{session}/{number}'
        run = _write_in_transaction if role.transactions else _write_with_key
        params = [write_id, session, number]
        return self._record(role, 'write', write_id, lambda: (run(client, params), False))

    def _read(self, client: Client, role: Role, session: str, acknowledged: int) -> None:
        def read() -> tuple[Any, bool]:
            answer = client.execute(READ_SQL, [session], mode='read', max_age_ms=ACCEPTED_AGE_MS)
            return answer, answer.rows[0][0] < acknowledged

        self._record(role, 'read', '', read)

    def _record(
        self,
        role: Role,
        kind: str,
        write_id: str,
        action: Callable[[], tuple[Any, bool]],
        samples: list[Sample] | None = None,
    ) -> bool:
        begun_ms = self._clock.now_ms()
        outcome, error, served_by, stale = 'done', '', '', False
        try:
            answer, stale = action()
            served_by = answer.served_by or ''
        except RequestError as exc:
            outcome, error = exc.outcome.value, exc.kind.value
        (self.samples if samples is None else samples).append(
            Sample(
                role.name,
                role.organisation,
                role.database,
                kind,
                begun_ms,
                self._clock.now_ms(),
                outcome,
                error,
                served_by,
                write_id,
                stale,
            )
        )
        return outcome == 'done'


def _never_stale(write: Callable[[], Result]) -> tuple[Result, bool]:
    return write(), False


def _write_with_key(client: Client, params: list[Any]) -> Result:
    return client.execute(WRITE_SQL, params, mode='write', idempotency_key=params[0])


def _write_in_transaction(client: Client, params: list[Any]) -> Result:
    """Write in a transaction; retry while the transaction is known not to have run."""
    for _ in range(TRANSACTION_ATTEMPTS - 1):
        try:
            return _run_transaction(client, params)
        except RequestError as exc:
            if exc.outcome is not Outcome.NOT_RUN:
                raise
    return _run_transaction(client, params)


def _run_transaction(client: Client, params: list[Any]) -> Result:
    transaction = client.begin()
    answer = client.execute(WRITE_SQL, params, transaction=transaction)
    client.commit(transaction)
    return answer
