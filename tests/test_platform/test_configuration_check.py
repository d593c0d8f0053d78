"""Check of a configuration in the platform's form."""

from __future__ import annotations

import copy
import json

import pytest
from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from godwitthread.cmd.configuration import ConfigurationCheck
from godwitthread.gateway.ports import Undecodable
from godwitthread.platform.configuration_check import check
from godwitthread.platform.row_decoding import decode_configuration

GOOD = {
    'Version': 4,
    'Routes': [
        {'Host': 'bode-db', 'Service': 'bode', 'Kind': 'bounded_staleness', 'MaxStalenessMs': 1_500,
         'TimeoutMs': 1_506, 'LatencyGoalMs': 301, 'Priority': 1},
    ],
    'Services': [{'Name': 'bode', 'MaxConns': 70}],
    'Tenants': [{'Name': 'a', 'RatePerS': 5, 'Burst': 9, 'ApiKeys': ['s3cret-a']}],
    'Limits': {'TxIdleMs': 3_000},
}  # fmt: skip


def changed(path: str, value) -> dict:
    """Return the good configuration with one value changed; None removes it."""
    made = copy.deepcopy(GOOD)
    *parents, last = (int(each) if each.isdecimal() else each for each in path.split('.'))
    place = made
    for each in parents:
        place = place[each]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return made


@pytest.mark.parametrize(
    ('path', 'value', 'found'),
    [
        ('Version', 'x', '$.Version'),
        ('Limits', None, '$.Limits'),
        ('Routes.0.Kind', 'any', '$.Routes[0].Kind'),
        ('Routes.0.TimeoutMs', None, '$.Routes[0].TimeoutMs'),
        ('Services.0.MaxConns', -1, '$.Services[0].MaxConns'),
        ('Tenants.0.ApiKeys', 's3cret-b', '$.Tenants[0].ApiKeys'),
        ('Routes.0.Service', 'gowu', '$.Routes[0].Service $.Services[0].Name'),
        ('Routes', GOOD['Routes'] * 2, '$.Routes[1].Host'),
        ('Tenants.0.ApiKeys', ['s3cret-a'] * 2, '$.Tenants[0].ApiKeys[1]'),
        ('Tenants.0.ApiKeys', [], '$.Tenants[0].ApiKeys'),
        ('Tenants.0.ApiKeys', ['s3cret-a', ''], '$.Tenants[0].ApiKeys'),
        ('Tenants.0.Name', 'a b', '$.Tenants[0].Name'),
        ('Services.0.Name', '\u2603', '$.Services[0].Name'),
        ('Routes.0.LatencyGoalMs', 1_507, '$.Routes[0].LatencyGoalMs'),
        ('Routes.0.MaxStalenessMs', 0, '$.Routes[0].MaxStalenessMs'),
        ('Tenants.0.Burst', 0, '$.Tenants[0].Burst'),
    ],
)
def test_a_mistake_is_reported_with_its_place_and_without_a_key(path, value, found):
    """Guard against a configuration that instances refuse or that serves nobody."""
    issues = check(changed(path, value))
    assert ' '.join(issue.path for issue in issues) == found
    assert 's3cret' not in str(issues)


def test_what_instances_refuse_is_a_mistake():
    """Guard against a check that accepts more than the instances do."""
    assert check(GOOD) == []
    for path in ('Version', 'Routes.0.Host', 'Services.0.MaxConns', 'Tenants.0.Name', 'Limits'):
        for value in (None, [], {}, 'NaN', -1, 10**17, '', 'a b', '\u2603'):
            made = changed(path, value)
            cfg = decode_configuration(json.dumps(made).encode())
            if isinstance(cfg, Undecodable) or cfg.left_out:
                assert check(made) != []


def test_the_command_shows_mistakes_and_differences(tmp_path):
    """Guard against a change that is sent by a pipeline although it was refused."""
    old, new = tmp_path / 'old.json', tmp_path / 'new.json'
    old.write_text(json.dumps(GOOD))
    application = Application()
    application.add(ConfigurationCheck())
    tester = CommandTester(application.find('configuration check'))
    made = changed('Tenants.0.ApiKeys', ['s3cret-b', 's3cret-c']) | {'Version': 5}
    new.write_text(json.dumps(made))
    assert tester.execute(f'{new} {old}') == 0
    text = tester.io.fetch_output()
    assert '~ Tenants/a/ApiKeys: 1 keys -> 2 keys (2 added, 1 removed)' in text
    assert '~ Version: 4 -> 5' in text
    assert 's3cret' not in text
    assert tester.execute(f'{old} {old} --json') == 1
    shown = json.loads(tester.io.fetch_output())
    assert [each['path'] for each in shown['mistakes']] == ['$.Version']
    assert shown['differences'] == []
