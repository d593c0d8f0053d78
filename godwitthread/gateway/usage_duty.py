"""Usage duty: one holder at a time reports the usage of each window, under fencing tokens."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core import usage_windows
from godwitthread.core.store_version import counter_of
from godwitthread.core.usage_windows import MAX_NUMBER
from godwitthread.errors import ProxyError
from godwitthread.gateway.ports import ConditionFailedError, UsageReport, UsageResult
from godwitthread.gateway.promotion_duty import (
    DUTY_TABLE,
    MAX_TOKEN,
    TOKEN_BATCH,
    hidden_token,
    lowest_token,
)

if TYPE_CHECKING:
    from godwitthread.clock import Clock
    from godwitthread.core.usage_windows import UsageTerms
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports, UsagePort

#: Row that names the holder of the duty.
USAGE_ROW = 'usage'
#: Services that can fail.
STORE = 'store'
PLATFORM = 'platform'
#: Time in ms for which the duty does not return to a former holder, where the settings give none.
DEFAULT_LEASE_MS = 3_000
#: Share of that time for which a holder may send after a write of the row. A successor waits for
#: all of it, so that the rest covers reports that are carried out late.
SEND_SHARE = 1 / 3
#: Delay after a failed call to the store or the platform, in ms, and its maximum. It doubles with
#: each failure of the platform.
RETRY_MS = 250
MAX_RETRY_MS = 2_000
STORE_RETRY_MS = 1_000
#: Time for which calls to the store, or to the platform, must have failed until the next instance
#: in the ranking tries, in ms, and the time for which it may, which doubles each time up to a
#: maximum.
FAILURE_MS = 2_000
STUCK_MS = 10_000
MAX_STUCK_MS = 300_000
#: Time limit of a report, in ms, and its maximum. It doubles with each attempt, in case the
#: platform is slow.
POST_TIMEOUT_MS = 1_000
MAX_POST_TIMEOUT_MS = 4_000


class UsageRow(NamedTuple):
    """Stored row of the duty: its holder, and the window whose counts were fixed last."""

    #: Name of the holder; empty after it gave the duty up.
    name: str
    incarnation: int
    #: Fencing token of the holder.
    token: int
    #: Newest window with fixed counts, -1 without any. A successor repeats exactly these.
    window: int = -1
    counts: dict[str, int] = {}


class Standing(Enum):
    """Position of this instance in the ranking of the duty."""

    FIRST = 'first'
    #: Another instance is first; this one receives the counts as well, or not.
    NEXT = 'next'
    LOWER = 'lower'
    LEAVING = 'leaving'
    #: Without a majority, nobody is known to be first.
    UNKNOWN = 'unknown'


class SeenRow(NamedTuple):
    """Row of the duty as this instance read it."""

    row: UsageRow | None
    #: Version of the row, 0 without one, and of the store.
    revision: int
    store_revision: int
    read_ms: int


class Usage(NamedTuple):
    """What the duty needs to know of the counts."""

    #: Return the true time, None while it is unknown.
    true_ms: Callable[[], int | None]
    #: Return whether the counts of a window are complete, and its counts.
    is_complete: Callable[[int], bool]
    counts: Callable[[int], dict[str, int]]
    #: Return the oldest window with counts, None without any.
    oldest: Callable[[], int | None]


_rows = msgspec.json.Decoder(UsageRow)


class UsageDuty:
    """Take the duty when this instance is first in its ranking, and report windows as the holder.

    `step` may wait for the store and the platform.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: Clock,
        ports: Ports,
        port: UsagePort,
        log: Log,
        usage: Usage,
        other_holds: Callable[[], bool],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._ports = ports
        self._port = port
        self._log = log
        self._usage = usage
        #: Returns whether another instance that is reachable and not leaving holds the duty.
        self._other_holds = other_holds
        self._lease_ms = ports.lease_ms or DEFAULT_LEASE_MS
        self._started_ms = clock.now_ms()
        #: Numbers of windows reported, reported late, and given up.
        self.reported = self.late = self.given_up = 0
        #: Newest window that is fixed in the row, -1 without any.
        self.fixed = -1
        #: Newest window that needs no more counts, since a holder reported it or gave it up.
        self.closed = -1
        self._row: UsageRow | None = None
        self._revision = 0
        #: End of the time in which this holder may send.
        self._send_until_ms = 0
        self._lost_ms: int | None = None
        self._lower_since_ms: int | None = None
        self._seen: SeenRow | None = None
        #: Whether the fixed window is not known to be reported.
        self._open = False
        self._after = -1
        self._attempts = 0
        #: Time at which a report without an answer was sent last, in ms.
        self._unanswered_ms: int | None = None
        self._next_ms = 0
        #: Whether the platform refused the last token.
        self._refused = False
        #: Time of the first of successive failures of the store and of the platform.
        self._failing_since_ms: dict[str, int] = {}
        self._stepping = False
        self._stuck_until_ms = 0
        self._stuck_ms = STUCK_MS

    @property
    def held(self) -> bool:
        """Return whether this process holds the duty, to its own knowledge."""
        return self._row is not None

    @property
    def token(self) -> int:
        """Return the fencing token, 0 if this process does not hold the duty."""
        return self._row.token if self._row else 0

    @property
    def stuck(self) -> bool:
        """Return whether the next instance should try, as the store or the platform fails here."""
        return self._clock.now_ms() < self._stuck_until_ms

    @property
    def _terms(self) -> UsageTerms:
        return self._port.terms

    def close(self, window: int) -> None:
        """Record that a window and those before it were reported or given up."""
        self.closed = max(self.closed, window)

    def step(self, standing: Standing) -> None:
        """Do what is due now, unless an earlier step still waits for an answer."""
        if self._stepping:
            return
        self._stepping = True
        try:
            self._step(standing)
        finally:
            self._stepping = False

    def _step(self, standing: Standing) -> None:
        now_ms = self._clock.now_ms()
        if standing in (Standing.FIRST, Standing.UNKNOWN):
            self._lower_since_ms = None
        elif self._lower_since_ms is None:
            self._lower_since_ms = now_ms
        if standing is not Standing.FIRST:
            self._seen = None
        if self.held and self._must_end(standing):
            self._release()
        elif standing is Standing.UNKNOWN or now_ms < self._next_ms:
            return
        elif not self.held:
            if standing is Standing.FIRST:
                self._take_over(now_ms)
        elif standing is not Standing.LOWER or self._open:
            self._report()

    def _must_end(self, standing: Standing) -> bool:
        """Return whether a holder gives the duty up: at once if it leaves.

        Otherwise once another instance has been first for the lease, after a report under way.
        """
        if standing is Standing.LEAVING:
            return True
        since_ms = self._lower_since_ms
        if since_ms is None or self._open:
            return False
        return self._clock.now_ms() - since_ms >= self._lease_ms

    # Change of the holder

    def _take_over(self, now_ms: int) -> None:
        if self._usage.true_ms() is None:
            return
        if self._lost_ms is not None and now_ms - self._lost_ms < self._lease_ms:
            return
        if self._other_holds():
            # It gives the duty up itself once it has been lower in the ranking for the lease.
            self._seen = None
            return
        try:
            if self._seen is None:
                self._seen = self._read()
            seen = self._seen
            if self._clock.now_ms() < self._take_from_ms(seen):
                return
            self._take(seen)
        except ConditionFailedError:
            self._seen = None
        except ProxyError as exc:
            # A write of unknown outcome may have made this instance the holder.
            self._seen = None
            self._on_store_failure(exc)

    def _take_from_ms(self, seen: SeenRow) -> int:
        """Return the time from which the duty may be taken if its row does not change.

        A holder sends only for a third of the lease after a write of the row.
        """
        row = seen.row
        if not seen.revision:
            return 0
        if row is not None and (row.name, row.incarnation) == (self._name, self._incarnation):
            return 0
        if row is not None and not row.name:
            # An earlier run of this instance may have been the holder before the last one.
            return self._started_ms + self._lease_ms
        return seen.read_ms + self._lease_ms

    def _take(self, seen: SeenRow) -> None:
        row = seen.row or UsageRow('', 0, 0)
        token = max(row.token + TOKEN_BATCH, lowest_token(seen.store_revision))
        if seen.row is None or self._refused:
            token = max(token, hidden_token(seen.store_revision, counter_of(seen.store_revision)))
        mine = row._replace(name=self._name, incarnation=self._incarnation, token=token)
        self._write(mine, seen.revision)
        self._seen = None
        self._attempts, self._refused = 0, False
        # Failures of an earlier time as holder are not successive with those to come.
        self._failing_since_ms.pop(PLATFORM, None)
        self._open = row.window > self.closed
        self._after = max(row.window, self.closed, self._first_window(seen) - 1)
        self._log.event('usage_duty_taken', token=token, window=row.window)

    def _first_window(self, seen: SeenRow) -> int:
        """Return the first window to report as far as the row does not tell."""
        true_ms = self._usage.true_ms()
        if seen.row is not None and seen.row.window >= 0:
            return 0
        current = self._terms.window(true_ms or 0)
        if seen.revision and seen.row is None:
            # Any window that has ended may have been reported under the malformed row.
            return current
        oldest = self._usage.oldest()
        return current if oldest is None else min(oldest, current)

    def _release(self) -> None:
        row = self._row
        assert row is not None
        unanswered_ms = self._unanswered_ms
        # A report without an answer may be carried out later. Unless the row is marked as given
        # up, the successor waits until it has not changed for the lease.
        if unanswered_ms is None or self._clock.now_ms() - unanswered_ms >= self._lease_ms:
            released = msgspec.json.encode(row._replace(name=''))
            with contextlib.suppress(ConditionFailedError, ProxyError):
                self._ports.store().put(DUTY_TABLE, USAGE_ROW, released, self._revision)
        self._lose('released')

    def _lose(self, reason: str) -> None:
        row, self._row = self._row, None
        self._lost_ms = self._clock.now_ms()
        self._seen = None
        self._log.event('usage_duty_lost', token=row.token if row else 0, reason=reason)

    # Reports

    def _report(self) -> None:
        true_ms = self._usage.true_ms()
        if true_ms is None:
            return
        try:
            if self._open:
                self._finish_open(true_ms)
            else:
                self._fix_next(true_ms)
        except ConditionFailedError:
            self._read_again()
        except ProxyError as exc:
            self._on_store_failure(exc)

    def _finish_open(self, true_ms: int) -> None:
        assert self._row is not None
        window = self._row.window
        if window <= self.closed:
            # The former holder reported it.
            self._open = False
        elif true_ms >= self._terms.deadline_ms(window):
            self._open = False
            self._give_up(window, 1)
        else:
            self._post(true_ms)

    def _fix_next(self, true_ms: int) -> None:
        assert self._row is not None
        due = usage_windows.next_window(self._terms, self._after, true_ms)
        if due.given_up:
            self._after = due.window - 1
            self._give_up(due.window - 1, due.given_up)
        if not self._usage.is_complete(due.window):
            return
        # If an earlier write of unknown outcome took effect, the condition of this one fails.
        counts = self._usage.counts(due.window)
        self._write(self._row._replace(window=due.window, counts=counts), self._revision)
        self._on_fixed()
        self._post(true_ms)

    def _on_fixed(self) -> None:
        assert self._row is not None
        self._open = True
        self._after = self._row.window
        self._attempts = 0

    def _read_again(self) -> None:
        """Find out whether an own write changed the row, or another instance."""
        try:
            seen = self._read()
        except ProxyError as exc:
            self._on_store_failure(exc)
            return
        own, row = self._row, seen.row
        assert own is not None
        if row is None or row[:3] != own[:3]:
            self._lose('another instance changed the row')
            return
        self._revision = seen.revision
        if row.window != own.window:
            self._row, self.fixed = row, row.window
            if row.window > self._after:
                self._on_fixed()

    def _post(self, true_ms: int) -> None:
        row = self._row
        assert row is not None
        if self._clock.now_ms() >= self._send_until_ms:
            self._write(row, self._revision)
        report = UsageReport(
            row.window,
            row.counts,
            self._name,
            row.token,
            lambda: self.held and self._clock.now_ms() < self._send_until_ms,
        )
        timeout_ms = min(MAX_POST_TIMEOUT_MS, POST_TIMEOUT_MS << min(self._attempts, 8))
        sent_ms = self._clock.now_ms()
        result = self._port.post(report, timeout_ms)
        if result is UsageResult.DONE:
            self._on_reported(row, true_ms)
        elif result is UsageResult.REFUSED:
            self._refused = True
            self._lose('a higher token was used')
        else:
            self._log.failure('usage_not_reported', window=row.window, reason=result.value)
            delay_ms = min(MAX_RETRY_MS, RETRY_MS << min(self._attempts, 8))
            self._next_ms = self._clock.now_ms() + delay_ms
            self._attempts += 1
            if result is UsageResult.FAILED:
                self._unanswered_ms = sent_ms
            self._on_failure(PLATFORM)

    def _on_reported(self, row: UsageRow, true_ms: int) -> None:
        self._open = False
        self.close(row.window)
        self._failing_since_ms.clear()
        self._stuck_until_ms, self._stuck_ms = 0, STUCK_MS
        self.reported += 1
        done_ms = self._usage.true_ms() or true_ms
        self.late += done_ms > self._terms.deadline_ms(row.window)
        self._log.event(
            'usage_reported',
            window=row.window,
            organisations=len(row.counts),
            requests=sum(row.counts.values()),
            after_ms=done_ms - self._terms.end_ms(row.window),
        )

    def _give_up(self, window: int, count: int) -> None:
        self.given_up += count
        self.close(window)
        self._log.event('usage_given_up', window=window, windows=count)

    # Store

    def _write(self, row: UsageRow, revision: int) -> None:
        started_ms = self._clock.now_ms()
        content = msgspec.json.encode(row)
        self._revision = self._ports.store().put(DUTY_TABLE, USAGE_ROW, content, revision)
        self._failing_since_ms.pop(STORE, None)
        self._row, self.fixed = row, row.window
        self._send_until_ms = started_ms + int(SEND_SHARE * self._lease_ms)

    def _read(self) -> SeenRow:
        content = self._ports.store().table(DUTY_TABLE)
        self._failing_since_ms.pop(STORE, None)
        for stored in content.rows:
            if stored.key == USAGE_ROW and stored.value is not None:
                row = _decode(stored.value)
                if row is None:
                    self._log.failure(
                        'row_undecodable',
                        table=DUTY_TABLE,
                        row=USAGE_ROW,
                        revision=counter_of(stored.revision),
                        reason='malformed',
                    )
                return SeenRow(row, stored.revision, content.revision, self._clock.now_ms())
        return SeenRow(None, 0, content.revision, self._clock.now_ms())

    def _on_store_failure(self, exc: ProxyError) -> None:
        self._next_ms = self._clock.now_ms() + STORE_RETRY_MS
        self._log.failure('store_unavailable', table=DUTY_TABLE, reason=exc.message)
        self._on_failure(STORE)

    def _on_failure(self, service: str) -> None:
        now_ms = self._clock.now_ms()
        since_ms = self._failing_since_ms.setdefault(service, now_ms)
        if now_ms - since_ms < FAILURE_MS or self.stuck:
            return
        self._stuck_until_ms = now_ms + self._stuck_ms
        self._stuck_ms = min(MAX_STUCK_MS, 2 * self._stuck_ms)
        if self.held:
            self._lose(f'the {service} is not reachable')


def _decode(value: bytes) -> UsageRow | None:
    """Return the content of the row, None if it is malformed."""
    try:
        row = _rows.decode(value)
    except (ValueError, RecursionError):
        return None
    counts_valid = all(0 <= count <= MAX_NUMBER for count in row.counts.values())
    if 0 < row.token <= MAX_TOKEN and -1 <= row.window <= MAX_NUMBER and counts_valid:
        return row
    return None
