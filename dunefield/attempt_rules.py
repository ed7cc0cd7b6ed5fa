"""Rules for sending attempts and for final responses; nothing else sends, refuses or fails a request."""

from __future__ import annotations

from dunefield.shared_state import SharedState
from dunefield.idle_connections import IdleConnections
from dunefield.interface import FailRequest, RefuseRequest, SendAttempt
from dunefield.state import Attempt, Call, Server


class AttemptRules:
    """Checks and performs attempts and final responses."""

    def __init__(self, state: SharedState, idle: IdleConnections) -> None:
        self._state, self._idle, self._limits = state, idle, state.settings.limits

    def may_send(self, now: int, call: Call, server: Server) -> bool:
        """Returns whether the request class and the limits allow another attempt on this server."""
        cls = call.request_class
        if not server.up or call.response_started or call.body_discarded or now >= call.deadline:
            return False
        if call.attempts >= self._limits.max_attempts or (call.in_flight and not self._limits.hedging):
            return False
        if cls.retry_safety == "free":
            return True
        if call.in_flight and cls.retry_safety != "guarded":
            return False
        ran_on, ran_at = call.ran_on, call.ran_at
        if ran_on is None:
            return not call.in_flight  # no hedging until the first is known to have run
        if cls.retry_safety != "guarded" or now >= ran_at + cls.retry_window_ns:
            return False
        if cls.retry_scope == "zone":
            return server.zone == ran_on.zone
        return cls.retry_scope == "all" or (cls.retry_scope == "cell" and server.cell == ran_on.cell)

    def may_refuse(self, call: Call) -> bool:
        """Returns whether a refusal, which tells the client that a retry is safe, would be correct."""
        if call.request_class.retry_safety == "free" or (call.ran_on is None and not call.in_flight):
            return True
        return call.request_class.retry_safety == "guarded" and call.request_class.retry_scope == "all"

    def send(self, now: int, call: Call, server: Server, trial: bool) -> bool:
        """Starts an attempt if the rules allow it; every attempt is started here."""
        if not self.may_send(now, call, server):
            return False
        state = self._state
        self._idle.record_use(now, server)
        server.open_connections = max(server.open_connections, server.in_flight + 1)
        attempt = state.attempts[call.request_id, call.attempts] = Attempt(server, trial, now, call)
        server.open_attempts[call.request_id, call.attempts] = attempt
        call.attempts += 1
        call.in_flight += 1
        call.tried_servers.append(server)
        server.in_flight += 1
        server.warm_up_credit -= 1.0
        server.trial_in_flight = server.trial_in_flight or trial
        server.load += 1.0
        state.queued_calls.pop(call.request_id, None)
        state.update_available(server)
        state.actions.append(SendAttempt(call.request_id, server.name, call.deadline))
        return True

    def finish(self, call: Call, retry_after_ns: int) -> None:
        """Sends the final response: a refusal if that is correct, else a failure."""
        state, limits = self._state, self._limits
        state.drop(call.request_id)
        if self.may_refuse(call):
            state.actions.append(RefuseRequest(
                call.request_id, min(retry_after_ns, limits.max_retry_after_ns) * limits.retry_after))
        else:
            state.actions.append(FailRequest(call.request_id))
