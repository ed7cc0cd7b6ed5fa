"""Picks the server that a request is sent to.

Two servers are drawn at random. Where the calls of a route take long enough to be worth it, the sidecars
beside both are probed for how the call would be served there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mesh.proxy.context import ProxyContext
from mesh.proxy.directory import Directory
from mesh.proxy.endpoints import (
    Endpoint,
    OwnZonePreference,
    have_recent_reports,
    least_loaded,
    sample_candidates,
)
from mesh.proxy.pending_request import PendingRequest
from mesh.transport.messages import LoadQuery, LoadReport

# Sizes of a request's body plus its usual response from which on the own zone is preferred.
LARGE_BYTES, MEDIUM_BYTES = 4096, 1024
OWN_ZONE_PREFERENCES = {
    LARGE_BYTES: OwnZonePreference(3, 0.5),
    MEDIUM_BYTES: OwnZonePreference(1, 0.1),
}  # by smallest size in bytes
PROBE_TIMEOUT_FRACTION = 0.05  # of the time left until a request's target latency
MIN_SERVICE_TIME_FACTOR = 8.0  # calls are probed for if they take at least so many times as long as a probe
MIN_PROBE_TIMEOUT_S = 0.001
PROBE_TIME_SMOOTHING = 0.1
MIN_PROBE_VERSION = 2  # protocol version from which sidecars answer load queries
MIN_CLOSED_S = 0.02  # how long a server that takes no calls is skipped
MAX_SIZE_ROUTES = 1024  # routes whose response sizes are kept

LocalReport = Callable[[int, str, int], LoadReport]
"""Returns the load report of the server beside this sidecar, for a query number, route and body size."""


@dataclass(slots=True, eq=False)
class LoadProbe:
    """A request that waits for the load reports of the sidecars beside its candidate servers."""

    request: PendingRequest
    endpoints: list[Endpoint]
    began: float
    unanswered: int = 0
    transfer_times: dict[str, float] = field(default_factory=dict)  # by node: seconds to transfer the body
    timer: asyncio.TimerHandle | None = None


class Picker:
    """Picks servers for the requests of one sidecar.

    `local_report` returns the load report of the server beside this sidecar. `send_attempt` is called with a
    request and the endpoint picked for it, `no_server` with a request for which no server is available.
    """

    def __init__(self, context: ProxyContext, directory: Directory, local_report: LocalReport) -> None:
        self._context, self._directory, self._local_report = context, directory, local_report
        self.send_attempt: Callable[[PendingRequest, Endpoint], None] = lambda request, endpoint: None
        self.no_server: Callable[[PendingRequest], None] = lambda request: None
        self._probes: dict[int, LoadProbe] = {}  # by query number
        self._probe_time_s = 0.0  # moving average of the time to a load report
        self._sizes: dict[str, float] = {}  # by route: moving average of response sizes in bytes

    @property
    def probe_waiters(self) -> list[PendingRequest]:
        """Requests that wait for load reports."""
        return [probe.request for probe in self._probes.values()]

    def record_response_size(self, route: str, size: int) -> None:
        """Updates the moving average of a route's response size."""
        known = self._sizes.get(route)
        if known is not None or len(self._sizes) < MAX_SIZE_ROUTES:
            self._sizes[route] = size if known is None else known + (size - known) * 0.1

    def pick(self, request: PendingRequest) -> None:
        """Picks a server for a request, after probing the candidates where that is worth its time."""
        now, route = self._context.now(), request.route.name
        preference = self._own_zone_preference(request)
        candidates = self._sample(now, request, preference)
        if len(candidates) < 2:
            self._directory.widen(request.service)
        if not candidates:
            self.no_server(request)
        elif (
            len(candidates) > 1
            and not have_recent_reports(now, candidates)
            and self._worth_probing(candidates, route)
        ):
            self._probe(now, request, candidates)
        else:
            self.send_attempt(
                request, least_loaded(now, candidates, self._context.settings.zone, route, preference)
            )

    def _sample(self, now: float, request: PendingRequest, preference: OwnZonePreference) -> list[Endpoint]:
        directory, context = self._directory, self._context
        endpoints, zone = directory.of_service(request.service), context.settings.zone
        return sample_candidates(
            now, endpoints, request.tried, context.random, directory.usable, zone, preference.extra_calls > 0
        )

    def _own_zone_preference(self, request: PendingRequest) -> OwnZonePreference:
        """Returns how strongly a request prefers its own zone, by its size and its usual response size."""
        size = request.message.size + self._sizes.get(request.route.name, 0.0)
        return next(
            (preference for min_size, preference in OWN_ZONE_PREFERENCES.items() if size >= min_size),
            OwnZonePreference(),
        )

    def _worth_probing(self, candidates: list[Endpoint], route: str) -> bool:
        if any(endpoint.version < MIN_PROBE_VERSION for endpoint in candidates):
            return False
        return (
            max(endpoint.service_times_s.get(route, 0.0) for endpoint in candidates)
            >= MIN_SERVICE_TIME_FACTOR * self._probe_time_s
        )

    # --- load probes

    def _probe(self, now: float, request: PendingRequest, candidates: list[Endpoint]) -> None:
        """Queries the sidecars beside the candidates for how the call would be served there."""
        probe = LoadProbe(request, candidates, now)
        number = self._context.next_number()
        route, size = request.route.name, request.message.size
        for endpoint in candidates:
            if endpoint.node == self._context.node_name:
                # The body need not be transferred to the server beside this sidecar.
                self._record_report(now, route, endpoint, self._local_report(number, route, size))
            else:
                probe.unanswered += 1
                self._directory.connections[endpoint.node].send(LoadQuery(number, route, size))
        self._probes[number] = probe
        timeout_s = max(MIN_PROBE_TIMEOUT_S, (request.target_at - now) * PROBE_TIMEOUT_FRACTION)
        probe.timer = self._context.loop.call_later(timeout_s, self.finish_probe, number)

    @staticmethod
    def _record_report(now: float, route: str, endpoint: Endpoint, report: LoadReport) -> None:
        endpoint.record_load(now, route, report.wait_s, report.work_s, report.failure_rate)
        if not report.is_open:
            endpoint.closed_until = now + MIN_CLOSED_S

    def on_load_report(self, node: str, report: LoadReport) -> None:
        """Handles a load report, and ends its probe if it is the last one."""
        probe = self._probes.get(report.number)
        if probe is None:
            return
        probe.unanswered -= 1
        endpoint = self._directory.endpoints.get(node)
        if endpoint is not None:
            now = self._context.now()
            took_s = now - probe.began
            self._probe_time_s += (took_s - self._probe_time_s) * PROBE_TIME_SMOOTHING
            self._record_report(now, probe.request.route.name, endpoint, report)
            probe.transfer_times[node] = report.transfer_s
            if not report.is_open:
                endpoint.reported_at = -1.0
            elif probe.unanswered > 0 and probe.timer is not None:
                # After the first report the others may take as long again.
                probe.timer.cancel()
                timeout_s = took_s + MIN_PROBE_TIMEOUT_S
                probe.timer = self._context.loop.call_later(timeout_s, self.finish_probe, report.number)
        if probe.unanswered <= 0:
            self.finish_probe(report.number)

    def on_connection_lost(self, node: str) -> None:
        """Counts a sidecar whose connection has ended as answered in all probes."""
        for number, probe in list(self._probes.items()):
            if any(endpoint.node == node for endpoint in probe.endpoints):
                probe.unanswered -= 1
                if probe.unanswered <= 0:
                    self.finish_probe(number)

    def finish_probe(self, number: int) -> None:
        """Sends the request to the best server by the load reports that have arrived."""
        probe = self._probes.pop(number, None)
        if probe is None:
            return
        if probe.timer is not None:
            probe.timer.cancel()
        request, now = probe.request, self._context.now()
        if request.finished:
            return
        usable = self._directory.usable
        candidates = [
            endpoint for endpoint in probe.endpoints if usable(endpoint) and now >= endpoint.closed_until
        ]
        candidates = candidates or self._sample(now, request, OwnZonePreference())
        if not candidates:
            self.no_server(request)
            return
        zone, route = self._context.settings.zone, request.route.name
        self.send_attempt(
            request,
            least_loaded(
                now, candidates, zone, route, self._own_zone_preference(request), probe.transfer_times
            ),
        )
