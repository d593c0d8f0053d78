"""Small deployment: gateway processes of the deploy file, and stand-ins for what they talk to."""

from __future__ import annotations

from godwitthread import loop

loop.patch()

import json  # noqa: E402
import os  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import tomllib  # noqa: E402
import traceback  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import TYPE_CHECKING, Any  # noqa: E402

from godwitthread.address import Address  # noqa: E402
from godwitthread.loop import eventlet  # noqa: E402
from godwitthread.sockets import connect, listen  # noqa: E402
from godwitthread.standin.line_codec import LineStream, text_lines  # noqa: E402
from godwitthread.standin.line_member import LineGroup, LineMember  # noqa: E402
from godwitthread.standin.rows import PromotionEndpoint, RowStore, serve  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).parents[2]
ZONES = ('montevideo', 'canelones', 'maldonado')
#: Bounds of the site curb-pool that the cases use, in ms.
APPLY_MS = 3_000
#: Calm time before a case, in s; a machine is in touch after ContactMs, 4 s.
SETTLE_S = 5
#: Time limit of a case, in s.
LIMIT_S = 100


class Record:
    """Lines of `record.txt`, each with the time since the start in ms."""

    def __init__(self, folder: Path) -> None:
        self._started_ms = now_ms()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{now_ms() - self._started_ms:7d} {text}\n')
        self._file.flush()


class Deployment:
    """Store, promotion endpoint, members and gateway processes on loopback addresses."""

    def __init__(
        self,
        record: Record,
        instances: int = 3,
        timeout_ms: int = 1_200,
        groups: tuple[LineGroup, ...] = (),
    ) -> None:
        self.record = record
        self.prefix, self._claim = claim_prefix()
        self.store = RowStore()
        self.groups = groups or (LineGroup('libro', now_ms),)
        self.keys = {'tenant-a': ['key-a1', 'key-a2'], 'tenant-b': ['key-b1']}
        self.rate = 1_000
        self.timeout_ms, self.tx_idle_ms = timeout_ms, 3_000
        self.version = 0
        self._folder = Path(tempfile.mkdtemp())
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        for number, group in enumerate(self.groups):
            for index, zone in enumerate(ZONES):
                address = self.address(1, 10 * number + index + 1, 9000)
                group.add(f'i-{number}{index}', address, zone).start()
            group.on_change = self.announce
            for member in group.members.values():
                self.announce(member)
        serve(self.address(0, 1, 8466), self.store.application)
        self.promotions = PromotionEndpoint(self.promote)
        serve(self.address(0, 2, 8466), self.promotions.application)
        self.configure()
        for number in range(instances):
            self.start(number)

    def address(self, kind: int, number: int, port: int) -> Address:
        """Return a loopback address that no other run uses."""
        return Address(f'{self.prefix}.{kind}.{number}', port)

    def promote(self, group: str, member: str) -> bool:
        """Carry out an order of promotion."""
        return next(each for each in self.groups if each.name == group).promote(member)

    def configure(self) -> int:
        """Write the next configuration; return the time of its acknowledgement in ms."""
        self.version += 3
        kinds = {'p': 'primary', 'b': 'bounded_staleness', 'r': 'read_your_writes'}
        self.store.put(
            'op',
            'config',
            {
                'Version': self.version,
                'Routes': [
                    {
                        'Host': f'{letter}{number}',
                        'Kind': kind,
                        'Service': group.name,
                        'MaxStalenessMs': 1_500,
                        'TimeoutMs': self.timeout_ms,
                        'LatencyGoalMs': 300,
                        'Priority': 1,
                        'Public': False,
                    }
                    for number, group in enumerate(self.groups)
                    for letter, kind in kinds.items()
                ],
                'Services': [
                    {
                        'Name': group.name,
                        'MaxConns': group.connection_limit,
                        'SyncReplicas': int(group.synchronous),
                    }
                    for group in self.groups
                ],
                'Limits': {'TxIdleMs': self.tx_idle_ms},
                'Tenants': [
                    {'Name': name, 'ApiKeys': keys, 'RatePerS': self.rate, 'Burst': self.rate}
                    for name, keys in self.keys.items()
                ],
            },
        )
        self.record(f'operator: configuration {self.version} acknowledged, keys {self.keys}')
        return now_ms()

    def announce(self, member: LineMember, state: str = 'ready') -> None:
        """Write the entry of a member to the store."""
        role = 'primary' if member.primary else 'replica'
        self.store.put(
            'servers',
            member.name,
            {
                'Service': member.group.name,
                'Addr': str(member.address),
                'Zone': member.failure_domain,
                'Slots': member.group.slots,
                'State': state,
                'ColdLeftMs': 0,
                'DbRole': role,
                'Seq': 1,
                'born': member.born,
            },
        )
        self.record(f'member {member.name}: {state}, {role}')

    def start(self, number: int) -> None:
        """Start the process of an instance with the command of the deploy file."""
        host = self.address(2, number + 1, 0).host
        settings = {
            'Node': f'front-{number}',
            'Zone': ZONES[number % len(ZONES)],
            'Ip': host,
            'Listen': {'Front': f'{host}:8465', 'Ready': f'{host}:8460'},
            'InternalPortRange': [7560, 7575],
            'Limits': {'CpuShare': 0.537, 'Cores': 2, 'LinkMbps': 1000.0},
            'Bounds': {'GraceS': 6},
            'platform': {'Addr': str(self.address(0, 1, 8466))},
            'Cloud': {'Addr': str(self.address(0, 2, 8466))},
        }
        path = self._folder / f'front-{number}.json'
        path.write_text(json.dumps(settings))
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['gateway']
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'GODWITTHREAD_CONFIG': str(path),
            **role['env'],
        }
        log = (self._folder / f'front-{number}.log').open('ab')
        self._processes[number] = subprocess.Popen(
            role['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )

    def process(self, number: int) -> subprocess.Popen[bytes]:
        """Return the process of an instance."""
        return self._processes[number]

    def log_lines(self, number: int) -> list[str]:
        """Return what an instance has written."""
        return (self._folder / f'front-{number}.log').read_text().splitlines()

    def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all instances are ready; raise TimeoutError."""
        deadline_s = time.monotonic() + timeout_s
        waiting = set(self._processes)
        while waiting:
            if time.monotonic() > deadline_s:
                raise TimeoutError(f'instances {sorted(waiting)} are not ready')
            waiting = {number for number in waiting if not self._is_ready(number)}
            eventlet.sleep(0.2)
        self.record('all instances are ready')

    def close(self) -> None:
        """Kill all processes of the deployment."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def _is_ready(self, number: int) -> bool:
        try:
            sock = connect(self.address(2, number + 1, 8460), 500)
            sock.settimeout(0.5)
            sock.sendall(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            answer = sock.recv(64)
            sock.close()
        except OSError:
            return False
        return b' 200 ' in answer


class Requester:
    """Session of a requester."""

    def __init__(
        self, deployment: Deployment, name: str, instance: int, database: str, key: str
    ) -> None:
        self.name = name
        #: Code of the refusal of the session, '' if it was accepted.
        self.refused = ''
        self._record = deployment.record
        self._sock = connect(deployment.address(2, instance + 1, 8465), 1_000)
        self._sock.settimeout(10)
        self._stream = LineStream(self._sock)
        self._sock.sendall(text_lines(f'START {database} {key}'))
        greeting = (self._stream.read() or b'').decode('latin-1')
        if not greeting.startswith('READY'):
            self.refused = greeting
        self._record(f'{name}: START {database} {key} at front-{instance} -> {greeting}')

    def run(self, statement_id: str, text: str) -> tuple[list[str], str, str]:
        """Run a statement; return its rows, the error code ('' on success) and the state."""
        self._sock.sendall(text_lines(f'QUERY {statement_id} {text}'))
        rows, code, result = [], '', ''
        while True:
            received = self._stream.read()
            if received is None:
                self._record(f'{self.name}: {statement_id} {text} -> connection closed')
                raise ConnectionResetError
            line = received.decode('latin-1')
            word, _, rest = line.partition(' ')
            if word == 'ROW':
                rows.append(rest)
            elif word == 'ERR':
                code, result = rest.partition(' ')[0], line
            elif word == 'DONE':
                result = line
            elif word == 'READY':
                self._record(f'{self.name}: {statement_id} {text} -> {rows} {result} / {line}')
                return rows, code, rest[:1]

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def run_case(folder: Path, is_broken: Callable[[Deployment, Record], bool], **sizes: Any) -> None:
    """Run a case and exit: with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    deployment = Deployment(record, **sizes)
    try:
        with eventlet.Timeout(LIMIT_S, TimeoutError(f'not over after {LIMIT_S} s')):
            deployment.wait_until_ready()
            eventlet.sleep(SETTLE_S)
            status = int(is_broken(deployment, record))
        for group in deployment.groups:
            for each in group.executed:
                text = each.text.decode('latin-1')
                record(f'run by a member: {each.member} {each.organisation} {each.id} {text}')
    except Exception:
        record(f'the case could not run: {traceback.format_exc()}')
        status = 2
    finally:
        deployment.close()
    record(f'exit status {status}')
    sys.stdout.flush()
    os._exit(status)


def claim_prefix() -> tuple[str, Any]:
    """Return an address prefix that no other run uses, and the socket that reserves it."""
    for number in range(200):
        prefix = f'127.{20 + (os.getpid() + number) % 200}'
        try:
            return prefix, listen(Address(f'{prefix}.9.1', 8400))
        except OSError:
            continue
    raise OSError('no address prefix is free')


def now_ms() -> int:
    """Return the monotonic time in ms."""
    return int(time.monotonic() * 1000)
