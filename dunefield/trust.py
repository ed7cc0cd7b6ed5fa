"""How far each server is trusted: budgets and trials, convictions, rations of the cold, idle connections."""

from __future__ import annotations

from dunefield.book import UNMUTED, pulse
from dunefield.budget import GAIN, STEPS
from dunefield.crowding import CROWDED
from dunefield.interface import CloseIdle, How, Response
from dunefield.ring import Ring
from dunefield.state import Attempt, Server

SLOW = 1.5  # an answer is slow from so many times what it takes uncrowded: servers that hold more may jam
MEMORY = 32  # horizons after which half of what is known of a server's speed has faded
COLD_SHARE = 0.7  # of the demand, retries in it, that a server's warmth is held against


class Trust(Ring):
    """What is made of each server."""

    def _learn(self, now: int, attempt: Attempt, event: Response) -> None:
        if event.how == How.OK and event.lag_ns > 0:
            server = attempt.server
            span = min(self._horizon, now - self._begun_at + self._pace)
            self._served, self._served_at = pulse(self._served, now - self._served_at, span), now
            service = event.lag_ns * self._ramp(server, now)  # being cold is no fault, and passes
            sample = service / attempt.size
            known = server.stretch if server.seen else self._stretch
            server.stretch, server.seen = known + (sample - known) * GAIN, now
            self._stretch += (sample - self._stretch) * GAIN / 8
            extra, count, at = self._extra[attempt.cls]
            error = min(service - attempt.hint - extra, 2 * attempt.size)  # a few cost many times the usual
            # By time and both ways alike: a jam hardly moves it, and a figure set too low does not last.
            first = count < 2 or (count < 32 and self._crowding.level < CROWDED)
            gain = max(1.0 / (count + 1) if first else 0.0, (now - at) / (64 * self._horizon))
            self._extra[attempt.cls] = (max(0.0, extra + error * min(gain, 1.0)), count + 1, now)
            self._crowding.answered(event.lag_ns / self._classes[attempt.cls].aim_ns)

    def _feel(self, now: int, attempt: Attempt, event: Response) -> None:
        """How crowded the fleet is, from own answers alone."""
        silent = event.how == How.TIMEOUT and attempt.server.seen < attempt.sent  # to every call, as in a jam
        if self._probing or not (silent or event.how in (How.OK, How.FULL)):
            return  # echoes tell it better
        slow = event.how != How.OK or event.lag_ns > SLOW * attempt.size
        self._crowding.felt(now, slow)

    def _judge(self, now: int, attempt: Attempt, how: int) -> None:
        """Budget, trial and conviction after an outcome."""
        server = attempt.server
        if how in (How.CANCELLED, How.MOOT):
            return  # withdrawn or never sent: no verdict on the server
        broken = how in (How.CONNECT_FAILED, How.RESET)
        if broken and not self._struck(now, server, attempt.sent) and not self._suspects:
            return
        failed = how != How.OK
        before = server.k
        if self._suspects and failed and not attempt.trial:
            self._suspect(now, attempt, how)
        elif attempt.trial:
            if failed:
                server.hold_off(now, self._horizon, 8 * self._horizon, self._random)
            else:
                server.grow()
        elif broken and server.k:
            server.halve()
        if how == How.FULL:
            server.refused()
        elif how == How.TIMEOUT:
            self._unanswered(now, attempt)
        elif not failed:
            server.mute.pop(attempt.cls, None)
            server.accepted()
        again, server.erred = server.erred, how == How.ERROR
        if server.erred and again and self._may_convict():
            # Exception "conviction": failing servers answer fast, look idle and would draw all calls. Not at
            # a first error: healthy ones have those, too, and a small fleet would lack them for nothing.
            server.k = 0
        if before and not server.k:
            self._live -= server.up
            if not attempt.trial:
                server.shut(now, 0 if self._suspects else self._horizon, self._random)
        elif server.k and not before:
            self._live += server.up

    def _suspect(self, now: int, attempt: Attempt, how: int) -> None:
        """Exception "suspicion": a sidecar that goes by its own few calls leaves a server at its first
        failure and asks it by a probe before it comes back: a second and third call would be lost to learn
        the same, and a server that turns all away at once looks idle and draws them. Half of the fleet is
        left in any case."""
        server = attempt.server
        if how == How.FULL and server.inflight:
            return  # own calls fill it: the figure takes care of that
        if how == How.TIMEOUT and server.heard > attempt.sent:
            return  # it has answered others since
        if not server.k or not self._may_convict():
            return
        server.k = 0
        server.backoff = int(2 * attempt.size) if how == How.FULL else self._horizon
        if how == How.TIMEOUT and not self._struck(now, server, attempt.sent):
            # Late and not silent, most likely: asked at once, it is back before others have to do its work.
            # If it has answered nothing since the last time, asking tells too little.
            server.backoff = 0
        server.backoff = min(server.backoff, self._horizon)

    def _unanswered(self, now: int, attempt: Attempt) -> None:
        """A server let a class go unanswered: pass over it for that class. Where probes decide, a first time
        since it last answered the class is only noted, as a single connection may have fallen silent."""
        mute = attempt.server.mute
        noted = attempt.cls in mute or not self._probing
        pause = min(max(2 * mute.get(attempt.cls, UNMUTED)[1], self._horizon), 8 * self._horizon)
        mute[attempt.cls] = (now + pause if noted else 0, pause)

    def _struck(self, now: int, server: Server, sent: int) -> bool:
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
        return 2 * self._live > len(self._up)

    def _ramp(self, server: Server, now: int) -> float:
        """The share of its capacity that a server has at worst, being cold."""
        inv = self._set.invariants
        age = now - server.started
        if server.started <= 0 or age >= inv.cold_ns:
            return 1.0
        return inv.cold_from + (1.0 - inv.cold_from) * max(age, 0) / inv.cold_ns

    def _warm(self, server: Server, now: int) -> bool:
        """Exception "cold ramp": a server that may be cold gets its worst warmth's share of what own servers
        answer, in credit for one call at a time. Answers and not demand, which a storm multiplies; a floor
        of the demand, lest a fleet that is cold throughout gets nothing."""
        if server.started <= 0 or now - server.started >= self._set.invariants.cold_ns:
            return True
        ramp = self._ramp(server, now)
        if ramp >= 1.0:
            return True
        served = min(self._served, 1.0 / max(1, now - self._served_at))
        rate = ramp * max(served, COLD_SHARE * self._flow) / self._reach
        server.credit = min(1.0, server.credit + rate * (now - server.credit_at))
        server.credit_at = now
        return server.credit >= 1.0

    def _fits(self, now: int, server: Server) -> bool:
        """Under budget or due for a trial, and warm enough. Growth: where all are at their budgets, one more
        call may pass as a trial; with probes only where the server tells of fewer than are out from here, as
        then some hang on silent connections; without, that is for _pick to say."""
        if not server.up:
            return False
        if server.slot < 0:
            hang = server.load + 0.5 < server.inflight
            grows = self._probing and hang and not self._room and server.k < STEPS
            if (server.k and not grows) or not server.trial_due(now):
                return False
        return self._warm(server, now)

    def _speed(self, now: int, server: Server) -> float:
        """A server's time to answer over size. What is old fades to the mean: one that is passed over tells
        nothing new."""
        if not server.seen:
            return self._stretch
        span = (8 if self._probing else MEMORY) * self._horizon
        fade = span / (span + now - server.seen)
        return self._stretch + (server.stretch - self._stretch) * fade

    def _stale(self, now: int, idle: int, lag: int) -> bool:
        """Exception "stale connection": a reset that comes sooner after the send than the connection had been
        idle before says that something dropped the idle connection; of the server it says nothing. Idle
        connections are then closed before use from half that idle time on. Covers crashes seen late, too;
        it harms where every connection must be new and handshakes are dear. One that had been idle for less
        than others that were answered lately was not dropped for that: something resets requests, and new
        connections would be reset as well."""
        proven = self._idle_proof[0] if now < self._idle_proof[1] else 0
        if idle <= max(lag, proven):
            return False
        self._idle_max = min(self._idle_max, max(proven, idle // 2))
        self._idle_doubt = now + 8 * self._horizon
        return True

    def _touch(self, now: int, server: Server) -> None:
        """Note the use of a connection; one that has been idle for too long is closed first."""
        if now >= self._idle_doubt:
            self._idle_max = self._kept
        server.idle = 0 if server.inflight or not server.used else now - server.used
        if server.idle > self._idle_max:
            if self._idle_max < self._kept:
                self._acts.append(CloseIdle(server.name))
            server.idle = server.peak = 0  # the call gets a new one, and its end tells nothing of idling
        server.used = now
