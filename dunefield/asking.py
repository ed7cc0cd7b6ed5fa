"""Which servers are asked by a probe, and what their answers lead to."""

from __future__ import annotations

import math

from dunefield.book import PROBES, UNMUTED, Book
from dunefield.crowding import Crowding
from dunefield.hold import Hold
from dunefield.interface import AttemptOutcome, ProbeResult, ProbeServer
from dunefield.pick import Pick
from dunefield.promises import Promises
from dunefield.speeds import Speeds
from dunefield.state import Call, Server
from dunefield.trust import UNTOLD, Trust

ROUNDS = 2  # times to ask other servers before a busy one is taken


class Asking:
    """Probes and what they tell."""

    def __init__(self, book: Book, crowding: Crowding, speeds: Speeds, trust: Trust, promises: Promises,
                 pick: Pick, hold: Hold) -> None:
        self._book, self._crowding, self._speeds, self._trust = book, crowding, speeds, trust
        self._promises, self._pick, self._hold = promises, pick, hold

    def ask(self, now: int, call: Call) -> None:
        """Exception "probed pick": where probes bring reports cheaply, the candidates are asked first."""
        trust, pick = self._trust, self._pick
        call.rounds += 1
        call.best, call.queue, call.pending = None, math.inf, 0
        # Muted ones too when no other is left: a cause that all share is no reason to ask nobody.
        muted = all(self._shunned(now, s, call) for s in self._book.up)
        for _ in range(2 * PROBES):
            server = pick.draw(call, 0)
            if server is None or call.pending == PROBES:
                break
            if call in server.askers or server in call.tried:
                continue
            if (not muted and self._shunned(now, server, call)) or not trust.fits(now, server):
                continue
            call.pending += 1
            if not server.askers:  # else the probe that is out will tell this call, too
                self._book.acts.append(ProbeServer(server.name))
            server.askers.append(call)
        self._hold.keep(now, call)  # an echo may come too late, or never

    def _shunned(self, now: int, server: Server, call: Call) -> bool:
        """Whether a server's probes failed, or, Exception "unanswered class", it left the call's class
        unanswered, which no probe tells."""
        return now < max(server.mute_until, server.mute.get(call.number, UNMUTED)[0])

    def echo(self, now: int, event: ProbeResult) -> None:
        """A probe is back."""
        book, trust = self._book, self._trust
        server = book.servers.get(event.server)
        if server is None:
            return
        askers, server.askers = server.askers, []
        if book.suspects:
            if trust.asked(now, server, event):
                self.pump(now)
            return
        if event.outcome == AttemptOutcome.OK:
            server.heard = now
            # A server that answers without a report is taken for busy, as its machine may be: never for idle.
            server.load = event.load.get("inflight", event.load.get("queue", max(server.load, UNTOLD)))
        elif event.outcome == AttemptOutcome.ERROR or (
            event.outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECT_FAILED)
            and trust.struck(now, server, now - event.latency_ns)):
            server.mute_until = now + book.horizon  # draining, down, cut off or standing still: ask others
        # All else tells of the probe, not of the server: its connection was old, its answer unreadable, or
        # this sidecar had no descriptor for it.
        for call in askers:
            if not call.pending or call.request_id not in book.calls:
                continue
            call.pending -= 1
            if event.outcome == AttemptOutcome.OK:
                call.queue = min(call.queue, event.load.get("queue", call.queue))
            if event.outcome == AttemptOutcome.OK and trust.fits(now, server):
                best = call.best
                wait = (server.load + 1.0) * self._speeds.speed(now, server)
                if best is None or wait < call.best_wait:
                    call.best, call.best_wait = server, wait
            if call.pending <= 1 or (call.best is not None and call.best.load < 1.0):
                call.pending = 0
                self._settle(now, call)

    def _settle(self, now: int, call: Call) -> None:
        """Send to the least loaded server that echoed, if it can answer in time; else ask on or hold."""
        server = call.best
        if server is not None and server.load >= 1.0 and call.rounds % ROUNDS:
            self.ask(now, call)
            return
        if call.queue < math.inf:
            self._crowding.found(now, call.queue)
        if server is not None:
            stretch = max(self._speeds.stretch, self._speeds.speed(now, server))
            expect = (server.load + 1.0) * call.size * stretch
            # Nothing to lose, and the only way to learn better of a server that slow answers spoke against.
            # It harms where a server that stands still reports that it holds nothing.
            free = server.load < 1.0
            trial = server.slot < 0 and server.trial_due(now)
            if (free or now + expect <= call.aim_at) and self._promises.send(now, call, server, trial):
                return
        self._hold.keep(now, call)

    def pump(self, now: int, ticked: bool = False) -> None:
        """Let held calls go in arrival order, or ask for them again; end those whose time has run out."""
        if self._book.held or ticked:
            for call in self._hold.pump(now, ticked):
                self.ask(now, call)
            self._hold.arm()
