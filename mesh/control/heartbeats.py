"""Heartbeats between controllers, the read lease that they renew, and the reporting of contact."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from loguru import logger

from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.lease import HEARTBEAT_FRACTION, LEASE_FRACTION, FaultTolerance, ReadLease, fault_tolerance
from mesh.control.peers import Peers
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import Heartbeat, HeartbeatAnswer

CONTACT_GAP_S = 0.5  # a shorter loss of contact is not reported: a change of voters takes as long
PENDING_INTERVALS = 20  # intervals for which a response to a heartbeat is still accepted
POLL_INTERVAL_S = 0.01


class Heartbeats:
    """One controller's contact with a majority of the voters."""

    def __init__(self, context: Context, peers: Peers, agreement: Agreement) -> None:
        self._context, self._peers, self._agreement = context, peers, agreement
        contact_s = context.settings.bound("contact", 3.0)
        self.interval_s = contact_s * HEARTBEAT_FRACTION
        self.lease = ReadLease(context.me, contact_s * LEASE_FRACTION)
        self._sent: dict[int, float] = {}  # by number of the heartbeat: send time
        self.reported_contact = False  # the state of contact last reported to sidecars
        self.had_contact = False  # whether there was contact since the process started
        self._last_contact_at = context.loop.time()
        self._reported_lost_majority = self._reported_low_tolerance = False
        self.on_contact: Callable[[bool], None] = lambda in_contact: None
        """Called with True when contact is established, with False after it was lost for `CONTACT_GAP_S`."""
        self.on_renewed: Callable[[], None] = lambda: None
        """Called whenever a check finds that there is contact."""

    @property
    def in_contact(self) -> bool:
        """Whether a majority of the voters responded recently, by the monotonic clock at this moment."""
        return self.lease.holds(time.monotonic(), self._context.voters, self._context.is_voter)

    @property
    def may_return(self) -> bool:
        """Whether missing contact may be found in a moment: there was none yet, or there was just now."""
        return not self.had_contact or self._context.loop.time() < self._last_contact_at + CONTACT_GAP_S

    async def run(self) -> None:
        """Sends heartbeats to all peers at short intervals."""
        while True:
            await asyncio.sleep(self.interval_s * (0.9 + random.random() / 5))
            self.send(self._peers.connections.values())
            self.check()

    def send(self, links: Iterable[PeerConnection]) -> None:
        """Sends a heartbeat to some peers now."""
        number, now = self._context.rounds.next_number(), time.monotonic()
        self._sent[number] = now
        while self._sent[next(iter(self._sent))] < now - PENDING_INTERVALS * self.interval_s:
            del self._sent[next(iter(self._sent))]
        packed = pack(Heartbeat(number, self._context.voters.epoch))
        for link in links:
            link.send_packed(packed)

    def on_heartbeat(self, link: PeerConnection, request: Heartbeat) -> None:
        """Responds to another controller's heartbeat."""
        context, agreement = self._context, self._agreement
        digest, sequence = agreement.copy.digest, agreement.replica.sequence
        link.send(HeartbeatAnswer(request.number, context.voters.epoch, context.is_voter, digest, sequence))
        if request.epoch < context.voters.epoch:
            link.send(self._peers.hello())

    def on_response(self, link: PeerConnection, response: HeartbeatAnswer) -> None:
        """Handles a response. It renews the lease after all that the peer holds has been merged here."""
        sent_at = self._sent.get(response.number)
        if sent_at is None:
            return
        self._peers.failure_detector.on_response(self._context.loop.time(), link.peer)
        counts = response.votes and response.epoch == self._context.voters.epoch
        if response.digest not in (self._agreement.copy.digest, 0):
            self._context.spawn(self._compare(link, sent_at, counts))
            return
        if response.digest == self._agreement.copy.digest:
            self._agreement.learn((), response.sequence)
        if counts:
            self.lease.renew(link.peer, sent_at)
        self.check()

    async def _compare(self, link: PeerConnection, sent_at: float, counts: bool) -> None:
        """Merges the items of a peer that are missing here, as after a partition or a freeze."""
        epoch = self._context.voters.epoch
        merged = await self._agreement.sync_from(link)
        if merged and counts and epoch == self._context.voters.epoch:
            self.lease.renew(link.peer, sent_at)
            self.check()

    def check(self) -> None:
        """Reports to sidecars and the log when contact is lost or established.

        A gap as short as that of a change of voters is not reported, as every sidecar would switch to another
        controller and back.
        """
        now = self._context.loop.time()
        if self.in_contact:
            self._last_contact_at = now
            if not self.reported_contact:
                self._report_contact()
            self.on_renewed()
        elif self.reported_contact and now > self._last_contact_at + CONTACT_GAP_S:
            self.report_lost()
        else:
            self._warn_of_lost_majority(now)
        self._check_fault_tolerance()

    def _report_contact(self) -> None:
        self.reported_contact = self.had_contact = True
        self._reported_lost_majority = False
        logger.info("in contact with a majority", epoch=self._context.voters.epoch)
        self.on_contact(True)

    def report_lost(self) -> None:
        """Reports that contact is lost, unless that was reported before."""
        if not self.reported_contact:
            return
        self.reported_contact = False
        logger.warning(
            "out of contact with a majority", epoch=self._context.voters.epoch, away=self.absent_voters()
        )
        self.on_contact(False)

    def _warn_of_lost_majority(self, now: float) -> None:
        voters = self._context.voters
        if (
            not voters.epoch
            or self._reported_lost_majority
            or now <= self._last_contact_at + self._context.absence_timeout_s
        ):
            return
        self._reported_lost_majority = True
        logger.warning(
            "no majority for a long time: nothing can be acknowledged until {} of these {} machines run "
            "again with their disks",
            voters.write_quorum,
            len(voters.names),
            away=self.absent_voters(),
        )

    def absent_voters(self) -> list[str]:
        """Returns the voters that do not respond."""
        voters = self._context.voters
        counted = self.lease.counted_voters(time.monotonic(), voters, self._context.is_voter)
        return [name for name in voters.names if name not in counted]

    @property
    def fault_tolerance(self) -> FaultTolerance:
        """The losses that can be tolerated now, as far as this controller knows."""
        voters = self._context.voters
        return fault_tolerance(voters, len(voters.names) - len(self.absent_voters()))

    def _check_fault_tolerance(self) -> None:
        tolerance, wanted = self.fault_tolerance, self._context.settings.losses
        is_low = bool(self._context.voters.epoch) and tolerance.losses < wanted
        if is_low == self._reported_low_tolerance:
            return
        self._reported_low_tolerance = is_low
        log = logger.warning if is_low else logger.info
        text = "fewer losses can be tolerated than configured" if is_low else "fault tolerance is restored"
        log(text, copies=tolerance.copies, losses=tolerance.losses, wanted=wanted, away=self.absent_voters())

    async def wait_for_contact(self, limit_s: float) -> bool:
        """Waits up to `limit_s` for contact with a majority, and returns whether there is contact.

        Only a process that has not had contact yet, or had it a moment ago, as when voters change, waits; any
        other returns at once.
        """
        ends_at = self._context.loop.time() + limit_s
        while not self.in_contact and self._context.loop.time() < ends_at and self.may_return:
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.in_contact
