"""An order of promotion without an answer, then one that is turned away."""

from __future__ import annotations

import asyncio
import itertools

from review.kit2.case import run
from review.kit2.deployment import BROKEN, HELD, NOT_RUN, Deployment, Session, code_of

#: Number of sessions that write.
WRITERS = 6
#: Time after which the unanswered order is carried out, in s; the pages say seconds.
LATE_S = 3.0
#: Time for which the evacuation stays after the platform has turned an order away, in s.
BACK_S = 0.5


async def write(deployment: Deployment, number: int, acked: dict[str, float]) -> None:
    """Write one item after another, and keep the ids that were acknowledged."""
    record, session = deployment.record, None
    for count in itertools.count(1):
        statement_id = f'w{number}.{count}'
        try:
            if session is None or session.state != 'I':
                host = deployment.host(number % deployment.instances)
                session = await Session.open(host, 'p-kjolbase0', 'key-ruter')
            text = f'WRITE item{number} {count}'
            record.note(f'sent {statement_id} {text}')
            _, outcome = await session.query(statement_id, text, 3)
            record.note(f'answer {statement_id} {outcome}')
            if code_of(outcome) == 'DONE':
                acked[statement_id] = asyncio.get_running_loop().time()
        except (OSError, TimeoutError) as exc:
            record.note(f'no answer {statement_id} {type(exc).__name__}: {exc}')
            session = None
        await asyncio.sleep(0.03)


async def play(deployment: Deployment) -> int:
    """Evacuate the zone of the primary while the platform fails, then take it back."""
    record, store = deployment.record, deployment.store
    group = deployment.groups['kjolbase0']
    group.sync_replicas = 1
    await deployment.start()
    acked: dict[str, float] = {}
    writers = [asyncio.ensure_future(write(deployment, n, acked)) for n in range(WRITERS)]
    await asyncio.sleep(3)
    if len(acked) < WRITERS:
        return NOT_RUN
    zone = group.primary.zone if group.primary else ''
    promotions = deployment.promotions
    if deployment.trouble:
        promotions.late_s = LATE_S
        promotions.plan = ['late', 'busy']
    record.note(f'evacuation of {zone}')
    store.put('op', f'evacuate/{zone}', {})
    for _ in range(500):
        await asyncio.sleep(0.01)
        if len(promotions.orders) > int(deployment.trouble):
            break
    else:
        return NOT_RUN
    await asyncio.sleep(BACK_S)
    record.note(f'evacuation of {zone} taken back')
    store.drop('op', f'evacuate/{zone}')
    if deployment.trouble:
        ordered = group.members[promotions.orders[0]]
        record.note(f'{ordered.id} receives nothing for a while')
        ordered.deaf = True
        await asyncio.sleep(LATE_S + 1)
        ordered.deaf = False
    await asyncio.sleep(6)
    for writer in writers:
        writer.cancel()
    await asyncio.sleep(1)
    kept = set(group.committed_ids())
    lost = [each for each in acked if each not in kept]
    for statement_id in lost:
        record.note(f'LOST {statement_id}, acknowledged, is not in the log of the primary')
    record.note(f'{len(acked)} writes acknowledged, {len(lost)} of them lost')
    return BROKEN if lost else HELD


if __name__ == '__main__':
    run(__file__, 3, 1, play)
