"""Texts that no line can hold, on their way to a socket."""

from __future__ import annotations

import pytest

from godwitthread.core.statements import Action, Result, failure
from godwitthread.errors import ErrorKind
from godwitthread.platform.line_protocol import encode
from tests.test_wire import codec
from tests.test_wire.callers import converse

#: Results whose rows or receipts are no single line each.
UNSENDABLE = [Result(('a\r\nDONE forged',), 'r'), Result(('\u2603',), 'r'), Result((), 'r\r\nx')]


@pytest.mark.parametrize('text', ['\r\n', 'a\r\nREADY I 9.9', 'a\r\r\nb', '\u2603', '\ud800'])
def test_a_text_that_is_no_single_line_is_not_encoded(text):
    """Guard against data that start a line of their own."""
    with pytest.raises(ValueError):
        encode('ROW a', f'ROW {text}')


@pytest.mark.parametrize('result', UNSENDABLE)
def test_an_answer_that_is_not_sendable_has_an_unknown_outcome(result):
    """Guard against forged lines, and against a session that ends without an answer."""
    lines = converse(lambda _: result, codec.lines(b'QUERY 1 WRITE a x', b'QUERY 2 SET v x'))
    assert [line.split(b' ')[:2] for line in lines[:2]] == [[b'ERR', b'INDOUBT'], [b'READY', b'I']]
    assert lines[2:] == [b'DONE -', b'READY I -']


@pytest.mark.parametrize('result', UNSENDABLE)
def test_a_transaction_with_an_answer_that_is_not_sendable_is_rolled_back(result):
    """Guard against a transaction that stays open although its caller knows nothing of it."""
    actions = []

    def run(req):
        actions.append(req.action)
        return result

    queries = codec.lines(b'QUERY 1 BEGIN', b'QUERY 2 READ a', b'QUERY 3 ROLLBACK')
    answers = [line.split(b' ')[:2] for line in converse(run, queries)[2:]]
    aborted = [[b'ERR', b'ABORTED'], [b'READY', b'E']]
    assert answers == [*aborted, [b'DONE', b'-'], [b'READY', b'I']]
    assert actions == [Action.IN_TRANSACTION, Action.ROLLBACK]


@pytest.mark.parametrize(
    ('message', 'sent'),
    [
        ('a\r\nREADY I 9.9', b'a READY I 9.9'),
        ('a\r\r\n\n', b'a\r \n'),
        ('a\u2603', b'a\\u2603'),
        ('\xe5\r', b'\xe5\r'),
    ],
)
def test_a_message_stays_in_its_line(message, sent):
    """Guard against a message that forges an answer, and against a session that it ends."""
    failed = failure(ErrorKind.STATEMENT_FAILED, message)
    lines = converse(lambda _: failed, codec.lines(b'QUERY 1 READ a'))
    assert lines == [b'ERR FAILED ' + sent, b'READY I -']


def test_an_error_of_a_later_build_has_an_unknown_outcome():
    """Guard against a session that ends without an answer during an update."""
    unknown = Result(error='kind_of_a_later_build', message='m')
    lines = converse(lambda _: unknown, codec.lines(b'QUERY 1 WRITE a x', b'QUERY 2 SET v x'))
    assert lines == [b'ERR INDOUBT m', b'READY I -', b'DONE -', b'READY I -']
