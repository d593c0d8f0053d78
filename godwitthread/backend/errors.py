"""Errors of backend connections."""

from __future__ import annotations

from godwitthread.errors import ErrorKind, Outcome, ProxyError

#: SQLSTATE of a transaction rolled back because of a conflict with a concurrent one.
SERIALIZATION_FAILURE = '40001'
#: SQLSTATE of a write on a replica or in a read-only transaction.
READ_ONLY_TRANSACTION = '25006'
#: SQLSTATE of a statement inside a transaction that has already failed.
FAILED_TRANSACTION = '25P02'
#: SQLSTATE of a connection above the connection limit of the backend server.
TOO_MANY_CONNECTIONS = '53300'


class StatementError(ProxyError):
    """Report that a statement was rejected or rolled back and had no effect."""

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(ErrorKind.STATEMENT_FAILED, message, outcome=Outcome.NOT_RUN)
        #: SQLSTATE code of the error.
        self.sqlstate = sqlstate


class OpenError(ProxyError):
    """Report that no connection could be opened, so that no statement was sent."""

    def __init__(self, message: str, sqlstate: str = '') -> None:
        super().__init__(ErrorKind.BACKEND_UNAVAILABLE, message)
        #: SQLSTATE code of a refusal by the backend server, or ''.
        self.sqlstate = sqlstate


def connection_lost(message: str) -> ProxyError:
    """Return the error of a connection that failed after data may have been sent."""
    return ProxyError(ErrorKind.CONNECTION_LOST, message, outcome=Outcome.UNKNOWN)
