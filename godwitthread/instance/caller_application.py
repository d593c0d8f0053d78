"""WSGI application for callers: the HTTP API under /v1."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING, Any

from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.instance import protocol
from godwitthread.instance.http import (
    bearer_credential,
    error_reply,
    json_reply,
    read_body,
    write_reply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwitthread.instance.caller_service import CallerService
    from godwitthread.instance.http import Reply
    from godwitthread.instance.protocol import Response
    from godwitthread.instance.state import InstanceState

logger = logging.getLogger(__name__)

#: Random bytes in a request id.
REQUEST_ID_BYTES = 8


class CallerApplication:
    """Decode and run the requests of callers and write the responses."""

    def __init__(self, state: InstanceState, caller_service: CallerService) -> None:
        self._state = state
        self._operations: dict[str, Callable[[str | None, bytes, str, int], Response]] = {
            '/v1/execute': lambda key, body, id_, deadline_ms: caller_service.execute(
                key, _reject_embedded_key(key, protocol.decode_execute(body, id_, deadline_ms))
            ),
            '/v1/begin': lambda key, body, id_, deadline_ms: caller_service.begin(
                key, protocol.decode_begin(body, id_, deadline_ms)
            ),
            '/v1/commit': lambda key, body, id_, deadline_ms: caller_service.end(
                key, protocol.decode_end(body, id_, deadline_ms), True
            ),
            '/v1/rollback': lambda key, body, id_, deadline_ms: caller_service.end(
                key, protocol.decode_end(body, id_, deadline_ms), False
            ),
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        state = self._state
        with state.running_request():
            reply = self._answer(environ)
            return write_reply(reply, start_response, close=state.leaving)

    def _answer(self, environ: dict[str, Any]) -> Reply:
        state = self._state
        begun_ms = state.now_ms()
        path = environ['PATH_INFO']
        request_id = f'{state.seat.name}-{secrets.token_hex(REQUEST_ID_BYTES)}'
        result, outcome = 'ok', Outcome.DONE
        try:
            reply = self._run(path, environ, request_id, begun_ms)
        except ProxyError as exc:
            result, outcome = exc.kind.value, exc.outcome
            self._report(exc, path, request_id)
            reply = error_reply(exc, request_id)
        except Exception:
            logger.exception('request %s failed', request_id)
            result, outcome = ErrorKind.INTERNAL.value, Outcome.UNKNOWN
            text = 'internal error; see the log of the instance'
            reply = error_reply(ProxyError(ErrorKind.INTERNAL, text), request_id)
        operation = self._operation(path)
        state.metrics.requests.labels(operation, result).inc()
        elapsed_s = (state.now_ms() - begun_ms) / 1000
        state.metrics.latency.labels(outcome.value).observe(elapsed_s)
        return reply

    def _run(self, path: str, environ: dict[str, Any], request_id: str, now_ms: int) -> Reply:
        operation = self._operations.get(path)
        if operation is None or environ['REQUEST_METHOD'] != 'POST':
            raise ProxyError(ErrorKind.NOT_FOUND, 'no such operation')
        header = environ.get('HTTP_GODWITTHREAD_DEADLINE_MS')
        try:
            deadline_ms = protocol.decode_deadline(header, now_ms)
            body = read_body(environ)
            answer = operation(bearer_credential(environ), body, request_id, deadline_ms)
        except ProxyError as exc:
            if exc.kind is ErrorKind.MALFORMED_REQUEST:
                # An instance that closes ends the input, which cuts requests that still arrive.
                self._state.require_open()
            raise
        return json_reply(answer)

    def _operation(self, path: str) -> str:
        # An unknown path may contain a secret, and would make the label set unbounded.
        return path if path in self._operations else 'other'

    def _report(self, exc: ProxyError, path: str, request_id: str) -> None:
        name = 'request_unknown' if exc.outcome is Outcome.UNKNOWN else 'request_refused'
        self._state.events.emit(
            name, kind=exc.kind.value, operation=self._operation(path), request_id=request_id
        )


def _reject_embedded_key(key: str | None, req: protocol.Request) -> protocol.Request:
    """Reject a statement that would send the API key to a backend server."""
    if req.statement is not None and protocol.contains_text(req.statement, key):
        raise ProxyError(ErrorKind.MALFORMED_REQUEST, 'the statement contains the key')
    return req
