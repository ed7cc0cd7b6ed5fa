"""The sidecar: requests begin here, and go to a server by the sidecar beside that server."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from loguru import logger

from dunefield.budget import STEPS
from hollyport.http import heads
from hollyport.http.back import Reply
from hollyport.http.message import Message
from mesh.errors import ANSWERS, PROMISES, ErrorKind
from mesh.proxy.chunked_transfer import PIECE, Intake
from mesh.proxy.endpoints import Endpoint, Near, best, draw, fresh
from mesh.proxy.failure_detector import FailureDetector
from mesh.proxy.request_age import RequestAges
from mesh.proxy.retry_budget import RetryBudget
from mesh.proxy.server_queue import HOP_S, Job, ServerQueue
from mesh.settings import Address, Settings, seconds
from mesh.state import configuration
from mesh.state.configuration import Item, Route
from mesh.state.distribution import LOOK_S, Copy, Following
from mesh.state.idempotency import Claim, Mark, Verdict
from mesh.state.quorum import Voters
from mesh.transport import connection, http_server
from mesh.transport.connection import Dial, PeerConnection, pack
from mesh.transport.messages import VERSION, MessageKind, Record

OURS = heads.NOT_FORWARDED | {b"x-deadline-ms", b"x-expect-instance", b"x-caller-service", b"x-timeout"}
LEAST_CLAIM_S = 0.08  # how long a claim may take in any case before its call is given back
KEYLESS_S = 0.25  # how long none is tried after one that took too long
HEDGE_S = 0.02  # after so long without a verdict all controllers are asked for a key, not only the nearest
CLAIM_S = 1.0  # a claim's round is void after so long
PATIENCE = 0.25  # part of a request's aim that it may wait unsent at no price
SCATTER = 2.0  # times the mean that a call may take and still be in time
BEYOND = 1.5  # times its aim that a request may wait unsent
LARGE, MIDDLE = 4096, 1024  # bytes of a body and its usual answer, from which on they stay in their zone
NEAR = {LARGE: Near(3, 0.5), MIDDLE: Near(1, 0.1)}  # from a size on
LOOK_AIM = 0.05  # part of a request's aim that asking after two servers may take
LOOK_WORK = 8.0  # times what the asking takes that a call has to take for it to be worth the asking
MOST_SIZES = 1024  # routes whose answers' sizes are kept
ASK: tuple[Any, ...] = (b"", "", b"", b"", [], b"", 0.0, 0.0, b"", "", "", False, False, False, 0)
"""What an offer tells, in order, with what stands for what an older version did not tell."""
SIZE = len(ASK) - 1  # place of the size of a body that does not come with its offer
AGAIN_S = 0.002  # a request that has been under way for longer has been refused or lost before
RETURNED = 0.5  # part of the usual patience that puts a returning request in front
DRAWS = 3  # pools that a request is offered to before it is refused
LAST = 0.3  # part of a request's time that it may wait unsent in one pool
AGAIN_IN = 0.2  # and so much of its time may be gone when it is offered to another
LEAST_CLOSED_S, MOST_CLOSED_S = 0.02, 0.2  # how long a pool that was told full is passed over
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

    def __init__(self, message: Message, route: Route, service: str, deadline: float, aim_at: float) -> None:
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


class LoadQuery:
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
        self.voters: tuple[str, ...] = ()
        self._enough = 1
        self._epoch = 0
        self.server_queue = ServerQueue(self.loop, settings.app, 64)
        self.endpoints: dict[str, Endpoint] = {}
        self.lists: dict[str, list[Endpoint]] = {}
        self._records: dict[str, list[Any]] = {}
        self._life, self._number = time.time_ns() // 1_000_000, 0
        self._controller_dials: dict[str, Dial] = {}
        self._controllers: dict[str, PeerConnection] = {}
        self._endpoint_dials: dict[str, Dial] = {}
        self._endpoint_links: dict[str, PeerConnection] = {}
        self._asks: dict[int, tuple[PendingRequest, Endpoint]] = {}
        self._load_queries: dict[int, LoadQuery] = {}
        self._look_s = 0.0  # how long a question takes, of late
        self._chunked_bodies: dict[int, ChunkedBody] = {}  # by offer
        self._loads: dict[tuple[PeerConnection, int], tuple[list[Any], list[bytes], float]] = {}
        self._intake: Intake[tuple[PeerConnection, int]] = Intake(settings.link_mbps * 125_000)
        self._next = 0
        self._claims: dict[int, tuple[Claim, Callable[[Claim], None]]] = {}
        self._anew: dict[int, Callable[[], None]] = {}  # by claim: ask those who vote now
        self._granted: dict[str, list[str]] = {}  # by token at work: the controllers that were asked
        self._controller_zones: dict[str, str] = {}
        self._controller_lives: dict[str, int] = {}
        # by controller: the life with which others have forgotten it
        self._controllers_over: dict[str, int] = {}
        self._sizes: dict[str, float] = {}  # by route: bytes of an answer, about
        self._keyless_until = 0.0  # controllers are out of reach, as it seems
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._ages: dict[str, RequestAges] = {}  # by route
        self._jobs: dict[tuple[PeerConnection, int], Job] = {}
        self._callers: set[PeerConnection] = set()
        self._open_requests = self._open_jobs = 0
        self.leaving = self.closed = self._probed = False
        self._ends = float("inf")  # when this process will have answered everything
        self._http_servers: list[http_server.HttpServer] = []
        self._most_sidecars = 0
        self.server_queue.replaced = self._adopt
        self._failure_detector = FailureDetector(
            self.loop, self.me, settings.peer_address.text, settings.zone, self._dead
        )
        self._random = random.random

    @property
    def items(self) -> configuration.Items:
        """The configuration as it stands here."""
        return self.copy.items

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

    def readiness(self, message: Message) -> None:
        """Whether clients may be sent here."""
        if message.target.partition(b"?")[0] != b"/-/readiness":
            message.answer(404)
            return
        ready = not self.leaving and bool(self.table.hosts) and any(self.lists.values())
        message.answer(200 if ready else 503)

    def beat(self, message: Message) -> None:
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

    def _record(self) -> list[Any]:
        server_queue, settings = self.server_queue, self.settings
        self._number += 1
        cold = max(0.0, server_queue.cold_until - self.loop.time())
        return [
            self.me,
            settings.peer_address.text,
            settings.zone,
            settings.service,
            server_queue.instance,
            server_queue.slots,
            server_queue.open and not self.leaving,
            cold,
            self._life,
            self._number,
            VERSION,
        ]

    def _tell_record(self) -> None:
        """Tell all that have to know what can be had here."""
        record = self._record()
        self._take_record(record)
        packed = pack([MessageKind.SIDECAR, record])
        for link in self._controllers.values():
            link.put(packed)
        packed = pack([MessageKind.LEAVING, record])
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
        link.send([MessageKind.SIDECAR, self._record(), VERSION])

    def _controller_down(self, address: str, link: PeerConnection) -> None:
        if self._controllers.get(address) is link:
            del self._controllers[address]
            self.following.down(address)
            self._follow()
            self._forget_controller(address)
        for claim, then in list(self._claims.values()):
            claim.failed(address)
            then(claim)

    def _hear_controllers(
        self,
        link: PeerConnection,
        addresses: list[str],
        zone: str,
        lives: dict[str, int] | None = None,
        over: dict[str, int] | None = None,
        *_: Any,
    ) -> None:
        """Which controllers there are, and which were forgotten: those come back by a later life alone."""
        for address in addresses:
            life = (lives or {}).get(address, 0)
            if life > self._controllers_over.get(address, -1):
                self._controllers_over.pop(address, None)
                self._controller_lives[address] = max(life, self._controller_lives.get(address, 0))
                self._know_controller(address)
        for address, life in (over or {}).items():
            if life >= self._controller_lives.get(address, 0):
                self._controllers_over[address] = life
                self._forget_controller(address)
        if link.peer:
            self._controller_zones[link.peer] = zone
            self._follow()

    def _follow(self) -> None:
        """Hear tables and changes from one controller: the nearest there is."""
        before = self._controllers.get(self.following.controller)
        controller = self.following.choose(self._controllers, self._controller_zones)
        if controller is not None:
            if before is not None:
                before.send([MessageKind.FOLLOW, None])
            if controller:
                self._controllers[controller].send([MessageKind.FOLLOW, self.copy.digest])

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
            link.send([MessageKind.PULL, self.copy.marks()])

    def _forget_controller(self, address: str) -> None:
        """Dial a controller no more that others have forgotten, unless it is reached from here."""
        kept = address in self.settings.seed_peers or address in self.voters
        if address in self._controllers_over and address not in self._controllers and not kept:
            dial = self._controller_dials.pop(address, None)
            if dial is not None:
                dial.stop()

    def _take_voters(self, told: Voters) -> None:
        """Who votes from now on. What was asked of those before is asked anew, as long as nothing ran."""
        if not told.newer(Voters(self._epoch, self.voters)):
            return
        self._epoch, self.voters, self._enough = told.epoch, told.names, told.write
        for name in told.names:
            self._know_controller(name)
        for asked in self._granted.values():  # they may have heard of it from those before
            asked += [name for name in told.names if name not in asked]
        for anew in list(self._anew.values()):
            anew()

    def _take_items(self, rows: list[list[Any]]) -> None:
        self.following.answered()
        if not self.copy.take(Item(*row) for row in rows):
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

    def _take_record(self, record: list[Any]) -> None:
        node = record[Record.NODE]
        known = self._records.get(node)
        if known is not None and record[Record.LIFE :] <= known[Record.LIFE :]:
            return
        self._records[node] = record
        self._most_sidecars = max(self._most_sidecars, len(self._records))
        endpoint = self.endpoints.get(node)
        service = record[Record.SERVICE]
        if endpoint is not None and endpoint.service != service:
            self._drop_endpoint(node)
            endpoint = None
        if endpoint is None:
            endpoint = self.endpoints[node] = Endpoint(node, service)
            self.lists.setdefault(service, []).append(endpoint)
        endpoint.zone = record[Record.ZONE]
        self._failure_detector.knows(node, endpoint.zone, record[Record.LINK])
        if endpoint.instance != record[Record.INSTANCE]:
            endpoint.renew()
        endpoint.instance, endpoint.slots = record[Record.INSTANCE], record[Record.SLOTS]
        endpoint.draining = not record[Record.OPEN]
        endpoint.version = record[Record.VERSION] if len(record) > Record.VERSION else 0
        endpoint.cold_until = self.loop.time() + record[Record.COLD]
        if node != self.me and endpoint.link != record[Record.LINK]:
            old = self._endpoint_dials.pop(node, None)
            if old is not None:
                old.stop()
            endpoint.link = record[Record.LINK]
            host, _, port = endpoint.link.rpartition(":")
            self._endpoint_dials[node] = Dial(
                Address(host, int(port)),
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
        same = record is not None and record[Record.LIFE] == life
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
                    # without its body it can't have run
                    self._told(number, ErrorKind.LEAVING, False, 0, [], b"")
                else:
                    self._told(number, ErrorKind.BROKEN, True, 0, [], b"")
        for number, look in list(self._load_queries.items()):
            if any(endpoint.node == node for endpoint in look.endpoints):
                self._glance(number, False)

    def _left(self, link: PeerConnection) -> None:
        self._callers.discard(link)
        for key in [key for key in self._loads if key[0] is link]:
            self._unload(key)

    def _usable(self, endpoint: Endpoint) -> bool:
        reached = endpoint.node in self._endpoint_links or endpoint.node == self.me
        return reached and bool(endpoint.instance) and not endpoint.draining

    # --- messages

    def _hear(self, link: PeerConnection, message: list[Any]) -> None:
        word = message[0]
        if word == MessageKind.ASK:
            self._asked(link, message[1], message[2])
        elif word == MessageKind.TOLD:
            self._told(*message[1:])
        elif word == MessageKind.LOOK:
            link.send([MessageKind.GLANCE, message[1], *self._sight(message[2], message[3])])
        elif word == MessageKind.GLANCE:
            self._glance(*message[1:7], node=link.peer)
        elif word == MessageKind.WANT:
            self._wanted(link, message[1], message[2])
        elif word == MessageKind.PIECE:
            self._piece(link, message[1], message[2])
        elif word == MessageKind.DROP:
            self._unload((link, message[1]))
        elif word == MessageKind.OVERDUE:
            self._overdue(message[1])
        elif word == MessageKind.CLAIMED:
            self._claimed(link, *message[1:])
        elif word == MessageKind.ITEMS:
            self._take_items(message[2])
            link.send([MessageKind.ACK, message[1]])
        elif word == MessageKind.SUM:
            self._sum(link, message[1])
        elif word == MessageKind.CURRENT:
            self.following.current(link.peer, message[1])
            self._follow()
        elif word == MessageKind.ENDPOINTS:
            for record in message[1]:
                if record[Record.NODE] != self.me:
                    self._take_record(record)
        elif word == MessageKind.LEAVING:
            if message[1][Record.NODE] != self.me:
                self._take_record(message[1])
        elif word == MessageKind.CONTROLLERS:
            self._hear_controllers(link, *message[1:])
        elif word == MessageKind.VOTERS:
            self._take_voters(Voters(message[1], tuple(message[2])))
        elif word == MessageKind.LIFE:
            if message[1] >= self._life:  # a clock has stepped back since the process before
                self._life = message[1] + 1
                self._tell_record()
        elif word == MessageKind.GONE:
            self._gone(message[1], message[2])

    # --- a request that begins here

    def serve(self, message: Message) -> None:
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
        look = LoadQuery(request, drawn, now)
        self._next += 1
        number = self._next
        kind, size = request.route.name, len(request.body)
        for endpoint in drawn:
            if endpoint.node == self.me:
                open_, wait, pace, _, ill = self._sight(kind, size)  # its body is here
                endpoint.told(now, kind, wait, pace, ill)
                if not open_:
                    endpoint.closed_until = now + LEAST_CLOSED_S
            else:
                look.open += 1
                self._endpoint_links[endpoint.node].send([MessageKind.LOOK, number, kind, size])
        self._load_queries[number] = look
        most = max(0.001, (request.aim_at - now) * LOOK_AIM)
        look.timer = self.loop.call_later(most, self._looked, number)

    def _sight(self, kind: str, size: int) -> tuple[bool, float, float, float, float]:
        """How a call would fare here: whether it would be taken; seconds that it would wait, and take, and
        that its body would be on its way; the part of calls that fail here of late."""
        carry = self._intake.wait(size) if size > self._intake.inline else 0.0
        return self.server_queue.takes_calls(), *self._hint(kind)[:2], carry, self._hint(kind)[2]

    def _glance(
        self,
        number: int,
        open_: bool,
        wait: float = 0.0,
        pace: float = 0.0,
        carry: float = 0.0,
        ill: float = 0.0,
        *,
        node: str = "",
    ) -> None:
        """A sidecar has told how a call would fare, or can't any more."""
        look = self._load_queries.get(number)
        if look is None:
            return
        now = self.loop.time()
        look.open -= 1
        endpoint = self.endpoints.get(node)
        if endpoint is not None:
            took = now - look.began
            self._look_s += (took - self._look_s) * 0.1
            endpoint.told(now, look.request.route.name, wait, pace, ill)
            look.carries[node] = carry
            if not open_:
                endpoint.closed_until = now + LEAST_CLOSED_S
                endpoint.told_at = -1.0
            elif look.open > 0 and look.timer is not None:
                # The first has answered: the others may take as long again.
                look.timer.cancel()
                look.timer = self.loop.call_later(took + 0.001, self._looked, number)
        if look.open <= 0:
            self._looked(number)

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
        ask = [
            request.service,
            self.settings.service,
            message.method,
            message.target,
            headers,
            body,
            request.deadline - now,
            request.aim_at - now,
            request.tid,
            key,
            request.route.name,
            request.again,
            request.route.variant == "pure",
            request.past,
            size,
        ]
        if endpoint.node == self.me:
            self._run(
                ask,
                lambda *told: self._told(number, *told, *self._hint(request.route.name)),
                partial(self._overdue, number),
            )
        else:
            link = self._endpoint_links[endpoint.node]
            link.attend(1)
            link.send([MessageKind.ASK, number, ask])

    # --- large bodies

    def _wanted(self, link: PeerConnection, number: int, upto: int) -> None:
        """The sidecar beside a server takes more of a body."""
        chunked, found = self._chunked_bodies.get(number), self._asks.get(number)
        if chunked is None or found is None:
            return
        if found[0].over:  # its client has its answer or has left: what is not there whole can't run
            self._told(number, ErrorKind.LEAVING, False, 0, [], b"")
            link.send([MessageKind.DROP, number])
            return
        while chunked.sent < min(upto, len(chunked.body)):
            piece = chunked.body[chunked.sent : min(chunked.sent + PIECE, upto)]
            chunked.sent += len(piece)
            link.send([MessageKind.PIECE, number, piece])

    def _load(self, link: PeerConnection, number: int, ask: list[Any]) -> None:
        """A request whose body has to be fetched; one that can't be here in time is given back at once."""
        now, key = self.loop.time(), (link, number)
        size, left = ask[SIZE], ask[6]
        if not self.server_queue.open or ask[0] != self.settings.service:
            link.send([MessageKind.TOLD, number, int(ErrorKind.LEAVING), False, 0, [], b""])
            return
        # No longer than a call may wait unsent: where more comes than the link carries, all would else be
        # late. What is given back has cost the link nothing yet.
        most = min(left * LAST, ask[7] * BEYOND)
        if self._intake.wait(size) > most:
            self._give_back(key, ask)
            return
        self._loads[key] = ask, [], now
        self._open_jobs += 1
        self._intake.add(now, key, size)
        self.loop.call_later(most, self._overtaken, key)
        self.loop.call_later(left, self._overtaken, key, True)
        self._want()

    def _give_back(self, key: tuple[PeerConnection, int], ask: list[Any]) -> None:
        link, number = key
        link.send([MessageKind.TOLD, number, int(ErrorKind.FULL), False, 0, [], b"", *self._hint(ask[10])])

    def _overtaken(self, key: tuple[PeerConnection, int], at_last: bool = False) -> None:
        """A body of which little is here though its time is up: smaller ones have gone before it. At last it
        is given back whatever is here: its sender keeps it until it is told."""
        load = self._loads.get(key)
        if load is not None and (at_last or sum(map(len, load[1])) < load[0][SIZE] / 2):
            self._unload(key)
            self._give_back(key, load[0])

    def _want(self) -> None:
        """Have senders send what the link can take."""
        for (link, number), upto in self._intake.grants(self.loop.time()).items():
            link.send([MessageKind.WANT, number, upto])

    def _piece(self, link: PeerConnection, number: int, data: bytes) -> None:
        key, now = (link, number), self.loop.time()
        load = self._loads.get(key)
        if load is None:
            return
        ask, parts, began = load
        parts.append(data)
        if self._intake.got(now, key, len(data)):
            self._unload(key)
            took = now - began
            ask = [*ask[:5], b"".join(parts), ask[6] - took, ask[7] - took, *ask[8:SIZE], 0]
            self._asked(link, number, ask)
        else:
            self._want()

    def _unload(self, key: tuple[PeerConnection, int]) -> None:
        """A body is whole, or will never be."""
        if self._loads.pop(key, None) is not None:
            self._open_jobs -= 1
            self._intake.drop(key)
            self._want()

    def _told(
        self,
        number: int,
        fault: int,
        arrived: bool,
        status: int,
        headers: list[Any],
        body: bytes,
        wait: float = 0.0,
        pace: float = 0.0,
        ill: float = 0.0,
        *_: Any,
    ) -> None:
        """What became of a request at the sidecar beside a server."""
        found = self._asks.pop(number, None)
        if found is None:
            return
        request, endpoint = found
        now = self.loop.time()
        self._chunked_bodies.pop(number, None)
        link = self._endpoint_links.get(endpoint.node)
        if link is not None:
            link.attend(-1)
        endpoint.inflight -= 1
        request.out -= 1
        endpoint.told(now, request.route.name, wait, pace, ill)
        if wait:
            endpoint.closed_until = now + min(wait, MOST_CLOSED_S)
        if not fault:
            endpoint.answered(now - request.began)
            if request.over:
                return
            name = request.route.name
            known = self._sizes.get(name)
            if known is not None or len(self._sizes) < MOST_SIZES:
                self._sizes[name] = len(body) if known is None else known + (len(body) - known) * 0.1
            self._finish(request)
            request.message.answer(status, body, [(bytes(k), bytes(v)) for k, v in headers])
            return
        kind = ErrorKind(fault)
        request.arrivals += arrived
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

    def _answer_fault(self, message: Message, fault: ErrorKind, deadline: float, aim: float = 0.2) -> None:
        answer = ANSWERS[fault]
        headers = []
        if answer.promise:
            headers = [(b"Retry-After", b"%.3f" % (aim * (0.2 + 0.4 * self._random())))]
        message.answer(answer.status, answer.text, headers)

    def _hung_up(self, message: Message) -> None:
        """The client has left. What runs is left to run; its answer goes nowhere."""
        asked = [request for request, _ in self._asks.values()]
        for request in (*asked, *(look.request for look in self._load_queries.values())):
            if request.message is message and not request.over:
                self._finish(request)
                return

    # --- a request for the server beside

    def _asked(self, link: PeerConnection, number: int, ask: list[Any]) -> None:
        if len(ask) > SIZE and ask[SIZE]:
            self._load(link, number, ask)
            return
        self._run(
            ask,
            lambda *told: link.send([MessageKind.TOLD, number, *told, *self._hint(ask[10])]),
            lambda: link.send([MessageKind.OVERDUE, number]),
        )

    def _hint(self, kind: str) -> tuple[float, float, float]:
        """What each answer tells of the server here: seconds that a call waits, and works; the part of calls
        that fail here of late."""
        return self.server_queue.wait(), self.server_queue.pace(kind), self.server_queue.ill()

    def _run(self, ask: list[Any], tell: Callable[..., None], overdue: Callable[[], None]) -> None:
        if len(ask) < len(ASK):
            # Of an older version, which tells less: what is missing is the careful choice. A newer one's more
            # is left out.
            ask = [*ask, *ASK[len(ask) :]]
        (service, caller, method, target, headers, body, left, aim, tid, key, kind, again, free, past, _) = (
            ask[: len(ASK)]
        )
        now = self.loop.time()
        server_queue = self.server_queue
        if service != self.settings.service or not server_queue.open:
            tell(ErrorKind.LEAVING, False, 0, [], b"")
            return
        self._open_jobs += 1
        deadline = now + left
        head = heads.forwarded(method, target, [(bytes(k), bytes(v)) for k, v in headers], body)

        def make(left_s: float, instance: str) -> bytes:
            return b"%sX-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\nX-Caller-Service: %s\r\n\r\n%s" % (
                head,
                max(1, int(left_s * 1000)),
                instance.encode(),
                caller.encode(),
                body,
            )

        token = f"{self.me}/{self._life}/{self._fresh()}" if key else ""

        def done(fault: ErrorKind | None, arrived: bool, reply: Reply | None) -> None:
            self._open_jobs -= 1
            found = self._judge(fault, reply)
            if key:
                self._close_key(key, token, found, reply)
            if found is not None or reply is None:
                tell(int(found or ErrorKind.BROKEN), arrived, 0, [], b"")
            else:
                tell(0, arrived, reply.status, heads.returned(reply.headers), reply.body)

        # The last start for an answer that is most likely in time, as times scatter, and the last for one at
        # all: a third of what is left, as a client that is refused may still be served elsewhere, and
        # little beyond the aim, as what waits for long makes all behind it late.
        # Whoever was refused before goes first: refused once more, its client has waited for nothing.
        wait = max(aim - SCATTER * server_queue.takes(kind), aim * PATIENCE) * (RETURNED if again else 1.0)
        # What was lost for longer than its aim, as while everybody was down, is worth less than any that can
        # be in time: it goes when none of those waits.
        due = now if past else now + min(wait, left * LAST)
        job = Job(make, tid, deadline, due, max(due, now + min(left * LAST, aim * BEYOND)), done, kind)
        if free:
            job.overdue = overdue
        if not key:
            server_queue.submit(job)
            return
        self._claim(key, token, left, max(LEAST_CLAIM_S, aim * PATIENCE), job, tell)

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
        self, key: str, token: str, left: float, patience: float, job: Job, tell: Callable[..., None]
    ) -> None:
        """Have a key granted by enough controllers; only then the call may go. Where that takes long, as
        behind a cut, the call is given back for another sidecar to try, and for a while all others at
        once."""
        now = self.loop.time()
        if now < self._keyless_until:
            self._open_jobs -= 1
            tell(int(ErrorKind.REFUSED), False, 0, [], b"")
            return
        number, claim, packed = 0, Claim(0, 0, now, CLAIM_S), b""
        order: list[str] = []
        asked: list[str] = []
        all_asked: list[str] = []  # in all epochs

        def begin() -> None:
            """Ask the nearest that are enough first; what they don't settle soon, the others are asked as
            well. Answers are counted by the claim's number, so within one epoch."""
            nonlocal number, claim, packed, order, asked
            self._claims.pop(number, None)
            self._anew.pop(number, None)
            at = self.loop.time()
            number = self._fresh()
            claim = Claim(len(self.voters), self._enough, at, CLAIM_S)
            # what an older controller doesn't know, it can't read
            epoch = [self._epoch] if self._epoch > 1 else []
            packed = pack([MessageKind.CLAIM, number, key, token, left + 0.5 - (at - now), *epoch])
            order = sorted(
                self.voters, key=lambda name: self._controller_zones.get(name) != self.settings.zone
            )
            asked = []
            self._claims[number], self._anew[number] = (claim, then), begin
            for name in order:
                if name not in self._controllers:
                    claim.failed(name)
            ask([name for name in order if name in self._controllers][: self._enough])
            then(claim)

        def ask(names: list[str]) -> None:
            for name in names:
                if name not in asked:
                    asked.append(name)
                    if name not in all_asked:
                        all_asked.append(name)
                    link = self._controllers.get(name)
                    if link is None:
                        claim.failed(name)
                    else:
                        link.put(packed)

        def ask_all() -> None:
            if number in self._claims:
                ask(order)
                then(claim)

        def then(claim: Claim) -> None:
            verdict = claim.verdict(self.loop.time())
            if number not in self._claims:
                return
            if claim.troubled and len(asked) < len(order):
                ask(order)
                verdict = claim.verdict(self.loop.time())
            if verdict == Verdict.WAIT:
                return
            del self._claims[number], self._anew[number]
            timer.cancel()
            more.cancel()
            self._granted[token] = all_asked
            if verdict == Verdict.RUN:
                self.server_queue.submit(job)
                return
            self._open_jobs -= 1
            self._to_controllers(token, [MessageKind.FREE, key, token])
            if verdict == Verdict.REPEAT:
                status, headers, body = claim.answer
                tell(0, False, status, headers, body)
                return
            fault = {Verdict.AT_WORK: ErrorKind.AT_WORK, Verdict.LOST: ErrorKind.LOST_KEY}.get(
                verdict, ErrorKind.REFUSED
            )
            tell(int(fault), False, 0, [], b"")

        timer = self.loop.call_later(
            min(CLAIM_S, patience, max(0.01, left)), lambda: self._claim_late(number)
        )
        more = self.loop.call_later(HEDGE_S, ask_all)
        begin()

    def _claim_late(self, number: int) -> None:
        found = self._claims.get(number)
        if found is not None:
            claim, then = found
            for name in self.voters:
                claim.silent(name)
            self._keyless_until = self.loop.time() + KEYLESS_S
            then(claim)

    def _claimed(
        self, link: PeerConnection, number: int, outcome: int, token: str, mark: int, answer: Any
    ) -> None:
        found = self._claims.get(number)
        if found is None:
            return
        claim, then = found
        if outcome == 1:
            claim.granted(link.peer)
        elif outcome == 0:
            claim.held(link.peer, token, Mark(mark), answer)
        else:
            claim.failed(link.peer)
        then(claim)

    def _close_key(self, key: str, token: str, fault: ErrorKind | None, reply: Reply | None) -> None:
        if fault is None and reply is not None:
            answer = [reply.status, heads.returned(reply.headers), reply.body]
            self._to_controllers(token, [MessageKind.DONE, key, token, answer])
        elif fault in PROMISES:
            self._to_controllers(token, [MessageKind.FREE, key, token])
        else:
            self._to_controllers(token, [MessageKind.BROKE, key, token])

    def _to_controllers(self, token: str, message: list[Any]) -> None:
        """Tell the controllers that were asked for a token: no other knows of it."""
        packed = pack(message)
        for name in self._granted.pop(token, ()):
            link = self._controllers.get(name)
            if link is not None:
                link.put(packed)


def _named(message: Message) -> frozenset[bytes]:
    """Headers that a request's Connection header keeps to that connection."""
    told = message.header(b"connection")
    if told is None or told.lower() in (b"close", b"keep-alive"):
        return frozenset()
    return frozenset(part.strip().lower() for part in told.split(b","))
