"""Client timeouts: how much of a deadline was spent on earlier tries."""

from __future__ import annotations

from collections import deque

SAMPLES = 32  # recent timeouts that the median is taken of
MIN_SAMPLES = 16  # with fewer samples nothing is inferred
CUT_SHORT = 0.9  # of the median timeout; a shorter one is all the time that is left


class ClientTimeouts:
    """Infers the time spent on earlier tries from the timeout of a try.

    Clients give each try the same part of the deadline, and the last one what is left, so a timeout well
    below the usual means that the rest of the deadline has been spent. Longer or usual ones say nothing.
    Wrong for single clients with shorter timeouts than the others."""

    def __init__(self) -> None:
        self._parts: deque[float] = deque(maxlen=SAMPLES)

    def spent(self, timeout_ns: int, deadline_ns: int) -> int:
        """Records the timeout of a try; returns the nanoseconds surely spent before it."""
        part = timeout_ns / deadline_ns
        self._parts.append(part)
        if len(self._parts) < MIN_SAMPLES or part >= CUT_SHORT * sorted(self._parts)[len(self._parts) // 2]:
            return 0
        return max(0, deadline_ns - timeout_ns)
