"""The servers that a sidecar knows, and its connections to the sidecars beside a subset of each service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from loguru import logger

from mesh.proxy.context import ProxyContext
from mesh.proxy.endpoints import Endpoint
from mesh.proxy.failure_detector import FailureDetector
from mesh.proxy.subset import CONNECT_TIMEOUT_S, Subset
from mesh.settings import Address
from mesh.state.configuration import RoutingTable
from mesh.state.distribution import RecordsDigest
from mesh.transport.connection import IDLE_PING_INTERVAL_S, Dialer, MessageHandler, PeerConnection
from mesh.transport.messages import SidecarRecord

REFRESH_INTERVAL_S = 1.0  # how often the subsets are chosen anew and unneeded connections are closed
LINGER_S = 3.0  # how long a connection stays open after its server has left the subset


class Directory:
    """The endpoints that one sidecar knows, from the records that sidecars publish of themselves.

    `on_message` receives the messages of other sidecars. `on_connection_lost` is called with the node whose
    connection has ended, `on_server_changed` once a server may have become usable.
    """

    def __init__(self, context: ProxyContext, on_message: MessageHandler) -> None:
        self._context, self._on_message = context, on_message
        self.endpoints: dict[str, Endpoint] = {}  # by node
        self.connections: dict[str, PeerConnection] = {}  # by node
        self.records: dict[str, SidecarRecord] = {}  # by node
        self.digest = RecordsDigest()  # of `records`
        self.max_sidecars = 0  # the most sidecars known at any time
        self.on_connection_lost: Callable[[str], None] = lambda node: None
        self.on_server_changed: Callable[[], None] = lambda: None
        self._sharded_services: frozenset[str] = frozenset()
        self._subsets: dict[str, Subset] = {}  # by service
        self._dials: dict[str, Dialer] = {}  # by node
        self._timer: asyncio.TimerHandle | None = None
        settings = context.settings
        self._failure_detector = FailureDetector(
            context.loop, context.node_name, settings.peer_address.text, settings.zone, self._on_dead
        )

    def start(self) -> None:
        """Starts the failure detector and the periodic refresh of connections."""
        self._failure_detector.start()
        self._refresh()

    def stop(self) -> None:
        """Announces to the members of the failure detector that this sidecar leaves."""
        self._failure_detector.stop()

    def close(self) -> None:
        """Closes all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for dial in self._dials.values():
            dial.stop()

    # --- endpoints and records

    def of_service(self, service: str) -> list[Endpoint]:
        """Returns the subset of a service's endpoints that requests may be sent to, usable or not."""
        subset = self._subsets.get(service)
        if subset is None:
            return []
        if subset.on_request(self._context.now()):
            self._choose(subset)
        return subset.chosen

    def widen(self, service: str) -> None:
        """Connects to more servers of a service, as fewer than two of its subset can take a request."""
        subset = self._subsets.get(service)
        if subset is not None and subset.widen(self._context.now()):
            self._choose(subset)

    @property
    def any_known(self) -> bool:
        """Whether a server of any service is known."""
        return any(subset.known for subset in self._subsets.values())

    def usable(self, endpoint: Endpoint) -> bool:
        """Whether requests can be sent to a server now."""
        reachable = endpoint.node in self.connections or endpoint.node == self._context.node_name
        return reachable and bool(endpoint.instance) and not endpoint.draining

    def apply_records(self, records: Iterable[SidecarRecord]) -> None:
        """Applies the records of other sidecars; this sidecar's own is ignored."""
        for record in records:
            if record.node != self._context.node_name:
                self.apply_record(record)

    def apply_record(self, record: SidecarRecord) -> None:
        """Applies the record of one sidecar, unless a newer one of it is known."""
        known = self.records.get(record.node)
        if known is not None and record.order <= known.order:
            return
        self.records[record.node] = record
        self.digest.update(record.node, record.incarnation, record.number)
        self.max_sidecars = max(self.max_sidecars, len(self.records))
        endpoint = self._endpoint_of(record)
        endpoint.zone = record.zone
        self._failure_detector.update_member(record.node, record.zone, record.address)
        if endpoint.instance != record.instance:
            endpoint.reset()
        endpoint.instance, endpoint.slots = record.instance, record.slots
        endpoint.draining = not record.is_open
        endpoint.version = record.version
        endpoint.cold_until = self._context.now() + record.warm_up_s
        if endpoint.address != record.address:
            endpoint.address = record.address
            self._stop_dial(record.node)
        self._choose(self._subsets[record.service])
        self.on_server_changed()

    def _endpoint_of(self, record: SidecarRecord) -> Endpoint:
        """Returns the endpoint that a record describes, replacing one of another service on the same node."""
        endpoint = self.endpoints.get(record.node)
        if endpoint is not None and endpoint.service != record.service:
            self._remove(record.node)
            self.records[record.node] = record
            self.digest.update(record.node, record.incarnation, record.number)
            endpoint = None
        if endpoint is None:
            endpoint = self.endpoints[record.node] = Endpoint(record.node, record.service)
            endpoint.zone = record.zone
            self._subset_of(record.service).add(endpoint)
        return endpoint

    def _subset_of(self, service: str) -> Subset:
        subset = self._subsets.get(service)
        if subset is None:
            context = self._context
            subset = self._subsets[service] = Subset(context.node_name, context.settings.zone, context.now())
            subset.keeps_all = service in self._sharded_services
        return subset

    def on_endpoint_gone(self, node: str, incarnation: int) -> None:
        """Removes a sidecar that a controller has not seen for long, unless it is connected to this one.

        A report about an earlier incarnation of the sidecar is ignored.
        """
        record = self.records.get(node)
        same_incarnation = record is not None and record.incarnation == incarnation
        if node != self._context.node_name and same_incarnation and node not in self.connections:
            self._remove(node)

    def _remove(self, node: str) -> None:
        endpoint = self.endpoints.pop(node, None)
        self.records.pop(node, None)
        self.digest.remove(node)
        self._failure_detector.remove_member(node)
        if endpoint is not None:
            self._subsets[endpoint.service].remove(endpoint)
        self._stop_dial(node)

    # --- connections

    def on_table_changed(self, table: RoutingTable) -> None:
        """Connects to all servers of the services that are sharded by the table now in force."""
        sharded = frozenset(name for name, cluster in table.clusters.items() if cluster.sharded)
        changed, self._sharded_services = sharded ^ self._sharded_services, sharded
        for service in changed & self._subsets.keys():
            subset = self._subsets[service]
            subset.keeps_all = service in sharded
            self._choose(subset)

    def _choose(self, subset: Subset) -> None:
        """Chooses a service's subset anew, and connects to the servers that are new in it."""
        subset.choose(self._context.now(), self._reachable)
        for endpoint in subset.chosen:
            endpoint.needed_at = self._context.now()
            if endpoint.node != self._context.node_name and endpoint.node not in self._dials:
                self._dial(endpoint)

    def _reachable(self, endpoint: Endpoint) -> bool:
        """Whether a server is connected, or can be expected to be connected soon.

        A server that has been disconnected for CONNECT_TIMEOUT_S counts as unreachable, so that others are
        chosen in addition to it.
        """
        connected = endpoint.node in self.connections or endpoint.node == self._context.node_name
        return (
            connected
            or endpoint.node not in self._dials
            or self._context.now() < endpoint.disconnected_at + CONNECT_TIMEOUT_S
        )

    def _refresh(self) -> None:
        """Periodically chooses all subsets anew and closes connections that are no longer needed."""
        for subset in self._subsets.values():
            self._choose(subset)
        self._close_unneeded()
        self._timer = self._context.loop.call_later(REFRESH_INTERVAL_S, self._refresh)

    def _close_unneeded(self) -> None:
        """Closes connections to servers outside all subsets once no call is in flight on them."""
        now = self._context.now()
        for node in list(self._dials):
            endpoint = self.endpoints[node]
            if not endpoint.in_flight and now >= endpoint.needed_at + LINGER_S:
                self._stop_dial(node)

    def _dial(self, endpoint: Endpoint) -> None:
        """Establishes and maintains a connection to the sidecar beside a server."""
        node = endpoint.node
        endpoint.disconnected_at = self._context.now()
        self._dials[node] = Dialer(
            Address.read(endpoint.address),
            self._on_message,
            partial(self.on_connected, node),
            partial(self.on_disconnected, node),
            IDLE_PING_INTERVAL_S,
        )

    def _stop_dial(self, node: str) -> None:
        dial = self._dials.pop(node, None)
        if dial is not None:
            dial.stop()

    def on_connected(self, node: str, connection: PeerConnection) -> None:
        """Registers a new connection to a sidecar."""
        connection.peer = node
        self.connections[node] = connection
        self.on_server_changed()

    def on_disconnected(self, node: str, connection: PeerConnection) -> None:
        """Removes a connection to a sidecar that has ended."""
        if self.connections.get(node) is connection:
            del self.connections[node]
            if node in self.endpoints:
                self.endpoints[node].disconnected_at = self._context.now()
        self.on_connection_lost(node)

    def _on_dead(self, node: str) -> None:
        """Closes the connection to a sidecar that the failure detector declares dead.

        Nothing is sent to it until it is connected again.
        """
        connection = self.connections.get(node)
        if connection is not None:
            logger.info("failure detector declared the sidecar dead, closing its connection", sidecar=node)
            connection.abort()
