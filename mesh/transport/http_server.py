"""The mesh's own HTTP addresses: the daemon's HTTP/1.1 front, with whole bodies and one handler."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Callable
from typing import Any

from hollyport.bodies.ledger import Ledger
from hollyport.guests.listener import Listener
from hollyport.http.front import MAX_BODY, MAX_HEAD, ClientConnection
from hollyport.http.message import Message
from mesh.settings import Address

NO_FLOWS = Ledger(0)
"""No body is passed through as it comes."""
MOST_CONNECTIONS = 2500


class HttpServer:
    """A listening address, and what its connections need to know."""

    listener: Listener

    def __init__(self, serve: Callable[[Message], None], hangup: Callable[[Message], None]) -> None:
        self.serve, self.hangup = serve, hangup
        self.max_body, self.max_head = MAX_BODY, MAX_HEAD  # of connections made from now on

    def update_limits(self, head: int, body: int, head_s: float, idle_s: float) -> None:
        """What a client may send, and how long it may take or stay idle, in bytes and seconds."""
        self.max_head, self.max_body = head, body
        self.listener.patience(head_s, idle_s)


class Caller(ClientConnection):
    """One connection of whoever calls."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop, server: HttpServer) -> None:
        super().__init__(listener, loop, server, _no_class, {}, NO_FLOWS)  # type: ignore[arg-type]
        self._http_server = server
        self._max_body, self._max_head = server.max_body, server.max_head

    def _read_terms(self, message: Message) -> None:
        """Bodies of any size are read whole."""

    def _begin(self, message: Message) -> None:
        self._active = message
        self._asked = True
        self._listener.move(self, None)
        try:
            self._http_server.serve(message)
        except Exception:
            traceback.print_exc(file=sys.stderr)
            message.answer(500)


def _no_class(message: Message) -> Any:
    """The daemon's classes of requests: there are none here."""
    return 404


async def open_http_server(
    address: Address,
    serve: Callable[[Message], None],
    hangup: Callable[[Message], None] | None = None,
    most: int = MOST_CONNECTIONS,
) -> HttpServer:
    """Listen at an address."""
    loop = asyncio.get_running_loop()
    server = HttpServer(serve, hangup or (lambda message: None))
    server.listener = Listener(lambda listener: Caller(listener, loop, server), most, most)
    await server.listener.start(loop, address.host, address.port)
    return server
