"""What may be sent or refused at all: rules one and two, the only place that sends, refuses or fails."""

from __future__ import annotations

from dunefield.book import Book
from dunefield.idle import Idle
from dunefield.interface import FailRequest, RefuseRequest, SendAttempt
from dunefield.state import Attempt, Call, Server


class Promises:
    """What the rules allow."""

    def __init__(self, book: Book, idle: Idle) -> None:
        self._book, self._idle, self._limits = book, idle, book.settings.limits

    def may_go(self, now: int, call: Call, server: Server) -> bool:
        """Whether the class and the limits allow a further attempt on this server."""
        cls = call.cls
        if not server.up or call.begun or call.spent or now >= call.deadline:
            return False
        if call.attempts >= self._limits.max_attempts or (call.out and not self._limits.hedging):
            return False
        if cls.retry_safety == "free":
            return True
        if call.out and cls.retry_safety != "guarded":
            return False
        ran_on, ran_at = call.ran_on, call.ran_at
        if ran_on is None:
            return not call.out  # no second copy of what is not free before the first is known to have run
        if cls.retry_safety != "guarded" or now >= ran_at + cls.retry_window_ns:
            return False
        if cls.retry_scope == "zone":
            return server.zone == ran_on.zone
        return cls.retry_scope == "all" or (cls.retry_scope == "cell" and server.cell == ran_on.cell)

    def may_refuse(self, call: Call) -> bool:
        """Whether telling the client that a retry is harmless would be true."""
        if call.cls.retry_safety == "free" or (call.ran_on is None and not call.out):
            return True
        return call.cls.retry_safety == "guarded" and call.cls.retry_scope == "all"

    def send(self, now: int, call: Call, server: Server, trial: bool) -> bool:
        """Start an attempt if the rules allow it there; every send passes here."""
        if not self.may_go(now, call, server):
            return False
        book = self._book
        self._idle.touch(now, server)
        server.peak = max(server.peak, server.inflight + 1)
        attempt = book.attempts[call.request_id, call.attempts] = Attempt(server, trial, now, call)
        server.out[call.request_id, call.attempts] = attempt
        call.attempts += 1
        call.out += 1
        call.tried.append(server)
        server.inflight += 1
        server.credit -= 1.0
        server.trial = server.trial or trial
        server.load += 1.0
        book.held.pop(call.request_id, None)
        book.refresh(server)
        book.acts.append(SendAttempt(call.request_id, server.name, call.deadline))
        return True

    def end(self, call: Call, hold_off: int) -> None:
        """Give the final answer: a refusal where that promise is true, else a failure."""
        book, limits = self._book, self._limits
        book.drop(call.request_id)
        if self.may_refuse(call):
            book.acts.append(RefuseRequest(
                call.request_id, min(hold_off, limits.max_retry_after_ns) * limits.retry_after))
        else:
            book.acts.append(FailRequest(call.request_id))
