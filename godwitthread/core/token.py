"""Session tokens and transaction ids, encoded with msgpack, HMAC-SHA256 and base64url."""

from __future__ import annotations

import base64
import binascii
import hmac
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core import history as histories
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.types import Position

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwitthread.types import TermHistory

#: Maximum length of a decoded text; a token with 3 databases has about 120 characters.
TEXT_MAX_CHARS = 16_384
#: Length of an HMAC-SHA256 in bytes.
MAC_BYTES = 32


class SessionToken(NamedTuple):
    """Newest position of a session in every database that it wrote to."""

    organisation: str
    positions: dict[str, Position]

    def position(self, database: str) -> Position | None:
        """Return the newest position of the session in a database."""
        return self.positions.get(database)


class TransactionId(NamedTuple):
    """Interactive transaction and the instance that holds its connection."""

    organisation: str
    instance: str
    #: Incarnation of the instance that holds the connection.
    incarnation: int
    #: Number of the transaction, unique within the incarnation.
    number: int


_encode = msgspec.msgpack.Encoder().encode
_decode_positions = msgspec.msgpack.Decoder(list[tuple[str, int, int]]).decode
_decode_transaction = msgspec.msgpack.Decoder(tuple[str, int, int]).decode


def encode_token(token: SessionToken, keys: Sequence[bytes]) -> str:
    """Encode a token, signed with the first key."""
    entries = [
        (name, position.term, position.offset) for name, position in sorted(token.positions.items())
    ]
    return _sign(b'session', token.organisation, _encode(entries), keys)


def decode_token(text: str, organisation: str, keys: Sequence[bytes]) -> SessionToken:
    """Decode and verify a token; raise ProxyError(INVALID_TOKEN) if it is not valid."""
    try:
        entries = _decode_positions(_verify(b'session', organisation, text, keys))
    except (ValueError, binascii.Error) as exc:
        raise ProxyError(ErrorKind.INVALID_TOKEN, 'session token is not valid') from exc
    positions = {name: Position(term, offset) for name, term, offset in entries}
    return SessionToken(organisation, positions)


def encode_transaction(transaction: TransactionId, keys: Sequence[bytes]) -> str:
    """Encode a transaction id, signed with the first key."""
    entry = (transaction.instance, transaction.incarnation, transaction.number)
    return _sign(b'transaction', transaction.organisation, _encode(entry), keys)


def decode_transaction(text: str, organisation: str, keys: Sequence[bytes]) -> TransactionId:
    """Decode and verify an id; raise ProxyError(TRANSACTION_UNKNOWN) if it is not valid."""
    try:
        entry = _decode_transaction(_verify(b'transaction', organisation, text, keys))
    except (ValueError, binascii.Error) as exc:
        raise ProxyError(ErrorKind.TRANSACTION_UNKNOWN, 'transaction id is not valid') from exc
    return TransactionId(organisation, *entry)


def advance(
    token: SessionToken, database: str, position: Position, history: TermHistory
) -> SessionToken:
    """Return a token that also includes an acknowledged write at `position`."""
    known = token.positions.get(database)
    if known is not None and _includes(history, known, position):
        return token
    return token._replace(positions={**token.positions, database: position})


def _includes(history: TermHistory, known: Position, position: Position) -> bool:
    if histories.is_on_history(history, known) and histories.is_on_history(history, position):
        return known.offset >= position.offset
    # The history may be older than either position. A later term starts after everything
    # acknowledged in an earlier one, so (term, offset) pairs compare in order.
    return known >= position


def _sign(purpose: bytes, organisation: str, payload: bytes, keys: Sequence[bytes]) -> str:
    mac = _mac(keys[0], purpose, organisation, payload)
    return base64.urlsafe_b64encode(mac + payload).rstrip(b'=').decode()


def _verify(purpose: bytes, organisation: str, text: str, keys: Sequence[bytes]) -> bytes:
    if len(text) > TEXT_MAX_CHARS:
        raise ValueError(f'text has {len(text)} characters, maximum is {TEXT_MAX_CHARS}')
    sealed = base64.b64decode(text + '=' * (-len(text) % 4), altchars=b'-_', validate=True)
    mac, payload = sealed[:MAC_BYTES], sealed[MAC_BYTES:]
    verified = False
    for key in keys:
        verified |= hmac.compare_digest(mac, _mac(key, purpose, organisation, payload))
    if not verified:
        raise ValueError('signature does not match')
    return payload


def _mac(key: bytes, purpose: bytes, organisation: str, payload: bytes) -> bytes:
    organisation_bytes = organisation.encode()
    scope = purpose + b'\0' + len(organisation_bytes).to_bytes(4, 'big') + organisation_bytes
    return hmac.digest(key, scope + payload, 'sha256')
