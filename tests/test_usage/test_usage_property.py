"""Random failures around usage reports."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitthread.core.usage_windows import UsageTerms
from tests.test_usage.cluster import Cluster, Instance

NAMES = st.sampled_from(['i0', 'i1', 'i2', 'i3'])
STEPS = st.one_of(
    st.tuples(st.just('run'), st.sampled_from([250, 1_000, 3_000, 6_000, 11_000])),
    st.tuples(st.sampled_from(['kill', 'restart', 'freeze', 'mend', 'cut', 'leave']), NAMES),
    st.tuples(st.sampled_from(['store_cut', 'platform_cut', 'clock']), NAMES),
    st.tuples(st.sampled_from(['store_down', 'platform_down']), st.booleans()),
    st.tuples(
        st.sampled_from(['store_script', 'platform_script']),
        st.lists(st.sampled_from(['', 'lost', 'late', 'down', 'suspend']), max_size=4),
    ),
)


def apply(cluster: Cluster, step: tuple) -> None:
    """Carry out one step of a random run."""
    what, argument = step
    if what == 'run':
        cluster.run(argument)
    elif isinstance(argument, str):
        apply_to(cluster, what, cluster.instances[argument])
    else:
        skipped = 'late' if what == 'store_script' else None
        scripted = isinstance(argument, list)
        setattr(cluster, what, [x for x in argument if x != skipped] if scripted else argument)


def apply_to(cluster: Cluster, what: str, instance: Instance) -> None:
    """Let one instance fail, or mend it."""
    name = instance.peer.name
    changes = {
        'kill': {'alive': False},
        'freeze': {'frozen': True},
        'cut': {'cut': set(cluster.instances) - {name}},
        'clock': {'wall_error_ms': instance.wall_error_ms - 6_000},
        'store_cut': {'store_cut': True},
        'platform_cut': {'platform_cut': True},
        'mend': {
            'frozen': False,
            'store_cut': False,
            'platform_cut': False,
            'cut': set(),
            'wall_error_ms': 0,
        },
    }
    if what == 'restart':
        cluster.restart(name)
    elif what == 'leave':
        if instance.alive and not instance.frozen:
            cluster.leave(name)
    else:
        vars(instance).update(changes[what])


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
