"""Settings of an instance, read from flags and environment variables."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlsplit

from godwitthread.address import Address, parse_address
from godwitthread.errors import ErrorKind, ProxyError

if TYPE_CHECKING:
    from collections.abc import Mapping

PREFIX = 'GODWITTHREAD_'
#: Minimum length of a signing key in bytes: the output size of SHA-256.
KEY_BYTES = 32


class Option(NamedTuple):
    """Definition of one setting: name, parser and accepted values."""

    name: str
    parse: Callable[[str], Any]
    accepted: str
    help: str
    #: Default in text form; None marks a required setting.
    default: str | None = None
    #: Whether the value must not be shown in errors.
    secret: bool = False

    @property
    def flag(self) -> str:
        """Return the command line flag without dashes."""
        return self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return PREFIX + self.name.upper()


class Settings(NamedTuple):
    """Validated settings of one instance."""

    name: str
    failure_domain: str
    caller_address: Address
    operator_address: Address
    peer_address: Address
    platform_url: str
    token_key: tuple[bytes, ...]
    cluster_key: bytes
    operator_token: str
    backend_user: str
    backend_password: str
    policy: str
    log_level: str
    join_peers: tuple[Address, ...]
    lame_duck_ms: int
    drain_limit_ms: int
    tls_certificate: str
    tls_key: str
    operator_tls_certificate: str
    operator_tls_key: str


def load(flags: Mapping[str, str | None], environ: Mapping[str, str]) -> Settings:
    """Return validated settings; raise an ExceptionGroup with every invalid setting."""
    values: dict[str, Any] = {}
    errors: list[ProxyError] = []
    for option in OPTIONS:
        text = flags.get(option.name)
        if text is None:
            text = environ.get(option.variable, option.default)
        try:
            values[option.name] = _parse(option, text)
        except ValueError as exc:
            errors.append(ProxyError(ErrorKind.SETTING_INVALID, str(exc)))
    for port in ('', 'operator_'):
        chain, key = f'{port}tls_certificate', f'{port}tls_key'
        if bool(values.get(chain)) != bool(values.get(key)):
            flags_of = ' and '.join(f'--{name.replace("_", "-")}' for name in (chain, key))
            text = f'{flags_of}: both or neither must be given'
            errors.append(ProxyError(ErrorKind.SETTING_INVALID, text))
    if errors:
        raise ExceptionGroup('invalid settings', errors)
    return Settings(**values)


def _parse(option: Option, text: str | None) -> Any:
    if text is None:
        raise ValueError(
            f'--{option.flag} ({option.variable}): missing; accepted: {option.accepted}'
        )
    try:
        return option.parse(text)
    except ValueError:
        shown = '(hidden)' if option.secret else repr(text)
        raise ValueError(
            f'--{option.flag} ({option.variable}): got {shown}; accepted: {option.accepted}'
        ) from None


def _name(text: str) -> str:
    if not text or len(text) > 64 or not all(ch.isalnum() or ch in '-_.' for ch in text):
        raise ValueError(text)
    return text


def _url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError(text)
    return text.rstrip('/')


def _key(text: str) -> bytes:
    key = bytes.fromhex(text)
    if len(key) < KEY_BYTES:
        raise ValueError(text)
    return key


def _keys(text: str) -> tuple[bytes, ...]:
    keys = tuple(_key(part) for part in text.split(','))
    if len(keys) > 2:
        raise ValueError(text)
    return keys


def _secret(text: str) -> str:
    if len(text) < 16:
        raise ValueError(text)
    return text


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part.strip()) for part in text.split(',') if part.strip())


def _choice(*choices: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def _milliseconds(text: str) -> int:
    if not text.isdecimal() or int(text) > 600_000:
        raise ValueError(text)
    return int(text)


_ADDRESS = 'an IP number and a port, such as 10.0.0.5:8080'
_MILLISECONDS = 'a whole number of ms from 0 to 600000'

#: Every setting of `godwitthread serve`.
OPTIONS: tuple[Option, ...] = (
    Option('name', _name, '1 to 64 letters, digits, "-", "_", "."', 'name of the instance'),
    Option('failure_domain', _name, 'a failure domain of the manifest', 'own failure domain'),
    Option('caller_address', parse_address, _ADDRESS, 'address for callers'),
    Option('operator_address', parse_address, _ADDRESS, 'address for operators and metrics'),
    Option('peer_address', parse_address, _ADDRESS, 'address for other instances'),
    Option('platform_url', _url, 'an http or https URL', 'base URL of the platform service'),
    Option(
        'token_key',
        _keys,
        'one or two hexadecimal keys of at least 32 bytes, newest first, separated by a comma',
        'signing keys of session tokens',
        secret=True,
    ),
    Option(
        'cluster_key',
        _key,
        'a hexadecimal key of at least 32 bytes',
        'signing key of messages between instances',
        secret=True,
    ),
    Option(
        'operator_token',
        _secret,
        'at least 16 characters',
        'credential that operators present',
        secret=True,
    ),
    Option('backend_user', str, 'text', 'user at the backend servers', 'godwitthread'),
    Option('backend_password', str, 'text', 'password at the backend servers', '', secret=True),
    Option('policy', _choice('full', 'thin'), 'full or thin', 'thin is the baseline', 'full'),
    Option(
        'log_level',
        _choice('debug', 'info', 'warning', 'error'),
        'debug, info, warning or error',
        'lowest level that is logged',
        'info',
    ),
    Option(
        'join_peers',
        _addresses,
        'peer addresses such as 10.0.0.5:7000, separated by commas',
        'instances to ask at a start while platform store and instance list are down',
        '',
    ),
    Option(
        'lame_duck_ms',
        _milliseconds,
        _MILLISECONDS,
        'time between readiness off and the end of new work at a graceful shutdown',
        '2000',
    ),
    Option(
        'drain_limit_ms',
        _milliseconds,
        _MILLISECONDS,
        'longest wait for running requests at a graceful shutdown',
        '30000',
    ),
    Option('tls_certificate', str, 'a path', 'certificate chain towards callers', ''),
    Option('tls_key', str, 'a path', 'private key towards callers', ''),
    Option('operator_tls_certificate', str, 'a path', 'certificate chain towards operators', ''),
    Option('operator_tls_key', str, 'a path', 'private key towards operators', ''),
)
