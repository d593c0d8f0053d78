"""Command that runs a demonstration deployment in one process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cleo.commands.command import Command
from cleo.helpers import option

from godwitthread import loop
from godwitthread.loop import eventlet
from godwitthread.manifest.examples import DEPLOYMENTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.demo.deployment import Deployment

#: Interval of the sleep loop that keeps a deployment running, in seconds.
KEEP_SLEEP_S = 3_600


class DemoCommand(Command):
    """Inject failures into stand-ins and nine instances and print a table of results."""

    name = 'demo'
    description = 'Run a whole deployment through failures and print what was seen.'
    options = [
        option(
            'deployment', None, f'One of {", ".join(DEPLOYMENTS)}', flag=False, default='fjordkjol'
        ),
        option('seed', None, 'Seed of the workload', flag=False, default='1'),
        option('keep', None, 'Leave the deployment running and print how to try it'),
    ]

    def handle(self) -> int:
        """Run the demonstration; return 0 only if every check passed."""
        name, seed = self.option('deployment'), self.option('seed')
        if name not in DEPLOYMENTS or not seed.isdecimal():
            self.line_error(
                f'--deployment must be one of {", ".join(DEPLOYMENTS)}, --seed a whole number'
            )
            return 2
        loop.patch()
        logging.basicConfig(level=logging.WARNING, format='%(message)s')
        return _demonstrate(name, int(seed), self.option('keep'), self.line)


def _demonstrate(name: str, seed: int, keep: bool, write_line: Callable[[str], Any]) -> int:
    # Imported after the eventlet monkey patch, so that every socket is cooperative.
    from godwitthread.demo import report
    from godwitthread.demo.run import Demonstration

    demonstration = Demonstration(name, seed, write_line)
    table = demonstration.run()
    write_line('')
    write_line(report.render(table))
    if keep:
        _keep_running(demonstration.deployment, write_line)
    demonstration.deployment.stop()
    return 0 if all(line.passed for line in table) else 1


def _keep_running(deployment: Deployment, write_line: Callable[[str], Any]) -> None:
    write_line('')
    write_line(f'callers: {deployment.url}')
    for instance in deployment.instances:
        settings = instance.state.settings
        write_line(f'{settings.name}: callers http://{settings.caller_address}')
    first = deployment.instances[0].state.settings
    write_line(f'export GODWITTHREAD_OPERATOR_URL=http://{first.operator_address}')
    write_line(f'export GODWITTHREAD_OPERATOR_TOKEN={deployment.operator_token}')
    for organisation, keys in deployment.keys.items():
        write_line(f'key of {organisation}: {keys[0]}')
    write_line('stop with Ctrl-C')
    try:
        while True:
            eventlet.sleep(KEEP_SLEEP_S)
    except KeyboardInterrupt:
        return


COMMANDS: list[type[Command]] = [DemoCommand]
