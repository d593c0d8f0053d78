"""WSGI application for operators: health, metrics, status and changes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.instance.http import Reply, error_reply, json_reply, read_body, write_reply
from godwitthread.manifest import operations

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwitthread.instance.state import InstanceState

logger = logging.getLogger(__name__)

#: Maximum size of a manifest in bytes.
MANIFEST_LIMIT_BYTES = 16 << 20

MANIFEST_ERRORS = frozenset({ErrorKind.MANIFEST_INVALID, ErrorKind.MANIFEST_CONFLICT})


class OperatorApplication:
    """Handle operator requests; all but the health checks require the operator credential."""

    def __init__(self, state: InstanceState, services: operations.Operations) -> None:
        self._state = state
        self._operations = services

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        try:
            reply = self._route(environ)
        except ProxyError as exc:
            reply = self._error_reply(exc)
        except ExceptionGroup as group:
            reply = self._error_reply(operations.combine_errors(group))
        except Exception:
            logger.exception('operator request failed')
            reply = error_reply(ProxyError(ErrorKind.INTERNAL, 'internal error; see the log'))
        return write_reply(reply, start_response)

    def _error_reply(self, exc: ProxyError) -> Reply:
        if exc.kind in MANIFEST_ERRORS:
            self._state.events.emit('manifest_refused', kind=exc.kind.value)
        return error_reply(exc)

    def _route(self, environ: dict[str, Any]) -> Reply:
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        if path == '/healthz':
            return json_reply({'alive': True})
        if path == '/readyz':
            ready = self._state.is_ready()
            return json_reply({'ready': ready}, 200 if ready else 503)
        operations.authorise(environ.get('HTTP_AUTHORIZATION'), self._state.settings.operator_token)
        if path == '/metrics':
            return Reply(200, self._state.metrics.render(), 'text/plain; version=0.0.4')
        query = {
            name: values[-1] for name, values in parse_qs(environ.get('QUERY_STRING', '')).items()
        }
        body = read_body(environ, MANIFEST_LIMIT_BYTES)
        request = operations.Request(method, path, query, body)
        answer = operations.run_operation(self._operations, request)
        if answer is None:
            raise ProxyError(ErrorKind.NOT_FOUND, 'no such operation')
        return json_reply(answer)
