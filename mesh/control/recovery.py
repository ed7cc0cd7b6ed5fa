"""How a controller catches up: at the first start, with a wiped disk, or after the voters have changed.

It is caught up once it has received the state of so many others that no acknowledged item and no granted key
can be missing. Grants are fetched in parts, however many there are; all parts of one transfer are of one
moment.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from loguru import logger

from mesh.control.agreement import Agreement
from mesh.control.ballot import initial_voters
from mesh.control.context import CLAIM_TIMEOUT_S, Context
from mesh.control.key_grants import KeyGrants
from mesh.control.peers import Peers
from mesh.state.idempotency import FREED_RETENTION_S, GrantSnapshot
from mesh.state.quorum import Voters
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import FetchGrants, GrantsAnswer, checksum, matches_checksum

DISCOVERY_QUIET_S = 0.4  # with no new controller for so long, all candidates for the first voters are known
PART_TIMEOUT_S = 1.0
MAX_PART_ATTEMPTS = 3  # requests for one part before the sender is given up
SNAPSHOT_TTL_S = FREED_RETENTION_S  # an older snapshot could bring back a token whose release is forgotten
POLL_INTERVAL_S = 0.02
RETRY_INTERVAL_S = 0.05  # between two attempts to catch up
TIMER_MARGIN_S = 0.1  # added to the duration of a round for inexact timers and clocks


class GrantTransfer(NamedTuple):
    """A snapshot of grants that another controller is fetching in parts."""

    epoch: int
    sealed: bool
    snapshot: GrantSnapshot


class Recovery:
    """Brings one controller's disk up to date.

    `elect` is called with the first voters, `state` returns all records that count, and `on_caught_up` is
    called each time this controller has caught up.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        agreement: Agreement,
        grants: KeyGrants,
        elect: Callable[[Voters], None],
        state: Callable[[], Iterable[Any]],
        on_caught_up: Callable[[], None],
    ) -> None:
        self._context, self._peers, self._agreement, self._grants = context, peers, agreement, grants
        self._elect, self._state, self._on_caught_up = elect, state, on_caught_up
        self._started_at = context.loop.time()
        self._catching_up = False
        self.repairs = 0  # how often this controller has caught up
        self._transfers: dict[PeerConnection, GrantTransfer] = {}  # by the connection of the receiver

    # --- catching up

    async def run(self, is_new: bool) -> None:
        """Names the first voters or recovers a lost disk, as needed. `is_new`: nothing was on this disk."""
        seeds = self._context.settings.seed_peers
        if is_new and seeds and seeds[0] == self._context.me:
            await self._name_first_voters(seeds)
        if not self._context.member.caught_up:
            await self.catch_up()

    async def _name_first_voters(self, seeds: list[str]) -> None:
        """Names the voters of epoch 1 once all seeds have been reached.

        Only at the first start of a mesh are there controllers that are caught up and know of no voters.
        Seeds that are all new machines must never name voters beside those that exist.
        """
        context, peers = self._context, self._peers
        while not context.voters.epoch:
            all_reached = all(peers.epochs.get(seed) == 0 for seed in seeds if seed != context.me)
            is_first_start = context.member.caught_up or bool(peers.caught_up_without_voters)
            if (
                all_reached
                and is_first_start
                and context.loop.time() > peers.last_discovery_at + DISCOVERY_QUIET_S
            ):
                zones = {name: peers.zones.get(name, "") for name in peers.names}
                zones[context.me] = context.settings.zone
                self._elect(Voters(1, initial_voters(zones, context.settings.losses)))
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def catch_up(self) -> None:
        """Catches up in the current epoch, after the disk was lost or the voters have changed."""
        if self._catching_up:
            return
        self._catching_up = True
        member, loop = self._context.member, self._context.loop
        try:
            while not member.caught_up:
                if (
                    member.may_have_promised
                    and loop.time() < self._started_at + CLAIM_TIMEOUT_S + TIMER_MARGIN_S
                ):
                    # Rounds that an earlier incarnation took part in have to be void first.
                    await asyncio.sleep(POLL_INTERVAL_S)
                elif not await self._read_from_any():
                    await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            self._catching_up = False
        self.repairs += 1
        items, keys = len(self._agreement.replica.items), len(self._grants.registry)
        logger.info("caught up", epoch=self._context.voters.epoch, items=items, keys=keys)
        self._on_caught_up()

    async def _read_from_any(self) -> bool:
        """Reads the state of one of the sets of voters that suffice. Returns whether one could be read."""
        for voters, sealed in list(self._context.member.sources()):
            if await self._read_from(voters, sealed):
                return True
        return False

    async def _read_from(self, voters: Voters, sealed: bool) -> bool:
        """Reads the state of a read quorum of some voters and writes it to disk.

        Returns whether it succeeded.
        """
        context, member = self._context, self._context.member
        epoch = context.voters.epoch
        own = sealed and context.me in voters.names and member.has_final_state(voters.epoch)
        if not await self._agreement.fetch(voters, voters.read_quorum, own, sealed):
            return False
        fetched = await self.fetch_grants(voters, voters.read_quorum - own, sealed)
        if not fetched or context.voters.epoch != epoch:
            return False
        written: asyncio.Future[bool] = context.loop.create_future()
        for record in self._state():
            context.write(record)
        context.write(["whole", epoch], written.set_result)
        if not await written:
            return False
        member.mark_caught_up(epoch)
        return True

    # --- fetching grants

    async def fetch_grants(self, voters: Voters, needed: int, sealed: bool) -> bool:
        """Fetches and merges the grants of at least `needed` voters. Returns whether it succeeded."""
        if needed <= 0:
            return True
        tasks = [
            self._context.loop.create_task(self._fetch_from(link, voters.epoch, sealed))
            for link in self._peers.connections_to(voters)
        ]
        fetched = 0
        try:
            for finished in asyncio.as_completed(tasks):
                fetched += await finished
                if fetched >= needed:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _fetch_from(self, link: PeerConnection, epoch: int, sealed: bool) -> bool:
        """Fetches and merges all grants of one controller. Returns whether they were complete."""
        part, more = 0, True
        while more:
            response = await self._fetch_part(link, epoch, sealed, part)
            if response is None or not response.yes or response.epoch != epoch:
                return False
            if not matches_checksum(response.rows, response.checksum):
                return False
            self._grants.registry.merge(self._context.wall_time(), response.rows)
            self._context.member.observe_promise(epoch, response.promised)
            part, more = part + 1, response.more
        return True

    async def _fetch_part(
        self, link: PeerConnection, epoch: int, sealed: bool, part: int
    ) -> GrantsAnswer | None:
        """Fetches one part, or returns None. Repeats the request, as it may be lost with its connection."""
        responses: list[GrantsAnswer] = []

        def handle_response(name: str, response: GrantsAnswer) -> bool:
            responses.append(response)
            return True

        rounds = self._context.rounds
        for _ in range(MAX_PART_ATTEMPTS):
            if not link.open:
                return None
            number, round_ = rounds.open(1, 1, PART_TIMEOUT_S, handle_response)
            link.send(FetchGrants(number, epoch, sealed, part))
            try:
                if await round_.wait_for_quorum():
                    return responses[0]
            finally:
                rounds.close(number)
        return None

    # --- serving grants

    def on_fetch_grants(self, link: PeerConnection, request: FetchGrants) -> None:
        """Sends grants, as a voter of the epoch or as a sealed one."""

        def respond(yes: bool) -> None:
            promised = self._context.member.promised
            snapshot = self._snapshot(link, request) if yes else None
            if snapshot is None:
                link.send(GrantsAnswer(request.round, False, (), request.epoch, promised))
                return
            rows, more = snapshot.part(self._context.wall_time(), request.part)
            response = GrantsAnswer(request.round, True, rows, request.epoch, promised, more, checksum(rows))
            link.send(response)

        if request.sealed:
            self._context.confirm_sealed(request.epoch, respond)
        else:
            respond(self._context.member.votes(request.epoch))

    def _snapshot(self, link: PeerConnection, request: FetchGrants) -> GrantSnapshot | None:
        """Returns the snapshot of a transfer, a new one for the first part; None if it has expired."""
        transfer = self._transfers.get(link)
        if request.part == 0:
            transfer = GrantTransfer(
                request.epoch, request.sealed, self._grants.registry.snapshot(self._context.wall_time())
            )
            self._transfers[link] = transfer
            self._context.loop.call_later(SNAPSHOT_TTL_S, self._expire, link, transfer)
        if transfer is None or (transfer.epoch, transfer.sealed) != (request.epoch, request.sealed):
            return None
        return transfer.snapshot

    def _expire(self, link: PeerConnection, transfer: GrantTransfer) -> None:
        if self._transfers.get(link) is transfer:
            del self._transfers[link]
