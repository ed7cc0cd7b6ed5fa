"""The ordered budget of one server: k steps, single trials, one backoff that blocks only growth. No I/O.

Source: A105 (max_connections_per_subchannel, 10 by default), scaled to servers that serve one request at a
time on a connection. Times are whole nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable

STEPS = 10  # the clamp on k: A105's default for max_connections_per_subchannel


class Budget:
    """How many calls may be at one server together.

    `k` runs from 1 up to the clamp, under a learned figure that refused-as-full answers lower. A call beyond
    it goes as the one trial, while no trial is out and no backoff runs; at k = 0 that is all that goes.
    """

    __slots__ = ("k", "figure", "trial", "backoff", "retry_at", "most", "_first", "_last")

    def __init__(self, most: int, first_ns: int, last_ns: int, begin: int = 1) -> None:
        self.most = max(1, most)
        self.k, self.figure = max(1, min(begin, self.most)), float(self.most)
        self.trial = False
        self.backoff = self.retry_at = 0
        self._first, self._last = first_ns, last_ns

    @property
    def room(self) -> int:
        """Calls that may be out together."""
        return min(self.k, max(1, int(self.figure))) if self.k else 0

    def verdict(self, now: int, out: int) -> tuple[bool, bool]:
        """Whether a call may go while `out` are out, and whether it goes as the trial."""
        if out < self.room:
            return True, False
        grows = not self.trial and now >= self.retry_at and self.k < min(self.most, max(1, int(self.figure)))
        return grows, grows

    def served(self, trial: bool) -> None:
        """A call was answered."""
        self.figure = min(float(self.most), self.figure + 1.0 / max(1.0, self.figure))
        if trial:
            self.trial = False
            self.k = min(self.k + 1, self.most)
            self.backoff = self.retry_at = 0

    def failed(self, now: int, trial: bool, random: Callable[[], float]) -> None:
        """A call was refused, reset, failed or timed out."""
        if trial:
            self.trial = False
            self.backoff = min(max(2 * self.backoff, self._first), self._last)
            self.retry_at = now + int(self.backoff * (0.75 + 0.5 * random()))

    def full(self, out: int) -> None:
        """The server turned a call away as full, with so many out."""
        self.figure = max(1.0, min(self.figure, float(out)) - 0.5)

    def broken(self, now: int, random: Callable[[], float]) -> None:
        """A connection could not be made, or was reset."""
        if self.k:
            self.k -= 1
            if not self.k:
                self.backoff = max(self.backoff, self._first)
                self.retry_at = now + int(self.backoff * (0.75 + 0.5 * random()))

    def withdrawn(self, trial: bool) -> None:
        """A call was never sent, or nobody waits for it: no verdict."""
        if trial:
            self.trial = False
