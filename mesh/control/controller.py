"""The controller: a process with a disk that takes configuration changes, agrees on them with other
controllers, publishes them to sidecars, and grants operation keys. This module assembles its components and
dispatches messages to them."""

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
from mesh.control.elections import Reconfiguration
from mesh.control.heartbeats import Heartbeats
from mesh.control.key_grants import KeyGrants
from mesh.control.known_servers import RECORD_KIND as SERVER_RECORD
from mesh.control.known_servers import KnownServers
from mesh.control.lease import HEARTBEAT_FRACTION
from mesh.control.lease_votes import LeaseVotes
from mesh.control.peers import Peers
from mesh.control.publisher import Publisher
from mesh.control.recovery import Recovery
from mesh.control.shard_assigner import ShardAssigner
from mesh.figures import MetricFamily
from mesh.settings import Settings
from mesh.state import configuration
from mesh.state.configuration import Item
from mesh.state.quorum import Voters
from mesh.transport import connection, http_server, messages
from mesh.transport.client_memory import ClientMemory
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import Answer, Message

CHECK_INTERVAL_S = 0.25  # between checks of the voters and of open drafts
DRAIN_S = 0.3  # how long a stopping controller goes on answering
MIN_KILL_MARGIN_S = 1.2  # part of the grace period that is left unused, so that the process ends by itself
MAX_MISSED_HEARTBEATS = 3  # a peer that misses more counts as silent

Handler = Callable[[PeerConnection, Any], None]


class Controller:
    """One process in the controller role."""

    def __init__(self, settings: Settings) -> None:
        self.context = context = Context(settings, self._records)
        self.memory = ClientMemory.of(context.loop, settings)
        heartbeat_s = settings.bound("contact", 3.0) * HEARTBEAT_FRACTION
        self.peers = Peers(context, self, MAX_MISSED_HEARTBEATS * heartbeat_s)
        self.agreement = Agreement(context, self.peers)
        self.heartbeats = Heartbeats(context, self.peers, self.agreement)
        self.grants = KeyGrants(context, self.heartbeats)
        self.elections = Reconfiguration(
            context, self.peers, self.heartbeats, self.learn_voters, lambda: self.publisher.any_old
        )
        self.known_servers = KnownServers(context)
        self.publisher = Publisher(
            context,
            self.peers,
            self.agreement,
            self.heartbeats,
            self.known_servers,
            self.elections.current_voters,
        )
        self.recovery = Recovery(
            context,
            self.peers,
            self.agreement,
            self.grants,
            lambda voters: self.learn_voters(voters, ()),
            self._records,
            self._on_caught_up,
        )
        self.api = AdminApi(context, self.agreement, self.heartbeats, self.memory.account)
        self.lease_votes = LeaseVotes(context, self.agreement, self.elections.current_voters)
        self.shards = ShardAssigner(context, self.agreement, self.heartbeats, self.elections, self.publisher)
        self.agreement.on_new_items = self._on_new_items
        self.publisher.on_servers_changed = self.shards.on_servers_changed
        self.heartbeats.on_contact = self.publisher.on_contact
        self.heartbeats.on_renewed = self.grants.retry_pending
        self._handlers = self._handlers_by_type()

    def _handlers_by_type(self) -> dict[type[Message], Handler]:
        """Returns the handler of each message type. Answers go to their round instead."""
        agreement, grants, elections = self.agreement, self.grants, self.elections
        return {
            messages.ClaimKey: grants.on_claim,
            messages.KeyDone: lambda link, message: grants.on_done(message),
            messages.FreeKey: lambda link, message: grants.on_free(message),
            messages.KeyBroken: lambda link, message: grants.on_broken(message),
            messages.Prepare: agreement.on_prepare,
            messages.Accept: agreement.on_accept,
            messages.Commit: lambda link, message: agreement.on_commit(message),
            messages.Abandon: lambda link, message: agreement.on_abandon(message),
            messages.Fetch: agreement.on_fetch,
            messages.FetchGrants: self.recovery.on_fetch_grants,
            messages.Hello: self.peers.on_hello,
            messages.Forgotten: lambda link, message: self.peers.renew_incarnation(message.incarnation),
            messages.Bid: elections.on_proposal,
            messages.Seal: elections.on_proposal,
            messages.AskView: elections.on_view_request,
            messages.Successor: lambda link, message: elections.on_successor(message),
            messages.Heartbeat: self.heartbeats.on_heartbeat,
            messages.HeartbeatAnswer: self.heartbeats.on_response,
            messages.Register: self.publisher.on_register,
            messages.Follow: self.publisher.on_follow,
            messages.Pull: self.publisher.on_pull,
            messages.PullRecords: self.publisher.on_pull_records,
            messages.ItemsReceived: self.publisher.on_items_received,
            messages.RenewLease: self.lease_votes.on_renew,
            messages.RangesReleased: self.shards.on_released,
            messages.ShardLoad: self.shards.on_load,
        }

    # --- state

    @property
    def settings(self) -> Settings:
        """The settings that were read last."""
        return self.context.settings

    @property
    def items(self) -> configuration.Items:
        """The configuration as this controller holds it."""
        return self.agreement.replica.items

    @property
    def voters(self) -> Voters:
        """The voters of the current epoch."""
        return self.context.voters

    @property
    def caught_up(self) -> bool:
        """Whether this disk holds everything that the current epoch requires."""
        return self.context.member.caught_up

    @property
    def in_contact(self) -> bool:
        """Whether a majority of the voters has answered recently."""
        return self.heartbeats.in_contact

    def _records(self) -> Iterable[list[Any]]:
        """Yields all records that are still needed on disk."""
        yield from self.context.member.records()
        yield from self.agreement.replica.records()
        yield from self.grants.records()
        yield from self.known_servers.records()

    def metrics(self) -> Iterable[MetricFamily]:
        """Returns the metrics of this process."""
        return controller_figures.metrics(
            self.context,
            self.peers,
            self.agreement,
            self.heartbeats,
            self.grants,
            self.elections,
            self.publisher,
            self.recovery,
            self.known_servers,
            self.api,
            self.shards,
        )

    # --- start and stop

    async def start(self) -> None:
        """Loads the disk, listens, and connects to the other controllers."""
        settings = self.settings
        disk_empty = self._load()
        self._server = await connection.listen(
            settings.peer_address, self.hear, lambda link: None, self.publisher.on_disconnect
        )
        assert settings.control is not None
        self._http_server = await http_server.open_http_server(
            settings.control, self.api.serve, memory=self.memory
        )
        for address in [*settings.seed_peers, *self.voters.names, *self.context.member.previous_voters]:
            self.peers.add(address)
        self.context.spawn(self.recovery.run(disk_empty))
        self.context.spawn(self.heartbeats.run())
        self.context.spawn(self._check_periodically())
        self.context.spawn(self.shards.run())
        keys = len(self.grants.registry)
        logger.info("controller listens", counts=self.caught_up, items=len(self.items), keys=keys)

    def _load(self) -> bool:
        """Loads all records and returns whether the disk was empty.

        It is empty at the first start, and if the previous process ended before its first write. A disk with
        any record is complete.
        """
        records = self.context.store.load()
        for record in records:
            kind = record[0]
            if kind in ("item", "sequence", "promise", "draft"):
                self.agreement.load(record)
            elif kind in ("voters", "whole", "ballot"):
                self.context.member.load(record)
            elif kind == SERVER_RECORD:
                self.known_servers.load(record)
            else:
                self.grants.load(record)
        self.agreement.finish_loading()
        self.shards.learn(self.items.values())
        if self.settings.first_start:
            self.context.member.mark_caught_up(1)
        return not records

    def reload_settings(self, settings: Settings) -> None:
        """Applies the settings that can change at run time: seeds and bounds. Others need a restart."""
        self.context.settings = settings
        self.memory.apply(settings)
        for seed in settings.seed_peers:
            self.peers.add(seed)

    async def stop(self) -> None:
        """Hands over this controller's duties, answers open requests, and closes its listener."""
        self.context.stopping = True
        self.elections.announce_successor()
        grace_s = self.settings.bound("grace", 6.0)
        await self.elections.hand_over(grace_s - DRAIN_S - MIN_KILL_MARGIN_S)
        self._http_server.listener.last_requests()
        await asyncio.sleep(DRAIN_S)
        self._http_server.listener.shut()

    async def _check_periodically(self) -> None:
        """Checks at jittered intervals for silent peers, due reconfigurations and open drafts."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * (0.75 + random.random() / 2))
            self.peers.remove_silent()
            self.elections.check()
            if self.in_contact and self.context.is_voter:
                await self.agreement.finish_open_draft()

    # --- events

    def hear(self, link: PeerConnection, message: Message) -> None:
        """Dispatches one message of another process."""
        if isinstance(message, Answer):
            self.context.rounds.handle_answer(link.peer, message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def _on_new_items(self, items: list[Item]) -> None:
        """Passes items that are new to this controller's copy of the configuration on."""
        self.shards.learn(items)
        self.publisher.publish(items)

    def peers_changed(self) -> None:
        """Tells the sidecars that the set of known controllers has changed."""
        self.publisher.send(self.peers.controllers())

    def check_peers(self, links: Iterable[PeerConnection]) -> None:
        """Sends a heartbeat to peers that may have caught up."""
        self.heartbeats.send(links)

    def learn_voters(self, told: Voters, before: tuple[str, ...]) -> None:
        """Takes over a newer set of voters; `before` are the voters of the epoch before it."""
        context = self.context
        if not context.member.learn(told, before):
            return
        self.elections.on_voters_changed()
        self.heartbeats.lease.clear()
        self.agreement.reset_turn()
        logger.info("voters", epoch=told.epoch, names=list(told.names))
        if len(told.names) < 2 * self.settings.losses + 1:
            logger.warning(
                "fewer controllers than the losses to be borne take: nothing acknowledged is lost, but less "
                "can be served while some are down"
            )
        context.write_membership()
        for name in told.names:
            self.peers.add_voter(name)
        self.peers.send_hello()
        self.publisher.send(self.elections.current_voters())
        self.heartbeats.send(self.peers.connections.values())
        self.grants.retry_pending()
        if not self.caught_up:
            context.spawn(self.recovery.catch_up())

    def _on_caught_up(self) -> None:
        """Announces that this controller has caught up and may answer as a voter."""
        self.peers.send_hello()
        self.heartbeats.send(self.peers.connections.values())
        self.heartbeats.check()
        self.grants.retry_pending()
