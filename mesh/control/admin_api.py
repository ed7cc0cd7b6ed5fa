"""The admin API on the control address: configuration changes, readiness, status (docs/api/mesh.json)."""

from __future__ import annotations

import json

from hollyport.http.message import Message
from mesh.control.agreement import ROUND_TIMEOUT_S, Agreement
from mesh.control.context import Context
from mesh.control.heartbeats import Heartbeats
from mesh.errors import ERROR_RESPONSES, ErrorKind
from mesh.figures import LabelledCounter
from mesh.state import configuration
from mesh.transport.memory_account import MemoryAccount, decoded_json_bytes

REQUEST_TIMEOUT_S = 0.9  # every configuration request is answered within this time
JSON_HEADERS = [(b"Content-Type", b"application/json")]
RETRY_AFTER_S = b"0.1"
ACKNOWLEDGED = "acknowledged"


class AdminApi:
    """The admin API of one controller."""

    def __init__(
        self, context: Context, agreement: Agreement, heartbeats: Heartbeats, account: MemoryAccount
    ) -> None:
        self._account = account
        self._context, self._agreement, self._heartbeats = context, agreement, heartbeats
        self.changes = LabelledCounter(
            "mesh_orders", "Operators' changes that were answered, by outcome.", ("outcome",)
        )

    def serve(self, message: Message) -> None:
        """Handles one HTTP request on the control address."""
        path = message.target.partition(b"?")[0]
        if path == b"/-/config" and message.method == b"PATCH":
            self._context.spawn(self._patch(message))
        elif path == b"/-/config" and message.method == b"GET":
            self._context.spawn(self._get(message))
        elif path == b"/-/readiness":
            ready = self._context.member.caught_up and self._heartbeats.in_contact
            message.answer(200 if ready else 503)
        elif path == b"/-/status" and message.method == b"GET":
            message.answer(200, self._status(), JSON_HEADERS)
        else:
            message.answer(ERROR_RESPONSES[ErrorKind.NOT_HERE].status)

    def _refuse_change(self, message: Message, error: ErrorKind, reason: str = "") -> None:
        self.changes.add((error.name.lower(),))
        self._refuse(message, error, reason)

    @staticmethod
    def _refuse(message: Message, error: ErrorKind, reason: str = "") -> None:
        response = ERROR_RESPONSES[error]
        headers = [(b"Retry-After", RETRY_AFTER_S)] if response.not_executed else []
        message.answer(response.status, reason.encode() or response.text, headers)

    def _status(self) -> bytes:
        """Returns the JSON of the status page: the voters and their health, as this controller sees them."""
        context, safety = self._context, self._heartbeats.fault_tolerance
        return json.dumps(
            {
                "in_contact": self._heartbeats.in_contact,
                "counts": context.member.caught_up,
                "epoch": context.voters.epoch,
                "voters": list(context.voters.names),
                "away": self._heartbeats.absent_voters(),
                "copies": safety.copies,
                "losses": safety.losses,
                "losses_wanted": context.settings.losses,
                "items": len(self._agreement.copy.items),
            }
        ).encode()

    async def _patch(self, message: Message) -> None:
        # A change that is invalid on an outdated copy may be valid on the current one, so nothing is
        # validated without contact with a majority.
        if not await self._heartbeats.wait_for_contact(max(0.0, REQUEST_TIMEOUT_S - ROUND_TIMEOUT_S)):
            self._refuse_change(message, ErrorKind.NO_QUORUM)
            return
        if not self._account.fits(decoded_json_bytes(message.pieces())):
            self._refuse_change(message, ErrorKind.REFUSED)
            return
        change = configuration.parse_change(message.whole_body())
        if change.is_error():
            self._refuse_change(message, ErrorKind.INVALID, change.error)
            return
        outcome = await self._agreement.propose_change(change.ok, REQUEST_TIMEOUT_S)
        if outcome.error is not None:
            self._refuse_change(message, outcome.error, outcome.reason)
            return
        self.changes.add((ACKNOWLEDGED,))
        message.answer(200, b"{}", JSON_HEADERS)

    async def _get(self, message: Message) -> None:
        if not await self._agreement.confirm_up_to_date(REQUEST_TIMEOUT_S):
            self._refuse(message, ErrorKind.NO_QUORUM)
            return
        message.answer(200, configuration.to_json(self._agreement.copy.items), JSON_HEADERS)
