"""Chooses the less loaded of two servers drawn at random (power of two choices). No I/O.

A caller that is one of many has at most one call in flight to each server, so most draws are ties by its own
calls, and its last answer from a server is seconds old: by its own knowledge it would choose blindly. It
therefore probes the sidecars beside both servers for how a call would be served there now, and decides by
their reports (exception "told load"); where neither reports, it decides by its own calls in flight.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

LATENCY_SMOOTHING = 0.2
MAX_DRAWS = 16  # servers that are drawn in search of two that can take a call
OTHER_ZONE_WEIGHT = (
    1.1  # latency factor for another zone: a small gain in latency is not worth the longer way
)
FAILURE_WEIGHT = 8.0  # a server that fails all its calls counts as 1 + FAILURE_WEIGHT times as slow
MAX_ROUTES = 64  # routes whose service times are kept for one server
MAX_REPORT_AGE_S = 0.02  # after this, other callers have taken the capacity that a load report promised


class Endpoint:
    """A server and the sidecar beside it, as seen from this sidecar. Times are in seconds."""

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
        "expected_start_at",
        "reported_at",
        "version",
        "failure_rate",
        "disconnected_at",
        "needed_at",
    )

    def __init__(self, node: str, service: str) -> None:
        self.node, self.service = node, service
        self.address = ""
        self.instance = self.zone = ""
        self.slots = 1
        self.draining = False
        self.in_flight = 0  # calls sent by this sidecar and not answered
        self.latency = 0.0  # moving average
        self.closed_until = 0.0  # its sidecar has reported that it takes no calls until then
        self.cold_until = 0.0
        self.room = 1
        self.service_times_s: dict[str, float] = {}  # by route: recent service time, as its sidecar reported
        self.expected_start_at = 0.0  # when a call sent now would start, as its sidecar reported
        self.reported_at = -1.0  # time of the last load report
        self.failure_rate = 0.0  # fraction of recent calls that failed, as its sidecar reported
        self.version = 0  # protocol version of its sidecar
        self.disconnected_at = 0.0  # when the connection was lost, or first attempted
        self.needed_at = 0.0  # when it was last in the subset that connections are kept to

    def reset(self) -> None:
        """Discards what was learned of the server, as another process has taken its place."""
        self.latency = self.closed_until = self.expected_start_at = 0.0
        self.reported_at, self.failure_rate = -1.0, 0.0
        self.service_times_s.clear()

    def record_load(
        self, now: float, route: str, wait_s: float, service_time_s: float, failure_rate: float = 0.0
    ) -> None:
        """Records a load report: queueing time, service time of a route's calls, and failure rate."""
        self.expected_start_at, self.reported_at, self.failure_rate = now + wait_s, now, failure_rate
        if service_time_s > 0 and (route in self.service_times_s or len(self.service_times_s) < MAX_ROUTES):
            self.service_times_s[route] = service_time_s

    def record_latency(self, latency_s: float) -> None:
        """Updates the moving average of the latency with that of one call."""
        self.latency = (
            latency_s if not self.latency else self.latency + (latency_s - self.latency) * LATENCY_SMOOTHING
        )

    def expected_latency(self, now: float, route: str) -> float:
        """Returns the seconds until a call sent now would be answered.

        This is what is left of the last reported queueing time, plus the service time of the route. All
        callers of a server learn its speed with each answer, not only from their own few calls of all
        routes. Failures count as extra latency, since a failed call has to be repeated, if it may be, or is
        lost.
        """
        latency_s = max(0.0, self.expected_start_at - now) + self.service_times_s.get(route, self.latency)
        return latency_s * (1.0 + FAILURE_WEIGHT * self.failure_rate)


def sample_candidates(
    now: float,
    endpoints: Sequence[Endpoint],
    tried: Iterable[Endpoint],
    random: Callable[[], float],
    usable: Callable[[Endpoint], bool],
    zone: str = "",
    prefer_own_zone: bool = False,
) -> list[Endpoint]:
    """Returns up to two endpoints drawn at random from those that can take a call.

    With `prefer_own_zone` up to two of the own zone are added, as large bodies and responses are costly to
    transfer between zones. The list is empty if no endpoint can take a call.
    """
    candidates = _sample_two(now, endpoints, tried, random, usable)
    if prefer_own_zone:
        candidates += [
            endpoint
            for endpoint in _sample_two(
                now, [endpoint for endpoint in endpoints if endpoint.zone == zone], tried, random, usable
            )
            if endpoint not in candidates and now >= endpoint.closed_until
        ]
    return candidates


def _sample_two(
    now: float,
    endpoints: Sequence[Endpoint],
    tried: Iterable[Endpoint],
    random: Callable[[], float],
    usable: Callable[[Endpoint], bool],
) -> list[Endpoint]:
    found: list[Endpoint] = []
    # Partial Fisher-Yates shuffle without a copy of the list: maps the positions already drawn to the
    # indexes that have taken their place.
    moved: dict[int, int] = {}
    for left in range(len(endpoints), max(0, len(endpoints) - MAX_DRAWS), -1):
        position = int(random() * left)
        endpoint = endpoints[moved.get(position, position)]
        moved[position] = moved.get(left - 1, left - 1)
        if endpoint not in tried and usable(endpoint) and now >= endpoint.closed_until:
            found.append(endpoint)
            if len(found) == 2:
                return found
    if not found:
        untried = [endpoint for endpoint in endpoints if usable(endpoint) and endpoint not in tried]
        if untried:
            found = [min(untried, key=lambda endpoint: (endpoint.closed_until, random()))]
    return found


def have_recent_reports(now: float, endpoints: Iterable[Endpoint]) -> bool:
    """Whether a recent load report of each of the endpoints is known."""
    return all(now - endpoint.reported_at <= MAX_REPORT_AGE_S for endpoint in endpoints)


class OwnZonePreference(NamedTuple):
    """How much a call with a large body or response prefers the own zone over another."""

    extra_calls: int = 0  # own calls in flight that a server of the own zone may have more
    extra_weight: float = 0.0  # added to OTHER_ZONE_WEIGHT


def least_loaded(
    now: float,
    endpoints: Sequence[Endpoint],
    zone: str,
    route: str,
    preference: OwnZonePreference = OwnZonePreference(),  # noqa: B008
    transfer_times: Mapping[str, float] = MappingProxyType({}),
) -> Endpoint:
    """Returns the least loaded of some candidates.

    If any of them has a recent load report, those with one are compared by their expected latency. Otherwise
    all are compared by own calls in flight, and by expected latency on a tie. `transfer_times` holds by node
    the seconds to transfer the request's body.
    """

    def rank(endpoint: Endpoint) -> tuple[int, float, bool]:
        other_zone = endpoint.zone != zone
        latency_s = (endpoint.expected_latency(now, route) + transfer_times.get(endpoint.node, 0.0)) * (
            OTHER_ZONE_WEIGHT + preference.extra_weight if other_zone else 1.0
        )
        return (
            (0 if reporting else endpoint.in_flight + other_zone * preference.extra_calls),
            latency_s,
            other_zone,
        )

    reporting = [endpoint for endpoint in endpoints if now - endpoint.reported_at <= MAX_REPORT_AGE_S]
    return min(reporting or endpoints, key=rank)
