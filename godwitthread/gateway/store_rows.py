"""Rows of the store as instances decode, compare and exchange them."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from godwitthread.address import parse_address
from godwitthread.core.catalog import Peer
from godwitthread.core.store_version import counter_of
from godwitthread.gateway.ports import StoredRow, Undecodable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

#: Table of the store in which the instances register themselves.
PEER_TABLE = 'instances'
#: Maximum length of the reason in an event; a decoder may quote the content, up to 1 MB.
MAX_REASON_LENGTH = 200
#: Number of decoded entries of instances that are kept.
DECODED_PEERS = 2_048
#: Upper bound of the capacity of an instance, in cores.
MAX_CAPACITY = 10_000
#: Upper bound of a start time in ms: an integer that all JSON readers keep.
MAX_INCARNATION = 2**53

_peers = msgspec.json.Decoder(Peer)


class Snapshot(NamedTuple):
    """Content of one table as sent from one instance to another."""

    table: str
    revision: int
    rows: tuple[StoredRow, ...]


def decode_row(decode: Callable[..., Any], *args: Any) -> Any:
    """Decode one row; no content of a row may stop the adoption of the others."""
    try:
        decoded = decode(*args)
    except Exception as exc:
        decoded = Undecodable(f'{type(exc).__name__}: {exc}')
    if isinstance(decoded, Undecodable):
        return Undecodable(decoded.reason[:MAX_REASON_LENGTH])
    return decoded


def digest_of(rows: Mapping[str, StoredRow]) -> int:
    """Return a digest of the keys and versions of rows."""
    # The version of a row identifies its content within an era.
    text = '\n'.join(f'{key}\0{counter_of(rows[key].revision)}' for key in sorted(rows))
    return int(xxhash.xxh64_intdigest(text.encode()))


def encode_peer(peer: Peer) -> bytes:
    """Return the content of the row of an instance."""
    # Older builds accept no further field, so that only a process that has ended adds one.
    return msgspec.json.encode(peer if peer.departed else peer[:-1])


# The whole table is decoded after each change, and only one row of hundreds has changed.
@functools.lru_cache(maxsize=DECODED_PEERS)
def decode_peer(name: str, value: bytes) -> Peer:
    """Decode the content of the row of an instance; raise ValueError."""
    peer = _peers.decode(value)
    parse_address(str(peer.address))
    if peer.name != name:
        raise ValueError(f'the entry names instance {peer.name!r}')
    if not 0 < peer.capacity <= MAX_CAPACITY or not 0 <= peer.incarnation <= MAX_INCARNATION:
        raise ValueError(f'invalid capacity {peer.capacity} or incarnation {peer.incarnation}')
    return peer
