"""Processor time of the gateway's control loop: python -m bench.gateway_control.

Prints the time that one instance spends on ownership and on the choice of a member, at the
target size and at a tenth of it.
"""

from __future__ import annotations

from bench.core_routing import measure
from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.core.ownership import PeerReachability
from godwitthread.core.rate_grants import RateGranter
from godwitthread.core.scheduling.dispatch import Dispatcher
from godwitthread.core.scheduling.member_state import MemberState, WorkItem
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.gateway.logs import Log
from godwitthread.gateway.ownership_manager import ManagedGroup, OwnershipManager
from godwitthread.gateway.rate_limiter import RateLimiter

#: Pairs (instances, groups): a tenth of the target size, and the target size.
SIZES = ((57, 87), (570, 870))


class IdleRunner:
    """Stub runner of a group without statements."""

    def tick(self, owned: bool) -> None:
        """Do nothing."""

    def enable_pooling(self) -> None:
        """Do nothing."""

    def disable_pooling(self) -> None:
        """Do nothing."""

    def has_open_work(self) -> bool:
        """Return False: no work is open."""
        return False


class IdleFailover:
    """Stub failover of a group with a healthy primary."""

    def tick(self) -> None:
        """Do nothing."""

    def begin(self) -> None:
        """Do nothing."""


def ownership_manager(
    instances: int, groups: int
) -> tuple[OwnershipManager, dict[str, PeerReachability]]:
    """Return the ownership manager of one instance, and the reachability that it uses."""
    clock = Clock()
    log = Log(EventLog({'instance': 'gw-0'}, HybridLogicalClock(clock.wall_ms)), clock)
    reachability = {f'gw-{number}': PeerReachability(True) for number in range(instances)}
    limiter = RateLimiter(
        clock, lambda _: None, lambda _, __: RateGranter(0, 1, 1).grant(0, 1, 1), log
    )
    manager = OwnershipManager('gw-0', clock, lambda: reachability, limiter, log)
    for number in range(groups):
        manager.add(f'g{number}', ManagedGroup(IdleRunner(), IdleFailover()))  # type: ignore[arg-type]
    peers = [
        Peer(name, Address('10.0.0.1', 1), f'd{index % 6}', 1.0, 1)
        for index, name in enumerate(reachability)
    ]
    manager.choose_candidates(peers)
    manager.reconcile()
    return manager, reachability


def dispatcher(waiting: int) -> Dispatcher:
    """Return the dispatcher of a group with three busy members and queued work."""
    result = Dispatcher()
    for number in range(3):
        state = result.members[f'm{number}'] = MemberState(f'm{number}', 2)
        for _ in range(3):
            state.record_sent(0)
    result.primary = 'm0'
    for number in range(waiting):
        result.submit(0, WorkItem(number, False, None, 0, 400, 800))
    return result


def main() -> None:
    """Print the processor time of each operation."""
    for instances, groups in SIZES:
        manager, _ = ownership_manager(instances, groups)
        print(f'{instances} instances, {groups} groups; this one owns {len(manager.owned)}')
        measure('  housekeeping, every 50 ms', manager.tick)
        measure('  unchanged ownership', manager.reconcile)
        measure('  owner of a group', lambda manager=manager: manager.owner('group/g1'))
    for waiting in (4, 40):
        busy_dispatcher = dispatcher(waiting)
        measure(f'assign, {waiting} waiting', lambda busy=busy_dispatcher: busy.assign(1))


if __name__ == '__main__':
    main()
