"""HTTP server and helpers shared by the ports for callers and operators."""

from __future__ import annotations

import contextlib
import logging
import socket
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.instance.request_framing import strict_protocol
from godwitthread.instance.tls import handshake
from godwitthread.loop import eventlet
from godwitthread.sockets import has_no_input

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from godwitthread.instance.tls import Certificates

    WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

logger = logging.getLogger(__name__)

#: Maximum size of a request body in bytes.
BODY_LIMIT_BYTES = 1 << 20
#: Maximum number of concurrent connections per port. The target deployment has about
#: 3,500 client connections per instance.
CONNECTION_LIMIT = 10_000

_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

_encode = msgspec.json.Encoder().encode


class Reply(NamedTuple):
    """HTTP response of a handler."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    retry_after_ms: int | None = None


def json_reply(value: Any, status: int = 200) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status, _encode(value))


def error_reply(exc: ProxyError, request_id: str = '') -> Reply:
    """Return the JSON reply for an error, with the HTTP status of its kind."""
    error = {
        'kind': exc.kind.value,
        'message': exc.message,
        'outcome': exc.outcome.value,
        'retry_after_ms': exc.retry_after_ms,
        'request_id': request_id,
        **({'details': exc.details} if exc.details is not None else {}),
    }
    return Reply(exc.response.status, _encode({'error': error}), retry_after_ms=exc.retry_after_ms)


def read_body(environ: Mapping[str, Any], limit_bytes: int = BODY_LIMIT_BYTES) -> bytes:
    """Return the request body; raise BODY_TOO_LARGE or MALFORMED_REQUEST."""
    text = environ.get('CONTENT_LENGTH') or '0'
    if not text.isdecimal():
        raise ProxyError(ErrorKind.MALFORMED_REQUEST, 'Content-Length is not a number')
    length = int(text)
    if length > limit_bytes:
        raise ProxyError(
            ErrorKind.BODY_TOO_LARGE, f'body of {length} bytes; at most {limit_bytes} are accepted'
        )
    body = environ['wsgi.input'].read(length)
    if len(body) != length:
        raise ProxyError(
            ErrorKind.MALFORMED_REQUEST, f'body truncated: got {len(body)} of {length} bytes'
        )
    return body


def bearer_credential(environ: Mapping[str, Any]) -> str | None:
    """Return the bearer credential of the Authorization header, None without one."""
    scheme, _, credential = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    return credential.strip() if scheme.lower() == 'bearer' and credential else None


def write_reply(
    reply: Reply, start_response: Callable[..., Any], *, close: bool = False
) -> list[bytes]:
    """Start the response with status and headers and return the body."""
    headers = [('Content-Type', reply.content_type), ('Content-Length', str(len(reply.body)))]
    if reply.retry_after_ms is not None:
        headers.append(('Retry-After', str(-(-reply.retry_after_ms // 1000))))
    if close:
        headers.append(('Connection', 'close'))
    start_response(f'{reply.status} {_REASONS.get(reply.status, "Status")}', headers)
    return [reply.body]


def _ambiguous_request(reason: str) -> bytes:
    reply = error_reply(ProxyError(ErrorKind.MALFORMED_REQUEST, reason))
    head = (
        f'HTTP/1.1 {reply.status} {_REASONS[reply.status]}\r\n'
        f'Content-Type: {reply.content_type}\r\n'
        f'Content-Length: {len(reply.body)}\r\nConnection: close\r\n\r\n'
    )
    return head.encode() + reply.body


class HttpServer:
    """Serve one WSGI application on one listening socket."""

    def __init__(self, sock: Any, app: WsgiApp, tls: Certificates | None = None) -> None:
        self._sock = sock
        self._app = app
        self._tls = tls
        self._pool = _ConnectionPool(tls)
        self._thread: Any = None

    def start(self) -> None:
        """Start accepting connections."""
        if self._tls is not None:
            self._tls.start()
        self._thread = eventlet.spawn(self._serve)

    def stop(self) -> None:
        """Stop accepting; answer what has been received, then close the connections."""
        if self._thread is not None:
            self._accept_waiting()
            self._pool.end_input()
            self._thread.kill()
            self._pool.waitall()
            self._thread = None
        if self._tls is not None:
            self._tls.stop()
        self._sock.close()

    def _accept_waiting(self) -> None:
        # The kernel resets connections that are not accepted when the socket is closed.
        while not (self._thread.dead or has_no_input(self._sock)) and self._pool.free() > 0:
            eventlet.sleep(0)

    def _serve(self) -> None:
        eventlet.wsgi.server(
            self._sock,
            self._app,
            custom_pool=self._pool,
            protocol=strict_protocol(_ambiguous_request),
            log_output=False,
            debug=False,
            log=logging.getLogger('godwitthread.http'),
        )


class _ConnectionPool(eventlet.GreenPool):
    """Greenlet pool for connections; TLS handshakes run in the greenlet of their connection."""

    def __init__(self, tls: Certificates | None) -> None:
        super().__init__(CONNECTION_LIMIT)
        self._tls = tls
        self._connections: dict[int, list[Any]] = {}

    def spawn(self, function: Callable[[list[Any]], Any], connection: list[Any]) -> Any:
        """Serve a connection, given as eventlet's list of address, socket and state."""
        key = id(connection)
        self._connections[key] = connection
        if self._tls is None:
            thread = super().spawn(function, connection)
        else:
            thread = super().spawn(_serve_tls, self._tls, function, connection)
        thread.link(lambda _: self._connections.pop(key))
        return thread

    def end_input(self) -> None:
        """End the input of all connections; each closes once it has answered what it received.

        The server itself would end input and output of the idle ones only. A request that
        had been received but not read would be run without its answer, and a connection in
        the middle of a request would wait for the rest of it.
        """
        for connection in self._connections.values():
            if connection[2] == eventlet.wsgi.STATE_IDLE:
                connection[2] = eventlet.wsgi.STATE_REQUEST
            _end_input(connection[1])


def _serve_tls(
    tls: Certificates, function: Callable[[list[Any]], Any], connection: list[Any]
) -> None:
    # The server shuts down the socket in this list when it stops, so the TLS socket is
    # stored in the list before the handshake.
    try:
        connection[1] = tls.wrap(connection[1])
    except OSError as exc:
        logger.debug('connection closed before its TLS handshake: %s', exc)
        return
    if handshake(connection[1]):
        function(connection)


def _end_input(sock: Any) -> None:
    # Received data can still be read, followed by the end of the input. The method of a TLS
    # socket would discard its keys, so the one of the underlying type is called.
    raw = sock if isinstance(sock, socket.SocketType) else sock.fd
    with contextlib.suppress(OSError):
        socket.SocketType.shutdown(raw, socket.SHUT_RD)


def listen(host: str, port: int) -> Any:
    """Return a listening TCP socket."""
    return eventlet.listen((host, port), backlog=1024, reuse_addr=True)
