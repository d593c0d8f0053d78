"""Limits on what callers may make a gateway process hold: by connection, session and process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

MIB = 1024 * 1024

#: Memory that a process needs without callers, in MB; one at rest uses 27 to 42 MB.
PROCESS_MB = 40
#: Part of the remaining memory that callers may cause. The rest is for copies that exist for a
#: moment only, answers that members are sending, and statements too small to be counted. With 0.5,
#: unread answers of 1 MB made a process of 96 MB use up to 90.
CALLER_SHARE = 0.4
#: Memory for callers without `Limits.MemoryMb`, and the least amount, in bytes.
DEFAULT_MEMORY_BYTES = 256 * MIB
MIN_MEMORY_BYTES = 8 * MIB
#: Descriptors for files, and descriptors of a process without `Limits.MaxFds`.
FILE_DESCRIPTORS = 200
DEFAULT_DESCRIPTORS = 8_192
#: Parts of the other descriptors that callers, peers, and each HTTP port may use. The rest is kept
#: for links, the store and members: an owner of four groups has up to 840 connections to members.
CALLER_DESCRIPTORS = 5 / 8
PEER_DESCRIPTORS = 1 / 6
HTTP_DESCRIPTORS = 1 / 32
#: Least number of connections of a kind.
MIN_CONNECTIONS = 16
#: Largest value of a setting.
MAX_SETTING = 10**9


class CallerLimits(NamedTuple):
    """Limits of one process; each can be set by the variable in `VARIABLES`."""

    #: Memory that callers may cause, in bytes.
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    #: Connections of callers.
    connections: int = 4_995
    #: Connections to the readiness port, and to the metrics port.
    http_connections: int = 249
    #: Connections to the peer port.
    peer_connections: int = 1_332
    #: Those of them whose sender has not identified itself.
    unidentified_peers: int = 64
    #: Time within which a caller sends `START`, and a peer identifies itself, in ms.
    start_ms: int = 10_000
    #: Time from the first bytes of a line to its end, in ms. The longest line takes 1.7 s on a link
    #: of 5 Mbit/s that loses 2 to 4% of the packets.
    line_ms: int = 20_000
    #: Time within which an answer of 1 MiB is taken, in ms; a longer one has as much for each MiB.
    answer_ms: int = 20_000
    #: Size and number of the values and prepared statements of a session. One value of 1 MiB fits.
    session_bytes: int = 1_310_720
    session_names: int = 1_024
    #: Receive buffer of a caller's connection, in bytes; unread data stays in it.
    receive_buffer_bytes: int = 65_536


#: Environment variables, and how many of the field's units one unit of the variable has.
VARIABLES: dict[str, tuple[str, int]] = {
    'memory_bytes': ('GODWITTHREAD_CALLER_MEMORY_MB', MIB),
    'connections': ('GODWITTHREAD_CALLER_CONNECTIONS', 1),
    'http_connections': ('GODWITTHREAD_HTTP_CONNECTIONS', 1),
    'peer_connections': ('GODWITTHREAD_PEER_CONNECTIONS', 1),
    'unidentified_peers': ('GODWITTHREAD_UNIDENTIFIED_PEERS', 1),
    'start_ms': ('GODWITTHREAD_START_TIMEOUT_MS', 1),
    'line_ms': ('GODWITTHREAD_LINE_TIMEOUT_MS', 1),
    'answer_ms': ('GODWITTHREAD_ANSWER_TIMEOUT_MS', 1),
    'session_bytes': ('GODWITTHREAD_SESSION_BYTES', 1),
    'session_names': ('GODWITTHREAD_SESSION_NAMES', 1),
    'receive_buffer_bytes': ('GODWITTHREAD_RECEIVE_BUFFER_BYTES', 1),
}


def derive(memory_mb: float | None, descriptors: float | None) -> CallerLimits:
    """Return the limits for the memory and the descriptors in the settings, if they are given."""
    memory_bytes = DEFAULT_MEMORY_BYTES
    if memory_mb is not None:
        memory_bytes = max(MIN_MEMORY_BYTES, int((memory_mb - PROCESS_MB) * CALLER_SHARE * MIB))
    sockets = (DEFAULT_DESCRIPTORS if descriptors is None else descriptors) - FILE_DESCRIPTORS

    def part(share: float) -> int:
        return max(MIN_CONNECTIONS, int(sockets * share))

    return CallerLimits(
        memory_bytes=memory_bytes,
        connections=part(CALLER_DESCRIPTORS),
        http_connections=part(HTTP_DESCRIPTORS),
        unidentified_peers=min(64, part(PEER_DESCRIPTORS)),
        peer_connections=part(PEER_DESCRIPTORS),
    )


def override(limits: CallerLimits, environ: Mapping[str, str]) -> CallerLimits:
    """Replace limits by those of the environment; raise ValueError with the variable's name."""
    changed: dict[str, int] = {}
    for field, (variable, unit) in VARIABLES.items():
        text = environ.get(variable)
        if text is None:
            continue
        if not text.isdecimal() or not 0 < int(text[:10]) <= MAX_SETTING or len(text) > 10:
            raise ValueError(f'{variable}: {text[:40]!r} is not a number from 1 to {MAX_SETTING}')
        changed[field] = int(text) * unit
    return limits._replace(**changed)
