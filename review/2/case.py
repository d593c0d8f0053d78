"""Case: one unreadable entry of another writer hides that a member is draining."""

from __future__ import annotations

import os
from pathlib import Path

from godwitthread.loop import eventlet
from review.standins.deployment import Deployment, Record, Requester, now_ms, run_case

#: Bound of the rule, in ms.
DRAIN_MS = 7_000
#: Time for which the member serves after the store has accepted its report, in ms.
SERVES_MS = 15_000
REQUESTERS = 12
#: Entry of another writer: a service that the configuration does not name, and bytes that are not
#: JSON, which has no `Infinity`.
BAD_ENTRY = (
    b'{"Service": "reports", "Addr": "127.0.0.1:9", "Zone": "colonia", "Slots": 2, '
    b'"State": "ready", "ColdLeftMs": Infinity, "DbRole": "replica", "Seq": 1}'
)
#: Whether the disruption takes place.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def broken(deployment: Deployment, record: Record) -> bool:
    """Return whether the draining member ran requests that were sent after DrainMs."""
    if TROUBLE:
        deployment.store.put('servers', 'i-x', BAD_ENTRY)
        record(f'another writer: servers/i-x {BAD_ENTRY.decode()}')
    eventlet.sleep(2)
    group = deployment.groups[0]
    member = group.members['i-02']
    deployment.announce(member, 'draining')
    acknowledged_ms = now_ms()
    late: set[str] = set()
    pool = eventlet.GreenPool()
    for number in range(REQUESTERS):
        pool.spawn_n(read, deployment, number, acknowledged_ms, late)
    pool.waitall()
    ran = [each for each in group.executed if each[2] in late]
    at_member = [each for each in ran if each[0] == member.name]
    record(f'sent later than {DRAIN_MS} ms after the ack: {len(late)}, run: {len(ran)}')
    record(f'of these run by the draining member {member.name}: {len(at_member)}')
    return bool(at_member)


def read(deployment: Deployment, number: int, acknowledged_ms: int, late: set[str]) -> None:
    """Read until the member leaves; add the ids of the requests sent after DrainMs."""
    requester = Requester(deployment, f'requester {number}', number % 3, 'b0', 'key-a1')
    count = 0
    while now_ms() < acknowledged_ms + SERVES_MS:
        count += 1
        statement_id = f'q{number}.{count}'
        if now_ms() > acknowledged_ms + DRAIN_MS:
            late.add(statement_id)
        requester.run(statement_id, 'READ item')
        eventlet.sleep(0.2)


if __name__ == '__main__':
    run_case(Path(__file__).parent, broken)
