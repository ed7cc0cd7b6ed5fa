"""Reconfiguration of the voters: runs the protocol of `mesh.control.ballot` between controllers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from loguru import logger

from mesh.control.agreement import ROUND_TIMEOUT_S
from mesh.control.ballot import Proposal, coordinator, next_voters, voter_count
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

MIN_CHANGE_INTERVAL_S = 0.5  # from a start or a change of voters to the next change
COMPLETE_AFTER_S = 0.5  # a sealed voter proposes what it accepted if nothing was decided for so long
HAND_OVER_POLL_S = 0.1

Learn = Callable[[Voters, tuple[str, ...]], None]


class Reconfiguration:
    """One controller's part in changes of the voters.

    `learn` is called with the next voters and the previous ones. `any_legacy_sidecar` returns whether a
    sidecar of a version without epochs is connected.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        heartbeats: Heartbeats,
        learn: Learn,
        any_legacy_sidecar: Callable[[], bool],
    ) -> None:
        self._context, self._peers, self._heartbeats = context, peers, heartbeats
        self._learn, self._any_legacy_sidecar = learn, any_legacy_sidecar
        self._successor = ""  # named by the last coordinator
        self._changing = False
        self.proposals = self._highest_seen = 0  # proposals made; the highest ballot number seen
        self._voters_since = self._sealed_at = context.loop.time()

    def on_voters_changed(self) -> None:
        """Resets what belongs to the previous voters."""
        self._voters_since, self._successor = self._context.loop.time(), ""

    def on_successor(self, message: Successor) -> None:
        """Handles the coordinator's announcement of its successor."""
        if message.epoch == self._context.voters.epoch:
            self._successor = message.address

    def current_voters(self) -> CurrentVoters:
        """Returns the message with the current voters for sidecars."""
        voters = self._context.voters
        return CurrentVoters(voters.epoch, voters.names)

    # --- responses

    def on_proposal(self, link: PeerConnection, request: Bid | Seal) -> None:
        """Handles a proposer's request."""
        self._vote(request, link.send)
        if request.epoch < self._context.voters.epoch:
            link.send(self._peers.hello())

    def _vote(self, request: Bid | Seal, respond: Callable[[BidAnswer | SealAnswer], None]) -> None:
        """Responds to a proposer, after the state that the response reports is on disk."""
        member = self._context.member
        response: BidAnswer | SealAnswer
        if isinstance(request, Bid):
            yes = member.promise(request.epoch, request.ballot)
            response = BidAnswer(request.round, yes, request.epoch, member.promised.number, member.accepted)
        else:
            yes = member.accept(request.epoch, request.ballot, request.names)
            self._sealed_at = self._context.loop.time()
            response = SealAnswer(request.round, yes, request.epoch, member.promised.number)
        if yes:
            self._context.write_membership(lambda ok: respond(response) if ok else None)
        else:
            respond(response)

    def view(self, epoch: int) -> PeerView:
        """Returns this controller's view of its peers, and its own state."""
        now, detector, context = self._context.loop.time(), self._peers.failure_detector, self._context
        return PeerView(
            {name: detector.silence_s(now, name) for name in self._peers.names},
            {name: detector.contact_s(now, name) for name in self._peers.names},
            context.member.votes(epoch),
            context.member.caught_up,
            context.settings.zone,
            self._peers.any_legacy or self._any_legacy_sidecar(),
            context.stopping,
        )

    def on_view_request(self, link: PeerConnection, request: AskView) -> None:
        """Handles another controller's request for this one's view."""
        link.send(ViewAnswer(request.round, request.epoch, self.view(request.epoch)))

    # --- proposals

    async def _run_phase(self, proposal: Proposal, seal: bool) -> bool:
        """Runs one of the two phases of a proposal. Returns whether a majority agreed in time."""
        context, voters = self._context, proposal.voters

        def handle_response(name: str, response: BidAnswer | SealAnswer) -> bool:
            if not response.yes or response.epoch != voters.epoch:
                self._highest_seen = max(self._highest_seen, response.promised)
                return False
            if isinstance(response, BidAnswer):
                proposal.on_promise(context.loop.time(), name, response.accepted)
            else:
                proposal.on_accepted(context.loop.time(), name)
            return True

        links = self._peers.connections_to(voters)
        own = int(context.me in voters.names)
        number, round_ = context.rounds.open(
            voters.write_quorum, len(links) + own, CLAIM_TIMEOUT_S, handle_response
        )
        request: Bid | Seal = Bid(number, voters.epoch, proposal.ballot)
        if seal:
            request = Seal(number, voters.epoch, proposal.ballot, proposal.names)
        for link in links:
            link.send(request)
        self._vote(
            request,
            lambda response: round_.add_yes(context.me) if handle_response(context.me, response) else None,
        )
        try:
            return await round_.wait_for_quorum()
        finally:
            context.rounds.close(number)

    async def propose(self, names: Iterable[str]) -> None:
        """Proposes the next voters. The proposal is void after the time that a wiped disk waits."""
        context, voters = self._context, self._context.voters
        self.proposals += 1
        number = max(context.member.promised.number, self._highest_seen) + 1
        ballot = Ballot(number, f"{context.me}/{context.incarnation}/{self.proposals}")
        proposal = Proposal(voters, ballot, tuple(names), context.loop.time(), CLAIM_TIMEOUT_S)
        if await self._run_phase(proposal, seal=False) and proposal.prepared:
            await self._run_phase(proposal, seal=True)
        if proposal.decided is not None:
            self._learn(proposal.decided, voters.names)

    async def _change(self) -> None:
        """Collects the views of all reachable controllers and proposes other voters if these call for it."""
        context, voters = self._context, self._context.voters
        if context.member.accepted is not None:
            await self.propose(context.member.accepted.names)
            return
        views = {context.me: self.view(voters.epoch)}

        def handle_response(name: str, response: ViewAnswer) -> bool:
            if response.epoch == voters.epoch:
                views[name] = response.view
            return True

        links = self._peers.connections.values()
        number, round_ = context.rounds.open(len(links), len(links), ROUND_TIMEOUT_S, handle_response)
        self._peers.send(AskView(number, voters.epoch))
        try:
            await round_.wait_for_quorum()
        finally:
            context.rounds.close(number)
        names = next_voters(voters, context.settings.losses, views, context.membership_delays)
        if names is not None and context.voters == voters:
            logger.info("proposing new voters", epoch=voters.epoch + 1, names=list(names))
            await self.propose(names)

    async def _change_once(self) -> None:
        self._changing = True
        try:
            await self._change()
        finally:
            self._changing = False

    def check(self) -> None:
        """Starts a change of voters if there is a reason for one. Called periodically."""
        context, member, voters = self._context, self._context.member, self._context.voters
        if (
            self._changing
            or context.stopping
            or voters.epoch != member.caught_up_epoch
            or context.me not in voters.names
        ):
            return
        now = context.loop.time()
        if member.accepted is not None:
            # The proposer has ended, or its decision did not arrive. Concurrent proposals only take longer.
            if now > self._sealed_at + COMPLETE_AFTER_S * (1 + random.random()):
                context.spawn(self._change_once())
            return
        settled = now >= self._voters_since + MIN_CHANGE_INTERVAL_S
        if settled and self._needs_change(now) and self.is_coordinator() and self._heartbeats.in_contact:
            context.spawn(self._change_once())

    def _needs_change(self, now: float) -> bool:
        """Returns whether a voter has been absent for too long, a spare could vote, or the set is even."""
        context, voters = self._context, self._context.voters
        delays, detector = context.membership_delays, self._peers.failure_detector
        others = [name for name in voters.names if name != context.me]
        absence_s = max((detector.silence_s(now, name) for name in others), default=0.0)
        losses, size = context.settings.losses, len(voters.names)
        too_few = size < 2 * losses + 1
        if voter_count(size, losses) < size:
            return True
        has_spare = any(name not in voters.names for name in self._peers.connections)
        return absence_s >= delays.remove_after_s or (
            has_spare and (too_few or absence_s >= delays.replace_after_s)
        )

    def is_coordinator(self) -> bool:
        """Returns whether this controller proposes. This avoids contention; safety does not depend on it."""
        context = self._context
        live = [context.me, *self._peers.live()]
        return coordinator(context.voters, live, self._successor) == self._context.me

    # --- planned shutdown

    def announce_successor(self) -> None:
        """Announces the next coordinator if this controller is the coordinator."""
        if self.is_coordinator():
            successor = coordinator(self._context.voters, self._peers.live(), "")
            self._peers.send(Successor(self._context.voters.epoch, successor))

    @property
    def handed_over(self) -> bool:
        """Whether this controller is not a voter, and enough others hold all that it holds.

        All voters that can be reached, and at least a majority, must be caught up in the epoch without it.
        """
        voters = self._context.voters
        if self._context.me in voters.names:
            return False
        connected = [name for name in voters.names if name in self._peers.connections]
        caught_up = [name for name in connected if self._peers.caught_up_epochs.get(name) == voters.epoch]
        return len(caught_up) == len(connected) and len(caught_up) >= voters.write_quorum

    async def hand_over(self, limit_s: float) -> None:
        """Gives this controller's vote to a spare before it ends.

        Without a spare it waits up to `limit_s` for one, and then logs that its place stays empty until it is
        back.
        """
        context = self._context
        if context.me not in context.voters.names or len(context.voters.names) == 1:
            return
        ends_at = context.loop.time() + limit_s
        while not self.handed_over and context.loop.time() < ends_at:
            voters = context.voters
            if (
                context.me in voters.names
                and not self._changing
                and context.member.caught_up_epoch == voters.epoch
            ):
                with contextlib.suppress(TimeoutError):  # a change that started late must not outlast it
                    async with asyncio.timeout_at(ends_at):
                        await self._change_once()
            if not self.handed_over:
                await asyncio.sleep(min(HAND_OVER_POLL_S, max(0.0, ends_at - context.loop.time())))
        if self.handed_over:
            logger.info("vote handed over", epoch=context.voters.epoch, names=list(context.voters.names))
        else:
            logger.warning(
                "this controller stops and no other has taken its place among the voters: restart it, or "
                "start another one",
                epoch=context.voters.epoch,
            )
