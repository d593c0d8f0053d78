"""Commands that run the stand-ins of database groups, platform and load balancer."""

from __future__ import annotations

import logging

from cleo.commands.command import Command
from cleo.helpers import option

from godwitthread.standin import run
from godwitthread.standin.balancer import BalancerSettings, Target
from godwitthread.standin.group import GroupSettings
from godwitthread.standin.member import MemberSettings
from godwitthread.standin.platform import PlatformSettings

DEFAULT_HOST = '127.0.0.1'


class GroupCommand(Command):
    """Run a stand-in database group."""

    name = 'standin group'
    description = 'Run a database group with fault injection'
    options = [
        option('address', None, 'Address of a member: [name=]host:port', flag=False, multiple=True),
        option('control', None, 'Address of the control endpoint', flag=False, default=':0'),
        option('database', None, 'Name of the database', flag=False, default='orders'),
        option('connection-limit', None, 'Connections per member', flag=False, default='30'),
        option('setup-ms', None, 'Time to open a connection, in ms', flag=False, default='0'),
        option('lag-ms', None, 'Replica lag, in ms', flag=False, default='0'),
        option('link-ms', None, 'One-way latency between members, in ms', flag=False, default='0'),
        option('password', None, 'Password of every user', flag=False),
    ]

    def handle(self) -> int:
        """Run until killed."""
        _log_to_stderr()
        database = self.option('database')
        addresses = self.option('address') or [':0', ':0', ':0']
        members = tuple(
            MemberSettings(*_parse_named_address(text, f'{database}-{number}'))
            for number, text in enumerate(addresses, 1)
        )
        settings = GroupSettings(
            database,
            members,
            connection_limit=int(self.option('connection-limit')),
            setup_ms=int(self.option('setup-ms')),
            lag_ms=int(self.option('lag-ms')),
            link_ms=float(self.option('link-ms')),
            password=self.option('password'),
        )
        run.run_group(settings, run.ControlAddress(*_parse_address(self.option('control'))))
        return 0


class PlatformCommand(Command):
    """Run the stand-in platform."""

    name = 'standin platform'
    description = 'Run table service, object store and instance list'
    options = [
        option('address', None, 'Address to listen on', flag=False, default=':0'),
        option('list-lag-ms', None, 'Lag of the instance list, in ms', flag=False, default='0'),
    ]

    def handle(self) -> int:
        """Run until killed."""
        _log_to_stderr()
        host, port = _parse_address(self.option('address'))
        run.run_platform(PlatformSettings(host, port, int(self.option('list-lag-ms'))))
        return 0


class BalancerCommand(Command):
    """Run the stand-in load balancer."""

    name = 'standin balancer'
    description = 'Send connections to random ready instances'
    options = [
        option('address', None, 'Address to listen on', flag=False, default=':0'),
        option('target', None, 'Instance: [name=]host:port[,ready URL]', flag=False, multiple=True),
        option('poll-ms', None, 'Interval of readiness polls, in ms', flag=False, default='500'),
        option('lag-ms', None, 'Time until a poll counts, in ms', flag=False, default='0'),
        option('seed', None, 'Seed of the random choice', flag=False, default='1'),
    ]

    def handle(self) -> int:
        """Run until killed."""
        _log_to_stderr()
        host, port = _parse_address(self.option('address'))
        targets = tuple(_parse_target(text) for text in self.option('target'))
        run.run_balancer(
            BalancerSettings(
                targets,
                host,
                port,
                poll_ms=int(self.option('poll-ms')),
                lag_ms=int(self.option('lag-ms')),
                seed=int(self.option('seed')),
            )
        )
        return 0


COMMANDS: list[type[Command]] = [GroupCommand, PlatformCommand, BalancerCommand]


def _log_to_stderr() -> None:
    logging.basicConfig(level=logging.INFO, format='%(message)s')


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return host or DEFAULT_HOST, int(port)


def _parse_named_address(text: str, default: str) -> tuple[str, str, int]:
    name, _, address = text.rpartition('=')
    return (name or default, *_parse_address(address))


def _parse_target(text: str) -> Target:
    named_address, _, ready_url = text.partition(',')
    return Target(*_parse_named_address(named_address, named_address), ready_url)
