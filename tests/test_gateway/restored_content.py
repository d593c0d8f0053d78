"""Builders of store content before and after a restore, and of views that have seen it."""

from __future__ import annotations

import json
from typing import Any

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.core.store_version import combine
from godwitthread.gateway.ports import StoredRow, StoredRows
from godwitthread.gateway.store_rows import encode_peer
from godwitthread.gateway.store_view import StoreView
from godwitthread.platform.row_decoding import SCHEMA
from tests.test_gateway.fakes import quiet_log

#: Counter of the store before the restore, and in the copy that it came back from.
BEFORE, RESTORED = 300, 280


def content(era: int, counter: int, rows: dict[str, bytes]) -> StoredRows:
    """Build a whole table whose rows were all written last."""
    version = combine(era, counter)
    return StoredRows(tuple(StoredRow(key, value, version) for key, value in rows.items()), version)


def configuration(version: int, key: str = 'k') -> dict[str, bytes]:
    """Build the row of a configuration with one key."""
    tenant = {'Name': 'big', 'ApiKeys': [key], 'RatePerS': 1, 'Burst': 1}
    fields = {'Version': version, 'Routes': [], 'Services': [], 'Limits': {'TxIdleMs': 1}}
    return {'config': json.dumps({**fields, 'Tenants': [tenant]}).encode()}


def member(name: str, count: int, **fields: Any) -> dict[str, bytes]:
    """Build the entry of a member; `count` rises with each entry that it writes."""
    entry = {
        'Service': 'orders',
        'Addr': '127.0.0.1:9000',
        'Zone': 'stord',
        'Slots': 2,
        'State': 'ready',
        'DbRole': 'replica',
        'Seq': count,
        'born': 1,
    }
    return {name: json.dumps({**entry, **fields}).encode()}


def instance(name: str, incarnation: int = 1, departed: bool = False) -> dict[str, bytes]:
    """Build the entry of an instance."""
    peer = Peer(name, Address('127.0.0.1', 7000), 'stord', 1.0, incarnation, departed)
    return {name: encode_peer(peer)}


class ViewClock:
    """View of the store with a settable time, in ms."""

    def __init__(self, *contents: tuple[str, StoredRows]) -> None:
        self.now_ms = 100_000
        clock = Clock(lambda: self.now_ms / 1000)
        self.view = StoreView(SCHEMA, clock, quiet_log(clock), lambda table: None)
        for table, each in contents:
            self.view.replace(table, each)

    def wait(self, duration_ms: int) -> None:
        """Let time pass, and do what is due then."""
        self.now_ms += duration_ms
        self.view.end_former_rows()
        self.view.drop_missing_members()


def restored(table: str, before: dict[str, bytes], after: dict[str, bytes]) -> ViewClock:
    """Build a view that has seen a table before a restore and after it."""
    return ViewClock((table, content(1, BEFORE, before)), (table, content(2, RESTORED, after)))
