"""Builders of the answers of a member, as they reach the decisions on them."""

from __future__ import annotations

from godwitthread.core.statements import Refusal, Reply, TxState
from godwitthread.types import Position

PLACE = Position(3, 9)


def done(receipt: str = '-', *rows: str, state=TxState.IDLE, offset: int = 9) -> Reply:
    """Return a success; the receipt is `-` for requests of the gateway itself."""
    return Reply(rows, receipt, None, '', state, Position(3, offset))


def refused(refusal=Refusal.BUSY, *, state=TxState.IDLE, offset: int = 9) -> Reply:
    """Return a refusal."""
    return Reply((), '', refusal, 'i-1', state, Position(3, offset))


#: Answer to the opening of a connection.
GREETING = Reply(state=TxState.IDLE, position=PLACE)
