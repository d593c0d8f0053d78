"""Open sessions of an instance."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from godwitthread.core.caller_limits import CallerLimits
from godwitthread.core.shutdown import Phase
from godwitthread.core.statements import failure
from godwitthread.errors import ErrorKind
from godwitthread.gateway.session import CLOSING_MESSAGE, RECONNECT_DELAY_MS, Session
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Configuration, Organisation, Route
    from godwitthread.core.statements import Result, RunRequest
    from godwitthread.gateway.caller_guard import CallerGuard
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.refusal_reports import RefusalReports

    #: Runs a statement at the owner of a group. Takes the request and the instance that holds the
    #: open transaction, and returns the result and the instance that ran the statement.
    Runner = Callable[[RunRequest, str | None], tuple[Result, str | None]]

#: Organisation name sent to backend servers for callers of an open route without a key.
ANONYMOUS = '-'

#: Time limit for sending the final answers, in ms; a caller that does not read delays the exit.
FINAL_ANSWER_TIMEOUT_MS = 100
#: Time that a new session waits for the configuration of an instance that has just started, in ms.
#: It arrives a few calls to the store after the start; a refused caller would come back later.
CONFIGURATION_WAIT_MS = 500
#: Message to a caller that may have been added since, and the delay after which it may return, in
#: ms: the evidence is renewed each second.
STALE_MESSAGE = 'not known here, and the configuration may be out of date'
EVIDENCE_RETRY_MS = 1_000
#: Errors after which a caller does not return.
FINAL_ERRORS = (ErrorKind.ROUTE_UNKNOWN.value, ErrorKind.KEY_INVALID.value)
#: Interval of the check for the configuration, in ms.
CONFIGURATION_CHECK_MS = 20


class Sessions:
    """Open caller sessions, and end them when the process stops."""

    def __init__(
        self,
        clock: Clock,
        configuration: Callable[[], Configuration | None],
        runner: Runner,
        log: Log,
        observe: Callable[[str, str, int], None],
        guard: CallerGuard | None = None,
        reports: RefusalReports | None = None,
        is_refusal_final: Callable[[], bool] = lambda: True,
        not_adopted: Callable[[], Configuration | None] = lambda: None,
    ) -> None:
        self.clock = clock
        self.log = log
        #: Called with database, outcome and duration in ms of each statement.
        self.observe = observe
        self.run = runner
        #: Phase that determines which sessions end and which statements may start.
        self.phase = Phase.SERVING
        self._guard = guard
        self._reports = reports
        #: Returns whether the configuration is known to have what a caller that arrives now must
        #: find in force; may wait for the answer to a call, and renew the configuration meanwhile.
        self._is_refusal_final = is_refusal_final
        #: Returns the configuration in the store if one from before a restore holds in its place.
        self._not_adopted = not_adopted
        self.limits = guard.limits if guard else CallerLimits()
        self._configuration = configuration
        self._numbers = itertools.count(1)
        self._open: dict[int, Session] = {}

    def __len__(self) -> int:
        return len(self._open)

    def open(self, database: str, key: str) -> tuple[Session | None, Result | None]:
        """Return a new session, or the reason for its refusal."""
        self._wait_for_configuration()
        _, _, refusal = self._resolve_by_evidence(database, key)
        # Another instance may serve the caller, or know it.
        moves = refusal is None or refusal.error == ErrorKind.STALE_CONFIGURATION.value
        if moves and self.phase >= Phase.DRAINING:
            refusal = failure(ErrorKind.SHUTTING_DOWN, CLOSING_MESSAGE, RECONNECT_DELAY_MS)
        if refusal is not None:
            if self._reports:
                self._reports.session_refused(database, refusal)
            return None, refusal
        session = Session(self, next(self._numbers), database, key)
        self._open[session.number] = session
        return session, None

    def start_operation(self, database: str, key: str) -> tuple[Route | None, str, Result | None]:
        """Return route and organisation of a new operation, or the reason for a refusal."""
        route, organisation, refusal = self._resolve_by_evidence(database, key)
        if refusal is not None and self._reports:
            self._reports.operation_refused(database, refusal)
        return route, organisation, refusal

    def resolve(self, database: str, key: str) -> tuple[Route | None, str, Result | None]:
        """Return the current route and organisation, or the reason for a refusal."""
        return _resolve(self._configuration(), database, key)

    def _resolve_by_evidence(
        self, database: str, key: str
    ) -> tuple[Route | None, str, Result | None]:
        """Resolve a caller; refuse it for good only by a configuration that is known to be current.

        Otherwise routes and keys would be refused that were added while no answer of the store
        arrived, or since a restore, by a configuration that does not hold yet.
        """
        found = self.resolve(database, key)
        if not _is_final(found[2]):
            return found
        known = self._is_refusal_final()
        found = self.resolve(database, key)
        if not _is_final(found[2]):
            return found
        awaited = self._not_adopted()
        if known and (awaited is None or _is_final(_resolve(awaited, database, key)[2])):
            return found
        return None, '', failure(ErrorKind.STALE_CONFIGURATION, STALE_MESSAGE, EVIDENCE_RETRY_MS)

    def _wait_for_configuration(self) -> None:
        end_ms = self.clock.now_ms() + CONFIGURATION_WAIT_MS
        while self._configuration() is None and self.clock.now_ms() < end_ms:
            eventlet.sleep(CONFIGURATION_CHECK_MS / 1000)

    def is_withdrawn(self, key: str, organisation: str) -> bool:
        """Return whether a key no longer belongs to the organisation that it was resolved to."""
        cfg = self._configuration()
        if cfg is None or organisation == ANONYMOUS:
            return False
        current = cfg.keys.get(key)
        return current is None or current.name != organisation

    def note_limit(self, limit: str) -> None:
        """Count that a session reached a limit."""
        if self._guard is not None:
            self._guard.note(limit)

    def end_withdrawn(self) -> None:
        """End idle transactions of withdrawn keys; others end at their next statement."""
        for session in list(self._open.values()):
            session.end_if_withdrawn()

    def forget(self, session: Session) -> None:
        """Remove a session that has ended."""
        self._open.pop(session.number, None)

    def enter(self, phase: Phase) -> None:
        """Enter a phase, and close the connections of the sessions that end in it."""
        self.phase = phase
        if phase >= Phase.DRAINING:
            for session in list(self._open.values()):
                session.close_if_ending()

    def answer_running(self) -> None:
        """Send a final answer to the callers of running statements, before the process ends."""
        pool = eventlet.GreenPool()
        for session in list(self._open.values()):
            if session.running:
                pool.spawn_n(session.answer_running)
        with eventlet.Timeout(FINAL_ANSWER_TIMEOUT_MS / 1000, False):
            pool.waitall()

    def busy(self) -> int:
        """Return the number of sessions with unfinished work: see `Session.busy`."""
        return sum(session.busy for session in self._open.values())

    def unanswered(self) -> int:
        """Return the number of sessions with an unanswered statement."""
        return sum(session.running for session in self._open.values())


def _is_final(refusal: Result | None) -> bool:
    return refusal is not None and refusal.error in FINAL_ERRORS


def _resolve(
    cfg: Configuration | None, database: str, key: str
) -> tuple[Route | None, str, Result | None]:
    if cfg is None:
        return None, '', failure(ErrorKind.OVERLOADED, 'no configuration available yet', 500)
    route = cfg.routes.get(database)
    if route is None:
        return None, '', failure(ErrorKind.ROUTE_UNKNOWN, 'unknown database')
    organisation: Organisation | None = cfg.keys.get(key)
    if organisation is not None:
        return route, organisation.name, None
    if route.open:
        return route, ANONYMOUS, None
    return None, '', failure(ErrorKind.KEY_INVALID, 'unknown key')
