"""Tests of the platform's settings file."""

from __future__ import annotations

import ipaddress
import json
import subprocess
import sys

import pytest

from godwitthread.address import Address
from godwitthread.core.caller_limits import CallerLimits, derive
from godwitthread.errors import ErrorKind
from godwitthread.platform import settings
from tests import malformed

NODE = {
    'Node': 'front-1', 'Zone': 'z1', 'Ip': '10.1.0.26',
    'Listen': {'Front': '10.1.0.26:8465', 'Ready': '10.1.0.26:8460'},
    'InternalPortRange': [7560, 7575], 'Limits': {'CpuShare': 0.5, 'Cores': 2, 'LinkMbps': 10.0},
    'Bounds': {'GraceS': 6}, 'platform': {'Addr': '10.200.1.7:8466'},
    'Cloud': {'Addr': '10.200.0.2:8466'}, 'Unheard': {'of': 1},
}  # fmt: skip


def test_settings_file_is_loaded(tmp_path):
    """Guard against settings that are mapped to the wrong attribute."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(NODE))
    loaded = settings.load({'GODWITTHREAD_CONFIG': str(path)})
    assert loaded.caller_address == Address('10.1.0.26', 8465)
    assert loaded.peer_address == Address('10.1.0.26', 7560)
    assert loaded.metrics_address == Address('10.1.0.26', 7575)
    assert (loaded.cores, loaded.link_mbps, loaded.grace_ms) == (1.0, 10.0, 6_000)


def test_the_tolerated_excess_over_rates_is_optional():
    """Guard against a start that fails, or assumes a tolerance, where the file gives none."""
    assert settings.parse(NODE).rate_tolerance is None
    given = {'GraceS': 6, 'QuotaWindowS': 5, 'QuotaExcess': 0.1, 'QuotaSlack': 20}
    assert settings.parse(NODE | {'Bounds': given}).rate_tolerance == (5.0, 0.1, 20.0)
    assert settings.parse(NODE | {'Bounds': given | {'QuotaExcess': None}}).rate_tolerance is None
    with pytest.raises(ExceptionGroup):
        settings.parse(NODE | {'Bounds': given | {'QuotaSlack': -1}})


def test_limits_of_memory_and_descriptors_may_be_absent_or_wrong():
    """Guard against a start that fails without the limits, or accepts limits that are none."""
    assert settings.parse(NODE).limits == CallerLimits()
    limits = NODE['Limits'] | {'MemoryMb': 200, 'MaxFds': 4_300}
    assert settings.parse(NODE | {'Limits': limits}).limits == derive(200, 4_300)
    for none in (0, None):
        unbounded = limits | {'MemoryMb': none, 'MaxFds': none}
        assert settings.parse(NODE | {'Limits': unbounded}).limits == CallerLimits()
    with pytest.raises(ExceptionGroup) as info:
        settings.parse(
            NODE | {'Limits': limits | {'MemoryMb': 'x', 'MaxFds': -1}},
            {'GODWITTHREAD_LINE_TIMEOUT_MS': 'soon'},
        )
    messages = [str(exc).split(':')[0] for exc in info.value.exceptions]
    assert messages == ['Limits.MemoryMb', 'Limits.MaxFds', 'GODWITTHREAD_LINE_TIMEOUT_MS']


def test_all_errors_are_reported_at_once():
    """Guard against a start that reports only the first of several invalid settings."""
    changed = NODE | {'Node': '', 'platform': {'Addr': 'store'}, 'Bounds': {}}
    with pytest.raises(ExceptionGroup) as info:
        settings.parse(changed)
    messages = [str(exc) for exc in info.value.exceptions]
    assert [message.split(':')[0] for message in messages] == [
        'Node',
        'platform.Addr',
        'Bounds.GraceS',
    ]


@pytest.mark.parametrize('text', ['', '{', '[]'])
def test_invalid_or_missing_file_is_rejected(tmp_path, text):
    """Guard against a traceback in place of an error message."""
    path = tmp_path / 'node.json'
    path.write_text(text)
    with pytest.raises(ExceptionGroup):
        settings.load({'GODWITTHREAD_CONFIG': str(path)})
    with pytest.raises(ExceptionGroup):
        settings.load({})


def test_no_malformed_value_is_accepted_or_raises_another_error(tmp_path):
    """Guard against a reload that fails without an event, and against values that fail later."""
    path = tmp_path / 'node.json'
    for document in malformed.documents(NODE):
        path.write_bytes(document)
        try:
            loaded = settings.load({'GODWITTHREAD_CONFIG': str(path)})
        except ExceptionGroup as group:
            assert all(exc.kind is ErrorKind.SETTING_INVALID for exc in group.exceptions)
            continue
        for address in (loaded.peer_address, loaded.metrics_address, loaded.caller_address):
            assert 0 < address.port < 65_536
            ipaddress.ip_address(address.host)
        assert 0 < loaded.cores <= settings.MAX_CORES
        assert 0 < loaded.link_mbps <= settings.MAX_LINK_MBPS
        assert 0 < loaded.grace_ms <= settings.MAX_GRACE_S * 1_000
        assert loaded.name and loaded.failure_domain


def test_a_signal_to_reload_does_not_end_a_process_that_starts():
    """Guard against a process that ends because its settings change while it starts."""
    code = (
        'import runpy, signal, sys, types\n'
        'fake = types.ModuleType("fake")\n'
        'fake.main = lambda: signal.raise_signal(signal.SIGHUP) or 7\n'
        'sys.modules["godwitthread.platform.gateway_process"] = fake\n'
        'runpy.run_module("godwitthread.platform", run_name="__main__")\n'
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 7


@pytest.mark.parametrize(('text', 'cost_ms'), [(None, None), ('', None), ('0', 0.0), ('7.5', 7.5)])
def test_the_price_of_a_crossing_is_optional(tmp_path, text, cost_ms):
    """Guard against failure domains that are considered, or not, against the operators' wish."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(NODE))
    variables = {'GODWITTHREAD_CONFIG': str(path)}
    if text is not None:
        variables['GODWITTHREAD_CROSSING_COST_MS'] = text
    assert settings.load(variables).crossing_cost_ms == cost_ms


@pytest.mark.parametrize('text', ['-1', 'nan', 'inf', '10 ms', '60001'])
def test_an_invalid_price_of_a_crossing_is_rejected(tmp_path, text):
    """Guard against an instance that decides by a price which no operator set."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(NODE))
    variables = {'GODWITTHREAD_CONFIG': str(path), 'GODWITTHREAD_CROSSING_COST_MS': text}
    with pytest.raises(ExceptionGroup):
        settings.load(variables)
