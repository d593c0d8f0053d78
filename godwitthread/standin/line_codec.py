"""Line protocol as its published page states it, without the product's codec.

A line ends with CR LF; its last field extends to the end of the line, so that every other byte
is data. The product's codec on both sides of a check would hide its own faults.
"""

from __future__ import annotations

import re
from typing import Any

from godwitthread.sockets import has_no_input, receive

END = b'\r\n'
READ_BYTES = 64 * 1024

_FORMS = re.compile(
    '(BEGIN)(?: (READ))?|(COMMIT)|(ROLLBACK)|(READ|DEALLOC) (.+)'
    '|(WRITE|SET|EXEC) ([^ ]+) (.+)|(PREPARE) ([^ ]+) ((?:READ|WRITE) .+)',
    re.DOTALL,
)


class LineStream:
    """Lines received on a socket."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._data = b''

    def read(self) -> bytes | None:
        """Return the next line without its end, or None at the end of the stream."""
        while END not in self._data:
            data = receive(self._sock, READ_BYTES)
            if not data:
                return None
            self._data += data
        line, _, self._data = self._data.partition(END)
        return line

    def has_input(self) -> bool:
        """Return whether data or the end of the stream was received and not read."""
        return bool(self._data) or not has_no_input(self._sock)


def lines(*parts: bytes) -> bytes:
    """Return the wire form of lines."""
    return b''.join(part + END for part in parts)


def text_lines(*parts: str) -> bytes:
    """Return the wire form of lines whose characters stand for one byte each."""
    return lines(*(part.encode('latin-1') for part in parts))


def parse(text: str) -> tuple[str, str, str] | None:
    """Return the verb, the name and the argument of a statement, None if it is malformed."""
    found = _FORMS.fullmatch(text)
    if found is None:
        return None
    verb, name, argument, *_ = [*(each for each in found.groups() if each is not None), '', '']
    return verb, name, argument
