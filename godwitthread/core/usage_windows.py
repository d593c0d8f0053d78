"""Usage per organisation in windows of true time, and when a window can be reported.

Responds to the rate at which requests begin to run at members: the messages and the memory grow
with the organisations that were active within the open windows.
"""

from __future__ import annotations

import statistics
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.statements import NOT_RUN

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from godwitthread.core.statements import Reply

#: Time for which counts are kept, in ms.
KEPT_MS = 30_000
#: Time after the end of a window at which an owner's counts of it are considered final, in ms.
#: A statement counts in the window in which it was sent, once its member has answered.
SETTLE_MS = 1_000
#: Number of clocks from which their median withstands one wrong clock.
MIN_CLOCKS = 3
#: Readings of a peer's clock that are kept. A late message makes the clock seem slow, so that the
#: highest reading counts; up to two messages wait while this process is suspended.
READINGS = 4
#: Time after which the readings of a silent peer are dropped, in ms.
READING_AGE_MS = 30_000
#: Difference from which a median of more clocks replaces that of the own readings, in ms. The time
#: in an answer is off by up to half of the round trip (125 ms), since its two ways can differ.
MAX_DIFFERENCE_MS = 250
#: Time without a known true time after which this instance's own clock is used, in ms.
OWN_CLOCK_MS = 3_000
#: Width of the intervals in which requests are kept while the true time is unknown, in ms.
PENDING_MS = 100
#: Upper bounds of counts and windows from outside, and of the names of one message.
MAX_NUMBER = 2**53
MAX_NAMES = 20_000
#: Time before the deadline of a window after which it is given up, in ms: a write of the store and
#: a report take some tens of ms.
MIN_LEFT_MS = 200


class Unit(Enum):
    """Units in which usage is counted."""

    #: A single statement, or a transaction at its first statement that a member ran.
    OPERATION = 'operation'
    #: Each read, write and commit that a member ran.
    STATEMENT = 'statement'


#: Unit of the counts.
UNIT = Unit.OPERATION


def is_counted(first: bool, unit: Unit = UNIT) -> bool:
    """Return whether a statement that a member ran counts; `first` within its operation."""
    return first or unit is Unit.STATEMENT


class Operation:
    """Single statement or transaction, which is counted when a member has run it."""

    __slots__ = ('_began', '_organisation', '_record')

    def __init__(self, organisation: str, record: Callable[[str, int], None] | None) -> None:
        self._organisation = organisation
        self._record = record
        self._began = False

    def ran(self, sent_ms: int, reply: Reply) -> None:
        """Count a statement that was sent to a member, unless it certainly did not run."""
        if self._record is None or reply.refusal in NOT_RUN:
            return
        if is_counted(not self._began):
            self._record(self._organisation, sent_ms)
        self._began = True


class UsageTerms(NamedTuple):
    """Terms under which usage is reported."""

    window_ms: int
    #: Time after the end of a window within which it must be reported, in ms.
    delay_ms: int
    #: Largest deviation of a reported count from the true one, as a share of it.
    tolerance: float = 0.05

    def window(self, true_ms: int) -> int:
        """Return the window at a time."""
        return true_ms // self.window_ms

    def end_ms(self, window: int) -> int:
        """Return the end of a window."""
        return (window + 1) * self.window_ms

    def deadline_ms(self, window: int) -> int:
        """Return the time until which a window can be reported."""
        return self.end_ms(window) + self.delay_ms

    def latest_fix_ms(self, window: int) -> int:
        """Return when the counts of a window are fixed even if an instance has not reported.

        The other half of the delay is for the store and the platform, which may be slow.
        """
        return self.end_ms(window) + max(SETTLE_MS, self.delay_ms // 2)

    def settled(self, true_ms: int) -> int:
        """Return the newest window whose counts are final at an owner."""
        return self.window(true_ms - SETTLE_MS) - 1

    def oldest_open(self, true_ms: int) -> int:
        """Return the oldest window that can still be reported in time."""
        return self.window(true_ms - self.delay_ms)

    def oldest_kept(self, true_ms: int) -> int:
        """Return the oldest window whose counts are kept."""
        return self.window(true_ms - max(KEPT_MS, self.delay_ms + self.window_ms))


class TrueTime:
    """Estimate true time as the median of the clocks of several instances.

    An offset is the difference between a wall clock and this instance's boot-time clock, which
    doesn't step. A step of one clock therefore changes one of the offsets only.
    """

    def __init__(self, now_ms: int) -> None:
        self._started_ms = now_ms
        #: Newest offsets by peer, with the time of the last one.
        self._readings: dict[str, tuple[int, list[int]]] = {}
        #: Offset of the median of another instance's clocks, their number, and when it was read.
        self._adopted: int | None = None
        self._adopted_clocks = self._adopted_ms = 0
        self._offset: int | None = None

    @property
    def clocks(self) -> int:
        """Return the number of known clocks, with this instance's own."""
        return len(self._readings) + 1

    def read_clock(self, now_ms: int, peer: str, wall_ms: int) -> None:
        """Record the wall clock of a peer as received at a time."""
        _, offsets = self._readings.get(peer, (0, []))
        self._readings[peer] = now_ms, [*offsets[1 - READINGS :], wall_ms - now_ms]

    def adopt(self, now_ms: int, true_ms: int, clocks: int) -> None:
        """Adopt the true time that a peer knows from a number of clocks."""
        if clocks >= MIN_CLOCKS:
            self._adopted = true_ms - now_ms
            self._adopted_clocks, self._adopted_ms = clocks, now_ms

    def update(self, now_ms: int, own_wall_ms: int) -> None:
        """Determine the true time again."""
        for peer, (read_ms, _) in list(self._readings.items()):
            if now_ms - read_ms > READING_AGE_MS:
                del self._readings[peer]
        offsets = [max(each) for _, each in self._readings.values()]
        offsets.append(own_wall_ms - now_ms)
        if len(offsets) >= MIN_CLOCKS:
            self._offset = statistics.median_low(offsets)
            if self._is_outvoted(now_ms, len(offsets), self._offset):
                self._offset = self._adopted
        elif self._adopted is not None:
            self._offset = self._adopted
        elif self._offset is None and now_ms - self._started_ms >= OWN_CLOCK_MS:
            # Alone, this instance keeps to the first reading of its clock, which may step later.
            self._offset = statistics.median_low(offsets)

    def _is_outvoted(self, now_ms: int, clocks: int, offset: int) -> bool:
        """Return whether a recent median of more clocks contradicts that of the own readings.

        An instance that receives no counts reads its own clock and those of the two receivers, two
        of which may be wrong although most clocks are right.
        """
        if self._adopted is None or now_ms - self._adopted_ms > READING_AGE_MS:
            return False
        return self._adopted_clocks > clocks and abs(self._adopted - offset) > MAX_DIFFERENCE_MS

    def at(self, now_ms: int) -> int | None:
        """Return the true time at a time of the boot-time clock, None while it is unknown."""
        return None if self._offset is None else now_ms + self._offset


Counts = dict[int, dict[str, int]]


class OwnCounts:
    """Cumulative counts of this instance, and which of them its receivers know."""

    def __init__(self, terms: UsageTerms) -> None:
        self._terms = terms
        self.windows: Counts = {}
        #: Requests that began while the true time was unknown, by interval of the boot-time clock.
        self._pending: Counts = {}
        #: Acknowledged counts by receiver and its incarnation.
        self._acknowledged: dict[tuple[str, int], Counts] = {}

    def record(self, sent_ms: int, true_ms: int | None, organisation: str) -> None:
        """Count a request that was sent to a member at a time."""
        if true_ms is None:
            _add(self._pending, sent_ms // PENDING_MS, organisation, 1)
        else:
            _add(self.windows, self._terms.window(true_ms), organisation, 1)

    def place_pending(self, to_true_ms: Callable[[int], int | None]) -> None:
        """Assign the requests counted before the true time was known to their windows."""
        pending, self._pending = self._pending, {}
        for interval, counts in pending.items():
            true_ms = to_true_ms(interval * PENDING_MS)
            for organisation, count in counts.items():
                if true_ms is None:
                    _add(self._pending, interval, organisation, count)
                else:
                    _add(self.windows, self._terms.window(true_ms), organisation, count)

    def changes(self, receiver: tuple[str, int], closed: int) -> Counts:
        """Return the counts that a receiver has not acknowledged.

        A receiver that has acknowledged none does not need those of closed windows.
        """
        known = self._acknowledged.get(receiver)
        after = closed if known is None else -1
        known = known or {}
        changed: Counts = {}
        for window, counts in self.windows.items():
            if window <= after:
                continue
            former = known.get(window, {})
            new = {name: count for name, count in counts.items() if former.get(name) != count}
            if new:
                changed[window] = new
        return changed

    def acknowledge(self, receiver: tuple[str, int], sent: Counts) -> None:
        """Record that a receiver has counts; those of its earlier incarnations are forgotten."""
        for other in [each for each in self._acknowledged if each[0] == receiver[0]]:
            if other != receiver:
                del self._acknowledged[other]
        known = self._acknowledged.setdefault(receiver, {})
        for window, counts in sent.items():
            known.setdefault(window, {}).update(counts)

    def drop_before(self, window: int) -> None:
        """Forget the windows before one."""
        for counts in (self.windows, *self._acknowledged.values()):
            for each in [key for key in counts if key < window]:
                del counts[each]


class MergedCounts:
    """Counts of all instances as a holder of the duty needs them; each message may come again."""

    def __init__(self, terms: UsageTerms) -> None:
        self._terms = terms
        #: Counts by window, and by sender and its incarnation.
        self._windows: dict[int, dict[tuple[str, int], dict[str, int]]] = {}
        #: Newest window of which a sender's counts are final, by sender and incarnation.
        self._settled: dict[str, tuple[int, int]] = {}

    def add(
        self, sender: tuple[str, int], counts: Mapping[int, Mapping[str, int]], settled: int
    ) -> Counts:
        """Merge cumulative counts of a sender; return by how much they rose."""
        risen: Counts = {}
        for window, values in counts.items():
            known = self._windows.setdefault(window, {}).setdefault(sender, {})
            for name, value in values.items():
                if value > known.get(name, 0):
                    _add(risen, window, name, value - known.get(name, 0))
                    known[name] = value
        name, incarnation = sender
        former_run, former = self._settled.get(name, (0, -1))
        self._settled[name] = incarnation, max(settled, former if former_run == incarnation else -1)
        return risen

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window by organisation."""
        total: dict[str, int] = {}
        for counts in self._windows.get(window, {}).values():
            for name, value in counts.items():
                total[name] = total.get(name, 0) + value
        return dict(sorted(total.items()))

    def oldest(self) -> int | None:
        """Return the oldest window with counts."""
        return min((window for window, each in self._windows.items() if each), default=None)

    def is_complete(
        self, window: int, instances: Callable[[], Iterable[str]], true_ms: int
    ) -> bool:
        """Return whether the counts of a window can be fixed.

        That is, all instances that may have run requests have reported past its end, or the
        latest moment has come that leaves time to report it.
        """
        if true_ms < self._terms.end_ms(window) + SETTLE_MS:
            return False
        if true_ms >= self._terms.latest_fix_ms(window):
            return True
        return all(self._settled.get(name, (0, -1))[1] >= window for name in instances())

    def drop_before(self, window: int) -> None:
        """Forget the windows before one."""
        for each in [key for key in self._windows if key < window]:
            del self._windows[each]


class NextWindow(NamedTuple):
    """Window that is reported next."""

    window: int
    #: Number of windows before it that can't be reported in time any more.
    given_up: int


def next_window(terms: UsageTerms, after: int, true_ms: int) -> NextWindow:
    """Return the window to report after the one that was fixed or given up last."""
    window = max(after + 1, terms.oldest_open(true_ms + MIN_LEFT_MS))
    return NextWindow(window, window - after - 1)


def valid_counts(
    terms: UsageTerms, counts: Mapping[int, Mapping[str, int]], true_ms: int
) -> dict[int, dict[str, int]]:
    """Return the counts received from a peer that lie within the kept windows and the bounds."""
    oldest, newest = terms.oldest_kept(true_ms), terms.window(true_ms) + 1
    return {
        window: {name: value for name, value in values.items() if 0 < value <= MAX_NUMBER}
        for window, values in counts.items()
        if oldest <= window <= newest and len(values) <= MAX_NAMES
    }


def _add(counts: Counts, window: int, name: str, count: int) -> None:
    values = counts.setdefault(window, {})
    values[name] = values.get(name, 0) + count
