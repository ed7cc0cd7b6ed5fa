"""A voter's responses to sidecars that renew the leases of their servers' key ranges.

A range is confirmed only if the server owns it, unrevoked, by the chosen table and also by a change that this
voter has accepted and does not know to be chosen: a majority that has accepted a revocation then shares a
voter with every majority that confirms (`mesh.state.key_leases`). Nothing is written to disk. Nor is a lease
confirmed that is longer than these tables allow, as the range may be assigned again before it ends.
"""

from __future__ import annotations

from collections.abc import Callable

from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.shard_facts import decode_table
from mesh.state.shards import ITEM_PREFIX, FencedRange, ShardTable
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import CurrentVoters, LeaseAnswer, RenewLease


class LeaseVotes:
    """One controller's votes on leases; `current_voters` returns the message with the voters for sidecars."""

    def __init__(
        self, context: Context, agreement: Agreement, current_voters: Callable[[], CurrentVoters]
    ) -> None:
        self._context, self._agreement, self._current_voters = context, agreement, current_voters

    def on_renew(self, link: PeerConnection, request: RenewLease) -> None:
        """Confirms the ranges that a server may go on holding, in the epoch of the request.

        A sidecar that asks in an older epoch is sent the current voters.
        """
        confirmed: tuple[bool, ...] = ()
        if self._context.member.votes(request.epoch):
            tables = self._tables(request.service)
            confirmed = tuple(
                all(_confirms(table, request, held) for table in tables) for held in request.ranges
            )
        elif request.epoch < self._context.voters.epoch:
            link.send(self._current_voters())
        link.send(LeaseAnswer(request.number, request.epoch, confirmed))

    def _tables(self, service: str) -> list[ShardTable | None]:
        """Returns the tables that all have to confirm a range: the chosen one, and one in an open draft.

        A table that was never chosen, or was removed, is None.
        """
        name, replica = ITEM_PREFIX + service, self._agreement.replica
        chosen, draft = replica.items.get(name), replica.open_draft
        tables = [None if chosen is None else decode_table(chosen)]
        if draft is not None:
            tables += [decode_table(item) for item in draft.items if item.name == name]
        return tables


def _confirms(table: ShardTable | None, request: RenewLease, held: FencedRange) -> bool:
    """Returns whether a table lets a server hold a range for as long as its sidecar asks."""
    if table is None or request.lease_ms > table.max_lease_ms:
        return False
    return table.confirms(request.owner, held)
