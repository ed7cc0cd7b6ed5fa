"""Takes requests of clients and of the server beside: route, service, deadline."""

from __future__ import annotations

import math

from expression import Error, Ok, Result

from hollyport.http.message import Message as Request
from mesh.errors import ErrorKind
from mesh.proxy.context import ProxyContext
from mesh.proxy.control_client import ControlClient
from mesh.proxy.forwarder import Forwarder
from mesh.proxy.pending import PendingRequest
from mesh.proxy.request_age import RequestAges
from mesh.proxy.weighted_split import WeightedSplit
from mesh.state.configuration import Route

CAME_BEFORE_S = 0.002  # a request that has been under way for longer has been refused or lost before
OFFERED_PART = 0.2  # so much of a request's time may be gone when it is offered to another server
LEAVING_AIM_S = 1.0  # a sidecar that ends has clients come back later than a full server
MOST_ROUTES = 1024  # whose clients' deadlines are kept


class Ingress:
    """The outbound address of one sidecar."""

    def __init__(self, context: ProxyContext, control: ControlClient, forwarder: Forwarder) -> None:
        self._context, self._control, self._forwarder = context, control, forwarder
        self._split = WeightedSplit(context.random)
        self._ages: dict[str, RequestAges] = {}  # by route

    def serve(self, message: Request) -> None:
        """Take a request of a client or of the server beside."""
        forwarder = self._forwarder
        if self._context.closed:
            forwarder.answer_error(message, ErrorKind.LEAVING, LEAVING_AIM_S)
            return
        route = self._route(message)
        if route is None:
            known = bool(self._control.table.hosts)
            forwarder.answer_error(message, ErrorKind.NO_ROUTE if known else ErrorKind.NO_SERVER)
            return
        read = self._read(message, route)
        if read.is_error():
            forwarder.answer_error(message, read.error, route=route.name)
        else:
            forwarder.submit(read.ok)

    def _route(self, message: Request) -> Route | None:
        """The route of a request's host and path, if there is one."""
        host = (message.header(b"host") or b"").decode("latin-1").lower()
        path = message.target.partition(b"?")[0].decode("latin-1")
        return self._control.table.route(host.partition(":")[0], path)

    def _read(self, message: Request, route: Route) -> Result[PendingRequest, ErrorKind]:
        """A request with its times, or why it can't be taken."""
        left_s, age_s = route.timeout, 0.0
        told = message.header(b"x-deadline-ms")
        if told is not None:
            given_s = _milliseconds(told)
            if given_s is None:
                return Error(ErrorKind.BAD)
            left_s = min(left_s, given_s)
            age_s = self._ages_of(route).age(given_s, route.timeout)
        if len(message.body) > self._control.table.limits.body:
            return Error(ErrorKind.TOO_LARGE)
        now = self._context.now()
        left_s = min(left_s, self._context.ends_at - now)
        return Ok(
            PendingRequest(
                message=message,
                route=route,
                service=self._split.choose(route),
                started_at=now,
                deadline=now + left_s,
                target_at=now + min(route.aim, left_s),
                offered_until=now + left_s * OFFERED_PART,
                is_retry=age_s > CAME_BEFORE_S,
                past_target=age_s >= route.aim,
            )
        )

    def _ages_of(self, route: Route) -> RequestAges:
        ages = self._ages.get(route.name)
        if ages is None:
            if len(self._ages) >= MOST_ROUTES:
                self._ages.clear()
            ages = self._ages[route.name] = RequestAges()
        return ages


def _milliseconds(text: bytes) -> float | None:
    """A header's number of milliseconds, in seconds; None where it is no number."""
    try:
        given = float(text) / 1000.0
    except ValueError:
        return None
    return given if math.isfinite(given) else None
