"""Which servers are asked by a probe, and what their answers lead to."""

from __future__ import annotations

import math

from dunefield.book import PROBES, UNMUTED
from dunefield.hold import Hold
from dunefield.interface import Echo, How, Probe
from dunefield.state import Call, Server

UNTOLD = 2.0  # requests that a server is supposed to hold where its report is missing
ROUNDS = 2  # times to ask other servers before a busy one is taken


class Asking(Hold):
    """Probes and what they tell."""

    def _ask(self, now: int, call: Call) -> None:
        """Exception "probed pick": where probes bring reports cheaply, the candidates are asked first."""
        call.rounds += 1
        call.best = None
        call.queue = math.inf
        call.pending = 0
        # Muted ones too when no other is left: a cause that all share is no reason to ask nobody.
        muted = all(self._shunned(now, s, call) for s in self._up)
        for _ in range(2 * PROBES):
            server = self._draw(call, 0)
            if server is None or call.pending == PROBES:
                break
            if call in server.askers or server in call.tried:
                continue
            if (not muted and self._shunned(now, server, call)) or not self._fits(now, server):
                continue
            call.pending += 1
            if not server.askers:  # else the probe that is out will tell this call, too
                self._acts.append(Probe(server.name))
            server.askers.append(call)
        self._hold(now, call)  # an echo may come too late, or never

    def _shunned(self, now: int, server: Server, call: Call) -> bool:
        """Whether a server's probes failed, or, Exception "unanswered class", it left the call's class
        unanswered, which no probe tells."""
        return now < max(server.mute_until, server.mute.get(call.number, UNMUTED)[0])

    def _on_echo(self, now: int, event: Echo) -> None:
        server = self._servers.get(event.server)
        if server is None:
            return
        askers, server.askers = server.askers, []
        if self._suspects:
            self._asked_trial(now, server, event)
            return
        if event.how == How.OK:
            server.heard = now
            # A server that answers without a report is taken for busy, as its machine may be: never for idle.
            server.load = event.load.get("inflight", event.load.get("queue", max(server.load, UNTOLD)))
        elif event.how == How.ERROR or (
            event.how in (How.TIMEOUT, How.CONNECT_FAILED) and self._struck(now, server, now - event.lag_ns)
        ):
            server.mute_until = now + self._horizon  # draining, down, cut off or standing still: ask others
        # All else tells of the probe, not of the server: its connection was old, its answer unreadable, or
        # this sidecar had no descriptor for it.
        for call in askers:
            if not call.pending or call.tid not in self._calls:
                continue
            call.pending -= 1
            if event.how == How.OK:
                call.queue = min(call.queue, event.load.get("queue", call.queue))
            if event.how == How.OK and self._fits(now, server):
                best = call.best
                wait = (server.load + 1.0) * self._speed(now, server)
                if best is None or wait < call.best_wait:
                    call.best, call.best_wait = server, wait
            if call.pending <= 1 or (call.best is not None and call.best.load < 1.0):
                call.pending = 0
                self._settle(now, call)

    def _asked_trial(self, now: int, server: Server, event: Echo) -> None:
        """A suspect's probe is back: with an answer and no queue it is taken in again."""
        if not server.trial or server.k:
            return  # of the process before, and meanwhile a call is the trial
        server.trial = False
        queue = event.load.get("queue", 0.0)
        if event.how == How.OK and queue < UNTOLD:
            server.k, server.backoff, server.retry_at = 1, 0, 0
            self._live += server.up
        elif event.how == How.OK:
            # It works: no longer a suspect, only busy for about as long as that queue takes.
            server.backoff = 0
            server.retry_at = now + int(queue * self._pace * 4 * (0.75 + 0.5 * self._random()))
        else:  # also where no connection came up in time, or there was no descriptor for one
            server.backoff = min(max(2 * server.backoff, self._horizon), 4 * self._horizon)
            server.retry_at = now + int(server.backoff * (0.75 + 0.5 * self._random()))
        self._refresh(server)
        self._pump(now)

    def _settle(self, now: int, call: Call) -> None:
        """Send to the least loaded server that echoed, if it can answer in time; else ask on or hold."""
        server = call.best
        if server is not None and server.load >= 1.0 and call.rounds % ROUNDS:
            self._ask(now, call)
            return
        if call.queue < math.inf:
            self._crowding.found(now, call.queue)
        if server is not None:
            expect = (server.load + 1.0) * call.size * max(self._stretch, self._speed(now, server))
            # Nothing to lose, and the only way to learn better of a server that slow answers spoke against.
            # It harms where a server that stands still reports that it holds nothing.
            free = server.load < 1.0
            trial = server.slot < 0 and server.trial_due(now)
            if (free or now + expect <= call.aim_at) and self._send(now, call, server, trial):
                return
        self._hold(now, call)
