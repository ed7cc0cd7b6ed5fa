"""Large bodies of calls for the server beside this sidecar: fetched in chunks, as its link can take them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from mesh.proxy.chunked_transfer import Intake
from mesh.proxy.context import ProxyContext
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import BodyChunk, BodyDropped, Call, SendBody

CallId = tuple[PeerConnection | None, int]
"""Who sent a call, and its number there; None: it began here."""
LINK_BYTES_PER_MBIT = 125_000


@dataclass(slots=True, eq=False)
class IncomingBody:
    """A call whose body is being fetched."""

    call: Call
    began: float
    chunks: list[bytes] = field(default_factory=list)

    @property
    def received(self) -> int:
        """Bytes of it that are here."""
        return sum(map(len, self.chunks))


class BodyReceiver:
    """All bodies that are on their way to one sidecar.

    `complete` is called with a call whose body is whole; `give_back` with one that can't be here in time.
    """

    def __init__(
        self,
        context: ProxyContext,
        complete: Callable[[PeerConnection, int, Call], None],
        give_back: Callable[[PeerConnection, int, Call], None],
    ) -> None:
        self._context, self._complete, self._give_back = context, complete, give_back
        self.receive_window: Intake[CallId] = Intake(context.settings.link_mbps * LINK_BYTES_PER_MBIT)
        self.bodies: dict[CallId, IncomingBody] = {}

    def way_s(self, size: int) -> float:
        """Seconds until a body of this size would be here, about; 0 for one that goes with its call."""
        return self.receive_window.wait(size) if size > self.receive_window.inline_limit else 0.0

    def fetch(self, link: PeerConnection, number: int, call: Call, limit_s: float) -> None:
        """Have a body sent. One that can't be here within `limit_s` is given back at once: where more comes
        than the link carries all would else be late, and what is given back has cost the link nothing yet."""
        now, call_id = self._context.now(), (link, number)
        if self.receive_window.wait(call.size) > limit_s:
            self._give_back(link, number, call)
            return
        self.bodies[call_id] = IncomingBody(call, now)
        self._context.open_calls += 1
        self.receive_window.add(now, call_id, call.size)
        self._context.loop.call_later(limit_s, self.expire, call_id)
        self._context.loop.call_later(call.remaining_s, self.expire, call_id, True)
        self._grant()

    def expire(self, call_id: CallId, at_last: bool = False) -> None:
        """A body of which little is here though its time is up: smaller ones have gone before it. At last it
        is given back whatever is here: its sender keeps it until it is told."""
        body = self.bodies.get(call_id)
        if body is not None and (at_last or body.received < body.call.size / 2):
            self.drop(call_id)
            link, number = call_id
            if link is not None:
                self._give_back(link, number, body.call)

    def _grant(self) -> None:
        """Have senders send what the link can take."""
        for (link, number), upto in self.receive_window.grants(self._context.now()).items():
            if link is not None:
                link.send(SendBody(number, upto))

    def on_chunk(self, link: PeerConnection, told: BodyChunk) -> None:
        """A part of a body."""
        call_id, now = (link, told.number), self._context.now()
        body = self.bodies.get(call_id)
        if body is None:
            return
        body.chunks.append(told.data)
        if not self.receive_window.got(now, call_id, len(told.data)):
            self._grant()
            return
        self.drop(call_id)
        took_s, call = now - body.began, body.call
        whole = msgspec.structs.replace(
            call,
            body=b"".join(body.chunks),
            remaining_s=call.remaining_s - took_s,
            target_s=call.target_s - took_s,
            size=0,
        )
        self._complete(link, told.number, whole)

    def on_dropped(self, link: PeerConnection, told: BodyDropped) -> None:
        """The sender of a body gives it up."""
        self.drop((link, told.number))

    def drop(self, call_id: CallId) -> bool:
        """A body is whole, or will never be; whether it was on its way."""
        if self.bodies.pop(call_id, None) is None:
            return False
        self._context.open_calls -= 1
        self.receive_window.drop(call_id)
        self._grant()
        return True

    def on_connection_lost(self, link: PeerConnection) -> None:
        """The connection to a sender has ended."""
        for call_id in [call_id for call_id in self.bodies if call_id[0] is link]:
            self.drop(call_id)
