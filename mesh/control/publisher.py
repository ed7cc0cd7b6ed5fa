"""What a controller tells sidecars: which of them there are, and the configuration."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.heartbeats import Heartbeats
from mesh.control.peers import Peers
from mesh.state.configuration import EMPTY, Item
from mesh.state.configuration import Items as ItemTable
from mesh.state.distribution import RecordsDigest
from mesh.transport import messages
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import (
    CurrentVoters,
    Digest,
    EndpointGone,
    Endpoints,
    Follow,
    InContact,
    Items,
    ItemsReceived,
    Message,
    NewerLifeKnown,
    Pull,
    PullRecords,
    Register,
    SidecarRecord,
    checksum,
)

FORGET_S = 6.0  # a sidecar's record outlasts its connection by so much
GATHERED_S = 0.02  # records of sidecars that come together are told together
DIGEST_S = 0.5  # digests of records that change together are told together
VERSION_WITH_RECORDS_DIGEST = 4  # a sidecar of an older version hears all records from all controllers
VERSION_THAT_FOLLOWS = 2  # a sidecar of an older version takes whatever is told


class Publisher:
    """The sidecars that are linked to one controller, and what they have been told."""

    def __init__(
        self,
        context: Context,
        peers: Peers,
        agreement: Agreement,
        heartbeats: Heartbeats,
        told_voters: Callable[[], CurrentVoters],
    ) -> None:
        self._context, self._peers = context, peers
        self._agreement, self._heartbeats = agreement, heartbeats
        self._told_voters = told_voters
        self.acknowledged: dict[str, int] = {}  # by sidecar: the last `Items` that it has acknowledged
        self._sidecars: dict[PeerConnection, str] = {}
        self._old: set[PeerConnection] = set()  # sidecars of a version that knows no epochs
        self._records: dict[str, SidecarRecord] = {}
        self._digest = RecordsDigest()  # of those records
        self._digest_due = False
        self._take_digests: set[PeerConnection] = set()  # sidecars that understand it
        self._news: dict[str, SidecarRecord] = {}  # records that are to be told
        self._followers: set[PeerConnection] = set()  # sidecars that hear tables and changes from here
        self._number = 0
        self._whole: tuple[ItemTable, bytes] = (EMPTY, b"")  # packed once for all who ask

    @property
    def any_old(self) -> bool:
        """Whether a sidecar is linked that knows no epochs."""
        return bool(self._old)

    @property
    def linked(self) -> int:
        """Sidecars that are linked."""
        return len(self._sidecars)

    @property
    def following(self) -> int:
        """Those of them that hear tables and changes from here."""
        return len(self._followers)

    def send(self, message: Message) -> None:
        """Tell all sidecars something."""
        packed = pack(message)
        for link in self._sidecars:
            link.send_packed(packed)

    # --- sidecars

    def register(self, link: PeerConnection, told: Register) -> None:
        """A sidecar says what it is, and what can be had there."""
        record = told.record
        fresh = link not in self._sidecars
        if fresh and not told.version:
            self._old.add(link)
        self._sidecars[link] = record.node
        known = self._records.get(record.node)
        if fresh and known is not None and known.incarnation > record.incarnation:
            link.send(NewerLifeKnown(known.incarnation))
        news = known is None or record.order > known.order
        if news:
            self._records[record.node] = record
            self._digest.update(record.node, record.incarnation, record.number)
        if told.version >= VERSION_WITH_RECORDS_DIGEST:
            self._take_digests.add(link)
        if fresh:
            self._welcome(link, told.version)
        if news:
            if not self._news:
                self._context.loop.call_later(GATHERED_S, self._tell_news)
            self._news[record.node] = record

    def _welcome(self, link: PeerConnection, version: int) -> None:
        """Tell a sidecar that was not linked before where it stands."""
        link.send(InContact(self._heartbeats.told))
        link.send(self._peers.controllers())
        if self._context.voters.epoch:
            link.send(self._told_voters())
        if version >= VERSION_WITH_RECORDS_DIGEST:
            link.send(messages.RecordsDigest(self._digest.value))  # one told before may be lost with its link
        if version < VERSION_THAT_FOLLOWS:
            self._followers.add(link)
            link.send_packed(self._packed_whole())
            link.send(self._endpoints())
        elif self._heartbeats.told:
            link.send(Digest(self._agreement.copy.digest))

    def _endpoints(self) -> Endpoints:
        return Endpoints(tuple(self._records.values()))

    def _tell_news(self) -> None:
        """Tell the sidecars that follow this controller of records that are news. The others hear them from
        the controllers that they follow, and a digest from this one: with each record told by each controller
        to each sidecar, records were most of what control sends."""
        records, self._news = tuple(self._news.values()), {}
        if not records:
            return
        packed = pack(Endpoints(records))
        for link in self._sidecars:
            if link in self._followers or link not in self._take_digests:
                link.send_packed(packed)
        if not self._digest_due:
            self._digest_due = True
            self._context.loop.call_later(DIGEST_S, self._tell_digest)

    def _tell_digest(self) -> None:
        self._digest_due = False
        packed = pack(messages.RecordsDigest(self._digest.value))
        for link in self._take_digests - self._followers:
            link.send_packed(packed)

    def pull_records(self, link: PeerConnection, asked: PullRecords) -> None:
        """A sidecar that follows another controller asks for all records."""
        link.send(self._endpoints())

    def left(self, link: PeerConnection) -> None:
        """A connection has ended."""
        node = self._sidecars.pop(link, None)
        self._old.discard(link)
        self._followers.discard(link)
        self._take_digests.discard(link)
        record = self._records.get(node) if node is not None else None
        if record is not None:
            self._context.loop.call_later(FORGET_S, self._forget, record.node, record.incarnation)

    def _forget(self, node: str, life: int) -> None:
        record = self._records.get(node)
        if record is None or record.incarnation != life or node in self._sidecars.values():
            return
        del self._records[node]
        self._digest.remove(node)
        self._news.pop(node, None)
        self.send(EndpointGone(node, life))

    # --- configuration

    def publish(self, items: list[Item]) -> None:
        """Tell the sidecars that follow this controller of items that are news, and the others by eight bytes
        that there is news. Out of contact nothing is told: all hear the digest once it is found again."""
        if not self._heartbeats.told:
            return
        self._number += 1
        packed, digest = self._packed(items), pack(Digest(self._agreement.copy.digest))
        for link in self._sidecars:
            link.send_packed(packed if link in self._followers else digest)

    def _packed(self, items: Iterable[Item]) -> bytes:
        rows = tuple(items)
        return pack(Items(self._number, rows, checksum(rows)))

    def _packed_whole(self) -> bytes:
        items = self._agreement.copy.items
        if self._whole[0] is not items or not self._whole[1]:
            self._whole = items, self._packed(items.values())
        return self._whole[1]

    def follow(self, link: PeerConnection, told: Follow) -> None:
        """A sidecar hears tables and changes from here from now on, or no longer. One that has nothing gets
        all; one that has something else than this controller says what it lacks."""
        if told.digest is None or not self._current(link):
            self._followers.discard(link)
            return
        self._followers.add(link)
        link.send(self._endpoints())
        if not told.digest:
            link.send_packed(self._packed_whole())
        else:
            link.send(Digest(self._agreement.copy.digest))

    def pull(self, link: PeerConnection, asked: Pull) -> None:
        """A sidecar asks for what it lacks."""
        if not self._current(link):
            return
        lacking = self._agreement.lacking(asked.buckets)
        whole = len(lacking) == len(self._agreement.copy.items)
        link.send_packed(self._packed_whole() if whole else self._packed(lacking))

    def received(self, link: PeerConnection, told: ItemsReceived) -> None:
        """A sidecar acknowledges what it was told."""
        node = self._sidecars.get(link)
        if node is not None:
            self.acknowledged[node] = told.number

    def _current(self, link: PeerConnection) -> bool:
        """Whether a sidecar may be told what this controller holds; if not, it is told to turn elsewhere."""
        if self._heartbeats.in_contact:
            return True
        self._heartbeats.lose()
        link.send(InContact(False))
        return False

    def contact(self, found: bool) -> None:
        """Contact with a majority is found or lost."""
        self.send(InContact(found))
        if found:
            self.send(Digest(self._agreement.copy.digest))
