"""A front for the mesh's own http_servers: the sidecar's HTTP/1.1 front, with whole bodies and one
handler."""

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

LEDGER = Ledger(0)
MOST = 2500


class HttpServer:
    """A listening address, and what its connections need to know."""

    listener: Listener

    def __init__(self, serve: Callable[[Message], None], hangup: Callable[[Message], None]) -> None:
        self.serve, self.hangup = serve, hangup
        self.max_body, self.max_head = MAX_BODY, MAX_HEAD  # of connections made from now on

    def limit(self, head: int, body: int, head_s: float, idle_s: float) -> None:
        """What a client may send, and how long it may take or stay idle, in bytes and seconds."""
        self.max_head, self.max_body = head, body
        self.listener.patience(head_s, idle_s)


class Caller(ClientConnection):
    """One connection of whoever calls."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop, door: HttpServer) -> None:
        super().__init__(listener, loop, door, _nothing, {}, LEDGER)  # type: ignore[arg-type]
        self._http_server = door
        self._max_body, self._max_head = door.max_body, door.max_head

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


def _nothing(message: Message) -> Any:
    return 404


async def open_http_server(
    address: Address,
    serve: Callable[[Message], None],
    hangup: Callable[[Message], None] | None = None,
    most: int = MOST,
) -> HttpServer:
    """Listen at an address."""
    loop = asyncio.get_running_loop()
    door = HttpServer(serve, hangup or (lambda message: None))
    door.listener = Listener(lambda house: Caller(house, loop, door), most, most)
    await door.listener.start(loop, address.host, address.port)
    return door
