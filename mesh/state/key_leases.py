"""Leases on key ranges: until when the server beside a sidecar may hold them. No I/O, no disk.

The sidecar beside a server asks all voters to confirm the server's ranges at short intervals. A voter
confirms a range only if the server owns it, unrevoked, by the voter's own copy of the table and by a change
that it has accepted and does not know to be chosen. A confirmation by a majority of one epoch's voters makes
a lease of the length that the question names, from when it was *sent*. Each confirming majority shares a
voter with the majority that accepts a revocation, and that voter confirmed before it accepted. So every lease
on a range has ended one such length after its revocation was chosen, whatever is cut off or frozen; whoever
assigns the range again waits for that long by its own clock from when it learned of the revocation, unless it
hears of a release before.

Processes may have started with different bounds `hold_max`, so the longest lease is agreed: the table of the
service names it (`mesh.state.shards`). Voters confirm none that is longer, and the wait is for that length.
It never decreases: otherwise a lease that was confirmed before could outlast the wait.

All times are seconds of one process's monotonic clock, read when they are used. Clocks of two processes run
at rates that differ by up to `CLOCK_DRIFT`.

Source: C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", 1989.
"""

from __future__ import annotations

from typing import NamedTuple

from mesh.state.shards import FencedRange

CLOCK_DRIFT = 0.02  # relative
LEASE_FRACTION = 0.5  # of the bound `hold_max`
RENEWAL_FRACTION = 0.2  # interval of renewals, of the duration of a lease
DEFAULT_HOLD_MAX_S = 10.0


class LeaseTimes(NamedTuple):
    """The times that leases go by, in seconds."""

    lease_s: float  # from the sending of the question
    renewal_interval_s: float
    reassignment_delay_s: float  # from learning of a revocation until all leases on the range have ended

    @property
    def lease_ms(self) -> int:
        """The length of a lease in whole milliseconds."""
        return int(self.lease_s * 1000)

    @classmethod
    def of_bound(cls, hold_max_s: float) -> LeaseTimes:
        """Returns the times for the bound `hold_max`."""
        return cls.of_lease(hold_max_s * LEASE_FRACTION)

    @classmethod
    def of_lease(cls, lease_s: float) -> LeaseTimes:
        """Returns the times for leases of a length."""
        slow_by_fast = (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)  # the sidecar's clock against the proposer's
        return cls(lease_s, lease_s * RENEWAL_FRACTION, lease_s * slow_by_fast)


def hold_duration(now: float, lease_ends_at: float, transit_s: float = 0.0) -> float:
    """Returns how long a server may be told to hold a range, in seconds; 0 if not at all.

    The server's clock may lose `CLOCK_DRIFT` of each second. `transit_s` is the longest time from `now` until
    the server begins to count; it is 0 where the server counts from a time before `now`.
    """
    return max(0.0, (lease_ends_at - now - transit_s) * (1 - CLOCK_DRIFT))


class LeaseBook:
    """The leases of one server, as the sidecar beside it knows them."""

    def __init__(self) -> None:
        self._ends: dict[FencedRange, float] = {}

    def renew(self, held: FencedRange, ends_at: float) -> None:
        """Adds a lease that a majority has confirmed."""
        self._ends[held] = max(ends_at, self._ends.get(held, ends_at))

    def ends_at(self, now: float, held: FencedRange) -> float:
        """Returns until when a range, or a range that contains it, is leased; `now` if it is not."""
        return max(
            (
                ends_at
                for leased, ends_at in self._ends.items()
                if leased.fence == held.fence and leased.range.contains(held.range)
            ),
            default=now,
        )

    def expire(self, now: float) -> None:
        """Forgets leases that have ended."""
        self._ends = {held: ends_at for held, ends_at in self._ends.items() if ends_at > now}
