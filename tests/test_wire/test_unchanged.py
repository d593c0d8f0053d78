"""Last fields on their whole way between callers and members."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_wire import codec
from tests.test_wire.callers import converse
from tests.test_wire.members import AnsweringMember

TEXTS = codec.line_texts(min_size=1)


def pieces(data, stream: bytes) -> list[bytes]:
    """Cut a stream at drawn places."""
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=5)))
    chunks = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
    return [each for each in chunks if each]


@settings(max_examples=100, deadline=None)
@given(st.lists(TEXTS, min_size=5, max_size=5), st.data())
def test_what_a_caller_sends_reaches_the_member_unchanged(texts, data):
    """Guard against values, shapes and data that are changed or start a statement (UNASKED)."""
    item, value, shape, arguments, written = texts
    queries = [
        b'1 SET v ' + value,
        b'2 READ ' + item,
        b'3 WRITE i ' + written,
        b'4 PREPARE s WRITE ' + shape,
        b'5 EXEC s ' + arguments,
    ]
    stream = codec.lines(*(b'QUERY ' + query for query in queries))
    member = AnsweringMember(lambda statement_id: [codec.answer(b'r' + statement_id)])
    lines = converse(member.run, *pieces(data, stream))
    member.close()
    done = [line for line in lines if line.startswith(b'DONE')]
    assert done == [b'DONE -', b'DONE r2', b'DONE r3', b'DONE -', b'DONE r5']
    name = member.received[3].split(b' ')[3]
    assert member.received == [
        b'QUERY - SET v ' + value,
        b'QUERY 2 READ ' + item,
        b'QUERY 3 WRITE i ' + written,
        b'QUERY - PREPARE ' + name + b' WRITE ' + shape,
        b'QUERY 5 EXEC ' + name + b' ' + arguments,
    ]


@settings(max_examples=100, deadline=None)
@given(st.lists(codec.line_texts(), max_size=3), TEXTS, st.booleans(), st.data())
def test_what_a_member_sends_reaches_the_caller_unchanged(rows, text, failed, data):
    """Guard against rows, receipts and messages that are changed or forged (MIXED)."""
    answer = codec.refusal(b'FAILED', text) if failed else codec.answer(b'r' + text, *rows)
    chunks = pieces(data, answer)
    member = AnsweringMember(lambda _: chunks)
    lines = converse(member.run, codec.lines(b'QUERY 1 READ a'))
    member.close()
    if failed:
        assert lines == [b'ERR FAILED ' + text, b'READY I -']
    else:
        sent = [b'ROW ' + row for row in rows]
        assert lines == [*sent, b'DONE r' + text, b'READY I 3.9']
