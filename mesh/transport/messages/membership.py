"""Who is there: sidecars, their servers, controllers and voters, as processes tell each other."""

from __future__ import annotations

from mesh.state.quorum import Voters
from mesh.transport.messages.base import Message, SidecarRecord


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
