"""Statements of a session, and what became of them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from godwitthread.errors import ErrorKind  # noqa: TC001 - used at run time
from godwitthread.types import Position


class Verb(Enum):
    """Name what a statement does."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'


class Statement(NamedTuple):
    """Statement of a caller."""

    #: Id that the caller gave the statement; the backend server sees the same one.
    id: str
    verb: Verb
    #: Text as the caller wrote it; it is passed on unchanged.
    text: str
    #: Name of a session value or of a prepared statement.
    name: str = ''
    #: Session value, shape of a prepared statement, or arguments of an execution.
    argument: str = ''
    #: Whether BEGIN or PREPARE is for reading only.
    read_only: bool = False


class Prepared(NamedTuple):
    """Prepared statement of a session."""

    read_only: bool
    shape: str


class Consistency(Enum):
    """Name what a read on a route must see."""

    #: Every commit that was acknowledged before.
    PRIMARY = 'primary'
    #: Commits acknowledged longer ago than the accepted age.
    BOUNDED = 'bounded'
    #: The same, and every commit of the session.
    SESSION = 'session'


class TxState(Enum):
    """Tell whether a session is inside a transaction."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


class Result(NamedTuple):
    """Rows and receipt of a statement that succeeded, or its error."""

    rows: tuple[str, ...] = ()
    #: Proof of the backend server that it ran the statement; '-' if the gateway answered.
    receipt: str = '-'
    #: Value of an ErrorKind; empty on success.
    error: str = ''
    message: str = ''
    #: Position of the backend server's log after the statement.
    position: Position | None = None
    #: Shortest useful delay before a retry in ms, 0 if unknown.
    retry_after_ms: int = 0
    #: Whether the transaction of the session is over, whatever the statement was.
    ended: bool = False


def failure(kind: ErrorKind, message: str, retry_after_ms: int = 0, ended: bool = False) -> Result:
    """Return the result of a statement that did not succeed."""
    return Result(error=kind.value, message=message, retry_after_ms=retry_after_ms, ended=ended)


class Refusal(Enum):
    """Name why a backend server did not answer with success."""

    #: The statement did not run.
    BUSY = 'busy'
    UNPREPARED = 'unprepared'
    BEHIND = 'behind'
    READ_ONLY = 'read_only'
    WRONG_MEMBER = 'wrong_member'
    TOO_MANY = 'too_many'
    UNREACHABLE = 'unreachable'
    #: The statement ran, or may have run.
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    LOST = 'lost'


#: Refusals after which the statement has certainly not run.
NOT_RUN = frozenset(
    {
        Refusal.BUSY,
        Refusal.UNPREPARED,
        Refusal.BEHIND,
        Refusal.READ_ONLY,
        Refusal.WRONG_MEMBER,
        Refusal.TOO_MANY,
        Refusal.UNREACHABLE,
    }
)


class Reply(NamedTuple):
    """Answer of a backend server to one statement."""

    rows: tuple[str, ...] = ()
    receipt: str = ''
    refusal: Refusal | None = None
    message: str = ''
    state: TxState = TxState.IDLE
    position: Position | None = None


class Action(Enum):
    """Name what the owner of a group is asked to do for a session."""

    #: A statement outside a transaction.
    SINGLE = 'single'
    #: A statement inside the transaction, which is begun first if needed.
    IN_TRANSACTION = 'in_transaction'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class RunRequest(NamedTuple):
    """Statement that an instance hands to the owner of a group."""

    action: Action
    #: Number of the session at the instance that accepted it.
    session: int
    group: str
    organisation: str
    statement_id: str
    text: str = ''
    writes: bool = False
    #: Whether this is the first statement of an operation, which counts against the rate.
    first: bool = False
    #: Whether the transaction was begun for reading only.
    read_only: bool = False
    consistency: Consistency = Consistency.PRIMARY
    max_age_ms: int = 0
    #: Position of the newest commit of the session.
    seen: Position | None = None
    values: tuple[tuple[str, str], ...] = ()
    #: Prepared statement that the text executes, and its arguments.
    prepared: Prepared | None = None
    arguments: str = ''
    #: Time left for this statement, in ms.
    remaining_ms: int = 0
    #: Time left until the objective of the operation, in ms.
    objective_ms: int = 0
    priority: int = 0
