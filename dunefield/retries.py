"""Whether a call gets another attempt, after one that failed or beside one that hangs."""

from __future__ import annotations

from dunefield.asking import Asking
from dunefield.book import Book
from dunefield.interface import CancelAttempt
from dunefield.pick import Pick
from dunefield.promises import Promises
from dunefield.speeds import Speeds
from dunefield.state import Attempt, Call
from dunefield.trust import Trust

RETRY_RATIO = 0.2  # further attempts earned by one request
OVERTAKEN = 2  # later calls that are answered first while one hangs: a single one may be chance


class Retries:
    """Further attempts, and the budget for them."""

    def __init__(self, book: Book, speeds: Speeds, trust: Trust, promises: Promises, pick: Pick,
                 asking: Asking) -> None:
        self._book, self._speeds, self._trust = book, speeds, trust
        self._promises, self._pick, self._asking = promises, pick, asking
        self._cancel, self._tokens = book.settings.limits.cancel, 1.0 / RETRY_RATIO

    def earn(self) -> None:
        """A request has come."""
        self._tokens = min(self._tokens + RETRY_RATIO, 2.0 / RETRY_RATIO)

    def again(self, now: int, call: Call, free: bool) -> None:
        """Another attempt if class, time and retry budget allow, else the end; `free` earns one."""
        self._tokens += free
        limit = call.deadline if call.cls.late_value > 0 else call.aim_at
        if not call.spent and self._tokens >= 1.0 and now + call.size * self._speeds.stretch / 2 < limit:
            if self._book.probing and (call.ran_on is None or call.cls.retry_safety == "free"):
                self._tokens -= 1.0
                self._asking.ask(now, call)
                return
            server, trial, _ = self._pick.pick(now, call)
            if server is not None and self._promises.send(now, call, server, trial):
                self._tokens -= 1.0
                return
        self._promises.end(call, call.cls.target_ns // 8)

    def overtake(self, now: int, answered: Attempt) -> None:
        """Exception "overtaken": an attempt whose server has answered calls that it was sent later hangs on a
        silent connection, most likely. Where it may run twice and time is left, it is withdrawn and goes to
        another server. Covers answers lost on the way, too, and calls that a server forgot. It harms where
        servers serve many at a time and calls differ widely: some work is then done twice."""
        book = self._book
        for (request_id, number), attempt in answered.server.out.items():
            if attempt.sent < answered.sent:
                attempt.passed += 1
                call = book.calls.get(request_id)
                if (
                    attempt.passed == OVERTAKEN and call is not None and call.cls.retry_safety == "free"
                    and self._cancel and self._tokens >= 1.0 and now + book.pace < call.give_up
                ):
                    self._trust.unanswered(now, attempt)
                    book.acts.append(CancelAttempt(request_id, number))
