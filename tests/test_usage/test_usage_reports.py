"""Usage reports of several instances while the holder, owners, clocks, store or platform fail."""

from __future__ import annotations

import pytest

from godwitthread.core.store_version import combine
from godwitthread.core.usage_windows import UsageTerms
from godwitthread.gateway.usage_collector import TICK_MS
from tests.test_usage.cluster import START_MS, TERMS, Cluster

FIRST = TERMS.window(START_MS)


def test_each_window_is_reported_once_with_one_write():
    """Guard against missing windows, wrong counts, and more than one priced call a window."""
    cluster = Cluster()
    cluster.run(60_000)
    cluster.check(0)
    windows = len(cluster.ledger.accepted)
    assert cluster.calls['write'] <= windows + 1
    assert cluster.calls['read'] <= 1 + len(cluster.instances)


@pytest.mark.parametrize('into_ms', [4_500, 250, 1_000, 1_250, 1_500])
@pytest.mark.parametrize('way', ['killed', 'frozen', 'cut'])
@pytest.mark.parametrize('fence', [False, True])
def test_a_successor_goes_on_when_the_holder_fails(way, into_ms, fence):
    """Guard against windows that are missing, differ or repeat a token around a change."""
    cluster = Cluster(5, fence)
    cluster.run(10_000)
    cluster.run_to(into_ms)
    former = cluster.instances[cluster.holder()]
    if way == 'killed':
        former.alive = False
    elif way == 'frozen':
        former.frozen = True
    else:
        former.cut = set(cluster.instances) - {former.peer.name}
    cluster.run(12_000)
    assert cluster.holder() != former.peer.name or way == 'cut'
    former.frozen, former.cut = False, set()
    cluster.run(30_000)
    last = TERMS.window(cluster.true_ms()) - 2
    assert cluster.ledger.violations == []
    missing = [each for each in range(FIRST, last + 1) if each not in cluster.ledger.accepted]
    assert missing == []
    # What the former holder counted while it was cut off came too late for one window.
    assert len(cluster.wrong_windows(FIRST, last)) <= (way == 'cut')


@pytest.mark.parametrize('outcome', ['lost', 'late', 'down', 'suspend'])
@pytest.mark.parametrize('at', ['store_script', 'platform_script'])
def test_a_call_without_an_answer_is_repeated_exactly(at, outcome):
    """Guard against a second report of a window with other counts after a lost answer."""
    if at == 'store_script' and outcome == 'late':
        return
    cluster = Cluster()
    cluster.run(10_000)
    getattr(cluster, at).extend([outcome] * (1 if outcome == 'suspend' else 3))
    cluster.run(30_000)
    cluster.check()


def test_a_successor_repeats_the_report_that_the_holder_fixed():
    """Guard against a successor that reports its own counts of a window already sent."""
    cluster = Cluster()
    cluster.run(10_000)
    cluster.platform_down = True
    cluster.run_to(2_000)
    holder = cluster.instances[cluster.holder()]
    fixed = holder.duty.fixed
    assert fixed not in cluster.ledger.accepted
    holder.alive = False
    for name, instance in cluster.instances.items():
        if name != holder.peer.name:
            # A late count, which the fixed report does not have.
            instance.collector.record('bode960', cluster.now_ms - 3_000)
    cluster.platform_down = False
    expected = holder.duty._row.counts
    cluster.run(7_000)
    assert cluster.holder() not in (None, holder.peer.name)
    assert cluster.ledger.accepted[fixed] == expected


def test_a_refused_holder_does_not_use_its_token_again():
    """Guard against a call with a token that the platform refused."""
    cluster = Cluster(fence=True)
    cluster.run(10_000)
    cluster.ledger.post(cluster.true_ms(), FIRST - 9, {}, 'other', 9_500)
    cluster.run(30_000)
    assert cluster.ledger.violations == []
    assert cluster.ledger.in_time(TERMS.window(cluster.true_ms()) - 2, cluster.true_ms())


def test_windows_are_given_up_while_the_store_is_down_for_long():
    """Guard against late or differing reports, and a duty that stops after an outage."""
    cluster = Cluster()
    cluster.run(10_000)
    cluster.store_down = True
    holder = cluster.instances[cluster.holder()]
    cluster.run(25_000)
    cluster.store_down = False
    cluster.run(20_000)
    assert holder.duty.given_up >= 2
    assert cluster.ledger.violations == []
    last = TERMS.window(cluster.true_ms()) - 2
    reported = [each for each in range(FIRST, last + 1) if each in cluster.ledger.accepted]
    assert len(reported) + holder.duty.given_up == last - FIRST + 1
    assert cluster.wrong_windows(last - 3, last) == []


def test_an_instance_that_only_others_reach_keeps_the_duty():
    """Guard against two instances in turn that take the duty from each other every few seconds."""
    cluster = Cluster(5)
    cluster.run(12_000)
    first, second = (cluster.instances[name] for name in cluster.order[:2])
    first.cut = {second.peer.name}
    second.agreed_owner = lambda resource: first.peer.name
    second.collector._agreed_owner = second.agreed_owner
    writes, windows = cluster.calls['write'], len(cluster.ledger.accepted)
    cluster.run(60_000)
    assert cluster.holder() == first.peer.name
    assert cluster.calls['write'] - writes <= len(cluster.ledger.accepted) - windows + 1
    assert cluster.ledger.violations == []


@pytest.mark.parametrize('service', ['store_cut', 'platform_cut'])
def test_the_next_instance_reports_while_a_service_fails_for_the_first(service):
    """Guard against windows that are missing because one instance lacks store or platform."""
    cluster = Cluster()
    cluster.run(12_000)
    former = cluster.instances[cluster.holder()]
    setattr(former, service, True)
    cluster.run(60_000)
    setattr(former, service, False)
    cluster.run(30_000)
    cluster.check()


@pytest.mark.parametrize('error_ms', [-7_000, 4_000, 3_600_000])
@pytest.mark.parametrize('which', ['holder', 'owner'])
def test_a_step_of_one_clock_changes_no_window(which, error_ms):
    """Guard against requests in wrong windows after the clock of one instance was set."""
    cluster = Cluster()
    cluster.run(11_000)
    name = cluster.holder() if which == 'holder' else cluster.order[-1]
    cluster.instances[name].wall_error_ms = error_ms
    cluster.run(30_000)
    cluster.instances[name].wall_error_ms = 0
    cluster.run(10_000)
    cluster.check(0)


def test_a_killed_owner_loses_its_last_interval_only():
    """Guard against the loss of all counts of an owner that ends without notice."""
    cluster = Cluster()
    cluster.run(12_000)
    cluster.run_to(4_750)
    cluster.instances[cluster.order[-1]].alive = False
    window = TERMS.window(cluster.true_ms())
    cluster.run(12_000)
    assert cluster.wrong_windows(FIRST, window) == []


def test_a_window_waits_for_an_owner_that_is_cut_off_for_a_moment():
    """Guard against a window that is fixed without the counts of an owner that still runs."""
    cluster = Cluster()
    cluster.run(12_000)
    cluster.run_to(4_000)
    owner = cluster.instances[cluster.order[-1]]
    owner.cut = set(cluster.order[:2])
    cluster.run(3_500)
    owner.cut = set()
    cluster.run(20_000)
    cluster.check(0)


def test_sigterm_hands_the_counts_and_the_duty_over():
    """Guard against counts and windows that are lost at a planned stop."""
    cluster = Cluster()
    cluster.run(12_000)
    cluster.run_to(4_000)
    former = cluster.instances[cluster.holder()]
    for _ in range(50):
        former.request('lune7')
    cluster.leave(former.peer.name)
    cluster.run(750)
    assert cluster.holder() not in (None, former.peer.name)
    cluster.run(20_000)
    cluster.check(0)


def test_a_restarted_holder_does_not_act_within_the_lease():
    """Guard against holders in the order A, B, A within the lease after a restart."""
    cluster = Cluster()
    cluster.run(12_000)
    cluster.run_to(1_000)
    former = cluster.instances[cluster.holder()]
    cluster.leave(former.peer.name)
    cluster.run(1_000)
    cluster.restart(former.peer.name)
    cluster.run(30_000)
    assert cluster.ledger.violations == []
    # It is first in the ranking again, and got the duty back.
    assert cluster.holder() == former.peer.name


def test_the_duty_does_not_return_within_the_lease_during_a_rolling_restart():
    """Guard against holders A, B, A within the lease where each one hands the duty over."""
    cluster = Cluster(terms=UsageTerms(500, 10_000))
    cluster.run(12_000)
    down = None
    for _ in range(40):
        name = cluster.holder()
        if name is not None:
            cluster.leave(name)
        if down is not None:
            cluster.restart(down)
        down = name
        cluster.run(1_000)
        assert cluster.ledger.violations == []
    cluster.restart(down or cluster.order[0])
    cluster.run(12_000)
    assert cluster.ledger.violations == []
    assert cluster.holder() == cluster.order[0]


def test_a_holder_that_gave_the_duty_up_does_not_take_it_back_within_the_lease():
    """Guard against holders A, B, A within the lease where B leaves soon after it took over."""
    cluster = Cluster(terms=UsageTerms(500, 10_000))
    first, second = cluster.order[:2]
    cluster.run(6_000)
    cluster.instances[first].alive = False
    cluster.run(8_000)
    assert cluster.holder() == second
    cluster.restart(first)
    while cluster.holder() != first:
        cluster.run(TICK_MS)
    cluster.run(1_000)
    cluster.leave(first)
    cluster.run(6_000)
    assert cluster.holder() == second
    assert cluster.ledger.violations == []


def test_a_report_that_is_carried_out_late_comes_before_those_of_the_successor():
    """Guard against a lower token after a higher one at a platform that doesn't check tokens."""
    cluster = Cluster()
    cluster.run(12_000)
    former = cluster.instances[cluster.holder()]
    cluster.platform_script = ['late'] * 9
    while not cluster.late:
        cluster.run(TICK_MS)
    former.alive = False
    cluster.platform_script = []
    cluster.run(12_000)
    assert cluster.holder() not in (None, former.peer.name)
    assert cluster.ledger.violations == []


def test_counts_after_a_window_was_fixed_are_counted_as_late():
    """Guard against late counts that change a fixed report or stay unnoticed."""
    cluster = Cluster()
    cluster.run(12_000)
    cluster.run_to(2_500)
    window = TERMS.window(cluster.true_ms()) - 1
    before = dict(cluster.ledger.accepted[window])
    for _ in range(40):
        cluster.instances[cluster.order[-1]].collector.record('bode960', cluster.now_ms - 4_000)
    cluster.run(2_000)
    holder = cluster.instances[cluster.holder()].collector
    assert (holder.late_requests, holder.windows_off) == (40, 1)
    assert cluster.ledger.accepted[window] == before
    assert cluster.ledger.violations == []


def test_a_malformed_row_never_leads_to_a_second_report():
    """Guard against a differing report of a window that a malformed row hides."""
    cluster = Cluster(terms=UsageTerms(5_000, 25_000))
    cluster.run(12_000)
    holder = cluster.instances[cluster.holder()]
    cluster.platform_script = ['lost'] * 9
    while max(cluster.ledger.accepted) <= holder.duty.closed:
        cluster.run(TICK_MS)
    # The report was accepted, which no instance knows, and one more of its requests comes late.
    cluster.instances[cluster.order[-1]].collector.record('bode960', cluster.now_ms - 2_000)
    cluster.revision += 1
    cluster.row = cluster.row._replace(value=b'{', revision=cluster.revision)
    cluster.run(4_000)
    assert cluster.holder() is None
    cluster.platform_script = []
    cluster.run(40_000)
    assert cluster.ledger.violations == []
    last = TERMS.window(cluster.true_ms()) - 2
    assert cluster.wrong_windows(last - 3, last) == []


def test_an_earlier_outage_does_not_shorten_the_time_for_the_next_one():
    """Guard against a duty that changes its holder after a single lost answer."""
    cluster = Cluster()
    cluster.run(12_000)
    cluster.platform_down = True
    cluster.run(15_000)
    cluster.platform_down = False
    cluster.run(60_000)
    former = cluster.holder()
    cluster.instances[former].alive = False
    cluster.platform_script = ['lost']
    while cluster.platform_script:
        cluster.run(250)
    assert cluster.holder() not in (None, former)
    assert not cluster.ledger.violations


def restore_row_of_former_holder(alive: bool) -> tuple[Cluster, int]:
    """Restore the row of a former holder; return the cluster and the token of the last one."""
    cluster = Cluster()
    cluster.run(12_000)
    copied = cluster.row
    former = cluster.holder()
    cluster.instances[former].leaving = True
    cluster.run(6_000)
    last = cluster.instances[cluster.holder()]
    token = last.duty.token
    cluster.instances[former].leaving = False
    last.alive = alive
    cluster.revision = combine(1, copied.revision)
    cluster.row = copied._replace(revision=cluster.revision)
    cluster.run(30_000)
    return cluster, token


@pytest.mark.parametrize('alive', [True, False])
def test_no_token_is_used_by_two_holders_after_a_restore(alive):
    """Guard against reports of two holders under one token."""
    cluster, token = restore_row_of_former_holder(alive)
    assert cluster.instances[cluster.holder()].duty.token > token


@pytest.mark.parametrize('alive', [True, False])
def test_no_window_is_reported_with_two_counts_after_a_restore(alive):
    """Guard against a window whose fixed counts were lost with the row of the duty."""
    cluster, _ = restore_row_of_former_holder(alive)
    assert cluster.ledger.violations == []
