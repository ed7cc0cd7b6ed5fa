"""The shared budget for second servers, as each sidecar's own part of it. No I/O.

Over any window, arrivals at servers beyond the first of each request may be `ratio` times the requests plus
`slack`, summed over all. A sidecar that keeps below its own share of both keeps the sum, whoever is down or
hears nobody.
"""

from __future__ import annotations

from collections import deque

PART = 0.5  # of the ratio: repeated runs make calls, which count as repeats at the called service


class RetryBudget:
    """One service's further arrivals, as far as this sidecar causes them. Times in seconds."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio, self._window, self._slack = ratio, window_s, slack
        self._asked: deque[float] = deque()
        self._spent: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """A request for the service has come."""
        self._asked.append(now)
        while self._asked and self._asked[0] < now - self._window:
            self._asked.popleft()

    def try_acquire(self, now: float, sidecars: int) -> bool:
        """Whether one further arrival is allowed, which it then counts as."""
        for times in (self._asked, self._spent):
            while times and times[0] < now - self._window:
                times.popleft()
        # A window that is full of them holds requests of this one and the one before: half of them count.
        most = PART * self._ratio * len(self._asked) + self._slack / (2.0 * max(1, sidecars))
        if len(self._spent) + 1 > most:
            return False
        self._spent.append(now)
        return True
