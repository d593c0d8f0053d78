"""Requests whose end another HTTP server may see elsewhere."""

from __future__ import annotations

import pytest
from eventlet.green import socket

from godwitthread.errors import ProxyError
from godwitthread.instance.http import (
    HttpServer,
    error_reply,
    json_reply,
    listen,
    read_body,
    write_reply,
)

SMUGGLED = b'POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
LENGTH = b'Content-Length: %d\r\n' % len(SMUGGLED)


@pytest.fixture
def exchange():
    """Return a function that sends bytes to a server and returns its paths and its answer."""
    paths: list[str] = []

    def answer(environ, start_response):
        paths.append(environ['PATH_INFO'])
        try:
            reply = json_reply(read_body(environ).decode())
        except ProxyError as exc:
            reply = error_reply(exc)
        return write_reply(reply, start_response)

    sock = listen('127.0.0.1', 0)
    server = HttpServer(sock, answer)
    server.start()

    def send(data: bytes) -> tuple[list[str], bytes]:
        near = socket.create_connection(sock.getsockname())
        near.sendall(data)
        near.shutdown(socket.SHUT_WR)
        received = b''
        while packet := near.recv(10_000):
            received += packet
        near.close()
        return paths, received

    yield send
    server.stop()


@pytest.mark.parametrize(
    'headers',
    [
        b'Content-Length: 0\r\n' + LENGTH,
        b'Transfer-Encoding: chunked, chunked\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n',
        b'Transfer-Encoding: xchunked\r\n',
        b'Content-Length : %d\r\n' % len(SMUGGLED),
        b'Content-Length: 0_0\r\n',
        b'Content-Length: +0\r\n',
        b'X: a\rContent-Length: 0\r\n' + LENGTH,
        b'X: a\r\n' + b' b\r\nContent-Length: 0\r\n',
        b'X\xff: a\r\n' + LENGTH,
        b'no colon\r\n' + LENGTH,
    ],
)
def test_a_request_without_one_clear_end_is_refused(exchange, headers):
    """Guards against a request that is smuggled inside the body of another one (UNASKED)."""
    paths, received = exchange(b'POST /a HTTP/1.1\r\nHost: a\r\n' + headers + b'\r\n' + SMUGGLED)
    assert received.startswith(b'HTTP/1.1 400 ') and received.count(b'HTTP/1.1') == 1
    assert b'malformed_request' in received
    assert paths == []


def test_requests_that_were_sent_together_are_answered_in_order(exchange):
    """Guards against an answer to another pipelined request (MIXED)."""
    bodies = [b'one', b'', b'\xc3\xa9', b'\0\r\n\r\n']
    request = b'POST /%d HTTP/1.1\r\nHost: a\r\nX: \xff\xa0\r\nContent-Length: %d\r\n\r\n%s'
    data = b''.join(request % (n, len(body), body) for n, body in enumerate(bodies))
    paths, received = exchange(data)
    assert paths == ['/0', '/1', '/2', '/3']
    answers = [part.partition(b'\r\n\r\n')[2] for part in received.split(b'HTTP/1.1 200 OK')[1:]]
    assert answers == [b'"one"', b'""', '"é"'.encode(), b'"\\u0000\\r\\n\\r\\n"']
