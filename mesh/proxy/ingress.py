"""Accepts requests of clients and of the local server: selects the route and service and sets the
deadline."""

from __future__ import annotations

import math

from expression import Error, Ok, Result

from hollyport.http.message import Message as Request
from mesh.errors import ErrorKind
from mesh.proxy.context import ProxyContext
from mesh.proxy.control_client import ControlClient
from mesh.proxy.forwarder import Forwarder
from mesh.proxy.key_claims import MAX_CLAIM_AGE_S
from mesh.proxy.pending_request import PendingRequest
from mesh.proxy.request_age import RequestAges
from mesh.proxy.weighted_split import WeightedSplit
from mesh.state.configuration import Route
from mesh.state.shards import LAST_KEY, NO_KEY

RETRY_AGE_S = 0.002  # an older request has been refused or lost before
OFFER_FRACTION = 0.2  # fraction of a request's time after which it is offered to no further server
LEAVING_RETRY_DELAY_S = 1.0  # clients retry later at a sidecar that shuts down than at a full server
MAX_ROUTES = 1024  # for which ages are tracked
MAX_SHARD_KEY_DIGITS = len(str(LAST_KEY))


class Ingress:
    """Handles requests to the outbound address of one sidecar."""

    def __init__(self, context: ProxyContext, control: ControlClient, forwarder: Forwarder) -> None:
        self._context, self._control, self._forwarder = context, control, forwarder
        self._split = WeightedSplit(context.random)
        self._ages: dict[str, RequestAges] = {}  # by route

    def serve(self, message: Request) -> None:
        """Handles a request of a client or of the local server."""
        forwarder = self._forwarder
        if self._context.rejecting_requests:
            forwarder.answer_error(message, ErrorKind.LEAVING, LEAVING_RETRY_DELAY_S)
            return
        route = self._route(message)
        if route is None:
            has_routes = bool(self._control.table.routes_by_host)
            forwarder.answer_error(message, ErrorKind.NO_ROUTE if has_routes else ErrorKind.NO_SERVER)
            return
        parsed = self._parse(message, route)
        if parsed.is_error():
            forwarder.answer_error(message, parsed.error, route=route.name)
        elif parsed.ok.key and self._context.monotonic() > parsed.ok.sent_after + MAX_CLAIM_AGE_S:
            # A first request with its key may have been forgotten since its client sent it.
            forwarder.answer_error(message, ErrorKind.REFUSED, route.target_s, route.name)
        else:
            forwarder.submit(parsed.ok)

    def _route(self, message: Request) -> Route | None:
        """Returns the route that matches a request's host and path, if any."""
        host = (message.header(b"host") or b"").decode("latin-1").lower()
        path = message.target.partition(b"?")[0].decode("latin-1")
        return self._control.table.route(host.partition(":")[0], path)

    def _parse(self, message: Request, route: Route) -> Result[PendingRequest, ErrorKind]:
        """Returns a request with its deadlines, or the error if it can't be accepted."""
        remaining_s, age_s = route.timeout_s, 0.0
        header = message.header(b"x-deadline-ms")
        if header is not None:
            timeout_s = _parse_milliseconds(header)
            if timeout_s is None:
                return Error(ErrorKind.BAD)
            remaining_s = min(remaining_s, timeout_s)
            age_s = self._ages_of(route).age(timeout_s, route.timeout_s)
        if message.size > self._control.table.limits.max_body_bytes:
            return Error(ErrorKind.TOO_LARGE)
        service, shard_key = self._split.choose(route), NO_KEY
        if self._control.table.is_sharded(service):
            parsed_key = _parse_shard_key(message.header(b"x-shard-key") or b"")
            if parsed_key is None:
                return Error(ErrorKind.BAD)
            shard_key = parsed_key
        now, sent_after = self._context.now(), message.sent_after
        remaining_s = min(remaining_s, self._context.shutdown_deadline - now)
        return Ok(
            PendingRequest(
                message=message,
                route=route,
                service=service,
                started_at=now,
                deadline=now + remaining_s,
                target_at=now + min(route.target_s, remaining_s),
                offered_until=now + remaining_s * OFFER_FRACTION,
                is_retry=age_s > RETRY_AGE_S,
                past_target=age_s >= route.target_s,
                sent_after=self._context.monotonic() if sent_after is None else sent_after,
                shard_key=shard_key,
            )
        )

    def _ages_of(self, route: Route) -> RequestAges:
        ages = self._ages.get(route.name)
        if ages is None:
            if len(self._ages) >= MAX_ROUTES:
                self._ages.clear()
            ages = self._ages[route.name] = RequestAges()
        return ages


def _parse_shard_key(text: bytes) -> int | None:
    """Returns the key of a request to a sharded service, or None if it is not a whole number in range."""
    if not text.isdigit() or len(text) > MAX_SHARD_KEY_DIGITS or int(text) > LAST_KEY:
        return None
    return int(text)


def _parse_milliseconds(text: bytes) -> float | None:
    """Returns a number of milliseconds in seconds, or None if it is not a finite number."""
    try:
        value_s = float(text) / 1000.0
    except ValueError:
        return None
    return value_s if math.isfinite(value_s) else None
