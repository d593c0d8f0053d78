"""Failover of a primary by the owner of its group."""

from __future__ import annotations

import eventlet
import pytest

from godwitthread.clock import Clock
from godwitthread.core.statements import Action, Consistency, Refusal
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.groups import failover
from godwitthread.gateway.promotion_duty import OrderAnswer
from godwitthread.types import Position
from tests.test_gateway.fakes import GROUP, FakeGroup, members, quiet_log, request, runner


@pytest.fixture
def world(monkeypatch):
    """Build a group with its runner and its failover; orders take effect at once."""
    monkeypatch.setattr(failover, 'NO_PRIMARY_DELAY_MS', 0)
    group = FakeGroup()
    made = runner(group)
    clock = Clock()
    orders: list[str] = []

    def order(request):
        orders.append(request.member)
        group.promote(request.member)
        return OrderAnswer(True, False)

    return (
        group,
        made,
        failover.Failover(made, clock, quiet_log(clock), order, lambda: True),
        orders,
    )


def run_failover(over) -> None:
    """Run the failover to its end."""
    over.tick()
    for _ in range(300):
        eventlet.sleep(0.01)
        if not over._running:
            return


def test_a_primary_that_refuses_connections_is_replaced_by_the_newest_replica(world):
    """Guard against a group without a primary, and against lost commits."""
    group, made, over, orders = world
    made.run('a', request('READ i'))
    group.applied['m1'], group.applied['m2'] = Position(1, 8), Position(1, 9)
    group.unreachable.add('m0')
    made.pools['m0'].refused_since_ms = 1
    run_failover(over)
    assert orders == ['m2']
    assert made.last_primary == 'm2'
    assert made.run('a', request('WRITE i x')).receipt == 'receipt-m2'


@pytest.mark.parametrize('kind', sorted(failover.UNDELIVERED_ORDER_KINDS, key=str))
def test_an_order_that_reached_nobody_is_repeated_soon(world, kind):
    """Guard against a group that stays without a primary after the store has come back.

    The store was down, or another instance took the promotion duty at the same moment.
    """
    group, made, over, orders = world
    made.run('a', request('READ i'))
    deliver, time_ms = over._order, [Clock().now_ms()]
    # In the middle of a millisecond: a float of whole ones may be rounded down.
    over._clock = Clock(lambda: (time_ms[0] + 0.5) / 1000)

    def refuse(_):
        over._order = deliver
        raise ProxyError(kind, 'nothing was sent')

    over._order = refuse
    group.unreachable.add('m0')
    made.pools['m0'].refused_since_ms = 1
    run_failover(over)
    assert orders == []
    time_ms[0] += failover.UNDELIVERED_RETRY_MS - 1
    run_failover(over)
    assert orders == []
    time_ms[0] += 1
    run_failover(over)
    assert len(orders) == 1


def test_an_owner_that_others_do_not_agree_on_replaces_no_primary(world):
    """Guard against two owners that promote in turn while failure domains are apart.

    The second promotion brings back commits that the first one had rolled back.
    """
    group, made, over, orders = world
    made.run('a', request('READ i'))
    over._may_replace = lambda: False
    group.unreachable.add('m0')
    made.pools['m0'].refused_since_ms = 1
    run_failover(over)
    assert orders == []
    over._may_replace = lambda: True
    run_failover(over)
    assert len(orders) == 1


def test_a_single_lost_answer_causes_no_failover(world):
    """Guard against a needless failover."""
    group, made, over, orders = world
    made.run('a', request('READ i'))
    state = made.dispatcher.members['m0']
    state.unanswered_since_ms = 1
    made.dispatcher.members['m1'].last_answer_ms = Clock().now_ms()
    run_failover(over)
    assert orders == []
    assert state.unanswered_since_ms == 0


def test_a_silent_primary_is_replaced(world):
    """Guard against writes that wait for a primary which no longer answers."""
    group, made, over, orders = world
    made.run('a', request('READ i'))
    made.dispatcher.members['m0'].unanswered_since_ms = 1
    made.dispatcher.members['m1'].last_answer_ms = Clock().now_ms()
    group.script = [('BEGIN', Refusal.LOST)]
    run_failover(over)
    assert orders == ['m2']


def test_a_draining_primary_hands_over_without_losing_a_commit(world):
    """Guard against commits that only the draining primary holds."""
    group, made, over, orders = world
    made.run('a', request('WRITE i x'))
    entries = members(group)
    entries['m0'] = entries['m0']._replace(draining=True)
    made.update(GROUP, entries, set(), 3_000)
    eventlet.spawn_after(0.1, group.catch_up)
    run_failover(over)
    assert len(orders) == 1
    assert made.last_primary == orders[0]
    assert group.applied[orders[0]].offset >= 11


def test_work_waits_while_a_primary_hands_over(world):
    """Guard against writes that fail during a planned failover."""
    group, made, over, orders = world
    made.run('a', request('WRITE i x'))
    group.catch_up()
    entries = members(group)
    entries['m0'] = entries['m0']._replace(draining=True)
    made.update(GROUP, entries, set(), 3_000)
    over.tick()
    result = made.run('a', request('WRITE i y', remaining_ms=2_000))
    assert result.error == ''
    assert result.receipt == f'receipt-{orders[0]}'


def test_work_resumes_after_a_failed_order_which_is_retried(world, monkeypatch):
    """Guard against work for the primary that stays paused after a failed order."""
    group, made, over, orders = world
    monkeypatch.setattr(failover, 'UNDELIVERED_RETRY_MS', 0)
    made.run('a', request('READ i'))
    made.pools['m0'].refused_since_ms = 1
    working_order, over._order = over._order, _fail
    run_failover(over)
    assert not made.primary_work_paused
    over._order = working_order
    run_failover(over)
    assert len(orders) == 1


def test_the_promoted_member_gets_work_only_as_the_primary(world):
    """Guard against a promotion that counts as failed because it takes effect with a delay."""
    group, made, over, _ = world
    made.run('a', request('READ i'))
    made.pools['m0'].refused_since_ms = 1

    def order(request):
        eventlet.spawn_after(0.2, group.promote, request.member)
        return OrderAnswer(True, False)

    over._order = order
    run_failover(over)
    assert made.last_primary == group.primary != 'm0'


def test_the_stale_claim_of_a_crashed_primary_does_not_return(world):
    """Guard against work for a crashed primary whose entry still names it as the primary."""
    group, made, _, _ = world
    entries = members(group)
    entries['m0'] = entries['m0']._replace(revision=4)
    entries['m1'] = entries['m1']._replace(primary=True, revision=9)
    for _ in range(2):
        made.update(GROUP, entries, set(), 3_000)
        assert made.last_primary == 'm1'


@pytest.fixture
def synchronous():
    """Build a group with synchronous replication, with its failover and its orders."""
    group = FakeGroup()
    made = runner(group, settings=GROUP._replace(synchronous=True))
    orders: list[tuple[str, dict[str, int]]] = []

    def order(request):
        orders.append((request.member, dict(group.paused)))
        group.promote(request.member)
        return OrderAnswer(True, False)

    over = failover.Failover(made, Clock(), quiet_log(Clock()), order, lambda: True)
    made.run('a', request('READ i'))
    return group, made, over, orders


def test_replicas_stop_receiving_before_they_are_compared(synchronous):
    """Guard against a commit that a replica acknowledges after its position was compared."""
    group, made, over, orders = synchronous
    group.applied['m1'], group.applied['m2'] = Position(1, 12), Position(1, 11)
    made.pools['m0'].refused_since_ms = 1
    run_failover(over)
    assert orders == [('m1', {'m1': 2, 'm2': 2})]
    eventlet.sleep(0.05)
    assert group.paused == {}


def test_no_replica_is_promoted_while_another_may_hold_more(synchronous):
    """Guard against the loss of a commit that only an unreachable replica received."""
    group, made, over, orders = synchronous
    made.pools['m0'].refused_since_ms = 1
    group.unreachable.add('m1')
    made.pools['m1'].close_idle()
    run_failover(over)
    assert orders == []
    assert 'm2' not in group.paused


def test_a_draining_replica_is_promoted_if_only_it_holds_a_commit(synchronous):
    """Guard against the choice of a usable replica that lacks an acknowledged commit."""
    group, made, over, orders = synchronous
    entries = members(group)
    entries['m1'] = entries['m1']._replace(draining=True)
    made.update(GROUP._replace(synchronous=True), entries, set(), 3_000)
    group.applied['m1'] = Position(1, 12)
    made.pools['m0'].refused_since_ms = 1
    run_failover(over)
    assert [member for member, _ in orders] == ['m1']


def test_replicas_stay_paused_while_an_order_may_come_late(synchronous, monkeypatch):
    """Guard against commits that a replica receives and a late order then rolls back."""
    group, made, over, orders = synchronous
    monkeypatch.setattr(failover, 'PROMOTION_ORDER_INTERVAL_MS', 0)
    made.pools['m0'].refused_since_ms = 1
    working_order, over._order = over._order, lambda request: OrderAnswer(False, False, final=False)
    run_failover(over)
    assert set(group.paused) == {'m1', 'm2'}
    made.pools['m0'].refused_since_ms = 0
    over._order = working_order
    run_failover(over)
    eventlet.sleep(0.05)
    assert len(orders) == 1
    assert group.paused == {}


def test_a_primary_that_answers_again_is_not_replaced_for_an_order_without_an_answer(
    world, monkeypatch
):
    """Guard against a needless failover in a group whose replicas are not paused."""
    group, made, over, orders = world
    monkeypatch.setattr(failover, 'PROMOTION_ORDER_INTERVAL_MS', 0)
    made.run('a', request('READ i'))
    made.pools['m0'].refused_since_ms = 1
    working_order, over._order = over._order, lambda request: OrderAnswer(False, False, final=False)
    run_failover(over)
    made.pools['m0'].refused_since_ms = 0
    over._order = working_order
    run_failover(over)
    assert orders == []


def test_a_new_owner_resumes_paused_replicas(synchronous):
    """Guard against commits that wait forever for replicas which a former owner paused."""
    group, made, over, _ = synchronous
    group.paused['m2'] = 2
    over.begin()
    eventlet.sleep(0.05)
    assert group.paused == {}


def _fail(request):
    raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'store outage')


def test_nothing_is_ordered_while_another_instance_may_use_the_primary(world):
    """Guard against a promotion by an instance that lost the group while it probed the primary."""
    group, made, over, orders = world
    made.run('a', request('READ i'))
    made.pools['m0'].refused_since_ms = 1
    made.lease.exclusive_granted = False
    run_failover(over)
    assert orders == []
    assert not made.primary_work_paused


def test_a_transaction_at_the_former_primary_does_not_outlast_its_replacement(world):
    """Guard against a commit at a primary that does not know of its replacement."""
    group, made, over, orders = world
    group.unaware.add('m0')
    tx = {'consistency': Consistency.PRIMARY}
    made.run('a', request('WRITE i x', Action.IN_TRANSACTION, **tx))
    made.pools['m0'].refused_since_ms = 1
    run_failover(over)
    assert len(orders) == 1
    ended = made.run('a', request('COMMIT', Action.COMMIT, first=False, **tx))
    assert ended.error == ErrorKind.TRANSACTION_LOST.value
    assert 'COMMIT' not in group.texts()


def test_positions_of_the_former_primary_prove_nothing_while_it_is_replaced(world):
    """Guard against stale reads that rely on a primary which does not know of its replacement."""
    group, made, over, _ = world
    group.unaware.add('m0')
    made.run('a', request('READ i'))
    made.pools['m0'].refused_since_ms = 1
    known = made.evidence.newest

    def order(req):
        group.applied['m0'] = Position(1, 99)
        made.confirm_primary('m0')
        assert made.evidence.newest == known
        group.promote(req.member)
        return OrderAnswer(True, False)

    over._order = order
    run_failover(over)
    assert made.evidence.newest == group.applied[group.primary]
