"""Client of the platform's usage call, which one instance at a time may use."""

from __future__ import annotations

import http.client
import json
from typing import TYPE_CHECKING

from godwitthread.gateway.ports import UsageResult
from godwitthread.sockets import connect

if TYPE_CHECKING:
    from godwitthread.address import Address
    from godwitthread.gateway.ports import UsageReport


def post(address: Address, report: UsageReport, timeout_ms: int) -> UsageResult:
    """Report the usage of one window, authorised by a fencing token.

    Nothing is sent if the right to send has ended by the time the connection is open.
    """
    headers = {
        'Content-Type': 'application/json',
        'Godwitthread-Duty-Holder': report.holder,
        'Godwitthread-Fencing-Token': str(report.token),
    }
    content = {'WindowId': report.window, 'Counts': report.counts}
    body = json.dumps(content, separators=(',', ':')).encode()
    conn = http.client.HTTPConnection(address.host, address.port)
    try:
        conn.sock = connect(address, timeout_ms)
        conn.sock.settimeout(timeout_ms / 1000)
        if not report.may_send():
            return UsageResult.NOT_SENT
        conn.request('POST', '/usage', body, headers)
        status = conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return UsageResult.FAILED
    finally:
        conn.close()
    if status == 200:
        return UsageResult.DONE
    return UsageResult.REFUSED if status == 409 else UsageResult.FAILED
