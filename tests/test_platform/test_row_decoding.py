"""Tests of the decoding of store rows that operators and backend servers write."""

from __future__ import annotations

import json

import pytest

from godwitthread.core.statements import Consistency
from godwitthread.gateway.ports import Undecodable
from godwitthread.platform import row_decoding
from tests import malformed

MEMBER = {
    'Service': 'g', 'Addr': '10.1.0.9:8080', 'Zone': 'z1', 'Version': 'v1', 'Slots': 2,
    'State': 'ready', 'ColdLeftMs': 0, 'DbRole': 'replica', 'Seq': 4, 'born': 1700,
}  # fmt: skip
CONFIGURATION = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r', 'Host': 'db1', 'PathPrefix': '/', 'Kind': 'read_your_writes',
            'TimeoutMs': 800, 'LatencyGoalMs': 200, 'Priority': 2, 'Service': 'g',
            'MaxStalenessMs': 2500, 'Public': False,
        },
        {
            'Name': 'o', 'Host': 'db2', 'Kind': 'primary', 'TimeoutMs': 800,
            'LatencyGoalMs': 120, 'Priority': 1, 'Service': 'g', 'Public': True,
        },
    ],
    'Services': [{'Name': 'g', 'MaxConns': 16, 'ColdPerS': 0.0}],
    'Limits': {'TxIdleMs': 3000},
    'Tenants': [{'Name': 't', 'ApiKeys': ['k1', 'k2'], 'RatePerS': 65, 'Burst': 70}],
}  # fmt: skip


def test_configuration_is_decoded():
    """Guard against fields of a configuration that are mapped to the wrong attribute."""
    cfg = row_decoding.decode_configuration(json.dumps(CONFIGURATION).encode())
    assert not isinstance(cfg, Undecodable)
    assert cfg.routes['db1'].consistency is Consistency.SESSION
    assert cfg.routes['db1'].max_age_ms == 2500
    assert (cfg.routes['db2'].open, cfg.routes['db2'].max_age_ms) == (True, 0)
    assert {key: tenant.name for key, tenant in cfg.keys.items()} == {'k1': 't', 'k2': 't'}
    assert (cfg.keys['k1'].rate, cfg.keys['k1'].burst) == (65, 70)
    assert cfg.groups['g'].connection_limit == 16


def test_member_is_decoded():
    """Guard against valid member entries that are rejected or misread."""
    member = row_decoding.decode_member('i-1', json.dumps(MEMBER).encode())
    assert not isinstance(member, Undecodable)
    assert (member.id, member.group, member.slots, member.primary) == ('i-1', 'g', 2, False)
    assert member.born == 1700


@pytest.mark.parametrize(
    'changes',
    [
        {'State': 'gone'}, {'DbRole': 'witness'}, {'Slots': '2'}, {'Slots': 0}, {'Slots': True},
        {'Addr': 'nowhere'}, {'Addr': None}, {'Service': 5}, {'Zone': None}, {'ColdLeftMs': 'x'},
        {'State': None}, {'State': []},
    ],
)  # fmt: skip
def test_invalid_member_entries_are_undecodable(changes):
    """Guard against requests that are sent to something that is not a member."""
    assert isinstance(
        row_decoding.decode_member('i', json.dumps(MEMBER | changes).encode()), Undecodable
    )


@pytest.mark.parametrize('value', [b'', b'\xff\xfe', b'[]', b'5', b'null', b'{}', b'[' * 100_000])
def test_invalid_json_is_undecodable(value):
    """Guard against a process that crashes on a malformed row of another writer."""
    assert isinstance(row_decoding.decode_member('i', value), Undecodable)
    assert isinstance(row_decoding.decode_configuration(value), Undecodable)


@pytest.mark.parametrize('field', sorted(MEMBER.keys() - {'Version', 'Seq', 'ColdLeftMs', 'born'}))
def test_member_entry_without_required_field_is_undecodable(field):
    """Guard against a member that is created from an incomplete entry."""
    value = {key: each for key, each in MEMBER.items() if key != field}
    assert isinstance(row_decoding.decode_member('i', json.dumps(value).encode()), Undecodable)


@pytest.mark.parametrize('cold', ['Infinity', '-Infinity', 'NaN', '1e999', '-1', '9' * 400])
def test_member_entry_with_a_number_out_of_range_is_undecodable(cold):
    """Guard against one entry of another writer that hides all later changes of the members."""
    value = json.dumps(MEMBER).replace('"ColdLeftMs": 0', f'"ColdLeftMs": {cold}').encode()
    assert isinstance(row_decoding.decode_member('i', value), Undecodable)


def test_no_malformed_member_entry_raises_or_yields_unusable_values():
    """Guard against an unexpected error of the decoder, and against values that fail later."""
    for value in malformed.documents(MEMBER):
        member = row_decoding.decode_member('i', value)
        if isinstance(member, Undecodable):
            continue
        assert 1 <= member.slots <= row_decoding.MAX_SLOTS
        assert 0 <= member.cold_ms <= row_decoding.MAX_COLD_MS
        assert 0 <= member.born <= row_decoding.MAX_INTEGER
        f'START {member.group} o {member.id}'.encode('latin-1', 'backslashreplace')
        member.failure_domain.encode()


@pytest.mark.parametrize('key', ['', 'a b', 'a\r\nBYE', '\u2603', '\ud800', '\x00'])
def test_member_entry_with_an_unusable_id_is_undecodable(key):
    """Guard against an entry whose id ends every attempt to connect with an unexpected error."""
    assert isinstance(row_decoding.decode_member(key, json.dumps(MEMBER).encode()), Undecodable)


def test_no_malformed_configuration_raises_or_yields_unusable_values():
    """Guard against an unexpected error of the decoder, and against values that fail later."""
    for value in malformed.documents(CONFIGURATION):
        cfg = row_decoding.decode_configuration(value)
        if isinstance(cfg, Undecodable):
            continue
        numbers = [cfg.version, cfg.tx_idle_ms]
        for route in cfg.routes.values():
            numbers += [route.max_age_ms, route.timeout_ms, route.objective_ms, route.priority]
            assert f'{route.database}{route.group}'.isprintable()
        for organisation in cfg.keys.values():
            numbers += [organisation.rate, organisation.burst]
        for group in cfg.groups.values():
            numbers += [group.connection_limit, group.cold_rate]
        assert all(0 <= number <= row_decoding.MAX_INTEGER for number in numbers)


@pytest.mark.parametrize('name', ['', 'a b', 'a\r\nBYE', '\u2603', '\xa0'])
def test_an_entry_with_a_name_that_no_line_can_hold_is_left_out_alone(name):
    """Guard against one name that stops all changes, or that no member can be told."""
    made = json.loads(json.dumps(CONFIGURATION))
    made['Tenants'] += [made['Tenants'][0] | {'Name': name, 'ApiKeys': ['k3']}]
    made['Routes'] += [made['Routes'][0] | each for each in ({'Host': name}, {'Service': name})]
    made['Services'] += [{'Name': name, 'MaxConns': 1}]
    cfg = row_decoding.decode_configuration(json.dumps(made).encode())
    assert not isinstance(cfg, Undecodable)
    assert (set(cfg.routes), set(cfg.groups)) == ({'db1', 'db2'}, {'g'})
    assert cfg.routes['db1'].group == 'g'
    assert set(cfg.keys) == {'k1', 'k2'}
    places = [each.partition(':')[0] for each in cfg.left_out]
    assert places == ['Tenants[1]', 'Routes[2]', 'Routes[3]', 'Services[1]']


def test_a_key_that_no_caller_can_send_is_left_out_alone():
    """Guard against an empty key, with which callers without a key are admitted."""
    made = json.loads(json.dumps(CONFIGURATION))
    made['Tenants'][0]['ApiKeys'] += ['', 'a\r\nb', '\u2603']
    cfg = row_decoding.decode_configuration(json.dumps(made).encode())
    assert not isinstance(cfg, Undecodable)
    assert set(cfg.keys) == {'k1', 'k2'}
    assert [each.partition(':')[0] for each in cfg.left_out] == ['Tenants[0]']


def test_the_reason_of_a_malformed_configuration_quotes_no_value():
    """Guard against keys in the log: a malformed configuration may have them in any place."""
    texts = (
        '"the-key"',
        '"the-key b"',
        '["the-key"]',
        '["", "the-key"]',
        '{"the-key": 1}',
        '"the-key',
    )
    for value in texts:
        for document in malformed.documents_with(CONFIGURATION, (value,)):
            cfg = row_decoding.decode_configuration(document)
            shown = cfg.reason if isinstance(cfg, Undecodable) else str(cfg.left_out)
            assert 'the-key' not in shown
