"""Reading of answers from the connection to a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.core.memory_budget import SMALL_BYTES
from godwitthread.core.statements import Refusal, Reply, TxState
from godwitthread.loop import eventlet
from godwitthread.platform.line_protocol import LineReader, LineTooLongError, parse_position
from godwitthread.sockets import has_no_input

if TYPE_CHECKING:
    from collections.abc import Callable

#: Maximum number of reads of the socket for which no other green thread runs: in one look at what
#: was received, or between two breaks in reading a long answer.
MAX_READS_AT_A_TIME = 16

_REFUSALS = {
    'BUSY': Refusal.BUSY,
    'NOSTMT': Refusal.UNPREPARED,
    'LAGGING': Refusal.BEHIND,
    'READONLY': Refusal.READ_ONLY,
    'WRONGNODE': Refusal.WRONG_MEMBER,
    'TOOMANY': Refusal.TOO_MANY,
    'FAILED': Refusal.FAILED,
    'TIMEOUT': Refusal.TIMEOUT,
}
_STATES = {'I': TxState.IDLE, 'T': TxState.OPEN, 'E': TxState.FAILED}


class MalformedAnswerError(Exception):
    """Raised when the lines received are not those of an answer."""


class AnswerReader:
    """Read answers line by line; an answer that arrived in part is kept between calls."""

    __slots__ = ('_count_bytes', '_counted', '_lines', '_outcome', '_row_bytes', '_rows', '_source')

    def __init__(
        self,
        sock: Any,
        count_bytes: Callable[[int], None] | None = None,
        note_line: Callable[[], None] | None = None,
    ) -> None:
        self._source = _Source(sock)
        self._lines = LineReader(self._source)
        self._lines.on_control_byte = note_line
        #: Called with each change of the size of a large answer that is being received, in bytes.
        self._count_bytes = count_bytes
        if count_bytes is not None:
            self._lines.on_partial = self._note_received
        self._rows: list[str] = []
        #: Receipt, refusal and message of the answer that is being received.
        self._outcome: tuple[str, Refusal | None, str] | None = None
        self._counted = self._row_bytes = 0

    @property
    def in_answer(self) -> bool:
        """Return whether an answer has arrived in part."""
        return bool(self._rows) or self._outcome is not None or self._lines.has_more

    @property
    def refused(self) -> Reply | None:
        """Return the refusal of an answer whose end has not arrived."""
        if self._outcome is None or self._outcome[1] is None:
            return None
        return Reply(refusal=self._outcome[1], message=self._outcome[2])

    def read(self) -> Reply:
        """Read an answer to its end; raise OSError and MalformedAnswerError."""
        while True:
            try:
                line = self._lines.read()
            except LineTooLongError as exc:
                raise MalformedAnswerError('a line is too long') from exc
            if line is None:
                raise ConnectionResetError('connection closed by the member')
            reply = self._add(line)
            if reply is not None:
                return reply

    def poll(self) -> Reply | None:
        """Return the next answer if it has been received to its end already."""
        if not self._lines.has_input():
            return None
        self._source.reads_left = MAX_READS_AT_A_TIME
        try:
            return self.read()
        except BlockingIOError:
            return None
        finally:
            self._source.reads_left = None

    def discard(self) -> None:
        """Drop what was received."""
        self._end()
        self._lines.close()

    def _add(self, line: str) -> Reply | None:
        """Add a line; return the answer if it is the last one."""
        word, _, rest = line.partition(' ')
        if word == 'READY':
            return self._end_of_answer(rest)
        if self._outcome is not None:
            raise MalformedAnswerError(f'{word[:16]!r} behind the outcome of an answer')
        if word == 'ROW':
            self._rows.append(rest)
            self._row_bytes += len(rest)
        elif word == 'DONE' and rest:
            self._outcome = rest, None, ''
        elif word == 'ERR':
            code, _, message = rest.partition(' ')
            # An unknown code does not guarantee that the statement had no effect.
            self._outcome = '', _REFUSALS.get(code, Refusal.FAILED), message
        else:
            raise MalformedAnswerError(f'unexpected message type {word[:16]!r}')
        return None

    def _end_of_answer(self, text: str) -> Reply:
        state, _, position = text.partition(' ')
        if state not in _STATES or (self._rows and self._outcome is None):
            raise MalformedAnswerError('an answer ends without its outcome or state')
        # READY alone answers the opening of a connection.
        receipt, refusal, message = self._outcome or ('', None, '')
        rows = () if refusal else tuple(self._rows)
        self._end()
        place = parse_position(position)
        return Reply(rows, receipt, refusal, message, _STATES[state], place)

    def _end(self) -> None:
        self._rows, self._outcome, self._row_bytes = [], None, 0
        if self._counted:
            self._note_received(0)

    def _note_received(self, partial_bytes: int) -> None:
        size = self._row_bytes + partial_bytes
        if self._count_bytes is not None and (size > SMALL_BYTES or self._counted):
            self._count_bytes(size - self._counted)
            self._counted = size


class _Source:
    """Receiving side of a socket, which can be asked not to wait."""

    __slots__ = ('_reads', '_sock', 'reads_left')

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        #: Number of reads since the last break.
        self._reads = 0
        #: Number of reads that may follow, none of which waits; None if all may wait.
        self.reads_left: int | None = None

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        number: int = self._sock.fileno()
        return number

    def recv(self, size: int) -> bytes:
        """Receive up to `size` bytes; raise BlockingIOError instead of waiting if so asked."""
        if self.reads_left is not None:
            if not self.reads_left or has_no_input(self._sock):
                raise BlockingIOError
            self.reads_left -= 1
        elif self._reads >= MAX_READS_AT_A_TIME:
            self._reads = 0
            eventlet.sleep(0)
        self._reads += 1
        data: bytes = self._sock.recv(size)
        return data
