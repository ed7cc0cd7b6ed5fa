"""Connections: held TCP connections between the system's processes, carrying cbor2 messages.

A message is a list that begins with its kind. It goes as four bytes of length and the encoding. Whoever has
heard nothing for a while asks; one that stays silent is given up, also where a cut says nothing (RFC 5482 for
TCP_USER_TIMEOUT, where the kernel has it).
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Iterator
from typing import Any, cast

import cbor2
from loguru import logger

from mesh.figures import OTHER, Figure, FigureKind, Labels
from mesh.settings import Address
from mesh.transport.messages import KINDS, Message, Ping, Pong, decode, encode

MOST = 80 << 20  # bytes of one message
ASK_S = 1.0  # after so long a silence the other side is asked
DEAD_S = 2.4  # and after so long it is given up
IDLE_PING_INTERVAL_S = (
    8.0  # the same for one of many on which nothing is waited for: asking would cost more than it tells
)
DIAL_S = 0.8
FIRST_PAUSE_S, LAST_PAUSE_S = 0.05, 0.8

MessageHandler = Callable[["PeerConnection", Message], None]

LENGTH_BYTES = 4
WIDE_KIND = 24  # CBOR writes a whole number from here on behind a byte of its own


class Traffic:
    """Bytes between this process and others of the mesh, by kind of message."""

    def __init__(self) -> None:
        self._sent: dict[int, int] = {}  # by number of the kind
        self._received: dict[int, int] = {}

    def sent(self, packed: bytes) -> None:
        """A message goes out."""
        kind = _kind_number(packed, LENGTH_BYTES)
        self._sent[kind] = self._sent.get(kind, 0) + len(packed)

    def received(self, data: bytes) -> None:
        """A message has come, without its length."""
        kind = _kind_number(data, 0)
        self._received[kind] = self._received.get(kind, 0) + len(data) + LENGTH_BYTES

    def metrics(self) -> Iterator[Figure]:
        """All families."""
        values: dict[Labels, float] = {
            (direction, KINDS[kind].__name__ if kind in KINDS else OTHER): float(size)
            for direction, counts in (("sent", self._sent), ("received", self._received))
            for kind, size in counts.items()
        }
        yield Figure(
            "mesh_peer_bytes",
            "Bytes to and from other processes of the mesh.",
            FigureKind.COUNTER,
            values,
            ("direction", "kind"),
        )


def _kind_number(data: bytes, at: int) -> int:
    """The number that an encoded message begins with, behind the head of its array; -1 for none."""
    if len(data) < at + 3:
        return -1
    first = data[at + 1]
    return first if first < WIDE_KIND else data[at + 2]


traffic = Traffic()
"""Of this process."""


class PeerConnection(asyncio.Protocol):
    """One connection, either end."""

    def __init__(
        self,
        heard: MessageHandler,
        up: Callable[[PeerConnection], None],
        down: Callable[[PeerConnection], None],
        ask_s: float = ASK_S,
    ) -> None:
        self._heard, self._up, self._down = heard, up, down
        self._ask_s = ask_s
        self._waits = 0  # answers that are waited for
        self._since = 0.0  # since when
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._rest = bytearray()
        self._out: list[bytes] = []
        self._due = False
        self._at = 0.0  # when something was heard last
        self._timer: asyncio.TimerHandle | None = None
        self.open = False
        self.peer: Any = None  # for the owner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if hasattr(socket, "TCP_USER_TIMEOUT"):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(DEAD_S * 1000))
        self.open = True
        self._at = self._loop.time()
        self._timer = self._loop.call_later(self._ask_s, self._watch)
        self._up(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._close()

    def _close(self) -> None:
        if not self.open:
            return
        self.open = False
        if self._timer is not None:
            self._timer.cancel()
        self._out = []
        self._down(self)

    def abort(self) -> None:
        """Close at once; what is on its way is lost."""
        if self._transport is not None:
            self._transport.abort()
        self._close()

    @property
    def last_received_at(self) -> float:
        """When anything was heard last, by the loop's clock."""
        return self._at

    def expect_answers(self, more: int) -> None:
        """So many more answers are waited for here: while any is, the other side is asked as often as usual.

        A sidecar has a connection to each other one, and asking on all of them each second, whether anything
        is under way or not, grows with the fleet; who is silent there is told by the hedge as well.
        """
        self._waits += more
        if self._waits == more == 1 and self._ask_s > ASK_S and self._timer is not None:
            self._since = self._loop.time()
            self._timer.cancel()
            self._timer = self._loop.call_later(ASK_S, self._watch)

    def _watch(self) -> None:
        quiet = self._loop.time() - max(self._at, self._since)
        ask_s = ASK_S if self._waits else self._ask_s
        if quiet >= ask_s * DEAD_S / ASK_S:
            self.abort()
            return
        if quiet >= ask_s * 0.95:
            self.send(Ping())
        self._timer = self._loop.call_later(ask_s, self._watch)

    def data_received(self, data: bytes) -> None:
        self._at = self._loop.time()
        rest = self._rest
        rest += data
        at, size = 0, len(rest)
        while size - at >= 4:
            length = int.from_bytes(rest[at : at + 4], "big")
            if length > MOST:
                self.abort()
                return
            if size - at - 4 < length:
                break
            encoded = bytes(rest[at + 4 : at + 4 + length])
            traffic.received(encoded)
            try:
                message = decode(cbor2.loads(encoded))
            except Exception:
                logger.warning("a message that can't be read; the connection is closed")
                self.abort()
                return
            at += 4 + length
            self._take(message)
            if not self.open:
                return
        if at:
            del rest[:at]

    def _take(self, message: Message | None) -> None:
        """One message; None: of a kind that only newer versions know."""
        if isinstance(message, Ping):
            self.send(Pong())
        elif message is not None and not isinstance(message, Pong):
            try:
                self._heard(self, message)
            except Exception:
                logger.exception("a message could not be handled")

    def send(self, message: Message) -> None:
        """Write a message; what is sent to a closed connection is lost, which its owner has been told."""
        self.send_packed(pack(message))

    def send_packed(self, packed: bytes) -> None:
        """The same for one that is packed already. What is written in one turn goes out together."""
        if not self.open:
            return
        traffic.sent(packed)
        self._out.append(packed)
        if not self._due:
            self._due = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._due = False
        out, self._out = self._out, []
        if self._transport is not None and out and not self._transport.is_closing():
            self._transport.write(out[0] if len(out) == 1 else b"".join(out))

    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0


def pack(message: Message) -> bytes:
    """A message as it goes over a connection: four bytes of length, and its encoding."""
    data = cbor2.dumps(encode(message))
    return len(data).to_bytes(4, "big") + data


class Dialer:
    """Keeps one connection to an address, opened again whenever it has ended."""

    def __init__(
        self,
        address: Address,
        heard: MessageHandler,
        up: Callable[[PeerConnection], None],
        down: Callable[[PeerConnection], None],
        ask_s: float = ASK_S,
    ) -> None:
        self.address, self._ask_s = address, ask_s
        self._heard, self._on_up, self._on_down = heard, up, down
        self.connection: PeerConnection | None = None
        self._again = asyncio.Event()
        self._hurried = asyncio.Event()
        self._stopped = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Keep it no more."""
        self._stopped = True
        self._task.cancel()
        if self.connection is not None:
            self.connection.abort()

    def retry_now(self) -> None:
        """The other side is there, as it has just said: don't wait for the next try."""
        self._hurried.set()

    def _up(self, connection: PeerConnection) -> None:
        self.connection = connection
        self._on_up(connection)

    def _down(self, connection: PeerConnection) -> None:
        if self.connection is connection:
            self.connection = None
        self._again.set()
        self._on_down(connection)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE_S
        while not self._stopped:
            self._again.clear()
            try:
                async with asyncio.timeout(DIAL_S):
                    await loop.create_connection(
                        lambda: PeerConnection(self._heard, self._up, self._down, self._ask_s), *self.address
                    )
            except (OSError, TimeoutError):
                pass
            else:
                began = loop.time()
                await self._again.wait()
                if loop.time() - began > LAST_PAUSE_S:
                    pause = FIRST_PAUSE_S
            self._hurried.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._hurried.wait(), pause * (0.75 + random.random() / 2))
            pause = min(2 * pause, LAST_PAUSE_S)


async def listen(
    address: Address,
    heard: MessageHandler,
    up: Callable[[PeerConnection], None],
    down: Callable[[PeerConnection], None],
    ask_s: float = ASK_S,
) -> asyncio.Server:
    """Take connections that others dial."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: PeerConnection(heard, up, down, ask_s), address.host, address.port, backlog=512
    )
