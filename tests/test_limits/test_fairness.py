from __future__ import annotations

from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitthread.core.scheduling.fairness import INITIAL_HOLD_MS, FairQueue, Popped, Refusal

FAR_MS = 1_000_000
STEPS = st.lists(
    st.tuples(st.sampled_from('pqc'), st.sampled_from('abc'), st.integers(1, 40)), max_size=80
)


class ReferenceQueue:
    """Reference start-time fair queue with exact fractions over a plain list."""

    def __init__(self, weights: dict[str, int]) -> None:
        self.weights = weights
        self.tags = dict.fromkeys(weights, Fraction())
        self.held = dict.fromkeys(weights, 8 * INITIAL_HOLD_MS)
        self.running: dict[str, list[int]] = {name: [] for name in weights}
        self.items: list[tuple[str, int]] = []
        self.virtual = Fraction()

    def push(self, name: str, item: int) -> None:
        if not any(other == name for other, _ in self.items):
            self.tags[name] = max(self.tags[name], self.virtual)
        self.items.append((name, item))

    def pop(self) -> tuple[str, int] | None:
        if not self.items:
            return None
        name = min({name for name, _ in self.items}, key=lambda n: (self.tags[n], n))
        entry = next(entry for entry in self.items if entry[0] == name)
        self.items.remove(entry)
        self.virtual = max(self.virtual, self.tags[name])
        expected = max(1, self.held[name] // 8)
        self.running[name].append(expected)
        self.tags[name] += Fraction(expected, self.weights[name])
        return entry

    def charge(self, name: str, held_ms: int) -> None:
        if self.running[name]:
            expected = self.running[name].pop(0)
            self.tags[name] += Fraction(held_ms - expected, self.weights[name])
            self.held[name] += held_ms - self.held[name] // 8


@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_order_matches_exact_fractions(steps: list[tuple[str, str, int]]) -> None:
    """Guards against a wrong order after charges, idle periods and with different weights."""
    weights = {'a': 1, 'b': 2, 'c': 4}
    queue: FairQueue[int] = FairQueue(1)
    reference = ReferenceQueue(weights)
    # The queue may drop idle flows without credit: their tags are behind the virtual time.
    for number, (kind, name, held_ms) in enumerate(steps):
        if kind == 'p':
            assert queue.push(0, name, weights[name], number, FAR_MS) is None
            reference.push(name, number)
        elif kind == 'q':
            popped = queue.pop(0)
            assert (popped and tuple(popped)) == reference.pop()
        else:
            queue.charge(name, held_ms)
            reference.charge(name, held_ms)


def test_surging_organisation_gets_its_weight_of_hold_time() -> None:
    """Guards against long statements of one organisation that crowd out the others."""
    queue: FairQueue[int] = FairQueue(1)
    held = {'large': 40, 'small': 4}
    used_ms = dict.fromkeys(held, 0)
    for turn in range(4_000):
        for name in held:
            while queue.queued(name) < 4:
                queue.push(0, name, 1, turn, FAR_MS)
        popped = queue.pop(0)
        assert isinstance(popped, Popped)
        used_ms[popped.organisation] += held[popped.organisation]
        queue.charge(popped.organisation, held[popped.organisation])
    assert abs(used_ms['large'] - used_ms['small']) <= 80


def test_late_requests_are_returned_and_never_popped() -> None:
    """Guards against running or losing a request whose deadline has passed."""
    queue: FairQueue[str] = FairQueue(4)
    queue.push(0, 'a', 1, 'late', 10)
    queue.push(0, 'a', 1, 'in time', 100)
    assert queue.pop(20) == ('a', 'in time')
    assert queue.expire(20) == ['late']
    queue.push(20, 'b', 1, 'other', 30)
    assert queue.expire(30) == ['other']
    assert len(queue) == 0


def test_refuses_at_once_when_the_expected_wait_is_too_long() -> None:
    """Guards against requests that wait until their deadline and then fail."""
    queue: FairQueue[int] = FairQueue(1)
    refusals = [queue.push(0, 'a', 1, n, 20) for n in range(10)]
    accepted = refusals.index(next(r for r in refusals if r))
    assert accepted == 20 // INITIAL_HOLD_MS + 1
    assert all(isinstance(r, Refusal) and r.reason == 'deadline' for r in refusals[accepted:])
    assert queue.push(0, 'b', 1, 1, 20) is None


def test_length_is_bounded_per_organisation() -> None:
    """Guards against unbounded memory use in a surge of one organisation."""
    queue: FairQueue[int] = FairQueue(1, max_queued=3)
    answers = [queue.push(0, 'a', 1, n, FAR_MS) for n in range(4)]
    assert answers[:3] == [None] * 3
    assert answers[3] is not None
    assert answers[3].reason == 'full'
    assert queue.push(0, 'b', 1, 1, FAR_MS) is None


def test_idle_organisation_gets_no_credit() -> None:
    """Guards against an organisation that accumulates credit while it is idle."""
    queue: FairQueue[int] = FairQueue(1)
    for turn in range(100):
        queue.push(0, 'busy', 1, turn, FAR_MS)
        queue.pop(0)
        queue.charge('busy', 10)
    order = []
    for turn in range(10):
        queue.push(0, 'busy', 1, turn, FAR_MS)
        queue.push(0, 'back', 1, turn, FAR_MS)
    for _ in range(10):
        popped = queue.pop(0)
        assert popped is not None
        order.append(popped.organisation)
        queue.charge(popped.organisation, 10)
    assert 4 <= order.count('back') <= 6
