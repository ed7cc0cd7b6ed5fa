"""Which server a call goes to."""

from __future__ import annotations

from dunefield.book import UNMUTED, Book
from dunefield.interface import ProbeServer
from dunefield.promises import Promises
from dunefield.ring import Ring
from dunefield.speeds import Speeds
from dunefield.state import Call, Server
from dunefield.trust import Trust
from dunefield.budget import STEPS

DRAWS = 12  # draws before a pick falls back on the set of servers under budget
AWAY = 2  # so many times more of the time to answer speaks against a server away from home, at most


class Pick:
    """Choosing a server."""

    def __init__(self, book: Book, ring: Ring, speeds: Speeds, trust: Trust, promises: Promises) -> None:
        self._book, self._ring, self._speeds = book, ring, speeds
        self._trust, self._promises, self._random = trust, promises, book.random
        self._zone, self._replicas, prices = book.settings.zone, book.settings.replicas, book.settings.prices
        self._cross, self._handshake = prices.get("crossZone", 0.0), prices.get("handshake", 0.0)
        self._own, self._kept, self._suspects = book.narrow and not book.probing, book.kept, book.suspects

    def _expect(self, server: Server, call: Call, now: int) -> float:
        """Expected time to answer, with prices put into time."""
        expect = call.size * self._speeds.speed(now, server)
        if server.zone != self._zone:
            expect += self._cross * call.cls.target_ns
        if server.inflight >= server.peak or now - server.used > self._kept:
            expect += self._handshake * call.cls.target_ns
        return expect

    def draw(self, call: Call, turn: int) -> Server | None:
        """One server from the source of draws: the group a repeat is bound to, or all that may be drawn."""
        ring = self._ring
        if call.ran_on is not None and call.cls.retry_safety == "guarded" and call.cls.retry_scope != "all":
            bound = call.ran_on
            members = ring.groups.get(bound.cell if call.cls.retry_scope == "cell" else -1 - bound.zone)
            return members[int(self._random() * len(members))] if members else None
        size = ring.within(call, turn // 4)
        return ring.subset[int(self._random() * size)] if size else None

    def pick(self, now: int, call: Call) -> tuple[Server | None, bool, float]:
        """The less loaded of two random servers; (server, is a trial, expected time)."""
        if self._own and (call.ran_on is None or call.cls.retry_safety != "guarded"):
            found = self.pick_own(now, call)
            if found is not None:
                return found
        book, trust = self._book, self._trust
        best: Server | None = None
        best_time = 0.0
        drawn = 0
        for turn in range(DRAWS):
            server = self.draw(call, turn)
            if server is None:
                return None, False, 0.0
            if server is best or server in call.tried:
                continue
            if server.heft < self._ring.heaviest * self._random():
                continue  # Exception "listed weight": servers of unlike size are drawn by the weight listed
            if turn < DRAWS - 2 and now < server.mute.get(call.number, UNMUTED)[0]:
                # Exception "unanswered class": a server may fail one class and serve the rest, which k cannot
                # tell. Drawn all the same at the end, lest a shared cause leave the class no server.
                continue
            if not trust.fits(now, server):
                continue
            if not server.k:
                return server, True, 0.0
            time = self._expect(server, call, now)
            drawn += 1
            if best is None or (server.inflight, time) < (best.inflight, best_time):
                best, best_time = server, time
            if drawn == 2:
                break
        if best is None and not book.room and book.up:
            server = book.up[int(self._random() * len(book.up))]
            grows = 0 < server.k < STEPS and server.trial_due(now) and trust.warm(server, now)
            if grows and self._promises.may_go(now, call, server):
                return server, True, 0.0  # growth: calls wait at full budgets, so one passes as a trial
        return best, False, best_time

    def pick_own(self, now: int, call: Call) -> tuple[Server, bool, float] | None:
        """Exception "own subset": of the few servers that are its own, a sidecar that can't ask compares all.
        Two of them drawn at random would as often as not leave out the one that stands idle."""
        ring, trust, random = self._ring, self._trust, self._random
        best: Server | None = None
        best_key = (0, 0.0)
        best_time = 0.0
        size = ring.within(call, 0)
        usable = 0
        # Exception "home": few others go to the first places of its stretch of the ring first, so what those
        # hold is mostly its own, and own calls in flight tell. It harms where a few sidecars send nearly all.
        order = ring.subset
        home = max(1, -(-len(order) // self._replicas))
        first = int(random() * home) if home > 1 else 0  # among equals the first one found is taken
        for place in range(len(order)):
            if usable >= size:
                break
            server = order[(place + first) % home if place < home else place]
            if server in call.tried or now < server.mute.get(call.number, UNMUTED)[0]:
                continue
            if server.heft < ring.heaviest * random() or not trust.fits(now, server):
                continue
            if not server.k:
                if not self._suspects or server.erred:
                    return server, True, 0.0  # only a call shows whether the errors have an end
                server.trial = True
                self._book.acts.append(ProbeServer(server.name))
                continue
            usable += 1
            time = self._expect(server, call, now)
            key = (server.inflight, time * (1 + min(AWAY, max(0, place - home + 1))))
            if best is None or key < best_key:
                best, best_key, best_time = server, key, time
        return None if best is None else (best, False, best_time)
