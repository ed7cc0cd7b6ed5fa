"""A whole fleet on fake time: real modules beside each other, nodes, connections, a list, clients that retry.

Each sidecar is a real `dunefield.Balancer`; what stands round it is modelled here and in the files beside.
The same seed gives the same requests and troubles whatever the modules decide; only an attempt's own noise is
drawn as attempts come. Units: nanoseconds.

Simplified: a sidecar takes no time of its own but `CARRY_NS` each way; a client's connection to its sidecar
is free; discovery is one service that writes so many lines a second; what a tenant sends beyond its allowance
is told by one bucket over the fleet, which no sidecar sees.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from dunefield import (
    AttemptFinished,
    AttemptOutcome,
    Balancer,
    CancelAttempt,
    ClientDisconnected,
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
from dunefield.interface import IDLE_TIMEOUT_FRACTION, CloseIdleConnections, Event
from emulator.clock import Clock
from emulator.day import MS, Day
from emulator.network import Distance, Network
from emulator.node import Node
from emulator.streams import Streams
from emulator.worth import SECOND, Asked, Spent, Verdict, judge

CARRY_NS = 600_000  # what a sidecar takes each way
TURNED_NS = 300_000  # what a node takes to turn a call away, beside its queue

Module = Callable[[Settings, int, int], Any]


class Machine:
    """One server: its node, its hall, what it holds of each sidecar's connections, and how it is bad."""

    def __init__(self, name: str, hall: int, node: Node) -> None:
        self.name, self.hall, self.node = name, hall, node
        self.fault = ""  # or "silent", "errors", "full"
        self.idle: dict[int, list[int]] = {}

    def entry(self) -> ServerEntry:
        """Its line of the list."""
        started = self.node.started if self.node.warmth() < 1.0 else 0
        return ServerEntry(self.name, self.hall, 0, 0, "up", 1.0, started)


@dataclass(slots=True, eq=False)
class Try:
    """One try of a client, as its sidecar knows it."""

    request: Asked
    size: float  # of its work, as a lognormal draw; the class tells how much that matters
    number: int
    sidecar: int
    over: bool = False
    attempts: int = 0


@dataclass(slots=True, eq=False)
class Sent:
    """One attempt: who waits for it, and what it cost the server."""

    owner: Try
    request_id: str
    number: int
    machine: Machine
    at: int
    work: float
    over: bool = False


class Fleet:
    """The fleet of a day; `run` plays on, `verdict` tells what it was worth."""

    def __init__(self, day: Day, seed: int = 1, module: Module = Balancer) -> None:
        self.day, self.seed, self.module = day, seed, module
        self.clock = Clock(SECOND)
        self.streams = Streams(seed)
        self._noise = self.streams.of("noise")
        self._wait = self.streams.of("clients")
        self.network = Network(Distance(), self.streams.of("network"))
        self.names = itertools.count()
        self.machines: dict[str, Machine] = {}
        self.listed: dict[str, ServerEntry] = {}
        self.spent = Spent()
        self.asked: list[Asked] = []
        self.on_try: Callable[[Try, str], None] = lambda tried, end: None
        self._numbers = itertools.count()
        self._tries: dict[tuple[int, str], Try] = {}
        self._sent: dict[tuple[int, str, int], Sent] = {}
        self._busy_until = 0
        self.watching: set[int] = set()
        self.late_lists_ns = 20 * MS
        for _ in range(day.servers):
            self.start_server(cold=False)
        self.sidecars: list[Any] = []
        draw = self.streams.of("sidecars")
        shape = 1.0 / day.uneven**2 if day.uneven > 0 else 0.0
        self.weights = [draw.gammavariate(shape, 1.0) if shape else 1.0 for _ in range(day.sidecars)]
        for i in range(day.sidecars):
            self.sidecars.append(None)
            self.start_sidecar(i)

    # --- what stands where

    def start_server(self, cold: bool = True, hall: int | None = None) -> Machine:
        """A new server, listed at once."""
        number = next(self.names)
        draw = self.streams.of("server", number)
        name = f"s-{draw.getrandbits(32):08x}"
        shape = replace(self.day.shape, speed=max(0.7, draw.gauss(1.0, 0.07)))
        hall = number % self.day.halls if hall is None else hall
        machine = Machine(name, hall, Node(self.clock, shape, cold))
        self.machines[name] = machine
        self.listed[name] = machine.entry()
        return machine

    def start_sidecar(self, i: int) -> None:
        """A sidecar's process begins, without memory."""
        seed = self.streams.of("seed", i, self.clock.now).getrandbits(60)
        self.sidecars[i] = self.module(self.day.told(i), seed, self.clock.now)
        self.tell(i, ServerListUpdate("SAVED", tuple(self.listed.values())))

    # --- load

    def plan(self) -> None:
        """All requests of the day, drawn ahead: nothing that is decided moves them."""
        day, draw = self.day, self.streams.of("arrivals")
        chosen, who = range(day.sidecars), self.streams.of("tenants")
        usage = [share * who.uniform(*day.usage) for share in day.tenants]
        shares = [c.share for c in day.classes]
        rate = day.load * day.capacity
        allowed = [day.allowance * share * day.capacity for share in day.tenants]
        levels = allowed.copy()
        start, when = self.clock.now, self.clock.now
        last = [start] * len(levels)
        while True:
            at = (when - start) / SECOND
            factor = day.burst[2] if day.burst[0] <= at < day.burst[1] else 1.0
            when += int(draw.expovariate(rate * factor) * SECOND)
            if when >= start + day.seconds * SECOND:
                return
            cls = draw.choices(range(len(shares)), shares)[0]
            tenant = draw.choices(range(len(usage)), usage)[0]
            sidecar = draw.choices(chosen, self.weights)[0]
            size = draw.lognormvariate(0.0, 1.0)
            heavy = draw.random() < day.tail[0] and cls == 0
            full = allowed[tenant]
            levels[tenant] = min(full, levels[tenant] + full * (when - last[tenant]) / SECOND)
            last[tenant] = when
            inside = levels[tenant] >= 1.0
            levels[tenant] -= inside
            worth = day.classes[cls].worth * (1.0 if inside else 0.05)
            request = Asked(when, cls, tenant, worth, heavy)
            self.clock.at(when, partial(self._ask, Try(request, size, 0, sidecar)))

    def _work(self, request: Asked, size: float) -> float:
        """An attempt's work: the request's own, lognormal, times the attempt's."""
        kind, day = self.day.classes[request.cls], self.day
        sigma = kind.cv * 0.9
        noise = self._noise.lognormvariate(-(day.noise**2) / 2, day.noise)
        times = day.tail[1] if request.heavy else 1.0
        return float(times * day.work_ns * kind.scale * size**sigma * noise * math.exp(-(sigma**2) / 2))

    # --- clients

    def _ask(self, tried: Try) -> None:
        """A client's try begins."""
        request, clients = tried.request, self.day.clients
        if tried.number == 0 and request.at >= SECOND * (1 + self.day.warm_up_s):
            self.asked.append(request)
        left = request.at + self.day.deadline_ns - self.clock.now
        part = int(clients.part * self.day.deadline_ns)
        ttl = left if tried.number + 1 >= clients.tries else min(left, part)
        if ttl <= 5 * MS:
            return
        request_id = f"{next(self._numbers)}"
        self.spent.tries += 1
        self._tries[tried.sidecar, request_id] = tried
        self.clock.after(ttl, partial(self._leave, request_id, tried))
        accept = RequestArrived(request_id, request.cls, ttl - 10 * MS, 0, request.tenant)
        self.clock.after(CARRY_NS, partial(self.tell, tried.sidecar, accept))

    def _leave(self, request_id: str, tried: Try) -> None:
        """The try's time is up."""
        if tried.over:
            return
        self._over(request_id, tried, "timeout")
        self.tell(tried.sidecar, ClientDisconnected(request_id))
        for n in range(tried.attempts):
            sent = self._sent.get((tried.sidecar, request_id, n))
            if sent is not None:
                self._back(sent, AttemptOutcome.CANCELLED)
        self._once_more(tried, 0)

    def _in_time(self, request: Asked) -> bool:
        """Whether an answer that the sidecar has now reaches its client within the aim."""
        return self.clock.now + CARRY_NS - request.at <= self.day.aim_ns

    def _over(self, request_id: str, tried: Try, end: str) -> None:
        tried.over = True
        self._tries.pop((tried.sidecar, request_id), None)
        request = tried.request
        if end == "answered":
            request.end = "served" if self._in_time(request) else "late"
        elif request.end not in ("served", "late"):
            request.end = "refused" if end == "refused" else "failed"
            if end != "refused" and self.clock.now - request.at > self.day.aim_ns:
                self.spent.late_failed += tried.number + 1 >= self.day.clients.tries
        self.on_try(tried, end)

    def _once_more(self, tried: Try, told_ns: int) -> None:
        """A client that was refused, or whose try ran out, asks again while it has tries and time."""
        clients, request = self.day.clients, tried.request
        if tried.number + 1 >= clients.tries:
            return
        pause = told_ns if told_ns and self._wait.random() < clients.honour else 0
        if told_ns and not pause:
            pause = int(clients.pause_ns * self._wait.uniform(0.5, 1.5))
        if self.clock.now + pause < request.at + self.day.deadline_ns:
            again = Try(request, tried.size, tried.number + 1, tried.sidecar)
            self.clock.after(pause + 1, partial(self._ask, again))

    # --- a sidecar's actions

    def tell(self, i: int, event: Event) -> None:
        """Hand one event to a sidecar's module and do what it wants."""
        module = self.sidecars[i]
        if module is None:
            return
        for action in module.handle(self.clock.now, event):
            if isinstance(action, SendAttempt):
                self._submit(i, action)
            elif isinstance(action, ProbeServer):
                self._probe(i, action.server)
            elif isinstance(action, StartTimer):
                self.clock.after(action.delay_ns, partial(self._alarm, i, module, action.tag))
            elif isinstance(action, RefuseRequest | FailRequest):
                self._end(i, action)
            elif isinstance(action, CancelAttempt):
                sent = self._sent.get((i, action.request_id, action.attempt))
                if sent is not None:
                    self.clock.after(1, partial(self._back, sent, AttemptOutcome.CANCELLED))
            elif isinstance(action, SubscribeServerList):
                self._subscribe(i, module)
            elif isinstance(action, CloseIdleConnections) and action.server in self.machines:
                self.machines[action.server].idle.pop(i, None)

    def _alarm(self, i: int, module: Any, tag: int) -> None:
        if self.sidecars[i] is module:
            self.tell(i, TimerFired(tag))

    def _end(self, i: int, action: RefuseRequest | FailRequest) -> None:
        tried = self._tries.get((i, action.request_id))
        if tried is None:
            return
        refused = isinstance(action, RefuseRequest)
        self._over(action.request_id, tried, "refused" if refused else "failed")
        told = max(MS, action.retry_after_ns) if isinstance(action, RefuseRequest) else MS
        self.clock.after(CARRY_NS, partial(self._once_more, tried, told))

    def _reaches(self, i: int, machine: Machine) -> bool:
        here, there = f"hall-{i % self.day.halls}", f"hall-{machine.hall}"
        return (
            machine.fault != "silent"
            and self.network.reaches(machine.name, i)
            and (self.network.joined(here, there))
        )

    def _way(self, i: int, machine: Machine) -> int:
        return self.network.delay(f"hall-{i % self.day.halls}", f"hall-{machine.hall}")

    def _connect(self, i: int, machine: Machine) -> int:
        """Take a connection; the time that a new one costs."""
        idle, now = machine.idle.get(i), self.clock.now
        while idle:
            if now - idle.pop() < self.day.idle_ns * IDLE_TIMEOUT_FRACTION:
                return 0
        self.spent.handshakes += 1
        if machine.node.inflight() < machine.node.shape.queue:
            machine.node.take(self.day.handshake_ns, lambda served: None)
        return self.day.handshake_rtts * 2 * self._way(i, machine)

    def _submit(self, i: int, action: SendAttempt) -> None:
        tried = self._tries.get((i, action.request_id))
        if tried is None:
            raise AssertionError(f"sidecar {i} sends {action.request_id}, which has ended")
        machine = self.machines[action.server]
        number, tried.attempts = tried.attempts, tried.attempts + 1
        work = self._work(tried.request, tried.size)
        sent = Sent(tried, action.request_id, number, machine, self.clock.now, work)
        self._sent[i, action.request_id, number] = sent
        self.spent.attempts += 1
        self.spent.crossed += machine.hall != i % self.day.halls
        self.clock.at(
            max(action.deadline_ns, self.clock.now), partial(self._back, sent, AttemptOutcome.TIMEOUT)
        )
        if not self._reaches(i, machine):
            if machine.idle.get(i):
                machine.idle[i].pop()  # silent, and given up with the call
            else:
                span = self.day.connect_timeout_ns
                self.clock.after(span, partial(self._back, sent, AttemptOutcome.CONNECT_FAILED))
            return
        if machine.node.dead:
            self.clock.after(
                self._way(i, machine) * 2, partial(self._back, sent, AttemptOutcome.CONNECT_FAILED)
            )
            return
        self.clock.after(self._connect(i, machine) + self._way(i, machine), partial(self._arrive, i, sent))

    def _arrive(self, i: int, sent: Sent) -> None:
        node, way = sent.machine.node, self._way(i, sent.machine)
        if sent.machine.fault in ("errors", "full"):
            how = AttemptOutcome.ERROR if sent.machine.fault == "errors" else AttemptOutcome.FULL
            self.clock.after(way + TURNED_NS, partial(self._back, sent, how))
            return
        if node.dead or (node.inflight() > node.shape.queue):
            how = AttemptOutcome.RESET if node.dead else AttemptOutcome.FULL
            self.clock.after(way + TURNED_NS, partial(self._back, sent, how))
            return
        self.spent.work += sent.work
        self.spent.wasted += sent.work  # until its answer is of use

        def done(served: bool) -> None:
            self.clock.after(
                way, partial(self._back, sent, AttemptOutcome.OK if served else AttemptOutcome.RESET)
            )

        node.take(sent.work, done)

    def _back(self, sent: Sent, how: AttemptOutcome) -> None:
        """An attempt's one outcome."""
        if sent.over:
            return
        sent.over = True
        tried, i = sent.owner, sent.owner.sidecar
        del self._sent[i, sent.request_id, sent.number]
        if how in (AttemptOutcome.OK, AttemptOutcome.FULL, AttemptOutcome.ERROR):
            idle = sent.machine.idle.setdefault(i, [])
            idle.append(self.clock.now)
        if how == AttemptOutcome.OK and not tried.over:
            if self._in_time(tried.request):
                self.spent.wasted -= sent.work
            self._over(sent.request_id, tried, "answered")
        lag = self.clock.now - sent.at
        self.tell(i, AttemptFinished(sent.request_id, how, lag, sent.machine.name, sent.number, tried.over))

    def _probe(self, i: int, name: str) -> None:
        machine = self.machines.get(name)
        self.spent.probes += 1
        if machine is None:
            self.clock.after(1, partial(self.tell, i, ProbeResult(name, AttemptOutcome.CONNECT_FAILED, 1)))
            return
        span = 27 * MS
        if machine.node.dead or not self._reaches(i, machine):
            self.clock.after(span, partial(self.tell, i, ProbeResult(name, AttemptOutcome.TIMEOUT, span)))
            return
        way = self._connect(i, machine) + 2 * self._way(i, machine) + MS
        load = {"inflight": float(machine.node.inflight()), "queue": float(machine.node.queued())}
        if machine.fault == "full":
            load = {"inflight": 9.0, "queue": 8.0}
        machine.idle.setdefault(i, []).append(self.clock.now + way)
        self.clock.after(way, partial(self.tell, i, ProbeResult(name, AttemptOutcome.OK, way, load)))

    # --- discovery

    def _subscribe(self, i: int, module: Any) -> None:
        self.spent.lists += 1
        wait = max(0, self._busy_until - self.clock.now)
        wait += int((40 + len(self.listed)) / self.day.lines_a_second * SECOND)
        if wait > 2 * SECOND:
            self.clock.after(MS, partial(self._listed, i, module, ServerListUpdate("FAILED")))
            return
        self._busy_until = self.clock.now + wait
        self.clock.after(wait, partial(self._full_list, i, module))

    def _full_list(self, i: int, module: Any) -> None:
        self.watching.add(i)
        self._listed(i, module, ServerListUpdate("FULL", tuple(self.listed.values())))

    def _listed(self, i: int, module: Any, news: ServerListUpdate) -> None:
        if self.sidecars[i] is module:
            self.tell(i, news)

    def news(self, *entries: ServerEntry) -> None:
        """The list changes; all that watch are told, a little apart."""
        for entry in entries:
            if entry.lifecycle == "removed":
                self.listed.pop(entry.server, None)
            else:
                self.listed[entry.server] = entry
        draw = self.streams.of("news", self.clock.now).random
        for i in sorted(self.watching):
            span = int(self.late_lists_ns * (0.5 + draw()))
            told = ServerListUpdate("INCREMENTAL", entries)
            self.clock.after(span, partial(self._listed, i, self.sidecars[i], told))

    # --- playing

    def run(self, seconds: float) -> None:
        """Play on for so long."""
        self.clock.run(self.clock.now + int(seconds * SECOND))

    def verdict(self) -> Verdict:
        """What the day so far was worth."""
        return judge(self.asked, self.spent, dict(self.day.prices))


def play(
    day: Day, seed: int, module: Module = Balancer, troubles: Sequence[Callable[[Fleet], None]] = ()
) -> Fleet:
    """One whole day, its troubles set first."""
    fleet = Fleet(day, seed, module)
    fleet.plan()
    for trouble in troubles:
        trouble(fleet)
    fleet.run(day.seconds + 2.0)
    return fleet
