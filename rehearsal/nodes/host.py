"""A process that stands in for many channel nodes, on loopback sockets.

Each node has one listening socket, a door, for each hall, so that it knows from which hall a connection
comes. What a node does with work is `model`'s; here bytes become offers and what is done becomes answers,
in the way that the faults of the plan allow. Every request that comes in whole is recorded with what became
of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import socket
import struct
from collections.abc import Iterable
from pathlib import Path
from typing import Any, cast
from zlib import crc32

import httptools

from hollyport.thrift.stream import Messages
from hollyport.thrift.wire import ONEWAY, Head, Malformed
from rehearsal import bulk, thrift, worker
from rehearsal.nodes.model import Job, NodeModel, Rules
from rehearsal.plan import FOREVER, Event, Plan, loads, lognormal
from rehearsal.scenario import EVERY_FORM, RequestClass

BACKLOG = 256
MOST_FRAME = 4 << 20
SWEEP_S = 0.5
SAMPLE_S = 0.5
SOON_US = 400  # what is due within this is done now: timers count whole milliseconds
LINGER = struct.pack("ii", 1, 0)  # SO_LINGER with no time: close sends a reset
AWAY = b"HTTP/1.1 %d Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n%s\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nerror\n"
SPOILT = ("noise", "endless", "short", "huge", "twice", "tail")


def ran_on(rid: bytes, node: str) -> bytes:
    """The body of an answer, from which a client can tell that it is its own."""
    return b"%s ran on %s\n" % (rid, node.encode())


class Attempt:
    """One request that came in whole, and what became of it. Times are -1 where nothing of the kind was."""

    __slots__ = ("rid", "door", "first", "whole", "began", "ended", "answered", "how", "connection", "plan")

    def __init__(self, rid: bytes, door: int, first: int, whole: int, connection: NodeConnection) -> None:
        self.rid, self.door, self.first, self.whole = rid, door, first, whole
        self.began = self.ended = self.answered = -1
        self.how = "open"
        self.connection: NodeConnection | None = connection
        self.plan = ""  # what a fault has in store for its answer

    def row(self, node: int) -> list[Any]:
        return [
            "attempt",
            self.rid.decode("latin-1"),
            node,
            self.door,
            self.first,
            self.whole,
            self.began,
            self.ended,
            self.answered,
            self.how,
        ]


class Door:
    """One listening socket of one node: the one for connections from one hall."""

    def __init__(self, host: Host, node: HostedNode, hall: int) -> None:
        self._host, self.node, self.hall = host, node, hall
        self.cut = False
        self.probes = 0
        self.handshakes = 0
        self.connections: set[NodeConnection] = set()
        self._fillers: list[socket.socket] = []
        self._socket = self._bound((host.address, 0))
        self.address: tuple[str, int] = self._socket.getsockname()
        self.open = False

    @staticmethod
    def _bound(address: tuple[str, int]) -> socket.socket:
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind(address)
        made.setblocking(False)
        return made

    def listen(self) -> None:
        """Take connections."""
        try:
            self._socket.listen(BACKLOG)
        except OSError as error:
            where = f"door {self.address[0]}:{self.address[1]}"
            raise OSError(error.errno, f"{where}: {error.strerror}") from None
        self.open = True
        if self.cut:
            self._fill()
        else:
            self._host.loop.add_reader(self._socket.fileno(), self._accept)

    def close(self, reset: bool) -> None:
        """The process is gone: new connections are refused, and the port stays ours for a successor."""
        if self.open:
            self.open = False
            self._host.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._empty()
            with contextlib.suppress(OSError):
                self._socket = self._bound(self.address)
        for connection in list(self.connections):
            connection.end(reset)

    def set_cut(self, cut: bool) -> None:
        """Fall silent, or be back: then what was open is reset, as the other side would find it."""
        if cut == self.cut:
            return
        self.cut = cut
        if not self.open:
            return
        if cut:
            self._host.loop.remove_reader(self._socket.fileno())
            self._fill()
        else:
            self._empty()
            for connection in list(self.connections):
                connection.end(True)
            self._socket.listen(BACKLOG)
            self._host.loop.add_reader(self._socket.fileno(), self._accept)

    def _fill(self) -> None:
        """Fill the listen queue, so that the kernel drops further SYNs: connects then hang, as to a machine
        that is cut off. A queue of 0 holds one; the second filler is the one that hangs."""
        self._socket.listen(0)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            self._fillers.append(filler)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)

    def _empty(self) -> None:
        while self._fillers:
            self._fillers.pop().close()

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                made, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    worker.say({"trouble": f"the rig has no descriptors left: {error}"})
                    return
                continue
            made.setblocking(False)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._host.loop.create_task(self._take(made))
            self._host.tasks.add(task)
            task.add_done_callback(self._host.tasks.discard)

    async def _take(self, made: socket.socket) -> None:
        try:
            kind = ThriftNodeConnection if self.node.speaks else NodeConnection
            await self._host.loop.connect_accepted_socket(lambda: kind(self._host, self, made), made)
        except OSError:
            made.close()


class NodeConnection(asyncio.Protocol):
    """One connection from a daemon: one request at a time."""

    def __init__(self, host: Host, door: Door, made: socket.socket) -> None:
        self._host, self._door, self._node, self._socket = host, door, door.node, made
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._first = -1  # when the first byte of what is being read came
        self._rid: bytes | None = None
        self._timeout_us = 0
        self._url = b""
        self._check: bulk.Check | None = None  # of a large body that is being read
        self._attempt: Attempt | None = None
        self._crowded = False
        self.idle_since = 0

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.idle_since = self._host.clock()
        door = self._door
        door.connections.add(self)
        if not door.open:
            self.end(True)
            return
        door.handshakes += 1
        node = self._node
        if not door.cut and node.model is not None:
            node.model.charge(self.idle_since, node.spec.handshake_us)
        self._crowded = sum(len(d.connections) for d in node.doors) > self._host.connections

    def data_received(self, data: bytes) -> None:
        now = self._host.clock()
        if self._first < 0:
            # Probes are most of what comes: no parser for what is whole and known.
            if data.startswith(b"GET /-/") and data.endswith(b"\r\n\r\n"):
                self._probe(now, data)
                return
            self._first = now
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._door.node.unreadable += 1
            self.end(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._door.connections.discard(self)
        if self._attempt is not None:
            self._attempt.connection = None  # its work goes on: a cancel stops nothing
        self._transport = None

    def end(self, reset: bool) -> None:
        """Close: with a reset, or after what has been written."""
        transport, self._transport = self._transport, None
        if transport is None:
            return
        if reset:
            with contextlib.suppress(OSError):
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            transport.abort()
        else:
            transport.close()

    @property
    def busy(self) -> bool:
        """Whether a request is open, or is being read."""
        return self._attempt is not None or self._first >= 0

    # --- httptools

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-request-id":
            self._rid = value
        elif lower == b"x-timeout":
            try:
                self._timeout_us = int(float(value) * 1e6)
            except ValueError:
                self._timeout_us = 0

    def on_headers_complete(self) -> None:
        kb = self._host.kind_of(self._rid).request_kb if self._rid is not None else 0
        self._check = bulk.Check(self._rid or b"", kb) if kb else None

    def on_body(self, data: bytes) -> None:
        if self._check is not None:
            self._check.feed(data)

    def on_message_complete(self) -> None:
        self._came(self._host.clock())

    # --- what differs by protocol

    def _alien_bytes(self, rid: bytes | None) -> bytes:
        said = b"404 Not Found" if rid is None else b"400 Bad Request"
        return ERROR.replace(b"500 Internal Server Error", said)

    def _error_bytes(self) -> bytes:
        return ERROR

    def _away_bytes(self, status: int) -> bytes:
        return AWAY % (status, b"Connection: close\r\n" if self._crowded else b"")

    def _good_bytes(self, body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def _spoilt_bytes(self, plan: str, rid: bytes, body: bytes) -> bytes:
        return {
            "noise": b"\x16\x03\x01\x02\x00\x01\x00" + rid + b"\r\n\r\n",
            "endless": b"HTTP/1.1 200 OK\r\n" + b"X-Filler: " + b"a" * 65536,
            "short": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body) + 100, body),
            "huge": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body * 8,
        }[plan]

    # --- a request that has come in whole

    def _came(self, now: int) -> None:
        host, node = self._host, self._node
        first, rid = self._first, self._rid
        timeout = self._timeout_us or FOREVER
        self._first, self._rid, self._timeout_us, self._url = -1, None, 0, b""
        call, check, self._check = host.call_of(rid), self._check, None
        if rid is None or call is None or (check is not None and not check.whole):
            node.aliens.append([first, (rid or b"").decode("latin-1")[:80]])
            self._say(now, self._alien_bytes(rid))
            return
        attempt = Attempt(rid, self._door.hall, first, now, self)
        node.attempts.append(attempt)
        model, chance = node.model, host.chance(rid, node.spec.name)
        if self._door.cut or node.mute or model is None:
            attempt.how = "silent"
            self._attempt = attempt
            return
        if host.stale_us and first - self.idle_since >= host.stale_us and self.idle_since != 0:
            attempt.how = "stale"
            self.end(True)
            return
        if chance < host.modes["reset-unrun"]:
            attempt.how = "reset"
            self.end(True)
            return
        chance -= host.modes["reset-unrun"]
        if chance < host.modes["reset-run"]:
            attempt.plan = "reset"
        elif (chance := chance - host.modes["reset-run"]) < host.modes["spoilt"]:
            attempt.plan = SPOILT[crc32(rid) % len(SPOILT)]
        elif chance - host.modes["spoilt"] < host.error_part:
            attempt.how, attempt.answered = "error", now
            self._say(now, self._error_bytes())
            return
        if (
            self._crowded
            or node.draining
            or not model.offer(now, Job(attempt, host.work(call, rid, node.spec.name), now + timeout))
        ):
            self.turn_away(now, attempt, 503)
            if model.fell_at:
                node.fall(now)
            return
        self._attempt = attempt
        node.arm(now)
        if model.fell_at:
            node.fall(now)

    # --- answers

    def _probe(self, now: int, data: bytes) -> None:
        node, model = self._node, self._node.model
        self._door.probes += 1
        if self._door.cut or node.mute or model is None:
            return
        if data.startswith(b"GET /-/load "):
            model.charge(now, node.spec.probe_us)
            held, waiting = model.load(now)
            body = b'{"inflight":%d,"queue":%d}' % (held, waiting)
        elif data.startswith(b"GET /-/healthy "):
            model.charge(now, node.spec.probe_us)
            body = b"ok"
        else:
            self._say(now, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        status = b"503 Unavailable" if node.draining else b"200 OK"
        self._say(now, b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def turn_away(self, now: int, attempt: Attempt, status: int) -> None:
        """It has not run and never will."""
        attempt.how = "away" if status == 503 else "late"
        attempt.answered = now
        self.free(attempt)
        self._say(now, self._away_bytes(status))
        if self._crowded:
            self.end(False)

    def answer(self, now: int, attempt: Attempt) -> None:
        """It has run: say so, in the way that a fault may have in store."""
        body = ran_on(attempt.rid, self._node.spec.name)
        kb = 0 if self._node.speaks else self._host.kind_of(attempt.rid).answer_kb
        whole = self._good_bytes(body + bulk.body(attempt.rid, kb) if kb else body)
        plan = attempt.plan
        attempt.how, attempt.answered = "ok", now
        self.free(attempt)
        if plan == "reset":
            attempt.how = "reset"
            self.end(True)
            return
        if plan in ("noise", "endless", "short", "huge"):
            attempt.how = "spoilt"
            whole = self._spoilt_bytes(plan, attempt.rid, body)
        elif plan == "twice":
            whole += whole
        elif plan == "tail":
            whole += b"\x00\xffnoise behind a good answer"
        self._say(now, whole)

    def free(self, attempt: Attempt) -> None:
        """The connection can take the next request."""
        if self._attempt is attempt:
            self._attempt = None
        self.idle_since = self._host.clock()

    def _say(self, now: int, data: bytes) -> None:
        """Write, as late as the way there and back takes, and not while the machine stands still."""
        node = self._node
        wait = 2 * node.spec.oneway_us[self._door.hall]
        if node.model is not None:
            wait = max(wait, node.model.paused_until() - now)
        if wait <= SOON_US:
            self._write(data)
        else:
            self._host.loop.call_later(wait / 1e6, self._write, data)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._door.cut and data:
            self._transport.write(data)


class ThriftNodeConnection(NodeConnection):
    """The same over Thrift: calls of a connection are worked through in turn, as Thrift servers do."""

    def __init__(self, host: Host, door: Door, made: socket.socket) -> None:
        super().__init__(host, door, made)
        self._form = door.node.speaks
        self._messages = Messages(thrift.form(self._form), MOST_FRAME)
        self._head: Head | None = None  # of the call that is worked on
        self._oneway = False

    def data_received(self, data: bytes) -> None:
        now = self._host.clock()
        if self._first < 0:
            self._first = now
        self._messages.feed(data)
        if self._attempt is None:
            self._next(now)

    def _next(self, now: int) -> None:
        """Begin the next call, unless one is worked on."""
        try:
            message = self._messages.next()
        except Malformed:
            self._door.node.unreadable += 1
            self.end(False)
            return
        if message is None:
            if not self._messages.held:
                self._first = -1
            elif self._cut_now(self._messages.head()):
                self.end(True)  # the frame is not whole: nobody may take it to have run
            return
        self._head = head = message.head
        if self._first < 0:
            self._first = now
        if head.name.rpartition(b":")[2] == thrift.LOAD:
            self._first = -1
            self._load(now)
            if self._messages.held:
                self._next(now)
            return
        self._oneway = head.kind == ONEWAY
        self._rid, self._timeout_us = thrift.asked(message)
        if self._rid is not None and self._cut_now(head):
            attempt = Attempt(self._rid, self._door.hall, self._first, now, self)
            attempt.how = "reset"
            self._node.attempts.append(attempt)
            self.end(True)
            return
        self._came(now)
        if self._attempt is None and self._oneway:
            self._next(now)  # turned away, and nobody told

    def _cut_now(self, head: Head | None) -> bool:
        part = self._host.modes["cut-frames"]
        if not part or head is None or head.name.rpartition(b":")[2] == thrift.LOAD:
            return False
        draw = b"%d/%d/%d" % (self._host.plan.seed, head.seqid, self.idle_since)
        return crc32(draw) / 2**32 < part

    def _load(self, now: int) -> None:
        node, model = self._node, self._node.model
        self._door.probes += 1
        if self._door.cut or node.mute or model is None or self._head is None:
            return
        model.charge(now, node.spec.probe_us)
        if node.draining:
            self._say(now, thrift.error(self._form, self._head, thrift.SHED))
        else:
            self._say(now, thrift.load(self._form, self._head, *model.load(now)))

    def _alien_bytes(self, rid: bytes | None) -> bytes:
        return self._error_bytes()

    def _error_bytes(self) -> bytes:
        assert self._head is not None
        return b"" if self._oneway else thrift.error(self._form, self._head, thrift.BUG)

    def _away_bytes(self, status: int) -> bytes:
        assert self._head is not None
        return b"" if self._oneway else thrift.error(self._form, self._head, thrift.SHED)

    def _good_bytes(self, body: bytes) -> bytes:
        assert self._head is not None
        return b"" if self._oneway else thrift.answer(self._form, self._head, body)

    def _spoilt_bytes(self, plan: str, rid: bytes, body: bytes) -> bytes:
        assert self._head is not None
        good = thrift.answer(self._form, self._head, body)
        return {
            "noise": b"\xcf\xe7\x16\x03" + rid,
            "endless": good[:-1] + b"\x0b\x00\x07" * 200,
            "short": good[:-3],
            "huge": b"\x7f\xff\xff\xff" + good,
        }[plan]

    def free(self, attempt: Attempt) -> None:
        """The connection can take the next call: one that came meanwhile is begun."""
        super().free(attempt)
        if self._messages.held:
            self._host.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        if self._transport is not None and self._attempt is None and self._messages.held:
            self._next(self._host.clock())


class HostedNode:
    """One node: its doors, the process that runs now, and all that it was sent."""

    def __init__(self, host: Host, number: int) -> None:
        self._host, self.number = host, number
        self.spec = host.plan.nodes[number]
        self.model: NodeModel | None = None
        self.draining = self.mute = False
        self.speaks = self.spec.speaks  # the form of Thrift; "" for HTTP
        self.attempts: list[Attempt] = []
        self.aliens: list[list[Any]] = []
        self.falls: list[int] = []
        self.unreadable = 0
        self.jams = 0
        self.samples: list[list[Any]] = []
        self.doors = [Door(host, self, hall) for hall in range(len(host.plan.halls))]
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, now: int, born: int) -> None:
        """A new process."""
        self.model = NodeModel(self.spec, self._host.rules, now, born)
        self.draining = False
        for door in self.doors:
            door.listen()

    def finish(self, now: int, reset: bool) -> None:
        """The process is gone, with all that it held."""
        if self.model is None:
            return
        self._deliver(now)
        self.jams += self.model.jams
        self.model = None
        if self._timer is not None:
            self._timer.cancel()
        for attempt in self.attempts:
            if attempt.how == "open":
                attempt.how = "died"
        for door in self.doors:
            door.close(reset)

    def fall(self, now: int) -> None:
        """A cold process was sent too much: it is down, and stays down."""
        self.falls.append(now)
        worker.say({"fell": self.number, "t_us": now})
        self.finish(now, True)

    def arm(self, now: int) -> None:
        """Wake up when the work that runs is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.model is None:
            return
        due = self.model.due(now)
        if due < FOREVER:
            self._timer = self._host.loop.call_later(max(0, due - now) / 1e6, self._wake, due)

    def _wake(self, due: int) -> None:
        now = self._host.clock()
        self._host.late.add(now - due)
        self._deliver(now)
        self.arm(now)

    def _deliver(self, now: int) -> None:
        if self.model is None:
            return
        for done in self.model.advance(now):
            attempt = cast(Attempt, done.tag)
            if done.expired:
                if attempt.connection is not None:
                    attempt.connection.turn_away(now, attempt, 504)
                else:
                    attempt.how = "late"
                continue
            attempt.began, attempt.ended = done.began, done.ended
            if attempt.connection is not None:
                attempt.connection.answer(now, attempt)
            else:
                attempt.how = "unheard"  # whoever asked has gone

    def apply(self, now: int, event: Event) -> None:
        """One step of a fault."""
        model = self.model
        if event.what == "start":
            self.begin(now, now)
        elif event.what in ("stop", "die"):
            self.finish(now, True)
        elif event.what == "drain":
            self.draining = bool(event.value)
        elif event.what == "mute":
            self.mute = bool(event.value)
        elif event.what == "speak":
            self.speaks = EVERY_FORM[int(event.value)]
        elif model is not None:
            if event.what == "pause":
                model.pause(now, int(event.value))
            elif event.what == "left":
                model.leave(now, event.value)
            self._deliver(now)
            self.arm(now)

    def sample(self, now: int) -> None:
        """A point for the report's plot of load."""
        if self.model is not None:
            self._deliver(now)
            self.arm(now)
            self.samples.append([now, self.model.held, int(self.model.jammed)])


def own_host() -> str:
    """A loopback address that nobody else is likely to pick."""
    draw = random.SystemRandom()
    return f"127.{draw.randrange(1, 255)}.{draw.randrange(256)}.{draw.randrange(1, 255)}"


class Host:
    """All nodes of this process."""

    def __init__(self, config: dict[str, Any], clock: worker.Clock, late: worker.Lateness) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock, self.late = clock, late
        self.plan: Plan = loads(Path(config["plan"]).read_bytes())
        self._kinds = list(self.plan.scenario.classes.values())
        self.prefix: bytes = config["prefix"].encode()
        self.tasks: set[asyncio.Task[None]] = set()
        # Doors are bound before they listen. Meanwhile Linux gives their port to anybody who binds it by
        # number with SO_REUSEADDR, as a daemon does to whom somebody gave a port that "was free a moment
        # ago": such ports are of 127.0.0.1, so this process's are of an address that nobody else draws.
        self.address = own_host()
        kind = self.plan.scenario.node
        self.connections, self.error_part = kind.connections, kind.error_part
        classes = list(self.plan.scenario.classes.values())
        total = sum(c.share for c in classes)
        self.rules = Rules(
            kind.cold_from,
            kind.fall_multiple,
            int(kind.fall_s * 1e6),
            kind.jam_below,
            sum(c.share * c.work_ms * 1000 for c in classes) / total,
            kind.drops_expired,
        )
        self._noise = [c.noise for c in classes]
        self.modes = {"reset-run": 0.0, "reset-unrun": 0.0, "spoilt": 0.0, "cut-frames": 0.0}
        self.stale_us = 0
        numbers = range(config["first"], len(self.plan.nodes), config["step"])
        self.nodes = {number: HostedNode(self, number) for number in numbers}
        self._events = [
            e
            for e in self.plan.events
            if e.target in ("nodes", "hall") or (e.target == "node" and e.which in self.nodes)
        ]
        self._next = 0

    # --- worker.Role

    def opened(self) -> dict[str, Any]:
        return {str(n): [list(door.address) for door in node.doors] for n, node in self.nodes.items()}

    def start(self) -> None:
        now = self.clock()
        for node in self.nodes.values():
            if node.spec.born_us < 0:
                node.begin(now, -1)
        self._arm()
        self.loop.call_later(SWEEP_S, self._sweep)
        self.loop.call_later(SAMPLE_S - now / 1e6, self._sample)

    def command(self, told: dict[str, Any]) -> None:
        """Nothing but the start and the end is told to nodes: all else stands in the plan."""

    def records(self) -> Iterable[list[Any]]:
        now = self.clock()
        for number, node in self.nodes.items():
            if node.model is not None:
                node._deliver(now)
                node.jams += node.model.jams
            for attempt in node.attempts:
                yield attempt.row(number)
            for door in node.doors:
                yield ["door", number, door.hall, door.probes, door.handshakes]
            for at in node.falls:
                yield ["fell", number, at]
            for first, rid in node.aliens:
                yield ["alien", number, first, rid]
            yield ["node", number, node.jams, node.unreadable]
            for row in node.samples:
                yield ["load", number, *row]

    # --- the timeline

    def _arm(self) -> None:
        if self._next < len(self._events):
            due = self._events[self._next].t_us
            self.loop.call_later(max(0, due - self.clock()) / 1e6, self._play)

    def _play(self) -> None:
        now = self.clock()
        while self._next < len(self._events) and self._events[self._next].t_us <= now:
            event = self._events[self._next]
            self._next += 1
            self.late.add(now - event.t_us)
            if event.target == "node":
                self.nodes[event.which].apply(now, event)
            elif event.target == "hall":
                for node in self.nodes.values():
                    for door in node.doors:
                        if (node.spec.hall == event.which) != (door.hall == event.which):
                            door.set_cut(bool(event.value))
            elif event.what == "stale":
                self.stale_us = int(event.value)
            else:
                self.modes[event.what] = event.value
        self._arm()

    def _sample(self) -> None:
        now = self.clock()
        for node in self.nodes.values():
            node.sample(now)
        self.loop.call_later(SAMPLE_S, self._sample)

    def _sweep(self) -> None:
        """Close what has been idle for too long, as nodes do."""
        oldest = self.clock() - int(self.plan.scenario.node.idle_s * 1e6)
        for node in self.nodes.values():
            for door in node.doors:
                if door.cut:
                    continue
                for connection in [c for c in door.connections if not c.busy and c.idle_since < oldest]:
                    connection.end(False)
        self.loop.call_later(SWEEP_S, self._sweep)

    # --- what a request is

    def kind_of(self, rid: bytes | None) -> RequestClass:
        """The class that an id was made for; the first one for an id that no client of this play made."""
        call = self.call_of(rid)
        return self._kinds[0 if call is None else self.plan.calls[call].cls]

    def call_of(self, rid: bytes | None) -> int | None:
        """The number of the call that an id stands for; None if no client of this play made it."""
        if rid is None or not rid.startswith(self.prefix) or len(rid) != len(self.prefix) + 8:
            return None
        try:
            number = int(rid[len(self.prefix) : -1], 16)
        except ValueError:
            return None
        return number if number < len(self.plan.calls) else None

    def chance(self, rid: bytes, node: str) -> float:
        """A draw for what befalls one request at one node: the same in every play."""
        return crc32(b"%d/%s/%s" % (self.plan.seed, rid[len(self.prefix) :], node.encode())) / 2**32

    def work(self, call: int, rid: bytes, node: str) -> float:
        """The work of one attempt: the call's, and what differs from try to try."""
        asked = self.plan.calls[call]
        draw = random.Random(f"{self.plan.seed}/{rid[len(self.prefix) :].decode()}/{node}")
        return lognormal(draw, float(asked.work_us), self._noise[asked.cls])


if __name__ == "__main__":
    worker.main(Host)
