"""Answers of members in the line protocol, built without the code under test."""

from __future__ import annotations

from hypothesis import strategies as st

from godwitthread.standin.line_codec import END, lines


def answer(receipt: bytes, *rows: bytes, state: bytes = b'I', position: bytes = b'3.9') -> bytes:
    """Return the answer to a request that succeeded; the receipt is `-` for session commands."""
    ready = b'READY ' + state + b' ' + position
    return lines(*(b'ROW ' + row for row in rows), b'DONE ' + receipt, ready)


def refusal(
    code: bytes, text: bytes = b'i-1', *, state: bytes = b'I', position: bytes = b'3.9'
) -> bytes:
    """Return the answer to a request that failed."""
    return lines(b'ERR ' + code + b' ' + text, b'READY ' + state + b' ' + position)


def split_lines(stream: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete lines of a stream, and what follows the last one."""
    *complete, rest = stream.split(END)
    return complete, rest


def line_texts(min_size: int = 0, max_size: int = 12) -> st.SearchStrategy[bytes]:
    """Generate what a line can hold: all bytes, often CR and LF, which stand alone."""
    often_ends = st.lists(st.sampled_from([b'\r', b'\n', b' ', b'a', b'\0', b'\xff']))
    texts = st.binary(max_size=max_size) | often_ends.map(b''.join)
    return texts.filter(lambda text: END not in text and min_size <= len(text) <= max_size)
