"""What clients' time limits tell: how long a request has been under way before this try of it."""

from __future__ import annotations

from collections import deque

KEPT = 32  # limits of late that the usual one is read from
SURE = 16  # fewer tell of no usual one
SHORTER = 0.9  # part of the usual limit under which one is cut short


class Patience:
    """Clients give each try the same part of the time they have in all, and the last one what is left of it.

    A limit well under the usual one is thus all that is left, and the rest of the deadline is spent. Longer
    ones tell of the last try or of a client that tries but once, usual ones of nothing. It errs where
    single clients are less patient than the rest from their first try on: theirs are taken for late ones.
    """

    def __init__(self) -> None:
        self._parts: deque[float] = deque(maxlen=KEPT)

    def spent(self, timeout_ns: int, deadline_ns: int) -> int:
        """Take note of a try's limit; return the nanoseconds that its request has been under way for sure."""
        part = timeout_ns / deadline_ns
        self._parts.append(part)
        if len(self._parts) < SURE or part >= SHORTER * sorted(self._parts)[len(self._parts) // 2]:
            return 0
        return max(0, deadline_ns - timeout_ns)
