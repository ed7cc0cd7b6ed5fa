"""The control address: operators' calls, readiness, status (docs/api/mesh.json)."""

from __future__ import annotations

import json

from hollyport.http.message import Message
from mesh.control.agreement import ROUND_TIMEOUT_S, Agreement
from mesh.control.context import Context
from mesh.control.heartbeats import Heartbeats
from mesh.errors import ANSWERS, ErrorKind
from mesh.figures import LabelledCounts
from mesh.state import configuration

ANSWER_S = 0.9  # an operator's call is answered within this
JSON = [(b"Content-Type", b"application/json")]
AGAIN_S = b"0.1"
ACKNOWLEDGED = "acknowledged"


class AdminApi:
    """What one controller answers there."""

    def __init__(self, context: Context, agreement: Agreement, heartbeats: Heartbeats) -> None:
        self._context, self._agreement, self._heartbeats = context, agreement, heartbeats
        self.orders = LabelledCounts(
            "mesh_orders", "Operators' changes that were answered, by outcome.", ("outcome",)
        )

    def serve(self, message: Message) -> None:
        """A call on the control address."""
        path = message.target.partition(b"?")[0]
        if path == b"/-/config" and message.method == b"PATCH":
            self._context.spawn(self._patch(message))
        elif path == b"/-/config" and message.method == b"GET":
            self._context.spawn(self._get(message))
        elif path == b"/-/readiness":
            ready = self._context.member.counts and self._heartbeats.in_contact
            message.answer(200 if ready else 503)
        elif path == b"/-/status" and message.method == b"GET":
            message.answer(200, self._status(), JSON)
        else:
            message.answer(ANSWERS[ErrorKind.NOT_HERE].status)

    def _refuse_change(self, message: Message, error: ErrorKind, why: str = "") -> None:
        self.orders.add((error.name.lower(),))
        self._refuse(message, error, why)

    @staticmethod
    def _refuse(message: Message, error: ErrorKind, why: str = "") -> None:
        kind = ANSWERS[error]
        headers = [(b"Retry-After", AGAIN_S)] if kind.promise else []
        message.answer(kind.status, why.encode() or kind.text, headers)

    def _status(self) -> bytes:
        """What an operator wants to know of the voters, as this controller sees them."""
        context, found = self._context, self._heartbeats.safety
        return json.dumps(
            {
                "in_contact": self._heartbeats.in_contact,
                "counts": context.member.counts,
                "epoch": context.voters.epoch,
                "voters": list(context.voters.names),
                "away": self._heartbeats.away(),
                "copies": found.copies,
                "losses": found.losses,
                "losses_wanted": context.settings.losses,
                "items": len(self._agreement.copy.items),
            }
        ).encode()

    async def _patch(self, message: Message) -> None:
        # What is invalid on old state may be valid on what stands, so nothing is judged before.
        if not await self._heartbeats.found(max(0.0, ANSWER_S - ROUND_TIMEOUT_S)):
            self._refuse_change(message, ErrorKind.NO_QUORUM)
            return
        read = configuration.parse_change(message.body)
        if read.is_error():
            self._refuse_change(message, ErrorKind.INVALID, read.error)
            return
        outcome = await self._agreement.change(read.ok, ANSWER_S)
        if outcome.error is not None:
            self._refuse_change(message, outcome.error, outcome.why)
            return
        self.orders.add((ACKNOWLEDGED,))
        message.answer(200, b"{}", JSON)

    async def _get(self, message: Message) -> None:
        if not await self._agreement.read(ANSWER_S):
            self._refuse(message, ErrorKind.NO_QUORUM)
            return
        message.answer(200, configuration.whole(self._agreement.copy.items), JSON)
