"""A controller: one core machine's part of the control state. Takes writes, merges, tells sidecars, grants
keys."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from hollyport.http.message import Message
from mesh.control.agreement import MESSAGE_KINDS, ROUND_S, Agreement
from mesh.control.ballot import (
    Ballot,
    Member,
    Patience,
    PeerView,
    Proposal,
    Watch,
    accepted_of,
    holder,
    plan,
    row_of,
)
from mesh.control.lease import LEASE_PART, PULSE_PART, ReadLease, Safety, safety
from mesh.control.rounds import Rounds
from mesh.errors import ANSWERS, ErrorKind
from mesh.settings import Address, Settings
from mesh.state import configuration
from mesh.state.configuration import Item
from mesh.state.idempotency import Registry
from mesh.state.idempotency import row_of as grant_row
from mesh.state.quorum import Voters
from mesh.storage.record_store import RecordStore
from mesh.transport import connection, http_server
from mesh.transport.connection import Dial, PeerConnection, pack
from mesh.transport.messages import MessageKind, Record

ANSWER_S = 0.9  # an operator's call is answered within this
GATHER_S = 0.4  # nobody new for so long: the first voters are all there
OVERSEE_S = 0.25  # how often a controller looks whether the voters are as they should be
SETTLED_S = 0.5  # after a start or a change of voters no other change follows for so long
GAP_S = 0.5  # contact with a majority that is missing for less is not told: a change of voters takes as long
STOP_S = 0.3  # a controller that ends goes on answering for so long
KILLED_S = 1.2  # of the grace that is left over when a controller ends, at the least
FORGET_S = 6.0  # a sidecar's record outlasts its connection by so much
# a round of claims or ballots is void after so long; a controller without its disk waits as long
CLAIM_S = 1.0
FETCH_S = 3.0  # how long all grants of others are waited for, which may be megabytes
FINISH_S = 0.5  # sealed for so long with nothing decided, a voter proposes what it has accepted
MOST_FORGOTTEN = 256
MOST_HELD = 1024  # claims
GATHERED_S = 0.02  # records of sidecars that come together are told together


ANSWERED = frozenset(
    {
        MessageKind.PROMISE,
        MessageKind.ACCEPTED,
        MessageKind.FETCHED,
        MessageKind.KEYED,
        MessageKind.BOUND,
        MessageKind.SEALED,
        MessageKind.SEEN,
    }
)


class Controller:
    """One process of the role."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.me = settings.peer_address.text
        self._anchor = time.time() - self.loop.time()
        self.keys = Registry(settings.bound("key_window", 60.0))
        self.member = Member(self.me)
        self.rounds = Rounds()
        self._told_epochs: dict[str, int] = {}  # by controller: the epoch that it has told
        # controllers that told that they are whole, with no voters named yet
        self._whole_first: set[str] = set()
        contact_s = settings.bound("contact", 3.0)
        self._pulse_s = contact_s * PULSE_PART
        self._watch = Watch(self.loop.time(), 3 * self._pulse_s)
        self._contact = ReadLease(self.me, contact_s * LEASE_PART)
        self._pulses: dict[int, float] = {}  # by number: when it was sent
        self._touch = self._touched = False  # in contact with a majority as last seen; ever, in this life
        self._touched_at = self.loop.time()  # when there was contact last
        self._said_lost = self._said_thin = False
        self._life = int(time.time() * 1000)
        self.agreement = Agreement(self, self._life)
        # by controller: the latest life that was heard of, 0 for an older version
        self._lives: dict[str, int] = {}
        self._forgotten: dict[str, int] = {}  # by controller: the life that is over
        self._old_controllers: set[str] = set()
        self._old_sidecars: set[PeerConnection] = set()
        self._held: list[tuple[float, PeerConnection, list[Any]]] = []  # claims that come while voters change
        self._heir = ""
        self._whole_epochs: dict[str, int] = {}  # by controller: the epoch that it has told to be whole in
        self._began = self.loop.time()
        self._changing = self._settling = False
        self._tries = self._highest = 0
        self._since = self._accepted_at = self.loop.time()  # when the voters were learned; when sealed
        self._store = RecordStore(settings.data_dir or "/tmp/record_store", self._state)
        self._dials: dict[str, Dial] = {}
        self._linked: dict[str, PeerConnection] = {}
        self._sidecars: dict[PeerConnection, str] = {}
        self._records: dict[str, list[Any]] = {}
        self._news = 0
        self._whole: tuple[Any, bytes] = (None, b"")  # all of it, as it is packed once for all who ask
        self._followers: set[PeerConnection] = set()  # the sidecars that hear tables and changes from here
        self._fresh_endpoints: dict[str, list[Any]] = {}  # records that are to be told, by node
        self.acked: dict[str, int] = {}  # by sidecar: the last change that it has acknowledged
        self._newest_controller = self.loop.time()
        self._tasks: set[asyncio.Task[None]] = set()
        self.stopping = False

    @property
    def items(self) -> configuration.Items:
        """The configuration as it stands here."""
        return self.agreement.replica.items

    @property
    def voters(self) -> Voters:
        """Whose disks count."""
        return self.member.voters

    @voters.setter
    def voters(self, told: Voters) -> None:
        self.member.voters = told

    @property
    def counts(self) -> bool:
        """Whether this disk is whole as things stand."""
        return self.member.counts

    @counts.setter
    def counts(self, whole: bool) -> None:
        self.member.whole = max(1, self.voters.epoch) if whole else 0

    @property
    def _patience(self) -> Patience:
        """A new machine stops counting as lost `catch_up` after its start: by then it has to have taken the
        place of the one before, which is found to be gone within half of that. Where no spare is there a
        voter keeps its place for longer, as its copy is worth more than a smaller majority."""
        catch_up = self.settings.bound("catch_up", 4.0)
        return Patience(catch_up / 2, self._gone_s, catch_up / 10)

    @property
    def _gone_s(self) -> float:
        """One that was not seen for so long is not about to return; with four times that it is forgotten."""
        return 2 * (self.settings.bound("catch_up", 4.0) + self.settings.bound("contact", 3.0))

    # --- start

    async def start(self) -> None:
        """Read the disk, listen, find the others."""
        self._load()
        self._server = await connection.listen(self.settings.peer_address, self._hear, self._came, self._left)
        control = self.settings.control
        assert control is not None
        self._http_server = await http_server.open_http_server(control, self.serve)
        for address in [*self.settings.seed_peers, *self.voters.names, *self.member.before]:
            self._know(address)
        self._task(self._begin())
        self._task(self._pulse())
        self._task(self._oversee())
        logger.info("controller listens", counts=self.counts, items=len(self.items), keys=len(self.keys))

    def _task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _now(self) -> float:
        """Time of day that never steps: read once, carried on by the steady clock."""
        return self._anchor + self.loop.time()

    def _load(self) -> None:
        """What the disk holds. A controller that had written anything is whole; grants carry times of day, as
        the steady clock does not outlast the process."""
        now = self._now()
        records = self._store.load()
        # At the first start, or where this process ended before anything was written at all.
        self._fresh = not records
        for record in records:
            what = record[0]
            if what in ("item", "sequence", "promise", "draft"):
                self.agreement.load(record)
            elif what in ("voters", "whole", "ballot"):
                self.member.load(record)
            elif what == "key":
                self.keys.take(now, [[*record[1][:3], *(at - now for at in record[1][3:5]), record[1][5]]])
            elif what == "free":
                self.keys.free(now, record[1], record[2])
            elif what == "broke":
                self.keys.broke(now, record[1], record[2])
        self.agreement.loaded()
        if self.settings.first_start:
            self.member.settle(1)

    def _state(self) -> Iterable[Any]:
        """All that still counts, for the disk."""
        now = self._now()
        yield from self.member.records()
        yield from self.agreement.replica.records()
        for row in self.keys.rows(now):
            yield self._key_record(now, row)

    @staticmethod
    def _key_record(now: float, row: list[Any]) -> list[Any]:
        return ["key", [*row[:3], row[3] + now, row[4] + now, row[5]]]

    async def _begin(self) -> None:
        """The first voters, or what a lost disk held."""
        seeds = self.settings.seed_peers
        if not self.voters.epoch and seeds and seeds[0] == self.me and self._fresh:
            while not self.voters.epoch:
                # Only the first start has controllers that are whole and know of no voters: seeds that are
                # all new must never name voters beside those that there are.
                met = all(self._told_epochs.get(seed) == 0 for seed in seeds if seed != self.me)
                first = self.counts or bool(self._whole_first)
                if met and first and self.loop.time() > self._newest_controller + GATHER_S:
                    self._elect(Voters(1, tuple(sorted({self.me, *self._dials}))))
                    break
                await asyncio.sleep(0.02)
        if not self.counts:
            await self._settle()

    async def _settle(self) -> None:
        """Be whole again, in the epoch that stands: a controller whose disk is gone, or one whose epoch is
        over.

        It is so once so many others have been heard that nothing that was acknowledged, and no key that was
        granted, can be missing."""
        if self._settling:
            return
        self._settling = True
        try:
            while not self.counts:
                if self.member.may_have_promised and self.loop.time() < self._began + CLAIM_S + 0.1:
                    await asyncio.sleep(0.02)  # until rounds that a former life answered are void
                    continue
                for voters, sealed in list(self.member.sources()):
                    if await self._hear_all(voters, sealed):
                        break
                else:
                    await asyncio.sleep(0.05)
        finally:
            self._settling = False
        logger.info("whole again", epoch=self.voters.epoch, items=len(self.items), keys=len(self.keys))
        self._tell_controllers()
        self._send_pulses(self._linked.values())
        self._look_at_contact()
        self._claim_again()

    async def _hear_all(self, voters: Voters, sealed: bool) -> bool:
        """Hear all that some voters have, and write it down; whether they were enough."""
        epoch = self.voters.epoch
        own = sealed and self.me in voters.names and self.member.holds(voters.epoch)
        if not await self.agreement.fetch(voters, voters.read, own, sealed):
            return False
        if not await self._fetch_keys(voters, voters.read - own, sealed) or self.voters.epoch != epoch:
            return False
        done: asyncio.Future[bool] = self.loop.create_future()
        for record in self._state():
            self._store.put(record)
        self._store.put(["whole", epoch], done.set_result)
        if not await done:
            return False
        self.member.settle(epoch)
        return True

    def resettle(self, settings: Settings) -> None:
        """Take over what may change while this process runs: seeds and bounds. The rest needs a restart."""
        self.settings = settings
        for seed in settings.seed_peers:
            self._know(seed)

    async def stop(self) -> None:
        """Hand over what this controller alone may hold, answer what is under way, then end."""
        self.stopping = True
        live = self._live()
        if holder(self.voters, [self.me, *live], self._heir) == self.me:
            heir = holder(self.voters, live, "")
            for link in self._linked.values():
                link.send([MessageKind.HEIR, self.voters.epoch, heir])
        await self._hand_over()
        self._http_server.listener.last_requests()
        await asyncio.sleep(STOP_S)
        self._http_server.listener.shut()

    @property
    def handed_over(self) -> bool:
        """Whether others hold all that this controller holds, as voters: it is none, and whoever votes and
        can be reached is whole in the epoch without it."""
        voters = self.voters
        if self.me in voters.names:
            return False
        there = [name for name in voters.names if name in self._linked]
        whole = [name for name in there if self._whole_epochs.get(name) == voters.epoch]
        return len(whole) == len(there) and len(whole) >= voters.write

    async def _hand_over(self) -> None:
        """Give this controller's vote to a spare before it ends. Where there is none it stays for as long as
        the platform lets it, in case one comes, and says that its place stays empty until it is back."""
        if self.me not in self.voters.names or len(self.voters.names) == 1:
            return
        ends = self.loop.time() + self.settings.bound("grace", 6.0) - STOP_S - KILLED_S
        while not self.handed_over and self.loop.time() < ends:
            if self.me in self.voters.names and not self._changing and self.member.whole == self.voters.epoch:
                await self._change_once()
            if not self.handed_over:
                await asyncio.sleep(min(0.1, max(0.0, ends - self.loop.time())))
        if self.handed_over:
            logger.info("vote handed over", epoch=self.voters.epoch, names=list(self.voters.names))
        else:
            logger.warning(
                "this controller ends and no other has taken its place among the voters: start it "
                "again, or start another one",
                epoch=self.voters.epoch,
            )

    # --- other controllers

    def _know(self, address: str, life: int = 0, itself: bool = False) -> None:
        """Hear of a controller, from others or by its own word. One that was forgotten is known again by a
        later life alone: what others tell may be old."""
        over = self._forgotten.get(address, -1)
        if address == self.me or (life <= over and not itself):
            return
        self._forgotten.pop(address, None)
        known = self._lives.get(address, 0)
        self._lives[address] = max(life, known)
        if address in self._dials:
            if life > known > 0:  # whoever has forgotten the life before has to hear of this one
                self._tell_controllers()
                self._tell(self._controllers())
            return
        self._newest_controller = self.loop.time()
        self._watch.known(self._newest_controller, address)
        host, _, port = address.rpartition(":")
        self._dials[address] = Dial(
            Address(host, int(port)),
            self._hear,
            lambda link: self._controller_up(address, link),
            lambda link: self._controller_down(address, link),
        )
        self._tell_controllers()
        self._tell(self._controllers())

    def _controller_up(self, address: str, link: PeerConnection) -> None:
        link.peer = address
        self._linked[address] = link
        link.send(self._hello())
        self._send_pulses([link])

    def _controller_down(self, address: str, link: PeerConnection) -> None:
        if self._linked.get(address) is link:
            del self._linked[address]
            self._watch.down(address)

    def _hello(self) -> list[Any]:
        return [
            MessageKind.CONTROLLER,
            self.me,
            [self.voters.epoch, list(self.voters.names)],
            [self.me, *self._dials],
            self.settings.zone,
            list(self.member.before),
            self.member.whole,
            self._all_lives(),
            self._forgotten,
        ]

    def _controllers(self) -> list[Any]:
        return [
            MessageKind.CONTROLLERS,
            [self.me, *self._dials],
            self.settings.zone,
            self._all_lives(),
            self._forgotten,
        ]

    def _all_lives(self) -> dict[str, int]:
        return {self.me: self._life} | {name: self._lives.get(name, 0) for name in self._dials}

    def _tell_controllers(self) -> None:
        packed = pack(self._hello())
        for link in self._linked.values():
            link.put(packed)

    def _controller(
        self,
        link: PeerConnection,
        address: str,
        voters: list[Any],
        controllers: list[str],
        zone: str = "",
        before: Iterable[str] = (),
        whole: int = -1,
        lives: dict[str, int] | None = None,
        forgotten: dict[str, int] | None = None,
        *_: Any,
    ) -> None:
        """Another controller says who it is, who votes and whom it knows; an older version says less."""
        lives = lives or {}
        self._told_epochs[address] = voters[0]
        if whole != self._whole_epochs.get(address) and address in self._linked:
            self._send_pulses([self._linked[address]])  # it may count now
        self._whole_epochs[address] = whole
        if whole == 1 and not voters[0]:
            self._whole_first.add(address)
        (self._old_controllers.add if whole < 0 else self._old_controllers.discard)(address)
        over = self._forgotten.get(address, -1)
        if lives.get(address, 0) <= over:
            link.send([MessageKind.FORGOTTEN, over])
        self._know(address, lives.get(address, 0), itself=True)
        if address in self._dials and address not in self._linked:
            self._dials[address].hurry()
        for other in controllers:
            self._know(other, lives.get(other, 0))
        for other, life in (forgotten or {}).items():
            self._forget_controller(other, life)
        self._elect(Voters(voters[0], tuple(voters[1])), tuple(before))

    def _keeps(self, address: str) -> bool:
        """Whether a controller is dialled for as long as it takes."""
        return address in self.voters.names or address in self.settings.seed_peers

    def _forget_controller(self, address: str, life: int) -> None:
        """Others have forgotten a controller."""
        if address == self.me:
            self._live_on(life)
        elif address in self._linked:
            self._linked[address].send([MessageKind.FORGOTTEN, life])
        elif (
            life >= self._lives.get(address, 0)
            and not self._keeps(address)
            and (address not in self._dials or self._watch.gone(self.loop.time(), address) >= self._gone_s)
        ):
            self._drop(address, life)

    def _live_on(self, life: int) -> None:
        """Others have forgotten this life: the next one is heard of again."""
        if life >= self._life:
            self._life = max(life + 1, int(self._now() * 1000))
            self._tell_controllers()
            self._tell(self._controllers())

    def _drop(self, address: str, life: int) -> None:
        if self._forgotten.get(address, -1) >= life:
            return
        self._forgotten[address] = life
        if len(self._forgotten) > MOST_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        self._lives.pop(address, None)
        self._watch.forget(address)
        dial = self._dials.pop(address, None)
        if dial is not None:
            logger.info("forgotten", controller=address)
            dial.stop()
        self._tell_controllers()
        self._tell(self._controllers())

    def _came(self, link: PeerConnection) -> None:
        """Whoever dialled says who it is."""

    def _left(self, link: PeerConnection) -> None:
        node = self._sidecars.pop(link, None)
        self._old_sidecars.discard(link)
        self._followers.discard(link)
        record = self._records.get(node) if node is not None else None
        if record is not None and node is not None:
            self.loop.call_later(FORGET_S, self._forget, node, record[Record.LIFE])

    def _forget(self, node: str, life: int) -> None:
        record = self._records.get(node)
        if record is None or record[Record.LIFE] != life or node in self._sidecars.values():
            return
        del self._records[node]
        self._fresh_endpoints.pop(node, None)
        self._tell([MessageKind.GONE, node, life])

    def _elect(self, told: Voters, before: tuple[str, ...] = ()) -> None:
        """Learn who votes."""
        if not self.member.learn(told, before):
            return
        self._since, self._heir = self.loop.time(), ""
        self._contact.clear()
        self.agreement.renew()
        logger.info("voters", epoch=told.epoch, names=list(told.names))
        if len(told.names) < 2 * self.settings.losses + 1:
            logger.warning(
                "fewer controllers than the losses to be borne take: nothing acknowledged is lost, but "
                "less can be served while some are down"
            )
        self._keep()
        for name in told.names:
            self._know(name, self._forgotten.get(name, -1) + 1)
        self._tell_controllers()
        self._tell(self._told_voters())
        self._send_pulses(self._linked.values())
        self._claim_again()
        if not self.counts:
            self._task(self._settle())

    def _told_voters(self) -> list[Any]:
        return [MessageKind.VOTERS, self.voters.epoch, list(self.voters.names)]

    def _keep(self, done: Callable[[bool], None] | None = None) -> None:
        """Write down this controller's word on who votes."""
        *first, last = self.member.records()
        for record in first:
            self._store.put(record)
        self._store.put(last, done)

    # --- voters that follow voters

    def _vote(self, message: list[Any], tell: Callable[[list[Any]], None]) -> None:
        """Answer a proposer, once the answer lies on the disk."""
        word, number, epoch = message[:3]
        ballot, member = Ballot(*message[3]), self.member
        if word == MessageKind.BID:
            kind, yes = MessageKind.BOUND, member.bid(epoch, ballot)
        else:
            kind, yes = MessageKind.SEALED, member.seal(epoch, ballot, tuple(message[4]))
            self._accepted_at = self.loop.time()
        answer = [kind, number, yes, epoch, member.promised.number, row_of(member.accepted)]
        if yes:
            self._keep(lambda ok: tell(answer) if ok else None)
        else:
            tell(answer)

    async def _poll(self, made: Proposal, word: MessageKind) -> bool:
        """One of a proposal's two rounds; whether enough said yes in time."""

        def take(name: str, message: list[Any]) -> bool:
            if not message[2] or message[3] != made.voters.epoch:
                self._highest = max(self._highest, message[4])
                return False
            if word == MessageKind.BID:
                made.bound(self.loop.time(), name, accepted_of(message[5]) if message[5] else None)
            else:
                made.sealed(self.loop.time(), name)
            return True

        links = self._voting(made.voters)
        own = int(self.me in made.voters.names)
        number, round_ = self.rounds.open(made.voters.write, len(links) + own, CLAIM_S, take)
        message = [word, number, made.voters.epoch, list(made.ballot)]
        if word == MessageKind.SEAL:
            message.append(list(made.names))
        for link in links:
            link.send(message)
        self._vote(message, lambda answer: round_.yes(self.me) if take(self.me, answer) else None)
        try:
            return await round_.enough()
        finally:
            self.rounds.close(number)

    async def _propose(self, wish: Iterable[str]) -> None:
        """Have the voters followed by others. Void where it takes longer than an emptied disk waits."""
        voters = self.voters
        self._tries += 1
        number = max(self.member.promised.number, self._highest) + 1
        ballot = Ballot(number, f"{self.me}/{self._life}/{self._tries}")
        made = Proposal(voters, ballot, tuple(wish), self.loop.time(), CLAIM_S)
        if await self._poll(made, MessageKind.BID) and made.asked:
            await self._poll(made, MessageKind.SEAL)
        if made.decided is not None:
            self._elect(made.decided, voters.names)

    def _sight(self, epoch: int) -> PeerView:
        now, watch = self.loop.time(), self._watch
        old = any(name in self._linked for name in self._old_controllers) or bool(self._old_sidecars)
        return PeerView(
            {name: watch.gone(now, name) for name in self._dials},
            {name: watch.steady(now, name) for name in self._dials},
            self.member.votes(epoch),
            self.counts,
            self.settings.zone,
            old,
            self.stopping,
        )

    async def _change(self) -> None:
        """LoadQuery whether others should vote, with all who can be asked; if so, propose them."""
        voters = self.voters
        if self.member.accepted is not None:
            await self._propose(self.member.accepted.names)
            return
        sights = {self.me: self._sight(voters.epoch)}

        def take(name: str, message: list[Any]) -> bool:
            if message[2] == voters.epoch:
                sights[name] = PeerView(*message[3:10])
            return True

        number, made = self.rounds.open(len(self._linked), len(self._linked), ROUND_S, take)
        for link in self._linked.values():
            link.send([MessageKind.SIGHT, number, voters.epoch])
        await made.enough()
        self.rounds.close(number)
        wish = plan(voters, self.settings.losses, sights, self._patience)
        if wish is not None and self.voters == voters:
            logger.info("others should vote", epoch=voters.epoch + 1, names=list(wish))
            await self._propose(wish)

    async def _change_once(self) -> None:
        self._changing = True
        try:
            await self._change()
        finally:
            self._changing = False

    def _live(self) -> list[str]:
        """Whom anything is heard from: a frozen machine takes connections, and says nothing."""
        now = self.loop.time()
        return [name for name in self._linked if self._watch.steady(now, name)]

    def _consider(self) -> None:
        """Now and then: whether there is a reason to have other voters, and whom to forget."""
        now, voters, member = self.loop.time(), self.voters, self.member
        for name in list(self._dials):
            if not self._keeps(name) and self._watch.gone(now, name) >= 4 * self._gone_s:
                self._drop(name, self._lives.get(name, 0))
        if self._changing or self.stopping or voters.epoch != member.whole or self.me not in voters.names:
            return
        if member.accepted is not None:
            # Whoever proposed it has ended, or was not heard. Two who propose at once only take longer.
            if now > self._accepted_at + FINISH_S * (1 + random.random()):
                self._task(self._change_once())
            return
        patience = self._patience
        away_s = max((self._watch.gone(now, name) for name in voters.names if name != self.me), default=0.0)
        few = len(voters.names) < 2 * self.settings.losses + 1
        spare = any(name not in voters.names for name in self._linked)
        reason = away_s >= patience.remove_s or (spare and (few or away_s >= patience.replace_s))
        mine = holder(voters, [self.me, *self._live()], self._heir) == self.me
        if mine and reason and self.in_contact and now >= self._since + SETTLED_S:
            self._task(self._change_once())

    # --- messages

    def _hear(self, link: PeerConnection, message: list[Any]) -> None:
        word = message[0]
        if word == MessageKind.CLAIM:
            self._claim(link, *message[1:])
        elif word == MessageKind.DONE:
            self._keep_answer(*message[1:])
        elif word == MessageKind.FREE:
            self._let_go("free", *message[1:])
        elif word == MessageKind.BROKE:
            self._let_go("broke", *message[1:])
        elif word in ANSWERED:
            self.rounds.answer(link.peer, message)
        elif word in MESSAGE_KINDS:
            self.agreement.hear(link, message)
        elif word == MessageKind.KEYS:
            self._keyed(link, *message[1:4])
        elif word == MessageKind.CONTROLLER:
            self._controller(link, *message[1:])
        elif word in (MessageKind.BID, MessageKind.SEAL):
            self._vote(message, link.send)
            if message[2] < self.voters.epoch:
                link.send(self._hello())
        elif word == MessageKind.PULSE:
            votes = self.member.votes(self.voters.epoch)
            agreement = self.agreement
            link.send(
                [
                    MessageKind.PULSED,
                    message[1],
                    self.voters.epoch,
                    votes,
                    agreement.copy.digest,
                    agreement.replica.sequence,
                ]
            )
            if message[2] < self.voters.epoch:
                link.send(self._hello())
        elif word == MessageKind.PULSED:
            self._pulsed(link, *message[1:6])
        elif word == MessageKind.SIGHT:
            link.send([MessageKind.SEEN, message[1], message[2], *self._sight(message[2])])
        elif word == MessageKind.HEIR:
            if message[1] == self.voters.epoch:
                self._heir = message[2]
        elif word == MessageKind.FORGOTTEN:
            self._live_on(message[1])
        elif word == MessageKind.SIDECAR:
            if link not in self._sidecars and len(message) < 3:
                self._old_sidecars.add(link)
            self._sidecar(link, message[1], message[2] if len(message) > 2 else 0)
        elif word == MessageKind.FOLLOW:
            self._follow(link, message[1])
        elif word == MessageKind.PULL:
            if not self._current(link):
                return
            lacking = self.agreement.copy.lacking(message[1])
            link.put(self._packed_whole() if len(lacking) == len(self.items) else self._packed(lacking))
        elif word == MessageKind.ACK:
            node = self._sidecars.get(link)
            if node is not None:
                self.acked[node] = message[1]

    def _keyed(self, link: PeerConnection, number: int, epoch: int = 1, sealed: bool = False) -> None:
        """Tell grants, in the same way."""

        def tell(yes: bool) -> None:
            rows = self.keys.rows(self._now()) if yes else []
            link.send([MessageKind.KEYED, number, yes, rows, epoch, list(self.member.promised)])

        if sealed:
            self.tell_when_sealed(epoch, tell)
        else:
            tell(self.member.votes(epoch))

    def tell_when_sealed(self, epoch: int, tell: Callable[[bool], None]) -> None:
        """Tell whether this controller is sealed, and whole, in an epoch: for good, so it lies on the
        disk."""
        if self.member.holds(epoch):
            self._keep(lambda ok: tell(ok and self.member.holds(epoch)))
        else:
            tell(False)

    def link_to(self, name: str) -> PeerConnection | None:
        """The connection to another control machine, where there is one."""
        return self._linked.get(name)

    def links(self) -> Iterable[PeerConnection]:
        """Those to all others."""
        return self._linked.values()

    def write(self, record: list[Any], done: Callable[[bool], None] | None = None) -> None:
        """Have a record written; `done` hears whether it lies on the disk."""
        self._store.put(record, done)

    def _voting(self, voters: Voters) -> list[PeerConnection]:
        return [self._linked[name] for name in voters.names if name in self._linked]

    # --- items

    def publish(self, items: list[Item]) -> None:
        """Tell the sidecars that follow this machine of items that are news, and the others by eight bytes
        that there is news. Out of contact nothing is told: all hear the digest once it is found again."""
        if not self._touch:
            return
        self._news += 1
        packed, total = self._packed(items), pack([MessageKind.SUM, self.agreement.copy.digest])
        for link in self._sidecars:
            link.put(packed if link in self._followers else total)

    def _packed(self, items: Iterable[Item]) -> bytes:
        return pack([MessageKind.ITEMS, self._news, [list(item) for item in items]])

    def _packed_whole(self) -> bytes:
        items = self.agreement.copy.items
        if self._whole[0] is not items:
            self._whole = items, self._packed(items.values())
        return self._whole[1]

    def _follow(self, link: PeerConnection, digest: int | None) -> None:
        """A sidecar hears tables and changes from here from now on, or no longer. One that has nothing gets
        all; one that has something else than this controller says what it lacks."""
        if digest is None or not self._current(link):
            self._followers.discard(link)
            return
        self._followers.add(link)
        link.send([MessageKind.ENDPOINTS, list(self._records.values())])
        if not digest:
            link.put(self._packed_whole())
        else:
            link.send([MessageKind.SUM, self.agreement.copy.digest])

    async def _fetch_keys(self, voters: Voters, need: int, sealed: bool) -> bool:
        def take(name: str, message: list[Any]) -> bool:
            yes = bool(message[2]) and (message[4] if len(message) > 4 else 1) == voters.epoch
            if yes:
                self.keys.take(self._now(), message[3])
                if len(message) > 5:
                    self.member.heard(voters.epoch, Ballot(*message[5]))
            return yes

        links = self._voting(voters)
        number, made = self.rounds.open(need, len(links), FETCH_S, take)
        for link in links:
            link.send([MessageKind.KEYS, number, voters.epoch, sealed])
        try:
            return await made.enough()
        finally:
            self.rounds.close(number)

    async def _oversee(self) -> None:
        """LoadQuery now and then whether others should vote, and whether a change was left half way here."""
        while True:
            await asyncio.sleep(OVERSEE_S * (0.75 + random.random() / 2))
            self._consider()
            if self.in_contact and self.member.votes(self.voters.epoch):
                await self.agreement.finish()

    # --- contact with a majority

    @property
    def in_contact(self) -> bool:
        """Whether a majority of the voters has been heard lately, by the steady clock as it stands now."""
        votes = self.member.votes(self.voters.epoch)
        return self._contact.holds(time.monotonic(), self.voters, votes)

    async def _pulse(self) -> None:
        """Ask all others at short intervals whether they are there and what they hold."""
        while True:
            await asyncio.sleep(self._pulse_s * (0.9 + random.random() / 5))
            self._send_pulses(self._linked.values())
            self._look_at_contact()

    def _send_pulses(self, links: Iterable[PeerConnection]) -> None:
        number, now = self.rounds.number(), time.monotonic()
        self._pulses[number] = now
        while self._pulses[next(iter(self._pulses))] < now - 20 * self._pulse_s:
            del self._pulses[next(iter(self._pulses))]
        packed = pack([MessageKind.PULSE, number, self.voters.epoch])
        for link in links:
            link.put(packed)

    def _pulsed(
        self, link: PeerConnection, number: int, epoch: int, votes: bool, digest: int, sequence: int
    ) -> None:
        """Another answers. It counts for the lease once all that it holds has been merged here."""
        asked_at = self._pulses.get(number)
        if asked_at is None:
            return
        self._watch.heard(self.loop.time(), link.peer)
        counts = votes and epoch == self.voters.epoch
        if digest not in (self.agreement.copy.digest, 0):
            self._task(self._compare(link, asked_at, counts))
            return
        if digest == self.agreement.copy.digest:
            self.agreement.learn((), sequence)
        if counts:
            self._contact.answered(link.peer, asked_at)
        self._look_at_contact()

    async def _compare(self, link: PeerConnection, asked_at: float, counts: bool) -> None:
        """Take over what another holds and this machine does not: what a cut or a freeze kept from here."""
        epoch = self.voters.epoch
        if await self.agreement.compare(link) and counts and epoch == self.voters.epoch:
            self._contact.answered(link.peer, asked_at)
            self._look_at_contact()

    def _look_at_contact(self) -> None:
        """Tell the sidecars and the log when contact is lost or found. A gap as short as a change of voters
        leaves is not told, as every sidecar would turn to another machine and back."""
        now = self.loop.time()
        if self.in_contact:
            self._touched_at = now
            if not self._touch:
                self._find_contact()
            if self._held:
                self._claim_again()
        elif self._touch and now > self._touched_at + GAP_S:
            self._lose_contact()
        elif self.voters.epoch and not self._said_lost and now > self._touched_at + self._gone_s:
            self._said_lost = True
            logger.warning(
                "no majority for long: nothing can be acknowledged until so many of these "
                "machines are back with their disks that {} of {} run",
                self.voters.write,
                len(self.voters.names),
                away=self._away(),
            )
        self._look_at_safety()

    def _find_contact(self) -> None:
        self._touch = self._touched = True
        self._said_lost = False
        logger.info("in contact with a majority", epoch=self.voters.epoch)
        self._tell([MessageKind.CURRENT, True])
        self._tell([MessageKind.SUM, self.agreement.copy.digest])

    def _lose_contact(self) -> None:
        self._touch = False
        logger.warning("out of contact with a majority", epoch=self.voters.epoch, away=self._away())
        self._tell([MessageKind.CURRENT, False])

    def _current(self, link: PeerConnection) -> bool:
        """Whether a sidecar may be told what this machine holds; if not, it is told to turn elsewhere."""
        if self.in_contact:
            return True
        if self._touch:
            self._lose_contact()
        link.send([MessageKind.CURRENT, False])
        return False

    def _away(self) -> list[str]:
        """The voters that don't answer."""
        heard = self._contact.heard(time.monotonic(), self.voters, self.member.votes(self.voters.epoch))
        return [name for name in self.voters.names if name not in heard]

    @property
    def safety(self) -> Safety:
        """What can be lost now, as far as this machine knows."""
        return safety(self.voters, len(self.voters.names) - len(self._away()))

    def _look_at_safety(self) -> None:
        found = self.safety
        thin = bool(self.voters.epoch) and found.losses < self.settings.losses
        if thin != self._said_thin:
            self._said_thin = thin
            tell = logger.warning if thin else logger.info
            say = "fewer losses can be borne than should be" if thin else "all losses can be borne again"
            tell(
                say, copies=found.copies, losses=found.losses, wanted=self.settings.losses, away=self._away()
            )

    async def _contact_found(self, limit_s: float) -> bool:
        """Whether there is contact with a majority. A process that has never had it, or had it a moment ago,
        as when voters change, is given a moment to find it; any other says so at once."""
        ends = self.loop.time() + limit_s
        while not self.in_contact and self.loop.time() < ends:
            if self._touched and self.loop.time() > self._touched_at + GAP_S:
                break
            await asyncio.sleep(0.01)
        return self.in_contact

    # --- sidecars

    def _sidecar(self, link: PeerConnection, record: list[Any], version: int) -> None:
        node = record[Record.NODE]
        fresh = link not in self._sidecars
        self._sidecars[link] = node
        known = self._records.get(node)
        news = known is None or record[Record.LIFE :] > known[Record.LIFE :]
        if fresh and known is not None and known[Record.LIFE] > record[Record.LIFE]:
            link.send([MessageKind.LIFE, known[Record.LIFE]])
        if news:
            self._records[node] = record
        if fresh:
            link.send([MessageKind.CURRENT, self._touch])
            link.send(self._controllers())
            if self.voters.epoch:
                link.send(self._told_voters())
            if version < 2:  # of an older version: it takes whatever is told
                self._followers.add(link)
                link.put(self._packed_whole())
                link.send([MessageKind.ENDPOINTS, list(self._records.values())])
            elif self._touch:
                link.send([MessageKind.SUM, self.agreement.copy.digest])
        if news:
            if not self._fresh_endpoints:
                self.loop.call_later(GATHERED_S, self._tell_endpoints)
            self._fresh_endpoints[node] = record

    def _tell_endpoints(self) -> None:
        """Tell all sidecars of records that are news."""
        records, self._fresh_endpoints = list(self._fresh_endpoints.values()), {}
        if records:
            self._tell([MessageKind.ENDPOINTS, records])

    def _tell(self, message: list[Any]) -> None:
        packed = pack(message)
        for link in self._sidecars:
            link.put(packed)

    # --- keys

    def _claim(
        self, link: PeerConnection, claim: int, key: str, token: str, left_s: float, epoch: int = 1, *_: Any
    ) -> None:
        """Grant a key, in the claimant's epoch. One of an older epoch is told who votes; while a change is
        under way a claim is held, until it can be answered or its claimant counts it no more."""
        member = self.member
        if member.votes(epoch) and not self.in_contact:
            if not self._touched or self.loop.time() < self._touched_at + GAP_S:
                self._hold(link, [claim, key, token, left_s, epoch])  # it is found out in a moment
            else:
                link.send([MessageKind.CLAIMED, claim, -1, "", 0, None])
            return
        if not member.votes(epoch):
            if epoch < self.voters.epoch:
                link.send(self._told_voters())
            elif member.lasted and (epoch > self.voters.epoch or self.me in self.voters.names):
                self._hold(link, [claim, key, token, left_s, epoch])
                return
            link.send([MessageKind.CLAIMED, claim, -1, "", 0, None])
            return
        now = self._now()
        grant, fresh = self.keys.claim(now, key, token, left_s)
        if grant.token != token or grant.mark != 1:
            link.send([MessageKind.CLAIMED, claim, 0, grant.token, int(grant.mark), grant.answer])
            return

        def written(ok: bool) -> None:
            if not ok and fresh:
                self.keys.undo(key, token)
            link.send([MessageKind.CLAIMED, claim, 1 if ok else -1, token, 1, None])

        self._store.put(self._key_record(now, grant_row(now, key, grant)), written)

    def _hold(self, link: PeerConnection, told: list[Any]) -> None:
        """A claim that may be answered soon."""
        self._held.append((self.loop.time(), link, told))
        del self._held[:-MOST_HELD]

    def _claim_again(self) -> None:
        """What was held may be answered now."""
        held, self._held = self._held, []
        for at, link, told in held:
            if link.open and self.loop.time() < at + CLAIM_S:
                before = len(self._held)
                self._claim(link, *told)
                if len(self._held) > before:
                    self._held[-1] = (at, link, told)

    def _keep_answer(self, key: str, token: str, answer: Any) -> None:
        now = self._now()
        if self.keys.done(now, key, token, answer):
            self._store.put(self._key_record(now, self.keys.row(now, key)))

    def _let_go(self, what: str, key: str, token: str) -> None:
        self._held = [held for held in self._held if held[2][2] != token]
        now = self._now()
        if (self.keys.free if what == "free" else self.keys.broke)(now, key, token):
            self._store.put([what, key, token])

    # --- operators

    def serve(self, message: Message) -> None:
        """A call on the control address."""
        path = message.target.partition(b"?")[0]
        if path == b"/-/config" and message.method == b"PATCH":
            self._task(self._patch(message))
        elif path == b"/-/config" and message.method == b"GET":
            self._task(self._get(message))
        elif path == b"/-/readiness":
            message.answer(200 if self.counts and self.in_contact else 503)
        elif path == b"/-/status" and message.method == b"GET":
            message.answer(200, self._status(), [(b"Content-Type", b"application/json")])
        else:
            message.answer(ANSWERS[ErrorKind.NOT_HERE].status)

    def _refuse(self, message: Message, fault: ErrorKind, why: str = "") -> None:
        kind = ANSWERS[fault]
        headers = [(b"Retry-After", b"0.1")] if kind.promise else []
        message.answer(kind.status, why.encode() or kind.text, headers)

    def _status(self) -> bytes:
        """What an operator wants to know of the voters, as this machine sees them."""
        found = self.safety
        return json.dumps(
            {
                "in_contact": self.in_contact,
                "counts": self.counts,
                "epoch": self.voters.epoch,
                "voters": list(self.voters.names),
                "away": self._away(),
                "copies": found.copies,
                "losses": found.losses,
                "losses_wanted": self.settings.losses,
                "items": len(self.items),
            }
        ).encode()

    async def _patch(self, message: Message) -> None:
        # What is invalid on old state may be valid on what stands, so nothing is judged before.
        if not await self._contact_found(max(0.0, ANSWER_S - ROUND_S)):
            self._refuse(message, ErrorKind.NO_QUORUM)
            return
        read = configuration.read(message.body)
        if read.is_error():
            self._refuse(message, ErrorKind.INVALID, read.error)
            return
        outcome = await self.agreement.change(read.ok, ANSWER_S)
        if outcome.fault is not None:
            self._refuse(message, outcome.fault, outcome.why)
            return
        message.answer(200, b"{}", [(b"Content-Type", b"application/json")])

    async def _get(self, message: Message) -> None:
        if not await self.agreement.read(ANSWER_S):
            self._refuse(message, ErrorKind.NO_QUORUM)
            return
        message.answer(200, configuration.whole(self.items), [(b"Content-Type", b"application/json")])
