"""HTTP servers of the mesh: the daemon's HTTP/1.1 server with buffered bodies and a single handler."""

from __future__ import annotations

import asyncio
import socket
import sys
import traceback
from collections.abc import Callable
from typing import Any

from hollyport.bodies.blocks import BLOCK_BYTES, Blocks
from hollyport.bodies.ledger import Ledger
from hollyport.guests.listener import Listener
from hollyport.http.front import MAX_BODY, MAX_HEAD, ClientConnection, Refused
from hollyport.http.heads import Headers
from hollyport.http.message import Message
from mesh.settings import Address
from mesh.transport.client_memory import ClientMemory
from mesh.transport.memory_account import Charge, request_bytes
from mesh.transport.parse_turns import EVENTS_PER_TURN
from mesh.transport.read_clock import PausedReads, ReadTimes
from mesh.transport.read_policy import NO_ROOM, ReadState

NO_STREAMED_BODIES = Ledger(0)
"""Bodies are always buffered, never streamed."""
MAX_CONNECTIONS = 2500
CONNECTION_BYTES = 8 * 1024  # of an open connection: its objects, its parser, its transport
RETRY_AFTER = (b"Retry-After", b"1")


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


class HttpConnection(ClientConnection):
    """One connection of a client. What it holds is charged to the process's account."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop, server: HttpServer) -> None:
        super().__init__(listener, loop, server, _no_route, {}, NO_STREAMED_BODIES)  # type: ignore[arg-type]
        self._http_server = server
        self._max_body, self._max_head = server.max_body, server.max_head
        self._reads = server.paused_reads()
        self._memory = server.memory
        self._state = ReadState(self)
        self._charge = (
            self._memory.account.charge()
        )  # of the connection, and of what waits to be parsed or sent
        self._request_charge: Charge | None = None  # of the request that is being read
        self._events = 0  # of the parser, in this turn

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=0)  # whatever the kernel doesn't take shows at once
        self._update_charge()
        if self._reads is not None:
            self._reads.resume()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self._held_back:
            self._update_charge()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._memory.policy.on_closed(self._state)
        self._charge.release()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._update_unsent()

    def resume_writing(self) -> None:
        self._update_unsent()
        super().resume_writing()

    def _update_unsent(self) -> None:
        size = self.unsent_bytes()
        self._update_charge()
        self._memory.policy.on_unsent(self._loop.time(), self._state, size)

    def _update_charge(self) -> None:
        self._charge.resize(CONNECTION_BYTES + len(self._rest) + self.unsent_bytes())

    # --- parsing

    def on_message_begin(self) -> None:
        super().on_message_begin()
        if self._reads is not None and self._message is not None:
            self._message.sent_after = self._reads.received_after()

    def on_body(self, body: bytes) -> None:
        self._events += 1
        super().on_body(body)

    def on_message_complete(self) -> None:
        message, charge = self._message, self._request_charge or self._memory.account.charge()
        assert message is not None
        charge.resize(self._request_bytes(message))
        message.charge, self._request_charge = charge, None
        self._memory.policy.on_request_ended(self._state)
        if not self._memory.policy.make_room(self._loop.time(), self._state):
            self._error = NO_ROOM
            raise Refused
        super().on_message_complete()

    def _request_bytes(self, message: Message) -> int:
        """Returns what a request costs as far as it has come."""
        body_bytes = self._body.memory_bytes if self._body is not None else 0
        return request_bytes(len(message.headers), min(self._raw, self._max_head), body_bytes)

    def _keep_body(self, message: Message, body: Blocks) -> None:
        if body.size > BLOCK_BYTES:
            message.blocks = body
        else:
            super()._keep_body(message, body)

    def _read_terms(self, message: Message) -> None:
        """Does nothing: bodies of any size are buffered."""

    def _parse(self, piece: bytes) -> None:
        super()._parse(piece)
        if self._deaf:
            self._give_back()
        elif self._message is not None:
            self._account_for_reading(self._message)

    def _account_for_reading(self, message: Message) -> None:
        """Charges an incomplete request, and pauses or refuses it if there is no room for more."""
        if self._request_charge is None:
            self._request_charge = self._memory.account.charge()
        self._request_charge.resize(self._request_bytes(message))
        state, size = self._state, self._size
        state.is_body = size > BLOCK_BYTES
        state.received = size
        state.remaining = (self._max_body if message.length is None else message.length) - size
        if not self._memory.policy.on_read(self._loop.time(), state) and not self._deaf:
            self._memory.watch_waiting()

    # --- pauses

    def _feed(self, data: bytes) -> None:
        if self._reads is not None:
            self._reads.resume()
        self._events = 0
        super()._feed(data)
        if self._deaf:
            return
        if self._state.paused_at is not None and not self._held_back:
            self._put_off(b"")
        if self._held_back and self._active is None:
            self._listener.move(self, self._place())

    def _enough(self) -> bool:
        if self._state.paused_at is not None or self._events >= EVENTS_PER_TURN:
            return True
        return super()._enough() or (self._active is not None and not self._memory.policy.is_calm)

    def _put_off(self, data: bytes) -> None:
        if self._reads is not None:
            self._reads.pause()
        super()._put_off(data)
        self._update_charge()
        if self._state.paused_at is None and self._events >= EVENTS_PER_TURN:
            self._memory.turns.enqueue(self)

    def _next(self) -> None:
        if self._waiting or self._state.paused_at is None:
            super()._next()

    def parse_on(self) -> int:
        """Parses what was put off (mesh.transport.parse_turns.Parsing)."""
        self._events = 0
        if self._held_back and not self._deaf and self._transport is not None and not self._enough():
            rest, self._rest, self._held_back = self._rest, b"", False
            self._update_charge()
            self._transport.resume_reading()
            self._feed(rest)
        return self._events

    def patience(self, since: float) -> float:
        return super().patience(since) + self._state.paused_s

    # --- mesh.transport.read_policy.Reader

    def resume(self) -> None:
        """Reads on after a pause."""
        self._memory.turns.enqueue(self)

    def refuse(self, status: int) -> None:
        """Refuses the incomplete request; a request before it is answered first."""
        if self._deaf:
            return
        self._error, self._deaf = status, True
        if self._active is None:
            self._reject()
        else:
            self._let_go()

    def drop(self) -> None:
        """Closes the connection of a client that doesn't take its answers."""
        self._charge.release()
        self.abort()

    def unsent_bytes(self) -> int:
        """Returns how much of its answers the client has not taken."""
        return self.unsent()

    def _error_headers(self) -> Headers:
        return [RETRY_AFTER] if self._error == NO_ROOM else []

    def _leave(self) -> None:
        super()._leave()
        self._give_back()

    def _let_go(self) -> None:
        super()._let_go()
        self._give_back()

    def _give_back(self) -> None:
        """Drops what is being read and what waits to be parsed."""
        self._message, self._body, self._rest, self._held_back = None, None, b"", False
        self._request_charge = None
        self._memory.policy.on_request_ended(self._state)
        self._update_charge()

    # --- requests

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
