"""Control connections of failover observers to members."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.backend.connection import open_connection
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.backend.connection import BackendConnection, Login
    from godwitthread.types import MemberSpec


class ControlConnection:
    """Control connection to one member, reopened on demand and used by one call at a time."""

    def __init__(self, spec: MemberSpec, login: Login) -> None:
        self.spec = spec
        self._login = login
        self._lock = eventlet.semaphore.Semaphore()
        self._conn: BackendConnection | None = None

    def call(self, action: Callable[..., Any], *args: Any, timeout_ms: int) -> Any:
        """Return action(conn, *args, timeout_ms=...); raise ProxyError."""
        if not self._lock.acquire(timeout=timeout_ms / 1000):
            raise ProxyError(
                ErrorKind.BACKEND_UNAVAILABLE, f'{self.spec.name}: control connection busy'
            )
        try:
            if self._conn is None or self._conn.broken:
                self._conn = open_connection(
                    self.spec, self._login, read_only=False, control=True, timeout_ms=timeout_ms
                )
            return action(self._conn, *args, timeout_ms=timeout_ms)
        except ProxyError:
            self._drop()
            raise
        finally:
            self._lock.release()

    def close(self) -> None:
        """Close the connection."""
        self._drop()

    def _drop(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()
