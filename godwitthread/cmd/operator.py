"""HTTP client of the operator port of an instance."""

from __future__ import annotations

import json
import os
import ssl
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError, SSLError

from godwitthread.client.transport import CA_FILE_VARIABLE

#: Time-out of a call; an operation of the operator port may wait for the store.
CALL_TIMEOUT_S = 20.0


class CallError(Exception):
    """Call that was refused, not answered or not sent."""

    def __init__(self, outcome: str, error: dict[str, Any]) -> None:
        self.message = str(error.get('message', 'the call failed'))
        super().__init__(self.message)
        #: 'not_run', 'done', 'unknown' or 'unreachable'.
        self.outcome = outcome
        #: Error object of the answer.
        self.error = error
        details = error.get('details')
        #: Validation errors of a refused manifest.
        self.mistakes = [str(each) for each in details] if isinstance(details, list) else []


class OperatorApi:
    """Client of one operator port."""

    def __init__(self, url: str, token: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        #: Bearer token of the calls.
        self.token = token
        self._url = url.rstrip('/')
        self._headers = {'Authorization': f'Bearer {token}', 'Content-Type': 'application/json'}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(timeout_s),
            ca_certs=os.environ.get(CA_FILE_VARIABLE),
        )

    def get(self, path: str) -> dict[str, Any]:
        """Send a read and return its JSON answer; raise CallError."""
        # A read has no effect, so a lost answer leaves no unknown outcome.
        return self._call('GET', path, None, outcome_if_lost='unreachable')

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a change and return its JSON answer; raise CallError."""
        return self._call('POST', path, json.dumps(body).encode(), outcome_if_lost='unknown')

    def _call(
        self, method: str, path: str, body: bytes | None, outcome_if_lost: str
    ) -> dict[str, Any]:
        try:
            resp = self._pool.request(method, self._url + path, body=body, headers=self._headers)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise CallError('unreachable', {'message': f'not reachable: {exc}'}) from exc
        except SSLError as exc:
            certificate_rejected = exc.args and isinstance(
                exc.args[0], ssl.SSLCertVerificationError
            )
            # The certificate is verified before any byte of the request is sent.
            outcome = 'unreachable' if certificate_rejected else outcome_if_lost
            raise CallError(outcome, {'message': f'TLS failed: {exc}'}) from exc
        except HTTPError as exc:
            raise CallError(outcome_if_lost, {'message': f'no answer: {exc}'}) from exc
        try:
            answer = json.loads(resp.data)
        except ValueError as exc:
            message = f'the answer with status {resp.status} is not JSON'
            raise CallError(outcome_if_lost, {'message': message}) from exc
        if resp.status != 200:
            error = answer.get('error', {}) if isinstance(answer, dict) else {}
            raise CallError(error.get('outcome', outcome_if_lost), error)
        result: dict[str, Any] = answer
        return result
