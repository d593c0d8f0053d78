"""Handlers of the calls that peers send over their links."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from godwitthread.errors import ErrorKind, ProxyError


class CallHandler(NamedTuple):
    """Decoder of the body of a call, and the function that answers it."""

    decoder: msgspec.msgpack.Decoder[Any]
    #: Takes the sender and the decoded body; raises ProxyError.
    answer: Callable[[str, Any], Any]


class PeerCalls:
    """Handlers by kind of call."""

    def __init__(self) -> None:
        self._handlers: dict[str, CallHandler] = {}

    def add(self, kind: str, body_type: Any, answer: Callable[[str, Any], Any]) -> None:
        """Answer the calls of a kind with a function."""
        self._handlers[kind] = CallHandler(msgspec.msgpack.Decoder(body_type), answer)

    def answer(self, sender: str, kind: str, body: msgspec.Raw) -> Any:
        """Answer a call; raise ProxyError, or DecodeError if its body is malformed."""
        handler = self._handlers.get(kind)
        if handler is None:
            raise ProxyError(ErrorKind.NOT_FOUND, f'no handler for {kind}')
        return handler.answer(sender, handler.decoder.decode(body))
