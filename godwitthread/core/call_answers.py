"""Assignment of the answers of a peer to the calls that were sent to it."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

#: Maximum number of calls without an answer that are remembered after nobody waits for them.
MAX_REMEMBERED = 1_024


class Answer(Enum):
    """What is known about an answer of a peer."""

    #: The first answer to a call that is waited for.
    AWAITED = 'awaited'
    #: The first answer to a call that was sent without waiting for one.
    ONE_WAY = 'one_way'
    #: The first answer to a call that nobody waits for any more.
    LATE = 'late'
    #: A call was answered before, or so long ago that it is not remembered.
    REPEATED = 'repeated'
    #: No such call was sent.
    UNKNOWN = 'unknown'
    #: The answer is of another kind than the call.
    OTHER_KIND = 'other_kind'


#: Answers that reach nobody although a correct peer sends none of them but late ones.
STRAY_ANSWERS = (Answer.LATE, Answer.REPEATED, Answer.UNKNOWN, Answer.OTHER_KIND)


class CallAnswers:
    """Calls to one peer, by an id that is never used again."""

    def __init__(self) -> None:
        self._last_id = 0
        #: Kinds of the calls that are waited for and not answered.
        self._awaited: dict[int, str] = {}
        #: Unanswered calls that nobody waits for, oldest first.
        self._unawaited: OrderedDict[int, Answer] = OrderedDict()

    def open(self, kind: str) -> int:
        """Return the id of a new call that is waited for."""
        self._last_id += 1
        self._awaited[self._last_id] = kind
        return self._last_id

    def open_oneway(self) -> int:
        """Return the id of a new call whose answer is not waited for."""
        self._last_id += 1
        self._remember(self._last_id, Answer.ONE_WAY)
        return self._last_id

    def give_up(self, call_id: int) -> None:
        """Record that nobody waits for the answer to a call any more."""
        if self._awaited.pop(call_id, None) is not None:
            self._remember(call_id, Answer.LATE)

    def receive(self, call_id: int, kind: str, failure_kind: str) -> Answer:
        """Record an answer and return what is known about it."""
        if call_id in self._awaited:
            if kind not in (self._awaited[call_id], failure_kind):
                return Answer.OTHER_KIND
            del self._awaited[call_id]
            return Answer.AWAITED
        if not 0 < call_id <= self._last_id:
            return Answer.UNKNOWN
        return self._unawaited.pop(call_id, Answer.REPEATED)

    def _remember(self, call_id: int, answer: Answer) -> None:
        self._unawaited[call_id] = answer
        if len(self._unawaited) > MAX_REMEMBERED:
            self._unawaited.popitem(last=False)
