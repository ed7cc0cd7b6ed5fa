"""A controller's responses to sidecars that claim idempotency keys."""

from __future__ import annotations

from typing import Any, NamedTuple

from mesh.control.context import CLAIM_TIMEOUT_S, Context
from mesh.control.heartbeats import Heartbeats
from mesh.state.idempotency import MAX_REQUEST_AGE_S, GrantRow, OperationStatus, Registry, grant_to_row
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import ClaimAnswer, ClaimKey, CurrentVoters, FreeKey, KeyBroken, KeyDone

MAX_PENDING_CLAIMS = 1024
UNAVAILABLE, HELD_BY_OTHER, GRANTED = -1, 0, 1  # outcomes of a claim


class PendingClaim(NamedTuple):
    """A claim that can be answered once a change of voters or a short loss of contact is over."""

    received_at: float
    link: PeerConnection
    request: ClaimKey


class KeyGrants:
    """The grants of one controller. A response is sent only after the grant that it reports is on disk."""

    def __init__(self, context: Context, heartbeats: Heartbeats) -> None:
        self._context, self._heartbeats = context, heartbeats
        self.registry = Registry(context.settings.bound("key_window", 60.0) + MAX_REQUEST_AGE_S)
        self._pending: list[PendingClaim] = []

    # --- disk

    def load(self, record: list[Any]) -> None:
        """Applies one record from disk. Records are loaded oldest first.

        Stored grants carry times of day, as the monotonic clock does not outlast a process.
        """
        now, kind = self._context.wall_time(), record[0]
        if kind == "key":
            key, token, status, claim_ends_at, expires_at, response = record[1]
            self.registry.merge(
                now, [GrantRow(key, token, status, claim_ends_at - now, expires_at - now, response)]
            )
        elif kind == "free":
            self.registry.release(now, record[1], record[2])
        elif kind == "broke":
            self.registry.mark_broken(now, record[1], record[2])

    def records(self) -> list[list[Any]]:
        """Returns the records of all current grants."""
        now = self._context.wall_time()
        return [_record(now, row) for row in self.registry.rows(now)]

    # --- claims

    def on_claim(self, link: PeerConnection, request: ClaimKey) -> None:
        """Grants a key, in the epoch of the claimant.

        A claimant of an older epoch is sent the current voters. While voters change, a claim stays pending
        until it can be answered or its claimant no longer counts the response.
        """
        member = self._context.member
        if member.votes(request.epoch):
            if self._heartbeats.in_contact:
                self._grant(link, request)
            elif self._heartbeats.may_return:
                self._add_pending(link, request)
            else:
                link.send(_unavailable(request))
            return
        voters = self._context.voters
        if request.epoch < voters.epoch:
            link.send(CurrentVoters(voters.epoch, voters.names))
        elif member.ever_caught_up and (request.epoch > voters.epoch or self._context.me in voters.names):
            self._add_pending(link, request)
            return
        link.send(_unavailable(request))

    def _grant(self, link: PeerConnection, request: ClaimKey) -> None:
        now, key, token = self._context.wall_time(), request.key, request.token
        grant, is_new = self.registry.claim(now, key, token, request.remaining_s)
        if grant.token != token or grant.status != OperationStatus.CLAIMED:
            link.send(
                ClaimAnswer(request.claim, HELD_BY_OTHER, grant.token, int(grant.status), grant.response)
            )
            return

        def on_written(ok: bool) -> None:
            if not ok and is_new:
                self.registry.revoke(key, token)
            link.send(
                ClaimAnswer(
                    request.claim, GRANTED if ok else UNAVAILABLE, token, int(OperationStatus.CLAIMED)
                )
            )

        self._context.write(_record(now, grant_to_row(now, key, grant)), on_written)

    def _add_pending(self, link: PeerConnection, request: ClaimKey) -> None:
        self._pending.append(PendingClaim(self._context.loop.time(), link, request))
        del self._pending[:-MAX_PENDING_CLAIMS]

    def retry_pending(self) -> None:
        """Handles the pending claims again, as they may be answered now."""
        if not self._pending:
            return
        retried, self._pending = self._pending, []
        for pending in retried:
            if not pending.link.open or self._context.loop.time() >= pending.received_at + CLAIM_TIMEOUT_S:
                continue
            count = len(self._pending)
            self.on_claim(pending.link, pending.request)
            if len(self._pending) > count:
                self._pending[-1] = pending  # keeps the time at which the claim was received

    # --- ends of operations

    def on_done(self, message: KeyDone) -> None:
        """Stores the response of an operation that has run."""
        now = self._context.wall_time()
        if self.registry.complete(now, message.key, message.token, message.answer):
            self._context.write(_record(now, self.registry.row(now, message.key)))

    def on_broken(self, message: KeyBroken) -> None:
        """Marks the key of an operation that may have run and has no response."""
        self._drop_pending(message.token)
        if self.registry.mark_broken(self._context.wall_time(), message.key, message.token):
            self._context.write(["broke", message.key, message.token])

    def on_free(self, message: FreeKey) -> None:
        """Releases the key of an operation that has not run and will not."""
        self._drop_pending(message.token)
        if self.registry.release(self._context.wall_time(), message.key, message.token):
            self._context.write(["free", message.key, message.token])

    def _drop_pending(self, token: str) -> None:
        self._pending = [pending for pending in self._pending if pending.request.token != token]


def _unavailable(request: ClaimKey) -> ClaimAnswer:
    return ClaimAnswer(request.claim, UNAVAILABLE, "", 0)


def _record(now: float, row: GrantRow) -> list[Any]:
    return ["key", [*row[:3], row.claim_ends_in_s + now, row.expires_in_s + now, row.response]]
