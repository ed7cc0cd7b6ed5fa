"""The voters, their quorums, a controller's view of its peers, and the write lease. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


def majority(size: int) -> int:
    """Returns the size of a majority of `size` members. Any two majorities intersect."""
    return size // 2 + 1


class Voters(NamedTuple):
    """The controllers that vote in one epoch."""

    epoch: int
    names: tuple[str, ...]  # their peer addresses, sorted

    @property
    def write_quorum(self) -> int:
        """Disks that a write has to reach. Any two write quorums intersect, also after tolerated losses."""
        return majority(len(self.names))

    @property
    def read_quorum(self) -> int:
        """Caught-up controllers to read from so that no acknowledged write can be missed.

        So many intersect each write quorum, also if other members of that quorum have lost their disks.
        """
        return len(self.names) - self.write_quorum + 1

    def supersedes(self, other: Voters | None) -> bool:
        """Returns whether these voters are newer than others."""
        return other is None or (self.epoch, self.names) > (other.epoch, other.names)


NO_VOTERS = Voters(0, ())


class PeerView(NamedTuple):
    """One controller's view of its peers, and its own state."""

    silence_s: Mapping[str, float]  # by peer: seconds since it last responded
    contact_s: Mapping[str, float]  # by peer: seconds of uninterrupted contact
    votes: bool  # in the epoch of the request
    caught_up: bool
    zone: str = ""
    has_legacy_peer: bool = True  # it or a process connected to it runs a version without epochs
    stopping: bool = False  # it is shutting down


class WriteLease:
    """One controller's lease for a single writer at a time.

    A write is accepted only from the writer whose lease is still held here. Any two write quorums intersect,
    so no write succeeds beside another that did not see it. The lease is lost when the process ends: the
    writer's write is then rejected here, which is safe.
    """

    def __init__(self, duration_s: float) -> None:
        self._duration_s, self._token, self._expires_at = duration_s, "", 0.0

    def acquire(self, now: float, token: str) -> bool:
        """Gives or renews the lease, unless another writer holds it."""
        if self._token not in ("", token) and now < self._expires_at:
            return False
        self._token, self._expires_at = token, now + self._duration_s
        return True

    def holds(self, token: str) -> bool:
        """Returns whether a writer still holds the lease."""
        return token == self._token

    def release(self, token: str) -> None:
        """Releases a writer's lease."""
        if token == self._token:
            self._token = ""
