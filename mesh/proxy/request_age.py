"""Estimates how long ago a client first sent a request, from the remaining time that it announces. No I/O.

A client announces its remaining time with each attempt. The first attempt has all of it, which is the maximum
announced recently on the route; what a later attempt lacks has already passed. The route's timeout stands in
for the maximum only until there are enough samples: operators change it, and clients need not follow.
"""

from __future__ import annotations

WINDOW_SAMPLES = 64  # attempts after which the maximum of the previous window is dropped
MIN_SAMPLES = 16  # below which the maximum is not reliable


class RequestAges:
    """Tracks the attempts of one route. Times are in seconds."""

    __slots__ = ("_previous_max", "_current_max", "_count")

    def __init__(self) -> None:
        self._previous_max = self._current_max = 0.0  # of the previous and the current window
        self._count = 0

    def age(self, remaining_s: float, route_timeout_s: float) -> float:
        """Records an attempt with this remaining time; returns the age of its request."""
        self._count += 1
        self._current_max = max(self._current_max, remaining_s)
        full_s = max(self._previous_max, self._current_max)
        if not self._previous_max and self._count < MIN_SAMPLES:
            full_s = max(full_s, route_timeout_s)
        if self._count >= WINDOW_SAMPLES:
            self._previous_max, self._current_max, self._count = self._current_max, 0.0, 0
        return full_s - remaining_s
