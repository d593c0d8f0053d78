"""Minimal HTTP/1.1 server for the stand-ins of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class HttpRequest(NamedTuple):
    """Request with its decoded query and body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


#: Status and body of an answer, or None if the connection is to be closed without one.
HttpAnswer = tuple[int, Any] | None


async def serve(
    host: str, port: int, handler: Callable[[HttpRequest], Awaitable[HttpAnswer]]
) -> asyncio.Server:
    """Answer requests on an address until the loop ends."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while (request := await _read(reader)) is not None:
                answer = await handler(request)
                if answer is None:
                    break
                _write(writer, *answer)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=256)


async def _read(reader: asyncio.StreamReader) -> HttpRequest | None:
    line = (await reader.readline()).decode('latin-1').split()
    if len(line) < 2:
        return None
    headers: dict[str, str] = {}
    while text := (await reader.readline()).decode('latin-1').strip():
        name, _, value = text.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', 0))
    data = await reader.readexactly(size) if size else b''
    url = urlsplit(line[1])
    query = {key: values[0] for key, values in parse_qs(url.query).items()}
    return HttpRequest(line[0], url.path, query, headers, json.loads(data) if data else None)


def _write(writer: asyncio.StreamWriter, status: int, body: Any) -> None:
    data = json.dumps(body).encode()
    head = f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
    writer.write(f'{head}Content-Length: {len(data)}\r\n\r\n'.encode() + data)
