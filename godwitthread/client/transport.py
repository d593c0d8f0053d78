"""HTTP transport to the instances; maps failures to RequestError."""

from __future__ import annotations

import json
import os
import re
import ssl
from typing import Any

import urllib3
from urllib3.connection import HTTPSConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
    SSLError,
)

from godwitthread.client.retry import INSTANCE_KINDS
from godwitthread.errors import ErrorKind, Outcome, ProxyError

#: Connect time-out before another URL is tried, in ms.
CONNECT_TIMEOUT_MS = 1_000
#: Time to wait after the deadline for an answer that reports the outcome, in ms.
ANSWER_GRACE_MS = 500
#: Idle connections kept open per URL.
MAX_IDLE_CONNECTIONS = 32
#: Environment variable with the path of a PEM file of trusted certificate authorities;
#: when it is unset, those of the system are used.
CA_FILE_VARIABLE = 'GODWITTHREAD_CA_FILE'

#: Characters that a key can have, as the value of a header.
_KEY = re.compile(r'[!-~]*')


class RequestError(ProxyError):
    """Failed request with its kind, outcome and request id."""

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        outcome: Outcome | None = None,
        retry_after_ms: int | None = None,
        request_id: str | None = None,
    ) -> None:
        super().__init__(kind, message, outcome=outcome, retry_after_ms=retry_after_ms)
        #: Id of the request in the logs of the instance; None without an answer.
        self.request_id = request_id


class Transport:
    """Sends JSON requests over keep-alive connections to one or more URLs."""

    def __init__(
        self,
        urls: list[str],
        key: str | None,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        ca_file: str | None = None,
    ) -> None:
        self._urls = [url.rstrip('/') for url in urls]
        self._key = key
        self._max_idle = max_idle
        self._ca_file = ca_file or os.environ.get(CA_FILE_VARIABLE)
        self._pools = {url: self._open_pool(url) for url in self._urls}

    @property
    def urls(self) -> list[str]:
        """Return the base URLs in the order given."""
        return self._urls

    def post(self, url: str, path: str, body: dict[str, Any], remaining_ms: int) -> dict[str, Any]:
        """Send one request and return its answer; raise RequestError."""
        answer = self._send(url, path, _encode_body(body), remaining_ms)
        parsed = _parse_body(answer)
        if answer.status == 200 and 'error' not in parsed:
            return parsed
        exc = _to_request_error(answer.status, parsed.get('error'))
        if exc.kind in INSTANCE_KINDS:
            self._replace_pool(url)
        raise exc

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def _send(self, url: str, path: str, data: bytes, remaining_ms: int) -> Any:
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_MS, remaining_ms) / 1000,
            read=(remaining_ms + ANSWER_GRACE_MS) / 1000,
        )
        try:
            return self._pools[url].request(
                'POST',
                path,
                body=data,
                headers=self._headers(remaining_ms),
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            message = f'could not connect to {url}'
            raise RequestError(ErrorKind.BACKEND_UNAVAILABLE, message) from exc
        except SSLError as exc:
            if exc.args and isinstance(exc.args[0], ssl.SSLCertVerificationError):
                # The certificate is verified before any byte of the request is sent.
                message = f'certificate verification failed for {url}: {exc.args[0].verify_message}'
                raise RequestError(ErrorKind.BACKEND_UNAVAILABLE, message) from exc
            message = f'connection lost after the request was sent: {type(exc).__name__}'
            raise RequestError(ErrorKind.CONNECTION_LOST, message) from exc
        except ReadTimeoutError as exc:
            message = 'no answer before the deadline'
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED_AFTER_SEND, message) from exc
        except (HTTPError, OSError) as exc:
            message = f'connection lost after the request was sent: {type(exc).__name__}'
            raise RequestError(ErrorKind.CONNECTION_LOST, message) from exc

    def _headers(self, remaining_ms: int) -> dict[str, str]:
        headers = {
            'Content-Type': 'application/json',
            'Godwitthread-Deadline-Ms': str(remaining_ms),
        }
        if self._key is not None:
            if not _KEY.fullmatch(self._key):
                message = 'the key has characters that no key has'
                raise RequestError(ErrorKind.MALFORMED_REQUEST, message)
            headers['Authorization'] = f'Bearer {self._key}'
        return headers

    def _open_pool(self, url: str) -> Any:
        tls = {'ca_certs': self._ca_file} if url.startswith('https:') else {}
        pool = urllib3.connection_from_url(url, maxsize=self._max_idle, block=False, **tls)
        if tls:
            pool.ConnectionCls = _TlsConnection
        return pool

    def _replace_pool(self, url: str) -> None:
        # An idle connection through a load balancer would reach the same instance again.
        old, self._pools[url] = self._pools[url], self._open_pool(url)
        old.close()


class _TlsConnection(HTTPSConnection):
    """TLS connection that reports a failed handshake as a failure to connect."""

    def connect(self) -> None:
        try:
            super().connect()
        except ssl.SSLCertVerificationError:
            raise
        except OSError as exc:
            # The handshake precedes every byte of the request.
            raise NewConnectionError(self, f'TLS handshake failed: {exc!r}') from exc


def _encode_body(body: dict[str, Any]) -> bytes:
    try:
        return json.dumps(body, separators=(',', ':'), allow_nan=False).encode()
    except (TypeError, ValueError) as exc:
        message = f'parameter cannot be encoded as JSON: {exc}'
        raise RequestError(ErrorKind.MALFORMED_REQUEST, message) from exc


def _parse_body(answer: Any) -> dict[str, Any]:
    try:
        parsed = json.loads(answer.data)
    except ValueError:
        parsed = None
    if not isinstance(parsed, dict):
        # A load balancer or a faulty instance answered, so the outcome is unknown.
        message = f'the body of the answer with status {answer.status} is not a JSON object'
        raise RequestError(ErrorKind.CONNECTION_LOST, message)
    return parsed


def _to_request_error(status: int, error: Any) -> RequestError:
    fields = error if isinstance(error, dict) else {}
    try:
        kind, outcome = ErrorKind(fields.get('kind')), Outcome(fields.get('outcome'))
    except ValueError:
        kind, outcome = ErrorKind.INTERNAL, Outcome.UNKNOWN
    return RequestError(
        kind,
        str(fields.get('message', f'status {status}')),
        outcome=outcome,
        retry_after_ms=fields.get('retry_after_ms'),
        request_id=fields.get('request_id'),
    )
