"""One gateway process with low limits, a crowd of misbehaving callers and one honest caller.

The checks do not depend on the speed of the machine: the process lives, its memory and its
descriptors stay under a bound, and ordinary requests are answered beside and after the crowd.
"""

from __future__ import annotations

import contextlib
import os
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any

from godwitthread.address import Address
from godwitthread.loop import eventlet
from godwitthread.sockets import connect
from tests.test_platform.world import Deployment, Session

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Memory and descriptors in the settings of the gateway process; 200 descriptors are for files.
MEMORY_MB = 96
MAX_FDS = 500
RESERVED_FDS = 200
#: Ports of the gateway process by purpose.
PORTS = {'caller': 8465, 'ready': 8460, 'peer': 7560, 'metrics': 7575}
#: Item that ordinary requests read, and item with a value of 1 MB.
SMALL_ITEM, LARGE_ITEM = 'a', 'large'
LARGE_VALUE = 'x' * 1_000_000
#: Limit of each wait for a condition, in s; it is far above what the slowest machine needs.
WAIT_S = 120
#: Number of successive samples without a change after which a crowd has done what it can.
QUIET_SAMPLES = 10
SAMPLE_S = 0.1
START = b'START p0 kb0\r\n'


class LowLimits(Deployment):
    """Deployment of one instance whose settings have low limits."""

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of an instance, with its memory and descriptors."""
        settings = super().settings(number)
        settings['Limits'] |= {'MemoryMb': MEMORY_MB, 'MaxFds': MAX_FDS}
        return settings


class Crowd:
    """Connections that misbehave against one gateway process."""

    def __init__(self, deployment: LowLimits) -> None:
        self.deployment = deployment
        self.process = deployment.processes[0]
        self.host = deployment.caller_address(0).host
        #: Largest sum of the resident size and of the bytes received but not read, in bytes.
        self.peak_bytes = 0
        #: Largest number of open descriptors.
        self.peak_fds = 0
        #: Number of answers that the honest caller received.
        self.answered = 0
        self._sockets: list[socket.socket] = []
        #: Number of steps that the connections of the crowd have made.
        self.progress = 0
        self._running = True
        self._threads = [eventlet.spawn(self._sample), eventlet.spawn(self._honest_caller)]

    # Crowd

    def join(self, count: int, behave: Callable[[Any], None], port: str = 'caller') -> None:
        """Open connections that behave in a way, each on a green thread of its own."""
        for _ in range(count):
            self._threads.append(eventlet.spawn(self._behave, behave, port))

    def send(self, sock: Any, data: bytes) -> None:
        """Send data piece by piece, and note the progress."""
        view = memoryview(data)
        while view:
            sent = sock.send(view[: 64 * 1024])
            view = view[sent:]
            self.progress += 1

    def receive_line(self, sock: Any) -> bytes:
        """Receive bytes until the end of a line; raise ConnectionResetError at the end."""
        data = b''
        while not data.endswith(b'\n'):
            piece = sock.recv(4_096)
            if not piece:
                raise ConnectionResetError
            data += piece
        self.progress += 1
        return data

    def execute(self, sock: Any, text: str) -> None:
        """Run one statement and receive its answer."""
        self.send(sock, f'QUERY 1 {text}\r\n'.encode())
        while b'READY' not in self.receive_line(sock):
            pass

    def start_session(self, sock: Any) -> None:
        """Open a session on a connection."""
        self.send(sock, START)
        self.receive_line(sock)

    def wait_until_quiet(self) -> None:
        """Wait until no connection of the crowd gets any further."""
        quiet, seen = 0, (-1, -1)
        with eventlet.Timeout(WAIT_S):
            while quiet < QUIET_SAMPLES:
                eventlet.sleep(SAMPLE_S)
                # Answers still flow into the buffers of the kernel when the crowd only waits.
                state = self.progress, sum(self._queued_bytes()) // 65_536
                quiet = quiet + 1 if state == seen else 0
                seen = state

    def _behave(self, behave: Callable[[Any], None], port: str) -> None:
        with contextlib.suppress(OSError):
            sock = connect(Address(self.host, PORTS[port]), WAIT_S * 1_000)
            self._sockets.append(sock)
            self.progress += 1
            sock.settimeout(None)
            behave(sock)

    # Observation

    def processor_ticks(self) -> int:
        """Return the processor time that the process has used, in clock ticks."""
        fields = Path(f'/proc/{self.process.pid}/stat').read_text().rpartition(')')[2].split()
        return int(fields[11]) + int(fields[12])

    def check(self) -> None:
        """Check the process beside the waiting crowd, and that it answers afterwards."""
        self.wait_until_answered()
        self.leave()
        self.wait_until_answered()
        self.check_bounds()

    def check_bounds(self) -> None:
        """Check that the process lives within its memory and its descriptors."""
        self._look()
        assert self.process.poll() is None
        resident = self._status_kb('VmHWM') // 1024
        peak = self.peak_bytes // 2**20
        print(f'peak: {resident} MB resident, {peak} MB with unread, {self.peak_fds} descriptors')  # noqa: T201
        assert resident <= MEMORY_MB
        assert peak <= MEMORY_MB
        assert self.peak_fds <= MAX_FDS - RESERVED_FDS

    def wait_until_answered(self) -> None:
        """Wait until the honest caller has received one more answer than now under way."""
        wanted = self.answered + 2
        with eventlet.Timeout(WAIT_S):
            while self.answered < wanted:
                assert self.process.poll() is None
                eventlet.sleep(SAMPLE_S)

    def leave(self) -> None:
        """Close the connections of the crowd."""
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """End the crowd, the honest caller and the deployment."""
        self._running = False
        for thread in self._threads:
            thread.kill()
        for sock in self._sockets:
            sock.close()
        self.deployment.close()

    def _sample(self) -> None:
        while self._running and self.process.poll() is None:
            self._look()
            eventlet.sleep(SAMPLE_S)

    def _look(self) -> None:
        with contextlib.suppress(OSError, StopIteration):
            resident = self._status_kb('VmRSS') * 1024
            self.peak_bytes = max(self.peak_bytes, resident + self._queued_bytes()[0])
            fds = len(os.listdir(f'/proc/{self.process.pid}/fd'))
            self.peak_fds = max(self.peak_fds, fds)

    def _status_kb(self, name: str) -> int:
        lines = Path(f'/proc/{self.process.pid}/status').read_text().splitlines()
        return int(next(each for each in lines if each.startswith(f'{name}:')).split()[1])

    def _queued_bytes(self) -> tuple[int, int]:
        """Return the bytes that the process has not read, and those its peers have not."""
        host = socket.inet_aton(self.host)[::-1].hex().upper()
        local = {f'{host}:{port:04X}' for port in PORTS.values()}
        lines = [each.split() for each in Path('/proc/net/tcp').read_text().splitlines()[1:]]
        # State 0A is a listening socket, whose queue counts connections.
        queues = [each[4].split(':') for each in lines if each[1] in local and each[3] != '0A']
        return sum(int(each[1], 16) for each in queues), sum(int(each[0], 16) for each in queues)

    def _honest_caller(self) -> None:
        session = None
        while self._running:
            try:
                session = session or self.honest_session()
                _, code = session.execute('honest', f'READ {SMALL_ITEM}')
                self.answered += not code
            except (OSError, ValueError):
                session = None
            eventlet.sleep(0.05)

    def honest_session(self) -> Session:
        """Open a session of an ordinary caller; raise OSError or ValueError."""
        return Session(self.deployment, self.deployment.caller_address(0), 'p0', 'kb1')


def started(folder: Path) -> Iterator[Crowd]:
    """Start a gateway process; yield an empty crowd once ordinary requests are answered."""
    deployment = LowLimits(1, instances=1, groups=1, folder=str(folder))
    crowd = Crowd(deployment)
    try:
        crowd.wait_until_answered()
        crowd.honest_session().execute('large', f'WRITE {LARGE_ITEM} {LARGE_VALUE}')
        yield crowd
    finally:
        crowd.close()
