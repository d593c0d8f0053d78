"""Encoding and authentication of the messages between instances."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.events import HybridTimestamp  # noqa: TC001 - msgspec reads it at run time

if TYPE_CHECKING:
    from collections.abc import Callable

#: Length of the truncated HMAC-SHA256 that precedes every message, in bytes.
MAC_BYTES = 16


class Envelope(NamedTuple):
    """Message with its metadata; the type of the body is registered for the kind."""

    kind: str
    #: Name of the sending instance.
    sender: str
    #: Incarnation of the sending instance.
    incarnation: int
    stamp: HybridTimestamp
    body: Any
    #: 0 for a one-way message, a positive id for a request, the negated id for its response.
    call_id: int = 0
    #: `ip:port` to which the response is sent. It is part of the request because the sender
    #: may not be in any roster yet.
    reply_to: str = ''


class Failure(NamedTuple):
    """Response to a request whose handler raised an error."""

    error: str
    message: str
    outcome: str
    retry_after_ms: int | None = None


class DecodeError(Exception):
    """Raised for a received message that must be dropped."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        #: Name of the counter of dropped messages: 'signature', 'malformed' or 'unknown_kind'.
        self.reason = reason


class _EncodedEnvelope(NamedTuple):
    """Envelope whose body is not decoded yet."""

    kind: str
    sender: str
    incarnation: int
    stamp: HybridTimestamp
    body: msgspec.Raw
    call_id: int
    reply_to: str


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(_EncodedEnvelope)
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_types: dict[str, type] = {}
_kinds: dict[type, str] = {}


def register(kind: str, body_type: type) -> None:
    """Register the NamedTuple type for the body of a kind; raise ValueError on a conflict."""
    if _types.get(kind, body_type) is not body_type or _kinds.get(body_type, kind) != kind:
        raise ValueError(f'kind {kind} or type {body_type.__name__} is already registered')
    _types[kind] = body_type
    _kinds[body_type] = kind
    _decoders[kind] = msgspec.msgpack.Decoder(body_type)


def kind_of(body: Any) -> str:
    """Return the kind registered for the type of a body; raise KeyError if there is none."""
    return _kinds[type(body)]


def encode(envelope: Envelope, key: bytes) -> bytes:
    """Encode and sign a message."""
    payload = _encoder.encode(envelope)
    return _mac(payload, key) + payload


def decode(data: bytes, key: bytes) -> Envelope:
    """Verify and decode a message; raise DecodeError if it is not authentic or not valid."""
    payload = data[MAC_BYTES:]
    if not hmac.compare_digest(data[:MAC_BYTES], _mac(payload, key)):
        raise DecodeError('signature')
    envelope = _decode_part(_envelope_decoder.decode, payload)
    decoder = _decoders.get(envelope.kind)
    if decoder is None:
        raise DecodeError('unknown_kind')
    return Envelope(*envelope)._replace(body=_decode_part(decoder.decode, envelope.body))


def failure_from_error(exc: Exception) -> Failure:
    """Convert an error to the failure that is sent to the calling instance.

    The text of errors other than ProxyError is left out, because it may contain secrets.
    """
    if isinstance(exc, ProxyError):
        return Failure(exc.kind.value, exc.message, exc.outcome.value, exc.retry_after_ms)
    return Failure(ErrorKind.INTERNAL.value, 'peer handler failed', Outcome.UNKNOWN.value)


def error_from_failure(failure: Failure) -> ProxyError:
    """Convert a received failure to an error; an unknown kind or outcome becomes INTERNAL."""
    try:
        kind, outcome = ErrorKind(failure.error), Outcome(failure.outcome)
    except ValueError:
        kind, outcome = ErrorKind.INTERNAL, Outcome.UNKNOWN
    return ProxyError(kind, failure.message, outcome=outcome, retry_after_ms=failure.retry_after_ms)


def _mac(payload: bytes, key: bytes) -> bytes:
    return hmac.digest(key, payload, 'sha256')[:MAC_BYTES]


def _decode_part(decode: Callable[[Any], Any], data: Any) -> Any:
    try:
        return decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise DecodeError('malformed') from exc


register('failure', Failure)
