"""Mark of the entry of an instance whose process ends."""

from __future__ import annotations

import pytest

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.ports import ConditionFailedError, Ports, StoredRow, StoredRows
from godwitthread.gateway.registration import mark_departed
from godwitthread.gateway.store_rows import PEER_TABLE, decode_peer, encode_peer
from godwitthread.gateway.store_view import StoreView
from godwitthread.platform.row_decoding import SCHEMA
from tests.test_gateway.fakes import quiet_log

PEER = Peer('a', Address('10.0.0.1', 1), 'd1', 1.0, 5)


class RecordingStore:
    """Store that records writes, and fails if told so."""

    def __init__(self, error: Exception | None = None) -> None:
        self.puts: list[tuple] = []
        self._error = error

    def put(self, *args):
        self.puts.append(args)
        if self._error is not None:
            raise self._error


def mark(store: RecordingStore, *entries: Peer) -> None:
    """Mark the entry of PEER at an instance whose copy of the table has the given entries."""
    clock = Clock()
    view = StoreView(SCHEMA, clock, quiet_log(clock), lambda _: None)
    rows = tuple(StoredRow(each.name, encode_peer(each), 7) for each in entries)
    view.replace(PEER_TABLE, StoredRows(rows, 9))
    ports = Ports(lambda *_: None, lambda: store, SCHEMA, lambda *_: None)
    mark_departed(PEER, view, ports, quiet_log(clock))


def test_the_mark_replaces_only_the_entry_that_was_seen():
    """Guard against a late mark that hides the next process of the instance."""
    store = RecordingStore()
    mark(store, PEER)
    [(table, key, value, revision)] = store.puts
    assert (table, key, revision) == (PEER_TABLE, 'a', 7)
    assert decode_peer('a', value) == PEER._replace(departed=True)


@pytest.mark.parametrize('entries', [(), (PEER._replace(incarnation=6),)])
def test_a_process_marks_no_entry_but_its_own(entries):
    """Guard against the mark of a process beside which the next one was started already."""
    store = RecordingStore()
    mark(store, *entries)
    assert store.puts == []


@pytest.mark.parametrize(
    'error', [ConditionFailedError(), ProxyError(ErrorKind.STORE_UNAVAILABLE, 'down'), KeyError()]
)
def test_a_store_that_fails_does_not_keep_a_process_from_ending(error):
    """Guard against an exit with a traceback, or by SIGKILL, after a planned stop."""
    mark(RecordingStore(error), PEER)
