"""Shared exit statuses, options and output formatting of the commands."""

from __future__ import annotations

import json
import os
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option

from godwitthread.cmd.operator import CallError, OperatorApi

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cleo.application import Application
    from cleo.io.inputs.input import Input
    from cleo.io.outputs.output import Output


class ExitStatus(IntEnum):
    """Exit status of a command."""

    DONE = 0
    REFUSED = 1
    BAD_USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4


class CommandError(Exception):
    """Ends a command with an exit status and error lines."""

    def __init__(self, status: ExitStatus, *lines: str) -> None:
        super().__init__(*lines)
        #: Exit status of the command.
        self.status = status
        #: Lines printed to the error output.
        self.lines = lines


JSON_OPTION = option('json', description='Print JSON.')
OPERATOR_OPTIONS = [
    JSON_OPTION,
    option('url', flag=False, description='Operator port (GODWITTHREAD_OPERATOR_URL).'),
    option('token', flag=False, description='Credential (GODWITTHREAD_OPERATOR_TOKEN).'),
]


class BaseCommand(Command):
    """Base class of commands that end with an ExitStatus; subclasses define perform()."""

    def handle(self) -> int:
        """Run the command and print its error, if any."""
        try:
            return int(self.perform())
        except CallError as exc:
            return self._report_failure(
                _STATUS_OF_OUTCOME[exc.outcome], [exc.message, *exc.mistakes], exc
            )
        except CommandError as exc:
            return self._report_failure(exc.status, list(exc.lines))

    def perform(self) -> ExitStatus:
        """Do the work of the command; raise CommandError or CallError."""
        raise TypeError(f'{type(self).__name__} must define perform()')

    def show(self, value: Any, text: str) -> None:
        """Print the value as JSON with --json, otherwise the text."""
        if self.option('json'):
            text = json.dumps(value, indent=2, default=str)
        self.io.write_line(escape_markup(text))

    def api(self) -> OperatorApi:
        """Return a client of the operator port named by options or environment."""
        url = self.option('url') or os.environ.get('GODWITTHREAD_OPERATOR_URL')
        token = self.option('token') or os.environ.get('GODWITTHREAD_OPERATOR_TOKEN')
        missing = [name for name, value in (('url', url), ('token', token)) if not value]
        if missing:
            lines = [f'--{m} or GODWITTHREAD_OPERATOR_{m.upper()} is required' for m in missing]
            raise CommandError(ExitStatus.BAD_USAGE, *lines)
        return OperatorApi(str(url), str(token))

    def parse_number(self, text: Any, name: str) -> int:
        """Return a non-negative integer; raise CommandError with status BAD_USAGE."""
        if not str(text).isascii() or not str(text).isdecimal():
            raise CommandError(ExitStatus.BAD_USAGE, f'{name} must be a whole number, not {text}')
        return int(text)

    def _report_failure(
        self, status: ExitStatus, lines: list[str], exc: CallError | None = None
    ) -> ExitStatus:
        if self.option('json'):
            error = exc.error if exc else {'message': '\n'.join(lines)}
            self.io.write_line(
                escape_markup(json.dumps({'error': error, 'exit_status': int(status)}))
            )
        for line in lines:
            self.io.write_error_line(escape_markup(line))
        return status


def escape_markup(text: str) -> str:
    """Escape the style tags of cleo, so that the text is printed literally."""
    return text.replace('<', '\\<')


def format_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Format rows as left-aligned columns, one line per row."""
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(_format_row(row, widths) for row in cells)


def run(
    application: Application,
    command_input: Input | None = None,
    out: Output | None = None,
    err: Output | None = None,
) -> int:
    """Run the command line and return its exit status; usage errors give 2."""
    application.auto_exits(False)
    application.catch_exceptions(False)
    try:
        return application.run(command_input, out, err)
    except CleoError as exc:
        application.create_io(command_input, out, err).write_error_line(escape_markup(str(exc)))
        return int(ExitStatus.BAD_USAGE)


_STATUS_OF_OUTCOME = {
    'not_run': ExitStatus.REFUSED,
    'done': ExitStatus.REFUSED,
    'unknown': ExitStatus.UNKNOWN,
    'unreachable': ExitStatus.UNREACHABLE,
}


def _format_row(row: list[str], widths: list[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return '  '.join(cells).rstrip()
