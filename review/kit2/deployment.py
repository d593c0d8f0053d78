"""Small deployment of real gateway processes on loopback addresses, with its stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from review.kit2 import platform
from review.kit2.members import END, LINE_LIMIT, Group, Member
from review.kit2.platform import Promotions, Store

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable

ROOT = Path(__file__).parents[2]
ZONES = ('bergen-a', 'bergen-b', 'stord')
#: Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Time between the readiness of the processes and the first traffic, in s.
SETTLE_S = 3.0


class Record:
    """File with what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f'{time.monotonic() - self._started_s:8.3f} {text}\n')
        self._file.flush()


class Deployment:
    """Platform, members and gateway processes; ends all processes that it started."""

    def __init__(self, record: Record, instances: int, groups: int) -> None:
        self.record = record
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.prefix, self._claim = _claim_prefix()
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.groups = {name: Group(name, record.note) for name in _names('kjolbase', groups)}
        self.promotions = Promotions(self._promote, record.note)
        self.instances = instances
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        #: What the standard output of the processes is connected to, by default a file.
        self.output: Callable[[int], Any] | None = None
        self.memory_mb = 300
        self.tenants = {'ruter': (['key-ruter'], 100_000, 100_000)}
        self.version = 0
        self._seq = 0

    async def start(self) -> None:
        """Start the stand-ins, then all processes, and wait until these are ready."""
        await platform.serve(f'{self.prefix}.0.1', 8466, self.store.answer)
        await platform.serve(f'{self.prefix}.0.2', 8466, self.promotions.answer)
        for index, group in enumerate(self.groups.values()):
            group.on_change = self.announce
            for number, zone in enumerate(ZONES):
                host = f'{self.prefix}.1.{10 * index + number + 1}'
                member = Member(group, f'i-{group.name}-{number}', host, 9000, zone)
                await member.start()
                self.announce(member)
        self.configure()
        for number in range(self.instances):
            self.start_process(number)
        await self.wait_ready(range(self.instances))
        await asyncio.sleep(SETTLE_S)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        routes = [
            {
                'Host': f'{kind[0]}-{name}',
                'Kind': kind,
                'Service': name,
                'MaxStalenessMs': 1_500,
                'TimeoutMs': 800,
                'LatencyGoalMs': 120,
                'Priority': 1,
            }
            for name in self.groups
            for kind in ('primary', 'bounded_staleness', 'read_your_writes')
        ]
        services = [
            {'Name': each.name, 'MaxConns': each.max_conns, 'SyncReplicas': each.sync_replicas}
            for each in self.groups.values()
        ]
        tenants = [
            {'Name': name, 'ApiKeys': keys, 'RatePerS': rate, 'Burst': burst}
            for name, (keys, rate, burst) in self.tenants.items()
        ]
        content = {'Version': self.version, 'Routes': routes, 'Services': services}
        content |= {'Tenants': tenants, 'Limits': {'TxIdleMs': 3_000}}
        self.store.put('op', 'config', content)

    def announce(self, member: Member) -> None:
        """Write the entry of a member."""
        self._seq += 1
        entry = {
            'Service': member.group.name,
            'Addr': f'{member.host}:{member.port}',
            'Zone': member.zone,
            'Version': '1',
            'Slots': member.group.slots,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': self._seq,
            'born': member.born,
            'DbRole': 'primary' if member.leads else 'replica',
        }
        self.store.put('servers', member.id, entry)

    def start_process(self, number: int) -> None:
        """Start the process of a machine as the deploy file says."""
        path = self.folder / f'node-{number}.json'
        path.write_text(json.dumps(self.settings(number)))
        role = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']['gateway']
        python_path = f'{ROOT / "target" / "deps"}'
        env = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        env |= role.get('env', {}) | {'GODWITTHREAD_CONFIG': str(path), 'PYTHONPATH': python_path}
        command = shlex.split(role['run'])
        if command[0] == 'python3':
            command[0] = sys.executable
        output = self.output(number) if self.output else (self.folder / f'{number}.log').open('ab')
        self.processes[number] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=output, stderr=subprocess.STDOUT
        )
        self.record.note(f'process of machine {number} started')

    def send_signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record.note(f'{which.name} to the process of machine {number}')
        self.processes[number].send_signal(which)

    async def wait_ready(self, numbers: Any, limit_s: float = 20) -> bool:
        """Wait until the processes of machines answer the readiness probe with 200."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if all([await self.is_ready(number) for number in numbers]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, number: int, limit_s: float = 1.0) -> bool:
        """Return whether the readiness probe of a machine is answered with 200."""
        return await self.probe(number, limit_s) == 200

    async def probe(self, number: int, limit_s: float = 1.0) -> int | None:
        """Return the status with which the readiness probe is answered, None without an answer."""
        try:
            async with asyncio.timeout(limit_s):
                host = self.host(number)
                reader, writer = await asyncio.open_connection(host, 8460)
                writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return None

    async def metric(self, number: int, name: str) -> float:
        """Return the value of a gauge of the process of a machine, -1 without an answer."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(self.host(number), 7575)
                writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                page = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return -1
        values = [line for line in page.splitlines() if line.startswith(f'godwitthread_{name} ')]
        return float(values[0].split()[1]) if values else -1

    def host(self, number: int) -> str:
        """Return the address of a machine."""
        return f'{self.prefix}.2.{number + 1}'

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of a machine, like those of a small deployment."""
        host = self.host(number)
        return {
            'Node': f'front-{number}',
            'Role': 'gateway',
            'MachineClass': 'front',
            'Serves': ['front'],
            'Ip': host,
            'Zone': ZONES[number % 3],
            'Region': 'vestland',
            'Zones': dict.fromkeys(ZONES, 'vestland'),
            'Listen': {'Front': f'{host}:8465', 'Ready': f'{host}:8460'},
            'InternalPortRange': [7560, 7575],
            'Seeds': [],
            'Bootstrap': True,
            'Limits': {
                'CpuShare': 0.537,
                'Cores': 2,
                'MemoryMb': self.memory_mb,
                'MaxFds': 4200,
                'LinkMbps': 1000.0,
            },
            'DataDir': None,
            'BeatMs': 1200,
            'Bounds': {
                'ContactMs': 4000,
                'DrainMs': 7000,
                'GraceS': 6,
                'LossSlackMs': 200,
                'ApplyMs': 3000,
                'QuotaWindowS': 5,
                'QuotaExcess': 0.1,
                'QuotaSlack': 20,
                'EvacuateMs': 5000,
                'RecoveryS': 12,
                'RequireFence': True,
            },
            'platform': {'Addr': f'{self.prefix}.0.1:8466', 'form': 'table', 'MaxRowBytes': 65536},
            'Cloud': {'Addr': f'{self.prefix}.0.2:8466', 'Duties': ['promotion']},
        }

    def close(self) -> None:
        """Kill the processes that were started here, and remove their settings and logs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _promote(self, group: str, member: str) -> bool:
        return self.groups[group].promote(member)


class Session:
    """Session of a requester."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self.state = 'I'

    @classmethod
    async def open(cls, host: str, database: str, key: str, limit_s: float = 2.0) -> Session:
        """Open a session; raise OSError if it is refused or takes too long."""
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(host, 8465, limit=LINE_LIMIT)
                session = cls(reader, writer)
                writer.write(f'START {database} {key}'.encode() + END)
                line = await session._line()
        except (TimeoutError, asyncio.IncompleteReadError) as exc:
            raise ConnectionError(f'no answer to START: {type(exc).__name__}') from exc
        if not line.startswith('READY'):
            writer.close()
            raise ConnectionError(line)
        return session

    async def query(
        self, statement_id: str, text: str, limit_s: float | None = None
    ) -> tuple[list[str], str]:
        """Run a statement; return its rows and `DONE receipt` or `ERR code text`.

        Raise OSError if the connection ends, and TimeoutError after the limit.
        """
        async with asyncio.timeout(limit_s):
            self._writer.write(f'QUERY {statement_id} {text}'.encode('latin-1') + END)
            rows, outcome = [], ''
            while True:
                try:
                    word, _, rest = (await self._line()).partition(' ')
                except asyncio.IncompleteReadError as exc:
                    raise ConnectionResetError('the connection ended') from exc
                if word == 'ROW':
                    rows.append(rest)
                elif word == 'READY':
                    self.state = rest[:1]
                    return rows, outcome
                else:
                    outcome = f'{word} {rest}'

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _line(self) -> str:
        return (await self._reader.readuntil(END))[: -len(END)].decode('latin-1')


def code_of(outcome: str) -> str:
    """Return DONE, or the code of an error."""
    word, _, rest = outcome.partition(' ')
    return word if word == 'DONE' else rest.partition(' ')[0]


def _names(stem: str, count: int) -> list[str]:
    return [f'{stem}{number}' for number in range(count)]


def _claim_prefix() -> tuple[str, socket.socket]:
    for number in range(100):
        prefix = f'127.{100 + (os.getpid() + number) % 100}'
        claim = socket.socket()
        try:
            # The project's own process tests claim their addresses in the same way.
            claim.bind((f'{prefix}.9.1', 8400))
            claim.listen()
        except OSError:
            claim.close()
            continue
        return prefix, claim
    raise OSError('no loopback addresses are free')
