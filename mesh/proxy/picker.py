"""Which server a request is offered to: two are drawn, and where it is worth it their sidecars are asked how
it would fare there."""

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

LARGE, MIDDLE = 4096, 1024  # bytes of a body and its usual answer, from which on they stay in their zone
OWN_ZONE_PREFERENCES = {LARGE: OwnZonePreference(3, 0.5), MIDDLE: OwnZonePreference(1, 0.1)}  # from a size on
ASKING_PART = 0.05  # of a request's aim that asking two sidecars may take
WORTH_ASKING = 8.0  # times what the asking takes that a call has to take for it to be worth it
LEAST_ASKING_S = 0.001
ASKING_GAIN = 0.1  # weight of one answer's time against what was known
ASKING_VERSION = 2  # of sidecars that can be asked
LEAST_CLOSED_S = 0.02  # how long a server is passed over that takes nothing
MOST_SIZES = 1024  # routes whose answers' sizes are kept

LocalReport = Callable[[int, str, int], LoadReport]
"""How a call would fare at the server beside this sidecar: number of the question, route, bytes."""


@dataclass(slots=True, eq=False)
class LoadLookup:
    """A request that waits for what the sidecars beside two servers tell."""

    request: PendingRequest
    endpoints: list[Endpoint]
    began: float
    unanswered: int = 0
    carries: dict[str, float] = field(default_factory=dict)  # by node: seconds of the body's way
    timer: asyncio.TimerHandle | None = None


class Picker:
    """The picks of one sidecar.

    `local_report` tells of the server beside it. `offer` is called with a request and the endpoint that was
    picked, `no_server` with one for which there is none.
    """

    def __init__(self, context: ProxyContext, directory: Directory, local_report: LocalReport) -> None:
        self._context, self._directory, self._local_report = context, directory, local_report
        self.offer: Callable[[PendingRequest, Endpoint], None] = lambda request, endpoint: None
        self.no_server: Callable[[PendingRequest], None] = lambda request: None
        self._lookups: dict[int, LoadLookup] = {}  # by number of the question
        self._asking_s = 0.0  # how long a question takes, of late
        self._sizes: dict[str, float] = {}  # by route: bytes of an answer, about

    @property
    def waiting(self) -> list[PendingRequest]:
        """The requests that wait for answers of sidecars."""
        return [lookup.request for lookup in self._lookups.values()]

    def note_size(self, route: str, size: int) -> None:
        """Remember how large a route's answers are."""
        known = self._sizes.get(route)
        if known is not None or len(self._sizes) < MOST_SIZES:
            self._sizes[route] = size if known is None else known + (size - known) * 0.1

    def pick(self, request: PendingRequest) -> None:
        """Have a request offered to one of two servers drawn."""
        now, kind = self._context.now(), request.route.name
        near = self._near(request)
        drawn = self._draw(now, request, near)
        if len(drawn) < 2:
            self._directory.widen(request.service)
        if not drawn:
            self.no_server(request)
        elif len(drawn) > 1 and not have_recent_reports(now, drawn) and self._worth_asking(drawn, kind):
            self._ask(now, request, drawn)
        else:
            self.offer(request, least_loaded(now, drawn, self._context.settings.zone, kind, near))

    def _draw(self, now: float, request: PendingRequest, near: OwnZonePreference) -> list[Endpoint]:
        directory, context = self._directory, self._context
        endpoints, zone = directory.of_service(request.service), context.settings.zone
        return sample_candidates(
            now, endpoints, request.tried, context.random, directory.usable, zone, near.calls > 0
        )

    def _near(self, request: PendingRequest) -> OwnZonePreference:
        """What another zone costs a request, by its size and its usual answer's."""
        size = len(request.message.body) + self._sizes.get(request.route.name, 0.0)
        return next(
            (near for least, near in OWN_ZONE_PREFERENCES.items() if size >= least), OwnZonePreference()
        )

    def _worth_asking(self, drawn: list[Endpoint], kind: str) -> bool:
        if any(endpoint.version < ASKING_VERSION for endpoint in drawn):
            return False
        return (
            max(endpoint.service_times_s.get(kind, 0.0) for endpoint in drawn)
            >= WORTH_ASKING * self._asking_s
        )

    # --- asking

    def _ask(self, now: float, request: PendingRequest, drawn: list[Endpoint]) -> None:
        """Ask the sidecars beside some servers how a call would fare there."""
        lookup = LoadLookup(request, drawn, now)
        number = self._context.next_number()
        kind, size = request.route.name, len(request.message.body)
        for endpoint in drawn:
            if endpoint.node == self._context.node_name:
                self._take(now, kind, endpoint, self._local_report(number, kind, size))  # its body is here
            else:
                lookup.unanswered += 1
                self._directory.connections[endpoint.node].send(LoadQuery(number, kind, size))
        self._lookups[number] = lookup
        limit_s = max(LEAST_ASKING_S, (request.target_at - now) * ASKING_PART)
        lookup.timer = self._context.loop.call_later(limit_s, self.asked_enough, number)

    @staticmethod
    def _take(now: float, kind: str, endpoint: Endpoint, report: LoadReport) -> None:
        endpoint.record_load(now, kind, report.wait_s, report.work_s, report.failure_rate)
        if not report.is_open:
            endpoint.closed_until = now + LEAST_CLOSED_S

    def hear_report(self, node: str, report: LoadReport) -> None:
        """A sidecar has told how a call would fare there."""
        lookup = self._lookups.get(report.number)
        if lookup is None:
            return
        lookup.unanswered -= 1
        endpoint = self._directory.endpoints.get(node)
        if endpoint is not None:
            now = self._context.now()
            took_s = now - lookup.began
            self._asking_s += (took_s - self._asking_s) * ASKING_GAIN
            self._take(now, lookup.request.route.name, endpoint, report)
            lookup.carries[node] = report.transfer_s
            if not report.is_open:
                endpoint.reported_at = -1.0
            elif lookup.unanswered > 0 and lookup.timer is not None:
                # The first has answered: the others may take as long again.
                lookup.timer.cancel()
                again_s = took_s + LEAST_ASKING_S
                lookup.timer = self._context.loop.call_later(again_s, self.asked_enough, report.number)
        if lookup.unanswered <= 0:
            self.asked_enough(report.number)

    def link_lost(self, node: str) -> None:
        """A sidecar that was asked can't answer any more."""
        for number, lookup in list(self._lookups.items()):
            if any(endpoint.node == node for endpoint in lookup.endpoints):
                lookup.unanswered -= 1
                if lookup.unanswered <= 0:
                    self.asked_enough(number)

    def asked_enough(self, number: int) -> None:
        """The request goes, by what has been heard."""
        lookup = self._lookups.pop(number, None)
        if lookup is None:
            return
        if lookup.timer is not None:
            lookup.timer.cancel()
        request, now = lookup.request, self._context.now()
        if request.finished:
            return
        usable = self._directory.usable
        drawn = [
            endpoint for endpoint in lookup.endpoints if usable(endpoint) and now >= endpoint.closed_until
        ]
        drawn = drawn or self._draw(now, request, OwnZonePreference())
        if not drawn:
            self.no_server(request)
            return
        zone, kind = self._context.settings.zone, request.route.name
        self.offer(request, least_loaded(now, drawn, zone, kind, self._near(request), lookup.carries))
