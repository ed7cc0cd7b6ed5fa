"""Selection of the server for a call."""

from __future__ import annotations

from dunefield.shared_state import NOT_EJECTED, SharedState
from dunefield.interface import ProbeServer
from dunefield.attempt_rules import AttemptRules
from dunefield.server_subset import ServerSubset
from dunefield.latency_model import LatencyModel
from dunefield.state import Call, Server
from dunefield.server_health import ServerHealth
from dunefield.budget import MAX_STEPS

MAX_DRAWS = 12  # random draws before falling back on a trial that grows a full budget
MAX_DISTANCE_PENALTY = 2  # largest increase of the expected time, as a multiple of it, outside the home range


class ServerSelection:
    """Selects servers by own calls in flight and expected response time."""

    def __init__(self, state: SharedState, subset: ServerSubset, latencies: LatencyModel,
                 health: ServerHealth, rules: AttemptRules) -> None:
        self._state, self._subset, self._latencies = state, subset, latencies
        self._health, self._rules, self._random = health, rules, state.random
        self._zone, self._replicas, prices = (
            state.settings.zone, state.settings.replicas, state.settings.prices)
        self._cross_zone, self._handshake = prices.get("crossZone", 0.0), prices.get("handshake", 0.0)
        self._compare_subset, self._idle_limit_ns, self._probe_ejected = (
            state.use_subset and not state.probe_calls, state.idle_limit_ns, state.probe_ejected)

    def _expected_time(self, server: Server, call: Call, now: int) -> float:
        """Returns the expected response time, with prices converted into time."""
        expected = call.expected_ns * self._latencies.server_slowdown(now, server)
        if server.zone != self._zone:
            expected += self._cross_zone * call.request_class.target_ns
        if server.in_flight >= server.open_connections or now - server.last_used_at > self._idle_limit_ns:
            expected += self._handshake * call.request_class.target_ns
        return expected

    def draw(self, call: Call, turn: int) -> Server | None:
        """Draws a random server from the group that a retry is bound to, else from this sidecar's subset."""
        subset = self._subset
        if (call.ran_on is not None and call.request_class.retry_safety == "guarded"
                and call.request_class.retry_scope != "all"):
            bound = call.ran_on
            members = subset.groups.get(
                bound.cell if call.request_class.retry_scope == "cell" else -1 - bound.zone)
            return members[int(self._random() * len(members))] if members else None
        size = subset.size_for(call, turn // 4)
        return subset.preference_order[int(self._random() * size)] if size else None

    def select(self, now: int, call: Call) -> tuple[Server | None, bool, float]:
        """Returns the less loaded of two random servers, whether it gets a trial, and the expected time."""
        if self._compare_subset and (call.ran_on is None or call.request_class.retry_safety != "guarded"):
            found = self.select_from_subset(now, call)
            if found is not None:
                return found
        state, health = self._state, self._health
        best: Server | None = None
        best_time = 0.0
        drawn = 0
        for turn in range(MAX_DRAWS):
            server = self.draw(call, turn)
            if server is None:
                return None, False, 0.0
            if server is best or server in call.tried_servers:
                continue
            if server.weight < self._subset.max_weight * self._random():
                continue  # Exception "listed weight": servers are drawn in proportion to their weights
            if turn < MAX_DRAWS - 2 and now < server.ejected_classes.get(call.class_index, NOT_EJECTED)[0]:
                # Exception "unanswered class": a server may fail one class only, which its budget does not
                # show. The last draws include it, or a common cause would leave the class without a server.
                continue
            if not health.admits(now, server):
                continue
            if not server.steps:
                return server, True, 0.0
            time = self._expected_time(server, call, now)
            drawn += 1
            if best is None or (server.in_flight, time) < (best.in_flight, best_time):
                best, best_time = server, time
            if drawn == 2:
                break
        if best is None and not state.available and state.up_servers:
            server = state.up_servers[int(self._random() * len(state.up_servers))]
            grows = 0 < server.steps < MAX_STEPS and server.trial_allowed(now) and health.is_warm(server, now)
            if grows and self._rules.may_send(now, call, server):
                return server, True, 0.0  # all budgets are full: one queued call is sent as a trial
        return best, False, best_time

    def select_from_subset(self, now: int, call: Call) -> tuple[Server, bool, float] | None:
        """Exception "own subset": compares the whole subset, as two random draws may miss an idle server."""
        subset, health, random = self._subset, self._health, self._random
        best: Server | None = None
        best_key = (0, 0.0)
        best_time = 0.0
        size = subset.size_for(call, 0)
        usable = 0
        # Exception "home": few other sidecars prefer the first servers of this order, so own calls in flight
        # show their load well. A drawback where a few sidecars send nearly all requests.
        order = subset.preference_order
        home = max(1, -(-len(order) // self._replicas))
        first = int(random() * home) if home > 1 else 0  # ties go to the first server found
        for place in range(len(order)):
            if usable >= size:
                break
            server = order[(place + first) % home if place < home else place]
            if (server in call.tried_servers
                    or now < server.ejected_classes.get(call.class_index, NOT_EJECTED)[0]):
                continue
            if server.weight < subset.max_weight * random() or not health.admits(now, server):
                continue
            if not server.steps:
                if not self._probe_ejected or server.last_was_error:
                    return server, True, 0.0  # a probe would not show whether the errors go on
                server.trial_in_flight = True
                self._state.actions.append(ProbeServer(server.name))
                continue
            usable += 1
            time = self._expected_time(server, call, now)
            key = (server.in_flight, time * (1 + min(MAX_DISTANCE_PENALTY, max(0, place - home + 1))))
            if best is None or key < best_key:
                best, best_key, best_time = server, key, time
        return None if best is None else (best, False, best_time)
