"""The other controllers: which there are, the connections to them, and those that are forgotten."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from loguru import logger

from mesh.control.ballot import Watch
from mesh.control.context import Context
from mesh.settings import Address
from mesh.state.quorum import Voters
from mesh.transport.connection import Dialer, PeerConnection, pack
from mesh.transport.messages import Controllers, Forgotten, Hello, Message

MOST_FORGOTTEN = 256


class PeerEvents(Protocol):
    """What a controller does with news of its peers."""

    def hear(self, link: PeerConnection, message: Message) -> None:
        """A peer says something."""

    def peers_changed(self) -> None:
        """Another set of controllers is known: sidecars are to be told."""

    def may_count(self, links: Iterable[PeerConnection]) -> None:
        """These peers may have begun to count: they are to be asked at once."""

    def learn_voters(self, told: Voters, before: tuple[str, ...]) -> None:
        """A peer tells who votes."""


class Peers:
    """All other controllers that one controller knows, by address."""

    def __init__(self, context: Context, events: PeerEvents, silence_s: float) -> None:
        self._context, self._events = context, events
        self.watch = Watch(context.loop.time(), silence_s)
        self.linked: dict[str, PeerConnection] = {}
        self.epochs: dict[str, int] = {}  # by controller: the epoch that it has told
        self.whole_epochs: dict[str, int] = {}  # by controller: the epoch that it has told to be whole in
        self.zones: dict[str, str] = {}  # by controller: the zone that it has told
        self.whole_first: set[str] = set()  # those that told that they are whole, with no voters named yet
        self.newest_at = context.loop.time()  # when a new one was heard of last
        self._dials: dict[str, Dialer] = {}
        self._lives: dict[str, int] = {}  # the latest life that was heard of, 0 for an older version
        self._forgotten: dict[str, int] = {}  # the life that is over
        self._old: set[str] = set()  # of a version that knows no epochs

    @property
    def names(self) -> list[str]:
        """All that are known, linked or not."""
        return list(self._dials)

    @property
    def any_old(self) -> bool:
        """Whether one of an older version is linked."""
        return any(name in self.linked for name in self._old)

    def live(self) -> list[str]:
        """Whom anything is heard from: a frozen machine takes connections, and says nothing."""
        now = self._context.loop.time()
        return [name for name in self.linked if self.watch.steady(now, name)]

    def of(self, voters: Voters) -> list[PeerConnection]:
        """The connections to some voters, as far as there are."""
        return [self.linked[name] for name in voters.names if name in self.linked]

    # --- what is told

    def hello(self) -> Hello:
        """What this controller tells of itself and of the others."""
        context, member = self._context, self._context.member
        return Hello(
            context.me,
            context.voters,
            (context.me, *self._dials),
            context.settings.zone,
            member.before,
            member.whole,
            self._all_lives(),
            dict(self._forgotten),
        )

    def controllers(self) -> Controllers:
        """The same for sidecars."""
        context = self._context
        addresses = (context.me, *self._dials)
        return Controllers(addresses, context.settings.zone, self._all_lives(), dict(self._forgotten))

    def _all_lives(self) -> dict[str, int]:
        known = {name: self._lives.get(name, 0) for name in self._dials}
        return {self._context.me: self._context.incarnation} | known

    def send_hello(self) -> None:
        """Tell all of them anew."""
        self.send(self.hello())

    def send(self, message: Message) -> None:
        """Tell all of them something."""
        packed = pack(message)
        for link in self.linked.values():
            link.send_packed(packed)

    def _changed(self) -> None:
        self.send_hello()
        self._events.peers_changed()

    # --- connections

    def know(self, address: str, life: int = 0, itself: bool = False) -> None:
        """Hear of a controller, from others or by its own word.

        One that was forgotten is known again by a later life alone: what others tell may be old.
        """
        over = self._forgotten.get(address, -1)
        if address == self._context.me or (life <= over and not itself):
            return
        self._forgotten.pop(address, None)
        known = self._lives.get(address, 0)
        self._lives[address] = max(life, known)
        if address in self._dials:
            if life > known > 0:  # whoever has forgotten the life before has to hear of this one
                self._changed()
            return
        self.newest_at = self._context.loop.time()
        self.watch.known(self.newest_at, address)
        self._dials[address] = Dialer(
            Address.read(address),
            self._events.hear,
            lambda link: self._up(address, link),
            lambda link: self._down(address, link),
        )
        self._changed()

    def know_voter(self, address: str) -> None:
        """Hear of one that votes: it is known whatever was forgotten."""
        self.know(address, self._forgotten.get(address, -1) + 1)

    def _up(self, address: str, link: PeerConnection) -> None:
        link.peer = address
        self.linked[address] = link
        link.send(self.hello())
        self._events.may_count([link])

    def _down(self, address: str, link: PeerConnection) -> None:
        if self.linked.get(address) is link:
            del self.linked[address]
            self.watch.down(address)

    def hear_hello(self, link: PeerConnection, told: Hello) -> None:
        """Another controller says who it is, who votes and whom it knows."""
        address, life = told.address, told.incarnations.get(told.address, 0)
        self.epochs[address], self.zones[address] = told.voters.epoch, told.zone
        if told.caught_up_epoch != self.whole_epochs.get(address) and address in self.linked:
            self._events.may_count([self.linked[address]])
        self.whole_epochs[address] = told.caught_up_epoch
        if told.caught_up_epoch == 1 and not told.voters.epoch:
            self.whole_first.add(address)
        (self._old.add if told.caught_up_epoch < 0 else self._old.discard)(address)
        over = self._forgotten.get(address, -1)
        if life <= over:
            link.send(Forgotten(over))
        self.know(address, life, itself=True)
        if address in self._dials and address not in self.linked:
            self._dials[address].retry_now()
        for other in told.controllers:
            self.know(other, told.incarnations.get(other, 0))
        for other, gone in told.forgotten.items():
            self._hear_forgotten(other, gone)
        self._events.learn_voters(told.voters, told.voters_before)

    # --- forgetting

    def _keeps(self, address: str) -> bool:
        """Whether a controller is dialled for as long as it takes."""
        return address in self._context.voters.names or address in self._context.settings.seed_peers

    def _hear_forgotten(self, address: str, life: int) -> None:
        """Others have forgotten a controller."""
        if address == self._context.me:
            self.live_on(life)
            return
        if address in self.linked:
            self.linked[address].send(Forgotten(life))
            return
        if life < self._lives.get(address, 0) or self._keeps(address):
            return
        silent_s = self.watch.gone(self._context.loop.time(), address)
        if address not in self._dials or silent_s >= self._context.absence_timeout_s:
            self._drop(address, life)

    def live_on(self, life: int) -> None:
        """Others have forgotten this life: the next one is heard of again."""
        if life >= self._context.incarnation:
            self._context.incarnation = max(life + 1, int(self._context.wall_time() * 1000))
            self._changed()

    def forget_silent(self) -> None:
        """Let go of those that have not been heard for very long."""
        now = self._context.loop.time()
        for name in list(self._dials):
            if not self._keeps(name) and self.watch.gone(now, name) >= 4 * self._context.absence_timeout_s:
                self._drop(name, self._lives.get(name, 0))

    def _drop(self, address: str, life: int) -> None:
        if self._forgotten.get(address, -1) >= life:
            return
        self._forgotten[address] = life
        if len(self._forgotten) > MOST_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        self._lives.pop(address, None)
        self.watch.forget(address)
        dial = self._dials.pop(address, None)
        if dial is not None:
            logger.info("forgotten", controller=address)
            dial.stop()
        self._changed()
