"""Runs calls of this sidecar and of others at the local server."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from hollyport.bodies.blocks import BLOCK_BYTES, Blocks, BlockSource
from hollyport.http import heads
from hollyport.http.back import Outgoing, Reply
from mesh.errors import NOT_EXECUTED_ERRORS, ErrorKind
from mesh.proxy.body_receiver import BodyReceiver, CallBody, CallId
from mesh.proxy.context import ProxyContext
from mesh.proxy.key_claims import KeyClaims
from mesh.proxy.server_job import Job
from mesh.proxy.server_queue import ServerQueue
from mesh.state.idempotency import ClaimDecision
from mesh.transport.connection import PeerConnection
from mesh.transport.memory_account import request_bytes
from mesh.transport.messages import Call, Cancel, Forward, ForwardAnswer, LoadQuery, LoadReport, Overdue

MIN_CLAIM_TIMEOUT_S = 0.08
FREE_WAIT_FRACTION = 0.25  # fraction of its target latency that a call may always wait in the queue
KEY_WAIT_FRACTION = 0.15  # fraction of its target latency that a call may wait for its shard key
SERVICE_TIME_SPREAD = 2.0  # multiple of the mean service time by which most calls are answered
MAX_WAIT_TARGET_FACTOR = 1.5  # multiple of its target latency that a call may wait in the queue
MAX_WAIT_FRACTION = 0.3  # fraction of its remaining time that a call may wait in the queue of one server
RETRY_WAIT_FRACTION = 0.5  # fraction of the usual wait that a retried request gets, so that it goes first
ERROR_OF = {ClaimDecision.AT_WORK: ErrorKind.AT_WORK, ClaimDecision.LOST: ErrorKind.LOST_KEY}
MAY_HAVE_RUN_STATUSES = frozenset({408, 421, 429, 503})  # unless the answer has X-Not-Run

OnAnswer = Callable[[ForwardAnswer], None]


class CallRunner:
    """The calls for the local server of one sidecar."""

    def __init__(self, context: ProxyContext, queue: ServerQueue, key_claims: KeyClaims) -> None:
        self._context, self._queue, self._key_claims = context, queue, key_claims
        self.bodies = BodyReceiver(context, self._run_remote, self._reject)
        self.jobs: dict[CallId, Job] = {}  # calls without an idempotency key

    # --- messages of other sidecars

    def on_forward(self, connection: PeerConnection, request: Forward) -> None:
        """Handles a call of another sidecar."""
        number, call = request.number, request.call
        if call.age_s is not None:
            call = msgspec.structs.replace(call, age_s=self._age_s(connection, call, call.age_s))
        if not call.size:
            self._run_inline(connection, number, call)
            return
        refusal = self._refusal(call)
        if refusal is not None:
            connection.send(ForwardAnswer.failed(number, refusal))
        else:
            own_transfer_s = self.bodies.receive_window.own_transfer_s(call.size)
            self.bodies.fetch(connection, number, call, _max_transfer_s(call, own_transfer_s))

    def _age_s(self, connection: PeerConnection, call: Call, age_s: float) -> float:
        """Returns the most time since the client of a call that is read now sent its request.

        `age_s` is that when the call was sent, which cannot have been before the connection was opened.
        """
        sent_after = connection.opened_after
        if call.sent_at is not None:
            sent_after = max(sent_after, call.sent_at)
        return age_s + max(0.0, self._context.monotonic() - sent_after)

    def on_cancel(self, connection: PeerConnection, message: Cancel) -> None:
        """Handles the cancellation of a call of another sidecar."""
        call_id = (connection, message.number)
        if self.bodies.drop(call_id):
            connection.send(ForwardAnswer.failed(message.number, ErrorKind.REFUSED))
        else:
            self._withdraw(call_id)

    def on_load_query(self, connection: PeerConnection, query: LoadQuery) -> None:
        """Reports the local load to another sidecar."""
        connection.send(self.load_report(query.number, query.route, query.size))

    def load_report(self, number: int, route: str, size: int) -> LoadReport:
        """Returns the load at the local server for a call of a route with a body of `size` bytes."""
        queue, transfer_s = self._queue, self.bodies.expected_transfer_s(size)
        return LoadReport(
            number,
            queue.accepts_calls(),
            queue.expected_wait_s(),
            queue.service_times.measured_s(route),
            transfer_s,
            queue.failure_rate(),
        )

    def _run_inline(self, connection: PeerConnection, number: int, call: Call) -> None:
        """Runs a call whose body, if any, was sent within it, if there is memory for it."""
        account = self._context.memory.account
        size = request_bytes(len(call.headers), len(call.target), len(call.body))
        if not account.fits(size):
            self._reject(connection, number, call)
            return
        body = CallBody(Blocks(call.body), account.charge(size))
        self._run_remote(connection, number, msgspec.structs.replace(call, body=b""), body)

    def _run_remote(self, connection: PeerConnection, number: int, call: Call, body: CallBody) -> None:
        def on_answer(answer: ForwardAnswer) -> None:
            connection.send(self._with_load(answer, call.route))

        self._run(call, body, (connection, number), on_answer, lambda: connection.send(Overdue(number)))

    def _reject(self, connection: PeerConnection, number: int, call: Call) -> None:
        connection.send(self._with_load(ForwardAnswer.failed(number, ErrorKind.FULL), call.route))

    def _with_load(self, answer: ForwardAnswer, route: str) -> ForwardAnswer:
        """Returns an answer with the current load of the local server added."""
        queue = self._queue
        return msgspec.structs.replace(
            answer,
            wait_s=queue.expected_wait_s(),
            work_s=queue.service_times.measured_s(route),
            failure_rate=queue.failure_rate(),
        )

    # --- calls of this sidecar

    @property
    def inline_limit(self) -> int:
        """Maximum bytes of a body that is sent within its call."""
        return self.bodies.receive_window.inline_limit

    def run_local(
        self, number: int, call: Call, body: Blocks, on_answer: OnAnswer, on_overdue: Callable[[], None]
    ) -> None:
        """Runs a call of this sidecar, whose client's request accounts for the body."""
        self._run(call, CallBody(body), (None, number), on_answer, on_overdue)

    def withdraw_local(self, number: int) -> None:
        """Cancels a call of this sidecar."""
        self._withdraw((None, number))

    def _withdraw(self, call_id: CallId) -> None:
        job = self.jobs.get(call_id)
        if job is not None:
            self._queue.withdraw(job)

    # --- running

    def _run(
        self,
        call: Call,
        body: CallBody,
        call_id: CallId,
        on_answer: OnAnswer,
        on_overdue: Callable[[], None],
    ) -> None:
        """Submits a call to the queue of the local server; `on_answer` is called once with the result."""
        queue, context = self._queue, self._context
        refusal = self._refusal(call)
        if refusal is not None:
            on_answer(ForwardAnswer.failed(call_id[1], refusal))
            return
        context.open_calls += 1
        token = f"{context.node_name}/{context.incarnation}/{context.next_number()}" if call.key else ""
        on_done = partial(self._on_done, call, call_id, token, on_answer)
        now = context.now()
        due_at, latest_start_at = self._latest_starts(now, call)
        job = Job(
            _request_builder(call, body),
            call.attempt_id,
            now + call.remaining_s,
            due_at,
            latest_start_at,
            on_done,
            call.route,
        )
        job.priority, job.shard_key = call.priority, call.shard_key
        job.key_wait_until = now + call.target_s * KEY_WAIT_FRACTION
        if call.repeatable:
            job.on_overdue, job.repeatable = on_overdue, True
        if call.key:
            sent_after = context.monotonic() - (call.age_s or 0.0)
            timeout_s = _claim_timeout_s(call)
            self.claim(call_id[1], call.key, token, call.remaining_s, timeout_s, job, on_answer, sent_after)
        else:
            self.jobs[call_id] = job
            queue.submit(job)

    def _refusal(self, call: Call) -> ErrorKind | None:
        """Returns why a call can't run at the local server now, or None if it can."""
        queue = self._queue
        if call.service != self._context.settings.service or not queue.serves:
            return ErrorKind.LEAVING
        return None if queue.accepts_key(call.shard_key) else ErrorKind.NOT_OWNER

    def _latest_starts(self, now: float, call: Call) -> tuple[float, float]:
        """Returns the due time and the latest start of a call.

        A call that starts by its due time is likely to be answered within its target latency, given the
        spread of service times. The latest start is bounded by a fraction of the remaining time, as a
        rejected call may still be served elsewhere, and by a multiple of the target latency, as long waits
        make all later calls late.
        """
        latest_start_at = now + _max_wait_s(call)
        # A call past its target latency, as after an outage, is worth less than any that can still meet it:
        # it is sent when none of those is waiting.
        if call.past_target:
            return now, max(now, latest_start_at)
        wait_s = max(
            call.target_s - SERVICE_TIME_SPREAD * self._queue.service_times.expected_s(call.route),
            call.target_s * FREE_WAIT_FRACTION,
        )
        # Retried requests go first: if rejected again, their clients would have waited in vain.
        wait_s *= RETRY_WAIT_FRACTION if call.is_retry else 1.0
        due_at = now + min(wait_s, call.remaining_s * MAX_WAIT_FRACTION)
        return due_at, max(due_at, latest_start_at)

    def _on_done(
        self,
        call: Call,
        call_id: CallId,
        token: str,
        on_answer: OnAnswer,
        error: ErrorKind | None,
        arrived: bool,
        reply: Reply | None,
    ) -> None:
        """Handles the result of a call at the local server."""
        self._context.open_calls -= 1
        self.jobs.pop(call_id, None)
        final_error = classify_reply(error, reply)
        if call.key:
            self.close_key(call.key, token, final_error, reply)
        if final_error is not None or reply is None:
            on_answer(ForwardAnswer.failed(call_id[1], final_error or ErrorKind.BROKEN, arrived))
        else:
            headers = heads.returned(reply.headers)
            on_answer(ForwardAnswer(call_id[1], 0, arrived, reply.status, headers, reply.body))

    # --- calls with an idempotency key

    def claim(
        self,
        number: int,
        key: str,
        token: str,
        remaining_s: float,
        timeout_s: float,
        job: Job,
        on_answer: OnAnswer,
        sent_after: float,
    ) -> None:
        """Claims an idempotency key and submits the job once enough controllers have granted it.

        The client sent its request later than `sent_after`, by the monotonic clock. If the claim takes too
        long, as during a network partition, the call is rejected so that another sidecar can try, and for a
        while further calls with keys are rejected at once.
        """

        def on_decision(verdict: ClaimDecision, answer: Any) -> None:
            if verdict == ClaimDecision.RUN:
                self._queue.submit(job)
                return
            self._context.open_calls -= 1
            if verdict == ClaimDecision.REPEAT:
                status, headers, body = answer
                pairs = [(bytes(name), bytes(value)) for name, value in headers]
                on_answer(ForwardAnswer(number, 0, False, status, pairs, body))
            else:
                on_answer(ForwardAnswer.failed(number, ERROR_OF.get(verdict, ErrorKind.REFUSED)))

        if self._key_claims.paused:
            self._context.open_calls -= 1
            on_answer(ForwardAnswer.failed(number, ErrorKind.REFUSED))
        else:
            self._key_claims.claim(key, token, remaining_s, timeout_s, on_decision, sent_after)

    def close_key(self, key: str, token: str, error: ErrorKind | None, reply: Reply | None) -> None:
        """Reports the result of the operation of a key to the controllers."""
        if error is None and reply is not None:
            answer = [reply.status, heads.returned(reply.headers), reply.body]
            self._key_claims.report_done(key, token, answer)
        elif error in NOT_EXECUTED_ERRORS:
            self._key_claims.release(key, token)
        else:
            self._key_claims.report_broken(key, token)


def classify_reply(error: ErrorKind | None, reply: Reply | None) -> ErrorKind | None:
    """Returns the error of a call, or None if the reply is a complete answer of the server."""
    if error is not None or reply is None:
        return error or ErrorKind.BROKEN
    is_encoded = reply.header(b"content-encoding") is not None
    is_sealed = reply.header(b"x-server-seal") is not None
    if (200 <= reply.status < 300 and not is_sealed) or is_encoded or reply.status in MAY_HAVE_RUN_STATUSES:
        return ErrorKind.BROKEN
    if reply.status < 200 or 300 <= reply.status < 400:
        return ErrorKind.BROKEN
    return None


def _max_wait_s(call: Call) -> float:
    """Returns how long a call may wait in the queue of one server."""
    return min(call.remaining_s * MAX_WAIT_FRACTION, call.target_s * MAX_WAIT_TARGET_FACTOR)


def _max_transfer_s(call: Call, own_transfer_s: float) -> float:
    """Returns how long the transfer of a call's body may take.

    One that would take longer than the call may wait even on an idle link has the fraction of the remaining
    time: its target latency is missed wherever it is sent.
    """
    max_wait_s = _max_wait_s(call)
    return max_wait_s if own_transfer_s <= max_wait_s else call.remaining_s * MAX_WAIT_FRACTION


def _claim_timeout_s(call: Call) -> float:
    """Returns how long the claim of a call's key may take."""
    return max(MIN_CLAIM_TIMEOUT_S, call.target_s * FREE_WAIT_FRACTION)


def _request_builder(call: Call, body: CallBody) -> Callable[[float, str], bytes | Outgoing]:
    """Returns a function that builds a call's HTTP request from the remaining time and the server's instance
    id, which are known only when it is sent.

    A large body goes out block by block, as the server takes it.
    """
    head = heads.forwarded(call.method, call.target, list(call.headers), body.blocks)

    def build_request(remaining_s: float, instance: str) -> bytes | Outgoing:
        headers = b"X-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\nX-Caller-Service: %s\r\n\r\n" % (
            max(1, int(remaining_s * 1000)),
            instance.encode(),
            call.caller.encode(),
        )
        if body.blocks.size > BLOCK_BYTES:
            return Outgoing(head + headers, False, BlockSource(body.blocks))
        return head + headers + body.blocks.join()

    return build_request
