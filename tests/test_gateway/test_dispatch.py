"""Dispatch of work: order and choice of members."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from godwitthread.core.scheduling.absence import MISSING_MS
from godwitthread.core.scheduling.dispatch import MISSING_RETRY_MS, Dispatcher
from godwitthread.core.scheduling.member_state import (
    EXTRA_IN_FLIGHT,
    INITIAL_LAG_MS,
    MemberState,
    WorkItem,
)
from godwitthread.core.scheduling.service_times import Kind
from godwitthread.types import Position


def work(number: int, **changes) -> WorkItem:
    """Build a read that any member can run."""
    made = WorkItem(number, False, None, 0, 200, 1_000, 1)
    return made._replace(**changes)


def dispatcher(count: int = 3, slots: int = 2) -> Dispatcher:
    """Build a dispatcher whose first member is the primary."""
    made = Dispatcher()
    for number in range(count):
        made.members[f'm{number}'] = MemberState(f'm{number}', slots)
    made.primary = 'm0'
    return made


def test_work_for_the_primary_is_assigned_to_no_replica():
    """Guard against writes on replicas."""
    made = dispatcher()
    for number in range(10):
        made.submit(0, work(number, primary=True))
    assigned = made.assign(0)
    assert {each.member for each in assigned} == {'m0'}
    assert len(assigned) == 2 + EXTRA_IN_FLIGHT


def test_reads_leave_the_primary_to_writes():
    """Guard against writes that queue behind reads which a replica could run."""
    made = dispatcher()
    for number in range(2):
        made.submit(0, work(number))
    assert {each.member for each in made.assign(0)} == {'m1', 'm2'}


def test_work_that_can_meet_its_objective_goes_first():
    """Guard against work past its objective that makes other work miss its objective."""
    made = dispatcher(1, 1)
    made.submit(300, work(1, objective_ms=200))
    made.submit(300, work(2, objective_ms=600))
    made.submit(300, work(3, objective_ms=400))
    assert [each.work.number for each in made.assign(300)] == [3, 2]


def test_a_replica_that_lacks_the_position_gets_no_read():
    """Guard against reads that a replica must refuse because it lags."""
    made = dispatcher(2)
    made.members['m1'].position = Position(1, 4)
    required = work(1, required=Position(1, 5), required_ms=0, avoid=frozenset({'m0'}))
    made.submit(10, required)
    assert made.assign(10) == []
    made.members['m1'].position = Position(1, 5)
    assert [each.member for each in made.assign(11)] == ['m1']


def test_work_starts_when_the_lag_has_passed_to_the_millisecond():
    """Guard against work that waits for its whole time limit because no check was scheduled."""
    made = dispatcher(2)
    made.submit(0, work(1, required=Position(1, 5), avoid=frozenset({'m0'})))
    next_ms = made.next_change_ms(0)
    assert next_ms == INITIAL_LAG_MS
    assert [each.member for each in made.assign(next_ms)] == ['m1']


def test_work_that_cannot_start_in_time_is_refused_with_a_delay():
    """Guard against work that waits until its caller times out."""
    made = dispatcher(1, 1)
    made.members['m0'].service_ms = 100
    refused = [made.submit(0, work(number, deadline_ms=350)) for number in range(8)]
    assert refused[0] is None
    assert refused[-1] is not None
    assert refused[-1].retry_after_ms >= 350


def test_work_for_a_lost_primary_does_not_delay_reads():
    """Guard against reads that are refused while writes wait for a primary."""
    made = dispatcher()
    made.primary = None
    for number in range(100):
        assert made.submit(0, work(number, primary=True)) is None
    assert made.submit(0, work(200, deadline_ms=20)) is None


def test_a_failed_member_gets_no_work_for_a_while():
    """Guard against work for a member that is unreachable."""
    made = dispatcher(1)
    made.members['m0'].record_sent(0)
    made.members['m0'].record_failure(0)
    made.submit(1, work(1))
    assert made.assign(1) == []
    next_ms = made.next_change_ms(1)
    assert next_ms is not None
    assert len(made.assign(next_ms)) == 1


def test_a_cold_member_gets_work_at_its_rate():
    """Guard against a cold member that is overloaded after its start."""
    made = dispatcher(1, 50)
    state = made.members['m0']
    state.cold_rate, state.cold_until_ms = 10.0, 5_000
    started = 0
    for now_ms in range(0, 1_000, 5):
        made.submit(now_ms, work(now_ms, deadline_ms=now_ms + 4))
        started += len(made.assign(now_ms))
        made.cancel(now_ms)
    assert started <= 11


def test_work_for_a_cold_member_starts_when_its_rate_allows():
    """Guard against work that waits for up to a second although a cold member is idle."""
    made = dispatcher(1, 50)
    state = made.members['m0']
    state.cold_rate, state.cold_until_ms = 20.0, 5_000
    for number in range(2):
        made.submit(0, work(number))
    assert len(made.assign(0)) == 1
    state.record_answer(10, 10.0, None)
    next_ms = made.next_change_ms(10)
    assert next_ms == 50
    assert len(made.assign(next_ms)) == 1


def test_silence_is_counted_over_statements_that_timed_out():
    """Guard against an unresponsive primary whose silence restarts with each time-out."""
    state = MemberState('m0', 2)
    state.record_sent(100)
    state.record_failure(400)
    state.record_sent(500)
    assert state.unanswered_since_ms == 100
    state.record_contact(600)
    assert state.unanswered_since_ms == 600
    state.record_answer(700, 10.0, None)
    assert state.unanswered_since_ms == 0


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 400), st.integers(1, 900)),
        max_size=30,
    ),
    st.integers(1, 3),
)
def test_no_member_runs_more_than_its_slots(items, slots):
    """Guard against queues at members beyond the allowance, and lost or duplicate work."""
    made = dispatcher(3, slots)
    now_ms, seen = 0, set()
    for number, (primary, offset, gap_ms, left_ms) in enumerate(items):
        now_ms += gap_ms
        required = Position(1, offset) if offset % 2 else None
        new = work(
            number,
            primary=primary,
            required=required,
            required_ms=now_ms,
            deadline_ms=now_ms + left_ms,
        )
        made.submit(now_ms, new)
        for each in made.assign(now_ms):
            assert each.work.number not in seen
            assert not each.work.primary or each.member == 'm0'
            seen.add(each.work.number)
        assert all(state.load(now_ms) <= slots + EXTRA_IN_FLIGHT for state in made.members.values())


def test_urgent_work_goes_first():
    """Guard against urgent work that queues behind work of lower priority."""
    made = dispatcher(1, 1)
    made.submit(0, work(1, priority=2))
    made.submit(0, work(2, priority=2))
    made.submit(0, work(3, priority=1))
    assert [each.work.number for each in made.assign(0)] == [3, 1]


def test_statements_without_an_answer_do_not_hold_the_slots_of_a_member_that_answers():
    """Guard against a member that gets no work because some of its answers are lost."""
    made = dispatcher(1, 1)
    state = made.members['m0']
    for started_ms in (0, 10):
        state.record_sent(started_ms)
    assert not state.can_accept(20)
    # The later statement is answered, so the answer to the earlier one is probably lost.
    state.record_answer(30, 20.0, None, started_ms=10)
    state.record_sent(40)
    assert not state.can_accept(50)
    made.submit(50, work(1, objective_ms=900))
    next_ms = made.next_change_ms(50)
    assert next_ms is not None
    assert next_ms < 200
    assert [each.work.number for each in made.assign(next_ms)] == [1]


def test_a_member_that_answers_nothing_gets_no_more_work():
    """Guard against work that accumulates at an unresponsive member."""
    state = MemberState('m0', 1)
    for started_ms in range(1 + EXTRA_IN_FLIGHT):
        state.record_sent(started_ms)
    assert not state.can_accept(10_000)


def test_answers_to_statements_before_a_restart_are_ignored():
    """Guard against a negative count of running statements when a member restarts."""
    state = MemberState('m0', 2)
    state.record_answer(10, 5.0, None, started_ms=3)
    state.record_failure(20, 4)
    assert state.running == 0


def test_a_replica_is_asked_again_soon_after_its_lag_has_ended():
    """Guard against a lag estimate that concurrent LAGGING answers raise several times.

    In the run fjordkjol-ruter-grown trouble-1, ten concurrent answers after a network cut of 7 s
    raised the estimate to its limit of 8 s, and the primary alone served the group for 6 s.
    """
    replica = dispatcher(2).members['m1']
    for _ in range(10):
        replica.record_lagging(1_000, 2_250)
    later = [
        now_ms
        for now_ms in range(1_000, 9_000, 50)
        if replica.has_applied(now_ms, work(1, required=Position(1, 9), required_ms=now_ms - 2_250))
    ]
    assert later[0] <= 1_500
    # A replica that still lags is not tried by every read.
    assert later[0] >= 1_100


def test_a_read_goes_to_a_member_with_an_open_connection_of_its_organisation():
    """Guard against reads that each open a connection and evict another one."""
    made = dispatcher(3, 3)
    made.members['m2'].has_connection = lambda name: name == 'drivers'
    made.submit(0, work(1, organisation='drivers'))
    made.submit(0, work(2, organisation='others'))
    chosen = {each.work.number: each.member for each in made.assign(0)}
    assert chosen[1] == 'm2'
    assert chosen[2] == 'm1'


def test_a_busy_member_is_not_preferred_for_its_open_connection():
    """Guard against queueing at one member while another one is free."""
    made = dispatcher(3, 3)
    made.members['m2'].has_connection = lambda name: True
    for started_ms in range(3):
        made.members['m2'].record_sent(started_ms)
    made.submit(5, work(1, organisation='drivers'))
    assert [each.member for each in made.assign(5)] == ['m1']


def test_a_replica_that_lagged_is_tried_again():
    """Guard against replicas that get no more reads after a temporary lag."""
    made = dispatcher(2)
    replica = made.members['m1']
    for now_ms in range(0, 3_000, 100):
        read = work(now_ms, required=Position(1, 9), required_ms=now_ms - 2_000)
        if replica.has_applied(now_ms, read):
            replica.record_lagging(now_ms, 2_000)
    tried = [
        now_ms
        for now_ms in range(3_000, 7_000, 100)
        if replica.has_applied(now_ms, work(1, required=Position(1, 9), required_ms=now_ms - 2_000))
    ]
    assert tried
    assert tried[0] < 5_000


def test_writes_are_refused_at_once_while_the_primary_has_been_missing_for_long():
    """Guard against callers that wait in vain in an outage of the promotion duty."""
    made = dispatcher()
    made.primary = None
    for now_ms in range(0, MISSING_MS, 100):
        assert made.submit(now_ms, work(now_ms, primary=True)) is None
        assert made.cancel(now_ms)
    refused = made.submit(MISSING_MS, work(-1, primary=True))
    assert refused is not None
    assert refused.retry_after_ms >= MISSING_RETRY_MS
    assert made.submit(MISSING_MS, work(-2)) is None, 'reads have a member'
    made.primary = 'm0'
    assert made.submit(MISSING_MS + 1, work(-3, primary=True)) is None


def test_a_missing_primary_counts_from_when_it_was_seen():
    """Guard against refusing the first write after a pause because of an earlier failover."""
    made = dispatcher()
    made.primary = None
    assert made.submit(0, work(1, primary=True)) is None
    assert made.submit(10 * MISSING_MS, work(2, primary=True)) is None


def test_work_behind_a_deferred_organisation_is_found_without_sorting_the_queue():
    """Guard against an answer that costs time in proportion to the length of the queue."""
    made = dispatcher(1, 1)
    for number in range(500):
        made.submit(0, work(number, objective_ms=60_000, deadline_ms=60_000, organisation='o'))
    made.deferred = {'p'}
    made.assign(0)
    made.members['m0'].record_answer(10, 10.0, None)
    taken = []
    order = made._reads.in_order

    def counted(fair):
        for each in order(fair):
            taken.append(each.number)
            yield each

    made._reads.in_order = counted
    assert len(made.assign(10)) == 1
    assert len(taken) <= 2


def test_a_primary_that_fails_each_attempt_counts_as_missing():
    """Guard against callers that wait for a crashed primary that is tried between its pauses."""
    made = dispatcher()
    primary = made.members['m0']
    for now_ms in range(0, MISSING_MS, 100):
        if not now_ms % 300:
            primary.record_failure(now_ms)
        assert made.submit(now_ms, work(now_ms, primary=True)) is None
        assert made.cancel(now_ms)
    primary.record_failure(MISSING_MS)
    assert made.submit(MISSING_MS, work(-1, primary=True)) is not None
    later_ms = primary.paused_until_ms
    assert made.submit(later_ms, work(-2, primary=True)) is None, 'a free slot may run it'
    primary.record_answer(later_ms + 10, 5.0, None)
    assert made.submit(later_ms + 10, work(-3, primary=True)) is None
    primary.record_failure(later_ms + 20)
    assert made.submit(later_ms + 20, work(-4, primary=True)) is None


def test_a_missing_primary_counts_anew_after_it_has_run_a_statement():
    """Guard against refusals at once during a short failover soon after another one."""
    made = dispatcher()
    made.primary = None
    assert made.submit(0, work(1, primary=True)) is None
    made.primary = 'm0'
    assert len(made.assign(300)) == 1
    made.record_answer(310, made.members['m0'], '', Kind.WRITE, 10.0, None, 300)
    made.primary = None
    late = {'deadline_ms': 9_000, 'objective_ms': 9_000, 'primary': True}
    assert made.submit(MISSING_MS - 100, work(2, **late)) is None
    assert made.submit(MISSING_MS + 100, work(3, **late)) is None
