"""Synchronization of store tables between instances."""

from __future__ import annotations

import msgspec
import pytest

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.gateway.peer_sync import PeerSync, ViewAnswer
from godwitthread.gateway.ports import StoredRow
from godwitthread.gateway.store_rows import Snapshot
from godwitthread.gateway.store_view import StoreView
from tests.test_gateway.fakes import FakeGroup, ports, quiet_log


class FakeLink:
    """Link to a peer that gives a scripted answer."""

    def __init__(self, answer: bytes) -> None:
        self.peer = Peer('b', Address('10.0.0.1', 1), 'd1', 1.0, 1)
        self.answer = answer

    def call(self, kind, body, timeout_ms):
        return self.answer


def peer_sync(answer: bytes, on_change) -> PeerSync:
    """Build the synchronization with one peer."""
    clock = Clock()
    log = quiet_log(clock)
    view = StoreView(ports(FakeGroup()).schema, clock, log, on_change)
    link = FakeLink(answer)
    return PeerSync(
        view, clock, log, lambda: ([], [link]), lambda: False, set, lambda _: lambda: None
    )


@pytest.mark.parametrize('answer', [b'', b'\xc1', msgspec.msgpack.encode({'tables': 3})])
def test_a_malformed_answer_of_a_peer_is_a_failed_request(answer):
    """Guard against a configuration that is never renewed after one malformed message."""
    assert not peer_sync(answer, lambda _: None)._ask(0)


def test_an_error_while_a_table_is_adopted_is_a_failed_request():
    """Guard against a configuration that is never renewed after one unexpected error."""

    def fail(table):
        raise ValueError(table)

    tables = (Snapshot('servers', 7, (StoredRow('m1', b'{}', 7),)),)
    answer = msgspec.msgpack.encode(ViewAnswer(tables))
    assert not peer_sync(answer, fail)._ask(0)
