"""Command that runs a gateway instance on the platform of the users."""

from __future__ import annotations

import os
import sys

from cleo.commands.command import Command
from cleo.helpers import option

from godwitthread.platform import gateway_process, settings


class PlatformCommand(Command):
    """Run one gateway instance."""

    name = 'platform'
    description = 'Run one gateway instance on the platform until SIGTERM.'
    help = f'The settings file is named by {settings.CONFIG_PATH_VARIABLE}.'
    options = [
        option('check', None, 'check the settings file and stop', flag=True),
    ]

    def handle(self) -> int:
        """Serve, or with --check only validate the settings file."""
        if not self.option('check'):
            return gateway_process.main()
        try:
            settings.load(os.environ)
        except ExceptionGroup as group:
            for exc in group.exceptions:
                print(f'godwitthread: {exc}', file=sys.stderr)
            return gateway_process.BAD_SETTINGS
        print('settings accepted')
        return 0


COMMANDS: list[type[Command]] = [PlatformCommand]
