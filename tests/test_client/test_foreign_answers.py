"""Answers on a kept connection that belong to another request of the client, or to none."""

from __future__ import annotations

import json
import socket
import threading
import time

import pytest

from godwitthread.client import Client, RequestError
from godwitthread.errors import ErrorKind, Outcome


def answer(number: int) -> bytes:
    """Build the answer to a statement that returns one number."""
    body = json.dumps({'columns': ['n'], 'rows': [[number]], 'request_id': f'r{number}'}).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (len(body), body)


class PacketServer:
    """Server that answers each request with the next list of packets, on any connection."""

    def __init__(self, *answers: list[bytes]) -> None:
        self.connections = 0
        self._answers = list(answers)
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.url = f'http://127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        while sock.recv(10_000):
            for packet in self._answers.pop(0):
                sock.sendall(packet)
                time.sleep(0.02)


@pytest.mark.parametrize('packets', [[answer(1) * 2], [answer(1), answer(1)]], ids=['once', 'late'])
def test_a_repeated_answer_is_not_that_to_the_next_request(packets: list[bytes]) -> None:
    """Guards against a connection that is used again with input waiting (MIXED)."""
    server = PacketServer(packets, [answer(2)])
    client = Client(server.url, 'k')
    assert client.execute('SELECT 1').rows == [[1]]
    time.sleep(0.1)
    assert client.execute('SELECT 2').rows == [[2]]


def test_an_answer_after_a_time_out_reaches_no_request() -> None:
    """Guards against a connection that is used again with an answer outstanding (MIXED)."""
    server = PacketServer([b'', *[b''] * 40, answer(1)], [answer(2)])
    client = Client(server.url, 'k', max_attempts=1)
    with pytest.raises(RequestError) as caught:
        client.execute('SELECT 1', deadline_ms=50)
    assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND
    assert client.execute('SELECT 2').rows == [[2]]
    assert server.connections == 2


@pytest.mark.parametrize('key', ['k\r\nX: y', 'k\n', 'k\0', '\u20ac'])
def test_a_key_that_is_no_header_value_is_not_sent(key: str) -> None:
    """Guards against a header, or a request, inside of the key (UNASKED)."""
    server = PacketServer()
    with pytest.raises(RequestError) as caught:
        Client(server.url, key).execute('SELECT 1')
    assert caught.value.kind is ErrorKind.MALFORMED_REQUEST
    assert (caught.value.outcome, server.connections) == (Outcome.NOT_RUN, 0)
