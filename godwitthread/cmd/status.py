"""Command that shows the state of the instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar

from godwitthread.cmd.change_command import format_instance_table
from godwitthread.cmd.output import OPERATOR_OPTIONS, BaseCommand, ExitStatus, format_table

if TYPE_CHECKING:
    from cleo.commands.command import Command
    from cleo.io.inputs.option import Option


class StatusCommand(BaseCommand):
    """Show the state of the instances."""

    name = 'status'
    description = 'Show the state of the instances as one of them knows it.'
    options: ClassVar[list[Option]] = OPERATOR_OPTIONS

    def perform(self) -> ExitStatus:
        """Print the status of all instances, groups and invariants."""
        status = self.api().get('/v1/status')
        self.show(status, '\n'.join(_format_status(status)))
        return ExitStatus.DONE


def _format_status(status: dict[str, Any]) -> list[str]:
    wrong = status.get('wrong', [])
    lines = [f'wrong: {each}' for each in wrong] or ['wrong: nothing']
    lines += [
        f'{name}: {value}' for name, value in status.items() if name not in _SEPARATE_SECTIONS
    ]
    if status.get('instances'):
        lines += ['', format_instance_table(status['instances'])]
    if status.get('groups'):
        lines += ['', format_table(_GROUP_HEADERS, _group_rows(status['groups']))]
    if status.get('invariants'):
        lines += ['', format_table(('PROMISE', 'CHECKS', 'VIOLATIONS'), _invariant_rows(status))]
    return lines


#: Fields of the status that are printed in their own format.
_SEPARATE_SECTIONS = frozenset({'wrong', 'instances', 'groups', 'invariants'})
_GROUP_HEADERS = ('DATABASE', 'MEMBER', 'ROLE', 'TERM', 'OFFSET', 'LAG (MS)', 'SEEN (MS AGO)')


def _group_rows(groups: dict[str, Any]) -> list[tuple[Any, ...]]:
    rows = []
    for database, group in groups.items():
        if group['primary'] not in group['members']:
            rows.append((database, group['primary'] or 'unknown', 'primary', group['term'], *'---'))
        for member, seen in sorted(group['members'].items()):
            # The report may predate the newest known term, so the role follows from the primary.
            role = 'primary' if member == group['primary'] else 'replica'
            rest = (seen[name] for name in ('term', 'offset', 'lag_ms'))
            # The time of a report is when it was requested, on the clock of another instance,
            # which may be ahead of that of this one.
            rows.append((database, member, role, *rest, max(0, seen['seen_ms_ago'])))
    return rows


def _invariant_rows(status: dict[str, Any]) -> list[tuple[Any, ...]]:
    counts = status['invariants']
    return [(name, n, counts['violations'].get(name, 0)) for name, n in counts['checks'].items()]


COMMANDS: list[type[Command]] = [StatusCommand]
