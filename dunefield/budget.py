"""Ordered in-flight budget of one server: concurrency steps, single trials, one backoff. No I/O.

Source: A105 (max_connections_per_subchannel, 10 by default), scaled to servers that serve one request at a
time on a connection. Shared by the balancer and the mesh. Times are integer nanoseconds."""

from __future__ import annotations

from collections.abc import Callable

MAX_STEPS = 10  # A105's default for max_connections_per_subchannel
BASE_SMOOTHING = 0.3  # smoothing factor of moving averages; slower ones use a fraction of it
SHRINK_FACTOR = 0.7  # applied to the concurrency when the server refuses a call as full

Random = Callable[[], float]


class Budget:
    """Limit of calls in flight at one server: `steps` times a learned `concurrency`.

    `steps` runs from 1 up to `max_steps`; refusals as full lower `concurrency` below `max_concurrency`. One
    call above the limit may go as a trial while no other trial is in flight and no backoff runs; at 0 steps
    only trials go. `backoff` and `retry_at` are shared by all trials and block only growth."""

    __slots__ = (
        "steps", "concurrency", "trial_in_flight", "backoff", "retry_at", "max_concurrency", "max_steps")

    def __init__(self, max_concurrency: float, max_steps: int = MAX_STEPS, initial_steps: int = 1) -> None:
        self.max_concurrency, self.max_steps = max_concurrency, max(1, max_steps)
        self.reset_budget(initial_steps)

    def reset_budget(self, initial_steps: int = 1) -> None:
        """Discards everything learned, because the server process has been replaced."""
        self.steps, self.concurrency = max(1, min(initial_steps, self.max_steps)), self.max_concurrency
        self.trial_in_flight = False
        self.backoff = self.retry_at = 0

    @property
    def limit(self) -> int:
        """Maximum number of calls in flight, without a trial."""
        return max(1, int(self.steps * self.concurrency)) if self.steps else 0

    def trial_allowed(self, now: int) -> bool:
        """Returns whether a trial may be sent: none is in flight and no backoff is running."""
        return not self.trial_in_flight and now >= self.retry_at

    def check_admission(self, now: int, in_flight: int) -> tuple[bool, bool]:
        """Returns whether a call may be sent with `in_flight` others in flight, and whether as a trial."""
        if in_flight < self.limit:
            return True, False
        grows = self.steps < self.max_steps and self.trial_allowed(now)
        return grows, grows

    def add_step(self) -> None:
        """Handles a successful trial."""
        self.steps = min(self.steps + 1, self.max_steps)
        self.backoff = self.retry_at = 0

    def back_off(self, now: int, initial: int, maximum: int, random: Random) -> None:
        """Handles a failed trial (refused, error, reset or timeout): doubles the backoff."""
        self.backoff = min(max(2 * self.backoff, initial), maximum)
        self._set_retry_time(now, random)

    def start_backoff(self, now: int, minimum: int, random: Random) -> None:
        """Starts a backoff after the steps have fallen to 0, so that the first trial waits as well."""
        self.backoff = max(self.backoff, minimum)
        self._set_retry_time(now, random)

    def _set_retry_time(self, now: int, random: Random) -> None:
        self.retry_at = now + int(self.backoff * (0.75 + 0.5 * random()))

    def halve_steps(self) -> None:
        """Handles repeated connection failures or resets."""
        self.steps //= 2

    def remove_step(self) -> None:
        """Handles one failed or reset connection."""
        self.steps = max(0, self.steps - 1)

    def lower_concurrency(self) -> None:
        """Handles a call that the server refused as full."""
        self.concurrency = max(1.0 / self.max_steps, self.concurrency * SHRINK_FACTOR)

    def raise_concurrency(self) -> None:
        """Handles a call that the server accepted."""
        self.concurrency = min(self.max_concurrency, self.concurrency + BASE_SMOOTHING / 8)
