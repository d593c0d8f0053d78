"""Judgement of what callers saw, from the records of the operator, the callers and the faults.

An answer must be one that a version in force allows, and must not go back to an older one.
"""

from __future__ import annotations

from collections import Counter
from itertools import groupby
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Time after its acknowledgement within which a version comes into force, in ms (ApplyMs).
APPLY_MS = 3_000
#: Time after the effect of a version in which an older one may apply, in ms (DowngradeSlackMs).
DOWNGRADE_SLACK_MS = 250
#: The same for a process that was suspended within CONTACT_MS.
SUSPENDED_SLACK_MS = 2_000
#: Time without faults after which an instance is settled, in ms (ContactMs).
CONTACT_MS = 4_000


class StoreContent(NamedTuple):
    """Configuration that the store has from a moment on."""

    at_ms: int
    #: Position among the configurations in the order of their first writing. A restored
    #: configuration has its former position; `Version` may be given out twice.
    order: int
    version: int
    routes: frozenset[str]
    keys: frozenset[str]


class Question(NamedTuple):
    """Start of a session or of an operation, and the answer."""

    instance: int
    #: Identifies the process of the instance.
    lifetime: int
    #: What was asked for, such as 'new session, dropped key'.
    kind: str
    database: str
    key: str
    sent_ms: int
    answered_ms: int
    #: 'served', or the error code.
    outcome: str


class Disturbance(NamedTuple):
    """Interval of a fault."""

    begun_ms: int
    ended_ms: int
    #: Affected instance, None for a fault of the store.
    instance: int | None
    suspended: bool = False


class Record(NamedTuple):
    """Record of a run; the contents of the store are in the order of time."""

    contents: list[StoreContent]
    questions: list[Question]
    disturbances: list[Disturbance]


class Verdict(NamedTuple):
    """Violations, and figures that tell what a run without any shows."""

    violations: list[str]
    #: Late answers of instances that were not settled, which break no rule.
    unsettled: list[str]
    #: Outcomes of the questions that were asked in settled time.
    settled: Counter[str]
    #: Outcomes of all questions.
    outcomes: Counter[str]


def judge(record: Record) -> Verdict:
    """Return the questions that were answered as only an older version allows."""
    verdict = Verdict([], [], Counter(), Counter())
    allowed = _Allowed(record.contents)
    for question in record.questions:
        settled = not any(_disturbances(record, question))
        verdict.outcomes[question.outcome] += 1
        if settled:
            verdict.settled[question.outcome] += 1
        oldest = _oldest_in_force(record.contents, question)
        if allowed.first(question, 0) is None:
            verdict.violations.append(f'never allowed: {allowed.describe(question, oldest)}')
        elif allowed.first(question, oldest) is None:
            report = verdict.violations if settled else verdict.unsettled
            report.append(f'late: {allowed.describe(question, oldest)}')
    processes = sorted(record.questions, key=lambda each: (each[:2], each.sent_ms))
    for _, questions in groupby(processes, lambda each: each[:2]):
        verdict.violations.extend(_regresses(record, allowed, list(questions)))
    if not verdict.settled:
        verdict.violations.append('nothing is shown: no question was asked in settled time')
    return verdict


def _regresses(record: Record, allowed: _Allowed, questions: list[Question]) -> Iterator[str]:
    """Yield the regresses within the lifetime of a process."""
    # Answers whose slack may not have passed yet, with the oldest configuration that each shows.
    recent: list[tuple[int, int]] = []
    known = 0
    for question in questions:
        suspended = any(each.suspended for each in _disturbances(record, question))
        slack_ms = SUSPENDED_SLACK_MS if suspended else DOWNGRADE_SLACK_MS
        past = [each for each in recent if each[0] < question.sent_ms - SUSPENDED_SLACK_MS]
        recent = [each for each in recent if each[0] >= question.sent_ms - SUSPENDED_SLACK_MS]
        known = max([known, *(shown for _, shown in past)])
        later = [shown for at_ms, shown in recent if at_ms < question.sent_ms - slack_ms]
        newest = max([known, *later])
        shown = allowed.first(question, newest)
        if shown is not None:
            recent.append((question.answered_ms, shown))
        elif allowed.first(question, 0) is not None:
            yield f'regress: {allowed.describe(question, newest)}'


def _disturbances(record: Record, question: Question) -> Iterator[Disturbance]:
    """Yield the faults within CONTACT_MS before a question and until its answer."""
    for each in record.disturbances:
        if each.instance in (None, question.instance) and (
            each.begun_ms <= question.answered_ms and each.ended_ms >= question.sent_ms - CONTACT_MS
        ):
            yield each


def _oldest_in_force(contents: list[StoreContent], question: Question) -> int:
    """Return the first configuration in force from APPLY_MS before a question to its answer."""
    begin_ms = question.sent_ms - APPLY_MS
    before = [each.order for each in contents if each.at_ms < begin_ms]
    within = [each.order for each in contents if begin_ms <= each.at_ms <= question.answered_ms]
    return min([*before[-1:], *within], default=0)


class _Allowed:
    """Configurations in the order of their first writing, and which of them allow an answer."""

    def __init__(self, contents: list[StoreContent]) -> None:
        self._contents = contents
        first = {each.order: each for each in reversed(contents)}
        self._configurations = [first[order] for order in sorted(first)]

    def first(self, question: Question, oldest: int) -> int | None:
        """Return the first configuration from `oldest` on that allows an answer, or None.

        One that was lost with a restore may hold until the operator writes again.
        """
        return next(
            (
                each.order
                for each in self._configurations
                if each.order >= oldest
                and each.at_ms <= question.answered_ms
                and _allows(each, question)
            ),
            None,
        )

    def describe(self, question: Question, oldest: int) -> str:
        """Return a line about an answer that no configuration from `oldest` on allows."""
        required = [each for each in self._contents if each.order == oldest]
        required = [each for each in required if each.at_ms < question.sent_ms] or required
        older = [each for each in self._configurations if each.order < oldest]
        allowing = [each for each in older if _allows(each, question)]
        cause = f'as up to {_number(allowing[-1])}' if allowing else 'as no version allows'
        return (
            f'instance {question.instance}, process {question.lifetime}: {question.kind}, '
            f'database {question.database}, key {question.key}: {question.outcome} {cause}; '
            f'{_number(required[-1])} acknowledged at {required[-1].at_ms}, '
            f'sent {question.sent_ms}, answered {question.answered_ms}'
        )


def _number(content: StoreContent) -> str:
    return f'version {content.version} (no. {content.order})'


def _allows(content: StoreContent, question: Question) -> bool:
    """Return whether a configuration allows an answer; other codes say nothing about it."""
    has_route, has_key = question.database in content.routes, question.key in content.keys
    allowed = {'served': has_route and has_key, 'NODB': not has_route, 'NOAUTH': not has_key}
    return allowed.get(question.outcome, True)
