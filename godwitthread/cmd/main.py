"""Entry point of the command line."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

from cleo.application import Application

from godwitthread import __version__
from godwitthread.cmd import output

if TYPE_CHECKING:
    from cleo.commands.command import Command

#: Modules of this package that define commands.
COMMAND_MODULES = (
    'serve',
    'platform',
    'demo',
    'standin',
    'manifest',
    'configuration',
    'status',
    'timeline',
    'completion',
)


def commands() -> list[type[Command]]:
    """Return the command classes of all command modules."""
    found: list[type[Command]] = []
    for name in COMMAND_MODULES:
        module = importlib.import_module(f'godwitthread.cmd.{name}')
        found.extend(module.COMMANDS)
    return found


def main() -> int:
    """Run the command line and return its exit status."""
    application = Application('godwitthread', __version__)
    for command in commands():
        application.add(command())
    return output.run(application)
