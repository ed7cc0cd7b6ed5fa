"""A barn: one core machine's part of the control state. Takes writes, merges, tells stiles, grants keys."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from hollyport.http.message import Message
from orchard import catalog, front, furrow
from orchard.catalog import Item
from orchard.faults import ANSWERS, Fault
from orchard.furrow import Dial, Furrow, pack
from orchard.granary import Granary
from orchard.keys import Registry, row_of
from orchard.quorum import NOBODY, Turn, Voters
from orchard.settings import Address, Settings
from orchard.words import Record, Word

ROUND_S = 0.4  # how long a round waits: the operator waits a second, and a change takes two
TURN_S = 1.2  # how long a writer's turn lasts where it says nothing more
ANSWER_S = 0.9  # an operator's call is answered within this
GATHER_S = 0.4  # nobody new for so long: the first voters are all there
AGREE_S = 1.0  # how often barns compare what they have
FORGET_S = 6.0  # a stile's record outlasts its furrow by so much
CLAIM_S = 1.0  # a claim's round is void after so long, and a barn without its disk waits as long


class Round:
    """Answers to one question put to several barns."""

    def __init__(self, need: int) -> None:
        self.need, self.got = need, 0
        self.whole: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def yes(self) -> None:
        """One more that counts."""
        self.got += 1
        if self.got >= self.need and not self.whole.done():
            self.whole.set_result(True)

    async def enough(self, limit_s: float) -> bool:
        """Whether as many as are needed answered in time."""
        if self.need <= 0:
            return True
        try:
            return await asyncio.wait_for(self.whole, limit_s)
        except TimeoutError:
            return False


class Barn:
    """One process of the role."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.me = settings.furrow.text
        self._anchor = time.time() - self.loop.time()
        self.items = catalog.EMPTY
        self.keys = Registry(settings.bound("key_window", 60.0))
        self.voters = NOBODY
        self.counts = False
        self._turn = Turn(TURN_S)
        self._told_epochs: dict[str, int] = {}  # by barn: the epoch that it has told
        self._granary = Granary(settings.data_dir or "/tmp/granary", self._state)
        self._dials: dict[str, Dial] = {}
        self._linked: dict[str, Furrow] = {}
        self._stiles: dict[Furrow, str] = {}
        self._records: dict[str, list[Any]] = {}
        self._rounds: dict[int, tuple[Round, Callable[[list[Any]], bool]]] = {}
        self._next = 0
        self._news = 0
        self.acked: dict[str, int] = {}  # by stile: the last change that it has acknowledged
        self._newest_barn = self.loop.time()
        self._tasks: set[asyncio.Task[None]] = set()
        self.stopping = False

    # --- start

    async def start(self) -> None:
        """Read the disk, listen, find the others."""
        self._load()
        self._server = await furrow.listen(self.settings.furrow, self._hear, self._came, self._left)
        control = self.settings.control
        assert control is not None
        self._door = await front.open_door(control, self.serve)
        for seed in self.settings.seed_furrows:
            self._know(seed)
        self._task(self._begin())
        self._task(self._agree())
        logger.info("barn listens", counts=self.counts, items=len(self.items), keys=len(self.keys))

    def _task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _now(self) -> float:
        """Time of day that never steps: read once, carried on by the steady clock."""
        return self._anchor + self.loop.time()

    def _load(self) -> None:
        """What the disk holds. A barn that had written anything is whole; grants carry times of day, as the
        steady clock does not outlast the process."""
        rows: list[Item] = []
        now = self._now()
        records = self._granary.load()
        # At the first start, or where this process ended before anything was written at all.
        self._fresh = not records
        for record in records:
            what = record[0]
            if what == "item":
                rows.append(Item(*record[1]))
            elif what == "voters":
                told = Voters(record[1], tuple(record[2]))
                self.voters = told if told.newer(self.voters) else self.voters
            elif what == "whole":
                self.counts = True
            elif what == "key":
                self.keys.take(now, [[*record[1][:3], *(at - now for at in record[1][3:5]), record[1][5]]])
            elif what == "free":
                self.keys.free(now, record[1], record[2])
            elif what == "broke":
                self.keys.broke(now, record[1], record[2])
        self.items = catalog.merge(self.items, rows)
        if self.settings.first_start:
            self.counts = True

    def _state(self) -> Iterable[Any]:
        """All that still counts, for the disk."""
        now = self._now()
        if self.counts:
            yield ["whole"]
        if self.voters.epoch:
            yield ["voters", self.voters.epoch, list(self.voters.names)]
        for item in self.items.values():
            yield ["item", list(item)]
        for row in self.keys.rows(now):
            yield self._key_record(now, row)

    @staticmethod
    def _key_record(now: float, row: list[Any]) -> list[Any]:
        return ["key", [*row[:3], row[3] + now, row[4] + now, row[5]]]

    async def _begin(self) -> None:
        """The first voters, or what a lost disk held."""
        seeds = self.settings.seed_furrows
        if not self.voters.epoch and seeds and seeds[0] == self.me and self._fresh:
            while not self.voters.epoch:
                met = all(self._told_epochs.get(seed) == 0 for seed in seeds if seed != self.me)
                if met and self.loop.time() > self._newest_barn + GATHER_S:
                    self._elect(Voters(1, tuple(sorted({self.me, *self._dials}))))
                    break
                await asyncio.sleep(0.02)
        if not self.counts:
            await self._recover()

    async def _recover(self) -> None:
        """A barn whose disk is gone counts again once so many others have been heard that nothing that was
        acknowledged, and no key that was granted, can be missing."""
        await asyncio.sleep(CLAIM_S + 0.1)
        while not self.counts:
            if self.voters.epoch:
                need = self.voters.read
                if await self._sync(need, own=False) and await self._fetch_keys(need):
                    self.counts = True
                    await self._flush()
                    logger.info("whole again", items=len(self.items), keys=len(self.keys))
                    self._tell_barns()
                    return
            await asyncio.sleep(0.1)

    async def _flush(self) -> None:
        done: asyncio.Future[bool] = self.loop.create_future()
        now = self._now()
        for record in self._state():
            self._granary.put(record)
        for row in self.keys.rows(now):
            self._granary.put(self._key_record(now, row))
        self._granary.put(["whole"], done.set_result)
        await done

    def resettle(self, settings: Settings) -> None:
        """Take over what may change while this process runs: seeds and bounds. The rest needs a restart."""
        self.settings = settings
        for seed in settings.seed_furrows:
            self._know(seed)

    async def stop(self) -> None:
        """Answer what is under way, then end."""
        self.stopping = True
        self._door.listener.last_requests()
        await asyncio.sleep(0.3)
        self._door.listener.shut()

    # --- other barns

    def _know(self, address: str) -> None:
        if address == self.me or address in self._dials:
            return
        self._newest_barn = self.loop.time()
        host, _, port = address.rpartition(":")
        self._dials[address] = Dial(
            Address(host, int(port)), self._hear, lambda link: self._barn_up(address, link),
            lambda link: self._barn_down(address, link),
        )
        self._tell_barns()
        packed = pack([Word.BARNS, [self.me, *self._dials], self.settings.zone])
        for link in self._stiles:
            link.put(packed)

    def _barn_up(self, address: str, link: Furrow) -> None:
        self._linked[address] = link
        link.send(self._hello())

    def _barn_down(self, address: str, link: Furrow) -> None:
        if self._linked.get(address) is link:
            del self._linked[address]

    def _hello(self) -> list[Any]:
        return [Word.BARN, self.me, [self.voters.epoch, list(self.voters.names)], [self.me, *self._dials]]

    def _tell_barns(self) -> None:
        packed = pack(self._hello())
        for link in self._linked.values():
            link.put(packed)

    def _came(self, link: Furrow) -> None:
        """Whoever dialled says who it is."""

    def _left(self, link: Furrow) -> None:
        node = self._stiles.pop(link, None)
        record = self._records.get(node) if node is not None else None
        if record is not None and node is not None:
            self.loop.call_later(FORGET_S, self._forget, node, record[Record.LIFE])

    def _forget(self, node: str, life: int) -> None:
        record = self._records.get(node)
        if record is None or record[Record.LIFE] != life or node in self._stiles.values():
            return
        del self._records[node]
        self._tell([Word.GONE, node, life])

    def _elect(self, told: Voters) -> None:
        if not told.newer(self.voters):
            return
        self.voters = told
        logger.info("voters", epoch=told.epoch, names=list(told.names))
        if len(told.names) < 2 * self.settings.losses + 1:
            logger.warning("fewer barns than the losses to be borne take: nothing acknowledged is lost, but "
                           "less can be served while some are down")
        self._granary.put(["voters", told.epoch, list(told.names)])
        if self.counts:
            self._granary.put(["whole"])
        for name in told.names:
            self._know(name)
        self._tell_barns()
        self._tell([Word.VOTERS, told.epoch, list(told.names)])

    # --- messages

    def _hear(self, link: Furrow, message: list[Any]) -> None:
        word = message[0]
        if word == Word.CLAIM:
            self._claim(link, *message[1:])
        elif word == Word.DONE:
            self._keep_answer(*message[1:])
        elif word == Word.FREE:
            self._let_go("free", *message[1:])
        elif word == Word.BROKE:
            self._let_go("broke", *message[1:])
        elif word in (Word.SYNCED, Word.HAVE, Word.KEYED):
            found = self._rounds.get(message[1])
            if found is not None and found[1](message):
                found[0].yes()
        elif word == Word.SYNC:
            yes = self.counts and (not message[3] or self._turn.take(self.loop.time(), message[3]))
            link.send([Word.SYNCED, message[1], yes, self._missing(message[2])])
        elif word == Word.PUT:
            self._write(message[2], message[3], lambda ok: link.send([Word.HAVE, message[1], ok]))
        elif word == Word.OVER:
            self._turn.over(message[1])
        elif word == Word.KEYS:
            rows = self.keys.rows(self._now()) if self.counts else []
            link.send([Word.KEYED, message[1], self.counts, rows])
        elif word == Word.BARN:
            self._told_epochs[message[1]] = message[2][0]
            self._know(message[1])
            for address in message[3]:
                self._know(address)
            self._elect(Voters(message[2][0], tuple(message[2][1])))
        elif word == Word.STILE:
            self._stile(link, message[1])
        elif word == Word.ACK:
            node = self._stiles.get(link)
            if node is not None:
                self.acked[node] = message[1]

    def _round(self, need: int, take: Callable[[list[Any]], bool]) -> tuple[int, Round]:
        self._next += 1
        made = Round(need)
        self._rounds[self._next] = (made, take)
        return self._next, made

    def _voting(self) -> list[Furrow]:
        return [self._linked[name] for name in self.voters.names if name in self._linked]

    # --- items

    def _missing(self, versions: dict[str, int]) -> list[Any]:
        return [list(item) for item in self.items.values() if versions.get(item.name, -1) <= item.version]

    def _take(self, rows: Iterable[list[Any]]) -> list[Item]:
        """Merge what another told; what of it is news here, and pass that on to the stiles."""
        news = [item for item in (Item(*row) for row in rows) if item.beats(self.items.get(item.name))]
        if news:
            self.items = catalog.merge(self.items, news)
            self._news += 1
            self._tell([Word.ITEMS, self._news, [list(item) for item in news]])
        return news

    def _store(self, rows: list[list[Any]], done: Callable[[bool], None]) -> None:
        """Merge items, and tell once those that stand here for their names are on the disk."""
        self._take(rows)
        names = [row[0] for row in rows]
        for name in names[:-1]:
            self._granary.put(["item", list(self.items[name])])
        if not names:
            done(True)
            return
        self._granary.put(["item", list(self.items[names[-1]])], lambda ok: done(ok))

    def _write(self, rows: list[list[Any]], token: str, done: Callable[[bool], None]) -> None:
        """Take a write, if it is its writer's turn here."""
        if not self.counts or not self._turn.holds(token):
            done(False)
            return
        self._store(rows, done)

    async def _sync(self, need: int, own: bool = True, token: str = "") -> bool:
        """Hear from so many barns that count what they have and this one has not; with a token, have them
        give its writer the turn."""
        def take(message: list[Any]) -> bool:
            for item in self._take(message[3]):
                self._granary.put(["item", list(item)])
            return bool(message[2])

        versions = {item.name: item.version for item in self.items.values()}
        mine = own and self.counts and self.me in self.voters.names
        if token and mine:
            mine = self._turn.take(self.loop.time(), token)
        number, made = self._round(need - mine, take)
        packed = pack([Word.SYNC, number, versions, token])
        for link in self._voting():
            link.put(packed)
        try:
            return await made.enough(ROUND_S)
        finally:
            del self._rounds[number]

    async def _fetch_keys(self, need: int) -> bool:
        def take(message: list[Any]) -> bool:
            if message[2]:
                self.keys.take(self._now(), message[3])
            return bool(message[2])

        number, made = self._round(need, take)
        for link in self._voting():
            link.send([Word.KEYS, number])
        try:
            return await made.enough(ROUND_S)
        finally:
            del self._rounds[number]

    async def _put(self, rows: list[list[Any]], token: str) -> bool:
        """Have these items on enough disks."""
        number, made = self._round(self.voters.write, lambda message: bool(message[2]))
        packed = pack([Word.PUT, number, rows, token])
        for link in self._voting():
            link.put(packed)
        if self.me in self.voters.names:
            self._write(rows, token, lambda ok: made.yes() if ok else None)
        try:
            return await made.enough(ROUND_S)
        finally:
            del self._rounds[number]

    async def _agree(self) -> None:
        """Compare with one other now and then: what a cut or a freeze kept from here comes by this."""
        while True:
            await asyncio.sleep(AGREE_S * (0.75 + random.random() / 2))
            links = list(self._linked.values())
            if not links:
                continue

            def take(message: list[Any]) -> bool:
                for item in self._take(message[3]):
                    self._granary.put(["item", list(item)])
                return True

            number, made = self._round(1, take)
            versions = {item.name: item.version + 1 for item in self.items.values()}
            random.choice(links).send([Word.SYNC, number, versions, ""])
            await made.enough(ROUND_S)
            del self._rounds[number]

    # --- stiles

    def _stile(self, link: Furrow, record: list[Any]) -> None:
        node = record[Record.NODE]
        fresh = link not in self._stiles
        self._stiles[link] = node
        known = self._records.get(node)
        news = known is None or record[Record.LIFE:] > known[Record.LIFE:]
        if fresh and known is not None and known[Record.LIFE] > record[Record.LIFE]:
            link.send([Word.LIFE, known[Record.LIFE]])
        if news:
            self._records[node] = record
        if fresh:
            link.send([Word.BARNS, [self.me, *self._dials], self.settings.zone])
            if self.voters.epoch:
                link.send([Word.VOTERS, self.voters.epoch, list(self.voters.names)])
            link.send([Word.ITEMS, self._news, [list(item) for item in self.items.values()]])
            link.send([Word.BEDS, list(self._records.values())])
        if news:
            packed = pack([Word.BEDS, [record]])
            for other in self._stiles:
                if other is not link:
                    other.put(packed)

    def _tell(self, message: list[Any]) -> None:
        packed = pack(message)
        for link in self._stiles:
            link.put(packed)

    # --- keys

    def _claim(self, link: Furrow, claim: int, key: str, token: str, left_s: float) -> None:
        if not self.counts:
            link.send([Word.CLAIMED, claim, -1, "", 0, None])
            return
        now = self._now()
        grant, fresh = self.keys.claim(now, key, token, left_s)
        if grant.token != token or grant.mark != 1:
            link.send([Word.CLAIMED, claim, 0, grant.token, int(grant.mark), grant.answer])
            return

        def written(ok: bool) -> None:
            if not ok and fresh:
                self.keys.free(self._now(), key, token)
            link.send([Word.CLAIMED, claim, 1 if ok else -1, token, 1, None])

        self._granary.put(self._key_record(now, row_of(now, key, grant)), written)

    def _keep_answer(self, key: str, token: str, answer: Any) -> None:
        now = self._now()
        if self.keys.done(now, key, token, answer):
            self._granary.put(self._key_record(now, self.keys.row(now, key)))

    def _let_go(self, what: str, key: str, token: str) -> None:
        now = self._now()
        if (self.keys.free if what == "free" else self.keys.broke)(now, key, token):
            self._granary.put([what, key, token])

    # --- operators

    def serve(self, message: Message) -> None:
        """A call on the control address."""
        path = message.target.partition(b"?")[0]
        if path == b"/-/config" and message.method == b"PATCH":
            self._task(self._patch(message))
        elif path == b"/-/config" and message.method == b"GET":
            self._task(self._get(message))
        elif path == b"/-/readiness":
            message.answer(200 if self.voters.epoch and self.counts else 503)
        else:
            message.answer(ANSWERS[Fault.NOT_HERE].status)

    def _refuse(self, message: Message, fault: Fault, why: str = "") -> None:
        kind = ANSWERS[fault]
        headers = [(b"Retry-After", b"0.1")] if kind.promise else []
        message.answer(kind.status, why.encode() or kind.text, headers)

    async def _patch(self, message: Message) -> None:
        read = catalog.read(message.body)
        if read.is_error():
            self._refuse(message, Fault.INVALID, read.error)
            return
        ends = self.loop.time() + ANSWER_S
        while True:
            self._next += 1
            token = f"{self.me}/{self._anchor}/{self._next}"
            if self.voters.epoch and await self._sync(self.voters.write, token=token):
                break
            self._over(token)
            if self.loop.time() > ends - ROUND_S:
                self._refuse(message, Fault.NO_QUORUM)
                return
            await asyncio.sleep(0.02 + 0.06 * random.random())  # another's turn, or too few are there
        change = catalog.change(self.items, read.ok)
        if change.is_error():
            self._over(token)
            self._refuse(message, Fault.INVALID, change.error)
            return
        # What stands in place of an older one has to last as well: the call's answer says so for each name.
        news = {item.name: item for item in change.ok}
        rows = [list(news.get(item.name) or self.items[item.name]) for item in read.ok]
        taken = await self._put(rows, token)
        self._over(token)
        if taken:
            self._take(rows)
            message.answer(200, b"{}", [(b"Content-Type", b"application/json")])
        else:
            self._refuse(message, Fault.NO_QUORUM)

    def _over(self, token: str) -> None:
        self._turn.over(token)
        packed = pack([Word.OVER, token])
        for link in self._voting():
            link.put(packed)

    async def _get(self, message: Message) -> None:
        if not self.voters.epoch or not await self._sync(self.voters.read):
            self._refuse(message, Fault.NO_QUORUM)
            return
        message.answer(200, catalog.whole(self.items), [(b"Content-Type", b"application/json")])
