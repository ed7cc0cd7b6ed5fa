"""A control machine's part in agreeing on the configuration: carries what `consensus.py` decides.

It answers proposers, proposes on behalf of an operator's call, reads from as many voters as meet every
majority, finishes what a proposer that ended has left half way, and compares its copy with others'. Whatever
it says about its copy lies on its disk first.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from loguru import logger

from mesh.control import consensus
from mesh.control.ballot import Ballot, Member
from mesh.control.consensus import Promise, Replica, draft_of
from mesh.control.rounds import Rounds
from mesh.errors import ErrorKind
from mesh.state import configuration
from mesh.state.configuration import Item
from mesh.state.distribution import Copy
from mesh.state.quorum import Turn, Voters
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import MessageKind

ROUND_S = 0.4  # how long a round waits: the operator waits a second, and a change takes two
TURN_S = 1.2  # how long a machine keeps other proposers waiting for one that says nothing more
FINISH_S = 0.5  # a change that is open for longer has lost its proposer
AGAIN_S = 0.02, 0.08  # pause of a proposer that was refused
COMPARISON = 0  # the epoch of a question that only compares: nobody answers it as a voter

MESSAGE_KINDS = frozenset(
    {MessageKind.PREPARE, MessageKind.ACCEPT, MessageKind.COMMIT, MessageKind.ABANDON, MessageKind.FETCH}
)


class Machine(Protocol):
    """What this part needs of the machine that it runs on."""

    me: str
    member: Member
    rounds: Rounds

    def link_to(self, name: str) -> PeerConnection | None:
        """The connection to another control machine, where there is one."""

    def links(self) -> Iterable[PeerConnection]:
        """Those to all others."""

    def write(self, record: list[Any], done: Callable[[bool], None] | None = None) -> None:
        """Have a record written; `done` hears whether it lies on the disk."""

    def publish(self, items: list[Item]) -> None:
        """Tell sidecars of items that are news here."""

    def tell_when_sealed(self, epoch: int, tell: Callable[[bool], None]) -> None:
        """Tell whether this machine is sealed in an epoch, once that lies on its disk."""


class Outcome(NamedTuple):
    """What became of an operator's call; no fault: it is in force."""

    fault: ErrorKind | None = None
    why: str = ""


class Prepared(NamedTuple):
    """A majority has promised."""

    ballot: Ballot
    heard: dict[str, Promise]
    plan: consensus.Plan


class Agreement:
    """One machine's copy of the configuration, and its dealings with the other copies."""

    def __init__(self, machine: Machine, life: int) -> None:
        self._machine, self._life = machine, life
        self._loop = asyncio.get_running_loop()
        self.replica = Replica()
        self.copy = Copy()  # the items of the replica, with their digests
        self._turn = Turn(TURN_S)
        self._highest = self._tries = 0  # ballots seen; made
        self._open_since = self._loop.time()
        self._finishing = False
        self._fetching: set[str] = set()

    # --- the copy

    def load(self, record: list[Any]) -> None:
        """One record of the disk, oldest first."""
        self.replica = self.replica.load(record)

    def loaded(self) -> None:
        """All that was on the disk is loaded."""
        self.copy.take(self.replica.items.values())

    def renew(self) -> None:
        """Others vote now: nobody has the turn."""
        self._turn = Turn(TURN_S)

    def learn(self, rows: Iterable[Item], sequence: int) -> None:
        """Merge what another copy holds, which contains so many changes."""
        rows = list(rows)
        self._become(self.replica.learn(rows, sequence), rows)

    def _become(self, replica: Replica, rows: Sequence[Item]) -> None:
        """Swap the copy, write down what is news, and tell sidecars: what is in a copy was chosen, so a loss
        of power takes it from nobody."""
        before, self.replica = self.replica, replica
        news = self.copy.take(rows)
        for item in news:
            self._machine.write(["item", list(item)])
        if replica.sequence != before.sequence:
            self._machine.write(["sequence", replica.sequence])
        if news:
            self._machine.publish(news)

    def lacking(self, buckets: bytes) -> list[list[Any]]:
        """Items that another copy with these digests may lack."""
        return [list(item) for item in self.copy.differing(buckets)]

    # --- answers to others

    def hear(self, link: PeerConnection, message: list[Any]) -> None:
        """One message of `MESSAGE_KINDS`."""
        word = message[0]
        if word == MessageKind.PREPARE:
            self._prepared(link, *message[1:5])
        elif word == MessageKind.ACCEPT:
            self._accepted(link, *message[1:7])
        elif word == MessageKind.COMMIT:
            self._committed(Ballot(*message[1]), message[2], message[3])
        elif word == MessageKind.ABANDON:
            self._turn.over(message[1])
        elif word == MessageKind.FETCH:
            self._fetched(link, *message[1:5])

    def _promise(self, epoch: int, ballot: Ballot, done: Callable[[bool], None]) -> bool:
        """Promise, if it is the proposer's turn; `done` hears once that lies on the disk. False: refused."""
        if not self._machine.member.votes(epoch) or not self._turn.take(self._loop.time(), ballot.who):
            return False
        made = self.replica.prepare(ballot)
        if made is None:
            self._turn.over(ballot.who)
            return False
        self.replica = made
        self._machine.write(["promise", *ballot], done)
        return True

    def _prepared(
        self, link: PeerConnection, number: int, epoch: int, ballot: list[Any], buckets: bytes
    ) -> None:
        open_ = self.replica.open
        answer = [
            self.replica.sequence,
            open_.row() if open_ is not None else None,
            self.lacking(buckets),
        ]

        def tell(yes: bool) -> None:
            told = answer if yes else [0, None, []]
            link.send([MessageKind.PROMISE, number, yes, epoch, self.replica.promised.number, *told])

        if not self._promise(epoch, Ballot(*ballot), tell):
            tell(False)

    def _accept(
        self, epoch: int, ballot: Ballot, sequence: int, rows: Sequence[Item], done: Callable[[bool], None]
    ) -> None:
        """Accept a change in this copy; `done` hears whether it is so, on the disk."""
        made = self.replica.accept(ballot, sequence, tuple(rows))
        if not self._machine.member.votes(epoch) or made is None or made.draft is None:
            done(False)
            return
        self.replica = made
        self._open_since = self._loop.time()
        self._machine.write(["draft", made.draft.row()], done)

    def _accepted(
        self,
        link: PeerConnection,
        number: int,
        epoch: int,
        ballot: list[Any],
        sequence: int,
        rows: list[Any],
        base: list[Any],
    ) -> None:
        if base:  # this copy is behind: all that was chosen before comes with the change
            self.learn((Item(*row) for row in base), sequence - 1)
        self._accept(
            epoch,
            Ballot(*ballot),
            sequence,
            [Item(*row) for row in rows],
            lambda ok: link.send([MessageKind.ACCEPTED, number, ok, epoch]),
        )

    def _committed(self, ballot: Ballot, sequence: int, rows: list[Any]) -> None:
        self._turn.over(ballot.who)
        items = [Item(*row) for row in rows]
        self._become(self.replica.commit(sequence, items), items)

    def _fetched(self, link: PeerConnection, number: int, epoch: int, sealed: bool, buckets: bytes) -> None:
        """Tell what this copy holds, and whether it answers as a voter of the epoch, or as a sealed one."""

        def tell(yes: bool) -> None:
            open_ = self.replica.open
            link.send(
                [
                    MessageKind.FETCHED,
                    number,
                    yes,
                    epoch,
                    self.replica.sequence,
                    self.lacking(buckets),
                    open_.row() if open_ is not None else None,
                    list(self.replica.promised),
                ]
            )

        if sealed:
            self._machine.tell_when_sealed(epoch, tell)
        else:
            tell(self._machine.member.votes(epoch))

    # --- questions to others

    def _links(self, voters: Voters) -> list[PeerConnection]:
        found = [self._machine.link_to(name) for name in voters.names]
        return [link for link in found if link is not None]

    async def fetch(self, voters: Voters, need: int, own: bool, sealed: bool = False) -> bool:
        """Take over what so many voters hold, have accepted and have promised; `own`: this one counts."""
        heard = await self._hear(voters, need - own, sealed)
        if heard is None:
            return False
        for promise, promised in heard.values():
            self.replica = self.replica.adopt(promise.draft, promised)
        return True

    async def _hear(
        self, voters: Voters, need: int, sealed: bool
    ) -> dict[str, tuple[Promise, Ballot]] | None:
        """What so many voters hold, have accepted and have promised; None where they were too few."""
        heard: dict[str, tuple[Promise, Ballot]] = {}

        def take(name: str, message: list[Any]) -> bool:
            yes = bool(message[2]) and message[3] == voters.epoch
            self.learn((Item(*row) for row in message[5]), message[4])
            if yes:
                heard[name] = Promise(message[4], draft_of(message[6])), Ballot(*message[7])
            return yes

        links = self._links(voters)
        number, made = self._machine.rounds.open(need, len(links), ROUND_S, take)
        packed = pack([MessageKind.FETCH, number, voters.epoch, sealed, self.copy.packed_buckets()])
        for link in links:
            link.put(packed)
        try:
            return heard if await made.enough() else None
        finally:
            self._machine.rounds.close(number)

    async def compare(self, link: PeerConnection) -> bool:
        """Take over what one other holds; whether it has answered. One question at a time."""
        if link.peer in self._fetching:
            return False

        def take(name: str, message: list[Any]) -> bool:
            self.learn((Item(*row) for row in message[5]), message[4])
            return True

        number, made = self._machine.rounds.open(1, 1, ROUND_S, take)
        self._fetching.add(link.peer)
        link.send([MessageKind.FETCH, number, COMPARISON, False, self.copy.packed_buckets()])
        try:
            return await made.enough()
        finally:
            self._fetching.discard(link.peer)
            self._machine.rounds.close(number)

    async def read(self, limit_s: float) -> bool:
        """Whether this copy holds all that was acknowledged until now, as so many voters say as meet every
        majority. A change that may have been chosen is finished first."""
        ends = self._loop.time() + limit_s
        while True:
            voters = self._machine.member.voters
            own = self._machine.member.votes(voters.epoch)
            heard = await self._hear(voters, voters.read - own, False) if voters.epoch else None
            if heard is not None:
                promises = {name: promise for name, (promise, _) in heard.items()}
                promises[self._machine.me] = Promise(self.replica.sequence, self.replica.open)
                if consensus.plan(promises, self.replica.sequence).unfinished is None:
                    return True
                await self._attempt(None)
            if self._loop.time() > ends - ROUND_S:
                return False
            await self._pause()

    async def change(self, call: tuple[Item, ...], limit_s: float) -> Outcome:
        """Have an operator's call agreed on."""
        ends = self._loop.time() + limit_s
        while True:
            outcome = await self._attempt(call)
            if outcome is not None:
                return outcome
            if self._loop.time() > ends - ROUND_S:
                return Outcome(ErrorKind.NO_QUORUM)
            await self._pause()

    @staticmethod
    async def _pause() -> None:
        least, most = AGAIN_S
        await asyncio.sleep(least + (most - least) * random.random())

    async def _attempt(self, call: tuple[Item, ...] | None) -> Outcome | None:
        """One try; None where it has to come again. Without a call only what is unfinished is finished."""
        voters = self._machine.member.voters
        prepared = await self._prepare(voters) if voters.epoch else None
        if prepared is None:
            return None
        ballot, _, found = prepared
        if found.unfinished is not None:
            logger.info("a change that was left half way is finished", sequence=found.sequence + 1)
            await self._propose(voters, prepared, found.unfinished.items)
            return None
        change = configuration.change(self.replica.items, call or ())
        if change.is_ok() and change.ok:
            return Outcome() if await self._propose(voters, prepared, change.ok) else None
        self._abandon(voters, ballot)
        return Outcome(ErrorKind.INVALID, change.error) if change.is_error() else Outcome()

    async def _prepare(self, voters: Voters) -> Prepared | None:
        self._tries += 1
        number = max(self.replica.promised.number, self._highest) + 1
        ballot = Ballot(number, f"{self._machine.me}/{self._life}/{self._tries}")
        heard: dict[str, Promise] = {}

        def take(name: str, message: list[Any]) -> bool:
            if not message[2] or message[3] != voters.epoch:
                self._highest = max(self._highest, message[4])
                return False
            self.learn((Item(*row) for row in message[7]), message[5])
            heard[name] = Promise(message[5], draft_of(message[6]))
            return True

        links = self._links(voters)
        me = self._machine.me
        own = int(me in voters.names)
        number, made = self._machine.rounds.open(voters.write, len(links) + own, ROUND_S, take)

        def promised(ok: bool) -> None:
            if ok:
                heard[me] = mine
                made.yes(me)
            else:
                made.no(me)

        mine = Promise(self.replica.sequence, self.replica.open)
        packed = pack([MessageKind.PREPARE, number, voters.epoch, list(ballot), self.copy.packed_buckets()])
        for link in links:
            link.put(packed)
        if own and not self._promise(voters.epoch, ballot, promised):
            made.no(me)
        try:
            if await made.enough():
                return Prepared(ballot, heard, consensus.plan(heard, self.replica.sequence))
        finally:
            self._machine.rounds.close(number)
        self._abandon(voters, ballot)
        return None

    async def _propose(self, voters: Voters, prepared: Prepared, rows: tuple[Item, ...]) -> bool:
        """Have a change accepted by a majority, and then tell all that it was chosen."""
        ballot, heard, found = prepared
        sequence = found.sequence + 1
        if self.replica.sequence != found.sequence:
            self._abandon(voters, ballot)  # this copy has come further since
            return False

        def take(name: str, message: list[Any]) -> bool:
            return bool(message[2]) and message[3] == voters.epoch

        links, me = self._links(voters), self._machine.me
        own = int(me in voters.names)
        number, made = self._machine.rounds.open(voters.write, len(links) + own, ROUND_S, take)
        packed_rows = [list(item) for item in rows]
        for link in links:
            promise = heard.get(link.peer)
            behind = promise is not None and promise.sequence < found.sequence
            base = [list(item) for item in self.replica.items.values()] if behind else []
            link.send([MessageKind.ACCEPT, number, voters.epoch, list(ballot), sequence, packed_rows, base])
        if own:
            self._accept(voters.epoch, ballot, sequence, rows, lambda ok: made.yes(me) if ok else made.no(me))
        try:
            chosen = await made.enough()
        finally:
            self._machine.rounds.close(number)
        if not chosen:
            self._abandon(voters, ballot)
            return False
        self._turn.over(ballot.who)
        self._become(self.replica.commit(sequence, rows), rows)
        packed = pack([MessageKind.COMMIT, list(ballot), sequence, packed_rows])
        for link in self._machine.links():
            link.put(packed)
        return True

    def _abandon(self, voters: Voters, ballot: Ballot) -> None:
        """Let others propose."""
        self._turn.over(ballot.who)
        packed = pack([MessageKind.ABANDON, ballot.who])
        for link in self._links(voters):
            link.put(packed)

    async def finish(self) -> None:
        """Finish what was accepted here and has been open for too long: its proposer may have ended after it
        had said 200."""
        if self._finishing or self.replica.open is None:
            return
        if self._loop.time() < self._open_since + FINISH_S * (1 + random.random()):
            return
        self._finishing = True
        try:
            await self._attempt(None)
        finally:
            self._finishing = False
