"""What the decisions of one sidecar share: settings, chance, actions, tables of servers, calls, attempts."""

from __future__ import annotations

import random

from dunefield.interface import IDLE_TIMEOUT_FRACTION, Action, RequestClass, Settings
from dunefield.state import Attempt, Call, Server

UNMUTED = (0, 0)  # what stands for a class that was not left unanswered
PROBES = 4  # servers asked at a time: two pairs to choose from
PROBE_SPEND = 0.01  # share of the worth that asking before each send may cost


class Book:
    """The tables, open to the parts that decide; each keeps to itself what no other needs."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed).random
        self.acts: list[Action] = []  # what the event at hand leads to, in order
        self.servers: dict[str, Server] = {}
        self.up: list[Server] = []
        self.room: list[Server] = []  # servers under budget; swap-removal keeps the order free of hashing
        self.live = 0  # servers up with k above 0
        self.shut_until = 0  # before this none can be tried
        self.calls: dict[str, Call] = {}
        self.growing: set[str] = set()  # those whose bodies still come
        self.held: dict[str, Call] = {}  # in arrival order: full everywhere, or echoes due
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.horizon = max(c.deadline_ns for c in settings.classes)
        self.classes = (*settings.classes, RequestClass("", self.horizon, self.horizon))
        self.pace = max(1, min(c.target_ns for c in self.classes) // 16)  # how often held calls are looked at
        self.kept = int(IDLE_TIMEOUT_FRACTION * settings.limits.connection_idle_ns)  # then it is retired
        dear = PROBES * settings.prices.get("probe", 0.0) > PROBE_SPEND
        self.probing = settings.reports != "none" and settings.limits.may_probe and not dear
        # Goes by its own calls, and may ask only now and then: a server that failed, before it is used again.
        self.suspects = settings.limits.may_probe and not self.probing
        # Draws go over all servers where probes tell of each of them, else over a few that are known well.
        self.narrow = not self.probing or settings.prices.get("connection", 0.0) > 0

    def drop(self, request_id: str) -> None:
        """No answer is owed any more."""
        self.calls.pop(request_id, None)
        self.held.pop(request_id, None)
        self.growing.discard(request_id)

    def refresh(self, server: Server) -> None:
        """Keep the list of servers under budget true after any change to a server."""
        fits = server.up and server.inflight < server.budget
        if fits and server.slot < 0:
            server.slot = len(self.room)
            self.room.append(server)
        elif not fits and server.slot >= 0:
            last = self.room.pop()
            if last is not server:
                self.room[server.slot] = last
                last.slot = server.slot
            server.slot = -1
