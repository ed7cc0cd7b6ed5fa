"""Voters that follow voters: carries what `ballot.py` decides."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from loguru import logger

from mesh.control.agreement import ROUND_TIMEOUT_S
from mesh.control.ballot import Proposal, holder, plan, voter_count
from mesh.control.context import CLAIM_TIMEOUT_S, Context
from mesh.control.heartbeats import Heartbeats
from mesh.control.peers import Peers
from mesh.state.ballots import Ballot
from mesh.state.quorum import PeerView, Voters
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import (
    AskView,
    Bid,
    BidAnswer,
    CurrentVoters,
    Seal,
    SealAnswer,
    Successor,
    ViewAnswer,
)

SETTLED_S = 0.5  # after a start or a change of voters no other change follows for so long
FINISH_S = 0.5  # sealed for so long with nothing decided, a voter proposes what it has accepted
HAND_OVER_LOOK_S = 0.1

Learn = Callable[[Voters, tuple[str, ...]], None]


class Elections:
    """One controller's part in changes of the voters.

    `learn` is told who votes next, and who voted before. `any_old_sidecar` tells whether a sidecar is linked
    that knows no epochs.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        heartbeats: Heartbeats,
        learn: Learn,
        any_old_sidecar: Callable[[], bool],
    ) -> None:
        self._context, self._peers, self._heartbeats = context, peers, heartbeats
        self._learn, self._any_old_sidecar = learn, any_old_sidecar
        self._successor = ""  # whom the one with the duty has named
        self._changing = False
        self.proposals = self._highest = 0  # made; the highest ballot seen
        self._since = self._sealed_at = context.loop.time()  # when the voters were learned; when sealed

    def learned(self) -> None:
        """Others vote now."""
        self._since, self._successor = self._context.loop.time(), ""

    def hear_successor(self, told: Successor) -> None:
        """Whoever has the duty says who has it next."""
        if told.epoch == self._context.voters.epoch:
            self._successor = told.address

    def told_voters(self) -> CurrentVoters:
        """Who votes, for sidecars."""
        voters = self._context.voters
        return CurrentVoters(voters.epoch, voters.names)

    # --- answers

    def answer(self, link: PeerConnection, asked: Bid | Seal) -> None:
        """A proposer asks."""
        self._vote(asked, link.send)
        if asked.epoch < self._context.voters.epoch:
            link.send(self._peers.hello())

    def _vote(self, asked: Bid | Seal, tell: Callable[[BidAnswer | SealAnswer], None]) -> None:
        """Answer a proposer, once the answer lies on the disk."""
        member = self._context.member
        answer: BidAnswer | SealAnswer
        if isinstance(asked, Bid):
            yes = member.bid(asked.epoch, asked.ballot)
            answer = BidAnswer(asked.round, yes, asked.epoch, member.promised.number, member.accepted)
        else:
            yes = member.seal(asked.epoch, asked.ballot, asked.names)
            self._sealed_at = self._context.loop.time()
            answer = SealAnswer(asked.round, yes, asked.epoch, member.promised.number)
        if yes:
            self._context.write_membership(lambda ok: tell(answer) if ok else None)
        else:
            tell(answer)

    def view(self, epoch: int) -> PeerView:
        """What this controller sees of the others, and is itself."""
        now, watch, context = self._context.loop.time(), self._peers.watch, self._context
        return PeerView(
            {name: watch.gone(now, name) for name in self._peers.names},
            {name: watch.steady(now, name) for name in self._peers.names},
            context.member.votes(epoch),
            context.member.counts,
            context.settings.zone,
            self._peers.any_old or self._any_old_sidecar(),
            context.stopping,
        )

    def answer_view(self, link: PeerConnection, asked: AskView) -> None:
        """Another asks whom this one sees."""
        link.send(ViewAnswer(asked.round, asked.epoch, self.view(asked.epoch)))

    # --- proposals

    async def _poll(self, made: Proposal, seal: bool) -> bool:
        """One of a proposal's two rounds; whether enough said yes in time."""
        context, voters = self._context, made.voters

        def take(name: str, answer: BidAnswer | SealAnswer) -> bool:
            if not answer.yes or answer.epoch != voters.epoch:
                self._highest = max(self._highest, answer.promised)
                return False
            if isinstance(answer, BidAnswer):
                made.bound(context.loop.time(), name, answer.accepted)
            else:
                made.sealed(context.loop.time(), name)
            return True

        links = self._peers.of(voters)
        own = int(context.me in voters.names)
        number, round_ = context.rounds.open(voters.write, len(links) + own, CLAIM_TIMEOUT_S, take)
        asked: Bid | Seal = Bid(number, voters.epoch, made.ballot)
        if seal:
            asked = Seal(number, voters.epoch, made.ballot, made.names)
        for link in links:
            link.send(asked)
        self._vote(asked, lambda answer: round_.add_yes(context.me) if take(context.me, answer) else None)
        try:
            return await round_.wait_for_quorum()
        finally:
            context.rounds.close(number)

    async def propose(self, wish: Iterable[str]) -> None:
        """Have the voters followed by others. Void where it takes longer than an emptied disk waits."""
        context, voters = self._context, self._context.voters
        self.proposals += 1
        number = max(context.member.promised.number, self._highest) + 1
        ballot = Ballot(number, f"{context.me}/{context.incarnation}/{self.proposals}")
        made = Proposal(voters, ballot, tuple(wish), context.loop.time(), CLAIM_TIMEOUT_S)
        if await self._poll(made, seal=False) and made.asked:
            await self._poll(made, seal=True)
        if made.decided is not None:
            self._learn(made.decided, voters.names)

    async def _change(self) -> None:
        """Look whether others should vote, with all who can be asked; if so, propose them."""
        context, voters = self._context, self._context.voters
        if context.member.accepted is not None:
            await self.propose(context.member.accepted.names)
            return
        views = {context.me: self.view(voters.epoch)}

        def take(name: str, answer: ViewAnswer) -> bool:
            if answer.epoch == voters.epoch:
                views[name] = answer.view
            return True

        links = self._peers.linked.values()
        number, made = context.rounds.open(len(links), len(links), ROUND_TIMEOUT_S, take)
        self._peers.send(AskView(number, voters.epoch))
        try:
            await made.wait_for_quorum()
        finally:
            context.rounds.close(number)
        wish = plan(voters, context.settings.losses, views, context.membership_delays)
        if wish is not None and context.voters == voters:
            logger.info("others should vote", epoch=voters.epoch + 1, names=list(wish))
            await self.propose(wish)

    async def _change_once(self) -> None:
        self._changing = True
        try:
            await self._change()
        finally:
            self._changing = False

    def consider(self) -> None:
        """Now and then: whether there is a reason to have other voters."""
        context, member, voters = self._context, self._context.member, self._context.voters
        if (
            self._changing
            or context.stopping
            or voters.epoch != member.whole
            or context.me not in voters.names
        ):
            return
        now = context.loop.time()
        if member.accepted is not None:
            # Whoever proposed it has ended, or was not heard. Two who propose at once only take longer.
            if now > self._sealed_at + FINISH_S * (1 + random.random()):
                context.spawn(self._change_once())
            return
        settled = now >= self._since + SETTLED_S
        if settled and self._reason(now) and self._has_duty() and self._heartbeats.in_contact:
            context.spawn(self._change_once())

    def _reason(self, now: float) -> bool:
        """Whether a voter has been away for too long, a spare could vote, or the set is even."""
        context, voters = self._context, self._context.voters
        patience, watch = context.membership_delays, self._peers.watch
        others = [name for name in voters.names if name != context.me]
        away_s = max((watch.gone(now, name) for name in others), default=0.0)
        losses, size = context.settings.losses, len(voters.names)
        few = size < 2 * losses + 1
        if voter_count(size, losses) < size:
            return True
        spare = any(name not in voters.names for name in self._peers.linked)
        return away_s >= patience.remove_s or (spare and (few or away_s >= patience.replace_s))

    def _has_duty(self) -> bool:
        """Whether it is this controller that proposes: a matter of calm, never of safety."""
        context = self._context
        there = [context.me, *self._peers.live()]
        return holder(context.voters, there, self._successor) == self._context.me

    # --- a planned end

    def name_successor(self) -> None:
        """Say who has the duty from now on, if it is this one's."""
        if self._has_duty():
            successor = holder(self._context.voters, self._peers.live(), "")
            self._peers.send(Successor(self._context.voters.epoch, successor))

    @property
    def handed_over(self) -> bool:
        """Whether others hold all that this controller holds, as voters: it is none, and whoever votes and
        can be reached is whole in the epoch without it."""
        voters = self._context.voters
        if self._context.me in voters.names:
            return False
        there = [name for name in voters.names if name in self._peers.linked]
        whole = [name for name in there if self._peers.whole_epochs.get(name) == voters.epoch]
        return len(whole) == len(there) and len(whole) >= voters.write

    async def hand_over(self, limit_s: float) -> None:
        """Give this controller's vote to a spare before it ends.

        Where there is none it stays for as long as it may, in case one comes, and says that its place stays
        empty until it is back.
        """
        context = self._context
        if context.me not in context.voters.names or len(context.voters.names) == 1:
            return
        ends = context.loop.time() + limit_s
        while not self.handed_over and context.loop.time() < ends:
            voters = context.voters
            if context.me in voters.names and not self._changing and context.member.whole == voters.epoch:
                with contextlib.suppress(TimeoutError):  # a change that was begun late must not outlast it
                    async with asyncio.timeout_at(ends):
                        await self._change_once()
            if not self.handed_over:
                await asyncio.sleep(min(HAND_OVER_LOOK_S, max(0.0, ends - context.loop.time())))
        if self.handed_over:
            logger.info("vote handed over", epoch=context.voters.epoch, names=list(context.voters.names))
        else:
            logger.warning(
                "this controller ends and no other has taken its place among the voters: start it again, or "
                "start another one",
                epoch=context.voters.epoch,
            )
