"""Configurations with a lower version than the one in force, after a restore of the store."""

from __future__ import annotations

import pytest

from godwitthread.core.restored_configuration import RELEASE_DELAY_MS
from godwitthread.core.store_version import combine
from godwitthread.gateway.store_rows import Snapshot
from tests.test_gateway.restored_content import ViewClock, configuration, content

#: Counter of the store in the first copy after the restore.
FIRST = 285


def written(era, counter, *cfg, revision=None):
    """Build the operators' table whose configuration was written at a counter of the store."""
    return content(era, counter, configuration(*cfg))._replace(
        revision=combine(era, revision or counter)
    )


def view_of(*writings):
    """Build a view to which the store gave versions 7 to 9, and further ones since a restore."""
    made = ViewClock(*(('op', written(1, 10 * each + 210, each, f'k{each}')) for each in (7, 8, 9)))
    made.view.replace('op', writings[0])
    for each in writings[1:]:
        made.view.apply_changes('op', each)
    return made


def in_force(made, wait_ms=0):
    """Return the version and the key in force after some time."""
    made.wait(wait_ms)
    return made.view.configuration.version, *made.view.configuration.keys


RESTORED = written(2, 280, 7, 'k7', revision=FIRST)
NEW = written(2, 286, 8, 'new')
KEPT = (9, 'k9')


@pytest.mark.parametrize(
    ('writings', 'expected'),
    [
        ([RESTORED], KEPT),
        ([RESTORED, NEW], (8, 'new')),
        ([RESTORED, written(2, 286, 8, 'k8')], KEPT),
        ([RESTORED, written(2, 286, 8, 'k9')], (8, 'k9')),
        ([RESTORED, content(2, 286, {'config': b'{'})], KEPT),
        ([RESTORED, NEW, content(2, 287, {'config': b'{'})], KEPT),
        ([RESTORED, NEW, written(2, 287, 8, 'k8')], KEPT),
        ([RESTORED, NEW, written(2, 287, 9, 'other')], (9, 'other')),
        ([RESTORED, NEW, written(2, 287, 7, 'newer')], (7, 'newer')),
        # The first copy already has what was written after the restore.
        ([written(2, 283, 8, 'new', revision=FIRST)], (8, 'new')),
        ([written(2, 300, 8, 'new', revision=310)], (8, 'new')),
        ([written(2, 283, 8, 'k8', revision=FIRST)], KEPT),
        # It may have been in force before this instance knew of any.
        ([written(2, 279, 6, 'k6', revision=FIRST)], KEPT),
    ],
)
def test_a_lower_version_replaces_a_higher_one_only_if_it_is_new(writings, expected):
    """Guard against confirmed routes that are refused, and keys that work again."""
    made = view_of(*writings)
    higher = expected if expected[0] >= KEPT[0] else KEPT
    assert in_force(made, RELEASE_DELAY_MS - 1) == higher
    assert in_force(made, 1) == expected
    # A second restore, and a second writing of what was in force.
    made.view.replace('op', written(3, 280, 7, 'k7'))
    assert in_force(made, RELEASE_DELAY_MS) == expected
    made.view.apply_changes('op', written(3, 290, *expected))
    assert in_force(made, RELEASE_DELAY_MS) == expected
    assert not made.view.former.rows('op')


def test_a_version_that_was_malformed_at_the_restore_does_not_hold_the_one_before():
    """Guard against a lower version that is not compared since the store lost the higher one."""
    made = ViewClock(('op', written(1, 280, 7, 'k7')), ('op', written(1, 300, 9, 'k9')))
    made.view.replace('op', content(1, 301, {'config': b'{'}))
    made.view.replace('op', RESTORED)
    made.view.apply_changes('op', NEW)
    assert in_force(made) == KEPT
    assert in_force(made, RELEASE_DELAY_MS) == (8, 'new')


def test_an_instance_that_starts_follows_its_peers():
    """Guard against one instance that keeps a version that the others have replaced."""
    known = view_of(RESTORED, NEW)
    started = ViewClock(('op', NEW))
    tell(known, started)
    assert in_force(started) == KEPT
    assert in_force(known, RELEASE_DELAY_MS) == (8, 'new')
    # An older build has dropped the row that tells of the release.
    (released,) = known.view.former.newer_than({'op@former': 0})
    started.view.replace_from(released._replace(rows=()), 'older')
    assert in_force(started) == KEPT
    tell(known, started)
    assert in_force(started) == (8, 'new')
    assert started.view.content('op@former') == known.view.content('op@former')
    # A peer whose copy from before the restore was newer has not decided yet.
    late = view_of(RESTORED, NEW)
    (copy,) = late.view.former.newer_than({'op@former': 0})
    for each in (known, started):
        revision = each.view.content('op@former').revision + 1
        each.view.replace_from(copy._replace(revision=revision), 'late')
        assert in_force(each) == (8, 'new')
    tell(started, late)
    assert in_force(late) == (8, 'new')


def test_the_release_of_a_peer_does_not_renew_other_rows():
    """Guard against an evacuation that has ended and holds again."""
    evacuation = {'evacuate/stord': b'{}'}
    known, other = (
        ViewClock(
            ('op', content(1, 300, {**configuration(9, 'k9'), **evacuation})), ('op', RESTORED)
        )
        for _ in range(2)
    )
    other.view.apply_changes('op', content(2, 286, evacuation))
    other.view.replace('op', written(2, 287, 8, 'new'))
    known.view.apply_changes('op', written(2, 287, 8, 'new'))
    assert in_force(known, RELEASE_DELAY_MS) == (8, 'new')
    tell(known, other)
    assert in_force(other) == (8, 'new')
    assert (known.view.evacuated, other.view.evacuated) == ({'stord'}, set())


@pytest.mark.parametrize('era', [1, 2])
@pytest.mark.parametrize('has_copy', [False, True])
def test_the_release_of_a_peer_comes_with_rows_that_are_not_known(era, has_copy):
    """Guard against an evacuation that does not hold where it was not known before a restore."""
    before = content(era - 1, 300, {**configuration(9, 'k9'), 'evacuate/stord': b'{}'})
    known = ViewClock(('op', before), ('op', written(era, 280, 7, 'k7', revision=FIRST)))
    known.view.apply_changes('op', written(era, 286, 8, 'new'))
    assert in_force(known, RELEASE_DELAY_MS) == (8, 'new')
    copies = [('op', written(era - 1, 290, 9, 'k9'))] if has_copy else []
    other = ViewClock(*copies, ('op', written(era, 286, 8, 'new')))
    tell(known, other)
    assert (in_force(other), other.view.evacuated) == ((8, 'new'), {'stord'})


def test_a_repetition_does_not_replace_the_same_version_of_a_later_time():
    """Guard against an instance that starts with an older content of the version in force."""
    again = written(3, 300, 9, 'k9')
    known = view_of(written(2, 310, 9, 'other'))
    known.view.replace('op', again)
    started = ViewClock(('op', again))
    tell(known, started)
    assert in_force(known) == in_force(started) == (9, 'other')


def test_an_instance_that_starts_learns_which_contents_were_in_force():
    """Guard against an instance that goes back with the second writing of a lost version."""
    again = written(2, 286, 8, 'k8')
    known = view_of(RESTORED, again)
    started = ViewClock(('op', RESTORED))
    tell(known, started)
    started.view.apply_changes('op', again)
    assert in_force(started, RELEASE_DELAY_MS) == KEPT
    # One that knows less goes back alone.
    missed = ViewClock(('op', written(1, 280, 7, 'k7')), ('op', written(1, 300, 9, 'k9')))
    missed.view.replace('op', RESTORED)
    missed.view.apply_changes('op', again)
    assert in_force(missed, RELEASE_DELAY_MS) == (8, 'k8')
    tell(missed, known)
    assert in_force(known, RELEASE_DELAY_MS) == KEPT


def test_a_version_that_was_replaced_while_it_waited_does_not_come_back():
    """Guard against all instances going back when it is written again after a second restore."""
    made = view_of(RESTORED, NEW, written(2, 287, 10, 'k10'))
    made.view.replace('op', written(3, 280, 7, 'k7'))
    made.view.apply_changes('op', written(3, 288, 8, 'new'))
    assert in_force(made, RELEASE_DELAY_MS) == (10, 'k10')


@pytest.mark.parametrize('lost', [False, True])
def test_an_instance_that_missed_a_release_and_a_restore_follows_its_peers(lost):
    """Guard against one instance that keeps a version that has ended, with current evidence."""
    known, late = view_of(RESTORED, NEW), view_of(written(1, 300, 9, 'k9'))
    assert in_force(known, RELEASE_DELAY_MS) == (8, 'new')
    again = written(3, 286, 8, 'new', revision=290)
    for each in (known, late):
        each.view.replace('op', written(3, 280, 7, 'k7', revision=FIRST) if lost else again)
    tell(known, late)
    for each in (known, late):
        each.view.apply_changes('op', again)
    assert in_force(late, RELEASE_DELAY_MS) == in_force(known) == (8, 'new')


@pytest.mark.parametrize('value', [b'', b'\x91\x91\x01', b'\xc1', None])
def test_malformed_contents_of_a_peer_are_ignored(value):
    """Guard against a peer that keeps an instance from learning what holds."""
    (copy,) = view_of(RESTORED).view.former.newer_than({'op@former': 0})
    rows = tuple(
        row._replace(value=value) if row.key == 'config@known' else row for row in copy.rows
    )
    started = ViewClock(('op', RESTORED))
    started.view.replace_from(Snapshot(copy.table, copy.revision, rows), 'a')
    assert in_force(started) == KEPT


def tell(known, other):
    """Let an instance learn from another one what that holds from before the restore."""
    revisions = {**other.view.revisions(), 'op@former': other.view.content('op@former').revision}
    for each in known.view.newer_than(revisions):
        other.view.replace_from(each, 'a')
