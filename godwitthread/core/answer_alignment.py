"""Assignment of the answers on one connection to a backend server to its requests.

An answer carries no id, so that only its content and its order tell which request it belongs to.
A backend server answers requests in order, and may send an answer again later.
"""

from __future__ import annotations

from enum import Enum
from itertools import takewhile
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.statements import NOT_RUN, Refusal, Reply, TxState

if TYPE_CHECKING:
    from collections.abc import Hashable

#: Receipt of an answer to a request that takes none.
NO_RECEIPT = '-'
#: Time for which an answer is remembered, in ms. Backend servers execute and answer some requests
#: up to 12 s late.
ANSWER_MEMORY_MS = 15_000
#: Interval at which old answers are forgotten, in ms. Finding the first key of a dict takes a time
#: that grows with the number of keys removed before it.
FORGET_INTERVAL_MS = 1_000


class Irregularity(Enum):
    """Ways in which an answer does not fit the request in progress."""

    #: Data arrived while no request was in progress.
    UNSOLICITED = 'unsolicited'
    #: The receipt is that of an earlier answer.
    REPEATED_RECEIPT = 'repeated_receipt'
    #: An earlier answer without a receipt arrived again.
    REPEATED_ANSWER = 'repeated_answer'
    #: A refusal was that of an earlier request; the answer to the statement followed.
    REPEATED_REFUSAL = 'repeated_refusal'
    #: A refusal that might have been repeated was that of the statement.
    CONFIRMED_REFUSAL = 'confirmed_refusal'
    #: A refusal that might have been repeated could not be confirmed.
    UNCONFIRMED_REFUSAL = 'unconfirmed_refusal'
    #: A statement succeeded without a receipt.
    MISSING_RECEIPT = 'missing_receipt'
    #: A request of the gateway itself was answered with a receipt.
    UNEXPECTED_RECEIPT = 'unexpected_receipt'
    #: The rows are not those of an answer to the request.
    UNEXPECTED_ROWS = 'unexpected_rows'
    #: The transaction state is not that after the request.
    UNEXPECTED_STATE = 'unexpected_state'
    #: The lines are not those of an answer.
    MALFORMED = 'malformed'


class Request(Enum):
    """Requests by the answers that fit them."""

    #: Read or write of a caller, prepared or not.
    STATEMENT = 'statement'
    COMMIT = 'commit'
    BEGIN = 'begin'
    ROLLBACK = 'rollback'
    #: Change of the session values or prepared statements.
    SESSION = 'session'
    #: Request that returns the status of the backend server.
    STATUS = 'status'
    #: Request that changes the status, and returns it.
    PAUSE = 'pause'


class Verdict(Enum):
    """What is done with an answer."""

    ACCEPT = 'accept'
    #: Ignore it, and read on.
    SKIP = 'skip'
    #: Find out whether the refusal is that of the request.
    CONFIRM = 'confirm'
    #: Close the connection, since its answers can't be assigned to its requests any more.
    CLOSE = 'close'


class Judgement(NamedTuple):
    """Verdict on an answer, and how the answer is irregular."""

    verdict: Verdict
    irregularity: Irregularity | None = None


# Tuples, since the hash of a member of an enumeration is computed by Python code.
_RECEIPT_REQUESTS = (Request.STATEMENT, Request.COMMIT)
_CONFIRMED_REQUESTS = (*_RECEIPT_REQUESTS, Request.BEGIN)
_STATUS_REQUESTS = (Request.STATUS, Request.PAUSE)
_ENDS = (Request.COMMIT, Request.ROLLBACK)
_ACCEPT = Judgement(Verdict.ACCEPT)
_CONFIRM = Judgement(Verdict.CONFIRM)


class AnswerAlignment:
    """Recent answers on one connection, and its transaction state."""

    __slots__ = ('_blank_ms', '_doubtful', '_forget_ms', '_seen', 'state')

    def __init__(self) -> None:
        #: Transaction state after the last request; that in the answer which ended the connection.
        self.state = TxState.IDLE
        #: Times at which receipts and answers without a receipt arrived, in ms, oldest first.
        self._seen: dict[Hashable, int] = {}
        #: Time before which no answer is forgotten, in ms.
        self._forget_ms = 0
        #: Time of the newest answer without a receipt, in ms; None if there was none.
        self._blank_ms: int | None = None
        #: Accepted answer without a receipt that may have been that to an earlier request.
        self._doubtful: Reply | None = None

    def greet(self, now_ms: int, reply: Reply) -> bool:
        """Record the answer to the opening of the connection; return whether it is valid."""
        self.record(now_ms, reply)
        return not reply.receipt and not reply.rows and reply.state is TxState.IDLE

    def judge(self, now_ms: int, request: Request, reply: Reply) -> Judgement:
        """Judge an answer that arrived while a request was in progress."""
        judgement = self._judge(now_ms, request, reply)
        if judgement.verdict is Verdict.ACCEPT:
            self._accept(now_ms, request, reply)
        elif judgement.verdict is Verdict.CLOSE:
            self.state = reply.state
        self.record(now_ms, reply)
        return judgement

    def judge_unsolicited(self, now_ms: int, reply: Reply) -> Judgement:
        """Judge an answer that began to arrive before the request in progress was sent."""
        repeated = self.was_seen(now_ms, reply)
        doubtful = self._doubtful
        if repeated and _is_blank(reply) and doubtful is not None:
            # It may be the own answer of a request for which an earlier answer was accepted.
            repeated = reply.refusal is doubtful.refusal
        self.record(now_ms, reply)
        if repeated:
            return Judgement(Verdict.SKIP, Irregularity.UNSOLICITED)
        self.state = reply.state
        return Judgement(Verdict.CLOSE, Irregularity.UNSOLICITED)

    def resolve(self, confirmation: Confirmation) -> bool:
        """Accept the outcome of a confirmation; return False if the connection is to be closed."""
        # One of two answers may be the refusal of a request of the gateway itself, which seemed to
        # succeed because of a repeated answer.
        if confirmation.failed or (confirmation.answers > 1 and self._doubtful is not None):
            return False
        self.state = confirmation.state
        return True

    def was_seen(self, now_ms: int, reply: Reply) -> bool:
        """Return whether an equal answer arrived before, so that this one may repeat it."""
        seen_ms = self._seen.get(reply if _is_blank(reply) else reply.receipt)
        return seen_ms is not None and now_ms - seen_ms <= ANSWER_MEMORY_MS

    def record(self, now_ms: int, reply: Reply) -> None:
        """Remember an answer."""
        key: Hashable = reply.receipt
        if _is_blank(reply):
            key = reply
            if reply.receipt or reply.refusal is not None:
                self._blank_ms = now_ms
        self._seen.pop(key, None)
        self._seen[key] = now_ms
        self.forget(now_ms)

    def forget(self, now_ms: int) -> None:
        """Forget the answers that can't be repeated any more."""
        if now_ms < self._forget_ms:
            return
        self._forget_ms = now_ms + FORGET_INTERVAL_MS
        old_ms = now_ms - ANSWER_MEMORY_MS
        for key in list(takewhile(lambda key: self._seen[key] < old_ms, self._seen)):
            del self._seen[key]

    def judge_success(self, now_ms: int, request: Request, reply: Reply) -> Judgement:
        """Judge an answer without a refusal."""
        seen = self.was_seen(now_ms, reply)
        if not reply.receipt:
            return _repeated_or(seen, Irregularity.MALFORMED)
        takes_receipt = request in _RECEIPT_REQUESTS
        if reply.receipt != NO_RECEIPT:
            if seen:
                return Judgement(Verdict.SKIP, Irregularity.REPEATED_RECEIPT)
            if not takes_receipt:
                return Judgement(Verdict.CLOSE, Irregularity.UNEXPECTED_RECEIPT)
        elif takes_receipt:
            repeated = seen or (self._has_blank(now_ms) and not reply.rows)
            return _repeated_or(repeated, Irregularity.MISSING_RECEIPT)
        elif len(reply.rows) != (1 if request in _STATUS_REQUESTS else 0):
            return _repeated_or(seen, Irregularity.UNEXPECTED_ROWS)
        elif seen and request is Request.PAUSE:
            # The term in the row is new, so that this answer describes the time before.
            return Judgement(Verdict.SKIP, Irregularity.REPEATED_ANSWER)
        if not self._fits_success(request, reply):
            return _repeated_or(seen and not takes_receipt, Irregularity.UNEXPECTED_STATE)
        return _ACCEPT

    def fits_refusal(self, request: Request, reply: Reply) -> bool:
        """Return whether the state after a refusal is possible."""
        if request in _ENDS:
            return True
        if self.state is TxState.IDLE:
            # A statement outside a transaction may leave a failed one when it is refused.
            return reply.state is not TxState.OPEN
        return reply.state in (self.state, TxState.FAILED)

    def _judge(self, now_ms: int, request: Request, reply: Reply) -> Judgement:
        if reply.refusal is None:
            return self.judge_success(now_ms, request, reply)
        if not self.fits_refusal(request, reply):
            return _repeated_or(self.was_seen(now_ms, reply), Irregularity.UNEXPECTED_STATE)
        if request in _CONFIRMED_REQUESTS and self._has_blank(now_ms):
            return _CONFIRM
        return _ACCEPT

    def _fits_success(self, request: Request, reply: Reply) -> bool:
        if request is Request.BEGIN:
            return self.state is TxState.IDLE and reply.state is TxState.OPEN
        if request is Request.ROLLBACK:
            return reply.state is TxState.IDLE
        if self.state is TxState.FAILED:
            # Only a rollback succeeds in a failed transaction; a COMMIT rolls back as well.
            return False
        return reply.state is (TxState.IDLE if request is Request.COMMIT else self.state)

    def _accept(self, now_ms: int, request: Request, reply: Reply) -> None:
        confirmable = request in _CONFIRMED_REQUESTS and reply.refusal is not None
        if request in _RECEIPT_REQUESTS and reply.refusal is None:
            self._doubtful = None
        elif not confirmable and self.was_seen(now_ms, reply):
            self._doubtful = reply
        self.state = reply.state

    def _has_blank(self, now_ms: int) -> bool:
        return self._blank_ms is not None and now_ms - self._blank_ms <= ANSWER_MEMORY_MS


class Confirmation:
    """Search for the own answer of a request whose refusal may be that of an earlier one.

    Requests of the gateway itself are sent behind it. Answers come in order, so that an own answer
    of the request arrives before theirs.
    """

    def __init__(self, alignment: AnswerAlignment, request: Request, refusal: Reply) -> None:
        self._alignment = alignment
        self._request = request
        #: Answer to the request, as far as it is known.
        self.answer = refusal
        #: Requests to send, one after another: PREPARE and DEALLOC of a name that is not used
        #: otherwise. A failed transaction accepts nothing but its end before.
        self.probes: tuple[Request, ...] = (Request.SESSION, Request.SESSION)
        if refusal.state is TxState.FAILED:
            self.probes = (Request.ROLLBACK, *self.probes)
        #: Number of answers that may be that to the request.
        self.answers = 1
        #: Number of probes that were answered.
        self.answered = 0
        #: Whether the answers can't be assigned to the requests.
        self.failed = False

    @property
    def state(self) -> TxState:
        """Return the transaction state after the last answer."""
        return TxState.IDLE if self.probes[0] is Request.ROLLBACK else self.answer.state

    def add(self, now_ms: int, reply: Reply) -> None:
        """Process the next answer."""
        seen = self._alignment.was_seen(now_ms, reply)
        if reply.refusal is not None:
            known = self._add_refusal(reply)
        elif _is_blank(reply):
            known = self._add_blank(reply)
        else:
            known = self._add_success(now_ms, reply)
        self._alignment.record(now_ms, reply)
        self.failed = self.failed or not (known or seen)

    def _add_refusal(self, reply: Reply) -> bool:
        deallocates = self.answered == len(self.probes) - 1
        succeeded = self.answer.refusal is None
        rolls_back = self.probes[self.answered] is Request.ROLLBACK
        if (deallocates and reply.refusal is Refusal.UNPREPARED) or (rolls_back and succeeded):
            self.answered += 1
            return True
        if succeeded or not self._alignment.fits_refusal(self._request, reply):
            return False
        # Either of the two refusals may be the repeated one, so that both have to promise that the
        # request did not run.
        self.answers += 1
        if self.answer.refusal in NOT_RUN:
            self.answer = reply
        return True

    def _add_blank(self, reply: Reply) -> bool:
        if not reply.receipt or reply.rows:
            return False
        if reply.state is self.state:
            self.answered += 1
            return True
        begins = self._request is Request.BEGIN and self.answer.refusal is not None
        if begins and reply.state is TxState.OPEN:
            self.answers += 1
            self.answer = reply
            return True
        return False

    def _add_success(self, now_ms: int, reply: Reply) -> bool:
        judgement = self._alignment.judge_success(now_ms, self._request, reply)
        if judgement.verdict is not Verdict.ACCEPT or self.answer.refusal is None:
            return False
        self.answers += 1
        self.answer = reply
        # The transaction of a statement is rolled back by the probe.
        self.failed = self.state is not reply.state
        return True


def _repeated_or(repeated: bool, irregularity: Irregularity) -> Judgement:
    if repeated:
        return Judgement(Verdict.SKIP, Irregularity.REPEATED_ANSWER)
    return Judgement(Verdict.CLOSE, irregularity)


def _is_blank(reply: Reply) -> bool:
    return reply.receipt in ('', NO_RECEIPT)
