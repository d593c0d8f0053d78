"""Tests of the line protocol."""

from __future__ import annotations

from itertools import takewhile

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitthread.core.statements import TxState, Verb
from godwitthread.platform import line_protocol
from godwitthread.types import Position
from tests.test_wire import codec


class ChunkedSocket:
    """Fake socket that delivers the given chunks."""

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = list(chunks)

    def recv(self, size: int) -> bytes:
        return self._chunks.pop(0) if self._chunks else b''


@given(st.lists(codec.line_texts()), st.data())
def test_lines_are_reassembled_from_arbitrary_chunks(texts, data):
    """Guard against lines that are merged or truncated at the boundaries of received chunks."""
    stream = codec.lines(*texts)
    chunks, start = [], 0
    while start < len(stream):
        end = data.draw(st.integers(start + 1, len(stream)))
        chunks.append(stream[start:end])
        start = end
    reader = line_protocol.LineReader(ChunkedSocket(chunks))
    assert [reader.read() for _ in texts] == [text.decode('latin-1') for text in texts]
    assert reader.read() is None


def test_overlong_line_is_rejected():
    """Guard against exhaustion of the memory by a line without an end."""
    reader = line_protocol.LineReader(ChunkedSocket([b'x' * 600_000, b'x' * 600_000]))
    with pytest.raises(line_protocol.LineTooLongError):
        reader.read()


@pytest.mark.parametrize(
    ('text', 'verb', 'name', 'argument', 'read_only'),
    [
        ('BEGIN', Verb.BEGIN, '', '', False),
        ('BEGIN READ', Verb.BEGIN, '', '', True),
        ('COMMIT', Verb.COMMIT, '', '', False),
        ('ROLLBACK', Verb.ROLLBACK, '', '', False),
        ('READ 1a4', Verb.READ, '1a4', '', False),
        ('READ  1 a ', Verb.READ, ' 1 a ', '', False),
        ('WRITE 1a4 a b c', Verb.WRITE, '1a4', 'a b c', False),
        ('SET lang nb no', Verb.SET, 'lang', 'nb no', False),
        ('PREPARE s1 WRITE q2c', Verb.PREPARE, 's1', 'q2c', False),
        ('PREPARE s1 READ q2c', Verb.PREPARE, 's1', 'q2c', True),
        ('EXEC s1 1a4 xkq', Verb.EXECUTE, 's1', '1a4 xkq', False),
        ('DEALLOC s1', Verb.DEALLOCATE, 's1', '', False),
        ('DEALLOC s1 x', Verb.DEALLOCATE, 's1 x', '', False),
    ],
)
def test_statements_are_parsed(text, verb, name, argument, read_only):
    """Guard against a statement that is executed as a different one."""
    statement = line_protocol.parse_query(f'5c0e {text}')
    assert statement is not None
    assert (statement.id, statement.text, statement.verb) == ('5c0e', text, verb)
    assert (statement.name, statement.argument, statement.read_only) == (name, argument, read_only)


@pytest.mark.parametrize(
    'text',
    ['', '5c0e', '5c0e NONSENSE', '5c0e AFTER 3.1 READ a', '5c0e BEGIN WRITE', '5c0e COMMIT now',
     '5c0e COMMIT ', '5c0e BEGIN ', '5c0e BEGIN  READ', '5c0e READ ', '5c0e WRITE a ',
     '5c0e SET lang', '5c0e PREPARE s1 DROP q', '5c0e WRITE item', '5c0e STATUS', '5c0e RESET'],
)  # fmt: skip
def test_invalid_or_internal_statements_are_rejected(text):
    """Guard against callers that inject statements reserved for the gateway."""
    assert line_protocol.parse_query(text) is None


def test_positions_are_parsed_and_formatted():
    """Guard against positions that are misread or accepted although they are invalid."""
    assert line_protocol.parse_position('3.1207') == Position(3, 1207)
    assert line_protocol.parse_position('-') is None
    assert line_protocol.parse_position('x.1') is None
    assert line_protocol.ready(TxState.OPEN, Position(3, 9)) == 'READY T 3.9'
    assert line_protocol.ready(TxState.FAILED) == 'READY E -'


#: Pieces of statements, valid and not, and of lines that are too long for the reader below.
PIECES = [
    b'QUERY 1 READ a', b'QUERY 2 WRITE a b c', b'QUERY 3 SET lang nb', b'QUERY 4 PREPARE s READ q',
    b'BYE', b'\r', b'\n', b'\r\n', b' ', b'', b'\xff\x00', b'x' * 40,
]  # fmt: skip


def outcome(chunks: list[bytes]) -> list[object]:
    """Return the statements that the reader and the parser make of received chunks."""
    reader = line_protocol.LineReader(ChunkedSocket(chunks), 30)
    found: list[object] = []
    try:
        while (line := reader.read()) is not None:
            command, _, rest = line.partition(' ')
            found.append((line, line_protocol.parse_query(rest) if command == 'QUERY' else None))
    except line_protocol.LineTooLongError:
        found.append('too long')
    return found


@settings(max_examples=300, deadline=None)
@given(st.lists(st.sampled_from(PIECES) | st.binary(max_size=30), max_size=25), st.data())
def test_any_split_of_the_same_bytes_gives_the_same_statements(pieces, data):
    """Guard against statements that depend on how the network divides them."""
    stream = b''.join(pieces)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=20)))
    chunks = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
    expected = outcome([stream])
    lines = codec.split_lines(stream)[0]
    fitting = list(takewhile(lambda line: len(line) <= 30, lines))
    found = [each[0].encode('latin-1') for each in expected if each != 'too long']
    assert found == fitting
    assert outcome([each for each in chunks if each]) == expected
    assert outcome([bytes([byte]) for byte in stream]) == expected


def test_a_long_line_is_searched_once(monkeypatch):
    """Guard against work that grows with the square of a line's length."""
    searched = []

    class Buffer(bytearray):
        def find(self, sub, start=0):
            searched.append(len(self) - start)
            return super().find(sub, start)

    monkeypatch.setattr(line_protocol, 'bytearray', Buffer, raising=False)
    line_protocol.LineReader(ChunkedSocket([b'x'] * 5_000)).read()
    assert sum(searched) == 5_000


@pytest.mark.parametrize(
    ('chunks', 'found'),
    [
        ([b'x' * 30 + b'\r', b'\n'], ['x' * 30]),
        ([b'x' * 29 + b'\r', b'\r', b'\n'], ['x' * 29 + '\r']),
        ([b'x' * 30 + b'\r', b'x'], ['too long']),
        ([b'x' * 30 + b'\n', b'\r\n'], ['too long']),
        ([b'x' * 31], ['too long']),
    ],
)
def test_the_limit_counts_a_line_without_its_end(chunks, found):
    """Guard against a CR that counts as data although the LF behind it has not arrived."""
    assert [each if each == 'too long' else each[0] for each in outcome(chunks)] == found


def test_the_longest_message_is_read():
    """Guard against refusing a message of 1 MiB with its command and names."""
    line = b'QUERY 1 WRITE item ' + b'x' * 1024 * 1024
    reader = line_protocol.LineReader(ChunkedSocket([line + b'\r\n']))
    assert len(reader.read() or '') == len(line)
