"""Which calls go now, which wait in order, and which are shed."""

from __future__ import annotations

from dunefield.book import Book
from dunefield.crowding import Crowding
from dunefield.demand import Demand
from dunefield.interface import StartTimer
from dunefield.pick import Pick
from dunefield.promises import Promises
from dunefield.speeds import Speeds
from dunefield.state import Call

TICK = 1  # tag of the timer for held calls; 0 is the one for the server list
HOPEFUL = 0.8  # part of the time left that a call may be expected to use, less the crowding, as times scatter
DEAR = 1.2  # the same for calls worth more than the mean: refusing them loses the most


class Hold:
    """Calls that go, wait or are shed."""

    def __init__(self, book: Book, demand: Demand, crowding: Crowding, speeds: Speeds, promises: Promises,
                 pick: Pick) -> None:
        self._book, self._demand, self._crowding, self._speeds = book, demand, crowding, speeds
        self._promises, self._pick = promises, pick
        self._pace, self._probing, self._random = book.pace, book.probing, book.random
        self._tail = 2 * book.settings.period_ns  # before a client's time is up: the last moment to answer
        self._mean_worth = sum(c.value for c in book.settings.classes) / len(book.settings.classes)
        self._armed = False  # a tick for the held calls is due

    def shed(self, now: int, number: int, size: float) -> bool:
        """Exception "shedding": the fleet answers slower than when uncrowded, so part of the calls must not
        reach it, those of least worth first. Each sidecar draws for itself, so the fleet sheds smoothly."""
        book = self._book
        flow = (self._demand.served + self._demand.rate) / 2 * size
        # Bodies that still come are no work: a few slow ones would pass for a jam.
        growing = sum(1 for request_id in book.growing if book.calls[request_id].out) if book.growing else 0
        return self._crowding.sheds(now, number, len(book.attempts) - growing, flow, self._random())

    def give_up(self, call: Call) -> int:
        """When holding a call further earns nothing; always before its client's time is up."""
        last = call.deadline - self._tail
        if call.cls.late_value > 0:
            return last
        return min(last, call.aim_at - int(call.size * self._speeds.stretch / 2))

    def _hopeless(self, now: int, call: Call, expect: float) -> bool:
        """Exception "shedding": the best server found would answer after the aim, which earns little.
        Random, so that a thousand sidecars with the same old news don't all stop and start together."""
        ratio = expect / max(1, call.aim_at - now)
        level, hopeful = self._crowding.level, HOPEFUL
        if not self._probing:
            part = call.cls.value / self._mean_worth
            # Slow answers tell of a loss of servers at once, late ones of the load over some seconds.
            level = max(level, self._crowding.harm(part))
            level, hopeful = (0.0, DEAR) if part > 1.0 else (level, HOPEFUL)
        doubt = min(0.9, (ratio - hopeful + level) * 1.5)
        return self._random() < doubt * (1.0 - call.cls.late_value)

    def go(self, now: int, call: Call) -> bool:
        """Send the call or end it; False if it has to wait."""
        book = self._book
        scan = book.up and not book.live and now >= book.shut_until
        if scan and not any(s.trial_due(now) for s in book.up):
            book.shut_until = max(now + self._pace, min(s.retry_at for s in book.up))
        if now < book.shut_until and not book.live:
            # Every server is at k = 0 in trial or backoff: nothing can take it soon.
            self._promises.end(call, book.shut_until - now)
            return True
        server, trial, expect = self._pick.pick(now, call)
        if server is None:
            return False
        hopeless = not trial and self._hopeless(now, call, expect)
        if hopeless or not self._promises.send(now, call, server, trial):
            self._promises.end(call, call.cls.target_ns // 8)
        return True

    def keep(self, now: int, call: Call) -> None:
        """Let a call wait, behind those that do; one that has no time left to wait is ended."""
        if now + self._pace >= call.give_up:
            self._promises.end(call, call.cls.target_ns // 8)
            return
        self._book.held[call.request_id] = call
        self.arm()

    def arm(self) -> None:
        """While calls wait, a tick is due."""
        if self._book.held and not self._armed:
            self._armed = True
            self._book.acts.append(StartTimer(self._pace, TICK))

    def pump(self, now: int, ticked: bool) -> list[Call]:
        """Let held calls go in order, end those out of time; return those to ask for again, then `arm`."""
        held = self._book.held
        if ticked:
            self._armed = False
            for call in [c for c in held.values() if now + self._pace >= c.give_up]:
                self._promises.end(call, call.cls.target_ns // 8)
        if self._probing:
            return [c for c in held.values() if ticked and not c.pending]
        while held and self.go(now, next(iter(held.values()))):
            pass
        return []
