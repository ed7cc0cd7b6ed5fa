"""The application's connections: requests in, one answer each, and word of those who hang up."""

from __future__ import annotations

import asyncio
import select
import sys
import traceback
from collections import deque
from functools import partial
from typing import Protocol, cast

import httptools

MAX_BODY = 64 * 1024
MAX_HEAD = 32 * 1024
LINGER_S = 1.0  # how long what a client still sends is read after it got an error
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error",
    502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}
HOP_BY_HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade",
})
Headers = list[tuple[bytes, bytes]]


class Message:
    """One request as it came, and where its one answer goes."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive", "connection", "came", "tid")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.method = self.target = self.body = b""
        self.headers: Headers = []
        self.keep_alive = True
        self.came = 0.0  # when its last byte was read, by the loop's clock
        self.tid = ""  # for the owner: which request this became

    def header(self, name: bytes) -> bytes | None:
        """The first header of this lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    def answer(self, status: int, body: bytes = b"", headers: Headers | None = None) -> None:
        """Send the answer. A second one is ignored, as is one to a client that has left."""
        self.connection.answer(self, status, body, headers or [])


class Service(Protocol):
    """What the connections need of the sidecar."""

    def ready(self) -> bool: ...

    def request(self, message: Message) -> None: ...

    def hangup(self, message: Message) -> None: ...


class Listener:
    """The listening socket and all connections that came in by it."""

    def __init__(self, service: Service, most: int) -> None:
        self.service = service
        self.most = most
        self.stopping = False
        self.connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, loop: asyncio.AbstractEventLoop, host: str, port: int) -> int:
        """Listen; return the port."""
        make = partial(ClientConnection, self, loop)
        self._server = await loop.create_server(make, host, port, backlog=1024)
        return int(self._server.sockets[0].getsockname()[1])

    def last_requests(self) -> None:
        """From now on each answer closes its connection."""
        self.stopping = True

    def close(self) -> None:
        """Listen no more, and close what is between requests."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_between_requests()

    def busy(self) -> bool:
        """Whether a connection is left that owes an answer or may hold an unread request."""
        return bool(self.connections)


class ClientConnection(asyncio.Protocol):
    """One connection of the application."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._message = Message(self)  # being read
        self._reading = False  # inside a message
        self._body: list[bytes] = []
        self._size = self._head_size = 0
        self._active: Message | None = None  # owed an answer
        self._waiting: deque[Message] = deque()  # sent ahead of the answer before
        self._error = 0
        self._deaf = False  # nothing more is read from here

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = self._error or 400  # CONNECT and upgrades are not on offer here
        except httptools.HttpParserError:
            self._error = self._error or 400
        if self._error:
            self._deaf = True
            if self._active is None:
                self._reject()

    def eof_received(self) -> None:
        """A client that closes has gone away: the transport closes, and connection_lost tells the rest."""

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.connections.discard(self)
        self._deaf = True
        self._waiting.clear()
        active, self._active = self._active, None
        if active is not None:
            self._listener.service.hangup(active)

    # --- httptools

    def on_message_begin(self) -> None:
        self._message = Message(self)
        self._reading = True
        self._body, self._size, self._head_size = [], 0, 0

    def on_url(self, url: bytes) -> None:
        self._message.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.headers.append((name.lower(), value))
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        if self._error:
            return
        length = self._message.header(b"content-length")
        if length is not None and int(length) > MAX_BODY:
            self._error = 413
        elif self._message.header(b"expect") is not None and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MAX_BODY:
            self._error = self._error or 413
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._reading = False
        if self._error or self._deaf:
            return
        message = self._message
        message.method = self._parser.get_method()
        message.body = b"".join(self._body)
        message.keep_alive = self._parser.should_keep_alive()
        message.came = self._loop.time()
        if self._active is None:
            self._begin(message)
        else:
            self._waiting.append(message)
            if self._transport is not None:
                self._transport.pause_reading()

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            self._error = self._error or 431

    # --- answers

    def _begin(self, message: Message) -> None:
        self._active = message
        path = message.target.partition(b"?")[0]
        if path == b"/-/ready":
            message.answer(200 if self._listener.service.ready() else 503)
        elif path.startswith(b"/-/"):
            message.answer(404)
        elif message.method not in (b"GET", b"POST"):
            message.answer(405, headers=[(b"Allow", b"GET, POST")])
        else:
            try:
                self._listener.service.request(message)
            except Exception:
                # Raised through the parser it would pass for bad HTTP, and leave no trace.
                traceback.print_exc(file=sys.stderr)
                message.answer(500)

    def answer(self, message: Message, status: int, body: bytes, headers: Headers) -> None:
        """See Message.answer."""
        transport = self._transport
        if message is not self._active or transport is None:
            return
        self._active = None
        crowded = len(self._listener.connections) > self._listener.most
        keep = message.keep_alive and not (self._listener.stopping or self._error or crowded)
        transport.write(_head(status, len(body), headers, keep) + body)
        if not keep and not self._error:
            self._deaf = True
            transport.close()
        elif self._waiting:
            following = self._waiting.popleft()
            if not self._waiting:
                transport.resume_reading()
            self._loop.call_soon(self._begin, following)
        elif self._error:
            self._reject()

    def _reject(self) -> None:
        """Answer what can't be served, then listen on deafly for a moment: a close while bytes are still
        coming in would reset the connection and take the answer with it."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(_head(self._error, 0, [], False))
        transport.write_eof()
        self._loop.call_later(LINGER_S, transport.abort)

    def close_between_requests(self) -> None:
        """Close, unless a request is being read, waits to be read or waits for its answer."""
        transport = self._transport
        if transport is None or self._active is not None or self._waiting or self._reading:
            return
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not poll.poll(0):
            transport.close()


def _head(status: int, length: int, headers: Headers, keep_alive: bool) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\nContent-Length: {length}\r\n".encode()]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    if not keep_alive:
        lines.append(b"Connection: close\r\n")
    return b"".join(lines) + b"\r\n"


