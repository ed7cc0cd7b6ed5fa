"""Records of one balancer: known servers, open requests and attempts in flight."""

from __future__ import annotations

import math

from dunefield.budget import Budget
from dunefield.interface import ServerEntry, RequestClass

MAX_CONCURRENCY = 2.0  # calls admitted per budget step; also the initial value for an unknown server


class Server(Budget):
    """What this sidecar knows of one server, in addition to its budget."""

    __slots__ = (
        "name", "zone", "cell", "weight", "up", "gone", "started", "in_flight", "slowdown", "sampled_at",
        "open_connections", "last_used_at", "idle_ns", "available_index", "ejected_classes", "load",
        "ejected_until", "last_response_at", "last_failure_at", "last_was_error", "probe_waiters",
        "warm_up_credit", "warm_up_credit_at", "open_attempts")

    def __init__(self, entry: ServerEntry) -> None:
        super().__init__(MAX_CONCURRENCY)
        self.name = entry.server
        self.zone, self.cell, self.weight = entry.zone, entry.cell, entry.weight
        self.in_flight = 0
        self.open_connections = 0  # lower bound, inferred from own calls in flight
        self.last_used_at = 0  # when a connection was last used
        self.idle_ns = 0  # how long that connection had been idle before
        self.available_index = -1  # index in SharedState.available, -1 if not in it
        self.probe_waiters: list[Call] = []  # calls that wait for the probe in flight, if there is one
        self.open_attempts: dict[tuple[str, int], Attempt] = {}  # by request and number, in the order sent
        self.up = self.gone = False
        self.started = -1
        self.reset()

    def reset(self) -> None:
        """Discards everything learned, because the server process has been replaced."""
        self.reset_budget()
        self.slowdown = 0.0
        self.sampled_at = 0  # time of the last `slowdown` sample; 0: none yet, the fleet's mean is used
        self.last_response_at = 0  # any response counts
        self.last_failure_at = 0  # last broken connection or timeout
        self.last_was_error = False  # whether the last outcome was an error response
        self.load = 0.0  # requests at the server: last probe result plus own calls sent since
        self.ejected_until = 0  # after a failed probe
        self.ejected_classes: dict[int, tuple[int, int]] = {}  # by class index: until when, pause length
        self.warm_up_credit = 0.0  # calls that a cold server may be sent, at the time below
        self.warm_up_credit_at = 0


class Call:
    """A client request that has not been answered yet."""

    __slots__ = (
        "request_id", "class_index", "request_class", "deadline", "target_at", "expected_ns", "tried_servers",
        "in_flight", "attempts", "ran_on", "ran_at", "response_started", "body_discarded", "give_up_at",
        "pending_probes", "probe_rounds", "best_server", "work_ns", "shortest_queue", "best_wait")

    def __init__(self, request_id: str, class_index: int, request_class: RequestClass, deadline: int,
                 target_at: int, work_ns: float, expected_ns: float) -> None:
        self.request_id, self.class_index, self.request_class = request_id, class_index, request_class
        self.deadline, self.target_at = deadline, target_at
        self.work_ns = work_ns  # as announced by the client, else 0
        self.expected_ns = expected_ns  # expected response time of an idle server
        self.tried_servers: list[Server] = []
        self.in_flight = 0  # attempts without an outcome
        self.attempts = 0
        self.ran_on: Server | None = None  # first server that may have executed the request
        self.ran_at = 0
        self.response_started = False
        self.body_discarded = False  # the body is no longer buffered, so no further attempt is possible
        self.give_up_at = deadline
        self.pending_probes = self.probe_rounds = 0
        self.shortest_queue = math.inf  # of the probe results of this round
        self.best_server: Server | None = None  # of the probed servers, the one expected to respond first
        self.best_wait = 0.0  # its expected response time, as a multiple of `expected_ns`


class Attempt:
    """An attempt without an outcome; it may outlive its call."""

    __slots__ = (
        "server", "is_trial", "sent_at", "expected_ns", "class_index", "work_ns", "idle_ns", "overtaken")

    def __init__(self, server: Server, is_trial: bool, sent_at: int, call: Call) -> None:
        self.server, self.is_trial, self.sent_at, self.idle_ns = server, is_trial, sent_at, server.idle_ns
        self.expected_ns, self.class_index, self.work_ns = call.expected_ns, call.class_index, call.work_ns
        self.overtaken = 0  # calls sent later that the server has answered first
