"""The sidecar: requests begin here, and go to a server by the sidecar beside that server.

This module puts the parts of one sidecar together, hands each message to the one that it is for, and sees to
its start and end.
"""

from __future__ import annotations

import asyncio
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
from mesh.proxy.picker import Picker
from mesh.proxy.server_heartbeats import ServerHeartbeats
from mesh.proxy.server_queue import ServerQueue
from mesh.settings import Settings
from mesh.state import configuration
from mesh.state.quorum import Voters
from mesh.transport import connection, http_server, messages
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import Message, RecordChanged, Register

MOST_SERVER_CONNECTIONS = 64
MOST_LOCAL_CALLERS = 64  # connections to the addresses that only this machine calls
LAST_ANSWERS_S = 0.4  # of the grace that is kept for writing the last answers
LEAVE_S = 2.6  # after SIGTERM, until the platform has missed two answers on readiness
LOOK_S = 0.05
WRITE_LOOK_S, WRITE_S = 0.02, 0.1

Handler = Callable[[PeerConnection, Any], None]


class Sidecar:
    """One process of the role."""

    def __init__(self, settings: Settings) -> None:
        assert settings.app is not None
        self.context = context = ProxyContext(settings)
        self.server_queue = ServerQueue(context.loop, settings.app, MOST_SERVER_CONNECTIONS)
        self.heartbeats = ServerHeartbeats(context, self.server_queue, self._publish_record)
        self.control = ControlClient(context, self.on_message, self.heartbeats.record)
        self.control.on_table = self._table_changed
        self.directory = Directory(context, self.on_message)
        self.control.records_digest = lambda: self.directory.digest.value
        self.calls = CallRunner(context, self.server_queue, self.control.key_claims)
        self.picker = Picker(context, self.directory, self.calls.load_report)
        self.forwarder = Forwarder(context, self.directory, self.picker, self.calls)
        self.ingress = Ingress(context, self.control, self.forwarder)
        self._callers: set[PeerConnection] = set()  # sidecars that send calls here
        self._handlers = self._by_kind()
        self._probed = False
        self._server: asyncio.Server | None = None
        self._outbound: http_server.HttpServer | None = None

    def _by_kind(self) -> dict[type[Message], Handler]:
        """Whom each kind of message is for."""
        calls, control, directory, forwarder = self.calls, self.control, self.directory, self.forwarder
        return {
            messages.Forward: calls.on_forward,
            messages.Cancel: calls.on_cancel,
            messages.LoadQuery: calls.on_load_query,
            messages.BodyChunk: calls.bodies.on_chunk,
            messages.BodyDropped: calls.bodies.on_dropped,
            messages.ForwardAnswer: forwarder.on_answer,
            messages.LoadReport: forwarder.on_report,
            messages.SendBody: forwarder.send_body,
            messages.Overdue: forwarder.on_overdue,
            messages.ClaimAnswer: control.key_claims.on_claim_answer,
            messages.Items: control.on_items,
            messages.Digest: control.hear_digest,
            messages.RecordsDigest: control.hear_records_digest,
            messages.InContact: control.hear_contact,
            messages.Controllers: control.hear_controllers,
            messages.CurrentVoters: control.hear_voters,
            messages.NewerLifeKnown: lambda link, told: self.heartbeats.ensure_newer_than(told.incarnation),
            messages.Endpoints: lambda link, told: directory.apply_records(told.records),
            messages.RecordChanged: lambda link, told: directory.apply_records((told.record,)),
            messages.EndpointGone: lambda link, told: directory.lost_sight(told.node, told.incarnation),
        }

    # --- what is known here

    @property
    def settings(self) -> Settings:
        """What this process was told last."""
        return self.context.settings

    @property
    def items(self) -> configuration.Items:
        """The configuration as it stands here."""
        return self.control.copy.items

    @property
    def voters(self) -> Voters:
        """Whose disks count, as far as this sidecar has been told."""
        return self.control.key_claims.voters

    def metrics(self) -> Iterable[MetricFamily]:
        """What this process tells of itself."""
        return sidecar_figures.figures(
            self.context, self.control, self.directory, self.forwarder, self.server_queue
        )

    # --- start and end

    async def start(self) -> None:
        """Listen, and find the controllers."""
        settings = self.settings
        assert settings.outbound and settings.ready and settings.control
        self._server = await connection.listen(
            settings.peer_address,
            self.on_message,
            self._callers.add,
            self.caller_lost,
            connection.IDLE_PING_INTERVAL_S,
        )
        self.directory.start()
        open_server, most = http_server.open_http_server, MOST_LOCAL_CALLERS
        self._outbound = await open_server(
            settings.outbound,
            self.ingress.serve,
            self.forwarder.on_client_disconnected,
            settings.max_fds // 2,
        )
        await open_server(settings.control, self.heartbeats.serve, None, most)
        await open_server(settings.ready, self.readiness, None, most)
        record = self.heartbeats.record()
        self.directory.digest.update(
            record.node, record.incarnation, record.number
        )  # controllers will hold it
        self.control.start()
        logger.info("sidecar listens")

    def reload_settings(self, settings: Settings) -> None:
        """Take over what may change in service: seeds, bounds, limits. The rest needs a restart."""
        self.context.settings = settings
        self.control.start()

    async def stop(self) -> None:
        """Take no new work, answer what was read, then end; always within the platform's grace."""
        context, grace_s = self.context, self.settings.bound("grace", 6.0)
        assert self._outbound is not None
        listener = self._outbound.listener
        context.draining = True
        context.shutdown_deadline = context.now() + grace_s - LAST_ANSWERS_S
        self._publish_record()
        listener.last_requests()
        await asyncio.sleep(min(LEAVE_S, grace_s / 2))
        # Whoever still comes is told at once that nothing will run: what began later could not be answered.
        context.rejecting_requests = True
        while (context.open_requests or context.open_calls) and context.now() < context.shutdown_deadline:
            await asyncio.sleep(LOOK_S)
        self.forwarder.fail_all()
        self.directory.stop()
        listener.shut()
        listener.empty()
        while (
            context.open_requests or listener.busy()
        ) and context.now() < context.shutdown_deadline + WRITE_S:
            await asyncio.sleep(WRITE_LOOK_S)

    def close(self) -> None:
        """Keep no connection to others any more; for whoever goes on in the same process."""
        self.control.close()
        self.directory.close()

    # --- the platform

    def readiness(self, message: Request) -> None:
        """Whether clients may be sent here."""
        if message.target.partition(b"?")[0] != b"/-/readiness":
            message.answer(404)
            return
        serves = bool(self.control.table.routes_by_host) and self.directory.any_known
        message.answer(200 if serves and not self.context.draining else 503)

    # --- news

    def on_message(self, link: PeerConnection, message: Message) -> None:
        """One message of another process."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def caller_lost(self, link: PeerConnection) -> None:
        """A connection that another sidecar has made has ended."""
        self._callers.discard(link)
        self.calls.bodies.on_connection_lost(link)

    def _publish_record(self) -> None:
        """Tell all that have to know what can be had here. Controllers tell it on; those that send calls here
        are told at once where nothing more is to be had, or where no controller is followed."""
        record = self.heartbeats.next_record()
        self.directory.take(record)
        self.control.send(Register(record))
        if not record.is_open or not self.control.selector.controller:
            packed = pack(RecordChanged(record))
            for link in self._callers:
                link.send_packed(packed)

    def _table_changed(self) -> None:
        """Another configuration is in force: the server's limits, and those of clients."""
        table, queue = self.control.table, self.server_queue
        cluster = table.clusters.get(self.settings.service)
        if cluster is not None:
            queue.update_limits(cluster.max_conns)
            if not queue.instance and not self._probed:
                self._probed = True
                queue.probe(cluster.health_path, self.heartbeats.adopt_instance)
        if self._outbound is not None:
            limits = table.limits
            self._outbound.update_limits(
                limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_s, limits.idle_timeout_s
            )
