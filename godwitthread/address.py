"""Network addresses."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple


class Address(NamedTuple):
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse `ip:port`; raise ValueError if the text is not a valid address."""
    host, separator, port = text.rpartition(':')
    host = host.strip('[]')
    ipaddress.ip_address(host)
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(text)
    return Address(host, int(port))
