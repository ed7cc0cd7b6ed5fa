"""Sends requests to the sidecars beside servers, one server after another, until one of them answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hollyport.bodies.blocks import Blocks
from hollyport.http import heads
from hollyport.http.message import Message as Request
from mesh.errors import ERROR_RESPONSES, NOT_EXECUTED_ERRORS, ErrorKind
from mesh.proxy.chunked_transfer import MAX_CHUNK_BYTES, MAX_WINDOW_BYTES
from mesh.proxy.context import ProxyContext
from mesh.proxy.directory import Directory
from mesh.proxy.endpoints import Endpoint
from mesh.proxy.pending_request import PendingRequest
from mesh.proxy.picker import MIN_CLOSED_S, Picker
from mesh.proxy.request_counts import NO_ROUTE, RequestCounts
from mesh.proxy.retry_budget import RetryBudget
from mesh.proxy.server_queue import NETWORK_MARGIN_S
from mesh.proxy.shard_router import NoOwner, ShardRouter, wait_until
from mesh.transport.connection import PeerConnection
from mesh.transport.memory_account import Charge
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

REPLACED_HEADERS = heads.NOT_FORWARDED | {
    b"x-deadline-ms",
    b"x-expect-instance",
    b"x-caller-service",
    b"x-timeout",
}
MAX_ATTEMPTS = 3  # servers that a request is sent to before it is refused
MAX_CLOSED_S = 0.2  # upper bound on how long a server that reported a full queue is skipped
MIN_CHUNKS_VERSION = 2  # protocol version from which sidecars accept bodies in chunks
OWNER_GONE_ERRORS = frozenset({ErrorKind.NOT_OWNER, ErrorKind.LEAVING, ErrorKind.BROKEN})
"""Errors after which a key may soon have another owner."""
DEFAULT_TARGET_S = 0.2  # target latency assumed for errors of requests that have no route

OnAnswer = Callable[[ForwardAnswer], None]


class LocalCalls(Protocol):
    """Runs calls on the server beside this sidecar, which requests can be sent to like any other."""

    @property
    def inline_limit(self) -> int:
        """Largest body, in bytes, that is sent together with its call."""

    def run_local(
        self, number: int, call: Call, body: Blocks, on_answer: OnAnswer, on_overdue: Callable[[], None]
    ) -> None:
        """Runs a call. `on_answer` is called once, `on_overdue` if the call takes unusually long."""

    def withdraw_local(self, number: int) -> None:
        """Cancels a call whose client has left."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to the sidecar beside one server."""

    request: PendingRequest
    endpoint: Endpoint
    body: Blocks = field(default_factory=Blocks)  # to send in chunks; empty if it was sent with the call
    charge: Charge | None = None  # for what is on its way of the body
    sent: int = 0  # bytes of `body` sent so far

    @property
    def incomplete(self) -> bool:
        """Whether part of the body has not been sent, in which case the call cannot have run."""
        return self.sent < self.body.size


class Forwarder:
    """Requests that entered the mesh at this sidecar and have not been answered yet."""

    def __init__(
        self,
        context: ProxyContext,
        directory: Directory,
        picker: Picker,
        router: ShardRouter,
        local: LocalCalls,
    ) -> None:
        self._context, self._directory = context, directory
        self._picker, self._local = picker, local
        self.router = router
        picker.send_attempt, picker.no_server = self._send_attempt, self._on_no_server
        directory.on_connection_lost = self._on_connection_lost
        directory.on_server_changed = self.resume_waiting
        self.attempts: dict[int, Attempt] = {}  # by attempt number
        self._budgets: dict[str, RetryBudget] = {}  # by service
        self.counts = RequestCounts()

    # --- request lifecycle

    def submit(self, request: PendingRequest) -> None:
        """Accepts a request and forwards it until it is answered or its deadline passes."""
        now = self._context.now()
        request.message.request_id = "open"
        self._budget(request.service).record_request(now)
        self._context.open_requests += 1
        wait_s = max(0.0, request.deadline - now - NETWORK_MARGIN_S)
        request.timer = self._context.loop.call_later(wait_s, self.on_deadline, request)
        if request.is_sharded:
            self._route_by_key(request)
        else:
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
        """Takes one retry from the service's budget; returns whether the budget allowed it."""
        return self._budget(request.service).try_acquire(now, self._directory.max_sidecars)

    def _on_no_server(self, request: PendingRequest) -> None:
        if not request.open_offers:
            self._fail(request, ErrorKind.BROKEN if request.may_have_run else ErrorKind.NO_SERVER)

    def on_deadline(self, request: PendingRequest) -> None:
        """Fails a request whose deadline has passed.

        Reports that it has not run if no server received it whole.
        """
        unsent = all(attempt.incomplete for attempt in self.attempts.values() if attempt.request is request)
        not_executed = unsent and not request.may_have_run
        self._fail(request, ErrorKind.REFUSED if not_executed else ErrorKind.LATE)

    def fail_all(self) -> None:
        """Fails all open requests at shutdown; those that cannot have run are reported as not executed."""
        for request in self._open_requests():
            self.on_deadline(request)

    def _open_requests(self) -> list[PendingRequest]:
        """Returns the requests that wait for a server or its answer, each as often as it was sent."""
        return [
            *(attempt.request for attempt in self.attempts.values()),
            *self._picker.probe_waiters,
            *self.router.waiting,
        ]

    def _fail(self, request: PendingRequest, error: ErrorKind) -> None:
        if request.finished:
            return
        self._finish(request)
        self.answer_error(request.message, error, request.target_at - request.started_at, request.route.name)

    def _finish(self, request: PendingRequest) -> None:
        request.finish()
        self.router.discard(request)
        self._context.open_requests -= 1

    def answer_error(
        self, message: Request, error: ErrorKind, target_s: float = DEFAULT_TARGET_S, route: str = NO_ROUTE
    ) -> None:
        """Answers a request with an error generated by the mesh.

        An error that states that the request has not run carries a Retry-After header.
        """
        self.counts.failed(route, error)
        response = ERROR_RESPONSES[error]
        headers = []
        if response.not_executed:
            headers = [(b"Retry-After", b"%.3f" % (target_s * (0.2 + 0.4 * self._context.random())))]
        message.answer(response.status, response.text, headers)

    # --- requests to sharded services

    def resume_waiting(self) -> None:
        """Sends the requests whose keys have got an owner that can be reached, after a change of either."""
        for request in list(self.router.waiting):
            if request in self.router.waiting:
                self._route_by_key(request)

    def _route_by_key(self, request: PendingRequest) -> None:
        """Sends a request to the owner of its key, or lets it wait for one, or refuses it."""
        now = self._context.now()
        decision = self.router.route(now, request)
        if isinstance(decision, Endpoint):
            self._send_to_owner(now, request, decision)
        elif decision is NoOwner.REFUSE:
            self._refuse_unowned(request)
        else:
            self.router.hold(request)
            if request.wait_timer is None:
                request.wait_timer = self._context.loop.call_at(wait_until(request), self.end_wait, request)

    def _send_to_owner(self, now: float, request: PendingRequest, endpoint: Endpoint) -> None:
        """Sends a request to the owner of its key, within the retry budget if it was sent before."""
        if request.tried and not self._may_retry(now, request):
            self._refuse_unowned(request)
            return
        self.router.on_sent(request)
        self._send_attempt(request, endpoint)

    def end_wait(self, request: PendingRequest) -> None:
        """Refuses a request that has waited for an owner of its key for as long as it may."""
        if request in self.router.waiting:
            self._refuse_unowned(request)

    def _refuse_unowned(self, request: PendingRequest) -> None:
        self._fail(request, ErrorKind.BROKEN if request.may_have_run else ErrorKind.NOT_OWNER)

    # --- attempts

    def _send_attempt(self, request: PendingRequest, endpoint: Endpoint) -> None:
        """Sends a request to the sidecar beside one server."""
        self.counts.offered(request.service, not request.tried)
        request.tried.append(endpoint)
        request.open_offers += 1
        endpoint.in_flight += 1
        number, local = self._context.next_number(), endpoint.node == self._context.node_name
        attempt = self.attempts[number] = Attempt(request, endpoint)
        message = request.message
        if not local and endpoint.version >= MIN_CHUNKS_VERSION and message.size > self._local.inline_limit:
            attempt.body = _blocks(message)
        if message.size and not local:
            on_its_way = min(message.size, MAX_WINDOW_BYTES)
            attempt.charge = self._context.memory.account.charge(on_its_way)
        inline = b"" if local or attempt.body.size else message.whole_body()
        call = self._call(request, attempt, inline)
        if local:
            self._local.run_local(
                number, call, _blocks(message), self.finish_attempt, lambda: self.hedge_attempt(number)
            )
        else:
            connection = self._directory.connections[endpoint.node]
            connection.expect_answers(1)
            connection.send(Forward(number, call))

    def _call(self, request: PendingRequest, attempt: Attempt, body: bytes) -> Call:
        """Returns the message that carries a request to the sidecar beside a server.

        `body` is empty unless it is sent within the message.
        """
        message, now = request.message, self._context.now()
        connection = self._directory.connections.get(attempt.endpoint.node)
        dropped = _connection_headers(message) | REPLACED_HEADERS
        target_s, past_target = request.target_at - now, request.past_target
        if attempt.body.size and target_s <= 0:  # the transfer of the body at another server has spent it
            target_s, past_target = request.route.target_s, True
        return Call(
            service=request.service,
            caller=self._context.settings.service,
            method=message.method,
            target=message.target,
            headers=[pair for pair in message.headers if pair[0] not in dropped],
            body=body,
            remaining_s=request.deadline - now,
            target_s=target_s,
            attempt_id=request.attempt_id,
            key=request.key,
            route=request.route.name,
            is_retry=request.is_retry,
            repeatable=request.repeatable,
            past_target=past_target,
            size=attempt.body.size,
            priority=request.route.priority,
            age_s=self._context.monotonic() - request.sent_after if request.key else None,
            sent_at=connection.earliest_peer_time() if request.key and connection is not None else None,
            shard_key=request.shard_key,
        )

    def finish_attempt(self, answer: ForwardAnswer) -> None:
        """Handles the end of an attempt: answers the client, tries another server, or fails the request."""
        attempt = self.attempts.pop(answer.number, None)
        if attempt is None:
            return
        request, endpoint, now = attempt.request, attempt.endpoint, self._context.now()
        connection = self._directory.connections.get(endpoint.node)
        if connection is not None:
            connection.expect_answers(-1)
        endpoint.in_flight -= 1
        request.open_offers -= 1
        endpoint.record_load(now, request.route.name, answer.wait_s, answer.work_s, answer.failure_rate)
        if answer.wait_s:
            endpoint.closed_until = now + min(answer.wait_s, MAX_CLOSED_S)
        if answer.error:
            self._on_attempt_failed(now, request, endpoint, answer)
            return
        endpoint.record_latency(now - request.started_at)
        if request.finished:
            return
        self._picker.record_response_size(request.route.name, len(answer.body))
        self._finish(request)
        self.counts.answered(request.route.name, answer.status, now - request.started_at)
        request.message.answer(answer.status, answer.body, list(answer.headers))

    def _on_attempt_failed(
        self, now: float, request: PendingRequest, endpoint: Endpoint, answer: ForwardAnswer
    ) -> None:
        """Tries another server if the request may run again and there is time, and fails it otherwise."""
        error = ErrorKind(answer.error)
        request.arrivals += answer.arrived
        if error in NOT_EXECUTED_ERRORS:
            endpoint.closed_until = max(endpoint.closed_until, now + MIN_CLOSED_S)
        elif error != ErrorKind.AT_WORK:
            request.may_have_run = True
        if request.finished:
            return
        may_try_another = self._may_try_another(now, request, error)
        if may_try_another and request.is_sharded:
            self._route_by_key(request)
        elif may_try_another and self._may_retry(now, request):
            self._picker.pick(request)
        elif not request.open_offers:  # otherwise another attempt may still be answered
            uncertain = request.may_have_run and error in NOT_EXECUTED_ERRORS
            self._fail(request, ErrorKind.BROKEN if uncertain else error)

    @staticmethod
    def _may_try_another(now: float, request: PendingRequest, error: ErrorKind) -> bool:
        """Whether a request that failed with this error may be sent to another server."""
        if request.is_sharded and error not in OWNER_GONE_ERRORS:
            return False
        max_arrivals = request.route.max_attempts
        safe = error in NOT_EXECUTED_ERRORS or (request.repeatable and error == ErrorKind.BROKEN)
        left = len(request.tried) < max(MAX_ATTEMPTS, max_arrivals) and request.arrivals < max_arrivals
        early = error == ErrorKind.BROKEN or now < request.offered_until
        return safe and left and early and now < request.deadline - NETWORK_MARGIN_S

    def hedge_attempt(self, number: int) -> None:
        """Sends a request whose server takes unusually long to a second server as well.

        Only requests that may run twice are hedged, within the retry budget, and none to a sharded service,
        as no other server holds its key. The first answer is used, and the other attempt is not cancelled.
        """
        attempt = self.attempts.get(number)
        if attempt is None or attempt.request.is_sharded:
            return
        request, now = attempt.request, self._context.now()
        only_one = request.open_offers == 1 and request.arrivals + 1 < request.route.max_attempts
        if not request.repeatable or not only_one or request.finished or len(request.tried) >= MAX_ATTEMPTS:
            return
        if now < request.deadline - NETWORK_MARGIN_S and self._may_retry(now, request):
            self._picker.pick(request)

    # --- clients that disconnect, and sidecars that become unreachable

    def on_client_disconnected(self, message: Request) -> None:
        """Stops sending a request whose client has left.

        Attempts of a request that may run twice are cancelled. One that may not, and may have started, runs
        on; so does an operation with an idempotency key, whose answer is kept for a repeat.
        """
        request = self._request_of(message)
        if request is None or request.finished:
            return
        self._finish(request)
        self.counts.client_left(request.route.name)
        if request.route.variant == "idempotent":
            return
        for number, attempt in list(self.attempts.items()):
            if attempt.request is request:
                self._cancel(number, attempt.endpoint)

    def _request_of(self, message: Request) -> PendingRequest | None:
        """Returns the open request of a client's message, if there is one."""
        return next((request for request in self._open_requests() if request.message is message), None)

    def _cancel(self, number: int, endpoint: Endpoint) -> None:
        """Asks the sidecar beside a server to cancel a call; it still sends an answer."""
        connection = self._directory.connections.get(endpoint.node)
        if endpoint.node == self._context.node_name:
            self._local.withdraw_local(number)
        elif connection is not None:
            connection.send(Cancel(number))

    def _on_connection_lost(self, node: str) -> None:
        """Fails the attempts at a sidecar whose connection has ended, as they can no longer be answered."""
        for number, attempt in list(self.attempts.items()):
            if attempt.endpoint.node == node:
                error = ErrorKind.LEAVING if attempt.incomplete else ErrorKind.BROKEN
                self.finish_attempt(ForwardAnswer.failed(number, error, arrived=not attempt.incomplete))
        self._picker.on_connection_lost(node)

    # --- messages

    def on_send_body(self, connection: PeerConnection, query: SendBody) -> None:
        """Sends more of a body, as far as the sidecar beside the server has asked for it."""
        number, attempt = query.number, self.attempts.get(query.number)
        if attempt is None or not attempt.body.size:
            return
        if (
            attempt.request.finished
        ):  # answered, or its client has left; without the whole body the call can't run
            self.finish_attempt(ForwardAnswer.failed(number, ErrorKind.LEAVING))
            connection.send(BodyDropped(number))
            return
        while attempt.sent < min(query.end_offset, attempt.body.size):
            chunk = attempt.body.cut(attempt.sent, min(attempt.sent + MAX_CHUNK_BYTES, query.end_offset))
            attempt.sent += len(chunk)
            connection.send(BodyChunk(number, chunk))

    def on_answer(self, connection: PeerConnection, answer: ForwardAnswer) -> None:
        """Handles the answer of the sidecar beside a server."""
        self.finish_attempt(answer)

    def on_overdue(self, connection: PeerConnection, report: Overdue) -> None:
        """Handles the notice of the sidecar beside a server that a call takes unusually long."""
        self.hedge_attempt(report.number)

    def on_load_report(self, connection: PeerConnection, report: LoadReport) -> None:
        """Handles a sidecar's estimate of how a call would be served by its server."""
        self._picker.on_load_report(connection.peer, report)


def _blocks(message: Request) -> Blocks:
    """Returns the body of a request in blocks."""
    return message.blocks or Blocks(message.body)


def _connection_headers(message: Request) -> frozenset[bytes]:
    """Returns the names listed in a request's Connection header, which are not forwarded."""
    value = message.header(b"connection")
    if value is None or value.lower() in (b"close", b"keep-alive"):
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(b","))
