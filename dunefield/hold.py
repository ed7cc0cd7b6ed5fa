"""Which calls go now, which wait in order, and which are shed."""

from __future__ import annotations

from dunefield.book import RETRY_RATIO, pulse
from dunefield.interface import Defer
from dunefield.pick import Pick
from dunefield.state import Call

TICK = 1  # tag of the timer for held calls; 0 is the one for the server list
HOPEFUL = 0.8  # part of the time left that a call may be expected to use, less the crowding, as times scatter
DEAR = 1.2  # the same for calls worth more than the mean: refusing them loses the most


class Hold(Pick):
    """Calls that go, wait or are shed."""

    def _count(self, now: int, number: int) -> None:
        """Rate of requests and share of each class, over about one horizon."""
        span = min(self._horizon, now - self._begun_at + self._pace)
        self._rate = pulse(self._rate, now - self._heard_at, span)
        span = min(8 * self._horizon, now - self._begun_at + self._pace)
        self._flow = pulse(self._flow, now - self._heard_at, span)
        self._heard_at = now
        self._crowding.count(number)
        self._tokens = min(self._tokens + RETRY_RATIO, 2.0 / RETRY_RATIO)

    def _shed(self, now: int, number: int, size: float) -> bool:
        """Exception "shedding": the fleet answers slower than when uncrowded, so part of the calls must not
        reach it, those of least worth first. Each sidecar draws for itself, so the fleet sheds smoothly."""
        flow = (self._served + self._rate) / 2 * size
        # Bodies that still come are no work: a few slow ones would pass for a jam.
        growing = sum(1 for tid in self._growing if self._calls[tid].out) if self._growing else 0
        return self._crowding.sheds(now, number, len(self._attempts) - growing, flow, self._random())

    def _give_up(self, call: Call) -> int:
        """When holding a call further earns nothing; always before its client's time is up."""
        last = call.deadline - 2 * self._set.period_ns
        if call.cls.late_worth > 0:
            return last
        return min(last, call.aim_at - int(call.size * self._stretch / 2))

    def _hopeless(self, now: int, call: Call, expect: float) -> bool:
        """Exception "shedding": the best server found would answer after the aim, which earns little.
        Random, so that a thousand sidecars with the same old news don't all stop and start together."""
        ratio = expect / max(1, call.aim_at - now)
        level, hopeful = self._crowding.level, HOPEFUL
        if not self._probing:
            part = call.cls.worth / self._mean_worth
            # Slow answers tell of a loss of servers at once, late ones of the load over some seconds.
            level = max(level, self._crowding.harm(part))
            level, hopeful = (0.0, DEAR) if part > 1.0 else (level, HOPEFUL)
        doubt = min(0.9, (ratio - hopeful + level) * 1.5)
        return self._random() < doubt * (1.0 - call.cls.late_worth)

    def _try(self, now: int, call: Call) -> bool:
        """Send the call or end it; False if it has to wait."""
        scan = self._up and not self._live and now >= self._shut_until
        if scan and not any(s.trial_due(now) for s in self._up):
            self._shut_until = max(now + self._pace, min(s.retry_at for s in self._up))
        if now < self._shut_until and not self._live:
            # Every server is at k = 0 in trial or backoff: nothing can take it soon.
            self._end(now, call, self._shut_until - now)
            return True
        server, trial, expect = self._pick(now, call)
        if server is None:
            return False
        if (not trial and self._hopeless(now, call, expect)) or not self._send(now, call, server, trial):
            self._end(now, call, call.cls.aim_ns // 8)
        return True

    def _hold(self, now: int, call: Call) -> None:
        if now + self._pace >= call.give_up:
            self._end(now, call, call.cls.aim_ns // 8)
            return
        self._held[call.tid] = call
        self._arm()

    def _arm(self) -> None:
        if self._held and not self._armed:
            self._armed = True
            self._acts.append(Defer(self._pace, TICK))

    def _pump(self, now: int, ticked: bool = False) -> None:
        """Let held calls go in arrival order; end those whose time has run out."""
        held = self._held
        if not held:
            return
        if ticked:
            for call in [c for c in held.values() if now + self._pace >= c.give_up]:
                self._end(now, call, call.cls.aim_ns // 8)
        if not self._probing:
            while held and self._try(now, next(iter(held.values()))):
                pass
        elif ticked:
            for call in [c for c in held.values() if not c.pending]:
                self._ask(now, call)
        self._arm()

    # --- above

    def _ask(self, now: int, call: Call) -> None:
        """Ask servers for a call that waits (dunefield/asking.py)."""
        raise NotImplementedError
