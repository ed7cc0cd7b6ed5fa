"""Ownership of key ranges, between sidecars and controllers (`mesh.state.key_leases`)."""

from __future__ import annotations

import msgspec

from mesh.state.shards import DEFAULT_MAX_LEASE_MS, FencedRange, Owner, ReleasedRange
from mesh.transport.messages.base import Message


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
