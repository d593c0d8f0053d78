"""HTTP protocol that accepts only requests with one clear end.

Another HTTP server in front of this one may take an ambiguous request to end elsewhere. The rest of
its body would then be a request that its caller smuggled onto a connection of other callers.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable
    from email.message import Message

_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_DIGITS = re.compile(r'[0-9]+')


def strict_protocol(refusal: Callable[[str], bytes]) -> type:
    """Return a protocol that answers an ambiguous request with a refusal and ends there.

    `refusal` takes the reason and returns the whole response.
    """

    class StrictProtocol(eventlet.wsgi.HttpProtocol):
        """Protocol of one connection."""

        rfile: Any

        def parse_request(self) -> bool:
            """Parse the first line and the headers; return False if they are not accepted."""
            lines = self.rfile = _HeaderLines(self.rfile)
            if not super().parse_request():
                return False
            reason = lines.defect or find_defect(self.headers)
            if reason:
                self.wfile.write(refusal(reason))
                self.close_connection = True
            return not reason

    return StrictProtocol


def find_defect(headers: Message) -> str:
    """Return why the end of a request is not clear from its headers, '' if it is."""
    if headers.defects or not all(map(_HEADER_NAME.fullmatch, headers.keys())):
        return 'malformed header'
    if 'Transfer-Encoding' in headers:
        return 'the body must have a Content-Length instead of a Transfer-Encoding'
    lengths = headers.get_all('Content-Length', [])
    if len(lengths) > 1 or not all(map(_DIGITS.fullmatch, lengths)):
        return 'Content-Length must be one number'
    return ''


class _HeaderLines:
    """Input that notes header lines which the parser splits or joins."""

    def __init__(self, lines: Any) -> None:
        self.defect = ''
        self._lines = lines

    def readline(self, size: int = -1) -> bytes:
        line: bytes = self._lines.readline(size)
        if b'\r' in line.removesuffix(b'\n').removesuffix(b'\r'):
            self.defect = 'carriage return in a header'
        if line.startswith((b' ', b'\t')):
            self.defect = 'header of several lines'
        return line
