"""State shared by the parts of one balancer: settings, random source, actions, servers, calls, attempts."""

from __future__ import annotations

import random

from dunefield.interface import IDLE_TIMEOUT_FRACTION, Action, RequestClass, Settings
from dunefield.state import Attempt, Call, Server

NOT_EJECTED = (0, 0)  # default for a class in Server.ejected_classes
PROBES_PER_ROUND = 4  # two pairs to choose from
MAX_PROBE_COST = 0.01  # part of a call's value that probing before it may cost


class SharedState:
    """Tables that several parts use; what only one part needs is kept there."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed).random
        self.actions: list[Action] = []  # actions of the current event, in order
        self.servers: dict[str, Server] = {}
        self.up_servers: list[Server] = []
        self.available: list[Server] = []  # servers below their limit; swap removal keeps it deterministic
        self.active_count = 0  # servers that are up and have steps
        self.unavailable_until = 0  # no server can get a trial before
        self.calls: dict[str, Call] = {}
        self.incomplete: set[str] = set()  # request ids
        self.queued_calls: dict[str, Call] = {}  # in arrival order: all servers full, or probes in flight
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.horizon_ns = max(c.deadline_ns for c in settings.classes)  # time scale of averages and pauses
        self.classes = (*settings.classes, RequestClass("", self.horizon_ns, self.horizon_ns))
        self.tick_ns = max(1, min(c.target_ns for c in self.classes) // 16)  # interval of the queue timer
        self.idle_limit_ns = int(IDLE_TIMEOUT_FRACTION * settings.limits.connection_idle_ns)
        expensive = PROBES_PER_ROUND * settings.prices.get("probe", 0.0) > MAX_PROBE_COST
        self.probe_calls = settings.reports != "none" and settings.limits.may_probe and not expensive
        # If calls are not probed but probes are allowed, an ejected server is probed before it is used again.
        self.probe_ejected = settings.limits.may_probe and not self.probe_calls
        # Without probes only a few servers are used, so that each is known well.
        self.use_subset = not self.probe_calls or settings.prices.get("connection", 0.0) > 0

    def drop(self, request_id: str) -> None:
        """Forgets a call that needs no response any more."""
        self.calls.pop(request_id, None)
        self.queued_calls.pop(request_id, None)
        self.incomplete.discard(request_id)

    def update_available(self, server: Server) -> None:
        """Adds a server to `available` or removes it; called after any change to the server."""
        has_room = server.up and server.in_flight < server.limit
        if has_room and server.available_index < 0:
            server.available_index = len(self.available)
            self.available.append(server)
        elif not has_room and server.available_index >= 0:
            last = self.available.pop()
            if last is not server:
                self.available[server.available_index] = last
                last.available_index = server.available_index
            server.available_index = -1
