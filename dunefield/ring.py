"""Which servers there are, which of them are this sidecar's own, and when a list is asked for."""

from __future__ import annotations

from zlib import crc32

from dunefield.book import Book
from dunefield.demand import Demand
from dunefield.interface import ServerEntry, ServerListUpdate, StartTimer, SubscribeServerList
from dunefield.state import Call, Server

FEW = 2  # servers that an idle sidecar draws from at least: one of them may be bad
SPREAD = 2.5  # and more for each call in flight by Little's law: where calls go while those at home are busy


class Ring:
    """Servers as the list tells of them, and the list itself."""

    def __init__(self, book: Book, demand: Demand) -> None:
        self._book, self._demand, self._set = book, demand, book.settings
        self.subset: list[Server] = []  # all that are up, this sidecar's own first
        self.groups: dict[int, list[Server]] = {}  # by cell, and by zone as -1 - zone
        self.reach = 1  # servers that draws go over
        self.heaviest = 1.0  # the largest weight listed
        self.asked_at = 0  # before this no list is asked for
        self._pause = book.settings.invariants.subscribe_within_ns // 16
        self._watching = False

    def due(self, now: int) -> None:
        """A timer has come due: ask for the list if it is time."""
        if self._set.must_subscribe and not self._watching and now >= self.asked_at:
            # Should no answer ever come, ask again: silence is no excuse for an old list.
            pause = self._set.invariants.subscribe_within_ns // 2
            self.asked_at = now + pause
            self._book.acts += [SubscribeServerList(), StartTimer(pause, 0)]

    def take(self, now: int, event: ServerListUpdate) -> bool:
        """Take news of the list; whether there is any list in them."""
        inv = self._set.invariants
        if event.scope == "FAILED":
            # Discovery serves all sidecars: every failure doubles the pause, so that a crowd thins out. What
            # is drawn may be twice the pause, and must leave a list younger than is allowed.
            self._watching = False
            self._pause = min(self._pause * 2, inv.subscribe_within_ns * 3 // 8)
            self._ask_later(now)
            return False
        if event.scope == "SAVED":
            # The first chance to act: a timer asked for before any event would be lost, and with it the list.
            if self._set.must_subscribe:
                self._ask_later(now)
        else:
            self._watching = self._set.must_subscribe
            self._pause = inv.subscribe_within_ns // 16
        if event.scope != "INCREMENTAL":
            listed = {entry.server for entry in event.entries}
            for name, server in self._book.servers.items():
                if name not in listed:
                    server.up, server.gone = False, True
                    self._book.refresh(server)
        for entry in event.entries:
            self.enter(now, entry)
        self.relist()
        return True

    def _ask_later(self, now: int) -> None:
        pause = 1 + int(self._pause * 2 * self._book.random())
        self.asked_at = now + pause
        self._book.acts.append(StartTimer(pause, 0))

    def enter(self, now: int, entry: ServerEntry) -> None:
        """Note one line of the list."""
        book = self._book
        server = book.servers.get(entry.server)
        if server is None:
            server = book.servers[entry.server] = Server(entry)
        server.zone, server.cell, server.heft = entry.zone, entry.cell, entry.weight
        if server.started >= 0 and entry.started_ns > server.started:
            server.reset()  # a restart: verdicts on the old process say nothing of the new one
        if entry.started_ns > server.started:
            # Where in its first credit each sidecar stands is drawn, so that not all send at once.
            server.started = entry.started_ns
            server.credit, server.credit_at = book.random(), now
        server.up, server.gone = entry.lifecycle == "up", entry.lifecycle == "removed"
        book.refresh(server)

    def relist(self) -> None:
        """Rebuild what is derived from the list. Happens on list news only, never for a request."""
        book = self._book
        # Deploys bring new names for good: one that is gone is forgotten once nothing of it is out.
        for server in [s for s in book.servers.values() if s.gone and not s.inflight and not s.askers]:
            del book.servers[server.name]
        book.up = sorted((s for s in book.servers.values() if s.up), key=lambda s: s.name)
        self.groups = {}
        for server in book.up:
            self.groups.setdefault(-1 - server.zone, []).append(server)
            self.groups.setdefault(server.cell, []).append(server)
        self.heaviest = max((s.heft for s in book.up), default=1.0)
        # One ring at all sidecars, each starting at its own number's place: every server is as many sidecars'
        # own as any other, whichever servers and sidecars there are. Halls are interleaved: with one lost,
        # each sidecar lacks as much of its own as the fleet does.
        halls: dict[int, list[Server]] = {}
        for server in sorted(book.up, key=lambda s: (crc32(s.name.encode()), s.name)):
            halls.setdefault(server.zone, []).append(server)
        ring = [((i + 0.5) / len(h), s.name, s) for h in halls.values() for i, s in enumerate(h)]
        ring.sort(key=lambda place: place[:2])
        start = self._set.index % self._set.replicas * len(ring) // self._set.replicas
        self.subset = [place[2] for place in ring[start:] + ring[:start]]
        book.live, book.shut_until = sum(1 for s in book.up if s.k), 0

    def within(self, call: Call, further: int) -> int:
        """How many of the servers on its ring this sidecar goes to.

        Exception "own subset": a sidecar learns nothing of a fleet it meets once a minute; hundreds of them
        fill the servers' connection tables, and handshakes take capacity. It keeps to its own share of the
        fleet, or to a few for each call that it has in flight: most of what those hold is then its own, and
        own calls in flight tell of their queues. It harms where few sidecars send nearly all there is."""
        size = len(self.subset)
        if self._book.narrow:
            share = -(-size // self._set.replicas)
            size = min(size, max(share, FEW + round(SPREAD * self._demand.flow * call.size)) + further)
        self.reach = max(1, size)
        return size
