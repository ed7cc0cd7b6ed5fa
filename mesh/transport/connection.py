"""Persistent TCP connections between the processes of the mesh.

A frame is a four-byte big-endian length followed by a CBOR-encoded message. Each end pings a peer that has
been silent for a while, and closes the connection if it stays silent. This also detects a network partition,
in which no reset arrives. Where the kernel supports it, TCP_USER_TIMEOUT (RFC 5482) limits the time that sent
data may remain unacknowledged.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any, cast

import cbor2
from loguru import logger

from mesh.figures import OTHER_LABEL, Labels, MetricFamily, MetricKind
from mesh.settings import Address
from mesh.transport.messages import KINDS, Message, Ping, Pong, decode, encode
from mesh.transport.peer_clock import PeerClock

MAX_MESSAGE_BYTES = 80 << 20
PING_INTERVAL_S = 1.0  # silence after which the peer is pinged
PEER_TIMEOUT_S = 2.4  # silence after which the connection is closed
IDLE_PING_INTERVAL_S = 8.0
"""Ping interval of connections that are many and mostly idle, where frequent pings would cost too much."""
CONNECT_TIMEOUT_S = 0.8
MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.05, 0.8

MessageHandler = Callable[["PeerConnection", Message], None]

LENGTH_BYTES = 4
TWO_BYTE_KIND = 24  # CBOR encodes integers from here on in more than one byte


class Traffic:
    """Counts bytes exchanged with other processes of the mesh, by kind of message."""

    def __init__(self) -> None:
        self._sent: dict[int, int] = {}  # by tag
        self._received: dict[int, int] = {}

    def sent(self, packed: bytes) -> None:
        """Counts an outgoing frame."""
        kind = _tag_of(packed, LENGTH_BYTES)
        self._sent[kind] = self._sent.get(kind, 0) + len(packed)

    def received(self, data: bytes) -> None:
        """Counts an incoming message; `data` excludes the length prefix."""
        kind = _tag_of(data, 0)
        self._received[kind] = self._received.get(kind, 0) + len(data) + LENGTH_BYTES

    def metrics(self) -> Iterator[MetricFamily]:
        """Returns the metric families."""
        values: dict[Labels, float] = {
            (direction, KINDS[kind].__name__ if kind in KINDS else OTHER_LABEL): float(size)
            for direction, counts in (("sent", self._sent), ("received", self._received))
            for kind, size in counts.items()
        }
        yield MetricFamily(
            "mesh_peer_bytes",
            "Bytes to and from other processes of the mesh.",
            MetricKind.COUNTER,
            values,
            ("direction", "kind"),
        )


def _tag_of(data: bytes, offset: int) -> int:
    """Returns the tag of the encoded message at an offset, which follows the array header, or -1 for none."""
    if len(data) < offset + 3:
        return -1
    first = data[offset + 1]
    return first if first < TWO_BYTE_KIND else data[offset + 2]


traffic = Traffic()
"""The traffic of this process."""


class PeerConnection(asyncio.Protocol):
    """One connection to another process of the mesh, for either end.

    `on_message` is called with each message; `on_connect` and `on_disconnect` are called when the connection
    opens and closes.
    """

    def __init__(
        self,
        on_message: MessageHandler,
        on_connect: Callable[[PeerConnection], None],
        on_disconnect: Callable[[PeerConnection], None],
        ping_interval_s: float = PING_INTERVAL_S,
    ) -> None:
        self._on_message, self._on_connect, self._on_disconnect = on_message, on_connect, on_disconnect
        self._ping_interval_s = ping_interval_s
        self._expected_answers = 0
        self._expecting_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._outgoing: list[bytes] = []
        self._flush_scheduled = False
        self._last_received_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.open = False
        self.peer: Any = None  # identifies the peer; set by the owner
        self.opened_after = -math.inf  # by the monotonic clock, where the owner knows it
        self._peer_clock = PeerClock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if hasattr(socket, "TCP_USER_TIMEOUT"):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(PEER_TIMEOUT_S * 1000))
        self.open = True
        self._last_received_at = self._loop.time()
        self._timer = self._loop.call_later(self._ping_interval_s, self._check_alive)
        self._on_connect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._close()

    def _close(self) -> None:
        if not self.open:
            return
        self.open = False
        if self._timer is not None:
            self._timer.cancel()
        self._outgoing = []
        self._on_disconnect(self)

    def abort(self) -> None:
        """Closes the connection at once; data in transit is lost."""
        if self._transport is not None:
            self._transport.abort()
        self._close()

    @property
    def last_received_at(self) -> float:
        """Time of the event loop at which data was last received."""
        return self._last_received_at

    def expect_answers(self, count: int) -> None:
        """Adds to the number of awaited responses; while it is not zero, the usual ping interval applies.

        A sidecar has connections to many others. Pinging on all of them every second, whether or not a call
        is in flight, would cost more as the fleet grows, and hedging also detects a silent peer.
        """
        self._expected_answers += count
        if (
            self._expected_answers == count == 1
            and self._ping_interval_s > PING_INTERVAL_S
            and self._timer is not None
        ):
            self._expecting_since = self._loop.time()
            self._timer.cancel()
            self._timer = self._loop.call_later(PING_INTERVAL_S, self._check_alive)

    def _check_alive(self) -> None:
        silence_s = self._loop.time() - max(self._last_received_at, self._expecting_since)
        ping_interval_s = PING_INTERVAL_S if self._expected_answers else self._ping_interval_s
        if silence_s >= ping_interval_s * PEER_TIMEOUT_S / PING_INTERVAL_S:
            self.abort()
            return
        if silence_s >= ping_interval_s * 0.95 or self._peer_clock.needs_timestamp(time.monotonic()):
            self.send_timestamp()
        self._timer = self._loop.call_later(ping_interval_s, self._check_alive)

    def data_received(self, data: bytes) -> None:
        self._last_received_at = self._loop.time()
        buffer = self._buffer
        buffer += data
        offset, size = 0, len(buffer)
        while size - offset >= 4:
            length = int.from_bytes(buffer[offset : offset + 4], "big")
            if length > MAX_MESSAGE_BYTES:
                self.abort()
                return
            if size - offset - 4 < length:
                break
            encoded = bytes(buffer[offset + 4 : offset + 4 + length])
            traffic.received(encoded)
            try:
                message = decode(cbor2.loads(encoded))
            except Exception:
                logger.warning("received an invalid message; closing the connection")
                self.abort()
                return
            offset += 4 + length
            self._dispatch(message)
            if not self.open:
                return
        if offset:
            del buffer[:offset]

    def _dispatch(self, message: Message | None) -> None:
        """Handles one message; None stands for a message kind of a newer version."""
        if isinstance(message, Ping | Pong):
            if message.sent_at is not None:
                self._peer_clock.on_timestamp(time.monotonic(), message.sent_at)
            if isinstance(message, Ping):
                self.send(Pong(time.monotonic()))
        elif message is not None:
            try:
                self._on_message(self, message)
            except Exception:
                logger.exception("error while handling a message")

    def send(self, message: Message) -> None:
        """Sends a message. On a closed connection it is dropped; `on_disconnect` has been called by then."""
        self.send_packed(pack(message))

    def send_packed(self, packed: bytes) -> None:
        """Sends a frame made by `pack`. Frames of one iteration of the event loop are written together."""
        if not self.open:
            return
        traffic.sent(packed)
        self._outgoing.append(packed)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        frames, self._outgoing = self._outgoing, []
        if self._transport is not None and frames and not self._transport.is_closing():
            self._transport.write(frames[0] if len(frames) == 1 else b"".join(frames))

    def send_timestamp(self) -> None:
        """Pings the peer, which thereby learns this process's clock, and answers with its own."""
        self.send(Ping(time.monotonic()))

    def earliest_peer_time(self) -> float | None:
        """Returns a time that the peer's monotonic clock has reached, or None if it has sent no timestamp."""
        return self._peer_clock.earliest(time.monotonic())

    def unsent_bytes(self) -> int:
        """Returns the number of buffered bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0


def pack(message: Message) -> bytes:
    """Returns the frame of a message: a four-byte length and its encoding."""
    data = cbor2.dumps(encode(message))
    return len(data).to_bytes(4, "big") + data


class Dialer:
    """Maintains a connection to an address and reconnects with backoff whenever it closes."""

    def __init__(
        self,
        address: Address,
        on_message: MessageHandler,
        on_connect: Callable[[PeerConnection], None],
        on_disconnect: Callable[[PeerConnection], None],
        ping_interval_s: float = PING_INTERVAL_S,
    ) -> None:
        self.address, self._ping_interval_s = address, ping_interval_s
        self._on_message, self._on_connect, self._on_disconnect = on_message, on_connect, on_disconnect
        self.connection: PeerConnection | None = None
        self._disconnected = asyncio.Event()
        self._retry_requested = asyncio.Event()
        self._stopped = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Closes the connection and stops reconnecting."""
        self._stopped = True
        self._task.cancel()
        if self.connection is not None:
            self.connection.abort()

    def retry_now(self) -> None:
        """Ends the current reconnect delay; called when the peer is known to be reachable."""
        self._retry_requested.set()

    def _handle_connect(self, connection: PeerConnection) -> None:
        self.connection = connection
        self._on_connect(connection)

    def _handle_disconnect(self, connection: PeerConnection) -> None:
        if self.connection is connection:
            self.connection = None
        self._disconnected.set()
        self._on_disconnect(connection)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RECONNECT_DELAY_S
        while not self._stopped:
            self._disconnected.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(
                        lambda: PeerConnection(
                            self._on_message,
                            self._handle_connect,
                            self._handle_disconnect,
                            self._ping_interval_s,
                        ),
                        *self.address,
                    )
            except (OSError, TimeoutError):
                pass
            else:
                connected_at = loop.time()
                await self._disconnected.wait()
                if loop.time() - connected_at > MAX_RECONNECT_DELAY_S:
                    delay_s = MIN_RECONNECT_DELAY_S
            self._retry_requested.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._retry_requested.wait(), delay_s * (0.75 + random.random() / 2))
            delay_s = min(2 * delay_s, MAX_RECONNECT_DELAY_S)


async def listen(
    address: Address,
    on_message: MessageHandler,
    on_connect: Callable[[PeerConnection], None],
    on_disconnect: Callable[[PeerConnection], None],
    ping_interval_s: float = PING_INTERVAL_S,
) -> asyncio.Server:
    """Accepts connections from other processes of the mesh."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: PeerConnection(on_message, on_connect, on_disconnect, ping_interval_s),
        address.host,
        address.port,
        backlog=512,
    )
