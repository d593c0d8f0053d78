"""Interfaces that the gateway depends on; a platform adapter implements them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from godwitthread.core.catalog import Configuration, Member
from godwitthread.core.statements import Reply
from godwitthread.core.usage_windows import UsageTerms
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.types import Position

if TYPE_CHECKING:
    from godwitthread.core.statements import Prepared, Refusal, TxState
    from godwitthread.core.write_authority import Succession


class MemberStatus(NamedTuple):
    """Replication status that a member reports."""

    primary: bool
    term: int
    received: Position | None
    #: Term for which the member stopped receiving; not above its own term while it receives.
    paused_term: int = 0


class NotConnectedError(Exception):
    """Raised when a connection to a member could not be opened."""

    def __init__(self, refusal: Refusal, message: str) -> None:
        super().__init__(message)
        #: Reason of the failure.
        self.refusal = refusal
        #: Whether the host refused the connection because no process listens on the port.
        self.port_closed = False


class Connection(Protocol):
    """Connection to one member on behalf of one organisation."""

    organisation: str
    values: dict[str, str]
    prepared: set[str]
    closed: bool
    used_ms: int

    @property
    def state(self) -> TxState:
        """Return the transaction state after the last request."""

    def alive(self) -> bool:
        """Return whether an idle connection is still open."""

    def run(
        self, statement_id: str, text: str, timeout_ms: int, after: Position | None = None
    ) -> Reply:
        """Run a statement."""

    def execute(
        self,
        statement_id: str,
        name: str,
        arguments: str,
        timeout_ms: int,
        after: Position | None = None,
    ) -> Reply:
        """Execute a prepared statement."""

    def reset(self, timeout_ms: int) -> bool:
        """Clear session values and prepared statements; return whether it succeeded."""

    def set_value(self, name: str, value: str, timeout_ms: int) -> bool:
        """Set a session value; return whether it succeeded."""

    def prepare(self, name: str, prepared: Prepared, timeout_ms: int) -> bool:
        """Prepare a statement; return whether it succeeded."""

    def begin(self, read_only: bool, after: Position | None, timeout_ms: int) -> Reply:
        """Begin a transaction."""

    def rollback(self, timeout_ms: int) -> Reply:
        """Roll the transaction back."""

    def status(self, timeout_ms: int) -> MemberStatus | None:
        """Return the member's status, None without a usable answer."""

    def pause(self, term: int, timeout_ms: int) -> MemberStatus | None:
        """Make a replica stop receiving, for a term above the newest one."""

    def resume(self, timeout_ms: int) -> MemberStatus | None:
        """Make a paused replica receive again."""

    def close(self) -> None:
        """Close the connection."""


class PrimaryLease(Protocol):
    """Authority of this instance to use the primary of one group."""

    @property
    def succession(self) -> Succession:
        """Return the newest known promotion of the group."""

    def is_valid(self) -> bool:
        """Return whether work of the primary may be sent and acknowledged."""

    def acquire_exclusive(self, member: str) -> bool:
        """Announce the promotion of a member, and wait until no other instance uses the primary.

        Return False if that could not be achieved in time; no promotion may be ordered then.
        """

    def end_exclusive(self, primary: str | None) -> None:
        """Let other instances use the primary again; None if the order may still take effect."""


class StoredRow(NamedTuple):
    """Row of a store table."""

    key: str
    #: Content; None marks a removed row in a change.
    value: bytes | None
    #: Version of the store at which the row was written.
    revision: int


class StoredRows(NamedTuple):
    """Rows of one table at one version of the store."""

    rows: tuple[StoredRow, ...]
    revision: int


class HistoryLostError(Exception):
    """Raised when the store does not know the changes after a version.

    It no longer keeps them, or it came back from a copy that is older than the version.
    """


class ConditionFailedError(Exception):
    """Raised when the condition of a conditional write does not hold."""


class StoreUnreachableError(ProxyError):
    """Raised when no connection to the store could be opened, so nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, message)


class Store(Protocol):
    """Client of the store; its methods raise ProxyError with a STORE_* kind.

    All versions are combined ones, see `core.store_version`.
    """

    def table(self, table: str) -> StoredRows:
        """Read a whole table."""

    def changes(self, table: str, revision: int, wait_ms: int) -> StoredRows:
        """Wait for changes of a table; raise HistoryLostError."""

    def interrupt(self) -> None:
        """Make a call that another green thread has in progress fail."""

    def close(self) -> None:
        """Close the connection; the next call opens another one."""

    def put(self, table: str, key: str, value: bytes, expected_revision: int | None = None) -> int:
        """Write a row and return its version; raise ConditionFailedError."""

    def remove(self, table: str, key: str, expected_revision: int) -> None:
        """Remove a row at a version; raise ConditionFailedError."""


class Undecodable(NamedTuple):
    """Result of decoding an invalid row."""

    reason: str


class Schema(NamedTuple):
    """Names and decoders of the store content that operators and members write."""

    operator_table: str
    member_table: str
    configuration_key: str
    #: Key prefix of the rows that request the evacuation of a failure domain.
    evacuation_prefix: str
    configuration: Callable[[bytes], Configuration | Undecodable]
    member: Callable[[str, bytes], Member | Undecodable]
    #: Returns what orders the entries that a member writes, None if an entry does not tell.
    member_order: Callable[[bytes], tuple[int, int] | None] = lambda _: None


class PromotionResult(NamedTuple):
    """Outcome of an order to promote a member."""

    done: bool
    #: Whether the outcome is certain, so that the order has no later effect.
    final: bool
    #: Whether the platform refused the order: a newer token is in use, or the member is down.
    refused: bool = False


class UsageReport(NamedTuple):
    """Report of the usage of one window."""

    window: int
    counts: dict[str, int]
    holder: str
    #: Fencing token of the holder.
    token: int
    #: Returns whether the holder may still send; asked when the connection is open.
    may_send: Callable[[], bool]


class UsageResult(Enum):
    """Outcomes of a usage report."""

    DONE = 'done'
    #: A higher token was used.
    REFUSED = 'refused'
    #: The report may take effect, now or later, or the platform did not accept it.
    FAILED = 'failed'
    #: The right to send ended before the report was sent.
    NOT_SENT = 'not_sent'


class UsagePort(NamedTuple):
    """Usage reports that the platform asks for."""

    terms: UsageTerms
    #: Sends a report; takes the report and the time limit in ms.
    post: Callable[[UsageReport, int], UsageResult]


class Ports(NamedTuple):
    """Functions and schema that a platform adapter provides."""

    #: Opens a connection to a member for an organisation; raises NotConnectedError.
    connect: Callable[[Member, str], tuple[Connection, Reply]]
    #: Creates a store client; each client has its own connection.
    store: Callable[[], Store]
    schema: Schema
    #: Orders a promotion; takes group, member, name of the holder, fencing token, time limit in ms.
    promote: Callable[[str, str, str, int, int], PromotionResult]
    #: Usage reports, None where the platform asks for none.
    usage: UsagePort | None = None
    #: Time within which duties must not return to a former holder, in ms; 0 without a bound.
    lease_ms: int = 0
