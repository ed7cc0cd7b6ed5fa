"""Whether a control machine is in contact with a majority of the voters: a read lease. No I/O, no clock.

A machine asks every other one at short intervals (`Heartbeat`). An answer renews the lease from the moment at
which its question was *sent*, so a reply that was delayed, or that waited in a socket while the process stood
still, renews nothing that has passed since. The lease holds while a majority of the voters, the machine
itself among them where it votes, has answered questions that are younger than `lease_s`. An answer counts
only once all that the other machine holds has been merged here; so a machine in contact holds every item
that was acknowledged before its oldest counted question was sent.

All times are seconds of one steady clock, read when an answer is about to be given, never before: a process
that was frozen finds its lease over before it answers what waited for it. `lease_s` is half of the bound
`contact`, so a clock that runs at half its speed still ends the lease in time. What remains is a process that
is frozen between that look and its write: what it says then is late by the length of the freeze, and merges
by version at whoever hears it.

Source: leases of C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
cache consistency", 1989; the check quorum and lease reads of Raft (D. Ongaro, dissertation, 2014, 6.4).
"""

from __future__ import annotations

from typing import NamedTuple

from mesh.state.quorum import Voters

LEASE_PART = 0.5  # of the bound `contact`
HEARTBEAT_PART = 0.1  # of the bound `contact`: how often others are asked


class ReadLease:
    """The lease of one machine."""

    def __init__(self, me: str, lease_s: float) -> None:
        self._me, self._lease_s = me, lease_s
        self._asked_at: dict[str, float] = {}  # by machine: when the last question it has answered was sent

    def answered(self, name: str, asked_at: float) -> None:
        """A voter has answered a question of that time, and what it holds has been merged."""
        self._asked_at[name] = max(asked_at, self._asked_at.get(name, asked_at))

    def heard(self, now: float, voters: Voters, votes: bool) -> list[str]:
        """The voters that count now. `votes`: whether this machine is one that may answer as a voter."""
        oldest = now - self._lease_s
        return [
            name
            for name in voters.names
            if (votes if name == self._me else self._asked_at.get(name, oldest - 1.0) >= oldest)
        ]

    def holds(self, now: float, voters: Voters, votes: bool) -> bool:
        """Whether a majority counts."""
        return voters.epoch > 0 and len(self.heard(now, voters, votes)) >= voters.write

    def clear(self) -> None:
        """Others vote now: what those before answered is void."""
        self._asked_at.clear()


class Safety(NamedTuple):
    """What the voters that can be reached are worth."""

    copies: int  # of the least-copied acknowledged thing, at the least
    losses: int  # machines that may still be lost, with all that was acknowledged kept and a majority left


def safety(voters: Voters, whole: int) -> Safety:
    """Of so many voters that are whole and can be reached. A thing was acknowledged by a majority; at worst
    all that are missing are of that majority."""
    copies = max(0, voters.write - (len(voters.names) - whole))
    return Safety(copies, max(0, min(whole - voters.write, copies - 1)))
