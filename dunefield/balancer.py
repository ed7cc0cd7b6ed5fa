"""Balancer of one sidecar. Settings, events and actions are defined in `dunefield/interface.py`.

By default each server has an in-flight budget of some steps times a learned concurrency. A call goes to the
less loaded of two random servers by own calls in flight, ties by expected response time; servers at their
limit are redrawn; when all are full, calls are queued, and a queued call may be sent as a server's one trial,
under a backoff shared by all its trials. Departures are marked "Exception" and listed in docs/design.md."""

from __future__ import annotations

from dunefield.probed_selection import ProbedSelection
from dunefield.shared_state import SharedState
from dunefield.overload import LATE_RETRY_LEVEL, OverloadEstimate
from dunefield.request_rates import RequestRates
from dunefield.admission_queue import QUEUE_TIMER_TAG, AdmissionQueue
from dunefield.idle_connections import IdleConnections
from dunefield.interface import (NEVER_RAN, Action, AttemptFinished, AttemptOutcome, BodyCompleted,
    BodyDiscarded, ClientDisconnected, Event, ProbeResult, RequestArrived, ResponseStarted, ServerListUpdate,
    Settings, TimerFired)
from dunefield.client_timeouts import ClientTimeouts
from dunefield.server_selection import ServerSelection
from dunefield.attempt_rules import AttemptRules
from dunefield.retries import Retries
from dunefield.server_subset import ServerSubset
from dunefield.latency_model import LatencyModel
from dunefield.state import Call
from dunefield.server_health import ServerHealth


class Balancer:
    """Decides for one sidecar: takes a clock, a seed and events, returns actions. Does no I/O."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.state = state = SharedState(settings, seed)
        self.timeouts = ClientTimeouts()
        self.rates = RequestRates(state.horizon_ns, state.tick_ns, now)
        self.overload = OverloadEstimate(state.classes, state.horizon_ns, now)
        self.server_subset = ServerSubset(state, self.rates)
        self.latencies = LatencyModel(state, self.overload, now)
        self.idle = IdleConnections(state)
        self.health = ServerHealth(state, self.rates, self.server_subset, self.latencies)
        self.rules = AttemptRules(state, self.idle)
        self.selection = ServerSelection(state, self.server_subset, self.latencies, self.health, self.rules)
        self.queue = AdmissionQueue(state, self.rates, self.overload, self.latencies, self.rules,
                                    self.selection)
        self.probed = ProbedSelection(state, self.overload, self.latencies, self.health, self.rules,
                                      self.selection, self.queue)
        self.retries = Retries(state, self.latencies, self.health, self.rules, self.selection, self.probed)

    def server_counts(self, now: int) -> tuple[int, int]:
        """Counts the listed servers, and those that get no calls: draining, backing off or ejected."""
        listed = [s for s in self.state.servers.values() if not s.gone]
        return len(listed), sum(1 for s in listed if not s.up or not s.steps or now < s.ejected_until)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handles an event at clock time `now`; returns the actions to perform, in order."""
        state = self.state
        actions: list[Action] = []
        state.actions = actions
        if isinstance(event, RequestArrived):
            self._on_request(now, event)
        elif isinstance(event, ProbeResult):
            self.probed.handle_probe_result(now, event)
        elif isinstance(event, AttemptFinished):
            self._on_attempt_finished(now, event)
        elif isinstance(event, TimerFired):
            self.server_subset.on_timer(now)
            if event.tag == QUEUE_TIMER_TAG:
                # Not recognized by time: an event at the same instant must not hide it, or calls are lost.
                self.probed.dispatch_queued(now, True)
        elif isinstance(event, ServerListUpdate):
            if self.server_subset.handle_update(now, event):
                self.probed.dispatch_queued(now)
        elif isinstance(event, ClientDisconnected):
            state.drop(event.request_id)
        elif isinstance(event, ResponseStarted) and event.request_id in state.calls:
            state.calls[event.request_id].response_started = True
        elif isinstance(event, BodyDiscarded) and event.request_id in state.calls:
            state.calls[event.request_id].body_discarded = True
        elif isinstance(event, BodyCompleted):
            state.incomplete.discard(event.request_id)
        return actions

    def _on_request(self, now: int, event: RequestArrived) -> None:
        state, queue = self.state, self.queue
        # An unknown class may be one that must never run twice: it gets the last entry.
        index = event.class_index if 0 <= event.class_index < len(state.classes) else len(state.classes) - 1
        cls = state.classes[index]
        # The client may time out before the target; a later response has no value.
        target_at = now + min(cls.target_ns + int(cls.target_work_factor * event.expected_work_ns),
                              cls.deadline_ns, event.timeout_ns)
        expected_ns = event.expected_work_ns + self.latencies.base_times[index][0]
        call = Call(event.request_id, index, cls, now + event.timeout_ns, target_at,
                    event.expected_work_ns, max(1.0, expected_ns))
        call.give_up_at = queue.give_up_time(call)
        state.calls[event.request_id] = call
        if event.body_incomplete:
            state.incomplete.add(event.request_id)
        self.rates.record_request(now)
        self.overload.record_request(index)
        self.retries.add_tokens()
        late = self.timeouts.spent(event.timeout_ns, cls.deadline_ns) >= cls.target_ns and cls.late_value <= 0
        # Exception "shedding": calls whose target passed during earlier tries are shed before all others.
        if (now >= call.give_up_at or (late and self.overload.level > LATE_RETRY_LEVEL)
                or queue.should_shed(now, index, call.expected_ns)):
            self.rules.finish(call, cls.target_ns // 8)
        elif state.probe_calls:
            self.probed.probe_servers(now, call)
        elif state.queued_calls:
            queue.enqueue(now, call)  # calls are served in arrival order
            self.probed.dispatch_queued(now)
        elif not queue.dispatch(now, call):
            queue.enqueue(now, call)

    def _on_attempt_finished(self, now: int, event: AttemptFinished) -> None:
        state = self.state
        attempt = state.attempts.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return
        server, outcome = attempt.server, event.outcome
        del server.open_attempts[event.request_id, event.attempt]
        server.in_flight -= 1
        server.last_used_at = now
        if outcome == AttemptOutcome.OK:
            server.last_response_at = now
            self.retries.cancel_overtaken(now, attempt)
            self.idle.record_success(now, attempt.idle_ns)
        stale = outcome == AttemptOutcome.RESET and self.idle.on_reset(now, attempt.idle_ns, event.latency_ns)
        if attempt.sent_at >= server.started:  # else it was sent to the previous process
            server.trial_in_flight = server.trial_in_flight and not attempt.is_trial
            if not stale:
                if outcome == AttemptOutcome.OK and event.latency_ns > 0:
                    self.rates.record_response(now)
                    self.latencies.record_response(now, attempt, event.latency_ns)
                self.latencies.record_overload_signal(now, attempt, outcome, event.latency_ns)
                self.health.record_outcome(now, attempt, outcome)
        state.update_available(server)
        call = state.calls.get(event.request_id)
        if call is not None:
            call.in_flight -= 1
            if event.closed:
                state.drop(event.request_id)
            elif outcome not in NEVER_RAN and call.ran_on is None:
                call.ran_on, call.ran_at = server, attempt.sent_at
            if not event.closed and not call.in_flight and not call.response_started:
                # Stale connections are no sign of load, fast failures cost nothing: such retries are free.
                failed_fast = outcome in NEVER_RAN and event.latency_ns < call.request_class.target_ns // 8
                self.retries.retry(now, call, stale or (state.probe_ejected and failed_fast))
        self.probed.dispatch_queued(now)
