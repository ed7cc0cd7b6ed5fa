"""How long work takes: by class, at each server and at all of them, as own answers tell."""

from __future__ import annotations

from dunefield.book import Book
from dunefield.budget import GAIN
from dunefield.crowding import CROWDED, Crowding
from dunefield.interface import AttemptOutcome
from dunefield.state import Attempt, Server

SLOW = 1.5  # an answer is slow from so many times what it takes uncrowded: servers that hold more may jam
MEMORY = 32  # horizons after which half of what is known of a server's speed has faded


class Speeds:
    """Times to answer, and what their length says of the crowd."""

    def __init__(self, book: Book, crowding: Crowding, now: int) -> None:
        self._book, self._crowding = book, crowding
        self._inv, self._horizon, self._probing = book.settings.invariants, book.horizon, book.probing
        self._span = (8 if book.probing else MEMORY) * book.horizon
        # Mean time to answer by class when uncrowded, beyond what a call's hint tells; its samples; the last.
        self.extra = [(c.target_ns / 4, 0, now) for c in book.classes]
        self.stretch = 1.0  # service time over size, all servers

    def learn(self, now: int, attempt: Attempt, lag: int) -> None:
        """An answer took `lag` nanoseconds."""
        server = attempt.server
        service = lag * self.ramp(server, now)  # being cold is no fault, and passes
        sample = service / attempt.size
        known = server.stretch if server.seen else self.stretch
        server.stretch, server.seen = known + (sample - known) * GAIN, now
        self.stretch += (sample - self.stretch) * GAIN / 8
        extra, count, at = self.extra[attempt.cls]
        error = min(service - attempt.hint - extra, 2 * attempt.size)  # a few cost many times the usual
        # By time and both ways alike: a jam hardly moves it, and a figure set too low does not last.
        first = count < 2 or (count < 32 and self._crowding.level < CROWDED)
        gain = max(1.0 / (count + 1) if first else 0.0, (now - at) / (64 * self._horizon))
        self.extra[attempt.cls] = (max(0.0, extra + error * min(gain, 1.0)), count + 1, now)
        self._crowding.answered(lag / self._book.classes[attempt.cls].target_ns)

    def feel(self, now: int, attempt: Attempt, how: int, lag: int) -> None:
        """How crowded the fleet is, from own answers alone."""
        silent = how == AttemptOutcome.TIMEOUT and attempt.server.seen < attempt.sent  # to all, as in a jam
        if self._probing or not (silent or how in (AttemptOutcome.OK, AttemptOutcome.FULL)):
            return  # echoes tell it better
        self._crowding.felt(now, how != AttemptOutcome.OK or lag > SLOW * attempt.size)

    def ramp(self, server: Server, now: int) -> float:
        """The share of its capacity that a server has at worst, being cold."""
        inv = self._inv
        age = now - server.started
        if server.started <= 0 or age >= inv.warm_up_ns:
            return 1.0
        return inv.cold_start_fraction + (1.0 - inv.cold_start_fraction) * max(age, 0) / inv.warm_up_ns

    def speed(self, now: int, server: Server) -> float:
        """A server's time to answer over size. What is old fades to the mean: one that is passed over tells
        nothing new."""
        if not server.seen:
            return self.stretch
        fade = self._span / (self._span + now - server.seen)
        return self.stretch + (server.stretch - self.stretch) * fade
