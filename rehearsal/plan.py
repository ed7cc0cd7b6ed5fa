"""The plan of a play: every arrival, every node and every fault, drawn before anything runs.

Pure: scenario, scale and seed in, plan out, the same to the byte each time. Nothing in it depends on how
fast anything answers, so two plays of one plan, or a play of the daemon and one of a baseline, meet the
same calls and the same faults at the same times. Each aspect has a random stream of its own: a new fault in
a scenario does not move the arrivals. All times are microseconds from the start of the play.
"""

from __future__ import annotations

import hashlib
import json
import math
import random
from collections.abc import Iterable
from typing import Any, NamedTuple

from rehearsal import scenario as sc

FORMAT = 1
SECOND = 1_000_000
FOREVER = 1 << 50
FIRST_VERSION = 100  # of the node list; one that forgets comes back with lower numbers
BAD_KINDS = ("silent", "noise", "endless-head", "wrong-length", "half", "no-such-class", "two-lengths")
DOORSTEP_S = 0.5  # between a process that ends and its successor, where that does not come first


class PlanError(ValueError):
    """A plan cannot be made or read."""


class Call(NamedTuple):
    """One thing that a client wants, with all that its client will do about it."""

    due_us: int
    cls: int
    member: int
    daemon: int
    work_us: int
    patience_us: int  # after which a try is given up
    retries: int
    pause_us: int  # before a retry; 0: at once
    honour: int  # whether Retry-After is heeded
    leave_us: int  # when the client leaves its first try, 0 if it stays
    over: int  # whether it lies beyond the member's share
    speaks: str = ""  # the form of Thrift; "" for HTTP
    oneway: int = 0  # whether nobody waits for an answer
    filler: int = 0  # bytes that it carries beside the usual


class Event(NamedTuple):
    """One step of a fault. `target` is node, hall, nodes, daemon or list; `value` depends on `what`."""

    t_us: int
    target: str
    which: int
    what: str
    value: float


class News(NamedTuple):
    """What the node list learns, and when. `status` is SERVING, DRAINING or DELETED."""

    t_us: int
    node: int
    status: str
    since_us: int  # start of the process; 0: long ago
    speaks: str = ""  # the form of Thrift from now on; "" where that has not changed


class Node(NamedTuple):
    """One channel node, with what was drawn for it."""

    name: str
    hall: int
    cell: int
    speed: float
    queue: int
    report_us: int
    probe_us: int
    handshake_us: int
    born_us: int  # -1: long before the play
    cold_us: int
    jam_at: float
    jam_over_us: int
    jam_slower: float
    jam_rest_us: int
    jam_most_us: int
    oneway_us: tuple[int, ...]  # from each hall
    speaks: str = ""  # the form of Thrift, at first; "" for HTTP


class Span(NamedTuple):
    """When a fault was on, for the report."""

    name: str
    kind: str
    from_us: int
    to_us: int


class Bad(NamedTuple):
    """One connection of a bad client."""

    t_us: int
    daemon: int
    kind: int


class Plan(NamedTuple):
    """All that a play consists of."""

    scenario: sc.Scenario
    name: str
    scale: str
    seed: int
    seconds: float
    capacity: float  # requests a second that the fleet can do, warm
    rate: float  # first tries a second, in the mean
    daemons: tuple[int, ...]  # the hall of each
    nodes: tuple[Node, ...]
    calls: tuple[Call, ...]
    events: tuple[Event, ...]
    news: tuple[News, ...]
    spans: tuple[Span, ...]
    bad: tuple[Bad, ...]

    @property
    def size(self) -> sc.Scale:
        """The scale that was chosen."""
        return self.scenario.scale[self.scale]

    @property
    def classes(self) -> tuple[str, ...]:
        """Names of the classes, in the order of their numbers."""
        return tuple(self.scenario.classes)

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the members, likewise."""
        return tuple(self.scenario.member)

    @property
    def halls(self) -> tuple[str, ...]:
        """Names of the halls, likewise."""
        return tuple(self.scenario.hall)

    def dumps(self) -> bytes:
        """The plan as text: one line of JSON a row, so that two can be compared with ordinary tools."""
        head = {
            "format": FORMAT,
            "name": self.name,
            "scale": self.scale,
            "seed": self.seed,
            "seconds": self.seconds,
            "capacity": self.capacity,
            "rate": self.rate,
            "daemons": self.daemons,
            "scenario": self.scenario.model_dump(mode="json", by_alias=True),
        }
        lines = [json.dumps(head)]  # unsorted: the numbers of classes and members are their order
        for key in _ROWS:
            lines += [json.dumps([key, *row], separators=(",", ":")) for row in getattr(self, key)]
        return ("\n".join(lines) + "\n").encode()

    def digest(self) -> str:
        """A short name for exactly this plan."""
        return hashlib.sha256(self.dumps()).hexdigest()[:16]


_ROWS: dict[str, type[NamedTuple]] = {
    "nodes": Node,
    "calls": Call,
    "events": Event,
    "news": News,
    "spans": Span,
    "bad": Bad,
}


def loads(data: bytes) -> Plan:
    """Read what `dumps` wrote; raise PlanError on anything else."""
    try:
        first, *lines = data.decode().splitlines()
        head = json.loads(first)
        if head.pop("format") != FORMAT:
            raise ValueError("written by another version of the kit")
        rows: dict[str, list[Any]] = {key: [] for key in _ROWS}
        for line in lines:
            key, *row = json.loads(line)
            rows[key].append(_ROWS[key](*row))
        rows["nodes"] = [node._replace(oneway_us=tuple(node.oneway_us)) for node in rows["nodes"]]
        head["scenario"] = sc.Scenario.model_validate(head["scenario"])
        head["daemons"] = tuple(head["daemons"])
        head.update({key: tuple(row) for key, row in rows.items()})
        return Plan(**head)
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise PlanError(f"no plan that this kit can play: {' '.join(str(error).split())[:300]}") from None


def make(scenario: sc.Scenario, name: str, scale: str, seed: int) -> Plan:
    """Draw a play. Raise PlanError if the scenario has no such scale."""
    if scale not in scenario.scale:
        raise PlanError(f"{name} has no scale {scale!r}; it has {', '.join(scenario.scale)}")
    size = scenario.scale[scale]
    seconds = size.seconds or scenario.seconds
    fleet = _Fleet(scenario, size, seed)
    shares = [c.share for c in scenario.classes.values()]
    mean_work = sum(s * c.work_ms for s, c in zip(shares, scenario.classes.values(), strict=True)) / sum(
        shares
    )
    capacity = sum(node.speed for node in fleet.nodes) * 1000.0 / mean_work
    rate = size.rate if size.rate is not None else (size.load or 0.0) * capacity
    daemons = tuple(_spread([hall.traffic for hall in scenario.hall.values()], size.daemons))
    for key, fault in scenario.fault.items():
        fleet.play(key, fault, seconds, len(daemons))
    calls = _calls(scenario, seed, seconds, rate, capacity, daemons)
    events = sorted(fleet.events, key=lambda e: (e.t_us, e.target, e.which, e.what))
    news = sorted(fleet.news, key=lambda n: (n.t_us, n.node, n.status))
    return Plan(
        scenario,
        name,
        scale,
        seed,
        seconds,
        capacity,
        rate,
        daemons,
        tuple(fleet.nodes),
        tuple(calls),
        tuple(events),
        tuple(news),
        tuple(fleet.spans),
        tuple(sorted(fleet.bad)),
    )


def _stream(seed: int, *names: object) -> random.Random:
    """A random stream of its own for one aspect."""
    return random.Random("/".join(map(str, (seed, *names))))


def _us(seconds: float) -> int:
    return round(seconds * SECOND)


def _spread(weights: list[float], count: int) -> list[int]:
    """`count` things over places by weight, by largest remainder; the place of each, in order."""
    total = sum(weights)
    exact = [count * weight / total for weight in weights]
    given = [int(part) for part in exact]
    for i in sorted(range(len(weights)), key=lambda i: (given[i] - exact[i], i))[: count - sum(given)]:
        given[i] += 1
    return [i for i, number in enumerate(given) for _ in range(number)]


def lognormal(draw: random.Random, mean: float, cv: float) -> float:
    """A lognormal figure of this mean and coefficient of variation."""
    if cv <= 0.0:
        return mean
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return mean * math.exp(draw.gauss(-sigma * sigma / 2, sigma))


class _Fleet:
    """Nodes, and what the faults do to them."""

    def __init__(self, scenario: sc.Scenario, size: sc.Scale, seed: int) -> None:
        self._scenario, self._size, self._seed = scenario, size, seed
        self.nodes: list[Node] = []
        self.events: list[Event] = []
        self.news: list[News] = []
        self.spans: list[Span] = []
        self.bad: list[Bad] = []
        self._fated: set[int] = set()  # nodes whose process a fault has already ended
        halls = [hall.nodes for hall in scenario.hall.values()]
        speaks = _speaking(scenario, size.nodes, seed)
        for i, hall in enumerate(_spread(halls, size.nodes)):
            self._add(f"n{i:03d}", hall, -1, speaks=speaks.get(i, ""))

    def _add(self, name: str, hall: int, born_us: int, cell: int | None = None, speaks: str = "") -> int:
        kind, link = self._scenario.node, self._scenario.link
        draw = _stream(self._seed, "node", name)
        number = len(self.nodes)
        self.nodes.append(
            Node(
                name=name,
                hall=hall,
                cell=number // kind.cell if cell is None else cell,
                speed=round(max(0.3, draw.gauss(1.0, kind.speed_cv)), 4),
                queue=round(draw.uniform(*kind.queue)),
                report_us=round(draw.uniform(*kind.report_ms) * 1000),
                probe_us=round(draw.uniform(*kind.probe_us)),
                handshake_us=round(draw.uniform(*kind.handshake_us)),
                born_us=born_us,
                cold_us=_us(draw.uniform(*kind.cold_s)),
                jam_at=round(draw.uniform(*kind.jam_at), 2),
                jam_over_us=_us(draw.uniform(*kind.jam_over_s)),
                jam_slower=round(draw.uniform(*kind.jam_slower), 3),
                jam_rest_us=_us(draw.uniform(*kind.jam_rest_s)),
                jam_most_us=_us(draw.uniform(*kind.jam_most_s)),
                oneway_us=tuple(
                    round(1000 * draw.uniform(*(link.same_ms if other == hall else link.cross_ms)))
                    for other in range(len(self._scenario.hall))
                ),
                speaks=speaks,
            )
        )
        return number

    # --- faults

    def play(self, key: str, fault: sc.AnyFault, seconds: float, daemons: int) -> None:
        """Put one fault on the timeline."""
        draw = _stream(self._seed, "fault", key)
        start, end = _us(fault.at), _us(min(fault.at + fault.lasts, seconds))
        if fault.at >= seconds:
            raise PlanError(f"fault.{key}: begins at {fault.at:g} s, the play ends at {seconds:g} s")
        self.spans.append(Span(key, fault.kind, start, max(end, start)))
        getattr(self, "_" + fault.kind.replace("-", "_"))(key, fault, draw, start, end, daemons)

    def _some(self, draw: random.Random, part: float, at_us: int, ends: bool = False) -> list[int]:
        """Part of the nodes that run at a time, of those whose process no fault has ended yet."""
        # One that has only just started is not listed yet: its end would be published before its start.
        latest = at_us - (_us(self._scenario.list.add_s[1]) if ends else 0)
        running = [
            i
            for i, node in enumerate(self.nodes)
            if node.born_us <= (latest if node.born_us >= 0 else at_us) and i not in self._fated
        ]
        count = math.floor(part * self._size.nodes + 1e-9)
        chosen = sorted(draw.sample(running, min(count, len(running))))
        if ends:
            self._fated.update(chosen)
        return chosen

    def _event(self, t_us: int, target: str, index: int, what: str, value: float = 0.0) -> None:
        self.events.append(Event(t_us, target, index, what, round(value, 6)))

    def _tell(self, draw: random.Random, t_us: int, after: sc.Range, node: int, status: str) -> None:
        since = max(0, self.nodes[node].born_us)
        self.news.append(News(t_us + _us(draw.uniform(*after)), node, status, since))

    def _switch(self, start: int, end: int, target: str, index: int, what: str, value: float = 1.0) -> None:
        self._event(start, target, index, what, value)
        self._event(end, target, index, what, 0.0)

    def _pauses(self, key: str, fault: sc.Pauses, draw: random.Random, start: int, end: int, _: int) -> None:
        for node in self._some(draw, fault.part, start):
            at = start
            while at < end:
                ms = draw.uniform(*fault.ms)
                self._event(at, "node", node, "pause", ms * 1000)
                at += round(ms * 1000) + _us(draw.uniform(*fault.every_s))

    def _neighbour(
        self, key: str, fault: sc.Neighbour, draw: random.Random, start: int, end: int, _: int
    ) -> None:
        for node in self._some(draw, fault.part, start):
            left, at, on = round(1.0 - draw.uniform(*fault.takes), 3), start, True
            while at < end:
                self._event(at, "node", node, "left", left if on else 1.0)
                at, on = at + _us(draw.uniform(*fault.phase_s)), not on
            self._event(end, "node", node, "left", 1.0)

    def _costly(self, key: str, fault: sc.Costly, draw: random.Random, start: int, end: int, _: int) -> None:
        """Drawn with the calls: what a call costs is the call's."""

    def _deploy(self, key: str, fault: sc.Deploy, draw: random.Random, start: int, end: int, _: int) -> None:
        chosen = self._some(draw, fault.part, start, ends=True)
        draw.shuffle(chosen)
        most = max(1, math.floor(fault.batch * self._size.nodes))
        batches = [chosen[i : i + most] for i in range(0, len(chosen), most)]
        span = max(0, end - start - _us(fault.drain_s[1]))
        lists = self._scenario.list
        for number, batch in enumerate(batches):
            at = start + span * number // max(1, len(batches) - 1)
            for old in batch:
                stop = at + _us(draw.uniform(*fault.drain_s))
                self._event(at, "node", old, "drain", 1.0)
                self._tell(draw, at, lists.drain_s, old, "DRAINING")
                self._event(stop, "node", old, "stop")
                self._tell(draw, stop, lists.notice_s, old, "DELETED")
                born = at + _us(draw.uniform(0.0, DOORSTEP_S)) if fault.ahead else stop + _us(DOORSTEP_S)
                new = self._add(
                    f"{self.nodes[old].name}-{key}",
                    self.nodes[old].hall,
                    born,
                    self.nodes[old].cell,
                    self.nodes[old].speaks,
                )
                self._event(born, "node", new, "start")
                self._tell(draw, born, lists.add_s, new, "SERVING")

    def _deaths(self, key: str, fault: sc.Deaths, draw: random.Random, start: int, end: int, _: int) -> None:
        lists = self._scenario.list
        for node in self._some(draw, fault.part, start, ends=True):
            self._event(start, "node", node, "die")
            self._tell(draw, start, lists.notice_s, node, "DELETED")
            back = start + _us(draw.uniform(*fault.back_s))
            self._event(back, "node", node, "start")
            # A list that is later with an end than with the next start would take a node that runs for gone.
            listed = max(back + _us(draw.uniform(*lists.add_s)), self.news[-1].t_us + 1)
            self.news.append(News(listed, node, "SERVING", back))

    def _turn(self, key: str, fault: sc.Turn, draw: random.Random, start: int, end: int, _: int) -> None:
        running = self._some(draw, 1.0, start)
        http = [node for node in running if not self.nodes[node].speaks and node not in self._fated]
        chosen = sorted(draw.sample(http, min(len(http), math.floor(fault.part * self._size.nodes + 1e-9))))
        self._fated.update(chosen)
        draw.shuffle(chosen)
        most = max(1, math.floor(fault.batch * self._size.nodes))
        batches = [chosen[i : i + most] for i in range(0, len(chosen), most)]
        span = max(0, end - start - _us(fault.drain_s[1] + fault.away_s[1]))
        lists, form = self._scenario.list, list(sc.EVERY_FORM).index(fault.form)
        for number, batch in enumerate(batches):
            at = start + span * number // max(1, len(batches) - 1)
            for node in batch:
                stop = at + _us(draw.uniform(*fault.drain_s))
                back = stop + _us(draw.uniform(*fault.away_s))
                self._event(at, "node", node, "drain", 1.0)
                self._tell(draw, at, lists.drain_s, node, "DRAINING")
                self._event(stop, "node", node, "stop")
                self._event(stop + 1, "node", node, "speak", form)
                self._event(back, "node", node, "start")
                listed = max(back + _us(draw.uniform(*lists.add_s)), self.news[-1].t_us + 1)
                self.news.append(News(listed, node, "SERVING", back, fault.form))

    def _cut_frames(
        self, key: str, fault: sc.CutFrames, draw: random.Random, start: int, end: int, _: int
    ) -> None:
        self._switch(start, end, "nodes", 0, "cut-frames", fault.part)

    def _drain(self, key: str, fault: sc.Drain, draw: random.Random, start: int, end: int, _: int) -> None:
        lists = self._scenario.list
        for node in self._some(draw, fault.part, start, ends=True):
            self._switch(start, end, "node", node, "drain")
            self._tell(draw, start, lists.drain_s, node, "DRAINING")
            self._tell(draw, end, lists.add_s, node, "SERVING")

    def _cut(self, key: str, fault: sc.Cut, draw: random.Random, start: int, end: int, _: int) -> None:
        lists, hall = self._scenario.list, list(self._scenario.hall).index(fault.hall)
        self._switch(start, end, "hall", hall, "cut")
        for number, node in enumerate(self.nodes):
            if node.hall != hall or node.born_us > start or number in self._fated:
                continue
            noticed = start + _us(draw.uniform(*lists.silent_s))
            if noticed < end:
                self.news.append(News(noticed, number, "DELETED", max(0, node.born_us)))
                self._tell(draw, end, lists.add_s, number, "SERVING")

    def _resets(self, key: str, fault: sc.Resets, draw: random.Random, start: int, end: int, _: int) -> None:
        self._switch(start, end, "nodes", 0, "reset-run", fault.part * fault.run)
        self._switch(start, end, "nodes", 0, "reset-unrun", fault.part * (1.0 - fault.run))

    def _spoilt(self, key: str, fault: sc.Spoilt, draw: random.Random, start: int, end: int, _: int) -> None:
        self._switch(start, end, "nodes", 0, "spoilt", fault.part)

    def _stale(self, key: str, fault: sc.Stale, draw: random.Random, start: int, end: int, _: int) -> None:
        self._switch(start, end, "nodes", 0, "stale", fault.idle_ms * 1000)

    def _mute(self, key: str, fault: sc.Mute, draw: random.Random, start: int, end: int, _: int) -> None:
        for node in self._some(draw, fault.part, start):
            self._switch(start, end, "node", node, "mute")

    def _daemon_kill(
        self, key: str, fault: sc.DaemonKill, draw: random.Random, start: int, end: int, daemons: int
    ) -> None:
        for daemon in sorted(draw.sample(range(daemons), max(1, math.floor(fault.part * daemons)))):
            self._event(start, "daemon", daemon, "kill", fault.back_s)

    def _daemon_restart(
        self, key: str, fault: sc.DaemonRestart, draw: random.Random, start: int, end: int, daemons: int
    ) -> None:
        chosen = sorted(draw.sample(range(daemons), max(1, math.floor(fault.part * daemons))))
        for number, daemon in enumerate(chosen):
            self._event(start + number * _us(fault.every_s), "daemon", daemon, "restart")

    def _daemon_stall(
        self, key: str, fault: sc.DaemonStall, draw: random.Random, start: int, end: int, daemons: int
    ) -> None:
        for daemon in sorted(draw.sample(range(daemons), max(1, math.floor(fault.part * daemons)))):
            self._event(start, "daemon", daemon, "stall", (end - start) / 1e6)

    def _daemon_twin(
        self, key: str, fault: sc.DaemonTwin, draw: random.Random, start: int, end: int, daemons: int
    ) -> None:
        for daemon in sorted(draw.sample(range(daemons), max(1, math.floor(fault.part * daemons)))):
            self._event(start, "daemon", daemon, "twin", (end - start) / 1e6)

    def _links(self, key: str, fault: sc.Links, draw: random.Random, start: int, end: int, _: int) -> None:
        number, step = list(self._scenario.fault).index(key), _us(fault.flaps_s) or end - start
        for begins in range(start, end, 2 * step if fault.flaps_s else step):
            self._event(begins, "fabric", number, "links", 1.0)
            self._event(min(begins + step, end), "fabric", number, "links", 0.0)

    def _daemon_upgrade(
        self, key: str, fault: sc.DaemonUpgrade, draw: random.Random, start: int, end: int, daemons: int
    ) -> None:
        chosen = sorted(draw.sample(range(daemons), max(1, math.floor(fault.part * daemons))))
        for number, daemon in enumerate(chosen):
            self._event(start + number * _us(fault.every_s), "daemon", daemon, "upgrade", fault.yes_s)

    def _daemon_evacuate(
        self, key: str, fault: sc.DaemonEvacuate, draw: random.Random, start: int, end: int, daemons: int
    ) -> None:
        for daemon in sorted(draw.sample(range(daemons), max(1, math.floor(fault.part * daemons)))):
            self._event(start, "daemon", daemon, "evacuate", fault.gone_s)
            self._event(end, "daemon", daemon, "rejoin", fault.back_s)

    def _list_outage(
        self, key: str, fault: sc.ListOutage, draw: random.Random, start: int, end: int, _: int
    ) -> None:
        self._event(start, "list", 0, "down")
        self._event(end, "list", 0, "up", float(fault.forgets))

    def _reload(self, key: str, fault: sc.Reload, draw: random.Random, start: int, end: int, _: int) -> None:
        self._event(start, "list", 0, "move")

    def _registry(
        self, key: str, fault: sc.RegistryFault, draw: random.Random, start: int, end: int, _: int
    ) -> None:
        which = -1 if fault.where == "all" else 0
        self._event(start, "registry", which, fault.what, fault.keeps)
        self._event(end, "registry", which, "", 0.0)

    def _flap(self, key: str, fault: sc.Flap, draw: random.Random, start: int, end: int, _: int) -> None:
        for node in self._some(draw, fault.part, start, ends=True):
            at, out = start, True
            while at < end:
                self._event(at, "flap", node, "out" if out else "in")
                at, out = at + _us(fault.every_s), not out
            self._event(end, "flap", node, "in")

    def _migrate(
        self, key: str, fault: sc.Migrate, draw: random.Random, start: int, end: int, _: int
    ) -> None:
        hall = list(self._scenario.hall).index(fault.hall)
        self._event(start, "owner", hall, "eureka")
        self._event(end, "owner", hall, "platform")
        gap = (end - start) // 4
        for number, node in enumerate(self.nodes):
            if node.hall == hall and node.born_us < 0 and number not in self._fated:
                self._event(start + gap, "unlist", number, "drop")
                self._event(end - gap, "unlist", number, "list")

    def _flood(
        self, key: str, fault: sc.Flood, draw: random.Random, start: int, end: int, daemons: int
    ) -> None:
        at = float(start)
        while (at := at + draw.expovariate(fault.per_s) * SECOND) < end:
            self.bad.append(Bad(round(at), draw.randrange(daemons), draw.randrange(len(BAD_KINDS))))


def _speaking(scenario: sc.Scenario, nodes: int, seed: int) -> dict[int, str]:
    """The nodes that speak Thrift from the start, and which form."""
    told = scenario.thrift
    if told is None:
        return {}
    chosen = sorted(_stream(seed, "speaking").sample(range(nodes), round(told.nodes * nodes)))
    return {node: told.node_forms[i % len(told.node_forms)] for i, node in enumerate(chosen)}


# --- arrivals


def shape(arrivals: sc.Arrivals, seconds: float, seed: int) -> tuple[list[tuple[float, float]], float]:
    """The rate over time as (second, times the mean rate), linear between, and its maximum."""
    points: list[tuple[float, float]]
    if arrivals.shape == "ramp":
        points = [(0.0, arrivals.ramp[0]), (seconds, arrivals.ramp[1])]
    elif arrivals.shape == "wave":
        steps = max(2, math.ceil(seconds / arrivals.period_s * 24))
        points = [
            (t := seconds * i / steps, 1.0 + arrivals.swing * math.sin(2 * math.pi * t / arrivals.period_s))
            for i in range(steps + 1)
        ]
    elif arrivals.shape == "sale":
        opens = arrivals.sale_at * seconds
        top, end = arrivals.sale_times, opens + arrivals.sale_over_s + arrivals.sale_lasts_s
        points = [(0.0, 1.0), (opens, 1.0), (opens + arrivals.sale_over_s, top), (end, top), (end + 1.0, 1.0)]
    elif arrivals.shape == "bursty":
        draw, at, high = _stream(seed, "bursts"), 0.0, True
        points = []
        while at < seconds:
            level = 1.0 + arrivals.swing * (1 if high else -1)
            until = at + max(0.2, draw.expovariate(1.0 / arrivals.period_s))
            points += [(at, level), (until, level)]
            at, high = until, not high
    else:
        points = [(0.0, 1.0), (seconds, 1.0)]
    return points, max(level for _, level in points)


def level_at(points: list[tuple[float, float]], t: float) -> float:
    """The rate at a time, between the two points around it."""
    for (a, low), (b, high) in zip(points, points[1:], strict=False):
        if t <= b:
            return high if b <= a else low + (high - low) * max(0.0, t - a) / (b - a)
    return points[-1][1]


def _due(
    points: list[tuple[float, float]], top: float, rate: float, seconds: float, seed: int
) -> Iterable[float]:
    """Times of a Poisson process whose rate follows the shape, by thinning (Lewis and Shedler, 1979)."""
    draw, t = _stream(seed, "arrivals"), 0.0
    while (t := t + draw.expovariate(rate * top)) < seconds:
        if draw.random() * top < level_at(points, t):
            yield t


def _calls(
    scenario: sc.Scenario, seed: int, seconds: float, rate: float, capacity: float, daemons: tuple[int, ...]
) -> Iterable[Call]:
    arrivals, clients = scenario.arrivals, scenario.clients
    classes, members = list(scenario.classes.values()), list(scenario.member.values())
    costly = [f for f in scenario.fault.values() if isinstance(f, sc.Costly)]
    names = list(scenario.classes)
    traffic = [hall.traffic for hall in scenario.hall.values()]
    alike = _stream(seed, "streams")
    drawn = [lognormal(alike, 1.0, arrivals.stream_cv) for _ in daemons]
    # A hall's traffic is the scenario's, however its daemons share it.
    weights = [
        part * traffic[hall] / sum(p for p, h in zip(drawn, daemons, strict=True) if h == hall)
        for part, hall in zip(drawn, daemons, strict=True)
    ]
    total_share = sum(member.share for member in members)
    allowed = [arrivals.quota * capacity * member.share / total_share for member in members]
    buckets = [(level, 0.0) for level in allowed]  # a second's worth each
    points, top = shape(arrivals, seconds, seed)
    for number, t in enumerate(_due(points, top, rate, seconds, seed)):
        draw = _stream(seed, "call", number)
        cls = draw.choices(range(len(classes)), [c.share for c in classes])[0]
        member = draw.choices(range(len(members)), [m.share * m.usage for m in members])[0]
        daemon = draw.choices(range(len(daemons)), weights)[0]
        kind = classes[cls]
        work = kind.work_ms * (
            draw.expovariate(1.0) if kind.spread == "exponential" else lognormal(draw, 1.0, kind.cv)
        )
        for fault in costly:
            if (
                names[cls] == fault.of
                and fault.at <= t < fault.at + fault.lasts
                and draw.random() < fault.part
            ):
                work *= draw.uniform(*fault.times)
        patience = kind.deadline_ms * draw.uniform(*clients.patience)
        retries, pause = draw.randint(*clients.retries), draw.uniform(*clients.pause_ms)
        if draw.random() < clients.at_once:
            pause = 0.0
        honour = draw.random() < clients.honour
        leave = draw.uniform(0.02, 0.9) * patience if draw.random() < clients.leave else 0.0
        level, at = buckets[member]
        level = min(allowed[member], level + (t - at) * allowed[member])
        over = level < 1.0
        buckets[member] = (level if over else level - 1.0, t)
        speaks, oneway, filler = "", False, 0.0
        if scenario.thrift is not None:
            told = scenario.thrift
            over_thrift = _stream(seed, "thrift", number)
            if over_thrift.random() < told.calls.get(names[cls], 0.0):
                speaks = over_thrift.choice(told.client_forms)
                oneway = over_thrift.random() < told.oneway.get(names[cls], 0.0)
                filler = over_thrift.uniform(*told.filler_kb)
        yield Call(
            round(t * SECOND),
            cls,
            member,
            daemon,
            max(100, round(work * 1000)),
            round(patience * 1000),
            retries,
            round(pause * 1000),
            int(honour),
            round(leave * 1000),
            int(over),
            speaks,
            int(oneway),
            round(filler * 1024),
        )
