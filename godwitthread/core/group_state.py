"""Newest term of a database group that one observer knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core import history as histories

if TYPE_CHECKING:
    from godwitthread.types import MemberReport, TermHistory

#: Maximum replication lag of a replica that counts as caught up for a planned handover.
CAUGHT_UP_LAG_MS = 500
#: Maximum age of the report of a candidate for a planned handover.
REPORT_AGE_MAX_MS = 1_500


class GroupState:
    """Store the newest term, its primary and its history; the term never decreases."""

    def __init__(self, now_ms: int) -> None:
        self.term = 0
        #: Primary of the newest term, None while unknown.
        self.primary: str | None = None
        self.history: TermHistory = ()
        #: Time at which the newest term was adopted; reports requested earlier are outdated.
        self.since_ms = now_ms

    def adopt_term(self, now_ms: int, term: int, history: TermHistory, primary: str | None) -> None:
        """Adopt a term, which is not older than the known one."""
        self.term, self.primary, self.since_ms = term, primary, now_ms
        self.history = histories.newer_history(self.history, history)

    def is_new_primary(self, report: MemberReport) -> bool:
        """Return whether a report shows a primary that is not known yet."""
        term = followed_term(report)
        if report.role != 'primary' or term < self.term:
            return False
        return term > self.term or self.primary is None

    def must_be_redirected(self, report: MemberReport) -> bool:
        """Return whether a member does not follow the primary and must be told to."""
        if self.primary is None or report.member == self.primary:
            return False
        if report.requested_ms < self.since_ms or report.promised.term > self.term:
            return False
        if report.role == 'primary' or followed_term(report) < self.term:
            return True
        return not histories.is_on_history(self.history, report.position)

    def is_deposed(self, report: MemberReport | None) -> bool:
        """Return whether the primary's report shows that it cannot accept writes."""
        if report is None or report.requested_ms < self.since_ms:
            return False
        return report.role != 'primary' or report.promised.term > self.term

    def is_caught_up(self, now_ms: int, report: MemberReport | None) -> bool:
        """Return whether a replica is recent enough to replace a working primary."""
        if report is None or report.member == self.primary:
            return False
        return (
            now_ms - report.requested_ms <= REPORT_AGE_MAX_MS
            and report.lag_ms <= CAUGHT_UP_LAG_MS
            and report.promised.term <= self.term
            and followed_term(report) == self.term
            and not self.must_be_redirected(report)
        )


def followed_term(report: MemberReport) -> int:
    """Return the newest term in which a member is the primary or a follower."""
    return max(report.position.term, histories.newest_term(report.history))
