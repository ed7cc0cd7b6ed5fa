"""Admission queue: dispatches calls, queues them in arrival order, and sheds load."""

from __future__ import annotations

from dunefield.shared_state import SharedState
from dunefield.overload import OverloadEstimate
from dunefield.request_rates import RequestRates
from dunefield.interface import StartTimer
from dunefield.server_selection import ServerSelection
from dunefield.attempt_rules import AttemptRules
from dunefield.latency_model import LatencyModel
from dunefield.state import Call

QUEUE_TIMER_TAG = 1  # tag of the timer for queued calls; 0 is the server list's
MAX_TIME_SHARE = 0.8  # of the time left, less the overload level: response times vary
MAX_TIME_SHARE_HIGH = 1.2  # for calls above the mean value, whose refusal costs the most


class AdmissionQueue:
    """Queues calls while all servers are full, and sheds calls under overload."""

    def __init__(self, state: SharedState, rates: RequestRates, overload: OverloadEstimate,
                 latencies: LatencyModel, rules: AttemptRules, selection: ServerSelection) -> None:
        self._state, self._rates, self._overload, self._latencies = state, rates, overload, latencies
        self._rules, self._selection = rules, selection
        self._tick_ns, self._probe_calls, self._random = state.tick_ns, state.probe_calls, state.random
        self._response_margin_ns = 2 * state.settings.period_ns  # before the client's timeout
        self._mean_value = sum(c.value for c in state.settings.classes) / len(state.settings.classes)
        self._timer_started = False  # whether a TimerFired for queued calls is due

    def should_shed(self, now: int, class_index: int, expected_ns: float) -> bool:
        """Exception "shedding": returns whether to shed a call, as the fleet is slower than without overload.
        Calls of the least value go first; each sidecar draws for itself, so the total changes smoothly."""
        state = self._state
        expected = (self._rates.response_rate + self._rates.request_rate) / 2 * expected_ns
        # Incomplete bodies are no work yet: a few slow uploads would look like overload.
        uploading = sum(1 for i in state.incomplete if state.calls[i].in_flight) if state.incomplete else 0
        return self._overload.should_shed(
            now, class_index, len(state.attempts) - uploading, expected, self._random())

    def give_up_time(self, call: Call) -> int:
        """Returns when queueing a call further has no value; always before its client's timeout."""
        latest = call.deadline - self._response_margin_ns
        if call.request_class.late_value > 0:
            return latest
        return min(latest, call.target_at - int(call.expected_ns * self._latencies.slowdown / 2))

    def _likely_late(self, now: int, call: Call, expected: float) -> bool:
        """Exception "shedding": returns whether to refuse a call, as the best server would probably respond
        after the target. Random, so that many sidecars with the same outdated data do not all act at once."""
        ratio = expected / max(1, call.target_at - now)
        level, max_fraction = self._overload.level, MAX_TIME_SHARE
        if not self._probe_calls:
            relative = call.request_class.value / self._mean_value
            # Slow responses show a loss of servers at once, late ones the load over some seconds.
            level = max(level, self._overload.marginal_cost(relative))
            level, max_fraction = (0.0, MAX_TIME_SHARE_HIGH) if relative > 1.0 else (level, MAX_TIME_SHARE)
        probability = min(0.9, (ratio - max_fraction + level) * 1.5)
        return self._random() < probability * (1.0 - call.request_class.late_value)

    def dispatch(self, now: int, call: Call) -> bool:
        """Sends or ends a call. Returns False if it must wait."""
        state = self._state
        none_active = state.up_servers and not state.active_count and now >= state.unavailable_until
        if none_active and not any(s.trial_allowed(now) for s in state.up_servers):
            state.unavailable_until = max(now + self._tick_ns, min(s.retry_at for s in state.up_servers))
        if now < state.unavailable_until and not state.active_count:
            # Every server is at 0 steps with a trial in flight or in backoff.
            self._rules.finish(call, state.unavailable_until - now)
            return True
        server, trial, expected = self._selection.select(now, call)
        if server is None:
            return False
        likely_late = not trial and self._likely_late(now, call, expected)
        if likely_late or not self._rules.send(now, call, server, trial):
            self._rules.finish(call, call.request_class.target_ns // 8)
        return True

    def enqueue(self, now: int, call: Call) -> None:
        """Appends a call to the queue, or ends it if it has no time left to wait."""
        if now + self._tick_ns >= call.give_up_at:
            self._rules.finish(call, call.request_class.target_ns // 8)
            return
        self._state.queued_calls[call.request_id] = call
        self.start_timer()

    def start_timer(self) -> None:
        """Starts the timer if calls are queued and it is not running."""
        if self._state.queued_calls and not self._timer_started:
            self._timer_started = True
            self._state.actions.append(StartTimer(self._tick_ns, QUEUE_TIMER_TAG))

    def dispatch_queued(self, now: int, timer_fired: bool) -> list[Call]:
        """Dispatches queued calls in order and ends expired ones; returns the calls to probe for."""
        queued_calls = self._state.queued_calls
        if timer_fired:
            self._timer_started = False
            for call in [c for c in queued_calls.values() if now + self._tick_ns >= c.give_up_at]:
                self._rules.finish(call, call.request_class.target_ns // 8)
        if self._probe_calls:
            return [c for c in queued_calls.values() if timer_fired and not c.pending_probes]
        while queued_calls and self.dispatch(now, next(iter(queued_calls.values()))):
            pass
        return []
