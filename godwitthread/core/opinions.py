"""Opinions of the observers of a database, and their majority decision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from godwitthread.core.failover_types import Opinion

#: Observers whose last opinion is older than this are not counted for the majority.
OBSERVER_TIMEOUT_MS = 3_000
#: Validity of an opinion, in probe intervals.
OPINION_VALID_INTERVALS = 3


class _ReceivedOpinion(NamedTuple):
    sequence: int
    term: int
    suspects: bool
    received_ms: int


class Opinions:
    """Store the newest opinion of every assigned observer."""

    def __init__(self, own_id: str, interval_ms: int) -> None:
        self._own_id = own_id
        self._valid_ms = OPINION_VALID_INTERVALS * interval_ms
        self._received: dict[str, _ReceivedOpinion] = {}
        #: Assigned observers in order of rank.
        self.observers: tuple[str, ...] = ()

    def assign(self, now_ms: int, observers: tuple[str, ...]) -> None:
        """Replace the assigned observers; the time-out of new observers starts now.

        This observer has the lowest rank while it is not among them.
        """
        self.observers = observers if self._own_id in observers else (*observers, self._own_id)
        self._received = {
            name: self._received.get(name, _ReceivedOpinion(-1, 0, False, now_ms))
            for name in self.others()
        }

    def others(self) -> tuple[str, ...]:
        """Return the assigned observers without this one."""
        return tuple(name for name in self.observers if name != self._own_id)

    def receive(self, now_ms: int, opinion: Opinion) -> bool:
        """Store an opinion; return False if it is outdated or its observer is not assigned."""
        known = self._received.get(opinion.observer)
        if known is None or opinion.sequence <= known.sequence:
            return False
        self._received[opinion.observer] = _ReceivedOpinion(
            opinion.sequence, opinion.term, opinion.suspects, now_ms
        )
        return True

    def reset_suspicions(self, now_ms: int) -> None:
        """Discard all suspicions and restart the observer time-outs after a pause."""
        self._received = {
            name: received._replace(suspects=False, received_ms=now_ms)
            for name, received in self._received.items()
        }

    def suspecting_observers(self, now_ms: int, term: int) -> list[str]:
        """Return this observer and the others that suspect the primary of a term, by rank."""
        suspecting = {
            name
            for name, received in self._received.items()
            if received.suspects
            and received.term == term
            and now_ms - received.received_ms <= self._valid_ms
        }
        return [name for name in self.observers if name == self._own_id or name in suspecting]

    def majority_suspects(self, now_ms: int, term: int) -> bool:
        """Return whether a majority of the active observers suspects the primary."""
        return (
            len(self.suspecting_observers(now_ms, term))
            >= len(self._active_observers(now_ms)) // 2 + 1
        )

    def rank(self, now_ms: int) -> int:
        """Return the rank of this observer among the active ones."""
        return self._active_observers(now_ms).index(self._own_id)

    def _active_observers(self, now_ms: int) -> list[str]:
        return [
            name
            for name in self.observers
            if name == self._own_id
            or now_ms - self._received[name].received_ms < OBSERVER_TIMEOUT_MS
        ]
