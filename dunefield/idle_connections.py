"""Limit of how long idle connections are reused."""

from __future__ import annotations

from dunefield.shared_state import SharedState
from dunefield.interface import CloseIdleConnections
from dunefield.state import Server


class IdleConnections:
    """Learns from resets and responses how long a connection may be idle."""

    def __init__(self, state: SharedState) -> None:
        self._state, self._idle_limit_ns, self._horizon_ns = state, state.idle_limit_ns, state.horizon_ns
        self._current_limit_ns = state.idle_limit_ns  # connections idle for longer are not used
        self._lowered_until = 0  # until when a limit below the settings' holds
        self._proven_idle = (0, 0)  # longest idle time before a recent response; until when it counts

    def record_success(self, now: int, idle_ns: int) -> None:
        """Records a response on a connection that had been idle for `idle_ns`."""
        if now >= self._proven_idle[1] or idle_ns > self._proven_idle[0]:
            self._proven_idle = idle_ns, now + 8 * self._horizon_ns

    def on_reset(self, now: int, idle_ns: int, latency_ns: int) -> bool:
        """Exception "stale connection": returns whether a reset is due to a stale connection, not the server:
        it came sooner after the send than the connection had been idle. Connections are then closed before
        use from half that idle time on. Also covers crashes seen late; a drawback if handshakes are
        expensive. If longer idle ones got responses lately, new connections would be reset too."""
        proven_ns = self._proven_idle[0] if now < self._proven_idle[1] else 0
        if idle_ns <= max(latency_ns, proven_ns):
            return False
        self._current_limit_ns = min(self._current_limit_ns, max(proven_ns, idle_ns // 2))
        self._lowered_until = now + 8 * self._horizon_ns
        return True

    def record_use(self, now: int, server: Server) -> None:
        """Records that a connection is used; one that has been idle for too long is closed first."""
        if now >= self._lowered_until:
            self._current_limit_ns = self._idle_limit_ns
        server.idle_ns = 0 if server.in_flight or not server.last_used_at else now - server.last_used_at
        if server.idle_ns > self._current_limit_ns:
            if self._current_limit_ns < self._idle_limit_ns:
                self._state.actions.append(CloseIdleConnections(server.name))
            server.idle_ns = server.open_connections = 0  # a new connection: proves nothing about idling
        server.last_used_at = now
