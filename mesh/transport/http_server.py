"""HTTP servers of the mesh: the daemon's HTTP/1.1 server with buffered bodies and a single handler."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from hollyport.guests.listener import Listener
from hollyport.http.front import MAX_BODY, MAX_HEAD
from hollyport.http.message import Message
from mesh.settings import Address
from mesh.transport.client_memory import ClientMemory
from mesh.transport.http_connection import HttpConnection
from mesh.transport.read_clock import PausedReads, ReadTimes

MAX_CONNECTIONS = 2500


class HttpServer:
    """A listening address with its request handler and limits."""

    listener: Listener

    def __init__(
        self,
        serve: Callable[[Message], None],
        hangup: Callable[[Message], None],
        read_clock: ReadTimes | None = None,
        *,
        memory: ClientMemory,
    ) -> None:
        self.serve, self.hangup, self.read_clock = serve, hangup, read_clock
        self.memory = memory
        self.accepts = PausedReads(read_clock) if read_clock is not None else None
        self.max_body, self.max_head = MAX_BODY, MAX_HEAD  # of future connections

    def update_limits(
        self, max_head: int, max_body: int, head_timeout_s: float, idle_timeout_s: float
    ) -> None:
        """Sets the maximum sizes in bytes, and the timeouts of requests and idle connections."""
        self.max_head, self.max_body = max_head, max_body
        self.memory.allow_bodies_of(max_body)
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


async def open_http_server(
    address: Address,
    serve: Callable[[Message], None],
    hangup: Callable[[Message], None] | None = None,
    max_connections: int = MAX_CONNECTIONS,
    read_clock: ReadTimes | None = None,
    listening: socket.socket | None = None,
    *,
    memory: ClientMemory,
) -> HttpServer:
    """Starts an HTTP server that calls `serve` for each request and `hangup` when a client disconnects.

    With `read_clock` each request tells after which time it was sent. `listening` is a socket that listens at
    the address already, if there is one. `memory` is that of the process, which its addresses share.
    """
    loop = asyncio.get_running_loop()
    server = HttpServer(serve, hangup or (lambda message: None), read_clock, memory=memory)
    server.listener = Listener(
        lambda listener: HttpConnection(listener, loop, server), max_connections, max_connections
    )
    server.listener.on_backlog = server.on_backlog
    await server.listener.start(loop, address.host, address.port, listening)
    server.listener.accept(True)
    server.on_backlog(False)
    return server
