"""The pick in the caller's sidecar: the less loaded of two servers drawn. No I/O.

A caller that is one of many has a call or none in flight to each server, so most draws are ties by own
calls, and its last answer from a server is seconds old: it picks blindly. So it asks the sidecars beside both
how a call would fare there now, and goes by that (exception "told load"); by own calls in flight where
neither tells.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

GAIN = 0.2  # weight of one answer's time against what was known
DRAWS = 16  # servers that are looked at for two that can take a call
OTHER_ZONE_WEIGHT = (
    1.1  # times as long that an answer from another zone counts for: a small one is worth the way
)
FAILING_WEIGHT = 8.0  # times as slow that a server counts for which fails all its calls, and one more
MAX_ROUTES = 64  # kinds of calls whose times are kept for one server
MAX_REPORT_AGE_S = (
    0.02  # what was told of a server's load counts for so long: beyond, others have taken what was free
)


class Endpoint:
    """A server and the sidecar beside it, as seen from here. Times in seconds."""

    __slots__ = (
        "node",
        "address",
        "service",
        "instance",
        "zone",
        "slots",
        "draining",
        "in_flight",
        "latency",
        "closed_until",
        "cold_until",
        "room",
        "service_times_s",
        "free_at",
        "reported_at",
        "version",
        "failing",
        "lost_at",
        "needed_at",
    )

    def __init__(self, node: str, service: str) -> None:
        self.node, self.service = node, service
        self.address = ""
        self.instance = self.zone = ""
        self.slots = 1
        self.draining = False
        self.in_flight = 0  # own calls
        self.latency = 0.0
        self.closed_until = 0.0  # its sidecar has said that it takes nothing until then
        self.cold_until = 0.0
        self.room = 1
        self.service_times_s: dict[
            str, float
        ] = {}  # by kind of call: what its sidecar told that it takes, of late
        self.free_at = 0.0  # when a call sent now would go, as its sidecar told
        self.reported_at = -1.0  # when its sidecar told that
        self.failing = 0.0  # part of calls that fail there of late, as its sidecar told
        self.version = 0  # of what its sidecar understands
        self.lost_at = 0.0  # since when there is no connection, where there is none
        self.needed_at = 0.0  # when it was last in the subset that connections are kept to

    def reset(self) -> None:
        """Another process serves there: nothing learned of the old one holds."""
        self.latency = self.closed_until = self.free_at = 0.0
        self.reported_at, self.failing = -1.0, 0.0
        self.service_times_s.clear()

    def record_load(
        self, now: float, kind: str, wait: float, service_times_s: float, failing: float = 0.0
    ) -> None:
        """Its sidecar has told how long a call waits there, and what one of this kind takes, in seconds; and
        which part of calls fails there of late."""
        self.free_at, self.reported_at, self.failing = now + wait, now, failing
        if service_times_s > 0 and (kind in self.service_times_s or len(self.service_times_s) < MAX_ROUTES):
            self.service_times_s[kind] = service_times_s

    def record_latency(self, took: float) -> None:
        """One call was served."""
        self.latency = took if not self.latency else self.latency + (took - self.latency) * GAIN

    def expected_latency(self, now: float, kind: str) -> float:
        """Seconds to an answer: what is left of the wait told last, and what a call of this kind takes. All
        callers of a server learn of its pace with any answer, not from their own few calls of all kinds. A
        server that fails part of its calls counts as the slower for it: what fails has to be done again, if
        it may be, or is lost."""
        time = max(0.0, self.free_at - now) + self.service_times_s.get(kind, self.latency)
        return time * (1.0 + FAILING_WEIGHT * self.failing)


def sample_candidates(
    now: float,
    endpoints: Sequence[Endpoint],
    tried: Iterable[Endpoint],
    random: Callable[[], float],
    usable: Callable[[Endpoint], bool],
    zone: str = "",
    near: bool = False,
) -> list[Endpoint]:
    """Two drawn at random of those that can take a call; with `near`, two of the own zone besides, as large
    bodies and answers are dear to carry over. Fewer where there are fewer, none where none can."""
    found = _two(now, endpoints, tried, random, usable)
    if near:
        found += [
            endpoint
            for endpoint in _two(
                now, [endpoint for endpoint in endpoints if endpoint.zone == zone], tried, random, usable
            )
            if endpoint not in found and now >= endpoint.closed_until
        ]
    return found


def _two(
    now: float,
    endpoints: Sequence[Endpoint],
    tried: Iterable[Endpoint],
    random: Callable[[], float],
    usable: Callable[[Endpoint], bool],
) -> list[Endpoint]:
    found: list[Endpoint] = []
    moved: dict[int, int] = {}  # places that have been drawn hold the last of those that were left
    for left in range(len(endpoints), max(0, len(endpoints) - DRAWS), -1):
        place = int(random() * left)
        endpoint = endpoints[moved.get(place, place)]
        moved[place] = moved.get(left - 1, left - 1)
        if endpoint not in tried and usable(endpoint) and now >= endpoint.closed_until:
            found.append(endpoint)
            if len(found) == 2:
                return found
    if not found:
        usable_ones = [endpoint for endpoint in endpoints if usable(endpoint) and endpoint not in tried]
        if usable_ones:
            found = [min(usable_ones, key=lambda endpoint: (endpoint.closed_until, random()))]
    return found


def have_recent_reports(now: float, endpoints: Iterable[Endpoint]) -> bool:
    """Whether the sidecars beside all of them have told lately what can be had there."""
    return all(now - endpoint.reported_at <= MAX_REPORT_AGE_S for endpoint in endpoints)


class OwnZonePreference(NamedTuple):
    """What another zone costs a call with a large body or answer."""

    calls: int = 0  # own calls that a server of the own zone may hold more
    part: float = 0.0  # of the time to its answer, besides what it counts for in any case


def least_loaded(
    now: float,
    endpoints: Sequence[Endpoint],
    zone: str,
    kind: str,
    near: OwnZonePreference = OwnZonePreference(),  # noqa: B008
    carries: Mapping[str, float] = MappingProxyType({}),
) -> Endpoint:
    """The least loaded of those drawn. By what their sidecars told just now, where all or some did; else by
    own calls in flight, and ties by the time to an answer. `carries`: how long the body would be on its way,
    by node."""

    def rank(endpoint: Endpoint) -> tuple[int, float, bool]:
        far = endpoint.zone != zone
        time = (endpoint.expected_latency(now, kind) + carries.get(endpoint.node, 0.0)) * (
            OTHER_ZONE_WEIGHT + near.part if far else 1.0
        )
        return (0 if told else endpoint.in_flight + far * near.calls), time, far

    told = [endpoint for endpoint in endpoints if now - endpoint.reported_at <= MAX_REPORT_AGE_S]
    return min(told or endpoints, key=rank)
