"""Receives large bodies of calls for the local server in chunks, as fast as the network link permits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from hollyport.bodies.blocks import Blocks
from mesh.proxy.chunked_transfer import ReceiveWindow
from mesh.proxy.context import ProxyContext
from mesh.transport.connection import PeerConnection
from mesh.transport.memory_account import Charge
from mesh.transport.messages import BodyChunk, BodyDropped, Call, SendBody


class CallBody(NamedTuple):
    """The whole body of a call, and what accounts for it for as long as it is kept."""

    blocks: Blocks
    charge: object = None


CallId = tuple[PeerConnection | None, int]
"""The connection that a call came from, None for calls of this sidecar, and its number there."""
LINK_BYTES_PER_MBIT = 125_000


@dataclass(slots=True, eq=False)
class IncomingBody:
    """A call whose body is being received."""

    call: Call
    started_at: float  # by the time of the event loop
    received_at: float  # of the call, by the monotonic clock
    charge: Charge  # for the whole body, as its sender holds nothing back
    body: Blocks = field(default_factory=Blocks)  # as far as it has come


class BodyReceiver:
    """All bodies that one sidecar is receiving.

    `on_complete` is called with each call whose body is complete, `on_reject` with each whose body can't
    arrive in time.
    """

    def __init__(
        self,
        context: ProxyContext,
        on_complete: Callable[[PeerConnection, int, Call, CallBody], None],
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
        used the link yet. It is rejected as well if there is no memory for its body.
        """
        now, call_id, window = self._context.now(), (connection, number), self.receive_window
        memory = self._context.memory
        if window.expected_transfer_s(call.size) > timeout_s or not memory.policy.has_room(call.size):
            self._on_reject(connection, number, call)
            return
        charge = memory.account.charge(call.size)
        self.bodies[call_id] = IncomingBody(call, now, self._context.monotonic(), charge)
        self._context.open_calls += 1
        window.add(now, call_id, call.size)
        self._context.loop.call_later(timeout_s, self.expire, call_id)
        self._context.loop.call_later(call.remaining_s, self.expire, call_id, True)
        self._send_grants()

    def expire(self, call_id: CallId, final: bool = False) -> None:
        """Rejects a call whose body is less than half complete in time because smaller ones went first.

        With `final` it is rejected in any case, as its sender keeps the body until it gets a response.
        """
        incoming = self.bodies.get(call_id)
        if incoming is None:
            return
        if final or incoming.body.size < incoming.call.size / 2:
            self.drop(call_id)
            connection, number = call_id
            if connection is not None:
                self._on_reject(connection, number, incoming.call)

    def _send_grants(self) -> None:
        """Permits senders to send as much as the link can take."""
        for (connection, number), end_offset in self.receive_window.grants(self._context.now()).items():
            if connection is not None:
                connection.send(SendBody(number, end_offset))

    def on_chunk(self, connection: PeerConnection, message: BodyChunk) -> None:
        """Handles a chunk of a body."""
        call_id, now = (connection, message.number), self._context.now()
        incoming = self.bodies.get(call_id)
        if incoming is None:
            return
        incoming.body.append(message.data)
        if not self.receive_window.on_received(now, call_id, len(message.data)):
            self._send_grants()
            return
        self.drop(call_id)
        elapsed_s, call = now - incoming.started_at, incoming.call
        waited_s = self._context.monotonic() - incoming.received_at
        is_past_target = elapsed_s >= call.target_s
        complete_call = msgspec.structs.replace(
            call,
            remaining_s=call.remaining_s - elapsed_s,
            # Its target counts anew, as that of a request does whose client has spent it already.
            target_s=call.target_s if is_past_target else call.target_s - elapsed_s,
            past_target=call.past_target or is_past_target,
            size=0,
            age_s=None if call.age_s is None else call.age_s + waited_s,
        )
        self._on_complete(connection, message.number, complete_call, CallBody(incoming.body, incoming.charge))

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
