"""The other controllers: which are known, the connections to them, and which are forgotten."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from loguru import logger

from mesh.control.ballot import FailureDetector
from mesh.control.context import Context
from mesh.settings import Address
from mesh.state.quorum import Voters
from mesh.transport.connection import Dialer, PeerConnection, pack
from mesh.transport.messages import Controllers, Forgotten, Hello, Message

MAX_FORGOTTEN = 256


class PeerEvents(Protocol):
    """Callbacks of a controller for events of its peers."""

    def hear(self, link: PeerConnection, message: Message) -> None:
        """Handles a message of a peer."""

    def peers_changed(self) -> None:
        """Handles a change of the set of known controllers, which has to be sent to sidecars."""

    def check_peers(self, links: Iterable[PeerConnection]) -> None:
        """Sends heartbeats at once to peers that may now count for the read lease."""

    def learn_voters(self, voters: Voters, previous: tuple[str, ...]) -> None:
        """Learns the voters that a peer reports."""


class Peers:
    """All other controllers that one controller knows, by address."""

    def __init__(self, context: Context, events: PeerEvents, max_silence_s: float) -> None:
        self._context, self._events = context, events
        self.failure_detector = FailureDetector(context.loop.time(), max_silence_s)
        self.connections: dict[str, PeerConnection] = {}
        self.epochs: dict[str, int] = {}  # by controller: the epoch it reported
        self.caught_up_epochs: dict[str, int] = {}  # by controller: the epoch it reported to be caught up in
        self.zones: dict[str, str] = {}  # by controller: the zone it reported
        self.caught_up_without_voters: set[str] = set()  # caught up in epoch 1, with no voters named yet
        self.last_discovery_at = context.loop.time()  # when the latest new controller became known
        self._dials: dict[str, Dialer] = {}
        self._incarnations: dict[str, int] = {}  # the latest known, 0 for an older version
        self._forgotten: dict[str, int] = {}  # by controller: the latest incarnation that is forgotten
        self._legacy: set[str] = set()  # of a version without epochs

    @property
    def names(self) -> list[str]:
        """All known controllers, connected or not."""
        return list(self._dials)

    @property
    def any_legacy(self) -> bool:
        """Whether a controller of a version without epochs is connected."""
        return any(name in self.connections for name in self._legacy)

    def live(self) -> list[str]:
        """Returns the connected controllers that respond.

        A frozen machine still accepts connections, but does not respond.
        """
        now = self._context.loop.time()
        return [name for name in self.connections if self.failure_detector.contact_s(now, name)]

    def connections_to(self, voters: Voters) -> list[PeerConnection]:
        """Returns the open connections to some voters."""
        return [self.connections[name] for name in voters.names if name in self.connections]

    # --- sending

    def hello(self) -> Hello:
        """Returns what this controller reports of itself and of the others to controllers."""
        context, member = self._context, self._context.member
        return Hello(
            context.me,
            context.voters,
            (context.me, *self._dials),
            context.settings.zone,
            member.previous_voters,
            member.caught_up_epoch,
            self._all_incarnations(),
            dict(self._forgotten),
        )

    def controllers(self) -> Controllers:
        """Returns what this controller reports of itself and of the others to sidecars."""
        context = self._context
        addresses = (context.me, *self._dials)
        return Controllers(addresses, context.settings.zone, self._all_incarnations(), dict(self._forgotten))

    def _all_incarnations(self) -> dict[str, int]:
        known = {name: self._incarnations.get(name, 0) for name in self._dials}
        return {self._context.me: self._context.incarnation} | known

    def send_hello(self) -> None:
        """Sends the current `Hello` to all connected controllers."""
        self.send(self.hello())

    def send(self, message: Message) -> None:
        """Sends a message to all connected controllers."""
        packed = pack(message)
        for link in self.connections.values():
            link.send_packed(packed)

    def _changed(self) -> None:
        self.send_hello()
        self._events.peers_changed()

    # --- connections

    def add(self, address: str, incarnation: int = 0, itself: bool = False) -> None:
        """Adds a controller that others, or it itself (`itself`), reported.

        A forgotten controller is added again only with a later incarnation or by its own report, as the
        reports of others may be out of date.
        """
        forgotten = self._forgotten.get(address, -1)
        if address == self._context.me or (incarnation <= forgotten and not itself):
            return
        self._forgotten.pop(address, None)
        known = self._incarnations.get(address, 0)
        self._incarnations[address] = max(incarnation, known)
        if address in self._dials:
            if incarnation > known > 0:  # those that have forgotten the earlier one have to learn of this one
                self._changed()
            return
        self.last_discovery_at = self._context.loop.time()
        self.failure_detector.add(self.last_discovery_at, address)
        self._dials[address] = Dialer(
            Address.read(address),
            self._events.hear,
            lambda link: self._on_connected(address, link),
            lambda link: self._on_disconnected(address, link),
        )
        self._changed()

    def add_voter(self, address: str) -> None:
        """Adds a voter, even if it was forgotten."""
        self.add(address, self._forgotten.get(address, -1) + 1)

    def _on_connected(self, address: str, link: PeerConnection) -> None:
        link.peer = address
        self.connections[address] = link
        link.send(self.hello())
        self._events.check_peers([link])

    def _on_disconnected(self, address: str, link: PeerConnection) -> None:
        if self.connections.get(address) is link:
            del self.connections[address]
            self.failure_detector.on_disconnect(address)

    def on_hello(self, link: PeerConnection, hello: Hello) -> None:
        """Handles the report of another controller about itself, the voters and the controllers it knows."""
        address, incarnation = hello.address, hello.incarnations.get(hello.address, 0)
        self.epochs[address], self.zones[address] = hello.voters.epoch, hello.zone
        if hello.caught_up_epoch != self.caught_up_epochs.get(address) and address in self.connections:
            self._events.check_peers([self.connections[address]])
        self.caught_up_epochs[address] = hello.caught_up_epoch
        if hello.caught_up_epoch == 1 and not hello.voters.epoch:
            self.caught_up_without_voters.add(address)
        (self._legacy.add if hello.caught_up_epoch < 0 else self._legacy.discard)(address)
        forgotten = self._forgotten.get(address, -1)
        if incarnation <= forgotten:
            link.send(Forgotten(forgotten))
        self.add(address, incarnation, itself=True)
        if address in self._dials and address not in self.connections:
            self._dials[address].retry_now()
        for other in hello.controllers:
            self.add(other, hello.incarnations.get(other, 0))
        for other, forgotten_incarnation in hello.forgotten.items():
            self._on_forgotten(other, forgotten_incarnation)
        self._events.learn_voters(hello.voters, hello.voters_before)

    # --- forgetting

    def _is_permanent(self, address: str) -> bool:
        """Returns whether a controller is never forgotten: a voter or a seed."""
        return address in self._context.voters.names or address in self._context.settings.seed_peers

    def _on_forgotten(self, address: str, incarnation: int) -> None:
        """Handles a report that another controller has forgotten one."""
        if address == self._context.me:
            self.renew_incarnation(incarnation)
            return
        if address in self.connections:
            self.connections[address].send(Forgotten(incarnation))
            return
        if incarnation < self._incarnations.get(address, 0) or self._is_permanent(address):
            return
        silence_s = self.failure_detector.silence_s(self._context.loop.time(), address)
        if address not in self._dials or silence_s >= self._context.absence_timeout_s:
            self._forget(address, incarnation)

    def renew_incarnation(self, forgotten: int) -> None:
        """Takes a later incarnation, as others have forgotten this one and ignore reports of it."""
        if forgotten >= self._context.incarnation:
            self._context.incarnation = max(forgotten + 1, int(self._context.wall_time() * 1000))
            self._changed()

    def remove_silent(self) -> None:
        """Forgets controllers that have been silent for very long."""
        now = self._context.loop.time()
        for name in list(self._dials):
            if (
                not self._is_permanent(name)
                and self.failure_detector.silence_s(now, name) >= 4 * self._context.absence_timeout_s
            ):
                self._forget(name, self._incarnations.get(name, 0))

    def _forget(self, address: str, incarnation: int) -> None:
        if self._forgotten.get(address, -1) >= incarnation:
            return
        self._forgotten[address] = incarnation
        if len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        self._incarnations.pop(address, None)
        self.failure_detector.remove(address)
        dial = self._dials.pop(address, None)
        if dial is not None:
            logger.info("controller forgotten", controller=address)
            dial.stop()
        self._changed()
