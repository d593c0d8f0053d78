"""IP number and port of a process."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple


class Address(NamedTuple):
    """IP number and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Return an address from `ip:port`; raise ValueError."""
    host, separator, port = text.rpartition(':')
    host = host.strip('[]')
    ipaddress.ip_address(host)
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(text)
    return Address(host, int(port))
