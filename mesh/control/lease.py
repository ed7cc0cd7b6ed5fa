"""The read lease: whether a control machine is in contact with a majority of the voters. No I/O, no clock.

A machine queries every other one at short intervals (`Heartbeat`). A response renews the lease from the time
at which its request was *sent*, so a response that was delayed, or that waited in a socket while the process
was frozen, renews nothing for the time since. The lease holds while a majority of the voters, including the
machine itself if it votes, has responded to requests that are younger than `lease_s`. A response counts only
after everything that the other machine holds has been merged here. So a machine in contact holds every item
that was acknowledged before its oldest counted request was sent.

All times are seconds of one monotonic clock, read when a response is about to be given, never before: a
process that was frozen finds its lease expired before it answers the requests that were waiting. `lease_s` is
half of the bound `contact`, so a clock that runs at half its speed still ends the lease in time. What remains
is a process that is frozen between that check and its write: what it then sends is late by the length of the
freeze, and the receiver merges it by version.

Source: C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", 1989; the check quorum and lease reads of Raft (D. Ongaro, dissertation, 2014, 6.4).
"""

from __future__ import annotations

from typing import NamedTuple

from mesh.state.quorum import Voters

LEASE_FRACTION = 0.5  # of the bound `contact`
HEARTBEAT_FRACTION = 0.1  # interval of heartbeats, of the bound `contact`


class ReadLease:
    """The read lease of one machine."""

    def __init__(self, own_address: str, lease_s: float) -> None:
        self._own_address, self._lease_s = own_address, lease_s
        self._sent_at: dict[str, float] = {}  # by voter: send time of the latest request it responded to

    def renew(self, name: str, sent_at: float) -> None:
        """Counts a voter's response to a request sent at `sent_at`, after its state has been merged."""
        self._sent_at[name] = max(sent_at, self._sent_at.get(name, sent_at))

    def counted_voters(self, now: float, voters: Voters, votes: bool) -> list[str]:
        """Returns the voters that count now. `votes` says whether this machine may act as a voter itself."""
        oldest = now - self._lease_s
        return [
            name
            for name in voters.names
            if (votes if name == self._own_address else self._sent_at.get(name, oldest - 1.0) >= oldest)
        ]

    def holds(self, now: float, voters: Voters, votes: bool) -> bool:
        """Returns whether a majority counts."""
        return voters.epoch > 0 and len(self.counted_voters(now, voters, votes)) >= voters.write_quorum

    def clear(self) -> None:
        """Discards all responses, as the voters have changed."""
        self._sent_at.clear()


class FaultTolerance(NamedTuple):
    """What the reachable voters can still lose."""

    copies: int  # minimum number of copies of any acknowledged write
    losses: int  # machines that may be lost while all acknowledged writes and a majority remain


def fault_tolerance(voters: Voters, caught_up: int) -> FaultTolerance:
    """Returns the fault tolerance with a number of caught-up and reachable voters.

    A write was acknowledged by a majority; in the worst case all missing voters belong to that majority.
    """
    copies = max(0, voters.write_quorum - (len(voters.names) - caught_up))
    return FaultTolerance(copies, max(0, min(caught_up - voters.write_quorum, copies - 1)))
