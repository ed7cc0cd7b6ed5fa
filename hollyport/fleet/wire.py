"""The datagrams of a fleet: schema, bytes, and what is taken in. No I/O.

A datagram is a keyed digest (BLAKE2b, 16 bytes, RFC 7693) and one CBOR array (RFC 8949), as everything
between this project's own processes; msgspec checks it against the schema. Arrays grow at their end:
a reader leaves out fields that it doesn't know and fills in those that an older sender had not, so that
formats can live beside each other while a fleet is upgraded. What does not verify is no message: the caller
counts it by `Refused.why`.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated

import cbor2
import msgspec
from msgspec import Meta

FORMAT = 1
"""Counted up when an older reader could misread a datagram; fields added at an array's end need no new
number."""
DIGEST = 16
MOST = 1200  # bytes of a datagram: fits the smallest path that IPv6 allows, with headers to spare

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Place = Annotated[str, Meta(max_length=64)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Kind(IntEnum):
    """What a datagram asks or answers; all of them carry states and facts beside."""

    PING = 1  # answer with ACK, same `seq`
    ACK = 2  # `target` lives: I am it, or have just heard it on your behalf
    ASK = 3  # ping `target` for me, and tell me by ACK or NACK with my `seq`
    NACK = 4  # I live and heard your ASK, and `target` has not answered me yet
    TELL = 5  # nothing but what is carried


class Status(IntEnum):
    """What is held of a member. At equal incarnations the greater one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself


class State(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What the sender holds of one member."""

    name: Name
    status: Annotated[int, Meta(ge=0, le=3)]
    incarnation: Number
    process: Number
    address: Place
    by: Annotated[str, Meta(max_length=64)] = ""  # whose suspicion it is, for independent confirmations
    heir: bool = False


class Fact(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Something small that its owner tells all. `incarnation` and `serial` order the versions of one key."""

    owner: Name
    key: Annotated[str, Meta(min_length=1, max_length=32)]
    incarnation: Number
    serial: Number
    left_ms: Annotated[int, Meta(ge=0, le=86_400_000)]  # until it ends, as the sender counts
    value: Annotated[bytes, Meta(max_length=128)]


class Datagram(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One message, whole."""

    format: int
    fleet: Name
    sender: Name
    process: Number  # drawn at random by each process: tells two under one name apart
    incarnation: Number
    number: Number  # of this process's datagrams, from 1: what comes twice is known by it
    address: Place  # where the sender is reached; empty: not told
    kind: Annotated[int, Meta(ge=1, le=63)]
    seq: Number
    target: Annotated[str, Meta(max_length=64)] = ""
    flags: int = 0
    states: tuple[State, ...] = ()
    facts: tuple[Fact, ...] = ()


HEIR = 1  # the sender takes over from another process of its name: an upgrade
MORE = 2  # the sender knows few members: tell as many as fit


class Refused(ValueError):
    """Bytes that are no message for this fleet; `why` is one of a few words, to be counted."""

    def __init__(self, why: str) -> None:
        super().__init__(why)
        self.why = why


KEPT = (bytes,)  # types that CBOR has of its own
WHYS = ("long", "short", "digest", "schema", "format", "fleet", "stranger", "echo", "old", "doubled", "flood")
"""All causes by which something that came is not taken in."""


def size(part: State | Fact) -> int:
    """Bytes that it takes in a datagram."""
    return len(_pack(part))


def _pack(part: State | Fact | Datagram) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(part, builtin_types=KEPT))


def encode(datagram: Datagram, key: bytes) -> bytes:
    """The bytes of a message, signed."""
    body = _pack(datagram)
    return hashlib.blake2b(body, digest_size=DIGEST, key=key).digest() + body


def decode(data: bytes, keys: Sequence[bytes], fleets: Sequence[str]) -> Datagram:
    """Read a message; raise Refused on what is none. The digest comes first: nothing unsigned is parsed."""
    if len(data) > MOST:
        raise Refused("long")
    if len(data) <= DIGEST:
        raise Refused("short")
    said, body = data[:DIGEST], data[DIGEST:]
    for key in keys:
        if hmac.compare_digest(said, hashlib.blake2b(body, digest_size=DIGEST, key=key).digest()):
            break
    else:
        raise Refused("digest")
    try:
        made = msgspec.convert(cbor2.loads(body), Datagram, builtin_types=KEPT)
    except (cbor2.CBORError, msgspec.ValidationError, ValueError, TypeError, RecursionError):
        raise Refused("schema") from None
    if made.format != FORMAT:
        raise Refused("format")
    if made.fleet not in fleets:
        raise Refused("fleet")
    return made


class Window:
    """Which datagrams of one process have come (RFC 4303, section 3.4.3): each is taken once, within 64 of
    the highest; older ones are taken for replays."""

    __slots__ = ("_top", "_seen")

    def __init__(self) -> None:
        self._top = self._seen = 0

    def take(self, number: int) -> str:
        """Note one; the cause where it is not to be taken in, else an empty text."""
        ahead = number - self._top
        if ahead > 0:
            self._seen = ((self._seen << ahead) | 1) & ((1 << 64) - 1) if ahead < 64 else 1
            self._top = number
            return ""
        if ahead <= -64:
            return "old"
        bit = 1 << -ahead
        if self._seen & bit:
            return "doubled"
        self._seen |= bit
        return ""
