"""How far each server is trusted: budgets and trials, convictions, rations of the cold."""

from __future__ import annotations

from dunefield.book import UNMUTED, Book
from dunefield.budget import STEPS
from dunefield.demand import Demand
from dunefield.interface import AttemptOutcome, ProbeResult
from dunefield.ring import Ring
from dunefield.speeds import Speeds
from dunefield.state import Attempt, Server

COLD_SHARE = 0.7  # of the demand, retries in it, that a server's warmth is held against
UNTOLD = 2.0  # requests that a server is supposed to hold where its report is missing


class Trust:
    """What is made of each server."""

    def __init__(self, book: Book, demand: Demand, ring: Ring, speeds: Speeds) -> None:
        self._book, self._demand, self._ring, self._speeds = book, demand, ring, speeds
        self._horizon, self._probing, self._suspects = book.horizon, book.probing, book.suspects
        self._cold_ns = book.settings.invariants.warm_up_ns

    def judge(self, now: int, attempt: Attempt, how: int) -> None:
        """Budget, trial and conviction after an outcome."""
        server = attempt.server
        if how in (AttemptOutcome.CANCELLED, AttemptOutcome.MOOT):
            return  # withdrawn or never sent: no verdict on the server
        broken = how in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET)
        if broken and not self.struck(now, server, attempt.sent) and not self._suspects:
            return
        failed = how != AttemptOutcome.OK
        before = server.k
        if self._suspects and failed and not attempt.trial:
            self._suspect(now, attempt, how)
        elif attempt.trial:
            if failed:
                server.hold_off(now, self._horizon, 8 * self._horizon, self._book.random)
            else:
                server.grow()
        elif broken and server.k:
            server.halve()
        if how == AttemptOutcome.FULL:
            server.refused()
        elif how == AttemptOutcome.TIMEOUT:
            self.unanswered(now, attempt)
        elif not failed:
            server.mute.pop(attempt.cls, None)
            server.accepted()
        again, server.erred = server.erred, how == AttemptOutcome.ERROR
        if server.erred and again and self._may_convict():
            # Exception "conviction": failing servers answer fast, look idle and would draw all calls. Not at
            # a first error: healthy ones have those, too, and a small fleet would lack them for nothing.
            server.k = 0
        if before and not server.k:
            self._book.live -= server.up
            if not attempt.trial:
                server.shut(now, 0 if self._suspects else self._horizon, self._book.random)
        elif server.k and not before:
            self._book.live += server.up

    def _suspect(self, now: int, attempt: Attempt, how: int) -> None:
        """Exception "suspicion": a sidecar that goes by its own few calls leaves a server at its first
        failure and asks it by a probe before it comes back: a second and third call would be lost to learn
        the same, and a server that turns all away at once looks idle and draws them. Half of the fleet is
        left in any case."""
        server = attempt.server
        if how == AttemptOutcome.FULL and server.inflight:
            return  # own calls fill it: the figure takes care of that
        if how == AttemptOutcome.TIMEOUT and server.heard > attempt.sent:
            return  # it has answered others since
        if not server.k or not self._may_convict():
            return
        server.k = 0
        server.backoff = int(2 * attempt.size) if how == AttemptOutcome.FULL else self._horizon
        if how == AttemptOutcome.TIMEOUT and not self.struck(now, server, attempt.sent):
            # Late and not silent, most likely: asked at once, it is back before others have to do its work.
            # If it has answered nothing since the last time, asking tells too little.
            server.backoff = 0
        server.backoff = min(server.backoff, self._horizon)

    def asked(self, now: int, server: Server, event: ProbeResult) -> bool:
        """A suspect's probe is back: with an answer and no queue it is taken in again. False: out of date."""
        if not server.trial or server.k:
            return False  # of the process before, and meanwhile a call is the trial
        server.trial = False
        queue = event.load.get("queue", 0.0)
        if event.outcome == AttemptOutcome.OK and queue < UNTOLD:
            server.k, server.backoff, server.retry_at = 1, 0, 0
            self._book.live += server.up
        elif event.outcome == AttemptOutcome.OK:
            # It works: no longer a suspect, only busy for about as long as that queue takes.
            server.backoff = 0
            server.retry_at = now + int(queue * self._book.pace * 4 * (0.75 + 0.5 * self._book.random()))
        else:  # also where no connection came up in time, or there was no descriptor for one
            server.hold_off(now, self._horizon, 4 * self._horizon, self._book.random)
        self._book.refresh(server)
        return True

    def unanswered(self, now: int, attempt: Attempt) -> None:
        """A server let a class go unanswered: pass over it for that class. Where probes decide, a first time
        since it last answered the class is only noted, as a single connection may have fallen silent."""
        mute = attempt.server.mute
        noted = attempt.cls in mute or not self._probing
        pause = min(max(2 * mute.get(attempt.cls, UNMUTED)[1], self._horizon), 8 * self._horizon)
        mute[attempt.cls] = (now + pause if noted else 0, pause)

    def struck(self, now: int, server: Server, sent: int) -> bool:
        """Exception "broken connection": whether what broke or fell silent tells of the server. A connection
        may do so at a healthy one, all day; a process that died or stands still does it again, unheard of
        in between."""
        if server.heard > sent:
            return False
        again = server.struck > server.heard
        server.struck = now
        return again

    def _may_convict(self) -> bool:
        """When most servers look bad the cause is shared, and convicting more only costs capacity."""
        return 2 * self._book.live > len(self._book.up)

    def warm(self, server: Server, now: int) -> bool:
        """Exception "cold ramp": a server that may be cold gets its worst warmth's share of what own servers
        answer, in credit for one call at a time. Answers and not demand, which a storm multiplies; a floor
        of the demand, lest a fleet that is cold throughout gets nothing."""
        if server.started <= 0 or now - server.started >= self._cold_ns:
            return True
        ramp = self._speeds.ramp(server, now)
        if ramp >= 1.0:
            return True
        demand = self._demand
        rate = ramp * max(demand.serving(now), COLD_SHARE * demand.flow) / self._ring.reach
        server.credit = min(1.0, server.credit + rate * (now - server.credit_at))
        server.credit_at = now
        return server.credit >= 1.0

    def fits(self, now: int, server: Server) -> bool:
        """Under budget or due for a trial, and warm enough. Growth: where all are at their budgets, one more
        call may pass as a trial; with probes only where the server tells of fewer than are out from here, as
        then some hang on silent connections; without, that is for Pick to say."""
        if not server.up:
            return False
        if server.slot < 0:
            hang = server.load + 0.5 < server.inflight
            grows = self._probing and hang and not self._book.room and server.k < STEPS
            if (server.k and not grows) or not server.trial_due(now):
                return False
        return self.warm(server, now)
