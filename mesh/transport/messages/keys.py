"""Idempotency keys, between sidecars and controllers (`mesh.state.idempotency`)."""

from __future__ import annotations

from typing import Any

from mesh.state.ballots import Ballot
from mesh.state.idempotency import GrantRow
from mesh.transport.messages.base import Answer, Message


class FetchGrants(Message, frozen=True, tag=34):
    """Controller to controllers: requests the grants they hold, one part at a time from part 0 on."""

    round: int
    epoch: int = 1
    sealed: bool = False
    part: int = 0


class GrantsAnswer(Answer, frozen=True, tag=35):
    """Response to `FetchGrants`: one part. All parts are a snapshot taken at the first request."""

    yes: bool  # whether it responds as a voter of the epoch, or as a sealed one
    rows: tuple[GrantRow, ...]
    epoch: int
    promised: Ballot  # in the election of the next voters
    more: bool = False  # whether there are further parts
    checksum: int | None = None  # of the rows


class ClaimKey(Message, frozen=True, tag=40):
    """Sidecar to controllers: requests the grant of a key to a token."""

    claim: int
    key: str
    token: str
    remaining_s: float
    epoch: int = 1


class ClaimAnswer(Message, frozen=True, tag=41):
    """Response to `ClaimKey`."""

    claim: int
    outcome: int  # -1: unknown; 0: another token holds the key; 1: granted and stored on disk
    token: str
    status: int  # of the operation
    answer: Any = None


class KeyDone(Message, frozen=True, tag=42):
    """Sidecar to controllers: the operation of a key has run with this answer."""

    key: str
    token: str
    answer: Any


class KeyBroken(Message, frozen=True, tag=43):
    """Sidecar to controllers: the operation of a key may have run, but its answer is lost."""

    key: str
    token: str


class FreeKey(Message, frozen=True, tag=44):
    """Sidecar to controllers: releases a key; nothing has run or will run with this token."""

    key: str
    token: str
