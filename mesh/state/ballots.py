"""Ranks of proposals, and what was accepted under one: shared by both agreements. No I/O.

Source: L. Lamport, "Paxos Made Simple", 2001.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from mesh.state.configuration import Item


class Ballot(NamedTuple):
    """A proposal's rank. No two proposals share one: `who` names the proposer, its life and the try."""

    number: int
    who: str


FIRST = Ballot(0, "")


class Accepted(NamedTuple):
    """The next voters that a voter has last said yes to."""

    ballot: Ballot
    names: tuple[str, ...]


class Draft(NamedTuple):
    """A change of the configuration that was accepted and may have been chosen."""

    sequence: int  # its number
    ballot: Ballot
    items: tuple[Item, ...]

    def row(self) -> list[Any]:
        """As it lies on disks."""
        return [self.sequence, *self.ballot, [list(item) for item in self.items]]


def draft_of(row: list[Any] | None) -> Draft | None:
    """The same, back."""
    if row is None:
        return None
    return Draft(row[0], Ballot(row[1], row[2]), tuple(Item(*item) for item in row[3]))


def row_of(accepted: Accepted | None) -> list[Any] | None:
    """Accepted voters as they lie on disks."""
    return None if accepted is None else [*accepted.ballot, list(accepted.names)]


def accepted_of(row: list[Any]) -> Accepted:
    """The same, back."""
    return Accepted(Ballot(row[0], row[1]), tuple(row[2]))
