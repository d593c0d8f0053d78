"""Rate limits across instances."""

from __future__ import annotations

import bisect
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitthread.core.rate_grants import (
    COVERED_CHANGES,
    GRANT_LIFETIME_MS,
    MAX_RETURN_MS,
    Grant,
    RateGranter,
    RateHolder,
    RateTolerance,
    initial_tokens,
)

WINDOW_MS = 5_000
TOLERANCE = RateTolerance(5.0, 0.1, 20.0)


@settings(max_examples=60, deadline=None)
@given(
    st.integers(5, 80),
    st.lists(st.integers(0, 2), min_size=50, max_size=600),
    st.randoms(use_true_random=False),
)
def test_no_window_exceeds_the_rate(rate, holders, random):
    """Guard against an organisation that gets more than its rate and burst."""
    granter = RateGranter(0, rate, rate)
    shares = [RateHolder() for _ in range(3)]
    now_ms, used = 0, []
    for index in holders:
        now_ms += random.randrange(0, 25)
        holder = shares[index]
        holder.waiting = 1
        if not holder.take(now_ms):
            grant = granter.grant(now_ms, 1, holder.wanted())
            holder.receive(now_ms, now_ms, grant)
            if not holder.take(now_ms):
                continue
        used.append(now_ms)
    for start, at_ms in enumerate(used):
        inside = sum(1 for each in used[start:] if each < at_ms + WINDOW_MS)
        # What was granted before the window is used within GRANT_LIFETIME_MS.
        assert inside <= rate * (WINDOW_MS + GRANT_LIFETIME_MS) / 1000 + rate + 1


@settings(max_examples=40, deadline=None)
@given(
    st.sampled_from([5, 10, 20, 40, 60, 80, 160]),
    st.sampled_from([0.5, 1.0, 2.0]),
    st.lists(
        st.integers(500, 5_400), min_size=COVERED_CHANGES, max_size=COVERED_CHANGES, unique=True
    ),
    st.sampled_from([20, 50, 100]),
    st.integers(400, GRANT_LIFETIME_MS - 20),
)
def test_no_window_exceeds_the_tolerated_rate_when_the_granter_changes(
    rate, bursts, changes, calm_ms, flood_ms
):
    """Guard against operations requested in advance and initial tokens that add up.

    The organisation has its whole burst, makes the instances request operations in advance, and
    sends as many as it can after that, while the granter changes.
    """
    random, burst, used = Random(changes[0]), rate * bursts, []
    granter = RateGranter(-10_000, rate, burst, TOLERANCE)
    holders = [RateHolder() for _ in range(4)]
    changes = sorted(changes)
    for now_ms in range(5_600):
        if changes and now_ms >= changes[0]:
            del changes[0]
            granter = RateGranter(now_ms, rate, burst, TOLERANCE)
        for holder in holders:
            flood = now_ms >= flood_ms
            if not flood and (now_ms >= calm_ms or random.random() > 0.2):
                continue
            holder.waiting = 1
            if not holder.take(now_ms):
                holder.receive(now_ms, now_ms, granter.grant(now_ms, 1, holder.wanted()))
                if not holder.take(now_ms):
                    continue
            used.append(now_ms)
    allowed = (rate * TOLERANCE.window_s + burst) * (1 + TOLERANCE.excess) + TOLERANCE.slack
    for start, at_ms in enumerate(used):
        inside = bisect.bisect_left(used, at_ms + WINDOW_MS) - start
        assert inside <= allowed


@given(st.floats(0, 500), st.floats(0, 500))
def test_initial_tokens_keep_half_of_the_slack_for_hedged_reads(rate, burst):
    """Guard against an organisation that gets nothing, or over its bound, after a restart."""
    initial = initial_tokens(rate, burst, TOLERANCE)
    excess = TOLERANCE.excess * (rate * TOLERANCE.window_s + burst)
    assert initial <= burst
    assert COVERED_CHANGES * initial <= excess + TOLERANCE.slack / 2 + 1e-6
    assert initial == burst or initial >= (excess + TOLERANCE.slack / 2) / COVERED_CHANGES - 1e-6


def test_a_refusal_while_a_new_granter_gains_nothing_names_the_time_of_the_next_operation():
    """Guard against a retry delay that ends before there is another operation."""
    granter = RateGranter(0, 80, 80, TOLERANCE)
    while (grant := granter.grant(0, 1, 1)).amount:
        pass
    assert granter.grant(grant.retry_after_ms - 1, 1, 1).amount == 0
    assert granter.grant(grant.retry_after_ms, 1, 1).amount == 1


def test_a_granter_starts_with_more_where_the_tolerance_is_given():
    """Guard against refusals within the rate after a restart of all instances."""
    granter, total = RateGranter(0, 20, 20, TOLERANCE), 0
    while (grant := granter.grant(0, 1, 1)).amount:
        total += grant.amount
    assert total == 5


def test_a_grant_ends_by_itself():
    """Guard against a grant that is used after it has expired at its granter."""
    holder = RateHolder()
    holder.receive(0, 100, RateGranter(0, 100, 100).grant(0, 5, 5))
    assert holder.take(100)
    assert not holder.take(GRANT_LIFETIME_MS)


def test_a_new_granter_starts_with_a_small_amount():
    """Guard against a full burst after each change of the granter."""
    granter = RateGranter(0, 50, 50)
    total = 0
    while (grant := granter.grant(0, 1, 1)).amount:
        total += grant.amount
    assert total == 10
    assert grant.retry_after_ms == 20


def test_a_lowered_rate_takes_effect_at_once():
    """Guard against the use of tokens that accumulated under a higher limit."""
    granter = RateGranter(0, 100, 100)
    granter.set_limit(2_000, 10, 10)
    assert granter.grant(2_000, 50, 50).amount == 10


def test_asking_ahead_leaves_half_to_others():
    """Guard against one instance that uses up the rate of an organisation."""
    granter = RateGranter(0, 20, 20)
    assert granter.grant(1_000, 1, 20).amount == 10


def test_an_organisation_without_a_rate_gets_nothing():
    """Guard against a division by a rate of zero."""
    grant = RateGranter(0, 0, 0).grant(1_000, 1, 1)
    assert grant.amount == 0
    assert grant.retry_after_ms > 0


def test_refused_callers_return_one_after_the_other():
    """Guard against refused callers that all return for the next single operation."""
    holder = RateHolder()
    holder.receive(0, 0, Grant(0, 100))
    assert [holder.next_return_ms(0) for _ in range(3)] == [100, 200, 300]
    assert holder.next_return_ms(250) == 150
    assert max(holder.next_return_ms(250) for _ in range(50)) == MAX_RETURN_MS
    holder.receive(5_000, 5_000, Grant(0, 100))
    assert holder.next_return_ms(5_000) == 100
