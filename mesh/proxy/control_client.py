"""A sidecar's connections to the controllers: controller membership, configuration, records and voters."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from loguru import logger

from mesh.proxy.context import ProxyContext
from mesh.proxy.key_claims import KeyClaims
from mesh.settings import Address
from mesh.state import configuration, shards
from mesh.state.configuration import Item
from mesh.state.distribution import (
    PULL_DELAY_S,
    PULL_TIMEOUT_S,
    RECORDS_PULL_DELAY_S,
    ConfigurationCopy,
    ControllerSelector,
    RecordsComparison,
)
from mesh.state.quorum import Voters
from mesh.transport.connection import Dialer, MessageHandler, PeerConnection, pack
from mesh.transport.messages import (
    VERSION,
    Controllers,
    CurrentVoters,
    Digest,
    Follow,
    InContact,
    Items,
    ItemsReceived,
    Message,
    Pull,
    PullRecords,
    RecordsDigest,
    Register,
    SidecarRecord,
    matches_checksum,
)


class ControlClient:
    """The connections to all controllers, and the state received from them.

    `on_message` receives the messages of controllers, `own_record` returns the record sent first on each new
    connection, and `on_table_changed` is called whenever another configuration has come into force here.
    """

    def __init__(
        self, context: ProxyContext, on_message: MessageHandler, own_record: Callable[[], SidecarRecord]
    ) -> None:
        self._context, self._on_message, self._own_record = context, on_message, own_record
        settings = context.settings
        self.copy = ConfigurationCopy()  # the configuration items in force here
        self.table = configuration.EMPTY_TABLE
        self.connections: dict[str, PeerConnection] = {}  # by controller
        self.selector = ControllerSelector(context.node_name, settings.zone)
        self.on_table_changed: Callable[[], None] = lambda: None
        self.records_digest: Callable[[], int] = lambda: 0
        """Returns the digest of all records that this sidecar holds."""
        self._comparison = RecordsComparison()
        self._dials: dict[str, Dialer] = {}  # by controller
        self._zones: dict[str, str] = {}  # by controller
        self._incarnations: dict[str, int] = {}  # by controller
        self._forgotten: dict[str, int] = {}  # by controller: the incarnation that others have forgotten
        self.key_claims = KeyClaims(
            context.loop,
            self.connections,
            self._zones,
            settings.zone,
            context.next_number,
            context.monotonic,
        )

    def start(self) -> None:
        """Connects to the seeds that the settings name now."""
        for seed in self._context.settings.seed_peers:
            self._dial(seed)

    def close(self) -> None:
        """Closes all connections."""
        for dial in self._dials.values():
            dial.stop()

    def send(self, message: Message) -> None:
        """Sends a message to all connected controllers."""
        packed = pack(message)
        for connection in self.connections.values():
            connection.send_packed(packed)

    # --- connections

    def _dial(self, address: str) -> None:
        if address in self._dials:
            return
        self._dials[address] = Dialer(
            Address.read(address),
            self._on_message,
            partial(self._on_connected, address),
            partial(self._on_disconnected, address),
        )

    def _on_connected(self, address: str, connection: PeerConnection) -> None:
        connection.peer = address
        self.connections[address] = connection
        connection.send(Register(self._own_record(), VERSION))

    def _on_disconnected(self, address: str, connection: PeerConnection) -> None:
        if self.connections.get(address) is connection:
            del self.connections[address]
            self.selector.on_disconnect(address)
            self._comparison.on_disconnect(address)
            self._follow()
            self._stop_dialing_forgotten(address)
        self.key_claims.on_connection_lost(address)

    def _stop_dialing_forgotten(self, address: str) -> None:
        """Stops dialing a controller that others have forgotten, unless it is connected to this sidecar.

        Seeds and voters are dialed in any case.
        """
        kept = address in self._context.settings.seed_peers or address in self.key_claims.voters.names
        if address in self._forgotten and address not in self.connections and not kept:
            dial = self._dials.pop(address, None)
            if dial is not None:
                dial.stop()

    # --- messages from controllers

    def on_controllers(self, connection: PeerConnection, message: Controllers) -> None:
        """Updates the list of controllers; a forgotten one returns only with a later incarnation."""
        for address in message.addresses:
            incarnation = message.incarnations.get(address, 0)
            if incarnation > self._forgotten.get(address, -1):
                self._forgotten.pop(address, None)
                self._incarnations[address] = max(incarnation, self._incarnations.get(address, 0))
                self._dial(address)
        for address, incarnation in message.forgotten.items():
            if incarnation >= self._incarnations.get(address, 0):
                self._forgotten[address] = incarnation
                self._stop_dialing_forgotten(address)
        if connection.peer:
            self._zones[connection.peer] = message.zone
            self._follow()

    def on_voters(self, connection: PeerConnection, message: CurrentVoters) -> None:
        """Handles a message that names the current voters."""
        self.apply_voters(Voters(message.epoch, message.names))

    def apply_voters(self, voters: Voters) -> None:
        """Claims idempotency keys from these voters from now on, unless they are outdated."""
        if not voters.supersedes(self.key_claims.voters):
            return
        for name in voters.names:
            self._dial(name)
        self.key_claims.update_voters(voters)

    def on_contact(self, connection: PeerConnection, message: InContact) -> None:
        """Notes whether a controller is in contact with a majority; if it is not, another is followed."""
        self.selector.set_in_contact(connection.peer, message.in_contact)
        self._follow()

    def _follow(self) -> None:
        """Subscribes to the configuration of one controller, the nearest one available."""
        previous = self.connections.get(self.selector.controller)
        controller = self.selector.choose(self.connections, self._zones)
        if controller is None:
            return
        if previous is not None:
            previous.send(Follow(None))
        if controller:
            self.connections[controller].send(Follow(self.copy.digest))

    def on_digest(self, connection: PeerConnection, message: Digest) -> None:
        """Compares the digest of a controller's configuration with that in force here."""
        if self.selector.on_digest(self._context.now(), connection.peer, message.digest, self.copy.digest):
            # The followed controller sends what is missing in answer to `Follow`, so a pull is due only if
            # that does not arrive. A sidecar without any item is sent everything.
            followed = connection.peer == self.selector.controller and self.copy.digest
            self._context.loop.call_later(
                0.0 if followed else PULL_DELAY_S, self._pull_if_lacking, connection
            )

    def _pull_if_lacking(self, connection: PeerConnection) -> None:
        """Pulls the items that a controller has and this sidecar lacks, if they did not arrive unasked."""
        if not connection.open:
            return
        followed = self.connections.get(self.selector.controller)
        sends = followed is not None and (followed is not connection or not self.copy.digest)
        heard_at = followed.last_received_at if followed is not None and sends else 0.0
        lacking = self.selector.should_pull(self._context.now(), connection.peer, self.copy.digest, heard_at)
        if lacking is None:
            self._context.loop.call_later(PULL_DELAY_S, self._pull_if_lacking, connection)
        elif lacking:
            self._pull(connection)

    def _pull(self, connection: PeerConnection) -> None:
        connection.send(Pull(self.copy.bucket_digests()))

    def on_records_digest(self, connection: PeerConnection, message: RecordsDigest) -> None:
        """Compares the records digest of a controller that is not followed with that of this sidecar."""
        now = self._context.now()
        if self._comparison.on_digest(now, connection.peer, message.digest, self.records_digest()):
            self._context.loop.call_later(RECORDS_PULL_DELAY_S, self._pull_records_if_lacking, connection)

    def _pull_records_if_lacking(self, connection: PeerConnection) -> None:
        """Pulls all records from a controller, if those that it holds did not arrive unasked.

        The followed controller sends each record as it changes, and no digest after its first one.
        """
        if not connection.open:
            return
        if connection.peer == self.selector.controller:
            self._comparison.on_disconnect(connection.peer)
            return
        lacking = self._comparison.should_pull(self._context.now(), connection.peer, self.records_digest())
        if lacking is None:
            self._context.loop.call_later(RECORDS_PULL_DELAY_S, self._pull_records_if_lacking, connection)
        elif lacking:
            connection.send(PullRecords())

    def on_items(self, connection: PeerConnection, message: Items) -> None:
        """Applies items that were pushed or pulled; corrupt ones are dropped and pulled again."""
        if not matches_checksum(message.items, message.checksum):
            logger.warning("configuration items with a wrong checksum were dropped and are pulled again")
            self._context.loop.call_later(PULL_TIMEOUT_S, self._pull, connection)
            return
        self.apply_items(message.items)
        connection.send(ItemsReceived(message.number))

    def apply_items(self, items: Iterable[Item]) -> None:
        """Merges items into the configuration, and updates the table if any of them is new."""
        self.selector.on_pull_answered()
        new_items = self.copy.merge(items)
        if not new_items:
            return
        if all(item.name.startswith(shards.ITEM_PREFIX) for item in new_items):
            # Key ranges move often, and don't affect any route.
            self.table = configuration.with_shards(self.table, new_items)
        else:
            self.table, conflicts = configuration.build_table(self.copy.items)
            for conflict in conflicts:
                logger.warning("held out: {}", conflict.text)
        self.on_table_changed()
