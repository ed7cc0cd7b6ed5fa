"""One connection of a client to an HTTP server of the mesh: requests are read whole, within the memory that
the clients of the process may hold together."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Callable
from typing import Any, Protocol

from hollyport.bodies.blocks import BLOCK_BYTES, Blocks
from hollyport.bodies.ledger import Ledger
from hollyport.guests.listener import Listener
from hollyport.http.front import ClientConnection, Refused
from hollyport.http.heads import Headers
from hollyport.http.message import Message
from mesh.transport.client_memory import ClientMemory
from mesh.transport.memory_account import Charge, request_bytes
from mesh.transport.parse_turns import EVENTS_PER_TURN
from mesh.transport.read_clock import PausedReads
from mesh.transport.read_policy import NO_ROOM, ReadState

NO_STREAMED_BODIES = Ledger(0)
"""Bodies are always buffered, never streamed."""
CONNECTION_BYTES = 8 * 1024  # of an open connection: its objects, its parser, its transport
RETRY_AFTER = (b"Retry-After", b"1")


class Server(Protocol):
    """What a connection needs of its server."""

    serve: Callable[[Message], None]
    max_body: int
    max_head: int
    memory: ClientMemory

    def paused_reads(self) -> PausedReads | None:
        """Returns the reads of a connection that is accepted now, which may have waited for that."""


class HttpConnection(ClientConnection):
    """One connection of a client. What it holds is charged to the process's account."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop, server: Server) -> None:
        super().__init__(listener, loop, server, _no_route, {}, NO_STREAMED_BODIES)  # type: ignore[arg-type]
        self._http_server = server
        self._max_body, self._max_head = server.max_body, server.max_head
        self._reads = server.paused_reads()
        self._memory = server.memory
        self._state = ReadState(self)
        # Of the connection, of what waits to be parsed, and of answers that wait to be sent.
        self._charge = self._memory.account.charge()
        self._request_charge: Charge | None = None  # of the request that is being read
        self._head_bytes = 0  # of the request that is being read, and what came with its end
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

    def on_headers_complete(self) -> None:
        self._head_bytes = self._raw
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        self._events += 1
        super().on_body(body)

    def on_message_complete(self) -> None:
        message, charge = self._message, self._request_charge or self._memory.account.charge()
        assert message is not None
        charge.resize(self._request_bytes(message))
        message.charge, self._request_charge = charge, None
        policy = self._memory.policy
        if self._state.is_reading:
            policy.on_request_ended(self._state)
        if self._memory.account.is_overdrawn and not policy.make_room(self._loop.time(), self._state):
            self._error = NO_ROOM
            raise Refused
        super().on_message_complete()

    def _request_bytes(self, message: Message) -> int:
        """Returns what a request costs as far as it has come."""
        body_bytes = self._body.memory_bytes if self._body is not None else 0
        head_bytes = self._raw if self._in_head else self._head_bytes
        return request_bytes(len(message.headers), head_bytes, body_bytes)

    def _keep_body(self, message: Message, body: Blocks) -> None:
        if body.size > BLOCK_BYTES:
            message.blocks = body
        else:
            super()._keep_body(message, body)

    def _read_terms(self, message: Message) -> None:
        """Does nothing: bodies of any size are buffered."""

    def _piece(self) -> int:
        """Returns how much to parse at a time: whatever a body of known length has left begins nothing."""
        message = self._message
        if message is None or message.length is None or self._in_head:
            return super()._piece()
        return max(1, min(message.length - self._size, BLOCK_BYTES))

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
        state.received, state.is_announced = size, message.length is not None
        state.remaining = (self._max_body if message.length is None else message.length) - size
        if not self._memory.policy.on_read(self._loop.time(), state):
            self._memory.on_stopped()

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
        if self._memory.account.is_overdrawn:
            self._memory.policy.on_overdrawn(self._loop.time(), self._state)
        elif self._state.paused_at is None and self._events >= EVENTS_PER_TURN:
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
        return super().patience(since) + self._state.pauses_s(self._loop.time())

    def quiet(self) -> bool:
        """Whether nothing is cut off by closing. What a paused client has sent is part of a request that is
        not whole, so it does not keep its connection from others."""
        return self._state.paused_at is not None or super().quiet()

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
