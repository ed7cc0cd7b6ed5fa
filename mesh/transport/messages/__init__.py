"""Messages exchanged between the processes of the mesh, and their encoding.

On the wire a message is a CBOR array whose first element is the message's tag (`encode`, `decode`). Tags 0
and 1 are the keepalive messages `Ping` and `Pong`.

Compatibility: newer versions only append fields. A receiver ignores fields that it does not know, fields that
an older sender omits have defaults, and messages with an unknown tag are ignored.

Requests that go to several machines carry a `round`, which each response repeats.
"""

from __future__ import annotations

from typing import Any

import msgspec

from mesh.transport.messages.base import (
    FIRST_RECORD_NUMBER,
    VERSION,
    Answer,
    Message,
    Ping,
    Pong,
    SidecarRecord,
    checksum,
    matches_checksum,
)
from mesh.transport.messages.calls import (
    BodyChunk,
    BodyDropped,
    Call,
    Cancel,
    Forward,
    ForwardAnswer,
    LoadQuery,
    LoadReport,
    Overdue,
    SendBody,
)
from mesh.transport.messages.consensus import (
    Abandon,
    Accept,
    AcceptAnswer,
    Commit,
    Fetch,
    FetchAnswer,
    Prepare,
    PrepareAnswer,
)
from mesh.transport.messages.distribution import Digest, Follow, InContact, Items, ItemsReceived, Pull
from mesh.transport.messages.key_ranges import BucketLoad, LeaseAnswer, RangesReleased, RenewLease, ShardLoad
from mesh.transport.messages.keys import (
    ClaimAnswer,
    ClaimKey,
    FetchGrants,
    FreeKey,
    GrantsAnswer,
    KeyBroken,
    KeyDone,
)
from mesh.transport.messages.membership import (
    Controllers,
    CurrentVoters,
    EndpointGone,
    Endpoints,
    Forgotten,
    Hello,
    KnownServer,
    NewerLifeKnown,
    PullRecords,
    RecordChanged,
    RecordsDigest,
    Register,
)
from mesh.transport.messages.reconfiguration import (
    AskView,
    Bid,
    BidAnswer,
    Heartbeat,
    HeartbeatAnswer,
    Seal,
    SealAnswer,
    Successor,
    ViewAnswer,
)


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


__all__ = [
    "Abandon",
    "Accept",
    "AcceptAnswer",
    "Answer",
    "AskView",
    "Bid",
    "BidAnswer",
    "BodyChunk",
    "BodyDropped",
    "BucketLoad",
    "Call",
    "Cancel",
    "ClaimAnswer",
    "ClaimKey",
    "Commit",
    "Controllers",
    "CurrentVoters",
    "Digest",
    "EndpointGone",
    "Endpoints",
    "FIRST_RECORD_NUMBER",
    "Fetch",
    "FetchAnswer",
    "FetchGrants",
    "Follow",
    "Forgotten",
    "Forward",
    "ForwardAnswer",
    "FreeKey",
    "GrantsAnswer",
    "Heartbeat",
    "HeartbeatAnswer",
    "Hello",
    "InContact",
    "Items",
    "ItemsReceived",
    "KINDS",
    "KeyBroken",
    "KeyDone",
    "KnownServer",
    "LeaseAnswer",
    "LoadQuery",
    "LoadReport",
    "Message",
    "NewerLifeKnown",
    "Overdue",
    "Ping",
    "Pong",
    "Prepare",
    "PrepareAnswer",
    "Pull",
    "PullRecords",
    "RangesReleased",
    "RecordChanged",
    "RecordsDigest",
    "Register",
    "RenewLease",
    "Seal",
    "SealAnswer",
    "SendBody",
    "ShardLoad",
    "SidecarRecord",
    "Successor",
    "VERSION",
    "ViewAnswer",
    "checksum",
    "decode",
    "encode",
    "kind_of",
    "matches_checksum",
]
