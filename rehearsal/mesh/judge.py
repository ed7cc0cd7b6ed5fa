"""What clients, servers and operators saw, joined, and which invariants it breaks. No I/O.

Times are seconds of one clock. A try is one request of a client and has an id of its own; an arrival is one
request at a server, which may run it or turn it away.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rehearsal.mesh.key_holds import HoldEvent
from rehearsal.mesh.key_owners import KeyRun, shared_keys

PROMISES = frozenset({408, 421, 429, 503})  # it has not run and never will
RECOVER_S = 1.0  # after all that was ended is ready again, requests are served
SLACK_S = 0.25  # a connection that ends so soon may have ended before the request was read
Items = dict[str, tuple[int, Any]]  # by name: version and content


@dataclass(slots=True)
class Try:
    """One request, as its client saw it."""

    attempt: str
    kind: str  # pure, effectful, idempotent
    machine: str  # where it began
    service: str  # of that machine
    asked: str  # method, target and body, in short
    key: str = ""
    sent: float = 0.0
    ended: float = 0.0
    how: str = "answered"  # or cut, silent, unconnected
    status: int = 0
    echo: str = ""  # X-Attempt-Id of the answer
    seal: str = ""
    body: bytes = b""

    @property
    def good(self) -> bool:
        """Whether it ended in success."""
        return self.how == "answered" and 200 <= self.status < 300


@dataclass(slots=True)
class Arrival:
    """One request, as a server saw it. What it answered stands here also where that went nowhere."""

    attempt: str
    server: str
    asked: str
    caller: str = ""  # X-Caller-Service
    key: str = ""
    at: float = 0.0
    ran: bool = True
    status: int = 200
    seal: str = ""
    body: bytes = b""
    shard_key: int | None = None
    cold: bool = False  # the server holds the key without the state of its last holder


@dataclass(slots=True)
class Change:
    """One call of an operator: what each item says at this version, None where it drops it."""

    version: int
    items: dict[str, Any]
    valid: bool = True
    status: int = 0  # 0: no clear answer


@dataclass
class History:
    """All of a play."""

    tries: list[Try] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    holds: list[HoldEvent] = field(default_factory=list)  # of servers that are divided by key
    # the configuration at the end, as each controller told it
    readings: list[Items] = field(default_factory=list)
    kills: list[tuple[str, float]] = field(default_factory=list)  # sidecars that were ended without a word
    backs: list[float] = field(default_factory=list)  # when all that a fault had ended was ready again
    troubles: list[str] = field(default_factory=list)  # of processes: ends and errors nobody asked for
    late_s: float = 0.0  # how late the rig itself was at the most

    @property
    def runs(self) -> list[Arrival]:
        """What servers began to work on."""
        return [arrival for arrival in self.arrivals if arrival.ran]


def once(history: History) -> list[str]:
    """Of what can't be repeated no try runs twice."""
    repeatable = {one.attempt for one in history.tries if one.kind == "pure"}
    seen: dict[str, list[str]] = defaultdict(list)
    for run in history.runs:
        seen[run.attempt].append(run.server)
    return [
        f"{attempt} ran {len(servers)} times, on {', '.join(servers)}"
        for attempt, servers in seen.items()
        if len(servers) > 1 and attempt not in repeatable
    ]


def keys(history: History) -> list[str]:
    """A key runs once; whoever repeats it gets the first's answer, 409, or a failure or promise."""
    made = []
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for run in history.runs:
        if run.key:
            runs[run.key].append(run)
    for key, found in runs.items():
        if len(found) > 1:
            told = ", ".join(f"{run.attempt} at {run.at:.3f} on {run.server}" for run in found)
            made.append(f"key {key} ran {len(found)} times: {told}")
    for one in history.tries:
        if not one.key or one.how != "answered":
            continue
        if one.good:
            first = runs[one.key][0] if one.key in runs else None
            if first is None or (one.seal, one.body) != (first.seal, first.body):
                made.append(f"{one.attempt} of key {one.key} got another answer than the first")
        elif one.status < 500 and one.status != 409 and one.status not in PROMISES:
            made.append(f"{one.attempt} of key {one.key} got {one.status}")
    return made


def promises(history: History) -> list[str]:
    """What was refused with a promise has not run."""
    ran = {run.attempt for run in history.runs}
    return [
        f"{one.attempt} got {one.status} and ran"
        for one in history.tries
        if one.how == "answered" and one.status in PROMISES and one.kind != "pure" and one.attempt in ran
    ]


def answers(history: History) -> list[str]:
    """A success is a server's: its seal, its whole body, and for this request. A failure is no success."""
    made = []
    by_seal = {run.seal: run for run in history.runs if run.seal}
    for one in history.tries:
        if one.how != "answered":
            continue
        if one.echo and one.echo != one.attempt and not one.key:
            made.append(f"{one.attempt} got the answer to {one.echo}")
        if not one.good:
            continue
        run = by_seal.get(one.seal)
        if run is None:
            made.append(f"{one.attempt} got {one.status} with the seal {one.seal!r}, which no server gave")
        elif (run.status, run.body) != (one.status, one.body):
            told = f"{run.status} with {len(run.body)} bytes"
            made.append(f"{one.attempt} got {one.status} with {len(one.body)}, the server said {told}")
        elif run.attempt != one.attempt and (not one.key or run.key != one.key):
            made.append(f"{one.attempt} got the answer to {run.attempt}")
    return made


def callers(history: History) -> list[str]:
    """What runs was asked for, unchanged, and carries the service of the machine where it began."""
    made = []
    tries = {one.attempt: one for one in history.tries}
    for run in history.runs:
        one = tries.get(run.attempt)
        if one is None:
            made.append(f"{run.server} ran {run.attempt}, which nobody sent")
        elif run.caller != one.service:
            made.append(f"{run.attempt} of {one.service} ran as one of {run.caller!r}")
        elif (run.asked, run.key) != (one.asked, one.key):
            made.append(f"{run.attempt} ran changed: {run.asked!r}, not {one.asked!r}")
    return made


def whole(history: History) -> list[str]:
    """What a sidecar has read gets a whole answer, unless that sidecar is killed."""
    made = []
    arrived = {arrival.attempt for arrival in history.arrivals}
    slack = SLACK_S + history.late_s
    for one in history.tries:
        if one.how not in ("cut", "silent"):
            continue
        killed = any(
            one.machine == name and one.sent - slack <= at <= one.ended + slack for name, at in history.kills
        )
        if not killed and (one.attempt in arrived or one.ended - one.sent > slack):
            after = one.ended - one.sent
            made.append(f"{one.attempt} on {one.machine} was {one.how} after {after:.3f} s, and was read")
    return made


def configuration(history: History) -> list[str]:
    """What was acknowledged reads back, or what is newer; nothing stands that was invalid or never sent."""
    made = []
    sent: dict[str, dict[int, Any]] = defaultdict(dict)
    newest: dict[str, int] = {}
    for change in history.changes:
        if not change.valid:
            if change.status == 200:
                made.append(f"r{change.version} is invalid and was acknowledged")
            continue
        if 400 <= change.status < 500:
            made.append(f"r{change.version} is valid and got {change.status}")
        for name, content in change.items.items():
            sent[name][change.version] = content
            if change.status == 200:
                newest[name] = max(change.version, newest.get(name, -1))
    if newest and not history.readings:
        made.append("nothing was read back")
    for reading in history.readings:
        for name, least in newest.items():
            if name not in reading and not any(
                content is None for version, content in sent[name].items() if version >= least
            ):
                made.append(f"{name} is gone, and r{least} was acknowledged")
        for name, (version, content) in reading.items():
            if version < newest.get(name, -1):
                made.append(f"{name} stands at r{version}, and r{newest[name]} was acknowledged")
            elif sent[name].get(version) != content:
                made.append(f"{name} stands at r{version} with what nobody sent")
    return made


def recovery(history: History) -> list[str]:
    """After a fault that ended much, a quarter of the requests are served, if as many were before it."""
    made = []
    for back in history.backs:
        began = min((at for _, at in history.kills if at <= back), default=back)
        before = [one.good for one in history.tries if one.ended < began]
        after = [one.good for one in history.tries if one.sent > back + RECOVER_S]
        if sum(before) * 4 >= len(before) > 0 and sum(after) * 4 < max(1, len(after)):
            made.append(f"{sum(after)} of {len(after)} were served later than {RECOVER_S:g} s after it")
    return made


def owners(history: History) -> list[str]:
    """No two servers that are up begin requests on a shard key while both hold it.

    Stricter than the rule: grants count also right after a freeze or a cut of their sender.
    """
    runs = [KeyRun(run.server, run.shard_key, run.at) for run in history.runs if run.shard_key is not None]
    made = []
    for shared in shared_keys(history.holds, runs):
        one, other = shared.servers
        when = f"from {shared.since:.3f} to {shared.until:.3f}"
        made.append(f"{one} and {other} both held key {shared.key} {when}, and both began requests on it")
    return made


def processes(history: History) -> list[str]:
    """No process ends by itself or tells of an error of its own."""
    return history.troubles


ALL: dict[str, Callable[[History], list[str]]] = {
    "nothing that is not repeatable runs twice": once,
    "a key runs once, and repeats get the first's answer": keys,
    "what was refused with a promise never runs": promises,
    "a success has the server's seal and whole body": answers,
    "what runs was asked for, by the service that it names": callers,
    "what was read gets a whole answer": whole,
    "what was acknowledged reads back": configuration,
    "after a fault requests are served again": recovery,
    "a shard key has one owner": owners,
    "no process is in trouble": processes,
}


def judge(history: History) -> dict[str, list[str]]:
    """The broken invariants, each with its breaches."""
    return {name: found for name, check in ALL.items() if (found := check(history))}
