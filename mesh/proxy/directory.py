"""Which servers there are, and connections to the sidecars beside some of each service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from loguru import logger

from mesh.proxy.context import ProxyContext
from mesh.proxy.endpoints import Endpoint
from mesh.proxy.failure_detector import FailureDetector
from mesh.proxy.subset import REACH_S, Subset
from mesh.settings import Address
from mesh.state.distribution import RecordsDigest
from mesh.transport.connection import IDLE_PING_INTERVAL_S, Dialer, MessageHandler, PeerConnection
from mesh.transport.messages import SidecarRecord

CHOOSE_S = 1.0  # how often it is looked which connections are needed
LINGER_S = 3.0  # how long one that is not needed any more stays open


class Directory:
    """All endpoints that one sidecar knows, by the records that sidecars tell of themselves.

    `hear` gets what other sidecars say; `on_link_lost` is called with the node whose connection has ended.
    """

    def __init__(self, context: ProxyContext, hear: MessageHandler) -> None:
        self._context, self._hear = context, hear
        self.endpoints: dict[str, Endpoint] = {}  # by node
        self.connections: dict[str, PeerConnection] = {}  # by node
        self.records: dict[str, SidecarRecord] = {}  # by node
        self.digest = RecordsDigest()  # of those records
        self.most_sidecars = 0  # that were known at any time
        self.on_link_lost: Callable[[str], None] = lambda node: None
        self._subsets: dict[str, Subset] = {}  # by service
        self._dials: dict[str, Dialer] = {}
        self._timer: asyncio.TimerHandle | None = None
        settings = context.settings
        self._failure_detector = FailureDetector(
            context.loop, context.node_name, settings.peer_address.text, settings.zone, self._found_dead
        )

    def start(self) -> None:
        """Begin to probe other sidecars, and to look which connections are needed."""
        self._failure_detector.start()
        self._look()

    def stop(self) -> None:
        """Tell those that are probed that this sidecar leaves."""
        self._failure_detector.stop()

    def close(self) -> None:
        """Keep no connection any more."""
        if self._timer is not None:
            self._timer.cancel()
        for dial in self._dials.values():
            dial.stop()

    # --- what is known

    def of_service(self, service: str) -> list[Endpoint]:
        """The endpoints of a service that a request may be sent to, usable or not: those of its subset."""
        subset = self._subsets.get(service)
        if subset is None:
            return []
        if subset.called(self._context.now()):
            self._choose(subset)
        return subset.chosen

    def widen(self, service: str) -> None:
        """No two servers of a service can take a request: have connections to more of them."""
        subset = self._subsets.get(service)
        if subset is not None and subset.widen(self._context.now()):
            self._choose(subset)

    @property
    def any_known(self) -> bool:
        """Whether a server of any service is known."""
        return any(subset.known for subset in self._subsets.values())

    def usable(self, endpoint: Endpoint) -> bool:
        """Whether requests can be sent there now."""
        reached = endpoint.node in self.connections or endpoint.node == self._context.node_name
        return reached and bool(endpoint.instance) and not endpoint.draining

    def apply_records(self, records: Iterable[SidecarRecord]) -> None:
        """What other sidecars tell of themselves."""
        for record in records:
            if record.node != self._context.node_name:
                self.take(record)

    def take(self, record: SidecarRecord) -> None:
        """What one sidecar, or this one, tells of itself; what is older than what is known does nothing."""
        known = self.records.get(record.node)
        if known is not None and record.order <= known.order:
            return
        self.records[record.node] = record
        self.digest.update(record.node, record.incarnation, record.number)
        self.most_sidecars = max(self.most_sidecars, len(self.records))
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

    def _endpoint_of(self, record: SidecarRecord) -> Endpoint:
        """The endpoint that a record is about; one of another service takes the place of the one before."""
        endpoint = self.endpoints.get(record.node)
        if endpoint is not None and endpoint.service != record.service:
            self._drop(record.node)
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
        return subset

    def lost_sight(self, node: str, life: int) -> None:
        """A controller has not seen that life of a sidecar for long; where there is no connection to it
        either, it is forgotten."""
        record = self.records.get(node)
        same_life = record is not None and record.incarnation == life
        if node != self._context.node_name and same_life and node not in self.connections:
            self._drop(node)

    def _drop(self, node: str) -> None:
        endpoint = self.endpoints.pop(node, None)
        self.records.pop(node, None)
        self.digest.remove(node)
        self._failure_detector.remove_member(node)
        if endpoint is not None:
            self._subsets[endpoint.service].remove(endpoint)
        self._stop_dial(node)

    # --- connections

    def _choose(self, subset: Subset) -> None:
        """Choose a service's subset anew, and connect to whom is new in it."""
        subset.choose(self._context.now(), self._reached)
        for endpoint in subset.chosen:
            endpoint.needed_at = self._context.now()
            if endpoint.node != self._context.node_name and endpoint.node not in self._dials:
                self._dial(endpoint)

    def _reached(self, endpoint: Endpoint) -> bool:
        """Whether requests can be sent to a server, or soon can: those that have not been reached for a while
        have others beside them."""
        linked = endpoint.node in self.connections or endpoint.node == self._context.node_name
        return linked or endpoint.node not in self._dials or self._context.now() < endpoint.lost_at + REACH_S

    def _look(self) -> None:
        """Now and then: choose all subsets anew, and close what has not been needed for a while."""
        for subset in self._subsets.values():
            self._choose(subset)
        self._close_unneeded()
        self._timer = self._context.loop.call_later(CHOOSE_S, self._look)

    def _close_unneeded(self) -> None:
        """Close connections that belong to no subset any more, each once nothing is under way on it."""
        now = self._context.now()
        for node in list(self._dials):
            endpoint = self.endpoints[node]
            if not endpoint.in_flight and now >= endpoint.needed_at + LINGER_S:
                self._stop_dial(node)

    def _dial(self, endpoint: Endpoint) -> None:
        """Keep a connection to the sidecar beside a server."""
        node = endpoint.node
        endpoint.lost_at = self._context.now()
        self._dials[node] = Dialer(
            Address.read(endpoint.address),
            self._hear,
            partial(self.connected, node),
            partial(self.disconnected, node),
            IDLE_PING_INTERVAL_S,
        )

    def _stop_dial(self, node: str) -> None:
        dial = self._dials.pop(node, None)
        if dial is not None:
            dial.stop()

    def connected(self, node: str, link: PeerConnection) -> None:
        """A connection to a sidecar has been made."""
        link.peer = node
        self.connections[node] = link

    def disconnected(self, node: str, link: PeerConnection) -> None:
        """A connection to a sidecar has ended."""
        if self.connections.get(node) is link:
            del self.connections[node]
            if node in self.endpoints:
                self.endpoints[node].lost_at = self._context.now()
        self.on_link_lost(node)

    def _found_dead(self, node: str) -> None:
        """Others say as well that a sidecar is dead: nothing is sent there until it is reached anew."""
        link = self.connections.get(node)
        if link is not None:
            logger.info("given up by the failure detector", sidecar=node)
            link.abort()
