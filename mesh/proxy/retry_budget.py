"""A sidecar's share of the retry budget that all sidecars have together. No I/O.

Over any window, the arrivals at servers beyond the first of each request may total `ratio` times the requests
plus `slack`, summed over all sidecars. As each sidecar keeps within its own share of both, the sum holds even
if others are down or out of contact.
"""

from __future__ import annotations

from collections import deque

RATIO_FRACTION = 0.5  # repeated runs make calls, which count as retries at the called service


class RetryBudget:
    """Limits the retries that this sidecar sends to one service. Times are in seconds."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio, self._window, self._slack = ratio, window_s, slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Records a request for the service."""
        self._requests.append(now)
        while self._requests and self._requests[0] < now - self._window:
            self._requests.popleft()

    def try_acquire(self, now: float, sidecars: int) -> bool:
        """Returns whether a retry is permitted, and counts it if so."""
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
        # A window full of retries may hold those earned by requests of two windows: only half of them count.
        limit = RATIO_FRACTION * self._ratio * len(self._requests) + self._slack / (2.0 * max(1, sidecars))
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True
