"""What counts as a request, and the clocks that decide in which window."""

from __future__ import annotations

import pytest

from godwitthread.core.statements import Action, Refusal, Reply
from godwitthread.core.usage_windows import (
    OWN_CLOCK_MS,
    Operation,
    OwnCounts,
    TrueTime,
    Unit,
    UsageTerms,
    is_counted,
    valid_counts,
)
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.platform import settings
from tests.test_gateway.fakes import FakeGroup, request, runner
from tests.test_platform.test_settings import NODE
from tests.test_usage.cluster import START_MS, TERMS, Cluster, FakeLink


def counted(*requests, script=()) -> int:
    """Run requests at a group, and return how many were counted."""
    group = FakeGroup()
    group.script += script
    made, counts = runner(group), []
    made.count_usage = lambda organisation, sent_ms: counts.append(organisation)
    for req in requests:
        made.run('a/1/1', req)
    return len(counts)


def test_single_statements_and_transactions_count_once_when_a_member_ran_them():
    """Guard against repeated, refused or later statements that count as requests."""
    begin = request('WRITE 1', Action.IN_TRANSACTION)
    later = request('WRITE 2', Action.IN_TRANSACTION, first=False)
    commit = request('COMMIT', Action.COMMIT, first=False)
    assert counted(request('READ'), request('WRITE 1')) == 2
    assert counted(begin, later, commit) == 1
    assert counted(begin, commit, begin, commit) == 2
    assert counted(request('WRITE 1'), script=[('WRITE', Refusal.BUSY)]) == 1
    assert counted(request('WRITE 1'), script=[('WRITE', Refusal.FAILED)]) == 1
    assert counted(request('READ'), script=[('READ', Refusal.LOST)]) == 1


def test_a_hedged_read_counts_once_and_the_unit_can_be_switched():
    """Guard against a read that counts for each member that it was sent to."""
    counts = []
    operation = Operation('org', lambda *args: counts.append(args))
    operation.ran(1, Reply(refusal=Refusal.UNREACHABLE))
    operation.ran(2, Reply())
    operation.ran(3, Reply())
    assert counts == [('org', 2)]
    assert [is_counted(first, Unit.STATEMENT) for first in (True, False)] == [True, True]


def test_requests_before_the_true_time_is_known_are_placed_later():
    """Guard against requests in wrong windows while an instance starts with a wrong clock."""
    terms, time, own = UsageTerms(5_000, 10_000), TrueTime(0), OwnCounts(TERMS)
    own.record(100, time.at(100), 'org')
    time.update(200, START_MS + 9_000)
    own.place_pending(time.at)
    assert own.windows == {}
    time.adopt(300, START_MS + 300, 3)
    time.update(300, START_MS + 9_300)
    own.place_pending(time.at)
    assert own.windows == {terms.window(START_MS): {'org': 1}}


def test_one_wrong_or_late_clock_does_not_change_the_true_time():
    """Guard against windows that follow a clock that stepped, or a message that came late."""
    time = TrueTime(0)
    for peer in 'abc':
        time.read_clock(1_000, peer, START_MS + 1_000)
    time.read_clock(1_500, 'a', START_MS + 70_000)
    for peer in 'bc':
        time.read_clock(3_000, peer, START_MS + 1_200)
    time.update(3_000, START_MS + 3_000)
    assert time.at(3_000) == START_MS + 3_000
    alone = TrueTime(0)
    alone.update(OWN_CLOCK_MS, START_MS)
    alone.update(OWN_CLOCK_MS + 10, START_MS + 90_000)
    assert alone.at(OWN_CLOCK_MS + 10) == START_MS + 10


def test_a_receiver_that_restarted_gets_all_open_counts_again():
    """Guard against counts that only an earlier process of the receiver knew."""
    cluster = Cluster()
    cluster.run(12_000)
    cluster.run_to(2_000)
    window = TERMS.window(cluster.true_ms())
    for name in cluster.order[2:]:
        cluster.instances[name].request('early')
    cluster.run(1_500)
    for name in cluster.order[:2]:
        cluster.restart(name)
    cluster.run(20_000)
    assert cluster.ledger.accepted[window]['early'] == 2
    assert cluster.ledger.violations == []


def test_a_build_that_does_not_know_the_call_is_tolerated(monkeypatch):
    """Guard against windows that are missing while older builds run beside this one."""
    cluster = Cluster()
    older, call = cluster.order[1], FakeLink.call

    def answer(link, kind, body, timeout_ms):
        if link._name == older:
            raise ProxyError(ErrorKind.NOT_FOUND, 'no handler for usage')
        return call(link, kind, body, timeout_ms)

    monkeypatch.setattr(FakeLink, 'call', answer)
    cluster.instances[older].step = lambda: None
    cluster.run(40_000)
    cluster.check()


def test_counts_from_outside_are_bounded():
    """Guard against memory that a peer with a wrong clock or malformed counts can take."""
    now = TERMS.window(START_MS)
    counts = {now: {'a': 1, 'b': -1, 'c': 2**60}, now + 9: {'a': 1}, now - 90: {'a': 1}}
    assert valid_counts(TERMS, counts, START_MS) == {now: {'a': 1}}


@pytest.mark.parametrize('present', [True, False])
def test_reports_are_asked_for_by_duty_and_window_only(present):
    """Guard against calls and rows in deployments that ask for no reports."""
    bounds = {'GraceS': 6, 'LeaseMs': 3_000, 'ReportWindowS': 5, 'UsageDelayS': 10}
    cloud = NODE['Cloud'] | {'Duties': ['usage_report'] if present else None}
    loaded = settings.parse(NODE | {'Bounds': bounds | {'UsageOff': 0.05}, 'Cloud': cloud})
    assert loaded.usage == (UsageTerms(5_000, 10_000, 0.05) if present else None)
    assert loaded.lease_ms == 3_000
    zero = settings.parse(NODE | {'Bounds': dict.fromkeys(bounds, 0) | {'GraceS': 6}})
    assert (zero.usage, zero.lease_ms, zero.require_fence) == (None, 0, False)


def test_two_wrong_clocks_of_three_do_not_outweigh_the_median_of_a_receiver():
    """Guard against an owner whose own clock and that of one receiver are wrong."""
    time = TrueTime(0)
    for now_ms in (1_000, 2_000):
        time.read_clock(now_ms, 'first', START_MS + now_ms + 4_000)
        time.read_clock(now_ms, 'second', START_MS + now_ms)
        time.adopt(now_ms, START_MS + now_ms + 100, 9)
        time.update(now_ms, START_MS + now_ms + 3_000)
        assert time.at(now_ms) == START_MS + now_ms + 100
    # The own readings are more exact where they agree with it, and more recent without answers.
    time.update(2_100, START_MS + 2_100 + 50)
    assert time.at(2_100) == START_MS + 2_100 + 50
    time.read_clock(33_000, 'first', START_MS + 33_000 + 4_000)
    time.read_clock(33_000, 'second', START_MS + 33_000 + 4_000)
    time.update(33_000, START_MS + 33_000)
    assert time.at(33_000) == START_MS + 33_000 + 4_000
