"""Capacity planner: the resources each process of a fleet needs, what runs out first, and tolerable losses.

No I/O. Each resource is a curve fitted to benchmark results at several sizes (`docs/CAPACITY.md` names the
scenarios): `base + slope * sidecars ** power`. Beyond the largest measured size the curve is extrapolated,
and the plan says so. The cost of calls with idempotency keys is computed from their rate.
"""

from __future__ import annotations

import enum
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, fields
from typing import NamedTuple

from expression import Error, Ok, Result

from mesh.control.ballot import initial_voters
from mesh.state.idempotency import MAX_REQUEST_AGE_S
from mesh.state.quorum import majority

MAX_MEASURED_SIDECARS = 300
MAX_SIDECARS = 100_000  # upper bound of the search for the size that still fits


class Role(enum.Enum):
    """The process that needs a resource."""

    SIDECAR = "sidecar"
    CONTROLLER = "controller"


class Curve(NamedTuple):
    """The need for a resource as a function of the number of sidecars."""

    base: float
    slope: float
    power: float = 1.0

    def at(self, sidecars: float) -> float:
        """Returns the need with this number of sidecars."""
        return float(self.base + self.slope * sidecars**self.power)


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet as described by its file. Rates are per second, sizes are bytes unless named otherwise."""

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
    """Parses the description of a fleet; an error names the field that is not valid."""
    try:
        table = tomllib.loads(text).get("fleet")
    except tomllib.TOMLDecodeError as error:
        return Error(f"not TOML: {error}")
    if not isinstance(table, dict):
        return Error("there is no table [fleet]")
    types = {field.name: field.type for field in fields(Fleet)}
    for name, value in table.items():
        if name not in types:
            return Error(f"fleet.{name} is unknown; known fields are {', '.join(sorted(types))}")
        integer = types[name] == "int"
        if isinstance(value, bool) or not isinstance(value, int if integer else int | float) or value < 0:
            return Error(f"fleet.{name} must be a {'whole ' if integer else ''}number of 0 or more")
    if table.get("sidecars", 0) < 1 or table.get("controllers", 1) < 1 or table.get("zones", 1) < 1:
        return Error("fleet.sidecars, controllers and zones must be 1 or more")
    return Ok(Fleet(**table))


# Least squares fits to two sweeps of the booking exchange scenario at 31, 97 and 303 machines
# (docs/CAPACITY.md), in runs of forty seconds in which every process is killed once. For a sidecar's
# processor time only the part that grows with the number of machines is used: its base of 0.034 cannot be
# separated from the calls of the run. A sidecar's connections are the most it had at once, including those
# to servers that replaced a killed group.
SIDECAR_CORES = Curve(0.0, 4.64e-6)
SIDECAR_MEMORY_MB = Curve(22.23, 0.00722)
SIDECAR_BYTES = Curve(2381.0, 8.0)
SIDECAR_CONNECTIONS = Curve(73.9, 0.966)
CONTROLLER_CORES = Curve(0.0773, 8.59e-5)
CONTROLLER_MEMORY_MB = Curve(22.37, 0.01045)
CONTROLLER_BYTES = Curve(27_790.0, 5.197, 2.0)
CONTROLLER_CONNECTIONS = Curve(0.0, 1.0)
# Results of benchmarks/claims.py.
CLAIM_CPU_S = 38e-6  # of a controller, per call with a key from claim to completion
CLAIM_MEMORY_BYTES = 1058  # held for `key_window` and `MAX_REQUEST_AGE_S`
CLAIM_TRAFFIC_BYTES = 674  # received and sent
BITS_PER_BYTE, MEGA = 8, 1e6
CLIENT_FRACTION = 0.5  # of a sidecar's descriptors that is reserved for clients


class Requirement(NamedTuple):
    """The need for one resource, and its limit."""

    role: Role
    name: str
    unit: str
    value: float
    limit: float
    max_sidecars: int  # the largest number with which the limit is kept; 0: none

    @property
    def fits(self) -> bool:
        """Whether the need is within the limit."""
        return self.value <= self.limit


class Plan(NamedTuple):
    """The requirements of a fleet, and the losses that it tolerates."""

    lines: tuple[Requirement, ...]
    voters: int
    learners: int
    machines_down: int  # voters that may be down while a majority is left
    disks_lost: int  # voters that may lose their disks without loss of acknowledged changes
    zone_down: bool  # whether any one zone may be lost
    drawn_on: bool  # whether the size exceeds the largest measured one, so that values are extrapolated

    @property
    def first(self) -> Requirement:
        """The requirement that exceeds its limit first as the fleet grows."""
        return min(self.lines, key=lambda requirement: requirement.max_sidecars)


def plan(fleet: Fleet) -> Plan:
    """Computes the plan of a fleet."""
    zones = {f"{index:06d}": str(index % fleet.zones) for index in range(fleet.controllers)}
    voters = initial_voters(zones, fleet.machine_loss)
    quorum = majority(len(voters))
    in_largest_zone = max(sum(zones[name] == zone for name in voters) for zone in set(zones.values()))
    return Plan(
        lines=tuple(_requirements(fleet, len(voters))),
        voters=len(voters),
        learners=fleet.controllers - len(voters),
        machines_down=len(voters) - quorum,
        disks_lost=quorum - 1,
        zone_down=len(voters) - in_largest_zone >= quorum,
        drawn_on=fleet.sidecars > MAX_MEASURED_SIDECARS,
    )


def _requirements(fleet: Fleet, voters: int) -> Iterator[Requirement]:
    claims = fleet.keyed_calls * majority(voters) / voters  # at each voter
    claims_mb = claims * CLAIM_MEMORY_BYTES * (fleet.key_window_s + MAX_REQUEST_AGE_S) / MEGA
    link_bytes = fleet.controller_link_mbps * MEGA / BITS_PER_BYTE
    peer_descriptors = fleet.sidecar_descriptors * (1 - CLIENT_FRACTION)
    rows = (
        (Role.SIDECAR, "processor, what grows", "cores", SIDECAR_CORES, 0.0, fleet.sidecar_cores),
        (Role.SIDECAR, "memory", "MB", SIDECAR_MEMORY_MB, 0.0, fleet.sidecar_memory_mb),
        (Role.SIDECAR, "control bytes", "B/s", SIDECAR_BYTES, 0.0, fleet.sidecar_bytes),
        (Role.SIDECAR, "connections", "", SIDECAR_CONNECTIONS, 0.0, peer_descriptors),
        (
            Role.CONTROLLER,
            "processor",
            "cores",
            CONTROLLER_CORES,
            claims * CLAIM_CPU_S,
            fleet.controller_cores,
        ),
        (Role.CONTROLLER, "memory", "MB", CONTROLLER_MEMORY_MB, claims_mb, fleet.controller_memory_mb),
        (Role.CONTROLLER, "bytes", "B/s", CONTROLLER_BYTES, claims * CLAIM_TRAFFIC_BYTES, link_bytes),
        (
            Role.CONTROLLER,
            "connections",
            "",
            CONTROLLER_CONNECTIONS,
            0.0,
            float(fleet.controller_descriptors),
        ),
    )
    for role, name, unit, curve, extra, limit in rows:
        max_sidecars = _max_sidecars(curve, limit, extra / fleet.sidecars)
        yield Requirement(role, name, unit, curve.at(fleet.sidecars) + extra, limit, max_sidecars)


def _max_sidecars(curve: Curve, limit: float, extra_per_sidecar: float) -> int:
    """Returns the largest number of sidecars that keeps a limit; the need added by calls grows with them."""

    def fits(sidecars: int) -> bool:
        return curve.at(sidecars) + extra_per_sidecar * sidecars <= limit

    if not fits(1):
        return 0
    low, high = 1, MAX_SIDECARS
    if fits(high):
        return high
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if fits(middle) else (low, middle)
    return low
