"""Complete list of error kinds and the response that each one produces."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """What is known about the execution of a failed request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    DONE = 'done'


class ErrorKind(Enum):
    """Every kind of error that a caller or an operator can receive."""

    MALFORMED_REQUEST = 'malformed_request'
    BODY_TOO_LARGE = 'body_too_large'
    KEY_MISSING = 'key_missing'
    KEY_INVALID = 'key_invalid'
    KEY_WITHDRAWN = 'key_withdrawn'
    ROUTE_UNKNOWN = 'route_unknown'
    ROUTE_FORBIDDEN = 'route_forbidden'
    READ_ONLY_ROUTE = 'read_only_route'
    PREPARED_UNKNOWN = 'prepared_unknown'
    INVALID_TOKEN = 'invalid_token'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    MOVED = 'moved'
    SHUTTING_DOWN = 'shutting_down'
    STALE_CONFIGURATION = 'stale_configuration'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    DEADLINE_EXCEEDED_AFTER_SEND = 'deadline_exceeded_after_send'
    BACKEND_UNAVAILABLE = 'backend_unavailable'
    CONNECTION_LOST = 'connection_lost'
    OLD_PRIMARY = 'old_primary'
    STATEMENT_FAILED = 'statement_failed'
    TRANSACTION_UNKNOWN = 'transaction_unknown'
    TRANSACTION_LOST = 'transaction_lost'
    COMMIT_UNKNOWN = 'commit_unknown'
    IDEMPOTENCY_MISMATCH = 'idempotency_mismatch'
    PROMISE_VIOLATED = 'promise_violated'
    MANIFEST_INVALID = 'manifest_invalid'
    MANIFEST_CONFLICT = 'manifest_conflict'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_UNKNOWN = 'store_unknown'
    OPERATOR_UNAUTHORIZED = 'operator_unauthorized'
    NOT_FOUND = 'not_found'
    SETTING_INVALID = 'setting_invalid'
    INTERNAL = 'internal'


class ErrorResponse(NamedTuple):
    """How an error kind is reported to the caller."""

    #: HTTP status code of the response.
    status: int
    #: What is known about the execution of the request.
    outcome: Outcome
    #: Whether the same request may succeed later or on another instance.
    retryable: bool
    #: Name of the PEP 249 exception that the client library raises.
    dbapi: str


def _not_run(status: int, retryable: bool, dbapi: str) -> ErrorResponse:
    return ErrorResponse(status, Outcome.NOT_RUN, retryable, dbapi)


def _unknown(status: int, retryable: bool, dbapi: str) -> ErrorResponse:
    return ErrorResponse(status, Outcome.UNKNOWN, retryable, dbapi)


#: Response of each error kind. An individual error may override the outcome if the stage of
#: execution determines it more precisely than the kind.
ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: _not_run(400, False, 'ProgrammingError'),
    ErrorKind.BODY_TOO_LARGE: _not_run(413, False, 'DataError'),
    ErrorKind.KEY_MISSING: _not_run(401, False, 'OperationalError'),
    ErrorKind.KEY_INVALID: _not_run(401, False, 'OperationalError'),
    ErrorKind.KEY_WITHDRAWN: _not_run(401, False, 'OperationalError'),
    ErrorKind.ROUTE_UNKNOWN: _not_run(404, False, 'ProgrammingError'),
    ErrorKind.ROUTE_FORBIDDEN: _not_run(403, False, 'OperationalError'),
    ErrorKind.READ_ONLY_ROUTE: _not_run(403, False, 'ProgrammingError'),
    ErrorKind.PREPARED_UNKNOWN: _not_run(404, False, 'ProgrammingError'),
    ErrorKind.INVALID_TOKEN: _not_run(400, False, 'InterfaceError'),
    ErrorKind.RATE_LIMITED: _not_run(429, True, 'OperationalError'),
    ErrorKind.OVERLOADED: _not_run(503, True, 'OperationalError'),
    ErrorKind.MOVED: _not_run(503, True, 'OperationalError'),
    ErrorKind.SHUTTING_DOWN: _not_run(503, True, 'OperationalError'),
    ErrorKind.STALE_CONFIGURATION: _not_run(503, True, 'OperationalError'),
    ErrorKind.DEADLINE_EXCEEDED: _not_run(504, False, 'OperationalError'),
    ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND: _unknown(504, False, 'OperationalError'),
    ErrorKind.BACKEND_UNAVAILABLE: _not_run(503, True, 'OperationalError'),
    ErrorKind.CONNECTION_LOST: _unknown(502, False, 'OperationalError'),
    ErrorKind.OLD_PRIMARY: _unknown(503, False, 'OperationalError'),
    ErrorKind.STATEMENT_FAILED: _not_run(422, False, 'DatabaseError'),
    ErrorKind.TRANSACTION_UNKNOWN: _not_run(404, False, 'ProgrammingError'),
    ErrorKind.TRANSACTION_LOST: _not_run(409, False, 'OperationalError'),
    ErrorKind.COMMIT_UNKNOWN: _unknown(502, False, 'OperationalError'),
    ErrorKind.IDEMPOTENCY_MISMATCH: _not_run(409, False, 'IntegrityError'),
    ErrorKind.PROMISE_VIOLATED: _unknown(500, False, 'InternalError'),
    ErrorKind.MANIFEST_INVALID: _not_run(422, False, 'ProgrammingError'),
    ErrorKind.MANIFEST_CONFLICT: _not_run(409, False, 'OperationalError'),
    ErrorKind.STORE_UNAVAILABLE: _not_run(503, True, 'OperationalError'),
    ErrorKind.STORE_UNKNOWN: _unknown(504, False, 'OperationalError'),
    ErrorKind.OPERATOR_UNAUTHORIZED: _not_run(401, False, 'OperationalError'),
    ErrorKind.NOT_FOUND: _not_run(404, False, 'ProgrammingError'),
    ErrorKind.SETTING_INVALID: _not_run(400, False, 'InterfaceError'),
    ErrorKind.INTERNAL: _unknown(500, False, 'InternalError'),
}


class ProxyError(Exception):
    """Error of a given kind, with the information that is reported to the caller."""

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        outcome: Outcome | None = None,
        retry_after_ms: int | None = None,
        details: object = None,
    ) -> None:
        super().__init__(message)
        #: Kind of the error.
        self.kind = kind
        #: Human-readable message; must not contain secrets.
        self.message = message
        #: What is known about the execution of the request.
        self.outcome = outcome or ERROR_RESPONSES[kind].outcome
        #: Shortest useful delay before a retry, in ms.
        self.retry_after_ms = retry_after_ms
        #: Machine-readable details for the caller; must not contain secrets.
        self.details = details

    @property
    def response(self) -> ErrorResponse:
        """Response that belongs to the kind of this error."""
        return ERROR_RESPONSES[self.kind]


class InvariantError(ProxyError):
    """Raised when an internal check detects the violation of an invariant."""

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(ErrorKind.PROMISE_VIOLATED, f'{invariant}: {detail}')
        #: Name of the violated invariant.
        self.invariant = invariant
