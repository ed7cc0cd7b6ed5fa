"""The sidecar: accepts requests and forwards them to servers through the sidecars beside those servers.

This module assembles the components of one sidecar, dispatches messages to them, and handles startup and
shutdown.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from hollyport.http.message import Message as Request
from mesh.figures import MetricFamily
from mesh.proxy import sidecar_figures
from mesh.proxy.call_runner import CallRunner
from mesh.proxy.context import ProxyContext
from mesh.proxy.control_client import ControlClient
from mesh.proxy.directory import Directory
from mesh.proxy.forwarder import Forwarder
from mesh.proxy.ingress import Ingress
from mesh.proxy.key_ranges import KeyRanges
from mesh.proxy.picker import Picker
from mesh.proxy.server_heartbeats import ServerHeartbeats
from mesh.proxy.server_queue import ServerQueue
from mesh.proxy.shard_router import ShardRouter
from mesh.settings import Settings
from mesh.state import configuration
from mesh.state.quorum import Voters
from mesh.transport import connection, http_server, messages
from mesh.transport.client_memory import ClientMemory
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import Message, RecordChanged, Register

MAX_SERVER_CONNECTIONS = 64
MAX_LOCAL_CONNECTIONS = 64  # to each address that only this machine calls
FINAL_ANSWERS_S = 0.4  # part of the shutdown grace period that is reserved for writing the last answers
DRAIN_S = 2.6  # after SIGTERM, until the platform has seen two failed readiness checks
SHUTDOWN_POLL_INTERVAL_S = 0.05
WRITE_POLL_INTERVAL_S, WRITE_TIMEOUT_S = 0.02, 0.1  # for the answers left at the end of the shutdown

Handler = Callable[[PeerConnection, Any], None]


class Sidecar:
    """One sidecar process. `control_socket` listens at its control address already, if given."""

    def __init__(self, settings: Settings, control_socket: socket.socket | None = None) -> None:
        assert settings.app is not None
        self.context = context = ProxyContext(settings)
        self.server_queue = ServerQueue(context.loop, settings.app, MAX_SERVER_CONNECTIONS)
        self.control = ControlClient(context, self.on_message, lambda: self.heartbeats.record())
        self.control.on_table_changed = self._on_table_changed
        self.key_ranges = KeyRanges(context, self.control, self.server_queue)
        self.heartbeats = ServerHeartbeats(
            context, self.server_queue, self.key_ranges.holds, self._publish_record
        )
        self.key_ranges.attach(self.heartbeats)
        self.directory = Directory(context, self.on_message)
        self.control.records_digest = lambda: self.directory.digest.value
        self.calls = CallRunner(context, self.server_queue, self.control.key_claims)
        self.picker = Picker(context, self.directory, self.calls.load_report)
        router = ShardRouter(self.directory, lambda: self.control.table.shards)
        self.forwarder = Forwarder(context, self.directory, self.picker, router, self.calls)
        self.ingress = Ingress(context, self.control, self.forwarder)
        self._callers: set[PeerConnection] = set()  # connections of sidecars that send calls here
        self._handlers = self._message_handlers()
        self._health_checked = False
        self._control_socket = control_socket
        self._server: asyncio.Server | None = None
        self._outbound: http_server.HttpServer | None = None

    def _message_handlers(self) -> dict[type[Message], Handler]:
        """Returns the handler of each message type."""
        calls, control, directory, forwarder = self.calls, self.control, self.directory, self.forwarder
        return {
            messages.Forward: calls.on_forward,
            messages.Cancel: calls.on_cancel,
            messages.LoadQuery: calls.on_load_query,
            messages.BodyChunk: calls.bodies.on_chunk,
            messages.BodyDropped: calls.bodies.on_dropped,
            messages.ForwardAnswer: forwarder.on_answer,
            messages.LoadReport: forwarder.on_load_report,
            messages.SendBody: forwarder.on_send_body,
            messages.Overdue: forwarder.on_overdue,
            messages.LeaseAnswer: self.key_ranges.leases.on_lease_answer,
            messages.ClaimAnswer: control.key_claims.on_claim_answer,
            messages.Items: control.on_items,
            messages.Digest: control.on_digest,
            messages.RecordsDigest: control.on_records_digest,
            messages.InContact: control.on_contact,
            messages.Controllers: control.on_controllers,
            messages.CurrentVoters: control.on_voters,
            messages.NewerLifeKnown: lambda peer, message: self.heartbeats.ensure_newer_than(
                message.incarnation
            ),
            messages.KnownServer: lambda peer, message: self.heartbeats.on_known_server(message),
            messages.Endpoints: lambda peer, message: directory.apply_records(message.records),
            messages.RecordChanged: lambda peer, message: directory.apply_records((message.record,)),
            messages.EndpointGone: lambda peer, message: directory.on_endpoint_gone(
                message.node, message.incarnation
            ),
        }

    # --- state

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def memory(self) -> ClientMemory:
        """The memory that clients hold."""
        return self.context.memory

    @property
    def items(self) -> configuration.Items:
        """The configuration items in force here."""
        return self.control.copy.items

    @property
    def voters(self) -> Voters:
        """The voters, as far as this sidecar knows."""
        return self.control.key_claims.voters

    def metrics(self) -> Iterable[MetricFamily]:
        """Returns the metrics of this process."""
        return sidecar_figures.metrics(
            self.context,
            self.control,
            self.directory,
            self.forwarder,
            self.server_queue,
            self.heartbeats,
            self.key_ranges,
        )

    # --- startup and shutdown

    async def start(self) -> None:
        """Starts listening, and connects to the controllers and other sidecars."""
        settings = self.settings
        assert settings.outbound and settings.ready and settings.control
        self._server = await connection.listen(
            settings.peer_address,
            self.on_message,
            self.on_caller_connected,
            self.on_caller_disconnected,
            connection.IDLE_PING_INTERVAL_S,
        )
        self.directory.start()
        self.context.read_clock.start()
        open_server, max_connections = http_server.open_http_server, MAX_LOCAL_CONNECTIONS
        self._outbound = await open_server(
            settings.outbound,
            self.ingress.serve,
            self.forwarder.on_client_disconnected,
            settings.max_fds // 2,
            self.context.read_clock,
            memory=self.memory,
        )
        await open_server(
            settings.control,
            self.heartbeats.serve,
            None,
            max_connections,
            None,
            self._control_socket,
            memory=self.memory,
        )
        await open_server(settings.ready, self.readiness, None, max_connections, memory=self.memory)
        record = self.heartbeats.record()
        self.directory.digest.update(
            record.node, record.incarnation, record.number
        )  # controllers will hold this record as well
        self.control.start()
        logger.info("sidecar listens")

    def reload_settings(self, settings: Settings) -> None:
        """Applies the settings that may change at run time: seeds, bounds, limits. Others need a restart."""
        self.context.settings = settings
        self.memory.apply(settings)
        self.control.start()

    async def stop(self) -> None:
        """Stops accepting requests, answers those already read, and ends within the grace period."""
        context, grace_s = self.context, self.settings.bound("grace", 6.0)
        assert self._outbound is not None
        listener = self._outbound.listener
        context.draining = True
        context.shutdown_deadline = context.now() + grace_s - FINAL_ANSWERS_S
        self._publish_record()
        listener.last_requests()
        await asyncio.sleep(min(DRAIN_S, grace_s / 2))
        # Refuse further requests at once, as one that started later could not be answered in time.
        context.rejecting_requests = True
        while (context.open_requests or context.open_calls) and context.now() < context.shutdown_deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        self.forwarder.fail_all()
        self.directory.stop()
        listener.shut()
        listener.empty()
        while (
            context.open_requests or listener.busy()
        ) and context.now() < context.shutdown_deadline + WRITE_TIMEOUT_S:
            await asyncio.sleep(WRITE_POLL_INTERVAL_S)

    def close(self) -> None:
        """Closes all connections to other processes, without ending this one."""
        self.control.close()
        self.directory.close()

    # --- readiness

    def readiness(self, message: Request) -> None:
        """Answers the platform's readiness check: 200 while clients may be sent here."""
        if message.target.partition(b"?")[0] != b"/-/readiness":
            message.answer(404)
            return
        ready = bool(self.control.table.routes_by_host) and self.directory.any_known
        message.answer(200 if ready and not self.context.draining else 503)

    # --- messages and changes

    def on_message(self, peer: PeerConnection, message: Message) -> None:
        """Dispatches a message of another process to its handler; unknown types are ignored."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message)

    def on_caller_connected(self, peer: PeerConnection) -> None:
        """Registers a connection that another sidecar has made, and tells it this process's clock."""
        self._callers.add(peer)
        peer.opened_after = self.context.read_clock.received_after()
        peer.send_timestamp()

    def on_caller_disconnected(self, peer: PeerConnection) -> None:
        """Cleans up after a connection that another sidecar had made."""
        self._callers.discard(peer)
        self.calls.bodies.on_connection_lost(peer)

    def _publish_record(self) -> None:
        """Sends this sidecar's record to the controllers, which distribute it.

        Sidecars that send calls here receive it directly if this one takes no more calls, or if it follows no
        controller.
        """
        record = self.heartbeats.next_record()
        self.directory.apply_record(record)
        self.control.send(Register(record))
        if not record.is_open or not self.control.selector.controller:
            packed = pack(RecordChanged(record))
            for caller in self._callers:
                caller.send_packed(packed)
        self.key_ranges.update()

    def _on_table_changed(self) -> None:
        """Applies the limits of the configuration that has come into force to the server and the clients."""
        table, queue = self.control.table, self.server_queue
        self.directory.on_table_changed(table)
        self.forwarder.resume_waiting()
        cluster = table.clusters.get(self.settings.service)
        if cluster is not None:
            queue.update_limits(cluster.max_conns)
            if not queue.instance and not self._health_checked:
                self._health_checked = True
                queue.probe(cluster.health_path, self.heartbeats.on_instance_found)
        self.key_ranges.update()
        if self._outbound is not None:
            limits = table.limits
            self._outbound.update_limits(
                limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_s, limits.idle_timeout_s
            )
