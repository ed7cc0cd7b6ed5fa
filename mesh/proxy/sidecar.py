"""The sidecar: requests begin here, and go to a server by the sidecar beside that server."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import msgspec
from loguru import logger

from dunefield.budget import STEPS
from hollyport.http import heads
from hollyport.http.back import Reply
from hollyport.http.message import Message as Request
from mesh.errors import ANSWERS, PROMISES, ErrorKind
from mesh.proxy.chunked_transfer import PIECE, Intake
from mesh.proxy.endpoints import Endpoint, Near, best, draw, fresh
from mesh.proxy.failure_detector import FailureDetector
from mesh.proxy.key_claims import KeyClaims
from mesh.proxy.request_age import RequestAges
from mesh.proxy.retry_budget import RetryBudget
from mesh.proxy.server_queue import HOP_S, Job, ServerQueue
from mesh.settings import Address, Settings, seconds
from mesh.state import configuration
from mesh.state.configuration import Item, Route
from mesh.state.distribution import LOOK_S, Copy, Following
from mesh.state.idempotency import Verdict
from mesh.state.quorum import Voters
from mesh.transport import connection, http_server
from mesh.transport.connection import Dial, PeerConnection, pack
from mesh.transport.messages import (
    VERSION,
    BodyChunk,
    BodyDropped,
    Call,
    Cancel,
    ClaimAnswer,
    Controllers,
    CurrentVoters,
    Digest,
    EndpointGone,
    Endpoints,
    Follow,
    Forward,
    ForwardAnswer,
    InContact,
    Items,
    ItemsReceived,
    LoadQuery,
    LoadReport,
    Message,
    NewerLifeKnown,
    Overdue,
    Pull,
    RecordChanged,
    Register,
    SendBody,
    SidecarRecord,
)

OURS = heads.NOT_FORWARDED | {b"x-deadline-ms", b"x-expect-instance", b"x-caller-service", b"x-timeout"}
LEAST_CLAIM_S = 0.08  # how long a claim may take in any case before its call is given back
PATIENCE = 0.25  # part of a request's aim that it may wait unsent at no price
SCATTER = 2.0  # times the mean that a call may take and still be in time
BEYOND = 1.5  # times its aim that a request may wait unsent
LARGE, MIDDLE = 4096, 1024  # bytes of a body and its usual answer, from which on they stay in their zone
NEAR = {LARGE: Near(3, 0.5), MIDDLE: Near(1, 0.1)}  # from a size on
LOOK_AIM = 0.05  # part of a request's aim that asking after two servers may take
LOOK_WORK = 8.0  # times what the asking takes that a call has to take for it to be worth the asking
MOST_SIZES = 1024  # routes whose answers' sizes are kept
AGAIN_S = 0.002  # a request that has been under way for longer has been refused or lost before
RETURNED = 0.5  # part of the usual patience that puts a returning request in front
DRAWS = 3  # pools that a request is offered to before it is refused
LAST = 0.3  # part of a request's time that it may wait unsent in one pool
AGAIN_IN = 0.2  # and so much of its time may be gone when it is offered to another
LEAST_CLOSED_S, MOST_CLOSED_S = 0.02, 0.2  # how long a pool that was told full is passed over
OF_VERDICT = {Verdict.AT_WORK: ErrorKind.AT_WORK, Verdict.LOST: ErrorKind.LOST_KEY}
NO_PROMISE = frozenset({408, 421, 429, 503})  # from a server that does not say X-Not-Run: it may have run
JSON = [(b"Content-Type", b"application/json")]
LAST_S = 0.4  # of the grace that is kept for writing the last answers
LEAVE_S = 2.6  # after SIGTERM, until the platform has missed two answers on readiness


class PendingRequest:
    """One request that began here, until its one answer."""

    __slots__ = (
        "message",
        "route",
        "service",
        "deadline",
        "aim_at",
        "tid",
        "key",
        "tried",
        "arrivals",
        "timer",
        "over",
        "unsure",
        "began",
        "out",
        "body",
        "again",
        "offered_until",
        "past",
    )

    def __init__(self, message: Request, route: Route, service: str, deadline: float, aim_at: float) -> None:
        self.message, self.route, self.service = message, route, service
        self.deadline, self.aim_at = deadline, aim_at
        self.tid = message.header(b"x-attempt-id") or b""
        self.key = (message.header(b"x-operation-key") or b"").decode("latin-1")
        self.tried: list[Endpoint] = []
        self.arrivals = 0
        self.timer: asyncio.TimerHandle | None = None
        self.over = False
        self.unsure = False  # it may have run
        self.again = False  # its client has spent time on it already: it has been here before
        self.past = False  # so much that no answer can be in its aim
        self.began = self.offered_until = 0.0
        self.out = 0  # offers that are not answered yet
        self.body = message.body


class LoadLookup:
    """A request that waits for what two sidecars tell of their servers."""

    __slots__ = ("request", "endpoints", "open", "began", "timer", "carries")

    def __init__(self, request: PendingRequest, endpoints: list[Endpoint], began: float) -> None:
        self.request, self.endpoints, self.began = request, endpoints, began
        self.open = 0  # questions that are not answered yet
        self.carries: dict[str, float] = {}  # by node: seconds that the body would be on its way
        self.timer: asyncio.TimerHandle | None = None


class ChunkedBody:
    """The body of an offer that is fetched in pieces."""

    __slots__ = ("body", "sent")

    def __init__(self, body: bytes) -> None:
        self.body, self.sent = body, 0

    @property
    def part(self) -> bool:
        """Whether some of it has not been sent: then its request can't have run."""
        return self.sent < len(self.body)


class Arriving:
    """A call whose body is being fetched."""

    __slots__ = ("call", "parts", "began")

    def __init__(self, call: Call, began: float) -> None:
        self.call, self.began = call, began
        self.parts: list[bytes] = []


Place = tuple[PeerConnection | None, int]
"""Who sent a call, and its number there; None: it began here."""
Tell = Callable[[ForwardAnswer], None]


class Sidecar:
    """One process of the role."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        assert settings.app is not None
        self.me = settings.name
        self.copy = Copy()
        self.following = Following(self.me, settings.zone)
        self.table = configuration.NOTHING
        self.server_queue = ServerQueue(self.loop, settings.app, 64)
        self.endpoints: dict[str, Endpoint] = {}
        self.lists: dict[str, list[Endpoint]] = {}
        self._records: dict[str, SidecarRecord] = {}
        self._life, self._number = time.time_ns() // 1_000_000, 0
        self._controller_dials: dict[str, Dial] = {}
        self._controllers: dict[str, PeerConnection] = {}
        self._endpoint_dials: dict[str, Dial] = {}
        self._endpoint_links: dict[str, PeerConnection] = {}
        self._asks: dict[int, tuple[PendingRequest, Endpoint]] = {}
        self._load_queries: dict[int, LoadLookup] = {}
        self._look_s = 0.0  # how long a question takes, of late
        self._chunked_bodies: dict[int, ChunkedBody] = {}  # by offer
        self._loads: dict[Place, Arriving] = {}
        self._intake: Intake[Place] = Intake(settings.link_mbps * 125_000)
        self._next = 0
        self._controller_zones: dict[str, str] = {}
        self._controller_lives: dict[str, int] = {}
        # by controller: the life with which others have forgotten it
        self._controllers_over: dict[str, int] = {}
        self._sizes: dict[str, float] = {}  # by route: bytes of an answer, about
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._ages: dict[str, RequestAges] = {}  # by route
        self._jobs: dict[Place, Job] = {}  # calls without a key for the server beside
        self._callers: set[PeerConnection] = set()
        self._open_requests = self._open_jobs = 0
        self.leaving = self.closed = self._probed = False
        self._ends = float("inf")  # when this process will have answered everything
        self._http_servers: list[http_server.HttpServer] = []
        self._most_sidecars = 0
        self.server_queue.replaced = self._adopt
        self.key_claims = KeyClaims(
            self.loop, self._controllers, self._controller_zones, settings.zone, self._fresh
        )
        self._handlers = self._by_kind()
        self._failure_detector = FailureDetector(
            self.loop, self.me, settings.peer_address.text, settings.zone, self._dead
        )
        self._random = random.random

    @property
    def items(self) -> configuration.Items:
        """The configuration as it stands here."""
        return self.copy.items

    @property
    def voters(self) -> Voters:
        """Whose disks count, as far as this sidecar has been told."""
        return self.key_claims.voters

    async def start(self) -> None:
        """Listen, and find the controllers."""
        settings = self.settings
        assert settings.outbound and settings.ready and settings.control
        self._server = await connection.listen(
            settings.peer_address, self._hear, self._callers.add, self._left, connection.QUIET_S
        )
        self._failure_detector.start()
        self._http_servers = [
            await http_server.open_http_server(
                settings.outbound, self.serve, self._hung_up, settings.max_fds // 2
            ),
            await http_server.open_http_server(settings.control, self.beat, None, 64),
            await http_server.open_http_server(settings.ready, self.readiness, None, 64),
        ]
        for seed in settings.seed_peers:
            self._know_controller(seed)
        logger.info("sidecar listens")

    def resettle(self, settings: Settings) -> None:
        """Take over what may change in service: seeds, bounds, limits. The rest needs a restart."""
        self.settings = settings
        for seed in settings.seed_peers:
            self._know_controller(seed)

    async def stop(self) -> None:
        """Take no new work, answer what was read, then end; always within the platform's grace."""
        began = self.loop.time()
        grace = self.settings.bound("grace", 6.0)
        self.leaving = True
        self._ends = began + grace - LAST_S
        self._tell_record()
        self._http_servers[0].listener.last_requests()
        await asyncio.sleep(min(LEAVE_S, grace / 2))
        # Whoever still comes is told at once that nothing will run: what began later could not be answered.
        self.closed = True
        while (self._open_requests or self._open_jobs) and self.loop.time() < self._ends:
            await asyncio.sleep(0.05)
        self._end_all()
        self._failure_detector.stop()
        self._http_servers[0].listener.shut()
        self._http_servers[0].listener.empty()
        while (
            self._open_requests or self._http_servers[0].listener.busy()
        ) and self.loop.time() < self._ends + 0.1:
            await asyncio.sleep(0.02)

    def _end_all(self) -> None:
        """Answer all that is open, as this process ends: with a promise where nothing can have run."""
        open_ = [look.request for look in self._load_queries.values()] + [
            request for request, _ in self._asks.values()
        ]
        for request in open_:
            self._late(request)

    # --- the platform and the server beside

    def readiness(self, message: Request) -> None:
        """Whether clients may be sent here."""
        if message.target.partition(b"?")[0] != b"/-/readiness":
            message.answer(404)
            return
        ready = not self.leaving and bool(self.table.hosts) and any(self.lists.values())
        message.answer(200 if ready else 503)

    def beat(self, message: Request) -> None:
        """What the server beside tells of itself."""
        path = message.target.partition(b"?")[0]
        named = path.startswith(b"/-/instances/") and len(path) > len(b"/-/instances/")
        if not named or message.method not in (b"PUT", b"DELETE"):
            message.answer(ANSWERS[ErrorKind.NOT_HERE].status)
            return
        instance = path[len(b"/-/instances/") :].decode("latin-1")
        server_queue = self.server_queue
        if message.method == b"DELETE":
            server_queue.over.add(instance)
            if server_queue.instance == instance:
                server_queue.gone()
                self._tell_record()
            message.answer(200, b"{}", JSON)
            return
        try:
            told = json.loads(message.body)
            number, slots = int(told.get("call_seq", 0)), int(told.get("slots", 1))
            service, state = str(told["service"]), str(told.get("state", "ready"))
            cold = seconds(told.get("cold_left", "0ms"))
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            message.answer(ANSWERS[ErrorKind.BAD].status)
            return
        if number <= server_queue.lives.get(instance, -1):
            message.answer(200, b"{}", JSON)  # a late one: what it says is known
            return
        if instance in server_queue.over:
            message.answer(200, b"{}", JSON)  # a late one of a life that has ended
            return
        if service != self.settings.service:
            logger.warning("a server of another service beats here", service=service)
            message.answer(ANSWERS[ErrorKind.BAD].status)
            return
        server_queue.lives[instance] = number
        before = (server_queue.instance, server_queue.open, server_queue.slots)
        server_queue.life(instance, max(1, slots), cold, state == "ready")
        if (server_queue.instance, server_queue.open, server_queue.slots) != before:
            self._tell_record()
        message.answer(200, b"{}", JSON)

    def _adopt(self, instance: str) -> None:
        """A server's id that no beat has told yet: a sidecar that started anew need not wait for the next."""
        server_queue = self.server_queue
        if instance and not server_queue.instance and instance not in server_queue.over:
            logger.info("the server says who it is", instance=instance)
            server_queue.life(instance, STEPS, 0.0, True)
            self._tell_record()

    def _record(self) -> SidecarRecord:
        """What can be had here, as it is told to others."""
        server_queue, settings = self.server_queue, self.settings
        self._number += 1
        return SidecarRecord(
            node=self.me,
            address=settings.peer_address.text,
            zone=settings.zone,
            service=settings.service,
            instance=server_queue.instance,
            slots=server_queue.slots,
            is_open=server_queue.open and not self.leaving,
            cold_s=max(0.0, server_queue.cold_until - self.loop.time()),
            life=self._life,
            number=self._number,
            version=VERSION,
        )

    def _tell_record(self) -> None:
        """Tell all that have to know what can be had here."""
        record = self._record()
        self._take_record(record)
        packed = pack(Register(record))
        for link in self._controllers.values():
            link.put(packed)
        packed = pack(RecordChanged(record))
        for link in self._callers:
            link.put(packed)

    # --- controllers

    def _know_controller(self, address: str) -> None:
        if address in self._controller_dials:
            return
        host, _, port = address.rpartition(":")
        self._controller_dials[address] = Dial(
            Address(host, int(port)),
            self._hear,
            partial(self._controller_up, address),
            partial(self._controller_down, address),
        )

    def _controller_up(self, address: str, link: PeerConnection) -> None:
        link.peer = address
        self._controllers[address] = link
        link.send(Register(self._record(), VERSION))

    def _controller_down(self, address: str, link: PeerConnection) -> None:
        if self._controllers.get(address) is link:
            del self._controllers[address]
            self.following.down(address)
            self._follow()
            self._forget_controller(address)
        self.key_claims.lost(address)

    def _hear_controllers(self, link: PeerConnection, told: Controllers) -> None:
        """Which controllers there are, and which were forgotten: those come back by a later life alone."""
        for address in told.addresses:
            life = told.lives.get(address, 0)
            if life > self._controllers_over.get(address, -1):
                self._controllers_over.pop(address, None)
                self._controller_lives[address] = max(life, self._controller_lives.get(address, 0))
                self._know_controller(address)
        for address, life in told.forgotten.items():
            if life >= self._controller_lives.get(address, 0):
                self._controllers_over[address] = life
                self._forget_controller(address)
        if link.peer:
            self._controller_zones[link.peer] = told.zone
            self._follow()

    def _follow(self) -> None:
        """Hear tables and changes from one controller: the nearest there is."""
        before = self._controllers.get(self.following.controller)
        controller = self.following.choose(self._controllers, self._controller_zones)
        if controller is not None:
            if before is not None:
                before.send(Follow(None))
            if controller:
                self._controllers[controller].send(Follow(self.copy.digest))

    def _sum(self, link: PeerConnection, digest: int) -> None:
        """What a controller may tell has this digest."""
        if self.following.told(self.loop.time(), link.peer, digest, self.copy.digest):
            # The one that is followed tells it in answer to FOLLOW: what is lacking has to be asked for. But
            # who has nothing yet is told all.
            known = link.peer == self.following.controller and self.copy.digest
            self.loop.call_later(0.0 if known else LOOK_S, self._lacks, link)

    def _lacks(self, link: PeerConnection) -> None:
        """Ask a controller for what it has and this sidecar has not, if that did not come by itself."""
        if not link.open:
            return
        now = self.loop.time()
        followed = self._controllers.get(self.following.controller)
        tells = followed is not None and (followed is not link or not self.copy.digest)
        heard_at = followed.heard_at if followed is not None and tells else 0.0
        asks = self.following.lacks(now, link.peer, self.copy.digest, heard_at)
        if asks is None:
            self.loop.call_later(LOOK_S, self._lacks, link)
        elif asks:
            link.send(Pull(self.copy.packed_buckets()))

    def _forget_controller(self, address: str) -> None:
        """Dial a controller no more that others have forgotten, unless it is reached from here."""
        kept = address in self.settings.seed_peers or address in self.key_claims.voters.names
        if address in self._controllers_over and address not in self._controllers and not kept:
            dial = self._controller_dials.pop(address, None)
            if dial is not None:
                dial.stop()

    def _take_voters(self, told: Voters) -> None:
        """Who votes from now on."""
        if not told.newer(self.key_claims.voters):
            return
        for name in told.names:
            self._know_controller(name)
        self.key_claims.take_voters(told)

    def _take_items(self, items: Iterable[Item]) -> None:
        self.following.answered()
        if not self.copy.take(items):
            return
        self.table, wrong = configuration.table(self.copy.items)
        for clash in wrong:
            logger.warning("held out: {}", clash.text)
        cluster = self.table.clusters.get(self.settings.service)
        if cluster is not None:
            self.server_queue.limit(cluster.max_conns)
            if not self.server_queue.instance and not self._probed:
                self._probed = True
                self.server_queue.probe(cluster.health, self._adopt)
        limits = self.table.limits
        for door in self._http_servers[:1]:
            door.limit(limits.head, limits.body, limits.head_s, limits.idle_s)

    # --- other sidecars

    def _take_record(self, record: SidecarRecord) -> None:
        """What another sidecar, or this one, tells of itself."""
        known = self._records.get(record.node)
        if known is not None and record.order <= known.order:
            return
        self._records[record.node] = record
        self._most_sidecars = max(self._most_sidecars, len(self._records))
        endpoint = self._endpoint_of(record)
        endpoint.zone = record.zone
        self._failure_detector.knows(record.node, record.zone, record.address)
        if endpoint.instance != record.instance:
            endpoint.renew()
        endpoint.instance, endpoint.slots = record.instance, record.slots
        endpoint.draining = not record.is_open
        endpoint.version = record.version
        endpoint.cold_until = self.loop.time() + record.cold_s
        if record.node != self.me and endpoint.link != record.address:
            self._dial_endpoint(endpoint, record.address)

    def _endpoint_of(self, record: SidecarRecord) -> Endpoint:
        """The endpoint that a record is about; one of another service takes the place of the one before."""
        endpoint = self.endpoints.get(record.node)
        if endpoint is not None and endpoint.service != record.service:
            self._drop_endpoint(record.node)
            self._records[record.node] = record
            endpoint = None
        if endpoint is None:
            endpoint = self.endpoints[record.node] = Endpoint(record.node, record.service)
            self.lists.setdefault(record.service, []).append(endpoint)
        return endpoint

    def _dial_endpoint(self, endpoint: Endpoint, address: str) -> None:
        """Keep a connection to the sidecar beside a server, at its new address."""
        node = endpoint.node
        old = self._endpoint_dials.pop(node, None)
        if old is not None:
            old.stop()
        endpoint.link = address
        self._endpoint_dials[node] = Dial(
            Address.read(address),
            self._hear,
            partial(self._endpoint_up, node),
            partial(self._endpoint_down, node),
            connection.QUIET_S,
        )

    def _drop_endpoint(self, node: str) -> None:
        endpoint = self.endpoints.pop(node, None)
        self._records.pop(node, None)
        dial = self._endpoint_dials.pop(node, None)
        self._failure_detector.forgets(node)
        if endpoint is not None:
            self.lists[endpoint.service].remove(endpoint)
        if dial is not None:
            dial.stop()

    def _dead(self, node: str) -> None:
        """Others say as well that a sidecar is dead: nothing more is sent there until it is reached anew."""
        link = self._endpoint_links.get(node)
        if link is not None:
            logger.info("given up by the hedge", sidecar=node)
            link.end()

    def _gone(self, node: str, life: int) -> None:
        """A controller has not seen a sidecar for long; where there is no connection to it either, it is
        forgotten."""
        record = self._records.get(node)
        same = record is not None and record.life == life
        if node != self.me and same and node not in self._endpoint_links:
            self._drop_endpoint(node)

    def _endpoint_up(self, node: str, link: PeerConnection) -> None:
        link.peer = node
        self._endpoint_links[node] = link

    def _endpoint_down(self, node: str, link: PeerConnection) -> None:
        if self._endpoint_links.get(node) is link:
            del self._endpoint_links[node]
        for number, (_, endpoint) in list(self._asks.items()):
            if endpoint.node == node:
                chunked = self._chunked_bodies.get(number)
                if chunked is not None and chunked.part:
                    self._told(_unanswered(number, ErrorKind.LEAVING))  # without its body it can't have run
                else:
                    self._told(_unanswered(number, ErrorKind.BROKEN, arrived=True))
        for number, look in list(self._load_queries.items()):
            if any(endpoint.node == node for endpoint in look.endpoints):
                self._glance(LoadReport(number, False))

    def _left(self, link: PeerConnection) -> None:
        self._callers.discard(link)
        for key in [key for key in self._loads if key[0] is link]:
            self._unload(key)

    def _usable(self, endpoint: Endpoint) -> bool:
        reached = endpoint.node in self._endpoint_links or endpoint.node == self.me
        return reached and bool(endpoint.instance) and not endpoint.draining

    # --- messages

    def _hear(self, link: PeerConnection, message: Message) -> None:
        """One message of another process."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def _by_kind(self) -> dict[type[Message], Callable[[PeerConnection, Any], None]]:
        """Whom each kind of message is for."""
        return {
            Forward: self._asked,
            ForwardAnswer: lambda link, told: self._told(told),
            Cancel: self._cancelled,
            LoadQuery: self._answer_load,
            LoadReport: lambda link, told: self._glance(told, node=link.peer),
            SendBody: self._wanted,
            BodyChunk: self._piece,
            BodyDropped: lambda link, told: self._unload((link, told.number)),
            Overdue: lambda link, told: self._overdue(told.number),
            ClaimAnswer: self.key_claims.hear,
            Items: self._hear_items,
            Digest: lambda link, told: self._sum(link, told.digest),
            InContact: self._hear_contact,
            Endpoints: lambda link, told: self._hear_records(told.records),
            RecordChanged: lambda link, told: self._hear_records((told.record,)),
            Controllers: self._hear_controllers,
            CurrentVoters: lambda link, told: self._take_voters(Voters(told.epoch, told.names)),
            NewerLifeKnown: lambda link, told: self._outlive(told.life),
            EndpointGone: lambda link, told: self._gone(told.node, told.life),
        }

    def _hear_items(self, link: PeerConnection, told: Items) -> None:
        self._take_items(told.items)
        link.send(ItemsReceived(told.number))

    def _hear_contact(self, link: PeerConnection, told: InContact) -> None:
        self.following.current(link.peer, told.yes)
        self._follow()

    def _hear_records(self, records: Iterable[SidecarRecord]) -> None:
        for record in records:
            if record.node != self.me:
                self._take_record(record)

    def _outlive(self, life: int) -> None:
        """A later life of this sidecar is known: a clock has stepped back since the process before."""
        if life >= self._life:
            self._life = life + 1
            self._tell_record()

    def _answer_load(self, link: PeerConnection, asked: LoadQuery) -> None:
        link.send(self._sight(asked.number, asked.route, asked.size))

    # --- a request that begins here

    def serve(self, message: Request) -> None:
        """Take a request of a client or of the server beside."""
        now = self.loop.time()
        if self.closed:
            self._answer_fault(message, ErrorKind.LEAVING, now, 1.0)
            return
        host = (message.header(b"host") or b"").decode("latin-1").lower()
        host = host.partition(":")[0]
        route = self.table.route(host, message.target.partition(b"?")[0].decode("latin-1"))
        if route is None:
            self._answer_fault(
                message, ErrorKind.NO_ROUTE if self.table.hosts else ErrorKind.NO_SERVER, now + 1.0
            )
            return
        left, age = route.timeout, 0.0
        told = message.header(b"x-deadline-ms")
        if told is not None:
            try:
                given = float(told) / 1000.0
            except ValueError:
                given = math.nan
            if not math.isfinite(given):
                self._answer_fault(message, ErrorKind.BAD, now)
                return
            left = min(left, given)
            age = self._age(route, given)
        if len(message.body) > self.table.limits.body:
            self._answer_fault(message, ErrorKind.TOO_LARGE, now)
            return
        left = min(left, self._ends - now)
        service = route.targets[0][0]
        if len(route.targets) > 1:
            at = self._random() * route.targets[-1][1]
            service = next(name for name, edge in route.targets if at < edge)
        request = PendingRequest(message, route, service, now + left, now + min(route.aim, left))
        request.again, request.past = age > AGAIN_S, age >= route.aim
        request.began = now
        request.offered_until = now + left * AGAIN_IN
        message.tid = "open"
        self._retry_budget(service).asked(now)
        self._open_requests += 1
        request.timer = self.loop.call_later(max(0.0, left - HOP_S), self._late, request)
        self._go(request)

    def _age(self, route: Route, given: float) -> float:
        ages = self._ages.get(route.name)
        if ages is None:
            if len(self._ages) >= MOST_SIZES:
                self._ages.clear()
            ages = self._ages[route.name] = RequestAges()
        return ages.age(given, route.timeout)

    def _retry_budget(self, service: str) -> RetryBudget:
        spend = self._retry_budgets.get(service)
        if spend is None:
            bound = self.settings.bound
            spend = self._retry_budgets[service] = RetryBudget(
                bound("retry_ratio", 0.2), bound("retry_window", 10.0), bound("retry_slack", 0.0)
            )
        return spend

    def _go(self, request: PendingRequest) -> None:
        """Offer a request to one of two servers drawn; where it is worth it, ask their sidecars first."""
        now = self.loop.time()
        endpoints = self.lists.get(request.service, ())
        near = self._near(request)
        zone = self.settings.zone
        drawn = draw(now, endpoints, request.tried, self._random, self._usable, zone, near.calls > 0)
        if not drawn:
            if not request.out:
                self._end(request, ErrorKind.BROKEN if request.unsure else ErrorKind.NO_SERVER)
            return
        kind = request.route.name
        if len(drawn) > 1 and not fresh(now, drawn) and self._worth_a_look(now, drawn, kind):
            self._look(now, request, drawn)
        else:
            self._offer(request, best(now, drawn, zone, kind, near))

    def _near(self, request: PendingRequest) -> Near:
        """What another zone costs a request, by its size and its usual answer's."""
        size = len(request.body) + self._sizes.get(request.route.name, 0.0)
        return next((near for least, near in NEAR.items() if size >= least), Near())

    def _worth_a_look(self, now: float, drawn: list[Endpoint], kind: str) -> bool:
        if any(endpoint.version < 2 for endpoint in drawn):
            return False
        return max(endpoint.paces.get(kind, 0.0) for endpoint in drawn) >= LOOK_WORK * self._look_s

    def _look(self, now: float, request: PendingRequest, drawn: list[Endpoint]) -> None:
        """Ask the sidecars beside some servers how a call would fare there."""
        look = LoadLookup(request, drawn, now)
        self._next += 1
        number = self._next
        kind, size = request.route.name, len(request.body)
        for endpoint in drawn:
            if endpoint.node == self.me:
                report = self._sight(number, kind, size)  # its body is here
                endpoint.told(now, kind, report.wait_s, report.work_s, report.failing)
                if not report.is_open:
                    endpoint.closed_until = now + LEAST_CLOSED_S
            else:
                look.open += 1
                self._endpoint_links[endpoint.node].send(LoadQuery(number, kind, size))
        self._load_queries[number] = look
        most = max(0.001, (request.aim_at - now) * LOOK_AIM)
        look.timer = self.loop.call_later(most, self._looked, number)

    def _sight(self, number: int, kind: str, size: int) -> LoadReport:
        """How a call would fare here."""
        carry_s = self._intake.wait(size) if size > self._intake.inline else 0.0
        queue = self.server_queue
        return LoadReport(number, queue.takes_calls(), queue.wait(), queue.pace(kind), carry_s, queue.ill())

    def _glance(self, told: LoadReport, *, node: str = "") -> None:
        """A sidecar has told how a call would fare, or can't any more."""
        look = self._load_queries.get(told.number)
        if look is None:
            return
        now = self.loop.time()
        look.open -= 1
        endpoint = self.endpoints.get(node)
        if endpoint is not None:
            took = now - look.began
            self._look_s += (took - self._look_s) * 0.1
            endpoint.told(now, look.request.route.name, told.wait_s, told.work_s, told.failing)
            look.carries[node] = told.carry_s
            if not told.is_open:
                endpoint.closed_until = now + LEAST_CLOSED_S
                endpoint.told_at = -1.0
            elif look.open > 0 and look.timer is not None:
                # The first has answered: the others may take as long again.
                look.timer.cancel()
                look.timer = self.loop.call_later(took + 0.001, self._looked, told.number)
        if look.open <= 0:
            self._looked(told.number)

    def _looked(self, number: int) -> None:
        """Enough has been heard: the request goes."""
        look = self._load_queries.pop(number, None)
        if look is None:
            return
        if look.timer is not None:
            look.timer.cancel()
        request, now = look.request, self.loop.time()
        if request.over:
            return
        drawn = [
            endpoint for endpoint in look.endpoints if self._usable(endpoint) and now >= endpoint.closed_until
        ]
        if not drawn:
            endpoints = self.lists.get(request.service, ())
            drawn = draw(now, endpoints, request.tried, self._random, self._usable, self.settings.zone)
        if not drawn:
            if not request.out:
                self._end(request, ErrorKind.BROKEN if request.unsure else ErrorKind.NO_SERVER)
            return
        zone, kind = self.settings.zone, request.route.name
        self._offer(request, best(now, drawn, zone, kind, self._near(request), look.carries))

    def _offer(self, request: PendingRequest, endpoint: Endpoint) -> None:
        """Offer a request to one server, by the sidecar beside it."""
        now = self.loop.time()
        request.tried.append(endpoint)
        request.out += 1
        endpoint.inflight += 1
        self._next += 1
        number = self._next
        self._asks[number] = request, endpoint
        message = request.message
        named = _named(message)
        headers = [pair for pair in message.headers if pair[0] not in OURS and pair[0] not in named]
        key = request.key if request.route.variant == "idempotent" else ""
        body, size = request.body, 0
        if endpoint.node != self.me and endpoint.version >= 2 and len(body) > self._intake.inline:
            self._chunked_bodies[number] = ChunkedBody(body)
            body, size = b"", len(body)
        call = Call(
            service=request.service,
            caller=self.settings.service,
            method=message.method,
            target=message.target,
            headers=headers,
            body=body,
            left_s=request.deadline - now,
            aim_s=request.aim_at - now,
            attempt=request.tid,
            key=key,
            route=request.route.name,
            again=request.again,
            repeatable=request.route.variant == "pure",
            past_aim=request.past,
            size=size,
        )
        if endpoint.node == self.me:
            self._run(call, (None, number), self._told, partial(self._overdue, number))
        else:
            link = self._endpoint_links[endpoint.node]
            link.attend(1)
            link.send(Forward(number, call))

    # --- large bodies

    def _wanted(self, link: PeerConnection, asked: SendBody) -> None:
        """The sidecar beside a server takes more of a body."""
        number, upto = asked.number, asked.upto
        chunked, found = self._chunked_bodies.get(number), self._asks.get(number)
        if chunked is None or found is None:
            return
        if found[0].over:  # its client has its answer or has left: what is not there whole can't run
            self._told(_unanswered(number, ErrorKind.LEAVING))
            link.send(BodyDropped(number))
            return
        while chunked.sent < min(upto, len(chunked.body)):
            piece = chunked.body[chunked.sent : min(chunked.sent + PIECE, upto)]
            chunked.sent += len(piece)
            link.send(BodyChunk(number, piece))

    def _load(self, link: PeerConnection, asked: Forward) -> None:
        """A request whose body has to be fetched; one that can't be here in time is given back at once."""
        now, place, call = self.loop.time(), (link, asked.number), asked.call
        if not self.server_queue.open or call.service != self.settings.service:
            link.send(_unanswered(asked.number, ErrorKind.LEAVING))
            return
        # No longer than a call may wait unsent: where more comes than the link carries, all would else be
        # late. What is given back has cost the link nothing yet.
        most = min(call.left_s * LAST, call.aim_s * BEYOND)
        if self._intake.wait(call.size) > most:
            self._give_back(place, call)
            return
        self._loads[place] = Arriving(call, now)
        self._open_jobs += 1
        self._intake.add(now, place, call.size)
        self.loop.call_later(most, self._overtaken, place)
        self.loop.call_later(call.left_s, self._overtaken, place, True)
        self._want()

    def _give_back(self, place: Place, call: Call) -> None:
        link, number = place
        if link is not None:
            link.send(self._with_hint(_unanswered(number, ErrorKind.FULL), call.route))

    def _overtaken(self, place: Place, at_last: bool = False) -> None:
        """A body of which little is here though its time is up: smaller ones have gone before it. At last it
        is given back whatever is here: its sender keeps it until it is told."""
        load = self._loads.get(place)
        if load is not None and (at_last or sum(map(len, load.parts)) < load.call.size / 2):
            self._unload(place)
            self._give_back(place, load.call)

    def _want(self) -> None:
        """Have senders send what the link can take."""
        for (link, number), upto in self._intake.grants(self.loop.time()).items():
            if link is not None:
                link.send(SendBody(number, upto))

    def _piece(self, link: PeerConnection, told: BodyChunk) -> None:
        place, now = (link, told.number), self.loop.time()
        load = self._loads.get(place)
        if load is None:
            return
        load.parts.append(told.data)
        if not self._intake.got(now, place, len(told.data)):
            self._want()
            return
        self._unload(place)
        took, call = now - load.began, load.call
        left_s, aim_s = call.left_s - took, call.aim_s - took
        whole = msgspec.structs.replace(call, body=b"".join(load.parts), left_s=left_s, aim_s=aim_s, size=0)
        self._asked(link, Forward(told.number, whole))

    def _unload(self, place: Place) -> None:
        """A body is whole, or will never be."""
        if self._loads.pop(place, None) is not None:
            self._open_jobs -= 1
            self._intake.drop(place)
            self._want()

    def _told(self, told: ForwardAnswer) -> None:
        """What became of a request at the sidecar beside a server."""
        found = self._asks.pop(told.number, None)
        if found is None:
            return
        request, endpoint = found
        now = self.loop.time()
        self._chunked_bodies.pop(told.number, None)
        link = self._endpoint_links.get(endpoint.node)
        if link is not None:
            link.attend(-1)
        endpoint.inflight -= 1
        request.out -= 1
        endpoint.told(now, request.route.name, told.wait_s, told.work_s, told.failing)
        if told.wait_s:
            endpoint.closed_until = now + min(told.wait_s, MOST_CLOSED_S)
        if told.error:
            self._failed(now, request, endpoint, told)
            return
        endpoint.answered(now - request.began)
        if request.over:
            return
        self._note_size(request.route.name, len(told.body))
        self._finish(request)
        request.message.answer(told.status, told.body, list(told.headers))

    def _note_size(self, route: str, size: int) -> None:
        """Remember how large a route's answers are."""
        known = self._sizes.get(route)
        if known is not None or len(self._sizes) < MOST_SIZES:
            self._sizes[route] = size if known is None else known + (size - known) * 0.1

    def _failed(self, now: float, request: PendingRequest, endpoint: Endpoint, told: ForwardAnswer) -> None:
        """One server has not answered a request: another may, if it may run again and there is time."""
        kind = ErrorKind(told.error)
        request.arrivals += told.arrived
        if kind in PROMISES:
            endpoint.closed_until = max(endpoint.closed_until, now + LEAST_CLOSED_S)
        elif kind != ErrorKind.AT_WORK:
            request.unsure = True
        if request.over:
            return
        again = kind in PROMISES or (request.route.variant == "pure" and kind == ErrorKind.BROKEN)
        offers = max(DRAWS, request.route.attempts)
        left = len(request.tried) < offers and request.arrivals < request.route.attempts
        in_time = now < request.deadline - HOP_S and (kind == ErrorKind.BROKEN or now < request.offered_until)
        if again and left and in_time and self._retry_budget(request.service).take(now, self._most_sidecars):
            self._go(request)
            return
        if request.out:
            return  # another offer of it may still be answered
        self._end(request, ErrorKind.BROKEN if request.unsure and kind in PROMISES else kind)

    def _overdue(self, number: int) -> None:
        """A server takes unusually long: what may run twice is sent to another as well, within the budget for
        second servers. The first to answer counts, and nothing is broken off."""
        found = self._asks.get(number)
        if found is None:
            return
        request, now = found[0], self.loop.time()
        first = request.out == 1 and request.arrivals + 1 < request.route.attempts and not request.over
        if request.route.variant != "pure" or not first or len(request.tried) >= DRAWS:
            return
        if now < request.deadline - HOP_S and self._retry_budget(request.service).take(
            now, self._most_sidecars
        ):
            self._go(request)

    def _late(self, request: PendingRequest) -> None:
        """Its time is up. It has not run where nobody was offered it whole."""
        asked = [number for number, found in self._asks.items() if found[0] is request]
        unsent = all(number in self._chunked_bodies and self._chunked_bodies[number].part for number in asked)
        self._end(request, ErrorKind.REFUSED if unsent and not request.unsure else ErrorKind.LATE)

    def _end(self, request: PendingRequest, fault: ErrorKind) -> None:
        if request.over:
            return
        self._finish(request)
        self._answer_fault(request.message, fault, request.deadline, request.aim_at - request.began)

    def _finish(self, request: PendingRequest) -> None:
        request.over = True
        self._open_requests -= 1
        if request.timer is not None:
            request.timer.cancel()

    def _answer_fault(self, message: Request, fault: ErrorKind, deadline: float, aim: float = 0.2) -> None:
        answer = ANSWERS[fault]
        headers = []
        if answer.promise:
            headers = [(b"Retry-After", b"%.3f" % (aim * (0.2 + 0.4 * self._random())))]
        message.answer(answer.status, answer.text, headers)

    def _hung_up(self, message: Request) -> None:
        """The client has left. Nothing of its request is sent to a server any more, and one that may run
        twice is broken off there. What may not, and may have begun, runs on; so does an operation with a key,
        whose answer is kept for its repeat."""
        request = self._request_of(message)
        if request is None or request.over:
            return
        self._finish(request)
        if request.route.variant == "idempotent":
            return
        for number, (asked, endpoint) in list(self._asks.items()):
            if asked is request:
                self._cancel(number, endpoint)

    def _request_of(self, message: Request) -> PendingRequest | None:
        """The open request of a client's message."""
        asked = [request for request, _ in self._asks.values()]
        looked = [look.request for look in self._load_queries.values()]
        return next((request for request in (*asked, *looked) if request.message is message), None)

    def _cancel(self, number: int, endpoint: Endpoint) -> None:
        """Tell the sidecar beside a server that nobody waits for a call any more; it answers all the same."""
        link = self._endpoint_links.get(endpoint.node)
        if endpoint.node == self.me:
            self._withdraw((None, number))
        elif link is not None:
            link.send(Cancel(number))

    # --- a request for the server beside

    def _asked(self, link: PeerConnection, asked: Forward) -> None:
        """Another sidecar sends a call for the server beside this one."""
        number, call = asked.number, asked.call
        if call.size:
            self._load(link, asked)
            return
        self._run(
            call,
            (link, number),
            lambda answer: link.send(self._with_hint(answer, call.route)),
            lambda: link.send(Overdue(number)),
        )

    def _cancelled(self, link: PeerConnection, told: Cancel) -> None:
        """The client of a call has left."""
        place = (link, told.number)
        if place in self._loads:
            self._unload(place)
            link.send(_unanswered(told.number, ErrorKind.REFUSED))
        else:
            self._withdraw(place)

    def _withdraw(self, place: Place) -> None:
        job = self._jobs.get(place)
        if job is not None:
            self.server_queue.withdraw(job)

    def _with_hint(self, answer: ForwardAnswer, route: str) -> ForwardAnswer:
        """What each answer tells of the server here besides: seconds that a call waits, and works; the part
        of calls that fail here of late."""
        queue = self.server_queue
        return msgspec.structs.replace(
            answer, wait_s=queue.wait(), work_s=queue.pace(route), failing=queue.ill()
        )

    def _run(self, call: Call, place: Place, tell: Tell, overdue: Callable[[], None]) -> None:
        """Have a call run by the server beside this sidecar; `tell` hears its end once."""
        now, number = self.loop.time(), place[1]
        server_queue = self.server_queue
        if call.service != self.settings.service or not server_queue.open:
            tell(_unanswered(number, ErrorKind.LEAVING))
            return
        self._open_jobs += 1
        left, aim, kind, key = call.left_s, call.aim_s, call.route, call.key
        deadline = now + left
        head = heads.forwarded(call.method, call.target, list(call.headers), call.body)

        def make(left_s: float, instance: str) -> bytes:
            told = b"X-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\nX-Caller-Service: %s\r\n\r\n" % (
                max(1, int(left_s * 1000)),
                instance.encode(),
                call.caller.encode(),
            )
            return head + told + call.body

        token = f"{self.me}/{self._life}/{self._fresh()}" if key else ""

        def done(error: ErrorKind | None, arrived: bool, reply: Reply | None) -> None:
            self._open_jobs -= 1
            self._jobs.pop(place, None)
            found = self._judge(error, reply)
            if key:
                self._close_key(key, token, found, reply)
            if found is not None or reply is None:
                tell(_unanswered(number, found or ErrorKind.BROKEN, arrived))
            else:
                headers = heads.returned(reply.headers)
                tell(ForwardAnswer(number, 0, arrived, reply.status, headers, reply.body))

        # The last start for an answer that is most likely in time, as times scatter, and the last for one at
        # all: a third of what is left, as a client that is refused may still be served elsewhere, and
        # little beyond the aim, as what waits for long makes all behind it late.
        # Whoever was refused before goes first: refused once more, its client has waited for nothing.
        wait = max(aim - SCATTER * server_queue.takes(kind), aim * PATIENCE) * (
            RETURNED if call.again else 1.0
        )
        # What was lost for longer than its aim, as while everybody was down, is worth less than any that can
        # be in time: it goes when none of those waits.
        due = now if call.past_aim else now + min(wait, left * LAST)
        job = Job(
            make, call.attempt, deadline, due, max(due, now + min(left * LAST, aim * BEYOND)), done, kind
        )
        if call.repeatable:
            job.overdue = overdue
            job.repeatable = True
        if not key:
            self._jobs[place] = job
            server_queue.submit(job)
            return
        patience = max(LEAST_CLAIM_S, aim * PATIENCE)
        self._claim(number, key, token, left, patience, job, tell)

    def _fresh(self) -> int:
        self._next += 1
        return self._next

    @staticmethod
    def _judge(fault: ErrorKind | None, reply: Reply | None) -> ErrorKind | None:
        """What a client may be told of an outcome; None where the reply is the server's whole answer."""
        if fault is not None or reply is None:
            return fault or ErrorKind.BROKEN
        coded = reply.header(b"content-encoding") is not None
        sealed = reply.header(b"x-server-seal") is not None
        if (200 <= reply.status < 300 and not sealed) or coded or reply.status in NO_PROMISE:
            return ErrorKind.BROKEN
        if reply.status < 200 or 300 <= reply.status < 400:
            return ErrorKind.BROKEN
        return None

    # --- keys

    def _claim(
        self, number: int, key: str, token: str, left: float, patience: float, job: Job, tell: Tell
    ) -> None:
        """Have a key granted by enough controllers; only then the call may go. Where that takes long, as
        behind a cut, the call is given back for another sidecar to try, and for a while all others at
        once."""

        def decided(verdict: Verdict, answer: Any) -> None:
            if verdict == Verdict.RUN:
                self.server_queue.submit(job)
                return
            self._open_jobs -= 1
            if verdict == Verdict.REPEAT:
                status, headers, body = answer
                pairs = [(bytes(name), bytes(value)) for name, value in headers]
                tell(ForwardAnswer(number, 0, False, status, pairs, body))
            else:
                tell(_unanswered(number, OF_VERDICT.get(verdict, ErrorKind.REFUSED)))

        if self.key_claims.paused:
            self._open_jobs -= 1
            tell(_unanswered(number, ErrorKind.REFUSED))
        else:
            self.key_claims.claim(key, token, left, patience, decided)

    def _close_key(self, key: str, token: str, fault: ErrorKind | None, reply: Reply | None) -> None:
        """An operation with a key is over."""
        if fault is None and reply is not None:
            answer = [reply.status, heads.returned(reply.headers), reply.body]
            self.key_claims.done(key, token, answer)
        elif fault in PROMISES:
            self.key_claims.free(key, token)
        else:
            self.key_claims.broke(key, token)


def _unanswered(number: int, error: ErrorKind, arrived: bool = False) -> ForwardAnswer:
    """The end of a call that no server has answered. `arrived`: whether one has seen it."""
    return ForwardAnswer(number, int(error), arrived, 0, [], b"")


def _named(message: Request) -> frozenset[bytes]:
    """Headers that a request's Connection header keeps to that connection."""
    told = message.header(b"connection")
    if told is None or told.lower() in (b"close", b"keep-alive"):
        return frozenset()
    return frozenset(part.strip().lower() for part in told.split(b","))
