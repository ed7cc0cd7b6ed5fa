"""The decisions of one sidecar. Settings, events and actions are defined in `dunefield/interface.py`.

The ordinary path is the design's: each server has an in-flight budget of k steps times a learned
concurrency figure; a call goes to the less loaded of two random servers by own calls in flight, ties by
expected time to answer; servers at budget are redrawn; calls wait in order when all are full; a waiting
call may pass as the server's one trial, under a backoff shared by all trials there. Each departure is
marked "Exception" and listed in docs/design.md with the condition under which it acts.
"""

from __future__ import annotations

from dunefield.asking import Asking
from dunefield.book import Book
from dunefield.crowding import STIR, Crowding
from dunefield.demand import Demand
from dunefield.hold import TICK, Hold
from dunefield.idle import Idle
from dunefield.interface import (NEVER_RAN, Action, AttemptFinished, AttemptOutcome, BodyCompleted,
    BodyDiscarded, ClientDisconnected, Event, ProbeResult, RequestArrived, ResponseStarted, ServerListUpdate,
    Settings, TimerFired)
from dunefield.patience import Patience
from dunefield.pick import Pick
from dunefield.promises import Promises
from dunefield.retries import Retries
from dunefield.ring import Ring
from dunefield.speeds import Speeds
from dunefield.state import Call
from dunefield.trust import Trust


class Balancer:
    """One sidecar's balancer: clock, seed and events in, actions out. It holds the parts that decide."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.book = book = Book(settings, seed)
        self.patience = Patience()
        self.demand = Demand(book.horizon, book.pace, now)
        self.crowding = Crowding(book.classes, book.horizon, now)
        self.ring = Ring(book, self.demand)
        self.speeds = Speeds(book, self.crowding, now)
        self.idle = Idle(book)
        self.trust = Trust(book, self.demand, self.ring, self.speeds)
        self.promises = Promises(book, self.idle)
        self.pick = Pick(book, self.ring, self.speeds, self.trust, self.promises)
        self.hold = Hold(book, self.demand, self.crowding, self.speeds, self.promises, self.pick)
        self.asking = Asking(book, self.crowding, self.speeds, self.trust, self.promises, self.pick,
                             self.hold)
        self.retries = Retries(book, self.speeds, self.trust, self.promises, self.pick, self.asking)

    def census(self, now: int) -> tuple[int, int]:
        """Servers in the list, and those of them that no call goes to now: draining, left until a backoff
        ends or a trial is back, or muted."""
        listed = [s for s in self.book.servers.values() if not s.gone]
        return len(listed), sum(1 for s in listed if not s.up or not s.k or now < s.mute_until)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return the actions to carry out, in order."""
        book = self.book
        acts: list[Action] = []
        book.acts = acts
        if isinstance(event, RequestArrived):
            self._on_accept(now, event)
        elif isinstance(event, ProbeResult):
            self.asking.echo(now, event)
        elif isinstance(event, AttemptFinished):
            self._on_response(now, event)
        elif isinstance(event, TimerFired):
            self.ring.due(now)
            if event.tag == TICK:
                # Told by its tag and not by the clock: another event of the same instant must not swallow the
                # tick, or the held calls whose time is up would be lost.
                self.asking.pump(now, True)
        elif isinstance(event, ServerListUpdate):
            if self.ring.take(now, event):
                self.asking.pump(now)
        elif isinstance(event, ClientDisconnected):
            book.drop(event.request_id)
        elif isinstance(event, ResponseStarted) and event.request_id in book.calls:
            book.calls[event.request_id].begun = True
        elif isinstance(event, BodyDiscarded) and event.request_id in book.calls:
            book.calls[event.request_id].spent = True
        elif isinstance(event, BodyCompleted):
            book.growing.discard(event.request_id)
        return acts

    def _on_accept(self, now: int, event: RequestArrived) -> None:
        book, hold = self.book, self.hold
        # A class that the settings do not name may be one that must never run twice.
        number = event.class_index if 0 <= event.class_index < len(book.classes) else len(book.classes) - 1
        cls = book.classes[number]
        # An answer is worth nothing to a client that has left, however far the aim: patience may be short.
        aim_at = now + min(cls.target_ns + int(cls.target_work_factor * event.expected_work_ns),
                           cls.deadline_ns, event.timeout_ns)
        size = event.expected_work_ns + self.speeds.extra[number][0]
        call = Call(event.request_id, number, cls, now + event.timeout_ns, aim_at,
                    event.expected_work_ns, max(1.0, size))
        call.give_up = hold.give_up(call)
        book.calls[event.request_id] = call
        if event.body_incomplete:
            book.growing.add(event.request_id)
        self.demand.asked(now)
        self.crowding.count(number)
        self.retries.earn()
        past = self.patience.spent(event.timeout_ns, cls.deadline_ns) >= cls.target_ns and cls.late_value <= 0
        # Exception "shedding": one whose aim has passed in tries before this one goes before all others.
        if now >= call.give_up or (past and self.crowding.level > STIR) or hold.shed(now, number, call.size):
            self.promises.end(call, cls.target_ns // 8)
        elif book.probing:
            self.asking.ask(now, call)
        elif book.held:
            hold.keep(now, call)  # arrival order: nobody overtakes a waiting call
            self.asking.pump(now)
        elif not hold.go(now, call):
            hold.keep(now, call)

    def _on_response(self, now: int, event: AttemptFinished) -> None:
        book = self.book
        attempt = book.attempts.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return
        server, how = attempt.server, event.outcome
        del server.out[event.request_id, event.attempt]
        server.inflight -= 1
        server.used = now
        if how == AttemptOutcome.OK:
            server.heard = now
            self.retries.overtake(now, attempt)
            self.idle.answered(now, attempt.idle)
        stale = how == AttemptOutcome.RESET and self.idle.stale(now, attempt.idle, event.latency_ns)
        if attempt.sent >= server.started:  # else it speaks of the process before, and that one is gone
            server.trial = server.trial and not attempt.trial
            if not stale:
                if how == AttemptOutcome.OK and event.latency_ns > 0:
                    self.demand.answered(now)
                    self.speeds.learn(now, attempt, event.latency_ns)
                self.speeds.feel(now, attempt, how, event.latency_ns)
                self.trust.judge(now, attempt, how)
        book.refresh(server)
        call = book.calls.get(event.request_id)
        if call is not None:
            call.out -= 1
            if event.closed:
                book.drop(event.request_id)
            elif how not in NEVER_RAN and call.ran_on is None:
                call.ran_on, call.ran_at = server, attempt.sent
            if not event.closed and not call.out and not call.begun:
                # A broken connection is no sign of load, so its repeat is free; so is one that cost nothing.
                swift = how in NEVER_RAN and event.latency_ns < call.cls.target_ns // 8
                self.retries.again(now, call, stale or (book.suspects and swift))
        self.asking.pump(now)
