"""Command that checks a configuration in the platform's form before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument

from godwitthread.cmd.manifest import read_document
from godwitthread.cmd.output import JSON_OPTION, BaseCommand, ExitStatus
from godwitthread.manifest import diff, document
from godwitthread.platform import configuration_check

if TYPE_CHECKING:
    from cleo.commands.command import Command
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


class ConfigurationCheck(BaseCommand):
    """Check a configuration of the platform locally, without an instance or the store."""

    name = 'configuration check'
    description = "Check a configuration in the platform's form and show what it changes."
    arguments: ClassVar[list[Argument]] = [
        argument('file', 'Configuration file, - for the standard input.'),
        argument('in-force', 'Configuration that is in force.', optional=True),
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def perform(self) -> ExitStatus:
        """Print the issues, and the differences if the configuration in force is given."""
        new = read_document(self.argument('file'))
        old_file = self.argument('in-force')
        old = read_document(old_file) if old_file else None
        mistakes = configuration_check.check(new, old)
        lines = [document.describe(mistake) for mistake in mistakes] or ['no mistakes']
        shown = {'mistakes': [mistake._asdict() for mistake in mistakes]}
        if old_file:
            differences = configuration_check.diff(old, new)
            lines.append(diff.as_text(differences))
            shown['differences'] = diff.as_json(differences)
        self.show(shown, '\n'.join(lines))
        return ExitStatus.REFUSED if mistakes else ExitStatus.DONE


COMMANDS: list[type[Command]] = [ConfigurationCheck]
