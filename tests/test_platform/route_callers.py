"""Callers that ask an instance for routes and keys which come and go."""

from __future__ import annotations

import itertools
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.loop import eventlet
from tests.test_platform.configuration_judge import Question
from tests.test_platform.world import Session, SessionRefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.test_platform.changed_routes import ChangedRoutes
    from tests.test_platform.world import Deployment

#: Key and database that no change affects.
KEY, DATABASE = 'kb0', 'p0'
SESSIONS = 2
#: Number of operations, and of refusals, after which a session is replaced by another.
MAX_OPERATIONS = 60
MAX_REFUSALS = 8
#: Number of dropped routes and keys that are still asked for.
DROPPED = 6


class Target(NamedTuple):
    """What a caller asks for."""

    description: str
    database: str
    key: str


def start(deployment: Deployment, changes: ChangedRoutes, seed: int) -> None:
    """Start the callers of all instances."""
    numbers = list(deployment.processes)
    for number in numbers:
        eventlet.spawn(_open_sessions, [_Asker(deployment, changes, seed, number, 'sessions')])
        for session in range(SESSIONS):
            name = f'operations {session}'
            eventlet.spawn(_begin_operations, _Asker(deployment, changes, seed, number, name))
    # The same question to all instances in turn, as callers who look for one that serves them.
    all_askers = [_Asker(deployment, changes, seed, number, 'turns') for number in numbers]
    eventlet.spawn(_open_sessions, all_askers)


class _Asker:
    """Caller of one instance, who records questions and answers."""

    def __init__(
        self, deployment: Deployment, changes: ChangedRoutes, seed: int, number: int, name: str
    ) -> None:
        self.random = Random(f'{seed} {name} {number}')
        self.deployment = deployment
        self._changes = changes
        self._number = number
        self._ids = (f'{name[0]}{number}.{each}' for each in itertools.count())
        self._lifetime = 0
        self._target = Target('', '', '')

    def pause(self, longest_s: float) -> None:
        """Wait; all callers together ask about as often whatever the number of instances."""
        scale = max(1.0, len(self.deployment.processes) / 6)
        eventlet.sleep(self.random.uniform(0.02, longest_s) * scale)

    def choose(self) -> Target:
        """Return a changing, dropped or unknown database or key."""
        changes, rnd = self._changes, self.random
        targets = [
            ('newest route and key', changes.routes[-1], changes.keys[-1]),
            ('newest route', changes.routes[-1], KEY),
            ('newest key', DATABASE, changes.keys[-1]),
            ('added route and key', rnd.choice(changes.routes), rnd.choice(changes.keys)),
            ('dropped route', rnd.choice(changes.dropped_routes[-DROPPED:]), KEY),
            ('dropped key', DATABASE, rnd.choice(changes.dropped_keys[-DROPPED:])),
            ('unknown route', 'route-0', KEY),
            ('unknown key', DATABASE, 'key-0'),
        ]
        return Target(*rnd.choice(targets))

    def open(self, target: Target) -> Session | None:
        """Ask for a session; return it if served."""
        self._target = _, database, key = target
        self._lifetime = self.deployment.processes[self._number].pid
        address = self.deployment.caller_address(self._number)
        opened: list[Session] = []

        def call() -> str:
            try:
                opened.append(Session(self.deployment, address, database, key))
            except SessionRefusedError as exc:
                return str(exc) or 'closed'
            return ''

        self._ask('new session', call)
        return opened[0] if opened else None

    def operate(self, session: Session) -> str:
        """Begin an operation; return its outcome, empty if the connection is gone."""
        if self.random.random() < 0.5:
            return self._ask('READ', lambda: session.execute(next(self._ids), 'READ x')[1])
        outcome = self._ask('BEGIN', lambda: session.execute('-b', 'BEGIN')[1])
        if outcome == 'served':
            try:
                session.execute('-r', 'ROLLBACK')
            except OSError:
                return ''
        return outcome

    def _ask(self, kind: str, call: Callable[[], str]) -> str:
        label, database, key = self._target
        sent_ms = self._changes.now_ms()
        try:
            outcome = call() or 'served'
        except OSError:
            outcome = ''
        question = Question(
            self._number,
            self._lifetime,
            f'{kind}, {label}',
            database,
            key,
            sent_ms,
            self._changes.now_ms(),
            outcome or 'no answer',
        )
        self._changes.record.questions.append(question)
        return outcome


def _open_sessions(askers: list[_Asker]) -> None:
    while not askers[0].deployment.stopping:
        askers[0].pause(0.15)
        target = askers[0].choose()
        for asker in askers:
            session = asker.open(target)
            if session is not None:
                session.close()


def _begin_operations(asker: _Asker) -> None:
    while not asker.deployment.stopping:
        asker.pause(0.5)
        session = asker.open(asker.choose())
        operations = refusals = 0
        while session is not None and not asker.deployment.stopping:
            asker.pause(0.3)
            outcome = asker.operate(session)
            operations, refusals = operations + 1, refusals + (outcome in ('NODB', 'NOAUTH'))
            if not outcome or operations > MAX_OPERATIONS or refusals > MAX_REFUSALS:
                session.close()
                session = None
