"""Copies of a table when the answers to calls that overlap arrive in any order."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

import pytest

from godwitthread.core.store_version import counter_of
from tests.test_gateway.model_store import ModelStore
from tests.test_gateway.restored_content import ViewClock

if TYPE_CHECKING:
    from godwitthread.gateway.store_rows import Snapshot

TABLE = 'servers'
STEPS = 400


@pytest.mark.parametrize('seed', range(20))
def test_a_copy_has_the_content_of_its_version(seed):
    """Guard against a copy that lacks rows of its version, which then counts as current.

    Answers to calls for changes, to whole reads and of peers overlap, and arrive after the copy was
    replaced or the store was restored.
    """
    random = Random(seed)
    store = ModelStore(random)
    views = [ViewClock().view for _ in range(3)]
    pending = []
    for _ in range(STEPS):
        store.write()
        if random.random() < 0.02:
            store.restore()
        view, peer = random.sample(views, 2)
        call = random.choice(['changes', 'changes', 'table', 'peer'])
        if call == 'table':
            pending.append(partial(view.replace, TABLE, store.table()))
        elif call == 'peer':
            pending += [partial(view.replace_from, each, 'b') for each in _copies(peer)]
        elif view.revision(TABLE) and (answer := store.changes(view.revision(TABLE))):
            pending.append(partial(view.apply_changes, TABLE, answer))
        if pending and random.random() < 0.7:
            pending.pop(random.randrange(len(pending)))()
        for each in (snapshot for view in views for snapshot in _copies(view)):
            rows = {row.key: (row.value, counter_of(row.revision)) for row in each.rows}
            assert rows == store.content(each.revision)


def _copies(view) -> list[Snapshot]:
    return [each for each in view.newer_than({}) if each.table == TABLE]
