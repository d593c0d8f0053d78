"""Line protocol spoken by callers and backend servers: encoding, parsing and reading."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.core.statements import Statement, TxState, Verb
from godwitthread.sockets import has_no_input, receive
from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Callable

#: Maximum length of a line, in bytes: a message of 1 MiB, with the command and the names before it.
MAX_LINE_BYTES = (1024 + 16) * 1024
#: End of a line. CR and LF are data unless they stand together in this order.
END = b'\r\n'
#: Maximum number of bytes requested by one socket read.
READ_BYTES = 16 * 1024
#: Maximum number of digits; a number then fits in the integers of the messages between instances.
MAX_DIGITS = 18
#: Id of statements that the gateway itself issues.
GATEWAY_STATEMENT_ID = '-'

_STATES = {TxState.IDLE: 'I', TxState.OPEN: 'T', TxState.FAILED: 'E'}


class LineTooLongError(Exception):
    """Raised when a line exceeds the maximum length."""


class LineReader:
    """Buffered reader that splits the input of a socket into lines, in linear time."""

    def __init__(self, sock: Any, limit: int = MAX_LINE_BYTES) -> None:
        #: Maximum length of a line without its end, in bytes.
        self.limit = limit
        #: Called with the number of bytes received of a line whose end has not arrived.
        self.on_partial: Callable[[int], None] | None = None
        #: Called for each line that holds CR or LF as data.
        self.on_control_byte: Callable[[], None] | None = None
        self._sock = sock
        #: Data received and not yet returned.
        self._buffer = bytearray()
        #: Number of bytes at the start of the buffer that contain no end of a line.
        self._searched = 0
        self._closed = False

    @property
    def has_more(self) -> bool:
        """Return whether data behind the last line was received already."""
        return bool(self._buffer)

    def close(self) -> None:
        """Free the data at once; `read` returns None from now on.

        The references between the session and its connection form a cycle, so that the data would
        otherwise stay until the next run of the garbage collector.
        """
        self.on_partial = self.on_control_byte = None
        self._closed = True
        self._buffer.clear()
        self._searched = 0

    def has_input(self) -> bool:
        """Return whether `read` has data to process, or the end of the stream."""
        return bool(self._buffer) or not has_no_input(self._sock)

    def read(self) -> str | None:
        """Return the next line without its end, or None at the end of the stream."""
        while True:
            buffer = self._buffer
            end = buffer.find(END, self._searched)
            # A CR that was received last may be the first byte of the end.
            unended = len(buffer) - buffer.endswith(b'\r')
            if (end if end >= 0 else unended) > self.limit:
                buffer.clear()
                raise LineTooLongError
            if end >= 0:
                return self._take(end)
            self._searched = unended
            if buffer and self.on_partial is not None:
                self.on_partial(len(buffer))
            data = receive(self._sock, READ_BYTES)
            if not data or self._closed:
                return None
            self._buffer += data

    def _take(self, end: int) -> str:
        buffer = self._buffer
        if self.on_control_byte is not None and (
            buffer.find(b'\n', 0, end) >= 0 or buffer.find(b'\r', 0, end) >= 0
        ):
            self.on_control_byte()
        # A view avoids a copy of a long line.
        with memoryview(buffer) as view, view[:end] as text:
            line = str(text, 'latin-1')
        del buffer[: end + len(END)]
        self._searched = 0
        return line


def encode(*lines: str) -> bytes:
    """Encode lines for the wire; raise ValueError for a text that is no single line."""
    # Latin-1 maps each character to one byte without loss.
    data = END.join([*(line.encode('latin-1') for line in lines), b''])
    # One byte is counted faster than two, and few lines hold an LF.
    if data.count(b'\n') != len(lines) and data.count(END) != len(lines):
        raise ValueError('the text of a line contains CR LF')
    return data


def message_field(text: str) -> str:
    """Return a message without what a line cannot hold."""
    return text.replace('\r\n', ' ').encode('latin-1', 'backslashreplace').decode('latin-1')


def ready(state: TxState, position: Position | None = None) -> str:
    """Return the `READY` line that terminates every response."""
    return f'READY {_STATES[state]} {format_position(position)}'


def format_position(position: Position | None) -> str:
    """Format a position for the wire; `-` stands for none."""
    return f'{position.term}.{position.offset}' if position else '-'


def parse_position(text: str) -> Position | None:
    """Parse a position from its wire form; return None if the text is not a position."""
    term_text, _, offset_text = text.partition('.')
    term, offset = parse_number(term_text), parse_number(offset_text)
    return None if term is None or offset is None else Position(term, offset)


def parse_number(text: str) -> int | None:
    """Parse a number of at most MAX_DIGITS digits; return None if the text is not one."""
    return int(text) if text.isdecimal() and len(text) <= MAX_DIGITS else None


def parse_query(rest: str) -> Statement | None:
    """Parse `id text`, the arguments of `QUERY`; return None if the statement is invalid."""
    statement_id, _, text = rest.partition(' ')
    keyword, _, arguments = text.partition(' ')
    parser = _PARSERS.get(keyword)
    if not statement_id or parser is None:
        return None
    return parser(statement_id, text, arguments)


def _parse_begin(statement_id: str, text: str, arguments: str) -> Statement | None:
    if text not in ('BEGIN', 'BEGIN READ'):
        return None
    return Statement(statement_id, Verb.BEGIN, text, read_only=arguments == 'READ')


def _parser_without_fields(verb: Verb) -> Any:
    def parse(statement_id: str, text: str, arguments: str) -> Statement | None:
        # A blank at the end would reach the member with the text.
        return None if ' ' in text else Statement(statement_id, verb, text)

    return parse


def _parser_of_one_field(verb: Verb) -> Any:
    def parse(statement_id: str, text: str, arguments: str) -> Statement | None:
        return Statement(statement_id, verb, text, arguments) if arguments else None

    return parse


def _parser_of_two_fields(verb: Verb) -> Any:
    def parse(statement_id: str, text: str, arguments: str) -> Statement | None:
        name, _, argument = arguments.partition(' ')
        if not name or not argument:
            return None
        return Statement(statement_id, verb, text, name, argument)

    return parse


def _parse_prepare(statement_id: str, text: str, arguments: str) -> Statement | None:
    name, _, rest = arguments.partition(' ')
    mode, _, shape = rest.partition(' ')
    if not name or mode not in ('READ', 'WRITE') or not shape:
        return None
    return Statement(statement_id, Verb.PREPARE, text, name, shape, read_only=mode == 'READ')


_PARSERS: dict[str, Any] = {
    'BEGIN': _parse_begin,
    'COMMIT': _parser_without_fields(Verb.COMMIT),
    'ROLLBACK': _parser_without_fields(Verb.ROLLBACK),
    'READ': _parser_of_one_field(Verb.READ),
    'WRITE': _parser_of_two_fields(Verb.WRITE),
    'SET': _parser_of_two_fields(Verb.SET),
    'PREPARE': _parse_prepare,
    'EXEC': _parser_of_two_fields(Verb.EXECUTE),
    'DEALLOC': _parser_of_one_field(Verb.DEALLOCATE),
}
