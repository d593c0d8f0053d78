"""Requests on the connections of an HTTP server that stops."""

from __future__ import annotations

import json
import socket
import ssl
from typing import TYPE_CHECKING, Any

import pytest
from eventlet import patcher

from godwitthread.demo.deployment import Deployment, await_condition
from godwitthread.errors import ProxyError
from godwitthread.instance.http import (
    HttpServer,
    error_reply,
    json_reply,
    listen,
    read_body,
    write_reply,
)
from godwitthread.instance.tls import CertificateFiles, Certificates
from godwitthread.loop import eventlet
from tests.test_tls.pem import write_pair

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

HOST = '127.0.0.1'
#: Ends a test that would otherwise wait without limit; no verdict depends on it.
GUARD_TIMEOUT_S = 10
#: Turns of the event loop in which a server stops that waits for nothing.
STOP_TURNS = 100
#: First lines of a request.
START = b'POST /a HTTP/1.1\r\nHost: a\r\n'


class Port:
    """HTTP server that answers with the path of the request, and its paths in order."""

    def __init__(self, certificates: Certificates | None) -> None:
        self.paths: list[str] = []
        sock = listen(HOST, 0)
        self.address = sock.getsockname()
        self.server = HttpServer(sock, self.answer, certificates)

    def answer(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        self.paths.append(environ['PATH_INFO'])
        try:
            read_body(environ)
        except ProxyError as exc:
            return write_reply(error_reply(exc), start_response)
        return write_reply(json_reply({'path': environ['PATH_INFO']}), start_response)


def connect(folder: Path, secure: bool) -> tuple[Port, socket.socket]:
    """Start a server and return it with a connection to it."""
    chain, key = write_pair(folder)
    port = Port(Certificates(CertificateFiles(chain, key)) if secure else None)
    port.server.start()
    conn = socket.create_connection(port.address, GUARD_TIMEOUT_S)
    if secure:
        context = ssl.create_default_context(cafile=chain)
        conn = context.wrap_socket(conn, server_hostname=HOST)
    return port, conn


def send(conn: socket.socket, path: str) -> None:
    """Send a whole request; the event loop does not run meanwhile."""
    conn.sendall(f'GET {path} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())


def receive_all(conn: socket.socket) -> bytes:
    """Return what is received until the end of the connection."""
    data = b''
    while chunk := conn.recv(65_536):
        data += chunk
    return data


@pytest.mark.parametrize('secure', [False, True], ids=['plain', 'tls'])
def test_a_request_that_waits_unread_is_answered(tmp_path: Path, secure: bool) -> None:
    """Guard against the end of an idle connection before its waiting request is answered."""
    port, conn = connect(tmp_path, secure)
    send(conn, '/first')
    assert b'/first' in conn.recv(65_536)
    send(conn, '/second')
    port.server.stop()
    answer = receive_all(conn)
    assert port.paths == ['/first', '/second']
    assert answer.startswith(b'HTTP/1.1 200 OK') and answer.endswith(b'{"path":"/second"}'), answer


def test_a_request_on_a_connection_not_yet_accepted_is_answered(tmp_path: Path) -> None:
    """Guard against a reset of connections that the kernel has accepted for the server."""
    port, _ = connect(tmp_path, False)
    # A socket that is not cooperative leaves the event loop no turn to accept the connection.
    conn = patcher.original('socket').create_connection(port.address, GUARD_TIMEOUT_S)
    send(conn, '/late')
    port.server.stop()
    answer = receive_all(conn)
    assert answer.startswith(b'HTTP/1.1 200 OK') and answer.endswith(b'{"path":"/late"}'), answer


@pytest.mark.parametrize('secure', [False, True], ids=['plain', 'tls'])
@pytest.mark.parametrize(
    'part',
    [b'POST /a HT', START, START + b'Content-Length: 12\r\n\r\nhalf'],
    ids=['line', 'headers', 'body'],
)
def test_a_partly_received_request_does_not_keep_a_server_from_stopping(
    tmp_path: Path, part: bytes, secure: bool
) -> None:
    """Guard against a server that waits for the rest of a request before it stops."""
    port, conn = connect(tmp_path, secure)
    conn.sendall(part)
    for _ in range(STOP_TURNS):
        eventlet.sleep(0)
    stop = eventlet.spawn(port.server.stop)
    for _ in range(STOP_TURNS):
        eventlet.sleep(0)
    assert stop.dead
    answer = receive_all(conn)
    assert (b'truncated' in answer) == (b'half' in part)


def test_a_request_cut_by_a_shutdown_is_refused_as_such() -> None:
    """Guard against blaming the caller for a request of which the shutdown cut the rest."""
    deployment = Deployment(
        'fjordkjol', instances=1, settings={'lame_duck_ms': '0', 'drain_limit_ms': '0'}
    )
    deployment.start()
    try:
        instance = deployment.instances[0]
        conn = socket.create_connection(instance.state.settings.caller_address, GUARD_TIMEOUT_S)
        head = b'POST /v1/execute HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n'
        conn.sendall(head + b'{"route": "orders", ')
        await_condition(lambda: instance.state.in_flight == 1)
        stop = eventlet.spawn(deployment.stop_instance, instance)
        body = json.loads(receive_all(conn).partition(b'\r\n\r\n')[2])
        assert (body['error']['kind'], body['error']['outcome']) == ('shutting_down', 'not_run')
        stop.wait()
    finally:
        deployment.stop()
