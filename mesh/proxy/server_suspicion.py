"""Tells whether the server beside a sidecar seems to be dead. No I/O; times are seconds.

Nothing that has to be safe depends on it: it only decides when the server's key ranges are moved elsewhere.
"""

from __future__ import annotations

MAX_FAILURES = 3  # connections in a row that were refused or reset, with no sign of life since
MAX_SILENT_HEARTBEATS = 2.5  # intervals without any sign of life
SILENCE_MARGIN_S = 1.0


class ServerSuspicion:
    """Watches the signs of life of a server: its heartbeats, and its answers to calls."""

    def __init__(self, heartbeat_interval_s: float, now: float) -> None:
        self._max_silence_s = MAX_SILENT_HEARTBEATS * heartbeat_interval_s + SILENCE_MARGIN_S
        self._heard_at = now
        self._failures = 0

    def on_contact(self, now: float) -> None:
        """Notes a heartbeat or an answer."""
        self._heard_at, self._failures = now, 0

    def on_failure(self) -> None:
        """Notes a connection that was refused or reset."""
        self._failures += 1

    def is_suspected(self, now: float) -> bool:
        """Returns whether the server seems to be dead."""
        return self._failures >= MAX_FAILURES or now - self._heard_at > self._max_silence_s
