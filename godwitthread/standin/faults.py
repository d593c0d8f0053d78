"""Complete set of faults that can be injected into the database stand-in."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.standin.group import Group

#: Wildcard that matches every client address.
ALL = 'all'


@dataclass
class FaultState:
    """Faults active on one member."""

    #: Whether the member is partitioned from the other members.
    cut_members: bool = False
    #: Client addresses (`host` or `host:port`) partitioned from the member, or `all`.
    cut_clients: set[str] = field(default_factory=set)
    paused: bool = False
    refuse: bool = False
    #: Delay of every answer to the client addresses in delayed_clients, in ms.
    answer_delay_ms: int = 0
    delayed_clients: set[str] = field(default_factory=lambda: {ALL})
    #: Number of writes left whose answer is dropped after execution.
    drop_answers: int = 0

    def blocks(self, host: str, port: int) -> bool:
        """Tell whether traffic to and from a client is blocked."""
        return self.paused or matches(self.cut_clients, host, port)

    def delay_ms(self, host: str, port: int) -> int:
        """Return the delay of answers to a client address, in ms."""
        return self.answer_delay_ms if matches(self.delayed_clients, host, port) else 0


def matches(addresses: set[str], host: str, port: int) -> bool:
    """Tell whether a set of addresses covers a client, by host, host and port, or wildcard."""
    return bool(addresses & {ALL, host, f'{host}:{port}'}) if addresses else False


def cut(group: Group, member: str, members: bool = True, clients: Any = ALL) -> None:
    """Partition a member from the other members, from clients, or from both."""
    faults = group.member(member).faults
    faults.cut_members = members
    faults.cut_clients = {clients} if isinstance(clients, str) else set(clients)


def heal(group: Group, member: str) -> None:
    """Clear every fault of a member except a kill."""
    group.member(member).faults = FaultState()


def pause(group: Group, member: str) -> None:
    """Suspend all processing of a member and keep its connections open."""
    group.member(member).faults.paused = True


def resume(group: Group, member: str) -> None:
    """Resume a paused member."""
    group.member(member).faults.paused = False


def lag(group: Group, member: str, ms: int) -> None:
    """Delay the application of received log records on a replica, in ms."""
    group.member(member).lag_ms = ms


def late_answers(group: Group, member: str, ms: int, clients: Any = ALL) -> None:
    """Delay the answers of a member to the given clients, in ms."""
    faults = group.member(member).faults
    faults.answer_delay_ms = ms
    faults.delayed_clients = {clients} if isinstance(clients, str) else set(clients)


def refuse_connections(group: Group, member: str, refuse: bool = True) -> None:
    """Close every new connection immediately after accepting it."""
    group.member(member).faults.refuse = refuse


def drop_before_answer(group: Group, member: str, count: int = 1) -> None:
    """Close the connection after executing a write and before answering, `count` times."""
    group.member(member).faults.drop_answers = count


def kill(group: Group, member: str) -> None:
    """Stop a member and close its connections; its log and promises persist."""
    group.kill(member)


def restart(group: Group, member: str) -> None:
    """Restart a killed member with its persisted log and promises."""
    group.restart(member)


#: Fault functions by the name that the control endpoint accepts.
FAULTS: dict[str, Callable[..., None]] = {
    function.__name__: function
    for function in (
        cut,
        heal,
        pause,
        resume,
        lag,
        late_answers,
        refuse_connections,
        drop_before_answer,
        kill,
        restart,
    )
}
