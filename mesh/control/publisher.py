"""Publishes the configuration and the sidecars' records to the sidecars connected to one controller."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.heartbeats import Heartbeats
from mesh.control.known_servers import KnownServers
from mesh.control.peers import Peers
from mesh.control.server_directory import ServerDirectory
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

RECORD_RETENTION_S = 6.0  # how long a sidecar's record outlasts its connection
RECORD_BATCH_S = 0.02  # records that change within this time are sent in one message
RECORDS_DIGEST_DELAY_S = 0.5  # record changes within this time share one digest
VERSION_WITH_RECORDS_DIGEST = 4  # older sidecars get all records from all controllers
VERSION_WITH_FOLLOW = 2  # older sidecars get all items and records without asking


class Publisher:
    """The sidecars that are connected to one controller, and what was sent to them."""

    def __init__(
        self,
        context: Context,
        peers: Peers,
        agreement: Agreement,
        heartbeats: Heartbeats,
        known_servers: KnownServers,
        current_voters: Callable[[], CurrentVoters],
    ) -> None:
        self._context, self._peers = context, peers
        self._agreement, self._heartbeats = agreement, heartbeats
        self._known_servers, self._current_voters = known_servers, current_voters
        self.acknowledged: dict[str, int] = {}  # by sidecar: number of the last `Items` that it acknowledged
        self._sidecars: dict[PeerConnection, str] = {}
        self._old: set[PeerConnection] = set()  # sidecars of a version without epochs
        self._records: dict[str, SidecarRecord] = {}
        self._records_digest = RecordsDigest()
        self._digest_scheduled = False
        self._digest_capable: set[PeerConnection] = set()  # sidecars that understand `RecordsDigest`
        self._pending_records: dict[str, SidecarRecord] = {}  # changed records that are not sent yet
        self._followers: set[PeerConnection] = set()  # sidecars that get items and records from here
        self.servers = ServerDirectory()
        self.on_servers_changed: Callable[[], None] = lambda: None
        """Called when a server that sidecars have registered comes, goes, opens or closes."""
        self._number = 0
        self._packed_table: tuple[ItemTable, bytes] = (EMPTY, b"")  # all items, packed once for all sidecars

    @property
    def any_old(self) -> bool:
        """Whether a sidecar of a version without epochs is connected."""
        return bool(self._old)

    @property
    def linked(self) -> int:
        """Number of connected sidecars."""
        return len(self._sidecars)

    @property
    def following(self) -> int:
        """Number of connected sidecars that get the configuration from this controller."""
        return len(self._followers)

    def send(self, message: Message) -> None:
        """Sends a message to all connected sidecars."""
        packed = pack(message)
        for connection in self._sidecars:
            connection.send_packed(packed)

    # --- sidecars

    def on_register(self, connection: PeerConnection, message: Register) -> None:
        """Handles a sidecar's record: who it is, and which instance it serves."""
        record = message.record
        new_connection = connection not in self._sidecars
        if new_connection and not message.version:
            self._old.add(connection)
        self._sidecars[connection] = record.node
        known = self._records.get(record.node)
        if new_connection and known is not None and known.incarnation > record.incarnation:
            connection.send(NewerLifeKnown(known.incarnation))
        changed = known is None or record.order > known.order
        if changed:
            self._records[record.node] = record
            self._records_digest.update(record.node, record.incarnation, record.number)
        if (changed or new_connection) and self.servers.register(
            self._context.monotonic_time(), self._records[record.node]
        ):
            self.on_servers_changed()
        if message.version >= VERSION_WITH_RECORDS_DIGEST:
            self._digest_capable.add(connection)
        if new_connection:
            self._send_initial_state(connection, message.version)
            self._send_known_server(connection, record)
        if changed:
            self._known_servers.learn(record)
            if not self._pending_records:
                self._context.loop.call_later(RECORD_BATCH_S, self._send_pending_records)
            self._pending_records[record.node] = record

    def _send_initial_state(self, connection: PeerConnection, version: int) -> None:
        """Sends a newly connected sidecar what it needs to know first."""
        connection.send(InContact(self._heartbeats.reported_contact))
        connection.send(self._peers.controllers())
        if self._context.voters.epoch:
            connection.send(self._current_voters())
        if version >= VERSION_WITH_RECORDS_DIGEST:
            # An earlier digest may have been lost with the sidecar's previous connection.
            connection.send(messages.RecordsDigest(self._records_digest.value))
        if version < VERSION_WITH_FOLLOW:
            self._followers.add(connection)
            connection.send_packed(self._pack_table())
            connection.send(self._endpoints())
        elif self._heartbeats.reported_contact:
            connection.send(Digest(self._agreement.copy.digest))

    def _send_known_server(self, connection: PeerConnection, record: SidecarRecord) -> None:
        """Tells a sidecar that has no server yet which one an earlier incarnation of it has registered."""
        server = self._known_servers.get(record.node)
        if server is not None and not record.instance:
            connection.send(server)

    def _endpoints(self) -> Endpoints:
        return Endpoints(tuple(self._records.values()))

    def _send_pending_records(self) -> None:
        """Sends changed records to the sidecars that follow this controller, and a digest to the others.

        The others get the records from the controllers that they follow. When each controller sent each
        record to each sidecar, records were most of the control traffic.
        """
        records, self._pending_records = tuple(self._pending_records.values()), {}
        if not records:
            return
        packed = pack(Endpoints(records))
        for connection in self._sidecars:
            if connection in self._followers or connection not in self._digest_capable:
                connection.send_packed(packed)
        if not self._digest_scheduled:
            self._digest_scheduled = True
            self._context.loop.call_later(RECORDS_DIGEST_DELAY_S, self._send_records_digest)

    def _send_records_digest(self) -> None:
        self._digest_scheduled = False
        packed = pack(messages.RecordsDigest(self._records_digest.value))
        for connection in self._digest_capable - self._followers:
            connection.send_packed(packed)

    def on_pull_records(self, connection: PeerConnection, request: PullRecords) -> None:
        """Sends all records to a sidecar that follows another controller."""
        connection.send(self._endpoints())

    def on_disconnect(self, connection: PeerConnection) -> None:
        """Handles the end of a connection; the sidecar's record is kept for `RECORD_RETENTION_S`."""
        node = self._sidecars.pop(connection, None)
        self._old.discard(connection)
        self._followers.discard(connection)
        self._digest_capable.discard(connection)
        record = self._records.get(node) if node is not None else None
        if node is not None and node not in self._sidecars.values():
            self.servers.disconnect(self._context.monotonic_time(), node)
            self.on_servers_changed()
        if record is not None:
            self._context.loop.call_later(
                RECORD_RETENTION_S, self._expire_record, record.node, record.incarnation
            )

    def _expire_record(self, node: str, incarnation: int) -> None:
        record = self._records.get(node)
        if record is None or record.incarnation != incarnation or node in self._sidecars.values():
            return
        del self._records[node]
        self.servers.remove(node)
        self._records_digest.remove(node)
        self._pending_records.pop(node, None)
        self.send(EndpointGone(node, incarnation))

    # --- configuration

    def publish(self, items: list[Item]) -> None:
        """Sends new items to the sidecars that follow this controller, and a digest of 8 bytes to the others.

        Nothing is sent without contact with a majority; all sidecars get the digest when contact is regained.
        """
        if not self._heartbeats.reported_contact:
            return
        self._number += 1
        packed, digest = self._pack_items(items), pack(Digest(self._agreement.copy.digest))
        for connection in self._sidecars:
            connection.send_packed(packed if connection in self._followers else digest)

    def _pack_items(self, items: Iterable[Item]) -> bytes:
        rows = tuple(items)
        return pack(Items(self._number, rows, checksum(rows)))

    def _pack_table(self) -> bytes:
        items = self._agreement.copy.items
        if self._packed_table[0] is not items or not self._packed_table[1]:
            self._packed_table = items, self._pack_items(items.values())
        return self._packed_table[1]

    def on_follow(self, connection: PeerConnection, message: Follow) -> None:
        """Handles a sidecar that starts or stops following this controller.

        A new follower without items gets all of them; one with other items than this controller gets the
        digest and pulls what it lacks.
        """
        if message.digest is None or not self._check_contact(connection):
            self._followers.discard(connection)
            return
        self._followers.add(connection)
        connection.send(self._endpoints())
        if not message.digest:
            connection.send_packed(self._pack_table())
        else:
            connection.send(Digest(self._agreement.copy.digest))

    def on_pull(self, connection: PeerConnection, request: Pull) -> None:
        """Sends a sidecar the items that it may lack."""
        if not self._check_contact(connection):
            return
        missing = self._agreement.missing_items(request.buckets)
        all_missing = len(missing) == len(self._agreement.copy.items)
        connection.send_packed(self._pack_table() if all_missing else self._pack_items(missing))

    def on_items_received(self, connection: PeerConnection, message: ItemsReceived) -> None:
        """Handles a sidecar's acknowledgement of items."""
        node = self._sidecars.get(connection)
        if node is not None:
            self.acknowledged[node] = message.number

    def _check_contact(self, connection: PeerConnection) -> bool:
        """Returns whether this controller may serve its items; if not, tells the sidecar so."""
        if self._heartbeats.in_contact:
            return True
        self._heartbeats.report_lost()
        connection.send(InContact(False))
        return False

    def on_contact(self, in_contact: bool) -> None:
        """Tells all sidecars that contact with a majority was gained or lost."""
        self.send(InContact(in_contact))
        if in_contact:
            self.send(Digest(self._agreement.copy.digest))
