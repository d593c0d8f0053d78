"""Base class of commands that change the configuration and may wait until it is settled."""

from __future__ import annotations

import getpass
import os
import time
from typing import TYPE_CHECKING, Any

from cleo.helpers import option

from godwitthread.cmd.operator import CallError
from godwitthread.cmd.output import BaseCommand, ExitStatus, format_table

if TYPE_CHECKING:
    from godwitthread.cmd.operator import OperatorApi

#: Polling interval of the status, in s.
POLL_S = 0.25

WAIT_OPTIONS = [
    option('author', flag=False, description='Author of the change (GODWITTHREAD_AUTHOR).'),
    option('wait', description='Wait until the version is settled.'),
    option('wait-s', flag=False, default='30', description='Longest wait in seconds.'),
]


class ChangeCommand(BaseCommand):
    """Base class of commands that change the configuration."""

    def author(self) -> str:
        """Return the author of the change, by default the login name."""
        named = self.option('author') or os.environ.get('GODWITTHREAD_AUTHOR')
        return str(named or getpass.getuser())

    def report(self, api: OperatorApi, answer: dict[str, Any], extra: str = '') -> ExitStatus:
        """Print the version of an accepted change and, with --wait, that of each instance."""
        instances: list[dict[str, Any]] = []
        if self.option('wait'):
            answer, instances = self._wait_until_settled(api, answer)
        settlement = 'accepted' if answer['settled'] else 'stored, not yet settled'
        lines = [f'version {answer["version"]} {settlement}', *([extra] if extra else [])]
        if instances:
            lines.append(format_instance_table(instances))
        self.show({**answer, 'instances': instances}, '\n'.join(lines))
        wait_timed_out = self.option('wait') and not answer['settled']
        return ExitStatus.UNKNOWN if wait_timed_out else ExitStatus.DONE

    def _wait_until_settled(
        self, api: OperatorApi, answer: dict[str, Any]
    ) -> tuple[dict[str, Any], list[dict[str, Any]]]:
        deadline_s = time.monotonic() + self.parse_number(self.option('wait-s'), 'wait-s')
        instances: list[dict[str, Any]] = []
        while True:
            try:
                status = api.get('/v1/status')
            except CallError as exc:
                # The change is stored already; a failed poll only delays the report.
                self.io.write_error_line(exc.message)
                status = {}
            instances = status.get('instances', instances)
            settled = status.get('settled_version', 0) >= answer['version']
            if settled or time.monotonic() >= deadline_s:
                return {**answer, 'settled': settled}, instances
            time.sleep(POLL_S)


_READINESS_TEXTS = {True: 'ready', False: 'not ready', None: 'unknown'}


def format_instance_table(instances: list[dict[str, Any]]) -> str:
    """Format a table of instances with the configuration version on each."""
    rows = [
        (
            each['name'],
            each['failure_domain'],
            'unknown' if each.get('version') is None else each['version'],
            _READINESS_TEXTS[each.get('ready')],
        )
        for each in instances
    ]
    return format_table(('INSTANCE', 'FAILURE DOMAIN', 'VERSION', 'STATE'), rows)
