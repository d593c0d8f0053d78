"""Platform stand-in: table service, object store and instance list."""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.clock import Clock
from godwitthread.loop import eventlet
from godwitthread.standin.http import (
    DropConnectionError,
    HttpServer,
    Request,
    Response,
    json_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.types import Seat

#: Number of seconds for which per-second counts are kept.
COUNTER_HISTORY_SECONDS = 3_600
#: Time for which a request is held during a silent outage, in ms.
HOLD_LIMIT_MS = 60_000
OUTAGE_MODES = ('refuse', 'drop', 'silent')


class PlatformSettings(NamedTuple):
    """Settings of the platform stand-in."""

    host: str = '127.0.0.1'
    port: int = 0
    #: Delay before a change of the instance list becomes visible, in ms.
    list_lag_ms: int = 0


class StoredRow(NamedTuple):
    """Row with its ETag."""

    body: bytes
    etag: str


@dataclass
class PlatformFaults:
    """Active faults."""

    #: '' or one of OUTAGE_MODES; no request takes effect during an outage.
    outage: str = ''
    #: Delay before a request takes effect, in ms.
    slow_ms: int = 0
    #: Number of writes left whose answer is dropped after they took effect.
    lose_answers: int = 0


class Platform:
    """In-memory rows, objects and instance list, served over HTTP."""

    def __init__(self, settings: PlatformSettings, clock: Clock | None = None) -> None:
        self._clock = clock or Clock()
        self._list_lag_ms = settings.list_lag_ms
        self._rows: dict[str, StoredRow] = {}
        self._objects: dict[str, bytes] = {}
        self._instances: dict[str, dict[str, Any]] = {}
        #: Versions of the instance list with the time of their creation in ms, oldest first.
        self._lists: deque[tuple[int, list[dict[str, Any]]]] = deque([(-(2**62), [])])
        self._writes = 0
        self.faults = PlatformFaults()
        self.counters = Counters()
        self.server = HttpServer(settings.host, settings.port, self._handle)
        self._routes: dict[str, Callable[[str, Request], Response]] = {
            'table': self._table,
            'object': self._object,
            'instances': self._list,
            'counters': lambda name, req: json_response(self.counters.report()),
            'fault': self._fault,
        }

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.server.url

    def start(self) -> None:
        """Serve in the background."""
        self.server.start()

    def stop(self) -> None:
        """Close the listener."""
        self.server.stop()

    def set_fault(self, name: str, **params: Any) -> None:
        """Inject a fault.

        Raise KeyError for an unknown name, TypeError for parameters that it does not take.
        """
        FAULTS[name](self, **params)

    def list_seat(self, seat: Seat, state: str = 'ready') -> None:
        """Add the instance of a seat to the list."""
        self.list_instance(seat.name, seat.host, seat.caller_port, seat.failure_domain, state)

    def list_instance(
        self, name: str, host: str, port: int, failure_domain: str, state: str = 'ready'
    ) -> None:
        """Add an instance to the list; it becomes visible after the lag."""
        self._instances[name] = {
            'name': name,
            'host': host,
            'port': port,
            'failure_domain': failure_domain,
            'state': state,
        }
        self._record_list()

    def unlist_instance(self, name: str) -> None:
        """Remove an instance from the list; the change becomes visible after the lag."""
        self._instances.pop(name, None)
        self._record_list()

    def instances(self) -> list[dict[str, Any]]:
        """Return the instance list as it was one lag interval ago."""
        as_of_ms = self._clock.now_ms() - self._list_lag_ms
        while len(self._lists) > 1 and self._lists[1][0] <= as_of_ms:
            self._lists.popleft()
        return self._lists[0][1]

    def _record_list(self) -> None:
        self._lists.append((self._clock.now_ms(), list(self._instances.values())))

    def _handle(self, req: Request) -> Response:
        kind, _, name = req.path.lstrip('/').partition('/')
        route = self._routes.get(kind)
        if route is None:
            return Response(404)
        if kind in ('fault', 'counters'):
            return route(name, req)
        write = req.method != 'GET'
        self.counters.add(self._clock.now_ms(), write)
        if not self._reachable():
            return Response(503)
        resp = route(name, req)
        if write and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise DropConnectionError
        return resp

    def _reachable(self) -> bool:
        """Apply the outage and delay faults; return whether the request takes effect."""
        if self.faults.slow_ms:
            eventlet.sleep(self.faults.slow_ms / 1000)
        if self.faults.outage == 'silent':
            eventlet.sleep(HOLD_LIMIT_MS / 1000)
        if self.faults.outage in ('silent', 'drop'):
            raise DropConnectionError
        return not self.faults.outage

    def _table(self, name: str, req: Request) -> Response:
        row = self._rows.get(name)
        if req.method == 'GET':
            return _read_row(row, req.header('If-None-Match'))
        if not _preconditions_hold(row, req):
            return Response(412, headers=_etag_header(row))
        if req.method == 'DELETE':
            self._rows.pop(name, None)
            return Response(204)
        self._writes += 1
        # The counter keeps ETags unique even if the same content is written again.
        stored = self._rows[name] = StoredRow(req.body, f'"{self._writes}"')
        return Response(200 if row else 201, headers=_etag_header(stored))

    def _object(self, name: str, req: Request) -> Response:
        if req.method == 'PUT':
            self._objects[name] = req.body
            return Response(201)
        body = self._objects.get(name)
        return Response(404) if body is None else Response(200, body)

    def _list(self, name: str, req: Request) -> Response:
        if req.method == 'GET':
            return json_response(self.instances())
        if req.method == 'DELETE':
            self.unlist_instance(name)
        else:
            self.list_instance(name, **json.loads(req.body))
        return Response(204)

    def _fault(self, name: str, req: Request) -> Response:
        self.set_fault(name, **json.loads(req.body or b'{}'))
        return Response(204)


class Counters:
    """Count reads and writes per second."""

    def __init__(self) -> None:
        self.reads = 0
        self.writes = 0
        #: Second, reads and writes per entry, newest last.
        self._seconds: deque[list[int]] = deque(maxlen=COUNTER_HISTORY_SECONDS)

    def add(self, now_ms: int, write: bool) -> None:
        """Count one request."""
        second = now_ms // 1000
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0, 0])
        self._seconds[-1][2 if write else 1] += 1
        if write:
            self.writes += 1
        else:
            self.reads += 1

    def report(self) -> dict[str, Any]:
        """Return the totals, the highest counts in one second and the counts per second."""
        return {
            'reads': self.reads,
            'writes': self.writes,
            'most_reads_per_s': max((entry[1] for entry in self._seconds), default=0),
            'most_writes_per_s': max((entry[2] for entry in self._seconds), default=0),
            'seconds': list(self._seconds),
        }


def outage(platform: Platform, mode: str = 'refuse') -> None:
    """Reject all requests: answer 503, drop the connection or hold it without an answer."""
    if mode not in OUTAGE_MODES:
        raise ValueError(mode)
    platform.faults.outage = mode


def slow(platform: Platform, ms: int) -> None:
    """Delay every request before it takes effect, in ms."""
    platform.faults.slow_ms = ms


def lose_answers(platform: Platform, count: int = 1) -> None:
    """Drop the answers to the next `count` writes after they took effect."""
    platform.faults.lose_answers = count


def heal(platform: Platform) -> None:
    """Clear every fault."""
    platform.faults = PlatformFaults()


#: Fault functions by the name that the fault path accepts.
FAULTS: dict[str, Callable[..., None]] = {
    function.__name__: function for function in (outage, slow, lose_answers, heal)
}


def _read_row(row: StoredRow | None, known_etag: str | None) -> Response:
    if row is None:
        return Response(404)
    if known_etag == row.etag:
        return Response(304, headers=_etag_header(row))
    return Response(200, row.body, _etag_header(row))


def _preconditions_hold(row: StoredRow | None, req: Request) -> bool:
    expected = req.header('If-Match')
    if expected is not None and (row is None or row.etag != expected):
        return False
    return not (req.header('If-None-Match') == '*' and row is not None)


def _etag_header(row: StoredRow | None) -> tuple[tuple[str, str], ...]:
    return (('ETag', row.etag),) if row else ()
