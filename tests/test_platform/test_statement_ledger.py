"""The ledger of traced statements names each broken rule, and no other one."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from godwitthread.standin.line_connection import Execution
from tests.test_platform.statement_ledger import Received, Sent, StatementLedger

SENT = Sent('1', 'WRITE a x\r', 'c0', 'big', 0, 1, True, {'v': 'y'}, '')
OTHER = SENT._replace(id='2', attempt=2)
EXEC = SENT._replace(text='EXEC s a x', prepared='WRITE q')
RUN = Execution('m', 'big', '1', b'WRITE a x\r', 1, 1, {'v': 'y'}, '', 'r1', ())
EXEC_RUN = RUN._replace(text=b'EXEC g1 a x', prepared='WRITE q')
DONE = Received('', 'r1', (), 0)
BUSY = Received('BUSY', '', (), 0)


def _rules(sent, answers, runs, kept=()):
    """Return the rules that a run has broken; `kept` are the ids in the log of the primary."""
    ledger = StatementLedger()
    ledger.sent = {each.id: each for each in sent}
    ledger.received = answers
    log = [SimpleNamespace(writes=[('a', 'x', each)]) for each in kept]
    primary = SimpleNamespace(log=log)
    group = SimpleNamespace(name='g0', executed=runs, primary=primary)
    return [each.rule for each in ledger.violations([group])]


@pytest.mark.parametrize(
    ('sent', 'answers', 'runs', 'kept'),
    [
        ([SENT], {'1': DONE}, [RUN], ['1']),
        ([EXEC], {'1': DONE}, [EXEC_RUN], ['1']),
        ([SENT], {'1': BUSY}, [RUN], []),
        ([SENT._replace(in_transaction=False)], {}, [RUN], []),
        ([SENT, SENT._replace(id='2')], {}, [RUN, RUN._replace(id='2')], []),
    ],
)
def test_statements_that_ran_as_they_were_sent_break_no_rule(sent, answers, runs, kept):
    """Guard against violations that are none."""
    assert _rules(sent, answers, runs, kept) == []


@pytest.mark.parametrize(
    ('rule', 'sent', 'answers', 'runs', 'kept'),
    [
        ('MIXED', [SENT], {'1': DONE}, [RUN._replace(receipt='r2')], ()),
        ('MIXED', [SENT], {'1': DONE}, [RUN._replace(rows=('z',))], ()),
        ('MIXED', [SENT], {'1': DONE}, [], ()),
        ('PINNED', [EXEC], {'1': Received('NOSTMT', '', (), 0)}, [], ()),
        ('PINNED', [SENT], {}, [RUN._replace(values={})], ()),
        ('PINNED', [EXEC], {}, [EXEC_RUN._replace(prepared='WRITE p')], ()),
        ('PINNED', [SENT], {}, [RUN._replace(transaction=0)], ()),
        (
            'PINNED',
            [SENT, SENT._replace(id='2')],
            {},
            [RUN, RUN._replace(id='2', connection=2)],
            (),
        ),
        ('PINNED', [SENT, OTHER], {}, [RUN, RUN._replace(id='2')], ()),
        ('UNASKED', [], {}, [RUN], ()),
        ('UNASKED', [SENT], {}, [RUN._replace(text=b'WRITE a x')], ()),
        ('UNASKED', [SENT], {}, [RUN._replace(organisation='small')], ()),
        ('TWICE', [SENT], {}, [], ('1', '1')),
        ('REFUSED', [SENT], {'1': BUSY}, [], ('1',)),
    ],
)
def test_a_broken_rule_is_named(rule, sent, answers, runs, kept):
    """Guard against a check that finds nothing."""
    assert _rules(sent, answers, runs, kept) == [rule]
