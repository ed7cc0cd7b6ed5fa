"""The ordered budget of one server: k steps, single trials, one backoff that blocks only growth. No I/O.

Source: A105 (max_connections_per_subchannel, 10 by default), scaled to servers that serve one request at a
time on a connection. Shared by the daemon's decisions and the mesh. Times are whole nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable

STEPS = 10  # the clamp on k: A105's default for max_connections_per_subchannel
GAIN = 0.3  # weight of one new observation against what was known
SHRINK = 0.7  # what is left of the figure after a refusal as full

Random = Callable[[], float]


class Budget:
    """How many calls may be at one server together: `k` steps of a learned concurrency `figure` each.

    `k` runs from 1 up to `most`; the figure is lowered by refusals as full, up to `ceiling` calls a step. A
    call beyond that goes as the one trial, while no trial is out and no backoff runs; at k = 0 nothing else
    goes. `backoff` and `retry_at` are shared by all trials there, and block only growth.
    """

    __slots__ = ("k", "figure", "trial", "backoff", "retry_at", "ceiling", "most")

    def __init__(self, ceiling: float, most: int = STEPS, begin: int = 1) -> None:
        self.ceiling, self.most = ceiling, max(1, most)
        self.renew(begin)

    def renew(self, begin: int = 1) -> None:
        """A new process: nothing learned of the old one holds."""
        self.k, self.figure = max(1, min(begin, self.most)), self.ceiling
        self.trial = False
        self.backoff = self.retry_at = 0

    @property
    def budget(self) -> int:
        """Calls that may be out together."""
        return max(1, int(self.k * self.figure)) if self.k else 0

    def trial_due(self, now: int) -> bool:
        """Whether a trial may go: none is out, and no backoff runs."""
        return not self.trial and now >= self.retry_at

    def verdict(self, now: int, out: int) -> tuple[bool, bool]:
        """Whether a waiting call may go while `out` are out, and whether it goes as the trial."""
        if out < self.budget:
            return True, False
        grows = self.k < self.most and self.trial_due(now)
        return grows, grows

    # --- outcomes

    def grow(self) -> None:
        """A trial was served."""
        self.k = min(self.k + 1, self.most)
        self.backoff = self.retry_at = 0

    def hold_off(self, now: int, first: int, last: int, random: Random) -> None:
        """A trial was refused, failed, reset or timed out: no other for twice as long as the last time."""
        self.backoff = min(max(2 * self.backoff, first), last)
        self._pause(now, random)

    def shut(self, now: int, least: int, random: Random) -> None:
        """k has come to 0: the first trial waits as well."""
        self.backoff = max(self.backoff, least)
        self._pause(now, random)

    def _pause(self, now: int, random: Random) -> None:
        self.retry_at = now + int(self.backoff * (0.75 + 0.5 * random()))

    def halve(self) -> None:
        """Connections could not be made, or were reset, again and again."""
        self.k //= 2

    def lower(self) -> None:
        """A connection could not be made, or was reset."""
        self.k = max(0, self.k - 1)

    def refused(self) -> None:
        """The server turned a call away as full."""
        self.figure = max(1.0 / self.most, self.figure * SHRINK)

    def accepted(self) -> None:
        """The server took a call."""
        self.figure = min(self.ceiling, self.figure + GAIN / 8)
