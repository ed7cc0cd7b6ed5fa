"""Paxos ballots and accepted values, shared by the agreement on voters and the agreement on the
configuration. No I/O.

Source: L. Lamport, "Paxos Made Simple", 2001.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from mesh.state.configuration import Item


class Ballot(NamedTuple):
    """The number of a proposal, unique to it.

    `proposer` names the proposing controller, its incarnation and the attempt, so no two proposals share a
    ballot.
    """

    number: int
    proposer: str


INITIAL_BALLOT = Ballot(0, "")  # lower than any that is proposed


class Accepted(NamedTuple):
    """The next voters that a voter accepted last."""

    ballot: Ballot
    names: tuple[str, ...]


class Draft(NamedTuple):
    """A change of the configuration that was accepted and may have been chosen."""

    sequence: int  # number of the change
    ballot: Ballot
    items: tuple[Item, ...]

    def row(self) -> list[Any]:
        """Returns the draft in its stored form."""
        return [self.sequence, *self.ballot, [list(item) for item in self.items]]


def draft_from_row(row: list[Any] | None) -> Draft | None:
    """Returns the draft of a stored row."""
    if row is None:
        return None
    return Draft(row[0], Ballot(row[1], row[2]), tuple(Item(*item) for item in row[3]))


def accepted_to_row(accepted: Accepted | None) -> list[Any] | None:
    """Returns accepted voters in their stored form."""
    return None if accepted is None else [*accepted.ballot, list(accepted.names)]


def accepted_from_row(row: list[Any]) -> Accepted:
    """Returns the accepted voters of a stored row."""
    return Accepted(Ballot(row[0], row[1]), tuple(row[2]))
