"""Report of answers of peers that reach no call."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from godwitthread.core.call_answers import STRAY_ANSWERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.call_answers import Answer
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.metrics import Metrics

#: Part of the kind of a call that is written to the log, in characters; a peer chooses it.
MAX_LOGGED = 128


def stray_answer_reporter(log: Log, metrics: Metrics) -> Callable[[str, str, Answer], None]:
    """Add a metric of stray answers; return a function that counts and logs one."""
    counts: Counter[Answer] = Counter()
    metrics.gauges(
        'godwitthread_stray_peer_answers',
        'Answers of peers to calls that nobody waits for, since the start',
        'reason',
        {answer.value: partial(counts.__getitem__, answer) for answer in STRAY_ANSWERS},
    )

    def report(peer: str, kind: str, answer: Answer) -> None:
        counts[answer] += 1
        log.failure('peer_answer_stray', peer=peer, kind=kind[:MAX_LOGGED], reason=answer.value)

    return report
