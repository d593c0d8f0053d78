"""Settings file that the platform provides to a gateway process."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.address import Address, parse_address
from godwitthread.core import caller_limits
from godwitthread.core.caller_limits import CallerLimits
from godwitthread.errors import ErrorKind, ProxyError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Environment variable with the path of the settings file.
CONFIG_PATH_VARIABLE = 'GODWITTHREAD_CONFIG'
#: Upper bounds of the cores and the link of a machine, and of its grace period.
MAX_CORES = 10_000
MAX_LINK_MBPS = 10**7
MAX_GRACE_S = 86_400
#: Upper bounds of the memory of a process, in MB, and of its descriptors.
MAX_MEMORY_MB = 10**7
MAX_DESCRIPTORS = 10**7


class NodeSettings(NamedTuple):
    """Validated settings of one gateway process."""

    name: str
    failure_domain: str
    #: Address that accepts connections from callers.
    caller_address: Address
    #: Address of the readiness probe.
    ready_address: Address
    #: Address that accepts connections from other instances: first port of the internal range.
    peer_address: Address
    #: Address of the metrics endpoint: second port of the internal range.
    metrics_address: Address
    store_address: Address
    #: Address of the platform's promotion endpoint.
    promotion_address: Address
    #: CPU capacity: the share of a core times its relative speed.
    cores: float
    #: Network bandwidth, in Mbit/s.
    link_mbps: float
    #: Grace period between SIGTERM and SIGKILL, in ms.
    grace_ms: int
    #: Limits on what callers may make the process hold.
    limits: CallerLimits = CallerLimits()


def load(environ: Mapping[str, str]) -> NodeSettings:
    """Load and validate the settings file; raise an ExceptionGroup with every error."""
    path = environ.get(CONFIG_PATH_VARIABLE, '')
    try:
        data = msgspec.json.decode(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as exc:
        error = ProxyError(ErrorKind.SETTING_INVALID, f'{CONFIG_PATH_VARIABLE} {path!r}: {exc}')
        raise ExceptionGroup('invalid settings', [error]) from exc
    return parse(data, environ)


def parse(data: Any, environ: Mapping[str, str] | None = None) -> NodeSettings:
    """Validate decoded settings; raise an ExceptionGroup with every error."""
    errors: list[ProxyError] = []

    def read_value(path: str, convert: Callable[[Any], Any]) -> Any:
        value = data
        try:
            for part in path.split('.'):
                value = value[int(part) if part.isdecimal() else part]
            return convert(value)
        except (LookupError, TypeError, ValueError, AttributeError, OverflowError) as exc:
            message = f'{path}: {type(exc).__name__}: {exc}'
            errors.append(ProxyError(ErrorKind.SETTING_INVALID, message))
            return None

    def read_limits() -> CallerLimits:
        given = data.get('Limits') if isinstance(data, dict) else None
        values = [
            read_value(f'Limits.{name}', partial(_number, maximum=maximum))
            if isinstance(given, dict) and name in given
            else None
            for name, maximum in (('MemoryMb', MAX_MEMORY_MB), ('MaxFds', MAX_DESCRIPTORS))
        ]
        try:
            return caller_limits.override(caller_limits.derive(*values), environ or {})
        except ValueError as exc:
            errors.append(ProxyError(ErrorKind.SETTING_INVALID, str(exc)))
            return CallerLimits()

    ip = read_value('Ip', _ip)
    settings = NodeSettings(
        name=read_value('Node', _non_empty_string),
        failure_domain=read_value('Zone', _non_empty_string),
        caller_address=read_value('Listen.Front', parse_address),
        ready_address=read_value('Listen.Ready', parse_address),
        peer_address=Address(ip, read_value('InternalPortRange.0', _port)),
        metrics_address=Address(ip, read_value('InternalPortRange.1', _port)),
        store_address=read_value('platform.Addr', parse_address),
        promotion_address=read_value('Cloud.Addr', parse_address),
        cores=read_value('Limits', _cores),
        link_mbps=read_value('Limits.LinkMbps', lambda value: _number(value, MAX_LINK_MBPS)),
        grace_ms=read_value('Bounds.GraceS', lambda value: int(_number(value, MAX_GRACE_S) * 1000)),
        limits=read_limits(),
    )
    if errors:
        raise ExceptionGroup('invalid settings', errors)
    return settings


def _non_empty_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f'{value!r} is not a non-empty string')
    return value


def _ip(value: Any) -> str:
    return parse_address(f'{value}:1').host


def _port(value: Any) -> int:
    return parse_address(f'0.0.0.0:{value}').port


def _cores(limits: Any) -> float:
    return _number(float(limits['CpuShare']) * float(limits['Cores']), MAX_CORES)


def _number(value: Any, maximum: float) -> float:
    number = float(value)
    if not 0 < number <= maximum:
        raise ValueError(f'{number} is not above 0 and at most {maximum}')
    return number
