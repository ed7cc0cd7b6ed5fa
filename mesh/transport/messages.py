"""Messages exchanged between the processes of the mesh, and their encoding.

On the wire a message is a CBOR array whose first element is the message's tag (`encode`, `decode`). Tags 0
and 1 are the keepalive messages `Ping` and `Pong`.

Compatibility: newer versions only append fields. A receiver ignores fields that it does not know, fields that
an older sender omits have defaults, and messages with an unknown tag are ignored.

Requests that go to several machines carry a `round`, which each response repeats.
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
from mesh.state.shards import DEFAULT_MAX_LEASE_MS, NO_KEY, FencedRange, Owner, ReleasedRange

VERSION = 5
"""Protocol version of a sidecar, published in its record. Version 2 added chunked bodies and `LoadQuery`,
version 3 `Cancel`, and version 4 `RecordsDigest`. From version 5 on a sidecar registers a server only if its
service is known."""


FIRST_RECORD_NUMBER = 1
"""Number of the first `SidecarRecord` of each incarnation, which names no server."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages: immutable, and encoded as an array."""


def checksum(rows: Sequence[Any]) -> int:
    """Returns the CRC-32 of the CBOR encoding of rows, as versions may have any number of digits."""
    return crc32(cbor2.dumps(msgspec.to_builtins(rows, builtin_types=(bytes,))))


def matches_checksum(rows: Sequence[Any], expected: int | None) -> bool:
    """Returns whether rows match their checksum; older senders send none, which counts as a match."""
    return expected is None or expected == checksum(rows)


class Answer(Message, frozen=True):
    """Base class of responses to requests that go to several machines."""

    round: int


class SidecarRecord(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar's description of itself and of its local server."""

    node: str
    address: str  # where it accepts connections of other processes of the mesh
    zone: str
    service: str
    instance: str  # id of the server process; empty if there is none
    slots: int
    is_open: bool  # whether it accepts requests
    warm_up_s: float  # how much longer its server is warming up
    incarnation: int  # of the sidecar's process; later processes have greater values
    number: int  # of this record within the incarnation
    version: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key by which the newer of two records of a node is the greater."""
        return self.incarnation, self.number


# --- membership


class Hello(Message, frozen=True, tag=10):
    """Controller to controller: the first message on a connection, sent again whenever a field changes."""

    address: str
    voters: Voters
    controllers: tuple[str, ...]  # all known controllers
    zone: str = ""
    voters_before: tuple[str, ...] = ()
    caught_up_epoch: int = -1  # the epoch whose data its disk holds in full; -1 from versions without epochs
    incarnations: dict[str, int] = {}
    forgotten: dict[str, int] = {}  # controllers removed from the membership, with their last incarnation


class Register(Message, frozen=True, tag=11):
    """Sidecar to controller: the first message on a connection, sent again whenever its record changes."""

    record: SidecarRecord
    version: int = 0


class Controllers(Message, frozen=True, tag=12):
    """Controller to sidecar: the known controllers."""

    addresses: tuple[str, ...]
    zone: str  # of the sender
    incarnations: dict[str, int] = {}
    forgotten: dict[str, int] = {}


class CurrentVoters(Message, frozen=True, tag=13):
    """Controller to sidecar: the current voters."""

    epoch: int
    names: tuple[str, ...]


class Endpoints(Message, frozen=True, tag=22):
    """Controller to sidecar: records of sidecars."""

    records: tuple[SidecarRecord, ...]


class RecordsDigest(Message, frozen=True, tag=25):
    """Controller to sidecars that follow another controller: the digest of all records it holds."""

    digest: int


class PullRecords(Message, frozen=True, tag=26):
    """Sidecar to a controller whose records differ from its own: requests all of them."""


class EndpointGone(Message, frozen=True, tag=23):
    """Controller to sidecar: an incarnation of a sidecar has been out of contact for long."""

    node: str
    incarnation: int


class NewerLifeKnown(Message, frozen=True, tag=24):
    """Controller to sidecar: a record with its name and a later incarnation is known."""

    incarnation: int


class KnownServer(Message, frozen=True, tag=27):
    """Controller to a sidecar that has registered no server: the last one that it had registered before."""

    service: str
    instance: str


class RecordChanged(Message, frozen=True, tag=52):
    """Sidecar to the sidecars that send requests to it: its record has changed."""

    record: SidecarRecord


class Forgotten(Message, frozen=True, tag=67):
    """Controller to a controller that was removed from the membership with this incarnation."""

    incarnation: int


# --- distribution of the configuration


class Follow(Message, frozen=True, tag=14):
    """Sidecar to a controller: subscribes to configuration updates; a digest of None unsubscribes."""

    digest: int | None


class Digest(Message, frozen=True, tag=15):
    """Controller to sidecar: the digest of all items that it may distribute."""

    digest: int


class Pull(Message, frozen=True, tag=16):
    """Sidecar to controller: requests the items it lacks, by bucket digests.

    See `distribution.ConfigurationCopy`.
    """

    buckets: bytes


class Items(Message, frozen=True, tag=20):
    """Controller to sidecar: new items, or all items."""

    number: int
    items: tuple[Item, ...]
    checksum: int | None = None


class ItemsReceived(Message, frozen=True, tag=21):
    """Sidecar to controller: acknowledges an `Items` message."""

    number: int


class InContact(Message, frozen=True, tag=70):
    """Controller to sidecar: whether it is in contact with a majority of the voters."""

    in_contact: bool


# --- consensus on configuration changes (`mesh.control.consensus`)


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


# --- idempotency keys (`mesh.state.idempotency`)


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


# --- ownership of key ranges (`mesh.state.shards`, `mesh.state.key_leases`)


class RenewLease(Message, frozen=True, tag=80):
    """Sidecar to the voters: requests confirmation that the server beside it may hold these ranges."""

    number: int  # repeated by the response
    epoch: int
    service: str
    owner: Owner
    ranges: tuple[FencedRange, ...]
    lease_ms: int = DEFAULT_MAX_LEASE_MS  # how long each is to last from when this was sent


class LeaseAnswer(Message, frozen=True, tag=81):
    """Response to `RenewLease`. No voter of the epoch confirms a range that is revoked as far as it knows."""

    number: int
    epoch: int
    confirmed: tuple[bool, ...]  # by position in the request; empty if it is no voter of the epoch


class RangesReleased(Message, frozen=True, tag=82):
    """Sidecar to all controllers: a server does not hold these ranges, and will not under these fences.

    It is sent again until the table of the service has no such revoked ranges of the server.
    """

    service: str
    owner: Owner
    ranges: tuple[ReleasedRange, ...]


class BucketLoad(msgspec.Struct, frozen=True, array_like=True):
    """The recent load of one bucket of keys."""

    bucket: int  # number of the bucket: its first key divided by `shard_load.BUCKET_KEYS`
    work: float  # average number of requests at work at the server at the same time


class ShardLoad(Message, frozen=True, tag=83):
    """Sidecar to all controllers, sent periodically: the load of the server beside it, by bucket of keys.

    Buckets without load are left out.
    """

    service: str
    owner: Owner
    loads: tuple[BucketLoad, ...]


# --- reconfiguration of the voters (`mesh.control.ballot`)


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


# --- calls from sidecar to sidecar


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A request for the local server of another sidecar. Times are seconds counted from sending."""

    service: str
    caller: str  # the service of the sending sidecar's machine
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    remaining_s: float
    target_s: float
    attempt_id: bytes
    key: str
    route: str
    is_retry: bool = False  # whether its client has already spent time on it
    repeatable: bool = False
    past_target: bool = False  # whether its target latency has passed
    size: int = 0  # bytes of a body that is sent separately, in chunks
    priority: int = 0  # of its route; 0 is the highest
    # Only with a key: the most time since the client sent the request, and the time of sending, by a lower
    # bound on the receiver's monotonic clock, if its clock is known. None from older versions.
    age_s: float | None = None
    sent_at: float | None = None
    shard_key: int = NO_KEY  # of a request to a sharded service


class Forward(Message, frozen=True, tag=50):
    """Sidecar to the sidecar of a server: a call to run there."""

    number: int
    call: Call


class ForwardAnswer(Message, frozen=True, tag=51):
    """Response to `Forward`."""

    number: int
    error: int  # an `ErrorKind`, or 0 if the server has answered
    arrived: bool  # whether the call has reached a server
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    wait_s: float = 0.0  # current queueing time at the server
    work_s: float = 0.0  # service time of calls of this route
    failure_rate: float = 0.0  # recent fraction of failed calls

    @classmethod
    def failed(cls, number: int, error: ErrorKind, arrived: bool = False) -> ForwardAnswer:
        """Returns the response to a call that has no answer; `arrived` tells whether it reached a server."""
        return cls(number, int(error), arrived, 0, [], b"")


class Overdue(Message, frozen=True, tag=53):
    """Response to `Forward`: the server takes unusually long for a call, which is still running."""

    number: int


class Cancel(Message, frozen=True, tag=59):
    """Sidecar to the sidecar of a server: the client of a call has disconnected."""

    number: int


class SendBody(Message, frozen=True, tag=54):
    """Response to `Forward`: permits sending the body of a call up to an offset."""

    number: int
    end_offset: int  # from the beginning of the body


class BodyChunk(Message, frozen=True, tag=55):
    """The next chunk of the body of a call."""

    number: int
    data: bytes


class BodyDropped(Message, frozen=True, tag=56):
    """The call is abandoned; the rest of its body will not be sent."""

    number: int


class LoadQuery(Message, frozen=True, tag=57):
    """Sidecar to sidecars: requests the load at their servers."""

    number: int
    route: str
    size: int  # bytes of the body of the call


class LoadReport(Message, frozen=True, tag=58):
    """Response to `LoadQuery`."""

    number: int
    is_open: bool  # whether a call would be accepted
    wait_s: float = 0.0
    work_s: float = 0.0
    transfer_s: float = 0.0  # time to transfer its body
    failure_rate: float = 0.0


class Ping(Message, frozen=True, tag=0):
    """Keepalive request."""

    sent_at: float | None = None  # by the sender's monotonic clock; None from older versions


class Pong(Message, frozen=True, tag=1):
    """Response to `Ping`."""

    sent_at: float | None = None  # by the sender's monotonic clock; None from older versions


def kind_of(message: type[Message]) -> int:
    """Returns the tag of a message class."""
    tag = message.__struct_config__.tag
    assert isinstance(tag, int)
    return tag


def _kinds() -> dict[int, type[Message]]:
    classes: list[type[Message]] = [*Message.__subclasses__(), *Answer.__subclasses__()]
    return {kind_of(message): message for message in classes if message is not Answer}


KINDS = _kinds()
"""All message classes by tag."""


def encode(message: Message) -> list[Any]:
    """Returns the array that represents a message on the wire."""
    row: list[Any] = msgspec.to_builtins(message, builtin_types=(bytes,))
    return row


def decode(row: Any) -> Message | None:
    """Returns the message that an array represents, or None if its tag is unknown.

    Raises ValueError if the array is not a valid message.
    """
    if not isinstance(row, list) or not row:
        raise ValueError("a message must be a non-empty array")
    message = KINDS.get(row[0])
    if message is None:
        return None
    return msgspec.convert(row, message, builtin_types=(bytes,))
