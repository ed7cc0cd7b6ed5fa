"""HTTP servers of the mesh: the daemon's HTTP/1.1 server with buffered bodies and a single handler."""

from __future__ import annotations

import asyncio
import socket
import sys
import traceback
from collections.abc import Callable
from typing import Any

from hollyport.bodies.ledger import Ledger
from hollyport.guests.listener import Listener
from hollyport.http.front import MAX_BODY, MAX_HEAD, ClientConnection
from hollyport.http.message import Message
from mesh.settings import Address
from mesh.transport.read_clock import PausedReads, ReadTimes

NO_STREAMED_BODIES = Ledger(0)
"""Bodies are always buffered, never streamed."""
MAX_CONNECTIONS = 2500


class HttpServer:
    """A listening address with its request handler and limits."""

    listener: Listener

    def __init__(
        self,
        serve: Callable[[Message], None],
        hangup: Callable[[Message], None],
        read_clock: ReadTimes | None = None,
    ) -> None:
        self.serve, self.hangup, self.read_clock = serve, hangup, read_clock
        self.accepts = PausedReads(read_clock) if read_clock is not None else None
        self.max_body, self.max_head = MAX_BODY, MAX_HEAD  # of future connections

    def update_limits(
        self, max_head: int, max_body: int, head_timeout_s: float, idle_timeout_s: float
    ) -> None:
        """Sets the maximum sizes in bytes, and the timeouts of requests and idle connections."""
        self.max_head, self.max_body = max_head, max_body
        self.listener.patience(head_timeout_s, idle_timeout_s)

    def on_backlog(self, waiting: bool) -> None:
        """Notes whether connections may be left in the listening socket's queue."""
        if self.accepts is not None and waiting:
            self.accepts.pause()
        elif self.accepts is not None:
            self.accepts.resume()

    def paused_reads(self) -> PausedReads | None:
        """Returns the reads of a connection that is accepted now, which may have waited for that."""
        if self.read_clock is None or self.accepts is None:
            return None
        return PausedReads(self.read_clock, self.accepts.received_after())


class HttpConnection(ClientConnection):
    """One connection of a client."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop, server: HttpServer) -> None:
        super().__init__(listener, loop, server, _no_route, {}, NO_STREAMED_BODIES)  # type: ignore[arg-type]
        self._http_server = server
        self._max_body, self._max_head = server.max_body, server.max_head
        self._reads = server.paused_reads()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._reads is not None:
            self._reads.resume()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        if self._reads is not None and self._message is not None:
            self._message.sent_after = self._reads.received_after()

    def _feed(self, data: bytes) -> None:
        if self._reads is not None:
            self._reads.resume()
        super()._feed(data)

    def _put_off(self, data: bytes) -> None:
        if self._reads is not None:
            self._reads.pause()
        super()._put_off(data)

    def _read_terms(self, message: Message) -> None:
        """Does nothing: bodies of any size are buffered."""

    def _begin(self, message: Message) -> None:
        self._active = message
        self._asked = True
        self._listener.move(self, None)
        try:
            self._http_server.serve(message)
        except Exception:
            traceback.print_exc(file=sys.stderr)
            message.answer(500)


def _no_route(message: Message) -> Any:
    """Rejects each request; the daemon's request classes are not used here."""
    return 404


async def open_http_server(
    address: Address,
    serve: Callable[[Message], None],
    hangup: Callable[[Message], None] | None = None,
    max_connections: int = MAX_CONNECTIONS,
    read_clock: ReadTimes | None = None,
    listening: socket.socket | None = None,
) -> HttpServer:
    """Starts an HTTP server that calls `serve` for each request and `hangup` when a client disconnects.

    With `read_clock` each request tells after which time it was sent. `listening` is a socket that listens at
    the address already, if there is one.
    """
    loop = asyncio.get_running_loop()
    server = HttpServer(serve, hangup or (lambda message: None), read_clock)
    server.listener = Listener(
        lambda listener: HttpConnection(listener, loop, server), max_connections, max_connections
    )
    server.listener.on_backlog = server.on_backlog
    await server.listener.start(loop, address.host, address.port, listening)
    server.listener.accept(True)
    server.on_backlog(False)
    return server
