"""What a day of the whole fleet is made of: its size, its load, its work, its clients, and what things cost.

Units: nanoseconds unless a name says otherwise; shares and prices are parts of all that was asked for.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunefield import Settings
from emulator.node import Shape
from emulator.worth import SECOND

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Class:
    """One class of request: its part of the load, its work, and what it is worth."""

    name: str
    share: float
    worth: float
    repeat: str = "free"
    cv: float = 0.65
    scale: float = 1.0  # of the mean work


CLASSES = (
    Class("read", 0.34, 1.0),
    Class("push", 0.31, 1.0, scale=1.05),
    Class("set", 0.22, 5.0),
    Class("confirm", 0.13, 8.0, "single_shot"),
)


@dataclass(frozen=True, slots=True)
class Clients:
    """How the copies of the application ask again."""

    tries: int = 3
    part: float = 0.55  # of the deadline that each try but the last is given
    honour: float = 0.2  # share of clients that wait as long as a refusal tells
    pause_ns: int = 40 * MS  # what the others wait


@dataclass(frozen=True, slots=True)
class Day:
    """What is played."""

    sidecars: int = 182
    servers: int = 119
    seconds: float = 24.0
    load: float = 0.68  # of what all servers can do
    burst: tuple[float, float, float] = (7.0, 17.0, 1.25)  # from, to, times the load
    halls: int = 5
    work_ns: int = 62 * MS
    tail: tuple[float, float] = (0.012, 12.0)  # share of the first class's requests, and times their work
    noise: float = 0.3  # of one attempt's work against another's
    aim_ns: int = 270 * MS
    deadline_ns: int = 660 * MS
    uneven: float = 1.0  # coefficient of variation of the sidecars' part of the load
    tenants: tuple[float, ...] = (0.24, 0.21, 0.12, 0.11, 0.1, 0.09, 0.05, 0.04, 0.04)
    usage: tuple[float, float] = (0.55, 1.35)  # of a tenant's part against its share
    allowance: float = 0.88  # of what all servers can do, shared out to the tenants
    shape: Shape = field(
        default_factory=lambda: Shape(
            queue=8,
            choke_at=6.0,
            choke_slower=2.5,
            cold_from=0.4,
            cold_ns=8 * SECOND,
        )
    )
    handshake_ns: int = 2 * MS  # of the node's work
    handshake_rtts: int = 2
    idle_ns: int = 10 * SECOND
    connect_timeout_ns: int = 200 * MS
    clients: Clients = field(default_factory=Clients)
    classes: tuple[Class, ...] = CLASSES
    lines_a_second: float = 40_000.0
    warm_up_s: float = 1.0
    prices: tuple[tuple[str, float], ...] = (
        ("crossZone", 0.005),
        ("discovery", 0.05),
        ("handshake", 0.08),
        ("lateFail", 0.08),
        ("probe", 0.08),
        ("waste", 0.2),
    )

    def told(self, index: int) -> Settings:
        """The settings that one sidecar is started with."""
        return Settings.parse(
            {
                "classes": [
                    {
                        "name": c.name,
                        "onTimeNs": self.aim_ns,
                        "hardLimitNs": self.deadline_ns,
                        "repeat": c.repeat,
                        "credit": c.worth,
                        "windowNs": 5 * SECOND,
                    }
                    for c in self.classes
                ],
                "failureDomains": [f"hall-{i}" for i in range(self.halls)],
                "discovery": "subscribe",
                "zone": index % self.halls,
                "index": index,
                "replicasOfMe": self.sidecars,
                "reporting": {"how": "probe", "columns": ["inflight", "queue"]},
                "limits": {
                    "mayProbe": True,
                    "maxAttempts": 5,
                    "cancel": True,
                    "secondCopies": True,
                    "retryAfter": True,
                    "maxRetryAfterNs": 2 * SECOND,
                    "connIdleNs": self.idle_ns,
                    "connectTimeoutNs": self.connect_timeout_ns,
                },
                "invariants": {
                    "coldFrom": self.shape.cold_from,
                    "coldNs": self.shape.cold_ns or SECOND,
                    "fallMultiple": 2.5,
                    "fallNs": 1_500 * MS,
                    "mustAskInNs": 10 * SECOND,
                    "drainGraceNs": SECOND,
                    "graceToAnswerNs": 5 * MS,
                },
                "prices": dict(self.prices),
                "overShareWorth": 0.05,
                "periodNs": MS,
                "projects": [
                    {
                        "name": f"tenant-{i}",
                        "share": share,
                        "allowancePerS": self.allowance * share * self.capacity,
                    }
                    for i, share in enumerate(self.tenants)
                ],
            }
        )

    @property
    def capacity(self) -> float:
        """Calls a second that all servers can do."""
        mean = sum(c.share * c.scale for c in self.classes)
        return self.servers * SECOND / (self.work_ns * mean)
