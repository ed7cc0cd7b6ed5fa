"""What messages share: base classes, the record of a sidecar, checksums, and the keepalive messages."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from zlib import crc32

import cbor2
import msgspec

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


class Ping(Message, frozen=True, tag=0):
    """Keepalive request."""

    sent_at: float | None = None  # by the sender's monotonic clock; None from older versions


class Pong(Message, frozen=True, tag=1):
    """Response to `Ping`."""

    sent_at: float | None = None  # by the sender's monotonic clock; None from older versions
