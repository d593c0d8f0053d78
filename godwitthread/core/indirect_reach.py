"""Which candidates others reach although this instance does not.

Load pattern: two failure domains can't reach each other while the others reach both. An
organisation uses up its rate in both of them, or one of them has the primary of a group. Each side
reaches a majority, so that neither may take over from an owner which only the other one reaches.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

#: Interval of the questions to others, in ms. For about that long, two instances may grant a rate
#: after its granter was replaced or returned: less than a twentieth of the window of the limit.
PROBE_INTERVAL_MS = 200
#: Time after the first question from which a missing answer is no reason to wait, in ms.
DECISION_TIMEOUT_MS = 300


class _Answer(NamedTuple):
    #: Time at which the question was sent, in ms.
    sent_ms: int
    reached: frozenset[str]


class _Missing:
    """Candidate that this instance does not reach and that may be running."""

    def __init__(self, now_ms: int) -> None:
        self.lost_ms = now_ms
        #: Time of the first question about it, in ms.
        self.asked_ms: int | None = None


class IndirectReach:
    """Answers of others to the question which of the missing candidates they reach."""

    def __init__(self) -> None:
        self._missing: dict[str, _Missing] = {}
        self._answers: dict[str, _Answer] = {}

    @property
    def missing(self) -> list[str]:
        """Return the candidates to ask about."""
        return sorted(self._missing)

    def update(self, now_ms: int, missing: Collection[str]) -> None:
        """Set the candidates that this instance does not reach and that may be running."""
        known = self._missing
        self._missing = {name: known.get(name) or _Missing(now_ms) for name in missing}
        if not missing:
            self._answers.clear()

    def record_question(self, now_ms: int) -> None:
        """Record that others are asked about the missing candidates."""
        for each in self._missing.values():
            if each.asked_ms is None:
                each.asked_ms = now_ms

    def record_answer(self, sent_ms: int, reporter: str, reached: Collection[str]) -> None:
        """Record which candidates a reporter reaches, from a question sent at the given time."""
        self._answers[reporter] = _Answer(sent_ms, frozenset(reached))

    def reporter(self, name: str, reached: Collection[str]) -> str | None:
        """Return one of the reached instances that reaches a missing one, None without any."""
        if name not in self._missing:
            return None
        return next(iter(sorted(self._reporters(name, reached))), None)

    def may_own(self, now_ms: int, voters: int, reached: Collection[str]) -> set[str]:
        """Return the missing candidates that may own resources, as others see them.

        `voters` is the number of voters that may be running, this instance included, and `reached`
        names the other ones that it reaches and can ask.
        """
        return {
            name
            for name, each in self._missing.items()
            if self._may_have_majority(name, voters, reached)
            or self._is_open(now_ms, each, reached)
        }

    def _may_have_majority(self, name: str, voters: int, reached: Collection[str]) -> bool:
        """Return whether a candidate that others reach may reach a majority."""
        reporters = len(self._reporters(name, reached))
        # Voters that can't be asked, among them the candidate itself, may reach it.
        unasked = voters - len(reached) - 1
        return reporters > 0 and reporters + unasked >= math.floor(voters / 2) + 1

    def _reporters(self, name: str, reached: Collection[str]) -> list[str]:
        return [
            reporter
            for reporter in self._answers_since(self._missing[name], reached)
            if name in self._answers[reporter].reached
        ]

    def _is_open(self, now_ms: int, each: _Missing, reached: Collection[str]) -> bool:
        """Return whether too few have answered to take a candidate for one that owns nothing."""
        if len(self._answers_since(each, reached)) == len(reached):
            return False
        return each.asked_ms is None or now_ms - each.asked_ms < DECISION_TIMEOUT_MS

    def _answers_since(self, each: _Missing, reached: Collection[str]) -> list[str]:
        return [
            name
            for name in reached
            if name in self._answers and self._answers[name].sent_ms >= each.lost_ms
        ]
