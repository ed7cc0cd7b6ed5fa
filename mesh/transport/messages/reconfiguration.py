"""Reconfiguration of the voters, between controllers (`mesh.control.ballot`)."""

from __future__ import annotations

from mesh.state.ballots import Accepted, Ballot
from mesh.state.quorum import PeerView
from mesh.transport.messages.base import Answer, Message


class Bid(Message, frozen=True, tag=60):
    """Proposer of the next voters to the current voters: phase 1."""

    round: int
    epoch: int
    ballot: Ballot


class BidAnswer(Answer, frozen=True, tag=61):
    """Response to `Bid`."""

    yes: bool
    epoch: int
    promised: int
    accepted: Accepted | None = None


class Seal(Message, frozen=True, tag=62):
    """Proposer of the next voters to the current voters: phase 2, after a majority has promised."""

    round: int
    epoch: int
    ballot: Ballot
    names: tuple[str, ...]


class SealAnswer(Answer, frozen=True, tag=63):
    """Response to `Seal`."""

    yes: bool
    epoch: int
    promised: int


class AskView(Message, frozen=True, tag=64):
    """Controller to all other controllers: requests their view of their peers."""

    round: int
    epoch: int


class ViewAnswer(Answer, frozen=True, tag=65):
    """Response to `AskView`."""

    epoch: int
    view: PeerView


class Successor(Message, frozen=True, tag=66):
    """Controller to all other controllers: the coordinator from now on."""

    epoch: int
    address: str


class Heartbeat(Message, frozen=True, tag=68):
    """Controller to all other controllers, sent periodically."""

    number: int
    epoch: int


class HeartbeatAnswer(Message, frozen=True, tag=69):
    """Response to `Heartbeat`."""

    number: int
    epoch: int
    votes: bool  # whether it is a voter in that epoch
    digest: int
    sequence: int
