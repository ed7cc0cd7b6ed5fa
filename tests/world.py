"""A small world that plays legal events at one balancer and audits its actions from outside.

It knows nothing of the module's insides: what it checks are the promises that an operator relies on.
"""

from __future__ import annotations

import random
from typing import Any

from build import MS, SECOND

from dunefield import (
    Accept,
    Alarm,
    Defer,
    Directory,
    Echo,
    Entry,
    Fail,
    Hangup,
    How,
    Probe,
    Refuse,
    Response,
    Settings,
    Submit,
)

PROVEN = {How.FULL, How.CONNECT_FAILED, How.MOOT}
OUTCOMES = [How.OK] * 5 + [How.ERROR, How.FULL, How.TIMEOUT, How.CONNECT_FAILED, How.RESET, How.CANCELLED]


class Broken(AssertionError):
    """A promise was broken."""


class Request:
    def __init__(self, cls: int, deadline: int) -> None:
        self.cls, self.deadline = cls, deadline
        self.sends: list[tuple[Entry, int]] = []
        self.out: set[int] = set()
        self.ran: tuple[Entry, int] | None = None  # first attempt that may have run
        self.ended = False


class World:
    """Feeds one balancer; `step` draws and plays one event."""

    def __init__(self, make: Any, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.set, self.make, self.seed = settings, make, seed
        self.now = 0
        self.log: list[str] = []
        names = [f"10.0.0.{i}:80" for i in range(self.rng.choice([1, 3, 8]))]
        self.fleet = {name: Entry(name, i % 2, 0, i // 2) for i, name in enumerate(names)}
        self.count = 0
        self.restart()

    def restart(self) -> None:
        """A crash: all that was held is gone, and the saved list comes again."""
        self.requests: dict[str, Request] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[str] = []
        self.barred: set[str] = set()
        self.balancer = self.make(self.set, self.seed, self.now)
        self.play(Directory("SAVED", tuple(self.fleet.values())))

    def play(self, event: Any) -> None:
        actions = self.balancer.handle(self.now, event)
        self.log.append(f"{self.now} {event} {actions}")
        for action in actions:
            self.audit(action)

    def audit(self, action: Any) -> None:
        if isinstance(action, Defer):
            if action.in_ns <= 0:
                raise Broken("a timer in the past")
            self.timers.append((self.now + action.in_ns, action.tag))
        elif isinstance(action, Probe):
            if not self.set.limits.may_probe:
                raise Broken("probe where none is allowed")
            self.probes.append(action.server)
        elif isinstance(action, Submit):
            self.audit_send(action)
        elif isinstance(action, Refuse | Fail):
            request = self.requests[action.tid]
            if request.ended:
                raise Broken("a second final answer")
            if isinstance(action, Refuse):
                self.audit_refusal(request)
            request.ended = True

    def audit_send(self, action: Submit) -> None:
        request, limits = self.requests[action.tid], self.set.limits
        if request.ended or self.now > request.deadline:
            raise Broken("a send after the end")
        if action.server not in self.fleet or action.server in self.barred:
            raise Broken("a send to a server that is draining, gone or unlisted")
        if action.abandon_ns > request.deadline:
            raise Broken("an attempt may outlive its client")
        if len(request.sends) >= limits.max_attempts:
            raise Broken("more attempts than allowed")
        if request.out and not limits.second_copies:
            raise Broken("two attempts at once")
        entry, cls = self.fleet[action.server], self.cls(request)
        uncertain = request.ran or (request.sends[min(request.out)] if request.out else None)
        if uncertain and cls.repeat == "single_shot":
            raise Broken("an unsafe request may run twice")
        if uncertain and cls.repeat == "guarded":
            first, sent = uncertain
            same = {"all": True, "zone": first.zone == entry.zone, "cell": first.cell == entry.cell}
            if not same[cls.group] or self.now >= sent + cls.window_ns:
                raise Broken("a keyed request repeated outside its group or window")
        request.out.add(len(request.sends))
        request.sends.append((entry, self.now))

    def audit_refusal(self, request: Request) -> None:
        cls = self.cls(request)
        uncertain = request.ran is not None or request.out
        if uncertain and cls.repeat != "free" and not (cls.repeat == "guarded" and cls.group == "all"):
            raise Broken("a refusal that may be untrue")

    def cls(self, request: Request) -> Any:
        return self.set.classes[request.cls]

    # --- events ---------------------------------------------------------------------------------

    def step(self) -> None:
        self.pass_time(self.rng.choice([0, 1, 5, 30, 200]) * MS)
        draw = self.rng.random()
        if draw < 0.45:
            self.accept()
        elif draw < 0.80:
            self.outcome()
        elif draw < 0.88:
            self.echo()
        elif draw < 0.95:
            self.news()
        elif draw < 0.98:
            self.hangup()
        elif draw < 0.985:
            self.restart()
        else:
            self.play(Response(f"{999:016x}", How.OK, MS, "10.9.9.9:80", 0, True))  # never heard of

    def pass_time(self, span: int) -> None:
        end = self.now + span
        while True:
            due = min((t for t in self.timers if t[0] <= end), default=None)
            timeout = min(
                ((r.deadline, tid) for tid, r in self.requests.items() if r.out and r.deadline <= end),
                default=None,
            )
            if due is None and timeout is None:
                break
            if timeout is not None and (due is None or timeout[0] <= due[0]):
                self.now = max(self.now, timeout[0])
                self.finish(timeout[1], min(self.requests[timeout[1]].out), How.TIMEOUT)
            elif due is not None:
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                self.play(Alarm(due[1]))
            self.overdue()
        self.now = end
        self.overdue()

    def overdue(self) -> None:
        for request in self.requests.values():
            late = self.now > request.deadline + self.set.invariants.answer_grace_ns
            if late and not request.ended:
                raise Broken("no final answer in time")

    def accept(self) -> None:
        self.count += 1
        tid = f"{self.count:016x}"
        cls = self.rng.randrange(len(self.set.classes))
        ttl = self.rng.choice([5 * MS, 300 * MS, SECOND])
        self.requests[tid] = Request(cls, self.now + ttl)
        self.play(Accept(tid, cls, ttl))

    def outcome(self) -> None:
        waiting = [(tid, go) for tid, r in self.requests.items() for go in sorted(r.out)]
        if waiting:
            tid, go = self.rng.choice(waiting)
            self.finish(tid, go, self.rng.choice(OUTCOMES))

    def finish(self, tid: str, go: int, how: int) -> None:
        request = self.requests[tid]
        request.out.discard(go)
        entry, sent = request.sends[go]
        if how not in PROVEN and request.ran is None:
            request.ran = (entry, sent)
        if how == How.OK:
            request.ended = True
        load = {"queue": float(self.rng.randrange(9)), "util": self.rng.random()}
        self.play(Response(tid, how, self.now - sent, entry.server, go, request.ended, load))

    def echo(self) -> None:
        if self.probes:
            server = self.probes.pop(self.rng.randrange(len(self.probes)))
            how = self.rng.choice([How.OK, How.OK, How.TIMEOUT])
            self.play(Echo(server, how, MS, {"inflight": float(self.rng.randrange(4)), "queue": 0.0}))

    def news(self) -> None:
        draw = self.rng.random()
        if draw < 0.2:
            self.play(Directory("FAILED"))
        elif draw < 0.4:
            kept = {n: e for n, e in self.fleet.items() if self.rng.random() < 0.8}
            self.barred |= set(self.fleet) - set(kept)
            self.play(Directory("FULL", tuple(e for n, e in kept.items() if n not in self.barred)))
        else:
            number = self.rng.randrange(10)
            name = f"10.0.0.{number}:80"
            lifecycle = self.rng.choice(["up", "up", "draining", "removed"])
            entry = Entry(name, number % 2, 0, number // 2, lifecycle, 1.0, self.rng.choice([0, self.now]))
            self.fleet[name] = entry
            (self.barred.discard if lifecycle == "up" else self.barred.add)(name)
            self.play(Directory("INCREMENTAL", (entry,)))

    def hangup(self) -> None:
        open_ = [tid for tid, r in self.requests.items() if not r.ended]
        if open_:
            tid = self.rng.choice(open_)
            self.requests[tid].ended = True
            self.play(Hangup(tid))
