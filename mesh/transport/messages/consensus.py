"""Consensus of controllers on changes of the configuration (`mesh.control.consensus`)."""

from __future__ import annotations

from mesh.state.ballots import Ballot, Draft
from mesh.state.configuration import Item
from mesh.transport.messages.base import Answer, Message


class Prepare(Message, frozen=True, tag=30):
    """Proposer to the voters: phase 1 of a proposal."""

    round: int
    epoch: int
    ballot: Ballot
    buckets: bytes  # bucket digests of the proposer's copy


class PrepareAnswer(Answer, frozen=True, tag=31):
    """Response to `Prepare`."""

    yes: bool
    epoch: int
    promised: int  # number of the highest promised ballot
    sequence: int = 0
    draft: Draft | None = None
    items: tuple[Item, ...] = ()  # items that the proposer may lack


class Accept(Message, frozen=True, tag=32):
    """Proposer to the voters: phase 2, after a majority has promised."""

    round: int
    epoch: int
    ballot: Ballot
    sequence: int
    items: tuple[Item, ...]
    base: tuple[Item, ...] = ()  # all items chosen before, for voters that are behind


class AcceptAnswer(Answer, frozen=True, tag=33):
    """Response to `Accept`."""

    yes: bool  # whether the proposal is accepted and stored on disk
    epoch: int


class Commit(Message, frozen=True, tag=36):
    """Proposer to all controllers: a change has been chosen."""

    ballot: Ballot
    sequence: int
    items: tuple[Item, ...]


class Abandon(Message, frozen=True, tag=37):
    """Proposer to the voters: nothing will be proposed under its ballot."""

    proposer: str


class Fetch(Message, frozen=True, tag=38):
    """Controller to controllers: requests their items, accepted draft and promised ballot."""

    round: int
    epoch: int
    sealed: bool  # whether voters sealed in that epoch shall respond
    buckets: bytes


class FetchAnswer(Answer, frozen=True, tag=39):
    """Response to `Fetch`."""

    yes: bool  # whether it responds as a voter of the epoch, or as a sealed one
    epoch: int
    sequence: int
    items: tuple[Item, ...]
    draft: Draft | None
    promised: Ballot
    checksum: int | None = None  # of the items
