"""A store that comes back from older copies while everything else goes on."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from godwitthread.loop import eventlet
from tests.test_platform.faults import crash_primary, drop_history, withdraw_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.test_platform.world import Deployment

#: Maximum age of the copy that the store comes back from, in ms.
MAX_AGE_MS = 5_000


class RestoredStore:
    """Restores of the store, in series and beside other faults."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = Random(f'{seed} restored store')

    def faults(self) -> tuple[Callable[[], None], ...]:
        """Return the functions that each inject one fault."""
        return (
            self._restore,
            self._restore,
            self._restore_twice,
            self._change_around_a_restore,
            self._crash_primary,
            self._withdraw_key,
            self._drop_history,
        )

    def check(self) -> None:
        """Record a violation for each token that was used after a higher one."""
        newest: dict[str, int] = {}
        for group, _, holder, token, accepted in self._deployment.promotion_service.orders:
            if accepted and token <= newest.get(group, 0):
                self._deployment.violations.append(f'token {token} of {holder} for {group}')
            newest[group] = max(token, newest.get(group, 0))

    def _restore(self) -> None:
        store, rnd = self._deployment.store, self._random
        store.outage = rnd.choice([None, 'busy', 'silent'])
        eventlet.sleep(rnd.uniform(0, 1.5))
        store.restore(rnd.randint(100, MAX_AGE_MS))
        store.outage = None
        eventlet.sleep(rnd.uniform(0, 3))
        store.write_again()

    def _restore_twice(self) -> None:
        self._restore()
        eventlet.sleep(self._random.uniform(0, 1))
        self._restore()

    def _change_around_a_restore(self) -> None:
        store, rnd = self._deployment.store, self._random
        for _ in range(2):
            self._deployment.configure()
            eventlet.sleep(rnd.uniform(0, 0.3))
        store.restore(rnd.randint(100, 1_000))
        if rnd.random() < 0.5:
            store.write_again()
            self._deployment.configure()
        eventlet.sleep(rnd.uniform(0, 2))
        store.write_again()

    def _crash_primary(self) -> None:
        crash_primary(self._deployment)

    def _withdraw_key(self) -> None:
        withdraw_key(self._deployment)

    def _drop_history(self) -> None:
        drop_history(self._deployment)
