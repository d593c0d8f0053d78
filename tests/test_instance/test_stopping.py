"""Requests on the connections of an HTTP server that stops."""

from __future__ import annotations

import socket
import ssl
from typing import TYPE_CHECKING, Any

import pytest

from godwitthread.instance.http import HttpServer, json_reply, listen, write_reply
from godwitthread.instance.tls import CertificateFiles, Certificates
from tests.test_tls.pem import write_pair

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

HOST = '127.0.0.1'
#: Ends a test that would otherwise wait without limit; no verdict depends on it.
GUARD_TIMEOUT_S = 10


class Port:
    """HTTP server that answers with the path of the request, and its paths in order."""

    def __init__(self, certificates: Certificates | None) -> None:
        self.paths: list[str] = []
        sock = listen(HOST, 0)
        self.address = sock.getsockname()
        self.server = HttpServer(sock, self.answer, certificates)

    def answer(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        self.paths.append(environ['PATH_INFO'])
        return write_reply(json_reply({'path': environ['PATH_INFO']}), start_response)


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
    chain, key = write_pair(tmp_path)
    port = Port(Certificates(CertificateFiles(chain, key)) if secure else None)
    port.server.start()
    conn = socket.create_connection(port.address, GUARD_TIMEOUT_S)
    if secure:
        context = ssl.create_default_context(cafile=chain)
        conn = context.wrap_socket(conn, server_hostname=HOST)
    send(conn, '/first')
    assert b'/first' in conn.recv(65_536)
    send(conn, '/second')
    port.server.stop()
    answer = receive_all(conn)
    assert port.paths == ['/first', '/second']
    assert answer.startswith(b'HTTP/1.1 200 OK') and answer.endswith(b'{"path":"/second"}'), answer
