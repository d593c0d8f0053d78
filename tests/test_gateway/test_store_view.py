"""Local copy of the store tables."""

from __future__ import annotations

import ipaddress
import json

import pytest

from godwitthread.address import Address
from godwitthread.clock import Clock
from godwitthread.core.catalog import Peer
from godwitthread.events import EventLog, HybridLogicalClock
from godwitthread.gateway import store_rows, store_view
from godwitthread.gateway.logs import FAILURE_BURST, Log
from godwitthread.gateway.ports import Schema, StoredRow, StoredRows, Undecodable
from godwitthread.gateway.store_rows import PEER_TABLE, encode_peer
from godwitthread.gateway.store_view import StoreView
from tests import malformed
from tests.test_gateway.fakes import configuration, member, quiet_log


def decode_configuration(value):
    """Decode a version number."""
    return configuration(int(value)) if value.isdigit() else Undecodable('no number')


def decode_member(name, value):
    """Decode the address of a member; raise for a value that the decoder does not expect."""
    if not value:
        return Undecodable('empty')
    if value == b'unexpected':
        raise OverflowError('scripted')
    return member(name)._replace(address=Address(json.loads(value), 80))


SCHEMA = Schema('op', 'servers', 'config', 'evacuate/', decode_configuration, decode_member)


class Time:
    """Settable time source."""

    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def make(events=None):
    """Build a store view with a settable time."""
    time = Time()
    clock = Clock(time)
    log = Log(events, clock) if events else quiet_log(clock)
    return StoreView(SCHEMA, clock, log, lambda table: None), time


def event_log():
    """Build an event log that keeps its events in memory."""
    return EventLog({}, HybridLogicalClock(Clock().wall_ms))


def events_named(events, name):
    """Return the recorded events with a name."""
    return [event for event in events.since() if event['event'] == name]


def rows(*pairs, revision):
    """Build rows from (key, value) pairs."""
    return StoredRows(tuple(StoredRow(key, value, revision) for key, value in pairs), revision)


def test_a_configuration_never_goes_back():
    """Guard against an older version from a peer or a late answer."""
    view, _ = make()
    view.replace('op', rows(('config', b'7'), revision=10))
    view.replace('op', rows(('config', b'5'), revision=9))
    assert view.configuration.version == 7
    view.apply_changes('op', rows(('config', b'6'), revision=11))
    assert view.configuration.version == 7


def test_an_answer_that_is_older_than_the_copy_is_reported():
    """Guard against answers of a restored or lagging store that leave no trace."""
    events = event_log()
    view, _ = make(events)
    view.replace('op', rows(('config', b'7'), revision=10))
    view.apply_changes('op', rows(revision=10))
    view.replace('op', rows(('config', b'5'), revision=9))
    (found,) = events_named(events, 'store_answer_outdated')
    assert (found['table'], found['revision'], found['copy_revision']) == ('op', 9, 10)
    assert view.outdated_answers == 1


def test_an_undecodable_row_keeps_the_last_version():
    """Guard against the loss of the configuration after an invalid row."""
    view, _ = make()
    view.replace('op', rows(('config', b'7'), revision=10))
    view.apply_changes('op', rows(('config', b'\xff'), revision=11))
    assert view.configuration.version == 7


def test_an_evacuation_starts_and_ends():
    """Guard against a failure domain that stays evacuated."""
    view, _ = make()
    view.replace('op', rows(('evacuate/d1', b'{}'), ('config', b'1'), revision=5))
    assert view.evacuated == {'d1'}
    view.apply_changes('op', rows(('evacuate/d1', None), revision=6))
    assert view.evacuated == set()


def test_a_missing_member_is_kept_for_a_grace_period():
    """Guard against members that are dropped because their entries expired in a store outage."""
    view, time = make()
    view.replace('servers', rows(('m1', b'"10.0.0.1"'), revision=5))
    view.replace('servers', rows(revision=6))
    view.drop_missing_members()
    assert 'm1' in view.members
    time.now_s += store_view.MISSING_MEMBER_MS / 1000
    view.drop_missing_members()
    assert view.members == {}


def test_a_member_whose_entry_reappears_is_kept():
    """Guard against a member that is dropped although its entry reappeared."""
    view, time = make()
    view.replace('servers', rows(('m1', b'"10.0.0.1"'), revision=5))
    view.replace('servers', rows(revision=6))
    view.replace('servers', rows(('m1', b'"10.0.0.1"'), revision=7))
    time.now_s += 60
    view.drop_missing_members()
    assert 'm1' in view.members


def test_a_member_whose_address_was_reused_is_dropped_at_once():
    """Guard against work that reaches another member at a reused address."""
    view, _ = make()
    view.replace('servers', rows(('m1', b'"10.0.0.1"'), revision=5))
    view.replace('servers', rows(('m2', b'"10.0.0.1"'), revision=6))
    assert set(view.members) == {'m2'}


def test_tables_are_copied_between_instances():
    """Guard against instances that miss changes while the store refuses their calls."""
    first, _ = make()
    second, _ = make()
    peer = Peer('a', Address('10.0.0.1', 1), 'd1', 1.0, 5)
    first.replace('op', rows(('config', b'7'), revision=10))
    first.replace(PEER_TABLE, rows(('a', encode_peer(peer)), revision=10))
    for snapshot in first.newer_than(second.revisions()):
        second.replace_from(snapshot, 'a')
    assert second.configuration.version == 7
    assert second.peers == {'a': peer}
    assert first.newer_than(second.revisions()) == ()


def test_an_invalid_instance_row_is_ignored():
    """Guard against a process that fails because of a row of another writer."""
    view, _ = make()
    view.replace(PEER_TABLE, rows(('a', b'{"name": 1}'), ('b', b''), revision=3))
    assert view.peers == {}


def test_a_table_that_could_not_be_adopted_is_adopted_at_the_next_read():
    """Guard against a configuration that takes effect in part, until the next change."""
    clock = Clock()
    failures = [ValueError('scripted')]
    adopted = []

    def on_change(table):
        if failures:
            raise failures.pop()
        adopted.append(table)

    view = StoreView(SCHEMA, clock, quiet_log(clock), on_change)
    with pytest.raises(ValueError, match='scripted'):
        view.replace('op', rows(('config', b'7'), revision=10))
    view.replace('op', rows(('config', b'7'), revision=10))
    assert adopted == ['op']


def test_a_table_is_not_sent_again_after_a_change_of_another_table():
    """Guard against whole tables for every peer each time that the store's version rises."""
    view, _ = make()
    view.replace('op', rows(('config', b'7'), revision=10))
    view.apply_changes('op', rows(revision=20))
    view.replace('servers', rows(('m1', b'"10.0.0.1"'), revision=20))
    assert [snapshot.table for snapshot in view.newer_than({'op': 10, 'servers': 10})] == [
        'servers'
    ]
    assert [snapshot.revision for snapshot in view.newer_than({'op': 9, 'servers': 20})] == [20]


@pytest.mark.parametrize('value', [b'', b'unexpected'])
def test_a_malformed_row_hides_no_change_of_other_rows(value):
    """Guard against one entry of another writer that hides all later changes of the members."""
    view, _ = make()
    view.replace('servers', rows(('bad', value), ('m1', b'"10.0.0.1"'), revision=5))
    assert set(view.members) == {'m1'}
    view.apply_changes('servers', rows(('m2', b'"10.0.0.2"'), revision=6))
    assert set(view.members) == {'m1', 'm2'}
    assert view.revision('servers') == 6


def test_a_malformed_configuration_hides_no_evacuation():
    """Guard against work in a failure domain that is evacuated while a version is malformed."""
    view, _ = make()
    view.replace('op', rows(('config', b'7'), revision=10))
    view.apply_changes('op', rows(('config', b'\xff'), ('evacuate/d1', b''), revision=11))
    assert view.configuration.version == 7
    assert view.evacuated == {'d1'}


def test_a_malformed_row_is_reported_once_until_it_is_replaced():
    """Guard against a line of log for each read, and against a fault that operators can't see."""
    events = event_log()
    view, time = make(events)
    view.replace('servers', rows(('bad', b'unexpected'), revision=5))
    for revision in range(6, 9):
        time.now_s += 20
        view.apply_changes('servers', rows(('m1', b'"10.0.0.1"'), revision=revision))
    (found,) = events_named(events, 'row_undecodable')
    assert (found['table'], found['row'], found['revision']) == ('servers', 'bad', 5)
    assert found['reason'] == 'OverflowError: scripted'
    assert (view.malformed_rows('servers'), view.not_in_force_ms('servers')) == (1, 60_000)
    assert view.malformed_rows('op') == 0
    view.apply_changes('servers', rows(('bad', b'"10.0.0.9"'), revision=9))
    (recovered,) = events_named(events, 'row_recovered')
    assert (recovered['row'], recovered['malformed_ms']) == ('bad', 60_000)
    assert (view.malformed_rows('servers'), view.not_in_force_ms('servers')) == (0, 0)


def test_a_malformed_row_is_reported_beside_many_other_failures():
    """Guard against a malformed row whose only event is suppressed by the rate limit."""
    events, clock = event_log(), Clock(Time())
    log = Log(events, clock)
    for _ in range(FAILURE_BURST + 1):
        log.failure('statement_failed')
    view = StoreView(SCHEMA, clock, log, lambda table: None)
    view.replace('servers', rows(('bad', b''), revision=5))
    assert events_named(events, 'row_undecodable')
    view.apply_changes('servers', rows(('bad', None), revision=6))
    assert events_named(events, 'row_recovered')


def test_the_events_of_many_malformed_rows_are_bounded():
    """Guard against a writer of thousands of malformed rows that floods the log."""
    events, clock = event_log(), Clock(Time())
    view = StoreView(SCHEMA, clock, Log(events, clock), lambda table: None)
    view.replace('servers', rows(*((f'{n}', b'') for n in range(5_000)), revision=5))
    reports = len(events_named(events, 'row_undecodable'))
    assert reports <= store_view.MAX_REPORTS + FAILURE_BURST
    assert view.malformed_rows('servers') == 5_000


def test_the_reason_of_a_malformed_row_has_a_bounded_length():
    """Guard against lines of log of the size of a row."""
    events = event_log()
    view, _ = make(events)
    view.replace('servers', rows(('bad', b'"' + b'x' * 100_000), revision=5))
    (found,) = events_named(events, 'row_undecodable')
    assert len(found['reason']) <= store_rows.MAX_REASON_LENGTH


def test_a_member_whose_entry_becomes_malformed_is_dropped_after_a_grace_period():
    """Guard against requests to a member that has not had a valid entry for a long time."""
    view, time = make()
    view.replace('servers', rows(('m1', b'"10.0.0.1"'), ('m2', b'"10.0.0.2"'), revision=5))
    view.apply_changes('servers', rows(('m1', b'unexpected'), revision=6))
    view.apply_changes('servers', rows(('m2', b'"10.0.0.3"'), revision=7))
    view.drop_missing_members()
    assert set(view.members) == {'m1', 'm2'}
    time.now_s += store_view.MISSING_MEMBER_MS / 1000
    view.drop_missing_members()
    assert set(view.members) == {'m2'}


def test_a_member_whose_entry_is_corrected_is_kept():
    """Guard against the loss of a member after a malformed entry that was replaced in time."""
    view, time = make()
    view.replace('servers', rows(('m1', b'"10.0.0.1"'), revision=5))
    view.apply_changes('servers', rows(('m1', b'unexpected'), revision=6))
    view.apply_changes('servers', rows(('m1', b'"10.0.0.1"'), revision=7))
    time.now_s += store_view.MISSING_MEMBER_MS / 1000
    view.drop_missing_members()
    assert set(view.members) == {'m1'}


def test_an_error_outside_of_the_rows_is_reported_and_retried(monkeypatch):
    """Guard against content that is neither in force nor reported after an unexpected error."""
    events = event_log()
    view, time = make(events)
    digest, failures = store_view.digest_of, [OverflowError('scripted')]

    def fail_once(rows):
        if failures:
            raise failures.pop()
        return digest(rows)

    monkeypatch.setattr(store_view, 'digest_of', fail_once)
    with pytest.raises(OverflowError):
        view.replace('op', rows(('config', b'7'), revision=10))
    assert events_named(events, 'table_not_applied')
    time.now_s += store_view.APPLY_RETRY_MS / 1000
    view.retry()
    assert view.configuration.version == 7


def test_content_that_could_not_be_applied_is_applied_without_another_read():
    """Guard against an instance that reads a table again and again after an error."""
    events, time, failures = event_log(), Time(), [ValueError('scripted')] * 3
    clock = Clock(time)

    def on_change(table):
        if failures:
            raise failures.pop()

    view = StoreView(SCHEMA, clock, Log(events, clock), on_change)
    with pytest.raises(ValueError, match='scripted'):
        view.replace('op', rows(('config', b'7'), revision=10))
    assert view.revision('op') == 10
    view.retry()
    assert len(failures) == 2
    for _ in range(2):
        time.now_s += store_view.APPLY_RETRY_MS / 1000
        view.retry()
    assert (failures, view.not_in_force_ms('op')) == ([], 2 * store_view.APPLY_RETRY_MS)
    time.now_s += store_view.APPLY_RETRY_MS / 1000
    view.retry()
    assert view.not_in_force_ms('op') == 0
    (failed,) = events_named(events, 'table_not_applied')
    (applied,) = events_named(events, 'table_applied')
    assert (failed['table'], failed['reason']) == ('op', 'ValueError: scripted')
    assert applied['not_in_force_ms'] == 3 * store_view.APPLY_RETRY_MS


PEER = Peer('a', Address('10.0.0.1', 7000), 'd1', 1.0, 5)


def test_no_malformed_entry_of_an_instance_yields_unusable_values():
    """Guard against an instance that is chosen as an owner although nobody can reach it."""
    for revision, value in enumerate(malformed.documents(json.loads(encode_peer(PEER))), 1):
        view, _ = make()
        view.replace(PEER_TABLE, rows(('a', value), revision=revision))
        for peer in view.peers.values():
            assert peer.name == 'a'
            assert 0 < peer.capacity <= store_rows.MAX_CAPACITY
            assert 0 < peer.address.port < 65_536
            assert ipaddress.ip_address(peer.address.host)
            assert 0 <= peer.incarnation <= store_rows.MAX_INCARNATION


def test_older_builds_can_decode_the_entry_of_a_running_instance():
    """Guard against entries with a field that an older build takes for malformed."""
    assert len(json.loads(encode_peer(PEER))) == 5
    departed = PEER._replace(departed=True)
    assert store_rows.decode_peer(PEER.name, encode_peer(departed)) == departed


def test_an_entry_with_the_name_of_another_instance_is_malformed():
    """Guard against work for an instance that is sent to the address in a second entry."""
    view, _ = make()
    view.replace(PEER_TABLE, rows(('b', encode_peer(PEER)), revision=3))
    assert view.peers == {}


def test_an_instance_whose_entry_becomes_malformed_keeps_its_last_entry():
    """Guard against a change of all owners before the instance has written its entry again."""
    view, _ = make()
    view.replace(PEER_TABLE, rows(('a', encode_peer(PEER)), revision=3))
    view.apply_changes(PEER_TABLE, rows(('a', b'{'), revision=4))
    assert view.peers == {'a': PEER}
    assert view.malformed_rows(PEER_TABLE) == 1
    view.apply_changes(PEER_TABLE, rows(('a', None), revision=5))
    assert view.peers == {}


def test_only_changed_entries_of_instances_are_decoded():
    """Guard against a cost of each change that is that of all entries of a large deployment."""
    entries = [(f'i{n}', encode_peer(PEER._replace(name=f'i{n}'))) for n in range(500)]
    view, _ = make()
    view.replace(PEER_TABLE, rows(*entries, revision=3))
    misses = store_rows.decode_peer.cache_info().misses
    changed = encode_peer(PEER._replace(name='i7', incarnation=6))
    view.apply_changes(PEER_TABLE, rows(('i7', changed), revision=4))
    assert view.peers['i7'].incarnation == 6
    assert store_rows.decode_peer.cache_info().misses == misses + 1


def test_an_entry_that_is_left_out_is_reported_and_the_others_are_in_force():
    """Guard against a part of the configuration that is not in force without a report."""
    events = event_log()
    view, _ = make(events)
    left_out = ('Tenants[1]: Name is empty',)
    view._schema = SCHEMA._replace(
        configuration=lambda value: configuration(int(value))._replace(left_out=left_out)
    )
    view.replace('op', StoredRows((StoredRow('config', b'4', 7),), 7))
    assert view.configuration is not None
    assert (view.configuration.version, view.malformed_rows('op')) == (4, 1)
    reasons = [each['reason'] for each in events.since() if each['event'] == 'row_undecodable']
    assert reasons == ['left out: Tenants[1]: Name is empty']
