"""Entry points that run a stand-in, and the control endpoint of a database group."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.loop import eventlet
from godwitthread.standin.balancer import Balancer, BalancerSettings
from godwitthread.standin.group import Group, GroupSettings
from godwitthread.standin.http import HttpServer, Request, Response, json_response
from godwitthread.standin.platform import Platform, PlatformSettings

if TYPE_CHECKING:
    from godwitthread.standin.member import LogRecord

logger = logging.getLogger(__name__)

IDLE_SECONDS = 3_600


class ControlAddress(NamedTuple):
    """Address of the control endpoint of a group."""

    host: str
    port: int


class GroupControl:
    """HTTP endpoint for fault injection, member state and executed writes of a group."""

    def __init__(self, group: Group, address: ControlAddress) -> None:
        self._group = group
        self.server = HttpServer(address.host, address.port, self._handle)

    def _handle(self, req: Request) -> Response:
        kind, _, name = req.path.lstrip('/').partition('/')
        if kind == 'fault' and req.method == 'POST':
            self._group.set_fault(name, **json.loads(req.body or b'{}'))
            return Response(204)
        if kind == 'state':
            return json_response([_state(entry) for entry in self._group.members()])
        if kind == 'writes':
            return json_response(self._writes())
        return Response(404)

    def _writes(self) -> list[dict[str, Any]]:
        surviving = {record.transaction for record in self._group.surviving()}
        return [_write(entry, surviving) for entry in self._group.executed]


def run_group(settings: GroupSettings, control: ControlAddress) -> None:
    """Run a database group and its control endpoint until the process is killed."""
    group = Group(settings)
    group.start()
    endpoint = GroupControl(group, control)
    endpoint.server.start()
    for spec in group.specs():
        logger.info('member %s listens on %s:%d', spec.name, spec.host, spec.port)
    logger.info('control endpoint listens on %s', endpoint.server.url)
    _run_forever()


def run_platform(settings: PlatformSettings) -> None:
    """Run the platform until the process is killed."""
    platform = Platform(settings)
    platform.start()
    logger.info('platform listens on %s', platform.url)
    _run_forever()


def run_balancer(settings: BalancerSettings) -> None:
    """Run the balancer until the process is killed."""
    balancer = Balancer(settings)
    balancer.start()
    logger.info('balancer listens on %s:%d', settings.host, balancer.port)
    _run_forever()


def _run_forever() -> None:
    while True:
        eventlet.sleep(IDLE_SECONDS)


def _state(member: Any) -> dict[str, Any]:
    return {
        'member': member.name,
        'role': member.role,
        'term': member.term,
        'offset': member.end,
        'applied': member.applied_end,
        'promised': list(member.promised),
        'alive': member.alive,
        'history': member.history,
    }


def _write(record: LogRecord, surviving: set[int]) -> dict[str, Any]:
    return {
        'transaction': record.transaction,
        'term': record.term,
        'member': record.member,
        'end': record.end,
        'surviving': record.transaction in surviving,
        'statements': [
            [entry.sql, list(map(str, entry.params.values()))] for entry in record.statements
        ],
    }
