"""How long requests have been under way before they came here, by the time their clients give them. No I/O.

A client tells with each try how much time it has left. Its first try has all of it, which is the longest
that is told of late on its route; what a later try lacks of that has been spent. The route's time-out stands
for it only until enough has been heard: operators change it, and clients need not follow.
"""

from __future__ import annotations

SPAN = 64  # tries after which the longest of those before them is forgotten
MIN_SAMPLES = 16  # fewer than so many tell of no longest yet


class RequestAges:
    """The tries of one route. Times in seconds."""

    __slots__ = ("_before", "_here", "_count")

    def __init__(self) -> None:
        self._before = self._here = 0.0  # the longest of the last whole span, and of this one
        self._count = 0

    def age(self, left: float, timeout: float) -> float:
        """Take note of a try that has so much time left; how long its request has been under way."""
        self._count += 1
        self._here = max(self._here, left)
        whole = max(self._before, self._here)
        if not self._before and self._count < MIN_SAMPLES:
            whole = max(whole, timeout)
        if self._count >= SPAN:
            self._before, self._here, self._count = self._here, 0.0, 0
        return whole - left
