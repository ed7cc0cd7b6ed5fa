"""The messages between the mesh's own processes.

On the wire a message is a CBOR array that begins with its kind (`encode`, `decode`); 0 and 1 are the
connection's own questions for signs of life. What a newer version adds at the end is left out by an older
one, and what an older one does not tell has a default here; a kind that is not known is ignored.

Rounds are questions that are put to several machines: `round` comes back with each answer.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from zlib import crc32

import cbor2
import msgspec

from mesh.errors import ErrorKind
from mesh.state.ballots import Accepted, Ballot, Draft
from mesh.state.configuration import Item
from mesh.state.idempotency import GrantRow
from mesh.state.quorum import PeerView, Voters

VERSION = 4
"""Of a sidecar's messages, as it tells it in its record: from 2 on it takes bodies in chunks and answers a
`LoadQuery`; from 3 on it understands `Cancel`, from 4 on `RecordsDigest`."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """What all messages have in common: an array on the wire, immutable here."""


def checksum(rows: Sequence[Any]) -> int:
    """CRC-32 of the CBOR of rows that are transferred: a version may have any number of digits there."""
    return crc32(cbor2.dumps(msgspec.to_builtins(rows, builtin_types=(bytes,))))


def matches_checksum(rows: Sequence[Any], told: int | None) -> bool:
    """Whether rows are those that were sent, by the checksum that came with them. An older version tells
    none."""
    return told is None or told == checksum(rows)


class Answer(Message, frozen=True):
    """An answer to a question that was put to several machines."""

    round: int


class SidecarRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a sidecar tells of itself and of the server beside it."""

    node: str
    address: str  # where it listens for other processes of the mesh
    zone: str
    service: str
    instance: str  # id of its server's life; empty: there is none
    slots: int
    is_open: bool  # whether it takes requests
    warm_up_s: float  # how much longer its server is slow
    incarnation: int  # of the sidecar's process: later ones are greater
    number: int  # of this record in that life
    version: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Of two records of one node the greater order is the newer."""
        return self.incarnation, self.number


# --- which processes there are


class Hello(Message, frozen=True, tag=10):
    """Controller to controller: first of all on a connection, and whenever any of it changes."""

    address: str
    voters: Voters
    controllers: tuple[str, ...]  # all that are known
    zone: str = ""
    voters_before: tuple[str, ...] = ()
    caught_up_epoch: int = -1  # the epoch that its disk is whole in; -1: of a version that knows no epochs
    incarnations: dict[str, int] = {}
    forgotten: dict[str, int] = {}  # by controller: the life that is over


class Register(Message, frozen=True, tag=11):
    """Sidecar to controller: first of all on a connection, and whenever its record changes."""

    record: SidecarRecord
    version: int = 0


class Controllers(Message, frozen=True, tag=12):
    """Controller to sidecar: which controllers there are."""

    addresses: tuple[str, ...]
    zone: str  # of the sender
    incarnations: dict[str, int] = {}
    forgotten: dict[str, int] = {}


class CurrentVoters(Message, frozen=True, tag=13):
    """Controller to sidecar: whose disks count."""

    epoch: int
    names: tuple[str, ...]


class Endpoints(Message, frozen=True, tag=22):
    """Controller to sidecar: records of sidecars."""

    records: tuple[SidecarRecord, ...]


class RecordsDigest(Message, frozen=True, tag=25):
    """Controller to the sidecars that follow another one: the digest of all records that it holds."""

    digest: int


class PullRecords(Message, frozen=True, tag=26):
    """Sidecar to a controller that holds other records than it: tell me all of them."""


class EndpointGone(Message, frozen=True, tag=23):
    """Controller to sidecar: that life of a sidecar has not been seen for long."""

    node: str
    incarnation: int


class NewerLifeKnown(Message, frozen=True, tag=24):
    """Controller to sidecar: a record of its name and a later life is known."""

    incarnation: int


class RecordChanged(Message, frozen=True, tag=52):
    """Sidecar to the sidecars that send to it."""

    record: SidecarRecord


class Forgotten(Message, frozen=True, tag=67):
    """Controller to one that was forgotten with that life."""

    incarnation: int


# --- distribution of the configuration


class Follow(Message, frozen=True, tag=14):
    """Sidecar to the one controller that it hears tables and changes from; None: no longer."""

    digest: int | None


class Digest(Message, frozen=True, tag=15):
    """Controller to sidecar: the digest of all items that it may tell."""

    digest: int


class Pull(Message, frozen=True, tag=16):
    """Sidecar to controller: what of the buckets that differ do I lack? (`distribution.Copy`)"""

    buckets: bytes


class Items(Message, frozen=True, tag=20):
    """Controller to sidecar: items that are news, or all."""

    number: int
    items: tuple[Item, ...]
    checksum: int | None = None


class ItemsReceived(Message, frozen=True, tag=21):
    """Sidecar to controller: acknowledges `Items`."""

    number: int


class InContact(Message, frozen=True, tag=70):
    """Controller to sidecar: whether it is in contact with a majority of the voters."""

    yes: bool


# --- agreement on changes of the configuration (`mesh.control.consensus`)


class Prepare(Message, frozen=True, tag=30):
    """Proposer to the voters."""

    round: int
    epoch: int
    ballot: Ballot
    buckets: bytes  # digests of the proposer's copy


class PrepareAnswer(Answer, frozen=True, tag=31):
    """Answer to `Prepare`."""

    yes: bool
    epoch: int
    promised: int  # number of the highest ballot that has a promise
    sequence: int = 0
    draft: Draft | None = None
    items: tuple[Item, ...] = ()  # that the proposer may lack


class Accept(Message, frozen=True, tag=32):
    """Proposer to the voters, after a majority has promised."""

    round: int
    epoch: int
    ballot: Ballot
    sequence: int
    items: tuple[Item, ...]
    base: tuple[Item, ...] = ()  # all items that were chosen before, for a voter that is behind


class AcceptAnswer(Answer, frozen=True, tag=33):
    """Answer to `Accept`."""

    yes: bool  # it lies on the disk
    epoch: int


class Commit(Message, frozen=True, tag=36):
    """Proposer to all controllers: a change was chosen."""

    ballot: Ballot
    sequence: int
    items: tuple[Item, ...]


class Abandon(Message, frozen=True, tag=37):
    """Proposer to the voters: nothing will be proposed under its ballot."""

    proposer: str


class Fetch(Message, frozen=True, tag=38):
    """Controller to controllers: what do you hold, and have accepted and promised?"""

    round: int
    epoch: int
    sealed: bool  # whether voters are asked that are sealed in that epoch
    buckets: bytes


class FetchAnswer(Answer, frozen=True, tag=39):
    """Answer to `Fetch`."""

    yes: bool  # whether it answers as a voter of the epoch, or as a sealed one
    epoch: int
    sequence: int
    items: tuple[Item, ...]
    draft: Draft | None
    promised: Ballot
    checksum: int | None = None  # of the items


# --- operations by key (`mesh.state.idempotency`)


class FetchGrants(Message, frozen=True, tag=34):
    """Controller to controllers: which grants do you hold? Part by part, `part` from 0 on."""

    round: int
    epoch: int = 1
    sealed: bool = False
    part: int = 0


class GrantsAnswer(Answer, frozen=True, tag=35):
    """Answer to `FetchGrants`: one part. All parts are of one moment, that of the first question."""

    yes: bool  # whether it answers as a voter of the epoch, or as a sealed one
    rows: tuple[GrantRow, ...]
    epoch: int
    promised: Ballot  # for the next voters
    more: bool = False  # whether there is a next part
    checksum: int | None = None  # of the rows


class ClaimKey(Message, frozen=True, tag=40):
    """Sidecar to controllers: grant a key to a token."""

    claim: int
    key: str
    token: str
    remaining_s: float
    epoch: int = 1


class ClaimAnswer(Message, frozen=True, tag=41):
    """Answer to `ClaimKey`."""

    claim: int
    outcome: int  # -1: can't tell; 0: another token has it; 1: granted, on the disk
    token: str
    mark: int
    answer: Any = None


class KeyDone(Message, frozen=True, tag=42):
    """Sidecar to controllers: the operation of a key has run, with this answer."""

    key: str
    token: str
    answer: Any


class KeyBroken(Message, frozen=True, tag=43):
    """Sidecar to controllers: it may have run, and there is no answer."""

    key: str
    token: str


class FreeKey(Message, frozen=True, tag=44):
    """Sidecar to controllers: nothing ran with a token, and nothing will."""

    key: str
    token: str


# --- who votes (`mesh.control.ballot`)


class Bid(Message, frozen=True, tag=60):
    """Proposer of the next voters to the present ones."""

    round: int
    epoch: int
    ballot: Ballot


class BidAnswer(Answer, frozen=True, tag=61):
    """Answer to `Bid`."""

    yes: bool
    epoch: int
    promised: int
    accepted: Accepted | None = None


class Seal(Message, frozen=True, tag=62):
    """Proposer to the present voters, after a majority is bound."""

    round: int
    epoch: int
    ballot: Ballot
    names: tuple[str, ...]


class SealAnswer(Answer, frozen=True, tag=63):
    """Answer to `Seal`."""

    yes: bool
    epoch: int
    promised: int


class AskView(Message, frozen=True, tag=64):
    """Controller to all others: whom do you see?"""

    round: int
    epoch: int


class ViewAnswer(Answer, frozen=True, tag=65):
    """Answer to `AskView`."""

    epoch: int
    view: PeerView


class Successor(Message, frozen=True, tag=66):
    """Controller to all others: who has its duty from now on."""

    epoch: int
    address: str


class Heartbeat(Message, frozen=True, tag=68):
    """Controller to every other, at short intervals."""

    number: int
    epoch: int


class HeartbeatAnswer(Message, frozen=True, tag=69):
    """Answer to `Heartbeat`."""

    number: int
    epoch: int
    votes: bool  # whether it votes in that epoch
    digest: int
    sequence: int


# --- calls from sidecar to sidecar


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A request for the server beside another sidecar. Times are seconds from when it was sent."""

    service: str
    caller: str  # the service of the machine where it began
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    remaining_s: float
    target_s: float
    attempt_id: bytes
    key: str
    route: str
    is_retry: bool = False  # its client has spent time on it before
    repeatable: bool = False
    past_target: bool = False
    size: int = 0  # of a body that does not come with the call, but in chunks
    priority: int = 0  # rank of its route; 0 is the most urgent


class Forward(Message, frozen=True, tag=50):
    """Sidecar to the one beside a server."""

    number: int
    call: Call


class ForwardAnswer(Message, frozen=True, tag=51):
    """Answer to `Forward`."""

    number: int
    error: int  # an `ErrorKind`; 0: the server has answered
    arrived: bool  # whether a server has seen it
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    wait_s: float = 0.0  # that a call waits there now
    work_s: float = 0.0  # that a call of this route takes there
    failure_rate: float = 0.0  # part of calls that fail there of late

    @classmethod
    def failed(cls, number: int, error: ErrorKind, arrived: bool = False) -> ForwardAnswer:
        """The end of a call that no server has answered. `arrived`: whether one has seen it."""
        return cls(number, int(error), arrived, 0, [], b"")


class Overdue(Message, frozen=True, tag=53):
    """The server has worked on a call for unusually long."""

    number: int


class Cancel(Message, frozen=True, tag=59):
    """The client of a call has left."""

    number: int


class SendBody(Message, frozen=True, tag=54):
    """Answer to `Forward`: so much of its body may be sent, from its beginning."""

    number: int
    end_offset: int


class BodyChunk(Message, frozen=True, tag=55):
    """The next chunk of a body."""

    number: int
    data: bytes


class BodyDropped(Message, frozen=True, tag=56):
    """The call is given up, and the rest of its body will not come."""

    number: int


class LoadQuery(Message, frozen=True, tag=57):
    """Sidecar to sidecars: how would a call fare?"""

    number: int
    route: str
    size: int  # of its body


class LoadReport(Message, frozen=True, tag=58):
    """Answer to `LoadQuery`."""

    number: int
    is_open: bool  # whether it would be taken
    wait_s: float = 0.0
    work_s: float = 0.0
    transfer_s: float = 0.0  # that its body would be on its way
    failure_rate: float = 0.0


class Ping(Message, frozen=True, tag=0):
    """Are you there?"""


class Pong(Message, frozen=True, tag=1):
    """Answer to `Ping`."""


def kind_of(message: type[Message]) -> int:
    """The kind that stands at the beginning of such a message."""
    tag = message.__struct_config__.tag
    assert isinstance(tag, int)
    return tag


def _kinds() -> dict[int, type[Message]]:
    found: list[type[Message]] = [*Message.__subclasses__(), *Answer.__subclasses__()]
    return {kind_of(kind): kind for kind in found if kind is not Answer}


KINDS = _kinds()
"""All messages by their kind."""


def encode(message: Message) -> list[Any]:
    """The array that goes over the wire."""
    row: list[Any] = msgspec.to_builtins(message, builtin_types=(bytes,))
    return row


def decode(row: Any) -> Message | None:
    """A message of an array; None of a kind that is not known. Raise ValueError where it is none."""
    if not isinstance(row, list) or not row:
        raise ValueError("no message")
    kind = KINDS.get(row[0])
    if kind is None:
        return None
    return msgspec.convert(row, kind, builtin_types=(bytes,))
