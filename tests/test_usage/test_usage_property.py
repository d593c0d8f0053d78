"""Random failures around usage reports."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitthread.core.usage_windows import UsageTerms
from tests.test_usage.cluster import Cluster

NAMES = st.sampled_from(['i0', 'i1', 'i2', 'i3'])
FAULTS = [('alive', False), ('frozen', True), ('store_cut', True), ('platform_cut', True)]
OUTCOMES = ['', 'lost', 'late', 'down', 'suspend']
MENDED = {'frozen': False, 'store_cut': False, 'platform_cut': False, 'wall_error_ms': 0}
STEPS = st.one_of(
    st.tuples(st.just('run'), st.sampled_from([250, 1_000, 3_000, 6_000, 11_000])),
    st.tuples(st.sampled_from([*FAULTS, ('wall_error_ms', -6_000)]), NAMES),
    st.tuples(st.sampled_from(['restart', 'leave', 'cut', 'mend']), NAMES),
    st.tuples(st.sampled_from(['store_down', 'platform_down']), st.booleans()),
    st.tuples(st.just('platform_script'), st.lists(st.sampled_from(OUTCOMES), max_size=4)),
    st.tuples(
        st.just('store_script'),
        st.lists(st.sampled_from([each for each in OUTCOMES if each != 'late']), max_size=4),
    ),
)


def apply(cluster: Cluster, step: tuple) -> None:
    """Carry out one step of a random run."""
    what, argument = step
    instance = cluster.instances.get(argument) if isinstance(argument, str) else None
    if what == 'run':
        cluster.run(argument)
    elif instance is None:
        setattr(cluster, what, argument)
    elif isinstance(what, tuple):
        setattr(instance, *what)
    elif what == 'cut':
        instance.cut = set(cluster.instances) - {argument}
    elif what == 'mend':
        vars(instance).update(MENDED, cut=set())
    elif what == 'restart':
        cluster.restart(argument)
    elif instance.alive and not instance.frozen:
        cluster.leave(argument)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEPS, min_size=4, max_size=30), st.booleans(), st.sampled_from([500, 5_000]))
def test_no_contract_is_violated_by_any_order_of_failures(steps, fence, window_ms):
    """Guard against two reports of a window, shared or lower tokens, and holders A, B, A."""
    cluster = Cluster(fence=fence, terms=UsageTerms(window_ms, 10_000))
    cluster.run(4_000)
    for step in steps:
        apply(cluster, step)
        assert cluster.ledger.violations == []
    for name, instance in list(cluster.instances.items()):
        apply(cluster, ('mend', name))
        if not instance.alive:
            cluster.restart(name)
    cluster.store_down = cluster.platform_down = False
    cluster.store_script, cluster.platform_script = [], []
    cluster.run(20_000)
    cluster.run(20_000)
    assert cluster.ledger.violations == []
    # Reports go on once all failures have ended.
    assert max(cluster.ledger.accepted) >= cluster.terms.window(cluster.true_ms() - 7_000)
