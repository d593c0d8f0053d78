"""Status of an instance for operators, with current problems first."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from godwitthread.instance.server import Instance


def status_of(instance: Instance) -> Any:
    """Return the status as a JSON object."""
    state = instance.state
    now_ms = state.now_ms()
    return {
        'wrong': _problems(instance),
        'instance': state.seat.name,
        'incarnation': state.seat.incarnation,
        'failure_domain': state.seat.failure_domain,
        'ready': state.is_ready(),
        'fresh': state.is_fresh(),
        'leaving': state.leaving,
        'version': state.freshness.version,
        'settled_version': state.freshness.settled_version,
        'instances': instance.peer_status_collector.collect(),
        'in_flight': state.in_flight,
        'transactions': len(instance.transactions),
        'groups': {
            database: {
                'term': view.term,
                'primary': view.primary(now_ms),
                'members': view.summary(now_ms),
            }
            for database, view in state.views.items()
        },
        'invariants': {
            'checks': {promise.value: n for promise, n in state.invariants.checks.items()},
            'violations': {promise.value: n for promise, n in state.invariants.violations.items()},
        },
    }


def _problems(instance: Instance) -> list[str]:
    state = instance.state
    found: list[str] = []
    if state.directory is None:
        found.append('no manifest is in force')
    elif not state.is_fresh():
        found.append('no evidence that the configuration is current')
    if state.own_domain_out():
        found.append(f'the own failure domain {state.seat.failure_domain} is out of service')
    now_ms = state.now_ms()
    found.extend(
        f'{database} has no known primary'
        for database, view in state.views.items()
        if view.primary(now_ms) is None
    )
    found.extend(
        f'promise {promise.value} violated {count} times'
        for promise, count in state.invariants.violations.items()
    )
    return found
