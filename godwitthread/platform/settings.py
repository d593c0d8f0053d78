"""Settings file that the platform provides to a gateway process."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.address import Address, parse_address
from godwitthread.core import caller_limits
from godwitthread.core.caller_limits import CallerLimits
from godwitthread.core.rate_grants import RateTolerance
from godwitthread.core.usage_windows import UsageTerms
from godwitthread.errors import ErrorKind, ProxyError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Environment variable with the path of the settings file.
CONFIG_PATH_VARIABLE = 'GODWITTHREAD_CONFIG'
#: Environment variable with the price of a crossing between failure domains, in ms.
CROSSING_COST_VARIABLE = 'GODWITTHREAD_CROSSING_COST_MS'
#: Upper bound of that price; a statement waits no longer than its deadline for it.
MAX_CROSSING_COST_MS = 60_000
#: Upper bounds of the cores and the link of a machine, and of its grace period.
MAX_CORES = 10_000
MAX_LINK_MBPS = 10**7
MAX_GRACE_S = 86_400
#: Upper bounds of the window, excess and slack of rates.
MAX_QUOTA_WINDOW_S = 86_400
MAX_QUOTA_EXCESS = 10.0
MAX_QUOTA_SLACK = 10**6
#: Upper bounds of the lease of duties, of the windows of usage reports and of their delay.
MAX_LEASE_MS = 86_400_000
MAX_REPORT_S = 86_400
#: Entry of `Cloud.Duties` that asks for usage reports.
USAGE_DUTY = 'usage_report'
#: Delay and tolerance of usage reports where the settings give none.
DEFAULT_USAGE_DELAY_S = 10.0
DEFAULT_USAGE_TOLERANCE = 0.05
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
    #: Tolerated excess over the rates of organisations; None where the file does not give it.
    rate_tolerance: RateTolerance | None = None
    #: Time within which duties must not return to a former holder, in ms; 0 without a bound.
    lease_ms: int = 0
    #: Whether the platform refuses calls with a lower fencing token than an earlier one. Where it
    #: does not, such a call violates the contract; the duties send none in either case.
    require_fence: bool = False
    #: Terms of usage reports, None where the platform asks for none.
    usage: UsageTerms | None = None
    #: Time that a crossing between failure domains must save, in ms; None if failure domains are
    #: not considered.
    crossing_cost_ms: float | None = None
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
    return parse(data, environ)._replace(crossing_cost_ms=_crossing_cost_ms(environ))


def _crossing_cost_ms(environ: Mapping[str, str]) -> float | None:
    text = environ.get(CROSSING_COST_VARIABLE, '')
    if not text:
        return None
    try:
        cost_ms = float(text)
        if not 0 <= cost_ms <= MAX_CROSSING_COST_MS:
            raise ValueError(f'{text} is not between 0 and {MAX_CROSSING_COST_MS}')
    except ValueError as exc:
        error = ProxyError(ErrorKind.SETTING_INVALID, f'{CROSSING_COST_VARIABLE}: {exc}')
        raise ExceptionGroup('invalid settings', [error]) from exc
    return cost_ms


def parse(data: Any, environ: Mapping[str, str] | None = None) -> NodeSettings:
    """Validate decoded settings; raise an ExceptionGroup with every error."""
    reader = SettingsReader(data)
    read, read_optional = reader.read, reader.read_optional
    ip = read('Ip', _ip)
    settings = NodeSettings(
        name=read('Node', _non_empty_string),
        failure_domain=read('Zone', _non_empty_string),
        caller_address=read('Listen.Front', parse_address),
        ready_address=read('Listen.Ready', parse_address),
        peer_address=Address(ip, read('InternalPortRange.0', _port)),
        metrics_address=Address(ip, read('InternalPortRange.1', _port)),
        store_address=read('platform.Addr', parse_address),
        promotion_address=read('Cloud.Addr', parse_address),
        cores=read('Limits', _cores),
        link_mbps=read('Limits.LinkMbps', lambda value: _number(value, MAX_LINK_MBPS)),
        grace_ms=read('Bounds.GraceS', lambda value: int(_number(value, MAX_GRACE_S) * 1000)),
        rate_tolerance=read('Bounds', _rate_tolerance),
        lease_ms=read_optional(
            'Bounds.LeaseMs', lambda value: int(_number(value, MAX_LEASE_MS)), 0
        ),
        require_fence=read_optional('Bounds.RequireFence', _flag, False),
        usage=_read_usage(reader),
        limits=_read_limits(reader, environ or {}),
    )
    if reader.errors:
        raise ExceptionGroup('invalid settings', reader.errors)
    return settings


class SettingsReader:
    """Read values of decoded settings, and collect the errors."""

    def __init__(self, data: Any) -> None:
        self.data = data
        self.errors: list[ProxyError] = []

    def read(self, path: str, convert: Callable[[Any], Any]) -> Any:
        """Return a converted value, None after an error."""
        value = self.data
        try:
            for part in path.split('.'):
                value = value[int(part) if part.isdecimal() else part]
            return convert(value)
        except (LookupError, TypeError, ValueError, AttributeError, OverflowError) as exc:
            self.add_error(f'{path}: {type(exc).__name__}: {exc}')
            return None

    def read_optional(self, path: str, convert: Callable[[Any], Any], default: Any) -> Any:
        """Return a converted value, or the default if there is none."""
        value = self.data
        for part in path.split('.'):
            value = value.get(part) if isinstance(value, dict) else None
        # The platform writes 0 or null for a bound that does not apply.
        return default if value is None or value == 0 else self.read(path, convert)

    def add_error(self, message: str) -> None:
        """Record that a setting is invalid."""
        self.errors.append(ProxyError(ErrorKind.SETTING_INVALID, message))


def _read_usage(reader: SettingsReader) -> UsageTerms | None:
    read = reader.read_optional
    duties = read('Cloud.Duties', _names, ())
    window_ms = read('Bounds.ReportWindowS', _report_ms, 0)
    delay_ms = read('Bounds.UsageDelayS', _report_ms, int(DEFAULT_USAGE_DELAY_S * 1000))
    tolerance = read('Bounds.UsageOff', _share, DEFAULT_USAGE_TOLERANCE)
    if duties is None or USAGE_DUTY not in duties or not window_ms:
        return None
    return UsageTerms(window_ms, delay_ms, tolerance)


def _read_limits(reader: SettingsReader, environ: Mapping[str, str]) -> CallerLimits:
    values = [
        reader.read_optional(f'Limits.{name}', partial(_number, maximum=maximum), None)
        for name, maximum in (('MemoryMb', MAX_MEMORY_MB), ('MaxFds', MAX_DESCRIPTORS))
    ]
    try:
        return caller_limits.override(caller_limits.derive(*values), environ)
    except ValueError as exc:
        reader.add_error(str(exc))
        return CallerLimits()


def _names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
        raise ValueError(f'{value!r} is not a list of names')
    return tuple(value)


def _report_ms(value: Any) -> int:
    number = int(_number(value, MAX_REPORT_S) * 1000)
    if not number:
        raise ValueError(f'{value!r} is shorter than 1 ms')
    return number


def _share(value: Any) -> float:
    return _number(value, 1.0)


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f'{value!r} is not true or false')
    return value


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


def _rate_tolerance(bounds: Any) -> RateTolerance | None:
    """Return the tolerated excess over rates, None unless all of its fields are given."""
    values = [bounds.get(name) for name in ('QuotaWindowS', 'QuotaExcess', 'QuotaSlack')]
    if None in values:
        return None
    window_s, excess, slack = (float(value) for value in values)
    _number(window_s, MAX_QUOTA_WINDOW_S)
    if not (0 <= excess <= MAX_QUOTA_EXCESS and 0 <= slack <= MAX_QUOTA_SLACK):
        raise ValueError(f'excess {excess} or slack {slack} is out of range')
    return RateTolerance(window_s, excess, slack)


def _number(value: Any, maximum: float) -> float:
    number = float(value)
    if not 0 < number <= maximum:
        raise ValueError(f'{number} is not above 0 and at most {maximum}')
    return number
