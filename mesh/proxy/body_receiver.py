"""Receives large bodies of calls for the local server in chunks, as fast as the network link permits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from mesh.proxy.chunked_transfer import ReceiveWindow
from mesh.proxy.context import ProxyContext
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import BodyChunk, BodyDropped, Call, SendBody

CallId = tuple[PeerConnection | None, int]
"""The connection that a call came from, None for calls of this sidecar, and its number there."""
LINK_BYTES_PER_MBIT = 125_000


@dataclass(slots=True, eq=False)
class IncomingBody:
    """A call whose body is being received."""

    call: Call
    started_at: float  # by the time of the event loop
    received_at: float  # of the call, by the monotonic clock
    chunks: list[bytes] = field(default_factory=list)

    @property
    def received(self) -> int:
        """Number of bytes received so far."""
        return sum(map(len, self.chunks))


class BodyReceiver:
    """All bodies that one sidecar is receiving.

    `on_complete` is called with each call whose body is complete, `on_reject` with each whose body can't
    arrive in time.
    """

    def __init__(
        self,
        context: ProxyContext,
        on_complete: Callable[[PeerConnection, int, Call], None],
        on_reject: Callable[[PeerConnection, int, Call], None],
    ) -> None:
        self._context, self._on_complete, self._on_reject = context, on_complete, on_reject
        self.receive_window: ReceiveWindow[CallId] = ReceiveWindow(
            context.settings.link_mbps * LINK_BYTES_PER_MBIT
        )
        self.bodies: dict[CallId, IncomingBody] = {}

    def expected_transfer_s(self, size: int) -> float:
        """Returns the expected transfer time of a body; 0 for one that is sent within its call."""
        return (
            self.receive_window.expected_transfer_s(size) if size > self.receive_window.inline_limit else 0.0
        )

    def fetch(self, connection: PeerConnection, number: int, call: Call, timeout_s: float) -> None:
        """Requests the body of a call, or rejects the call if the body can't arrive within `timeout_s`.

        On an overloaded link all bodies would be late otherwise, and a call that is rejected at once has not
        used the link yet.
        """
        now, call_id = self._context.now(), (connection, number)
        if self.receive_window.expected_transfer_s(call.size) > timeout_s:
            self._on_reject(connection, number, call)
            return
        self.bodies[call_id] = IncomingBody(call, now, self._context.monotonic())
        self._context.open_calls += 1
        self.receive_window.add(now, call_id, call.size)
        self._context.loop.call_later(timeout_s, self.expire, call_id)
        self._context.loop.call_later(call.remaining_s, self.expire, call_id, True)
        self._send_grants()

    def expire(self, call_id: CallId, final: bool = False) -> None:
        """Rejects a call whose body is less than half complete in time because smaller ones went first.

        With `final` it is rejected in any case, as its sender keeps the body until it gets a response.
        """
        body = self.bodies.get(call_id)
        if body is not None and (final or body.received < body.call.size / 2):
            self.drop(call_id)
            connection, number = call_id
            if connection is not None:
                self._on_reject(connection, number, body.call)

    def _send_grants(self) -> None:
        """Permits senders to send as much as the link can take."""
        for (connection, number), end_offset in self.receive_window.grants(self._context.now()).items():
            if connection is not None:
                connection.send(SendBody(number, end_offset))

    def on_chunk(self, connection: PeerConnection, message: BodyChunk) -> None:
        """Handles a chunk of a body."""
        call_id, now = (connection, message.number), self._context.now()
        body = self.bodies.get(call_id)
        if body is None:
            return
        body.chunks.append(message.data)
        if not self.receive_window.on_received(now, call_id, len(message.data)):
            self._send_grants()
            return
        self.drop(call_id)
        elapsed_s, call = now - body.started_at, body.call
        complete_call = msgspec.structs.replace(
            call,
            body=b"".join(body.chunks),
            remaining_s=call.remaining_s - elapsed_s,
            target_s=call.target_s - elapsed_s,
            size=0,
            age_s=None if call.age_s is None else call.age_s + self._context.monotonic() - body.received_at,
        )
        self._on_complete(connection, message.number, complete_call)

    def on_dropped(self, connection: PeerConnection, message: BodyDropped) -> None:
        """Handles the abandonment of a body by its sender."""
        self.drop((connection, message.number))

    def drop(self, call_id: CallId) -> bool:
        """Forgets a body that is complete or no longer wanted; returns whether it was being received."""
        if self.bodies.pop(call_id, None) is None:
            return False
        self._context.open_calls -= 1
        self.receive_window.drop(call_id)
        self._send_grants()
        return True

    def on_connection_lost(self, connection: PeerConnection) -> None:
        """Handles the loss of the connection to a sender."""
        for call_id in [call_id for call_id in self.bodies if call_id[0] is connection]:
            self.drop(call_id)
