"""Distribution of the configuration from controllers to sidecars."""

from __future__ import annotations

from mesh.state.configuration import Item
from mesh.transport.messages.base import Message


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
