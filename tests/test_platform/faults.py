"""Faults that are injected into a deployment from outside its processes."""

from __future__ import annotations

import signal
import time
from random import Random
from typing import TYPE_CHECKING

from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tests.test_platform.world import Deployment


def inject_faults(
    deployment: Deployment, seconds: int, faults: Mapping[str, Callable[[Deployment], None]]
) -> str:
    """Start random faults, which may overlap; wait until all have ended and return their names."""
    names: list[str] = []
    elapsed_s = 0.0
    pool = eventlet.GreenPool()
    while elapsed_s < seconds:
        name = deployment.random.choice(sorted(faults))
        names.append(name)
        pool.spawn_n(faults[name], deployment)
        delay_s = deployment.random.uniform(0.3, 2.5)
        eventlet.sleep(delay_s)
        elapsed_s += delay_s
    pool.waitall()
    return ' '.join(names)


def inject_splits(deployment: Deployment, seconds: int) -> None:
    """Split the primary of a group from its replicas, again and again.

    It is out of reach for long enough to be replaced, and then accepts work again. An instance
    may be suspended or restarted meanwhile, so that the group changes its owner.
    """
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        group = deployment.random.choice(deployment.groups)
        assert group.primary is not None
        proxy = deployment.proxies[group.primary.name]
        group.partitioned, proxy.mode = group.primary, 'stalled'
        eventlet.sleep(deployment.random.uniform(0.5, 1.5))
        for _ in range(2):
            eventlet.spawn_n(deployment.random.choice([pause_instance, kill_instance]), deployment)
        eventlet.sleep(deployment.random.uniform(0, 1))
        proxy.mode = 'forward'
        eventlet.sleep(deployment.random.uniform(0.5, 2))
        group.end_split()


def kill_instance(deployment: Deployment) -> None:
    """Kill a random instance and restart it."""
    deployment.restart(_random_instance(deployment), signal.SIGKILL)


def stop_instance(deployment: Deployment) -> None:
    """Stop a random instance gracefully and restart it."""
    deployment.restart(_random_instance(deployment), signal.SIGTERM)


def pause_instance(deployment: Deployment) -> None:
    """Suspend the process of a random instance for a while."""
    process = deployment.processes[_random_instance(deployment)]
    process.send_signal(signal.SIGSTOP)
    eventlet.sleep(deployment.random.uniform(0.3, 3))
    process.send_signal(signal.SIGCONT)


def kill_all_instances(deployment: Deployment) -> None:
    """Kill and restart all instances at once."""
    pool = eventlet.GreenPool()
    for number in list(deployment.processes):
        pool.spawn_n(deployment.restart, number, signal.SIGKILL)
    pool.waitall()


def crash_primary(deployment: Deployment) -> None:
    """Crash a primary and recover it; it either stops responding or closes its connections."""
    group = deployment.random.choice(deployment.groups)
    member = group.primary
    if member is None or any(each.condition != 'up' for each in group.members.values()):
        return
    condition = deployment.random.choice(['dark', 'down'])
    member.crash(condition)
    eventlet.sleep(deployment.random.uniform(2, 5))
    if condition == 'down':
        member.start()
    member.condition = 'up'
    deployment.announce(member)


def drain_primary(deployment: Deployment) -> None:
    """Let a primary announce that it is draining, and withdraw the announcement."""
    member = deployment.random.choice(deployment.groups).primary
    if member is None or member.condition != 'up':
        return
    deployment.announce(member, 'draining')
    eventlet.sleep(3)
    deployment.announce(member)


def lag_replicas(deployment: Deployment) -> None:
    """Delay the application of commits on the replicas of a group."""
    group = deployment.random.choice(deployment.groups)
    for member in group.members.values():
        member.lag_s = 1.0
    eventlet.sleep(2)
    for member in group.members.values():
        member.lag_s = 0.02


def lose_answers(deployment: Deployment) -> None:
    """Let a member drop responses to statements that it has executed."""
    member = deployment.random.choice(
        list(deployment.random.choice(deployment.groups).members.values())
    )
    member.lost_answer_share = 0.05
    eventlet.sleep(3)
    member.lost_answer_share = 0.0


def refuse_statements(deployment: Deployment) -> None:
    """Let the members of a group refuse some statements as BUSY."""
    members = deployment.random.choice(deployment.groups).members.values()
    for member in members:
        member.busy_share = 0.2
    eventlet.sleep(deployment.random.uniform(1, 3))
    for member in members:
        member.busy_share = 0.0


def repeat_answers(deployment: Deployment, seed: int) -> None:
    """Let the members of one group after the other send some answers twice, until the end."""
    rnd = Random(f'{seed} repeated answers')
    while not deployment.stopping:
        members = rnd.choice(deployment.groups).members.values()
        share = rnd.choice([0.02, 0.2])
        for member in members:
            member.repeated_answer_share = share
        eventlet.sleep(rnd.uniform(0.5, 3))
        for member in members:
            member.repeated_answer_share = 0.0


def change_configuration(deployment: Deployment) -> None:
    """Write some configurations that differ in routes and limits, at once or with pauses."""
    for _ in range(deployment.random.randint(1, 4)):
        deployment.extra_routes = deployment.random.randint(0, 20)
        deployment.tx_idle_ms = deployment.random.choice([1_000, 3_000])
        deployment.connection_limit = deployment.random.choice([10, 16])
        deployment.configure()
        eventlet.sleep(deployment.random.choice([0, 0.3]))


def stop_store(deployment: Deployment) -> None:
    """Let the store refuse all calls, or not respond to them."""
    deployment.store.outage = deployment.random.choice(['busy', 'silent'])
    eventlet.sleep(deployment.random.uniform(1, 4))
    deployment.store.outage = None


def slow_store(deployment: Deployment) -> None:
    """Let the store respond late and drop responses to writes."""
    deployment.store.delay_s, deployment.store.lost_answer_share = 0.2, 0.3
    eventlet.sleep(3)
    deployment.store.delay_s = deployment.store.lost_answer_share = 0.0


def drop_history(deployment: Deployment) -> None:
    """Let the store discard its change history."""
    deployment.store.truncate_history()


def lose_promotion_answers(deployment: Deployment) -> None:
    """Let promotion requests take effect without a response."""
    deployment.promotion_service.silent = True
    eventlet.sleep(3)
    deployment.promotion_service.silent = False


def impair_connections(deployment: Deployment) -> None:
    """Stall, delay or reset the connections to a member or the store."""
    proxy = deployment.random.choice([*deployment.proxies.values(), *deployment.store_proxies])
    impairment = deployment.random.choice(['stalled', 'responses_stalled', 'delay', 'reset'])
    if impairment == 'reset':
        proxy.reset()
        return
    scope = deployment.random.choice(['one', 'some'])
    proxies = (
        [proxy, *deployment.random.sample(deployment.store_proxies, 2)]
        if scope == 'some'
        else [proxy]
    )
    for each in proxies:
        each.delay_s = 0.05 if impairment == 'delay' else 0.0
        each.mode = 'forward' if impairment == 'delay' else impairment
    eventlet.sleep(deployment.random.uniform(0.5, 3))
    for each in proxies:
        each.mode, each.delay_s = 'forward', 0.0


def withdraw_key(deployment: Deployment) -> None:
    """Withdraw one of several keys of an organisation."""
    from tests.test_platform.world import now_ms

    keys = deployment.keys['big']
    if len(keys) > 1:
        key = keys.pop()
        deployment.configure()
        deployment.key_withdrawn_ms[key] = now_ms()


FAULTS: dict[str, Callable[[Deployment], None]] = {
    'kill_instance': kill_instance,
    'stop_instance': stop_instance,
    'pause_instance': pause_instance,
    'kill_all_instances': kill_all_instances,
    'crash_primary': crash_primary,
    'drain_primary': drain_primary,
    'lag_replicas': lag_replicas,
    'lose_answers': lose_answers,
    'stop_store': stop_store,
    'slow_store': slow_store,
    'drop_history': drop_history,
    'lose_promotion_answers': lose_promotion_answers,
    'impair_connections': impair_connections,
    'withdraw_key': withdraw_key,
}

#: Faults beside which statements and answers are traced.
TRACED_FAULTS: dict[str, Callable[[Deployment], None]] = {
    'kill_instance': kill_instance,
    'stop_instance': stop_instance,
    'pause_instance': pause_instance,
    'crash_primary': crash_primary,
    'lose_answers': lose_answers,
    'refuse_statements': refuse_statements,
    'change_configuration': change_configuration,
}


def _random_instance(deployment: Deployment) -> int:
    running = [number for number, each in deployment.processes.items() if each.poll() is None]
    return deployment.random.choice(running or [0])
