"""Sends random valid events to one balancer, whose actions are checked by emulator/watch.py."""

from __future__ import annotations

import random
from typing import Any

from build import MS, SECOND

from dunefield import (
    AttemptFinished,
    AttemptOutcome,
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
    TimerFired,
)
from emulator.watch import Witness

OUTCOMES = [AttemptOutcome.OK] * 5 + [
    AttemptOutcome.ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
]


class Request:
    def __init__(self, deadline: int) -> None:
        self.deadline = deadline
        self.sends: list[tuple[str, int]] = []
        self.in_flight: set[int] = set()
        self.ended = False


class World:
    """Simulated environment of one balancer; `step` draws and sends one event."""

    def __init__(self, make: Any, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.settings, self.make, self.seed = settings, make, seed
        self.now = 0
        self.log: list[str] = []
        names = [f"10.0.0.{i}:80" for i in range(self.rng.choice([1, 3, 8]))]
        self.fleet = {name: ServerEntry(name, i % 2, 0, i // 2) for i, name in enumerate(names)}
        self.count = 0
        self.restart()

    def restart(self) -> None:
        """Simulates a crash: all state is lost, and the saved list is sent again."""
        self.requests: dict[str, Request] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[str] = []
        self.unusable: set[str] = set()
        self.witness = Witness(self.settings)
        self.balancer = self.make(self.settings, self.seed, self.now)
        self.send(ServerListUpdate("SAVED", tuple(self.fleet.values())))

    def send(self, event: Any) -> None:
        self.witness.saw(self.now, event)
        actions = self.balancer.handle(self.now, event)
        self.log.append(f"{self.now} {event} {actions}")
        for action in actions:
            self.perform(action)

    def perform(self, action: Any) -> None:
        self.witness.did(self.now, action)
        if isinstance(action, StartTimer):
            self.timers.append((self.now + action.delay_ns, action.tag))
        elif isinstance(action, ProbeServer):
            self.probes.append(action.server)
        elif isinstance(action, SendAttempt):
            request = self.requests[action.request_id]
            request.in_flight.add(len(request.sends))
            request.sends.append((action.server, self.now))
        elif isinstance(action, RefuseRequest | FailRequest):
            self.requests[action.request_id].ended = True

    # --- events ---------------------------------------------------------------------------------

    def step(self) -> None:
        self.pass_time(self.rng.choice([0, 1, 5, 30, 200]) * MS)
        draw = self.rng.random()
        if draw < 0.45:
            self.send_request()
        elif draw < 0.80:
            self.finish_random_attempt()
        elif draw < 0.88:
            self.answer_probe()
        elif draw < 0.95:
            self.update_server_list()
        elif draw < 0.98:
            self.disconnect_client()
        elif draw < 0.985:
            self.restart()
        else:
            self.send(
                AttemptFinished(f"{999:016x}", AttemptOutcome.OK, MS, "10.9.9.9:80", 0, True)
            )  # an unknown request

    def pass_time(self, span: int) -> None:
        end = self.now + span
        while True:
            due = min((t for t in self.timers if t[0] <= end), default=None)
            timeout = min(
                (
                    (r.deadline, request_id)
                    for request_id, r in self.requests.items()
                    if r.in_flight and r.deadline <= end
                ),
                default=None,
            )
            if due is None and timeout is None:
                break
            if timeout is not None and (due is None or timeout[0] <= due[0]):
                self.now = max(self.now, timeout[0])
                self.finish(timeout[1], min(self.requests[timeout[1]].in_flight), AttemptOutcome.TIMEOUT)
            elif due is not None:
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                self.send(TimerFired(due[1]))
            self.witness.passed(self.now)
        self.now = end
        self.witness.passed(self.now)

    def send_request(self) -> None:
        self.count += 1
        request_id = f"{self.count:016x}"
        cls = self.rng.randrange(len(self.settings.classes))
        timeout_ns = self.rng.choice([5 * MS, 300 * MS, SECOND])
        self.requests[request_id] = Request(self.now + timeout_ns)
        self.send(RequestArrived(request_id, cls, timeout_ns))

    def finish_random_attempt(self) -> None:
        waiting = [
            (request_id, attempt)
            for request_id, r in self.requests.items()
            for attempt in sorted(r.in_flight)
        ]
        if waiting:
            request_id, attempt = self.rng.choice(waiting)
            self.finish(request_id, attempt, self.rng.choice(OUTCOMES))

    def finish(self, request_id: str, attempt: int, outcome: int) -> None:
        request = self.requests[request_id]
        request.in_flight.discard(attempt)
        server, sent = request.sends[attempt]
        if outcome == AttemptOutcome.OK:
            request.ended = True
        load = {"queue": float(self.rng.randrange(9)), "util": self.rng.random()}
        self.send(AttemptFinished(request_id, outcome, self.now - sent, server, attempt, request.ended, load))

    def answer_probe(self) -> None:
        if self.probes:
            server = self.probes.pop(self.rng.randrange(len(self.probes)))
            outcome = self.rng.choice([AttemptOutcome.OK, AttemptOutcome.OK, AttemptOutcome.TIMEOUT])
            self.send(
                ProbeResult(server, outcome, MS, {"inflight": float(self.rng.randrange(4)), "queue": 0.0})
            )

    def update_server_list(self) -> None:
        draw = self.rng.random()
        if draw < 0.2:
            self.send(ServerListUpdate("FAILED"))
        elif draw < 0.4:
            kept = {n: e for n, e in self.fleet.items() if self.rng.random() < 0.8}
            self.unusable |= set(self.fleet) - set(kept)
            self.send(ServerListUpdate("FULL", tuple(e for n, e in kept.items() if n not in self.unusable)))
        else:
            number = self.rng.randrange(10)
            name = f"10.0.0.{number}:80"
            lifecycle = self.rng.choice(["up", "up", "draining", "removed"])
            entry = ServerEntry(
                name, number % 2, 0, number // 2, lifecycle, 1.0, self.rng.choice([0, self.now])
            )
            self.fleet[name] = entry
            (self.unusable.discard if lifecycle == "up" else self.unusable.add)(name)
            self.send(ServerListUpdate("INCREMENTAL", (entry,)))

    def disconnect_client(self) -> None:
        open_ = [request_id for request_id, r in self.requests.items() if not r.ended]
        if open_:
            request_id = self.rng.choice(open_)
            self.requests[request_id].ended = True
            self.send(ClientDisconnected(request_id))
