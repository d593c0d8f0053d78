"""TLS for the ports of an instance; certificates are reloaded when their files change."""

from __future__ import annotations

import logging
import os
import ssl
from typing import TYPE_CHECKING, Any, NamedTuple

from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.instance.settings import Settings

logger = logging.getLogger(__name__)

#: Interval between checks of the certificate files in ms.
RELOAD_POLL_MS = 2_000
#: Timeout of a TLS handshake in ms.
HANDSHAKE_TIMEOUT_MS = 5_000


class CertificateFiles(NamedTuple):
    """Paths of a PEM certificate chain and its private key."""

    chain: str
    key: str


class Certificates:
    """TLS context of one port; the old context stays in use if new files can't be loaded."""

    def __init__(self, files: CertificateFiles, emit: Callable[..., None] | None = None) -> None:
        self._files = files
        #: Emits events to the log of the instance that uses the port.
        self.emit = emit
        self._loaded = self._seen = _file_versions(files)
        self._context = _load(files)
        self._thread: Any = None

    def start(self) -> None:
        """Start watching the files."""
        if self._thread is None:
            self._thread = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """Stop watching the files."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def poll(self) -> None:
        """Load changed files that have not changed again since the previous check."""
        before, self._seen = self._seen, _file_versions(self._files)
        # Chain and key are written one after the other, so a change is loaded only when
        # the next check finds the same files.
        if self._seen == self._loaded or self._seen != before:
            return
        self._loaded = self._seen
        try:
            self._context = _load(self._files)
        except ProxyError as exc:
            self._report('certificate_refused', path=self._files.chain, reason=exc.message)
        else:
            self._report('certificate_reloaded', path=self._files.chain)

    def wrap(self, sock: Any) -> Any:
        """Wrap an accepted connection in a TLS socket without starting the handshake."""
        return self._context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False, suppress_ragged_eofs=True
        )

    def _report(self, name: str, **fields: str) -> None:
        if self.emit is not None:
            self.emit(name, **fields)

    def _watch(self) -> None:
        while True:
            eventlet.sleep(RELOAD_POLL_MS / 1000)
            self.poll()


class PortCertificates(NamedTuple):
    """Certificates of both ports, None for a port without TLS."""

    callers: Certificates | None
    operators: Certificates | None

    def bind(self, emit: Callable[..., None]) -> None:
        """Emit the events of both ports to one event log."""
        for each in self:
            if each is not None:
                each.emit = emit


def load_certificates(settings: Settings) -> PortCertificates:
    """Return the certificates that the settings name; raise SETTING_INVALID."""
    return PortCertificates(
        _certificates(settings.tls_certificate, settings.tls_key),
        _certificates(settings.operator_tls_certificate, settings.operator_tls_key),
    )


def _certificates(chain: str, key: str) -> Certificates | None:
    return Certificates(CertificateFiles(chain, key)) if chain else None


def handshake(sock: Any, timeout_ms: int = HANDSHAKE_TIMEOUT_MS) -> bool:
    """Perform the handshake of an accepted connection; return whether it succeeded."""
    try:
        with eventlet.Timeout(timeout_ms / 1000):
            sock.do_handshake()
    except (OSError, eventlet.Timeout) as exc:
        logger.debug('TLS handshake failed: %s', exc)
        return False
    return True


def _load(files: CertificateFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # A connection whose input has ended can still answer. HTTP itself detects truncated bodies.
    context.options |= ssl.OP_IGNORE_UNEXPECTED_EOF
    try:
        # Without a password callback, OpenSSL would prompt for one on the terminal.
        context.load_cert_chain(files.chain, files.key, password=_no_password)
    except (OSError, ValueError) as exc:
        text = f'{files.chain}, {files.key}: certificate or key not usable: {exc}'
        raise ProxyError(ErrorKind.SETTING_INVALID, text) from exc
    return context


def _no_password() -> str:
    raise ValueError('the private key is encrypted; only unencrypted keys are supported')


def _file_versions(files: CertificateFiles) -> tuple[tuple[int, int, int] | None, ...]:
    return tuple(_file_version(path) for path in files)


def _file_version(path: str) -> tuple[int, int, int] | None:
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino
