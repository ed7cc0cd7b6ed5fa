"""The controller: one process with a disk. It takes orders, agrees on them with others, tells sidecars, and
grants operation keys. This module puts its parts together and hands each message to the one that it is
for."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from mesh.control import controller_figures
from mesh.control.admin_api import AdminApi
from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.elections import Elections
from mesh.control.heartbeats import Heartbeats
from mesh.control.key_grants import KeyGrants
from mesh.control.lease import HEARTBEAT_PART
from mesh.control.peers import Peers
from mesh.control.publisher import Publisher
from mesh.control.recovery import Recovery
from mesh.figures import Figure
from mesh.settings import Settings
from mesh.state import configuration
from mesh.state.quorum import Voters
from mesh.transport import connection, http_server, messages
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import Answer, Message

OVERSEE_S = 0.25  # how often it is looked whether the voters are as they should be
STOP_S = 0.3  # a controller that ends goes on answering for so long
KILLED_S = 1.2  # of the grace that is left over when a controller ends, at the least
SILENCE_BEATS = 3  # heartbeats that another may miss before it counts as silent

Handler = Callable[[PeerConnection, Any], None]


class Controller:
    """One process of the role."""

    def __init__(self, settings: Settings) -> None:
        self.context = context = Context(settings, self._records)
        beat_s = settings.bound("contact", 3.0) * HEARTBEAT_PART
        self.peers = Peers(context, self, SILENCE_BEATS * beat_s)
        self.agreement = Agreement(context, self.peers)
        self.heartbeats = Heartbeats(context, self.peers, self.agreement)
        self.grants = KeyGrants(context, self.heartbeats)
        self.elections = Elections(
            context, self.peers, self.heartbeats, self.learn_voters, lambda: self.publisher.any_old
        )
        self.publisher = Publisher(
            context, self.peers, self.agreement, self.heartbeats, self.elections.told_voters
        )
        self.recovery = Recovery(
            context,
            self.peers,
            self.agreement,
            self.grants,
            lambda voters: self.learn_voters(voters, ()),
            self._records,
            self._whole,
        )
        self.api = AdminApi(context, self.agreement, self.heartbeats)
        self.agreement.publish = self.publisher.publish
        self.heartbeats.on_contact = self.publisher.contact
        self.heartbeats.on_renewed = self.grants.retry
        self._handlers = self._by_kind()

    def _by_kind(self) -> dict[type[Message], Handler]:
        """Whom each kind of message is for. Answers to rounds go to their round."""
        agreement, grants, elections = self.agreement, self.grants, self.elections
        return {
            messages.ClaimKey: grants.claim,
            messages.KeyDone: lambda link, told: grants.done(told),
            messages.FreeKey: lambda link, told: grants.free(told),
            messages.KeyBroken: lambda link, told: grants.broke(told),
            messages.Prepare: agreement.answer_prepare,
            messages.Accept: agreement.answer_accept,
            messages.Commit: lambda link, told: agreement.hear_commit(told),
            messages.Abandon: lambda link, told: agreement.hear_abandon(told),
            messages.Fetch: agreement.answer_fetch,
            messages.FetchGrants: self.recovery.answer_grants,
            messages.Hello: self.peers.hear_hello,
            messages.Forgotten: lambda link, told: self.peers.live_on(told.incarnation),
            messages.Bid: elections.answer,
            messages.Seal: elections.answer,
            messages.AskView: elections.answer_view,
            messages.Successor: lambda link, told: elections.hear_successor(told),
            messages.Heartbeat: self.heartbeats.answer,
            messages.HeartbeatAnswer: self.heartbeats.hear,
            messages.Register: self.publisher.register,
            messages.Follow: self.publisher.follow,
            messages.Pull: self.publisher.pull,
            messages.PullRecords: self.publisher.pull_records,
            messages.ItemsReceived: self.publisher.received,
        }

    # --- what is known here

    @property
    def settings(self) -> Settings:
        """What this process was told last."""
        return self.context.settings

    @property
    def items(self) -> configuration.Items:
        """The configuration as it stands here."""
        return self.agreement.replica.items

    @property
    def voters(self) -> Voters:
        """Whose disks count."""
        return self.context.voters

    @property
    def counts(self) -> bool:
        """Whether this disk is whole as things stand."""
        return self.context.member.counts

    @property
    def in_contact(self) -> bool:
        """Whether a majority of the voters has been heard lately."""
        return self.heartbeats.in_contact

    def _records(self) -> Iterable[list[Any]]:
        """All records that still count, for the disk."""
        yield from self.context.member.records()
        yield from self.agreement.replica.records()
        yield from self.grants.records()

    def figures(self) -> Iterable[Figure]:
        """What this process tells of itself."""
        return controller_figures.figures(
            self.context,
            self.peers,
            self.agreement,
            self.heartbeats,
            self.grants,
            self.elections,
            self.publisher,
            self.recovery,
            self.api,
        )

    # --- start and end

    async def start(self) -> None:
        """Read the disk, listen, find the others."""
        settings = self.settings
        fresh = self._load()
        self._server = await connection.listen(
            settings.peer_address, self.hear, lambda link: None, self.publisher.left
        )
        assert settings.control is not None
        self._http_server = await http_server.open_http_server(settings.control, self.api.serve)
        for address in [*settings.seed_peers, *self.voters.names, *self.context.member.before]:
            self.peers.know(address)
        self.context.spawn(self.recovery.begin(fresh))
        self.context.spawn(self.heartbeats.run())
        self.context.spawn(self._oversee())
        keys = len(self.grants.registry)
        logger.info("controller listens", counts=self.counts, items=len(self.items), keys=keys)

    def _load(self) -> bool:
        """Read the disk. True where nothing at all lies there: at the first start, or where the process
        before ended before anything was written. One that had written anything is whole."""
        records = self.context.store.load()
        for record in records:
            kind = record[0]
            if kind in ("item", "sequence", "promise", "draft"):
                self.agreement.load(record)
            elif kind in ("voters", "whole", "ballot"):
                self.context.member.load(record)
            else:
                self.grants.load(record)
        self.agreement.loaded()
        if self.settings.first_start:
            self.context.member.settle(1)
        return not records

    def resettle(self, settings: Settings) -> None:
        """Take over what may change while this process runs: seeds and bounds. The rest needs a restart."""
        self.context.settings = settings
        for seed in settings.seed_peers:
            self.peers.know(seed)

    async def stop(self) -> None:
        """Hand over what this controller alone may hold, answer what is under way, then end."""
        self.context.stopping = True
        self.elections.name_successor()
        grace_s = self.settings.bound("grace", 6.0)
        await self.elections.hand_over(grace_s - STOP_S - KILLED_S)
        self._http_server.listener.last_requests()
        await asyncio.sleep(STOP_S)
        self._http_server.listener.shut()

    async def _oversee(self) -> None:
        """Look now and then whether others should vote, and whether a change was left half way here."""
        while True:
            await asyncio.sleep(OVERSEE_S * (0.75 + random.random() / 2))
            self.peers.forget_silent()
            self.elections.consider()
            if self.in_contact and self.context.is_voter:
                await self.agreement.finish()

    # --- news

    def hear(self, link: PeerConnection, message: Message) -> None:
        """One message of another process."""
        if isinstance(message, Answer):
            self.context.rounds.answer(link.peer, message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def peers_changed(self) -> None:
        """Another set of controllers is known."""
        self.publisher.send(self.peers.controllers())

    def may_count(self, links: Iterable[PeerConnection]) -> None:
        """These peers may have begun to count."""
        self.heartbeats.send(links)

    def learn_voters(self, told: Voters, before: tuple[str, ...]) -> None:
        """Learn who votes."""
        context = self.context
        if not context.member.learn(told, before):
            return
        self.elections.learned()
        self.heartbeats.lease.clear()
        self.agreement.renew()
        logger.info("voters", epoch=told.epoch, names=list(told.names))
        if len(told.names) < 2 * self.settings.losses + 1:
            logger.warning(
                "fewer controllers than the losses to be borne take: nothing acknowledged is lost, but less "
                "can be served while some are down"
            )
        context.write_membership()
        for name in told.names:
            self.peers.know_voter(name)
        self.peers.send_hello()
        self.publisher.send(self.elections.told_voters())
        self.heartbeats.send(self.peers.linked.values())
        self.grants.retry()
        if not self.counts:
            context.spawn(self.recovery.settle())

    def _whole(self) -> None:
        """This controller counts from now on."""
        self.peers.send_hello()
        self.heartbeats.send(self.peers.linked.values())
        self.heartbeats.look()
        self.grants.retry()
