"""What a fleet of a given size asks of each process, what fails first, and which losses it bears. No I/O.

Each figure is a curve through what the bench measured at several sizes (`docs/CAPACITY.md` names the plays):
`base + slope * machines ** power`. What lies beyond the largest measured size is a line drawn on, and is said
to be one. Keys and calls are counted from their rates.
"""

from __future__ import annotations

import enum
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, fields
from typing import NamedTuple

from expression import Error, Ok, Result

from mesh.control.ballot import initial_voters
from mesh.state.quorum import majority

LARGEST_MEASURED = 300  # machines
MOST_MACHINES = 100_000  # a size beyond which nothing is looked for


class Role(enum.Enum):
    """Which process a figure is about."""

    SIDECAR = "sidecar"
    CONTROLLER = "controller"


class Curve(NamedTuple):
    """A figure by the number of sidecars."""

    base: float
    slope: float
    power: float = 1.0

    def at(self, sidecars: float) -> float:
        """The figure for so many."""
        return float(self.base + self.slope * sidecars**self.power)


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet as its file describes it. Rates are per second, sizes bytes unless named otherwise."""

    sidecars: int
    controllers: int = 3
    zones: int = 3
    machine_loss: int = 1
    keyed_calls: float = 0.0
    key_window_s: float = 60.0
    sidecar_cores: float = 0.025
    sidecar_memory_mb: float = 64.0
    sidecar_bytes: float = 5000.0
    sidecar_descriptors: int = 4100
    controller_cores: float = 1.0
    controller_memory_mb: float = 296.0
    controller_link_mbps: float = 1000.0
    controller_descriptors: int = 4096


def read(text: str) -> Result[Fleet, str]:
    """A fleet's file, or what is wrong with it, by name."""
    try:
        table = tomllib.loads(text).get("fleet")
    except tomllib.TOMLDecodeError as error:
        return Error(f"no TOML: {error}")
    if not isinstance(table, dict):
        return Error("there is no table [fleet]")
    types = {field.name: field.type for field in fields(Fleet)}
    for name, value in table.items():
        if name not in types:
            return Error(f"fleet.{name} is unknown; known are {', '.join(sorted(types))}")
        whole = types[name] == "int"
        if isinstance(value, bool) or not isinstance(value, int if whole else int | float) or value < 0:
            return Error(f"fleet.{name} has to be a {'whole ' if whole else ''}number of 0 or more")
    if table.get("sidecars", 0) < 1 or table.get("controllers", 1) < 1 or table.get("zones", 1) < 1:
        return Error("fleet.sidecars, controllers and zones have to be 1 or more")
    return Ok(Fleet(**table))


# Least squares through two sweeps of the booking exchange at 31, 97 and 303 machines (docs/CAPACITY.md), days
# of forty seconds in which everything is killed once. Of a sidecar's processor only what grows with the
# machines is taken: its base of 0.034 can't be told apart from the day's calls. A sidecar's connections are
# the most that it had at once, with servers of a killed herd made up for.
SIDECAR_CORES = Curve(0.0, 4.64e-6)
SIDECAR_MEMORY_MB = Curve(22.23, 0.00722)
SIDECAR_BYTES = Curve(2381.0, 8.0)
SIDECAR_CONNECTIONS = Curve(73.9, 0.966)
CONTROLLER_CORES = Curve(0.0773, 8.59e-5)
CONTROLLER_MEMORY_MB = Curve(22.37, 0.01045)
CONTROLLER_BYTES = Curve(27_790.0, 5.197, 2.0)
CONTROLLER_CONNECTIONS = Curve(0.0, 1.0)
# Measured by benchmarks/claims.py.
CLAIM_CPU_S = 38e-6  # of a controller, for a keyed call from its claim to its end
CLAIM_HELD = 1058  # bytes held for `key_window`
CLAIM_BYTES = 674  # in and out
BITS, MEGA = 8, 1e6
CLIENT_PART = 0.5  # of a sidecar's descriptors that are for clients


class Line(NamedTuple):
    """One figure of the plan."""

    role: Role
    name: str
    unit: str
    value: float
    limit: float
    largest: int  # sidecars with which it still fits; 0: none

    @property
    def fits(self) -> bool:
        """Whether it is within its limit."""
        return self.value <= self.limit


class Plan(NamedTuple):
    """All figures, and what can be lost."""

    lines: tuple[Line, ...]
    voters: int
    learners: int
    machines_down: int  # voters that may be down with a majority left
    disks_lost: int  # that may be emptied with all that was acknowledged kept
    zone_down: bool  # whether any one zone may go
    drawn_on: bool  # whether the size lies beyond what was measured

    @property
    def first(self) -> Line:
        """What fails first as the fleet grows."""
        return min(self.lines, key=lambda line: line.largest)


def plan(fleet: Fleet) -> Plan:
    """The plan of a fleet."""
    zones = {f"{at:06d}": str(at % fleet.zones) for at in range(fleet.controllers)}
    voters = initial_voters(zones, fleet.machine_loss)
    write = majority(len(voters))
    in_zone = max(sum(zones[name] == zone for name in voters) for zone in set(zones.values()))
    return Plan(
        lines=tuple(_lines(fleet, len(voters))),
        voters=len(voters),
        learners=fleet.controllers - len(voters),
        machines_down=len(voters) - write,
        disks_lost=write - 1,
        zone_down=len(voters) - in_zone >= write,
        drawn_on=fleet.sidecars > LARGEST_MEASURED,
    )


def _lines(fleet: Fleet, voters: int) -> Iterator[Line]:
    claims = fleet.keyed_calls * majority(voters) / voters  # at each voter
    held_mb = claims * CLAIM_HELD * fleet.key_window_s / MEGA
    link = fleet.controller_link_mbps * MEGA / BITS
    sidecar_files = fleet.sidecar_descriptors * (1 - CLIENT_PART)
    rows = (
        (Role.SIDECAR, "processor, what grows", "cores", SIDECAR_CORES, 0.0, fleet.sidecar_cores),
        (Role.SIDECAR, "memory", "MB", SIDECAR_MEMORY_MB, 0.0, fleet.sidecar_memory_mb),
        (Role.SIDECAR, "control bytes", "B/s", SIDECAR_BYTES, 0.0, fleet.sidecar_bytes),
        (Role.SIDECAR, "connections", "", SIDECAR_CONNECTIONS, 0.0, sidecar_files),
        (
            Role.CONTROLLER,
            "processor",
            "cores",
            CONTROLLER_CORES,
            claims * CLAIM_CPU_S,
            fleet.controller_cores,
        ),
        (Role.CONTROLLER, "memory", "MB", CONTROLLER_MEMORY_MB, held_mb, fleet.controller_memory_mb),
        (Role.CONTROLLER, "bytes", "B/s", CONTROLLER_BYTES, claims * CLAIM_BYTES, link),
        (
            Role.CONTROLLER,
            "connections",
            "",
            CONTROLLER_CONNECTIONS,
            0.0,
            float(fleet.controller_descriptors),
        ),
    )
    for role, name, unit, curve, more, limit in rows:
        largest = _largest(curve, limit, more / fleet.sidecars)
        yield Line(role, name, unit, curve.at(fleet.sidecars) + more, limit, largest)


def _largest(curve: Curve, limit: float, more_each: float) -> int:
    """The most sidecars with which a figure fits, where what calls add grows with them."""

    def fits(sidecars: int) -> bool:
        return curve.at(sidecars) + more_each * sidecars <= limit

    if not fits(1):
        return 0
    low, high = 1, MOST_MACHINES
    if fits(high):
        return high
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if fits(middle) else (low, middle)
    return low
