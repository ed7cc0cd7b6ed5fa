"""Runs calls at the server beside this sidecar: those of other sidecars, and those that began here."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from hollyport.http import heads
from hollyport.http.back import Reply
from mesh.errors import PROMISES, ErrorKind
from mesh.proxy.body_receiver import BodyReceiver, CallId
from mesh.proxy.context import ProxyContext
from mesh.proxy.key_claims import KeyClaims
from mesh.proxy.server_queue import Job, ServerQueue
from mesh.state.idempotency import Verdict
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import Call, Cancel, Forward, ForwardAnswer, LoadQuery, LoadReport, Overdue

LEAST_CLAIM_S = 0.08  # how long a claim may take in any case before its call is given back
PATIENCE = 0.25  # part of a request's aim that it may wait unsent at no price
SCATTER = 2.0  # times the mean that a call may take and still be in time
BEYOND_AIM = 1.5  # times its aim that a request may wait unsent
MOST_WAIT_PART = 0.3  # of a request's time that it may wait unsent at one server
RETURNED_PART = 0.5  # of the usual patience that puts a returning request in front
ERROR_OF = {Verdict.AT_WORK: ErrorKind.AT_WORK, Verdict.LOST: ErrorKind.LOST_KEY}
NO_PROMISE = frozenset({408, 421, 429, 503})  # from a server that does not say X-Not-Run: it may have run

Answered = Callable[[ForwardAnswer], None]


class CallRunner:
    """All calls for the server beside one sidecar."""

    def __init__(self, context: ProxyContext, queue: ServerQueue, key_claims: KeyClaims) -> None:
        self._context, self._queue, self._key_claims = context, queue, key_claims
        self.bodies = BodyReceiver(context, self._run_remote, self._give_back)
        self.jobs: dict[CallId, Job] = {}  # calls without a key

    # --- what other sidecars ask

    def on_forward(self, link: PeerConnection, asked: Forward) -> None:
        """Another sidecar sends a call."""
        number, call = asked.number, asked.call
        if not call.size:
            self._run_remote(link, number, call)
        elif not self._queue.open or call.service != self._context.settings.service:
            link.send(ForwardAnswer.failed(number, ErrorKind.LEAVING))
        else:
            self.bodies.fetch(link, number, call, _most_wait_s(call))

    def on_cancel(self, link: PeerConnection, told: Cancel) -> None:
        """The client of a call has left."""
        call_id = (link, told.number)
        if self.bodies.drop(call_id):
            link.send(ForwardAnswer.failed(told.number, ErrorKind.REFUSED))
        else:
            self._withdraw(call_id)

    def on_load_query(self, link: PeerConnection, asked: LoadQuery) -> None:
        """Another sidecar asks how a call would fare here."""
        link.send(self.load_report(asked.number, asked.route, asked.size))

    def load_report(self, number: int, route: str, size: int) -> LoadReport:
        """How a call would fare here."""
        queue, way_s = self._queue, self.bodies.way_s(size)
        return LoadReport(
            number, queue.takes_calls(), queue.wait(), queue.pace(route), way_s, queue.failure_rate()
        )

    def _run_remote(self, link: PeerConnection, number: int, call: Call) -> None:
        def answered(answer: ForwardAnswer) -> None:
            link.send(self._with_load(answer, call.route))

        self._run(call, (link, number), answered, lambda: link.send(Overdue(number)))

    def _give_back(self, link: PeerConnection, number: int, call: Call) -> None:
        link.send(self._with_load(ForwardAnswer.failed(number, ErrorKind.FULL), call.route))

    def _with_load(self, answer: ForwardAnswer, route: str) -> ForwardAnswer:
        """What each answer tells of the server here besides: seconds that a call waits, and works; the part
        of calls that fail here of late."""
        queue = self._queue
        return msgspec.structs.replace(
            answer, wait_s=queue.wait(), work_s=queue.pace(route), failure_rate=queue.failure_rate()
        )

    # --- what this sidecar's own requests ask

    @property
    def inline_limit(self) -> int:
        """Bytes of a body that goes with its call."""
        return self.bodies.receive_window.inline_limit

    def run_local(self, number: int, call: Call, answered: Answered, overdue: Callable[[], None]) -> None:
        """Run a call that began here."""
        self._run(call, (None, number), answered, overdue)

    def withdraw_local(self, number: int) -> None:
        """Nobody waits any more for a call that began here."""
        self._withdraw((None, number))

    def _withdraw(self, call_id: CallId) -> None:
        job = self.jobs.get(call_id)
        if job is not None:
            self._queue.withdraw(job)

    # --- running

    def _run(self, call: Call, call_id: CallId, answered: Answered, overdue: Callable[[], None]) -> None:
        """Have a call run by the server; `answered` hears its end once."""
        queue, context = self._queue, self._context
        if call.service != context.settings.service or not queue.open:
            answered(ForwardAnswer.failed(call_id[1], ErrorKind.LEAVING))
            return
        context.open_calls += 1
        token = f"{context.me}/{context.life}/{context.fresh()}" if call.key else ""
        ended = partial(self._ended, call, call_id, token, answered)
        now = context.now()
        due, last = self._latest_starts(now, call)
        job = Job(_maker(call), call.attempt_id, now + call.remaining_s, due, last, ended, call.route)
        job.priority = call.priority
        if call.repeatable:
            job.on_overdue, job.repeatable = overdue, True
        if call.key:
            self.claim(call_id[1], call.key, token, call.remaining_s, _claim_limit_s(call), job, answered)
        else:
            self.jobs[call_id] = job
            queue.submit(job)

    def _latest_starts(self, now: float, call: Call) -> tuple[float, float]:
        """The last start for an answer that is most likely within the aim, as times scatter, and the last
        for one at all: a part of what is left, as a client that is refused may still be served elsewhere,
        and little beyond the aim, as what waits for long makes all behind it late."""
        most = now + _most_wait_s(call)
        # What was lost for longer than its aim, as while everybody was down, is worth less than any that can
        # be in time: it goes when none of those waits.
        if call.past_target:
            return now, max(now, most)
        wait_s = max(call.target_s - SCATTER * self._queue.takes(call.route), call.target_s * PATIENCE)
        # Whoever was refused before goes first: refused once more, its client has waited for nothing.
        wait_s *= RETURNED_PART if call.is_retry else 1.0
        due = now + min(wait_s, call.remaining_s * MOST_WAIT_PART)
        return due, max(due, most)

    def _ended(
        self,
        call: Call,
        call_id: CallId,
        token: str,
        answered: Answered,
        error: ErrorKind | None,
        arrived: bool,
        reply: Reply | None,
    ) -> None:
        """The server has answered a call, or will not."""
        self._context.open_calls -= 1
        self.jobs.pop(call_id, None)
        found = classify_reply(error, reply)
        if call.key:
            self.close_key(call.key, token, found, reply)
        if found is not None or reply is None:
            answered(ForwardAnswer.failed(call_id[1], found or ErrorKind.BROKEN, arrived))
        else:
            headers = heads.returned(reply.headers)
            answered(ForwardAnswer(call_id[1], 0, arrived, reply.status, headers, reply.body))

    # --- operations with a key

    def claim(
        self, number: int, key: str, token: str, left_s: float, limit_s: float, job: Job, answered: Answered
    ) -> None:
        """Have a key granted by enough controllers; only then the call may go. Where that takes long, as
        behind a cut, the call is given back for another sidecar to try, and for a while all others at
        once."""

        def decided(verdict: Verdict, answer: Any) -> None:
            if verdict == Verdict.RUN:
                self._queue.submit(job)
                return
            self._context.open_calls -= 1
            if verdict == Verdict.REPEAT:
                status, headers, body = answer
                pairs = [(bytes(name), bytes(value)) for name, value in headers]
                answered(ForwardAnswer(number, 0, False, status, pairs, body))
            else:
                answered(ForwardAnswer.failed(number, ERROR_OF.get(verdict, ErrorKind.REFUSED)))

        if self._key_claims.paused:
            self._context.open_calls -= 1
            answered(ForwardAnswer.failed(number, ErrorKind.REFUSED))
        else:
            self._key_claims.claim(key, token, left_s, limit_s, decided)

    def close_key(self, key: str, token: str, error: ErrorKind | None, reply: Reply | None) -> None:
        """An operation with a key is over."""
        if error is None and reply is not None:
            answer = [reply.status, heads.returned(reply.headers), reply.body]
            self._key_claims.done(key, token, answer)
        elif error in PROMISES:
            self._key_claims.free(key, token)
        else:
            self._key_claims.broke(key, token)


def classify_reply(error: ErrorKind | None, reply: Reply | None) -> ErrorKind | None:
    """What a client may be told of an outcome; None where the reply is the server's whole answer."""
    if error is not None or reply is None:
        return error or ErrorKind.BROKEN
    coded = reply.header(b"content-encoding") is not None
    sealed = reply.header(b"x-server-seal") is not None
    if (200 <= reply.status < 300 and not sealed) or coded or reply.status in NO_PROMISE:
        return ErrorKind.BROKEN
    if reply.status < 200 or 300 <= reply.status < 400:
        return ErrorKind.BROKEN
    return None


def _most_wait_s(call: Call) -> float:
    """How long a call may wait unsent at one server."""
    return min(call.remaining_s * MOST_WAIT_PART, call.target_s * BEYOND_AIM)


def _claim_limit_s(call: Call) -> float:
    """How long the claim of a call's key may take."""
    return max(LEAST_CLAIM_S, call.target_s * PATIENCE)


def _maker(call: Call) -> Callable[[float, str], bytes]:
    """What makes a call's bytes for the server, once it is known how much time is left and which instance
    is meant."""
    head = heads.forwarded(call.method, call.target, list(call.headers), call.body)

    def make(left_s: float, instance: str) -> bytes:
        told = b"X-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\nX-Caller-Service: %s\r\n\r\n" % (
            max(1, int(left_s * 1000)),
            instance.encode(),
            call.caller.encode(),
        )
        return head + told + call.body

    return make
