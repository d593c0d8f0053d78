"""Rows that hold until a restored store has them again."""

from __future__ import annotations

import pytest

from godwitthread.core.store_version import combine
from godwitthread.gateway.former_tables import EVACUATION_HOLD_MS, MEMBER_HOLD_MS
from godwitthread.gateway.store_rows import PEER_TABLE, Snapshot
from godwitthread.gateway.store_view import MISSING_MEMBER_MS
from tests.test_gateway.restored_content import (
    BEFORE,
    RESTORED,
    ViewClock,
    configuration,
    content,
    instance,
    member,
    restored,
)

EVACUATION = {'evacuate/stord': b'{}'}


def in_force(view):
    """Return what an instance does by its view of the store."""
    cfg = view.configuration
    return (
        (cfg.version, *cfg.keys) if cfg else None,
        view.evacuated,
        {name: (each.draining, each.primary) for name, each in view.members.items()},
        {name: (each.incarnation, each.departed) for name, each in view.peers.items()},
    )


@pytest.mark.parametrize(
    ('table', 'before', 'after'),
    [
        ('op', configuration(9, 'new'), configuration(7, 'withdrawn')),
        ('op', configuration(9), {}),
        ('op', configuration(9), {'config': b'{'}),
        ('op', {**configuration(9), **EVACUATION}, configuration(9)),
        ('servers', member('m', 5, State='draining'), member('m', 4)),
        ('servers', member('m', 5), member('m', 4, DbRole='primary')),
        ('servers', member('m', 1, born=9), member('m', 50)),
        ('servers', member('m', 5), {}),
        (PEER_TABLE, instance('a'), {}),
        (PEER_TABLE, instance('a', 2), instance('a', 1)),
        (PEER_TABLE, instance('a', 1, departed=True), instance('a', 1)),
    ],
)
def test_what_a_restored_store_lacks_holds_until_it_is_written_again(table, before, after):
    """Guard against an instance that goes back to what was in force before."""
    made = restored(table, before, after)
    known = in_force(ViewClock((table, content(1, BEFORE, before))).view)
    assert in_force(made.view) == known
    made.wait(2_000)
    assert in_force(made.view) == known
    # A later restore, of which nothing was written again, makes no difference.
    made.view.replace(table, content(3, RESTORED - 10, after))
    assert in_force(made.view) == known
    # Another change does not count as the missing one.
    made.view.apply_changes(table, content(3, RESTORED - 9, {'other': b'{}'}))
    assert in_force(made.view) == known
    made.view.apply_changes(table, content(3, RESTORED - 8, before))
    assert in_force(made.view) == known
    assert made.view.former.rows(table) == {}
    # What was written again and is removed later is gone.
    removed = content(3, RESTORED - 7, before)
    rows = tuple(row._replace(value=None) for row in removed.rows)
    made.view.apply_changes(table, removed._replace(rows=rows))
    made.wait(MISSING_MEMBER_MS)
    assert (made.view.evacuated, made.view.members, made.view.peers) == (set(), {}, {})


@pytest.mark.parametrize(
    ('table', 'before', 'after'),
    [
        ('op', configuration(9), configuration(11, 'newer')),
        # The operators may have written another content under the version that was lost.
        ('op', configuration(9), configuration(9, 'other')),
        ('op', {}, EVACUATION),
        ('op', {'unknown': b'{}'}, {}),
        ('servers', member('m', 5), member('m', 6, State='draining')),
        ('servers', member('m', 50), member('m', 1, born=2)),
        ('servers', {'m': b'{'}, member('m', 1)),
        (PEER_TABLE, instance('a', 1, departed=True), instance('a', 2)),
        (PEER_TABLE, {'a': b'{'}, instance('a', 2)),
    ],
)
def test_what_was_written_after_a_restore_is_in_force_at_once(table, before, after):
    """Guard against content of a gone era that hides the current one."""
    made = restored(table, before, after)
    assert in_force(made.view) == in_force(ViewClock((table, content(2, RESTORED, after))).view)
    assert made.view.former.rows(table) == {}


def test_an_evacuation_that_is_not_written_again_ends():
    """Guard against a failure domain that stays evacuated for good."""
    made = restored('op', {**configuration(9), **EVACUATION}, configuration(9))
    made.wait(EVACUATION_HOLD_MS - 1)
    assert made.view.evacuated == {'stord'}
    made.wait(1)
    assert made.view.evacuated == set()


def test_an_evacuation_that_is_written_again_and_ended_between_two_reads_ends():
    """Guard against a failure domain that stays evacuated although the store reports its end."""
    made = restored('op', {**configuration(9), **EVACUATION}, configuration(9))
    (row,) = content(2, RESTORED + 2, EVACUATION).rows
    changes = content(2, RESTORED + 2, {})._replace(rows=(row._replace(value=None),))
    made.view.apply_changes('op', changes)
    assert made.view.evacuated == set()


def test_a_member_whose_entry_is_not_written_again_is_dropped():
    """Guard against requests to a member that ended while the store was away."""
    made = restored('servers', member('m', 5), {})
    made.wait(MEMBER_HOLD_MS)
    made.wait(MISSING_MEMBER_MS)
    assert made.view.members == {}


def test_an_instance_that_starts_after_a_restore_learns_from_its_peers_what_holds():
    """Guard against an instance that serves the configuration of the copy."""
    before, after = {**configuration(9, 'new'), **EVACUATION}, configuration(7, 'withdrawn')
    known = restored('op', before, after).view
    started = ViewClock(('op', content(2, RESTORED + 1, after))).view
    assert started.configuration.version == 7
    (kept,) = known.newer_than(started.revisions())
    started.replace_from(kept, 'a')
    assert in_force(started) == in_force(known)
    assert known.newer_than(started.revisions()) == ()


def test_an_instance_that_missed_the_last_version_learns_it_after_a_restore():
    """Guard against a confirmed version that only instances which were late do not have."""
    late = restored('op', configuration(8), configuration(7)).view
    late.replace_from(Snapshot('op@former', combine(1, BEFORE + 1), ()), 'b')
    rows = content(1, BEFORE + 2, configuration(9)).rows
    late.replace_from(Snapshot('op@former', combine(1, BEFORE + 2), rows), 'a')
    assert late.configuration.version == 9


@pytest.mark.parametrize('name', ['op@former', 'unknown@former', '@former'])
@pytest.mark.parametrize('version', [combine(1, BEFORE), combine(2, RESTORED), 0])
def test_rows_of_no_earlier_era_are_not_kept(name, version):
    """Guard against rows of the era in force, or of unknown tables, that hold for good."""
    view = ViewClock(('op', content(1, RESTORED, configuration(7)))).view
    rows = content(1, BEFORE, configuration(9)).rows
    view.replace_from(Snapshot(name, version, rows), 'a')
    assert view.configuration.version == 7


def test_older_builds_are_sent_no_rows_of_an_earlier_era():
    """Guard against requests of older builds that are answered at once, without end."""
    view = restored('op', configuration(9), configuration(7)).view
    assert view.newer_than({'op': view.revision('op')}) == ()


def test_a_peer_that_does_not_know_of_the_restore_gives_its_copy():
    """Guard against an instance that starts first after a restore and knows only the copy."""
    before, after = {**configuration(9, 'new'), **EVACUATION}, configuration(7, 'withdrawn')
    late = ViewClock(('op', content(1, BEFORE, before))).view
    started = ViewClock(('op', content(2, RESTORED, after))).view
    (copy,) = late.newer_than(started.revisions())
    started.replace_from(copy, 'a')
    assert in_force(started) == in_force(late)
    assert late.newer_than(started.revisions()) == ()
    # An instance that has followed the restore itself has the same rows, and asks for none.
    followed = restored('op', before, after).view
    assert followed.content('op@former') == late.content('op')
    assert late.newer_than(followed.revisions()) == ()


def test_an_entry_that_holds_is_newer_than_all_restored_ones():
    """Guard against a crashed primary that is followed again since its entry was restored."""
    before = {**member('new', 5, DbRole='primary'), **member('old', 3, DbRole='primary')}
    after = {**member('new', 4), **member('old', 3, DbRole='primary')}
    members = restored('servers', before, after).view.members
    assert members['new'].revision >= members['old'].revision
    assert members['new'].primary
