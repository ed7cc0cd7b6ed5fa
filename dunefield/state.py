"""What one balancer remembers: servers, calls it owes an answer, attempts that are out."""

from __future__ import annotations

import math

from dunefield.budget import Budget
from dunefield.interface import ServerEntry, RequestClass

FIGURE = 2.0  # concurrency figure of a server nothing is known of, and its ceiling: each step admits so many


class Server(Budget):
    """What this sidecar knows of one server, beside how much it may send there."""

    __slots__ = (
        "name", "zone", "cell", "heft", "up", "gone", "started", "inflight", "stretch", "seen", "peak",
        "used", "idle", "slot", "mute", "load", "mute_until", "heard", "struck", "erred", "askers", "credit",
        "credit_at", "out",
    )

    def __init__(self, entry: ServerEntry) -> None:
        super().__init__(FIGURE)
        self.name = entry.server
        self.zone, self.cell, self.heft = entry.zone, entry.cell, entry.weight
        self.inflight = 0
        self.peak = 0  # connections open, as far as own calls in flight tell
        self.used = 0  # when a connection was last used
        self.idle = 0  # how long it had been idle before that
        self.slot = -1  # place in the list of servers under budget, -1 when not in it
        self.askers: list[Call] = []  # calls that wait for the probe that is out, if there are any
        self.out: dict[tuple[str, int], Attempt] = {}  # by call and number, in the order sent
        self.up = self.gone = False
        self.started = -1
        self.reset()

    def reset(self) -> None:
        """A new process: nothing learned of the old one holds."""
        self.renew()
        self.stretch = 0.0
        self.seen = 0  # 0: never heard of, so the fleet's mean stands in
        self.heard = 0  # when it last answered anything at all
        self.struck = 0  # when something last broke or fell silent there
        self.erred = False  # whether its last verdict was an error
        self.load = 0.0  # requests held, by the last echo and own sends since
        self.mute_until = 0  # no probes before this: the last one failed
        self.mute: dict[int, tuple[int, int]] = {}  # classes left unanswered: until when, for how long
        self.credit = 0.0  # calls that a server which may be cold may be sent, as of when
        self.credit_at = 0


class Call:
    """A request this sidecar owes an answer."""

    __slots__ = (
        "request_id", "number", "cls", "deadline", "aim_at", "size", "tried", "out", "attempts", "ran_on",
        "ran_at", "begun", "spent", "give_up", "pending", "rounds", "best", "hint", "queue", "best_wait",
    )

    def __init__(self, request_id: str, number: int, cls: RequestClass, deadline: int, aim_at: int,
                 hint: float, size: float) -> None:
        self.request_id, self.number, self.cls = request_id, number, cls
        self.deadline, self.aim_at = deadline, aim_at
        self.hint = hint  # work as told, 0 where nothing is
        self.size = size  # expected time to answer of an idle server
        self.tried: list[Server] = []
        self.out = 0  # attempts without an outcome
        self.attempts = 0
        self.ran_on: Server | None = None  # first server that may have run it
        self.ran_at = 0
        self.begun = False
        self.spent = False  # its body is not held any more, so no further attempt can be made
        self.give_up = deadline
        self.pending = self.rounds = 0  # probes whose echo is due; rounds of probes asked for
        self.queue = math.inf  # the shortest queue among those that echoed in this round
        self.best: Server | None = None  # the server that echoed and answers soonest
        self.best_wait = 0.0  # in how many times the call's size


class Attempt:
    """One attempt whose outcome is due; it outlives its call."""

    __slots__ = ("server", "trial", "sent", "size", "cls", "hint", "idle", "passed")

    def __init__(self, server: Server, trial: bool, sent: int, call: Call) -> None:
        self.server, self.trial, self.sent, self.idle = server, trial, sent, server.idle
        self.size, self.cls, self.hint = call.size, call.number, call.hint
        self.passed = 0  # later calls that the server has answered before this one
