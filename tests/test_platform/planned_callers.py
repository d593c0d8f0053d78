"""Callers that keep using their connections during planned work, and a ledger of what they sent."""

from __future__ import annotations

import contextlib
import json
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.loop import eventlet
from godwitthread.sockets import connect, has_no_input
from godwitthread.standin.line_codec import LineStream, text_lines
from tests.test_platform.world import NOT_RUN_CODES, now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.test_platform.planned_work import PlannedWork
    from tests.test_platform.world import Deployment

#: Time after which a request must not be dropped, in ms. A shorter-lived one may have crossed
#: the end of its connection unread.
CROSSING_MS = 200
#: Codes that leave the outcome of a write open.
UNKNOWN_OUTCOME_CODES = ('INDOUBT', 'TIMEOUT')
#: Codes after which a caller gives up its session, because its key or route was withdrawn.
WITHDRAWN_CODES = ('NOAUTH', 'NODB')
#: Interval at which the progress of the event loop is recorded, in s.
TICK_S = 0.005
#: Execution times of slow statements, in ms, by the first letter of the database name. They stay
#: below the time limit of the route.
SLOW_MS = {'p': (300, 600, 900), 'b': (300, 600, 900), 'r': (300, 600, 900), 'l': (900, 1_800)}


class Request(NamedTuple):
    """Statement that was sent on an open connection."""

    id: str
    text: str
    instance: int
    #: Time at which its last byte was sent, in ms.
    sent_ms: int
    #: Whether it was sent together with the request before it.
    second: bool
    #: Whether it was the first one of its session.
    first_in_session: bool

    @property
    def writes(self) -> bool:
        """Return whether its execution may have an effect that persists."""
        return self.text.startswith(('WRITE', 'COMMIT'))


class Ledger:
    """Requests of all callers, and how each one ended."""

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        #: Code of each complete answer, empty on success.
        self.answers: dict[str, str] = {}
        #: Earliest time at which the connection of an unanswered request may have ended, in ms.
        self.ended_ms: dict[str, int] = {}
        #: Whether callers finish what they are doing and start nothing new.
        self.closing = False
        #: Time before which the event loop has dealt with everything that had arrived, in ms.
        self.polled_ms = now_ms()

    def watch_loop(self) -> None:
        """Record the progress of the event loop until the end of the run.

        The loop polls its sockets between two ticks. An end that is noticed now came after the
        last tick but one, so a delay of this process does not make a request seem to have waited
        for longer than it did.
        """
        last_ms = now_ms()
        while True:
            eventlet.sleep(TICK_S)
            self.polled_ms, last_ms = last_ms, now_ms()

    def record_end(self, ids: list[str]) -> None:
        """Record that a connection ended before the complete answers to requests."""
        self.ended_ms.update(dict.fromkeys(ids, self.polled_ms))

    def unanswered(self) -> list[Request]:
        """Return the requests without a complete answer."""
        return [each for each in self.requests.values() if each.id not in self.answers]

    def unknown_outcomes(self) -> Counter[str]:
        """Return the number of writes whose outcome was left open, by code."""
        return Counter(
            code
            for statement_id, code in self.answers.items()
            if code in UNKNOWN_OUTCOME_CODES and self.requests[statement_id].writes
        )


class Connection:
    """Connection of a caller to an instance."""

    def __init__(
        self, ledger: Ledger, deployment: Deployment, instance: int, database: str, key: str
    ) -> None:
        self.instance = instance
        self.database = database
        #: State in the last `READY` line: I, T or E.
        self.state = 'I'
        self._ledger = ledger
        self._new = True
        self._sock = connect(deployment.caller_address(instance), 1_000)
        self._sock.settimeout(5)
        self._stream = LineStream(self._sock)
        try:
            self._sock.sendall(text_lines(f'START {database} {key}'))
            if not (self._stream.read() or b'').startswith(b'READY'):
                raise ConnectionResetError
        except OSError:
            self.close()
            raise
        self._sock.settimeout(None)

    def execute(self, *statements: tuple[str, str]) -> list[str]:
        """Send statements, as pairs of id and text, at once; return the code of each answer.

        Raise OSError if the connection has ended.
        """
        if not has_no_input(self._sock):
            raise ConnectionResetError
        self._sock.sendall(text_lines(*(f'QUERY {each} {text}' for each, text in statements)))
        sent_ms = now_ms()
        for index, (each, text) in enumerate(statements):
            self._ledger.requests[each] = Request(
                each, text, self.instance, sent_ms, index > 0, self._new
            )
        self._new = False
        codes: list[str] = []
        try:
            for each, _ in statements:
                codes.append(self._read_answer())
                self._ledger.answers[each] = codes[-1]
        except OSError:
            self._ledger.record_end([each for each, _ in statements[len(codes) :]])
            raise
        return codes

    def close(self) -> None:
        self._sock.close()

    def _read_answer(self) -> str:
        code = ''
        while (line := self._stream.read()) is not None:
            message_type, _, rest = line.decode('latin-1').partition(' ')
            if message_type == 'ERR':
                code = rest.partition(' ')[0]
            elif message_type == 'READY':
                self.state = rest[0]
                return code
        raise ConnectionResetError


class Caller:
    """Caller of one style, which reconnects only after the end of its connection."""

    def __init__(self, number: int, seed: int, ledger: Ledger, work: PlannedWork) -> None:
        self._random = Random(f'{seed} caller {number}')
        self._ledger = ledger
        self._work = work
        self._deployment = work.deployment
        self._group = number % len(self._deployment.groups)
        self._item = f'c{number}'
        self._numbers = iter(range(1, 1_000_000))
        self._style = STYLES[number // len(self._deployment.groups) % len(STYLES)]

    def run(self) -> None:
        """Use one connection after the other until the end of the run."""
        while not self._ledger.closing:
            conn = None
            try:
                conn = self._connect()
                while not self._ledger.closing:
                    self._style(self, conn)
            except OSError:
                self._sleep(0.02, 0.3)
            finally:
                if conn is not None:
                    conn.close()

    def _connect(self) -> Connection:
        stopping = sorted(self._work.stopped_ms)
        instances = range(len(self._deployment.processes))
        late = self._random.random() < 0.5
        instance = self._random.choice(stopping if late and stopping else instances)
        database = f'{self._random.choice("pprbll")}{self._group}'
        key = self._random.choice(self._deployment.keys['big'])
        return Connection(self._ledger, self._deployment, instance, database, key)

    # Styles

    def _steadily(self, conn: Connection) -> None:
        self._sleep(0.01, 0.1)
        self._single(conn, slow=False)

    def _rarely(self, conn: Connection) -> None:
        """Send when the instance is told to stop, at the latest after some seconds."""
        alarm = self._work.alarms[conn.instance]
        alarm.wait(timeout=self._random.uniform(0.5, 8))
        self._sleep(0, self._random.choice([0.002, 0.008, 0.03]))
        self._single(conn, slow=self._random.random() < 0.2)
        if alarm.ready():
            self._sleep(0.01, 0.1)

    def _slowly(self, conn: Connection) -> None:
        self._sleep(0.01, 0.5)
        self._single(conn, slow=True)

    def _in_pairs(self, conn: Connection) -> None:
        """Send two requests back to back."""
        self._sleep(0.01, 0.2)
        if self._random.random() < 0.5:
            first, second = (
                self._write(conn, slow=self._random.random() < 0.5),
                self._write(conn, slow=False),
            )
            codes = self._execute(conn, first, second)
            for (statement_id, _), code in zip((first, second), codes, strict=True):
                self._settle([statement_id], code)
            return
        write = self._write(conn, slow=self._random.random() < 0.5)
        self._execute(conn, self._statement('BEGIN'), write)
        self._end_transaction(conn, [write[0]], self._random.random() < 0.5)

    def _in_transactions(self, conn: Connection) -> None:
        """Run a transaction with pauses and slow statements."""
        self._sleep(0.01, 0.3)
        self._execute(conn, self._statement('BEGIN'))
        ids = []
        for _ in range(self._random.randint(1, 4)):
            if self._random.random() < 0.6:
                self._sleep(0, self._random.choice([0.05, 1, 2.5, 4]))
            if self._random.random() < 0.3:
                self._execute(conn, self._read(conn, slow=self._random.random() < 0.5))
            else:
                write = self._write(conn, slow=self._random.random() < 0.4)
                ids.append(write[0])
                self._execute(conn, write)
        self._end_transaction(conn, ids, pipelined=False)

    def _with_new_sessions(self, conn: Connection) -> None:
        for _ in range(self._random.randint(1, 3)):
            self._single(conn, slow=self._random.random() < 0.2)
        raise ConnectionResetError

    # Statements

    def _single(self, conn: Connection, slow: bool) -> None:
        if self._random.random() < 0.5:
            self._execute(conn, self._read(conn, slow))
            return
        write = self._write(conn, slow)
        [code] = self._execute(conn, write)
        self._settle([write[0]], code)

    def _end_transaction(self, conn: Connection, ids: list[str], pipelined: bool) -> None:
        """Commit, and read at once if the requests are pipelined."""
        commit = self._statement('COMMIT')
        more = [self._read(conn, slow=False)] if pipelined else []
        code = self._execute(conn, commit, *more)[0]
        if conn.state != 'I':
            self._execute(conn, self._statement('ROLLBACK'))
        answers = [self._ledger.answers[each] for each in ids]
        if not any(answers):
            self._settle(ids, code)

    def _execute(self, conn: Connection, *statements: tuple[str, str]) -> list[str]:
        deployment = self._deployment
        deployment.requested += len(statements)
        codes = conn.execute(*statements)
        deployment.served += codes.count('')
        if any(code in WITHDRAWN_CODES for code in codes):
            # The connection is given up only after all answers have arrived.
            raise ConnectionResetError
        return codes

    def _settle(self, ids: list[str], code: str) -> None:
        outcome = 'done' if not code else 'not_run' if code in NOT_RUN_CODES else 'unknown'
        self._deployment.writes.update(dict.fromkeys(ids, outcome))

    def _write(self, conn: Connection, slow: bool) -> tuple[str, str]:
        write = self._statement(f'WRITE {self._name(conn, slow)} {self._random.randrange(10**6)}')
        self._deployment.writes[write[0]] = 'unknown'
        return write

    def _read(self, conn: Connection, slow: bool) -> tuple[str, str]:
        return self._statement(f'READ {self._name(conn, slow)}')

    def _statement(self, text: str) -> tuple[str, str]:
        return f'{self._item}.{next(self._numbers)}', text

    def _name(self, conn: Connection, slow: bool) -> str:
        """Return the name of an item, whose statements take as long as it says if it is slow."""
        if not slow:
            return self._item
        slow_ms = self._random.choice(SLOW_MS[conn.database[0]])
        name = f'{self._item}-{slow_ms}ms'
        self._deployment.groups[self._group].execution_s[name] = slow_ms / 1000
        return name

    def _sleep(self, least_s: float, most_s: float) -> None:
        delay_s = self._random.uniform(least_s, most_s)
        eventlet.sleep(0 if self._ledger.closing else delay_s)


STYLES: list[Callable[[Caller, Connection], None]] = [
    Caller._rarely,
    Caller._in_transactions,
    Caller._steadily,
    Caller._slowly,
    Caller._in_pairs,
    Caller._with_new_sessions,
]


class Losses(NamedTuple):
    """Requests without a complete answer, by what became of them."""

    violations: list[str]
    #: Number that an instance named in its log; they were read, but neither executed nor kept.
    read: int
    #: Number that nothing read, and how many of them were the first one of their session.
    unread: int
    unread_in_new_session: int


def check_answers(ledger: Ledger, work: PlannedWork) -> Losses:
    """Sort the requests without a complete answer into violations and harmless ones."""
    deployment = work.deployment
    executed = {each[2] for group in deployment.groups for each in group.executed}
    named = set(_named_requests(deployment))
    violations: list[str] = []
    read = 0
    unread: list[bool] = []
    for req in ledger.unanswered():
        ended_ms = ledger.ended_ms.get(req.id)
        end = 'never answered'
        if ended_ms is not None:
            # The bound of the end may lie some ms before the request.
            waited_ms = max(0, ended_ms - req.sent_ms)
            end = f'connection ended after {waited_ms} ms{work.since_stop(req, ended_ms)}'
        pair = ' (second of a pair)' if req.second else ''
        details = f'{req.id} {req.text!r}{pair} at gw-{req.instance}, {end}'
        if req.id in executed:
            violations.append(f'executed without an answer: {details}')
        elif ended_ms is None or ended_ms - req.sent_ms > CROSSING_MS:
            violations.append(f'dropped: {details}')
        elif req.id in named:
            read += 1
        else:
            unread.append(req.first_in_session)
    return Losses(violations, read, len(unread), sum(unread))


def _named_requests(deployment: Deployment) -> Iterator[str]:
    """Yield the ids of requests in the logs of the instances."""
    for path in deployment.folder.glob('*.log'):
        for line in path.read_text(errors='replace').splitlines():
            if '"request"' in line:
                # A process that was killed may leave an incomplete line.
                with contextlib.suppress(ValueError):
                    yield str(json.loads(line).get('request', ''))
