"""Exceptions of the PEP 249 interface."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from godwitthread.client.transport import RequestError
from godwitthread.errors import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from godwitthread.errors import ErrorKind


class Warning(Exception):  # noqa: A001, N818 - the name is fixed by PEP 249
    """Important warning; part of PEP 249 and never raised here."""


class Error(Exception):
    """Base class of the PEP 249 errors."""

    #: Kind of the proxy error; None for errors raised by this module itself.
    kind: ErrorKind | None = None
    #: Whether the request ran; errors raised by this module itself run nothing.
    outcome: Outcome = Outcome.NOT_RUN
    #: Id of the request in the logs of the instance.
    request_id: str | None = None


class InterfaceError(Error):
    """Incorrect use of the interface, such as a closed cursor."""


class DatabaseError(Error):
    """Error of the database or the proxy."""


class DataError(DatabaseError):
    """Problem with the processed data."""


class OperationalError(DatabaseError):
    """Error in the operation of the database or the proxy, such as a lost connection."""


class NotRunError(OperationalError):
    """The request has certainly not been run."""


class UnknownOutcomeError(OperationalError):
    """The request may or may not have been run."""


class IntegrityError(DatabaseError):
    """Violation of relational integrity, such as a foreign key."""


class InternalError(DatabaseError):
    """Internal error of the database or the proxy."""


class ProgrammingError(DatabaseError):
    """Error in the statement or its parameters."""


class NotSupportedError(DatabaseError):
    """Method that the proxy does not support."""


_CLASSES_BY_NAME: dict[str, type[Error]] = {
    cls.__name__: cls
    for cls in (
        InterfaceError,
        DataError,
        DatabaseError,
        OperationalError,
        IntegrityError,
        InternalError,
        ProgrammingError,
    )
}


@contextmanager
def translate_errors() -> Iterator[None]:
    """Re-raise a RequestError as the corresponding PEP 249 exception."""
    try:
        yield
    except RequestError as exc:
        raise from_request_error(exc) from exc


def from_request_error(exc: RequestError) -> Error:
    """Return the corresponding PEP 249 exception with kind, outcome and request id."""
    cls = _CLASSES_BY_NAME[exc.response.dbapi]
    if exc.outcome is Outcome.UNKNOWN and cls is not InternalError:
        cls = UnknownOutcomeError
    elif exc.outcome is Outcome.NOT_RUN and cls is OperationalError:
        cls = NotRunError
    error = cls(exc.message)
    error.kind, error.outcome, error.request_id = exc.kind, exc.outcome, exc.request_id
    return error
