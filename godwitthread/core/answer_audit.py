"""Check of the answers that arrive on one connection to a backend server.

An answer carries no id, so that only its content and its order tell which request it belongs to.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwitthread.core.statements import Reply

#: Receipt of an answer to a request that takes none.
NO_RECEIPT = '-'
#: Time for which a receipt is remembered, in ms. Backend servers execute and answer some requests
#: up to 12 s late.
RECEIPT_MEMORY_MS = 15_000


class Irregularity(Enum):
    """Ways in which an answer does not fit the request in progress."""

    #: Data arrived while no request was in progress.
    UNSOLICITED = 'unsolicited'
    #: The receipt is that of an earlier answer.
    REPEATED_RECEIPT = 'repeated_receipt'
    #: A statement succeeded without a receipt.
    MISSING_RECEIPT = 'missing_receipt'
    #: A request of the gateway itself was answered with a receipt.
    UNEXPECTED_RECEIPT = 'unexpected_receipt'


class AnswerAudit:
    """Receipts of the recent answers on one connection."""

    def __init__(self) -> None:
        #: Times at which the receipts arrived, in ms, oldest first.
        self._receipts: dict[str, int] = {}

    def check(self, now_ms: int, reply: Reply, *, takes_receipt: bool) -> Irregularity | None:
        """Record an answer; return how it fails to fit a request, None if it fits."""
        if reply.refusal is not None:
            return None
        if reply.receipt in ('', NO_RECEIPT):
            return Irregularity.MISSING_RECEIPT if takes_receipt else None
        repeated = reply.receipt in self._receipts
        self._record(now_ms, reply.receipt)
        if repeated:
            return Irregularity.REPEATED_RECEIPT
        return None if takes_receipt else Irregularity.UNEXPECTED_RECEIPT

    def _record(self, now_ms: int, receipt: str) -> None:
        self._receipts.pop(receipt, None)
        self._receipts[receipt] = now_ms
        while (oldest := next(iter(self._receipts))) != receipt:
            if now_ms - self._receipts[oldest] <= RECEIPT_MEMORY_MS:
                return
            del self._receipts[oldest]
