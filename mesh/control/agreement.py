"""Reaches agreement on the configuration: the I/O around the rules in `consensus.py`.

An `Agreement` answers the proposers on other controllers, proposes changes for calls to the admin API, reads
from enough voters to intersect every majority, completes changes whose proposer has failed, and synchronizes
its copy with others. Everything it reports about its copy is on its disk first.
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
from mesh.state.quorum import Voters, WriteLease
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

ROUND_TIMEOUT_S = 0.4  # the caller waits one second, and a change takes two rounds
TURN_TIMEOUT_S = 1.2  # how long a silent proposer keeps other proposers out
OPEN_DRAFT_TIMEOUT_S = 0.5  # a draft that is open for longer has lost its proposer
RETRY_PAUSE_RANGE_S = 0.02, 0.08  # pause of a proposer after a refused attempt
COMPARISON_EPOCH = 0  # epoch of a `Fetch` that only compares copies; no controller answers it as a voter


class Outcome(NamedTuple):
    """Result of a proposed change; without an error the change is in force."""

    error: ErrorKind | None = None
    reason: str = ""


class Prepared(NamedTuple):
    """Result of a successful prepare phase: a majority has promised."""

    ballot: Ballot
    promises: dict[str, Promise]
    plan: consensus.Plan


class Agreement:
    """One controller's copy of the configuration, and its protocol with the other copies.

    `on_new_items` is called with items that are new to this copy.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context, self._peers = context, peers
        self._loop = context.loop
        self._incarnation = context.incarnation
        self.on_new_items: Callable[[list[Item]], None] = lambda items: None
        self.replica = Replica()
        self.copy = ConfigurationCopy()  # the items of the replica, with their digests
        self._turn = WriteLease(TURN_TIMEOUT_S)
        self._highest_number = self.ballots_started = 0  # highest ballot number that another voter reported
        self._draft_since = self._loop.time()
        self._finishing = False
        self._syncing: set[str] = set()  # peers that a `sync_from` is waiting for

    # --- local copy

    def load(self, record: list[Any]) -> None:
        """Applies one record from disk; records come oldest first."""
        self.replica = self.replica.load(record)

    def finish_loading(self) -> None:
        """Completes loading once all records from disk have been applied."""
        self.copy.merge(self.replica.items.values())

    def reset_turn(self) -> None:
        """Clears the current proposer's turn after the voters have changed."""
        self._turn = WriteLease(TURN_TIMEOUT_S)

    def learn(self, items: Iterable[Item], sequence: int) -> None:
        """Merges the items of another copy, which contains the first `sequence` changes."""
        rows = list(items)
        self._replace_replica(self.replica.learn(rows, sequence), rows)

    def _replace_replica(self, replica: Replica, items: Sequence[Item]) -> None:
        """Replaces the replica, writes new items to disk and publishes them.

        Items are published before they are on this disk: an item in a copy was chosen, so a majority holds it
        and a power failure here can't lose it.
        """
        before, self.replica = self.replica, replica
        new_items = self.copy.merge(items)
        for item in new_items:
            self._context.write(["item", list(item)])
        if replica.sequence != before.sequence:
            self._context.write(["sequence", replica.sequence])
        if new_items:
            self.on_new_items(new_items)

    def missing_items(self, bucket_digests: bytes) -> tuple[Item, ...]:
        """Returns the items that a copy with these bucket digests may lack."""
        return tuple(self.copy.items_differing_from(bucket_digests))

    # --- acceptor: requests of other controllers

    def _promise(self, epoch: int, ballot: Ballot, done: Callable[[bool], None]) -> bool:
        """Promises a ballot if it is the proposer's turn.

        Returns False if the promise is refused; otherwise `done` is called when the promise is on disk.
        """
        votes = self._context.member.votes(epoch)
        if not votes or not self._turn.acquire(self._loop.time(), ballot.proposer):
            return False
        promised = self.replica.prepare(ballot)
        if promised is None:
            self._turn.release(ballot.proposer)
            return False
        self.replica = promised
        self._context.write(["promise", *ballot], done)
        return True

    def on_prepare(self, connection: PeerConnection, request: Prepare) -> None:
        """Handles a proposer's request for a promise."""
        sequence, draft, items = (
            self.replica.sequence,
            self.replica.open_draft,
            self.missing_items(request.buckets),
        )

        def respond(yes: bool) -> None:
            promised = self.replica.promised.number
            answer = PrepareAnswer(request.round, yes, request.epoch, promised)
            if yes:
                answer = PrepareAnswer(request.round, yes, request.epoch, promised, sequence, draft, items)
            connection.send(answer)

        if not self._promise(request.epoch, request.ballot, respond):
            respond(False)

    def _accept(
        self,
        epoch: int,
        ballot: Ballot,
        sequence: int,
        items: tuple[Item, ...],
        done: Callable[[bool], None],
    ) -> None:
        """Accepts a change in this copy; `done` is called with whether it is accepted and on disk."""
        accepted = self.replica.accept(ballot, sequence, items)
        if not self._context.member.votes(epoch) or accepted is None or accepted.draft is None:
            done(False)
            return
        self.replica = accepted
        self._draft_since = self._loop.time()
        self._context.write(["draft", accepted.draft.row()], done)

    def on_accept(self, connection: PeerConnection, request: Accept) -> None:
        """Handles a proposer's request to accept a change."""
        if request.base:  # this copy is behind: the request carries everything chosen before the change
            self.learn(request.base, request.sequence - 1)
        self._accept(
            request.epoch,
            request.ballot,
            request.sequence,
            request.items,
            lambda yes: connection.send(AcceptAnswer(request.round, yes, request.epoch)),
        )

    def on_commit(self, message: Commit) -> None:
        """Handles the message that a change was chosen."""
        self._turn.release(message.ballot.proposer)
        self._replace_replica(self.replica.commit(message.sequence, message.items), message.items)

    def on_abandon(self, message: Abandon) -> None:
        """Handles the message that a proposer has given up its ballot."""
        self._turn.release(message.proposer)

    def on_fetch(self, connection: PeerConnection, request: Fetch) -> None:
        """Sends what this copy holds, and whether it answers as a voter, or a sealed voter, of the epoch."""

        def respond(yes: bool) -> None:
            replica, items = self.replica, self.missing_items(request.buckets)
            connection.send(
                FetchAnswer(
                    round=request.round,
                    yes=yes,
                    epoch=request.epoch,
                    sequence=replica.sequence,
                    items=items,
                    draft=replica.open_draft,
                    promised=replica.promised,
                    checksum=checksum(items),
                )
            )

        if request.sealed:
            self._context.confirm_sealed(request.epoch, respond)
        else:
            respond(self._context.member.votes(request.epoch))

    # --- requests to other controllers

    async def fetch(self, voters: Voters, need: int, own: bool, sealed: bool = False) -> bool:
        """Adopts what `need` voters hold, have accepted and have promised.

        With `own` this controller counts as one of them. Returns False if too few answered.
        """
        answers = await self._fetch_answers(voters, need - own, sealed)
        if answers is None:
            return False
        for answer in answers.values():
            self.replica = self.replica.adopt(answer.draft, answer.promised)
        return True

    async def _fetch_answers(self, voters: Voters, need: int, sealed: bool) -> dict[str, FetchAnswer] | None:
        """Merges the items of other voters and returns the answers that count; None if fewer than `need`."""
        answers: dict[str, FetchAnswer] = {}

        def on_answer(name: str, answer: FetchAnswer) -> bool:
            if not matches_checksum(answer.items, answer.checksum):
                return False
            yes = answer.yes and answer.epoch == voters.epoch
            self.learn(answer.items, answer.sequence)
            if yes:
                answers[name] = answer
            return yes

        rounds, connections = self._context.rounds, self._peers.connections_to(voters)
        number, round_ = rounds.open(need, len(connections), ROUND_TIMEOUT_S, on_answer)
        packed = pack(Fetch(number, voters.epoch, sealed, self.copy.bucket_digests()))
        for connection in connections:
            connection.send_packed(packed)
        try:
            return answers if await round_.wait_for_quorum() else None
        finally:
            rounds.close(number)

    async def sync_from(self, connection: PeerConnection) -> bool:
        """Merges what one other controller holds and returns whether it has answered.

        Only one such request per peer is open at a time; a second one returns False.
        """
        if connection.peer in self._syncing:
            return False

        def on_answer(name: str, answer: FetchAnswer) -> bool:
            if not matches_checksum(answer.items, answer.checksum):
                return False
            self.learn(answer.items, answer.sequence)
            return True

        rounds = self._context.rounds
        number, round_ = rounds.open(1, 1, ROUND_TIMEOUT_S, on_answer)
        self._syncing.add(connection.peer)
        connection.send(Fetch(number, COMPARISON_EPOCH, False, self.copy.bucket_digests()))
        try:
            return await round_.wait_for_quorum()
        finally:
            self._syncing.discard(connection.peer)
            rounds.close(number)

    async def confirm_up_to_date(self, timeout_s: float) -> bool:
        """Returns whether this copy holds everything acknowledged before the call.

        Reads from enough voters to intersect every majority, and first completes a change that may have been
        chosen.
        """
        deadline = self._loop.time() + timeout_s
        while True:
            voters = self._context.voters
            answers = (
                await self._fetch_answers(voters, voters.read_quorum - self._context.is_voter, False)
                if voters.epoch
                else None
            )
            if answers is not None:
                if self._unfinished(answers) is None:
                    return True
                await self._attempt(None)
            if self._loop.time() > deadline - ROUND_TIMEOUT_S:
                return False
            await self._pause()

    def _unfinished(self, answers: dict[str, FetchAnswer]) -> Draft | None:
        """Returns a change that may have been chosen and is not among the items yet."""
        promises = {name: Promise(answer.sequence, answer.draft) for name, answer in answers.items()}
        promises[self._context.me] = Promise(self.replica.sequence, self.replica.open_draft)
        return consensus.plan(promises, self.replica.sequence).unfinished

    async def propose_change(self, call: tuple[Item, ...], timeout_s: float) -> Outcome:
        """Proposes the items of an admin call until they are agreed on, invalid, or the time is up."""
        deadline = self._loop.time() + timeout_s
        while True:
            outcome = await self._attempt(call)
            if outcome is not None:
                return outcome
            if self._loop.time() > deadline - ROUND_TIMEOUT_S:
                return Outcome(ErrorKind.NO_QUORUM)
            await self._pause()

    @staticmethod
    async def _pause() -> None:
        min_pause_s, max_pause_s = RETRY_PAUSE_RANGE_S
        await asyncio.sleep(min_pause_s + (max_pause_s - min_pause_s) * random.random())

    async def _attempt(self, call: tuple[Item, ...] | None) -> Outcome | None:
        """Runs one proposal and returns its outcome, or None if it has to be retried.

        Without a call it only completes an unfinished change.
        """
        voters = self._context.voters
        prepared = await self._prepare(voters) if voters.epoch else None
        if prepared is None:
            return None
        ballot, _, plan = prepared
        if plan.unfinished is not None:
            logger.info("a change that was left half way is finished", sequence=plan.sequence + 1)
            await self._propose(voters, prepared, plan.unfinished.items)
            return None
        change = configuration.validate_change(self.replica.items, call or ())
        if change.is_ok() and change.ok:
            return Outcome() if await self._propose(voters, prepared, change.ok) else None
        self._abandon(voters, ballot)
        return Outcome(ErrorKind.INVALID, change.error) if change.is_error() else Outcome()

    def _expected_responses(self, voters: Voters) -> int:
        """Returns how many voters a round waits for.

        Silent voters get the request too, but are not waited for: the attempt ends as soon as the live voters
        that have not refused are no majority. Kept open until its timeout, two proposers at once would block
        each other, each holding the turn of one voter.
        """
        live = [name for name in self._peers.live() if name in voters.names]
        return max(voters.write_quorum, len(live) + (self._context.me in voters.names))

    async def _prepare(self, voters: Voters) -> Prepared | None:
        """Runs the prepare phase under a new ballot; None if no majority promises."""
        me, rounds = self._context.me, self._context.rounds
        self.ballots_started += 1
        ballot_number = max(self.replica.promised.number, self._highest_number) + 1
        ballot = Ballot(ballot_number, f"{me}/{self._incarnation}/{self.ballots_started}")
        promises: dict[str, Promise] = {}

        def on_answer(name: str, answer: PrepareAnswer) -> bool:
            if not answer.yes or answer.epoch != voters.epoch:
                self._highest_number = max(self._highest_number, answer.promised)
                return False
            self.learn(answer.items, answer.sequence)
            promises[name] = Promise(answer.sequence, answer.draft)
            return True

        connections = self._peers.connections_to(voters)
        own = me in voters.names
        number, round_ = rounds.open(
            voters.write_quorum, self._expected_responses(voters), ROUND_TIMEOUT_S, on_answer
        )

        def on_own_promise(written: bool) -> None:
            if written:
                promises[me] = own_promise
                round_.add_yes(me)
            else:
                round_.add_no(me)

        own_promise = Promise(self.replica.sequence, self.replica.open_draft)
        packed = pack(Prepare(number, voters.epoch, ballot, self.copy.bucket_digests()))
        for connection in connections:
            connection.send_packed(packed)
        if own and not self._promise(voters.epoch, ballot, on_own_promise):
            round_.add_no(me)
        try:
            if await round_.wait_for_quorum():
                return Prepared(ballot, promises, consensus.plan(promises, self.replica.sequence))
        finally:
            rounds.close(number)
        self._abandon(voters, ballot)
        return None

    async def _propose(self, voters: Voters, prepared: Prepared, items: tuple[Item, ...]) -> bool:
        """Runs the accept phase, and commits the change if a majority accepts it."""
        ballot, promises, plan = prepared
        sequence = plan.sequence + 1
        if self.replica.sequence != plan.sequence:
            self._abandon(voters, ballot)  # this copy has advanced since the prepare phase
            return False

        def on_answer(name: str, answer: AcceptAnswer) -> bool:
            return answer.yes and answer.epoch == voters.epoch

        me, rounds = self._context.me, self._context.rounds
        connections = self._peers.connections_to(voters)
        own = me in voters.names
        number, round_ = rounds.open(
            voters.write_quorum, self._expected_responses(voters), ROUND_TIMEOUT_S, on_answer
        )
        for connection in connections:
            promise = promises.get(connection.peer)
            behind = promise is not None and promise.sequence < plan.sequence
            base = tuple(self.replica.items.values()) if behind else ()
            connection.send(Accept(number, voters.epoch, ballot, sequence, items, base))
        if own:
            self._accept(
                voters.epoch,
                ballot,
                sequence,
                items,
                lambda accepted: round_.add_yes(me) if accepted else round_.add_no(me),
            )
        try:
            chosen = await round_.wait_for_quorum()
        finally:
            rounds.close(number)
        if not chosen:
            self._abandon(voters, ballot)
            return False
        self._turn.release(ballot.proposer)
        self._replace_replica(self.replica.commit(sequence, items), items)
        self._peers.send(Commit(ballot, sequence, items))
        return True

    def _abandon(self, voters: Voters, ballot: Ballot) -> None:
        """Gives up a ballot so that other proposers need not wait for its turn to time out."""
        self._turn.release(ballot.proposer)
        packed = pack(Abandon(ballot.proposer))
        for connection in self._peers.connections_to(voters):
            connection.send_packed(packed)

    async def finish_open_draft(self) -> None:
        """Completes an accepted change that has been open for too long.

        Its proposer may have failed after it had acknowledged the change with 200.
        """
        if self._finishing or self.replica.open_draft is None:
            return
        if self._loop.time() < self._draft_since + OPEN_DRAFT_TIMEOUT_S * (1 + random.random()):
            return
        self._finishing = True
        try:
            await self._attempt(None)
        finally:
            self._finishing = False
