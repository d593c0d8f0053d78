"""Decision whether a refusal is final, and the calls that it may cost."""

from __future__ import annotations

import pytest

from godwitthread.core.refusal_evidence import (
    PEER_RETRY_MS,
    STORE_RETRY_MS,
    Judgement,
    RefusalEvidence,
    Verdict,
)

REFUSE, POSTPONE = Judgement(Verdict.REFUSE), Judgement(Verdict.POSTPONE)


def wait(ms: int) -> Judgement:
    """Return the judgement that a caller waits."""
    return Judgement(Verdict.WAIT, ms)


@pytest.mark.parametrize(
    ('began_ms', 'failed_ms', 'evidence_ms', 'judgement', 'due'),
    [
        # Evidence in time costs nothing, also during a call and after one that failed.
        (None, None, 7_000, REFUSE, False),
        (9_900, 9_000, 7_000, REFUSE, False),
        # Evidence that is too old, or none, costs a call, for which callers wait.
        (None, None, 6_999, POSTPONE, True),
        (None, None, None, POSTPONE, True),
        (9_900, None, 6_999, wait(200), False),
        (9_701, None, None, wait(1), False),
        # The answer is late.
        (9_700, None, None, POSTPONE, False),
        # The store did not answer before, and nothing was heard of it since.
        (None, 7_001, None, POSTPONE, False),
        (None, 7_000, 6_999, POSTPONE, True),
        (9_950, 6_000, 5_000, wait(50), False),
        (9_900, 6_000, 5_000, POSTPONE, False),
        # It was heard of since, and is silent again.
        (None, 6_000, 6_001, POSTPONE, True),
        (9_900, 6_000, 6_001, wait(200), False),
    ],
)
def test_a_refusal_is_final_only_with_evidence(began_ms, failed_ms, evidence_ms, judgement, due):
    """Guard against final refusals without evidence, and against waits for nothing."""
    state, now_ms = RefusalEvidence(), 10_000
    if failed_ms is not None:
        state.call_began(failed_ms)
        state.call_ended(None)
    if began_ms is not None:
        state.call_began(began_ms)
    assert state.is_call_due(now_ms, now_ms, evidence_ms, STORE_RETRY_MS) is due
    assert state.judge(now_ms, now_ms, evidence_ms) == judgement


@pytest.mark.parametrize('retry_ms', [STORE_RETRY_MS, PEER_RETRY_MS])
def test_a_flood_during_an_outage_costs_few_calls_and_no_long_waits(retry_ms):
    """Guard against calls and waits in proportion to the callers with wrong keys."""
    state, ends_ms, calls, waits = RefusalEvidence(), 0, 0, []
    for now_ms in range(1_000, 61_000, 10):
        if ends_ms and now_ms >= ends_ms:
            state.call_ended(None)
            ends_ms = 0
        if state.is_call_due(now_ms, now_ms, None, retry_ms):
            state.call_began(now_ms)
            calls, ends_ms = calls + 1, now_ms + 800
        waits.append(state.judge(now_ms, now_ms, None).wait_ms)
    assert calls == 60_000 // retry_ms
    assert sum(each > 0 for each in waits) == 30 + (calls - 1) * 10
    assert max(waits) <= 300


def test_calls_that_bring_evidence_are_as_rare_as_its_age_allows():
    """Guard against a call for each caller while the store answers at once."""
    state, evidence_ms, calls = RefusalEvidence(), None, 0
    for now_ms in range(1_000, 61_000, 10):
        if state.is_call_due(now_ms, now_ms, evidence_ms, STORE_RETRY_MS):
            state.call_began(now_ms)
            evidence_ms, calls = now_ms, calls + 1
            state.call_ended(evidence_ms)
        assert state.judge(now_ms, now_ms, evidence_ms) == REFUSE
    assert calls == 20
