"""Callers whose statements and answers are traced, with sessions that are used for long."""

from __future__ import annotations

import contextlib
import itertools
from random import Random
from typing import TYPE_CHECKING

from godwitthread.loop import eventlet
from godwitthread.sockets import connect
from godwitthread.standin.line_codec import LineStream, text_lines
from tests.test_platform import odd_texts
from tests.test_platform.statement_ledger import FORWARDED, Received, Sent, Violation
from tests.test_platform.world import ANSWER_TIMEOUT_S, now_ms

if TYPE_CHECKING:
    from tests.test_platform.statement_ledger import StatementLedger
    from tests.test_platform.world import Deployment

#: Names of values and prepared statements, which collide between the callers.
VALUE_NAMES = ('v0', 'v1')
PREPARED_NAMES = ('s0', 's1', 's2')
#: Number of items of a group, which all its callers use.
ITEMS = 6
#: Numbers of operations of a session, and pauses between them in s.
OPERATIONS = (1, 10, 1_000_000)
PAUSES_S = (0.02, 0.1, 1.0)
#: Number of callers for each one of the organisation with the small rate.
SMALL_EVERY = 8


class SessionEndedError(Exception):
    """Raised when a caller gives up its session."""


class TracedSession:
    """Session of a caller that records what it sends and receives."""

    def __init__(
        self,
        ledger: StatementLedger,
        deployment: Deployment,
        origin: str,
        instance: int,
        start: str,
    ) -> None:
        self.values: dict[str, str] = {}
        #: Modes and shapes of the prepared statements by name.
        self.prepared: dict[str, str] = {}
        #: State in the last `READY` line: I, T or E.
        self.state = 'I'
        self.origin = f'{origin} at gw-{instance} {start}'
        self._organisation = 'small' if ' ks' in start else 'big'
        self._ledger = ledger
        self._sock = connect(deployment.caller_address(instance), 1_000)
        self._sock.settimeout(ANSWER_TIMEOUT_S)
        self._stream = LineStream(self._sock)
        self._sock.sendall(text_lines(f'START {start}'))
        if not (self._stream.read() or b'').startswith(b'READY'):
            self.close()
            raise SessionEndedError

    def close(self) -> None:
        self._sock.close()

    def send(self, statement_id: str, text: str, attempt: int) -> None:
        """Send a statement; raise SessionEndedError if something arrived without a request."""
        if self._stream.has_input():
            line = self._stream.read()
            if line is not None and not line.startswith(b'ERR '):
                self._report(f'{line!r} before {statement_id} {text!r} was sent')
            raise SessionEndedError
        verb, name = [*text.split(' '), ''][:2]
        prepared = self.prepared[name] if verb == 'EXEC' else ''
        self._ledger.sent[statement_id] = Sent(
            statement_id,
            text,
            self.origin,
            self._organisation,
            now_ms(),
            attempt,
            self.state == 'T',
            dict(self.values),
            prepared,
        )
        self._sock.sendall(text_lines(f'QUERY {statement_id} {text}'))

    def receive(self, statement_id: str) -> str:
        """Read the answer to a statement; return its code, empty on success."""
        rows: list[str] = []
        code, receipt = '', ''
        while (line := self._stream.read()) is not None:
            word, _, rest = line.decode('latin-1').partition(' ')
            if word == 'ROW':
                rows.append(rest)
            elif word == 'DONE':
                receipt = rest
            elif word == 'ERR':
                code = rest.partition(' ')[0]
            elif word == 'READY' and bool(code) != bool(receipt):
                self.state = rest[:1]
                answer = Received(code, receipt, tuple(rows), now_ms())
                self._ledger.received[statement_id] = answer
                return code
            else:
                self._report(f'{line!r} in the answer to {self._ledger.sent[statement_id]}')
                raise SessionEndedError
        raise SessionEndedError

    def _report(self, details: str) -> None:
        self._ledger.seen.append(Violation('MIXED', f'{self.origin}, {now_ms()} ms: {details}'))


class TracingCaller:
    """Caller that opens one session after the other and gives up none without a reason."""

    def __init__(
        self, number: int, seed: int, ledger: StatementLedger, deployment: Deployment, odd: bool
    ) -> None:
        self._random = Random(f'{seed} tracing caller {number}')
        self._name = f'c{number}'
        self._ledger = ledger
        self._deployment = deployment
        self._odd = odd
        self._group = number % len(deployment.groups)
        self._small = number % SMALL_EVERY == 0
        shared = Random(f'{seed} items of group {self._group}')
        self._items = [f'i{n}' + odd_texts.text(shared, odd, blanks=False) for n in range(ITEMS)]
        self._numbers, self._sessions = itertools.count(1), itertools.count(1)
        self._attempt = 0

    def run(self) -> None:
        """Use sessions until the end of the run."""
        while not self._deployment.stopping:
            with contextlib.suppress(OSError, SessionEndedError):
                self._use_session()
            eventlet.sleep(self._random.uniform(0.02, 0.3))

    def _use_session(self) -> None:
        rnd, deployment = self._random, self._deployment
        key = 'ks0' if self._small else rnd.choice(deployment.keys['big'])
        origin = f'{self._name} session {next(self._sessions)}'
        instance = rnd.randrange(len(deployment.processes))
        start = f'{rnd.choice("pbr")}{self._group} {key}'
        session = TracedSession(self._ledger, deployment, origin, instance, start)
        pause_s = rnd.choice(PAUSES_S)
        try:
            for _ in range(rnd.choice(OPERATIONS)):
                if deployment.stopping:
                    return
                eventlet.sleep(rnd.uniform(0, pause_s))
                self._operate(session)
        finally:
            session.close()

    def _operate(self, session: TracedSession) -> None:
        self._attempt = next(self._ledger.attempts)
        kind = self._random.choices(['state', 'single', 'transaction'], [3, 5, 3])[0]
        if kind == 'state':
            self._change_state(session)
        elif kind == 'single':
            self._execute(session, self._statement(session))
        else:
            self._run_transaction(session)
        if session.state != 'I':
            raise SessionEndedError

    def _change_state(self, session: TracedSession) -> None:
        rnd = self._random
        name = rnd.choice(PREPARED_NAMES)
        if rnd.random() < 0.4:
            name = rnd.choice(VALUE_NAMES)
            entries, argument = session.values, odd_texts.text(rnd, self._odd)
            text = f'SET {name} {argument}'
        elif name in session.prepared and rnd.random() < 0.3:
            entries, argument = session.prepared, ''
            text = f'DEALLOC {name}'
        else:
            shape = odd_texts.text(rnd, self._odd)
            entries, argument = session.prepared, f'{rnd.choice(["READ", "WRITE"])} {shape}'
            text = f'PREPARE {name} {argument}'
        if self._execute(session, text):
            raise SessionEndedError
        if argument:
            entries[name] = argument
        else:
            del entries[name]

    def _statement(self, session: TracedSession) -> str:
        """Return a read, a write or the execution of a prepared statement."""
        rnd = self._random
        item, data = rnd.choice(self._items), odd_texts.text(rnd, self._odd)
        if session.prepared and rnd.random() < 0.5:
            name = rnd.choice(sorted(session.prepared))
            arguments = f'{item} {data}' if session.prepared[name].startswith('WRITE') else item
            return f'EXEC {name} {arguments}'
        return f'READ {item}' if rnd.random() < 0.5 else f'WRITE {item} {data}'

    def _run_transaction(self, session: TracedSession) -> None:
        rnd = self._random
        if self._execute(session, rnd.choice(['BEGIN', 'BEGIN', 'BEGIN READ'])):
            return
        for _ in range(rnd.randint(1, 6)):
            eventlet.sleep(rnd.choice([0, 0, rnd.uniform(0, 0.3)]))
            if rnd.random() < 0.1:
                self._change_state(session)
            self._execute(session, self._statement(session))
            if session.state != 'T':
                break
        if rnd.random() < 0.1:
            self._leave(session)
        ends = ['COMMIT', 'COMMIT', 'COMMIT', 'ROLLBACK'] if session.state == 'T' else ['ROLLBACK']
        self._execute(session, rnd.choice(ends))

    def _leave(self, session: TracedSession) -> None:
        """End the session in the middle of a transaction, at times without an answer."""
        if self._random.random() < 0.5:
            session.send(self._next_id(), self._statement(session), self._attempt)
        raise SessionEndedError

    def _execute(self, session: TracedSession, text: str) -> str:
        statement_id, forwarded = self._next_id(), text.partition(' ')[0] in FORWARDED
        self._deployment.requested += forwarded
        session.send(statement_id, text, self._attempt)
        code = session.receive(statement_id)
        self._deployment.served += forwarded and not code
        return code

    def _next_id(self) -> str:
        return f'{self._name}.{next(self._numbers)}'
