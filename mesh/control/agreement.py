"""A controller's part in agreeing on the configuration: carries what `consensus.py` decides.

It answers proposers, proposes on behalf of an operator's call, reads from as many voters as meet every
majority, finishes what a proposer that ended has left half way, and compares its copy with others'. Whatever
it says about its copy lies on its disk first.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from loguru import logger

from mesh.control import consensus
from mesh.control.consensus import Promise, Replica
from mesh.control.context import Context
from mesh.control.peers import Peers
from mesh.errors import ErrorKind
from mesh.state import configuration
from mesh.state.ballots import Ballot, Draft
from mesh.state.configuration import Item
from mesh.state.distribution import ConfigurationCopy
from mesh.state.quorum import Turn, Voters
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import (
    Abandon,
    Accept,
    AcceptAnswer,
    Commit,
    Fetch,
    FetchAnswer,
    Prepare,
    PrepareAnswer,
    checksum,
    matches_checksum,
)

ROUND_TIMEOUT_S = 0.4  # how long a round waits: the operator waits a second, and a change takes two
TURN_S = 1.2  # how long a machine keeps other proposers waiting for one that says nothing more
FINISH_S = 0.5  # a change that is open for longer has lost its proposer
AGAIN_S = 0.02, 0.08  # pause of a proposer that was refused
COMPARISON = 0  # the epoch of a question that only compares: nobody answers it as a voter


class Outcome(NamedTuple):
    """What became of an operator's call; no error: it is in force."""

    error: ErrorKind | None = None
    why: str = ""


class Prepared(NamedTuple):
    """A majority has promised."""

    ballot: Ballot
    heard: dict[str, Promise]
    plan: consensus.Plan


class Agreement:
    """One controller's copy of the configuration, and its dealings with the other copies.

    `publish` hears of items that are news here.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context, self._peers = context, peers
        self._loop = context.loop
        self._life = context.incarnation
        self.publish: Callable[[list[Item]], None] = lambda items: None
        self.replica = Replica()
        self.copy = ConfigurationCopy()  # the items of the replica, with their digests
        self._turn = Turn(TURN_S)
        self._highest = self.ballots = 0  # the highest that was seen; those made
        self._open_since = self._loop.time()
        self._finishing = False
        self._fetching: set[str] = set()

    # --- the copy

    def load(self, record: list[Any]) -> None:
        """One record of the disk, oldest first."""
        self.replica = self.replica.load(record)

    def loaded(self) -> None:
        """All that was on the disk is loaded."""
        self.copy.merge(self.replica.items.values())

    def renew(self) -> None:
        """Others vote now: nobody has the turn."""
        self._turn = Turn(TURN_S)

    def learn(self, items: Iterable[Item], sequence: int) -> None:
        """Merge what another copy holds, which contains so many changes."""
        rows = list(items)
        self._become(self.replica.learn(rows, sequence), rows)

    def _become(self, replica: Replica, items: Sequence[Item]) -> None:
        """Swap the copy, write down what is news, and tell sidecars: what is in a copy was chosen, so a loss
        of power takes it from nobody."""
        before, self.replica = self.replica, replica
        news = self.copy.merge(items)
        for item in news:
            self._context.write(["item", list(item)])
        if replica.sequence != before.sequence:
            self._context.write(["sequence", replica.sequence])
        if news:
            self.publish(news)

    def lacking(self, buckets: bytes) -> tuple[Item, ...]:
        """Items that another copy with these digests may lack."""
        return tuple(self.copy.differing(buckets))

    # --- answers to others

    def _promise(self, epoch: int, ballot: Ballot, done: Callable[[bool], None]) -> bool:
        """Promise, if it is the proposer's turn; `done` hears once that lies on the disk. False: refused."""
        votes = self._context.member.votes(epoch)
        if not votes or not self._turn.take(self._loop.time(), ballot.who):
            return False
        made = self.replica.prepare(ballot)
        if made is None:
            self._turn.over(ballot.who)
            return False
        self.replica = made
        self._context.write(["promise", *ballot], done)
        return True

    def answer_prepare(self, link: PeerConnection, asked: Prepare) -> None:
        """A proposer asks for a promise."""
        sequence, draft, items = self.replica.sequence, self.replica.open_draft, self.lacking(asked.buckets)

        def tell(yes: bool) -> None:
            promised = self.replica.promised.number
            answer = PrepareAnswer(asked.round, yes, asked.epoch, promised)
            if yes:
                answer = PrepareAnswer(asked.round, yes, asked.epoch, promised, sequence, draft, items)
            link.send(answer)

        if not self._promise(asked.epoch, asked.ballot, tell):
            tell(False)

    def _accept(
        self,
        epoch: int,
        ballot: Ballot,
        sequence: int,
        items: tuple[Item, ...],
        done: Callable[[bool], None],
    ) -> None:
        """Accept a change in this copy; `done` hears whether it is so, on the disk."""
        made = self.replica.accept(ballot, sequence, items)
        if not self._context.member.votes(epoch) or made is None or made.draft is None:
            done(False)
            return
        self.replica = made
        self._open_since = self._loop.time()
        self._context.write(["draft", made.draft.row()], done)

    def answer_accept(self, link: PeerConnection, asked: Accept) -> None:
        """A proposer asks to accept a change."""
        if asked.base:  # this copy is behind: all that was chosen before comes with the change
            self.learn(asked.base, asked.sequence - 1)
        self._accept(
            asked.epoch,
            asked.ballot,
            asked.sequence,
            asked.items,
            lambda yes: link.send(AcceptAnswer(asked.round, yes, asked.epoch)),
        )

    def hear_commit(self, told: Commit) -> None:
        """A change was chosen."""
        self._turn.over(told.ballot.who)
        self._become(self.replica.commit(told.sequence, told.items), told.items)

    def hear_abandon(self, told: Abandon) -> None:
        """A proposer proposes nothing under its ballot."""
        self._turn.over(told.proposer)

    def answer_fetch(self, link: PeerConnection, asked: Fetch) -> None:
        """Tell what this copy holds, and whether it answers as a voter of the epoch, or as a sealed one."""

        def tell(yes: bool) -> None:
            replica, items = self.replica, self.lacking(asked.buckets)
            link.send(
                FetchAnswer(
                    round=asked.round,
                    yes=yes,
                    epoch=asked.epoch,
                    sequence=replica.sequence,
                    items=items,
                    draft=replica.open_draft,
                    promised=replica.promised,
                    checksum=checksum(items),
                )
            )

        if asked.sealed:
            self._context.confirm_sealed(asked.epoch, tell)
        else:
            tell(self._context.member.votes(asked.epoch))

    # --- questions to others

    async def fetch(self, voters: Voters, need: int, own: bool, sealed: bool = False) -> bool:
        """Take over what so many voters hold, have accepted and have promised; `own`: this one counts."""
        heard = await self._hear(voters, need - own, sealed)
        if heard is None:
            return False
        for answer in heard.values():
            self.replica = self.replica.adopt(answer.draft, answer.promised)
        return True

    async def _hear(self, voters: Voters, need: int, sealed: bool) -> dict[str, FetchAnswer] | None:
        """What so many voters hold, have accepted and have promised; None where they were too few."""
        heard: dict[str, FetchAnswer] = {}

        def take(name: str, answer: FetchAnswer) -> bool:
            if not matches_checksum(answer.items, answer.checksum):
                return False
            yes = answer.yes and answer.epoch == voters.epoch
            self.learn(answer.items, answer.sequence)
            if yes:
                heard[name] = answer
            return yes

        rounds, links = self._context.rounds, self._peers.of(voters)
        number, made = rounds.open(need, len(links), ROUND_TIMEOUT_S, take)
        packed = pack(Fetch(number, voters.epoch, sealed, self.copy.bucket_digests()))
        for link in links:
            link.send_packed(packed)
        try:
            return heard if await made.wait_for_quorum() else None
        finally:
            rounds.close(number)

    async def sync_from(self, link: PeerConnection) -> bool:
        """Take over what one other holds; whether it has answered. One question at a time."""
        if link.peer in self._fetching:
            return False

        def take(name: str, answer: FetchAnswer) -> bool:
            if not matches_checksum(answer.items, answer.checksum):
                return False
            self.learn(answer.items, answer.sequence)
            return True

        rounds = self._context.rounds
        number, made = rounds.open(1, 1, ROUND_TIMEOUT_S, take)
        self._fetching.add(link.peer)
        link.send(Fetch(number, COMPARISON, False, self.copy.bucket_digests()))
        try:
            return await made.wait_for_quorum()
        finally:
            self._fetching.discard(link.peer)
            rounds.close(number)

    async def read(self, limit_s: float) -> bool:
        """Whether this copy holds all that was acknowledged until now, as so many voters say as meet every
        majority. A change that may have been chosen is finished first."""
        ends = self._loop.time() + limit_s
        while True:
            voters = self._context.voters
            heard = (
                await self._hear(voters, voters.read - self._context.is_voter, False)
                if voters.epoch
                else None
            )
            if heard is not None:
                if self._unfinished(heard) is None:
                    return True
                await self._attempt(None)
            if self._loop.time() > ends - ROUND_TIMEOUT_S:
                return False
            await self._pause()

    def _unfinished(self, heard: dict[str, FetchAnswer]) -> Draft | None:
        """A change that may have been chosen and is not among the items yet."""
        promises = {name: Promise(answer.sequence, answer.draft) for name, answer in heard.items()}
        promises[self._context.me] = Promise(self.replica.sequence, self.replica.open_draft)
        return consensus.plan(promises, self.replica.sequence).unfinished

    async def change(self, call: tuple[Item, ...], limit_s: float) -> Outcome:
        """Have an operator's call agreed on."""
        ends = self._loop.time() + limit_s
        while True:
            outcome = await self._attempt(call)
            if outcome is not None:
                return outcome
            if self._loop.time() > ends - ROUND_TIMEOUT_S:
                return Outcome(ErrorKind.NO_QUORUM)
            await self._pause()

    @staticmethod
    async def _pause() -> None:
        least, most = AGAIN_S
        await asyncio.sleep(least + (most - least) * random.random())

    async def _attempt(self, call: tuple[Item, ...] | None) -> Outcome | None:
        """One try; None where it has to come again. Without a call only what is unfinished is finished."""
        voters = self._context.voters
        prepared = await self._prepare(voters) if voters.epoch else None
        if prepared is None:
            return None
        ballot, _, found = prepared
        if found.unfinished is not None:
            logger.info("a change that was left half way is finished", sequence=found.sequence + 1)
            await self._propose(voters, prepared, found.unfinished.items)
            return None
        change = configuration.validate_change(self.replica.items, call or ())
        if change.is_ok() and change.ok:
            return Outcome() if await self._propose(voters, prepared, change.ok) else None
        self._abandon(voters, ballot)
        return Outcome(ErrorKind.INVALID, change.error) if change.is_error() else Outcome()

    def _expected_responses(self, voters: Voters) -> int:
        """Voters whose answers are waited for. One that is cut off is asked as well, but where no majority is
        left without one that has refused, the try is over: kept open for the rest of its time, two proposers
        at once would keep each other out, each with the turn of one voter."""
        live = [name for name in self._peers.live() if name in voters.names]
        return max(voters.write, len(live) + (self._context.me in voters.names))

    async def _prepare(self, voters: Voters) -> Prepared | None:
        """Have a majority promise under a new ballot."""
        me, rounds = self._context.me, self._context.rounds
        self.ballots += 1
        number = max(self.replica.promised.number, self._highest) + 1
        ballot = Ballot(number, f"{me}/{self._life}/{self.ballots}")
        heard: dict[str, Promise] = {}

        def take(name: str, answer: PrepareAnswer) -> bool:
            if not answer.yes or answer.epoch != voters.epoch:
                self._highest = max(self._highest, answer.promised)
                return False
            self.learn(answer.items, answer.sequence)
            heard[name] = Promise(answer.sequence, answer.draft)
            return True

        links = self._peers.of(voters)
        own = me in voters.names
        number, made = rounds.open(voters.write, self._expected_responses(voters), ROUND_TIMEOUT_S, take)

        def promised(ok: bool) -> None:
            if ok:
                heard[me] = mine
                made.add_yes(me)
            else:
                made.add_no(me)

        mine = Promise(self.replica.sequence, self.replica.open_draft)
        packed = pack(Prepare(number, voters.epoch, ballot, self.copy.bucket_digests()))
        for link in links:
            link.send_packed(packed)
        if own and not self._promise(voters.epoch, ballot, promised):
            made.add_no(me)
        try:
            if await made.wait_for_quorum():
                return Prepared(ballot, heard, consensus.plan(heard, self.replica.sequence))
        finally:
            rounds.close(number)
        self._abandon(voters, ballot)
        return None

    async def _propose(self, voters: Voters, prepared: Prepared, items: tuple[Item, ...]) -> bool:
        """Have a change accepted by a majority, and then tell all that it was chosen."""
        ballot, heard, found = prepared
        sequence = found.sequence + 1
        if self.replica.sequence != found.sequence:
            self._abandon(voters, ballot)  # this copy has come further since
            return False

        def take(name: str, answer: AcceptAnswer) -> bool:
            return answer.yes and answer.epoch == voters.epoch

        me, rounds = self._context.me, self._context.rounds
        links = self._peers.of(voters)
        own = me in voters.names
        number, made = rounds.open(voters.write, self._expected_responses(voters), ROUND_TIMEOUT_S, take)
        for link in links:
            promise = heard.get(link.peer)
            behind = promise is not None and promise.sequence < found.sequence
            base = tuple(self.replica.items.values()) if behind else ()
            link.send(Accept(number, voters.epoch, ballot, sequence, items, base))
        if own:
            self._accept(
                voters.epoch, ballot, sequence, items, lambda ok: made.add_yes(me) if ok else made.add_no(me)
            )
        try:
            chosen = await made.wait_for_quorum()
        finally:
            rounds.close(number)
        if not chosen:
            self._abandon(voters, ballot)
            return False
        self._turn.over(ballot.who)
        self._become(self.replica.commit(sequence, items), items)
        self._peers.send(Commit(ballot, sequence, items))
        return True

    def _abandon(self, voters: Voters, ballot: Ballot) -> None:
        """Let others propose."""
        self._turn.over(ballot.who)
        packed = pack(Abandon(ballot.who))
        for link in self._peers.of(voters):
            link.send_packed(packed)

    async def finish(self) -> None:
        """Finish what was accepted here and has been open for too long: its proposer may have ended after it
        had said 200."""
        if self._finishing or self.replica.open_draft is None:
            return
        if self._loop.time() < self._open_since + FINISH_S * (1 + random.random()):
            return
        self._finishing = True
        try:
            await self._attempt(None)
        finally:
            self._finishing = False
