"""Offers requests to sidecars beside servers, one after the other, until there is an answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hollyport.http import heads
from hollyport.http.message import Message as Request
from mesh.errors import ERROR_RESPONSES, NOT_EXECUTED_ERRORS, ErrorKind
from mesh.proxy.chunked_transfer import MAX_CHUNK_BYTES
from mesh.proxy.context import ProxyContext
from mesh.proxy.directory import Directory
from mesh.proxy.endpoints import Endpoint
from mesh.proxy.pending_request import PendingRequest
from mesh.proxy.picker import LEAST_CLOSED_S, Picker
from mesh.proxy.request_counts import NO_ROUTE, RequestCounts
from mesh.proxy.retry_budget import RetryBudget
from mesh.proxy.server_queue import NETWORK_MARGIN_S
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import (
    BodyChunk,
    BodyDropped,
    Call,
    Cancel,
    Forward,
    ForwardAnswer,
    LoadReport,
    Overdue,
    SendBody,
)

SET_HERE = heads.NOT_FORWARDED | {b"x-deadline-ms", b"x-expect-instance", b"x-caller-service", b"x-timeout"}
MOST_OFFERS = 3  # servers that a request is offered to before it is refused
MOST_CLOSED_S = 0.2  # how long a server that was told full is passed over at most
CHUNKS_VERSION = 2  # of sidecars that take bodies in chunks
LEAST_AIM_S = 0.2  # where a fault has no route

Answered = Callable[[ForwardAnswer], None]


class LocalCalls(Protocol):
    """The server beside this sidecar, as one of those that requests are offered to."""

    @property
    def inline_limit(self) -> int:
        """Bytes of a body that goes with its call."""

    def run_local(self, number: int, call: Call, answered: Answered, overdue: Callable[[], None]) -> None:
        """Run a call; `answered` hears its end once, `overdue` where it takes unusually long."""

    def withdraw_local(self, number: int) -> None:
        """Nobody waits for a call any more."""


@dataclass(slots=True, eq=False)
class Offer:
    """One request at the sidecar beside one server."""

    request: PendingRequest
    endpoint: Endpoint
    body: bytes = b""  # that is sent in chunks; empty: it went with the offer
    sent: int = 0  # bytes of it

    @property
    def incomplete(self) -> bool:
        """Whether some of its body has not been sent: then it can't have run."""
        return self.sent < len(self.body)


class Forwarder:
    """All requests that began at one sidecar and have no answer yet."""

    def __init__(
        self, context: ProxyContext, directory: Directory, picker: Picker, local: LocalCalls
    ) -> None:
        self._context, self._directory = context, directory
        self._picker, self._local = picker, local
        picker.offer, picker.no_server = self._offer, self._no_server
        directory.on_link_lost = self._on_connection_lost
        self.attempts: dict[int, Offer] = {}  # by number
        self._budgets: dict[str, RetryBudget] = {}  # by service
        self.counts = RequestCounts()

    # --- a request's life

    def submit(self, request: PendingRequest) -> None:
        """Take a request until it is answered."""
        now = self._context.now()
        request.message.request_id = "open"
        self._budget(request.service).record_request(now)
        self._context.open_requests += 1
        wait_s = max(0.0, request.deadline - now - NETWORK_MARGIN_S)
        request.timer = self._context.loop.call_later(wait_s, self.on_deadline, request)
        self._picker.pick(request)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bound = self._context.settings.bound
            budget = self._budgets[service] = RetryBudget(
                bound("retry_ratio", 0.2), bound("retry_window", 10.0), bound("retry_slack", 0.0)
            )
        return budget

    def _may_retry(self, now: float, request: PendingRequest) -> bool:
        """Whether the budget for second servers has room, which is then taken."""
        return self._budget(request.service).try_acquire(now, self._directory.most_sidecars)

    def _no_server(self, request: PendingRequest) -> None:
        if not request.open_offers:
            self._fail(request, ErrorKind.BROKEN if request.may_have_run else ErrorKind.NO_SERVER)

    def on_deadline(self, request: PendingRequest) -> None:
        """It has not run where nobody was offered it whole."""
        unsent = all(offer.incomplete for offer in self.attempts.values() if offer.request is request)
        promise = unsent and not request.may_have_run
        self._fail(request, ErrorKind.REFUSED if promise else ErrorKind.LATE)

    def fail_all(self) -> None:
        """Answer all that is open, as this process ends: with a promise where nothing can have run."""
        for request in [*self._picker.waiting, *(offer.request for offer in self.attempts.values())]:
            self.on_deadline(request)

    def _fail(self, request: PendingRequest, error: ErrorKind) -> None:
        if request.finished:
            return
        self._finish(request)
        self.answer_error(request.message, error, request.target_at - request.started_at, request.route.name)

    def _finish(self, request: PendingRequest) -> None:
        request.finish()
        self._context.open_requests -= 1

    def answer_error(
        self, message: Request, error: ErrorKind, aim_s: float = LEAST_AIM_S, route: str = NO_ROUTE
    ) -> None:
        """Answer a request with an error of this system; a promise tells when to come back."""
        self.counts.failed(route, error)
        answer = ERROR_RESPONSES[error]
        headers = []
        if answer.not_executed:
            headers = [(b"Retry-After", b"%.3f" % (aim_s * (0.2 + 0.4 * self._context.random())))]
        message.answer(answer.status, answer.text, headers)

    # --- offers

    def _offer(self, request: PendingRequest, endpoint: Endpoint) -> None:
        """Offer a request to one server, by the sidecar beside it."""
        self.counts.offered(request.service, not request.tried)
        request.tried.append(endpoint)
        request.open_offers += 1
        endpoint.in_flight += 1
        number, local = self._context.next_number(), endpoint.node == self._context.node_name
        offer = self.attempts[number] = Offer(request, endpoint)
        body = request.message.body
        if not local and endpoint.version >= CHUNKS_VERSION and len(body) > self._local.inline_limit:
            offer.body = body
        call = self._call(request, offer)
        if local:
            self._local.run_local(number, call, self.finish_attempt, lambda: self.hedge_attempt(number))
        else:
            link = self._directory.connections[endpoint.node]
            link.expect_answers(1)
            link.send(Forward(number, call))

    def _call(self, request: PendingRequest, offer: Offer) -> Call:
        """A request as it goes to a sidecar beside a server."""
        message, now = request.message, self._context.now()
        left_out = _connection_headers(message) | SET_HERE
        return Call(
            service=request.service,
            caller=self._context.settings.service,
            method=message.method,
            target=message.target,
            headers=[pair for pair in message.headers if pair[0] not in left_out],
            body=b"" if offer.body else message.body,
            remaining_s=request.deadline - now,
            target_s=request.target_at - now,
            attempt_id=request.attempt_id,
            key=request.key,
            route=request.route.name,
            is_retry=request.is_retry,
            repeatable=request.repeatable,
            past_target=request.past_target,
            size=len(offer.body),
            priority=request.route.priority,
        )

    def finish_attempt(self, told: ForwardAnswer) -> None:
        """What became of a request at the sidecar beside a server."""
        offer = self.attempts.pop(told.number, None)
        if offer is None:
            return
        request, endpoint, now = offer.request, offer.endpoint, self._context.now()
        link = self._directory.connections.get(endpoint.node)
        if link is not None:
            link.expect_answers(-1)
        endpoint.in_flight -= 1
        request.open_offers -= 1
        endpoint.record_load(now, request.route.name, told.wait_s, told.work_s, told.failure_rate)
        if told.wait_s:
            endpoint.closed_until = now + min(told.wait_s, MOST_CLOSED_S)
        if told.error:
            self._failed(now, request, endpoint, told)
            return
        endpoint.record_latency(now - request.started_at)
        if request.finished:
            return
        self._picker.note_size(request.route.name, len(told.body))
        self._finish(request)
        self.counts.answered(request.route.name, told.status, now - request.started_at)
        request.message.answer(told.status, told.body, list(told.headers))

    def _failed(self, now: float, request: PendingRequest, endpoint: Endpoint, told: ForwardAnswer) -> None:
        """One server has not answered a request: another may, if it may run again and there is time."""
        error = ErrorKind(told.error)
        request.arrivals += told.arrived
        if error in NOT_EXECUTED_ERRORS:
            endpoint.closed_until = max(endpoint.closed_until, now + LEAST_CLOSED_S)
        elif error != ErrorKind.AT_WORK:
            request.may_have_run = True
        if request.finished:
            return
        if self._may_try_another(now, request, error) and self._may_retry(now, request):
            self._picker.pick(request)
        elif not request.open_offers:  # else another offer of it may still be answered
            doubt = request.may_have_run and error in NOT_EXECUTED_ERRORS
            self._fail(request, ErrorKind.BROKEN if doubt else error)

    @staticmethod
    def _may_try_another(now: float, request: PendingRequest, error: ErrorKind) -> bool:
        """Whether another server may be offered a request after this error."""
        attempts = request.route.max_attempts
        harmless = error in NOT_EXECUTED_ERRORS or (request.repeatable and error == ErrorKind.BROKEN)
        left = len(request.tried) < max(MOST_OFFERS, attempts) and request.arrivals < attempts
        early = error == ErrorKind.BROKEN or now < request.offered_until
        return harmless and left and early and now < request.deadline - NETWORK_MARGIN_S

    def hedge_attempt(self, number: int) -> None:
        """A server takes unusually long: what may run twice is sent to another as well, within the budget for
        second servers. The first to answer counts, and nothing is broken off."""
        offer = self.attempts.get(number)
        if offer is None:
            return
        request, now = offer.request, self._context.now()
        only_one = request.open_offers == 1 and request.arrivals + 1 < request.route.max_attempts
        if not request.repeatable or not only_one or request.finished or len(request.tried) >= MOST_OFFERS:
            return
        if now < request.deadline - NETWORK_MARGIN_S and self._may_retry(now, request):
            self._picker.pick(request)

    # --- clients and sidecars that go away

    def on_client_disconnected(self, message: Request) -> None:
        """Nothing of its request is sent to a server any more, and one that may run twice is broken off
        there. What may not, and may have begun, runs on; so does an operation with a key, whose answer is
        kept for its repeat."""
        request = self._request_of(message)
        if request is None or request.finished:
            return
        self._finish(request)
        self.counts.client_left(request.route.name)
        if request.route.variant == "idempotent":
            return
        for number, offer in list(self.attempts.items()):
            if offer.request is request:
                self._cancel(number, offer.endpoint)

    def _request_of(self, message: Request) -> PendingRequest | None:
        """The open request of a client's message."""
        requests = [*(offer.request for offer in self.attempts.values()), *self._picker.waiting]
        return next((request for request in requests if request.message is message), None)

    def _cancel(self, number: int, endpoint: Endpoint) -> None:
        """Tell the sidecar beside a server that nobody waits for a call any more; it answers all the same."""
        link = self._directory.connections.get(endpoint.node)
        if endpoint.node == self._context.node_name:
            self._local.withdraw_local(number)
        elif link is not None:
            link.send(Cancel(number))

    def _on_connection_lost(self, node: str) -> None:
        """The sidecar beside a server can't answer any more what it was offered."""
        for number, offer in list(self.attempts.items()):
            if offer.endpoint.node == node:
                error = ErrorKind.LEAVING if offer.incomplete else ErrorKind.BROKEN
                self.finish_attempt(ForwardAnswer.failed(number, error, arrived=not offer.incomplete))
        self._picker.link_lost(node)

    # --- messages

    def send_body(self, link: PeerConnection, asked: SendBody) -> None:
        """The sidecar beside a server takes more of a body."""
        number, offer = asked.number, self.attempts.get(asked.number)
        if offer is None or not offer.body:
            return
        if offer.request.finished:  # its client has its answer or has left: what is not there whole can't run
            self.finish_attempt(ForwardAnswer.failed(number, ErrorKind.LEAVING))
            link.send(BodyDropped(number))
            return
        while offer.sent < min(asked.end_offset, len(offer.body)):
            chunk = offer.body[offer.sent : min(offer.sent + MAX_CHUNK_BYTES, asked.end_offset)]
            offer.sent += len(chunk)
            link.send(BodyChunk(number, chunk))

    def on_answer(self, link: PeerConnection, told: ForwardAnswer) -> None:
        """The sidecar beside a server answers."""
        self.finish_attempt(told)

    def on_overdue(self, link: PeerConnection, told: Overdue) -> None:
        """The sidecar beside a server tells that a call takes unusually long."""
        self.hedge_attempt(told.number)

    def on_report(self, link: PeerConnection, told: LoadReport) -> None:
        """A sidecar tells how a call would fare at its server."""
        self._picker.hear_report(link.peer, told)


def _connection_headers(message: Request) -> frozenset[bytes]:
    """Headers that a request's Connection header keeps to that connection."""
    told = message.header(b"connection")
    if told is None or told.lower() in (b"close", b"keep-alive"):
        return frozenset()
    return frozenset(part.strip().lower() for part in told.split(b","))
