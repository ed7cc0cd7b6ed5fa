"""Server health: budgets and trials, ejection after failures, limited traffic to cold servers."""

from __future__ import annotations

from dunefield.shared_state import NOT_EJECTED, SharedState
from dunefield.budget import MAX_STEPS
from dunefield.request_rates import RequestRates
from dunefield.interface import AttemptOutcome, ProbeResult
from dunefield.server_subset import ServerSubset
from dunefield.latency_model import LatencyModel
from dunefield.state import Attempt, Server

COLD_SHARE = 0.7  # part of the request rate, with retries, that counts at least for a cold server
UNKNOWN_LOAD = 2.0  # requests assumed to be at a server that sends no load report


class ServerHealth:
    """Updates the health of servers from outcomes and probes, and decides which may get calls."""

    def __init__(self, state: SharedState, rates: RequestRates, subset: ServerSubset,
                 latencies: LatencyModel) -> None:
        self._state, self._rates, self._subset, self._latencies = state, rates, subset, latencies
        self._horizon_ns, self._probe_calls, self._probe_ejected = (
            state.horizon_ns, state.probe_calls, state.probe_ejected)
        self._warm_up_ns = state.settings.invariants.warm_up_ns

    def record_outcome(self, now: int, attempt: Attempt, outcome: int) -> None:
        """Updates the server's budget after an outcome, and ejects the server if need be."""
        server = attempt.server
        if outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.MOOT):
            return  # cancelled or never sent: says nothing about the server
        broken = outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET)
        if broken and not self.record_failure(now, server, attempt.sent_at) and not self._probe_ejected:
            return
        failed = outcome != AttemptOutcome.OK
        before = server.steps
        if self._probe_ejected and failed and not attempt.is_trial:
            self._eject_after_failure(now, attempt, outcome)
        elif attempt.is_trial:
            if failed:
                server.back_off(now, self._horizon_ns, 8 * self._horizon_ns, self._state.random)
            else:
                server.add_step()
        elif broken and server.steps:
            server.halve_steps()
        if outcome == AttemptOutcome.FULL:
            server.lower_concurrency()
        elif outcome == AttemptOutcome.TIMEOUT:
            self.record_timeout(now, attempt)
        elif not failed:
            server.ejected_classes.pop(attempt.class_index, None)
            server.raise_concurrency()
        repeated, server.last_was_error = server.last_was_error, outcome == AttemptOutcome.ERROR
        if server.last_was_error and repeated and self._may_eject():
            # Exception "conviction": failing servers respond fast, look idle and would attract all calls. Not
            # at a first error: healthy servers return some too, and a small fleet would lose them needlessly.
            server.steps = 0
        if before and not server.steps:
            self._state.active_count -= server.up
            if not attempt.is_trial:
                server.start_backoff(now, 0 if self._probe_ejected else self._horizon_ns, self._state.random)
        elif server.steps and not before:
            self._state.active_count += server.up

    def _eject_after_failure(self, now: int, attempt: Attempt, outcome: int) -> None:
        """Exception "suspicion": a sidecar with only its own few calls ejects a server at the first failure
        and probes it before using it again. Further calls would be lost to learn the same, and a server that
        rejects everything looks idle and attracts them. Half of the fleet is kept in any case."""
        server = attempt.server
        if outcome == AttemptOutcome.FULL and server.in_flight:
            return  # full of own calls: lowering the concurrency is enough
        if outcome == AttemptOutcome.TIMEOUT and server.last_response_at > attempt.sent_at:
            return  # it has responded to other calls since
        if not server.steps or not self._may_eject():
            return
        server.steps = 0
        server.backoff = int(2 * attempt.expected_ns) if outcome == AttemptOutcome.FULL else self._horizon_ns
        if outcome == AttemptOutcome.TIMEOUT and not self.record_failure(now, server, attempt.sent_at):
            # Probably just late: an immediate probe brings it back before others have to take its load. After
            # a repeated failure a probe alone proves too little.
            server.backoff = 0
        server.backoff = min(server.backoff, self._horizon_ns)

    def handle_probe_result(self, now: int, server: Server, event: ProbeResult) -> bool:
        """Handles the probe of an ejected server: readmits it if no queue is reported. False if outdated."""
        if not server.trial_in_flight or server.steps:
            return False  # from before a restart; a call may be the trial by now
        server.trial_in_flight = False
        queue = event.load.get("queue", 0.0)
        if event.outcome == AttemptOutcome.OK and queue < UNKNOWN_LOAD:
            server.steps, server.backoff, server.retry_at = 1, 0, 0
            self._state.active_count += server.up
        elif event.outcome == AttemptOutcome.OK:
            # Healthy, but busy for about as long as its queue takes.
            server.backoff = 0
            server.retry_at = now + int(queue * self._state.tick_ns * 4 * (0.75 + 0.5 * self._state.random()))
        else:  # includes connect timeouts and a lack of own file descriptors
            server.back_off(now, self._horizon_ns, 4 * self._horizon_ns, self._state.random)
        self._state.update_available(server)
        return True

    def record_timeout(self, now: int, attempt: Attempt) -> None:
        """Ejects a server for the class of an attempt that timed out. With probed calls only from the second
        timeout since its last response to the class, as a single connection may have failed silently."""
        ejected_classes = attempt.server.ejected_classes
        ejects = attempt.class_index in ejected_classes or not self._probe_calls
        pause = min(max(2 * ejected_classes.get(attempt.class_index, NOT_EJECTED)[1], self._horizon_ns),
                    8 * self._horizon_ns)
        ejected_classes[attempt.class_index] = (now + pause if ejects else 0, pause)

    def record_failure(self, now: int, server: Server, sent_at: int) -> bool:
        """Exception "broken connection": records a failure and returns whether it counts against the server:
        a healthy one may lose connections; a dead or stalled process fails again without responding."""
        if server.last_response_at > sent_at:
            return False
        repeated = server.last_failure_at > server.last_response_at
        server.last_failure_at = now
        return repeated

    def _may_eject(self) -> bool:
        """False if most servers look bad: the cause is shared, and ejecting more only costs capacity."""
        return 2 * self._state.active_count > len(self._state.up_servers)

    def is_warm(self, server: Server, now: int) -> bool:
        """Exception "cold ramp": whether a server is warm or has credit for a call. Credit grows by its least
        warm-up fraction of the own response rate per server: retry storms multiply requests, not responses. A
        part of the request rate is the minimum, or a fleet that is all cold would get nothing."""
        if server.started <= 0 or now - server.started >= self._warm_up_ns:
            return True
        fraction = self._latencies.warm_up_fraction(server, now)
        if fraction >= 1.0:
            return True
        rates = self._rates
        rate = fraction * max(rates.current_rate(now), COLD_SHARE * rates.mean_rate) / self._subset.size
        server.warm_up_credit = min(1.0, server.warm_up_credit + rate * (now - server.warm_up_credit_at))
        server.warm_up_credit_at = now
        return server.warm_up_credit >= 1.0

    def admits(self, now: int, server: Server) -> bool:
        """Returns whether a server is under its limit or may get a trial, and is warm enough. If all servers
        are at their limits, a trial may exceed one: with probed calls if the server reports fewer calls than
        are in flight here, as some then hang on silent connections; else ServerSelection decides."""
        if not server.up:
            return False
        if server.available_index < 0:
            hangs = server.load + 0.5 < server.in_flight
            grows = self._probe_calls and hangs and not self._state.available and server.steps < MAX_STEPS
            if (server.steps and not grows) or not server.trial_allowed(now):
                return False
        return self.is_warm(server, now)
