"""HTTP/1.1 as the rehearsal speaks it, on either side: a message is whole, or it is broken."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MOST_HEAD = 64 * 1024


class Broken(Exception):
    """The connection ended before a message was whole, or what came is no message."""


@dataclass(slots=True)
class Message:
    """One message; header names in lower case, the first of each counts."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.start.split()[1])

    def header(self, name: str) -> str:
        """A header's value, empty where there is none."""
        return self.headers.get(name, "")


async def read(reader: asyncio.StreamReader, answer: bool = False) -> Message | None:
    """The next message; None where the connection ends between two."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        if isinstance(error, asyncio.IncompleteReadError) and not error.partial and not answer:
            return None
        raise Broken("no whole head") from error
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    message = Message(start)
    for line in lines:
        name, _, value = line.partition(":")
        message.headers.setdefault(name.lower(), value.strip())
    if answer and (not start.startswith("HTTP/1.1 ") or not start[9:12].isdigit()):
        raise Broken(f"no answer: {start!r}")
    length = message.header("content-length") or ("" if answer else "0")
    if not length.isdigit() or message.header("transfer-encoding"):
        raise Broken("no length")  # neither sidecars nor controllers nor the servers here send chunks
    try:
        message.body = await reader.readexactly(int(length))
    except asyncio.IncompleteReadError as error:
        raise Broken("no whole body") from error
    return message


def request(method: str, target: str, headers: dict[str, str], body: bytes, chunked: bool = False) -> bytes:
    """A request as it goes out."""
    parts = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if chunked:
        half = len(body) // 2 or len(body)
        pieces = [piece for piece in (body[:half], body[half:]) if piece]
        body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
        parts.append("Transfer-Encoding: chunked")
    elif body or method in ("POST", "PUT", "PATCH"):
        parts.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*parts, "", ""]).encode("latin-1") + body


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """An answer as it goes out."""
    parts = [f"HTTP/1.1 {status} Told", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*parts, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


class Line:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> Line:
        """Connect; OSError where nobody listens, TimeoutError after a second."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port), limit=MOST_HEAD))

    @property
    def open_ended(self) -> bool:
        """Whether it can carry another request."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    async def ask(self, raw: bytes) -> Message:
        """The whole answer to a request; Broken or OSError where none comes."""
        self._writer.write(raw)
        message = await read(self._reader, answer=True)
        assert message is not None
        if message.header("connection").lower() == "close":
            self.close()
        return message

    def close(self) -> None:
        """Let go of it."""
        self._writer.transport.abort()


async def ask(address: str, method: str, target: str, body: bytes = b"") -> Message | None:
    """One call on a connection of its own, as servers and operators make it; None: no answer in a second."""
    line: Line | None = None
    headers = {"Host": address, "Connection": "close"}
    if body:
        headers["Content-Type"] = "application/json"
    try:
        async with asyncio.timeout(1.0):
            line = await Line.open(address)
            return await line.ask(request(method, target, headers, body))
    except (Broken, OSError, TimeoutError):
        return None
    finally:
        if line is not None:
            line.close()
