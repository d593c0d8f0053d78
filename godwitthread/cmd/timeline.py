"""Command that shows the events of several processes as one timeline."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import option

from godwitthread.cmd.operator import OperatorApi
from godwitthread.cmd.output import (
    OPERATOR_OPTIONS,
    BaseCommand,
    CommandError,
    ExitStatus,
    escape_markup,
)
from godwitthread.timeline import page, text, trace
from godwitthread.timeline.merge import Record, Selection, merge, parse, select

if TYPE_CHECKING:
    from collections.abc import Callable

    from cleo.commands.command import Command
    from cleo.io.inputs.option import Option

RENDERERS: dict[str, Callable[[list[Record]], str]] = {
    'text': text.render,
    'html': page.render,
    'trace': lambda records: json.dumps(trace.render(records), default=str),
}


class TimelineCommand(BaseCommand):
    """Show the merged events."""

    name = 'timeline'
    description = 'Show the events of instances and log files as one time line.'
    options: ClassVar[list[Option]] = [
        *OPERATOR_OPTIONS,
        option('also', flag=False, multiple=True, description='Operator port of another instance.'),
        option('file', flag=False, multiple=True, description='Log file with event lines.'),
        option('since', flag=False, default='0', description='Only events after this sequence.'),
        option('organisation', flag=False, description='Only events of this organisation.'),
        option('database', flag=False, description='Only events of this database.'),
        option('request', flag=False, description='Only events of this request id.'),
        option('from-ms', flag=False, description='Only events from this wall time in ms.'),
        option('to-ms', flag=False, description='Only events up to this wall time in ms.'),
        option('format', flag=False, default='text', description='text, html or trace.'),
        option('output', flag=False, description='File to write instead of printing.'),
    ]

    def perform(self) -> ExitStatus:
        """Collect, filter and render the events."""
        format_name = self.option('format')
        if format_name not in RENDERERS:
            accepted = ', '.join(RENDERERS)
            raise CommandError(ExitStatus.BAD_USAGE, f'format {format_name} is none of {accepted}')
        selection = Selection(
            organisation=self.option('organisation'),
            database=self.option('database'),
            request=self.option('request'),
            from_ms=self._optional_number('from-ms'),
            to_ms=self._optional_number('to-ms'),
        )
        records = select(merge(self._collect_streams()), selection)
        if self.option('json'):
            return self._write(json.dumps({'events': records}, indent=2, default=str))
        return self._write(RENDERERS[format_name](records))

    def _collect_streams(self) -> list[list[Record]]:
        files = [self._read_log(name) for name in self.option('file')]
        if files and not self.option('url') and not self.option('also'):
            return files
        since = self.parse_number(self.option('since'), 'since')
        first = self.api()
        apis = [first, *(OperatorApi(url, first.token) for url in self.option('also'))]
        return [*files, *(api.get(f'/v1/events?since={since}')['events'] for api in apis)]

    def _read_log(self, name: str) -> list[Record]:
        try:
            found = parse(Path(name).read_text(encoding='utf-8', errors='replace'))
        except OSError as exc:
            raise CommandError(ExitStatus.BAD_USAGE, f'{name}: {exc.strerror}') from exc
        if found.skipped:
            self.io.write_error_line(escape_markup(f'{name}: {found.skipped} lines are no events'))
        return found.records

    def _optional_number(self, name: str) -> int | None:
        value: Any = self.option(name)
        return None if value is None else self.parse_number(value, name)

    def _write(self, rendered: str) -> ExitStatus:
        name = self.option('output')
        if not name:
            self.io.write_line(escape_markup(rendered))
            return ExitStatus.DONE
        try:
            Path(name).write_text(rendered, encoding='utf-8')
        except OSError as exc:
            raise CommandError(ExitStatus.REFUSED, f'{name}: {exc.strerror}') from exc
        return ExitStatus.DONE


COMMANDS: list[type[Command]] = [TimelineCommand]
