"""Calls on a simulated clock: sidecars, servers and clients that speak HTTP/1.1 over byte streams.

Extends `mesh_world` by the real HTTP code of the sidecar: its server towards clients, and its client towards
the local server. There are no controllers: each sidecar gets the configuration and the other records when it
starts. Each arrival of bytes at a process is a point at which a fault may be injected.
"""

from __future__ import annotations

import json
import os
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import httptools
from fake_machines import End, Machine, Process
from mesh_world import DAY, World
from operator_calls import InvariantViolation

from hollyport.guests.listener import Listener
from mesh import settings
from mesh.proxy import server_queue
from mesh.proxy import sidecar as sidecars
from mesh.proxy.sidecar import Sidecar
from mesh.state import configuration
from mesh.transport.client_memory import ClientMemory
from mesh.transport.http_connection import HttpConnection
from mesh.transport.http_server import HttpServer
from mesh.transport.messages import SidecarRecord
from mesh.transport.read_clock import ReadTimes

PEER_PORT, OUTBOUND_PORT, SERVER_PORT = 7000, 80, 9000
SERVICE_S = 0.02  # service time of a call
DEADLINE_S = 0.8
NOT_RUN_STATUSES = (408, 421, 429, 503)
SLACK_S = 0.1  # for an answer to reach the client after its deadline
BODY = bytes(range(256)) * 64  # 16,384 bytes, more than is sent within a call on the link below
SETTINGS = """
node_name = "{name}"
ip = "{name}"
zone = "east"
port_range = [7000, 7001]
app_addr = "{name}:9000"
service = "{service}"
listen_map = {{ outbound = "{name}:80", ready = "{name}:81", control = "{name}:82" }}
bound_set = ["retry_slack=600", "retry_ratio=0.2"]
[limit_set]
link_mbps = {link_mbps}
client_memory_mb = {client_memory_mb}
"""


def _rule(variant: str) -> dict[str, Any]:
    return {
        "name": variant,
        "variant": variant,
        "target": "200ms",
        "revision": "r1",
        "matcher": {"path_prefix": f"/{variant}/"},
        "effect": {"service": "meals", "timeout": "900ms", "max_attempts": 2},
    }


ITEMS = configuration.parse_change(
    json.dumps(
        {
            "upserts": {
                "listener_list": [{"hostname": "a.example", "rule_set": [_rule("pure"), _rule("effectful")]}],
                "cluster_list": [{"name": "meals", "revision": "r1"}],
            }
        }
    ).encode()
).ok


class Stream(End):
    """One end of a connection that carries a stream of bytes."""

    never_readable = os.eventfd(0)  # a descriptor on which `poll` finds nothing to read

    def get_extra_info(self, name: str) -> Any:
        return SimpleNamespace(fileno=lambda: self.never_readable) if name == "socket" else None

    def write(self, data: bytes) -> None:
        if not self.closed:
            self._ship(bytes(data))

    def set_write_buffer_limits(self, high: int | None = None) -> None:
        """Ignored: the peer accepts all data."""

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        """Ignored: data is delivered anyway."""

    resume_reading = pause_reading

    def close(self) -> None:
        if not self.closed:
            self.abort()
            protocol = self.protocol
            self.process.soon(lambda: protocol is not None and protocol.connection_lost(None))

    write_eof = close

    def delay(self) -> float:
        """Returns how long data that is written now is on its way."""
        return self.world.delay()

    def _ship(self, packed: bytes | None) -> None:
        self._last = max(self._last, self.world.now + self.delay())
        self._way.append((self._last, packed))
        if len(self._way) == 1:
            self.world.at(self._last, self._pump)

    def _counts(self, packed: bytes) -> bool:
        return True

    def _deliver(self, other: End, packed: bytes) -> None:
        other.process.soon(lambda: other.take(packed))


class App:
    """The server's side of one connection: it runs each complete request and answers after `SERVICE_S`."""

    def __init__(self, world: CallsWorld, process: Process) -> None:
        self._world, self._process = world, process
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._size = 0
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Running requests continue."""

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._headers, self._size = {}, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._size += len(body)

    def on_message_complete(self) -> None:
        attempt = self._headers.get(b"x-attempt-id")
        if attempt is None:  # a health check of its sidecar
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance-Id: i-%s\r\n\r\n"
            self._transport.write(response % self._process.host.encode())
            return
        self._world.runs[attempt.decode()] += 1
        body = b"%s %d" % (attempt, self._size)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Server-Seal: s\r\nX-Attempt-Id: %s\r\n\r\n"
        self._process.loop.call_later(SERVICE_S, self._transport.write, head % (len(body), attempt) + body)


class Request:
    """One request of a client and its result; also the protocol of its connection."""

    def __init__(self, world: CallsWorld, name: str, variant: str, body: bytes) -> None:
        self._world, self.name, self.variant, self.body = world, name, variant, body
        self.sent_at = world.now
        self.status = 0
        self.answer = b""
        self.answered_at = 0.0
        self.ended = False  # the connection closed without an answer
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: Any) -> None:
        head = (
            f"POST /{self.variant}/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {self.name}\r\n"
            f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\nContent-Length: {len(self.body)}\r\n\r\n"
        )
        transport.write(head.encode() + self.body)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.answer += body

    def on_message_complete(self) -> None:
        if self.status:
            raise InvariantViolation(f"{self.name} was answered twice")
        self.status, self.answered_at = self._parser.get_status_code(), self._world.now

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = not self.status


class CallsWorld(World):
    """A calling sidecar, two servers with sidecars, and a client."""

    def __init__(self, seed: int = 1, link_mbps: float = 1.0, client_memory_mb: float = 0.0) -> None:
        super().__init__(seed=seed, size=0, claimants=3)
        self._limits = {"link_mbps": link_mbps, "client_memory_mb": client_memory_mb}
        self.caller, *self.servers = self.sidecars
        self.runs: Counter[str] = Counter()  # by request
        self.requests: list[Request] = []
        self.on_fault: Callable[[str, str], None] = lambda at, by: None
        self.fault_at = 0

    def __enter__(self) -> CallsWorld:
        super().__enter__()
        self._patch.setattr(server_queue, "random", self.random)
        self._patch.setattr(
            sidecars, "http_server", SimpleNamespace(open_http_server=open_http_server, HttpServer=HttpServer)
        )
        return self

    def end_of(self, port: int) -> type[End]:
        return End if port == PEER_PORT else Stream

    def blocked(self, one: str, other: str) -> float:
        """A machine is never partitioned from itself."""
        return 0.0 if one == other else super().blocked(one, other)

    def point(self, at: Process, by: Process) -> None:
        self.points += 1
        if self.points == self.fault_at:
            self.on_fault(at.host, by.host)

    # --- machines

    def start(self) -> None:
        for name in self.servers:
            self.start_app(name)
        for name in self.sidecars:
            self.start_sidecar(name)

    def start_app(self, name: str) -> None:
        """Starts the server of a machine; it survives crashes of its sidecar."""
        process = Process(self, self.machines[name])
        self.machines[name].listening[SERVER_PORT] = (process, lambda: App(self, process))

    def start_sidecar(self, name: str) -> None:
        machine: Machine = self.machines[name]
        process = machine.process = Process(self, machine)
        service = "meals" if name in self.servers else "berths"

        async def main() -> None:
            text = SETTINGS.format(name=name, service=service, **self._limits)
            role = process.role = Sidecar(settings.read(text).ok)
            await role.start()
            role.control.apply_items(ITEMS)
            if service == "meals":
                role.server_queue.update_server(f"i-{name}", 8, 0.0, True)
            role.directory.apply_records(self._record(other) for other in self.servers)

        process.run(main())

    def _record(self, name: str) -> SidecarRecord:
        return SidecarRecord(
            node=name,
            address=f"{name}:{PEER_PORT}",
            zone="east",
            service="meals",
            instance=f"i-{name}",
            slots=8,
            is_open=True,
            warm_up_s=0.0,
            incarnation=int(DAY * 1000),
            number=1,
            version=4,
        )

    # --- clients

    async def send(self, name: str, variant: str, body: bytes = b"") -> None:
        """Sends a request on a new connection; if the connection is refused, the request does not count."""
        request = Request(self, name, variant, body)
        try:
            await self.operator.loop.create_connection(lambda: request, self.caller, OUTBOUND_PORT)
        except OSError:
            return
        self.requests.append(request)

    def violations(self) -> list[str]:
        """Returns all violations after the end of a scenario."""
        return [violation for request in self.requests for violation in self._violations_of(request)]

    def _violations_of(self, request: Request) -> list[str]:
        runs, status, name = self.runs[request.name], request.status, request.name
        found = []
        if status == 200 and request.answer != b"%s %d" % (name.encode(), len(request.body)):
            found.append(f"{name} got the answer {request.answer!r}")
        if status in NOT_RUN_STATUSES and runs:
            found.append(f"{name} was reported as not run but ran {runs} times")
        if runs > (2 if request.variant == "pure" else 1):
            found.append(f"{name}, {request.variant}, ran {runs} times")
        if status == 200 and not runs:
            found.append(f"{name} was answered but never ran")
        return found


async def open_http_server(
    address: settings.Address,
    serve: Callable[..., None],
    hangup: Callable[..., None] | None = None,
    max_connections: int = 64,
    read_clock: ReadTimes | None = None,
    listening: None = None,
    *,
    memory: ClientMemory,
) -> HttpServer:
    """Replaces `mesh.transport.http_server.open_http_server`, without a socket."""
    import asyncio

    loop = asyncio.get_running_loop()
    server = HttpServer(serve, hangup or (lambda message: None), read_clock, memory=memory)
    server.listener = listener = Listener(
        lambda taken: HttpConnection(taken, loop, server), max_connections, max_connections
    )
    listener._loop = loop
    server.on_backlog(False)
    await loop.create_server(lambda: HttpConnection(listener, loop, server), address.host, address.port)
    return server
