"""Selection of servers by probing them before each call."""

from __future__ import annotations

import math

from dunefield.shared_state import PROBES_PER_ROUND, NOT_EJECTED, SharedState
from dunefield.overload import OverloadEstimate
from dunefield.admission_queue import AdmissionQueue
from dunefield.interface import AttemptOutcome, ProbeResult, ProbeServer
from dunefield.server_selection import ServerSelection
from dunefield.attempt_rules import AttemptRules
from dunefield.latency_model import LatencyModel
from dunefield.state import Call, Server
from dunefield.server_health import UNKNOWN_LOAD, ServerHealth

PROBE_ROUNDS = 2  # rounds of probes before a busy server is accepted


class ProbedSelection:
    """Sends probes and handles their results."""

    def __init__(self, state: SharedState, overload: OverloadEstimate, latencies: LatencyModel,
                 health: ServerHealth, rules: AttemptRules, selection: ServerSelection,
                 queue: AdmissionQueue) -> None:
        self._state, self._overload, self._latencies, self._health = state, overload, latencies, health
        self._rules, self._selection, self._queue = rules, selection, queue

    def probe_servers(self, now: int, call: Call) -> None:
        """Exception "probed pick": if probes bring load reports cheaply, candidates are probed first."""
        health, selection = self._health, self._selection
        call.probe_rounds += 1
        call.best_server, call.shortest_queue, call.pending_probes = None, math.inf, 0
        # If all servers are ejected, the cause is shared: probe them all the same.
        all_ejected = all(self._is_ejected(now, s, call) for s in self._state.up_servers)
        for _ in range(2 * PROBES_PER_ROUND):
            server = selection.draw(call, 0)
            if server is None or call.pending_probes == PROBES_PER_ROUND:
                break
            if call in server.probe_waiters or server in call.tried_servers:
                continue
            if (not all_ejected and self._is_ejected(now, server, call)) or not health.admits(now, server):
                continue
            call.pending_probes += 1
            if not server.probe_waiters:  # else this call shares the probe in flight
                self._state.actions.append(ProbeServer(server.name))
            server.probe_waiters.append(call)
        self._queue.enqueue(now, call)  # a probe result may come too late, or never

    def _is_ejected(self, now: int, server: Server, call: Call) -> bool:
        """Whether a server is ejected, or, Exception "unanswered class", is so for the class of this call."""
        return now < max(server.ejected_until, server.ejected_classes.get(call.class_index, NOT_EJECTED)[0])

    def handle_probe_result(self, now: int, event: ProbeResult) -> None:
        """Handles a probe result, and sends the calls that waited for it."""
        state, health = self._state, self._health
        server = state.servers.get(event.server)
        if server is None:
            return
        probe_waiters, server.probe_waiters = server.probe_waiters, []
        if state.probe_ejected:
            if health.handle_probe_result(now, server, event):
                self.dispatch_queued(now)
            return
        if event.outcome == AttemptOutcome.OK:
            server.last_response_at = now
            # Without a load report the server is assumed to be busy, never idle.
            server.load = event.load.get("inflight", event.load.get("queue", max(server.load, UNKNOWN_LOAD)))
        elif event.outcome == AttemptOutcome.ERROR or (
            event.outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECT_FAILED)
            and health.record_failure(now, server, now - event.latency_ns)):
            server.ejected_until = now + state.horizon_ns  # draining, down, unreachable or stalled
        # Other outcomes say nothing about the server: stale connection, unreadable response, no descriptor.
        for call in probe_waiters:
            if not call.pending_probes or call.request_id not in state.calls:
                continue
            call.pending_probes -= 1
            if event.outcome == AttemptOutcome.OK:
                call.shortest_queue = min(call.shortest_queue, event.load.get("queue", call.shortest_queue))
            if event.outcome == AttemptOutcome.OK and health.admits(now, server):
                best = call.best_server
                wait = (server.load + 1.0) * self._latencies.server_slowdown(now, server)
                if best is None or wait < call.best_wait:
                    call.best_server, call.best_wait = server, wait
            if call.pending_probes <= 1 or (call.best_server is not None and call.best_server.load < 1.0):
                call.pending_probes = 0
                self._choose_server(now, call)

    def _choose_server(self, now: int, call: Call) -> None:
        """Sends to the best probed server if it can respond in time; else probes again or queues."""
        server = call.best_server
        if server is not None and server.load >= 1.0 and call.probe_rounds % PROBE_ROUNDS:
            self.probe_servers(now, call)
            return
        if call.shortest_queue < math.inf:
            self._overload.record_queue(now, call.shortest_queue)
        if server is not None:
            slowdown = max(self._latencies.slowdown, self._latencies.server_slowdown(now, server))
            expected = (server.load + 1.0) * call.expected_ns * slowdown
            # Costs nothing, and is the only way to correct the estimate of a server that was slow before. A
            # drawback if a stalled server reports that it is idle.
            idle = server.load < 1.0
            trial = server.available_index < 0 and server.trial_allowed(now)
            if (idle or now + expected <= call.target_at) and self._rules.send(now, call, server, trial):
                return
        self._queue.enqueue(now, call)

    def dispatch_queued(self, now: int, timer_fired: bool = False) -> None:
        """Dispatches queued calls in arrival order, or probes for them again; ends expired ones."""
        if self._state.queued_calls or timer_fired:
            for call in self._queue.dispatch_queued(now, timer_fired):
                self.probe_servers(now, call)
            self._queue.start_timer()
