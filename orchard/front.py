"""A front for the mesh's own doors: the sidecar's HTTP/1.1 front, with whole bodies and one handler."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Callable
from typing import Any

from hollyport.bodies.ledger import Ledger
from hollyport.guests.listener import Listener
from hollyport.http.front import ClientConnection
from hollyport.http.message import Message
from orchard.settings import Address

LEDGER = Ledger(0)
MOST = 2500


class Door:
    """What its connections need to know."""

    def __init__(self, serve: Callable[[Message], None], hangup: Callable[[Message], None]) -> None:
        self.serve, self.hangup = serve, hangup


class Caller(ClientConnection):
    """One connection of whoever calls."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop, door: Door) -> None:
        super().__init__(listener, loop, door, _nothing, {}, LEDGER)  # type: ignore[arg-type]
        self._door = door

    def _read_terms(self, message: Message) -> None:
        """Bodies of any size are read whole."""

    def _begin(self, message: Message) -> None:
        self._active = message
        self._asked = True
        self._listener.move(self, None)
        try:
            self._door.serve(message)
        except Exception:
            traceback.print_exc(file=sys.stderr)
            message.answer(500)


def _nothing(message: Message) -> Any:
    return 404


async def open_door(
    address: Address, serve: Callable[[Message], None], hangup: Callable[[Message], None] | None = None,
    most: int = MOST,
) -> Listener:
    """Listen at an address."""
    loop = asyncio.get_running_loop()
    door = Door(serve, hangup or (lambda message: None))
    listener = Listener(lambda house: Caller(house, loop, door), most, most)
    await listener.start(loop, address.host, address.port)
    return listener
