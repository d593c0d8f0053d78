"""The owner of a group is killed while its order of promotion has no answer."""

from __future__ import annotations

import asyncio
import itertools
import signal

from review.kit2.case import run
from review.kit2.deployment import BROKEN, HELD, NOT_RUN, Deployment, Session, code_of

#: Number of sessions that write.
WRITERS = 6
#: Time after which an unanswered order is carried out, in s; the pages say 2 to 12 s.
LATE_S = 5.0
#: Pause after the planned restart, and after each hand-over that works, in s.
BETWEEN_S = 4.0
#: Hand-overs that work before the one whose order comes late. With them, one call of three is late;
#: the site's share is 0.35.
HANDOVERS = 2
#: Time for which the killed process stays down, in s.
DOWN_S = 1.0


async def write(deployment: Deployment, number: int, acked: set[str]) -> None:
    """Write one item after another, and keep the ids that were acknowledged."""
    record, session = deployment.record, None
    for count in itertools.count(1):
        statement_id = f'w{number}.{count}'
        try:
            if session is None or session.state != 'I':
                host = deployment.host((number + count) % deployment.instances)
                session = await Session.open(host, 'p-kjolbase0', 'key-ruter')
            text = f'WRITE item{number} {count}'
            record.note(f'sent {statement_id} {text}')
            _, outcome = await session.query(statement_id, text, 3)
            record.note(f'answer {statement_id} {outcome}')
            if code_of(outcome) == 'DONE':
                acked.add(statement_id)
        except (OSError, TimeoutError) as exc:
            record.note(f'no answer {statement_id} {type(exc).__name__}: {exc}')
            session = None
        await asyncio.sleep(0.03)


async def restart(deployment: Deployment, machine: int) -> None:
    """Stop the process of a machine as the platform does, and start it again."""
    deployment.send_signal(machine, signal.SIGTERM)
    for _ in range(60):
        await asyncio.sleep(0.1)
        if deployment.processes[machine].poll() is not None:
            break
    else:
        deployment.send_signal(machine, signal.SIGKILL)
        deployment.processes[machine].wait()
    deployment.start_process(machine)


async def hand_over(deployment: Deployment) -> bool:
    """Evacuate the zone of the primary until another member leads, and take it back."""
    group = next(iter(deployment.groups.values()))
    former = group.primary
    if former is None:
        return False
    deployment.record.note(f'evacuation of {former.zone}, handed over')
    deployment.store.put('op', f'evacuate/{former.zone}', {})
    for _ in range(500):
        await asyncio.sleep(0.01)
        if group.primary is not former:
            break
    deployment.store.drop('op', f'evacuate/{former.zone}')
    await asyncio.sleep(BETWEEN_S)
    return group.primary is not former


async def kill(deployment: Deployment, machine: int) -> None:
    """Kill the process of a machine, and start it again."""
    deployment.send_signal(machine, signal.SIGKILL)
    deployment.processes[machine].wait()
    await asyncio.sleep(DOWN_S)
    deployment.start_process(machine)


async def owner_of_group(deployment: Deployment) -> int | None:
    """Return the machine that owns the group by its metrics, None unless it is one."""
    owned = [await deployment.metric(n, 'owned_groups') for n in range(deployment.instances)]
    deployment.record.note(f'groups owned by the machines: {owned}')
    return owned.index(1.0) if sum(owned) == 1 else None


async def ordered_since(deployment: Deployment, count: int) -> bool:
    """Wait until more orders than a number have come; return whether one did."""
    for _ in range(500):
        await asyncio.sleep(0.01)
        if len(deployment.promotions.orders) > count:
            return True
    return False


async def prepare(deployment: Deployment) -> bool:
    """Restart the owner as planned, and hand over twice; return whether that worked."""
    owner = await owner_of_group(deployment)
    if owner is None:
        return False
    await restart(deployment, owner)
    await asyncio.sleep(BETWEEN_S)
    return all([await hand_over(deployment) for _ in range(HANDOVERS)])


async def play(deployment: Deployment) -> int:
    """Restart the owner, hand over twice, and kill the owner during the third hand-over."""
    record, store, promotions = deployment.record, deployment.store, deployment.promotions
    group = deployment.groups['kjolbase0']
    group.sync_replicas = 1
    await deployment.start()
    acked: set[str] = set()
    for number in range(WRITERS):
        asyncio.ensure_future(write(deployment, number, acked))
    await asyncio.sleep(2)
    if not acked or not await prepare(deployment):
        return NOT_RUN
    owner = await owner_of_group(deployment)
    zone = group.primary.zone if group.primary else ''
    if owner is None:
        return NOT_RUN
    if deployment.trouble:
        promotions.late_s = LATE_S
        promotions.plan = ['late']
    ordered_before = len(promotions.orders)
    record.note(f'evacuation of {zone}')
    store.put('op', f'evacuate/{zone}', {})
    if not await ordered_since(deployment, ordered_before):
        return NOT_RUN
    await asyncio.sleep(0.2)
    restarting = asyncio.ensure_future(kill(deployment, owner))
    record.note(f'evacuation of {zone} taken back')
    store.drop('op', f'evacuate/{zone}')
    if deployment.trouble:
        ordered = group.members[promotions.orders[ordered_before]]
        record.note(f'{ordered.id} receives nothing for a while')
        ordered.deaf = True
        await asyncio.sleep(LATE_S + 1)
        ordered.deaf = False
    await restarting
    await asyncio.sleep(6)
    kept = set(group.committed_ids())
    lost = sorted(each for each in acked if each not in kept)
    for statement_id in lost:
        record.note(f'LOST {statement_id}, acknowledged, is not in the log of the primary')
    record.note(f'{len(acked)} writes acknowledged, {len(lost)} of them lost')
    return BROKEN if lost else HELD


if __name__ == '__main__':
    run(__file__, 3, 1, play)
