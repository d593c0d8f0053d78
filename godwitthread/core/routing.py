"""Selection of the member that runs a read, and authority of the primary for writes."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from godwitthread.core import history as histories
from godwitthread.core.invariants import Promise
from godwitthread.core.reads import ReadChoice, ReadRequirements, ReadTarget
from godwitthread.core.scheduling.member_load import RETURN_GAP_MS, MemberLoad
from godwitthread.errors import ErrorKind, InvariantError, ProxyError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from godwitthread.core.failover_types import GroupReport
    from godwitthread.core.invariants import Invariants
    from godwitthread.types import MemberReport, Position, TermHistory

__all__ = ['GroupView', 'ReadChoice', 'ReadRequirements', 'ReadTarget']

#: Maximum wait for a replica that is about to qualify, or for a primary.
MAX_WAIT_MS = 50
#: Maximum amount of log, in bytes, that a replica may lack for it to be worthwhile that a read
#: waits for it; at 1 MiB/s of log it is replayed in about 50 ms.
MAX_CATCH_UP_BYTES = 65_536
#: Age up to which evidence of the primary's role always suffices for a read, even if the
#: accepted staleness is shorter. A failed primary is replaced no earlier than this.
PRIMARY_EVIDENCE_MS = 1_000

#: Number of qualifying members that are sampled at random and compared by rank; with one
#: the choice is random.
CANDIDATES = 2


class GroupView:
    """View of one instance on the members of one database group."""

    def __init__(
        self,
        now_ms: int,
        domains: dict[str, str],
        own_domain: str,
        invariants: Invariants,
        rng: Random,
        *,
        candidates: int = CANDIDATES,
    ) -> None:
        self._candidates = candidates
        self._started_ms = now_ms
        self._domains = dict(domains)
        self._own_domain = own_domain
        self._invariants = invariants
        self._rng = rng
        self._reports: dict[str, MemberReport] = {}
        self._loads: dict[str, MemberLoad] = {name: MemberLoad(None) for name in domains}
        self._primary: tuple[int, str] | None = None
        self._primary_seen_ms = now_ms
        self._authority_after_ms: int | None = None
        #: Newest known term history.
        self.history: TermHistory = ()
        #: Newest known term; may be ahead of the history.
        self.term = 0

    def configure(self, now_ms: int, domains: dict[str, str]) -> None:
        """Replace the members, given as a mapping of names to failure domains."""
        for name in self._domains.keys() - domains.keys():
            self._reports.pop(name, None)
            self._loads.pop(name, None)
        for name in domains.keys() - self._domains.keys():
            self._loads[name] = MemberLoad(now_ms)
        self._domains = dict(domains)

    def observe(self, now_ms: int, report: MemberReport) -> bool:
        """Process the status of a member; return whether it revealed a newer primary."""
        known = self._reports.get(report.member)
        if report.member not in self._domains:
            return False
        if known is not None and known.requested_ms > report.requested_ms:
            return False
        last_report_ms = self._started_ms if known is None else known.requested_ms
        if report.requested_ms - last_report_ms > RETURN_GAP_MS:
            self._loads[report.member].note_returned(now_ms)
        self._reports[report.member] = report
        self._merge_history(report.history)
        if report.role != 'primary':
            return False
        term = max(report.position.term, histories.newest_term(report.history))
        return self._note_primary(term, report.member, report.requested_ms)

    def adopt(self, now_ms: int, report: GroupReport) -> bool:
        """Process an announced primary; return whether it is newer than the known one."""
        self._merge_history(report.history)
        # The time of sending is unknown, so the report is no fresh evidence of the role.
        return self._note_primary(report.term, report.primary, self._primary_seen_ms)

    def primary(self, now_ms: int) -> str | None:
        """Return the primary of the newest term, None while none can accept writes."""
        if self._primary is None or self._primary[0] < self.term:
            return None
        term, member = self._primary
        if member not in self._domains:
            return None
        report = self._reports.get(member)
        if report is not None and report.promised.term > term:
            return None
        return member

    def choose_read(
        self, now_ms: int, required: ReadRequirements, usable: Callable[[str], bool]
    ) -> ReadChoice:
        """Choose a replica or the primary for a read, or a wait before the next choice."""
        if self._is_lost(required):
            with contextlib.suppress(InvariantError):
                self._invariants.check(
                    Promise.READ_YOUR_WRITES,
                    False,
                    f'{required.min_position} is not on the history {self.history}',
                )
            return self._choose_primary(now_ms, required, usable)._replace(lost=True)
        if required.max_age_ms is None:
            return self._choose_primary(now_ms, required, usable)
        qualified = [
            name for name in self._replicas(usable) if self._qualifies(now_ms, name, required)
        ]
        if not qualified:
            return self._wait(now_ms, required, usable) or self._choose_primary(
                now_ms, required, usable
            )
        name = self._select(now_ms, qualified)
        choice = ReadChoice(
            ReadTarget.MEMBER,
            name,
            self.term,
            position=self._reports[name].position,
            send_until_ms=self._fresh_until_ms(name, required),
        )
        self.check_read(now_ms, choice, required)
        return choice

    def check_read(self, sent_ms: int, choice: ReadChoice, required: ReadRequirements) -> None:
        """Check position and staleness of a read sent at `sent_ms`; raise InvariantError.

        To be called when the statement is sent and again before its answer is forwarded.
        """
        if choice.lost or choice.target is ReadTarget.WAIT:
            return
        self._invariants.check(
            Promise.READ_YOUR_WRITES,
            required.min_position is None or self._contains(choice, required.min_position),
            f'{choice.member} has not reached {required.min_position}',
        )
        if choice.send_until_ms is not None:
            self._invariants.check(
                Promise.ACCEPTED_AGE,
                sent_ms <= choice.send_until_ms,
                f'{choice.member} {sent_ms - choice.send_until_ms} ms over the accepted age',
            )

    def check_answer(self, term: int) -> None:
        """Raise ProxyError(OLD_PRIMARY) unless a write answered in `term` may be acknowledged."""
        if self.needs_probe:
            raise ProxyError(
                ErrorKind.OLD_PRIMARY,
                'authority of the primary not confirmed since the process was paused',
            )
        self.term = max(self.term, term)
        if term < self.term:
            raise ProxyError(
                ErrorKind.OLD_PRIMARY,
                f'write answered in term {term}, but the newest term is {self.term}',
            )

    def assert_authority(self, term: int) -> None:
        """Check NO_OLD_PRIMARY_ACK at the moment a write is acknowledged."""
        self._invariants.check(
            Promise.NO_OLD_PRIMARY_ACK,
            term >= self.term and not self.needs_probe,
            f'write acknowledged in term {term}, but the newest term is {self.term}',
        )

    @property
    def needs_probe(self) -> bool:
        """Return whether a status request begun since the last pause must confirm the primary."""
        return self._authority_after_ms is not None

    def summary(self, now_ms: int) -> dict[str, dict[str, object]]:
        """Return the known status of every member, for operators."""
        return {
            name: {
                'role': report.role,
                'term': report.position.term,
                'offset': report.position.offset,
                'lag_ms': report.lag_ms,
                'seen_ms_ago': now_ms - report.requested_ms,
            }
            for name, report in self._reports.items()
        }

    def note_pause(self, now_ms: int) -> None:
        """Revoke the authority of the primary until a status request begun from now on succeeds."""
        self._authority_after_ms = now_ms

    def note_success(self, now_ms: int, member: str, latency_ms: float = 0.0) -> None:
        """Record an answered statement and its latency in ms."""
        if member in self._loads:
            self._loads[member].note_success(latency_ms)

    def note_error(self, now_ms: int, member: str) -> None:
        """Record a failed statement or connection."""
        if member in self._loads:
            self._loads[member].note_error(now_ms)

    def note_returned(self, now_ms: int, member: str) -> None:
        """Begin the slow start of a member whose failure domain is back in service."""
        if member in self._loads:
            self._loads[member].note_returned(now_ms)

    def statement_started(self, member: str) -> None:
        """Count a statement that has started on a member."""
        if member in self._loads:
            self._loads[member].running += 1

    def statement_finished(self, member: str) -> None:
        """Count a statement that has finished on a member."""
        if member in self._loads:
            self._loads[member].running -= 1

    def _merge_history(self, history: TermHistory) -> None:
        self.history = histories.newer_history(self.history, history)
        self.term = max(self.term, histories.newest_term(history))

    def _note_primary(self, term: int, member: str, seen_ms: int) -> bool:
        self.term = max(self.term, term)
        if term < self.term:
            return False
        is_newer = self._primary is None or term > self._primary[0]
        self._primary = (term, member)
        self._primary_seen_ms = max(self._primary_seen_ms, seen_ms)
        if self._authority_after_ms is not None and seen_ms >= self._authority_after_ms:
            self._authority_after_ms = None
        return is_newer

    def _is_lost(self, required: ReadRequirements) -> bool:
        if required.min_position is None or required.min_position.term > histories.newest_term(
            self.history
        ):
            return False
        return not histories.is_on_history(self.history, required.min_position)

    def _replicas(self, usable: Callable[[str], bool]) -> list[str]:
        primary = self._primary[1] if self._primary is not None else None
        return [
            name
            for name, report in self._reports.items()
            if name != primary and report.role == 'replica' and usable(name)
        ]

    def _qualifies(self, now_ms: int, name: str, required: ReadRequirements) -> bool:
        position = self._reports[name].position
        if not histories.is_on_history(self.history, position):
            return False
        if required.min_position is not None and not histories.covers(
            self.history, position, required.min_position
        ):
            return False
        return now_ms <= self._fresh_until_ms(name, required)

    def _fresh_until_ms(self, name: str, required: ReadRequirements) -> int:
        report = self._reports[name]
        return report.requested_ms - report.lag_ms + (required.max_age_ms or 0)

    def _select(self, now_ms: int, qualified: list[str]) -> str:
        admitted = [
            name for name in qualified if self._rng.random() < self._loads[name].weight(now_ms)
        ]
        eligible = admitted or qualified
        sample = self._rng.sample(eligible, min(self._candidates, len(eligible)))
        return min(sample, key=lambda name: self._rank(now_ms, name))

    def _rank(self, now_ms: int, name: str) -> tuple[bool, bool, int, float]:
        local = self._domains[name] == self._own_domain
        return self._loads[name].rank(now_ms, local)

    def _wait(
        self, now_ms: int, required: ReadRequirements, usable: Callable[[str], bool]
    ) -> ReadChoice | None:
        wait_ms = min(MAX_WAIT_MS, (required.deadline_ms - now_ms) // 10)
        if required.waited or wait_ms <= 0:
            return None
        near = [name for name in self._replicas(usable) if self._nearly_qualifies(name, required)]
        if not near:
            return None
        most_advanced = max(near, key=lambda name: self._reports[name].position.offset)
        return ReadChoice(ReadTarget.WAIT, most_advanced, self.term, wait_ms=wait_ms)

    def _nearly_qualifies(self, name: str, required: ReadRequirements) -> bool:
        report = self._reports[name]
        if not histories.is_on_history(self.history, report.position):
            return False
        if report.lag_ms > (required.max_age_ms or 0):
            return False
        return (
            required.min_position is None
            or required.min_position.offset - report.position.offset <= MAX_CATCH_UP_BYTES
        )

    def _choose_primary(
        self, now_ms: int, required: ReadRequirements, usable: Callable[[str], bool]
    ) -> ReadChoice:
        name = self.primary(now_ms)
        term_unknown = required.min_position is not None and required.min_position.term > self.term
        send_until_ms = None
        if required.max_age_ms is not None:
            send_until_ms = self._primary_seen_ms + max(required.max_age_ms, PRIMARY_EVIDENCE_MS)
        is_stale = send_until_ms is not None and now_ms > send_until_ms
        if name is None or term_unknown or is_stale or not usable(name):
            wait_ms = max(0, min(MAX_WAIT_MS, required.deadline_ms - now_ms))
            return ReadChoice(ReadTarget.WAIT, name, self.term, wait_ms=wait_ms)
        choice = ReadChoice(ReadTarget.PRIMARY, name, self.term, send_until_ms=send_until_ms)
        if not self._is_lost(required):
            self.check_read(now_ms, choice, required)
        return choice

    def _contains(self, choice: ReadChoice, min_position: Position) -> bool:
        if choice.position is None:
            return min_position.term <= choice.term
        # The member may have followed an older term when the read ran; the read is valid if
        # the log prefix shared with the newest history contains the write.
        common_prefix = histories.last_common_position(self.history, choice.position)
        return common_prefix is not None and common_prefix.offset >= min_position.offset
