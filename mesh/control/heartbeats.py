"""Heartbeats between controllers, the read lease that they renew, and what an operator hears of it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from loguru import logger

from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.lease import HEARTBEAT_PART, LEASE_PART, ReadLease, Safety, safety
from mesh.control.peers import Peers
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import Heartbeat, HeartbeatAnswer

GAP_S = 0.5  # contact with a majority that is missing for less is not told: a change of voters takes as long
KEPT_BEATS = 20  # heartbeats whose answers may still come
LOOK_S = 0.01


class Heartbeats:
    """One controller's contact with a majority of the voters."""

    def __init__(self, context: Context, peers: Peers, agreement: Agreement) -> None:
        self._context, self._peers, self._agreement = context, peers, agreement
        contact_s = context.settings.bound("contact", 3.0)
        self.beat_s = contact_s * HEARTBEAT_PART
        self.lease = ReadLease(context.me, contact_s * LEASE_PART)
        self._sent: dict[int, float] = {}  # by number: when
        self.told = False  # what sidecars have been told: whether there is contact
        self.ever = False  # whether there was contact in this life
        self._last_at = context.loop.time()  # when there was contact last
        self._said_lost = self._said_thin = False
        self.on_contact: Callable[[bool], None] = lambda found: None
        """Called when contact is found, and when it has been lost for `GAP_S`."""
        self.on_renewed: Callable[[], None] = lambda: None
        """Called whenever contact is looked at and is there."""

    @property
    def in_contact(self) -> bool:
        """Whether a majority of the voters has been heard lately, by the steady clock as it stands now."""
        return self.lease.holds(time.monotonic(), self._context.voters, self._context.is_voter)

    @property
    def may_return(self) -> bool:
        """Whether contact that is missing may be found in a moment: there was none yet, or just now."""
        return not self.ever or self._context.loop.time() < self._last_at + GAP_S

    async def run(self) -> None:
        """Ask all others at short intervals whether they are there and what they hold."""
        while True:
            await asyncio.sleep(self.beat_s * (0.9 + random.random() / 5))
            self.send(self._peers.linked.values())
            self.look()

    def send(self, links: Iterable[PeerConnection]) -> None:
        """Ask some of them now."""
        number, now = self._context.rounds.next_number(), time.monotonic()
        self._sent[number] = now
        while self._sent[next(iter(self._sent))] < now - KEPT_BEATS * self.beat_s:
            del self._sent[next(iter(self._sent))]
        packed = pack(Heartbeat(number, self._context.voters.epoch))
        for link in links:
            link.send_packed(packed)

    def answer(self, link: PeerConnection, asked: Heartbeat) -> None:
        """Another controller asks."""
        context, agreement = self._context, self._agreement
        digest, sequence = agreement.copy.digest, agreement.replica.sequence
        link.send(HeartbeatAnswer(asked.number, context.voters.epoch, context.is_voter, digest, sequence))
        if asked.epoch < context.voters.epoch:
            link.send(self._peers.hello())

    def hear(self, link: PeerConnection, told: HeartbeatAnswer) -> None:
        """Another answers. It counts for the lease once all that it holds has been merged here."""
        asked_at = self._sent.get(told.number)
        if asked_at is None:
            return
        self._peers.watch.heard(self._context.loop.time(), link.peer)
        counts = told.votes and told.epoch == self._context.voters.epoch
        if told.digest not in (self._agreement.copy.digest, 0):
            self._context.spawn(self._compare(link, asked_at, counts))
            return
        if told.digest == self._agreement.copy.digest:
            self._agreement.learn((), told.sequence)
        if counts:
            self.lease.answered(link.peer, asked_at)
        self.look()

    async def _compare(self, link: PeerConnection, asked_at: float, counts: bool) -> None:
        """Take over what another holds and this one does not: what a cut or a freeze kept from here."""
        epoch = self._context.voters.epoch
        merged = await self._agreement.sync_from(link)
        if merged and counts and epoch == self._context.voters.epoch:
            self.lease.answered(link.peer, asked_at)
            self.look()

    def look(self) -> None:
        """Tell sidecars and the log when contact is lost or found.

        A gap as short as a change of voters leaves is not told, as every sidecar would turn to another
        controller and back.
        """
        now = self._context.loop.time()
        if self.in_contact:
            self._last_at = now
            if not self.told:
                self._find()
            self.on_renewed()
        elif self.told and now > self._last_at + GAP_S:
            self.lose()
        else:
            self._warn_of_lost_majority(now)
        self._look_at_safety()

    def _find(self) -> None:
        self.told = self.ever = True
        self._said_lost = False
        logger.info("in contact with a majority", epoch=self._context.voters.epoch)
        self.on_contact(True)

    def lose(self) -> None:
        """Tell that there is no contact, as it is known now."""
        if not self.told:
            return
        self.told = False
        logger.warning("out of contact with a majority", epoch=self._context.voters.epoch, away=self.away())
        self.on_contact(False)

    def _warn_of_lost_majority(self, now: float) -> None:
        voters = self._context.voters
        if not voters.epoch or self._said_lost or now <= self._last_at + self._context.absence_timeout_s:
            return
        self._said_lost = True
        logger.warning(
            "no majority for long: nothing can be acknowledged until so many of these machines are back with "
            "their disks that {} of {} run",
            voters.write,
            len(voters.names),
            away=self.away(),
        )

    def away(self) -> list[str]:
        """The voters that don't answer."""
        voters = self._context.voters
        heard = self.lease.heard(time.monotonic(), voters, self._context.is_voter)
        return [name for name in voters.names if name not in heard]

    @property
    def safety(self) -> Safety:
        """What can be lost now, as far as this controller knows."""
        voters = self._context.voters
        return safety(voters, len(voters.names) - len(self.away()))

    def _look_at_safety(self) -> None:
        found, wanted = self.safety, self._context.settings.losses
        thin = bool(self._context.voters.epoch) and found.losses < wanted
        if thin == self._said_thin:
            return
        self._said_thin = thin
        tell = logger.warning if thin else logger.info
        say = "fewer losses can be borne than should be" if thin else "all losses can be borne again"
        tell(say, copies=found.copies, losses=found.losses, wanted=wanted, away=self.away())

    async def found(self, limit_s: float) -> bool:
        """Whether there is contact with a majority.

        A process that has never had it, or had it a moment ago, as when voters change, is given a moment to
        find it; any other says so at once.
        """
        ends = self._context.loop.time() + limit_s
        while not self.in_contact and self._context.loop.time() < ends and self.may_return:
            await asyncio.sleep(LOOK_S)
        return self.in_contact
