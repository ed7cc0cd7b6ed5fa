"""A fleet on fake time: real modules, servers that work through a queue, one discovery for all.

Small on purpose: what tests and benchmarks need to count over many sidecars, and nothing random but what a
seed draws.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from dunefield import (
    AttemptFinished,
    AttemptOutcome,
    Balancer,
    CancelAttempt,
    FailRequest,
    ProbeResult,
    ProbeServer,
    RefuseRequest,
    RequestArrived,
    SendAttempt,
    ServerEntry,
    ServerListUpdate,
    Settings,
    StartTimer,
    SubscribeServerList,
    TimerFired,
)
from dunefield.interface import Event
from emulator.clock import Clock
from emulator.streams import Streams

MS = 1_000_000
SECOND = 1000 * MS

COLD_FROM, COLD_S, MULTIPLE, WINDOW_S = 0.4, 8.0, 2.5, 1.5
WORK = 40 * MS
AIM, DEADLINE = 160 * MS, 400 * MS
CLASSES = [
    {"name": "cheap", "onTimeNs": AIM, "hardLimitNs": DEADLINE, "repeat": "free", "credit": 1.0},
    {"name": "dear", "onTimeNs": AIM, "hardLimitNs": DEADLINE, "repeat": "free", "credit": 5.0},
    {"name": "once", "onTimeNs": AIM, "hardLimitNs": DEADLINE, "repeat": "single_shot", "credit": 8.0},
]
SHARES = (0.65, 0.22, 0.13)
TOLD: dict[str, Any] = {
    "classes": CLASSES,
    "failureDomains": ["a", "b", "c", "d"],
    "discovery": "subscribe",
    "reporting": {"how": "probe"},
    "limits": {"mayProbe": True, "maxAttempts": 5, "retryAfter": True, "maxRetryAfterNs": 2 * SECOND},
    "invariants": {
        "coldFrom": COLD_FROM,
        "coldNs": int(COLD_S * SECOND),
        "fallMultiple": MULTIPLE,
        "fallNs": int(WINDOW_S * SECOND),
        "mustAskInNs": 10 * SECOND,
        "drainGraceNs": SECOND,
    },
    "prices": {"probe": 0.08, "handshake": 0.08, "discovery": 0.05, "waste": 0.2},
    "periodNs": MS,
}


class Node:
    """One server: one core, one call at a time, a queue that is bounded."""

    def __init__(self, name: str, zone: int, started: int = 0, room: int = 8) -> None:
        self.name, self.zone, self.started, self.room = name, zone, started, room
        self.mode = "good"  # or "full", "silent", "errors", "gone"
        self.free_at = 0
        self.ends: list[int] = []
        self.taken: list[tuple[int, int]] = []  # when, and how much work
        self.sent: list[tuple[int, int]] = []  # the same, with what was turned away: the rule counts it
        self.probed = 0
        self.cap = 10**9  # sidecars that may be connected
        self.guests: set[int] = set()

    def entry(self, lifecycle: str = "up") -> ServerEntry:
        return ServerEntry(self.name, self.zone, 0, 0, lifecycle, 1.0, self.started)

    def warmth(self, now: int) -> float:
        if not self.started:
            return 1.0
        age = (now - self.started) / SECOND
        return min(1.0, COLD_FROM + (1.0 - COLD_FROM) * age / COLD_S)

    def held(self, now: int) -> int:
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends)

    def take(self, now: int, work: int) -> int:
        """Begin a call; return when it will be done."""
        self.taken.append((now, work))
        self.free_at = max(now, self.free_at) + int(work / self.warmth(now))
        self.ends.append(self.free_at)
        return self.free_at

    def pushed(self) -> float:
        """The most that a window after the start held, as a multiple of what the rule allows."""
        worst, window = 0.0, int(WINDOW_S * SECOND)
        for i, (first, _) in enumerate(self.sent):
            if not self.started or first - self.started > COLD_S * SECOND:
                break
            work = sum(w for t, w in self.sent[i:] if t < first + window)
            worst = max(worst, work / (MULTIPLE * self.warmth(first) * window))
        return worst


class Crowd:
    """Sidecars, servers and discovery; time is a heap of what comes next."""

    def __init__(self, nodes: list[Node], sidecars: int, seed: int = 1, capacity: float = 1e9) -> None:
        self.clock = Clock(SECOND)
        streams = Streams(seed)
        self.arrivals, self.work = streams.of("arrivals"), streams.of("work")
        self.order = itertools.count()
        self.nodes = {node.name: node for node in nodes}
        self.listed = {node.name: node.entry() for node in nodes}
        self.capacity = capacity  # lines a second that discovery can write
        self.busy_until = 0
        self.closed = False  # discovery turns every call away
        self.asked: list[int] = []  # when calls came
        self.listed_at: dict[int, int] = {}
        self.watching: set[int] = set()
        self.ends: Counter[str] = Counter()
        self.by_class: dict[int, Counter[str]] = {i: Counter() for i in range(len(CLASSES))}
        self.sent: list[tuple[int, int, str]] = []
        self.calls: dict[tuple[int, str], tuple[int, int]] = {}
        self.out: dict[tuple[int, str, int], bool] = {}
        self.tries: Counter[tuple[int, str]] = Counter()
        self.sidecars = []
        for i in range(sidecars):
            told = Settings.parse({**TOLD, "index": i, "replicasOfMe": sidecars})
            self.sidecars.append(Balancer(told, seed * 1000 + i, self.now))
            self.tell(i, ServerListUpdate("SAVED", tuple(self.listed.values())))

    # --- time

    @property
    def now(self) -> int:
        return self.clock.now

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.clock.at(when, what)

    def run(self, seconds: float) -> None:
        self.clock.run(self.now + int(seconds * SECOND))

    # --- load

    def load(self, rate: float, seconds: float, weights: list[float] | None = None) -> None:
        """Calls by chance over the next while, so many a second in all."""
        when = self.now
        chosen = range(len(self.sidecars))
        while when < self.now + seconds * SECOND:
            when += int(self.arrivals.expovariate(rate) * SECOND)
            i = self.arrivals.choices(chosen, weights)[0]
            cls = self.arrivals.choices(range(3), SHARES)[0]
            self.at(when, partial(self.call, i, cls))

    def call(self, i: int, cls: int) -> None:
        request_id = str(next(self.order))
        self.calls[i, request_id] = (cls, self.now)
        self.tell(i, RequestArrived(request_id, cls, DEADLINE))

    def end(self, i: int, request_id: str, how: str) -> None:
        cls, _ = self.calls.pop((i, request_id))
        self.ends[how] += 1
        self.by_class[cls][how] += 1

    # --- a sidecar's actions

    def tell(self, i: int, event: Event) -> None:
        for action in self.sidecars[i].handle(self.now, event):
            if isinstance(action, SendAttempt):
                self.submit(i, action)
            elif isinstance(action, ProbeServer):
                self.probe(i, action.server)
            elif isinstance(action, StartTimer):
                self.at(self.now + action.delay_ns, partial(self.tell, i, TimerFired(action.tag)))
            elif isinstance(action, SubscribeServerList):
                self.subscribe(i)
            elif isinstance(action, RefuseRequest | FailRequest):
                self.end(i, action.request_id, "refused" if isinstance(action, RefuseRequest) else "failed")
            elif isinstance(action, CancelAttempt):
                self.answer(i, action.request_id, action.attempt, "", AttemptOutcome.CANCELLED, self.now)

    def submit(self, i: int, action: SendAttempt) -> None:
        number = self.tries[i, action.request_id]
        self.tries[i, action.request_id] += 1
        self.out[i, action.request_id, number] = True
        self.sent.append((self.now, i, action.server))
        node, sent = self.nodes[action.server], self.now
        work = int(WORK * self.work.lognormvariate(-0.18, 0.6))
        node.sent.append((sent, work))
        mode = node.mode
        capped = i not in node.guests and len(node.guests) >= node.cap
        if capped or (mode == "good" and node.held(self.now) > node.room):
            mode = "full"
        else:
            node.guests.add(i)
        how: AttemptOutcome = AttemptOutcome.TIMEOUT
        when = action.deadline_ns
        if mode == "full":
            how, when = AttemptOutcome.FULL, sent + MS
        elif mode == "gone":
            how, when = AttemptOutcome.CONNECT_FAILED, sent + 200 * MS
        elif mode == "errors":
            how, when = AttemptOutcome.ERROR, sent + 5 * MS
        elif mode == "good":
            done = node.take(sent, work)
            if done < when:
                how, when = AttemptOutcome.OK, done
        self.at(when, partial(self.answer, i, action.request_id, number, action.server, how, sent))

    def answer(
        self, i: int, request_id: str, number: int, server: str, how: AttemptOutcome, sent: int
    ) -> None:
        if self.out.pop((i, request_id, number), None) is None:
            return
        open_call = self.calls.get((i, request_id))
        if how == AttemptOutcome.OK and open_call is not None:
            self.end(i, request_id, "served" if self.now - open_call[1] <= AIM else "late")
        self.tell(
            i,
            AttemptFinished(
                request_id, how, self.now - sent, server, number, (i, request_id) not in self.calls
            ),
        )

    def probe(self, i: int, server: str) -> None:
        node, sent = self.nodes[server], self.now
        node.probed += 1
        if node.mode in ("silent", "gone"):
            self.at(
                sent + 27 * MS, lambda: self.tell(i, ProbeResult(server, AttemptOutcome.TIMEOUT, 27 * MS))
            )
            return
        load = {"inflight": float(node.held(sent)), "queue": max(0.0, node.held(sent) - 1.0)}
        if node.mode == "full":
            load = {"inflight": 9.0, "queue": 8.0}
        self.at(sent + MS, lambda: self.tell(i, ProbeResult(server, AttemptOutcome.OK, MS, load)))

    # --- discovery

    def subscribe(self, i: int) -> None:
        self.asked.append(self.now)
        lines = 40 + len(self.listed)
        wait = max(0, self.busy_until - self.now) + int(lines / self.capacity * SECOND)
        if self.closed or wait > 2 * SECOND:
            self.at(self.now + MS, lambda: self.tell(i, ServerListUpdate("FAILED")))
            return
        self.busy_until = self.now + wait

        def told() -> None:
            self.listed_at.setdefault(i, self.now)
            self.watching.add(i)
            self.tell(i, ServerListUpdate("FULL", tuple(self.listed.values())))

        self.at(self.now + wait, told)

    def news(self, *entries: ServerEntry) -> None:
        """The list changes, and all that watch are told."""
        for entry in entries:
            if entry.lifecycle == "removed":
                self.listed.pop(entry.server, None)
            else:
                self.listed[entry.server] = entry
        for i in sorted(self.watching):
            self.tell(i, ServerListUpdate("INCREMENTAL", entries))

    def add(self, *nodes: Node) -> None:
        for node in nodes:
            self.nodes[node.name] = node
        self.news(*(node.entry() for node in nodes))

    def outage(self, seconds: float) -> None:
        """Discovery goes down: watches end, and every call is turned away until it is back."""
        self.closed = True
        self.at(self.now + int(seconds * SECOND), lambda: setattr(self, "closed", False))
        lost, self.watching = sorted(self.watching), set()
        for i in lost:
            self.tell(i, ServerListUpdate("FAILED"))


def nodes(count: int, first: int = 0, started: int = 0) -> list[Node]:
    """Servers in four halls, by turns."""
    return [Node(f"s-{i:04x}", i % 4, started) for i in range(first, first + count)]
