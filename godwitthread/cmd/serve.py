"""Command that runs one instance."""

from __future__ import annotations

import logging
import os
import signal
import sys
from functools import partial
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from godwitthread import loop
from godwitthread.errors import ProxyError
from godwitthread.instance import settings as settings_module
from godwitthread.loop import eventlet

#: Exit status for invalid settings.
BAD_SETTINGS = 2


class ServeCommand(Command):
    """Run one proxy instance."""

    name = 'serve'
    description = 'Run one proxy instance until SIGTERM or SIGINT.'
    options = [
        option(
            each.flag,
            None,
            f'{each.help} ({each.variable}): {each.accepted}',
            flag=False,
        )
        for each in settings_module.OPTIONS
    ]

    def handle(self) -> int:
        """Validate the settings and serve."""
        flags = {each.name: self.option(each.flag) for each in settings_module.OPTIONS}
        try:
            settings = settings_module.load(flags, os.environ)
        except ExceptionGroup as group:
            print_mistakes(group)
            return BAD_SETTINGS
        loop.patch()
        logging.basicConfig(
            level=settings.log_level.upper(), format='%(message)s', stream=sys.stderr
        )
        return _serve(settings)


def print_mistakes(group: ExceptionGroup[ProxyError]) -> None:
    """Print each validation error of the settings on its own line."""
    for exc in group.exceptions:
        print(f'godwitthread: {exc}', file=sys.stderr)


def _serve(settings: settings_module.Settings) -> int:
    # Imported after the eventlet monkey patch, so that every socket is cooperative.
    from godwitthread.instance.incarnations import serve
    from godwitthread.instance.server import Instance
    from godwitthread.instance.tls import load_certificates

    try:
        tls = load_certificates(settings)
    except ProxyError as exc:
        print(f'godwitthread: {exc}', file=sys.stderr)
        return BAD_SETTINGS
    stop = eventlet.event.Event()

    def request_stop(*_: Any) -> None:
        if not stop.ready():
            eventlet.spawn_after(0, stop.send)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    # All incarnations share the loaded certificates, so that a new incarnation can start
    # even if the certificate files have become invalid since.
    serve(settings, stop, partial(Instance, tls=tls))
    return 0


COMMANDS: list[type[Command]] = [ServeCommand]
