"""Loopback partners for the sidecar: scripted servers, discovery and a plain client. Port 0 everywhere."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from dunefield import Settings
from hollyport.settings.config import Address, Config
from hollyport.sidecar import Sidecar

IDS = itertools.count(1000)
LIMIT_S = 20.0  # generous: a test that waits this long has failed
Script = Callable[["Conversation", "Call"], Awaitable[None]]


class Call:
    """One request that a scripted server has read."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.headers = dict(line.split(": ", 1) for line in lines if line)
        self.body = body


class Conversation:
    """One connection at a scripted server."""

    def __init__(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.number, self.reader, self.writer = number, reader, writer

    async def read(self) -> Call:
        head = await self.reader.readuntil(b"\r\n\r\n")
        call = Call(head, b"")
        length = int(call.headers.get("content-length", call.headers.get("Content-Length", 0)))
        call.body = await self.reader.readexactly(length)
        return call

    async def answer(self, status: int = 200, body: bytes = b"", *headers: str) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    def reset(self) -> None:
        self.writer.transport.abort()


class Server:
    """Reads requests and plays a script for each; keeps what it saw."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.calls: list[Call] = []
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def __aenter__(self) -> Server:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
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
        talk = Conversation(self.connections, reader, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                call = await talk.read()
                self.calls.append(call)
                await self.script(talk, call)
        writer.close()
        self.tasks.discard(task)


async def ok(talk: Conversation, call: Call) -> None:
    """Serve every request with its own id as the body."""
    await talk.answer(200, call.headers.get("x-request-id", "").encode())


def line(name: str, port: int, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "type": "m",
        "group": 0,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": 0,
        **changes,
    }


def listing(*lines: dict[str, Any], index: int = 1, snapshot: bool = True) -> dict[str, Any]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(lines)}


def settings(**changes: Any) -> dict[str, Any]:
    """Three classes that bear the name of how they may be repeated, with limits no slow machine meets."""
    kinds = ("free", "single_shot", "guarded")
    raw: dict[str, Any] = {
        "classes": [{"name": k, "onTimeNs": 3 * 10**9, "hardLimitNs": 6 * 10**9, "repeat": k} for k in kinds],
        "failureDomains": ["a", "b"],
        "kinds": ["m"],
        "limits": {
            "maxAttempts": 3,
            "retryAfter": True,
            "maxRetryAfterNs": 10**9,
            "connectTimeoutNs": 2 * 10**9,
        },
        "invariants": {"drainGraceNs": 10**9},
    }
    for key, value in changes.items():
        raw[key] = {**raw.get(key, {}), **value} if isinstance(value, dict) else value
    return raw


class Client:
    """One connection of the application."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {k.lower(): v for k, v in (text.split(": ", 1) for text in lines if text)}
        body = await self.reader.readexactly(int(headers["content-length"]))
        return int(first.split(" ")[1]), headers, body

    async def ask(
        self,
        cls: str = "free",
        rid: str = "",
        timeout: str | None = "5",
        method: str = "",
        body: bytes = b"",
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        rid = rid or f"id-{next(IDS)}"  # new with every request
        method = method or ("GET" if cls == "free" else "POST")
        lines = [f"{method} /{cls}?q=1 HTTP/1.1", "Host: app", f"X-Request-ID: {rid}"]
        lines += [f"X-Timeout: {timeout}"] if timeout is not None else []
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await self.answer()


class World:
    """A running sidecar and its port."""

    def __init__(self, sidecar: Sidecar, port: int) -> None:
        self.sidecar, self.port = sidecar, port

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@contextlib.asynccontextmanager
async def sidecar(
    *lines: dict[str, Any], discovery: int = 1, raw: dict[str, Any] | None = None, sockets: int = 1024
) -> AsyncIterator[World]:
    config = Config(
        "n0",
        Address("127.0.0.1", 0),
        Address("127.0.0.1", discovery),
        7,
        sockets,
        listing(*lines),
        Settings.parse(raw or settings(discovery="subscribe")),
    )
    made = Sidecar(config, asyncio.get_running_loop())
    yield World(made, await made.start())


def play(scene: Callable[[], Awaitable[None]], limit_s: float = LIMIT_S) -> None:
    """Run a scene on the loop that the sidecar runs on in service."""
    import uvloop

    async def limited() -> None:
        async with asyncio.timeout(limit_s):
            await scene()

    uvloop.run(limited())


def dump(raw: Any) -> bytes:
    return json.dumps(raw).encode()
