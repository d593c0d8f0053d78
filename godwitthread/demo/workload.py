"""Short workload of drivers, planners and portal customers."""

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
#: Deadline of one request in ms; covers a failover of at most 8 s.
DEADLINE_MS = 10_000
#: Deadline in ms of writes that can't wait for a new primary, and their number.
HURRIED_DEADLINE_MS = 200
HURRIED_WRITES = 5
#: Attempts of one transaction that was rolled back.
TRANSACTION_ATTEMPTS = 3
#: Accepted age of the reads of planners and customers in ms.
ACCEPTED_AGE_MS = 2_000


class Role(NamedTuple):
    """One kind of user."""

    name: str
    organisation: str
    database: str
    sessions: int
    #: Mean time between two requests of one session, in ms.
    think_ms: int
    #: Share of requests that write.
    write_share: float
    #: Whether writes run in interactive transactions instead of keyed statements.
    transactions: bool = False


class Sample(NamedTuple):
    """Result of one request."""

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
    #: Whether a read missed a write that its session had seen acknowledged.
    stale: bool


class Workload:
    """Run the sessions of all roles and keep their samples."""

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
        #: Results in the order in which the requests ended.
        self.samples: list[Sample] = []
        #: Results of writes with a short deadline, which count for no measure of service.
        self.hurried: list[Sample] = []

    def prepare(self) -> None:
        """Create the table in every database; raise RequestError."""
        for database in {role.database for role in self._roles}:
            role = next(each for each in self._roles if each.database == database)
            self._client(role).execute(CREATE_SQL, mode='write', idempotency_key='demo-create')

    def start(self) -> None:
        """Start all sessions."""
        for role in self._roles:
            for number in range(role.sessions):
                session = f'{role.name}-{number}'
                self._threads.append(eventlet.spawn(self._run, role, session))

    def hurry(self, role: Role) -> None:
        """Send writes whose deadline passes before a lost primary is replaced."""
        client = self._client(role, HURRIED_DEADLINE_MS)
        for number in range(HURRIED_WRITES):
            write_id = f'hurried/{number}'
            write = partial(client.execute, WRITE_SQL, [write_id, 'hurried', number], mode='write')
            self._record(role, 'write', write_id, partial(_unread, write), self.hurried)

    def stop(self) -> None:
        """Let every session finish its request and end."""
        self._stopping = True
        for thread in self._threads:
            thread.wait()

    def _client(self, role: Role, deadline_ms: int = DEADLINE_MS) -> Client:
        key = self._keys()[role.organisation][0]
        seed = self._rng.randrange(1 << 30)
        return Client(
            [self._url()], key, route=role.database, deadline_ms=deadline_ms, rng=Random(seed)
        )

    def _run(self, role: Role, session: str) -> None:
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
        run = _transaction if role.transactions else _keyed_statement
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


def _unread(write: Callable[[], Result]) -> tuple[Result, bool]:
    return write(), False


def _keyed_statement(client: Client, params: list[Any]) -> Result:
    return client.execute(WRITE_SQL, params, mode='write', idempotency_key=params[0])


def _transaction(client: Client, params: list[Any]) -> Result:
    """Run one write in a transaction; begin again while it is known not to have run."""
    for _ in range(TRANSACTION_ATTEMPTS - 1):
        try:
            return _attempt(client, params)
        except RequestError as exc:
            if exc.outcome is not Outcome.NOT_RUN:
                raise
    return _attempt(client, params)


def _attempt(client: Client, params: list[Any]) -> Result:
    transaction = client.begin()
    answer = client.execute(WRITE_SQL, params, transaction=transaction)
    client.commit(transaction)
    return answer
