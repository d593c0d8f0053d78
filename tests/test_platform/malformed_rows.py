"""Malformed rows of another writer in the store while members and configurations change."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from godwitthread.loop import eventlet
from tests import malformed
from tests.test_platform import silent_store

if TYPE_CHECKING:
    from godwitthread.standin.line_member import LineMember
    from tests.test_platform.silent_store import SilentStore
    from tests.test_platform.world import Deployment

#: Time after which a member that drains receives nothing more, in ms (`DrainMs`).
DRAIN_MS = 7_000
#: Time for which a member serves beyond that, in s.
SERVES_S = 3
#: Metrics of content that is not in force.
METRICS = ('godwitthread_store_malformed_rows{', 'godwitthread_store_not_in_force_seconds{')
#: Number of rows that are written at once.
NEW_ROWS = 8
#: Entry of an instance whose name differs from every key, so that no variant of it is valid.
_OTHER_INSTANCE = ['other', ['127.0.0.1', 7560], 'd1', 1.0, 5]
#: Time after which an instance that was suspended must act on all changes again, in ms.
CONTACT_MS = 4_000


class MalformedRows:
    """Writer of malformed rows; it also drains members and checks who uses them."""

    def __init__(self, deployment: Deployment, seed: int, disturbances: SilentStore) -> None:
        self.drains = 0
        self._deployment = deployment
        self._random = Random(f'{seed} malformed rows')
        self._disturbances = disturbances
        self._draining: set[str] = set()
        #: Tables and keys of the rows of no member and no instance.
        self._written: set[tuple[str, str]] = set()
        self._running = True
        self._threads: list[Any] = []
        for group in deployment.groups:
            group.on_change = self._announce

    def start(self) -> None:
        """Start to write malformed rows and to drain members."""
        self._threads = [eventlet.spawn(self._write_rows), eventlet.spawn(self._drain_members)]

    def stop(self) -> None:
        """Wait until all rows are valid and no member drains."""
        self._running = False
        for thread in self._threads:
            thread.wait()
        self.remove_rows()

    def _write_rows(self) -> None:
        faults = (
            self.write_new_members,
            self.overwrite_member,
            self.overwrite_instance,
            self.write_new_instances,
            self.overwrite_duty,
            self.overwrite_configuration,
            self.remove_rows,
        )
        pool = eventlet.GreenPool()
        while self._running:
            # Rows are removed rarely, as by an operator who finds them.
            (fault,) = self._random.choices(faults, [6] * 6 + [1])
            pool.spawn_n(fault)
            eventlet.sleep(self._random.uniform(0.1, 1))
        pool.waitall()

    def _drain_members(self) -> None:
        while self._running:
            self.drain_member()

    def write_new_members(self) -> None:
        """Write malformed entries of members."""
        entry = self._deployment.member_entry(self._member(), 'ready')
        entry |= {'Service': 'reports', 'Addr': '127.0.0.1:9'}
        self._write_new('servers', 'i-x', entry)

    def overwrite_member(self) -> None:
        """Overwrite the entry of a member, which the member writes again later."""
        member = self._member()
        entry = self._deployment.member_entry(member, self._state(member))
        self._deployment.store.put('servers', member.name, self._malformed(entry))
        eventlet.sleep(self._random.uniform(0.1, 2))
        self._announce(member)

    def write_new_instances(self) -> None:
        """Write malformed entries of instances."""
        self._write_new('instances', 'gw-x', _OTHER_INSTANCE)

    def remove_rows(self) -> None:
        """Remove the malformed rows of no member and no instance."""
        for table, key in self._written:
            self._deployment.store.drop(table, key)
        self._written.clear()

    def overwrite_instance(self) -> None:
        """Overwrite the entry of an instance, which the instance writes again itself."""
        number = self._random.choice(list(self._deployment.processes))
        self._deployment.store.put('instances', f'gw-{number}', self._malformed(_OTHER_INSTANCE))

    def overwrite_duty(self) -> None:
        """Overwrite the row of the promotion duty, which is a JSON array."""
        self._deployment.store.put('duties', 'promotion', self._malformed({'name': 'gw-0'}))

    def overwrite_configuration(self) -> None:
        """Write a malformed configuration, and a valid one later."""
        self._deployment.store.put('op', 'config', self._malformed({'Version': 1}))
        eventlet.sleep(self._random.uniform(0.1, 2))
        self._deployment.configure()

    def drain_member(self) -> None:
        """Let a member drain; check that it receives nothing more after DRAIN_MS."""
        member = self._member()
        self._draining.add(member.name)
        self._announce(member)
        eventlet.sleep(DRAIN_MS / 1000)
        executed, checked = member.group.executed, len(member.group.executed)
        for _ in range(SERVES_S * 10):
            eventlet.sleep(0.1)
            late = [each for each in executed[checked:] if each[0] == member.name]
            checked = len(executed)
            if late and self._disturbances.undisturbed_ms() >= CONTACT_MS:
                self._deployment.violations.append(
                    f'draining member {member.name} executed {late[0][2:]} and {len(late) - 1} more'
                )
        self.drains += 1
        self._draining.discard(member.name)
        self._announce(member)

    def check_metrics(self) -> None:
        """Check that no instance takes a row for malformed once all are valid again."""
        for number in self._deployment.processes:
            metrics = silent_store.read_metrics(self._deployment.caller_address(number).host)
            for line in metrics.decode().splitlines():
                if line.startswith(METRICS) and not line.endswith(' 0.0'):
                    self._deployment.violations.append(f'instance {number}: {line}')

    def _member(self) -> LineMember:
        group = self._random.choice(self._deployment.groups)
        return self._random.choice(list(group.members.values()))

    def _announce(self, member: LineMember) -> None:
        self._deployment.announce(member, self._state(member))

    def _state(self, member: LineMember) -> str:
        return 'draining' if member.name in self._draining else 'ready'

    def _write_new(self, table: str, name: str, content: Any) -> None:
        for _ in range(NEW_ROWS):
            suffix = self._random.choice(['', ' ', '\u2603', '\r\n'])
            key = f'{name}{self._random.randrange(1_000)}{suffix}'
            self._written.add((table, key))
            self._deployment.store.put(table, key, self._malformed(content))

    def _malformed(self, content: Any) -> bytes:
        numbers = list(malformed.documents_with_numbers(content))
        if numbers and self._random.random() < 0.5:
            return self._random.choice(numbers)
        return self._random.choice(list(malformed.documents(content)))
