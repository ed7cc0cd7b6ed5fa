"""Retries after failed attempts, and replacement of attempts that hang."""

from __future__ import annotations

from dunefield.probed_selection import ProbedSelection
from dunefield.shared_state import SharedState
from dunefield.interface import CancelAttempt
from dunefield.server_selection import ServerSelection
from dunefield.attempt_rules import AttemptRules
from dunefield.latency_model import LatencyModel
from dunefield.state import Attempt, Call
from dunefield.server_health import ServerHealth

RETRY_RATIO = 0.2  # retry tokens earned by one request
OVERTAKEN_LIMIT = 2  # later calls answered first before an attempt counts as hanging: one may be chance


class Retries:
    """Sends retries within a token budget."""

    def __init__(self, state: SharedState, latencies: LatencyModel, health: ServerHealth,
                 rules: AttemptRules, selection: ServerSelection, probed: ProbedSelection) -> None:
        self._state, self._latencies, self._health = state, latencies, health
        self._rules, self._selection, self._probed = rules, selection, probed
        self._may_cancel, self._tokens = state.settings.limits.cancel, 1.0 / RETRY_RATIO

    def add_tokens(self) -> None:
        """Earns retry tokens for a new request."""
        self._tokens = min(self._tokens + RETRY_RATIO, 2.0 / RETRY_RATIO)

    def retry(self, now: int, call: Call, refund: bool) -> None:
        """Sends another attempt if class, time and tokens allow, else ends the call."""
        self._tokens += refund
        latest = call.deadline if call.request_class.late_value > 0 else call.target_at
        if (not call.body_discarded and self._tokens >= 1.0
                and now + call.expected_ns * self._latencies.slowdown / 2 < latest):
            if self._state.probe_calls and (call.ran_on is None or call.request_class.retry_safety == "free"):
                self._tokens -= 1.0
                self._probed.probe_servers(now, call)
                return
            server, trial, _ = self._selection.select(now, call)
            if server is not None and self._rules.send(now, call, server, trial):
                self._tokens -= 1.0
                return
        self._rules.finish(call, call.request_class.target_ns // 8)

    def cancel_overtaken(self, now: int, answered: Attempt) -> None:
        """Exception "overtaken": an attempt whose server has answered calls sent later probably hangs on a
        silent connection. If it may run twice and time is left, it is cancelled and sent to another server.
        Also covers lost responses and requests. Some work is done twice where servers handle many calls at a
        time whose durations differ widely."""
        state = self._state
        for (request_id, attempt_number), attempt in answered.server.open_attempts.items():
            if attempt.sent_at < answered.sent_at:
                attempt.overtaken += 1
                call = state.calls.get(request_id)
                if (
                    attempt.overtaken == OVERTAKEN_LIMIT and call is not None
                    and call.request_class.retry_safety == "free"
                    and self._may_cancel and self._tokens >= 1.0 and now + state.tick_ns < call.give_up_at):
                    self._health.record_timeout(now, attempt)
                    state.actions.append(CancelAttempt(request_id, attempt_number))
