"""A sidecar's dealings with the controllers: which there are, the configuration, and who votes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from loguru import logger

from mesh.proxy.context import ProxyContext
from mesh.proxy.key_claims import KeyClaims
from mesh.settings import Address
from mesh.state import configuration
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
    """The connections to all controllers, and what they have told.

    `hear` gets what controllers say; `own_record` makes the record that each new connection begins with;
    `on_table` is called whenever another configuration is in force here.
    """

    def __init__(
        self, context: ProxyContext, hear: MessageHandler, own_record: Callable[[], SidecarRecord]
    ) -> None:
        self._context, self._hear, self._own_record = context, hear, own_record
        settings = context.settings
        self.copy = ConfigurationCopy()  # the items that are in force here
        self.table = configuration.EMPTY_TABLE
        self.connections: dict[str, PeerConnection] = {}  # by controller
        self.selector = ControllerSelector(context.node_name, settings.zone)
        self.on_table: Callable[[], None] = lambda: None
        self.records_digest: Callable[[], int] = lambda: 0
        """The digest of all records that this sidecar holds."""
        self._comparison = RecordsComparison()
        self._dials: dict[str, Dialer] = {}
        self._zones: dict[str, str] = {}
        self._lives: dict[str, int] = {}
        self._forgotten: dict[str, int] = {}  # the life with which others have forgotten a controller
        self.key_claims = KeyClaims(
            context.loop, self.connections, self._zones, settings.zone, context.next_number
        )

    def start(self) -> None:
        """Dial the seeds, as the settings name them now."""
        for seed in self._context.settings.seed_peers:
            self._know(seed)

    def close(self) -> None:
        """Keep no connection any more."""
        for dial in self._dials.values():
            dial.stop()

    def send(self, message: Message) -> None:
        """Tell all controllers something."""
        packed = pack(message)
        for link in self.connections.values():
            link.send_packed(packed)

    # --- connections

    def _know(self, address: str) -> None:
        if address in self._dials:
            return
        self._dials[address] = Dialer(
            Address.read(address),
            self._hear,
            partial(self._connected, address),
            partial(self._disconnected, address),
        )

    def _connected(self, address: str, link: PeerConnection) -> None:
        link.peer = address
        self.connections[address] = link
        link.send(Register(self._own_record(), VERSION))

    def _disconnected(self, address: str, link: PeerConnection) -> None:
        if self.connections.get(address) is link:
            del self.connections[address]
            self.selector.on_disconnect(address)
            self._comparison.on_disconnect(address)
            self._follow()
            self._forget(address)
        self.key_claims.on_connection_lost(address)

    def _forget(self, address: str) -> None:
        """Dial a controller no more that others have forgotten, unless it is reached from here."""
        kept = address in self._context.settings.seed_peers or address in self.key_claims.voters.names
        if address in self._forgotten and address not in self.connections and not kept:
            dial = self._dials.pop(address, None)
            if dial is not None:
                dial.stop()

    # --- what controllers say

    def hear_controllers(self, link: PeerConnection, told: Controllers) -> None:
        """Which controllers there are, and which were forgotten: those come back by a later life alone."""
        for address in told.addresses:
            life = told.incarnations.get(address, 0)
            if life > self._forgotten.get(address, -1):
                self._forgotten.pop(address, None)
                self._lives[address] = max(life, self._lives.get(address, 0))
                self._know(address)
        for address, life in told.forgotten.items():
            if life >= self._lives.get(address, 0):
                self._forgotten[address] = life
                self._forget(address)
        if link.peer:
            self._zones[link.peer] = told.zone
            self._follow()

    def hear_voters(self, link: PeerConnection, told: CurrentVoters) -> None:
        """Who votes."""
        self.apply_voters(Voters(told.epoch, told.names))

    def apply_voters(self, voters: Voters) -> None:
        """Claim keys of these voters from now on, if they are news."""
        if not voters.supersedes(self.key_claims.voters):
            return
        for name in voters.names:
            self._know(name)
        self.key_claims.update_voters(voters)

    def hear_contact(self, link: PeerConnection, told: InContact) -> None:
        """Whether a controller is in contact with a majority: else another is followed."""
        self.selector.set_in_contact(link.peer, told.in_contact)
        self._follow()

    def _follow(self) -> None:
        """Hear tables and changes from one controller: the nearest there is."""
        before = self.connections.get(self.selector.controller)
        controller = self.selector.choose(self.connections, self._zones)
        if controller is None:
            return
        if before is not None:
            before.send(Follow(None))
        if controller:
            self.connections[controller].send(Follow(self.copy.digest))

    def hear_digest(self, link: PeerConnection, told: Digest) -> None:
        """What a controller may tell has this digest."""
        if self.selector.on_digest(self._context.now(), link.peer, told.digest, self.copy.digest):
            # The one that is followed tells it in answer to `Follow`: what is lacking has to be asked for.
            # But who has nothing yet is told all.
            known = link.peer == self.selector.controller and self.copy.digest
            self._context.loop.call_later(0.0 if known else PULL_DELAY_S, self._pull_if_lacking, link)

    def _pull_if_lacking(self, link: PeerConnection) -> None:
        """Ask a controller for what it has and this sidecar has not, if that did not come by itself."""
        if not link.open:
            return
        followed = self.connections.get(self.selector.controller)
        tells = followed is not None and (followed is not link or not self.copy.digest)
        heard_at = followed.last_received_at if followed is not None and tells else 0.0
        lacking = self.selector.should_pull(self._context.now(), link.peer, self.copy.digest, heard_at)
        if lacking is None:
            self._context.loop.call_later(PULL_DELAY_S, self._pull_if_lacking, link)
        elif lacking:
            self._pull(link)

    def _pull(self, link: PeerConnection) -> None:
        link.send(Pull(self.copy.bucket_digests()))

    def hear_records_digest(self, link: PeerConnection, told: RecordsDigest) -> None:
        """What a controller that is not followed holds of sidecars' records has this digest."""
        now = self._context.now()
        if self._comparison.on_digest(now, link.peer, told.digest, self.records_digest()):
            self._context.loop.call_later(RECORDS_PULL_DELAY_S, self._pull_records_if_lacking, link)

    def _pull_records_if_lacking(self, link: PeerConnection) -> None:
        """Ask a controller for all records, if what it holds did not come by itself. The one that is followed
        tells each record, and no digest after its first."""
        if not link.open:
            return
        if link.peer == self.selector.controller:
            self._comparison.on_disconnect(link.peer)
            return
        lacking = self._comparison.should_pull(self._context.now(), link.peer, self.records_digest())
        if lacking is None:
            self._context.loop.call_later(RECORDS_PULL_DELAY_S, self._pull_records_if_lacking, link)
        elif lacking:
            link.send(PullRecords())

    def on_items(self, link: PeerConnection, told: Items) -> None:
        """Items that are news, or all."""
        if not matches_checksum(told.items, told.checksum):
            logger.warning("items that are not those that were sent are dropped and asked for anew")
            self._context.loop.call_later(PULL_TIMEOUT_S, self._pull, link)
            return
        self.apply_items(told.items)
        link.send(ItemsReceived(told.number))

    def apply_items(self, items: Iterable[Item]) -> None:
        """Merge items, and swap the table where they are news."""
        self.selector.on_pull_answered()
        if not self.copy.merge(items):
            return
        self.table, wrong = configuration.build_table(self.copy.items)
        for clash in wrong:
            logger.warning("held out: {}", clash.text)
        self.on_table()
