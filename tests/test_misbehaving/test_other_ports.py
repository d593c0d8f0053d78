"""Crowds at the readiness, metrics and peer ports of a gateway process."""

from __future__ import annotations

import struct

import pytest

from godwitthread.loop import eventlet
from tests.test_misbehaving.crowd import PORTS, WAIT_S, started


@pytest.fixture
def crowd(tmp_path):
    yield from started(tmp_path)


def http_status(crowd, port):
    """Return the first line of the answer to an ordinary HTTP request."""
    request = b'GET / HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n'
    with eventlet.Timeout(WAIT_S):
        while True:
            try:
                with eventlet.connect((crowd.host, PORTS[port])) as sock:
                    sock.sendall(request)
                    if answer := sock.recv(4_096):
                        return answer.partition(b'\r\n')[0]
            except OSError:
                eventlet.sleep(0.1)


@pytest.mark.parametrize('port', ['ready', 'metrics'])
def test_unfinished_requests_to_an_http_port(crowd, port):
    """Guard against descriptors and workers that unfinished requests hold for ever."""
    crowd.join(300, lambda _: None, port)
    crowd.join(300, lambda sock: crowd.send(sock, b'GET / HTTP/1.1\r\nX: ' + b'x' * 6_000), port)
    crowd.wait_until_quiet()
    assert http_status(crowd, port) == b'HTTP/1.1 200 OK'
    crowd.check()
    assert http_status(crowd, port) == b'HTTP/1.1 200 OK'


def test_endless_requests_to_an_http_port(crowd):
    """Guard against the memory of endless request lines, headers and bodies."""
    body = b'POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n' + b'x' * 4_000_000
    for port in ('ready', 'metrics'):
        crowd.join(20, lambda sock: crowd.send(sock, b'GET /' + b'x' * 4_000_000), port)
        crowd.join(20, lambda sock: crowd.send(sock, body), port)
    crowd.wait_until_quiet()
    crowd.check()


def test_connections_to_the_peer_port_that_send_nothing(crowd):
    """Guard against descriptors of connections whose sender never identifies itself."""
    crowd.join(600, lambda _: None, 'peer')
    crowd.wait_until_quiet()
    crowd.check()


def test_unfinished_frames_at_the_peer_port(crowd):
    """Guard against memory for large frames of senders that are no instances."""
    data = struct.pack('!I', 4 * 1024 * 1024) + b'x' * 4_000_000
    crowd.join(40, lambda sock: crowd.send(sock, data), 'peer')
    crowd.wait_until_quiet()
    crowd.check()
