"""HTTP server shared by the stand-ins."""

from __future__ import annotations

import contextlib
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    #: Request handler: takes a request and returns a response.
    Handler = Callable[['Request'], 'Response']


class Request(NamedTuple):
    """HTTP request passed to a handler."""

    method: str
    path: str
    #: WSGI environment, from which headers are read.
    environ: dict[str, Any]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return a header by name, or None."""
        return self.environ.get(f'HTTP_{name.upper().replace("-", "_")}')


class Response(NamedTuple):
    """HTTP response returned by a handler."""

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


class DropConnectionError(Exception):
    """Raised by a handler to close the connection without a response."""


def json_response(value: Any, status: int = 200) -> Response:
    """Build a response with a JSON body."""
    body = json.dumps(value).encode()
    return Response(status, body, (('Content-Type', 'application/json'),))


class HttpServer:
    """Serve one handler on one address."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._host = host
        self._handler = handler
        #: Listening port; start() replaces 0 with the port that the system assigned.
        self.port = port
        self._listener: Any = None
        self._thread: Any = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self._host}:{self.port}'

    def start(self) -> None:
        """Listen and serve in the background."""
        self._listener = eventlet.listen((self._host, self.port), reuse_port=False)
        self.port = self._listener.getsockname()[1]
        self._thread = eventlet.spawn(
            eventlet.wsgi.server, self._listener, self._application, log_output=False
        )

    def stop(self) -> None:
        """Close the listener."""
        if self._thread is not None:
            self._thread.kill()
            self._listener.close()
            self._thread = None

    def _application(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        body = environ['wsgi.input'].read()
        req = Request(environ['REQUEST_METHOD'], environ['PATH_INFO'], environ, body)
        try:
            resp = self._handler(req)
        except DropConnectionError:
            with contextlib.suppress(OSError):
                environ['eventlet.input'].get_socket().shutdown(eventlet.green.socket.SHUT_RDWR)
            resp = Response(500)
        except (KeyError, TypeError, ValueError) as exc:
            resp = json_response({'error': repr(exc)}, 400)
        status = f'{resp.status} {HTTPStatus(resp.status).phrase}'
        start(status, [*resp.headers, ('Content-Length', str(len(resp.body)))])
        return [resp.body]
