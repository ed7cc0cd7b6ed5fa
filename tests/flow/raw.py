"""A node and a client that work on bytes: any form of HTTP/1.1, any pieces, any pace."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class Got(NamedTuple):
    """One whole message as it came over the wire."""

    first: str
    headers: dict[str, str]
    body: bytes


async def head_of(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    while True:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.split("\r\n")
        if " 100 " not in first:
            return first, {k.lower(): v for k, v in (line.split(": ", 1) for line in lines if line)}


async def message_of(reader: asyncio.StreamReader, answer: bool = False) -> Got:
    """Read one message; raises IncompleteReadError where it is not whole."""
    first, headers = await head_of(reader)
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return Got(first, headers, b"".join(parts))
    if "content-length" in headers:
        return Got(first, headers, await reader.readexactly(int(headers["content-length"])))
    return Got(first, headers, await reader.read() if answer else b"")


Play = Callable[["Node", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Node:
    """Plays a script for each connection; `calls` holds the whole requests it has read."""

    def __init__(self, play: Play, limit: int = 2**16) -> None:
        self.play, self.limit = play, limit
        self.calls: list[Got] = []
        self.broken = 0  # requests that ended before they were whole
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Node:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=self.limit)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.play(self, reader, writer)
        writer.close()
        self.tasks.discard(task)

    async def read(self, reader: asyncio.StreamReader) -> Got:
        try:
            got = await message_of(reader)
        except (asyncio.IncompleteReadError, OSError) as error:
            if not isinstance(error, asyncio.IncompleteReadError) or error.partial:
                self.broken += 1
            raise
        self.calls.append(got)
        return got


def answers(*pieces: bytes, close: bool = False) -> Play:
    """Read requests, and say the same to each."""

    async def play(node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await node.read(reader)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            if close:
                return

    return play


def post(rid: str, *headers: str) -> bytes:
    lines = ["POST /single_shot HTTP/1.1", "Host: app", f"X-Request-ID: {rid}", "X-Timeout: 5", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def get(rid: str, *headers: str) -> bytes:
    lines = ["GET /free HTTP/1.1", "Host: app", f"X-Request-ID: {rid}", "X-Timeout: 5", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunked(body: bytes, size: int) -> bytes:
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    parts = [b"%x;e=1\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join(parts) + b"0\r\nX-Trailer: t\r\n\r\n"
