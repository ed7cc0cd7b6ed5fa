"""Scenario files: what a rehearsal plays, read from TOML and checked key by key.

A scenario names pieces: a fleet of channel nodes in halls, classes and members, the shape of arrivals,
clients, the node list, faults on a timeline, and what must hold for a pass. `include` takes other files
first and the including file overrides them key by key, so a variant is a few lines; `drop` takes whole
pieces out again. Every error names file, line and key. docs/operators/rehearsal-scenarios.md describes the
keys.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hollyport.settings.options import line_of

SHIPPED = Path(__file__).parent / "scenarios"


class ScenarioError(ValueError):
    """A scenario cannot be used; the message names file, line and key."""


Part = Annotated[float, Field(ge=0.0, le=1.0)]
Seconds = Annotated[float, Field(ge=0.0, le=7200.0)]
Range = tuple[Annotated[float, Field(ge=0.0)], Annotated[float, Field(ge=0.0)]]


class Piece(BaseModel):
    """A table of a scenario: unknown keys are errors, and nothing changes once it is read."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)

    @model_validator(mode="after")
    def _ranges_rise(self) -> Piece:
        for name in type(self).model_fields:
            value = getattr(self, name)
            numbers = isinstance(value, tuple) and all(isinstance(item, int | float) for item in value)
            if numbers and len(value) == 2 and value[0] > value[1]:
                raise ValueError(f"{name}: a range goes from low to high, is {list(value)}")
        return self


class Scale(Piece):
    """How large a play is: `rate` in first tries a second, or `load` as a part of what the fleet can do."""

    nodes: int = Field(ge=1, le=400)
    daemons: int = Field(ge=1, le=64)
    rate: float | None = Field(default=None, gt=0.0, le=20000.0)
    load: float | None = Field(default=None, gt=0.0, le=10.0)
    seconds: float | None = Field(default=None, gt=0.0, le=3600.0)
    hosts: int = Field(default=2, ge=1, le=8, description="processes that stand in for nodes")
    callers: int = Field(default=1, ge=1, le=8, description="processes that stand in for clients")

    @model_validator(mode="after")
    def _one_rate(self) -> Scale:
        if (self.rate is None) == (self.load is None):
            raise ValueError("give either rate or load")
        return self


class Hall(Piece):
    """One data hall: its part of the traffic and of the nodes, as weights."""

    traffic: float = Field(ge=0.0)
    nodes: float = Field(ge=0.0)


class Link(Piece):
    """One-way delays in milliseconds, inside a hall and between two."""

    same_ms: Range = (0.1, 0.2)
    cross_ms: Range = (0.28, 0.46)


class RequestClass(Piece):
    """One class of request. `repeat` is free, unsafe or keyed (with `group` and `window_ms`)."""

    share: float = Field(gt=0.0)
    work_ms: float = Field(gt=0.0, description="mean work on an idle, warm node")
    spread: Literal["exponential", "lognormal"] = "lognormal"
    cv: float = Field(default=0.6, ge=0.0, le=5.0)
    noise: float = Field(
        default=0.2, ge=0.0, le=2.0, description="cv of the same call's work from try to try"
    )
    aim_ms: float = Field(default=324.0, gt=0.0)
    deadline_ms: float = Field(default=809.0, gt=0.0)
    worth: float = Field(gt=0.0)
    repeat: Literal["free", "unsafe", "keyed"]
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: float = Field(default=0.0, ge=0.0)
    request_kb: int = Field(default=0, ge=0, le=49152, description="body of a request over HTTP, if not free")
    answer_kb: int = Field(default=0, ge=0, le=65000, description="what follows the first line of an answer")

    @model_validator(mode="after")
    def _no_body_without_a_post(self) -> RequestClass:
        if self.request_kb and self.repeat == "free":
            raise ValueError("request_kb: a free class is asked for by GET, which has no body")
        return self


class Member(Piece):
    """One member: its share of the service, and its traffic over that share (1.0 asks for just the share)."""

    share: float = Field(gt=0.0)
    usage: float = Field(default=1.0, gt=0.0)


class Arrivals(Piece):
    """The shape of the load over time. `swing` is how far it leaves its mean, where the shape has one."""

    shape: Literal["steady", "bursty", "ramp", "wave", "sale"] = "steady"
    swing: float = Field(default=0.25, ge=0.0, le=0.95)
    period_s: float = Field(default=5.0, gt=0.0, description="of the wave, and mean length of a burst")
    ramp: Range = Field(default=(0.5, 1.5), description="of the mean rate, at the start and at the end")
    sale_at: Part = Field(default=0.4, description="when the sale opens, as a part of the play")
    sale_times: float = Field(default=2.0, ge=1.0, le=50.0, description="times the rate from then on")
    sale_over_s: float = Field(default=1.0, ge=0.0, description="how long the rise takes")
    sale_lasts_s: float = Field(default=1e6, gt=0.0)
    over_share_worth: Part = 0.05
    quota: float = Field(default=0.9, gt=0.0, description="part of capacity that the members' shares divide")
    stream_cv: float = Field(default=1.0, ge=0.0, le=3.0, description="how unlike the daemons' traffic is")


class Clients(Piece):
    """How clients retry, wait and leave."""

    retries: tuple[int, int] = (2, 3)
    at_once: Part = Field(default=0.5, description="part of the calls whose retries come at once")
    pause_ms: Range = (20.0, 160.0)
    patience: tuple[Part, Part] = Field(default=(0.5, 0.6), description="of the deadline, for one try")
    honour: Part = Field(default=0.4, description="part of the calls that wait as Retry-After says")
    longest_wait_ms: float = Field(default=2000.0, ge=0.0)
    leave: Part = Field(default=0.005, description="part of the calls whose client leaves within a try")


class Node(Piece):
    """A channel node: one core, a queue, a cold start, and what makes it fall over or jam."""

    speed_cv: float = Field(default=0.07, ge=0.0, le=0.5)
    queue: Range = Field(default=(6.0, 10.0), description="requests that may wait; more are turned away")
    report_ms: Range = Field(default=(1.1, 4.3), description="how often the load report is refreshed")
    probe_us: Range = (21.0, 63.0)
    handshake_us: Range = (47.0, 142.0)
    connections: int = Field(default=600, ge=1)
    idle_s: float = Field(default=10.0, gt=0.0)
    drops_expired: bool = True
    error_part: Part = 0.0005
    cold_from: float = Field(default=0.37, gt=0.0, le=1.0)
    cold_s: Range = (3.8, 8.3)
    fall_multiple: float = Field(default=2.5, ge=1.0)
    fall_s: float = Field(default=1.5, gt=0.0)
    jam_at: Range = Field(
        default=(4.0, 7.0), description="requests held over the cores, in the mean of jam_over_s"
    )
    jam_over_s: Range = (1.5, 2.5)
    jam_slower: Range = (2.0, 3.3)
    jam_rest_s: Range = (3.3, 4.8)
    jam_below: Part = Field(default=0.4, description="busy for less than this part: at rest")
    jam_most_s: Range = (18.0, 35.0)
    cell: int = Field(default=4, ge=1, description="nodes that share what they remember of keyed requests")


class NodeList(Piece):
    """The node list service: late, of finite capacity, and aware only of whether a process runs."""

    drain_s: Range = Field(default=(0.1, 0.6), description="until a drain is published")
    notice_s: Range = Field(default=(1.9, 4.2), description="until a death is")
    silent_s: Range = Field(default=(4.4, 10.0), description="until a node that fell silent is")
    add_s: Range = Field(default=(0.42, 2.5), description="until a new process is")
    whole_ms: float = Field(default=4.0, ge=0.0, description="what an answer with the whole list costs")
    change_ms: float = Field(default=0.5, ge=0.0)
    timeout_s: float = Field(default=2.0, gt=0.0)
    must_ask_s: float = Field(default=6.0, ge=1.0)
    sources: tuple[Literal["platform", "eureka"], ...] = Field(default=("platform",), min_length=1)
    eureka_interval_s: float = Field(default=1.0, ge=0.05)
    eureka_addresses: int = Field(default=2, ge=1, le=4)
    eureka_format: Literal["json", "xml"] = "json"
    eureka_lingers_s: float = Field(
        default=0.0, ge=0.0, description="how much longer the lease of a node that died stands there"
    )


class Daemon(Piece):
    """What the platform gives a daemon, and what its settings tell it beside the scenario's own figures."""

    memory_mb: float = Field(default=192.0, gt=0.0)
    sockets: int = Field(default=1024, ge=32)
    max_attempts: int = Field(default=5, ge=1)
    retry_after: bool = True
    probes: bool = True
    connect_timeout_ms: float = Field(default=200.0, gt=0.0)
    drain_grace_ms: float = Field(default=1000.0, ge=0.0)
    ready_s: float = Field(default=30.0, gt=0.0)
    stop_s: float = Field(default=3.7, gt=0.0, description="from SIGTERM to SIGKILL")


FormName = Literal["framed-binary", "framed-compact", "unframed-binary", "unframed-compact"]
EVERY_FORM: tuple[FormName, ...] = ("framed-binary", "framed-compact", "unframed-binary", "unframed-compact")


class ThriftPart(Piece):
    """Part of the calls come over Thrift, and part of the nodes speak it; the rest is HTTP."""

    calls: dict[str, Part] = Field(description="part of each class's calls")
    oneway: dict[str, Part] = Field(default_factory=dict, description="part of these that nobody waits for")
    filler_kb: Range = Field(default=(0.0, 0.0), description="what calls carry beside the usual")
    client_forms: tuple[FormName, ...] = Field(default=EVERY_FORM, min_length=1)
    nodes: Part = 0.5
    node_forms: tuple[FormName, ...] = Field(default=EVERY_FORM, min_length=1)


class Fault(Piece):
    """What all faults have: when, from the first call on, and for how long."""

    at: Seconds
    lasts: Seconds = 0.0


class Pauses(Fault):
    """Part of the nodes stands still, again and again."""

    kind: Literal["pauses"]
    part: Part = 0.44
    ms: Range = (81.0, 200.0)
    every_s: Range = (1.4, 2.8)


class Neighbour(Fault):
    """Another program takes part of the machine of some nodes, on and off."""

    kind: Literal["neighbour"]
    part: Part = 0.46
    takes: tuple[Part, Part] = (0.31, 0.61)
    phase_s: Range = (1.2, 4.9)


class Costly(Fault):
    """A part of one class's calls costs many times the usual work."""

    kind: Literal["costly"]
    of: str
    part: Part = 0.02
    times: Range = (5.9, 29.0)


class Deploy(Fault):
    """A rolling deploy: batches drain, stop, and successors under new names and addresses start cold."""

    kind: Literal["deploy"]
    part: Part = 0.91
    batch: Annotated[float, Field(gt=0.0, le=1.0)] = 0.2
    drain_s: Range = Field(default=(2.0, 3.5), description="from the drain to the end of the process")
    ahead: bool = Field(
        default=True, description="successors start when the drain begins, not when it is over"
    )


class Deaths(Fault):
    """Part of the nodes dies at once and comes back cold, under the same name and address."""

    kind: Literal["deaths"]
    part: Part = 0.24
    back_s: Range = (6.1, 21.0)


class Drain(Fault):
    """Part of the nodes is drained, keeps running, and is back in service when the fault is over."""

    kind: Literal["drain"]
    part: Part


class Cut(Fault):
    """A hall is cut off from the others: silence, not resets."""

    kind: Literal["cut"]
    hall: str


class Resets(Fault):
    """Part of the requests ends in a reset; `run` of those after the work was done."""

    kind: Literal["resets"]
    part: Part = 0.02
    run: Part = 0.5


class Spoilt(Fault):
    """Part of the answers can't be read, or brings more than belongs to it."""

    kind: Literal["spoilt"]
    part: Part = 0.02


class Stale(Fault):
    """Something between drops connections that have been idle for a while; the next request is reset."""

    kind: Literal["stale"]
    idle_ms: float = Field(default=300.0, gt=0.0)


class Mute(Fault):
    """Part of the nodes takes requests and says nothing."""

    kind: Literal["mute"]
    part: Part = 0.1


class DaemonKill(Fault):
    """Daemons are killed outright, and started again."""

    kind: Literal["daemon-kill"]
    part: Part = 0.25
    back_s: float = Field(default=0.3, ge=0.0)


class DaemonRestart(Fault):
    """Daemons get SIGTERM, one after the other, and are started again when they have ended."""

    kind: Literal["daemon-restart"]
    part: Part = 1.0
    every_s: float = Field(default=1.0, ge=0.0)


class DaemonUpgrade(Fault):
    """Daemons are replaced, one after the other, by a process that is started beside the running one and
    has the same listening socket; the old one gets SIGTERM once the new one says yes."""

    kind: Literal["daemon-upgrade"]
    part: Part = 1.0
    every_s: float = Field(default=2.0, ge=0.0)
    yes_s: float = Field(default=6.0, gt=0.0, description="until the new one has to say yes")


class DaemonEvacuate(Fault):
    """Daemons are told to send their clients away, and back when it is over."""

    kind: Literal["daemon-evacuate"]
    part: Part = 1.0
    gone_s: float = Field(default=4.0, gt=0.0, description="until no client's connection may be left")
    back_s: float = Field(default=2.0, gt=0.0, description="until it has to say yes again")


class DaemonStall(Fault):
    """Daemons are stopped (SIGSTOP) for as long as it lasts, and go on."""

    kind: Literal["daemon-stall"]
    part: Part = 0.1


class DaemonTwin(Fault):
    """By mistake a second process is started under a daemon's name in the fleet, for as long as it lasts."""

    kind: Literal["daemon-twin"]
    part: Part = 0.1


class Links(Fault):
    """Datagrams between daemons of a fleet are lost, late or doubled."""

    kind: Literal["links"]
    part: Part | None = Field(default=None, description="of the daemons, drawn; else those that are named")
    members: tuple[str, ...] = Field(default=(), description="halls or daemons (d0, d1 ...); none: all")
    to: tuple[str, ...] = Field(default=(), description="the other end; none: all the rest")
    both: bool = Field(default=True, description="both ways; else only from `members` to `to`")
    lost: Part = 1.0
    delay_ms: Range = (0.0, 0.0)
    doubled: Part = 0.0
    reordered: Part = Field(default=0.0, description="part that comes up to half a second late")
    flaps_s: float = Field(default=0.0, ge=0.0, description="on and off, so long each")
    forged: Part = Field(default=0.0, description="part that a forgery follows: all have left, says somebody")


class ListOutage(Fault):
    """The node list service is down; it comes back with lower version numbers where `forgets`."""

    kind: Literal["list-outage"]
    forgets: bool = False


class Reload(Fault):
    """The daemons' file names another address of the node list, and they get SIGHUP."""

    kind: Literal["reload"]


class Flood(Fault):
    """Bad clients: silent ones, noise, heads without end, wrong lengths, half a request and a close."""

    kind: Literal["flood"]
    per_s: float = Field(default=40.0, gt=0.0, le=5000.0)


class RegistryFault(Fault):
    """The Eureka registry misbehaves: at its `first` address, or at `all` of them."""

    kind: Literal["registry"]
    what: Literal[
        "silent",
        "refuse",
        "error",
        "reset",
        "half",
        "garbage",
        "huge",
        "bomb",
        "empty",
        "shrunken",
        "no-delta",
        "disagree",
        "stale",
    ]
    where: Literal["first", "all"] = "all"
    keeps: Part = Field(default=0.3, description="of the instances, in a shrunken answer")


class Flap(Fault):
    """Part of the fleet is put out of service in the registry, and back, every second."""

    kind: Literal["flap"]
    part: Part = 0.34
    every_s: float = Field(default=1.0, ge=0.1)


class Migrate(Fault):
    """A hall's owner becomes the registry, by a reload; the platform drops it; and all of it is undone."""

    kind: Literal["migrate"]
    hall: str


class Turn(Fault):
    """Part of the nodes, batch by batch, drain, stop, and come back cold under the same name and address,
    speaking Thrift."""

    kind: Literal["turn"]
    part: Part = 0.3
    batch: Annotated[float, Field(gt=0.0, le=1.0)] = 0.1
    drain_s: Range = (1.5, 2.0)
    away_s: Range = Field(default=(0.5, 1.0), description="between the old process and the new")
    form: FormName = "framed-compact"


class CutFrames(Fault):
    """Part of the calls over Thrift end their connection: in the middle of the frame where it comes in
    pieces, right behind its last byte where it came whole."""

    kind: Literal["cut-frames"]
    part: Part = 0.1


AnyFault = Annotated[
    Pauses
    | Neighbour
    | Costly
    | Deploy
    | Deaths
    | Drain
    | Cut
    | Resets
    | Spoilt
    | Stale
    | Mute
    | DaemonKill
    | DaemonRestart
    | DaemonUpgrade
    | DaemonEvacuate
    | ListOutage
    | Reload
    | Flood
    | RegistryFault
    | Flap
    | Migrate
    | Turn
    | CutFrames
    | DaemonStall
    | DaemonTwin
    | Links,
    Field(discriminator="kind"),
]


class FleetPart(Piece):
    """Daemons know of each other, and what they hold of each other is judged."""

    period_s: float = Field(default=0.25, ge=0.1, le=5.0)
    datagram_bytes: int = Field(default=1200, ge=256, le=1200)
    known_s: float = Field(default=3.0, gt=0.0, description="until all hold one that died for dead")
    agree_s: float = Field(default=3.0, gt=0.0, description="until views agree once nothing fails any more")
    fleets: int = Field(default=1, ge=1, le=4, description="fleets of other names that share key and lines")


class Criteria(Piece):
    """What must hold for a pass. A broken rule fails a play whatever stands here."""

    served_worth: Part = 0.0
    weighted: Part = 0.0
    worst_10s: Part = 0.0
    worst_class: Part = 0.0
    worst_member: Part = 0.0
    cross_hall: Part = 1.0
    probes_per_request: float = Field(default=1e9, ge=0.0)
    memory_growth_mb: float = Field(default=24.0, ge=0.0, description="from the second quarter to the last")
    bad_clients_unheard: Part = Field(
        default=0.02, description="of the flood, neither answered nor closed in 3 s"
    )
    rig_late_ms: float = Field(default=25.0, gt=0.0, description="99th percentile from which a play is void")


class Scenario(Piece):
    """One rehearsal, whole."""

    title: str
    about: str = ""
    seconds: float = Field(gt=0.0, le=3600.0)
    tail_s: float = Field(
        default=1.5, ge=0.0, le=60.0, description="how long records go on after the last call"
    )
    scale: dict[str, Scale]
    hall: dict[str, Hall]
    link: Link = Link()
    classes: dict[str, RequestClass] = Field(alias="class")
    member: dict[str, Member]
    arrivals: Arrivals = Arrivals()
    clients: Clients = Clients()
    node: Node = Node()
    list: NodeList = NodeList()
    daemon: Daemon = Daemon()
    thrift: ThriftPart | None = None
    fleet: FleetPart | None = None
    fault: dict[str, AnyFault] = Field(default_factory=dict)
    criteria: Criteria = Field(default=Criteria(), alias="pass")

    @model_validator(mode="after")
    def _names_fit(self) -> Scenario:
        for key in ("scale", "hall", "classes", "member"):
            if not getattr(self, key):
                raise ValueError(f"{'class' if key == 'classes' else key}: there must be one at least")
        if not any(hall.nodes for hall in self.hall.values()) or not any(
            h.traffic for h in self.hall.values()
        ):
            raise ValueError("hall: one at least needs nodes, and one traffic")
        if self.thrift is not None:
            for key, parts in (("calls", self.thrift.calls), ("oneway", self.thrift.oneway)):
                for name in parts:
                    if name not in self.classes:
                        raise ValueError(f"thrift.{key}.{name}: no such class: {name}")
        for name, fault in self.fault.items():
            if isinstance(fault, DaemonTwin | Links) and self.fleet is None:
                raise ValueError(f"fault.{name}.kind: needs a fleet table")
            if isinstance(fault, Turn | CutFrames) and self.thrift is None:
                raise ValueError(f"fault.{name}.kind: needs a thrift table")
            if isinstance(fault, RegistryFault | Flap | Migrate) and "eureka" not in self.list.sources:
                raise ValueError(f"fault.{name}.kind: needs eureka among list.sources")
            if isinstance(fault, Cut | Migrate) and fault.hall not in self.hall:
                raise ValueError(f"fault.{name}.hall: no such hall: {fault.hall}")
            if isinstance(fault, Costly) and fault.of not in self.classes:
                raise ValueError(f"fault.{name}.of: no such class: {fault.of}")
        return self


def shipped() -> Iterator[Path]:
    """The scenarios that come with the kit, by name; files that begin with _ are pieces to include."""
    return (path for path in sorted(SHIPPED.glob("*.toml")) if not path.name.startswith("_"))


def find(name: str) -> Path:
    """A scenario's file: a path, or the name of a shipped one."""
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    return SHIPPED / f"{name}.toml"


def load(path: Path) -> Scenario:
    """Read a scenario with all it includes; raise ScenarioError on what is unusable."""
    files: list[tuple[Path, str, dict[str, Any]]] = []
    merged = _merged(path, files, ())
    try:
        return Scenario.model_validate(merged)
    except ValidationError as error:
        # The first that is wrong: the rest often follows from it. Union tags are no keys of the file.
        first = error.errors()[0]
        keys = tuple(k for k in first["loc"] if k not in _KINDS or len(first["loc"]) == 2)
        what = first["msg"].removeprefix("Value error, ")
        if not keys:  # a check across tables names its key in front
            dotted, _, rest = what.partition(": ")
            keys, what = tuple(dotted.split(".")), rest or what
        raise ScenarioError(f"{_place(files, keys)}: {'.'.join(map(str, keys))}: {what}") from None


_KINDS = frozenset(
    {
        "pauses",
        "neighbour",
        "costly",
        "deploy",
        "deaths",
        "drain",
        "cut",
        "resets",
        "spoilt",
        "stale",
        "mute",
        "daemon-kill",
        "daemon-restart",
        "daemon-upgrade",
        "daemon-evacuate",
        "list-outage",
        "reload",
        "flood",
        "registry",
        "flap",
        "migrate",
        "turn",
        "cut-frames",
        "daemon-stall",
        "daemon-twin",
        "links",
    }
)


def _place(files: list[tuple[Path, str, dict[str, Any]]], keys: tuple[str | int, ...]) -> str:
    """The file and line that told a key last; for one that is missing, of the nearest table above it."""
    for length in range(len(keys), 0, -1):
        for path, text, raw in reversed(files):
            found: Any = raw
            for key in keys[:length]:
                found = found.get(key) if isinstance(found, dict) else None
                if found is None:
                    break
            if found is not None:
                return f"{path}:{line_of(text, keys[:length])}"
    return f"{files[-1][0]}:1"


def _merged(
    path: Path, files: list[tuple[Path, str, dict[str, Any]]], above: tuple[Path, ...]
) -> dict[str, Any]:
    if path.resolve() in above:
        raise ScenarioError(f"{path}: include: the file includes itself")
    try:
        text = path.read_text(encoding="utf-8")
        raw = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise ScenarioError(f"{path}: {' '.join(str(error).split())}") from None
    includes, drops = raw.pop("include", []), raw.pop("drop", [])
    for key, value in (("include", includes), ("drop", drops)):
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise ScenarioError(f"{path}:{line_of(text, (key,))}: {key}: must be a list of texts")
    made: dict[str, Any] = {}
    for name in includes:
        made = _over(made, _merged(path.parent / name, files, (*above, path.resolve())))
    for dotted in drops:
        _drop(made, dotted, f"{path}:{line_of(text, ('drop',))}")
    files.append((path, text, raw))
    return _over(made, raw)


def _over(below: Mapping[str, Any], above: Mapping[str, Any]) -> dict[str, Any]:
    made = dict(below)
    for key, value in above.items():
        old = made.get(key)
        made[key] = _over(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return made


def _drop(raw: dict[str, Any], dotted: str, place: str) -> None:
    *way, last = dotted.split(".")
    found: Any = raw
    for key in way:
        found = found.get(key) if isinstance(found, dict) else None
    if not isinstance(found, dict) or last not in found:
        raise ScenarioError(f"{place}: drop: nothing included has {dotted}")
    del found[last]
