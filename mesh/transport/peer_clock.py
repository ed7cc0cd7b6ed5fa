"""A lower bound on the clock of a peer, from the timestamps that it sends. No I/O.

The clocks of two machines have nothing in common but their rate. A timestamp of the peer, received `d`
seconds after it was sent, shows an offset between the clocks that is too great by `d`. The least offset seen
therefore puts the peer's clock too early, never too late, and by no more than the fastest timestamp took.
"""

from __future__ import annotations

from collections import deque

MAX_TIMESTAMPS = 4  # the latest ones count: over time the clocks of two machines drift apart
TIMESTAMP_INTERVAL_S = 30.0  # age of the last timestamp after which another one is requested


class PeerClock:
    """Estimates the clock of one peer. Times are in seconds, of monotonic clocks."""

    def __init__(self) -> None:
        self._offsets: deque[float] = deque(maxlen=MAX_TIMESTAMPS)  # own time less the peer's
        self._updated_at = 0.0

    def on_timestamp(self, now: float, sent_at: float) -> None:
        """Takes a timestamp of the peer, received now."""
        self._offsets.append(now - sent_at)
        self._updated_at = now

    def earliest(self, now: float) -> float | None:
        """Returns a time that the peer's clock has reached, or None before the first timestamp."""
        return now - min(self._offsets) if self._offsets else None

    def needs_timestamp(self, now: float) -> bool:
        """Whether the peer has sent timestamps, but none for `TIMESTAMP_INTERVAL_S`."""
        return bool(self._offsets) and now >= self._updated_at + TIMESTAMP_INTERVAL_S
