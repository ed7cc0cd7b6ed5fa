"""Latency model: response times by class, by server and of the fleet, learned from own responses."""

from __future__ import annotations

from dunefield.shared_state import SharedState
from dunefield.budget import BASE_SMOOTHING
from dunefield.overload import SHEDDING_LEVEL, OverloadEstimate
from dunefield.interface import AttemptOutcome
from dunefield.state import Attempt, Server

SLOW_FACTOR = 1.5  # of the expected time: a slow response; servers that hold more may stall
FADE_DEADLINES = 32  # half-life of a server's slowdown, in longest deadlines


class LatencyModel:
    """Learns response times, and reports slow ones to the overload estimate."""

    def __init__(self, state: SharedState, overload: OverloadEstimate, now: int) -> None:
        self._state, self._overload = state, overload
        self._invariants, self._horizon_ns, self._probe_calls = (
            state.settings.invariants, state.horizon_ns, state.probe_calls)
        self._fade_ns = (8 if state.probe_calls else FADE_DEADLINES) * state.horizon_ns
        # By class: mean response time beyond the announced work without overload; samples; last update.
        self.base_times = [(c.target_ns / 4, 0, now) for c in state.classes]
        self.slowdown = 1.0  # service time as a multiple of the expected time, all servers

    def record_response(self, now: int, attempt: Attempt, latency_ns: int) -> None:
        """Learns from a response that took `latency_ns`."""
        server = attempt.server
        service_ns = latency_ns * self.warm_up_fraction(server, now)  # without the warm-up
        sample = service_ns / attempt.expected_ns
        previous = server.slowdown if server.sampled_at else self.slowdown
        server.slowdown, server.sampled_at = previous + (sample - previous) * BASE_SMOOTHING, now
        self.slowdown += (sample - self.slowdown) * BASE_SMOOTHING / 8
        base_time, count, updated_at = self.base_times[attempt.class_index]
        error = min(service_ns - attempt.work_ns - base_time, 2 * attempt.expected_ns)  # limits outliers
        # Weighted by time, in both directions: overload hardly moves it, and a value too low does not last.
        settling = count < 2 or (count < 32 and self._overload.level < SHEDDING_LEVEL)
        gain = max(1.0 / (count + 1) if settling else 0.0, (now - updated_at) / (64 * self._horizon_ns))
        self.base_times[attempt.class_index] = (max(0.0, base_time + error * min(gain, 1.0)), count + 1, now)
        self._overload.record_response(latency_ns / self._state.classes[attempt.class_index].target_ns)

    def record_overload_signal(self, now: int, attempt: Attempt, outcome: int, latency_ns: int) -> None:
        """Updates the overload estimate from an own outcome; a server silent to all calls counts as slow."""
        silent = outcome == AttemptOutcome.TIMEOUT and attempt.server.sampled_at < attempt.sent_at
        if self._probe_calls or not (silent or outcome in (AttemptOutcome.OK, AttemptOutcome.FULL)):
            return  # probe results show it better
        self._overload.record_slow(
            now, outcome != AttemptOutcome.OK or latency_ns > SLOW_FACTOR * attempt.expected_ns)

    def warm_up_fraction(self, server: Server, now: int) -> float:
        """Returns the least fraction of its capacity that a server has while it warms up."""
        rules = self._invariants
        age = now - server.started
        if server.started <= 0 or age >= rules.warm_up_ns:
            return 1.0
        return rules.cold_start_fraction + (1.0 - rules.cold_start_fraction) * max(age, 0) / rules.warm_up_ns

    def server_slowdown(self, now: int, server: Server) -> float:
        """Returns a server's slowdown, which fades to the fleet's mean without new samples."""
        if not server.sampled_at:
            return self.slowdown
        fade = self._fade_ns / (self._fade_ns + now - server.sampled_at)
        return self.slowdown + (server.slowdown - self.slowdown) * fade
