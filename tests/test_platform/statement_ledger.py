"""What callers sent and received, compared with what the members ran."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from tests.test_platform.world import NOT_RUN_CODES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from godwitthread.standin.line_connection import Execution
    from godwitthread.standin.line_member import LineGroup

#: Codes that guarantee that nothing of an attempt is kept.
PROMISES = (*NOT_RUN_CODES, 'WRONGNODE')
FORWARDED = ('READ', 'WRITE', 'EXEC', 'COMMIT')


class Sent(NamedTuple):
    """Statement of a caller, and the state of its session in the view of the caller."""

    id: str
    text: str
    #: Caller, session and instance.
    origin: str
    organisation: str
    sent_ms: int
    #: Number of the attempt; a transaction is one.
    attempt: int
    in_transaction: bool
    values: dict[str, str]
    #: Mode and shape of the prepared statement, empty if there is none.
    prepared: str

    @property
    def verb(self) -> str:
        """Return the first word of the text."""
        return self.text.partition(' ')[0]


class Received(NamedTuple):
    """Complete answer to a statement."""

    #: Code of the error, empty on success.
    code: str
    receipt: str
    rows: tuple[str, ...]
    received_ms: int


class Violation(NamedTuple):
    """Broken rule, with what is needed to trace it."""

    rule: str
    details: str


class StatementLedger:
    """Statements and answers of all callers, with the checks of the rules."""

    def __init__(self) -> None:
        self.sent: dict[str, Sent] = {}
        self.received: dict[str, Received] = {}
        #: Numbers of the attempts.
        self.attempts = itertools.count(1)
        #: Violations that callers see on their connections.
        self.seen: list[Violation] = []

    def violations(self, groups: list[LineGroup]) -> list[Violation]:
        """Compare the statements and answers with the records of the members."""
        found = [*self.seen]
        for group in groups:
            found += self._check_executions(group)
            found += self._check_log(group)
        runs = defaultdict(list)
        for group in groups:
            for each in group.executed:
                runs[each.id].append(each)
        for statement_id, answer in self.received.items():
            found += self._check_answer(self.sent[statement_id], answer, runs[statement_id])
        return found

    def _check_executions(self, group: LineGroup) -> Iterator[Violation]:
        places: dict[int, tuple[int, int]] = {}
        attempts: dict[int, int] = {}
        for run in group.executed:
            sent = self.sent.get(run.id)
            if sent is None:
                yield Violation('UNASKED', f'{group.name}: nobody sent {run}')
                continue
            trace = f'{sent} ran as {run}'
            if _text(run) != _expected_text(sent) or run.organisation != sent.organisation:
                yield Violation('UNASKED', f'other text or organisation: {trace}')
            if (run.values, run.prepared) != (sent.values, sent.prepared):
                yield Violation('PINNED', f'other values or shape: {trace}')
            place = (run.connection, run.transaction)
            if sent.in_transaction and not run.transaction:
                yield Violation('PINNED', f'outside of its transaction: {trace}')
            if sent.in_transaction and places.setdefault(sent.attempt, place) != place:
                yield Violation('PINNED', f'begun as {places[sent.attempt]}: {trace}')
            # An instance may run a single statement in a transaction of its own.
            if not run.transaction:
                continue
            if attempts.setdefault(run.transaction, sent.attempt) != sent.attempt:
                yield Violation('PINNED', f'begun by {attempts[run.transaction]}: {trace}')

    def _check_log(self, group: LineGroup) -> Iterator[Violation]:
        assert group.primary is not None
        counts = Counter(write[2] for each in group.primary.log for write in each.writes)
        promised = {
            self.sent[each].attempt: answer
            for each, answer in self.received.items()
            if answer.code in PROMISES
        }
        for statement_id, count in counts.items():
            sent = self.sent.get(statement_id)
            if sent is None:
                continue
            if count > 1:
                yield Violation('TWICE', f'{count} times: {sent}')
            if sent.attempt in promised:
                yield Violation('REFUSED', f'{sent} is kept after {promised[sent.attempt]}')

    @staticmethod
    def _check_answer(sent: Sent, answer: Received, runs: list[Execution]) -> Iterator[Violation]:
        if sent.verb == 'EXEC' and answer.code == 'NOSTMT':
            yield Violation('PINNED', f'unknown name: {sent}')
        if answer.code or sent.verb not in FORWARDED:
            return
        if (answer.receipt, answer.rows) not in [(each.receipt, each.rows) for each in runs]:
            yield Violation('MIXED', f'{sent} was answered with {answer}, the members ran {runs}')


def _text(run: Execution) -> bytes:
    """Return the text that ran without the name of its prepared statement, which may differ."""
    return b'EXEC ' + run.text.split(b' ', 2)[2] if run.prepared else run.text


def _expected_text(sent: Sent) -> bytes:
    text = 'EXEC ' + sent.text.split(' ', 2)[2] if sent.prepared else sent.text
    return text.encode('latin-1')
