"""Client of the platform's promotion call, which one instance at a time may use."""

from __future__ import annotations

import http.client
import json
from typing import TYPE_CHECKING

from godwitthread.gateway.ports import PromotionResult
from godwitthread.sockets import connect

if TYPE_CHECKING:
    from godwitthread.address import Address

NOT_RUN = PromotionResult(done=False, final=True)
UNKNOWN = PromotionResult(done=False, final=False)


def promote(
    address: Address, group: str, member: str, holder: str, token: int, timeout_ms: int
) -> PromotionResult:
    """Request the promotion of a member, authorised by a fencing token.

    The result is `UNKNOWN` once the request may have been sent and no definite answer arrived.
    """
    headers = {
        'Content-Type': 'application/json',
        'Godwitthread-Duty-Holder': holder,
        'Godwitthread-Fencing-Token': str(token),
    }
    body = json.dumps({'Service': group, 'Id': member}).encode()
    conn = http.client.HTTPConnection(address.host, address.port)
    try:
        conn.sock = connect(address, timeout_ms)
    except OSError:
        return NOT_RUN
    try:
        conn.sock.settimeout(timeout_ms / 1000)
        conn.request('POST', '/promotion', body, headers)
        status = conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return UNKNOWN
    finally:
        conn.close()
    if status == 200:
        return PromotionResult(done=True, final=True)
    if status == 409:
        return PromotionResult(done=False, final=True, refused=True)
    return NOT_RUN if status in (429, 503) else UNKNOWN
