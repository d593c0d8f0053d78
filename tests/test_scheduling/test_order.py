"""Order of statements, refusals, and retry delays."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from godwitthread.core.scheduling.dispatch import Dispatcher, Rejection
from godwitthread.core.scheduling.member_state import EXTRA_IN_FLIGHT, MemberState, WorkItem
from godwitthread.core.scheduling.retry_delays import RetryDelays
from godwitthread.core.scheduling.service_times import Kind, ServiceTimes


def work(number: int, now_ms: int = 0, **changes) -> WorkItem:
    """Build a read that any member can run."""
    made = WorkItem(number, False, None, 0, now_ms + 200, now_ms + 450, limit_ms=now_ms + 1_000)
    return made._replace(**changes)


def dispatcher(count: int = 1, slots: int = 1) -> Dispatcher:
    """Build a dispatcher whose first member is the primary."""
    made = Dispatcher()
    for number in range(count):
        made.members[f'm{number}'] = MemberState(f'm{number}', slots)
    made.primary = 'm0'
    return made


def test_commits_and_open_transactions_precede_new_operations():
    """Guard against connections held by transactions that wait behind new operations."""
    made = dispatcher()
    made.submit(0, work(1))
    made.submit(0, work(2, kind=Kind.TRANSACTION, member='m0'))
    made.submit(0, work(3, kind=Kind.COMMIT, member='m0'))
    assert [each.work.number for each in made.assign(0)] == [3, 2]


def test_statements_of_open_transactions_are_never_refused():
    """Guard against transactions that overload rolls back half-way."""
    made = dispatcher()
    made.members['m0'].service_ms = 500
    later = [work(each, member='m0', kind=Kind.TRANSACTION) for each in range(50)]
    assert all(made.submit(0, each) is None for each in later)
    made.members['m0'].usable = False
    assert len(made.assign(10_000)) == 1 + EXTRA_IN_FLIGHT
    assert made.take_refused() == []


def test_work_whose_members_pause_beyond_its_limit_is_refused_at_once():
    """Guard against callers that wait for a member which cannot return in time."""
    made = dispatcher()
    made.members['m0'].paused_until_ms = 1_200
    refused = made.submit(0, work(1))
    assert refused is not None
    assert refused.retry_after_ms == 1_200


def test_refused_callers_do_not_return_together():
    """Guard against retries that all arrive at once after an outage."""
    delays = RetryDelays()
    made = [delays.reserve(0, 10, 5.0, 0) for _ in range(100)]
    # Room for one statement becomes free every 5 ms.
    for until_ms in range(50, 500, 50):
        assert sum(each < 10 + until_ms for each in made) <= until_ms // 5 + 10


def test_the_caller_with_the_least_time_left_returns_first():
    """Guard against callers whose time ends while others with more time take the first room."""
    delays = RetryDelays()
    patient = delays.reserve(0, 10, 50.0, 2_000)
    assert delays.reserve(0, 10, 50.0, 100) < patient


def test_a_member_that_sheds_load_gets_it_back_by_its_answers():
    """Guard against a member that is overloaded again as soon as it answers once."""
    state = MemberState('m0', 4)
    for started_ms in range(4):
        state.record_sent(started_ms)
    state.record_shed(10, 10)
    reduced = state.allowance
    assert reduced == 2
    for now_ms in range(20, 32):
        state.record_sent(now_ms)
        state.record_answer(now_ms + 5, 5.0, None, now_ms)
        assert state.allowance - reduced <= 1
        reduced = state.allowance
    assert reduced == 4 + EXTRA_IN_FLIGHT


def test_service_times_are_kept_by_kind():
    """Guard against slow writes that make reads look slow."""
    times = ServiceTimes()
    for _ in range(50):
        times.record(Kind.READ, 10, 1.0)
        times.record(Kind.WRITE, 40, 0.5)
    assert times.answer_ms(Kind.READ, 15) == 10
    assert times.slot_ms(Kind.WRITE, 15) == 20
    assert times.slot_ms(Kind.COMMIT, 15) == 15


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['read', 'write', 'continue', 'answer', 'fail', 'shed', 'cancel']),
        st.integers(0, 60),
        st.integers(0, 400),
        st.integers(0, 3),
    ),
    max_size=120,
)


class Model:
    """Account of each statement that a dispatcher was given."""

    def __init__(self) -> None:
        self.dispatcher = dispatcher(3, 2)
        self.waiting: dict[int, WorkItem] = {}
        self.running: list[tuple[WorkItem, str, int]] = []
        self.ended: set[int] = set()
        self.now_ms = 0

    def submit(self, number: int, name: str, left_ms: int, pick: int) -> None:
        """Submit a statement; a refusal on arrival needs that no eligible slot is free."""
        new = work(
            number,
            self.now_ms,
            primary=name == 'write',
            organisation=f'o{pick}',
            objective_ms=self.now_ms + left_ms,
            deadline_ms=self.now_ms + left_ms,
            limit_ms=self.now_ms + 2 * left_ms,
            member=f'm{pick % 3}' if name == 'continue' else '',
        )
        refused = self.dispatcher.submit(self.now_ms, new)
        if refused is None:
            self.waiting[number] = new
            return
        assert name != 'continue'
        self.end(refused)
        members = self.dispatcher.members
        able = [members['m0']] if new.primary else members.values()
        assert not any(each.can_accept(self.now_ms) for each in able)

    def end(self, refused: Rejection) -> None:
        """Note a refusal as not run."""
        assert refused.work.number not in self.ended
        assert refused.retry_after_ms > 0
        self.ended.add(refused.work.number)

    def finish(self, name: str, pick: int) -> None:
        """Finish a running statement, or cancel a waiting one."""
        if name == 'cancel':
            for number in sorted(self.waiting)[pick : pick + 1]:
                assert self.dispatcher.cancel(number)
                del self.waiting[number]
                self.ended.add(number)
            return
        for entry in self.running[pick : pick + 1]:
            self.running.remove(entry)
            done, member_id, sent_ms = entry
            state = self.dispatcher.members[member_id]
            if name == 'fail':
                state.record_failure(self.now_ms, sent_ms)
                continue
            took_ms = self.now_ms - sent_ms
            if name == 'shed':
                took_ms = None
                state.record_shed(self.now_ms, 10)
            answer = done.organisation, done.kind, took_ms, None, sent_ms
            self.dispatcher.record_answer(self.now_ms, state, *answer)

    def dispatch(self) -> None:
        """Assign and check that each statement is in one place."""
        for each in self.dispatcher.assign(self.now_ms):
            del self.waiting[each.work.number]
            assert each.work.number not in self.ended
            self.ended.add(each.work.number)
            self.running.append((each.work, each.member, self.now_ms))
        for refused in self.dispatcher.take_refused():
            del self.waiting[refused.work.number]
            self.end(refused)
        assert {each.number for each in self.dispatcher} == self.waiting.keys()
        assert sum(self.dispatcher.queue_lengths()) == len(self.waiting)
        for name, state in self.dispatcher.members.items():
            assert state.running == sum(member == name for _, member, _ in self.running)
            idle = state.can_accept(self.now_ms)
            able = (each for each in self.waiting.values() if not each.primary or name == 'm0')
            assert not idle or not any(each.member in ('', name) for each in able)


@given(STEPS)
def test_each_statement_is_assigned_refused_or_cancelled_once(steps):
    """Guard against lost or doubled statements, leaked counts, idle slots and early refusals."""
    model = Model()
    for number, (name, gap_ms, left_ms, pick) in enumerate(steps):
        model.now_ms += gap_ms
        model.dispatch()
        if name in ('read', 'write', 'continue'):
            model.submit(number, name, left_ms, pick)
        else:
            model.finish(name, pick)
        model.dispatch()
