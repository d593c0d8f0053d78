"""Statements of a session and their results."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from godwitthread.errors import ErrorKind  # noqa: TC001 - used at run time
from godwitthread.types import Position


class Verb(Enum):
    """Kinds of statements."""

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
    """Statement received from a caller."""

    #: Id assigned by the caller; passed on to the backend server.
    id: str
    verb: Verb
    #: Text received from the caller; forwarded unchanged.
    text: str
    #: Name of a session variable or of a prepared statement.
    name: str = ''
    #: Value of a session variable, shape of a prepared statement, or execution arguments.
    argument: str = ''
    #: Whether BEGIN or PREPARE is read-only.
    read_only: bool = False


class Prepared(NamedTuple):
    """Prepared statement of a session."""

    read_only: bool
    shape: str


class Consistency(Enum):
    """Consistency levels of reads on a route."""

    #: Includes every commit acknowledged before the read.
    PRIMARY = 'primary'
    #: Includes the commits acknowledged longer ago than the accepted staleness.
    BOUNDED = 'bounded'
    #: As BOUNDED, and includes every commit of the session.
    SESSION = 'session'


class TxState(Enum):
    """Transaction states of a session."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


class Result(NamedTuple):
    """Rows and receipt of a successful statement, or its error."""

    rows: tuple[str, ...] = ()
    #: Proof by the backend server that it ran the statement; '-' if the gateway answered.
    receipt: str = '-'
    #: Value of an ErrorKind; empty on success.
    error: str = ''
    message: str = ''
    #: Log position of the backend server after the statement.
    position: Position | None = None
    #: Shortest useful delay before a retry in ms, 0 if unknown.
    retry_after_ms: int = 0
    #: Whether the transaction of the session has ended, regardless of the statement.
    ended: bool = False


def failure(kind: ErrorKind, message: str, retry_after_ms: int = 0, ended: bool = False) -> Result:
    """Return the result of a statement that did not succeed."""
    return Result(error=kind.value, message=message, retry_after_ms=retry_after_ms, ended=ended)


class Refusal(Enum):
    """Reasons why a backend server did not report success."""

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
    """Actions that the owner of a group performs for a session."""

    #: A statement outside a transaction.
    SINGLE = 'single'
    #: A statement inside the transaction, which is started first if necessary.
    IN_TRANSACTION = 'in_transaction'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class RunRequest(NamedTuple):
    """Statement that an instance forwards to the owner of a group."""

    action: Action
    #: Number of the session at the instance that accepted it.
    session: int
    group: str
    organisation: str
    statement_id: str
    text: str = ''
    writes: bool = False
    #: Whether this is the first statement of an operation, which counts towards the rate.
    first: bool = False
    #: Whether the transaction is read-only.
    read_only: bool = False
    consistency: Consistency = Consistency.PRIMARY
    max_age_ms: int = 0
    #: Position of the newest commit of the session.
    seen: Position | None = None
    values: tuple[tuple[str, str], ...] = ()
    #: Prepared statement that is executed by the text, and its arguments.
    prepared: Prepared | None = None
    arguments: str = ''
    #: Time until the deadline of this statement, in ms.
    remaining_ms: int = 0
    #: Time until the latency objective of the operation, in ms.
    objective_ms: int = 0
    priority: int = 0


def is_repeatable(req: RunRequest) -> bool:
    """Return whether a statement may be executed twice."""
    return req.action is Action.SINGLE and not req.writes


def unknown_outcome(req: RunRequest, message: str) -> Result:
    """Return the result of a statement that may have run although its answer is lost."""
    if req.action is Action.SINGLE:
        return failure(ErrorKind.CONNECTION_LOST, message, ended=True)
    if req.action is Action.COMMIT:
        return failure(ErrorKind.COMMIT_UNKNOWN, message, ended=True)
    # Without a COMMIT, no effect of the transaction persists.
    return failure(ErrorKind.TRANSACTION_LOST, message, ended=True)
