"""How a controller becomes whole: at the first start, with an emptied disk, or once others vote.

It is whole once so many others have been heard that nothing that was acknowledged, and no key that was
granted, can be missing. Grants are fetched part by part, however many there are; the parts of one answer are
of one moment.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from loguru import logger

from mesh.control.agreement import Agreement
from mesh.control.ballot import first_voters
from mesh.control.context import CLAIM_TIMEOUT_S, Context
from mesh.control.key_grants import KeyGrants
from mesh.control.peers import Peers
from mesh.state.idempotency import FREED_S, GrantSnapshot
from mesh.state.quorum import Voters
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import FetchGrants, GrantsAnswer, checksum, matches_checksum

GATHER_S = 0.4  # nobody new for so long: the first voters are all there
PART_S = 1.0  # how long one part of the grants is waited for
PART_TRIES = 3  # how often a part is asked for before its sender is given up
SNAPSHOT_S = FREED_S  # grants of one moment are told for no longer than what was freed since is known
LOOK_S = 0.02
AGAIN_S = 0.05  # between two tries to become whole
MARGIN_S = 0.1  # on top of a round's time: timers and clocks


class Serving(NamedTuple):
    """Grants of one moment, for one other controller that asks for them part by part."""

    epoch: int
    sealed: bool
    snapshot: GrantSnapshot


class Recovery:
    """One controller's way back to a whole disk.

    `elect` is told of the first voters. `state` tells all records that count, `on_whole` is called once this
    controller is whole again.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        agreement: Agreement,
        grants: KeyGrants,
        elect: Callable[[Voters], None],
        state: Callable[[], Iterable[Any]],
        on_whole: Callable[[], None],
    ) -> None:
        self._context, self._peers, self._agreement, self._grants = context, peers, agreement, grants
        self._elect, self._state, self._on_whole = elect, state, on_whole
        self._began = context.loop.time()
        self._settling = False
        self.repairs = 0  # times that this controller became whole again
        self._served: dict[PeerConnection, Serving] = {}  # by who asks

    # --- becoming whole

    async def begin(self, fresh: bool) -> None:
        """The first voters, or what a lost disk held. `fresh`: nothing was on this disk."""
        seeds = self._context.settings.seed_peers
        if fresh and seeds and seeds[0] == self._context.me:
            await self._name_first_voters(seeds)
        if not self._context.member.counts:
            await self.settle()

    async def _name_first_voters(self, seeds: list[str]) -> None:
        """Only the first start has controllers that are whole and know of no voters: seeds that are all new
        must never name voters beside those that there are."""
        context, peers = self._context, self._peers
        while not context.voters.epoch:
            met = all(peers.epochs.get(seed) == 0 for seed in seeds if seed != context.me)
            first = context.member.counts or bool(peers.whole_first)
            if met and first and context.loop.time() > peers.newest_at + GATHER_S:
                zones = {name: peers.zones.get(name, "") for name in peers.names}
                zones[context.me] = context.settings.zone
                self._elect(Voters(1, first_voters(zones, context.settings.losses)))
                return
            await asyncio.sleep(LOOK_S)

    async def settle(self) -> None:
        """Be whole again, in the epoch that stands: a controller whose disk is gone, or one whose epoch is
        over."""
        if self._settling:
            return
        self._settling = True
        member, loop = self._context.member, self._context.loop
        try:
            while not member.counts:
                if member.may_have_promised and loop.time() < self._began + CLAIM_TIMEOUT_S + MARGIN_S:
                    await asyncio.sleep(LOOK_S)  # until rounds that a former life answered are void
                elif not await self._hear_any():
                    await asyncio.sleep(AGAIN_S)
        finally:
            self._settling = False
        self.repairs += 1
        items, keys = len(self._agreement.replica.items), len(self._grants.registry)
        logger.info("whole again", epoch=self._context.voters.epoch, items=items, keys=keys)
        self._on_whole()

    async def _hear_any(self) -> bool:
        """Hear all that one of the sets of voters has that are enough."""
        for voters, sealed in list(self._context.member.sources()):
            if await self._hear_all(voters, sealed):
                return True
        return False

    async def _hear_all(self, voters: Voters, sealed: bool) -> bool:
        """Hear all that some voters have, and write it down; whether they were enough."""
        context, member = self._context, self._context.member
        epoch = context.voters.epoch
        own = sealed and context.me in voters.names and member.holds(voters.epoch)
        if not await self._agreement.fetch(voters, voters.read, own, sealed):
            return False
        fetched = await self.fetch_grants(voters, voters.read - own, sealed)
        if not fetched or context.voters.epoch != epoch:
            return False
        done: asyncio.Future[bool] = context.loop.create_future()
        for record in self._state():
            context.write(record)
        context.write(["whole", epoch], done.set_result)
        if not await done:
            return False
        member.settle(epoch)
        return True

    # --- grants of others

    async def fetch_grants(self, voters: Voters, need: int, sealed: bool) -> bool:
        """Take over all grants that so many voters hold; whether they could be had."""
        if need <= 0:
            return True
        tasks = [
            self._context.loop.create_task(self._fetch_from(link, voters.epoch, sealed))
            for link in self._peers.of(voters)
        ]
        whole = 0
        try:
            for answered in asyncio.as_completed(tasks):
                whole += await answered
                if whole >= need:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _fetch_from(self, link: PeerConnection, epoch: int, sealed: bool) -> bool:
        """Take over all grants of one other; whether it could tell them all."""
        part, more = 0, True
        while more:
            answer = await self._fetch_part(link, epoch, sealed, part)
            if answer is None or not answer.yes or answer.epoch != epoch:
                return False
            if not matches_checksum(answer.rows, answer.checksum):
                return False
            self._grants.registry.take(self._context.wall_time(), answer.rows)
            self._context.member.heard(epoch, answer.promised)
            part, more = part + 1, answer.more
        return True

    async def _fetch_part(
        self, link: PeerConnection, epoch: int, sealed: bool, part: int
    ) -> GrantsAnswer | None:
        """One part; None where it does not come. A question may be lost with its connection."""
        found: list[GrantsAnswer] = []

        def take(name: str, answer: GrantsAnswer) -> bool:
            found.append(answer)
            return True

        rounds = self._context.rounds
        for _ in range(PART_TRIES):
            if not link.open:
                return None
            number, made = rounds.open(1, 1, PART_S, take)
            link.send(FetchGrants(number, epoch, sealed, part))
            try:
                if await made.wait_for_quorum():
                    return found[0]
            finally:
                rounds.close(number)
        return None

    # --- answers to others

    def answer_grants(self, link: PeerConnection, asked: FetchGrants) -> None:
        """Tell grants, as a voter of the epoch or as a sealed one."""

        def tell(yes: bool) -> None:
            promised = self._context.member.promised
            snapshot = self._snapshot(link, asked) if yes else None
            if snapshot is None:
                link.send(GrantsAnswer(asked.round, False, (), asked.epoch, promised))
                return
            rows, more = snapshot.part(self._context.wall_time(), asked.part)
            told = GrantsAnswer(asked.round, True, rows, asked.epoch, promised, more, checksum(rows))
            link.send(told)

        if asked.sealed:
            self._context.confirm_sealed(asked.epoch, tell)
        else:
            tell(self._context.member.votes(asked.epoch))

    def _snapshot(self, link: PeerConnection, asked: FetchGrants) -> GrantSnapshot | None:
        """The grants of one moment for one that asks; None where its parts are of a moment that is gone."""
        served = self._served.get(link)
        if asked.part == 0:
            served = Serving(
                asked.epoch, asked.sealed, self._grants.registry.snapshot(self._context.wall_time())
            )
            self._served[link] = served
            self._context.loop.call_later(SNAPSHOT_S, self._expire, link, served)
        if served is None or (served.epoch, served.sealed) != (asked.epoch, asked.sealed):
            return None
        return served.snapshot

    def _expire(self, link: PeerConnection, served: Serving) -> None:
        if self._served.get(link) is served:
            del self._served[link]
