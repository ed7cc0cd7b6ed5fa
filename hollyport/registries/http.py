"""A small HTTP/1.1 client for registries: one call, one connection, everything bounded.

Registries are not trusted: a call ends in an answer or an OSError within its time, whatever comes, and
holds no more than it may. What is compressed is inflated by whoever reads it, bit by bit.
"""

from __future__ import annotations

import asyncio
import ssl
import zlib
from collections.abc import Iterator
from typing import NamedTuple
from urllib.parse import urlsplit

import httptools

SLICE = 64 * 1024
MOST_HEAD = 32 * 1024


class RegistryError(OSError):
    """The registry gave no usable answer."""


class Place(NamedTuple):
    """Where a registry is reached."""

    secure: bool
    host: str
    port: int
    base: str  # path before /apps, with no slash at its end

    def __str__(self) -> str:
        return f"{'https' if self.secure else 'http'}://{self.host}:{self.port}{self.base}"


class Answer(NamedTuple):
    """One whole answer."""

    status: int
    headers: dict[bytes, bytes]
    raw: list[bytes]  # as it came, maybe compressed
    most: int = 1 << 20  # bytes of it, also when inflated

    def pieces(self) -> Iterator[bytes]:
        """The body, inflated bit by bit: a small answer may hold gigabytes. Raise RegistryError once it is
        too long or unreadable. What was handed out is let go of: the body is never in memory as a whole."""
        packed = self.headers.get(b"content-encoding", b"").lower() == b"gzip"
        self.raw.reverse()
        if not packed:
            while self.raw:
                yield self.raw.pop()
            return
        inflater = zlib.decompressobj(wbits=31)
        size = 0
        while self.raw and not inflater.eof:
            data = self.raw.pop()
            while data and not inflater.eof:
                try:
                    piece = inflater.decompress(data, SLICE)
                except zlib.error as error:
                    raise RegistryError(f"unreadable: {error}") from None
                data = inflater.unconsumed_tail
                size += len(piece)
                if size > self.most:
                    raise RegistryError(f"the answer is longer than {self.most >> 20} MB when inflated")
                yield piece
        if not inflater.eof:
            raise RegistryError("the answer ends half-way")

    @property
    def body(self) -> bytes:
        """The body as a whole, for small answers; it can be had once."""
        return b"".join(self.pieces())


def parse_place(text: str) -> Place:
    """Read a URL; raise ValueError where it is none, or where it holds a password, which belongs into a
    file."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname or parts.query or parts.fragment:
        raise ValueError("not a registry's address, such as http://10.0.0.1:8761/eureka")
    if parts.username or parts.password:
        raise ValueError("holds a user or password: use user and password_file or password_env")
    secure = parts.scheme == "https"
    return Place(secure, parts.hostname, parts.port or (443 if secure else 80), parts.path.rstrip("/"))


class _Reader:
    """Collects one answer from httptools' callbacks."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.headers: dict[bytes, bytes] = {}
        self.pieces: list[bytes] = []
        self.size = 0
        self.complete = False
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > self._most:
            raise RegistryError(f"the answer is longer than {self._most >> 20} MB")
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        self.complete = self.status >= 200


async def call(
    place: Place,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
    most: int,
    tls: ssl.SSLContext | None = None,
) -> Answer:
    """One call. Raise OSError on anything but a whole answer of at most `most` bytes as it comes."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(place, method, path, headers, body, most, tls)
    except TimeoutError:
        raise RegistryError(f"no whole answer within {timeout_s:g} s") from None
    except httptools.HttpParserError as error:
        cause = error.__context__  # what a callback raised stands behind the parser's own error
        raise cause if isinstance(cause, RegistryError) else RegistryError(f"unreadable: {error}") from None


async def _call(
    place: Place,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    most: int,
    tls: ssl.SSLContext | None,
) -> Answer:
    context = (tls or ssl.create_default_context()) if place.secure else None
    reader, writer = await asyncio.open_connection(place.host, place.port, ssl=context, limit=SLICE)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {place.host}:{place.port}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        got = _Reader(most)
        raw = 0
        while not got.complete:
            data = await reader.read(SLICE)
            if not data:
                break
            raw += len(data)
            got.parser.feed_data(data)
            if not got.status and raw > MOST_HEAD:
                raise RegistryError("the head of the answer does not end")
        if not got.complete and (
            b"content-length" in got.headers or b"transfer-encoding" in got.headers or not got.status
        ):
            raise RegistryError("the answer ends half-way")
        return Answer(got.status, got.headers, got.pieces, most)
    finally:
        writer.transport.abort()
